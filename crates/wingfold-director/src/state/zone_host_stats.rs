//! Statistics of a host from the attempts of one zone's proxies, and the host's health in that zone.
use crate::interface::{HostId, Timestamp};
use serde::{Deserialize, Serialize};

/// Counts of attempts at a host, with their failures and latencies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct AttemptStats {
    /// All attempts.
    #[serde(rename = "tries")]
    pub(crate) attempts: f64,
    /// The attempts that failed.
    #[serde(rename = "lost")]
    pub(crate) failures: f64,
    /// Sum of the latencies of the successful attempts, in milliseconds.
    #[serde(rename = "ms")]
    pub(crate) latency_sum_ms: f64,
}

impl AttemptStats {
    /// Adds the counts and latencies of `other`.
    pub(crate) fn add(&mut self, other: AttemptStats) {
        self.attempts += other.attempts;
        self.failures += other.failures;
        self.latency_sum_ms += other.latency_sum_ms;
    }

    /// Mean latency of the successful attempts in milliseconds, if there were any.
    pub(crate) fn mean_latency_ms(&self) -> Option<f64> {
        (self.attempts > self.failures).then(|| self.latency_sum_ms / (self.attempts - self.failures))
    }
}

/// Totals of the load reports of a zone's proxies since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredReportCounts", into = "StoredReportCounts")]
pub(crate) struct ReportCounts {
    /// Attempts at all hosts.
    pub(crate) attempts: f64,
    /// Number of load reports divided by the number of hosts in the zone's tables: one report of every host
    /// adds 1.
    pub(crate) report_rounds: f64,
}

/// The stored form of [`ReportCounts`]: attempts, report rounds.
type StoredReportCounts = (f64, f64);

impl From<StoredReportCounts> for ReportCounts {
    fn from((attempts, report_rounds): StoredReportCounts) -> Self {
        ReportCounts { attempts, report_rounds }
    }
}

impl From<ReportCounts> for StoredReportCounts {
    fn from(counts: ReportCounts) -> Self {
        (counts.attempts, counts.report_rounds)
    }
}

/// A zone's statistics of a host, and the host's health in the zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ZoneHostStats {
    /// Attempts that no scoring round has used yet.
    #[serde(rename = "sum")]
    pub(crate) fresh: AttemptStats,
    /// Smoothed mean latency of successful attempts, in milliseconds; `None` before the first successful
    /// attempt.
    #[serde(rename = "latency")]
    pub(crate) latency_ms: Option<f64>,
    /// Smoothed ratio of failures to attempts.
    #[serde(rename = "loss")]
    pub(crate) loss_ratio: f64,
    /// Score of the last scoring round that had fresh attempts, in milliseconds; lower is better.
    pub(crate) score: Option<f64>,
    /// How many times the ranking has halved the host's weight.
    #[serde(rename = "step")]
    pub(crate) weight_halvings: u32,
    /// Consecutive scoring rounds that called for the next change of `weight_halvings`.
    #[serde(rename = "confirmed")]
    pub(crate) confirming_rounds: u32,
    /// Successful attempts for outlier detection, decayed exponentially up to `decayed_at`.
    #[serde(rename = "good")]
    pub(crate) recent_successes: f64,
    /// Failed attempts for outlier detection, decayed exponentially up to `decayed_at`.
    #[serde(rename = "bad")]
    pub(crate) recent_failures: f64,
    /// Failed attempts since the last load report with a successful attempt.
    #[serde(rename = "streak")]
    pub(crate) consecutive_failures: f64,
    /// Consecutive useless attempts: attempts that failed, or whose answers came too late for the latency
    /// objective of every class.
    #[serde(rename = "row")]
    pub(crate) consecutive_useless: f64,
    /// When `recent_successes` and `recent_failures` were last updated: the time of the last load report.
    #[serde(rename = "faded_at")]
    pub(crate) decayed_at: Timestamp,
    /// Share of the zone's attempts that the zone's tables direct to the host, as a ratio.
    #[serde(rename = "part")]
    pub(crate) expected_share: f64,
    /// Attempts that were expected at the host between its last load report and the last change of
    /// `expected_share`.
    #[serde(rename = "missed")]
    pub(crate) missed_attempts: f64,
    /// The zone's totals at the host's last load report, or at the last change of `expected_share` if that is
    /// later. Missed attempts are counted from there at the present `expected_share`. A change of the share
    /// replaces `report_rounds` only if the share was 0 before.
    #[serde(rename = "seen")]
    pub(crate) counts_at_last_report: ReportCounts,
    /// The host's health in the zone, which decides whether the zone's tables contain the host.
    #[serde(rename = "state")]
    pub(crate) health: HealthState,
    /// Length of the last ejection, in seconds.
    #[serde(rename = "stay_s")]
    pub(crate) ejection_s: f64,
    /// Whether no probation has ended and none has followed an ejection since the host's process started. A
    /// probation while this is set is the one that a new host starts with.
    #[serde(rename = "new")]
    pub(crate) first_probation: bool,
}

