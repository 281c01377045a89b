//! Whether a step would change nothing, since its inputs are those of its last run.
use crate::interface::Timestamp;

/// A due time that never comes.
pub(crate) const NEVER: Timestamp = Timestamp(u64::MAX);

/// The inputs on which a step last changed nothing, and when time alone may change that.
#[derive(Clone, Debug)]
pub(crate) struct UpToDate<Inputs> {
    inputs: Option<Inputs>,
    due_at: Timestamp,
}

impl<Inputs> Default for UpToDate<Inputs> {
    fn default() -> Self {
        UpToDate { inputs: None, due_at: Timestamp(0) }
    }
}

impl<Inputs: PartialEq> UpToDate<Inputs> {
    /// Whether the step would change nothing on these inputs.
    pub(crate) fn is_current(&self, inputs: &Inputs, now: Timestamp) -> bool {
        now < self.due_at && self.inputs.as_ref() == Some(inputs)
    }

    /// The step has been run on these inputs; time alone changes its result at `due` at the earliest.
    pub(crate) fn record(&mut self, inputs: Inputs, due: Timestamp) {
        (self.inputs, self.due_at) = (Some(inputs), due);
    }
}
