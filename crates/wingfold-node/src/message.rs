//! The messages at the director's address as typed values: each is decoded once and encoded once.
//!
//! The names of the protocol stand in the `serde` attributes of this module alone; everything else uses the terms of
//! the types below.

use crate::log;
use bytes::Bytes;
use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::{AttemptCounts, HostLoad, Micros, Retry};

/// A message of a client whose numbers are all in range. Names are checked by whoever knows them.
#[derive(Debug)]
pub enum Inbound {
    /// Asks for an [`Outbound::Pong`].
    Ping,
    /// A collector names its zone.
    CollectorHello(CollectorHello),
    /// How a zone's proxies fared with a host.
    LoadReport(LoadReport),
    /// A proxy opens its stream.
    ProxyHello(ProxyHello),
    /// A proxy acknowledges a barrier.
    Acknowledgement(Acknowledgement),
    /// The requests of a class that reached a proxy.
    UsageReport(UsageReport),
}

/// Why a message that is valid JSON is dropped; the connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum InvalidReason {
    /// A field is absent or of another type, or the kind is unknown.
    #[error("a field is missing or has the wrong type")]
    Form,
    /// A number is out of its range.
    #[error("a number is out of range")]
    Range,
    /// It names a class, host, proxy or zone that does not exist.
    #[error("unknown name")]
    Name,
    /// This client may not send it, or not now.
    #[error("not allowed for this client")]
    Turn,
    /// It acknowledges a barrier that was never set, or was acknowledged before.
    #[error("no such barrier is pending")]
    Mark,
}

/// Why bytes cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// They are not a JSON object, so nothing after them can be relied on.
    #[error("{0}")]
    NotJsonObject(String),
    /// They are a JSON object, and not a valid message.
    #[error(transparent)]
    Invalid(#[from] InvalidReason),
}

/// A message as it stands on the wire: its numbers may have any size and sign.
#[derive(Deserialize)]
#[serde(tag = "type")]
enum WireMessage {
    #[serde(rename = "PING")]
    Ping,
    #[serde(rename = "SOURCE")]
    CollectorHello {
        #[serde(rename = "site")]
        zone: Arc<str>,
    },
    #[serde(rename = "LOAD")]
    LoadReport {
        #[serde(rename = "site")]
        zone: Arc<str>,
        #[serde(rename = "target")]
        host: Arc<str>,
        #[serde(flatten)]
        attempts: WireAttemptCounts,
        #[serde(rename = "mean")]
        mean_latency_ms: Option<f64>,
        #[serde(rename = "util")]
        host_load: Option<HostLoadReport>,
    },
    #[serde(rename = "SUBSCRIBE")]
    ProxyHello {
        #[serde(rename = "id")]
        proxy: f64,
        #[serde(rename = "site")]
        zone: Arc<str>,
        #[serde(rename = "rps")]
        requests_per_s: f64,
    },
    #[serde(rename = "ACK")]
    Acknowledgement {
        #[serde(rename = "id")]
        proxy: f64,
        #[serde(rename = "seq")]
        barrier: f64,
        #[serde(rename = "ms")]
        elapsed_ms: f64,
    },
    #[serde(rename = "RATE")]
    UsageReport {
        #[serde(rename = "id")]
        proxy: f64,
        #[serde(rename = "lane")]
        class: Arc<str>,
        #[serde(flatten)]
        requests: WireAttemptCounts,
    },
}

/// Counts over a period, as they stand on the wire.
#[derive(Deserialize)]
struct WireAttemptCounts {
    #[serde(rename = "count")]
    total: f64,
    #[serde(rename = "fail")]
    failed: f64,
    #[serde(rename = "over")]
    period_ms: f64,
}

/// No number of a message reaches this: as a duration, 2^40 ms are 34 years.
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

impl WireAttemptCounts {
    /// Checks that both counts are integers and that the period is not empty.
    fn checked(&self) -> Result<AttemptCounts, InvalidReason> {
        let total = unsigned_integer(self.total)?;
        let failed = unsigned_integer(self.failed)?;
        let period = duration_from_ms(self.period_ms)?;
        if period.0 == 0 {
            return Err(InvalidReason::Range);
        }
        Ok(AttemptCounts { total, failed, period })
    }
}

impl TryFrom<WireMessage> for Inbound {
    type Error = InvalidReason;

    fn try_from(raw: WireMessage) -> Result<Self, InvalidReason> {
        Ok(match raw {
            WireMessage::Ping => Inbound::Ping,
            WireMessage::CollectorHello { zone } => Inbound::CollectorHello(CollectorHello { zone }),
            WireMessage::LoadReport { zone, host, attempts, mean_latency_ms, host_load } => {
                let attempts = checked_attempts(&attempts)?;
                let mean_latency = checked_mean_latency(mean_latency_ms, &attempts)?;
                let load = match host_load {
                    Some(report) => report.host_load()?,
                    None => HostLoad::default(),
                };
                Inbound::LoadReport(LoadReport { zone, host, attempts, mean_latency, load })
            }
            WireMessage::ProxyHello { proxy, zone, requests_per_s } => Inbound::ProxyHello(ProxyHello {
                proxy: proxy_number(proxy)?,
                zone,
                requests_per_s: non_negative(requests_per_s)?,
            }),
            WireMessage::Acknowledgement { proxy, barrier, elapsed_ms } => {
                Inbound::Acknowledgement(Acknowledgement {
                    proxy: proxy_number(proxy)?,
                    barrier: unsigned_integer(barrier)?,
                    elapsed: duration_from_ms(elapsed_ms)?,
                })
            }
            WireMessage::UsageReport { proxy, class, requests } => Inbound::UsageReport(UsageReport {
                proxy: proxy_number(proxy)?,
                class,
                requests: requests.checked()?,
            }),
        })
    }
}

