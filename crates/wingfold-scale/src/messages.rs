//! The messages between a director and its clients, in the form that the clients write and read.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};
use wingfold_test_support::frame;

/// A message from a client to a director.
#[derive(Debug, Serialize)]
#[serde(tag = "type")]
pub enum ClientMessage<'a> {
    /// Asks the director for a [`DirectorMessage::Pong`].
    #[serde(rename = "PING")]
    Ping,
    /// The first message of a collector, with its zone.
    #[serde(rename = "SOURCE")]
    CollectorHello {
        /// The zone.
        #[serde(rename = "site")]
        zone: &'a str,
    },
    /// A load report: the attempts of a zone's proxies at one host in a period.
    #[serde(rename = "LOAD")]
    LoadReport {
        /// The zone.
        #[serde(rename = "site")]
        zone: &'a str,
        /// The host.
        #[serde(rename = "target")]
        host: &'a str,
        /// All attempts.
        #[serde(rename = "count")]
        attempts: u64,
        /// Failed attempts.
        #[serde(rename = "fail")]
        failed: u64,
        /// Mean latency of the attempts that succeeded.
        #[serde(rename = "mean")]
        mean_latency_ms: f64,
        /// The period that the report covers.
        #[serde(rename = "over")]
        period_ms: f64,
    },
    /// The first message of a proxy, with which it joins the director.
    #[serde(rename = "SUBSCRIBE")]
    ProxyHello {
        /// The proxy's number.
        #[serde(rename = "id")]
        proxy: u32,
        /// The proxy's zone.
        #[serde(rename = "site")]
        zone: &'a str,
        /// Requests per second that reach the proxy.
        #[serde(rename = "rps")]
        requests_per_s: f64,
        /// Whether the proxy joins for the first time and holds no table.
        #[serde(rename = "new")]
        is_new: bool,
    },
    /// The acknowledgement of a proxy that it has applied all updates up to a barrier.
    #[serde(rename = "ACK")]
    Acknowledgement {
        /// The proxy's number.
        #[serde(rename = "id")]
        proxy: u32,
        /// The barrier.
        #[serde(rename = "seq")]
        barrier: u64,
        /// Time from the receipt of the barrier until its update was applied.
        #[serde(rename = "ms")]
        elapsed_ms: f64,
    },
    /// A usage report: the requests of one class that reached a proxy in a period.
    #[serde(rename = "RATE")]
    UsageReport {
        /// The proxy's number.
        #[serde(rename = "id")]
        proxy: u32,
        /// The class.
        #[serde(rename = "lane")]
        class: &'a str,
        /// All requests.
        #[serde(rename = "count")]
        requests: u64,
        /// Requests that were admitted and failed.
        #[serde(rename = "fail")]
        failed: u64,
        /// The period that the report covers.
        #[serde(rename = "over")]
        period_ms: f64,
    },
}

/// A message from a director to a client.
#[derive(Debug, Deserialize)]
#[serde(tag = "type")]
pub enum DirectorMessage<'a> {
    /// The answer to [`ClientMessage::Ping`].
    #[serde(rename = "PONG")]
    Pong,
    /// A part of an update for a proxy.
    #[serde(rename = "CONFIG", borrow)]
    ProxyUpdate(ProxyUpdatePart<'a>),
}

/// A part of an update for a proxy.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ProxyUpdatePart<'a> {
    /// The classes whose tables change; an empty list stands for all classes.
    #[serde(borrow)]
    pub classes: Vec<Cow<'a, str>>,
    /// Whether the entries replace the complete tables instead of changing them.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Hosts and their weights; a weight of 0 removes the host.
    #[serde(rename = "lines", borrow)]
    pub entries: Vec<(Cow<'a, str>, f64)>,
    /// Hosts to eject.
    #[serde(rename = "out", borrow)]
    pub ejected: Vec<Cow<'a, str>>,
    /// Hosts whose ejection ends.
    #[serde(rename = "back", borrow)]
    pub restored: Vec<Cow<'a, str>>,
    /// The admission level of the classes. A simulated proxy does not apply it; the level only counts as a
    /// line.
    #[serde(rename = "level")]
    pub admission_level: Option<f64>,
    /// A barrier that the proxy acknowledges.
    #[serde(rename = "ticket")]
    pub barrier: Option<u64>,
    /// Whether a further part of the same update follows.
    #[serde(rename = "more")]
    pub has_more: bool,
}

impl ProxyUpdatePart<'_> {
    /// Returns how many lines of the send queue the part occupies: each entry, ejection, restored host,
    /// admission level, barrier and `complete` is one.
    pub fn line_count(&self) -> usize {
        let flags = [self.admission_level.is_some(), self.barrier.is_some(), self.complete];
        let flags = flags.into_iter().filter(|is_set| *is_set).count();
        self.entries.len() + self.ejected.len() + self.restored.len() + flags
    }
}

/// Limit on the length of a frame's body in the protocol; a longer one is an error.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Appends a message, encoded as a frame, to a buffer.
pub fn append_frame(buffer: &mut Vec<u8>, message: &ClientMessage) {
    let body = serde_json::to_vec(message).expect("a message is plain JSON");
    frame::append(buffer, &body);
}

/// Encodes a message as a frame.
pub fn encode_frame(message: &ClientMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    append_frame(&mut bytes, message);
    bytes
}

/// Reads the body of the next frame.
pub async fn read_frame(from: &mut (impl AsyncRead + Unpin), body: &mut Vec<u8>) -> io::Result<()> {
    let mut header = [0; frame::HEADER_BYTES];
    from.read_exact(&mut header).await?;
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    body.resize(length, 0);
    from.read_exact(body).await.map(|_| ())
}
