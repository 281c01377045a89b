//! One director's part in the gossip of its tier: membership and entries together.
//!
//! Datagrams come in and advice for the decision module goes out; what the module has learned goes out as datagrams. Traffic
//! is bounded: a ping with its answer and one exchange of entries each period, and pushes of what cannot wait.

use crate::authentication::{Authenticator, Rejections, Sender};
use crate::datagram::{self, part, DatagramKind, DatagramWriter, Header};
use crate::entries::{EntryKey, EntryStore, HealthState, HostReport, ReceivedEntry};
use crate::membership::{MemberState, Membership, MembershipChange, OutgoingHeader, PERIOD};
use std::collections::BTreeMap;
use wingfold_director::inspect::{HostStatus, HostView};
use wingfold_director::interface::{HostId, Micros, PeerAdvice, Timestamp, ZoneId};
use wingfold_director::Director;

/// Interval at which entries of the decision module's state are published.
const PUBLISH_INTERVAL: Micros = Micros(500_000);
/// Parts of entries that answer one digest, at most: what is missing beyond them comes with the next exchange.
const MAX_ANSWER_PARTS: usize = 4;
/// Interval of exchanges of a director that has just started, until it has received an entry.
const STARTUP_EXCHANGE_INTERVAL: Micros = Micros(100_000);
/// How long these exchanges go on at most.
const STARTUP_DURATION: Micros = Micros(2_000_000);
/// Members to which urgent entries are pushed at once; the others get them by exchanges.
const MAX_URGENT_RECEIVERS: usize = 8;
/// Bytes of a datagram that states of members may take.
const MAX_STATEMENT_BYTES: usize = 64;
/// Bytes of a ping or its answer that a digest may take.
const MAX_PING_DIGEST_BYTES: usize = 100;
/// Zones that an entry can name.
const MAX_ZONES: usize = 256;
/// Weight halvings that an entry can tell.
const MAX_WEIGHT_HALVINGS: u32 = 3;

/// What a director is told of its tier.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// This director's number.
    pub own_id: u16,
    /// Directors of the tier.
    pub count: u16,
    /// An incarnation that is most likely newer than the last one.
    pub incarnation: u32,
    /// Seed of all randomness.
    pub seed: u64,
    /// What the directors of a tier share and others do not: short hashes of host names depend on it.
    pub tier_hash: u64,
    /// Keys, the signing one first; none: datagrams are not signed.
    pub keys: Vec<Vec<u8>>,
}

/// Counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounts {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of these.
    pub bytes_sent: u64,
    /// Datagrams received and used.
    pub datagrams_received: u64,
    /// Datagrams that are malformed, of another version or from no other member.
    pub datagrams_invalid: u64,
    /// Entries received that were new here.
    pub entries_received: u64,
    /// Hosts of this moment that share their short hash with another one: no entry names them.
    pub hash_collisions: u64,
}

/// One director's part in the gossip.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
    membership: Membership,
    entries: EntryStore,
    authenticator: Authenticator,
    started_at: Timestamp,
    next_publish_at: Timestamp,
    next_exchange_at: Timestamp,
    /// Entries received since the last call of [`Gossip::advice`].
    received: Vec<ReceivedEntry>,
    /// Hosts by their short hash; `None` where two hosts share it.
    host_hashes: BTreeMap<u32, Option<HostId>>,
    /// Counters so far.
    pub counts: GossipCounts,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The receiver's number.
    pub to: u16,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Datagrams to send, and what has changed.
#[derive(Debug, Default)]
pub struct GossipOutput {
    /// Datagrams to send, in their order.
    pub datagrams: Vec<OutgoingDatagram>,
    /// Changes of the membership.
    pub changes: Vec<MembershipChange>,
}