/// Checks the attempts of a load report, of which no more can fail than were made. That does not hold for usage, where
/// a request may fail in a later period than the one it came in.
fn checked_attempts(raw: &WireAttemptCounts) -> Result<AttemptCounts, InvalidReason> {
    let attempts = raw.checked()?;
    if attempts.failed > attempts.total {
        return Err(InvalidReason::Range);
    }
    Ok(attempts)
}

/// Checks the mean latency of the successful attempts; it may be absent where none succeeded.
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

/// A host's own report of its load as it stands on the wire; fields that the decision module does not use may hold
/// anything.
#[derive(Clone, Debug, Deserialize)]
pub struct HostLoadReport(BTreeMap<String, serde_json::Value>);

impl HostLoadReport {
    /// Translates the report into the decision module's terms, or says what is wrong with a field that it uses.
    pub fn host_load(&self) -> Result<HostLoad, InvalidReason> {
        let mut load = HostLoad::default();
        for (name, value) in &self.0 {
            let number = value.as_f64();
            if wingfold_settings::set_load_field(&mut load, name, number) {
                non_negative(number.ok_or(InvalidReason::Form)?)?;
            }
        }
        Ok(load)
    }
}

/// The attempts of one zone's proxies at one host.
#[derive(Debug)]
pub struct LoadReport {
    /// The zone of the proxies.
    pub zone: Arc<str>,
    /// The host.
    pub host: Arc<str>,
    /// Attempts made and failed.
    pub attempts: AttemptCounts,
    /// Mean latency of the successful attempts.
    pub mean_latency: Micros,
    /// The latest load that the host reported; empty where there is none.
    pub load: HostLoad,
}

/// The first message of a proxy.
#[derive(Debug)]
pub struct ProxyHello {
    /// The proxy.
    pub proxy: u32,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its usual load, roughly.
    pub requests_per_s: f64,
}

/// A proxy has applied everything up to a barrier.
#[derive(Debug)]
pub struct Acknowledgement {
    /// The proxy.
    pub proxy: u32,
    /// The number of the barrier.
    pub barrier: u64,
    /// Time from the decision until it took effect.
    pub elapsed: Micros,
}

/// The requests of one class that reached one proxy.
#[derive(Debug)]
pub struct UsageReport {
    /// The proxy.
    pub proxy: u32,
    /// The class.
    pub class: Arc<str>,
    /// Requests that came, and those that the proxy admitted and could not serve.
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

/// One part of an update for a proxy, which is one frame; empty fields are left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ProxyUpdatePart {
    /// The classes whose tables change; empty for all classes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<Arc<str>>,
    /// The entries make up the complete table, and admission levels are reset.
    #[serde(rename = "whole", skip_serializing_if = "std::ops::Not::not")]
    pub complete: bool,
    /// Changed entries of the table.
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
    /// A further part of the same update follows.
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
    /// Writes the entry as a pair, which is its form on the wire.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.host, self.weight).serialize(serializer)
    }
}

/// The admission level of a class and its retry policy; neither is sent without the other.
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
    /// Lines that this part counts for in the send queue.
    pub fn queue_lines(&self) -> usize {
        usize::from(self.complete)
            + usize::from(self.barrier.is_some())
            + usize::from(self.admission.is_some())
            + self.entries.len()
            + self.ejected.len()
            + self.restored.len()
    }
}

/// Decodes a message, and distinguishes bytes that are no JSON object from a message that is only invalid.
pub fn decode(bytes: &[u8]) -> Result<Inbound, DecodeError> {
    match serde_json::from_slice::<WireMessage>(bytes) {
        Ok(raw) => Ok(raw.try_into()?),
        Err(_) if is_json_object(bytes) => Err(InvalidReason::Form.into()),
        Err(error) => Err(DecodeError::NotJsonObject(log::sanitize(&error.to_string()))),
    }
}

/// Whether bytes are one JSON object. An error of decoding may stand at a field while the text goes bad after it, so
/// the text is read to its end.
fn is_json_object(bytes: &[u8]) -> bool {
    let starts_object = bytes.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'{');
    starts_object
        && std::str::from_utf8(bytes).is_ok()
        && serde_json::from_slice::<serde::de::IgnoredAny>(bytes).is_ok()
}

/// Encodes a message.
pub fn encode(message: &Outbound) -> Bytes {
    // Types with string keys and finite numbers can always be encoded. Weights and levels that are not finite are
    // written as null, which the engine's invariant on them reports.
    serde_json::to_vec(message).unwrap_or_default().into()
}

#[cfg(test)]
mod tests;
