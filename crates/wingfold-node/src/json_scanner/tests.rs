//! The scanner against `serde_json`, which reads the same texts at once.

use super::*;
use serde::de::IgnoredAny;

/// Whether the scanner accepts a text as a complete value.
fn accepts(text: &[u8]) -> bool {
    let mut scanner = JsonScanner::new();
    text.iter().all(|byte| scanner.advance(*byte).is_ok()) && scanner.is_complete()
}

/// Whether `serde_json` accepts a text as valid UTF-8 that holds one value.
fn is_valid(text: &[u8]) -> bool {
    std::str::from_utf8(text).is_ok_and(|text| serde_json::from_str::<IgnoredAny>(text).is_ok())
}

const TEXTS: [&str; 12] = [
    r#"{"type":"LOAD","site":"a","count":212,"fail":3,"mean":41.7e-2,"util":{"inflight":7,"new":[1]}}"#,
    r#"{"a":[],"b":{},"c":[[],{}],"d":null,"e":true,"f":false,"g":""}"#,
    " [ 0 , -0.5 , 1E+9 , 10e-1 , -12 ] ",
    r#"["\"\\\/\b\f\n\r\t\u00e9\uD834\uDd1e","é€𝄞"]"#,
    "[1,]",
    "{\"a\":1,}",
    "[01]",
    "[1.]",
    "[-]",
    "[1e]",
    "{\"a\" 1}",
    "[\"a\nb\"]",
];

#[test]
fn texts_and_their_prefixes_are_accepted_as_serde_json_accepts_them() {
    for text in TEXTS {
        for end in 0..=text.len() {
            let prefix = &text.as_bytes()[..end];
            assert_eq!(accepts(prefix), is_valid(prefix), "{}", String::from_utf8_lossy(prefix));
        }
    }
}

#[test]
fn texts_with_one_changed_byte_are_accepted_as_serde_json_accepts_them() {
    let replacements =
        b"\0\t \"'+-./019:EUelnrtu[\\]{}\x7f\x80\x9f\xa0\xbf\xc0\xc2\xe0\xed\xef\xf0\xf4\xf5\xff";
    for text in TEXTS {
        for index in 0..text.len() {
            for replacement in replacements {
                let mut changed = text.as_bytes().to_vec();
                changed[index] = *replacement;
                assert_eq!(accepts(&changed), is_valid(&changed), "{}", String::from_utf8_lossy(&changed));
            }
        }
    }
}

#[test]
fn depth_is_limited() {
    let nested = |depth: usize| [b"[".repeat(depth), b"]".repeat(depth)].concat();
    assert!(accepts(&nested(MAX_DEPTH)));
    assert!(!accepts(&nested(MAX_DEPTH + 1)));
}

#[test]
fn bytes_are_told_apart_by_what_they_are_part_of() {
    let mut scanner = JsonScanner::new();
    let parts: Vec<Part> = br#"{"a": [1]}"#.iter().map(|byte| scanner.advance(*byte).unwrap()).collect();
    let (object, array) = (Part::Open(Container::Object), Part::Open(Container::Array));
    let expected = [
        object,
        Part::Key,
        Part::Key,
        Part::Key,
        Part::Colon,
        Part::Whitespace,
        array,
        Part::Scalar,
        Part::Close,
        Part::Close,
    ];
    assert_eq!(parts, expected);
}
