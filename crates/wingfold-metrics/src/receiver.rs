//! One receiver: what waits for it, when it is dialled, given up on and tried again. Whole intervals wait, within a bound
//! of bytes, and the oldest go first; one that is half written when a connection ends is written anew, from its beginning.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::sync::Arc;
use wingfold_director::interface::{Micros, Timestamp};

/// The rules that a receiver is held to.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Bytes that may wait for it.
    pub most: usize,
    /// Time for a connection to come up, looking its name up included.
    pub connect: Micros,
    /// Time for one interval's bytes to be taken. One that takes bytes more slowly is cut off.
    pub write: Micros,
    /// First pause after a failure, doubled with each further one up to the longest; a quarter of it is drawn by chance,
    /// so that many directors do not come back at once.
    pub pause: Micros,
    /// The longest.
    pub longest: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            most: 1 << 20,
            connect: Micros(2_000_000),
            write: Micros(10_000_000),
            pause: Micros(1_000_000),
            longest: Micros(60_000_000),
        }
    }
}

/// Why an interval did not reach a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    /// Too much waited: it was the oldest.
    Full,
    /// It alone is larger than all that may wait.
    Large,
    /// The receiver was taken out of the settings.
    Gone,
}

impl Dropped {
    /// As it is counted.
    pub fn name(self) -> &'static str {
        ["full", "large", "gone"][self as usize]
    }
}

/// What a receiver's shell tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An interval's bytes, in pieces that may be written one by one (lines, messages, packets).
    Interval(u64, Arc<[u8]>),
    /// The connection asked for is up.
    Up,
    /// It could not be made, or it ended.
    Down,
    /// So many bytes of what was to be written were taken.
    Took(usize),
    /// Time has passed.
    Tick,
}

/// What its shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Make a connection.
    Dial,
    /// Write these bytes, from the offset on.
    Write(Arc<[u8]>, usize),
    /// End the connection, or give up making it.
    Hang,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// No connection, and none is wanted.
    Idle,
    /// Since when one is being made.
    Dialling(Timestamp),
    /// Up; since when the present interval is being written, if one is.
    Up(Option<Timestamp>),
    /// Failed; tried again at the time given.
    Pausing(Timestamp),
}

/// What has become of its intervals and connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Intervals dropped, by reason.
    pub dropped: [u64; 3],
    /// Bytes taken.
    pub sent: u64,
    /// Intervals written whole.
    pub intervals: u64,
    /// Connections that failed or were given up on.
    pub cuts: u64,
}

/// One receiver.
#[derive(Debug)]
pub struct Receiver {
    rules: Rules,
    state: State,
    queue: VecDeque<(u64, Arc<[u8]>)>,
    bytes: usize,
    /// Bytes of the first in the queue that were taken on this connection.
    taken: usize,
    failures: u32,
    chance: ChaCha8Rng,
    /// What became of all so far.
    pub counts: Counts,
    /// Since when it has been well: it took a whole interval and has not failed since.
    well: Option<Timestamp>,
}

impl Receiver {
    /// With its rules, and chance from a seed.
    pub fn new(rules: Rules, seed: u64) -> Self {
        Receiver {
            rules,
            state: State::Idle,
            queue: VecDeque::new(),
            bytes: 0,
            taken: 0,
            failures: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            counts: Counts::default(),
            well: None,
        }
    }

    /// Bytes that wait.
    pub fn waiting(&self) -> usize {
        self.bytes
    }

    /// Since when it has been well.
    pub fn well_since(&self) -> Option<Timestamp> {
        self.well
    }

    /// It failed and has not come back: others may take its part.
    pub fn is_down(&self) -> bool {
        self.failures > 0 && !matches!(self.state, State::Up(_)) || self.failures > 1
    }

