//! Files of keys.

use crate::hcl::Block;
use std::os::unix::fs::PermissionsExt;
use wingfold_metrics::collectd::Users;

/// Reads a file of keys by its path.
pub(super) type SecretReader<'a> = dyn Fn(&str) -> Result<String, String> + 'a;

/// Reads a file of keys, which nobody else may read.
pub(super) fn read_secret_file(path: &str) -> Result<String, String> {
    let data = std::fs::metadata(path).map_err(|problem| format!("`{path}`: {problem}"))?;
    let mode = data.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(format!("`{path}` may be read by others (mode {mode:o}); make it 600"));
    }
    std::fs::read_to_string(path).map_err(|problem| format!("`{path}`: {problem}"))
}

/// Reads the users of a file of keys.
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
