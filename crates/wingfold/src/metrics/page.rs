//! Fetches the page `/figures` of a director: the metrics of its last interval, and the slowest and the
//! failed runs of each stage.

use serde::Deserialize;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream, ToSocketAddrs};
use std::time::Duration;
use thiserror::Error;

/// The timeout of the connection attempt, and of each read.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of bytes of a response that are read.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Why a director's metrics cannot be fetched.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The host name resolved to no address.
    #[error("the host name has no address")]
    NoAddress,
    /// Connecting, sending or reading failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The connection ended within the head of the response, or before it.
    #[error("the connection ended before the end of the HTTP head")]
    IncompleteHead,
    /// The director does not record metrics: the status is 404.
    #[error(
        "metrics are disabled; `figures {{ enabled = true }}` in the director's local settings enables them"
    )]
    Disabled,
    /// The response has another status than 200 or 404; the value is its status line.
    #[error("unexpected response: {0}")]
    Status(String),
    /// The page cannot be parsed.
    #[error(transparent)]
    Page(#[from] serde_json::Error),
}

/// The metrics of a director's last interval.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// The director's name.
    pub director: String,
    /// The interval's end, in seconds of Unix time.
    #[serde(rename = "at")]
    pub end_s: f64,
    /// The interval's length in seconds.
    #[serde(rename = "length")]
    pub length_s: f64,
    /// The value of each metric, by its labels.
    #[serde(rename = "figures")]
    pub samples: Vec<Sample>,
    /// The slowest and the failed runs of each stage.
    #[serde(rename = "causes")]
    pub stage_runs: Vec<StageRun>,
}

/// The values of a metric with one set of labels. On the page, a sample is an array of name, labels and
/// values.
#[derive(Debug, Deserialize)]
pub struct Sample(String, Vec<String>, Vec<f64>);

impl Sample {
    /// The metric's name.
    fn name(&self) -> &str {
        &self.0
    }

    /// The label values, in the order of the catalogue.
    pub fn labels(&self) -> &[String] {
        &self.1
    }

    /// One value, or the values of a distribution.
    pub fn values(&self) -> &[f64] {
        &self.2
    }
}

/// A slow or failed run of a stage.
#[derive(Debug, Deserialize)]
pub struct StageRun {
    /// The name of the stage.
    pub stage: String,
    /// The number of the decision module's call, if the run was part of one.
    pub call: Option<u64>,
    /// Duration of the run, in microseconds.
    pub took_us: u64,
    /// Why the run failed; `None` if it succeeded.
    pub failed: Option<String>,
}

impl Page {
    /// Fetches the page from the director at this address.
    pub fn fetch(address: &str) -> Result<Page, FetchError> {
        let response = request(address)?;
        let (head, body) = response.split_once("\r\n\r\n").ok_or(FetchError::IncompleteHead)?;
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

    /// The first value of a metric with these labels; of a counter or a gauge, the only one.
    pub fn value(&self, name: &'static str, labels: &[&str]) -> Option<f64> {
        self.values(name, labels)?.first().copied()
    }

    /// The distinct values of the label at this position in a metric's samples, in the order of the page.
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

/// Requests the page and returns the complete response, head included.
fn request(address: &str) -> Result<String, FetchError> {
    let resolved: Option<SocketAddr> = address.to_socket_addrs()?.next();
    let resolved = resolved.ok_or(FetchError::NoAddress)?;
    let mut connection = TcpStream::connect_timeout(&resolved, TIMEOUT)?;
    connection.set_read_timeout(Some(TIMEOUT))?;
    let request = format!("GET /figures HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    connection.write_all(request.as_bytes())?;
    let mut response = String::new();
    connection.take(MAX_RESPONSE_BYTES).read_to_string(&mut response)?;
    Ok(response)
}
