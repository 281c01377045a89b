//! Captures of a director: the events of each call of the director, and the actions that the call returned.
//! The crate defines the format of captures, records and replays them, and explains the decisions in them.
//!
//! This crate opens no file or socket and reads no clock: bytes and times come from the caller, so that tests
//! can simulate every failure of a disk (docs/capture-design.md).
//!
//! * [`model`], [`block`], [`reader`]: the format, and reading segments;
//! * [`recorder`], [`segment_writer`], [`segment_ring`]: recording calls and writing segments;
//! * [`replay`], [`replay_state`], [`edit`]: replaying captures, extracting a span, accepting new actions;
//! * [`explain`], [`case`]: explaining decisions, and cases: captures that are kept as regression tests.
#![forbid(unsafe_code)]

pub mod block;
pub mod case;
pub mod edit;
pub mod explain;
pub mod model;
mod original_wording;
pub mod reader;
pub mod recorder;
pub mod replay;
pub mod replay_state;
pub mod segment_ring;
pub mod segment_writer;

pub use model::{Call, Gap, GapReason, Head, NoticeWording, SegmentMeta};
pub use reader::{entries, Entry};
pub use recorder::{Recorder, RecorderQueue};
pub use segment_writer::{DiskOperation, RecordedItem, SegmentLimits, SegmentWriter};
