//! Names stay with their sinks as far as possible.

use super::*;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("10.0.0.{at}:2003")).collect()
}

fn assignment(ring: &HashRing) -> Vec<usize> {
    (0..4000).map(|at| ring.sink_for(&format!("wingfold.n1.service.asked.hall-{at}"))).collect()
}

#[test]
fn a_lost_receiver_moves_only_its_own_names_and_gets_them_back_after_a_while() {
    let settle = Micros(30_000_000);
    let mut ring = HashRing::new(&names(4), settle);
    let before = assignment(&ring);
    for at in 0..4 {
        let share = before.iter().filter(|of| **of == at).count();
        assert!((600..1400).contains(&share), "{share} of 4000 names");
    }
    ring.update_health(Timestamp(0), 2, true, None);
    let during = assignment(&ring);
    for (was, is) in before.iter().zip(&during) {
        assert!(if *was == 2 { *is != 2 } else { is == was });
    }
    let taken: std::collections::BTreeSet<_> =
        before.iter().zip(&during).filter(|(was, _)| **was == 2).map(|(_, is)| is).collect();
    assert_eq!(taken.len(), 3, "its names are spread over all others");
    ring.update_health(Timestamp(1_000_000), 2, false, Some(Timestamp(1_000_000)));
    assert_eq!(assignment(&ring), during, "back for a moment is not yet back");
    ring.update_health(Timestamp(20_000_000), 2, true, None);
    ring.update_health(Timestamp(40_000_000), 2, false, Some(Timestamp(25_000_000)));
    assert_eq!(assignment(&ring), during, "it failed meanwhile: the time begins anew");
    ring.update_health(Timestamp(55_000_000), 2, false, Some(Timestamp(25_000_000)));
    assert_eq!(assignment(&ring), before);
}

#[test]
fn names_stay_where_they_are_when_receivers_are_listed_otherwise_or_one_is_added() {
    let one = HashRing::new(&names(4), Micros(0));
    let mut turned = names(4);
    turned.reverse();
    let other = HashRing::new(&turned, Micros(0));
    let (a, b) = (assignment(&one), assignment(&other));
    assert!(a.iter().zip(&b).all(|(a, b)| *a == 3 - *b));
    let five = assignment(&HashRing::new(&names(5), Micros(0)));
    let moved = a.iter().zip(&five).filter(|(a, b)| a != b).count();
    assert!(moved < 1200 && a.iter().zip(&five).all(|(a, b)| a == b || *b == 4), "{moved}");
}

#[test]
fn where_all_are_lost_names_stay_with_their_own() {
    let mut ring = HashRing::new(&names(3), Micros(0));
    let before = assignment(&ring);
    (0..3).for_each(|at| ring.update_health(Timestamp(0), at, true, None));
    assert_eq!(assignment(&ring), before);
}
