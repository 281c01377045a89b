//! Input and output of captures: a writer on its own thread behind a bounded queue, folders of segments with
//! a catalogue, a ring of segments in memory, and reading segments back. What is written, and when, is
//! decided by `wingfold-capture`.
#![forbid(unsafe_code)]

pub mod archive;
pub mod folder;
pub mod store;
pub mod synchronous;
pub mod writer;

pub use archive::{Archive, ArchiveError, SegmentFile};
pub use folder::SegmentFolder;
pub use store::{MemoryStore, SegmentStore};
pub use synchronous::{open_synchronous, SynchronousQueue};
pub use writer::{spawn, WriterConfig, WriterHandle, WriterMetrics, WriterQueue};
