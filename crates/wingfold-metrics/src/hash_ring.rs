//! Assigns metric names to sinks by consistent hashing, with failover: the names of a failed sink are
//! assigned to the next sinks on the ring, and are assigned to the sink again once it has been healthy for
//! the settle time.

#[cfg(test)]
mod tests;

use wingfold_director::interface::{Micros, Timestamp};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of points of each sink on the ring.
const POINTS_PER_SINK: u32 = 160;

/// A sink's point on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RingPoint {
    hash: u64,
    sink: usize,
}

/// A ring of sinks, which are identified by their index.
#[derive(Clone, Debug, PartialEq)]
pub struct HashRing {
    points: Vec<RingPoint>,
    /// By sink: whether the sink has failed and has not yet been healthy for `settle_time` since then.
    excluded: Vec<bool>,
    settle_time: Micros,
}

impl HashRing {
    /// A ring of sinks with these names. The assignment does not depend on the order of the names.
    pub fn new(names: &[String], settle_time: Micros) -> Self {
        let mut points = Vec::new();
        for (sink, name) in names.iter().enumerate() {
            for seed in 0..POINTS_PER_SINK {
                let hash = xxh3_64_with_seed(name.as_bytes(), u64::from(seed));
                points.push(RingPoint { hash, sink });
            }
        }
        points.sort_unstable();
        HashRing { points, excluded: vec![false; names.len()], settle_time }
    }

    /// Records the health of a sink: whether the sink is down, and since when it has been healthy.
    pub fn update_health(
        &mut self,
        now: Timestamp,
        sink: usize,
        is_down: bool,
        healthy_since: Option<Timestamp>,
    ) {
        if is_down {
            self.excluded[sink] = true;
            return;
        }
        let has_settled =
            healthy_since.is_some_and(|since| now.0.saturating_sub(since.0) >= self.settle_time.0);
        if has_settled {
            self.excluded[sink] = false;
        }
    }

    /// Whether names are assigned to a sink.
    pub fn is_included(&self, sink: usize) -> bool {
        !self.excluded[sink]
    }

    /// The sink to which a metric name is assigned. If all sinks are excluded, the assignment is the same as
    /// if none were.
    pub fn sink_for(&self, name: &str) -> usize {
        let hash = xxh3_64(name.as_bytes());
        let start = self.points.partition_point(|point| point.hash < hash);
        let clockwise = || self.points[start..].iter().chain(&self.points[..start]).map(|point| point.sink);
        let included = clockwise().find(|sink| self.is_included(*sink));
        included.or_else(|| clockwise().next()).unwrap_or(0)
    }
}