impl Gossip {
    /// Begins to take part.
    pub fn new(config: GossipConfig, now: Timestamp) -> Gossip {
        let GossipConfig { own_id, count, incarnation, seed, .. } = config;
        Gossip {
            membership: Membership::new(own_id, count, incarnation, seed, now),
            entries: EntryStore::new(own_id, incarnation.max(1)),
            authenticator: Authenticator::new(config.keys.clone()),
            started_at: now,
            next_publish_at: now,
            next_exchange_at: now,
            received: Vec::new(),
            host_hashes: BTreeMap::new(),
            counts: GossipCounts::default(),
            config,
        }
    }

    /// This director's number.
    pub fn own_id(&self) -> u16 {
        self.config.own_id
    }

    /// The members as this director sees them.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The entries of all directors.
    pub fn entries(&self) -> &EntryStore {
        &self.entries
    }

    /// Uses other keys from now on.
    pub fn replace_keys(&mut self, keys: Vec<Vec<u8>>) {
        self.authenticator.replace_keys(keys);
    }

    /// Datagrams rejected by their authentication.
    pub fn rejections(&self) -> Rejections {
        self.authenticator.rejections
    }

    /// Handles a datagram.
    pub fn handle_datagram(&mut self, now: Timestamp, bytes: &[u8], output: &mut GossipOutput) {
        let Some(datagram) = self.authenticator.verify(bytes, sender_of) else { return };
        let Some((header, parts)) = datagram::parse(datagram) else {
            self.counts.datagrams_invalid += 1;
            return;
        };
        if header.from == self.config.own_id || header.from >= self.config.count {
            self.counts.datagrams_invalid += 1;
            return;
        }
        self.counts.datagrams_received += 1;
        let mut outgoing = Vec::new();
        self.membership.handle_datagram(now, header, &mut outgoing, &mut output.changes);
        for part in parts {
            self.handle_part(now, header.from, part, output);
        }
        self.entries.set_incarnation(self.membership.incarnation());
        self.counts.entries_received += self.received.len() as u64;
        self.send_all(now, outgoing, output);
    }

    /// Does what is due: pings, publishing what the module has learned, and exchanges of entries.
    pub fn tick(&mut self, now: Timestamp, director: &Director, output: &mut GossipOutput) {
        let mut outgoing = Vec::new();
        self.membership.tick(now, &mut outgoing, &mut output.changes);
        self.entries.set_incarnation(self.membership.incarnation());
        if now >= self.next_publish_at {
            self.next_publish_at = now + PUBLISH_INTERVAL;
            self.publish(now, director, output);
        }
        if now >= self.next_exchange_at {
            self.exchange(now, output);
        }
        self.send_all(now, outgoing, output);
    }

    /// Shuts down gracefully.
    pub fn leave(&mut self, now: Timestamp, output: &mut GossipOutput) {
        let mut outgoing = Vec::new();
        self.membership.leave(&mut outgoing);
        self.send_all(now, outgoing, output);
    }

    /// What was received since the last call, in the module's terms. Entries of members that are dead or have left count as
    /// long as they are fresh: what was learned holds whoever learned it.
    pub fn advice(&mut self, now: Timestamp, director: &Director) -> Vec<PeerAdvice> {
        let received = std::mem::take(&mut self.received);
        if received.is_empty() {
            return Vec::new();
        }
        self.hash_hosts(director);
        let zones = &director.settings().zones;
        received.into_iter().filter_map(|entry| self.advice_of(now, &entry, zones)).collect()
    }

    fn handle_part(&mut self, now: Timestamp, from: u16, part: datagram::Part, output: &mut GossipOutput) {
        let contents = part.contents;
        match part.kind {
            part::MEMBERS => self.membership.handle_statements(now, contents, &mut output.changes),
            part::ENTRIES => self.entries.receive(now, contents, &mut self.received),
            part::URGENT_ENTRIES => self.entries.receive_urgent(now, contents, &mut self.received),
            part::DIGEST => self.answer_digest(now, from, contents, output),
            // Kinds of a later version are skipped.
            _ => {}
        }
    }

