//! Which members of the tier are alive.
//!
//! Each period one member is pinged. One that does not answer is pinged through others, since a path may be cut in one
//! direction, then it is suspect, then dead. A member that learns of its own suspicion refutes it. Dead members are still
//! pinged now and then, so that a partition heals by itself.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, 2002) with suspicion; incarnations tell restarts apart.

use crate::datagram::{DatagramKind, Header};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use wingfold_director::interface::{Micros, Timestamp};

/// Interval of pings.
pub const PERIOD: Micros = Micros(1_000_000);
/// Time after which a ping that was not answered is tried through other members.
const ACK_TIMEOUT: Micros = Micros(400_000);
/// Members that are asked to ping another one.
const INDIRECT_PINGS: usize = 2;
/// Periods after which a suspect is dead; one more for each doubling of the tier.
const SUSPECT_PERIODS: u64 = 4;
/// One of so many periods pings a member that is dead or has left.
const DEAD_PING_INTERVAL: u64 = 5;
/// Datagrams that carry a change of a member, for each doubling of the tier.
const ANNOUNCEMENTS: u32 = 4;
/// Bytes of a member's state in a datagram.
const ENTRY_BYTES: usize = 10;
/// Members whose state one datagram carries, at most.
const MAX_ENTRIES: usize = 6;
/// Pings on behalf of others that may be unanswered.
const MAX_RELAYED_PINGS: usize = 64;
/// Periods after which an unanswered ping on behalf of another is dropped.
const RELAY_PERIODS: u64 = 2;

/// State of a member. The order of the variants is their value in datagrams, and which of two states of one revision holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Nothing came from it yet.
    Unknown,
    /// It answers.
    Alive,
    /// It did not answer lately.
    Suspect,
    /// It has been suspect for too long.
    Dead,
    /// It has shut down gracefully.
    Left,
}

impl MemberState {
    /// The state of a byte in a datagram.
    fn from_byte(byte: u8) -> Option<MemberState> {
        use MemberState::{Alive, Dead, Left, Suspect};
        [Alive, Suspect, Dead, Left].into_iter().find(|state| *state as u8 == byte)
    }

    fn is_absent(self) -> bool {
        matches!(self, MemberState::Dead | MemberState::Left)
    }
}

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its state.
    pub state: MemberState,
    /// Its incarnation: a restart begins a new one. 0: none is known.
    pub incarnation: u32,
    /// How often it has refuted a suspicion in this incarnation.
    pub revision: u16,
    /// When it got into this state, by this director's clock.
    pub since: Timestamp,
}

impl Member {
    /// Whether a statement about the member is newer than what is known.
    fn is_superseded_by(&self, statement: &Statement) -> bool {
        let known = (self.incarnation, self.revision, self.state);
        (statement.incarnation, statement.revision, statement.state) > known
    }
}

/// What somebody says of a member.
#[derive(Clone, Copy, Debug)]
struct Statement {
    member: u16,
    state: MemberState,
    incarnation: u32,
    revision: u16,
}

impl Statement {
    fn parse(bytes: &[u8]) -> Option<Statement> {
        Some(Statement {
            member: u16::from_be_bytes([bytes[0], bytes[1]]),
            state: MemberState::from_byte(bytes[2])?,
            incarnation: u32::from_be_bytes([bytes[3], bytes[4], bytes[5], bytes[6]]),
            revision: u16::from_be_bytes([bytes[7], bytes[8]]),
        })
    }

    fn write_to(&self, bytes: &mut Vec<u8>) {
        const RESERVED: u8 = 0;
        bytes.extend(self.member.to_be_bytes());
        bytes.push(self.state as u8);
        bytes.extend(self.incarnation.to_be_bytes());
        bytes.extend(self.revision.to_be_bytes());
        bytes.push(RESERVED);
    }
}

