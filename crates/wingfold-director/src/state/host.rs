//! A host of the endpoint list.
use crate::interface::{Endpoint, Readiness, Timestamp};
use serde::{Deserialize, Serialize};

/// What is known of a host, whichever zone sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Host {
    /// The host's last entry in the endpoint list.
    #[serde(rename = "entry")]
    pub(crate) endpoint: Endpoint,
    /// Listed weight that tables use, corrected by the relative speed of the machine type. It follows the
    /// list only on a substantial change.
    pub(crate) weight: f64,
    /// Smoothed utilization, if any was reported.
    #[serde(rename = "busy")]
    pub(crate) utilization: Option<ReportedUtilization>,
    /// Consecutive attempts in all zones that failed or came too late for every latency objective.
    #[serde(rename = "row")]
    pub(crate) consecutive_useless: f64,
    /// The list calls the host removed, which is only advice here: it stays until its own answers fail as
    /// well.
    #[serde(rename = "doubted")]
    pub(crate) removal_suspected: bool,
    /// When the list first left the host out, or called it removed, without naming it again since.
    #[serde(rename = "gone_at")]
    pub(crate) removed_at: Option<Timestamp>,
}

impl Host {
    /// Whether the host takes new requests according to the endpoint list.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.readiness == Readiness::Ready
    }
}

/// Utilization of a host as it reported it.
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

/// How far a host has warmed up after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WarmUp {
    /// Ratio of its capacity that the host has by now at least.
    pub(crate) slow_start_factor: f64,
    /// The warm-up time of the settings has not passed yet.
    pub(crate) is_warming_up: bool,
}
