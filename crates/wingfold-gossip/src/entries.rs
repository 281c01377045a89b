//! Entries: how the zones of each director treat hosts, and on what evidence.
//!
//! The director that publishes an entry is its owner. Each owner gives its entries ascending versions; a
//! newer entry about a host replaces the older one. A director sends a digest, which holds for each owner the
//! version up to which it knows the owner's entries; the receiver answers with the newer entries, in
//! ascending order of their versions. An exchange thus also delivers the entries that an earlier exchange
//! lost. Urgent entries are also pushed at once, ahead of older entries. The reconciliation is that of
//! Scuttlebutt (van Renesse et al., 2008).

use std::collections::BTreeMap;
use wingfold_director::interface::{Micros, Timestamp};

/// Size of an entry in a datagram, in bytes.
pub const ENTRY_BYTES: usize = 12;
/// Age above which an entry is out of date. The owner then drops it if it reports normal treatment; other
/// entries are published again before they reach this age.
pub const MAX_AGE: Micros = Micros(60_000_000);
/// Size of one owner in a digest, in bytes.
const DIGEST_OWNER_BYTES: usize = 10;
/// Size of the fields before the entries of a part, in bytes: the owner, its incarnation, the version after
/// which the part begins, and the version up to which the part is complete.
const PART_PREFIX_BYTES: usize = 14;
/// Size of the fields before the entries of an urgent part, in bytes: the owner and its incarnation.
const URGENT_PREFIX_BYTES: usize = 6;
/// Size of the version before each entry of an urgent part, in bytes.
const VERSION_BYTES: usize = 4;
/// A digest with fewer owners is complete: it names every owner that its sender knows.
const MIN_PARTIAL_DIGEST_OWNERS: usize = 10;
/// Largest number of entries kept of one owner: far more than any site has hosts that are treated abnormally.
const MAX_ENTRIES_PER_OWNER: usize = 8192;
/// How often an urgent entry is pushed to each receiver, as one datagram may be lost.
const URGENT_PUSHES: u32 = 2;
/// How often within [`MAX_AGE`] the owner publishes an entry again while the treatment of the host stays the
/// same.
const REFRESHES_PER_MAX_AGE: f64 = 6.0;
/// Unit of the age of an entry in a datagram, in microseconds.
const AGE_UNIT_US: u64 = 100_000;

/// How the owner's zone treats a host. The order of the variants is their value in datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// The host is in the tables, with its full weight or a halved one.
    Healthy,
    /// The host is ejected.
    Ejected,
    /// The host is on probation.
    Probation,
}

impl HealthState {
    /// The state that two bits of an entry stand for; `None` for an unknown value.
    fn from_bits(bits: u8) -> Option<HealthState> {
        use HealthState::{Ejected, Healthy, Probation};
        [Healthy, Ejected, Probation].into_iter().find(|state| *state as u8 == bits)
    }
}

/// How one zone of the owner treats a host, and the evidence for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostReport {
    /// Whether the host is in the tables, ejected or on probation.
    pub health: HealthState,
    /// How often the host's weight was halved, 0 to 3.
    pub weight_halvings: u8,
    /// Whether the host started recently and may still be warming up.
    pub is_warming_up: bool,
    /// Evidence: the number of consecutive failed attempts, or of consecutive useless ones if that is larger;
    /// up to 255.
    pub attempts: u8,
    /// Evidence: the share of attempts that failed, in 255ths.
    pub loss: u8,
    /// Evidence: mean latency of the attempts that succeeded, in ms.
    pub latency_ms: u16,
}

impl HostReport {
    /// Normal treatment, without evidence: the host is in the tables with its full weight and is not warming
    /// up.
    pub const NORMAL: HostReport = HostReport {
        health: HealthState::Healthy,
        weight_halvings: 0,
        is_warming_up: false,
        attempts: 0,
        loss: 0,
        latency_ms: 0,
    };

    /// Whether the treatment differs from [`HostReport::NORMAL`].
    pub fn is_abnormal(&self) -> bool {
        !self.has_same_treatment_as(&HostReport::NORMAL)
    }

