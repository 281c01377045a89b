//! Reads captures: a single segment file, a director's folder of segments, or a folder that contains the
//! folder of one director.

use crate::folder;
use std::io;
use std::path::{Path, PathBuf};
use wingfold_capture::model::{Head, SegmentMeta};
use wingfold_director::interface::Timestamp;

/// Why a capture cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum ArchiveError {
    /// A file or folder cannot be read.
    #[error("{path}: {error}")]
    Io {
        /// The path of the capture to open.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The path holds no segments.
    #[error("{0}: no capture segments found (files with the extension .wfcap)")]
    NoSegments(PathBuf),
    /// The path holds the folders of several directors, of which the caller must choose one.
    #[error("{path}: contains captures of several directors: {names}; specify one of these folders")]
    SeveralDirectors {
        /// The path of the capture to open.
        path: PathBuf,
        /// The names of the directors' folders, separated by commas.
        names: String,
    },
}

/// A segment file, with its head and the range of its calls.
#[derive(Clone, Debug)]
pub struct SegmentFile {
    /// The path of the file.
    pub path: PathBuf,
    /// The head of the segment.
    pub head: Head,
    /// The calls and the size of the segment; for a segment that is still being written, as of the opening of
    /// the archive.
    pub meta: SegmentMeta,
}

/// The segments of one director.
#[derive(Clone, Debug, Default)]
pub struct Archive {
    /// The segments, in the order in which they were written.
    pub segments: Vec<SegmentFile>,
    /// Files that have the name of a segment, but no valid head or no checkpoint.
    pub unreadable: Vec<PathBuf>,
}

impl Archive {
    /// Opens a segment file, a director's folder of segments, or a folder that contains the folder of one
    /// director.
    pub fn open(path: &Path) -> Result<Archive, ArchiveError> {
        let mut archive = Archive::default();
        if path.is_dir() {
            archive.add_folder(&director_folder(path)?).map_err(io_error(path))?;
        } else {
            archive.add(path.into(), None).map_err(io_error(path))?;
        }
        archive.segments.sort_by_key(|segment| (segment.head.segment, segment.head.incarnation));
        if archive.segments.is_empty() && archive.unreadable.is_empty() {
            return Err(ArchiveError::NoSegments(path.into()));
        }
        Ok(archive)
    }

    /// Adds all segment files of a folder. Only the catalogue's entries of sealed segments are used: other
    /// segments may have grown since their entry was written.
    fn add_folder(&mut self, folder: &Path) -> io::Result<()> {
        let catalogued = folder::read_catalogue(folder).unwrap_or_default();
        for (segment, file) in folder::segment_files(folder)? {
            let meta = catalogued.get(&segment).filter(|meta| meta.sealed).cloned();
            self.add(file, meta)?;
        }
        Ok(())
    }

    /// Adds a segment file. Without a catalogue entry its contents are scanned.
    fn add(&mut self, path: PathBuf, catalogued: Option<SegmentMeta>) -> io::Result<()> {
        let bytes = folder::read_segment(&path)?;
        let meta = catalogued.or_else(|| folder::scan_segment(&bytes));
        match (wingfold_capture::reader::head(&bytes), meta) {
            (Ok(head), Some(meta)) => self.segments.push(SegmentFile { path, head, meta }),
            _ => self.unreadable.push(path),
        }
        Ok(())
    }

    /// The segments that overlap a time range. Each segment can be replayed alone.
    pub fn within(&self, from: Timestamp, until: Timestamp) -> impl Iterator<Item = &SegmentFile> {
        let overlaps = move |meta: &SegmentMeta| meta.last.at >= from && meta.first.at <= until;
        self.segments.iter().filter(move |segment| overlaps(&segment.meta))
    }

    /// The times of the first and of the last call of all segments; `None` if there are no segments.
    pub fn span(&self) -> Option<(Timestamp, Timestamp)> {
        let first = self.segments.iter().map(|segment| segment.meta.first.at).min()?;
        let last = self.segments.iter().map(|segment| segment.meta.last.at).max()?;
        Some((first, last))
    }
}

impl SegmentFile {
    /// Reads the contents of the file.
    pub fn read(&self) -> io::Result<Vec<u8>> {
        folder::read_segment(&self.path)
    }
}

fn io_error(path: &Path) -> impl Fn(io::Error) -> ArchiveError + '_ {
    |error| ArchiveError::Io { path: path.into(), error }
}

/// The folder that holds the segments: the given one, or the only folder in it that holds segments.
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
        return Err(ArchiveError::SeveralDirectors { path: path.into(), names: names.join(", ") });
    }
    folders.pop().ok_or_else(|| ArchiveError::NoSegments(path.into()))
}
