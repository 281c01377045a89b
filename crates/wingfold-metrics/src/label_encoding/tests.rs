//! Encoded labels are distinct and can be decoded.

use super::*;
use proptest::prelude::*;

#[test]
fn strange_letters_stay_inside_their_part() {
    assert_eq!(encode("south-gyle"), "south-gyle");
    assert_eq!(encode("a.b c\n1 2"), "a_2eb_20c_0a1_202");
    assert_eq!(encode("a_2eb"), "a_5f2eb");
    assert_eq!(encode(""), "_");
    assert_eq!(decode("a_5f2eb").as_deref(), Some("a_2eb"));
    for wrong in ["", "a.b", "_2", "_zz", "_61", "a_2E", "_ff"] {
        assert_eq!(decode(wrong), None, "{wrong}");
    }
}

proptest! {
    #[test]
    fn every_label_is_read_back_and_none_meets_another(one in ".{0,30}", other in ".{0,30}") {
        let encoded = encode(&one);
        prop_assert!(encoded.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_'));
        prop_assert!(encoded.len() <= MAX_ENCODED_BYTES);
        if encoded.len() < MAX_ENCODED_BYTES {
            prop_assert_eq!(decode(&encoded), Some(one.clone()));
        }
        prop_assert_eq!(one == other, encoded == encode(&other));
    }

    #[test]
    fn long_labels_are_cut_and_stay_apart(label in "[a-z. é]{90,400}", more in "[a-z]{1,3}") {
        let (one, other) = (encode(&label), encode(&format!("{label}{more}")));
        prop_assert!(one.len() <= MAX_ENCODED_BYTES && other.len() <= MAX_ENCODED_BYTES);
        prop_assert_ne!(one, other);
    }
}
