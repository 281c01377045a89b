//! A host of the endpoint list.
use crate::interface::{Endpoint, Readiness, Timestamp};
use serde::{Deserialize, Serialize};

/// The state of a host that is the same for all zones.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Host {
    /// The host's latest entry in the endpoint list.
    #[serde(rename = "entry")]
    pub(crate) endpoint: Endpoint,
    /// Listed weight that tables use, corrected by the relative speed of the machine type. Small changes of
    /// the weight on the endpoint list are ignored.
    pub(crate) weight: f64,
    /// Smoothed utilization; `None` if the host has reported none.
    #[serde(rename = "busy")]
    pub(crate) utilization: Option<ReportedUtilization>,
    /// Consecutive useless attempts, counted over all zones: attempts that failed, or whose answers came too
    /// late for the latency objective of every class.
    #[serde(rename = "row")]
    pub(crate) consecutive_useless: f64,
    /// The endpoint list reports the host as removed, but removals are only advisory in this deployment: the
    /// host stays in tables until attempts at the host fail as well.
    #[serde(rename = "doubted")]
    pub(crate) removal_suspected: bool,
    /// When the endpoint list first omitted the host or reported it as removed; `None` if the list has named
    /// the host as ready or draining since.
    #[serde(rename = "gone_at")]
    pub(crate) removed_at: Option<Timestamp>,
    /// When the endpoint list first showed that the host must not be sent new requests; `None` if the host is
    /// ready.
    #[serde(default, rename = "unready_at", skip_serializing_if = "Option::is_none")]
    pub(crate) not_ready_since: Option<Timestamp>,
}

impl Host {
    /// Whether the host accepts new requests according to the endpoint list.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.readiness == Readiness::Ready
    }
}

/// A host's utilization, from the host's own load reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredUtilization", into = "StoredUtilization")]
pub(crate) struct ReportedUtilization {
    /// Smoothed ratio of busy cores.
    pub(crate) ratio: f64,
    /// Time of the last report.
    pub(crate) reported_at: Timestamp,
}

/// The stored form of [`ReportedUtilization`]: ratio, time of the last report.
type StoredUtilization = (f64, Timestamp);

impl From<StoredUtilization> for ReportedUtilization {
    fn from((ratio, reported_at): StoredUtilization) -> Self {
        ReportedUtilization { ratio, reported_at }
    }
}

impl From<ReportedUtilization> for StoredUtilization {
    fn from(utilization: ReportedUtilization) -> Self {
        (utilization.ratio, utilization.reported_at)
    }
}

/// The warm-up of a host after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WarmUp {
    /// Lower bound of the host's present capacity, as a ratio of its full capacity.
    pub(crate) slow_start_factor: f64,
    /// Whether less than the warm-up time of the settings has passed since the host's start.
    pub(crate) is_warming_up: bool,
}
