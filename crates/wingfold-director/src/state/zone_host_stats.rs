//! Statistics of a host as the proxies of one zone see it, and its health there.
use crate::interface::{HostId, Timestamp};
use serde::{Deserialize, Serialize};

/// Attempts at a host and their results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct AttemptStats {
    /// All attempts.
    #[serde(rename = "tries")]
    pub(crate) attempts: f64,
    /// The attempts without a good answer.
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

/// What the load reports of a zone's proxies have counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredReportCounts", into = "StoredReportCounts")]
pub(crate) struct ReportCounts {
    /// Attempts at all hosts.
    pub(crate) attempts: f64,
    /// Load reports per host in the zone's tables: 1 stands for a report of every host.
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

/// What a zone knows of a host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ZoneHostStats {
    /// Attempts since the last scoring round that used them.
    #[serde(rename = "sum")]
    pub(crate) fresh: AttemptStats,
    /// Smoothed mean latency of successful attempts, in milliseconds; `None` before the first of them.
    #[serde(rename = "latency")]
    pub(crate) latency_ms: Option<f64>,
    /// Smoothed ratio of failures to attempts.
    #[serde(rename = "loss")]
    pub(crate) loss_ratio: f64,
    /// Score of the last scoring round that had fresh attempts, in milliseconds; lower is better.
    pub(crate) score: Option<f64>,
    /// How often the ranking has halved the host's weight.
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
    /// Failed attempts since the last load report that contained a successful one.
    #[serde(rename = "streak")]
    pub(crate) consecutive_failures: f64,
    /// Consecutive attempts that failed or whose mean latency missed every latency objective.
    #[serde(rename = "row")]
    pub(crate) consecutive_useless: f64,
    /// When the decaying counts were last updated: the time of the last load report.
    #[serde(rename = "faded_at")]
    pub(crate) decayed_at: Timestamp,
    /// Ratio of the zone's attempts that its tables direct to this host.
    #[serde(rename = "part")]
    pub(crate) expected_share: f64,
    /// Attempts that were expected since the last load report, up to the last change of `expected_share`.
    #[serde(rename = "missed")]
    pub(crate) missed_attempts: f64,
    /// The zone's counts from which on attempts are expected at the present `expected_share`.
    #[serde(rename = "seen")]
    pub(crate) counts_at_last_report: ReportCounts,
    /// Whether the zone's tables hold the host.
    #[serde(rename = "state")]
    pub(crate) health: HealthState,
    /// Length of the last ejection, in seconds.
    #[serde(rename = "stay_s")]
    pub(crate) ejection_s: f64,
    /// No probation has started or ended since the host's process started.
    #[serde(rename = "new")]
    pub(crate) first_probation: bool,
}

impl ZoneHostStats {
    /// Attempts that were expected since the last load report, once the zone has counted `attempts_seen`.
    pub(crate) fn missed_attempts_by(&self, attempts_seen: f64) -> f64 {
        let attempts_at_last_report = self.counts_at_last_report.attempts;
        missed_attempts(self.missed_attempts, attempts_at_last_report, self.expected_share, attempts_seen)
    }

    /// Discards all evidence and enters another state. The length of the last ejection stays.
    pub(crate) fn reset(&mut self, health: HealthState, weight_halvings: u32) {
        *self = ZoneHostStats {
            health,
            weight_halvings,
            ejection_s: self.ejection_s,
            ..ZoneHostStats::default()
        };
    }
}

/// Attempts that were expected at a host since its last load report: `missed` up to the last change of its
/// `expected_share`, and from then on its share of the zone's attempts.
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
    /// In use, at the weight that the ranking gives it.
    #[default]
    Healthy,
    /// In no table.
    Ejected {
        /// When probation may start.
        until: Timestamp,
    },
    /// In use at a small weight, to see whether it answers.
    Probation {
        /// When the host counts as recovered at the latest.
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

/// What the proxies of all zones together met at a host since the last scoring round that used it.
pub(crate) struct FreshHostStats {
    /// The host's position in the host index.
    pub(crate) index: usize,
    /// The host.
    pub(crate) host: HostId,
    /// Sum of the zones' fresh attempts.
    pub(crate) stats: AttemptStats,
}

/// A host that counts for the leading group of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ScoredHost {
    /// Score in milliseconds; lower is better.
    pub(crate) score: f64,
    /// Listed weight.
    pub(crate) weight: f64,
}
