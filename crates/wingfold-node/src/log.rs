//! The log: one line an event, to standard error, through a bounded queue that drops lines when it is full. A log
//! that nobody reads can't hold the director up.

use crate::causes::{self, Causes};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::prelude::*;
use wingfold_settings::own::{Form, Log};

/// Lines that may wait to be written: at a few hundred bytes each, a small part of the memory.
const LINES: usize = 4096;
/// Lines of a kind that anybody can cause, in such a span.
const LINES_A_SPAN: u32 = 20;
const SPAN: Duration = Duration::from_secs(10);
/// Characters of a text from outside that one line may hold.
const LONGEST: usize = 200;

/// Starts the log; it is written out when what this gives is dropped. Panics go the same way: written straight to
/// standard error, one could wait for a reader for good.
pub fn start(log: &Log, causes: Option<Causes>) -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let level: LevelFilter = log.level.parse().unwrap_or(LevelFilter::INFO);
    let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
    // Spans of stages are for the causes alone: lines need not bear them.
    let shown = filter_fn(move |metadata| *metadata.level() <= level && metadata.target() != causes::TARGET);
    let lines = match log.form {
        Form::Text => lines.with_filter(shown).boxed(),
        Form::Json => lines.json().flatten_event(true).with_filter(shown).boxed(),
    };
    let causes = causes.map(|causes| causes.with_filter(filter_fn(causes::wanted)));
    tracing_subscriber::registry().with(lines).with(causes).init();
    std::panic::set_hook(Box::new(|panic| tracing::error!("panicked: {}", plain(&panic.to_string()))));
    guard
}

/// Lets a kind of line through that anybody can cause, a few times in a span, and counts those it leaves out.
#[derive(Debug, Default)]
pub struct RateLimitedLog(Mutex<Told>);

#[derive(Debug, Default)]
struct Told {
    since: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl RateLimitedLog {
    /// Whether the line is to be written, and if so, how many before it were not.
    pub fn line(&self) -> Option<u64> {
        self.line_at(Instant::now())
    }

    fn line_at(&self, now: Instant) -> Option<u64> {
        let mut told = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if told.since.is_none_or(|since| now.duration_since(since) >= SPAN) {
            (told.since, told.lines) = (Some(now), 0);
        }
        if told.lines >= LINES_A_SPAN {
            told.left_out += 1;
            return None;
        }
        told.lines += 1;
        Some(std::mem::take(&mut told.left_out))
    }
}

/// A text from outside as it may stand in a line: not too long, and nothing in it that ends a line.
pub fn plain(text: &str) -> String {
    let shown = text.chars().take(LONGEST).map(|c| if c.is_control() { ' ' } else { c });
    let mut shown: String = shown.collect();
    if text.chars().nth(LONGEST).is_some() {
        shown.push_str("...");
    }
    shown
}

#[cfg(test)]
mod tests;
