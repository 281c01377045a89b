//! Whether a step would change nothing, since its inputs are those of its last run.
use crate::interface::Timestamp;

/// A due time that never comes.
pub(crate) const NEVER: Timestamp = Timestamp(u64::MAX);

/// The inputs for which a step last changed nothing, and when time alone may change its result.
#[derive(Clone, Debug)]
pub(crate) struct UpToDate<Inputs> {
    /// The inputs of the last run; `None` before the first.
    inputs: Option<Inputs>,
    /// When time alone may change the result.
    due_at: Timestamp,
}

impl<Inputs> Default for UpToDate<Inputs> {
    fn default() -> Self {
        UpToDate { inputs: None, due_at: Timestamp(0) }
    }
}

impl<Inputs: PartialEq> UpToDate<Inputs> {
    /// Whether the step would change nothing for these inputs.
    pub(crate) fn is_current(&self, inputs: &Inputs, now: Timestamp) -> bool {
        now < self.due_at && self.inputs.as_ref() == Some(inputs)
    }

    /// Records that the step was run for these inputs; time alone changes its result at `due_at` at the
    /// earliest.
    pub(crate) fn record(&mut self, inputs: Inputs, due_at: Timestamp) {
        self.inputs = Some(inputs);
        self.due_at = due_at;
    }
}
