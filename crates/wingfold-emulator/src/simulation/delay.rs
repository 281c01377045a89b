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
    /// The range from `min` to twice `min`.
    pub(super) fn up_to_double(min: Micros) -> DelayRange {
        DelayRange { min, max: Micros(min.0 * 2) }
    }

    /// The range from `min` to one and a half times `min`.
    pub(super) fn up_to_half_more(min: Micros) -> DelayRange {
        DelayRange { min, max: Micros(min.0 * 3 / 2) }
    }
}

impl Simulation<'_> {
    /// Draws a delay from a range. Draws no random number if both ends of the range are equal.
    pub(super) fn random_delay(&mut self, range: DelayRange) -> Micros {
        if range.max > range.min {
            Micros(self.rng.random_range(range.min.0..=range.max.0))
        } else {
            range.min
        }
    }
}
