//! Which receiver gets which name, where names are dealt among several: consistent hashing with failover. A receiver that
//! is lost moves only its own names, each to the next one on the ring, and gets them back only after it has been well for a
//! while.

use wingfold_director::interface::{Micros, Timestamp};

/// Points of each receiver on the ring: shares differ by some percent then.
const POINTS: u32 = 160;

/// The ring.
#[derive(Clone, Debug, PartialEq)]
pub struct Ring {
    points: Vec<(u64, usize)>,
    /// Since when each has been taken out; a receiver comes back after it was well for `settle`.
    out: Vec<bool>,
    settle: Micros,
}

impl Ring {
    /// Of receivers of these names: the same names give the same ring, in whatever order they stand.
    pub fn new(names: &[String], settle: Micros) -> Self {
        let mut points = Vec::new();
        for (at, name) in names.iter().enumerate() {
            for point in 0..POINTS {
                points.push((xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), u64::from(point)), at));
            }
        }
        points.sort_unstable();
        Ring { points, out: vec![false; names.len()], settle }
    }

    /// Learns how a receiver is: whether it is down, and since when it has been well.
    pub fn learn(&mut self, now: Timestamp, receiver: usize, down: bool, well: Option<Timestamp>) {
        let out = &mut self.out[receiver];
        match (down, well) {
            (true, _) => *out = true,
            (false, Some(since)) if now.0.saturating_sub(since.0) >= self.settle.0 => *out = false,
            _ => {}
        }
    }

    /// Whether a receiver gets its names.
    pub fn is_in(&self, receiver: usize) -> bool {
        !self.out[receiver]
    }

    /// The receiver of a name; where all are lost, the one it would have: what waits there may yet go.
    pub fn of(&self, name: &str) -> usize {
        let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let from = self.points.partition_point(|(point, _)| *point < hash);
        let around = || self.points[from..].iter().chain(&self.points[..from]).map(|(_, at)| *at);
        around().find(|at| !self.out[*at]).or_else(|| around().next()).unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
