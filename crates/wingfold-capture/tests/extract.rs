//! Extracts of captures and accepted captures: which calls they contain, and that they replay like the whole
//! capture.
mod common;

use common::{record_incarnation, CALL_INTERVAL};
use wingfold_capture::replay::{ReplayMode, ReplayReport, Replayer};
use wingfold_capture::{edit, entries, Entry};
use wingfold_director::interface::{Micros, Timestamp};

/// When the second incarnation of the director starts.
const RESTARTED_AT: Timestamp = Timestamp(60_000_000);

/// The entries of segments, one segment after the other.
fn entries_of_all(segments: &[Vec<u8>]) -> impl Iterator<Item = Entry> + '_ {
    segments.iter().flat_map(|bytes| entries(bytes))
}

/// Extracts a span of time out of segments.
fn extract(segments: &[Vec<u8>], from: Timestamp, until: Timestamp) -> Vec<u8> {
    edit::extract(entries_of_all(segments), from, until).unwrap().unwrap()
}

/// The time of a call of an incarnation.
fn call_time(incarnation: Timestamp, call: u64) -> Timestamp {
    incarnation + Micros(call * CALL_INTERVAL.0)
}

fn replay(segment: &[u8]) -> ReplayReport {
    let mut replayer = Replayer::new(ReplayMode::Strict);
    for entry in entries(segment) {
        replayer.feed(entry).unwrap();
    }
    replayer.report
}

/// Checks that a segment has this number of calls, that each can be replayed, and that none differs.
fn assert_replays_equal(segment: &[u8], calls: u64) {
    let report = replay(segment);
    assert_eq!((report.calls, report.differences, report.skipped_calls), (calls, 0, 0));
}

/// The calls of a restarted director are numbered from 1 again: those with numbers that follow on the last call
/// before the restart were appended to the extract, which then replayed with differences.
#[test]
fn an_extract_ends_where_the_director_was_restarted() {
    for (first_calls, second_calls) in [(14, 15), (14, 40), (2, 14), (14, 14), (14, 3)] {
        let segments =
            [record_incarnation(Timestamp(0), first_calls), record_incarnation(RESTARTED_AT, second_calls)];
        assert_replays_equal(&extract(&segments, Timestamp(0), Timestamp(u64::MAX)), first_calls);
        assert_replays_equal(&extract(&segments, RESTARTED_AT, Timestamp(u64::MAX)), second_calls);
    }
}

/// The first calls of a restarted director may be missing, so that its first recorded call follows by number
/// on the last call before the restart.
#[test]
fn a_restart_ends_a_segment_although_call_numbers_continue() {
    let second = [record_incarnation(RESTARTED_AT, 40)];
    let from_call_15 = extract(&second, call_time(RESTARTED_AT, 15), Timestamp(u64::MAX));
    let segments = [record_incarnation(Timestamp(0), 14), from_call_15];
    assert_replays_equal(&extract(&segments, Timestamp(0), Timestamp(u64::MAX)), 14);
    assert_replays_equal(&edit::accept(entries_of_all(&segments)).unwrap().unwrap(), 14);
}

/// Calls after missing ones cannot be replayed from the checkpoint with which the segment begins.
#[test]
fn missing_calls_end_a_segment() {
    let whole = [record_incarnation(Timestamp(0), 20)];
    let until_call_5 = extract(&whole, Timestamp(0), call_time(Timestamp(0), 5));
    let from_call_9 = extract(&whole, call_time(Timestamp(0), 9), Timestamp(u64::MAX));
    let segments = [until_call_5, from_call_9];
    assert_replays_equal(&extract(&segments, Timestamp(0), Timestamp(u64::MAX)), 5);
    assert_replays_equal(&edit::accept(entries_of_all(&segments)).unwrap().unwrap(), 5);
}
