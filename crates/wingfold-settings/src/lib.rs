//! Settings of a wingfold director: the platform's settings object with its translation for the decision module, and the
//! local settings file of the program. The simulator sends the object in its first message; a director on sockets finds it in
//! its configuration.
#![forbid(unsafe_code)]

pub mod hcl;
pub mod local;

mod json;
mod load_field;
mod platform;
mod retry;
#[cfg(test)]
mod tests;

pub use json::{parse_json, SettingsError};
pub use load_field::set_load_field;
pub use platform::{PlatformSettings, ReportNames, TransportSettings};
pub use retry::retry_code;
