//! The users that may send packets, with their keys.

use std::collections::BTreeMap;

/// A line that is not `user: key`, or names a user again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: `user: key` is expected, each user once")]
pub struct InvalidUserLine {
    /// The number of the line, from 1.
    pub line: usize,
}

/// Users and their keys.
#[derive(Clone, Default, PartialEq)]
pub struct Users(BTreeMap<String, String>);

impl std::fmt::Debug for Users {
    /// Without the keys.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_set().entries(self.0.keys()).finish()
    }
}

impl Users {
    /// Parses the text of a file with lines `user: key`. Empty lines and those that begin with `#` are
    /// ignored.
    pub fn parse(text: &str) -> Result<Users, InvalidUserLine> {
        let mut users = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() || line.trim_start().starts_with('#') {
                continue;
            }
            let invalid_line = InvalidUserLine { line: index + 1 };
            let (user, key) = line.split_once(':').ok_or(invalid_line)?;
            let user = user.trim();
            let key = key.trim();
            if user.is_empty() || key.is_empty() {
                return Err(invalid_line);
            }
            let is_duplicate = users.insert(user.to_string(), key.to_string()).is_some();
            if is_duplicate {
                return Err(invalid_line);
            }
        }
        Ok(Users(users))
    }

    /// The key of a user.
    pub fn key(&self, user: &str) -> Option<&str> {
        self.0.get(user).map(String::as_str)
    }
}
