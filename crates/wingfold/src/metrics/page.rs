//! The page `/figures` of a director: its last interval, and the slowest and the failed of each stage.

use serde::Deserialize;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream, ToSocketAddrs};
use std::time::Duration;
use thiserror::Error;

/// Time for the connection, and for each read.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The most bytes of an answer that are read.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Why a director's metrics cannot be shown.
#[derive(Debug, Error)]
pub enum FetchError {
    /// Its name is known and stands for no address.
    #[error("the name has no address")]
    NoAddress,
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The answer has no end of its head.
    #[error("no answer")]
    NoAnswer,
    /// The director measures nothing.
    #[error("figures are switched off there (`figures {{ enabled = true }}` in its own settings)")]
    Disabled,
    /// The answer has another status, whose line this is.
    #[error("{0}")]
    Status(String),
    /// The page cannot be read.
    #[error(transparent)]
    Page(#[from] serde_json::Error),
}

/// The last interval of a director.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// The director's name.
    pub director: String,
    /// The interval's end, in seconds of Unix time.
    #[serde(rename = "at")]
    pub end_s: f64,
    /// The interval's length.
    #[serde(rename = "length")]
    pub length_s: f64,
    /// What was measured.
    #[serde(rename = "figures")]
    pub samples: Vec<Sample>,
    /// The slowest and the failed of each stage.
    pub causes: Vec<Cause>,
}

/// A metric with its labels, as the page has it: name, labels, values.
#[derive(Debug, Deserialize)]
pub struct Sample(String, Vec<String>, Vec<f64>);

impl Sample {
    /// The metric's name.
    fn name(&self) -> &str {
        &self.0
    }

    /// Its labels, in the order of the catalogue.
    pub fn labels(&self) -> &[String] {
        &self.1
    }

    /// Its values: one, or those of a distribution.
    pub fn values(&self) -> &[f64] {
        &self.2
    }
}

/// A slow or failed stage.
#[derive(Debug, Deserialize)]
pub struct Cause {
    /// The stage.
    pub stage: String,
    /// The call of the decision module, if there was one.
    pub call: Option<u64>,
    /// How long it took, in microseconds.
    pub took_us: u64,
    /// Why it failed, if it did.
    pub failed: Option<String>,
}

impl Page {
    /// Fetches the page of the director at this address.
    pub fn fetch(address: &str) -> Result<Page, FetchError> {
        let answer = request(address)?;
        let (head, body) = answer.split_once("\r\n\r\n").ok_or(FetchError::NoAnswer)?;
        if head.starts_with("HTTP/1.1 404") {
            return Err(FetchError::Disabled);
        }
        if !head.starts_with("HTTP/1.1 200") {
            return Err(FetchError::Status(head.lines().next().unwrap_or_default().into()));
        }
        Ok(serde_json::from_str(body)?)
    }

    /// All samples of a metric.
    pub fn samples_of(&self, name: &'static str) -> impl Iterator<Item = &Sample> {
        self.samples.iter().filter(move |sample| sample.name() == name)
    }

    /// The values of a metric with these labels.
    pub fn values(&self, name: &'static str, labels: &[&str]) -> Option<&[f64]> {
        let sample = self.samples_of(name).find(|sample| sample.labels().iter().eq(labels))?;
        Some(sample.values())
    }

    /// The only value of a metric with these labels, or the first one.
    pub fn value(&self, name: &'static str, labels: &[&str]) -> Option<f64> {
        self.values(name, labels)?.first().copied()
    }

    /// The different labels of a metric at a position, in the order of the page.
    pub fn labels_of(&self, name: &'static str, position: usize) -> Vec<&str> {
        let mut labels: Vec<&str> = Vec::new();
        for sample in self.samples_of(name) {
            let Some(label) = sample.labels().get(position) else {
                continue;
            };
            if !labels.contains(&label.as_str()) {
                labels.push(label);
            }
        }
        labels
    }
}

/// Sends the request and reads the whole answer.
fn request(address: &str) -> Result<String, FetchError> {
    let resolved: Option<SocketAddr> = address.to_socket_addrs()?.next();
    let resolved = resolved.ok_or(FetchError::NoAddress)?;
    let mut connection = TcpStream::connect_timeout(&resolved, TIMEOUT)?;
    connection.set_read_timeout(Some(TIMEOUT))?;
    let head = format!("GET /figures HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    connection.write_all(head.as_bytes())?;
    let mut answer = String::new();
    connection.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
    Ok(answer)
}
