//! Times from a change until somebody has it, and how they are spread.

use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Times of one kind, taken down by many tasks.
#[derive(Clone, Debug, Default)]
pub struct Delays {
    microseconds: Arc<Mutex<Vec<u64>>>,
}

/// How times of one kind are spread, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// How many there are.
    pub count: usize,
    /// Half of them are shorter.
    pub median_ms: f64,
    /// 99 in 100 are shorter.
    pub p99_ms: f64,
    /// The longest.
    pub worst_ms: f64,
}

impl Delays {
    /// Takes one down.
    pub fn record(&self, delay: Duration) {
        let mut all = self.microseconds.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(delay.as_micros() as u64);
    }

    /// How they are spread.
    pub fn spread(&self) -> Spread {
        let mut all = self.microseconds.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_unstable();
        let at = |share: f64| {
            let place = (share * all.len() as f64).ceil() as usize;
            all.get(place.saturating_sub(1)).map_or(0.0, |microseconds| *microseconds as f64 / 1e3)
        };
        Spread { count: all.len(), median_ms: at(0.5), p99_ms: at(0.99), worst_ms: at(1.0) }
    }
}
