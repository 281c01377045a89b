//! Parses JSON text; errors give the path of the invalid key.

use serde::Deserialize;

/// An error in a JSON text.
#[derive(Debug, thiserror::Error)]
#[error("key `{path}`: {problem}")]
pub struct JsonError {
    /// The path of the key from the outermost value, or `.` if the whole text is invalid.
    pub path: String,
    /// Why the value at this path is invalid.
    pub problem: String,
}

/// Parses a text that holds one JSON value. Anything but white space after the value is an error.
pub fn parse_json<'de, T: Deserialize<'de>>(text: &'de str) -> Result<T, JsonError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| JsonError { path: error.path().to_string(), problem: error.inner().to_string() })?;
    json.end().map_err(|error| JsonError { path: ".".into(), problem: error.to_string() })?;
    Ok(value)
}
