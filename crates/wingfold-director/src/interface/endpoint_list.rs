//! The endpoint list that service discovery delivers.
use super::{HostId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

/// The state of a host on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// The host accepts requests.
    Ready,
    /// The host finishes the requests it has; it must get no new ones.
    Draining,
    /// The host is not on the list any more.
    #[serde(rename = "Gone")]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The host.
    pub host: HostId,
    /// The type of its machine; opaque to the director.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// The zone that the host is in.
    pub zone: ZoneId,
    /// The state of the host.
    pub readiness: Readiness,
    /// The listed capacity, relative to the weights of the other hosts.
    pub weight: f64,
    /// When the host last started; `None`: too long ago to matter.
    #[serde(rename = "started")]
    pub started_at: Option<Timestamp>,
}

/// Which part of the endpoint list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointListKind {
    /// Only the entries that have changed.
    Changes,
    /// All entries: a host without an entry has been removed.
    Complete,
    /// All entries as they were cached before a restart; they may be out of date.
    Cached,
}
