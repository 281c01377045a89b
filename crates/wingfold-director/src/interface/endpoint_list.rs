//! The endpoint list that service discovery delivers.
use super::{HostId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

/// The state of a host on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// The host accepts requests.
    Ready,
    /// The host finishes its present requests and must get no new ones.
    Draining,
    /// The host is no longer on the list.
    #[serde(rename = "Gone")]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The host.
    pub host: HostId,
    /// The type of the host's machine, which the director uses only as an identifier.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// The zone that the host runs in.
    pub zone: ZoneId,
    /// The state of the host.
    pub readiness: Readiness,
    /// The listed capacity, relative to the weights of the other hosts.
    pub weight: f64,
    /// When the host last started; `None` if the host counts as warmed up.
    #[serde(rename = "started")]
    pub started_at: Option<Timestamp>,
}

/// What the endpoints of an endpoint list event cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointListKind {
    /// Only the entries that have changed.
    Changes,
    /// All entries: hosts without an entry have been removed.
    Complete,
    /// All entries as they were cached before a restart; they may be out of date.
    Cached,
}
