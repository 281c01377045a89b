//! Admission and eviction when all slots are in use.

use super::*;
use crate::accept::tests::admission;

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

#[test]
fn connection_ids_rise_in_order_of_admission() {
    let (admission, _receiver) = admission(9);
    let numbers: Vec<u64> = (0..5).map(|_| admission.admit().unwrap().1.connection_id()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}
