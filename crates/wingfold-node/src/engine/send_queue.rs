//! The engine's own estimate of the lines that wait to be sent. No decision depends on it: the engine only
//! verifies that the decision module stays within the limit of the settings.

use wingfold_director::interface::Timestamp;

/// Estimates the queued lines from the messages sent and the drain rate of the queue in the settings.
#[derive(Debug)]
pub struct SendQueueEstimate {
    drain_rate_lines_per_s: f64,
    /// Lines that each message counts for in addition to the lines that it holds.
    message_overhead_lines: f64,
    max_queued_lines: f64,
    queued_lines: f64,
    /// When `queued_lines` was computed.
    updated_at: Timestamp,
}

impl SendQueueEstimate {
    /// Creates the estimate of an empty queue.
    pub fn new(drain_rate_lines_per_s: f64, message_overhead_lines: f64, max_queued_lines: f64) -> Self {
        SendQueueEstimate {
            drain_rate_lines_per_s,
            message_overhead_lines,
            max_queued_lines,
            queued_lines: 0.0,
            updated_at: Timestamp::default(),
        }
    }

    /// Limit of the settings on the queued lines.
    pub fn max_queued_lines(&self) -> f64 {
        self.max_queued_lines
    }

    /// Adds the messages of one decision and returns the lines that are queued then.
    pub fn enqueue(&mut self, now: Timestamp, messages: usize, lines: usize) -> f64 {
        let drained_lines = self.drain_rate_lines_per_s * now.since(self.updated_at);
        self.queued_lines = (self.queued_lines - drained_lines).max(0.0);
        self.queued_lines += lines as f64 + self.message_overhead_lines * messages as f64;
        self.updated_at = now;
        self.queued_lines
    }
}
