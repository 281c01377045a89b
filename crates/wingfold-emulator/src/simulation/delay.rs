//! Random delays.

use super::Simulation;
use rand::Rng;
use wingfold_director::interface::Micros;

/// A range from which delays are drawn uniformly; both ends are included.
#[derive(Clone, Copy, Debug)]
pub(super) struct DelayRange {
    pub(super) min: Micros,
    pub(super) max: Micros,
}

impl DelayRange {
    /// From `min` to twice that.
    pub(super) fn up_to_double(min: Micros) -> DelayRange {
        DelayRange { min, max: Micros(min.0 * 2) }
    }

    /// From `min` to one and a half times that.
    pub(super) fn up_to_half_more(min: Micros) -> DelayRange {
        DelayRange { min, max: Micros(min.0 * 3 / 2) }
    }
}

impl Simulation<'_> {
    /// Draws a delay. Draws no random number where the range holds a single delay.
    pub(super) fn random_delay(&mut self, range: DelayRange) -> Micros {
        if range.max > range.min {
            Micros(self.rng.random_range(range.min.0..=range.max.0))
        } else {
            range.min
        }
    }
}