    /// Whether both reports state the same treatment; their evidence may differ.
    fn has_same_treatment_as(&self, other: &HostReport) -> bool {
        let treatment = |report: &HostReport| (report.health, report.weight_halvings, report.is_warming_up);
        treatment(self) == treatment(other)
    }
}

/// The zone and the host that an entry is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryKey {
    /// The zone of the owner, by its position in the settings.
    pub zone: u8,
    /// The host, by the short hash of its name.
    pub host: u32,
}

/// A report and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipEntry {
    /// The treatment of the host, and its evidence.
    pub report: HostReport,
    /// When the owner published the report, by this director's clock.
    pub published_at: Timestamp,
}

impl GossipEntry {
    /// Whether the entry can be dropped: it has reported normal treatment for longer than [`MAX_AGE`].
    fn is_obsolete(&self, now: Timestamp) -> bool {
        self.report == HostReport::NORMAL && now.since(self.published_at) > MAX_AGE.secs()
    }

    /// Whether the owner has to publish `report` in place of this entry: the treatment has changed, or the
    /// entry is due for a refresh.
    fn is_outdated_by(&self, report: &HostReport, now: Timestamp) -> bool {
        let is_stale = now.since(self.published_at) > MAX_AGE.secs() / REFRESHES_PER_MAX_AGE;
        !self.report.has_same_treatment_as(report) || is_stale && self.report != HostReport::NORMAL
    }
}

/// An entry and its version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionedEntry {
    /// The version, from 1; it ascends over all entries of one incarnation of the owner.
    pub version: u32,
    /// The report and its time.
    pub entry: GossipEntry,
}

/// The version up to which the entries of an owner are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownVersion {
    /// The owner's incarnation.
    pub incarnation: u32,
    /// All entries up to this version are known, or were replaced by newer ones.
    pub version: u32,
}

/// An entry received from another director that this director did not know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedEntry {
    /// The number of the director that published the entry.
    pub owner: u16,
    /// The zone and the host that the entry is about.
    pub key: EntryKey,
    /// The report and its time.
    pub entry: GossipEntry,
}

/// The entries of one owner.
#[derive(Clone, Debug, Default)]
struct OwnerEntries {
    incarnation: u32,
    /// All entries up to this version are known, or were replaced by newer ones.
    known_version: u32,
    entries: BTreeMap<EntryKey, VersionedEntry>,
}

impl OwnerEntries {
    fn new(incarnation: u32) -> OwnerEntries {
        OwnerEntries { incarnation, ..OwnerEntries::default() }
    }

    /// Adds an entry with the next version.
    fn append(&mut self, key: EntryKey, entry: GossipEntry) {
        self.known_version += 1;
        self.entries.insert(key, VersionedEntry { version: self.known_version, entry });
    }

    /// Adds an entry of another director, unless the same or a newer entry with this key is known, as it is
    /// after a push.
    fn receive(
        &mut self,
        owner: u16,
        key: EntryKey,
        versioned: VersionedEntry,
        received: &mut Vec<ReceivedEntry>,
    ) {
        let known = self.entries.get(&key);
        if known.is_some_and(|known| known.version >= versioned.version) {
            return;
        }
        if known.is_some() || self.entries.len() < MAX_ENTRIES_PER_OWNER {
            self.entries.insert(key, versioned);
            received.push(ReceivedEntry { owner, key, entry: versioned.entry });
        }
    }

    /// The entries newer than `version`, in ascending order of their versions.
    fn entries_after(&self, version: u32) -> Vec<(EntryKey, VersionedEntry)> {
        let newer = self.entries.iter().filter(|(_, versioned)| versioned.version > version);
        let mut newer: Vec<_> = newer.map(|(key, versioned)| (*key, *versioned)).collect();
        newer.sort_unstable_by_key(|(_, versioned)| versioned.version);
        newer
    }
}