    /// When `Tick` is next needed; `None`: not before something else happens.
    pub fn due(&self) -> Option<Timestamp> {
        let after = |since: Timestamp, time: Micros| Timestamp(since.0.saturating_add(time.0));
        match self.state {
            State::Dialling(since) => Some(after(since, self.rules.connect)),
            State::Up(Some(since)) => Some(after(since, self.rules.write)),
            State::Pausing(until) => (!self.queue.is_empty()).then_some(until),
            State::Idle | State::Up(None) => None,
        }
    }

    /// Takes what its shell tells, and says what is to be done.
    pub fn take(&mut self, now: Timestamp, input: Input, out: &mut Vec<Order>) {
        match input {
            Input::Interval(number, bytes) => self.queue_up(number, bytes),
            Input::Up => {
                if matches!(self.state, State::Dialling(_)) {
                    self.state = State::Up(None);
                    self.taken = 0;
                }
            }
            Input::Down => self.fail(now),
            Input::Took(bytes) => self.took(now, bytes),
            Input::Tick => {}
        }
        self.go_on(now, out);
    }

    fn queue_up(&mut self, number: u64, bytes: Arc<[u8]>) {
        if bytes.is_empty() {
            return;
        }
        if bytes.len() > self.rules.most {
            self.counts.dropped[Dropped::Large as usize] += 1;
            return;
        }
        self.bytes += bytes.len();
        self.queue.push_back((number, bytes));
        while self.bytes > self.rules.most {
            // The first may be half written on a living connection: then the one after it goes.
            let at = usize::from(matches!(self.state, State::Up(Some(_))));
            if let Some((_, oldest)) = self.queue.remove(at) {
                self.bytes -= oldest.len();
                self.counts.dropped[Dropped::Full as usize] += 1;
            }
        }
    }

    fn took(&mut self, now: Timestamp, bytes: usize) {
        let State::Up(Some(_)) = self.state else { return };
        self.counts.sent += bytes as u64;
        self.taken += bytes;
        let done = self.queue.front().is_some_and(|(_, first)| self.taken >= first.len());
        if done {
            if let Some((_, first)) = self.queue.pop_front() {
                self.bytes -= first.len();
            }
            (self.taken, self.state, self.failures) = (0, State::Up(None), 0);
            self.counts.intervals += 1;
            self.well.get_or_insert(now);
        }
    }

    fn fail(&mut self, now: Timestamp) {
        let pause = self.rules.pause.0.saturating_mul(1 << self.failures.min(16)).min(self.rules.longest.0);
        let drawn = pause * 3 / 4 + (self.chance.random::<f64>() * pause as f64 / 4.0) as u64;
        self.failures = self.failures.saturating_add(1);
        self.counts.cuts += 1;
        (self.taken, self.well) = (0, None);
        self.state = State::Pausing(Timestamp(now.0.saturating_add(drawn)));
    }

    fn go_on(&mut self, now: Timestamp, out: &mut Vec<Order>) {
        let passed = |since: Timestamp, time: Micros| now.0.saturating_sub(since.0) >= time.0;
        match self.state {
            State::Dialling(since) if passed(since, self.rules.connect) => {
                out.push(Order::Hang);
                self.fail(now);
            }
            State::Up(Some(since)) if passed(since, self.rules.write) => {
                out.push(Order::Hang);
                self.fail(now);
            }
            State::Pausing(until) if now >= until => self.state = State::Idle,
            _ => {}
        }
        match (self.state, self.queue.front()) {
            (State::Idle, Some(_)) => {
                self.state = State::Dialling(now);
                out.push(Order::Dial);
            }
            (State::Up(None), Some((_, first))) => {
                out.push(Order::Write(first.clone(), 0));
                self.state = State::Up(Some(now));
            }
            _ => {}
        }
    }

    /// It is taken out of the settings: what waits is dropped.
    pub fn close(&mut self) {
        self.counts.dropped[Dropped::Gone as usize] += self.queue.len() as u64;
        self.queue.clear();
        (self.bytes, self.state) = (0, State::Idle);
    }
}

#[cfg(test)]
mod tests;
