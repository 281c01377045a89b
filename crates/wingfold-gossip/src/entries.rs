//! Entries: what each director has learned of hosts, as its zones see them.
//!
//! Each owner numbers its entries; a newer entry about a host replaces the older one. Two directors compare up to which number
//! they know each owner's entries and send each other what is missing, in the order of the numbers, so that a lost datagram is
//! made up for by the next exchange. What cannot wait is pushed at once, out of that order. The reconciliation is that of
//! Scuttlebutt (van Renesse et al., 2008).

use std::collections::BTreeMap;
use wingfold_director::interface::{Micros, Timestamp};

/// Bytes of an entry in a datagram.
pub const ENTRY_BYTES: usize = 12;
/// Age from which an entry says nothing any more, and is sent to nobody.
pub const MAX_AGE: Micros = Micros(60_000_000);
/// Bytes of one owner in a digest.
const DIGEST_OWNER_BYTES: usize = 10;
/// Bytes before the entries of a part: owner, incarnation, and the numbers between which the part lies.
const PART_PREFIX_BYTES: usize = 14;
/// Bytes before the entries of an urgent part: owner and incarnation.
const URGENT_PREFIX_BYTES: usize = 6;
/// Bytes of the number before each entry of an urgent part.
const NUMBER_BYTES: usize = 4;
/// A digest of fewer owners names all that its sender knows.
const COMPLETE_DIGEST_OWNERS: usize = 10;
/// Entries of one owner that are kept: far more than any site has of remarkable hosts.
const MAX_ENTRIES: usize = 8192;
/// Datagrams in which an urgent entry is pushed to each member: one may be lost.
const URGENT_PUSHES: u32 = 2;
/// Times in [`MAX_AGE`] that an entry of which only the evidence changes is published again.
const REFRESHES: f64 = 6.0;
/// Microseconds of the unit in which an entry tells its age.
const AGE_UNIT_US: u64 = 100_000;

/// How an owner's zone treats a host. The order of the variants is their value in datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// In its tables.
    Healthy,
    /// Ejected.
    Ejected,
    /// On probation.
    Probation,
}

impl HealthState {
    fn from_bits(bits: u8) -> Option<HealthState> {
        use HealthState::{Ejected, Healthy, Probation};
        [Healthy, Ejected, Probation].into_iter().find(|state| *state as u8 == bits)
    }
}

/// What an owner says of a host, as one of its zones sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostReport {
    /// How the zone treats the host.
    pub health: HealthState,
    /// Halvings of the host's weight, 0 to 3.
    pub weight_halvings: u8,
    /// It started lately and may be warming up.
    pub is_warming_up: bool,
    /// Attempts that this rests on, up to 255.
    pub attempts: u8,
    /// The share of them that failed, in 255ths.
    pub loss: u8,
    /// Mean latency of the attempts that succeeded, in ms.
    pub latency_ms: u16,
}

impl HostReport {
    /// A host of which there is nothing to say.
    pub const UNREMARKABLE: HostReport = HostReport {
        health: HealthState::Healthy,
        weight_halvings: 0,
        is_warming_up: false,
        attempts: 0,
        loss: 0,
        latency_ms: 0,
    };

    /// Whether the zone treats the host otherwise than a good one.
    pub fn is_remarkable(&self) -> bool {
        !self.is_treated_as(&HostReport::UNREMARKABLE)
    }

    /// Whether both say the same, evidence aside.
    fn is_treated_as(&self, other: &HostReport) -> bool {
        let treatment = |report: &HostReport| (report.health, report.weight_halvings, report.is_warming_up);
        treatment(self) == treatment(other)
    }
}

/// Which host, as which zone sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryKey {
    /// The zone, by its position in the settings.
    pub zone: u8,
    /// The host, by a short hash of its name.
    pub host: u32,
}

/// A report with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipEntry {
    /// The report.
    pub report: HostReport,
    /// When it was last known to hold, by this director's clock.
    pub at: Timestamp,
}

