//! Replays compare the texts of notices byte by byte, so they must know the wording of a capture. Captures of
//! builds up to 0.1.0 contain notices in the original wording, and their heads do not name the wording; new
//! captures contain notices as the director renders them.
mod common;

use common::record_incarnation;
use serde::Serialize;
use std::path::Path;
use wingfold_capture::block::{self, Block, BlockKind};
use wingfold_capture::model::encode_actions;
use wingfold_capture::replay::{DifferenceKind, ReplayMode, Replayer};
use wingfold_capture::{edit, entries, reader, Call, Entry, Head, NoticeWording};
use wingfold_director::interface::*;

/// The bytes of all captures in `captures/`, which earlier builds recorded.
fn kept_captures() -> Vec<Vec<u8>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../captures");
    let folders = std::fs::read_dir(root).unwrap().map(|entry| entry.unwrap().path());
    folders.map(|folder| std::fs::read(folder.join("capture.wfcap")).unwrap()).collect()
}

/// A capture of 20 calls that this build records; call 12 is the first with a notice.
fn record_capture() -> Vec<u8> {
    record_incarnation(Timestamp(0), 20)
}

fn has_notice(call: &Call) -> bool {
    call.actions().unwrap().iter().any(|action| matches!(action, Action::Notice(_)))
}

/// The number of the first call with a notice in a capture.
fn first_call_with_notice(bytes: &[u8]) -> Option<u64> {
    entries(bytes).find_map(|entry| match entry {
        Entry::Call(call) if has_notice(&call) => Some(call.number),
        _ => None,
    })
}

/// Replays a capture, with `change` applied to each entry first.
fn replay_changed(bytes: &[u8], change: impl Fn(&mut Entry)) -> Replayer {
    let mut replayer = Replayer::new(ReplayMode::Strict);
    for mut entry in entries(bytes) {
        change(&mut entry);
        replayer.feed(entry).unwrap();
    }
    assert!(replayer.report.calls > 0 && replayer.report.damage.is_empty());
    replayer
}

/// Appends a character to the first notice of the call with this number.
fn change_notice(entry: &mut Entry, number: u64) {
    let Entry::Call(call) = entry else { return };
    if call.number != number {
        return;
    }
    let mut actions = call.actions().unwrap();
    let notice = actions.iter_mut().find(|action| matches!(action, Action::Notice(_))).unwrap();
    let Action::Notice(text) = notice else { unreachable!("the search matched a notice") };
    *text = Notice::Recorded(format!("{text}."));
    call.actions = encode_actions(&actions);
}

/// The call of the first difference of a replay, which must be a difference of actions.
fn call_with_different_actions(replayer: &Replayer) -> Option<u64> {
    let first = replayer.first_difference.as_ref()?;
    assert!(matches!(first.kind, DifferenceKind::Actions { .. }), "{first:?}");
    Some(first.call)
}

#[test]
fn heads_without_notice_wording_are_read_as_original() {
    /// The head that builds up to 0.1.0 wrote.
    #[derive(Serialize)]
    struct EarlierHead {
        build: String,
        name: String,
        run: Timestamp,
        segment: u64,
        seed: u64,
        settings: Settings,
        classes: Vec<String>,
    }
    let Head {
        build, director: name, incarnation: run, segment, seed, settings, class_names: classes, ..
    } = Head::default();
    let earlier = EarlierHead { build, name, run, segment, seed, settings, classes };
    let encoded = block::encode(BlockKind::Head, 0, &rmp_serde::to_vec_named(&earlier).unwrap());
    assert_eq!(reader::head(&encoded).unwrap().notice_wording, NoticeWording::Original);
    let present = block::encode(BlockKind::Head, 0, &rmp_serde::to_vec_named(&Head::default()).unwrap());
    assert_eq!(reader::head(&present).unwrap().notice_wording, NoticeWording::KeyValue);
}

#[test]
fn kept_captures_are_compared_in_the_original_wording() {
    let field = b"notice_wording";
    let mut with_notices = 0;
    for bytes in kept_captures() {
        let contents = Block::at(&bytes, 0).unwrap().contents().unwrap();
        assert!(
            !contents.windows(field.len()).any(|window| window == field),
            "the head has the field notice_wording"
        );
        assert_eq!(reader::head(&bytes).unwrap().notice_wording, NoticeWording::Original);
        let Some(number) = first_call_with_notice(&bytes) else { continue };
        with_notices += 1;
        assert_eq!(call_with_different_actions(&replay_changed(&bytes, |_| ())), None);
        let replayer = replay_changed(&bytes, |entry| {
            if let Entry::Head(head) = entry {
                head.notice_wording = NoticeWording::KeyValue;
            }
        });
        assert_eq!(call_with_different_actions(&replayer), Some(number));
    }
    assert!(with_notices >= 5, "only {with_notices} captures have notices");
}

#[test]
fn a_changed_notice_is_a_difference_in_either_wording() {
    let mut captures = kept_captures();
    captures.push(record_capture());
    for bytes in captures {
        let Some(number) = first_call_with_notice(&bytes) else { continue };
        let replayer = replay_changed(&bytes, |entry| change_notice(entry, number));
        assert_eq!(call_with_different_actions(&replayer), Some(number));
        assert_eq!(replayer.report.differences, 1);
    }
}

#[test]
fn new_captures_are_compared_in_the_key_value_wording() {
    let bytes = record_capture();
    assert_eq!(reader::head(&bytes).unwrap().notice_wording, NoticeWording::KeyValue);
    assert_eq!(first_call_with_notice(&bytes), Some(12));
    let replayer = replay_changed(&bytes, |_| ());
    assert_eq!((replayer.report.calls, replayer.report.differences), (20, 0));
    let replayer = replay_changed(&bytes, |entry| {
        if let Entry::Head(head) = entry {
            head.notice_wording = NoticeWording::Original;
        }
    });
    assert_eq!(call_with_different_actions(&replayer), Some(12));
}

#[test]
fn accepted_kept_captures_replay_without_differences() {
    let mut with_notices = 0;
    for bytes in kept_captures() {
        let accepted = edit::accept(entries(&bytes)).unwrap().unwrap();
        assert_eq!(reader::head(&accepted).unwrap().notice_wording, NoticeWording::KeyValue);
        let replayer = replay_changed(&accepted, |_| ());
        assert_eq!(call_with_different_actions(&replayer), None);
        assert_eq!(replayer.report.differences, 0);
        with_notices += usize::from(first_call_with_notice(&accepted).is_some());
    }
    assert!(with_notices >= 5, "only {with_notices} accepted captures have notices");
}
