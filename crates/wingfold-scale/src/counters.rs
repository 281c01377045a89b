//! Counters of the messages and bytes that simulated components and discovery exchange with directors.

use std::sync::atomic::{AtomicU64, Ordering};

/// A counter that many tasks can increase.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds a number.
    pub fn add(&self, increase: u64) {
        self.0.fetch_add(increase, Ordering::Relaxed);
    }

    /// Returns the count.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Messages and bytes between directors and a peer, counted by the peer: discovery, a host, a collector or a
/// proxy.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Requests to discovery or health checks of a host, updates for a proxy, or load reports from a
    /// collector.
    pub messages: Counter,
    /// Bytes from the director.
    pub bytes_in: Counter,
    /// Bytes to the director.
    pub bytes_out: Counter,
}

/// The counts of [`Traffic`] at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct TrafficCount {
    /// Requests to discovery or health checks of a host, updates for a proxy, or load reports from a
    /// collector.
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
    /// Returns the sums of two sets of counts.
    pub fn plus(self, other: TrafficCount) -> TrafficCount {
        TrafficCount {
            messages: self.messages + other.messages,
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
        }
    }

    /// Returns how much the counts have grown since an earlier reading.
    pub fn since(&self, earlier: &TrafficCount) -> TrafficCount {
        TrafficCount {
            messages: self.messages - earlier.messages,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }
}
