//! The log: one line an event, to standard error, through a bounded queue that drops lines when it is full. A log that nobody
//! reads can't hold the director up.

use crate::stage_runs::{self, StageRuns};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::prelude::*;
use wingfold_settings::local::{LogFormat, LogSettings};

/// Lines that may wait to be written: at a few hundred bytes each, a small part of the memory.
const MAX_WAITING_LINES: usize = 4096;
/// Lines of a kind that anybody can cause, in each [`RATE_LIMIT_WINDOW`].
const MAX_LINES_PER_WINDOW: u32 = 20;
/// The time over which such lines are counted.
const RATE_LIMIT_WINDOW: Duration = Duration::from_secs(10);
/// Characters of a text from outside that one line may hold.
const MAX_TEXT_CHARS: usize = 200;

/// Starts the log; it is written out when the guard that this returns is dropped. Panics go the same way: written straight
/// to standard error, one could wait for a reader forever.
pub fn start(log: &LogSettings, stage_runs: Option<StageRuns>) -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_WAITING_LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let level: LevelFilter = log.level.parse().unwrap_or(LevelFilter::INFO);
    let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
    // The spans of stages are for the stage_runs alone: lines need not carry them.
    let is_shown =
        filter_fn(move |metadata| *metadata.level() <= level && metadata.target() != stage_runs::SPAN_TARGET);
    let lines = match log.format {
        LogFormat::Text => lines.with_filter(is_shown).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).with_filter(is_shown).boxed(),
    };
    let stage_runs = stage_runs.map(|stage_runs| stage_runs.with_filter(filter_fn(stage_runs::is_stage)));
    tracing_subscriber::registry().with(lines).with(stage_runs).init();
    std::panic::set_hook(Box::new(|panic| tracing::error!("panicked: {}", sanitize(&panic.to_string()))));
    guard
}

/// Lets a kind of line through that anybody can cause, a few times in each span, and counts those it suppresses.
#[derive(Debug, Default)]
pub struct RateLimitedLog(Mutex<WindowCounts>);

#[derive(Debug, Default)]
struct WindowCounts {
    started: Option<Instant>,
    written: u32,
    suppressed: u64,
}

impl RateLimitedLog {
    /// Whether the line is to be written, and if so, how many before it were suppressed.
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

/// A text from outside as it may stand in a line: not too long, and nothing in it that ends a line.
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
