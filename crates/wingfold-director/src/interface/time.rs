//! Points in time and durations, both in microseconds.
use serde::{Deserialize, Serialize};
use std::ops::Add;

const MICROS_PER_S: f64 = 1e6;

/// A point in time on the caller's clock, in microseconds since the clock's zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The latest time that is accepted in events and checkpoints. Adding a duration of up to
    /// [`Micros::LONGEST`] to it does not overflow.
    pub const LATEST: Timestamp = Timestamp(u64::MAX / 4);

    /// The time `secs` seconds after the clock's zero; the zero itself for a negative value.
    pub fn from_secs(secs: f64) -> Self {
        Timestamp((secs * MICROS_PER_S) as u64)
    }

    /// Seconds since the clock's zero.
    pub fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_S
    }

    /// Seconds from `earlier` to this time; 0 if `earlier` is the later of the two.
    pub fn since(self, earlier: Timestamp) -> f64 {
        Micros(self.0.saturating_sub(earlier.0)).secs()
    }
}

impl Add<Micros> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Micros) -> Timestamp {
        Timestamp(self.0 + duration.0)
    }
}

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// The longest duration that is accepted in settings and events. Adding it to a time of up to
    /// [`Timestamp::LATEST`] does not overflow.
    pub const LONGEST: Micros = Micros(Timestamp::LATEST.0);

    /// A duration of `secs` seconds; 0 for a negative value.
    pub fn from_secs(secs: f64) -> Self {
        Micros((secs * MICROS_PER_S) as u64)
    }

    /// The duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_S
    }
}
