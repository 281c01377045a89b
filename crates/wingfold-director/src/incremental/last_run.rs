//! Records of the last run of a step, which tell whether the step can be skipped.
use crate::interface::Timestamp;

/// The due time of a step whose result does not change by time alone.
pub(crate) const NEVER: Timestamp = Timestamp(u64::MAX);

/// The last run of a step: its inputs, and the time from which the step is due again even for equal inputs.
/// The step can be skipped for equal inputs before that time.
#[derive(Clone, Debug)]
pub(crate) struct LastRun<Inputs> {
    /// The inputs of the last run; `None` before the first.
    inputs: Option<Inputs>,
    /// The earliest time at which time alone may change the result of the step.
    due_at: Timestamp,
}

impl<Inputs> Default for LastRun<Inputs> {
    fn default() -> Self {
        LastRun { inputs: None, due_at: Timestamp(0) }
    }
}

impl<Inputs: PartialEq> LastRun<Inputs> {
    /// Whether running the step for these inputs would change nothing.
    pub(crate) fn is_current(&self, inputs: &Inputs, now: Timestamp) -> bool {
        now < self.due_at && self.inputs.as_ref() == Some(inputs)
    }

    /// Records that the step was run for these inputs, and that time alone changes its result at `due_at` at
    /// the earliest.
    pub(crate) fn record(&mut self, inputs: Inputs, due_at: Timestamp) {
        self.inputs = Some(inputs);
        self.due_at = due_at;
    }
}
