//! Parsing of times.

use super::*;

#[test]
fn each_time_format_is_parsed_and_invalid_times_are_rejected() {
    // 2026-11-30T23:50:00Z.
    let start = Timestamp(1_796_082_600_000_000);
    let read = |text: &str| parse_time(text, start).map(time);
    assert_eq!(time(start), "2026-11-30T23:50:00.000Z");
    assert_eq!(read("23:55").unwrap(), "2026-11-30T23:55:00.000Z");
    assert_eq!(read("03:12:05.5").unwrap(), "2026-12-01T03:12:05.500Z", "after midnight");
    assert_eq!(read("+90s").unwrap(), "2026-11-30T23:51:30.000Z");
    assert_eq!(read("2026-12-01T03:12:00Z").unwrap(), "2026-12-01T03:12:00.000Z");
    assert_eq!(parse_time("12.5", Timestamp(0)).unwrap(), Timestamp(12_500_000));
    for wrong in ["", "soon", "25:00", "03:61", "-4", "+soon", "1:2:3:4"] {
        assert!(read(wrong).is_err(), "{wrong}");
    }
}
