//! `wingfold capture`: looks at captures, checks them, and keeps parts of them as cases.

mod case;
mod check;
mod extract;
mod show;

use crate::cli::Outcome;
use crate::file_error::FileError;
use crate::time_range::TimeRangeError;
use clap::Subcommand;
use std::path::{Path, PathBuf};
use thiserror::Error;
use wingfold_archive::ArchiveError;
use wingfold_capture::replay::ReplayError;
use wingfold_settings::hcl::Diagnostics;

/// What can be done with a capture.
#[derive(Debug, Subcommand)]
pub enum Capture {
    /// Show what a capture holds: segments, times, gaps
    Show {
        /// A segment, or a folder of them
        path: PathBuf,
        /// As one JSON object a segment
        #[arg(long)]
        json: bool,
    },
    /// Cut a span of time into one segment that replays alone
    Cut {
        /// A segment, or a folder of them
        path: PathBuf,
        /// From this time: 2026-11-30T03:12:05Z, 03:12:05, +90s after the start, or seconds
        #[arg(long)]
        from: Option<String>,
        /// Until this time
        #[arg(long)]
        until: Option<String>,
        /// The file to write
        #[arg(long)]
        out: PathBuf,
    },
    /// Keep a span of time as a case: `cargo test` replays it from then on
    Keep {
        /// A segment, or a folder of them
        path: PathBuf,
        /// The case's name; it becomes a folder
        #[arg(long)]
        name: String,
        /// From this time
        #[arg(long)]
        from: Option<String>,
        /// Until this time
        #[arg(long)]
        until: Option<String>,
        /// What went wrong, and where that is written up
        #[arg(long, default_value = "")]
        about: String,
        /// Where cases are
        #[arg(long, default_value = "captures")]
        into: PathBuf,
    },
    /// Replay kept cases and look whether all holds that must. Exit code 1 if something does not
    Test {
        /// Folders of cases
        #[arg(default_value = "captures")]
        cases: Vec<PathBuf>,
    },
    /// Take this build's answers into a kept case: for a module that was changed on purpose
    Accept {
        /// The case's folder
        case: PathBuf,
    },
    /// Read every block and tell what is damaged or missing. Exit code 1 if something is
    Check {
        /// A segment, or a folder of them
        path: PathBuf,
    },
}

/// Why a capture or a case cannot be used.
#[derive(Debug, Error)]
enum CaptureError {
    /// The capture cannot be opened.
    #[error(transparent)]
    Archive(#[from] ArchiveError),
    /// A file or a directory cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// The part that was named is wrong.
    #[error(transparent)]
    Range(#[from] TimeRangeError),
    /// The capture cannot be replayed.
    #[error("{}: {problem}", path.display())]
    Replay { path: PathBuf, problem: ReplayError },
    /// The part has no call, or none whose state is known.
    #[error("{}: no call can be replayed in that span", path.display())]
    EmptyRange { path: PathBuf },
    /// The capture of a case has no call, or none whose state is known.
    #[error("{}: no call can be replayed", path.display())]
    EmptyCase { path: PathBuf },
    /// The name of a case would be no good name of a directory.
    #[error("`{0}`: a case's name has letters, digits and hyphens")]
    CaseName(String),
    /// There is a case of this name.
    #[error("{}: there is such a case already", path.display())]
    CaseExists { path: PathBuf },
    /// The description of a case is wrong.
    #[error(transparent)]
    Case(#[from] Diagnostics),
}

impl Capture {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        let result = match &self {
            Capture::Show { path, json } => show::show(path, *json),
            Capture::Check { path } => check::check(path),
            Capture::Cut { path, from, until, out } => {
                extract::cut(path, from.as_deref(), until.as_deref(), out)
            }
            Capture::Keep { path, name, from, until, about, into } => {
                extract::range(path, from.as_deref(), until.as_deref())
                    .and_then(|segment| case::keep(&segment, name, about, into))
            }
            Capture::Test { cases } => case::test(cases),
            Capture::Accept { case } => case::accept(case),
        };
        Outcome::from_result(result)
    }
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), FileError> {
    std::fs::write(path, bytes).map_err(|problem| FileError::new(path, problem))
}
