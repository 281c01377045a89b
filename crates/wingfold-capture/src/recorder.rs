//! The recorder of a director's calls: it numbers the calls, encodes them and puts them into a queue without
//! waiting, as the director does not wait for the capture. After dropped calls, recording continues from a
//! new checkpoint, so that the calls after the checkpoint can be replayed.

use crate::model::{EncodableCall, GapReason};
use crate::segment_writer::RecordedItem;
use wingfold_director::interface::{Action, Event, Micros, Timestamp};
use wingfold_director::Director;

/// The shortest time from a dropped call to the next checkpoint: writing a checkpoint costs as much as a few
/// calls.
const CHECKPOINT_RETRY_INTERVAL: Micros = Micros(1_000_000);

/// The approximate bytes of an encoded call without its actions and events.
const CALL_OVERHEAD_BYTES: usize = 64;
/// The approximate bytes of an encoded event.
const EVENT_BYTES: usize = 48;

/// The queue into which a recorder puts recorded items. The methods must not wait.
pub trait RecorderQueue {
    /// Whether the queue has room for an item of `bytes` bytes now.
    fn has_room(&self, bytes: usize) -> bool;
    /// Adds an item; `false` if the queue had no room for the item.
    fn push(&mut self, item: RecordedItem) -> bool;
    /// Whether the writer is ready to begin a new segment, for which it needs a checkpoint.
    fn wants_checkpoint(&self) -> bool;
    /// Ends the capture, for queues that write the segments themselves; returns the first write error.
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

/// Whether the recorder records calls or drops them.
#[derive(Debug, PartialEq)]
enum State {
    /// Calls are recorded.
    Recording,
    /// Calls are dropped at least until this time, and until the queue has room for a checkpoint.
    Paused(Timestamp),
}

/// Records the calls of one director.
#[derive(Debug)]
pub struct Recorder<Q> {
    queue: Q,
    /// The number of the next call.
    next_call: u64,
    state: State,
    /// The size of the last checkpoint, as an estimate of the size of the next one.
    checkpoint_bytes: usize,
    dropped_calls: u64,
    /// The encoded actions of the last call; the buffer is reused for the next call.
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

    /// The number of calls that were not recorded because the queue was full.
    pub fn dropped_calls(&self) -> u64 {
        self.dropped_calls
    }

    /// The queue into which the recorder puts its items.
    pub fn queue(&mut self) -> &mut Q {
        &mut self.queue
    }

    /// To be called before each call of the director: records a checkpoint if one is due.
    pub fn before_call(&mut self, at: Timestamp, director: &Director) {
        if !self.is_checkpoint_due(at) {
            return;
        }
        if self.record_checkpoint(at, director) {
            self.state = State::Recording;
        } else if self.state != State::Recording {
            self.pause(at);
        }
        // If the queue has no room for a checkpoint while calls are recorded, the calls still go into the
        // current segment, and the writer continues to ask for a checkpoint.
    }

    /// To be called after each call of the director: records the call, and returns its number. `digest` is
    /// [`Director::digest`] after the call.
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

    /// Records a checkpoint; `false` if the queue has no room for the checkpoint.
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

    /// Why calls before a checkpoint that is recorded now were dropped, if any were.
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
        let actions = postcard::to_extend(actions, buffer).expect("encoding actions into memory cannot fail");
        let call = EncodableCall { number, at, events, actions: &actions, digest };
        let capacity = CALL_OVERHEAD_BYTES + actions.len() + EVENT_BYTES * events.len();
        let bytes = postcard::to_extend(&call, Vec::with_capacity(capacity))
            .expect("encoding calls into memory cannot fail");
        self.action_buffer = actions;
        bytes
    }
}