impl GossipEntry {
    /// Whether nobody needs the entry any more: the host has been unremarkable for long.
    fn is_obsolete(&self, now: Timestamp) -> bool {
        self.report == HostReport::UNREMARKABLE && now.since(self.at) > MAX_AGE.secs()
    }

    /// Whether the owner should publish a new report in place of this entry.
    fn is_outdated_by(&self, report: &HostReport, now: Timestamp) -> bool {
        let is_old = now.since(self.at) > MAX_AGE.secs() / REFRESHES;
        !self.report.is_treated_as(report) || is_old && self.report != HostReport::UNREMARKABLE
    }
}

/// An entry with its number among those of its owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NumberedEntry {
    /// The number.
    pub number: u32,
    /// The entry.
    pub entry: GossipEntry,
}

/// Up to which number the entries of an owner are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownEntries {
    /// The owner's incarnation.
    pub incarnation: u32,
    /// All entries up to this number are known.
    pub up_to: u32,
}

/// An entry that was received and is new here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedEntry {
    /// Whose entry it is.
    pub owner: u16,
    /// Which host, as which zone sees it.
    pub key: EntryKey,
    /// The entry.
    pub entry: GossipEntry,
}

#[derive(Clone, Debug, Default)]
struct OwnerEntries {
    incarnation: u32,
    /// All entries up to this number are known.
    known_up_to: u32,
    entries: BTreeMap<EntryKey, NumberedEntry>,
}

impl OwnerEntries {
    fn new(incarnation: u32) -> OwnerEntries {
        OwnerEntries { incarnation, ..OwnerEntries::default() }
    }

    /// Adds an entry under the next number.
    fn append(&mut self, key: EntryKey, entry: GossipEntry) {
        self.known_up_to += 1;
        self.entries.insert(key, NumberedEntry { number: self.known_up_to, entry });
    }

    /// Adds an entry of another director, unless a newer one about the same host is known: that one was pushed.
    fn receive(&mut self, owner: u16, key: EntryKey, received: NumberedEntry, new: &mut Vec<ReceivedEntry>) {
        let known = self.entries.get(&key);
        if known.is_some_and(|known| known.number >= received.number) {
            return;
        }
        if known.is_some() || self.entries.len() < MAX_ENTRIES {
            self.entries.insert(key, received);
            new.push(ReceivedEntry { owner, key, entry: received.entry });
        }
    }

    /// The entries behind a number, in the order of their numbers.
    fn entries_behind(&self, number: u32) -> Vec<(EntryKey, NumberedEntry)> {
        let behind = self.entries.iter().filter(|(_, numbered)| numbered.number > number);
        let mut behind: Vec<_> = behind.map(|(key, numbered)| (*key, *numbered)).collect();
        behind.sort_unstable_by_key(|(_, numbered)| numbered.number);
        behind
    }
}

/// The entries of all owners.
#[derive(Clone, Debug)]
pub struct EntryStore {
    own_id: u16,
    owners: BTreeMap<u16, OwnerEntries>,
    /// The owner with which the next digest begins, if not all of them fit into one.
    next_digest_owner: u16,
    /// Own entries that cannot wait, and how often each is still to be pushed.
    urgent: BTreeMap<EntryKey, u32>,
}

impl EntryStore {
    /// For a director in an incarnation of its own.
    pub fn new(own_id: u16, incarnation: u32) -> Self {
        let owners = BTreeMap::from([(own_id, OwnerEntries::new(incarnation))]);
        EntryStore { own_id, owners, next_digest_owner: 0, urgent: BTreeMap::new() }
    }

    /// Numbers the own entries again if this director has another incarnation now.
    pub fn set_incarnation(&mut self, incarnation: u32) {
        let own = self.owners.entry(self.own_id).or_default();
        if own.incarnation == incarnation {
            return;
        }
        let entries = std::mem::take(&mut own.entries);
        *own = OwnerEntries::new(incarnation);
        for (key, numbered) in entries {
            own.append(key, numbered.entry);
        }
    }

