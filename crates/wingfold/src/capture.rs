//! `wingfold capture`: shows, checks and cuts captures, and keeps parts of them as test cases.

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

/// The subcommands of `wingfold capture`.
#[derive(Debug, Subcommand)]
pub enum Capture {
    /// List the segments of a capture, with their times and gaps
    Show {
        /// A segment file, or a directory of segments
        path: PathBuf,
        /// Print one JSON object per segment
        #[arg(long)]
        json: bool,
    },
    /// Write a time range of a capture to one segment that can be replayed on its own
    Cut {
        /// A segment file, or a directory of segments
        path: PathBuf,
        /// Start of the time range: 2026-11-30T03:12:05Z, 03:12:05, +90s (after the capture's start) or
        /// seconds
        #[arg(long)]
        from: Option<String>,
        /// End of the time range, in the formats of --from
        #[arg(long)]
        until: Option<String>,
        /// The segment file to write
        #[arg(long)]
        out: PathBuf,
    },
    /// Keep a time range of a capture as a test case, which `cargo test` replays
    Keep {
        /// A segment file, or a directory of segments
        path: PathBuf,
        /// Name of the case and of its directory: letters, digits and hyphens
        #[arg(long)]
        name: String,
        /// Start of the time range: 2026-11-30T03:12:05Z, 03:12:05, +90s (after the capture's start) or
        /// seconds
        #[arg(long)]
        from: Option<String>,
        /// End of the time range, in the formats of --from
        #[arg(long)]
        until: Option<String>,
        /// Description of the failure, and where it is documented
        #[arg(long, default_value = "")]
        about: String,
        /// Directory in which the case's directory is created
        #[arg(long, default_value = "captures")]
        into: PathBuf,
    },
    /// Replay cases and check their expectations. Exit code 1 if a case fails
    Test {
        /// Directories of cases, or directories that contain them
        #[arg(default_value = "captures")]
        cases: Vec<PathBuf>,
    },
    /// Replace the recorded actions of a case by those of this build, after an intended change of the
    /// decision module
    Accept {
        /// Directory of the case
        case: PathBuf,
    },
    /// Read a whole capture and report damage and missing calls. Exit code 1 if there are any
    Check {
        /// A segment file, or a directory of segments
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
    /// The time range is invalid.
    #[error(transparent)]
    Range(#[from] TimeRangeError),
    /// The capture cannot be replayed.
    #[error("{}: {error}", path.display())]
    Replay { path: PathBuf, error: ReplayError },
    /// The time range has no call, or no call with a known state before it.
    #[error("{}: no call in the time range can be replayed", path.display())]
    EmptyRange { path: PathBuf },
    /// The capture of a case has no call, or no call with a known state before it.
    #[error("{}: no call can be replayed", path.display())]
    EmptyCase { path: PathBuf },
    /// The name of a case has characters that are not allowed in the name of its directory.
    #[error("`{0}` is not a valid name of a case: use letters (a-z, A-Z), digits and hyphens")]
    CaseName(String),
    /// The directory of the case already exists.
    #[error("{}: already exists", path.display())]
    CaseExists { path: PathBuf },
    /// The description of a case has errors.
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
                extract::extract_range(path, from.as_deref(), until.as_deref())
                    .and_then(|segment| case::keep(&segment, name, about, into))
            }
            Capture::Test { cases } => case::test(cases),
            Capture::Accept { case } => case::accept(case),
        };
        Outcome::from_result(result)
    }
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), FileError> {
    std::fs::write(path, bytes).map_err(|error| FileError::new(path, error))
}
