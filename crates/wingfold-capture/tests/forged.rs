//! Captures that no director has written: whatever a file holds, reading and checking it ends without a panic.
mod common;

use common::record_incarnation;
use std::time::Duration;
use wingfold_capture::block::{self, Block, BlockError, BlockKind};
use wingfold_capture::case::{check, Case, CaseFailure, Condition, ConditionFailure, Expectation};
use wingfold_capture::model::{encode_actions, CheckpointHead, EncodableCall};
use wingfold_capture::{edit, entries, reader, Entry, Head};
use wingfold_director::interface::*;

/// A segment of blocks with these kinds and contents.
fn segment(blocks: &[(BlockKind, Vec<u8>)]) -> Vec<u8> {
    let numbered = (0..).zip(blocks);
    numbered.flat_map(|(number, (kind, contents))| block::encode(*kind, number, contents)).collect()
}

/// The contents of the block with a head.
fn head_contents(head: &Head) -> Vec<u8> {
    rmp_serde::to_vec_named(head).unwrap()
}

/// The contents of the block with the checkpoint of a recorded segment, as if it were before another call.
fn checkpoint_contents(recorded: &[u8], call: u64) -> Vec<u8> {
    let state = entries(recorded).find_map(|entry| match entry {
        Entry::Checkpoint(_, state) => Some(state),
        _ => None,
    });
    let head = CheckpointHead { call, at: Timestamp(1), gap: None };
    [postcard::to_allocvec(&head).unwrap(), state.unwrap()].concat()
}

/// The encoded call of a timer.
fn call_contents(number: u64, at: Timestamp) -> Vec<u8> {
    let (events, actions) = ([Event::TimerFired(0)], encode_actions(&[]));
    postcard::to_allocvec(&EncodableCall { number, at, events: &events, actions: &actions, digest: 0 })
        .unwrap()
}

/// The contents of all blocks of calls of a recorded segment.
fn recorded_calls(recorded: &[u8]) -> Vec<u8> {
    let mut calls = Vec::new();
    let mut offset = 0;
    while let Ok(block) = Block::at(recorded, offset) {
        if block.kind == BlockKind::Calls {
            calls.extend(block.contents().unwrap());
        }
        offset = block.end;
    }
    calls
}

/// A case without further conditions than these.
fn case(expectations: Vec<Expectation>) -> Case {
    Case { name: "forged".into(), about: String::new(), identical: false, expectations }
}

/// Calls are numbered from 1, and the number after the last one must exist: others overflowed.
#[test]
fn impossible_call_numbers_are_reported_as_damage() {
    let recorded = record_incarnation(Timestamp(0), 3);
    let head = reader::head(&recorded).unwrap();
    for number in [0, u64::MAX] {
        let checkpoint = (BlockKind::Checkpoint, checkpoint_contents(&recorded, number));
        let calls = (BlockKind::Calls, call_contents(number, Timestamp(2)));
        let forged = segment(&[(BlockKind::Head, head_contents(&head)), checkpoint, calls]);
        let faults: Vec<BlockError> = entries(&forged)
            .filter_map(|entry| match entry {
                Entry::Damage { fault, .. } => Some(fault),
                _ => None,
            })
            .collect();
        assert_eq!(faults, [BlockError::Contents, BlockError::Contents]);
        assert_eq!(edit::extract(entries(&forged), Timestamp(0), Timestamp(u64::MAX)).unwrap(), None);
        assert_eq!(edit::accept(entries(&forged)).unwrap(), None);
    }
}

/// A head may name more classes than its settings have: the level of a surplus one was read beyond the end.
#[test]
fn conditions_on_surplus_classes_fail_as_unknown() {
    let recorded = record_incarnation(Timestamp(0), 20);
    let mut head = reader::head(&recorded).unwrap();
    head.class_names = (0..=head.settings.classes.len()).map(|class| format!("class-{class}")).collect();
    let class = head.class_names.last().unwrap().clone();
    let condition = Condition::AdmissionLevel { class: class.clone(), zone: None, least: 0.0, most: 1.0 };
    let expectation = Expectation { condition, after: Duration::ZERO, until: Duration::from_secs(9) };
    let forged = segment(&[
        (BlockKind::Head, head_contents(&head)),
        (BlockKind::Checkpoint, checkpoint_contents(&recorded, 1)),
        (BlockKind::Calls, recorded_calls(&recorded)),
    ]);
    let failures = check(&case(vec![expectation]), entries(&forged)).failures;
    let unknown = |failure: &CaseFailure| {
        matches!(failure, CaseFailure::Condition { failure: ConditionFailure::UnknownClass { class: unknown }, .. }
            if *unknown == class)
    };
    assert!(failures.len() == 1 && unknown(&failures[0]), "{failures:?}");
}

/// The clock of a forged capture may go back: the time since the first call was computed below zero.
#[test]
fn calls_before_the_first_call_of_a_case_are_checked_as_at_its_start() {
    let recorded = record_incarnation(Timestamp(0), 3);
    let head = reader::head(&recorded).unwrap();
    let calls = [call_contents(1, Timestamp(2_000_000)), call_contents(2, Timestamp(1_000_000))].concat();
    let forged = segment(&[
        (BlockKind::Head, head_contents(&head)),
        (BlockKind::Checkpoint, checkpoint_contents(&recorded, 1)),
        (BlockKind::Calls, calls),
    ]);
    let result = check(&case(Vec::new()), entries(&forged));
    assert_eq!((result.calls, result.failures), (2, Vec::new()));
}
