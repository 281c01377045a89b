//! Delays from an event until a recipient has applied it, and their distribution.

use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Delays of one kind. Clones record into the same collection, so that many tasks can share it.
#[derive(Clone, Debug, Default)]
pub struct Delays {
    microseconds: Arc<Mutex<Vec<u64>>>,
}

/// The distribution of delays of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DelaySummary {
    /// The number of recorded delays.
    pub count: usize,
    /// The median.
    pub median_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub worst_ms: f64,
}

impl Delays {
    /// Records a delay.
    pub fn record(&self, delay: Duration) {
        let mut all = self.microseconds.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(delay.as_micros() as u64);
    }

    /// Summarizes the delays recorded so far; all values are 0 if there are none.
    pub fn summary(&self) -> DelaySummary {
        let mut all = self.microseconds.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_unstable();
        let quantile = |ratio: f64| {
            let rank = (ratio * all.len() as f64).ceil() as usize;
            all.get(rank.saturating_sub(1)).map_or(0.0, |microseconds| *microseconds as f64 / 1e3)
        };
        DelaySummary {
            count: all.len(),
            median_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            worst_ms: quantile(1.0),
        }
    }
}