impl ZoneHostStats {
    /// Attempts that were expected at the host since its last load report, when the zone's total of attempts
    /// is `attempts_seen`.
    pub(crate) fn missed_attempts_by(&self, attempts_seen: f64) -> f64 {
        let attempts_at_last_report = self.counts_at_last_report.attempts;
        missed_attempts(self.missed_attempts, attempts_at_last_report, self.expected_share, attempts_seen)
    }

    /// Discards all statistics and sets the health and the weight halvings. Keeps the length of the last
    /// ejection.
    pub(crate) fn reset(&mut self, health: HealthState, weight_halvings: u32) {
        *self = ZoneHostStats {
            health,
            weight_halvings,
            ejection_s: self.ejection_s,
            ..ZoneHostStats::default()
        };
    }
}

/// Attempts that were expected at a host since its last load report. `missed` were expected up to the last
/// change of `expected_share`; since then the zone's total of attempts has risen from
/// `attempts_at_last_report` to `attempts_seen`, and the host should have had `expected_share` of these.
pub(crate) fn missed_attempts(
    missed: f64,
    attempts_at_last_report: f64,
    expected_share: f64,
    attempts_seen: f64,
) -> f64 {
    missed + (attempts_seen - attempts_at_last_report) * expected_share
}

/// How outlier detection in a zone treats a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredHealthState", into = "StoredHealthState")]
pub(crate) enum HealthState {
    /// In the zone's tables, at the weight that the ranking gives the host.
    #[default]
    Healthy,
    /// In none of the zone's tables.
    Ejected {
        /// When probation may start.
        until: Timestamp,
    },
    /// In the zone's tables at a small weight, to find out whether the host responds.
    Probation {
        /// When the host counts as recovered, unless it responds or fails earlier.
        until: Timestamp,
    },
}

/// The stored form of [`HealthState`].
#[derive(Serialize, Deserialize)]
enum StoredHealthState {
    In,
    Out(Timestamp),
    Trial(Timestamp),
}

impl From<StoredHealthState> for HealthState {
    fn from(stored: StoredHealthState) -> Self {
        match stored {
            StoredHealthState::In => HealthState::Healthy,
            StoredHealthState::Out(until) => HealthState::Ejected { until },
            StoredHealthState::Trial(until) => HealthState::Probation { until },
        }
    }
}

impl From<HealthState> for StoredHealthState {
    fn from(health: HealthState) -> Self {
        match health {
            HealthState::Healthy => StoredHealthState::In,
            HealthState::Ejected { until } => StoredHealthState::Out(until),
            HealthState::Probation { until } => StoredHealthState::Trial(until),
        }
    }
}

/// The attempts of all zones at a host that no scoring round has used yet.
pub(crate) struct FreshHostStats {
    /// The host's position in the host index.
    pub(crate) index: usize,
    /// The host's identifier.
    pub(crate) host: HostId,
    /// Sum of the zones' fresh attempts.
    pub(crate) stats: AttemptStats,
}

/// The score and weight of a host that is considered for the leading group of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ScoredHost {
    /// Score in milliseconds; lower is better.
    pub(crate) score: f64,
    /// Listed weight.
    pub(crate) weight: f64,
}
