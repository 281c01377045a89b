//! The writer's core: makes blocks and segments of what the tap gives, and says what is to be done with the disk. It
//! decides when a segment ends, which old ones go, and how a disk that fails is tried again. It does nothing itself:
//! its caller carries [`Do`]s out and tells when one fails.

use crate::block::{self, Kind};
use crate::model::{CheckpointHead, Gap, Head, Index, IndexEntry, Reason, SegmentMeta};
use std::collections::VecDeque;
use wingfold_director::interface::{Micros, Timestamp};

/// After a failure the disk is tried again so much later, and twice as late each time up to the longest.
const FIRST_PAUSE: u64 = 1_000_000;
const LONGEST_PAUSE: u64 = 60_000_000;

/// What the tap gives.
#[derive(Clone, Debug)]
pub enum Item {
    /// The module's state before the call of this number.
    Checkpoint {
        /// That call.
        call: u64,
        /// Its time.
        at: Timestamp,
        /// The state.
        bytes: Vec<u8>,
        /// Why calls before it were not given, if some were not.
        reason: Option<Reason>,
    },
    /// One call.
    Call {
        /// Its number.
        number: u64,
        /// Its time.
        at: Timestamp,
        /// The call, packed.
        bytes: Vec<u8>,
    },
}

impl Item {
    /// Bytes that it takes.
    pub fn len(&self) -> usize {
        match self {
            Item::Checkpoint { bytes, .. } | Item::Call { bytes, .. } => bytes.len(),
        }
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn at(&self) -> Timestamp {
        match self {
            Item::Checkpoint { at, .. } | Item::Call { at, .. } => *at,
        }
    }
}

/// What is to be done with the disk, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Begin a segment.
    Create(SegmentMeta),
    /// Add bytes to the segment that was begun last; what is known of it now goes into the catalogue.
    Append(Vec<u8>, SegmentMeta),
    /// That segment is whole.
    Seal(SegmentMeta),
    /// An old segment goes.
    Remove(u64),
}

/// When segments end, and how many are kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// A segment ends with this many bytes.
    pub segment_bytes: u64,
    /// Or after this time.
    pub segment_age: Micros,
    /// So many segments are kept at most.
    pub keep_segments: usize,
    /// And so many bytes of them.
    pub keep_bytes: u64,
    /// A block is written with this many bytes of calls.
    pub block_bytes: usize,
    /// Or after this time: what a killed process loses.
    pub flush: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
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
struct Open {
    meta: SegmentMeta,
    blocks: u32,
    index: Index,
    /// Calls that are in no block yet, their first and their last.
    calls: Vec<u8>,
    span: Option<((u64, Timestamp), (u64, Timestamp))>,
    began: Timestamp,
}

#[derive(Debug)]
enum State {
    /// Nothing is open; the next checkpoint begins a segment.
    Idle,
    Open(Box<Open>),
    /// The disk failed and is tried again at the time given.
    Broken(Timestamp),
}

/// Writes one director's capture.
#[derive(Debug)]
pub struct Scribe {
    head: Head,
    limits: Limits,
    state: State,
    kept: VecDeque<SegmentMeta>,
    next: u64,
    now: Timestamp,
    /// The last call that is known to be written, and the last that is about to be.
    written: u64,
    pending: u64,
    /// Why calls after `written` are in no segment.
    reason: Option<Reason>,
    pause: u64,
    failures: u64,
}

impl Scribe {
    /// For a director of this head; `kept` are its segments of earlier lives, in their order.
    pub fn new(head: Head, limits: Limits, kept: Vec<SegmentMeta>) -> Self {
        let next = kept.iter().map(|meta| meta.segment).max().unwrap_or(0) + 1;
        let (state, kept) = (State::Idle, VecDeque::from(kept));
        let (now, reason) = (Timestamp(0), None);
        let (written, pending, pause, failures) = (0, 0, FIRST_PAUSE, 0);
        Scribe { head, limits, state, kept, next, now, written, pending, reason, pause, failures }
    }

    /// Whether it wants a checkpoint to begin a segment from.
    pub fn wants_checkpoint(&self) -> bool {
        match &self.state {
            State::Idle => true,
            State::Broken(until) => self.now >= *until,
            State::Open(open) => {
                let age = self.now.0.saturating_sub(open.began.0);
                open.meta.bytes >= self.limits.segment_bytes || age >= self.limits.segment_age.0
            }
        }
    }

    /// How often the disk has failed.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// The segments that are kept, the one being written among them.
    pub fn kept(&self) -> impl Iterator<Item = &SegmentMeta> {
        self.kept.iter()
    }

    /// Takes an item, and says what is to be done.
    pub fn take(&mut self, item: Item, out: &mut Vec<Do>) {
        self.now = self.now.max(item.at());
        self.went_well();
        match item {
            Item::Checkpoint { call, at, bytes, reason } => self.begin(call, at, &bytes, reason, out),
            Item::Call { number, at, bytes } => {
                let State::Open(open) = &mut self.state else { return };
                // A call before which others were let go of must not follow what it does not follow from.
                if number != open.meta.last.0 + 1 {
                    self.reason = self.reason.take().or(Some(Reason::QueueFull));
                    self.close(out);
                    self.state = State::Idle;
                    return;
                }
                open.meta.last = (number, at);
                open.calls.extend(bytes);
                open.span = Some((open.span.map_or((number, at), |span| span.0), (number, at)));
                let age = at.0.saturating_sub(open.span.map_or(at, |span| span.0 .1).0);
                if open.calls.len() >= self.limits.block_bytes || age >= self.limits.flush.0 {
                    self.flush(out);
                }
            }
        }
    }

