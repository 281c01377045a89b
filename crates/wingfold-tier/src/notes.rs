//! Notes: what each director has learned of hosts, as its zones see them. Each owner numbers its notes; a newer note of a host
//! takes the place of the older one. Two directors compare how far they know each owner's numbers and send each other what
//! is missing, in the order of the numbers, so that a lost datagram is made up for by the next exchange. What cannot wait is
//! pushed at once, out of that order. (The reconciliation is that of Scuttlebutt: van Renesse et al., 2008.)

use std::collections::BTreeMap;
use wingfold_director::interface::{Micros, Timestamp};

/// Bytes of a note in a datagram.
pub const NOTE: usize = 12;
/// Bytes of a digest's entry.
const ENTRY: usize = 10;
/// Owner, life, and the numbers that a part begins and ends with, before its notes.
const PREFIX: usize = 14;
/// A digest that names fewer owners names all that its sender knows.
const WHOLE: usize = 10;
/// What is older says nothing any more, and is told to nobody.
pub const STALE: Micros = Micros(60_000_000);
/// Notes of one owner that are kept: far more than any site has of hosts that stand out.
const MOST: usize = 8192;

/// How an owner's zone treats a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stands {
    /// In its tables.
    In,
    /// Taken out.
    Out,
    /// On trial.
    Trial,
}

/// What an owner says of a host, as one of its zones sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// How it stands.
    pub stands: Stands,
    /// Halvings in force.
    pub step: u8,
    /// It started lately, and may be cold.
    pub cold: bool,
    /// Tries that this goes by, up to 255.
    pub tries: u8,
    /// The share of them that was lost, in 255ths.
    pub loss: u8,
    /// Mean time of good answers, in ms.
    pub latency_ms: u16,
}

/// Which host, as which zone sees it: the zone by its place in the settings, the host by a short hash.
pub type Key = (u8, u32);

/// A word with the time it was true.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Note {
    /// What is said.
    pub word: Word,
    /// When it was last known to be so, by this director's clock.
    pub at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Owner {
    life: u32,
    /// All of its numbers up to this one are known.
    known: u32,
    notes: BTreeMap<Key, (u32, Note)>,
}

/// All notes that a director has.
#[derive(Clone, Debug)]
pub struct Notes {
    me: u16,
    owners: BTreeMap<u16, Owner>,
    /// Where the next digest begins, if not all owners fit into one.
    turn: u16,
    /// Own notes that cannot wait, and how often each has still to be pushed.
    urgent: BTreeMap<Key, u32>,
}

/// A note that has come and is new here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fresh {
    /// Whose it is.
    pub owner: u16,
    /// Which host, as which zone sees it.
    pub key: Key,
    /// What it says.
    pub note: Note,
}

/// What is pushed at once is pushed so often: one datagram may be lost.
const PUSHES: u32 = 2;

impl Notes {
    /// Of a director in a life of its own.
    pub fn new(me: u16, life: u32) -> Self {
        let mine = Owner { life, ..Owner::default() };
        Notes { me, owners: BTreeMap::from([(me, mine)]), turn: 0, urgent: BTreeMap::new() }
    }

    /// This director is in another life now: its numbers begin anew.
    pub fn live(&mut self, life: u32) {
        let mine = self.owners.entry(self.me).or_default();
        if mine.life != life {
            let notes = std::mem::take(&mut mine.notes);
            *mine = Owner { life, ..Owner::default() };
            for (key, (_, note)) in notes {
                mine.known += 1;
                mine.notes.insert(key, (mine.known, note));
            }
        }
    }

    /// What this director has learned, as it is now: every host that stands out. One that stood out and does no more is
    /// told as that, once. Gives whether something new cannot wait.
    pub fn publish(&mut self, now: Timestamp, all: &BTreeMap<Key, Word>) -> bool {
        let plain = Word { stands: Stands::In, step: 0, cold: false, tries: 0, loss: 0, latency_ms: 0 };
        let Some(mine) = self.owners.get_mut(&self.me) else { return false };
        let gone: Vec<Key> = mine
            .notes
            .iter()
            .filter(|(key, (_, note))| {
                !all.contains_key(key)
                    && (note.word.stands, note.word.step, note.word.cold) != (Stands::In, 0, false)
            })
            .map(|(key, _)| *key)
            .collect();
        let mut urgent = false;
        for (key, word) in
            all.iter().map(|(key, word)| (*key, *word)).chain(gone.into_iter().map(|key| (key, plain)))
        {
            let before = mine.notes.get(&key).map(|(_, note)| *note);
            let turned = |before: &Word| {
                (before.stands, before.step, before.cold) != (word.stands, word.step, word.cold)
            };
            // Evidence alone grows old by itself; it is told anew only now and then.
            let old = |note: &Note| now.since(note.at) > STALE.secs() / 6.0;
            let tells = before.is_none_or(|note| turned(&note.word) || old(&note) && note.word != plain);
            if tells && mine.notes.len() < MOST {
                mine.known += 1;
                mine.notes.insert(key, (mine.known, Note { word, at: now }));
            }
            let outs =
                before.is_none_or(|note| note.word.stands != Stands::Out) && word.stands == Stands::Out;
            let colds = word.cold && before.is_none_or(|note| !note.word.cold);
            if outs || colds {
                self.urgent.insert(key, PUSHES);
                urgent = true;
            }
        }
        // What is plain and has been so for long needs no note.
        let fades = |note: &Note| note.word == plain && now.since(note.at) > STALE.secs();
        mine.notes.retain(|_, (_, note)| !fades(note));
        urgent
    }

