//! Where a scribe's work goes: a folder, or a ring in memory.

use std::io;
use std::path::Path;
use wingfold_capture::model::{Reason, SegmentMeta};
use wingfold_capture::ring::Ring;
use wingfold_capture::scribe::Do;

/// Carries out what a scribe asks for. It may take its time: only the writer's thread waits for it.
pub trait Disk: Send {
    /// Gets ready; gives the segments of earlier lives, in their order.
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>>;
    /// Carries one thing out.
    fn carry_out(&mut self, what: &Do) -> io::Result<()>;
    /// Writes all that is held into a folder, where nothing is on a disk yet; gives the number of segments.
    fn dump(&mut self, _to: &Path) -> io::Result<usize> {
        Err(io::Error::new(io::ErrorKind::Unsupported, "the capture is on a disk already"))
    }
    /// Bytes of memory that are held.
    fn held(&self) -> usize {
        0
    }
}

/// What an error of the disk means to the capture.
pub fn reason(error: &io::Error) -> Reason {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Reason::DiskFull,
        io::ErrorKind::ReadOnlyFilesystem | io::ErrorKind::PermissionDenied => Reason::ReadOnly,
        io::ErrorKind::NotFound => Reason::Gone,
        _ => Reason::Failed(error.to_string().chars().take(120).collect()),
    }
}

/// The last segments in memory.
#[derive(Debug)]
pub struct Memory {
    ring: Ring,
}

impl Memory {
    /// Holds at most so many bytes.
    pub fn new(most: usize) -> Self {
        Memory { ring: Ring::new(most) }
    }
}

impl Disk for Memory {
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>> {
        Ok(Vec::new())
    }

    fn carry_out(&mut self, what: &Do) -> io::Result<()> {
        self.ring.carry_out(what.clone()).map_err(|why| io::Error::other(why.to_string()))
    }

    fn dump(&mut self, to: &Path) -> io::Result<usize> {
        std::fs::create_dir_all(to)?;
        for (meta, bytes) in self.ring.segments() {
            // Whole or not there: a dump that is cut short must not look like one.
            let path = to.join(crate::folder::file_name(meta.segment));
            let part = path.with_extension("part");
            std::fs::write(&part, bytes)?;
            std::fs::rename(part, path)?;
        }
        Ok(self.ring.segments().count())
    }

    fn held(&self) -> usize {
        self.ring.bytes()
    }
}
