//! The core of the writer of captures: it turns recorded items into blocks and segments, and decides when a
//! segment ends, which old segments are removed, and when writing is retried after the disk failed. It does
//! no I/O itself: the caller carries out the returned [`DiskOperation`]s and reports a failed one.

use crate::block::{self, BlockKind};
use crate::model::{CallPosition, CheckpointHead, Gap, GapReason, Head, Index, IndexEntry, SegmentMeta};
use std::collections::VecDeque;
use wingfold_director::interface::{Micros, Timestamp};

/// The backoff after the first failure of the disk; each further failure doubles the backoff.
const MIN_BACKOFF: Micros = Micros(1_000_000);
/// The maximum backoff.
const MAX_BACKOFF: Micros = Micros(60_000_000);

/// An item that a recorder passes to the writer.
#[derive(Clone, Debug)]
pub enum RecordedItem {
    /// A checkpoint of the director before a call.
    Checkpoint {
        /// The number of the call.
        call: u64,
        /// The time of the call.
        at: Timestamp,
        /// The bytes of the checkpoint.
        bytes: Vec<u8>,
        /// Why calls directly before the checkpoint were not recorded, if any were not.
        reason: Option<GapReason>,
    },
    /// A call of the director.
    Call {
        /// The number of the call.
        number: u64,
        /// The time of the call.
        at: Timestamp,
        /// The encoded call.
        bytes: Vec<u8>,
    },
}

impl RecordedItem {
    /// The number of encoded bytes.
    pub fn len(&self) -> usize {
        match self {
            RecordedItem::Checkpoint { bytes, .. } | RecordedItem::Call { bytes, .. } => bytes.len(),
        }
    }

    /// Whether there are no encoded bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn at(&self) -> Timestamp {
        match self {
            RecordedItem::Checkpoint { at, .. } | RecordedItem::Call { at, .. } => *at,
        }
    }
}

/// An operation on the disk, or on the memory that replaces the disk. Operations are to be carried out in the
/// order in which the writer returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskOperation {
    /// Create an empty segment.
    Create(SegmentMeta),
    /// Append bytes to the segment that was created last, and store its metadata in the catalogue.
    Append(Vec<u8>, SegmentMeta),
    /// Mark the segment that was created last as complete.
    Seal(SegmentMeta),
    /// Remove the segment with this number.
    Remove(u64),
}

/// When blocks are written, when segments end, and how many segments are kept.
#[derive(Clone, Debug, PartialEq)]
pub struct SegmentLimits {
    /// The length in bytes at which a segment ends.
    pub segment_bytes: u64,
    /// The age at which a segment ends.
    pub segment_age: Micros,
    /// The maximum number of segments that are kept.
    pub keep_segments: usize,
    /// The maximum number of bytes of all segments that are kept.
    pub keep_bytes: u64,
    /// The bytes of buffered calls at which the calls are written as a block.
    pub block_bytes: usize,
    /// The time after which buffered calls are written as a block. A killed process loses the calls of up to
    /// this time.
    pub flush_interval: Micros,
}

impl Default for SegmentLimits {
    fn default() -> Self {
        SegmentLimits {
            segment_bytes: 16 << 20,
            segment_age: Micros(600_000_000),
            keep_segments: 144,
            keep_bytes: 1 << 30,
            block_bytes: 128 << 10,
            flush_interval: Micros(1_000_000),
        }
    }
}

/// The segment that is being written.
#[derive(Debug)]
struct OpenSegment {
    meta: SegmentMeta,
    /// The number of blocks written so far, which is the sequence number of the next block.
    blocks: u32,
    /// The index of the blocks written so far.
    index: Index,
    /// The encoded calls that are not in a block yet.
    calls: Vec<u8>,
    /// The positions of the first and the last call in `calls`.
    buffered: Option<(CallPosition, CallPosition)>,
    /// The time of the checkpoint with which the segment begins.
    started_at: Timestamp,
}

/// The state of the segment that is being written.
#[derive(Debug)]
enum State {
    /// No segment is open; the next checkpoint begins one.
    Idle,
    /// A segment is being written.
    Open(Box<OpenSegment>),
    /// The disk failed; a checkpoint at or after this time begins a new segment.
    BackingOff(Timestamp),
}

/// Turns the recorded items of one director into the segments of its capture.
#[derive(Debug)]
pub struct SegmentWriter {
    head: Head,
    limits: SegmentLimits,
    state: State,
    /// The segments that are kept, oldest first, including the open one.
    segments: VecDeque<SegmentMeta>,
    /// The number of the next segment.
    next_segment: u64,
    /// The latest time of an item.
    now: Timestamp,
    /// The last call whose operations are known to have been carried out.
    written_call: u64,
    /// The last call in the operations that have been returned.
    pending_call: u64,
    /// Why calls after `written_call` are missing from the segments, if any are.
    gap_reason: Option<GapReason>,
    /// The backoff after the next failure of the disk.
    backoff: Micros,
    failures: u64,
}

