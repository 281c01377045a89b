//! The five invariants of a site, measured from outside as its users would notice them.

use thiserror::Error;
use wingfold_director::interface::Micros;

/// Keeps a limit of zero from dividing by zero.
const MIN_LIMIT_S: f64 = 1e-6;

/// How close a run came to the limit of each invariant. Ratios are relative to the limit: above 1 it is violated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Margins {
    /// The longest time that a connected proxy had no table entry for a class although a host was ready.
    pub missing_entry_ratio: f64,
    /// Executions beyond the first of requests that must run at most once; the limit is none.
    pub duplicate_executions: u64,
    /// The latest attempt at a host after it began to drain or was removed, relative to the drain grace.
    pub late_attempt_ratio: f64,
    /// The most work sent to a host that was warming up, relative to what makes it fail.
    pub warm_up_overload_ratio: f64,
    /// The most table entries that waited in a director's send queue.
    pub queued_entries_ratio: f64,
}

/// An invariant that a run violated; ratios are relative to the limit.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Violation {
    /// A proxy had no table entry for too long.
    #[error("a proxy was left without a host: {:.0} % of the limit", percent(.0))]
    MissingEntry(f64),
    /// A host was used too long after it began to drain or was removed.
    #[error("requests went to a host that drains or is gone: {:.0} % of the limit", percent(.0))]
    LateAttempt(f64),
    /// A host that was warming up was overloaded.
    #[error("a cold host was pushed over: {:.0} % of the limit", percent(.0))]
    WarmUpOverload(f64),
    /// Too many table entries waited to be sent.
    #[error("too many lines waited in a channel: {:.0} % of the limit", percent(.0))]
    QueuedEntries(f64),
    /// Requests that must run at most once were executed again so many times.
    #[error("{0} effects ran twice")]
    DuplicateExecutions(u64),
}

impl Margins {
    /// The invariants that were violated.
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

    /// Takes the worse of both margins for each ratio and adds the duplicate executions.
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

/// A time in seconds relative to its limit.
pub(crate) fn ratio_of_limit(time_s: f64, limit: Micros) -> f64 {
    time_s / limit.secs().max(MIN_LIMIT_S)
}
