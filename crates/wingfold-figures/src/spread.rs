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
mod tests {
    use super::*;

    fn names(count: usize) -> Vec<String> {
        (0..count).map(|at| format!("10.0.0.{at}:2003")).collect()
    }

    fn dealt(ring: &Ring) -> Vec<usize> {
        (0..4000).map(|at| ring.of(&format!("wingfold.n1.service.asked.hall-{at}"))).collect()
    }

    #[test]
    fn a_lost_receiver_moves_only_its_own_names_and_gets_them_back_after_a_while() {
        let settle = Micros(30_000_000);
        let mut ring = Ring::new(&names(4), settle);
        let before = dealt(&ring);
        for at in 0..4 {
            let share = before.iter().filter(|of| **of == at).count();
            assert!((600..1400).contains(&share), "{share} of 4000 names");
        }
        ring.learn(Timestamp(0), 2, true, None);
        let during = dealt(&ring);
        for (was, is) in before.iter().zip(&during) {
            assert!(if *was == 2 { *is != 2 } else { is == was });
        }
        let taken: std::collections::BTreeSet<_> =
            before.iter().zip(&during).filter(|(was, _)| **was == 2).map(|(_, is)| is).collect();
        assert_eq!(taken.len(), 3, "its names are spread over all others");
        ring.learn(Timestamp(1_000_000), 2, false, Some(Timestamp(1_000_000)));
        assert_eq!(dealt(&ring), during, "back for a moment is not yet back");
        ring.learn(Timestamp(20_000_000), 2, true, None);
        ring.learn(Timestamp(40_000_000), 2, false, Some(Timestamp(25_000_000)));
        assert_eq!(dealt(&ring), during, "it failed meanwhile: the time begins anew");
        ring.learn(Timestamp(55_000_000), 2, false, Some(Timestamp(25_000_000)));
        assert_eq!(dealt(&ring), before);
    }

    #[test]
    fn names_stay_where_they_are_when_receivers_are_listed_otherwise_or_one_is_added() {
        let one = Ring::new(&names(4), Micros(0));
        let mut turned = names(4);
        turned.reverse();
        let other = Ring::new(&turned, Micros(0));
        let (a, b) = (dealt(&one), dealt(&other));
        assert!(a.iter().zip(&b).all(|(a, b)| *a == 3 - *b));
        let five = dealt(&Ring::new(&names(5), Micros(0)));
        let moved = a.iter().zip(&five).filter(|(a, b)| a != b).count();
        assert!(moved < 1200 && a.iter().zip(&five).all(|(a, b)| a == b || *b == 4), "{moved}");
    }

    #[test]
    fn where_all_are_lost_names_stay_with_their_own() {
        let mut ring = Ring::new(&names(3), Micros(0));
        let before = dealt(&ring);
        (0..3).for_each(|at| ring.learn(Timestamp(0), at, true, None));
        assert_eq!(dealt(&ring), before);
    }
}
