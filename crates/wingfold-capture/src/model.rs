//! What blocks hold: whose capture it is, the state it starts from, the calls, and where they are.

use serde::{Deserialize, Serialize};
use wingfold_director::interface::{Action, Event, Settings, Timestamp};

/// Whose capture a segment belongs to. Written by the names of its fields: a later build adds some and still reads it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Head {
    /// The build that wrote it.
    pub build: String,
    /// The director's name, the same after a restart.
    pub name: String,
    /// This life of the director: when it started, by its own clock.
    pub run: Timestamp,
    /// Number of the segment, from 1, counted on over restarts.
    pub segment: u64,
    /// The director's seed.
    pub seed: u64,
    /// What the module was told when it started.
    pub settings: Settings,
    /// Names of the classes, by position; the module itself does not know them.
    pub classes: Vec<String>,
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

/// Why there are calls that no capture holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The writer did not keep up: nothing waits for it.
    QueueFull,
    /// The disk was full.
    DiskFull,
    /// The disk could not be written to.
    ReadOnly,
    /// The folder was gone.
    Gone,
    /// Writing failed in another way.
    Failed(String),
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::QueueFull => f.write_str("the writer did not keep up"),
            Reason::DiskFull => f.write_str("the disk was full"),
            Reason::ReadOnly => f.write_str("the disk was read-only"),
            Reason::Gone => f.write_str("the folder was gone"),
            Reason::Failed(why) => write!(f, "writing failed: {why}"),
        }
    }
}

/// Calls that were made and are in no block.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The first of them.
    pub from: u64,
    /// The last of them.
    pub to: u64,
    /// Why.
    pub reason: Reason,
}

/// What stands before the bytes of a checkpoint in its block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointHead {
    /// The call that comes next.
    pub call: u64,
    /// The time of that call.
    pub at: Timestamp,
    /// The calls before it that were not recorded, if any.
    pub gap: Option<Gap>,
}

/// One call of the module, as it is written. `actions` are packed by themselves, so that a replay compares bytes.
#[derive(Debug, Serialize)]
pub struct CallOut<'a> {
    /// Its number in the director's life, from 1.
    pub number: u64,
    /// The clock.
    pub at: Timestamp,
    /// What the module was told, in that order.
    pub events: &'a [Event],
    /// What it answered.
    #[serde(with = "serde_bytes")]
    pub actions: &'a [u8],
    /// One number for all its tables after the call.
    pub digest: u64,
}

/// One call of the module, as it is read.
#[derive(Clone, Debug, Deserialize)]
pub struct Call {
    /// Its number in the director's life, from 1.
    pub number: u64,
    /// The clock.
    pub at: Timestamp,
    /// What the module was told, in that order.
    pub events: Vec<Event>,
    /// What it answered, packed.
    #[serde(with = "serde_bytes")]
    pub actions: Vec<u8>,
    /// One number for all its tables after the call.
    pub digest: u64,
}

impl Call {
    /// What the module answered; `None` if the bytes cannot be read.
    pub fn actions(&self) -> Option<Vec<Action>> {
        postcard::from_bytes(&self.actions).ok()
    }
}

/// Packs actions as a capture holds them.
pub fn pack(actions: &[Action]) -> Vec<u8> {
    postcard::to_allocvec(actions).expect("actions are plain, written to memory")
}

/// Where a block is, and what of the day it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// Where it begins in the segment.
    pub offset: u64,
    /// A checkpoint, not calls.
    pub checkpoint: bool,
    /// Its first call and that call's time.
    pub first: (u64, Timestamp),
    /// Its last call and that call's time.
    pub last: (u64, Timestamp),
}

/// The last block of a segment that was ended well.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Index {
    /// Every block with calls or a checkpoint.
    pub blocks: Vec<IndexEntry>,
    /// Calls in all.
    pub calls: u64,
}

/// What a catalogue keeps of a segment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentMeta {
    /// Its number.
    pub segment: u64,
    /// The director's life it belongs to.
    pub run: Timestamp,
    /// Its first call, and that call's time.
    pub first: (u64, Timestamp),
    /// Its last call so far, and that call's time.
    pub last: (u64, Timestamp),
    /// Its bytes so far.
    pub bytes: u64,
    /// Calls before it that were not recorded.
    pub gap: Option<Gap>,
    /// It was ended well.
    pub sealed: bool,
}