    /// Publishes what this director has learned: a report on every remarkable host. A host that is remarkable no more is
    /// published as such, once. Returns whether something new cannot wait.
    pub fn publish(&mut self, now: Timestamp, reports: &BTreeMap<EntryKey, HostReport>) -> bool {
        let Some(own) = self.owners.get_mut(&self.own_id) else { return false };
        let is_recovered = |key: &EntryKey, numbered: &NumberedEntry| {
            !reports.contains_key(key) && numbered.entry.report.is_remarkable()
        };
        let recovered = own.entries.iter().filter(|(key, numbered)| is_recovered(key, numbered));
        let recovered: Vec<EntryKey> = recovered.map(|(key, _)| *key).collect();
        let remarkable = reports.iter().map(|(key, report)| (*key, *report));
        let recovered = recovered.into_iter().map(|key| (key, HostReport::UNREMARKABLE));
        let mut has_urgent = false;
        for (key, report) in remarkable.chain(recovered) {
            let known = own.entries.get(&key).map(|numbered| numbered.entry);
            let is_due = known.is_none_or(|known| known.is_outdated_by(&report, now));
            if is_due && own.entries.len() < MAX_ENTRIES {
                own.append(key, GossipEntry { report, at: now });
            }
            if is_urgent(known.map(|known| known.report), &report) {
                self.urgent.insert(key, URGENT_PUSHES);
                has_urgent = true;
            }
        }
        own.entries.retain(|_, numbered| !numbered.entry.is_obsolete(now));
        has_urgent
    }

    /// Up to which number the entries of each owner are known, within `max_bytes`.
    pub fn digest(&mut self, max_bytes: usize) -> Vec<u8> {
        let ids: Vec<u16> = self.owners.keys().copied().collect();
        let begin = ids.partition_point(|id| *id < self.next_digest_owner);
        let mut bytes = Vec::new();
        for id in ids[begin..].iter().chain(&ids[..begin]).take(max_bytes / DIGEST_OWNER_BYTES) {
            let owner = &self.owners[id];
            bytes.extend(id.to_be_bytes());
            bytes.extend(owner.incarnation.to_be_bytes());
            bytes.extend(owner.known_up_to.to_be_bytes());
            self.next_digest_owner = id.wrapping_add(1);
        }
        bytes
    }

    /// What a peer lacks by its digest: at most `max_parts` parts of at most `part_bytes`, each with entries of one owner in
    /// the order of their numbers, and each beginning where the one before it ended.
    pub fn missing(
        &self,
        now: Timestamp,
        digest: &[u8],
        part_bytes: usize,
        max_parts: usize,
    ) -> Vec<Vec<u8>> {
        let known_by_peer = parse_digest(digest);
        // A digest of many owners may be one of several: owners that it does not name are not missing.
        let is_complete = known_by_peer.len() < COMPLETE_DIGEST_OWNERS;
        let entries_per_part = part_bytes.saturating_sub(PART_PREFIX_BYTES) / ENTRY_BYTES;
        let mut parts = Vec::new();
        for (id, owner) in &self.owners {
            let known_up_to = match known_by_peer.get(id) {
                Some(known) if known.incarnation > owner.incarnation => continue,
                Some(known) if known.incarnation == owner.incarnation => known.up_to,
                Some(_) => 0,
                None if is_complete => 0,
                None => continue,
            };
            if known_up_to < owner.known_up_to && entries_per_part > 0 {
                let more = owner_parts(now, *id, owner, known_up_to, entries_per_part);
                parts.extend(more.into_iter().take(max_parts - parts.len()));
            }
        }
        parts
    }

