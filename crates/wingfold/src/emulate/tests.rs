//! Parsing of the arguments of `wingfold emulate`.

use super::*;

#[test]
fn seed_range_includes_both_ends_and_invalid_text_is_rejected() {
    assert_eq!(parse_seeds("1..20").unwrap(), 1..=20);
    assert_eq!(parse_seeds("7").unwrap(), 7..=7);
    assert!(parse_seeds("9..3").is_err() && parse_seeds("x").is_err() && parse_seeds("").is_err());
}
