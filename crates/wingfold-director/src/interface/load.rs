//! What proxies, hosts and other directors report: attempts, load, health.
use super::{HostId, Micros, ZoneId};
use serde::{Deserialize, Serialize};

/// The load that a host reports of itself; values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostLoad {
    /// Requests that are being served.
    pub in_flight: Option<f64>,
    /// Requests that wait to be served.
    pub queued: Option<f64>,
    /// Busy share of the cores, as a ratio.
    pub utilization: Option<f64>,
    /// Recent service time without queueing, in ms.
    pub service_ms: Option<f64>,
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthCheckOutcome {
    /// The host answered that it is healthy.
    Ok,
    /// The host answered and rejected the check: it is draining, or was checked too often.
    Rejected,
    /// There was no valid answer.
    Failed,
}

/// Attempts or requests that were counted over a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// All of them.
    pub total: u64,
    /// Those that failed.
    pub failed: u64,
    /// The period over which they were counted.
    pub period: Micros,
}

/// Another director's view of a host, as the proxies of one of its zones see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAdvice {
    /// The number of the other director.
    pub from: u32,
    /// The zone whose proxies see the host so.
    pub zone: ZoneId,
    /// The host.
    pub host: HostId,
    /// Whether the zone has the host ejected or in probation.
    pub ejected: bool,
    /// How often the zone has halved the weight of the host.
    pub weight_halvings: u32,
    /// The age of this view.
    pub age: Micros,
}
