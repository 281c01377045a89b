//! Parses JSON text, with errors that name the path of the key.

use serde::Deserialize;

/// A key of a JSON object that is invalid.
#[derive(Debug, thiserror::Error)]
#[error("key `{path}`: {problem}")]
pub struct SettingsError {
    /// The path of the key from the top of the text.
    pub path: String,
    /// What was found or expected.
    pub problem: String,
}

/// Parses JSON text; nothing may follow the value.
pub fn parse_json<'de, T: Deserialize<'de>>(text: &'de str) -> Result<T, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| SettingsError {
        path: error.path().to_string(),
        problem: error.inner().to_string(),
    })?;
    json.end().map_err(|error| SettingsError { path: ".".into(), problem: error.to_string() })?;
    Ok(value)
}