    /// Sends what a peer lacks by its digest, in a few datagrams at most.
    fn answer_digest(&mut self, now: Timestamp, to: u16, digest: &[u8], output: &mut GossipOutput) {
        let part_bytes = self.gossip_writer().remaining();
        let parts = self.entries.missing(now, digest, part_bytes, MAX_ANSWER_PARTS);
        let mut writer = self.gossip_writer();
        for part in parts {
            if part.len() > writer.remaining() {
                let full = std::mem::replace(&mut writer, self.gossip_writer());
                self.send(to, full, output);
            }
            writer.add_part(part::ENTRIES, &part);
        }
        let has_parts = writer.remaining() < part_bytes;
        if has_parts {
            self.send(to, writer, output);
        }
    }

    /// A datagram that carries parts only.
    fn gossip_writer(&self) -> DatagramWriter {
        let header = Header {
            kind: DatagramKind::Gossip,
            from: self.config.own_id,
            incarnation: self.membership.incarnation(),
            sequence: 0,
            about: self.config.own_id,
        };
        DatagramWriter::new(header, self.authenticator.trailer_bytes())
    }

    fn send(&mut self, to: u16, writer: DatagramWriter, output: &mut GossipOutput) {
        let bytes = self.authenticator.sign(writer.finish());
        self.counts.datagrams_sent += 1;
        self.counts.bytes_sent += bytes.len() as u64;
        output.datagrams.push(OutgoingDatagram { to, bytes });
    }

    /// Sends datagrams of the membership, each with as much news as fits.
    fn send_all(&mut self, now: Timestamp, outgoing: Vec<OutgoingHeader>, output: &mut GossipOutput) {
        for OutgoingHeader { to, header } in outgoing {
            let mut writer = DatagramWriter::new(header, self.authenticator.trailer_bytes());
            self.add_statements(&mut writer);
            self.add_urgent_entries(now, &mut writer);
            if matches!(header.kind, DatagramKind::Ping | DatagramKind::Ack) {
                self.add_digest(&mut writer, MAX_PING_DIGEST_BYTES);
            }
            self.send(to, writer, output);
        }
    }

    fn add_statements(&mut self, writer: &mut DatagramWriter) {
        let statements = self.membership.statements(writer.remaining().min(MAX_STATEMENT_BYTES));
        writer.add_part(part::MEMBERS, &statements);
    }

    fn add_urgent_entries(&self, now: Timestamp, writer: &mut DatagramWriter) {
        let urgent = self.entries.urgent_part(now, writer.remaining());
        writer.add_part(part::URGENT_ENTRIES, &urgent);
    }

    fn add_digest(&mut self, writer: &mut DatagramWriter, max_bytes: usize) {
        let digest = self.entries.digest(writer.remaining().min(max_bytes));
        writer.add_part(part::DIGEST, &digest);
    }

    /// Publishes what the module has learned, and pushes what cannot wait.
    fn publish(&mut self, now: Timestamp, director: &Director, output: &mut GossipOutput) {
        self.hash_hosts(director);
        let reports = self.reports(director);
        if !self.entries.publish(now, &reports) {
            return;
        }
        let alive = self.membership.members_in(MemberState::Alive);
        for to in alive.into_iter().take(MAX_URGENT_RECEIVERS) {
            let mut writer = self.gossip_writer();
            self.add_urgent_entries(now, &mut writer);
            self.send(to, writer, output);
        }
        self.entries.count_push();
    }

    /// Asks one member for what is missing here.
    fn exchange(&mut self, now: Timestamp, output: &mut GossipOutput) {
        let is_starting = now < self.started_at + STARTUP_DURATION && self.counts.entries_received == 0;
        self.next_exchange_at = now + if is_starting { STARTUP_EXCHANGE_INTERVAL } else { PERIOD };
        let alive = self.membership.random_alive_member();
        let Some(to) = alive.or_else(|| self.member_to_contact(now, is_starting)) else { return };
        let mut writer = self.gossip_writer();
        self.add_statements(&mut writer);
        self.add_digest(&mut writer, usize::MAX);
        self.send(to, writer, output);
    }

