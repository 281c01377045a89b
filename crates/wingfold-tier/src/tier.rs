//! Membership and notes together: what comes in as datagrams goes out as events of the tier, what the module has learned
//! goes out as datagrams. Traffic is bounded: a ping and its answer each period, one exchange of notes each period, and
//! pushes of what cannot wait.

use crate::member::{Change, Membership, Send, Standing, PERIOD};
use crate::notes::{Fresh, Key, Notes, Stands, Word};
use crate::seal::Seals;
use crate::wire::{self, part, Head, Kind, Writer};
use std::collections::BTreeMap;
use wingfold_director::inspect::HostStatus as HostStanding;
use wingfold_director::interface::{HostId, Micros, PeerAdvice, Timestamp, ZoneId};
use wingfold_director::Director;

/// The module's state is looked at so often.
const LOOK: Micros = Micros(500_000);
/// Parts of notes that answer one digest, at most: what is missing beyond them comes with the next exchange.
const ANSWERS: usize = 4;
/// A director that has just begun asks for notes so often, until it has some: it has only lost time so far.
const HURRY: Micros = Micros(100_000);
/// For so long.
const HURRY_FOR: Micros = Micros(2_000_000);

/// What a tier is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// This director's number.
    pub me: u16,
    /// How many there are.
    pub count: u16,
    /// A life that is most likely newer than the last one.
    pub life: u32,
    /// For chance.
    pub seed: u64,
    /// What the directors of a tier share, and others do not: short names of hosts are worked out with it.
    pub name: u64,
    /// Keys; none: datagrams are not sealed.
    pub keys: Vec<Vec<u8>>,
}

/// Counts for figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams and bytes sent.
    pub sent: (u64, u64),
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams that cannot be read, or are of another version.
    pub strange: u64,
    /// Notes that were new here.
    pub notes: u64,
    /// Short names that two hosts share: neither is spoken of.
    pub collisions: u64,
}

/// One director's part in the tier.
#[derive(Debug)]
pub struct Tier {
    plan: Plan,
    members: Membership,
    notes: Notes,
    seals: Seals,
    began: Timestamp,
    looks: Timestamp,
    exchanges: Timestamp,
    fresh: Vec<Fresh>,
    names: BTreeMap<u32, Option<HostId>>,
    /// Counts so far.
    pub counts: Counts,
}

/// Datagrams to send, and what has changed.
#[derive(Debug, Default)]
pub struct Out {
    /// To whom, and what.
    pub datagrams: Vec<(u16, Vec<u8>)>,
    /// Changes of members.
    pub changes: Vec<Change>,
}

impl Tier {
    /// Begins.
    pub fn new(plan: Plan, now: Timestamp) -> Tier {
        Tier {
            members: Membership::new(plan.me, plan.count, plan.life, plan.seed, now),
            notes: Notes::new(plan.me, plan.life.max(1)),
            seals: Seals::new(plan.keys.clone()),
            began: now,
            looks: now,
            exchanges: now,
            fresh: Vec::new(),
            names: BTreeMap::new(),
            counts: Counts::default(),
            plan,
        }
    }

    /// This director's number.
    pub fn me(&self) -> u16 {
        self.plan.me
    }

    /// The members as this director sees them.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// All notes.
    pub fn notes(&self) -> &Notes {
        &self.notes
    }

    /// Other keys from now on.
    pub fn keys(&mut self, keys: Vec<Vec<u8>>) {
        self.seals.replace(keys);
    }

    /// Datagrams refused by their seals: wrong ones, and repeated ones.
    pub fn refused(&self) -> [u64; 2] {
        self.seals.refused
    }

