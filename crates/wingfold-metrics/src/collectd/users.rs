//! The users that may send packets, with their keys.

use std::collections::BTreeMap;

/// Users and their keys, as a file has them: a line each, `user: key`.
#[derive(Clone, Default, PartialEq)]
pub struct Users(BTreeMap<String, String>);

impl std::fmt::Debug for Users {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_set().entries(self.0.keys()).finish()
    }
}

impl Users {
    /// Reads the file's text; gives the number of the line that is wrong.
    pub fn read(text: &str) -> Result<Users, usize> {
        let mut users = BTreeMap::new();
        for (at, line) in text.lines().enumerate() {
            if line.trim().is_empty() || line.trim_start().starts_with('#') {
                continue;
            }
            let (user, key) = line.split_once(':').ok_or(at + 1)?;
            let (user, key) = (user.trim(), key.trim());
            if user.is_empty() || key.is_empty() || users.insert(user.to_string(), key.to_string()).is_some()
            {
                return Err(at + 1);
            }
        }
        Ok(Users(users))
    }

    /// A user's key.
    pub fn key(&self, user: &str) -> Option<&str> {
        self.0.get(user).map(String::as_str)
    }
}