/// The entries of all owners, as one director knows them.
#[derive(Clone, Debug)]
pub struct EntryStore {
    own_id: u16,
    owners: BTreeMap<u16, OwnerEntries>,
    /// The owner with which the next digest begins, so that owners that do not fit into one digest are in the
    /// next.
    next_digest_owner: u16,
    /// The keys of this director's urgent entries, and how often each entry is still to be pushed.
    urgent: BTreeMap<EntryKey, u32>,
}

impl EntryStore {
    /// An empty store of the director `own_id` in the given incarnation.
    pub fn new(own_id: u16, incarnation: u32) -> Self {
        let owners = BTreeMap::from([(own_id, OwnerEntries::new(incarnation))]);
        EntryStore { own_id, owners, next_digest_owner: 0, urgent: BTreeMap::new() }
    }

    /// Sets this director's incarnation. If the incarnation differs, this director's entries get new versions
    /// from 1.
    pub fn set_incarnation(&mut self, incarnation: u32) {
        let own = self.owners.entry(self.own_id).or_default();
        if own.incarnation == incarnation {
            return;
        }
        let entries = std::mem::take(&mut own.entries);
        *own = OwnerEntries::new(incarnation);
        for (key, versioned) in entries {
            own.append(key, versioned.entry);
        }
    }

    /// Publishes this director's reports, one for each host and zone with abnormal treatment. Entries whose
    /// key is not in `reports` any more are replaced by [`HostReport::NORMAL`]. Returns whether a report is
    /// newly urgent.
    pub fn publish(&mut self, now: Timestamp, reports: &BTreeMap<EntryKey, HostReport>) -> bool {
        let Some(own) = self.owners.get_mut(&self.own_id) else { return false };
        let is_recovered = |key: &EntryKey, versioned: &VersionedEntry| {
            !reports.contains_key(key) && versioned.entry.report.is_abnormal()
        };
        let recovered = own.entries.iter().filter(|(key, versioned)| is_recovered(key, versioned));
        let recovered: Vec<EntryKey> = recovered.map(|(key, _)| *key).collect();
        let abnormal = reports.iter().map(|(key, report)| (*key, *report));
        let recovered = recovered.into_iter().map(|key| (key, HostReport::NORMAL));
        let mut has_new_urgent = false;
        for (key, report) in abnormal.chain(recovered) {
            let known = own.entries.get(&key).map(|versioned| versioned.entry);
            let must_publish = known.is_none_or(|known| known.is_outdated_by(&report, now));
            if must_publish && own.entries.len() < MAX_ENTRIES_PER_OWNER {
                own.append(key, GossipEntry { report, published_at: now });
            }
            if is_urgent(known.map(|known| known.report), &report) {
                self.urgent.insert(key, URGENT_PUSHES);
                has_new_urgent = true;
            }
        }
        own.entries.retain(|_, versioned| !versioned.entry.is_obsolete(now));
        has_new_urgent
    }

    /// An encoded digest of at most `max_bytes`: owners with their incarnations and known versions. If not
    /// all owners fit, the next digest goes on with the next owner.
    pub fn digest(&mut self, max_bytes: usize) -> Vec<u8> {
        let ids: Vec<u16> = self.owners.keys().copied().collect();
        let start = ids.partition_point(|id| *id < self.next_digest_owner);
        let mut bytes = Vec::new();
        for id in ids[start..].iter().chain(&ids[..start]).take(max_bytes / DIGEST_OWNER_BYTES) {
            let owner = &self.owners[id];
            bytes.extend(id.to_be_bytes());
            bytes.extend(owner.incarnation.to_be_bytes());
            bytes.extend(owner.known_version.to_be_bytes());
            self.next_digest_owner = id.wrapping_add(1);
        }
        bytes
    }

