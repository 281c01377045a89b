//! The core of the writer: turns recorded items into blocks and segments, and decides when a segment ends, which old
//! ones are removed, and when a failed disk is tried again. It does no I/O itself: its caller carries out
//! [`DiskOperation`]s and reports when one fails.

use crate::block::{self, BlockKind};
use crate::model::{CallPosition, CheckpointHead, Gap, GapReason, Head, Index, IndexEntry, SegmentMeta};
use std::collections::VecDeque;
use wingfold_director::interface::{Micros, Timestamp};

/// Backoff after the first failure of the disk; it doubles with each further one.
const MIN_BACKOFF: Micros = Micros(1_000_000);
/// The longest backoff.
const MAX_BACKOFF: Micros = Micros(60_000_000);

/// What a recorder records.
#[derive(Clone, Debug)]
pub enum RecordedItem {
    /// The state of the director before a call.
    Checkpoint {
        /// The number of the call.
        call: u64,
        /// Its time.
        at: Timestamp,
        /// The checkpoint.
        bytes: Vec<u8>,
        /// Why calls before it were not recorded, if some were not.
        reason: Option<GapReason>,
    },
    /// A call.
    Call {
        /// Its number.
        number: u64,
        /// Its time.
        at: Timestamp,
        /// The encoded call.
        bytes: Vec<u8>,
    },
}

impl RecordedItem {
    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        match self {
            RecordedItem::Checkpoint { bytes, .. } | RecordedItem::Call { bytes, .. } => bytes.len(),
        }
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn at(&self) -> Timestamp {
        match self {
            RecordedItem::Checkpoint { at, .. } | RecordedItem::Call { at, .. } => *at,
        }
    }
}

/// An operation on the disk. Operations are to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskOperation {
    /// Create a segment.
    Create(SegmentMeta),
    /// Append bytes to the segment that was created last, and update the catalogue.
    Append(Vec<u8>, SegmentMeta),
    /// That segment is complete.
    Seal(SegmentMeta),
    /// Remove an old segment.
    Remove(u64),
}

/// When segments end, and how many are kept.
#[derive(Clone, Debug, PartialEq)]
pub struct SegmentLimits {
    /// A segment ends with this many bytes,
    pub segment_bytes: u64,
    /// or after this time.
    pub segment_age: Micros,
    /// The most segments that are kept.
    pub keep_segments: usize,
    /// The most bytes of segments that are kept.
    pub keep_bytes: u64,
    /// A block is written with this many bytes of calls,
    pub block_bytes: usize,
    /// or after this time: so much a killed process loses.
    pub flush: Micros,
}

impl Default for SegmentLimits {
    fn default() -> Self {
        SegmentLimits {
            segment_bytes: 16 << 20,
            segment_age: Micros(600_000_000),
            keep_segments: 144,
            keep_bytes: 1 << 30,
            block_bytes: 128 << 10,
            flush: Micros(1_000_000),
        }
    }
}

/// The segment that is being written.
#[derive(Debug)]
struct OpenSegment {
    meta: SegmentMeta,
    /// How many blocks it has.
    blocks: u32,
    index: Index,
    /// Encoded calls that are in no block yet.
    calls: Vec<u8>,
    /// The first and the last one of them.
    buffered: Option<(CallPosition, CallPosition)>,
    started_at: Timestamp,
}

#[derive(Debug)]
enum State {
    /// No segment is open; the next checkpoint begins one.
    Idle,
    Open(Box<OpenSegment>),
    /// The disk failed and is tried again at this time.
    BackingOff(Timestamp),
}

/// Writes the capture of one director.
#[derive(Debug)]
pub struct SegmentWriter {
    head: Head,
    limits: SegmentLimits,
    state: State,
    /// The segments that are kept, oldest first, the open one among them.
    segments: VecDeque<SegmentMeta>,
    next_segment: u64,
    now: Timestamp,
    /// The last call that is known to be written.
    written_call: u64,
    /// The last call in the operations that were returned.
    pending_call: u64,
    /// Why calls after `written_call` are in no segment.
    gap_reason: Option<GapReason>,
    backoff: Micros,
    failures: u64,
}

impl SegmentWriter {
    /// A writer for captures with this head; `segments` are those of earlier incarnations, oldest first.
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

    /// Whether it is ready to begin a segment with a checkpoint.
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

