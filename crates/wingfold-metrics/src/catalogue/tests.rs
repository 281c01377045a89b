//! The catalogue is consistent.

use super::*;
use std::collections::BTreeSet;

#[test]
fn names_are_unique_plain_and_in_the_catalogues_order() {
    let names: BTreeSet<&str> = CATALOGUE.iter().map(|descriptor| descriptor.name).collect();
    assert_eq!(names.len(), CATALOGUE.len());
    for (at, descriptor) in CATALOGUE.iter().enumerate() {
        assert_eq!(descriptor.metric as usize, at);
        assert!(
            descriptor.name.bytes().all(|b| b.is_ascii_lowercase() || b == b'.' || b == b'_'),
            "{}",
            descriptor.name
        );
        assert!(descriptor.description.ends_with('.') && !descriptor.unit.is_empty());
        // No name is the beginning of another: a Graphite node is a folder or a metric, not both.
        let below = format!("{}.", descriptor.name);
        assert!(
            names.iter().all(|other| !other.starts_with(&below) || !descriptor.labels.is_empty()),
            "{}",
            descriptor.name
        );
    }
}
