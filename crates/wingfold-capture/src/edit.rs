//! Makes one segment of a part of a capture: it begins with the state at that part's first call, so that it replays
//! alone.

use crate::model::{pack, Call, CallOut, Head, Reason};
use crate::reader::Entry;
use crate::replay::{Mode, Replayer, Unusable};
use crate::scribe::{Do, Item, Limits, Scribe};
use wingfold_director::interface::{Micros, Timestamp};

/// Writes one segment in memory.
#[derive(Debug)]
pub struct Assembler {
    scribe: Scribe,
    work: Vec<Do>,
    bytes: Vec<u8>,
}

impl Assembler {
    /// For calls of this capture.
    pub fn new(head: &Head) -> Self {
        let limits = Limits { segment_bytes: u64::MAX, segment_age: Micros(u64::MAX), ..Limits::default() };
        let head = Head { segment: 0, ..head.clone() };
        Assembler { scribe: Scribe::new(head, limits, Vec::new()), work: Vec::new(), bytes: Vec::new() }
    }

    fn take(&mut self, item: Item) {
        self.scribe.take(item, &mut self.work);
        self.collect();
    }

    fn collect(&mut self) {
        for what in self.work.drain(..) {
            if let Do::Append(bytes, _) = what {
                self.bytes.extend(bytes);
            }
        }
    }

    /// The state before a call.
    pub fn checkpoint(&mut self, call: u64, at: Timestamp, bytes: Vec<u8>, reason: Option<Reason>) {
        self.take(Item::Checkpoint { call, at, bytes, reason });
    }

    /// A call.
    pub fn call(&mut self, call: &Call) {
        let Call { number, at, events, actions, digest } = call;
        let out = CallOut { number: *number, at: *at, events, actions, digest: *digest };
        let bytes = postcard::to_allocvec(&out).expect("calls are plain, written to memory");
        self.take(Item::Call { number: *number, at: *at, bytes });
    }

    /// The whole segment.
    pub fn finish(mut self) -> Vec<u8> {
        self.scribe.end(&mut self.work);
        self.collect();
        self.bytes
    }
}

/// The part of a capture from the first call at or after `from` until the last one at or before `until`; `None` if
/// there is no call that can be replayed in it, or calls in it are missing.
pub fn cut(
    entries: impl Iterator<Item = Entry>,
    from: Timestamp,
    until: Timestamp,
) -> Result<Option<Vec<u8>>, Unusable> {
    let mut replayer = Replayer::new(Mode::Strict).within(from, until);
    let mut assembler: Option<(Assembler, u64)> = None;
    for entry in entries {
        if let (Entry::Call(call), Some(director)) = (&entry, replayer.director()) {
            if assembler.is_none() && call.at >= from && call.at <= until {
                let mut begun = Assembler::new(replayer.head());
                begun.checkpoint(call.number, call.at, director.checkpoint(), None);
                assembler = Some((begun, call.number));
            }
        }
        if let Some((call, _)) = replayer.feed(entry)? {
            if let Some((assembler, next)) = assembler.as_mut().filter(|(_, next)| *next == call.number) {
                assembler.call(&call);
                *next += 1;
            }
        }
        if replayer.done() {
            break;
        }
    }
    Ok(assembler.map(|(assembler, _)| assembler.finish()))
}

/// The same events with the answers of this build: for a case whose module was changed on purpose.
pub fn accept(entries: impl Iterator<Item = Entry>) -> Result<Option<Vec<u8>>, Unusable> {
    let mut replayer = Replayer::new(Mode::Compare);
    let mut assembler: Option<Assembler> = None;
    for entry in entries {
        let checkpoint = match &entry {
            Entry::Checkpoint(head, _) => Some((head.call, head.at)),
            _ => None,
        };
        let answered = replayer.feed(entry)?.map(|(call, actions)| (call, pack(actions)));
        if let (Some((call, at)), Some(director)) = (checkpoint, replayer.director()) {
            if assembler.is_none() {
                let mut begun = Assembler::new(replayer.head());
                begun.checkpoint(call, at, director.checkpoint(), None);
                assembler = Some(begun);
            }
        }
        if let (Some((call, actions)), Some(director)) = (answered, replayer.director()) {
            if let Some(assembler) = &mut assembler {
                assembler.call(&Call { actions, digest: director.digest(), ..call });
            }
        }
    }
    Ok(assembler.map(Assembler::finish))
}