    /// Time has passed and no item came: what waits is written.
    pub fn rest(&mut self, out: &mut Vec<Do>) {
        self.went_well();
        self.flush(out);
    }

    /// Ends the segment well.
    pub fn end(&mut self, out: &mut Vec<Do>) {
        self.went_well();
        self.close(out);
        self.state = State::Idle;
    }

    /// One of the last `Do`s failed, and those after it were not done: the segment is left as it is, and the disk tried
    /// again later.
    pub fn failed(&mut self, reason: Reason) {
        self.failures += 1;
        self.pending = self.written;
        self.reason = Some(reason);
        self.state = State::Broken(Timestamp(self.now.0.saturating_add(self.pause)));
        self.pause = (2 * self.pause).min(LONGEST_PAUSE);
    }

    /// What was to be done at the last item did not fail.
    fn went_well(&mut self) {
        if matches!(self.state, State::Open(_)) && self.written != self.pending {
            self.pause = FIRST_PAUSE;
        }
        self.written = self.pending;
    }

    fn begin(&mut self, call: u64, at: Timestamp, bytes: &[u8], told: Option<Reason>, out: &mut Vec<Do>) {
        if matches!(self.state, State::Broken(until) if self.now < until) {
            return;
        }
        self.close(out);
        let gap = (call > self.pending + 1).then(|| {
            let reason = self.reason.take().or(told).unwrap_or(Reason::QueueFull);
            Gap { from: self.pending + 1, to: call - 1, reason }
        });
        let meta = SegmentMeta {
            segment: self.next,
            run: self.head.run,
            first: (call, at),
            last: (call - 1, at),
            gap: gap.clone(),
            ..SegmentMeta::default()
        };
        self.next += 1;
        let head = Head { segment: meta.segment, ..self.head.clone() };
        let head = rmp_serde::to_vec_named(&head).expect("heads are plain, written to memory");
        let first = CheckpointHead { call, at, gap };
        let mut state = postcard::to_allocvec(&first).expect("heads are plain, written to memory");
        state.extend(bytes);
        let head = block::encode(Kind::Head, 0, &head);
        let entry =
            IndexEntry { offset: head.len() as u64, checkpoint: true, first: (call, at), last: (call, at) };
        let index = Index { blocks: vec![entry], calls: 0 };
        let bytes = [head, block::encode(Kind::Checkpoint, 1, &state)].concat();
        let mut open = Open { meta, blocks: 2, index, calls: Vec::new(), span: None, began: at };
        out.push(Do::Create(open.meta.clone()));
        open.meta.bytes = bytes.len() as u64;
        out.push(Do::Append(bytes, open.meta.clone()));
        self.kept.push_back(open.meta.clone());
        self.state = State::Open(Box::new(open));
        self.pending = call - 1;
        self.retain(out);
    }

    /// Old segments go until all bounds hold; the one being written stays.
    fn retain(&mut self, out: &mut Vec<Do>) {
        let bytes = |kept: &VecDeque<SegmentMeta>| kept.iter().map(|meta| meta.bytes).sum::<u64>();
        while self.kept.len() > 1
            && (self.kept.len() > self.limits.keep_segments || bytes(&self.kept) > self.limits.keep_bytes)
        {
            let old = self.kept.pop_front().expect("more than one is kept");
            out.push(Do::Remove(old.segment));
        }
    }

    fn flush(&mut self, out: &mut Vec<Do>) {
        let State::Open(open) = &mut self.state else { return };
        let Some((first, last)) = open.span.take() else { return };
        let bytes = block::encode(Kind::Calls, open.blocks, &open.calls);
        open.index.blocks.push(IndexEntry { offset: open.meta.bytes, checkpoint: false, first, last });
        open.index.calls += last.0 + 1 - first.0;
        open.calls.clear();
        open.blocks += 1;
        open.meta.bytes += bytes.len() as u64;
        self.pending = last.0;
        if let Some(kept) = self.kept.back_mut() {
            *kept = open.meta.clone();
        }
        out.push(Do::Append(bytes, open.meta.clone()));
        self.retain(out);
    }

    fn close(&mut self, out: &mut Vec<Do>) {
        self.flush(out);
        let State::Open(open) = &mut self.state else { return };
        let index = postcard::to_allocvec(&open.index).expect("an index is plain, written to memory");
        let bytes = block::encode(Kind::Index, open.blocks, &index);
        open.meta.bytes += bytes.len() as u64;
        open.meta.sealed = true;
        let meta = open.meta.clone();
        if let Some(kept) = self.kept.back_mut() {
            *kept = meta.clone();
        }
        out.push(Do::Append(bytes, meta.clone()));
        out.push(Do::Seal(meta));
        self.state = State::Idle;
    }
}
