//! `wingfold replay`: runs the decision module over a capture and compares every answer.

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

/// Run the module over a capture and compare every answer. Exit code 0: equal, 1: different, 2: cannot be
/// replayed.
#[derive(Args, Debug)]
pub struct Replay {
    /// A segment, or a folder of them
    path: PathBuf,
    /// From this time: 2026-11-30T03:12:05Z, 03:12:05, +90s after the start, or seconds
    #[arg(long)]
    from: Option<String>,
    /// Until this time
    #[arg(long)]
    until: Option<String>,
    /// Go on at differences: what would this build have done, which tables differ, for how long, for whom
    #[arg(long)]
    compare: bool,
    /// The answer as one JSON object
    #[arg(long)]
    json: bool,
}

/// Why a capture cannot be replayed.
#[derive(Debug, Error)]
enum ReplayCommandError {
    /// It cannot be opened.
    #[error(transparent)]
    Archive(#[from] ArchiveError),
    /// The part that was named is wrong.
    #[error(transparent)]
    Range(#[from] TimeRangeError),
    /// One of its segments cannot be replayed.
    #[error(transparent)]
    Segment(#[from] SegmentError),
    /// It has no call in the part that was named, or none whose state is known.
    #[error("{}: no call could be replayed in that span", path.display())]
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
