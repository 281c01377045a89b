//! The engine's end of a recorder: numbers the calls, writes each down, and lets go of it where there is no room. It
//! never waits. After calls that were let go of it goes on from a fresh checkpoint, so that what follows replays.

use crate::model::{CallOut, Reason};
use crate::scribe::Item;
use wingfold_director::interface::{Action, Event, Micros, Timestamp};
use wingfold_director::Director;

/// After calls were let go of, the module's state is written down again no sooner than this: writing it costs as much
/// as a few calls, and where there was no room a moment ago there is none yet.
const PAUSE: Micros = Micros(1_000_000);

/// Where recorded items go. None of this may wait.
pub trait Queue {
    /// Whether there is room for an item of so many bytes now.
    fn room(&self, bytes: usize) -> bool;
    /// Takes an item; false where there was no room after all.
    fn put(&mut self, item: Item) -> bool;
    /// Whether the writer wants to begin anew from a checkpoint.
    fn wants_checkpoint(&self) -> bool;
    /// Ends the capture, where that is done here; gives the first thing that went wrong.
    fn end(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<Q: Queue + ?Sized> Queue for Box<Q> {
    fn room(&self, bytes: usize) -> bool {
        (**self).room(bytes)
    }
    fn put(&mut self, item: Item) -> bool {
        (**self).put(item)
    }
    fn wants_checkpoint(&self) -> bool {
        (**self).wants_checkpoint()
    }
    fn end(&mut self) -> std::io::Result<()> {
        (**self).end()
    }
}

#[derive(Debug, PartialEq)]
enum State {
    /// Calls are written down.
    Recording,
    /// Calls are not, until a checkpoint finds room; no sooner than the time given.
    Waiting(Timestamp),
}

/// Records the calls of one director.
#[derive(Debug)]
pub struct Tap<Q> {
    queue: Q,
    next: u64,
    state: State,
    /// Bytes of the last checkpoint: so much room the next one needs.
    usual: usize,
    lost: u64,
    /// Packed actions of the last call: the memory is used again.
    scratch: Vec<u8>,
}

impl<Q: Queue> Tap<Q> {
    /// For a director that has not been called yet.
    pub fn new(queue: Q) -> Self {
        Tap { queue, next: 1, state: State::Waiting(Timestamp(0)), usual: 0, lost: 0, scratch: Vec::new() }
    }

    /// The number of the call that comes next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Calls that were not recorded for want of room.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Its queue.
    pub fn queue(&mut self) -> &mut Q {
        &mut self.queue
    }

    /// Before a call: writes the state down where that is due.
    pub fn before(&mut self, at: Timestamp, director: &Director) {
        let due = match self.state {
            State::Recording => self.queue.wants_checkpoint(),
            State::Waiting(until) => at >= until,
        };
        if !due {
            return;
        }
        let again = State::Waiting(Timestamp(at.0.saturating_add(PAUSE.0)));
        let room = self.queue.room(self.usual + (self.usual >> 3));
        let put = room && {
            let bytes = director.checkpoint();
            self.usual = bytes.len();
            self.queue.put(Item::Checkpoint { call: self.next, at, bytes, reason: self.reason() })
        };
        match (put, &self.state) {
            (true, _) => self.state = State::Recording,
            // Where only a new segment was to begin, the old one goes on; the writer asks again.
            (false, State::Recording) => {}
            (false, State::Waiting(_)) => self.state = again,
        }
    }

    fn reason(&self) -> Option<Reason> {
        (self.state != State::Recording && self.next > 1).then_some(Reason::QueueFull)
    }

    /// After the call: writes it down, with the one number for all tables. Gives the call's number.
    pub fn after(&mut self, at: Timestamp, events: &[Event], actions: &[Action], digest: u64) -> u64 {
        let number = self.next;
        self.next += 1;
        if self.state != State::Recording {
            self.lost += 1;
            return number;
        }
        let mut scratch = std::mem::take(&mut self.scratch);
        scratch.clear();
        let actions = postcard::to_extend(actions, scratch).expect("actions are plain, written to memory");
        let call = CallOut { number, at, events, actions: &actions, digest };
        let room = Vec::with_capacity(64 + actions.len() + 48 * events.len());
        let bytes = postcard::to_extend(&call, room).expect("calls are plain, written to memory");
        self.scratch = actions;
        if !self.queue.put(Item::Call { number, at, bytes }) {
            self.lost += 1;
            self.state = State::Waiting(Timestamp(at.0.saturating_add(PAUSE.0)));
        }
        number
    }
}