    /// Encodes the entries that are newer than those in a peer's digest, as at most `max_parts` parts of at
    /// most `part_bytes`. Each part holds entries of one owner in ascending order of their versions, and
    /// continues the part before it if that has the same owner.
    pub fn missing_parts(
        &self,
        now: Timestamp,
        digest: &[u8],
        part_bytes: usize,
        max_parts: usize,
    ) -> Vec<Vec<u8>> {
        let known_by_peer = parse_digest(digest);
        // A digest of many owners may be partial: the peer may know an owner that it does not name.
        let is_complete = known_by_peer.len() < MIN_PARTIAL_DIGEST_OWNERS;
        let entries_per_part = part_bytes.saturating_sub(PART_PREFIX_BYTES) / ENTRY_BYTES;
        let mut parts = Vec::new();
        for (id, owner) in &self.owners {
            let peer_version = match known_by_peer.get(id) {
                Some(known) if known.incarnation > owner.incarnation => continue,
                Some(known) if known.incarnation == owner.incarnation => known.version,
                Some(_) => 0,
                None if is_complete => 0,
                None => continue,
            };
            if peer_version < owner.known_version && entries_per_part > 0 {
                let more = owner_parts(now, *id, owner, peer_version, entries_per_part);
                parts.extend(more.into_iter().take(max_parts - parts.len()));
            }
        }
        parts
    }

    /// An encoded part with as many of this director's urgent entries as fit into `max_bytes`; empty if there
    /// are none.
    pub fn urgent_part(&self, now: Timestamp, max_bytes: usize) -> Vec<u8> {
        let Some(own) = self.owners.get(&self.own_id) else { return Vec::new() };
        let count = max_bytes.saturating_sub(URGENT_PREFIX_BYTES) / (ENTRY_BYTES + VERSION_BYTES);
        if count == 0 || self.urgent.is_empty() {
            return Vec::new();
        }
        let mut bytes = Vec::new();
        bytes.extend(self.own_id.to_be_bytes());
        bytes.extend(own.incarnation.to_be_bytes());
        for key in self.urgent.keys().take(count) {
            if let Some(versioned) = own.entries.get(key) {
                bytes.extend(versioned.version.to_be_bytes());
                bytes.extend(encode(now, *key, &versioned.entry));
            }
        }
        bytes
    }

    /// Records one push of the urgent entries. After `URGENT_PUSHES` pushes an entry is no longer urgent.
    pub fn record_push(&mut self) {
        self.urgent.retain(|_, pushes_left| {
            *pushes_left -= 1;
            *pushes_left > 0
        });
    }

    /// Receives the contents of a part of kind [`ENTRIES`](crate::datagram::part::ENTRIES), and appends to
    /// `received` the entries that this director did not know.
    pub fn receive(&mut self, now: Timestamp, part: &[u8], received: &mut Vec<ReceivedEntry>) {
        let Some((prefix, entries)) = part.split_at_checked(PART_PREFIX_BYTES) else { return };
        let id = read_u16(prefix, 0);
        let after_version = read_u32(prefix, 6);
        let last_version = read_u32(prefix, 10);
        let Some(owner) = self.owner_for_receiving(id, read_u32(prefix, 2)) else { return };
        // A part that begins after the known version would leave a gap; the next digest asks for the entries
        // in the gap.
        if after_version > owner.known_version || last_version <= owner.known_version {
            return;
        }
        let count = entries.len() / ENTRY_BYTES;
        for (index, bytes) in entries.chunks_exact(ENTRY_BYTES).enumerate() {
            let Some((key, entry)) = decode(now, bytes) else { continue };
            // The part holds only the last version. The versions of the entries before it are counted back
            // from there: they may be higher than the owner's, but keep the order, which is what comparisons
            // need.
            let version = last_version.saturating_sub((count - 1 - index) as u32);
            owner.receive(id, key, VersionedEntry { version, entry }, received);
        }
        owner.known_version = last_version;
    }

    /// Receives the contents of a part of kind [`URGENT_ENTRIES`](crate::datagram::part::URGENT_ENTRIES), and
    /// appends to `received` the entries that this director did not know.
    pub fn receive_urgent(&mut self, now: Timestamp, part: &[u8], received: &mut Vec<ReceivedEntry>) {
        let Some((prefix, entries)) = part.split_at_checked(URGENT_PREFIX_BYTES) else { return };
        let id = read_u16(prefix, 0);
        let Some(owner) = self.owner_for_receiving(id, read_u32(prefix, 2)) else { return };
        for bytes in entries.chunks_exact(VERSION_BYTES + ENTRY_BYTES) {
            let (version, entry) = bytes.split_at(VERSION_BYTES);
            if let Some((key, entry)) = decode(now, entry) {
                let version = read_u32(version, 0);
                owner.receive(id, key, VersionedEntry { version, entry }, received);
            }
        }
    }

