//! `wingfold capture cut`: writes a time range of a capture to one segment that can be replayed on its own.

use super::{write, CaptureError};
use crate::cli::Outcome;
use crate::segments;
use crate::time_range::TimeRange;
use std::path::Path;
use wingfold_archive::Archive;
use wingfold_capture::{edit, entries};

/// Writes the segment of a time range to the file `out`.
pub fn cut(
    path: &Path,
    from: Option<&str>,
    until: Option<&str>,
    out: &Path,
) -> Result<Outcome, CaptureError> {
    let segment = extract_range(path, from, until)?;
    write(out, &segment)?;
    Ok(Outcome::Success)
}

/// The bytes of one segment that holds a time range of a capture.
pub fn extract_range(path: &Path, from: Option<&str>, until: Option<&str>) -> Result<Vec<u8>, CaptureError> {
    let archive = Archive::open(path)?;
    let range = TimeRange::parse(&archive, from, until)?;
    let mut contents = Vec::new();
    for segment in archive.within(range.from, range.until) {
        contents.push(segments::read(segment)?);
    }
    let entries = contents.iter().flat_map(|bytes| entries(bytes));
    let extracted = edit::extract(entries, range.from, range.until)
        .map_err(|error| CaptureError::Replay { path: path.to_path_buf(), error })?;
    extracted.ok_or_else(|| CaptureError::EmptyRange { path: path.to_path_buf() })
}
