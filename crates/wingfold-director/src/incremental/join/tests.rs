use super::{join_by_host, position_cursor, HostCursor};
use crate::interface::HostId;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A map from hosts to their numbers. Each call creates new strings: hosts with the same number have equal
/// names, but do not share a string in memory.
fn hosts(numbers: &BTreeSet<u8>) -> BTreeMap<HostId, u8> {
    numbers.iter().map(|number| (HostId(Arc::from(format!("h{number:03}"))), *number)).collect()
}

proptest! {
    #[test]
    fn a_host_cursor_returns_sought_entries_and_skips_the_others_once(
        held in prop::collection::btree_set(0u8..40, 0..30),
        sought in prop::collection::btree_set(0u8..40, 0..30),
    ) {
        let held_hosts = hosts(&held);
        let mut cursor = HostCursor::new(&held_hosts);
        let mut skipped = Vec::new();
        for (id, number) in &hosts(&sought) {
            let found = cursor.seek(id, |_, value| skipped.push(*value));
            prop_assert_eq!(found.copied(), held.get(number).copied());
        }
        skipped.extend(cursor.rest().map(|(_, value)| *value));
        let not_sought: Vec<u8> = held.difference(&sought).copied().collect();
        prop_assert_eq!(skipped, not_sought);
    }

    #[test]
    fn a_join_pairs_each_entry_with_the_other_maps_value_of_its_host(
        one in prop::collection::btree_set(0u8..40, 0..30),
        other in prop::collection::btree_set(0u8..40, 0..30),
    ) {
        let (one_hosts, other_hosts) = (hosts(&one), hosts(&other));
        let joined: Vec<(u8, Option<u8>)> = join_by_host(&one_hosts, &other_hosts)
            .map(|(_, value, other_value)| (*value, other_value.copied()))
            .collect();
        let expected: Vec<(u8, Option<u8>)> =
            one.iter().map(|number| (*number, other.get(number).copied())).collect();
        prop_assert_eq!(joined, expected);
    }

    #[test]
    fn a_position_cursor_returns_the_position_of_a_host(
        held in prop::collection::btree_set(0u8..40, 0..30),
        sought in prop::collection::btree_set(0u8..40, 0..30),
    ) {
        let ids: Vec<HostId> = hosts(&held).into_keys().collect();
        let mut positions = position_cursor(&ids);
        for id in hosts(&sought).keys() {
            prop_assert_eq!(positions.find(id), ids.iter().position(|known| known == id));
        }
    }
}
