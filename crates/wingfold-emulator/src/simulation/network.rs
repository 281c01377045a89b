//! The network between zones: how long a message is under way, and which zones are cut off from others.

use super::Simulation;
use wingfold_director::interface::Micros;

impl Simulation<'_> {
    /// Draws how long a message is under way from one zone to another.
    pub(super) fn latency(&mut self, from: usize, to: usize) -> Micros {
        let usual = match from == to {
            true => self.scenario.same_zone_latency,
            false => self.scenario.cross_zone_latency,
        };
        self.random_time(usual, Micros(usual.0 * 3 / 2))
    }

    /// Whether a partition keeps messages from one zone to another.
    pub(super) fn partitioned(&self, from: usize, to: usize) -> bool {
        let cut = &self.disruptions.partitioned_zones;
        from != to && (cut.contains(&from) || cut.contains(&to))
    }
}