impl SegmentWriter {
    /// A writer for a capture with this head; `segments` are the kept segments of earlier incarnations,
    /// oldest first.
    pub fn new(head: Head, limits: SegmentLimits, segments: Vec<SegmentMeta>) -> Self {
        SegmentWriter {
            head,
            limits,
            state: State::Idle,
            next_segment: segments.iter().map(|meta| meta.segment).max().unwrap_or(0) + 1,
            segments: segments.into(),
            now: Timestamp(0),
            written_call: 0,
            pending_call: 0,
            gap_reason: None,
            backoff: MIN_BACKOFF,
            failures: 0,
        }
    }

    /// Whether the writer is ready to begin a new segment, for which it needs a checkpoint.
    pub fn wants_checkpoint(&self) -> bool {
        match &self.state {
            State::Idle => true,
            State::BackingOff(until) => self.now >= *until,
            State::Open(open) => {
                let age = self.now.0.saturating_sub(open.started_at.0);
                open.meta.bytes >= self.limits.segment_bytes || age >= self.limits.segment_age.0
            }
        }
    }

    /// The number of failures of the disk so far.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// The segments that are kept, oldest first, including the open one.
    pub fn segments(&self) -> impl Iterator<Item = &SegmentMeta> {
        self.segments.iter()
    }

    /// Handles an item, and appends the operations to carry out to `out`. All operations that were returned
    /// before count as carried out, unless [`operation_failed`](Self::operation_failed) was called.
    pub fn handle(&mut self, item: RecordedItem, out: &mut Vec<DiskOperation>) {
        self.now = self.now.max(item.at());
        self.confirm_operations();
        match item {
            RecordedItem::Checkpoint { call, at, bytes, reason } => {
                self.begin_segment(CallPosition { number: call, at }, &bytes, reason, out);
            }
            RecordedItem::Call { number, at, bytes } => {
                self.add_call(CallPosition { number, at }, bytes, out);
            }
        }
    }

    /// Writes the buffered calls as a block; to be called after some time without items.
    pub fn flush_idle(&mut self, out: &mut Vec<DiskOperation>) {
        self.confirm_operations();
        self.flush(out);
    }

    /// Ends the capture: seals the open segment.
    pub fn finish(&mut self, out: &mut Vec<DiskOperation>) {
        self.confirm_operations();
        self.seal(out);
        self.state = State::Idle;
    }

    /// To be called when one of the operations of the last item failed, and the operations after the failed
    /// one were not carried out. The open segment is abandoned as it is, and a new one is begun after a
    /// backoff.
    pub fn operation_failed(&mut self, reason: GapReason) {
        self.failures += 1;
        self.pending_call = self.written_call;
        self.gap_reason = Some(reason);
        self.state = State::BackingOff(Timestamp(self.now.0.saturating_add(self.backoff.0)));
        self.backoff = Micros((2 * self.backoff.0).min(MAX_BACKOFF.0));
    }

    /// Takes the operations that were returned before as carried out, and resets the backoff if calls were
    /// written.
    fn confirm_operations(&mut self) {
        if matches!(self.state, State::Open(_)) && self.written_call != self.pending_call {
            self.backoff = MIN_BACKOFF;
        }
        self.written_call = self.pending_call;
    }

    /// Buffers a call, and writes the buffered calls when they reach a limit.
    fn add_call(&mut self, call: CallPosition, bytes: Vec<u8>, out: &mut Vec<DiskOperation>) {
        let State::Open(open) = &mut self.state else { return };
        // A call after dropped calls cannot be replayed from the checkpoint of this segment.
        if call.number != open.meta.last.number + 1 {
            self.gap_reason = self.gap_reason.take().or(Some(GapReason::QueueFull));
            self.seal(out);
            self.state = State::Idle;
            return;
        }
        open.meta.last = call;
        open.calls.extend(bytes);
        let first = open.buffered.map_or(call, |(first, _)| first);
        open.buffered = Some((first, call));
        let age = call.at.0.saturating_sub(first.at.0);
        if open.calls.len() >= self.limits.block_bytes || age >= self.limits.flush_interval.0 {
            self.flush(out);
        }
    }

