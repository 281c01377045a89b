//! The five invariants of a site. They are measured outside of the directors, where users would notice a
//! violation.

use thiserror::Error;
use wingfold_director::interface::Micros;

/// Lower bound of a limit, which prevents a division by zero.
const MIN_LIMIT_S: f64 = 1e-6;

/// How close a run came to the limit of each invariant. A ratio is relative to the limit; above 1 the
/// invariant is violated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Margins {
    /// The longest time that a connected proxy had no host for a class although its director knew a ready
    /// one.
    pub missing_entry_ratio: f64,
    /// Repeated executions of requests that must be executed at most once; a single one violates the
    /// invariant.
    pub duplicate_executions: u64,
    /// The longest time from the notification of a director that a host drains or is removed to an attempt at
    /// that host, relative to the drain grace.
    pub late_attempt_ratio: f64,
    /// The most work sent to a host that was warming up, relative to the amount that makes the host fail.
    pub warm_up_overload_ratio: f64,
    /// The most table entries that waited in a director's send queue.
    pub queued_entries_ratio: f64,
}

/// An invariant that a run violated, with its margin; ratios are relative to the limit. The texts are part of
/// the reports.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Violation {
    /// A proxy had no host for a class for too long.
    #[error("a proxy was left without a host: {:.0} % of the limit", percent(.0))]
    MissingEntry(f64),
    /// A proxy used a host too long after the host began to drain or was removed.
    #[error("requests went to a host that drains or is gone: {:.0} % of the limit", percent(.0))]
    LateAttempt(f64),
    /// A host that was warming up was overloaded.
    #[error("a cold host was pushed over: {:.0} % of the limit", percent(.0))]
    WarmUpOverload(f64),
    /// Too many table entries waited in a send queue.
    #[error("too many lines waited in a channel: {:.0} % of the limit", percent(.0))]
    QueuedEntries(f64),
    /// The number of repeated executions of requests that must be executed at most once.
    #[error("{0} effects ran twice")]
    DuplicateExecutions(u64),
}

impl Margins {
    /// The violated invariants.
    pub fn violations(&self) -> Vec<Violation> {
        let ratios = [
            Violation::MissingEntry(self.missing_entry_ratio),
            Violation::LateAttempt(self.late_attempt_ratio),
            Violation::WarmUpOverload(self.warm_up_overload_ratio),
            Violation::QueuedEntries(self.queued_entries_ratio),
            Violation::DuplicateExecutions(self.duplicate_executions),
        ];
        ratios.into_iter().filter(Violation::is_over_limit).collect()
    }

    /// Merges the margins of another run: keeps the higher of each ratio and adds the duplicate executions.
    pub fn merge(&mut self, other: &Margins) {
        self.missing_entry_ratio = self.missing_entry_ratio.max(other.missing_entry_ratio);
        self.duplicate_executions += other.duplicate_executions;
        self.late_attempt_ratio = self.late_attempt_ratio.max(other.late_attempt_ratio);
        self.warm_up_overload_ratio = self.warm_up_overload_ratio.max(other.warm_up_overload_ratio);
        self.queued_entries_ratio = self.queued_entries_ratio.max(other.queued_entries_ratio);
    }
}

impl Violation {
    fn is_over_limit(&self) -> bool {
        match self {
            Violation::MissingEntry(ratio)
            | Violation::LateAttempt(ratio)
            | Violation::WarmUpOverload(ratio)
            | Violation::QueuedEntries(ratio) => *ratio > 1.0,
            Violation::DuplicateExecutions(count) => *count > 0,
        }
    }
}

fn percent(ratio: &f64) -> f64 {
    100.0 * ratio
}

/// The ratio of a time in seconds to its limit.
pub(crate) fn ratio_of_limit(time_s: f64, limit: Micros) -> f64 {
    time_s / limit.secs().max(MIN_LIMIT_S)
}
