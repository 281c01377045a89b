//! Writes a part of a capture as one segment. The segment begins with a checkpoint, so that it can be
//! replayed without the rest of the capture.

use crate::model::{encode_actions, Call, EncodableCall, Head, NoticeWording};
use crate::reader::Entry;
use crate::replay::{ReplayError, ReplayMode, Replayer};
use crate::segment_writer::{DiskOperation, RecordedItem, SegmentLimits, SegmentWriter};
use wingfold_director::interface::{Micros, Timestamp};
use wingfold_director::Director;

/// Assembles one segment in memory.
#[derive(Debug)]
pub struct SegmentAssembler {
    writer: SegmentWriter,
    /// The operations of the writer that are not carried out yet.
    operations: Vec<DiskOperation>,
    /// The bytes of the segment so far.
    bytes: Vec<u8>,
}

impl SegmentAssembler {
    /// Begins a segment with a copy of `head` and a checkpoint of the director before the call with the
    /// number `call` at time `at`.
    pub fn new(head: &Head, call: u64, at: Timestamp, director: &Director) -> Self {
        let limits = SegmentLimits {
            segment_bytes: u64::MAX,
            segment_age: Micros(u64::MAX),
            ..SegmentLimits::default()
        };
        let head = Head { segment: 0, ..head.clone() };
        let writer = SegmentWriter::new(head, limits, Vec::new());
        let mut assembler = SegmentAssembler { writer, operations: Vec::new(), bytes: Vec::new() };
        let bytes = director.checkpoint();
        assembler.add(RecordedItem::Checkpoint { call, at, bytes, reason: None });
        assembler
    }

    /// Adds the next call to the segment. A call after missing ones ends the segment, and neither it nor any
    /// later call is added.
    pub fn add_call(&mut self, call: &Call) {
        let Call { number, at, events, actions, digest } = call;
        let encodable = EncodableCall { number: *number, at: *at, events, actions, digest: *digest };
        let bytes = postcard::to_allocvec(&encodable).expect("encoding calls into memory cannot fail");
        self.add(RecordedItem::Call { number: *number, at: *at, bytes });
    }

    /// Seals the segment and returns its bytes.
    pub fn finish(mut self) -> Vec<u8> {
        self.writer.finish(&mut self.operations);
        self.collect_bytes();
        self.bytes
    }

    fn add(&mut self, item: RecordedItem) {
        self.writer.handle(item, &mut self.operations);
        self.collect_bytes();
    }

    /// Carries out the operations of the writer: appends their bytes to the segment.
    fn collect_bytes(&mut self) {
        for operation in self.operations.drain(..) {
            if let DiskOperation::Append(bytes, _) = operation {
                self.bytes.extend(bytes);
            }
        }
    }
}

/// Extracts the calls of a span of time into a segment. Returns `None` if no call in the span can be
/// replayed. The segment ends before the first missing call and before a restart of the director, as a segment
/// has one checkpoint and one sequence of call numbers.
pub fn extract(
    entries: impl Iterator<Item = Entry>,
    from: Timestamp,
    until: Timestamp,
) -> Result<Option<Vec<u8>>, ReplayError> {
    let mut replayer = Replayer::new(ReplayMode::Strict).between(from, until);
    let mut assembler: Option<SegmentAssembler> = None;
    for entry in entries {
        if assembler.is_some() && is_restart(&entry, replayer.head()) {
            break;
        }
        if let (Entry::Call(call), Some(director), None) = (&entry, replayer.director(), &assembler) {
            if call.at >= from && call.at <= until {
                assembler = Some(SegmentAssembler::new(replayer.head(), call.number, call.at, director));
            }
        }
        if let (Some((call, _)), Some(assembler)) = (replayer.feed(entry)?, &mut assembler) {
            assembler.add_call(&call);
        }
        if replayer.is_done() {
            break;
        }
    }
    Ok(assembler.map(SegmentAssembler::finish))
}

/// Whether an entry begins the calls of another incarnation than that of the segment with this head.
fn is_restart(entry: &Entry, head: &Head) -> bool {
    matches!(entry, Entry::Head(next) if !next.is_same_incarnation(head))
}

/// Replays a capture and returns it as one segment, with the actions of this build in place of the recorded
/// ones. This updates a case after an intended change of decisions. Returns `None` if the capture has no
/// checkpoint. The segment ends where one of [`extract`] ends.
pub fn accept(entries: impl Iterator<Item = Entry>) -> Result<Option<Vec<u8>>, ReplayError> {
    let mut replayer = Replayer::new(ReplayMode::Compare);
    let mut assembler: Option<SegmentAssembler> = None;
    for entry in entries {
        if assembler.is_some() && is_restart(&entry, replayer.head()) {
            break;
        }
        let checkpoint = match &entry {
            Entry::Checkpoint(head, _) => Some((head.call, head.at)),
            _ => None,
        };
        let replayed = replayer.feed(entry)?.map(|(call, actions)| (call, encode_actions(actions)));
        let Some(director) = replayer.director() else { continue };
        if let (Some((call, at)), None) = (checkpoint, &assembler) {
            // The segment contains replayed notices, in the wording of this build instead of the recorded
            // one.
            let head = Head { notice_wording: NoticeWording::KeyValue, ..replayer.head().clone() };
            assembler = Some(SegmentAssembler::new(&head, call, at, director));
        }
        if let (Some((call, actions)), Some(assembler)) = (replayed, &mut assembler) {
            assembler.add_call(&Call { actions, digest: director.digest(), ..call });
        }
    }
    Ok(assembler.map(SegmentAssembler::finish))
}
