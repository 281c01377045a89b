//! Captures that no director has written: whatever a file holds, reading and checking it ends without a panic.
mod common;

use common::record_incarnation;
use wingfold_capture::block::{self, BlockError, BlockKind};
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