    /// The version up to which the entries of each owner are known, by the owner's number.
    pub fn known_versions(&self) -> impl Iterator<Item = (u16, KnownVersion)> + '_ {
        self.owners.iter().map(|(id, owner)| {
            (*id, KnownVersion { incarnation: owner.incarnation, version: owner.known_version })
        })
    }

    /// The entry of an owner with this key.
    pub fn entry(&self, owner: u16, key: EntryKey) -> Option<VersionedEntry> {
        self.owners.get(&owner)?.entries.get(&key).copied()
    }

    /// The entries of an owner, to add received ones. They are cleared first if the incarnation is newer than
    /// the known one. `None` if the incarnation is older, and for this director itself, which does not accept
    /// its own entries from others.
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

/// Whether a report is pushed without waiting for the next exchange: the host is newly ejected, or newly
/// warming up.
fn is_urgent(known: Option<HostReport>, report: &HostReport) -> bool {
    let was_ejected = known.is_some_and(|known| known.health == HealthState::Ejected);
    let was_warming_up = known.is_some_and(|known| known.is_warming_up);
    report.health == HealthState::Ejected && !was_ejected || report.is_warming_up && !was_warming_up
}

/// The known versions in a digest, by the owner's number.
fn parse_digest(digest: &[u8]) -> BTreeMap<u16, KnownVersion> {
    let owner = |bytes: &[u8]| {
        let known = KnownVersion { incarnation: read_u32(bytes, 2), version: read_u32(bytes, 6) };
        (read_u16(bytes, 0), known)
    };
    digest.chunks_exact(DIGEST_OWNER_BYTES).map(owner).collect()
}

/// Encodes the entries of an owner that are newer than the version `after`. If all of them were dropped, a
/// single part without entries carries the owner's last version.
fn owner_parts(
    now: Timestamp,
    id: u16,
    owner: &OwnerEntries,
    after: u32,
    entries_per_part: usize,
) -> Vec<Vec<u8>> {
    let entries = owner.entries_after(after);
    let chunks: Vec<&[(EntryKey, VersionedEntry)]> =
        if entries.is_empty() { vec![&[]] } else { entries.chunks(entries_per_part).collect() };
    let mut after_version = after;
    let mut parts = Vec::with_capacity(chunks.len());
    for (index, chunk) in chunks.iter().enumerate() {
        // Versions whose entries were replaced or dropped count as known: the last part ends at the owner's
        // last version.
        let is_last = index + 1 == chunks.len();
        let chunk_version = chunk.last().map_or(after_version, |(_, versioned)| versioned.version);
        let last_version = if is_last { owner.known_version } else { chunk_version };
        let mut part = id.to_be_bytes().to_vec();
        part.extend(owner.incarnation.to_be_bytes());
        part.extend(after_version.to_be_bytes());
        part.extend(last_version.to_be_bytes());
        part.extend(chunk.iter().flat_map(|(key, versioned)| encode(now, *key, &versioned.entry)));
        parts.push(part);
        after_version = last_version;
    }
    parts
}

/// Encodes an entry with its age instead of its time, as the clocks of two directors need not agree.
fn encode(now: Timestamp, key: EntryKey, entry: &GossipEntry) -> [u8; ENTRY_BYTES] {
    let age_units = (now.since(entry.published_at) * 10.0).min(f64::from(u16::MAX)) as u16;
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

/// Decodes an entry; its time is `now` minus its age. `None` if its health state is invalid.
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
    Some((key, GossipEntry { report, published_at: Timestamp(now.0.saturating_sub(age_us)) }))
}

fn read_u16(bytes: &[u8], offset: usize) -> u16 {
    u16::from_be_bytes([bytes[offset], bytes[offset + 1]])
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}
