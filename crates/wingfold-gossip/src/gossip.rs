//! The gossip of one director: membership and entries together.
//!
//! Received datagrams become advice for the decision module, and the module's treatment of hosts is sent as
//! datagrams. Traffic is bounded: in each period one ping with its ack and one exchange of entries, besides
//! pushes of urgent entries.

use crate::authentication::{Authenticator, Rejections, Sender};
use crate::datagram::{self, part, DatagramKind, DatagramWriter, Header};
use crate::entries::{EntryKey, EntryStore, HealthState, HostReport, ReceivedEntry};
use crate::membership::{MemberState, Membership, MembershipChange, OutgoingHeader, PERIOD};
use std::collections::BTreeMap;
use wingfold_director::inspect::{HostStatus, HostView};
use wingfold_director::interface::{HostId, Micros, PeerAdvice, Timestamp, ZoneId};
use wingfold_director::Director;

/// Interval at which the decision module's treatment of hosts is published as entries.
const PUBLISH_INTERVAL: Micros = Micros(500_000);
/// Largest number of parts that answer one digest; the next exchange sends further entries.
const MAX_DIGEST_ANSWER_PARTS: usize = 4;
/// Interval at which a director that has just started begins exchanges, until it has received an entry.
const STARTUP_EXCHANGE_INTERVAL: Micros = Micros(100_000);
/// How long after its start a director uses [`STARTUP_EXCHANGE_INTERVAL`] at most.
const MAX_STARTUP_DURATION: Micros = Micros(2_000_000);
/// Largest number of members to which urgent entries are pushed; the others get them by exchanges.
const MAX_PUSH_RECEIVERS: usize = 8;
/// Largest size of the membership statements in a datagram, in bytes.
const MAX_STATEMENTS_BYTES: usize = 64;
/// Largest size of the digest in a ping or an ack, in bytes.
const MAX_PING_DIGEST_BYTES: usize = 100;
/// Number of zones that an entry can name: the position of the zone is stored in one byte.
const MAX_ZONES: usize = 256;
/// Largest number of weight halvings in an entry, which stores it in two bits.
const MAX_WEIGHT_HALVINGS: u32 = 3;

/// Configuration of one director's gossip.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// This director's number, from 0.
    pub own_id: u16,
    /// Number of directors in the tier.
    pub member_count: u16,
    /// This director's incarnation, which should be newer than that before the restart.
    pub incarnation: u32,
    /// Seed of the random choices of members and of their order.
    pub seed: u64,
    /// A value that the directors of a tier share and those of other tiers do not; short host hashes depend
    /// on it.
    pub tier_hash: u64,
    /// Accepted keys; the first one signs. Without keys datagrams are neither signed nor checked.
    pub keys: Vec<Vec<u8>>,
}

/// Counters of datagrams, entries and hash collisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounts {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of the datagrams sent, signatures included.
    pub bytes_sent: u64,
    /// Valid datagrams received.
    pub datagrams_received: u64,
    /// Datagrams received that are malformed, of another version, or not from another member of the tier.
    pub datagrams_invalid: u64,
    /// Entries received that this director did not know.
    pub entries_received: u64,
    /// Collisions among the short hashes of the current hosts. Hosts that share a hash are left out of
    /// entries and advice.
    pub hash_collisions: u64,
}

/// The gossip of one director: handles datagrams, publishes entries and gives advice.
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
    /// Hosts by their short hash; `None` if several hosts share the hash.
    host_hashes: BTreeMap<u32, Option<HostId>>,
    /// Counters since the start.
    pub counts: GossipCounts,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The number of the member that receives the datagram.
    pub to: u16,
    /// The encoded datagram with its signature.
    pub bytes: Vec<u8>,
}

/// Datagrams to send, and changes of the membership.
#[derive(Debug, Default)]
pub struct GossipOutput {
    /// Datagrams to send, in this order.
    pub datagrams: Vec<OutgoingDatagram>,
    /// Changes of the membership, in the order in which they occurred.
    pub changes: Vec<MembershipChange>,
}

