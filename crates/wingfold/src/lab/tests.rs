//! The arguments of `wingfold lab`.

use super::*;

#[test]
fn seeds_are_read_with_both_ends() {
    assert_eq!(seeds("1..20").unwrap(), 1..=20);
    assert_eq!(seeds("7").unwrap(), 7..=7);
    assert!(seeds("9..3").is_err() && seeds("x").is_err() && seeds("").is_err());
}
