//! Reads values from the blocks of a scenario, with defaults for missing keys.

use std::ops::RangeInclusive;
use std::time::Duration;
use wingfold_director::interface::Micros;
use wingfold_settings::hcl::Block;

/// The longest duration that a key of a scenario may have.
pub(super) const MAX_DURATION: Duration = Duration::from_secs(7200);

const MICROS_PER_MS: u64 = 1000;

/// Converts a duration to microseconds.
pub(super) fn micros(duration: Duration) -> Micros {
    Micros(duration.as_micros() as u64)
}

/// The duration of a key, or the default if the key is missing or invalid.
pub(super) fn duration_or(block: &Block, key: &'static str, default_ms: u64) -> Micros {
    let duration = block.duration(key, Duration::ZERO..=MAX_DURATION);
    micros(duration.unwrap_or(Duration::from_millis(default_ms)))
}

/// A block that may be missing: all its keys have defaults.
pub(super) struct OptionalBlock(pub(super) Option<Block>);

impl OptionalBlock {
    /// The number of a key, or the default if the key is missing or invalid.
    pub(super) fn number(&self, key: &'static str, range: RangeInclusive<f64>, default: f64) -> f64 {
        self.0.as_ref().and_then(|block| block.number(key, range)).unwrap_or(default)
    }

    /// The integer of a key, or the default if the key is missing or invalid.
    pub(super) fn integer(&self, key: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        self.0.as_ref().and_then(|block| block.integer(key, range)).unwrap_or(default)
    }

    /// The duration of a key, or the default if the key is missing or invalid.
    pub(super) fn duration(&self, key: &'static str, default_ms: u64) -> Micros {
        match &self.0 {
            Some(block) => duration_or(block, key, default_ms),
            None => Micros(default_ms * MICROS_PER_MS),
        }
    }
}
