//! Admission and eviction when all slots are in use.

use super::*;
use crate::accept::tests::admission;
use crate::outbox;
use futures_util::FutureExt;

#[test]
fn eviction_starts_only_when_no_slot_is_free() {
    let (admission, _receiver) = admission(4);
    let taken: Vec<_> = (0..4).map(|_| admission.admit().unwrap()).collect();
    assert_eq!(admission.metrics.unidentified_evicted_total.get(), 0);
    let (slot, _unidentified) = admission.admit().unwrap();
    assert_eq!(admission.metrics.unidentified_evicted_total.get(), 1);
    assert_eq!(
        admission.metrics.connections_open.get(),
        5,
        "the evicted connection is open until its task ends"
    );
    drop((taken, slot));
    assert_eq!(admission.metrics.connections_open.get(), 0);
}

#[test]
fn identified_clients_are_not_evicted() {
    let (admission, _receiver) = admission(2);
    let identified: Vec<ConnectionSlot> = (0..2).map(|_| admission.admit().unwrap().0).collect();
    assert_eq!(admission.admit().unwrap_err(), NoFreeSlot);
    assert_eq!(admission.metrics.connections_open.get(), 2);
    drop(identified);
    assert!(admission.admit().is_ok());
}

/// A client that has named a zone, with the sender that closes its connection.
fn register_collector<'a>(
    admission: &'a Arc<Admission>,
    zone: &Arc<str>,
) -> (ConnectionSlot, CollectorSlot<'a>, ConnectionSender) {
    let (slot, unidentified) = admission.admit().unwrap();
    let (sender, _writer) = outbox::channel(unidentified.connection_id(), 1 << 10, Bytes::new(), None);
    let collector = admission.register_collector(zone, sender.clone());
    (slot, collector, sender)
}

fn is_closed(sender: &ConnectionSender) -> bool {
    sender.close_requested().now_or_never().is_some()
}

/// Guards against a fault of a trial: a collector lost its connection to the fourth client that named its zone
/// after it, although descriptors were left.
#[test]
fn collector_is_closed_only_when_no_slot_is_free_and_it_was_silent_for_longest() {
    let (admission, _receiver) = admission(8);
    let [a, b] = ["a", "b"].map(Arc::<str>::from);
    let only_one_of_its_zone = register_collector(&admission, &b);
    let collectors: Vec<_> = (0..6).map(|_| register_collector(&admission, &a)).collect();
    let proxy = admission.admit().unwrap().0;
    assert!(!collectors.iter().any(|(.., sender)| is_closed(sender)), "a slot was free for each");
    collectors[0].1.record_activity();
    for silent in &collectors[1..] {
        assert!(admission.admit().is_ok());
        assert!(is_closed(&silent.2));
    }
    assert_eq!(admission.admit().unwrap_err(), NoFreeSlot);
    assert!(!is_closed(&collectors[0].2) && !is_closed(&only_one_of_its_zone.2));
    drop(proxy);
}

/// Guards against strangers that name a zone, hold all slots, and leave sound clients none to be identified in.
#[test]
fn surplus_collectors_of_a_zone_are_closed_before_unidentified_connections() {
    let (admission, _receiver) = admission(8);
    let zone = Arc::<str>::from("a");
    let collectors: Vec<_> = (0..6).map(|_| register_collector(&admission, &zone)).collect();
    let unidentified = [admission.admit().unwrap(), admission.admit().unwrap()];
    for surplus in &collectors[..2] {
        assert!(admission.admit().is_ok());
        assert!(is_closed(&surplus.2));
    }
    assert_eq!(admission.metrics.unidentified_evicted_total.get(), 0);
    assert!(admission.admit().is_ok());
    assert_eq!(admission.metrics.unidentified_evicted_total.get(), 1);
    assert!(!collectors[2..].iter().any(|(.., sender)| is_closed(sender)));
    drop(unidentified);
}

#[test]
fn connection_ids_rise_in_order_of_admission() {
    let (admission, _receiver) = admission(9);
    let numbers: Vec<u64> = (0..5).map(|_| admission.admit().unwrap().1.connection_id()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}
