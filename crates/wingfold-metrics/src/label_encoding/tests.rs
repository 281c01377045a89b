//! Distinct labels have distinct encodings, which can be decoded unless they were truncated.

use super::*;
use proptest::prelude::*;

#[test]
fn special_characters_are_escaped_and_invalid_text_is_rejected() {
    assert_eq!(encode("south-gyle"), "south-gyle");
    assert_eq!(encode("a.b c\n1 2"), "a_2eb_20c_0a1_202");
    assert_eq!(encode("a_2eb"), "a_5f2eb");
    assert_eq!(encode(""), "_");
    assert_eq!(decode("a_5f2eb").as_deref(), Some("a_2eb"));
    for invalid in ["", "a.b", "_2", "_zz", "_61", "a_2E", "_ff"] {
        assert_eq!(decode(invalid), None, "{invalid}");
    }
}

proptest! {
    #[test]
    fn labels_are_decoded_unchanged_and_have_distinct_encodings(one in ".{0,30}", other in ".{0,30}") {
        let encoded = encode(&one);
        prop_assert!(encoded.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_'));
        prop_assert!(encoded.len() <= MAX_ENCODED_BYTES);
        if encoded.len() < MAX_ENCODED_BYTES {
            prop_assert_eq!(decode(&encoded), Some(one.clone()));
        }
        prop_assert_eq!(one == other, encoded == encode(&other));
    }

    #[test]
    fn long_labels_are_truncated_and_stay_distinct(label in "[a-z. é]{90,400}", suffix in "[a-z]{1,3}") {
        let (one, other) = (encode(&label), encode(&format!("{label}{suffix}")));
        prop_assert!(one.len() <= MAX_ENCODED_BYTES && other.len() <= MAX_ENCODED_BYTES);
        prop_assert_ne!(one, other);
    }
}
