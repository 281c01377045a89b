//! The messages that clients and the director exchange, as typed values, and their JSON encoding.
//!
//! The protocol's own names occur only in the `serde` attributes of this module. All other code uses the
//! names of the types and fields below.

mod wire_value;

pub use wire_value::HostLoadReport;

use self::wire_value::WireValue;
use crate::log;
use bytes::Bytes;
use serde::{Deserialize, Serialize, Serializer};
use std::sync::Arc;
use wingfold_director::interface::{AttemptCounts, HostLoad, Micros, Retry};

/// A client's message, with all numbers checked to be in range. Names of zones, classes and hosts are not
/// checked yet.
#[derive(Debug)]
pub enum Inbound {
    /// Asks for an [`Outbound::Pong`].
    Ping,
    /// The first message of a collector, which names its zone.
    CollectorHello(CollectorHello),
    /// The attempts of a zone's proxies at a host.
    LoadReport(LoadReport),
    /// The first message of a proxy, which opens its stream.
    ProxyHello(ProxyHello),
    /// A proxy acknowledges a barrier.
    Acknowledgement(Acknowledgement),
    /// The requests of one class that reached a proxy.
    UsageReport(UsageReport),
}

/// Why a message that is valid JSON is dropped while its connection stays open.
///
/// The stage `admit` records the name of the variant, which `/figures` shows.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum InvalidReason {
    /// A field is missing or of the wrong type, or the type of the message is unknown.
    #[error("a field is missing or has the wrong type")]
    Form,
    /// A number is out of range.
    #[error("a number is out of range")]
    Range,
    /// The message names a class, host, proxy or zone that does not exist, or another client.
    #[error("unknown class, host, proxy or zone")]
    Name,
    /// Clients of this kind may not send the message, or not at this point.
    #[error("message type is not allowed for this client or at this point")]
    Turn,
    /// The message acknowledges a barrier that was never set or has already been acknowledged.
    #[error("no such barrier is pending")]
    Mark,
}

/// Why bytes cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not a JSON object, so the frames after them cannot be relied on either.
    #[error("{0}")]
    NotJsonObject(String),
    /// The bytes are a JSON object, but not a valid message.
    #[error(transparent)]
    Invalid(#[from] InvalidReason),
}

/// Names of the fields of all messages on the wire.
const FIELD_NAMES: [&str; 13] =
    ["type", "site", "target", "count", "fail", "mean", "over", "util", "id", "rps", "seq", "ms", "lane"];

/// Whether some message has a field of this name.
pub fn is_field(name: &str) -> bool {
    FIELD_NAMES.contains(&name)
}

/// Whether the load of a host, as a load report holds it, has a field of this name that the decision module
/// uses.
pub fn is_load_field(name: &str) -> bool {
    wingfold_settings::set_load_field(&mut HostLoad::default(), name, None)
}

/// The fields of a message of any type, before it is known which of them the type has.
///
/// Fields may come in any order. They are read in one pass that keeps nothing but short names and numbers,
/// so that decoding takes no more memory than the message, whatever the message contains.
#[derive(Default, Deserialize)]
#[serde(default)]
struct WireMessage {
    #[serde(rename = "type")]
    kind: WireValue,
    #[serde(rename = "site")]
    zone: WireValue,
    #[serde(rename = "target")]
    host: WireValue,
    #[serde(rename = "count")]
    total: WireValue,
    #[serde(rename = "fail")]
    failed: WireValue,
    #[serde(rename = "mean")]
    mean_latency_ms: WireValue,
    #[serde(rename = "over")]
    period_ms: WireValue,
    #[serde(rename = "util")]
    host_load: WireValue,
    #[serde(rename = "id")]
    proxy: WireValue,
    #[serde(rename = "rps")]
    requests_per_s: WireValue,
    #[serde(rename = "seq")]
    barrier: WireValue,
    #[serde(rename = "ms")]
    elapsed_ms: WireValue,
    #[serde(rename = "lane")]
    class: WireValue,
}

/// Numbers in messages must be below this limit: as a duration, 2^40 ms are 34 years.
const NUMBER_LIMIT: f64 = (1u64 << 40) as f64;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1e3;

fn non_negative(value: f64) -> Result<f64, InvalidReason> {
    if (0.0..NUMBER_LIMIT).contains(&value) {
        Ok(value)
    } else {
        Err(InvalidReason::Range)
    }
}

fn unsigned_integer(value: f64) -> Result<u64, InvalidReason> {
    let value = non_negative(value)?;
    if value.fract() == 0.0 {
        Ok(value as u64)
    } else {
        Err(InvalidReason::Range)
    }
}

fn proxy_number(value: f64) -> Result<u32, InvalidReason> {
    u32::try_from(unsigned_integer(value)?).map_err(|_| InvalidReason::Range)
}