    /// Ends the open segment, if any, and begins one with this checkpoint; does nothing during a backoff.
    fn begin_segment(
        &mut self,
        next_call: CallPosition,
        checkpoint: &[u8],
        reason: Option<GapReason>,
        out: &mut Vec<DiskOperation>,
    ) {
        if matches!(self.state, State::BackingOff(until) if self.now < until) {
            return;
        }
        self.seal(out);
        let gap = self.gap_before(next_call.number, reason);
        let meta = SegmentMeta {
            segment: self.next_segment,
            incarnation: self.head.incarnation,
            first: next_call,
            last: CallPosition { number: next_call.number - 1, at: next_call.at },
            gap: gap.clone(),
            ..SegmentMeta::default()
        };
        self.next_segment += 1;
        out.push(DiskOperation::Create(meta.clone()));
        let open = self.append_first_blocks(meta, gap, checkpoint, out);
        self.segments.push_back(open.meta.clone());
        self.state = State::Open(Box::new(open));
        self.pending_call = next_call.number - 1;
        self.enforce_retention(out);
    }

    /// The calls directly before a checkpoint that are in no segment, if any; `next_call` is the first call
    /// after the checkpoint.
    fn gap_before(&mut self, next_call: u64, reason: Option<GapReason>) -> Option<Gap> {
        (next_call > self.pending_call + 1).then(|| Gap {
            from: self.pending_call + 1,
            to: next_call - 1,
            reason: self.gap_reason.take().or(reason).unwrap_or(GapReason::QueueFull),
        })
    }

    /// Appends the blocks with the head and the checkpoint of a new segment.
    fn append_first_blocks(
        &self,
        mut meta: SegmentMeta,
        gap: Option<Gap>,
        checkpoint: &[u8],
        out: &mut Vec<DiskOperation>,
    ) -> OpenSegment {
        let next_call = meta.first;
        let head = Head { segment: meta.segment, ..self.head.clone() };
        let head = rmp_serde::to_vec_named(&head).expect("encoding a head into memory cannot fail");
        let head_block = block::encode(BlockKind::Head, 0, &head);
        let checkpoint_head = CheckpointHead { call: next_call.number, at: next_call.at, gap };
        let mut contents = postcard::to_allocvec(&checkpoint_head)
            .expect("encoding a checkpoint head into memory cannot fail");
        contents.extend(checkpoint);
        let checkpoint_block = block::encode(BlockKind::Checkpoint, 1, &contents);
        let offset = head_block.len() as u64;
        let entry = IndexEntry { offset, checkpoint: true, first: next_call, last: next_call };
        let bytes = [head_block, checkpoint_block].concat();
        meta.bytes = bytes.len() as u64;
        out.push(DiskOperation::Append(bytes, meta.clone()));
        OpenSegment {
            meta,
            blocks: 2,
            index: Index { blocks: vec![entry], calls: 0 },
            calls: Vec::new(),
            buffered: None,
            started_at: next_call.at,
        }
    }

    /// Removes the oldest segments until the kept ones are within the limits; the newest segment always
    /// stays.
    fn enforce_retention(&mut self, out: &mut Vec<DiskOperation>) {
        while self.segments.len() > 1 && self.exceeds_retention() {
            let oldest = self.segments.pop_front().expect("more than one segment is kept");
            out.push(DiskOperation::Remove(oldest.segment));
        }
    }

    fn exceeds_retention(&self) -> bool {
        let bytes: u64 = self.segments.iter().map(|meta| meta.bytes).sum();
        self.segments.len() > self.limits.keep_segments || bytes > self.limits.keep_bytes
    }

    /// Writes the buffered calls, if any, as a block.
    fn flush(&mut self, out: &mut Vec<DiskOperation>) {
        let State::Open(open) = &mut self.state else { return };
        let Some((first, last)) = open.buffered.take() else { return };
        let bytes = block::encode(BlockKind::Calls, open.blocks, &open.calls);
        open.index.blocks.push(IndexEntry { offset: open.meta.bytes, checkpoint: false, first, last });
        open.index.calls += last.number + 1 - first.number;
        open.calls.clear();
        open.blocks += 1;
        open.meta.bytes += bytes.len() as u64;
        self.pending_call = last.number;
        let meta = open.meta.clone();
        self.update_last_segment(&meta);
        out.push(DiskOperation::Append(bytes, meta));
        self.enforce_retention(out);
    }

    /// Ends the open segment, if any, with its index.
    fn seal(&mut self, out: &mut Vec<DiskOperation>) {
        self.flush(out);
        let State::Open(open) = &mut self.state else { return };
        let index = postcard::to_allocvec(&open.index).expect("encoding an index into memory cannot fail");
        let bytes = block::encode(BlockKind::Index, open.blocks, &index);
        open.meta.bytes += bytes.len() as u64;
        open.meta.sealed = true;
        let meta = open.meta.clone();
        self.update_last_segment(&meta);
        out.push(DiskOperation::Append(bytes, meta.clone()));
        out.push(DiskOperation::Seal(meta));
        self.state = State::Idle;
    }

    /// Replaces the metadata of the newest segment.
    fn update_last_segment(&mut self, meta: &SegmentMeta) {
        if let Some(last) = self.segments.back_mut() {
            *last = meta.clone();
        }
    }
}
