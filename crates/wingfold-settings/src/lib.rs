//! Settings of a wingfold director: the platform's settings object with its translation into settings of the
//! decision module, and the local settings file of the program. The simulator sends the settings object when
//! it launches an instance; a director on sockets reads the object from its configuration file.
#![forbid(unsafe_code)]

pub mod hcl;
pub mod local;

mod json;
mod load_field;
mod platform;
mod retry;
#[cfg(test)]
mod tests;

pub use json::{parse_json, JsonError};
pub use load_field::set_load_field;
pub use platform::{PlatformSettings, ReportNames, TransportSettings};
pub use retry::retry_code;
