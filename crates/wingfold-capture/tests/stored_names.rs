//! The heads of captures are stored with field names, which must stay as they were first written.
use serde::de::IgnoredAny;
use std::collections::BTreeMap;
use std::path::Path;
use wingfold_capture::block::Block;
use wingfold_capture::{reader, Head};

/// The field names of an encoded head.
fn field_names(encoded: &[u8]) -> Vec<String> {
    let fields: BTreeMap<String, IgnoredAny> = rmp_serde::from_slice(encoded).unwrap();
    fields.into_keys().collect()
}

#[test]
fn heads_are_written_with_the_stored_field_names() {
    let encoded = rmp_serde::to_vec_named(&Head::default()).unwrap();
    let expected = ["build", "classes", "name", "notice_wording", "run", "seed", "segment", "settings"];
    assert_eq!(field_names(&encoded), expected);
}

#[test]
fn heads_of_kept_captures_are_read_with_all_fields() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../captures");
    for folder in std::fs::read_dir(root).unwrap() {
        let bytes = std::fs::read(folder.unwrap().path().join("capture.wfcap")).unwrap();
        let contents = Block::at(&bytes, 0).unwrap().contents().unwrap();
        assert_eq!(
            field_names(&contents),
            ["build", "classes", "name", "run", "seed", "segment", "settings"]
        );
        let head = reader::head(&bytes).unwrap();
        assert!(!head.build.is_empty() && !head.director.is_empty() && !head.settings.zones.is_empty());
        assert_eq!(head.class_names.len(), head.settings.classes.len());
    }
}
