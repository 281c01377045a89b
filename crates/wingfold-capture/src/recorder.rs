//! The director's end of a capture: numbers the calls, encodes them and puts them into a queue. It never waits. After
//! calls that were dropped it goes on from a new checkpoint, so that what follows can be replayed.

use crate::model::{EncodableCall, GapReason};
use crate::segment_writer::RecordedItem;
use wingfold_director::interface::{Action, Event, Micros, Timestamp};
use wingfold_director::Director;

/// Shortest time from a dropped call to the next checkpoint: writing one costs as much as a few calls.
const CHECKPOINT_RETRY_INTERVAL: Micros = Micros(1_000_000);

/// Bytes of an encoded call besides its actions and events, roughly.
const CALL_OVERHEAD_BYTES: usize = 64;
/// Bytes of an encoded event, roughly.
const EVENT_BYTES: usize = 48;

/// Where recorded items go. None of its methods may wait.
pub trait RecorderQueue {
    /// Whether there is room for an item of so many bytes now.
    fn has_room(&self, bytes: usize) -> bool;
    /// Takes an item; `false` if there was no room for it.
    fn push(&mut self, item: RecordedItem) -> bool;
    /// Whether the writer is ready to begin a segment with a checkpoint.
    fn wants_checkpoint(&self) -> bool;
    /// Ends the capture, for queues that write it themselves; returns the first error of writing.
    fn finish(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<Q: RecorderQueue + ?Sized> RecorderQueue for Box<Q> {
    fn has_room(&self, bytes: usize) -> bool {
        (**self).has_room(bytes)
    }
    fn push(&mut self, item: RecordedItem) -> bool {
        (**self).push(item)
    }
    fn wants_checkpoint(&self) -> bool {
        (**self).wants_checkpoint()
    }
    fn finish(&mut self) -> std::io::Result<()> {
        (**self).finish()
    }
}

#[derive(Debug, PartialEq)]
enum State {
    /// Calls are recorded.
    Recording,
    /// Calls are dropped until there is room for a checkpoint, and until this time at least.
    Paused(Timestamp),
}

/// Records the calls of one director.
#[derive(Debug)]
pub struct Recorder<Q> {
    queue: Q,
    next_call: u64,
    state: State,
    /// Bytes of the last checkpoint, as an estimate of the next one.
    checkpoint_bytes: usize,
    dropped_calls: u64,
    /// The encoded actions of the last call; the allocation is used again.
    action_buffer: Vec<u8>,
}

impl<Q: RecorderQueue> Recorder<Q> {
    /// A recorder for a director that has not been called yet.
    pub fn new(queue: Q) -> Self {
        Recorder {
            queue,
            next_call: 1,
            state: State::Paused(Timestamp(0)),
            checkpoint_bytes: 0,
            dropped_calls: 0,
            action_buffer: Vec::new(),
        }
    }

    /// The number of the next call.
    pub fn next_call(&self) -> u64 {
        self.next_call
    }

    /// How many calls were not recorded because the queue was full.
    pub fn dropped_calls(&self) -> u64 {
        self.dropped_calls
    }

    /// The queue of the recorder.
    pub fn queue(&mut self) -> &mut Q {
        &mut self.queue
    }

    /// Before a call of the director: records a checkpoint where one is due.
    pub fn before_call(&mut self, at: Timestamp, director: &Director) {
        if !self.is_checkpoint_due(at) {
            return;
        }
        if self.record_checkpoint(at, director) {
            self.state = State::Recording;
        } else if self.state != State::Recording {
            self.pause(at);
        }
        // Otherwise the present segment goes on; the writer asks for a checkpoint again.
    }

    /// After a call of the director: records it, and returns its number. `digest` is that of the director now.
    pub fn after_call(&mut self, at: Timestamp, events: &[Event], actions: &[Action], digest: u64) -> u64 {
        let number = self.next_call;
        self.next_call += 1;
        if self.state != State::Recording {
            self.dropped_calls += 1;
            return number;
        }
        let bytes = self.encode_call(number, at, events, actions, digest);
        if !self.queue.push(RecordedItem::Call { number, at, bytes }) {
            self.dropped_calls += 1;
            self.pause(at);
        }
        number
    }

    fn is_checkpoint_due(&self, at: Timestamp) -> bool {
        match self.state {
            State::Recording => self.queue.wants_checkpoint(),
            State::Paused(until) => at >= until,
        }
    }

    /// Records a checkpoint; `false` if there is no room for it.
    fn record_checkpoint(&mut self, at: Timestamp, director: &Director) -> bool {
        let expected_bytes = self.checkpoint_bytes + (self.checkpoint_bytes >> 3);
        if !self.queue.has_room(expected_bytes) {
            return false;
        }
        let bytes = director.checkpoint();
        self.checkpoint_bytes = bytes.len();
        let reason = self.gap_reason();
        self.queue.push(RecordedItem::Checkpoint { call: self.next_call, at, bytes, reason })
    }

    fn gap_reason(&self) -> Option<GapReason> {
        (self.state != State::Recording && self.next_call > 1).then_some(GapReason::QueueFull)
    }

    fn pause(&mut self, now: Timestamp) {
        self.state = State::Paused(Timestamp(now.0.saturating_add(CHECKPOINT_RETRY_INTERVAL.0)));
    }

    fn encode_call(
        &mut self,
        number: u64,
        at: Timestamp,
        events: &[Event],
        actions: &[Action],
        digest: u64,
    ) -> Vec<u8> {
        let mut buffer = std::mem::take(&mut self.action_buffer);
        buffer.clear();
        let actions = postcard::to_extend(actions, buffer).expect("actions are plain, written to memory");
        let call = EncodableCall { number, at, events, actions: &actions, digest };
        let capacity = CALL_OVERHEAD_BYTES + actions.len() + EVENT_BYTES * events.len();
        let bytes = postcard::to_extend(&call, Vec::with_capacity(capacity))
            .expect("calls are plain, written to memory");
        self.action_buffer = actions;
        bytes
    }
}