    /// How often the disk has failed.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// The segments that are kept, oldest first, the open one among them.
    pub fn segments(&self) -> impl Iterator<Item = &SegmentMeta> {
        self.segments.iter()
    }

    /// Handles an item, and appends the operations that follow. All earlier operations were carried out, unless
    /// [`operation_failed`](Self::operation_failed) was called.
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

    /// Writes what is buffered, after some time without items.
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

    /// One of the last operations failed, and those after it were not carried out. The segment is left as it is, and the
    /// disk tried again after a backoff.
    pub fn operation_failed(&mut self, reason: GapReason) {
        self.failures += 1;
        self.pending_call = self.written_call;
        self.gap_reason = Some(reason);
        self.state = State::BackingOff(Timestamp(self.now.0.saturating_add(self.backoff.0)));
        self.backoff = Micros((2 * self.backoff.0).min(MAX_BACKOFF.0));
    }

    /// The operations of the last item were carried out.
    fn confirm_operations(&mut self) {
        if matches!(self.state, State::Open(_)) && self.written_call != self.pending_call {
            self.backoff = MIN_BACKOFF;
        }
        self.written_call = self.pending_call;
    }

    fn add_call(&mut self, call: CallPosition, bytes: Vec<u8>, out: &mut Vec<DiskOperation>) {
        let State::Open(open) = &mut self.state else { return };
        // A call after dropped ones cannot be replayed from this segment's checkpoint.
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
        if open.calls.len() >= self.limits.block_bytes || age >= self.limits.flush.0 {
            self.flush(out);
        }
    }

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
        let open = self.first_blocks(meta, gap, checkpoint, out);
        self.segments.push_back(open.meta.clone());
        self.state = State::Open(Box::new(open));
        self.pending_call = next_call.number - 1;
        self.enforce_retention(out);
    }

    /// The calls before a checkpoint that are in no segment.
    fn gap_before(&mut self, next_call: u64, reason: Option<GapReason>) -> Option<Gap> {
        (next_call > self.pending_call + 1).then(|| Gap {
            from: self.pending_call + 1,
            to: next_call - 1,
            reason: self.gap_reason.take().or(reason).unwrap_or(GapReason::QueueFull),
        })
    }

    /// Appends the head and the checkpoint of a new segment.
    fn first_blocks(
        &self,
        mut meta: SegmentMeta,
        gap: Option<Gap>,
        checkpoint: &[u8],
        out: &mut Vec<DiskOperation>,
    ) -> OpenSegment {
        let next_call = meta.first;
        let head = Head { segment: meta.segment, ..self.head.clone() };
        let head = rmp_serde::to_vec_named(&head).expect("heads are plain, written to memory");
        let head_block = block::encode(BlockKind::Head, 0, &head);
        let checkpoint_head = CheckpointHead { call: next_call.number, at: next_call.at, gap };
        let mut contents =
            postcard::to_allocvec(&checkpoint_head).expect("heads are plain, written to memory");
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

    /// Removes the oldest segments until all limits hold; the open one stays.
    fn enforce_retention(&mut self, out: &mut Vec<DiskOperation>) {
        while self.segments.len() > 1 && self.exceeds_retention() {
            let oldest = self.segments.pop_front().expect("more than one is kept");
            out.push(DiskOperation::Remove(oldest.segment));
        }
    }

    fn exceeds_retention(&self) -> bool {
        let bytes: u64 = self.segments.iter().map(|meta| meta.bytes).sum();
        self.segments.len() > self.limits.keep_segments || bytes > self.limits.keep_bytes
    }

    /// Writes the buffered calls as a block.
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

    /// Ends the open segment, if there is one, with its index.
    fn seal(&mut self, out: &mut Vec<DiskOperation>) {
        self.flush(out);
        let State::Open(open) = &mut self.state else { return };
        let index = postcard::to_allocvec(&open.index).expect("an index is plain, written to memory");
        let bytes = block::encode(BlockKind::Index, open.blocks, &index);
        open.meta.bytes += bytes.len() as u64;
        open.meta.sealed = true;
        let meta = open.meta.clone();
        self.update_last_segment(&meta);
        out.push(DiskOperation::Append(bytes, meta.clone()));
        out.push(DiskOperation::Seal(meta));
        self.state = State::Idle;
    }

    fn update_last_segment(&mut self, meta: &SegmentMeta) {
        if let Some(last) = self.segments.back_mut() {
            *last = meta.clone();
        }
    }
}
