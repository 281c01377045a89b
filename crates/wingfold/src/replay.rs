//! `wingfold replay`: replays a capture and compares the actions of this build with the recorded ones.

mod json;
mod text;

use crate::cli::Outcome;
use crate::segments::{for_each_entry, SegmentError};
use crate::time_range::{TimeRange, TimeRangeError};
use clap::Args;
use std::ops::ControlFlow;
use std::path::PathBuf;
use std::time::Instant;
use thiserror::Error;
use wingfold_archive::{Archive, ArchiveError, SegmentFile};
use wingfold_capture::replay::{ReplayMode, Replayer};

/// Replay a capture and compare the actions of this build with the recorded ones. Exit code 0: no
/// differences, 1: differences, 2: the capture cannot be replayed.
#[derive(Args, Debug)]
pub struct Replay {
    /// A segment file, or a directory of segments
    path: PathBuf,
    /// Start of the time range: 2026-11-30T03:12:05Z, 03:12:05, +90s (after the capture's start) or seconds
    #[arg(long)]
    from: Option<String>,
    /// End of the time range, in the formats of --from
    #[arg(long)]
    until: Option<String>,
    /// Continue with the state of this build after a difference, and list the tables that differ: zone,
    /// classes, duration and extent
    #[arg(long)]
    compare: bool,
    /// Print the result as one JSON object
    #[arg(long)]
    json: bool,
}

/// Why `wingfold replay` failed.
#[derive(Debug, Error)]
enum ReplayCommandError {
    /// The capture cannot be opened.
    #[error(transparent)]
    Archive(#[from] ArchiveError),
    /// The time range is invalid.
    #[error(transparent)]
    Range(#[from] TimeRangeError),
    /// A segment cannot be read or replayed.
    #[error(transparent)]
    Segment(#[from] SegmentError),
    /// The time range has no call, or no call with a known state before it.
    #[error("{}: no call in the time range could be replayed", path.display())]
    NoCalls { path: PathBuf },
}

impl Replay {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        Outcome::from_result(self.replay())
    }

    fn replay(&self) -> Result<Outcome, ReplayCommandError> {
        let archive = Archive::open(&self.path)?;
        let range = TimeRange::parse(&archive, self.from.as_deref(), self.until.as_deref())?;
        let start = Instant::now();
        let replayer = self.replay_range(&archive, range)?;
        let elapsed_s = start.elapsed().as_secs_f64();
        if replayer.report.calls == 0 {
            return Err(ReplayCommandError::NoCalls { path: self.path.clone() });
        }
        if self.json {
            json::print(&replayer, elapsed_s);
        } else {
            text::print(&archive, &replayer, elapsed_s);
            if self.compare {
                text::print_divergences(&replayer);
            }
        }
        Ok(if replayer.report.differences == 0 { Outcome::Success } else { Outcome::Negative })
    }

    fn replay_range(&self, archive: &Archive, range: TimeRange) -> Result<Replayer, SegmentError> {
        let mode = if self.compare { ReplayMode::Compare } else { ReplayMode::Strict };
        let mut replayer = Replayer::new(mode).between(range.from, range.until);
        let segments: Vec<&SegmentFile> = archive.within(range.from, range.until).collect();
        for_each_entry(&segments, |entry| {
            replayer.feed(entry)?;
            Ok(if replayer.is_done() { ControlFlow::Break(()) } else { ControlFlow::Continue(()) })
        })?;
        Ok(replayer)
    }
}
