//! `wingfold settings`: wingfold's own settings, read and checked.

use crate::cli::Outcome;
use crate::file_error::{read_text, FileError};
use clap::Subcommand;
use std::path::{Path, PathBuf};
use thiserror::Error;
use wingfold_settings::hcl::Diagnostics;
use wingfold_settings::local::LocalSettings;

/// Names the file of own settings where the command line names none.
const FILE_VARIABLE: &str = "WINGFOLD_OWN";

/// What can be done with own settings.
#[derive(Debug, Subcommand)]
pub enum Settings {
    /// Report everything that is wrong with a file of own settings (HCL)
    Check {
        /// The file
        file: PathBuf,
    },
}

/// Why own settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The file is read, and wrong.
    #[error(transparent)]
    Invalid(#[from] Diagnostics),
}

impl Settings {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        match self {
            Settings::Check { file } => Outcome::of(check(&file)),
        }
    }
}

fn check(file: &Path) -> Result<Outcome, SettingsError> {
    load(Some(file))?;
    println!("{}: good", file.display());
    Ok(Outcome::Success)
}

/// Reads own settings: from `file`, or else from the file that `WINGFOLD_OWN` names, or else the defaults.
pub fn load(file: Option<&Path>) -> Result<LocalSettings, SettingsError> {
    let file = file.map(Path::to_path_buf).or_else(file_of_environment);
    let Some(file) = file else {
        return Ok(LocalSettings::default());
    };
    let text = read_text(&file)?;
    Ok(LocalSettings::parse(&file.display().to_string(), &text)?)
}

fn file_of_environment() -> Option<PathBuf> {
    std::env::var_os(FILE_VARIABLE).map(PathBuf::from)
}
