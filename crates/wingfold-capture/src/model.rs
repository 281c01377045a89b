//! The contents of blocks: the head of a capture, checkpoints, calls, and the index.
//!
//! Heads are stored with the names of their fields, everything else by position (postcard): there the order of fields and
//! variants is fixed, and names are free.

use serde::{Deserialize, Serialize};
use wingfold_director::interface::{Action, Event, Settings, Timestamp};

/// The head of a capture. It is stored with the names of its fields: a later build can add some and still reads it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Head {
    /// The build that recorded it.
    pub build: String,
    /// The name of the director, the same after a restart.
    #[serde(rename = "name")]
    pub director: String,
    /// The incarnation of the director: when its process started, by its own clock.
    #[serde(rename = "run")]
    pub incarnation: Timestamp,
    /// The number of the segment, from 1; numbers go on over restarts.
    pub segment: u64,
    /// The seed of the director.
    pub seed: u64,
    /// The settings of the director.
    pub settings: Settings,
    /// The names of the classes, by position; the director itself does not know them.
    #[serde(rename = "classes")]
    pub class_names: Vec<String>,
    /// How the texts of notices are worded.
    #[serde(default = "NoticeWording::of_heads_without_one")]
    pub notice_wording: NoticeWording,
}

/// How the texts of notices in a capture are worded: a replay compares them byte by byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeWording {
    /// As builds up to 0.1.0 worded them.
    Original,
    /// As [`wingfold_director::interface::Notice`] renders them.
    #[default]
    KeyValue,
}

impl NoticeWording {
    /// The wording of captures that were written before their heads named one.
    fn of_heads_without_one() -> NoticeWording {
        NoticeWording::Original
    }
}

/// Why calls are missing from a capture.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GapReason {
    /// The queue of the writer was full; the director does not wait for it.
    QueueFull,
    /// The disk was full.
    DiskFull,
    /// The disk was read-only.
    ReadOnly,
    /// The folder was gone.
    Gone,
    /// Writing failed in another way.
    Failed(String),
}

impl std::fmt::Display for GapReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            GapReason::QueueFull => f.write_str("the writer did not keep up"),
            GapReason::DiskFull => f.write_str("the disk was full"),
            GapReason::ReadOnly => f.write_str("the disk was read-only"),
            GapReason::Gone => f.write_str("the folder was gone"),
            GapReason::Failed(error) => write!(f, "writing failed: {error}"),
        }
    }
}

/// Calls that were made and are in no block.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The number of the first one.
    pub from: u64,
    /// The number of the last one.
    pub to: u64,
    /// Why they are missing.
    pub reason: GapReason,
}

/// What precedes the bytes of a checkpoint in its block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointHead {
    /// The number of the next call.
    pub call: u64,
    /// The time of that call.
    pub at: Timestamp,
    /// The calls before it that were not recorded, if any.
    pub gap: Option<Gap>,
}

/// A call of the director, as it is written. Actions are encoded separately, so that a replay can compare their bytes.
#[derive(Debug, Serialize)]
pub struct EncodableCall<'a> {
    /// Its number in this incarnation of the director, from 1.
    pub number: u64,
    /// Its time, by the director's clock.
    pub at: Timestamp,
    /// The events, in the order in which they were handled.
    pub events: &'a [Event],
    /// The encoded actions.
    #[serde(with = "serde_bytes")]
    pub actions: &'a [u8],
    /// [`Director::digest`](wingfold_director::Director::digest) after the call.
    pub digest: u64,
}

/// A call of the director, as it is read.
#[derive(Clone, Debug, Deserialize)]
pub struct Call {
    /// Its number in this incarnation of the director, from 1.
    pub number: u64,
    /// Its time, by the director's clock.
    pub at: Timestamp,
    /// The events, in the order in which they were handled.
    pub events: Vec<Event>,
    /// The encoded actions.
    #[serde(with = "serde_bytes")]
    pub actions: Vec<u8>,
    /// [`Director::digest`](wingfold_director::Director::digest) after the call.
    pub digest: u64,
}

impl Call {
    /// The actions; `None` if they cannot be decoded.
    pub fn actions(&self) -> Option<Vec<Action>> {
        postcard::from_bytes(&self.actions).ok()
    }

    /// The number and the time of the call.
    pub fn position(&self) -> CallPosition {
        CallPosition { number: self.number, at: self.at }
    }
}

/// Encodes actions as a capture holds them.
pub fn encode_actions(actions: &[Action]) -> Vec<u8> {
    postcard::to_allocvec(actions).expect("actions are plain, written to memory")
}

/// The number and the time of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallPosition {
    /// The number of the call.
    pub number: u64,
    /// The time of the call.
    pub at: Timestamp,
}

/// Where a block is, and which calls it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// The byte of the segment at which it begins.
    pub offset: u64,
    /// Whether it holds a checkpoint in place of calls.
    pub checkpoint: bool,
    /// Its first call, or the next one after a checkpoint.
    pub first: CallPosition,
    /// Its last call.
    pub last: CallPosition,
}

/// The last block of a sealed segment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Index {
    /// All blocks with calls or a checkpoint.
    pub blocks: Vec<IndexEntry>,
    /// How many calls the segment holds.
    pub calls: u64,
}

/// What a catalogue holds of a segment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentMeta {
    /// Its number.
    pub segment: u64,
    /// The incarnation of the director that recorded it.
    pub incarnation: Timestamp,
    /// Its first call.
    pub first: CallPosition,
    /// Its last call so far.
    pub last: CallPosition,
    /// Its bytes so far.
    pub bytes: u64,
    /// Calls before it that were not recorded.
    pub gap: Option<Gap>,
    /// Whether it was ended with an index.
    pub sealed: bool,
}
