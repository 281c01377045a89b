//! Captures of a director: the events of each call and the actions it answered with. The crate has the format, the core
//! that records a capture, its replay, and explanations of the decisions in it.
//!
//! Nothing here opens a file or a socket or reads a clock: bytes and times come from the caller, so that tests can play
//! every failure of a disk (docs/capture-design.md).
//!
//! * [`model`], [`block`], [`reader`]: the format;
//! * [`recorder`], [`segment_writer`], [`segment_ring`]: recording;
//! * [`replay`], [`replay_state`], [`edit`]: replaying captures, and extracting parts of them;
//! * [`explain`], [`case`]: explanations, and captures that are kept as tests.
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
