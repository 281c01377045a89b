//! Errors of files and directories, with their paths.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An I/O error of a file or a directory.
#[derive(Debug, Error)]
#[error("{}: {error}", path.display())]
pub struct FileError {
    /// The file or the directory.
    path: PathBuf,
    /// What the operating system reported.
    error: io::Error,
}

impl FileError {
    /// An error that occurred when `path` was read or written.
    pub fn new(path: &Path, error: io::Error) -> Self {
        FileError { path: path.to_path_buf(), error }
    }
}

/// Reads a text file.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|error| FileError::new(path, error))
}
