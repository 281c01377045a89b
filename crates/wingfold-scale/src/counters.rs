//! What simulated parts count of what they send and receive.

use std::sync::atomic::{AtomicU64, Ordering};

/// A count that many tasks add to.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds some.
    pub fn add(&self, some: u64) {
        self.0.fetch_add(some, Ordering::Relaxed);
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Messages and bytes between a director and a peer, as the peer counts them.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Calls, updates or other messages from the director.
    pub messages: Counter,
    /// Bytes from the director.
    pub bytes_in: Counter,
    /// Bytes to the director.
    pub bytes_out: Counter,
}

/// The counts of [`Traffic`] at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct TrafficCount {
    /// Calls, updates or other messages from the director.
    pub messages: u64,
    /// Bytes from the director.
    pub bytes_in: u64,
    /// Bytes to the director.
    pub bytes_out: u64,
}

impl Traffic {
    /// Returns the current counts.
    pub fn count(&self) -> TrafficCount {
        TrafficCount {
            messages: self.messages.get(),
            bytes_in: self.bytes_in.get(),
            bytes_out: self.bytes_out.get(),
        }
    }
}

impl TrafficCount {
    /// Both together.
    pub fn plus(self, other: TrafficCount) -> TrafficCount {
        TrafficCount {
            messages: self.messages + other.messages,
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
        }
    }

    /// What was added after an earlier count.
    pub fn since(&self, earlier: &TrafficCount) -> TrafficCount {
        TrafficCount {
            messages: self.messages - earlier.messages,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }
}