    /// Up to where the notes of each owner are known, within so many bytes.
    pub fn digest(&mut self, room: usize) -> Vec<u8> {
        let most = room / ENTRY;
        let ids: Vec<u16> = self.owners.keys().copied().collect();
        let from = ids.partition_point(|id| *id < self.turn);
        let mut bytes = Vec::new();
        for id in ids[from..].iter().chain(&ids[..from]).take(most) {
            let owner = &self.owners[id];
            bytes.extend(id.to_be_bytes());
            bytes.extend(owner.life.to_be_bytes());
            bytes.extend(owner.known.to_be_bytes());
            self.turn = id.wrapping_add(1);
        }
        bytes
    }

    /// What a peer lacks by its digest: parts of notes, each of one owner and of at most `room` bytes, so many parts at most. An
    /// owner's notes go in the order of their numbers, each part on from where the one before it ended; what cannot wait for
    /// its turn was pushed.
    pub fn missing(&self, now: Timestamp, digest: &[u8], room: usize, most: usize) -> Vec<Vec<u8>> {
        let mut parts = Vec::new();
        let mut known: BTreeMap<u16, (u32, u32)> = BTreeMap::new();
        for entry in digest.chunks_exact(ENTRY) {
            let four =
                |at: usize| u32::from_be_bytes([entry[at], entry[at + 1], entry[at + 2], entry[at + 3]]);
            known.insert(u16::from_be_bytes([entry[0], entry[1]]), (four(2), four(6)));
        }
        // A digest that names many owners may be one of several: owners that it does not name are not missing.
        let all = known.len() < WHOLE;
        let fits = room.saturating_sub(PREFIX) / NOTE;
        for (id, owner) in &self.owners {
            let mut base = match known.get(id) {
                Some((life, _)) if *life > owner.life => continue,
                Some((life, known)) if *life == owner.life => *known,
                Some(_) => 0,
                None if all => 0,
                None => continue,
            };
            if base >= owner.known || fits == 0 {
                continue;
            }
            let lacks = owner.notes.iter().filter(|(_, (number, _))| *number > base);
            let mut lacks: Vec<(u32, Key, Note)> =
                lacks.map(|(key, (number, note))| (*number, *key, *note)).collect();
            lacks.sort_unstable_by_key(|(number, ..)| *number);
            let pieces: Vec<&[(u32, Key, Note)]> =
                if lacks.is_empty() { vec![&[]] } else { lacks.chunks(fits).collect() };
            for (at, piece) in pieces.iter().enumerate() {
                if parts.len() == most {
                    return parts;
                }
                // Numbers that other notes have taken the place of are known as well, up to the last one told.
                let last = at + 1 == pieces.len();
                let upto = if last { owner.known } else { piece.last().map_or(base, |note| note.0) };
                let mut part = id.to_be_bytes().to_vec();
                part.extend(owner.life.to_be_bytes());
                part.extend(base.to_be_bytes());
                part.extend(upto.to_be_bytes());
                part.extend(piece.iter().flat_map(|(_, key, note)| encode(now, *key, note)));
                parts.push(part);
                base = upto;
            }
        }
        parts
    }

    /// Own notes that cannot wait, within so many bytes.
    pub fn push(&mut self, now: Timestamp, room: usize) -> Vec<u8> {
        let Some(mine) = self.owners.get(&self.me) else { return Vec::new() };
        let fits = room.saturating_sub(6) / (NOTE + 4);
        let keys: Vec<Key> = self.urgent.keys().copied().take(fits).collect();
        if keys.is_empty() {
            return Vec::new();
        }
        let mut bytes = Vec::new();
        bytes.extend(self.me.to_be_bytes());
        bytes.extend(mine.life.to_be_bytes());
        for key in keys {
            if let Some((number, note)) = mine.notes.get(&key) {
                bytes.extend(number.to_be_bytes());
                bytes.extend(encode(now, key, note));
            }
        }
        bytes
    }

    /// What was pushed went to all that are alive: once less is left to do.
    pub fn pushed(&mut self) {
        self.urgent.retain(|_, left| {
            *left -= 1;
            *left > 0
        });
    }

