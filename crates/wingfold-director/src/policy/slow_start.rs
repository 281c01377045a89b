//! Slow start: the ratio of its capacity that a host has at a time after its start.
use crate::director::Director;
use crate::state::{Host, WarmUp};

/// Number of steps in which a host's capacity rises: each step costs a message to every proxy.
const SLOW_START_STEPS: f64 = 8.0;

impl Director {
    /// Lower bound of the ratio of its capacity that a host has by now, if capacity rises linearly or faster.
    pub(crate) fn slow_start_factor(&self, host: &Host) -> f64 {
        let initial_ratio = self.settings.initial_capacity_ratio;
        let capacity_ratio = initial_ratio + (1.0 - initial_ratio) * self.age_in_warm_ups(host);
        (capacity_ratio.min(1.0) * SLOW_START_STEPS).floor().max(1.0) / SLOW_START_STEPS
    }

    /// The warm-up state of a host at present.
    pub(crate) fn warm_up_of(&self, host: &Host) -> WarmUp {
        WarmUp {
            slow_start_factor: self.slow_start_factor(host),
            is_warming_up: self.age_in_warm_ups(host) < 1.0,
        }
    }
}
