//! Writes a part of a capture as one segment. It begins with a checkpoint, so that it can be replayed alone.

use crate::model::{encode_actions, Call, EncodableCall, Head, NoticeWording};
use crate::reader::Entry;
use crate::replay::{ReplayError, ReplayMode, Replayer};
use crate::segment_writer::{DiskOperation, RecordedItem, SegmentLimits, SegmentWriter};
use wingfold_director::interface::{Micros, Timestamp};
use wingfold_director::Director;

/// Writes one segment in memory.
#[derive(Debug)]
pub struct SegmentAssembler {
    writer: SegmentWriter,
    operations: Vec<DiskOperation>,
    bytes: Vec<u8>,
}

impl SegmentAssembler {
    /// Begins a segment of the capture with this head, with the state of the director before call number
    /// `call`.
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

    /// Adds the next call.
    pub fn add_call(&mut self, call: &Call) {
        let Call { number, at, events, actions, digest } = call;
        let encodable = EncodableCall { number: *number, at: *at, events, actions, digest: *digest };
        let bytes = postcard::to_allocvec(&encodable).expect("calls are plain, written to memory");
        self.add(RecordedItem::Call { number: *number, at: *at, bytes });
    }

    /// The bytes of the segment.
    pub fn finish(mut self) -> Vec<u8> {
        self.writer.finish(&mut self.operations);
        self.collect_bytes();
        self.bytes
    }

    fn add(&mut self, item: RecordedItem) {
        self.writer.handle(item, &mut self.operations);
        self.collect_bytes();
    }

    fn collect_bytes(&mut self) {
        for operation in self.operations.drain(..) {
            if let DiskOperation::Append(bytes, _) = operation {
                self.bytes.extend(bytes);
            }
        }
    }
}

/// Extracts the calls of a span. Returns `None` if no call in it can be replayed; the segment ends before the
/// first call that is missing.
pub fn extract(
    entries: impl Iterator<Item = Entry>,
    from: Timestamp,
    until: Timestamp,
) -> Result<Option<Vec<u8>>, ReplayError> {
    let mut replayer = Replayer::new(ReplayMode::Strict).between(from, until);
    let mut assembler: Option<SegmentAssembler> = None;
    let mut next_call = 0;
    for entry in entries {
        if let (Entry::Call(call), Some(director), None) = (&entry, replayer.director(), &assembler) {
            if call.at >= from && call.at <= until {
                assembler = Some(SegmentAssembler::new(replayer.head(), call.number, call.at, director));
                next_call = call.number;
            }
        }
        if let (Some((call, _)), Some(assembler)) = (replayer.feed(entry)?, &mut assembler) {
            if call.number == next_call {
                assembler.add_call(&call);
                next_call += 1;
            }
        }
        if replayer.is_done() {
            break;
        }
    }
    Ok(assembler.map(SegmentAssembler::finish))
}

/// Replaces the recorded actions by those of this build: for a case whose decisions were changed on purpose.
pub fn accept(entries: impl Iterator<Item = Entry>) -> Result<Option<Vec<u8>>, ReplayError> {
    let mut replayer = Replayer::new(ReplayMode::Compare);
    let mut assembler: Option<SegmentAssembler> = None;
    for entry in entries {
        let checkpoint = match &entry {
            Entry::Checkpoint(head, _) => Some((head.call, head.at)),
            _ => None,
        };
        let replayed = replayer.feed(entry)?.map(|(call, actions)| (call, encode_actions(actions)));
        let Some(director) = replayer.director() else { continue };
        if let (Some((call, at)), None) = (checkpoint, &assembler) {
            // The replayed notices are worded as this build renders them, whatever the recorded ones were.
            let head = Head { notice_wording: NoticeWording::KeyValue, ..replayer.head().clone() };
            assembler = Some(SegmentAssembler::new(&head, call, at, director));
        }
        if let (Some((call, actions)), Some(assembler)) = (replayed, &mut assembler) {
            assembler.add_call(&Call { actions, digest: director.digest(), ..call });
        }
    }
    Ok(assembler.map(SegmentAssembler::finish))
}
