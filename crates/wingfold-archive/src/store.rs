//! Stores of segments: the trait that a writer needs, and the store in memory.

use crate::folder::segment_file_name;
use std::io;
use std::path::Path;
use wingfold_capture::model::{GapReason, SegmentMeta};
use wingfold_capture::segment_ring::SegmentRing;
use wingfold_capture::segment_writer::DiskOperation;

/// The longest error message that is stored in a capture, in characters.
const MAX_ERROR_CHARS: usize = 120;

/// A store that carries out the operations of a segment writer. Its methods may block: only the writer's
/// thread calls them, except for synchronous captures.
pub trait SegmentStore: Send {
    /// Opens the store, and returns the segments of earlier incarnations, oldest first.
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>>;
    /// Carries out one operation of the segment writer.
    fn apply(&mut self, operation: &DiskOperation) -> io::Result<()>;
    /// Writes all segments into a folder, and returns their number. Only stores in memory support dumps.
    fn dump(&mut self, _folder: &Path) -> io::Result<usize> {
        let message = "only a capture in memory can be dumped, this capture is on disk";
        Err(io::Error::new(io::ErrorKind::Unsupported, message))
    }
    /// Memory that the segments take, in bytes.
    fn memory_bytes(&self) -> usize {
        0
    }
}

/// The reason that the capture names for the gap after an error of the store.
pub fn gap_reason(error: &io::Error) -> GapReason {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => GapReason::DiskFull,
        io::ErrorKind::ReadOnlyFilesystem | io::ErrorKind::PermissionDenied => GapReason::ReadOnly,
        io::ErrorKind::NotFound => GapReason::FolderMissing,
        _ => GapReason::Failed(error.to_string().chars().take(MAX_ERROR_CHARS).collect()),
    }
}

/// A store that keeps the last segments in memory.
#[derive(Debug)]
pub struct MemoryStore {
    ring: SegmentRing,
}

impl MemoryStore {
    /// A store of at most `max_bytes`; the oldest segments are removed first.
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
            // The file gets the name of a segment only when it is complete, as a dump can be interrupted.
            let path = folder.join(segment_file_name(meta.segment));
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
