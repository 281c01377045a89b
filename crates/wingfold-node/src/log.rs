//! The log: one line per event, written to standard error through a bounded queue that drops lines when it is
//! full. So a blocked standard error does not block the director.

use crate::stage_runs::{self, StageRuns};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::prelude::*;
use wingfold_settings::local::{LogFormat, LogSettings};

/// Lines that may be queued: at a few hundred bytes each, they take a small part of the memory.
const MAX_QUEUED_LINES: usize = 4096;
/// Lines that a [`RateLimitedLog`] allows in each [`RATE_LIMIT_WINDOW`].
const MAX_LINES_PER_WINDOW: u32 = 20;
/// The time over which a [`RateLimitedLog`] counts lines.
const RATE_LIMIT_WINDOW: Duration = Duration::from_secs(10);
/// Characters to which [`sanitize`] shortens a text.
const MAX_TEXT_CHARS: usize = 200;

/// Starts the log; dropping the returned guard flushes it. Panic messages are logged as well: written
/// directly to standard error, a message could block forever if nothing reads it.
pub fn start(log: &LogSettings, stage_runs: Option<StageRuns>) -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let level: LevelFilter = log.level.parse().unwrap_or(LevelFilter::INFO);
    let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
    // Spans of stages are only observed by `StageRuns`; they are not added to log lines.
    let is_shown =
        filter_fn(move |metadata| *metadata.level() <= level && metadata.target() != stage_runs::SPAN_TARGET);
    let lines = match log.format {
        LogFormat::Text => lines.with_filter(is_shown).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).with_filter(is_shown).boxed(),
    };
    let stage_runs = stage_runs.map(|stage_runs| stage_runs.with_filter(filter_fn(stage_runs::is_stage)));
    tracing_subscriber::registry().with(lines).with(stage_runs).init();
    std::panic::set_hook(Box::new(|panic| tracing::error!("panic: {}", sanitize(&panic.to_string()))));
    guard
}

/// Rate limit for log lines that any peer can cause: allows a few lines in each window and counts the
/// suppressed ones.
#[derive(Debug, Default)]
pub struct RateLimitedLog(Mutex<WindowCounts>);

#[derive(Debug, Default)]
struct WindowCounts {
    started: Option<Instant>,
    written: u32,
    suppressed: u64,
}

impl RateLimitedLog {
    /// Returns `None` if the line must be suppressed, and otherwise how many were suppressed since the last
    /// allowed one.
    pub fn allow_line(&self) -> Option<u64> {
        self.allow_line_at(Instant::now())
    }

    fn allow_line_at(&self, now: Instant) -> Option<u64> {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if counts.started.is_none_or(|started| now.duration_since(started) >= RATE_LIMIT_WINDOW) {
            counts.started = Some(now);
            counts.written = 0;
        }
        if counts.written >= MAX_LINES_PER_WINDOW {
            counts.suppressed += 1;
            return None;
        }
        counts.written += 1;
        Some(std::mem::take(&mut counts.suppressed))
    }
}

/// Makes a text from another process safe for a log line: shortens it and replaces control characters, such
/// as line breaks, with spaces.
pub fn sanitize(text: &str) -> String {
    let shown = text.chars().take(MAX_TEXT_CHARS).map(|char| if char.is_control() { ' ' } else { char });
    let mut shown: String = shown.collect();
    if text.chars().nth(MAX_TEXT_CHARS).is_some() {
        shown.push_str("...");
    }
    shown
}

#[cfg(test)]
mod tests;
