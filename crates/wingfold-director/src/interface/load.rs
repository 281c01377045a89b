//! Reports of proxies, hosts and other directors: attempts, load and health.
use super::{HostId, Micros, ZoneId};
use serde::{Deserialize, Serialize};

/// The load that a host reports. Values that the host does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostLoad {
    /// Number of requests that the host is serving.
    pub in_flight: Option<f64>,
    /// Number of requests that wait in the host's queue.
    pub queued: Option<f64>,
    /// Utilization of the host's cores, as a ratio.
    pub utilization: Option<f64>,
    /// Recent service time without time in the queue, in milliseconds.
    pub service_ms: Option<f64>,
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthCheckOutcome {
    /// The host responded that it is healthy.
    Ok,
    /// The host responded but rejected the check: the host is draining, or was checked too often.
    Rejected,
    /// The host sent no valid response.
    Failed,
}

/// Attempts or requests that were counted over a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Number of attempts or requests, including those that failed.
    pub total: u64,
    /// Number of attempts or requests that failed.
    pub failed: u64,
    /// The period that the counts cover.
    pub period: Micros,
}

/// Another director's view of a host, for one of the zones that it serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAdvice {
    /// The number of the other director.
    pub from: u32,
    /// The zone that the view applies to.
    pub zone: ZoneId,
    /// The host.
    pub host: HostId,
    /// Whether the zone has the host ejected or in probation.
    pub ejected: bool,
    /// How often the zone has halved the weight of the host.
    pub weight_halvings: u32,
    /// Time since the other director formed this view.
    pub age: Micros,
}
