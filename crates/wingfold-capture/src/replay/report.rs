//! What a replay finds: differences, damage, gaps, and why a capture cannot be replayed.

use crate::block::BlockError;
use crate::model::Gap;
use wingfold_director::checkpoint::CheckpointError;
use wingfold_director::interface::{Action, Event, SettingsError, Timestamp};

/// Why a capture, or a part of it, cannot be replayed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReplayError {
    /// Its first block is not a valid head.
    #[error("no head: {0}")]
    Head(BlockError),
    /// Its settings are out of bounds.
    #[error("its settings cannot be a deployment's: {0}")]
    Settings(SettingsError),
    /// A checkpoint is rejected.
    #[error("call {call}: {error}")]
    Checkpoint {
        /// The number of the call after it.
        call: u64,
        /// Why it is rejected.
        error: CheckpointError,
    },
    /// A call has events that no director can get.
    #[error("call {0} holds what no director is told")]
    Call(u64),
}

/// A difference between the recorded and the replayed director at one call.
#[derive(Clone, Debug)]
pub struct Difference {
    /// The number of the call.
    pub call: u64,
    /// Its time.
    pub at: Timestamp,
    /// What differs.
    pub kind: DifferenceKind,
}

/// What differs at a call.
#[derive(Clone, Debug)]
pub enum DifferenceKind {
    /// The actions differ.
    Actions {
        /// The events of the call.
        events: Vec<Event>,
        /// The recorded actions.
        recorded: Vec<Action>,
        /// The replayed actions.
        replayed: Vec<Action>,
    },
    /// The actions are equal and the tables are not: the actions of an earlier call did not lead to the
    /// tables.
    Tables {
        /// The recorded digest of all tables.
        recorded: u64,
        /// The replayed digest of all tables.
        replayed: u64,
    },
    /// Actions and tables are equal, and a checkpoint is not.
    State,
}

/// A damaged part of a capture.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The number of the segment.
    pub segment: u64,
    /// The byte of the segment.
    pub offset: usize,
    /// What is wrong.
    pub fault: BlockError,
}

/// What a replay has found so far.
#[derive(Clone, Debug, Default)]
pub struct ReplayReport {
    /// Replayed calls.
    pub calls: u64,
    /// Events in them.
    pub events: u64,
    /// Checkpoints that were compared with the replayed state.
    pub compared_states: u64,
    /// Calls that could not be replayed, as the calls before them are missing.
    pub skipped_calls: u64,
    /// Calls that were not recorded.
    pub gaps: Vec<Gap>,
    /// Damaged parts.
    pub damage: Vec<Damage>,
    /// The builds that recorded the capture.
    pub builds: Vec<String>,
    /// Calls that differ.
    pub differences: u64,
    /// The replayed time, in seconds.
    pub duration_s: f64,
    /// The time of the first and of the last replayed call.
    pub span: Option<(Timestamp, Timestamp)>,
}

/// How a replay goes on after a difference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplayMode {
    /// To find out whether the capture is equal: the state is restored from each checkpoint.
    Strict,
    /// To find out what this build would have done: the director goes on with its own state.
    Compare,
}
