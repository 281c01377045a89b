//! The results of a replay: differences, damage, gaps, and the errors that end a replay.

use crate::block::BlockError;
use crate::model::Gap;
use wingfold_director::checkpoint::CheckpointError;
use wingfold_director::interface::{Action, Event, SettingsError, Timestamp};

/// Why a capture, or a part of a capture, cannot be replayed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReplayError {
    /// The first block is not a valid head.
    #[error("the first block is not a valid head: {0}")]
    Head(BlockError),
    /// The settings in the head of the capture are invalid.
    #[error("the settings in the head are invalid: {0}")]
    Settings(SettingsError),
    /// A checkpoint is rejected.
    #[error("checkpoint before call {call}: {error}")]
    Checkpoint {
        /// The number of the first call after the checkpoint.
        call: u64,
        /// Why the checkpoint is rejected.
        error: CheckpointError,
    },
    /// The time, an event or the encoded actions of a call are invalid, or the director has more zones than a
    /// replay allows.
    #[error(
        "call {0} cannot be replayed: its time, an event, its actions or the number of zones is invalid"
    )]
    Call(u64),
}

/// A difference between the recorded and the replayed director at a call or a checkpoint.
#[derive(Clone, Debug)]
pub struct Difference {
    /// The number of the call; for a checkpoint that of the first call after the checkpoint.
    pub call: u64,
    /// The time of that call.
    pub at: Timestamp,
    /// What differs.
    pub kind: DifferenceKind,
}

/// The kind of a difference.
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
    /// The actions are equal, but the digests of the tables differ: the tables differ since an earlier call,
    /// or changed without an action for the change.
    Tables {
        /// The recorded [digest](wingfold_director::Director::digest) of all tables.
        recorded: u64,
        /// The replayed digest of all tables.
        replayed: u64,
    },
    /// Actions and digests are equal up to a checkpoint, but the recorded checkpoint differs from the
    /// replayed state.
    State,
}

/// A damaged part of a capture.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The number of the segment.
    pub segment: u64,
    /// The offset in the segment at which the damaged part begins, in bytes.
    pub offset: usize,
    /// The fault at that offset.
    pub fault: BlockError,
}

/// The counts and findings of a replay so far.
#[derive(Clone, Debug, Default)]
pub struct ReplayReport {
    /// The number of replayed calls in the span.
    pub calls: u64,
    /// The number of events in the replayed calls.
    pub events: u64,
    /// The number of recorded checkpoints that were compared with the replayed state.
    pub compared_states: u64,
    /// The number of calls that could not be replayed, as the checkpoint or a call before them is missing.
    pub skipped_calls: u64,
    /// The spans of calls that were not recorded.
    pub gaps: Vec<Gap>,
    /// The damaged parts.
    pub damage: Vec<Damage>,
    /// The builds that recorded the capture.
    pub builds: Vec<String>,
    /// The number of calls and checkpoints that differ.
    pub differences: u64,
    /// The time from the first to the last replayed call, in seconds.
    pub duration_s: f64,
    /// The times of the first and the last replayed call.
    pub span: Option<(Timestamp, Timestamp)>,
}

/// How a replay continues after a difference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplayMode {
    /// Verifies that this build decides as recorded: the director is restored from each checkpoint.
    Strict,
    /// Shows what this build would have decided: after a difference, checkpoints do not replace the
    /// director's state, except after missing calls.
    Compare,
}
