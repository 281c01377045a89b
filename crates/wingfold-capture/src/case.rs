//! Cases: a case is a kept capture with the conditions that must hold whenever a build replays the capture.

mod condition;
mod file;

pub use condition::{Condition, ConditionFailure, ExpectedStatus};

use crate::block::BlockError;
use crate::model::Head;
use crate::reader::Entry;
use crate::replay::{Damage, ReplayError, ReplayMode, Replayer};
use std::time::Duration;
use wingfold_director::interface::Timestamp;
use wingfold_director::Director;

/// A condition that must hold after every call in a span of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// The condition.
    pub condition: Condition,
    /// The start of the span, as the time since the first call of the case.
    pub after: Duration,
    /// The end of the span, as the time since the first call of the case.
    pub until: Duration,
}

/// A case: what its replay must fulfil, as its file describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// The name of the case.
    pub name: String,
    /// The incident that the case reproduces, and where the incident is described.
    pub about: String,
    /// Whether all actions and tables must equal the recorded ones; otherwise only the expectations are
    /// checked.
    pub identical: bool,
    /// The expectations, in the order of the file.
    pub expectations: Vec<Expectation>,
}

/// Why a case fails. Times are given since the first call of the case.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CaseFailure {
    /// The capture cannot be replayed.
    #[error("the capture cannot be replayed: {0}")]
    Replay(ReplayError),
    /// A condition does not hold.
    #[error("+{:.2}s: {failure}", .after.as_secs_f64())]
    Condition {
        /// The time of the call after which the condition does not hold.
        after: Duration,
        /// Why the condition does not hold.
        failure: ConditionFailure,
    },
    /// There is no call in the span of an expectation.
    #[error("no call falls into the span of expectation {number}")]
    EmptySpan {
        /// The number of the expectation, from 1.
        number: usize,
    },
    /// No call could be replayed.
    #[error("no call could be replayed")]
    NoCalls,
    /// The capture is damaged.
    #[error("the capture is damaged at byte {offset}: {fault}")]
    Damaged {
        /// The offset in the segment at which the damaged part begins, in bytes.
        offset: usize,
        /// The fault at that offset.
        fault: BlockError,
    },
    /// The replayed director differs from the recorded one.
    #[error(
        "+{after_s:.2}s, call {call}: the replay differs from the recording ({differences} differences)"
    )]
    Different {
        /// The time of the first difference, in seconds.
        after_s: f64,
        /// The number of the call of the first difference.
        call: u64,
        /// The number of calls and checkpoints that differ.
        differences: u64,
    },
}

/// The result of a case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CaseResult {
    /// The number of replayed calls.
    pub calls: u64,
    /// Why the case fails, with the first failure of each expectation; empty if the case passes.
    pub failures: Vec<CaseFailure>,
}

/// An expectation that has not failed yet.
struct OpenExpectation<'a> {
    number: usize,
    expectation: &'a Expectation,
    /// Whether a call was in its span.
    was_checked: bool,
}

impl OpenExpectation<'_> {
    /// Checks the condition, if `after` is in the span of the expectation.
    fn check(&mut self, after: Duration, director: &Director, head: &Head) -> Result<(), CaseFailure> {
        if after < self.expectation.after || after > self.expectation.until {
            return Ok(());
        }
        self.was_checked = true;
        self.expectation
            .condition
            .check(director, head)
            .map_err(|failure| CaseFailure::Condition { after, failure })
    }
}

/// Replays the capture of a case and checks the expectations of the case.
pub fn check(case: &Case, entries: impl Iterator<Item = Entry>) -> CaseResult {
    let mode = if case.identical { ReplayMode::Strict } else { ReplayMode::Compare };
    let mut replayer = Replayer::new(mode);
    let mut failures = Vec::new();
    let mut first_call_at = None;
    let mut open: Vec<OpenExpectation> = (1..)
        .zip(&case.expectations)
        .map(|(number, expectation)| OpenExpectation { number, expectation, was_checked: false })
        .collect();
    for entry in entries {
        let at = match replayer.feed(entry) {
            Ok(Some((call, _))) => call.at,
            Ok(None) => continue,
            Err(error) => {
                failures.push(CaseFailure::Replay(error));
                break;
            }
        };
        let first_call_at = *first_call_at.get_or_insert(at);
        let Some(director) = replayer.director() else { continue };
        let after = Duration::from_micros(at.0.saturating_sub(first_call_at.0));
        open.retain_mut(|expectation| {
            let result = expectation.check(after, director, replayer.head());
            failures.extend(result.as_ref().err().cloned());
            result.is_ok()
        });
    }
    let unchecked = open.iter().filter(|expectation| !expectation.was_checked);
    failures.extend(unchecked.map(|expectation| CaseFailure::EmptySpan { number: expectation.number }));
    failures.extend(replay_failures(case, &replayer, first_call_at));
    CaseResult { calls: replayer.report.calls, failures }
}

/// The failures of the replay as a whole: no replayed call, damage, and differences if the case allows none.
fn replay_failures(case: &Case, replayer: &Replayer, first_call_at: Option<Timestamp>) -> Vec<CaseFailure> {
    let mut failures = Vec::new();
    let report = &replayer.report;
    if report.calls == 0 {
        failures.push(CaseFailure::NoCalls);
    }
    if let Some(&Damage { offset, fault, .. }) = report.damage.first() {
        failures.push(CaseFailure::Damaged { offset, fault });
    }
    if let Some(first) = replayer.first_difference.as_ref().filter(|_| case.identical) {
        failures.push(CaseFailure::Different {
            after_s: first.at.since(first_call_at.unwrap_or(Timestamp(0))),
            call: first.call,
            differences: report.differences,
        });
    }
    failures
}
