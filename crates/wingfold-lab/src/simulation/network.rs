//! The network between zones: how long a message is under way, and which zones are cut off from others.

use super::World;
use wingfold_director::interface::Micros;

impl World<'_> {
    pub(super) fn way(&mut self, from: usize, to: usize) -> Micros {
        let usual = if from == to { self.plan.near } else { self.plan.far };
        self.between(usual, Micros(usual.0 * 3 / 2))
    }

    pub(super) fn parted(&self, from: usize, to: usize) -> bool {
        from != to && (self.cut.contains(&from) || self.cut.contains(&to))
    }
}
