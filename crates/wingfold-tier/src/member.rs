//! Who of the tier is alive, suspect, gone or left in good order. Each period one member is pinged; one that does not
//! answer is asked after through others (a path may be cut one way), then suspect, then gone. A member that hears itself
//! doubted says so in a newer turn. Members that are gone are still asked now and then: a split heals by itself.
//!
//! The scheme is that of SWIM (Das, Gupta and Motivala, 2002), with suspicion and turns; lives tell restarts apart.

use crate::wire::{Head, Kind};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use wingfold_director::interface::{Micros, Timestamp};

/// One member is pinged so often.
pub const PERIOD: Micros = Micros(1_000_000);
/// A ping that was not answered by then is asked after through others.
const ANSWER: u64 = 400_000;
/// So many others are asked.
const OTHERS: usize = 2;
/// A suspect that says nothing for so many periods, and one more for each doubling of the tier, is gone.
const SUSPECT_PERIODS: u64 = 4;
/// Of so many pings one goes to a member that is gone.
const GONE_EVERY: u64 = 5;
/// News of a member is told along with so many datagrams, for each doubling of the tier.
const TELLS: u32 = 4;
/// Bytes that a member takes in a datagram.
const ENTRY: usize = 10;
/// Members told of in one datagram.
const ENTRIES: usize = 6;
/// What waits for an answer on another's behalf is bounded.
const FORWARDED: usize = 64;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Never heard of.
    Unknown,
    /// It answers.
    Alive,
    /// It did not answer lately.
    Suspect,
    /// It has not answered for long.
    Gone,
    /// It said goodbye.
    Left,
}

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// How it stands.
    pub standing: Standing,
    /// Its life: a restart begins a new one.
    pub life: u32,
    /// Its turn in that life: it grows when the member contradicts a doubt.
    pub turn: u16,
    /// Since when it stands so, by this director's clock.
    pub since: Timestamp,
}

/// What happened that others should know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member stands otherwise now.
    Stands(u16, Standing),
    /// A member has begun a new life: what was known of the old one may be old.
    Restarted(u16),
}

/// What is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Send {
    /// To whom.
    pub to: u16,
    /// The head; parts come from members and notes.
    pub head: Head,
}

/// The members as one director sees them.
#[derive(Debug)]
pub struct Membership {
    me: u16,
    life: u32,
    turn: u16,
    members: BTreeMap<u16, Member>,
    /// How often news of a member has still to be told.
    tells: BTreeMap<u16, u32>,
    order: Vec<u16>,
    next: u64,
    periods: u64,
    number: u16,
    /// The ping of this period: its number, whom, when, and whether others were asked.
    asked: Option<(u16, u16, Timestamp, bool)>,
    /// Pings made for others: number here, who wants to know, its number, when.
    forwarded: VecDeque<(u16, u16, u16, u16, Timestamp)>,
    chance: ChaCha8Rng,
    left: bool,
}

/// Whether one thing said of a member is newer than another.
fn newer(life: u32, turn: u16, standing: Standing, known: &Member) -> bool {
    // Lives and turns only grow. In one turn a doubt goes before its contrary, and a goodbye before all.
    let rank = |standing| match standing {
        Standing::Unknown => 0,
        Standing::Alive => 1,
        Standing::Suspect => 2,
        Standing::Gone => 3,
        Standing::Left => 4,
    };
    (life, turn, rank(standing)) > (known.life, known.turn, rank(known.standing))
}

impl Membership {
    /// For member `me` of so many, in a life that is most likely newer than its last one; it corrects that by itself.
    pub fn new(me: u16, count: u16, life: u32, seed: u64, now: Timestamp) -> Self {
        let unknown = Member { standing: Standing::Unknown, life: 0, turn: 0, since: now };
        let members: BTreeMap<u16, Member> =
            (0..count).filter(|at| *at != me).map(|at| (at, unknown)).collect();
        Membership {
            me,
            life: life.max(1),
            turn: 0,
            order: members.keys().copied().collect(),
            members,
            tells: BTreeMap::new(),
            next: now.0,
            periods: 0,
            number: 0,
            asked: None,
            forwarded: VecDeque::new(),
            chance: ChaCha8Rng::seed_from_u64(seed),
            left: false,
        }
    }

    /// This director's life.
    pub fn life(&self) -> u32 {
        self.life
    }

    /// Every other member.
    pub fn members(&self) -> impl Iterator<Item = (u16, &Member)> {
        self.members.iter().map(|(at, member)| (*at, member))
    }

    /// How a member stands.
    pub fn standing(&self, member: u16) -> Standing {
        self.members.get(&member).map_or(Standing::Unknown, |member| member.standing)
    }