    /// A datagram came.
    pub fn hear(&mut self, now: Timestamp, bytes: &[u8], out: &mut Out) {
        let who = |datagram: &[u8]| wire::read(datagram).map(|(head, _)| (head.from, head.life));
        let Some(datagram) = self.seals.open(bytes, who) else { return };
        let Some((head, parts)) = wire::read(datagram) else {
            self.counts.strange += 1;
            return;
        };
        if head.from == self.plan.me || head.from >= self.plan.count {
            self.counts.strange += 1;
            return;
        }
        self.counts.taken += 1;
        let mut sends = Vec::new();
        self.members.heard(now, head, &mut sends, &mut out.changes);
        for (kind, contents) in parts {
            match kind {
                part::MEMBERS => self.members.told(now, contents, &mut out.changes),
                part::NOTES => self.notes.take(now, contents, &mut self.fresh),
                part::URGENT => self.notes.take_urgent(now, contents, &mut self.fresh),
                part::DIGEST => self.answer(now, head.from, contents, out),
                // Of a later version.
                _ => {}
            }
        }
        self.notes.live(self.members.life());
        self.counts.notes += self.fresh.len() as u64;
        sends.into_iter().for_each(|send| self.send(now, send, out));
    }

    /// Sends what a peer lacks by its digest, in a few datagrams at most.
    fn answer(&mut self, now: Timestamp, to: u16, digest: &[u8], out: &mut Out) {
        let room = self.writer(Kind::News).room();
        let parts = self.notes.missing(now, digest, room, ANSWERS);
        let mut writer = self.writer(Kind::News);
        for part in parts {
            if part.len() > writer.room() {
                let full = std::mem::replace(&mut writer, self.writer(Kind::News));
                self.give(to, full, out);
            }
            writer.part(part::NOTES, &part);
        }
        if writer.room() < room {
            self.give(to, writer, out);
        }
    }

    fn writer(&mut self, kind: Kind) -> Writer {
        let head =
            Head { kind, from: self.plan.me, life: self.members.life(), number: 0, about: self.plan.me };
        Writer::new(head, self.seals.spare())
    }

    fn give(&mut self, to: u16, writer: Writer, out: &mut Out) {
        let datagram = self.seals.seal(writer.finish());
        self.counts.sent = (self.counts.sent.0 + 1, self.counts.sent.1 + datagram.len() as u64);
        out.datagrams.push((to, datagram));
    }

    /// Sends a datagram of the membership, with as much news as fits.
    fn send(&mut self, now: Timestamp, send: Send, out: &mut Out) {
        let mut writer = Writer::new(send.head, self.seals.spare());
        let members = self.members.gossip(writer.room().min(64));
        writer.part(part::MEMBERS, &members);
        let urgent = self.notes.push(now, writer.room());
        writer.part(part::URGENT, &urgent);
        if matches!(send.head.kind, Kind::Ping | Kind::Ack) {
            let digest = self.notes.digest(writer.room().min(100));
            writer.part(part::DIGEST, &digest);
        }
        self.give(send.to, writer, out);
    }

    /// Time has passed: what is due is sent, and what the module has learned is looked at.
    pub fn tick(&mut self, now: Timestamp, director: &Director, out: &mut Out) {
        let mut sends = Vec::new();
        self.members.tick(now, &mut sends, &mut out.changes);
        self.notes.live(self.members.life());
        if now >= self.looks {
            self.looks = Timestamp(now.0 + LOOK.0);
            self.learn(director);
            let all = self.learned(director);
            if self.notes.publish(now, &all) {
                // To everybody that is there, since it cannot wait; a lost one is made up for by the exchanges.
                let alive: Vec<u16> = self
                    .members
                    .members()
                    .filter(|(_, m)| m.standing == Standing::Alive)
                    .map(|(at, _)| at)
                    .collect();
                for to in alive.into_iter().take(8) {
                    let mut writer = self.writer(Kind::News);
                    let urgent = self.notes.push(now, writer.room());
                    writer.part(part::URGENT, &urgent);
                    self.give(to, writer, out);
                }
                self.notes.pushed();
            }
        }
        if now >= self.exchanges {
            let young = now.0 < self.began.0 + HURRY_FOR.0 && self.counts.notes == 0;
            self.exchanges = Timestamp(now.0 + if young { HURRY.0 } else { PERIOD.0 });
            let to = match self.members.one_alive() {
                // Nobody was heard of yet: all are asked in turn.
                None if young && self.plan.count > 1 => {
                    let turn = (now.0 / HURRY.0) % u64::from(self.plan.count);
                    Some(turn as u16).filter(|to| *to != self.plan.me)
                }
                to => to,
            };
            if let Some(to) = to {
                let mut writer = self.writer(Kind::News);
                let members = self.members.gossip(writer.room().min(64));
                writer.part(part::MEMBERS, &members);
                let digest = self.notes.digest(writer.room());
                writer.part(part::DIGEST, &digest);
                self.give(to, writer, out);
            }
        }
        sends.into_iter().for_each(|send| self.send(now, send, out));
    }

