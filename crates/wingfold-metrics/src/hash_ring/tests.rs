//! The assignment of names changes as little as possible when sinks fail, recover or are added.

use super::*;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("10.0.0.{index}:2003")).collect()
}

fn assignment(ring: &HashRing) -> Vec<usize> {
    (0..4000).map(|index| ring.sink_for(&format!("wingfold.n1.service.asked.zone-{index}"))).collect()
}

#[test]
fn names_of_failed_sink_move_and_return_after_settle_time() {
    let settle_time = Micros(30_000_000);
    let mut ring = HashRing::new(&names(4), settle_time);
    let before = assignment(&ring);
    for sink in 0..4 {
        let share = before.iter().filter(|assigned| **assigned == sink).count();
        assert!((600..1400).contains(&share), "{share} of 4000 names");
    }
    ring.update_health(Timestamp(0), 2, true, None);
    let during = assignment(&ring);
    for (old, new) in before.iter().zip(&during) {
        assert!(if *old == 2 { *new != 2 } else { new == old });
    }
    let new_sinks: std::collections::BTreeSet<_> =
        before.iter().zip(&during).filter(|(old, _)| **old == 2).map(|(_, new)| new).collect();
    assert_eq!(new_sinks.len(), 3, "the names are spread over all other sinks");
    ring.update_health(Timestamp(1_000_000), 2, false, Some(Timestamp(1_000_000)));
    assert_eq!(assignment(&ring), during, "the settle time has not passed");
    ring.update_health(Timestamp(20_000_000), 2, true, None);
    ring.update_health(Timestamp(40_000_000), 2, false, Some(Timestamp(25_000_000)));
    assert_eq!(assignment(&ring), during, "another failure restarts the settle time");
    ring.update_health(Timestamp(55_000_000), 2, false, Some(Timestamp(25_000_000)));
    assert_eq!(assignment(&ring), before);
}

#[test]
fn reordering_keeps_assignment_and_adding_a_sink_moves_few() {
    let ring = HashRing::new(&names(4), Micros(0));
    let mut reversed = names(4);
    reversed.reverse();
    let reversed_ring = HashRing::new(&reversed, Micros(0));
    let (a, b) = (assignment(&ring), assignment(&reversed_ring));
    assert!(a.iter().zip(&b).all(|(a, b)| *a == 3 - *b));
    let with_fifth = assignment(&HashRing::new(&names(5), Micros(0)));
    let moved = a.iter().zip(&with_fifth).filter(|(a, b)| a != b).count();
    assert!(moved < 1200 && a.iter().zip(&with_fifth).all(|(a, b)| a == b || *b == 4), "{moved}");
}

#[test]
fn names_keep_their_sinks_when_all_sinks_fail() {
    let mut ring = HashRing::new(&names(3), Micros(0));
    let before = assignment(&ring);
    (0..3).for_each(|sink| ring.update_health(Timestamp(0), sink, true, None));
    assert_eq!(assignment(&ring), before);
}
