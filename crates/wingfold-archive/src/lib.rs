//! The I/O side of captures: a writer on a thread of its own behind a bounded queue, folders of segments with a
//! catalogue, a ring in memory, and reading all of it back. What is written when is decided by `wingfold-capture`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod archive;
pub mod disk;
pub mod folder;
pub mod writer;

pub use archive::{Archive, ArchiveError, Source};
pub use disk::{Disk, Memory};
pub use folder::Folder;
pub use writer::{direct, start, Handle, Mailbox, Plan, Told};
