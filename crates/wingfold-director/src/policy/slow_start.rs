//! Slow start: how much of its capacity a host has after its start.
use crate::director::Director;
use crate::state::{Host, WarmUp};

/// Steps in which a host's capacity rises: each of them costs a message to every proxy.
const SLOW_START_STEPS: f64 = 8.0;

impl Director {
    /// Ratio of its capacity that a host has by now at least, if capacity rises linearly or faster.
    pub(crate) fn slow_start_factor(&self, host: &Host) -> f64 {
        let initial_ratio = self.settings.initial_capacity_ratio;
        let capacity_ratio = initial_ratio + (1.0 - initial_ratio) * self.age_in_warm_ups(host);
        (capacity_ratio.min(1.0) * SLOW_START_STEPS).floor().max(1.0) / SLOW_START_STEPS
    }

    /// How far a host has warmed up.
    pub(crate) fn warm_up_of(&self, host: &Host) -> WarmUp {
        WarmUp {
            slow_start_factor: self.slow_start_factor(host),
            is_warming_up: self.age_in_warm_ups(host) < 1.0,
        }
    }
}
