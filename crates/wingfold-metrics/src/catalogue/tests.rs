//! The names and the order of the catalogue are consistent.

use super::*;
use std::collections::BTreeSet;

#[test]
fn names_are_unique_and_valid_and_in_the_order_of_the_enum() {
    let names: BTreeSet<&str> = CATALOGUE.iter().map(|descriptor| descriptor.name).collect();
    assert_eq!(names.len(), CATALOGUE.len());
    for (index, descriptor) in CATALOGUE.iter().enumerate() {
        assert_eq!(descriptor.metric as usize, index);
        assert!(
            descriptor.name.bytes().all(|b| b.is_ascii_lowercase() || b == b'.' || b == b'_'),
            "{}",
            descriptor.name
        );
        assert!(descriptor.description.ends_with('.') && !descriptor.unit.is_empty());
        // The name of a metric without labels is not the beginning of another name: in Graphite, a node is
        // either a folder or a metric.
        let below = format!("{}.", descriptor.name);
        assert!(
            names.iter().all(|other| !other.starts_with(&below) || !descriptor.labels.is_empty()),
            "{}",
            descriptor.name
        );
    }
}