    /// Own entries that cannot wait, within `max_bytes`.
    pub fn urgent_part(&self, now: Timestamp, max_bytes: usize) -> Vec<u8> {
        let Some(own) = self.owners.get(&self.own_id) else { return Vec::new() };
        let count = max_bytes.saturating_sub(URGENT_PREFIX_BYTES) / (ENTRY_BYTES + NUMBER_BYTES);
        if count == 0 || self.urgent.is_empty() {
            return Vec::new();
        }
        let mut bytes = Vec::new();
        bytes.extend(self.own_id.to_be_bytes());
        bytes.extend(own.incarnation.to_be_bytes());
        for key in self.urgent.keys().take(count) {
            if let Some(numbered) = own.entries.get(key) {
                bytes.extend(numbered.number.to_be_bytes());
                bytes.extend(encode(now, *key, &numbered.entry));
            }
        }
        bytes
    }

    /// The urgent entries have been pushed to all members that are alive, once.
    pub fn count_push(&mut self) {
        self.urgent.retain(|_, pushes_left| {
            *pushes_left -= 1;
            *pushes_left > 0
        });
    }

    /// Receives a part of entries in the order of their numbers; appends those that are new here.
    pub fn receive(&mut self, now: Timestamp, part: &[u8], new: &mut Vec<ReceivedEntry>) {
        let Some((prefix, entries)) = part.split_at_checked(PART_PREFIX_BYTES) else { return };
        let id = read_u16(prefix, 0);
        let begins_behind = read_u32(prefix, 6);
        let up_to = read_u32(prefix, 10);
        let Some(owner) = self.owner_for_receiving(id, read_u32(prefix, 2)) else { return };
        // A part that begins behind an unknown number would leave a gap: the next digest asks for that.
        if begins_behind > owner.known_up_to || up_to <= owner.known_up_to {
            return;
        }
        let count = entries.len() / ENTRY_BYTES;
        for (index, bytes) in entries.chunks_exact(ENTRY_BYTES).enumerate() {
            let Some((key, entry)) = decode(now, bytes) else { continue };
            // Only the last number is sent: those before it are in order, which is all that matters.
            let number = up_to.saturating_sub((count - 1 - index) as u32);
            owner.receive(id, key, NumberedEntry { number, entry }, new);
        }
        owner.known_up_to = up_to;
    }

    /// Receives a part of entries that were pushed; appends those that are new here.
    pub fn receive_urgent(&mut self, now: Timestamp, part: &[u8], new: &mut Vec<ReceivedEntry>) {
        let Some((prefix, entries)) = part.split_at_checked(URGENT_PREFIX_BYTES) else { return };
        let id = read_u16(prefix, 0);
        let Some(owner) = self.owner_for_receiving(id, read_u32(prefix, 2)) else { return };
        for bytes in entries.chunks_exact(NUMBER_BYTES + ENTRY_BYTES) {
            let (number, entry) = bytes.split_at(NUMBER_BYTES);
            if let Some((key, entry)) = decode(now, entry) {
                let number = read_u32(number, 0);
                owner.receive(id, key, NumberedEntry { number, entry }, new);
            }
        }
    }

    /// Up to which number the entries of each owner are known.
    pub fn known(&self) -> impl Iterator<Item = (u16, KnownEntries)> + '_ {
        self.owners.iter().map(|(id, owner)| {
            (*id, KnownEntries { incarnation: owner.incarnation, up_to: owner.known_up_to })
        })
    }

    /// The entry of an owner about a host.
    pub fn entry(&self, owner: u16, key: EntryKey) -> Option<NumberedEntry> {
        self.owners.get(&owner)?.entries.get(&key).copied()
    }

    /// The entries of another director, emptied if this is a new incarnation; `None` for this director, which knows its own
    /// entries best, and for an old incarnation.
    fn owner_for_receiving(&mut self, id: u16, incarnation: u32) -> Option<&mut OwnerEntries> {
        if id == self.own_id {
            return None;
        }
        let owner = self.owners.entry(id).or_default();
        if incarnation < owner.incarnation {
            return None;
        }
        if incarnation > owner.incarnation {
            *owner = OwnerEntries::new(incarnation);
        }
        Some(owner)
    }
}

