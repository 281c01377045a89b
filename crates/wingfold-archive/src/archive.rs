//! Reads captures: one segment, a folder of them, or a folder with one director's folder.

use crate::folder;
use std::io;
use std::path::{Path, PathBuf};
use wingfold_capture::model::{Head, SegmentMeta};
use wingfold_director::interface::Timestamp;

/// Why a capture cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum ArchiveError {
    /// A file or folder cannot be read.
    #[error("{path}: {problem}")]
    Io {
        /// The path that was opened.
        path: PathBuf,
        /// What went wrong.
        problem: io::Error,
    },
    /// There are no segments.
    #[error("{0}: no capture is here (files that end in .wfcap)")]
    Empty(PathBuf),
    /// There are segments of several directors, one of which must be chosen.
    #[error("{path}: captures of several directors: {names}; name one of these folders")]
    Several {
        /// The folder.
        path: PathBuf,
        /// The names of the directors' folders.
        names: String,
    },
}

/// A segment and its file.
#[derive(Clone, Debug)]
pub struct SegmentFile {
    /// The file.
    pub path: PathBuf,
    /// The head of the segment.
    pub head: Head,
    /// What the segment holds, or held when the archive was opened, if it is still being written.
    pub meta: SegmentMeta,
}

/// The segments of one director.
#[derive(Clone, Debug, Default)]
pub struct Archive {
    /// The segments, in the order in which they were written.
    pub segments: Vec<SegmentFile>,
    /// Files that are named like segments and have no valid head.
    pub unreadable: Vec<PathBuf>,
}

impl Archive {
    /// Opens a file, a folder of one director's segments, or a folder with a single director's folder.
    pub fn open(path: &Path) -> Result<Archive, ArchiveError> {
        let mut archive = Archive::default();
        if path.is_dir() {
            archive.add_folder(&director_folder(path)?).map_err(io_error(path))?;
        } else {
            archive.add(path.into(), None).map_err(io_error(path))?;
        }
        archive.segments.sort_by_key(|segment| (segment.head.segment, segment.head.incarnation));
        if archive.segments.is_empty() && archive.unreadable.is_empty() {
            return Err(ArchiveError::Empty(path.into()));
        }
        Ok(archive)
    }

    fn add_folder(&mut self, folder: &Path) -> io::Result<()> {
        let catalogued = folder::read_catalogue(folder).unwrap_or_default();
        for (segment, file) in folder::segment_files(folder)? {
            let meta = catalogued.get(&segment).filter(|meta| meta.sealed).cloned();
            self.add(file, meta)?;
        }
        Ok(())
    }

    fn add(&mut self, path: PathBuf, catalogued: Option<SegmentMeta>) -> io::Result<()> {
        let bytes = folder::read_segment(&path)?;
        let meta = catalogued.or_else(|| folder::scan_segment(&bytes));
        match (wingfold_capture::reader::head(&bytes), meta) {
            (Ok(head), Some(meta)) => self.segments.push(SegmentFile { path, head, meta }),
            _ => self.unreadable.push(path),
        }
        Ok(())
    }

    /// The segments that hold calls of a span. Each can be replayed alone.
    pub fn within(&self, from: Timestamp, until: Timestamp) -> impl Iterator<Item = &SegmentFile> {
        self.segments.iter().filter(move |one| one.meta.last.at >= from && one.meta.first.at <= until)
    }

    /// The time of the first and of the last call.
    pub fn span(&self) -> Option<(Timestamp, Timestamp)> {
        let first = self.segments.iter().map(|segment| segment.meta.first.at).min()?;
        let last = self.segments.iter().map(|segment| segment.meta.last.at).max()?;
        Some((first, last))
    }
}

impl SegmentFile {
    /// Reads the bytes of the segment.
    pub fn read(&self) -> io::Result<Vec<u8>> {
        folder::read_segment(&self.path)
    }
}

fn io_error(path: &Path) -> impl Fn(io::Error) -> ArchiveError + '_ {
    |problem| ArchiveError::Io { path: path.into(), problem }
}

/// The folder that has the segments: this one, or the only one in it that has some.
fn director_folder(path: &Path) -> Result<PathBuf, ArchiveError> {
    if !folder::segment_files(path).map_err(io_error(path))?.is_empty() {
        return Ok(path.into());
    }
    let entries = std::fs::read_dir(path).map_err(io_error(path))?;
    let has_segments =
        |path: &PathBuf| path.is_dir() && folder::segment_files(path).is_ok_and(|files| !files.is_empty());
    let mut folders: Vec<PathBuf> =
        entries.filter_map(|entry| Some(entry.ok()?.path())).filter(has_segments).collect();
    folders.sort();
    if folders.len() > 1 {
        let names: Vec<&str> = folders.iter().filter_map(|path| path.file_name()?.to_str()).collect();
        return Err(ArchiveError::Several { path: path.into(), names: names.join(", ") });
    }
    folders.pop().ok_or_else(|| ArchiveError::Empty(path.into()))
}
