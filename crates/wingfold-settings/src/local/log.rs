//! The `log` block.

use crate::hcl::Block;

/// How lines of the log look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The `log` block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// How lines look.
    pub format: LogFormat,
    /// Lines of less weight are left out: error, warn, info, debug or trace.
    pub level: &'static str,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { format: LogFormat::Text, level: "info" }
    }
}

/// Reads the block.
pub(super) fn read_log(block: &Block) -> LogSettings {
    let form = match block.keyword("form", &["text", "json"]) {
        Some("json") => LogFormat::Json,
        _ => LogFormat::Text,
    };
    let level = block.keyword("level", &["error", "warn", "info", "debug", "trace"]);
    LogSettings { format: form, level: level.unwrap_or(LogSettings::default().level) }
}
