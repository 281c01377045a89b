//! The contents of blocks: the head of a capture, checkpoints, calls, and the index.
//!
//! Heads are stored with the names of their fields (MessagePack), all other types by position (postcard). In
//! types that are stored by position, the order of fields and variants is fixed, and their names may change.

use serde::{Deserialize, Serialize};
use wingfold_director::interface::{Action, Event, Settings, Timestamp};

/// The head of a capture. It is stored with the names of its fields, so that a later build can add fields and
/// still read earlier heads.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Head {
    /// The build that recorded the capture.
    pub build: String,
    /// The name of the director; it stays the same after a restart.
    #[serde(rename = "name")]
    pub director: String,
    /// The incarnation of the director: the start time of its process, by the process's own clock.
    #[serde(rename = "run")]
    pub incarnation: Timestamp,
    /// The number of the segment, from 1; numbering continues after a restart of the director.
    pub segment: u64,
    /// The seed of the director's random numbers.
    pub seed: u64,
    /// The settings of the director.
    pub settings: Settings,
    /// The names of the classes, indexed by class id; the director itself does not know the names.
    #[serde(rename = "classes")]
    pub class_names: Vec<String>,
    /// The wording of the texts of notices; heads without this field have [`NoticeWording::Original`].
    #[serde(default = "NoticeWording::of_heads_without_wording")]
    pub notice_wording: NoticeWording,
}

impl Head {
    /// Whether both heads are of the same process of the same director, whose calls are numbered in one
    /// sequence.
    pub fn is_same_incarnation(&self, other: &Head) -> bool {
        self.director == other.director && self.incarnation == other.incarnation
    }
}

/// The wording of the texts of notices in a capture. A replay must reproduce the wording, as it compares the
/// texts byte by byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeWording {
    /// The texts that builds up to 0.1.0 wrote.
    Original,
    /// The texts that [`wingfold_director::interface::Notice`] renders.
    #[default]
    KeyValue,
}

impl NoticeWording {
    /// The wording of captures from before heads had the field `notice_wording`.
    fn of_heads_without_wording() -> NoticeWording {
        NoticeWording::Original
    }
}

/// Why calls are missing from a capture.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GapReason {
    /// The queue of the writer was full; the director does not wait for the writer.
    QueueFull,
    /// The disk was full.
    DiskFull,
    /// The disk was read-only.
    ReadOnly,
    /// The folder of the capture did not exist.
    FolderMissing,
    /// Writing failed with another error.
    Failed(String),
}

impl std::fmt::Display for GapReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            GapReason::QueueFull => f.write_str("the writer did not keep up"),
            GapReason::DiskFull => f.write_str("the disk was full"),
            GapReason::ReadOnly => f.write_str("the disk was read-only"),
            GapReason::FolderMissing => f.write_str("the folder was gone"),
            GapReason::Failed(error) => write!(f, "writing failed: {error}"),
        }
    }
}

/// Consecutive calls that the director handled and that no block contains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The number of the first missing call.
    pub from: u64,
    /// The number of the last missing call.
    pub to: u64,
    /// Why the calls are missing.
    pub reason: GapReason,
}

/// The head of a checkpoint; in a checkpoint block it precedes the bytes of the checkpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointHead {
    /// The number of the first call after the checkpoint.
    pub call: u64,
    /// The time of that call.
    pub at: Timestamp,
    /// The calls directly before the checkpoint that were not recorded, if any.
    pub gap: Option<Gap>,
}

/// A call of the director in the form in which it is written; [`Call`] is the form in which it is read.
/// Actions are encoded separately, so that a replay can compare the bytes of the actions.
#[derive(Debug, Serialize)]
pub struct EncodableCall<'a> {
    /// The number of the call in this incarnation of the director, from 1.
    pub number: u64,
    /// The time of the call, by the director's clock.
    pub at: Timestamp,
    /// The events, in the order in which the director handled them.
    pub events: &'a [Event],
    /// The encoded actions.
    #[serde(with = "serde_bytes")]
    pub actions: &'a [u8],
    /// [`Director::digest`](wingfold_director::Director::digest) after the call.
    pub digest: u64,
}

/// A call of the director in the form in which it is read; [`EncodableCall`] is the form in which it is
/// written.
#[derive(Clone, Debug, Deserialize)]
pub struct Call {
    /// The number of the call in this incarnation of the director, from 1.
    pub number: u64,
    /// The time of the call, by the director's clock.
    pub at: Timestamp,
    /// The events, in the order in which the director handled them.
    pub events: Vec<Event>,
    /// The encoded actions.
    #[serde(with = "serde_bytes")]
    pub actions: Vec<u8>,
    /// [`Director::digest`](wingfold_director::Director::digest) after the call.
    pub digest: u64,
}

impl Call {
    /// Decodes the actions; `None` if they cannot be decoded.
    pub fn actions(&self) -> Option<Vec<Action>> {
        postcard::from_bytes(&self.actions).ok()
    }

    /// The position of the call in the capture: its number and its time.
    pub fn position(&self) -> CallPosition {
        CallPosition { number: self.number, at: self.at }
    }
}

/// Encodes actions in the form in which a call in a capture stores them.
pub fn encode_actions(actions: &[Action]) -> Vec<u8> {
    postcard::to_allocvec(actions).expect("encoding actions into memory cannot fail")
}

/// The position of a call in a capture: its number and its time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallPosition {
    /// The number of the call.
    pub number: u64,
    /// The time of the call.
    pub at: Timestamp,
}

/// An entry of the index: the offset of a block, and the calls in the block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// The offset in the segment at which the block begins, in bytes.
    pub offset: u64,
    /// Whether the block contains a checkpoint; otherwise it contains calls.
    pub checkpoint: bool,
    /// The first call in the block; for a checkpoint the first call after the checkpoint.
    pub first: CallPosition,
    /// The last call in the block; for a checkpoint the same as `first`.
    pub last: CallPosition,
}

/// The index of a segment: the contents of the last block of a sealed segment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Index {
    /// An entry for each block with calls or a checkpoint, in the order of the segment.
    pub blocks: Vec<IndexEntry>,
    /// The number of calls in the segment.
    pub calls: u64,
}

/// The metadata of a segment, which a catalogue of segments stores.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentMeta {
    /// The number of the segment.
    pub segment: u64,
    /// The incarnation of the director that recorded the segment.
    pub incarnation: Timestamp,
    /// The first call after the segment's checkpoint.
    pub first: CallPosition,
    /// The last call in the segment so far; while it has none, the call before `first`, with the time of
    /// `first`.
    pub last: CallPosition,
    /// The length of the segment so far, in bytes.
    pub bytes: u64,
    /// The calls directly before the segment that were not recorded, if any.
    pub gap: Option<Gap>,
    /// Whether the segment is complete and ends with an index.
    pub sealed: bool,
}