    /// A member that is alive, by chance.
    pub fn one_alive(&mut self) -> Option<u16> {
        let alive: Vec<u16> =
            self.members.iter().filter(|(_, m)| m.standing == Standing::Alive).map(|(at, _)| *at).collect();
        (!alive.is_empty()).then(|| alive[self.chance.random_range(0..alive.len())])
    }

    fn doublings(&self) -> u64 {
        u64::from((self.members.len() as u64 + 1).next_power_of_two().trailing_zeros())
    }

    fn head(&mut self, kind: Kind, about: u16) -> Head {
        self.number = self.number.wrapping_add(1);
        Head { kind, from: self.me, life: self.life, number: self.number, about }
    }

    fn set(
        &mut self,
        now: Timestamp,
        at: u16,
        standing: Standing,
        life: u32,
        turn: u16,
        out: &mut Vec<Change>,
    ) {
        let tells = TELLS * (self.doublings() as u32).max(1);
        let Some(member) = self.members.get_mut(&at) else { return };
        let (was, restarted) = (member.standing, member.life != 0 && life > member.life);
        let since = if was == standing { member.since } else { now };
        *member = Member { standing, life, turn, since };
        self.tells.insert(at, tells);
        if restarted {
            out.push(Change::Restarted(at));
        }
        if was != standing {
            out.push(Change::Stands(at, standing));
        }
    }

    /// Something of a member's own life came from itself: it is there.
    fn seen(&mut self, now: Timestamp, at: u16, life: u32, out: &mut Vec<Change>) {
        let Some(member) = self.members.get(&at).copied() else { return };
        if life < member.life {
            return; // A datagram of an earlier life.
        }
        let turn = if life > member.life { 0 } else { member.turn };
        // A late datagram must not revive one that said goodbye, or one that others hold gone in this very turn: it will
        // contradict them itself, once it hears of it.
        let fresh = life > member.life || matches!(member.standing, Standing::Unknown | Standing::Suspect);
        if fresh || member.standing == Standing::Gone {
            self.set(now, at, Standing::Alive, life, turn, out);
        }
    }

    /// Time has passed: what is due is sent.
    pub fn tick(&mut self, now: Timestamp, sends: &mut Vec<Send>, out: &mut Vec<Change>) {
        if self.left || self.members.is_empty() {
            return;
        }
        if let Some((number, whom, at, false)) = self.asked {
            if now.0 >= at.0 + ANSWER {
                self.asked = Some((number, whom, at, true));
                let alive = |(other, member): (&u16, &Member)| {
                    (*other != whom && member.standing == Standing::Alive).then_some(*other)
                };
                let mut others: Vec<u16> = self.members.iter().filter_map(alive).collect();
                others.shuffle(&mut self.chance);
                for to in others.into_iter().take(OTHERS) {
                    let head =
                        Head { kind: Kind::PingFor, from: self.me, life: self.life, number, about: whom };
                    sends.push(Send { to, head });
                }
            }
        }
        if now.0 < self.next {
            return;
        }
        self.next = now.0 + PERIOD.0;
        self.periods += 1;
        if let Some((_, whom, ..)) = self.asked.take() {
            let member = self.members[&whom];
            if member.standing == Standing::Alive {
                self.set(now, whom, Standing::Suspect, member.life, member.turn, out);
            }
        }
        let long = (SUSPECT_PERIODS + self.doublings()) * PERIOD.0;
        let over: Vec<u16> = self
            .members
            .iter()
            .filter(|(_, m)| m.standing == Standing::Suspect && now.0 >= m.since.0 + long)
            .map(|(at, _)| *at)
            .collect();
        for at in over {
            let member = self.members[&at];
            self.set(now, at, Standing::Gone, member.life, member.turn, out);
        }
        if let Some(whom) = self.pick() {
            let head = self.head(Kind::Ping, self.me);
            self.asked = Some((head.number, whom, now, false));
            sends.push(Send { to: whom, head });
        }
    }

    /// Whom to ask: each in turn, in an order drawn anew each time round; of those that are gone or left, one now and then.
    fn pick(&mut self) -> Option<u16> {
        let away = |member: &Member| matches!(member.standing, Standing::Gone | Standing::Left);
        let gone: Vec<u16> = self.members.iter().filter(|(_, m)| away(m)).map(|(at, _)| *at).collect();
        if !gone.is_empty() && (self.periods.is_multiple_of(GONE_EVERY) || gone.len() == self.members.len()) {
            return Some(gone[self.chance.random_range(0..gone.len())]);
        }
        for _ in 0..2 {
            while let Some(at) = self.order.pop() {
                if !away(&self.members[&at]) {
                    return Some(at);
                }
            }
            self.order = self.members.keys().copied().collect();
            let mut order = std::mem::take(&mut self.order);
            order.shuffle(&mut self.chance);
            self.order = order;
        }
        None
    }

