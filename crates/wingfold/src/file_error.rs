//! Why a file or a directory cannot be used.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a file or a directory cannot be used.
#[derive(Debug, Error)]
#[error("{}: {problem}", path.display())]
pub struct FileError {
    /// The file or the directory.
    path: PathBuf,
    /// Why not.
    problem: io::Error,
}

impl FileError {
    /// Reading or writing `path` has failed.
    pub fn new(path: &Path, problem: io::Error) -> Self {
        FileError { path: path.to_path_buf(), problem }
    }
}

/// Reads a text file.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|problem| FileError::new(path, problem))
}
