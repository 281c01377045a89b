//! Reads captures back: one segment, a folder of them, or a folder of directors.

use crate::folder;
use std::io;
use std::path::{Path, PathBuf};
use wingfold_capture::model::{Head, SegmentMeta};
use wingfold_director::interface::Timestamp;

/// Why there is nothing to read.
#[derive(Debug, thiserror::Error)]
pub enum ArchiveError {
    /// It cannot be read at all.
    #[error("{path}: {problem}")]
    Io {
        /// What.
        path: PathBuf,
        /// Why not.
        problem: io::Error,
    },
    /// It holds no segment.
    #[error("{0}: no capture is here (files that end in .wfcap)")]
    Empty(PathBuf),
    /// It holds segments of several directors, and one must be named.
    #[error("{path}: captures of several directors: {names}; name one of these folders")]
    Several {
        /// Where.
        path: PathBuf,
        /// Whose.
        names: String,
    },
}

/// One segment.
#[derive(Clone, Debug)]
pub struct Source {
    /// Its file.
    pub path: PathBuf,
    /// Whose it is.
    pub head: Head,
    /// What it holds; of a segment that was not ended, what it held when this was read.
    pub meta: SegmentMeta,
}

/// Segments of one director, in the order they were written.
#[derive(Clone, Debug, Default)]
pub struct Archive {
    /// The segments.
    pub sources: Vec<Source>,
    /// Files that are named like segments and have no sound head.
    pub unreadable: Vec<PathBuf>,
}

impl Archive {
    /// Opens a file, or a folder of one director's segments (or of one director's folder).
    pub fn open(path: &Path) -> Result<Archive, ArchiveError> {
        let failed = |problem| ArchiveError::Io { path: path.into(), problem };
        let mut archive = Archive::default();
        if !path.is_dir() {
            archive.add(path.into(), None).map_err(failed)?;
        } else {
            let mut folder = path.to_path_buf();
            let mut files = folder::files(&folder).map_err(failed)?;
            if files.is_empty() {
                let below = std::fs::read_dir(path).map_err(failed)?;
                let below = below.filter_map(|entry| Some(entry.ok()?.path())).filter(|path| path.is_dir());
                let mut below: Vec<_> =
                    below.filter(|path| folder::files(path).is_ok_and(|files| !files.is_empty())).collect();
                below.sort();
                if below.len() > 1 {
                    let names =
                        below.iter().filter_map(|path| path.file_name()?.to_str()).collect::<Vec<_>>();
                    return Err(ArchiveError::Several { path: path.into(), names: names.join(", ") });
                }
                folder = below.pop().ok_or_else(|| ArchiveError::Empty(path.into()))?;
                files = folder::files(&folder).map_err(failed)?;
            }
            let known = folder::catalogued(&folder).unwrap_or_default();
            for (segment, file) in files {
                let meta = known.get(&segment).filter(|meta| meta.sealed).cloned();
                archive.add(file, meta).map_err(failed)?;
            }
        }
        archive.sources.sort_by_key(|source| (source.head.segment, source.head.run));
        match archive.sources.is_empty() && archive.unreadable.is_empty() {
            true => Err(ArchiveError::Empty(path.into())),
            false => Ok(archive),
        }
    }

    fn add(&mut self, path: PathBuf, meta: Option<SegmentMeta>) -> io::Result<()> {
        let bytes = folder::read(&path)?;
        let meta = meta.or_else(|| folder::survey(&bytes));
        match (wingfold_capture::reader::head(&bytes), meta) {
            (Ok(head), Some(meta)) => self.sources.push(Source { path, head, meta }),
            _ => self.unreadable.push(path),
        }
        Ok(())
    }

    /// The segments that hold any of this time; each replays alone.
    pub fn within(&self, from: Timestamp, until: Timestamp) -> impl Iterator<Item = &Source> {
        self.sources.iter().filter(move |s| s.meta.last.1 >= from && s.meta.first.1 <= until)
    }

    /// Time of the first and of the last call.
    pub fn span(&self) -> Option<(Timestamp, Timestamp)> {
        let first = self.sources.iter().map(|source| source.meta.first.1).min()?;
        Some((first, self.sources.iter().map(|source| source.meta.last.1).max()?))
    }
}

impl Source {
    /// The segment's bytes.
    pub fn read(&self) -> io::Result<Vec<u8>> {
        folder::read(&self.path)
    }
}