    /// Takes a part of notes in their order; gives those that are new.
    pub fn take(&mut self, now: Timestamp, part: &[u8], out: &mut Vec<Fresh>) {
        let Some((head, notes)) = part.split_at_checked(PREFIX) else { return };
        let four = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (id, life, base, upto) = (u16::from_be_bytes([head[0], head[1]]), four(2), four(6), four(10));
        if id == self.me {
            return; // Nobody knows this director's own notes better.
        }
        let owner = self.owners.entry(id).or_default();
        if life < owner.life {
            return;
        }
        if life > owner.life {
            *owner = Owner { life, ..Owner::default() };
        }
        // A part that begins beyond what is known would leave a hole: the next digest asks for it.
        if base > owner.known || upto <= owner.known {
            return;
        }
        let count = notes.len() / NOTE;
        for (at, bytes) in notes.chunks_exact(NOTE).enumerate() {
            let Some((key, note)) = decode(now, bytes) else { continue };
            // Numbers themselves are not told: only their order, and the last one.
            let number = upto.saturating_sub((count - 1 - at) as u32);
            put(owner, id, key, number, note, out);
        }
        owner.known = upto;
    }

    /// Takes a part of notes that were pushed.
    pub fn take_urgent(&mut self, now: Timestamp, part: &[u8], out: &mut Vec<Fresh>) {
        let Some((head, notes)) = part.split_at_checked(6) else { return };
        let id = u16::from_be_bytes([head[0], head[1]]);
        let life = u32::from_be_bytes([head[2], head[3], head[4], head[5]]);
        if id == self.me {
            return;
        }
        let owner = self.owners.entry(id).or_default();
        if life < owner.life {
            return;
        }
        if life > owner.life {
            *owner = Owner { life, ..Owner::default() };
        }
        for bytes in notes.chunks_exact(NOTE + 4) {
            let number = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
            if let Some((key, note)) = decode(now, &bytes[4..]) {
                put(owner, id, key, number, note, out);
            }
        }
    }

    /// All notes of others that are not stale.
    pub fn others(&self, now: Timestamp) -> impl Iterator<Item = (u16, Key, Note)> + '_ {
        let others = self.owners.iter().filter(|(id, _)| **id != self.me);
        let notes =
            others.flat_map(|(id, owner)| owner.notes.iter().map(move |(key, (_, note))| (*id, *key, *note)));
        notes.filter(move |(.., note)| now.since(note.at) <= STALE.secs())
    }

    /// How far each owner's notes are known: life and number.
    pub fn known(&self) -> impl Iterator<Item = (u16, (u32, u32))> + '_ {
        self.owners.iter().map(|(id, owner)| (*id, (owner.life, owner.known)))
    }

    /// What an owner is known to say of a host.
    pub fn of(&self, owner: u16, key: Key) -> Option<(u32, Note)> {
        self.owners.get(&owner)?.notes.get(&key).copied()
    }
}

fn put(owner: &mut Owner, id: u16, key: Key, number: u32, note: Note, out: &mut Vec<Fresh>) {
    // A newer note was pushed before: it stays.
    if owner.notes.get(&key).is_some_and(|(known, _)| *known >= number) {
        return;
    }
    if owner.notes.len() < MOST || owner.notes.contains_key(&key) {
        owner.notes.insert(key, (number, note));
        out.push(Fresh { owner: id, key, note });
    }
}

/// A note with its age: clocks of two directors need not agree.
fn encode(now: Timestamp, (zone, host): Key, note: &Note) -> [u8; NOTE] {
    let age = (now.since(note.at) * 10.0).min(f64::from(u16::MAX)) as u16;
    let Word { stands, step, cold, tries, loss, latency_ms } = note.word;
    let mut bytes = [0; NOTE];
    bytes[0] = zone;
    bytes[1..5].copy_from_slice(&host.to_be_bytes());
    bytes[5] = stands as u8 | step.min(3) << 2 | u8::from(cold) << 4;
    bytes[6..8].copy_from_slice(&age.to_be_bytes());
    (bytes[8], bytes[9]) = (tries, loss);
    bytes[10..12].copy_from_slice(&latency_ms.to_be_bytes());
    bytes
}

fn decode(now: Timestamp, bytes: &[u8]) -> Option<(Key, Note)> {
    let stands =
        [Stands::In, Stands::Out, Stands::Trial].into_iter().find(|one| *one as u8 == bytes[5] & 3)?;
    let two = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    let host = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
    let age = u64::from(two(6)) * 100_000;
    let word = Word {
        stands,
        step: bytes[5] >> 2 & 3,
        cold: bytes[5] >> 4 & 1 == 1,
        tries: bytes[8],
        loss: bytes[9],
        latency_ms: two(10),
    };
    Some(((bytes[0], host), Note { word, at: Timestamp(now.0.saturating_sub(age)) }))
}
