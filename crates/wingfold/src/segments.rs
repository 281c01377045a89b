//! Reads the segments of a capture in order and shows a progress bar.

use crate::file_error::FileError;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::{self, IsTerminal};
use std::ops::ControlFlow;
use std::path::PathBuf;
use thiserror::Error;
use wingfold_archive::SegmentFile;
use wingfold_capture::replay::ReplayError;
use wingfold_capture::{entries, Entry};

/// Why the segments of a capture cannot be replayed.
#[derive(Debug, Error)]
pub enum SegmentError {
    /// A segment cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// A segment cannot be replayed.
    #[error("{}: {error}", path.display())]
    Replay {
        /// The segment's file.
        path: PathBuf,
        /// Why the segment cannot be replayed.
        error: ReplayError,
    },
}

/// Passes each entry of each segment to `handle`. If `handle` returns `Break`, the rest of that segment is
/// skipped.
pub fn for_each_entry(
    segments: &[&SegmentFile],
    mut handle: impl FnMut(Entry) -> Result<ControlFlow<()>, ReplayError>,
) -> Result<(), SegmentError> {
    let bar = progress_bar(segments);
    for segment in segments {
        let bytes = read(segment)?;
        for entry in entries(&bytes) {
            let replay_error = |error| SegmentError::Replay { path: segment.path.clone(), error };
            if handle(entry).map_err(replay_error)?.is_break() {
                break;
            }
        }
        bar.inc(segment.meta.bytes);
    }
    bar.finish_and_clear();
    Ok(())
}

/// Reads the bytes of a segment.
pub fn read(segment: &SegmentFile) -> Result<Vec<u8>, FileError> {
    segment.read().map_err(|error| FileError::new(&segment.path, error))
}

/// A progress bar, hidden if standard error is not a terminal.
fn progress_bar(segments: &[&SegmentFile]) -> ProgressBar {
    if !io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bytes = segments.iter().map(|segment| segment.meta.bytes).sum();
    let style = ProgressStyle::with_template("{bar:40} {bytes}/{total_bytes} {eta}");
    ProgressBar::new(bytes).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}
