//! `wingfold capture cut`: a part of a capture as one segment that can be replayed alone.

use super::{write, CaptureError};
use crate::cli::Outcome;
use crate::segments;
use crate::time_range::TimeRange;
use std::path::Path;
use wingfold_archive::Archive;
use wingfold_capture::{edit, entries};

/// Writes a part of a capture into a file.
pub fn cut(
    path: &Path,
    from: Option<&str>,
    until: Option<&str>,
    out: &Path,
) -> Result<Outcome, CaptureError> {
    let segment = range(path, from, until)?;
    write(out, &segment)?;
    Ok(Outcome::Success)
}

/// A part of a capture as the bytes of one segment.
pub fn range(path: &Path, from: Option<&str>, until: Option<&str>) -> Result<Vec<u8>, CaptureError> {
    let archive = Archive::open(path)?;
    let range = TimeRange::parse(&archive, from, until)?;
    let mut all = Vec::new();
    for segment in archive.within(range.from, range.until) {
        all.push(segments::read(segment)?);
    }
    let entries = all.iter().flat_map(|bytes| entries(bytes));
    let extracted = edit::extract(entries, range.from, range.until)
        .map_err(|problem| CaptureError::Replay { path: path.to_path_buf(), problem })?;
    extracted.ok_or_else(|| CaptureError::EmptyRange { path: path.to_path_buf() })
}
