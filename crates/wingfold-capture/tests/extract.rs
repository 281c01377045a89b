//! Extracts of captures: which calls they contain, and that they replay like the whole capture.
mod common;

use common::record_incarnation;
use wingfold_capture::replay::{ReplayMode, ReplayReport, Replayer};
use wingfold_capture::{edit, entries};
use wingfold_director::interface::Timestamp;

/// Extracts the calls from a time on out of segments, and replays the extract.
fn replay_extract(segments: &[Vec<u8>], from: Timestamp) -> ReplayReport {
    let entries_of_all = segments.iter().flat_map(|bytes| entries(bytes));
    let extracted = edit::extract(entries_of_all, from, Timestamp(u64::MAX)).unwrap().unwrap();
    let mut replayer = Replayer::new(ReplayMode::Strict);
    for entry in entries(&extracted) {
        replayer.feed(entry).unwrap();
    }
    replayer.report
}

/// The calls of a restarted director are numbered from 1 again: those with numbers that follow on the last call
/// before the restart were appended to the extract, which then replayed with differences.
#[test]
fn an_extract_ends_where_the_director_was_restarted() {
    let restarted_at = Timestamp(60_000_000);
    for (first_calls, second_calls) in [(14, 15), (14, 40), (2, 14), (14, 14), (14, 3)] {
        let segments =
            [record_incarnation(Timestamp(0), first_calls), record_incarnation(restarted_at, second_calls)];
        let report = replay_extract(&segments, Timestamp(0));
        assert_eq!((report.calls, report.differences, report.skipped_calls), (first_calls, 0, 0));
        let report = replay_extract(&segments, restarted_at);
        assert_eq!((report.calls, report.differences, report.skipped_calls), (second_calls, 0, 0));
    }
}