/// Whether a report cannot wait for the next exchange: a host has been ejected, or has just started.
fn is_urgent(known: Option<HostReport>, report: &HostReport) -> bool {
    let was_ejected = known.is_some_and(|known| known.health == HealthState::Ejected);
    let was_warming_up = known.is_some_and(|known| known.is_warming_up);
    report.health == HealthState::Ejected && !was_ejected || report.is_warming_up && !was_warming_up
}

fn parse_digest(digest: &[u8]) -> BTreeMap<u16, KnownEntries> {
    let owner = |bytes: &[u8]| {
        let known = KnownEntries { incarnation: read_u32(bytes, 2), up_to: read_u32(bytes, 6) };
        (read_u16(bytes, 0), known)
    };
    digest.chunks_exact(DIGEST_OWNER_BYTES).map(owner).collect()
}

/// The parts with the entries of an owner behind a number; one without entries if the numbers behind it were all replaced.
fn owner_parts(
    now: Timestamp,
    id: u16,
    owner: &OwnerEntries,
    behind: u32,
    entries_per_part: usize,
) -> Vec<Vec<u8>> {
    let entries = owner.entries_behind(behind);
    let chunks: Vec<&[(EntryKey, NumberedEntry)]> =
        if entries.is_empty() { vec![&[]] } else { entries.chunks(entries_per_part).collect() };
    let mut begins_behind = behind;
    let mut parts = Vec::with_capacity(chunks.len());
    for (index, chunk) in chunks.iter().enumerate() {
        // Numbers whose entries were replaced count as known, up to the owner's last one.
        let is_last = index + 1 == chunks.len();
        let last_number = chunk.last().map_or(begins_behind, |(_, numbered)| numbered.number);
        let up_to = if is_last { owner.known_up_to } else { last_number };
        let mut part = id.to_be_bytes().to_vec();
        part.extend(owner.incarnation.to_be_bytes());
        part.extend(begins_behind.to_be_bytes());
        part.extend(up_to.to_be_bytes());
        part.extend(chunk.iter().flat_map(|(key, numbered)| encode(now, *key, &numbered.entry)));
        parts.push(part);
        begins_behind = up_to;
    }
    parts
}

/// An entry with its age instead of its time: clocks of two directors need not agree.
fn encode(now: Timestamp, key: EntryKey, entry: &GossipEntry) -> [u8; ENTRY_BYTES] {
    let age_units = (now.since(entry.at) * 10.0).min(f64::from(u16::MAX)) as u16;
    let report = &entry.report;
    let weight_halvings = report.weight_halvings.min(3);
    let mut bytes = [0; ENTRY_BYTES];
    bytes[0] = key.zone;
    bytes[1..5].copy_from_slice(&key.host.to_be_bytes());
    bytes[5] = report.health as u8 | weight_halvings << 2 | u8::from(report.is_warming_up) << 4;
    bytes[6..8].copy_from_slice(&age_units.to_be_bytes());
    bytes[8] = report.attempts;
    bytes[9] = report.loss;
    bytes[10..12].copy_from_slice(&report.latency_ms.to_be_bytes());
    bytes
}

fn decode(now: Timestamp, bytes: &[u8]) -> Option<(EntryKey, GossipEntry)> {
    let key = EntryKey { zone: bytes[0], host: read_u32(bytes, 1) };
    let age_us = u64::from(read_u16(bytes, 6)) * AGE_UNIT_US;
    let report = HostReport {
        health: HealthState::from_bits(bytes[5] & 3)?,
        weight_halvings: bytes[5] >> 2 & 3,
        is_warming_up: bytes[5] >> 4 & 1 == 1,
        attempts: bytes[8],
        loss: bytes[9],
        latency_ms: read_u16(bytes, 10),
    };
    Some((key, GossipEntry { report, at: Timestamp(now.0.saturating_sub(age_us)) }))
}

fn read_u16(bytes: &[u8], at: usize) -> u16 {
    u16::from_be_bytes([bytes[at], bytes[at + 1]])
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}