    /// A datagram's head came from another member.
    pub fn heard(&mut self, now: Timestamp, head: Head, sends: &mut Vec<Send>, out: &mut Vec<Change>) {
        if head.from == self.me || !self.members.contains_key(&head.from) || self.left {
            return;
        }
        self.seen(now, head.from, head.life, out);
        match head.kind {
            Kind::Ping => {
                let answer = Head {
                    kind: Kind::Ack,
                    from: self.me,
                    life: self.life,
                    number: head.number,
                    about: self.me,
                };
                sends.push(Send { to: head.from, head: answer });
            }
            Kind::PingFor if self.members.contains_key(&head.about) => {
                let ping = self.head(Kind::Ping, self.me);
                self.forwarded.push_back((ping.number, head.about, head.from, head.number, now));
                while self.forwarded.len() > FORWARDED
                    || self.forwarded.front().is_some_and(|(.., at)| now.0 > at.0 + 2 * PERIOD.0)
                {
                    self.forwarded.pop_front();
                }
                sends.push(Send { to: head.about, head: ping });
            }
            Kind::Ack => {
                // About itself: it answers here. About another: it was asked for us, and that one answered it.
                if self.asked.is_some_and(|(number, whom, ..)| number == head.number && whom == head.about) {
                    self.asked = None;
                    if head.about != head.from {
                        let life = self.members[&head.about].life;
                        self.seen(now, head.about, life, out);
                    }
                }
                let waits =
                    |entry: &(u16, u16, u16, u16, Timestamp)| entry.0 == head.number && entry.1 == head.from;
                if let Some(at) = self.forwarded.iter().position(waits) {
                    if let Some((_, about, to, number, _)) = self.forwarded.remove(at) {
                        let answer = Head { kind: Kind::Ack, from: self.me, life: self.life, number, about };
                        sends.push(Send { to, head: answer });
                    }
                }
            }
            _ => {}
        }
    }

    /// What is told of members along with a datagram, within so many bytes.
    pub fn gossip(&mut self, room: usize) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut add = |at: u16, standing: Standing, life: u32, turn: u16| {
            bytes.extend(at.to_be_bytes());
            bytes.push(standing as u8);
            bytes.extend(life.to_be_bytes());
            bytes.extend(turn.to_be_bytes());
            bytes.push(0);
        };
        let entries = (room / ENTRY).min(ENTRIES);
        if entries == 0 {
            return bytes;
        }
        let me = if self.left { Standing::Left } else { Standing::Alive };
        add(self.me, me, self.life, self.turn);
        // What was told least goes first.
        let mut open: Vec<(u32, u16)> = self.tells.iter().map(|(at, tells)| (*tells, *at)).collect();
        open.sort_by_key(|(tells, at)| (std::cmp::Reverse(*tells), *at));
        for (tells, at) in open.into_iter().take(entries - 1) {
            let member = self.members[&at];
            add(at, member.standing, member.life, member.turn);
            if tells > 1 {
                self.tells.insert(at, tells - 1)
            } else {
                self.tells.remove(&at)
            };
        }
        bytes
    }

    /// What another director says of members.
    pub fn told(&mut self, now: Timestamp, bytes: &[u8], out: &mut Vec<Change>) {
        for entry in bytes.chunks_exact(ENTRY) {
            let at = u16::from_be_bytes([entry[0], entry[1]]);
            let life = u32::from_be_bytes([entry[3], entry[4], entry[5], entry[6]]);
            let turn = u16::from_be_bytes([entry[7], entry[8]]);
            let standing = match entry[2] {
                1 => Standing::Alive,
                2 => Standing::Suspect,
                3 => Standing::Gone,
                4 => Standing::Left,
                _ => continue,
            };
            if at == self.me {
                self.contradict(life, turn, standing);
                continue;
            }
            let Some(known) = self.members.get(&at).copied() else { continue };
            if newer(life, turn, standing, &known) {
                self.set(now, at, standing, life, turn, out);
            }
        }
    }

    /// Others doubt this director, or remember a life of it that seems newer: it goes beyond what they say.
    fn contradict(&mut self, life: u32, turn: u16, standing: Standing) {
        if life > self.life {
            // The clock was wrong at one of the starts, or ran backwards.
            (self.life, self.turn) = (life.saturating_add(1), 0);
        } else if life == self.life && turn >= self.turn && standing >= Standing::Suspect && !self.left {
            self.turn = turn.saturating_add(1);
            if self.turn == u16::MAX {
                (self.life, self.turn) = (self.life.saturating_add(1), 0);
            }
        }
    }

    /// This director ends in good order: all that are alive are told.
    pub fn leave(&mut self, sends: &mut Vec<Send>) {
        self.left = true;
        let alive: Vec<u16> =
            self.members.iter().filter(|(_, m)| m.standing <= Standing::Suspect).map(|(at, _)| *at).collect();
        for to in alive {
            let head = self.head(Kind::News, self.me);
            sends.push(Send { to, head });
        }
    }
}
