//! What a zone of proxies knows of a host.
use crate::interface::{HostId, Timestamp};
use serde::{Deserialize, Serialize};

/// Tries, losses among them, and time of the good ones in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct AttemptStats {
    #[serde(rename = "tries")]
    pub(crate) attempts: f64,
    #[serde(rename = "lost")]
    pub(crate) failures: f64,
    #[serde(rename = "ms")]
    pub(crate) latency_sum_ms: f64,
}

impl AttemptStats {
    /// Counts `other` in.
    pub(crate) fn add(&mut self, other: AttemptStats) {
        *self = AttemptStats {
            attempts: self.attempts + other.attempts,
            failures: self.failures + other.failures,
            latency_sum_ms: self.latency_sum_ms + other.latency_sum_ms,
        };
    }

    /// Mean time of the good tries, if there were any.
    pub(crate) fn mean_latency_ms(&self) -> Option<f64> {
        (self.attempts > self.failures).then(|| self.latency_sum_ms / (self.attempts - self.failures))
    }
}

/// What a zone knows of a host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ZoneHostStats {
    /// Since the last round that used it.
    #[serde(rename = "sum")]
    pub(crate) fresh: AttemptStats,
    /// Smoothed figures, and the last score.
    #[serde(rename = "latency")]
    pub(crate) latency_ms: Option<f64>,
    #[serde(rename = "loss")]
    pub(crate) loss_ratio: f64,
    pub(crate) score: Option<f64>,
    /// Halvings in force, and rounds in a row that speak for the next move.
    #[serde(rename = "step")]
    pub(crate) weight_halvings: u32,
    #[serde(rename = "confirmed")]
    pub(crate) confirming_rounds: u32,
    /// Evidence of the fast path: fading counts, and losses since the last line with a good answer.
    #[serde(rename = "good")]
    pub(crate) recent_successes: f64,
    #[serde(rename = "bad")]
    pub(crate) recent_failures: f64,
    #[serde(rename = "streak")]
    pub(crate) consecutive_failures: f64,
    /// Tries in a row that were lost or, in the mean of their sum, came late.
    #[serde(rename = "row")]
    pub(crate) consecutive_useless: f64,
    #[serde(rename = "faded_at")]
    pub(crate) decayed_at: Timestamp,
    /// Part of the zone's tries that its tables send here, tries that should have come since it was last
    /// heard (while the part was another), and the zone's counts from then on.
    #[serde(rename = "part")]
    pub(crate) expected_share: f64,
    #[serde(rename = "missed")]
    pub(crate) missed_attempts: f64,
    #[serde(rename = "seen")]
    pub(crate) last_heard: (f64, f64),
    #[serde(rename = "state")]
    pub(crate) health: HealthState,
    /// How long the stay outside lasts.
    #[serde(rename = "stay_s")]
    pub(crate) ejection_s: f64,
    /// On its first trial.
    #[serde(rename = "new")]
    pub(crate) first_probation: bool,
}

impl ZoneHostStats {
    /// Tries that should have come since the host was last heard of, by the zone's count of all tries.
    pub(crate) fn missed_attempts_by(&self, tries: f64) -> f64 {
        missed_attempts(self.missed_attempts, self.last_heard.0, self.expected_share, tries)
    }

    /// Forgets all, in a new state and with halvings in force.
    pub(crate) fn reset(&mut self, state: HealthState, step: u32) {
        *self = ZoneHostStats {
            health: state,
            weight_halvings: step,
            ejection_s: self.ejection_s,
            ..ZoneHostStats::default()
        };
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) enum HealthState {
    #[default]
    #[serde(rename = "In")]
    Healthy,
    #[serde(rename = "Out")]
    Ejected(Timestamp),
    #[serde(rename = "Trial")]
    Probation(Timestamp),
}

/// What all zones together met at a host since the last round that used it.
pub(crate) struct FreshHostStats {
    /// The host's position in the roster.
    pub(crate) index: usize,
    pub(crate) host: HostId,
    pub(crate) stats: AttemptStats,
}

/// Tries that should have come to a host since it was last heard of: `missed` while its part of the zone's
/// tries was another, and its `part` of all `tries` since `seen`.
pub(crate) fn missed_attempts(missed: f64, seen: f64, part: f64, tries: f64) -> f64 {
    missed + (tries - seen) * part
}
