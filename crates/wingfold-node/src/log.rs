//! The log: one line an event, to standard error, through a bounded queue that drops lines when it is full. A log
//! that nobody reads can't hold the director up.

use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Lines that may wait to be written: at a few hundred bytes each, a small part of the memory.
const LINES: usize = 4096;

/// Starts the log; it is written out when what this gives is dropped.
pub fn start() -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    tracing_subscriber::fmt().with_max_level(Level::INFO).with_ansi(false).with_writer(writer).init();
    guard
}
