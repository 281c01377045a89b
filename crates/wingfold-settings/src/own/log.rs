//! The `log` block.

use crate::hcl::Block;

/// How lines of the log look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The `log` block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// How lines look.
    pub form: Form,
    /// Lines of less weight are left out: error, warn, info, debug or trace.
    pub level: &'static str,
}

impl Default for Log {
    fn default() -> Self {
        Log { form: Form::Text, level: "info" }
    }
}

/// Reads the block.
pub(super) fn log(block: &Block) -> Log {
    let form = match block.word("form", &["text", "json"]) {
        Some("json") => Form::Json,
        _ => Form::Text,
    };
    let level = block.word("level", &["error", "warn", "info", "debug", "trace"]);
    Log { form, level: level.unwrap_or(Log::default().level) }
}
