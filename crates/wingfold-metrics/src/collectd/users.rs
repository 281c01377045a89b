//! The users that may send packets, with their keys.

use std::collections::BTreeMap;

/// A line that does not have the form `user: key`, or has the same user as an earlier line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: not of the form `user: key`, or the user has an earlier line")]
pub struct InvalidUserLine {
    /// The number of the line, counted from 1.
    pub line: usize,
}

/// Users and their keys.
#[derive(Clone, Default, PartialEq)]
pub struct Users(BTreeMap<String, String>);

impl std::fmt::Debug for Users {
    /// Omits the keys, so that they do not get into logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_set().entries(self.0.keys()).finish()
    }
}

impl Users {
    /// Parses the text of a file with lines of the form `user: key`. Empty lines, and lines that begin with
    /// `#`, are ignored.
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
