//! The log: one line an event, to standard error, through a bounded queue that drops lines when it is full. A log
//! that nobody reads can't hold the director up.

use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Lines that may wait to be written: at a few hundred bytes each, a small part of the memory.
const LINES: usize = 4096;
/// Characters of a text from outside that one line may hold.
const LONGEST: usize = 200;

/// Starts the log; it is written out when what this gives is dropped. Panics go the same way: written straight to
/// standard error, one could wait for a reader for good.
pub fn start() -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    tracing_subscriber::fmt().with_max_level(Level::INFO).with_ansi(false).with_writer(writer).init();
    std::panic::set_hook(Box::new(|panic| tracing::error!("panicked: {}", plain(&panic.to_string()))));
    guard
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
mod tests {
    use super::*;

    #[test]
    fn a_text_from_outside_is_short_and_of_one_line() {
        assert_eq!(plain("a\nb\u{1b}c"), "a b c");
        assert_eq!(plain(&"x".repeat(200)), "x".repeat(200));
        assert_eq!(plain(&"ü".repeat(1 << 20)), format!("{}...", "ü".repeat(200)));
    }
}