fn duration_from_ms(value: f64) -> Result<Micros, InvalidReason> {
    Ok(Micros((non_negative(value)? * MICROS_PER_MS) as u64))
}

impl WireMessage {
    /// Checks the fields that the type of the message has.
    fn checked(&self) -> Result<Inbound, InvalidReason> {
        let WireValue::Text(kind) = &self.kind else { return Err(InvalidReason::Form) };
        match kind.as_ref() {
            "PING" => Ok(Inbound::Ping),
            "SOURCE" => Ok(Inbound::CollectorHello(CollectorHello { zone: self.zone.name()? })),
            "LOAD" => self.load_report().map(Inbound::LoadReport),
            "SUBSCRIBE" => self.proxy_hello().map(Inbound::ProxyHello),
            "ACK" => self.acknowledgement().map(Inbound::Acknowledgement),
            "RATE" => self.usage_report().map(Inbound::UsageReport),
            _ => Err(InvalidReason::Form),
        }
    }

    fn load_report(&self) -> Result<LoadReport, InvalidReason> {
        let zone = self.zone.name()?;
        let host = self.host.name()?;
        let mean_latency_ms = self.mean_latency_ms.optional_number()?;
        let load = self.host_load.host_load();
        let attempts = self.attempts()?;
        if attempts.failed > attempts.total {
            return Err(InvalidReason::Range);
        }
        let mean_latency = checked_mean_latency(mean_latency_ms, &attempts)?;
        Ok(LoadReport { zone, host, attempts, mean_latency, load: load? })
    }

    fn proxy_hello(&self) -> Result<ProxyHello, InvalidReason> {
        let zone = self.zone.name()?;
        let requests_per_s = self.requests_per_s.number()?;
        Ok(ProxyHello {
            proxy: proxy_number(self.proxy.number()?)?,
            zone,
            requests_per_s: non_negative(requests_per_s)?,
        })
    }

    fn acknowledgement(&self) -> Result<Acknowledgement, InvalidReason> {
        let (barrier, elapsed_ms) = (self.barrier.number()?, self.elapsed_ms.number()?);
        Ok(Acknowledgement {
            proxy: proxy_number(self.proxy.number()?)?,
            barrier: unsigned_integer(barrier)?,
            elapsed: duration_from_ms(elapsed_ms)?,
        })
    }

    /// Unlike those of a load report, the failed requests may outnumber all: a request may fail in a later
    /// period than the one in which it arrived.
    fn usage_report(&self) -> Result<UsageReport, InvalidReason> {
        let proxy = self.proxy.number()?;
        let class = self.class.name()?;
        let requests = self.attempts()?;
        Ok(UsageReport { proxy: proxy_number(proxy)?, class, requests })
    }

    /// Checks that both counts are non-negative integers and that the period is longer than 0.
    fn attempts(&self) -> Result<AttemptCounts, InvalidReason> {
        let (total, failed) = (self.total.number()?, self.failed.number()?);
        let period = duration_from_ms(self.period_ms.number()?)?;
        let (total, failed) = (unsigned_integer(total)?, unsigned_integer(failed)?);
        if period.0 == 0 {
            return Err(InvalidReason::Range);
        }
        Ok(AttemptCounts { total, failed, period })
    }
}

/// Checks the mean latency of the successful attempts, which may be missing only if none succeeded.
fn checked_mean_latency(
    mean_latency_ms: Option<f64>,
    attempts: &AttemptCounts,
) -> Result<Micros, InvalidReason> {
    match mean_latency_ms {
        Some(mean_latency_ms) => duration_from_ms(mean_latency_ms),
        None if attempts.total > attempts.failed => Err(InvalidReason::Form),
        None => Ok(Micros(0)),
    }
}

/// The first message of a collector.
#[derive(Debug)]
pub struct CollectorHello {
    /// The zone whose proxies it collects from.
    pub zone: Arc<str>,
}

/// The attempts of one zone's proxies at one host over a period.
#[derive(Debug)]
pub struct LoadReport {
    /// The zone of the proxies.
    pub zone: Arc<str>,
    /// The host.
    pub host: Arc<str>,
    /// Attempts in all, and those that failed.
    pub attempts: AttemptCounts,
    /// Mean latency of the successful attempts.
    pub mean_latency: Micros,
    /// The load that the host last reported; empty if it reported none.
    pub load: HostLoad,
}

/// The first message of a proxy.
#[derive(Debug)]
pub struct ProxyHello {
    /// The proxy.
    pub proxy: u32,
    /// The zone of the proxy.
    pub zone: Arc<str>,
    /// The approximate usual load of the proxy.
    pub requests_per_s: f64,
}

