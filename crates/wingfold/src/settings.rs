//! `wingfold settings`: reads and checks local settings files.

use crate::cli::Outcome;
use crate::file_error::{read_text, FileError};
use clap::Subcommand;
use std::path::{Path, PathBuf};
use thiserror::Error;
use wingfold_settings::hcl::Diagnostics;
use wingfold_settings::local::LocalSettings;

/// The environment variable that names the local settings file if the command line does not.
const SETTINGS_FILE_VARIABLE: &str = "WINGFOLD_OWN";

/// The subcommands of `wingfold settings`.
#[derive(Debug, Subcommand)]
pub enum Settings {
    /// Check a local settings file (HCL) and report every error in it
    Check {
        /// The local settings file
        file: PathBuf,
    },
}

/// Why local settings cannot be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The file has errors.
    #[error(transparent)]
    Invalid(#[from] Diagnostics),
}

impl Settings {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        match self {
            Settings::Check { file } => Outcome::from_result(check(&file)),
        }
    }
}

fn check(file: &Path) -> Result<Outcome, SettingsError> {
    load(Some(file))?;
    println!("{}: valid", file.display());
    Ok(Outcome::Success)
}

/// Loads local settings from `file`, or else from the file that `WINGFOLD_OWN` names. Without either, returns
/// the defaults.
pub fn load(file: Option<&Path>) -> Result<LocalSettings, SettingsError> {
    let file = file.map(Path::to_path_buf).or_else(file_from_environment);
    let Some(file) = file else {
        return Ok(LocalSettings::default());
    };
    let text = read_text(&file)?;
    Ok(LocalSettings::parse(&file.display().to_string(), &text)?)
}

fn file_from_environment() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_FILE_VARIABLE).map(PathBuf::from)
}
