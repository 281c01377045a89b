//! The `log` block.

use crate::hcl::Block;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The `log` block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// The least severe level that is logged: error, warn, info, debug or trace.
    pub level: &'static str,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { format: LogFormat::Text, level: "info" }
    }
}

/// Reads the `log` block.
pub(super) fn read_log(block: &Block) -> LogSettings {
    let format = match block.keyword("form", &["text", "json"]) {
        Some("json") => LogFormat::Json,
        _ => LogFormat::Text,
    };
    let level = block.keyword("level", &["error", "warn", "info", "debug", "trace"]);
    LogSettings { format, level: level.unwrap_or(LogSettings::default().level) }
}
