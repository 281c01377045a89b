//! The endpoint list as discovery's responses and the configuration hold it. This module alone maps the names
//! of fields and states on the wire to the terms of the code.

mod addresses;
mod reader;

pub use addresses::{EndpointAddresses, HealthCheckTarget};

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::sync::Arc;
use wingfold_director::interface::{Endpoint, EndpointListKind, HostId, Readiness, Timestamp, ZoneId};

/// One response of discovery: the complete list, or the entries that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListResponse {
    /// The version of the list that includes these entries.
    pub version: u64,
    /// Whether the entries are the complete list, and not only those that changed.
    #[serde(rename = "full")]
    pub complete: bool,
    /// The entries that were read.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointEntry>,
    /// The entries that could not be read; only [`read`](Self::read) fills them in.
    #[serde(skip)]
    pub unreadable: UnreadableEntries,
}

/// The entries of a response that cannot be read. Only the first one is described.
#[derive(Clone, Debug, Default)]
pub struct UnreadableEntries {
    /// How many they are.
    pub count: usize,
    /// The first one.
    pub first: Option<UnreadableEntry>,
}

impl UnreadableEntries {
    fn add(&mut self, describe: impl FnOnce() -> UnreadableEntry) {
        self.count += 1;
        self.first.get_or_insert_with(describe);
    }
}

/// An entry that cannot be read, and why.
#[derive(Clone, Debug)]
pub struct UnreadableEntry {
    /// Position among the entries, from 0.
    index: usize,
    /// The host that the entry names, if its name can be read.
    host: Option<String>,
    /// Why the entry cannot be read.
    reason: String,
}

impl fmt::Display for UnreadableEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match &self.host {
            Some(host) => write!(formatter, "entry {} ({host}): {}", self.index, self.reason),
            None => write!(formatter, "entry {}: {}", self.index, self.reason),
        }
    }
}

/// One endpoint of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry {
    #[serde(rename = "id", deserialize_with = "read_name")]
    host: Arc<str>,
    #[serde(rename = "addr", deserialize_with = "read_name")]
    address: Arc<str>,
    #[serde(deserialize_with = "read_name")]
    zone: Arc<str>,
    #[serde(rename = "kind", default, deserialize_with = "read_machine_type")]
    machine_type: String,
    state: EndpointState,
    #[serde(default = "default_weight", deserialize_with = "read_weight")]
    weight: f64,
    /// Unix time in milliseconds; 0 if the host started too long ago to matter.
    #[serde(rename = "started_ms", default, deserialize_with = "read_unix_time_ms")]
    started_at_ms: f64,
}

/// Whether an endpoint receives requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
enum EndpointState {
    #[serde(rename = "active")]
    Active,
    #[serde(rename = "leaving")]
    Draining,
    #[serde(rename = "left")]
    Removed,
}

/// Limit on the bytes of a name. Host names, zone names and addresses are far shorter. Each is stored and
/// written often.
const MAX_NAME_BYTES: usize = 255;
/// Limit on a weight. Sums of thousands of weights within it keep their precision.
const MAX_WEIGHT: f64 = 1e9;
/// The end of the year 9999, in milliseconds of Unix time.
const MAX_UNIX_TIME_MS: f64 = 253_402_300_799_999.0;

fn read_name<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<str>, D::Error> {
    let name = Arc::<str>::deserialize(deserializer)?;
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        let length = name.len();
        let message = format!("name has {length} bytes, 1 to {MAX_NAME_BYTES} are expected");
        return Err(Error::custom(message));
    }
    Ok(name)
}

/// Reads the name of a machine type, which may be empty.
fn read_machine_type<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    let name = String::deserialize(deserializer)?;
    if name.len() > MAX_NAME_BYTES {
        let length = name.len();
        let message = format!("kind has {length} bytes, {MAX_NAME_BYTES} at most are expected");
        return Err(Error::custom(message));
    }
    Ok(name)
}

fn read_number_up_to<'de, D: Deserializer<'de>>(deserializer: D, max: f64) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if !(0.0..=max).contains(&number) {
        return Err(Error::custom(format!("number is {number:e}, 0 to {max:e} is expected")));
    }
    Ok(number)
}

fn read_weight<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    read_number_up_to(deserializer, MAX_WEIGHT)
}

fn read_unix_time_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    read_number_up_to(deserializer, MAX_UNIX_TIME_MS)
}

fn default_weight() -> f64 {
    1.0
}

impl EndpointListResponse {
    /// How the entries change the list held: a host that a complete list does not name has been removed.
    pub fn kind(&self) -> EndpointListKind {
        if self.complete {
            EndpointListKind::Complete
        } else {
            EndpointListKind::Changes
        }
    }

    /// The entries as the types of the decision module.
    pub fn to_endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.iter().map(EndpointEntry::to_endpoint).collect()
    }
}

impl EndpointEntry {
    /// Whether the endpoint drains or has been removed.
    pub fn is_draining_or_removed(&self) -> bool {
        self.state != EndpointState::Active
    }

    fn to_endpoint(&self) -> Endpoint {
        Endpoint {
            host: HostId(self.host.clone()),
            machine_type: self.machine_type.clone(),
            zone: ZoneId(self.zone.clone()),
            readiness: self.state.readiness(),
            weight: self.weight,
            started_at: self.started_at(),
        }
    }

    fn started_at(&self) -> Option<Timestamp> {
        if self.started_at_ms > 0.0 {
            Some(Timestamp((self.started_at_ms * 1e3) as u64))
        } else {
            None
        }
    }
}

impl EndpointState {
    fn readiness(self) -> Readiness {
        match self {
            EndpointState::Active => Readiness::Ready,
            EndpointState::Draining => Readiness::Draining,
            EndpointState::Removed => Readiness::Removed,
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