    /// This director ends in good order.
    pub fn leave(&mut self, now: Timestamp, out: &mut Out) {
        let mut sends = Vec::new();
        self.members.leave(&mut sends);
        sends.into_iter().for_each(|send| self.send(now, send, out));
    }

    fn short(&self, host: &HostId) -> u32 {
        xxhash_rust::xxh3::xxh3_64_with_seed(host.0.as_bytes(), self.plan.name) as u32
    }

    /// Learns the short names of the hosts that are known.
    fn learn(&mut self, director: &Director) {
        self.names.clear();
        let mut collisions = 0;
        for host in director.hosts() {
            let held = self.names.entry(self.short(host)).or_insert_with(|| Some(host.clone()));
            if held.as_ref().is_none_or(|known| known != host) {
                // Two hosts of one short name: nobody can say which is meant.
                *held = None;
                collisions += 1;
            }
        }
        self.counts.collisions = collisions;
    }

    /// What the module has learned of hosts that stand out, as each of its zones that has proxies sees them.
    fn learned(&self, director: &Director) -> BTreeMap<Key, Word> {
        let mut all = BTreeMap::new();
        let zones = &director.settings().zones;
        let served: Vec<ZoneId> =
            director.zone_views().into_iter().filter(|zone| zone.proxies > 0).map(|zone| zone.zone).collect();
        for (at, zone) in zones.iter().enumerate().filter(|(at, zone)| *at < 256 && served.contains(zone)) {
            for (short, host) in self.names.iter().filter_map(|(short, host)| Some((*short, host.as_ref()?)))
            {
                let Some(view) = director.host_view(zone, host) else { continue };
                let (stands, step) = match view.status {
                    HostStanding::Leading => (Stands::In, 0),
                    HostStanding::WeightHalved(step) => (Stands::In, step.min(3) as u8),
                    HostStanding::Ejected(_) => (Stands::Out, 0),
                    HostStanding::Probation(_) => (Stands::Trial, 0),
                    HostStanding::NotReady => continue,
                };
                if (stands, step, view.is_warming_up) == (Stands::In, 0, false) {
                    continue;
                }
                let word = Word {
                    stands,
                    step,
                    cold: view.is_warming_up,
                    tries: view.consecutive_failures.max(view.consecutive_useless).min(255.0) as u8,
                    loss: (view.loss_ratio.clamp(0.0, 1.0) * 255.0) as u8,
                    latency_ms: view.latency_ms.unwrap_or(0.0).clamp(0.0, 65_535.0) as u16,
                };
                all.insert((at as u8, short), word);
            }
        }
        all
    }

    /// Notes that have come since this was last asked, in the module's terms. Those of members that are gone or left count
    /// as long as they are fresh: what was learned is true whoever learned it.
    pub fn advice(&mut self, now: Timestamp, director: &Director) -> Vec<PeerAdvice> {
        let fresh = std::mem::take(&mut self.fresh);
        if fresh.is_empty() {
            return Vec::new();
        }
        self.learn(director);
        let zones = &director.settings().zones;
        let advice = fresh.into_iter().filter_map(|Fresh { owner, key, note }| {
            let host = self.names.get(&key.1)?.clone()?;
            let zone = zones.get(usize::from(key.0))?.clone();
            let age = Micros(now.0.saturating_sub(note.at.0));
            let (out, step) = (note.word.stands != Stands::In, u32::from(note.word.step));
            Some(PeerAdvice { from: u32::from(owner), zone, host, ejected: out, weight_halvings: step, age })
        });
        advice.collect()
    }
}
