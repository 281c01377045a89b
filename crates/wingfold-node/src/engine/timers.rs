//! Timers of the decision module, and the detection of a stalled process by timers that fire late.

use super::Engine;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use wingfold_director::interface::{Event, Timestamp};

/// A timer that fires this late shows that the process was stopped or got no processor time.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// A pending timer. Timers fire in the order of their due times, then of their tokens.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Timer {
    due_at: Timestamp,
    token: u64,
}

/// The pending timers.
#[derive(Debug, Default)]
pub struct Timers(BinaryHeap<Reverse<Timer>>);

impl Timers {
    /// Sets a timer; the event of its firing carries `token`.
    pub fn set(&mut self, due_at: Timestamp, token: u64) {
        self.0.push(Reverse(Timer { due_at, token }));
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.0.peek().map(|Reverse(timer)| timer.due_at)
    }

    /// Removes the next timer if it is due, and returns its token.
    fn pop_due(&mut self, now: Timestamp) -> Option<u64> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop().map(|Reverse(timer)| timer.token)
    }

    /// Number of pending timers.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

impl Engine {
    /// Removes the timers that are due and adds an event for each.
    pub(super) fn fire_due_timers(&mut self, now: Timestamp, events: &mut Vec<Event>) {
        if let Some(due_at) = self.timers.next_due() {
            self.record_delay(Duration::from_micros(now.0.saturating_sub(due_at.0)));
        }
        while let Some(token) = self.timers.pop_due(now) {
            events.push(Event::TimerFired(token));
        }
    }

    /// Records the delay of the earliest timer, which is 0 if the timer is not due yet, and logs a delay of
    /// [`STALL_THRESHOLD`] or more as a stall.
    fn record_delay(&self, delay: Duration) {
        self.metrics.timer_late_us_most.raise_to(delay.as_micros() as u64);
        if delay >= STALL_THRESHOLD {
            self.metrics.standstills_total.increment();
            tracing::warn!(late_ms = delay.as_millis() as u64, "process stalled");
        }
    }
}