/// A change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member has got into another state.
    StateChanged {
        /// The member.
        member: u16,
        /// Its state from now on.
        state: MemberState,
    },
    /// A member has a new incarnation: what was learned of the old one may no longer hold.
    Restarted {
        /// The member.
        member: u16,
    },
}

/// A datagram to send; its parts come from members and entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingHeader {
    /// The receiver.
    pub to: u16,
    /// The header.
    pub header: Header,
}

/// The ping of this period.
#[derive(Clone, Copy, Debug)]
struct PendingPing {
    sequence: u16,
    member: u16,
    sent_at: Timestamp,
    /// Other members have been asked to ping it as well.
    is_indirect: bool,
}

/// A ping on behalf of another member.
#[derive(Clone, Copy, Debug)]
struct RelayedPing {
    sequence: u16,
    member: u16,
    requester: u16,
    requester_sequence: u16,
    sent_at: Timestamp,
}

/// The members of the tier as one director sees them.
#[derive(Debug)]
pub struct Membership {
    own_id: u16,
    incarnation: u32,
    revision: u16,
    members: BTreeMap<u16, Member>,
    /// In how many datagrams the state of a member is still to be announced.
    announcements: BTreeMap<u16, u32>,
    /// Members still to be pinged in this round, the next one last.
    ping_order: Vec<u16>,
    next_period_at: Timestamp,
    periods: u64,
    sequence: u16,
    pending_ping: Option<PendingPing>,
    relayed_pings: VecDeque<RelayedPing>,
    rng: ChaCha8Rng,
    has_left: bool,
}

impl Membership {
    /// For member `own_id` of `count` members. `incarnation` should be newer than the last one; it is corrected if others
    /// remember a newer one.
    pub fn new(own_id: u16, count: u16, incarnation: u32, seed: u64, now: Timestamp) -> Self {
        let unknown = Member { state: MemberState::Unknown, incarnation: 0, revision: 0, since: now };
        let others = (0..count).filter(|id| *id != own_id);
        let members: BTreeMap<u16, Member> = others.map(|id| (id, unknown)).collect();
        Membership {
            own_id,
            incarnation: incarnation.max(1),
            revision: 0,
            ping_order: members.keys().copied().collect(),
            members,
            announcements: BTreeMap::new(),
            next_period_at: now,
            periods: 0,
            sequence: 0,
            pending_ping: None,
            relayed_pings: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            has_left: false,
        }
    }

