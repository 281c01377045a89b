//! Where segments are stored: a folder, or a ring in memory.

use crate::folder::file_name;
use std::io;
use std::path::Path;
use wingfold_capture::model::{GapReason, SegmentMeta};
use wingfold_capture::segment_ring::SegmentRing;
use wingfold_capture::segment_writer::DiskOperation;

/// The longest text of an error that is stored in a capture, in characters.
const MAX_ERROR_CHARS: usize = 120;

/// Carries out the operations of a segment writer. It may block: only the writer's thread waits for it.
pub trait SegmentStore: Send {
    /// Opens the store; returns the segments of earlier incarnations, oldest first.
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>>;
    /// Carries out an operation.
    fn apply(&mut self, operation: &DiskOperation) -> io::Result<()>;
    /// Writes all segments into a folder, for stores that are in memory; returns how many there are.
    fn dump(&mut self, _folder: &Path) -> io::Result<usize> {
        Err(io::Error::new(io::ErrorKind::Unsupported, "the capture is on a disk already"))
    }
    /// Bytes of memory that the segments take.
    fn memory_bytes(&self) -> usize {
        0
    }
}

/// The reason of a gap that follows from an error of the store.
pub fn gap_reason(error: &io::Error) -> GapReason {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => GapReason::DiskFull,
        io::ErrorKind::ReadOnlyFilesystem | io::ErrorKind::PermissionDenied => GapReason::ReadOnly,
        io::ErrorKind::NotFound => GapReason::FolderMissing,
        _ => GapReason::Failed(error.to_string().chars().take(MAX_ERROR_CHARS).collect()),
    }
}

/// The last segments in memory.
#[derive(Debug)]
pub struct MemoryStore {
    ring: SegmentRing,
}

impl MemoryStore {
    /// A store of at most so many bytes.
    pub fn new(max_bytes: usize) -> Self {
        MemoryStore { ring: SegmentRing::new(max_bytes) }
    }
}

impl SegmentStore for MemoryStore {
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>> {
        Ok(Vec::new())
    }

    fn apply(&mut self, operation: &DiskOperation) -> io::Result<()> {
        self.ring.apply(operation.clone()).map_err(|reason| io::Error::other(reason.to_string()))
    }

    fn dump(&mut self, folder: &Path) -> io::Result<usize> {
        std::fs::create_dir_all(folder)?;
        for (meta, bytes) in self.ring.segments() {
            // A dump that is interrupted must not look like a complete segment.
            let path = folder.join(file_name(meta.segment));
            let partial = path.with_extension("part");
            std::fs::write(&partial, bytes)?;
            std::fs::rename(partial, path)?;
        }
        Ok(self.ring.segments().count())
    }

    fn memory_bytes(&self) -> usize {
        self.ring.bytes()
    }
}
