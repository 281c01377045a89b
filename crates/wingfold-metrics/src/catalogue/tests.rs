use super::*;
use std::collections::BTreeSet;

#[test]
fn names_are_unique_plain_and_in_the_catalogues_order() {
    let names: BTreeSet<&str> = CATALOGUE.iter().map(|(_, entry)| entry.name).collect();
    assert_eq!(names.len(), CATALOGUE.len());
    for (at, (figure, entry)) in CATALOGUE.iter().enumerate() {
        assert_eq!(*figure as usize, at);
        assert!(
            entry.name.bytes().all(|b| b.is_ascii_lowercase() || b == b'.' || b == b'_'),
            "{}",
            entry.name
        );
        assert!(entry.about.ends_with('.') && !entry.unit.is_empty());
        // No name is the beginning of another: a Graphite node is a folder or a figure, not both.
        let below = format!("{}.", entry.name);
        assert!(
            names.iter().all(|other| !other.starts_with(&below) || !entry.labels.is_empty()),
            "{}",
            entry.name
        );
    }
}