    /// This director's incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Every other member, by number.
    pub fn members(&self) -> impl Iterator<Item = (u16, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// The state of a member.
    pub fn state(&self, member: u16) -> MemberState {
        self.members.get(&member).map_or(MemberState::Unknown, |member| member.state)
    }

    /// The members in a state, by number.
    pub fn members_in(&self, state: MemberState) -> Vec<u16> {
        self.members().filter(|(_, member)| member.state == state).map(|(id, _)| id).collect()
    }

    /// A random member that is alive.
    pub fn random_alive_member(&mut self) -> Option<u16> {
        let alive = self.members_in(MemberState::Alive);
        if alive.is_empty() {
            return None;
        }
        Some(alive[self.rng.random_range(0..alive.len())])
    }

    /// Handles the header of a datagram from another member.
    pub fn handle_datagram(
        &mut self,
        now: Timestamp,
        header: Header,
        outgoing: &mut Vec<OutgoingHeader>,
        changes: &mut Vec<MembershipChange>,
    ) {
        let is_member = header.from != self.own_id && self.members.contains_key(&header.from);
        if !is_member || self.has_left {
            return;
        }
        self.record_sign_of_life(now, header.from, header.incarnation, changes);
        match header.kind {
            DatagramKind::Ping => {
                let ack = self.ack(header.sequence, self.own_id);
                outgoing.push(OutgoingHeader { to: header.from, header: ack });
            }
            DatagramKind::PingRequest if self.members.contains_key(&header.about) => {
                outgoing.push(self.relay_ping(now, header));
            }
            DatagramKind::Ack => {
                self.handle_ack(now, header, changes);
                outgoing.extend(self.relay_ack(header));
            }
            DatagramKind::PingRequest | DatagramKind::Gossip => {}
        }
    }

    /// Handles what another director says of members.
    pub fn handle_statements(&mut self, now: Timestamp, bytes: &[u8], changes: &mut Vec<MembershipChange>) {
        for statement in bytes.chunks_exact(ENTRY_BYTES).filter_map(Statement::parse) {
            if statement.member == self.own_id {
                self.refute(&statement);
                continue;
            }
            let known = self.members.get(&statement.member);
            if known.is_some_and(|known| known.is_superseded_by(&statement)) {
                self.set_state(now, &statement, changes);
            }
        }
    }

    /// What a datagram carries of members, within `max_bytes`.
    pub fn statements(&mut self, max_bytes: usize) -> Vec<u8> {
        let mut bytes = Vec::new();
        let count = (max_bytes / ENTRY_BYTES).min(MAX_ENTRIES);
        if count == 0 {
            return bytes;
        }
        self.own_statement().write_to(&mut bytes);
        // What was announced least goes first.
        let mut pending: Vec<(u32, u16)> = self.announcements.iter().map(|(id, left)| (*left, *id)).collect();
        pending.sort_by_key(|(left, id)| (Reverse(*left), *id));
        for (left, id) in pending.into_iter().take(count - 1) {
            self.statement_of(id).write_to(&mut bytes);
            if left > 1 {
                self.announcements.insert(id, left - 1);
            } else {
                self.announcements.remove(&id);
            }
        }
        bytes
    }

    /// Does what is due: pings, suspicions and deaths.
    pub fn tick(
        &mut self,
        now: Timestamp,
        outgoing: &mut Vec<OutgoingHeader>,
        changes: &mut Vec<MembershipChange>,
    ) {
        if self.has_left || self.members.is_empty() {
            return;
        }
        self.send_indirect_pings(now, outgoing);
        if now < self.next_period_at {
            return;
        }
        self.next_period_at = now + PERIOD;
        self.periods += 1;
        self.suspect_unanswered(now, changes);
        self.declare_dead(now, changes);
        if let Some(member) = self.next_to_ping() {
            let header = self.next_header(DatagramKind::Ping);
            let sequence = header.sequence;
            self.pending_ping = Some(PendingPing { sequence, member, sent_at: now, is_indirect: false });
            outgoing.push(OutgoingHeader { to: member, header });
        }
    }

    /// Shuts down gracefully: all members that may be alive are notified.
    pub fn leave(&mut self, outgoing: &mut Vec<OutgoingHeader>) {
        self.has_left = true;
        let may_be_alive = |member: &Member| member.state <= MemberState::Suspect;
        let receivers: Vec<u16> =
            self.members().filter(|(_, member)| may_be_alive(member)).map(|(id, _)| id).collect();
        for to in receivers {
            let header = self.next_header(DatagramKind::Gossip);
            outgoing.push(OutgoingHeader { to, header });
        }
    }

    /// How often the tier has doubled from a single member, rounded up.
    fn doublings(&self) -> u64 {
        u64::from((self.members.len() as u64 + 1).next_power_of_two().trailing_zeros())
    }

    /// A header with a sequence number of its own.
    fn next_header(&mut self, kind: DatagramKind) -> Header {
        self.sequence = self.sequence.wrapping_add(1);
        Header {
            kind,
            from: self.own_id,
            incarnation: self.incarnation,
            sequence: self.sequence,
            about: self.own_id,
        }
    }

    fn ack(&self, sequence: u16, about: u16) -> Header {
        Header { kind: DatagramKind::Ack, from: self.own_id, incarnation: self.incarnation, sequence, about }
    }

    fn own_statement(&self) -> Statement {
        let state = if self.has_left { MemberState::Left } else { MemberState::Alive };
        Statement { member: self.own_id, state, incarnation: self.incarnation, revision: self.revision }
    }

    fn statement_of(&self, id: u16) -> Statement {
        let Member { state, incarnation, revision, .. } = self.members[&id];
        Statement { member: id, state, incarnation, revision }
    }

    fn set_state(&mut self, now: Timestamp, statement: &Statement, changes: &mut Vec<MembershipChange>) {
        let announcements = ANNOUNCEMENTS * (self.doublings() as u32).max(1);
        let Statement { member: id, state, incarnation, revision } = *statement;
        let Some(member) = self.members.get_mut(&id) else { return };
        let has_changed = member.state != state;
        let has_restarted = member.incarnation != 0 && incarnation > member.incarnation;
        let since = if has_changed { now } else { member.since };
        *member = Member { state, incarnation, revision, since };
        self.announcements.insert(id, announcements);
        if has_restarted {
            changes.push(MembershipChange::Restarted { member: id });
        }
        if has_changed {
            changes.push(MembershipChange::StateChanged { member: id, state });
        }
    }

    /// Something came from an incarnation of a member.
    fn record_sign_of_life(
        &mut self,
        now: Timestamp,
        id: u16,
        incarnation: u32,
        changes: &mut Vec<MembershipChange>,
    ) {
        let Some(member) = self.members.get(&id).copied() else { return };
        if incarnation < member.incarnation {
            return;
        }
        let is_new = incarnation > member.incarnation;
        // A late datagram must not revive a member that has left: a new incarnation comes with a newer number.
        let is_doubted =
            matches!(member.state, MemberState::Unknown | MemberState::Suspect | MemberState::Dead);
        if is_new || is_doubted {
            let revision = if is_new { 0 } else { member.revision };
            let alive = Statement { member: id, state: MemberState::Alive, incarnation, revision };
            self.set_state(now, &alive, changes);
        }
    }

    /// Asks other members to ping the one that has not answered in time.
    fn send_indirect_pings(&mut self, now: Timestamp, outgoing: &mut Vec<OutgoingHeader>) {
        let Some(ping) = &mut self.pending_ping else { return };
        if ping.is_indirect || now < ping.sent_at + ACK_TIMEOUT {
            return;
        }
        ping.is_indirect = true;
        let PendingPing { sequence, member, .. } = *ping;
        let mut relays = self.members_in(MemberState::Alive);
        relays.retain(|id| *id != member);
        relays.shuffle(&mut self.rng);
        for to in relays.into_iter().take(INDIRECT_PINGS) {
            let header = Header {
                kind: DatagramKind::PingRequest,
                from: self.own_id,
                incarnation: self.incarnation,
                sequence,
                about: member,
            };
            outgoing.push(OutgoingHeader { to, header });
        }
    }

    /// Suspects the member that has not answered the ping of the last period.
    fn suspect_unanswered(&mut self, now: Timestamp, changes: &mut Vec<MembershipChange>) {
        let Some(ping) = self.pending_ping.take() else { return };
        if self.members[&ping.member].state == MemberState::Alive {
            let suspicion = Statement { state: MemberState::Suspect, ..self.statement_of(ping.member) };
            self.set_state(now, &suspicion, changes);
        }
    }

    /// Declares members dead that have been suspect for too long.
    fn declare_dead(&mut self, now: Timestamp, changes: &mut Vec<MembershipChange>) {
        let timeout = Micros((SUSPECT_PERIODS + self.doublings()) * PERIOD.0);
        for id in self.members_in(MemberState::Suspect) {
            if now >= self.members[&id].since + timeout {
                let death = Statement { state: MemberState::Dead, ..self.statement_of(id) };
                self.set_state(now, &death, changes);
            }
        }
    }

    /// The member to ping in this period: each in turn, in an order drawn for each round; now and then an absent one.
    fn next_to_ping(&mut self) -> Option<u16> {
        let absent: Vec<u16> =
            self.members().filter(|(_, member)| member.state.is_absent()).map(|(id, _)| id).collect();
        let is_turn_of_absent =
            self.periods.is_multiple_of(DEAD_PING_INTERVAL) || absent.len() == self.members.len();
        if !absent.is_empty() && is_turn_of_absent {
            return Some(absent[self.rng.random_range(0..absent.len())]);
        }
        self.next_present_member().or_else(|| {
            self.begin_ping_round();
            let next = self.next_present_member();
            if next.is_none() {
                self.begin_ping_round();
            }
            next
        })
    }

    /// The next member of this round that is not absent.
    fn next_present_member(&mut self) -> Option<u16> {
        while let Some(id) = self.ping_order.pop() {
            if !self.members[&id].state.is_absent() {
                return Some(id);
            }
        }
        None
    }

    fn begin_ping_round(&mut self) {
        self.ping_order = self.members.keys().copied().collect();
        self.ping_order.shuffle(&mut self.rng);
    }

    /// Pings a member on behalf of the sender of a ping request.
    fn relay_ping(&mut self, now: Timestamp, request: Header) -> OutgoingHeader {
        let ping = self.next_header(DatagramKind::Ping);
        self.relayed_pings.push_back(RelayedPing {
            sequence: ping.sequence,
            member: request.about,
            requester: request.from,
            requester_sequence: request.sequence,
            sent_at: now,
        });
        let oldest_kept = Micros(RELAY_PERIODS * PERIOD.0);
        let is_too_old = |ping: &RelayedPing| now > ping.sent_at + oldest_kept;
        while self.relayed_pings.len() > MAX_RELAYED_PINGS
            || self.relayed_pings.front().is_some_and(is_too_old)
        {
            self.relayed_pings.pop_front();
        }
        OutgoingHeader { to: request.about, header: ping }
    }

    /// The answer to the ping of this period, from the member itself or from one that pinged it for this director.
    fn handle_ack(&mut self, now: Timestamp, ack: Header, changes: &mut Vec<MembershipChange>) {
        let is_answered = |ping: &PendingPing| ping.sequence == ack.sequence && ping.member == ack.about;
        if !self.pending_ping.as_ref().is_some_and(is_answered) {
            return;
        }
        self.pending_ping = None;
        if ack.about != ack.from {
            let incarnation = self.members[&ack.about].incarnation;
            self.record_sign_of_life(now, ack.about, incarnation, changes);
        }
    }

    /// Passes the answer to a relayed ping on to the member that asked for it.
    fn relay_ack(&mut self, ack: Header) -> Option<OutgoingHeader> {
        let is_answered = |ping: &RelayedPing| ping.sequence == ack.sequence && ping.member == ack.from;
        let position = self.relayed_pings.iter().position(is_answered)?;
        let ping = self.relayed_pings.remove(position)?;
        let header = self.ack(ping.requester_sequence, ping.member);
        Some(OutgoingHeader { to: ping.requester, header })
    }

    /// Refutes what others say of this director: a suspicion, or an incarnation that seems newer.
    fn refute(&mut self, statement: &Statement) {
        let is_doubted = statement.state >= MemberState::Suspect && statement.revision >= self.revision;
        if statement.incarnation > self.incarnation {
            // The clock was wrong at one of the starts, or went back.
            self.begin_incarnation(statement.incarnation.saturating_add(1));
        } else if statement.incarnation == self.incarnation && is_doubted && !self.has_left {
            self.revision = statement.revision.saturating_add(1);
            if self.revision == u16::MAX {
                self.begin_incarnation(self.incarnation.saturating_add(1));
            }
        }
    }

    fn begin_incarnation(&mut self, incarnation: u32) {
        self.incarnation = incarnation;
        self.revision = 0;
    }
}
