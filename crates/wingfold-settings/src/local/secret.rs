//! Key files.

use crate::hcl::Block;
use std::io;
use std::os::unix::fs::PermissionsExt;
use wingfold_metrics::collectd::Users;

/// Reads a key file by its path; the error is a message.
pub(super) type SecretReader<'a> = dyn Fn(&str) -> Result<String, String> + 'a;

/// Why a key file could not be read.
#[derive(Debug, thiserror::Error)]
pub enum SecretError {
    /// The file cannot be read.
    #[error("`{path}`: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the system.
        source: io::Error,
    },
    /// Other users may read or change the file.
    #[error("`{path}` may be read by others (mode {mode:o}); make it 600")]
    ReadableByOthers {
        /// The path of the file.
        path: String,
        /// The permission bits of the file.
        mode: u32,
    },
}

const PERMISSION_BITS: u32 = 0o777;
/// Permissions of the group and of all others.
const OTHERS_BITS: u32 = 0o077;

/// Reads a key file, which only its owner may read.
pub(super) fn read_secret_file(path: &str) -> Result<String, SecretError> {
    let unreadable = |source| SecretError::Unreadable { path: path.into(), source };
    let metadata = std::fs::metadata(path).map_err(unreadable)?;
    let mode = metadata.permissions().mode() & PERMISSION_BITS;
    if mode & OTHERS_BITS != 0 {
        return Err(SecretError::ReadableByOthers { path: path.into(), mode });
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

/// Reads the users of a key file.
pub(super) fn read_users(block: &Block, file: &str, read_secret: &SecretReader) -> Option<Users> {
    let text = match read_secret(file) {
        Ok(text) => text,
        Err(problem) => {
            block.report_key("keys", None, problem);
            return None;
        }
    };
    match Users::parse(&text) {
        Ok(users) => Some(users),
        Err(invalid_line) => {
            let problem = format!("`{file}`, {invalid_line}");
            block.report_key("keys", None, problem);
            None
        }
    }
}
