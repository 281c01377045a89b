//! Key files, which hold users and their secret keys.

use crate::hcl::Block;
use std::io;
use std::os::unix::fs::PermissionsExt;
use wingfold_metrics::collectd::Users;

/// Reads the key file at a path; the error is a message for people.
pub(super) type SecretReader<'a> = dyn Fn(&str) -> Result<String, String> + 'a;

/// Why a key file could not be read.
#[derive(Debug, thiserror::Error)]
pub enum SecretError {
    /// The file cannot be read.
    #[error("cannot read `{path}`: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file's mode gives permissions to its group or to all users.
    #[error("`{path}` is accessible by other users (mode {mode:o}); change its mode to 600")]
    AccessibleByOthers {
        /// The path of the file.
        path: String,
        /// The permission bits of the file.
        mode: u32,
    },
}

const PERMISSION_BITS: u32 = 0o777;
/// The permission bits of the group and of all other users.
const GROUP_AND_OTHERS_BITS: u32 = 0o077;

/// Reads a key file. It is rejected if anybody but its owner has permissions on it.
pub(super) fn read_secret_file(path: &str) -> Result<String, SecretError> {
    let unreadable = |source| SecretError::Unreadable { path: path.into(), source };
    let metadata = std::fs::metadata(path).map_err(unreadable)?;
    let mode = metadata.permissions().mode() & PERMISSION_BITS;
    if mode & GROUP_AND_OTHERS_BITS != 0 {
        return Err(SecretError::AccessibleByOthers { path: path.into(), mode });
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

/// Reads the users and their keys from a key file. Reports a file that cannot be read or parsed, and returns
/// `None`.
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