impl Gossip {
    /// Starts the gossip of a director that knows of no other member and no entry yet.
    pub fn new(config: GossipConfig, now: Timestamp) -> Gossip {
        let GossipConfig { own_id, member_count, incarnation, seed, .. } = config;
        Gossip {
            membership: Membership::new(own_id, member_count, incarnation, seed, now),
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

    /// The entries of all directors, as far as this director knows them.
    pub fn entries(&self) -> &EntryStore {
        &self.entries
    }

    /// Replaces the keys; see [`Authenticator::replace_keys`].
    pub fn replace_keys(&mut self, keys: Vec<Vec<u8>>) {
        self.authenticator.replace_keys(keys);
    }

    /// Datagrams that failed authentication.
    pub fn rejections(&self) -> Rejections {
        self.authenticator.rejections
    }

    /// Handles a received datagram: checks its signature, updates membership and entries, and answers it.
    pub fn handle_datagram(&mut self, now: Timestamp, bytes: &[u8], output: &mut GossipOutput) {
        let Some(datagram) = self.authenticator.verify(bytes, parse_sender) else { return };
        let Some((header, parts)) = datagram::parse(datagram) else {
            self.counts.datagrams_invalid += 1;
            return;
        };
        if header.from == self.config.own_id || header.from >= self.config.member_count {
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
        self.send_membership_datagrams(now, outgoing, output);
    }

    /// Does what is due at this time: pings, publishing the module's treatment of hosts, and exchanges of
    /// entries.
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
        self.send_membership_datagrams(now, outgoing, output);
    }

    /// Leaves the tier before a graceful shutdown: notifies all members that may be alive.
    pub fn leave(&mut self, now: Timestamp, output: &mut GossipOutput) {
        let mut outgoing = Vec::new();
        self.membership.leave(&mut outgoing);
        self.send_membership_datagrams(now, outgoing, output);
    }

    /// Advice from the entries received since the last call. Entries of members that are dead or have left
    /// are included: what a director observed of a host stays valid after the director has stopped.
    pub fn advice(&mut self, now: Timestamp, director: &Director) -> Vec<PeerAdvice> {
        let received = std::mem::take(&mut self.received);
        if received.is_empty() {
            return Vec::new();
        }
        self.update_host_hashes(director);
        let zones = &director.settings().zones;
        received.into_iter().filter_map(|entry| self.peer_advice(now, &entry, zones)).collect()
    }

    fn handle_part(&mut self, now: Timestamp, from: u16, part: datagram::Part, output: &mut GossipOutput) {
        let contents = part.contents;
        match part.kind {
            part::MEMBERS => self.membership.handle_statements(now, contents, &mut output.changes),
            part::ENTRIES => self.entries.receive(now, contents, &mut self.received),
            part::URGENT_ENTRIES => self.entries.receive_urgent(now, contents, &mut self.received),
            part::DIGEST => self.answer_digest(now, from, contents, output),
            // A kind that only later builds know.
            _ => {}
        }
    }

    /// Answers a digest with the entries that the peer lacks, at most [`MAX_DIGEST_ANSWER_PARTS`] parts of
    /// them.
    fn answer_digest(&mut self, now: Timestamp, to: u16, digest: &[u8], output: &mut GossipOutput) {
        let part_bytes = self.gossip_writer().remaining();
        let parts = self.entries.missing_parts(now, digest, part_bytes, MAX_DIGEST_ANSWER_PARTS);
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

    /// A writer of a datagram of kind [`DatagramKind::Gossip`].
    fn gossip_writer(&self) -> DatagramWriter {
        let header = Header {
            kind: DatagramKind::Gossip,
            from: self.config.own_id,
            incarnation: self.membership.incarnation(),
            sequence: 0,
            target: self.config.own_id,
        };
        DatagramWriter::new(header, self.authenticator.trailer_bytes())
    }

    fn send(&mut self, to: u16, writer: DatagramWriter, output: &mut GossipOutput) {
        let bytes = self.authenticator.sign(writer.finish());
        self.counts.datagrams_sent += 1;
        self.counts.bytes_sent += bytes.len() as u64;
        output.datagrams.push(OutgoingDatagram { to, bytes });
    }

    /// Sends the datagrams that the membership protocol needs. Each also carries membership statements,
    /// urgent entries and, in pings and acks, a digest, as far as they fit.
    fn send_membership_datagrams(
        &mut self,
        now: Timestamp,
        outgoing: Vec<OutgoingHeader>,
        output: &mut GossipOutput,
    ) {
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
        let statements = self.membership.statements(writer.remaining().min(MAX_STATEMENTS_BYTES));
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

    /// Publishes the module's treatment of hosts as entries, and pushes the urgent ones to members that are
    /// alive.
    fn publish(&mut self, now: Timestamp, director: &Director, output: &mut GossipOutput) {
        self.update_host_hashes(director);
        let reports = self.host_reports(director);
        if !self.entries.publish(now, &reports) {
            return;
        }
        let alive = self.membership.members_in(MemberState::Alive);
        for to in alive.into_iter().take(MAX_PUSH_RECEIVERS) {
            let mut writer = self.gossip_writer();
            self.add_urgent_entries(now, &mut writer);
            self.send(to, writer, output);
        }
        self.entries.record_push();
    }

    /// Sends a digest to one member, which answers with the entries that this director lacks.
    fn exchange(&mut self, now: Timestamp, output: &mut GossipOutput) {
        let is_starting = now < self.started_at + MAX_STARTUP_DURATION && self.counts.entries_received == 0;
        self.next_exchange_at = now + if is_starting { STARTUP_EXCHANGE_INTERVAL } else { PERIOD };
        let alive = self.membership.random_alive_member();
        let Some(to) = alive.or_else(|| self.startup_contact(now, is_starting)) else { return };
        let mut writer = self.gossip_writer();
        self.add_statements(&mut writer);
        self.add_digest(&mut writer, usize::MAX);
        self.send(to, writer, output);
    }

    /// The member that a starting director contacts while it knows of no member that is alive: the other
    /// members in turn.
    fn startup_contact(&self, now: Timestamp, is_starting: bool) -> Option<u16> {
        if !is_starting || self.config.member_count <= 1 {
            return None;
        }
        let turn = (now.0 / STARTUP_EXCHANGE_INTERVAL.0) % u64::from(self.config.member_count);
        Some(turn as u16).filter(|to| *to != self.config.own_id)
    }

    /// The short hash of a host's name, which identifies the host in entries.
    fn host_hash(&self, host: &HostId) -> u32 {
        xxhash_rust::xxh3::xxh3_64_with_seed(host.0.as_bytes(), self.config.tier_hash) as u32
    }

    /// Computes the short hashes of all hosts that the module knows.
    fn update_host_hashes(&mut self, director: &Director) {
        self.host_hashes.clear();
        let mut collisions = 0;
        for host in director.hosts() {
            let hash = self.host_hash(host);
            let hashed_host = self.host_hashes.entry(hash).or_insert_with(|| Some(host.clone()));
            if hashed_host.as_ref() != Some(host) {
                *hashed_host = None;
                collisions += 1;
            }
        }
        self.counts.hash_collisions = collisions;
    }

    /// Reports on the hosts that a zone treats abnormally, for all zones with proxies.
    fn host_reports(&self, director: &Director) -> BTreeMap<EntryKey, HostReport> {
        let views = director.zone_views().into_iter();
        let zones_with_proxies: Vec<ZoneId> =
            views.filter(|view| view.proxies > 0).map(|view| view.zone).collect();
        let mut reports = BTreeMap::new();
        for (position, zone) in director.settings().zones.iter().enumerate().take(MAX_ZONES) {
            if !zones_with_proxies.contains(zone) {
                continue;
            }
            for (hash, host) in &self.host_hashes {
                let view = host.as_ref().and_then(|host| director.host_view(zone, host));
                if let Some(report) = view.as_ref().and_then(abnormal_report) {
                    reports.insert(EntryKey { zone: position as u8, host: *hash }, report);
                }
            }
        }
        reports
    }

    /// The advice from a received entry; `None` if this director does not know the zone, or does not know
    /// exactly one host with the short hash.
    fn peer_advice(&self, now: Timestamp, received: &ReceivedEntry, zones: &[ZoneId]) -> Option<PeerAdvice> {
        let report = &received.entry.report;
        Some(PeerAdvice {
            from: u32::from(received.owner),
            zone: zones.get(usize::from(received.key.zone))?.clone(),
            host: self.host_hashes.get(&received.key.host)?.clone()?,
            ejected: report.health != HealthState::Healthy,
            weight_halvings: u32::from(report.weight_halvings),
            age: Micros(now.0.saturating_sub(received.entry.published_at.0)),
        })
    }
}

/// The sender by the header of a datagram; `None` if the datagram is malformed.
fn parse_sender(datagram: &[u8]) -> Option<Sender> {
    let (header, _) = datagram::parse(datagram)?;
    Some(Sender { member: header.from, incarnation: header.incarnation })
}

/// The report on a host; `None` if the host is treated normally, or if it drains or was removed.
fn abnormal_report(view: &HostView) -> Option<HostReport> {
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
    report.is_abnormal().then_some(report)
}

#[cfg(test)]
mod tests;