/// A proxy's acknowledgement that it has applied all updates up to a barrier.
#[derive(Debug)]
pub struct Acknowledgement {
    /// The proxy.
    pub proxy: u32,
    /// The number of the barrier.
    pub barrier: u64,
    /// Time from the decision until it took effect at the proxy.
    pub elapsed: Micros,
}

/// The requests of one class that reached one proxy.
#[derive(Debug)]
pub struct UsageReport {
    /// The proxy.
    pub proxy: u32,
    /// The class.
    pub class: Arc<str>,
    /// Requests that arrived, and those that the proxy admitted but could not serve.
    pub requests: AttemptCounts,
}

/// A message of the director.
#[derive(Debug, PartialEq, Serialize)]
#[serde(tag = "type")]
pub enum Outbound {
    /// The answer to a `PING`.
    #[serde(rename = "PONG")]
    Pong,
    /// One part of an update for a proxy.
    #[serde(rename = "CONFIG")]
    ProxyUpdatePart(ProxyUpdatePart),
}

/// One part of an update for a proxy, sent as one frame; empty fields are omitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ProxyUpdatePart {
    /// The classes whose tables change; empty if all do.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<Arc<str>>,
    /// Whether the entries replace the complete table; admission levels are then reset as well.
    #[serde(rename = "whole", skip_serializing_if = "std::ops::Not::not")]
    pub complete: bool,
    /// The changed entries of the table.
    #[serde(rename = "lines", skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<TableEntry>,
    /// The admission level of the classes.
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    pub admission: Option<AdmissionLevel>,
    /// Hosts that the proxy must not use until they are restored.
    #[serde(rename = "out", skip_serializing_if = "Vec::is_empty")]
    pub ejected: Vec<Arc<str>>,
    /// Hosts that the proxy may use again.
    #[serde(rename = "back", skip_serializing_if = "Vec::is_empty")]
    pub restored: Vec<Arc<str>>,
    /// A barrier that the proxy acknowledges.
    #[serde(rename = "ticket", skip_serializing_if = "Option::is_none")]
    pub barrier: Option<u64>,
    /// Whether another part of the same update follows.
    #[serde(rename = "more", skip_serializing_if = "std::ops::Not::not")]
    pub has_more_parts: bool,
}

/// An entry of a table; a weight of 0 removes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TableEntry {
    /// The host.
    pub host: Arc<str>,
    /// Its weight.
    pub weight: f64,
}

impl Serialize for TableEntry {
    /// Writes the entry as a pair, its format on the wire.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.host, self.weight).serialize(serializer)
    }
}

/// The admission level of a class and its retry policy, which are always sent together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AdmissionLevel {
    /// The admission level.
    pub level: f64,
    /// The retry policy.
    #[serde(serialize_with = "serialize_retry")]
    pub retry: Retry,
}

fn serialize_retry<S: Serializer>(retry: &Retry, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u8(wingfold_settings::retry_code(*retry))
}

impl ProxyUpdatePart {
    /// The number of lines that this part adds to the send queue.
    pub fn queue_lines(&self) -> usize {
        usize::from(self.complete)
            + usize::from(self.barrier.is_some())
            + usize::from(self.admission.is_some())
            + self.entries.len()
            + self.ejected.len()
            + self.restored.len()
    }
}

/// Decodes a message. The error distinguishes bytes that are not a JSON object from an object that is an
/// invalid message.
pub fn decode(bytes: &[u8]) -> Result<Inbound, DecodeError> {
    match serde_json::from_slice::<WireMessage>(bytes) {
        Ok(fields) if starts_object(bytes) => Ok(fields.checked()?),
        Ok(_) => Err(DecodeError::NotJsonObject("the message is not an object".to_string())),
        Err(_) if is_json_object(bytes) => Err(InvalidReason::Form.into()),
        Err(error) => Err(DecodeError::NotJsonObject(log::sanitize(&error.to_string()))),
    }
}

fn starts_object(bytes: &[u8]) -> bool {
    bytes.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'{')
}

/// Whether bytes are exactly one JSON object. Decoding may have stopped at an invalid field before a syntax
/// error, so the bytes are parsed again to their end.
fn is_json_object(bytes: &[u8]) -> bool {
    starts_object(bytes)
        && std::str::from_utf8(bytes).is_ok()
        && serde_json::from_slice::<serde::de::IgnoredAny>(bytes).is_ok()
}

/// Encodes a message.
pub fn encode(message: &Outbound) -> Bytes {
    // Encoding cannot fail: all keys are strings, and weights or levels that are not finite are written as
    // null. The engine checks an invariant that reports those.
    serde_json::to_vec(message).unwrap_or_default().into()
}

#[cfg(test)]
mod tests;