    /// The member that a starting director contacts while it knows of none that is alive: each in turn.
    fn member_to_contact(&self, now: Timestamp, is_starting: bool) -> Option<u16> {
        if !is_starting || self.config.count <= 1 {
            return None;
        }
        let turn = (now.0 / STARTUP_EXCHANGE_INTERVAL.0) % u64::from(self.config.count);
        Some(turn as u16).filter(|to| *to != self.config.own_id)
    }

    /// The short hash that stands for a host in entries.
    fn host_hash(&self, host: &HostId) -> u32 {
        xxhash_rust::xxh3::xxh3_64_with_seed(host.0.as_bytes(), self.config.tier_hash) as u32
    }

    /// Works out the short hashes of all known hosts.
    fn hash_hosts(&mut self, director: &Director) {
        self.host_hashes.clear();
        let mut collisions = 0;
        for host in director.hosts() {
            let hash = self.host_hash(host);
            let holder = self.host_hashes.entry(hash).or_insert_with(|| Some(host.clone()));
            if holder.as_ref() != Some(host) {
                *holder = None;
                collisions += 1;
            }
        }
        self.counts.hash_collisions = collisions;
    }

    /// A report on every remarkable host, as each zone with proxies sees it.
    fn reports(&self, director: &Director) -> BTreeMap<EntryKey, HostReport> {
        let views = director.zone_views().into_iter();
        let served: Vec<ZoneId> = views.filter(|view| view.proxies > 0).map(|view| view.zone).collect();
        let mut reports = BTreeMap::new();
        for (position, zone) in director.settings().zones.iter().enumerate().take(MAX_ZONES) {
            if !served.contains(zone) {
                continue;
            }
            for (hash, host) in &self.host_hashes {
                let view = host.as_ref().and_then(|host| director.host_view(zone, host));
                if let Some(report) = view.as_ref().and_then(remarkable_report) {
                    reports.insert(EntryKey { zone: position as u8, host: *hash }, report);
                }
            }
        }
        reports
    }

    fn advice_of(&self, now: Timestamp, received: &ReceivedEntry, zones: &[ZoneId]) -> Option<PeerAdvice> {
        let report = &received.entry.report;
        Some(PeerAdvice {
            from: u32::from(received.owner),
            zone: zones.get(usize::from(received.key.zone))?.clone(),
            host: self.host_hashes.get(&received.key.host)?.clone()?,
            ejected: report.health != HealthState::Healthy,
            weight_halvings: u32::from(report.weight_halvings),
            age: Micros(now.0.saturating_sub(received.entry.at.0)),
        })
    }
}

fn sender_of(datagram: &[u8]) -> Option<Sender> {
    let (header, _) = datagram::parse(datagram)?;
    Some(Sender { member: header.from, incarnation: header.incarnation })
}

/// The report on a host; `None` if there is nothing to say of it, or if it drains.
fn remarkable_report(view: &HostView) -> Option<HostReport> {
    let (health, halvings) = match view.status {
        HostStatus::Leading => (HealthState::Healthy, 0),
        HostStatus::WeightHalved(halvings) => (HealthState::Healthy, halvings),
        HostStatus::Ejected(_) => (HealthState::Ejected, 0),
        HostStatus::Probation(_) => (HealthState::Probation, 0),
        HostStatus::NotReady => return None,
    };
    let report = HostReport {
        health,
        weight_halvings: halvings.min(MAX_WEIGHT_HALVINGS) as u8,
        is_warming_up: view.is_warming_up,
        attempts: view.consecutive_failures.max(view.consecutive_useless).min(f64::from(u8::MAX)) as u8,
        loss: (view.loss_ratio.clamp(0.0, 1.0) * f64::from(u8::MAX)) as u8,
        latency_ms: view.latency_ms.unwrap_or(0.0).clamp(0.0, f64::from(u16::MAX)) as u16,
    };
    report.is_remarkable().then_some(report)
}

#[cfg(test)]
mod tests;
