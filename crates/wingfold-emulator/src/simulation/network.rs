//! The network between zones: latency and partitions.

use super::delay::DelayRange;
use super::Simulation;
use wingfold_director::interface::Micros;

impl Simulation<'_> {
    /// Draws the one-way latency of a message from one zone to another.
    pub(super) fn latency(&mut self, from_zone: usize, to_zone: usize) -> Micros {
        let min = if from_zone == to_zone {
            self.scenario.same_zone_latency
        } else {
            self.scenario.cross_zone_latency
        };
        self.random_delay(DelayRange::up_to_half_more(min))
    }

    /// Whether a partition blocks messages between two zones.
    pub(super) fn is_partitioned(&self, from_zone: usize, to_zone: usize) -> bool {
        let partitioned = &self.disruptions.partitioned_zones;
        from_zone != to_zone && (partitioned.contains(&from_zone) || partitioned.contains(&to_zone))
    }
}
