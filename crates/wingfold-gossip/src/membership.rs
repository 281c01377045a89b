//! Membership: which directors of the tier are alive.
//!
//! In each period a director pings one member. If the member does not answer, other members are asked to ping
//! it, since a path may be cut in one direction. A member that does not answer these pings either becomes
//! suspect, and later dead. A member that learns that it is suspect refutes this. Dead members are still
//! pinged from time to time, so that the two sides of a partition find each other again once it has ended.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, 2002) with suspicion. Unlike in SWIM, a refutation raises
//! the revision, and the incarnation tells restarts apart.

use crate::datagram::{DatagramKind, Header};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use wingfold_director::interface::{Micros, Timestamp};

/// Interval at which a director pings one member.
pub const PERIOD: Micros = Micros(1_000_000);
/// Time after which other members are asked to ping a member that has not answered.
const ACK_TIMEOUT: Micros = Micros(400_000);
/// Largest number of members that are asked to ping a member that has not answered.
const INDIRECT_PING_RELAYS: usize = 2;
/// Periods after which a suspect member is dead; one more for each doubling of the tier's size.
const MIN_SUSPECT_PERIODS: u64 = 4;
/// Interval at which a member that is dead or has left is pinged, in periods.
const ABSENT_PING_PERIODS: u64 = 5;
/// Number of datagrams that announce a change of a member's state, for each doubling of the tier's size.
const ANNOUNCEMENTS_PER_DOUBLING: u32 = 4;
/// Size of a statement in a datagram, in bytes.
const STATEMENT_BYTES: usize = 10;
/// Largest number of statements in a datagram.
const MAX_STATEMENTS: usize = 6;
/// Largest number of unanswered pings on behalf of other members; older ones are dropped.
const MAX_RELAYED_PINGS: usize = 64;
/// Periods after which an unanswered ping on behalf of another member is dropped.
const RELAYED_PING_PERIODS: u64 = 2;

/// State of a member. The order of the variants is their value in datagrams. Of two states with the same
/// incarnation and revision, the later variant holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Nothing has been received from the member, or about it, yet.
    Unknown,
    /// The member responds.
    Alive,
    /// The member has not answered its last ping.
    Suspect,
    /// The member has been suspect for too long.
    Dead,
    /// The member has shut down gracefully.
    Left,
}

impl MemberState {
    /// The state that a byte in a datagram stands for; `None` for an unknown byte and for
    /// [`MemberState::Unknown`], which is never sent.
    fn from_byte(byte: u8) -> Option<MemberState> {
        use MemberState::{Alive, Dead, Left, Suspect};
        [Alive, Suspect, Dead, Left].into_iter().find(|state| *state as u8 == byte)
    }

    /// Whether the member is dead or has left.
    fn is_absent(self) -> bool {
        matches!(self, MemberState::Dead | MemberState::Left)
    }
}

/// Another member, as this director knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The state of the member.
    pub state: MemberState,
    /// The incarnation of the member, which is higher after each restart; 0 while it is not known.
    pub incarnation: u32,
    /// How often the member has refuted its suspicion or death in this incarnation.
    pub revision: u16,
    /// When the member entered its state, by this director's clock.
    pub since: Timestamp,
}

impl Member {
    /// Whether a statement about the member is newer than the known state.
    fn is_superseded_by(&self, statement: &Statement) -> bool {
        let known = (self.incarnation, self.revision, self.state);
        (statement.incarnation, statement.revision, statement.state) > known
    }
}

/// A statement of any member about the state of one member, as datagrams carry it.
#[derive(Clone, Copy, Debug)]
struct Statement {
    member: u16,
    state: MemberState,
    incarnation: u32,
    revision: u16,
}

impl Statement {
    /// Decodes a statement; `None` if its state is invalid.
    fn parse(bytes: &[u8]) -> Option<Statement> {
        Some(Statement {
            member: u16::from_be_bytes([bytes[0], bytes[1]]),
            state: MemberState::from_byte(bytes[2])?,
            incarnation: u32::from_be_bytes([bytes[3], bytes[4], bytes[5], bytes[6]]),
            revision: u16::from_be_bytes([bytes[7], bytes[8]]),
        })
    }

    /// Encodes the statement. The last byte is reserved.
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
    /// A member has entered another state.
    StateChanged {
        /// The number of the member.
        member: u16,
        /// The state that the member has entered.
        state: MemberState,
    },
    /// A member has a new incarnation; knowledge about the old one may be out of date.
    Restarted {
        /// The number of the member.
        member: u16,
    },
}

/// The header of a datagram to send; [`Gossip`](crate::Gossip) adds the parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingHeader {
    /// The number of the member that receives the datagram.
    pub to: u16,
    /// The header of the datagram.
    pub header: Header,
}

/// The ping of the current period, while it is unanswered.
#[derive(Clone, Copy, Debug)]
struct PendingPing {
    sequence: u16,
    member: u16,
    sent_at: Timestamp,
    /// Whether other members have been asked to ping the member as well.
    is_indirect: bool,
}

/// An unanswered ping on behalf of another member.
#[derive(Clone, Copy, Debug)]
struct RelayedPing {
    /// The sequence number of this director's ping.
    sequence: u16,
    /// The member that was pinged.
    member: u16,
    /// The member that asked for the ping.
    requester: u16,
    /// The sequence number of the requester's own ping.
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
    /// The number of datagrams that are still to announce the state of a member, by member.
    announcements: BTreeMap<u16, u32>,
    /// Members still to be pinged in this ping round; the last element is the next one.
    ping_order: Vec<u16>,
    next_period_at: Timestamp,
    /// Number of periods since the start.
    periods: u64,
    sequence: u16,
    pending_ping: Option<PendingPing>,
    relayed_pings: VecDeque<RelayedPing>,
    rng: ChaCha8Rng,
    has_left: bool,
}

impl Membership {
    /// The membership of member `own_id` in a tier of `member_count`; the state of all other members is
    /// unknown. `incarnation` should be newer than that before the restart; it is raised if other members
    /// know a newer one.
    pub fn new(own_id: u16, member_count: u16, incarnation: u32, seed: u64, now: Timestamp) -> Self {
        let unknown = Member { state: MemberState::Unknown, incarnation: 0, revision: 0, since: now };
        let others = (0..member_count).filter(|id| *id != own_id);
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

    /// All other members and their numbers, in ascending order of the numbers.
    pub fn members(&self) -> impl Iterator<Item = (u16, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// The state of a member; [`MemberState::Unknown`] for this director and for a number outside the tier.
    pub fn state(&self, member: u16) -> MemberState {
        self.members.get(&member).map_or(MemberState::Unknown, |member| member.state)
    }

    /// The numbers of the members in a state, in ascending order.
    pub fn members_in(&self, state: MemberState) -> Vec<u16> {
        self.members().filter(|(_, member)| member.state == state).map(|(id, _)| id).collect()
    }

    /// A random member that is alive; `None` if there is none.
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
        self.record_contact(now, header.from, header.incarnation, changes);
        match header.kind {
            DatagramKind::Ping => {
                let ack = self.ack(header.sequence, self.own_id);
                outgoing.push(OutgoingHeader { to: header.from, header: ack });
            }
            DatagramKind::PingRequest if self.members.contains_key(&header.target) => {
                outgoing.push(self.relay_ping(now, header));
            }
            DatagramKind::Ack => {
                self.handle_ack(now, header, changes);
                outgoing.extend(self.relay_ack(header));
            }
            DatagramKind::PingRequest | DatagramKind::Gossip => {}
        }
    }

    /// Handles the statements in a datagram.
    pub fn handle_statements(&mut self, now: Timestamp, bytes: &[u8], changes: &mut Vec<MembershipChange>) {
        for statement in bytes.chunks_exact(STATEMENT_BYTES).filter_map(Statement::parse) {
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

    /// Encodes statements for a datagram, at most `max_bytes`: first this director's own state, then changes
    /// that are still to be announced.
    pub fn statements(&mut self, max_bytes: usize) -> Vec<u8> {
        let mut bytes = Vec::new();
        let count = (max_bytes / STATEMENT_BYTES).min(MAX_STATEMENTS);
        if count == 0 {
            return bytes;
        }
        self.own_statement().write_to(&mut bytes);
        // Changes with the most remaining announcements come first.
        let pending = self.announcements.iter().map(|(id, remaining)| (*remaining, *id));
        let mut pending: Vec<(u32, u16)> = pending.collect();
        pending.sort_by_key(|(remaining, id)| (Reverse(*remaining), *id));
        for (remaining, id) in pending.into_iter().take(count - 1) {
            self.statement_of(id).write_to(&mut bytes);
            if remaining > 1 {
                self.announcements.insert(id, remaining - 1);
            } else {
                self.announcements.remove(&id);
            }
        }
        bytes
    }

    /// Does what is due at this time: pings members, and declares unresponsive ones suspect or dead.
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
        self.suspect_unresponsive(now, changes);
        self.declare_dead(now, changes);
        if let Some(member) = self.next_to_ping() {
            let header = self.next_header(DatagramKind::Ping);
            let sequence = header.sequence;
            self.pending_ping = Some(PendingPing { sequence, member, sent_at: now, is_indirect: false });
            outgoing.push(OutgoingHeader { to: member, header });
        }
    }

    /// Leaves the tier before a graceful shutdown: notifies all members that may be alive.
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

    /// The binary logarithm of the tier's size, rounded up.
    fn tier_size_log2(&self) -> u64 {
        u64::from((self.members.len() as u64 + 1).next_power_of_two().trailing_zeros())
    }

    /// A header with a new sequence number.
    fn next_header(&mut self, kind: DatagramKind) -> Header {
        self.sequence = self.sequence.wrapping_add(1);
        Header {
            kind,
            from: self.own_id,
            incarnation: self.incarnation,
            sequence: self.sequence,
            target: self.own_id,
        }
    }

    /// The header of an ack to the ping or ping request with this sequence number.
    fn ack(&self, sequence: u16, target: u16) -> Header {
        Header { kind: DatagramKind::Ack, from: self.own_id, incarnation: self.incarnation, sequence, target }
    }

    /// The statement about this director's own state.
    fn own_statement(&self) -> Statement {
        let state = if self.has_left { MemberState::Left } else { MemberState::Alive };
        Statement { member: self.own_id, state, incarnation: self.incarnation, revision: self.revision }
    }

    /// The statement that repeats the known state of another member.
    fn statement_of(&self, id: u16) -> Statement {
        let Member { state, incarnation, revision, .. } = self.members[&id];
        Statement { member: id, state, incarnation, revision }
    }

    /// Takes over the state in a statement, schedules its announcement, and reports the changes.
    fn set_state(&mut self, now: Timestamp, statement: &Statement, changes: &mut Vec<MembershipChange>) {
        let announcements = ANNOUNCEMENTS_PER_DOUBLING * (self.tier_size_log2() as u32).max(1);
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

    /// Records a datagram or an indirect ack from an incarnation of a member: the member is alive, unless it
    /// has left in this incarnation.
    fn record_contact(
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
        // A delayed datagram must not revive a member that has left. A restarted member has a higher
        // incarnation.
        let can_revive =
            matches!(member.state, MemberState::Unknown | MemberState::Suspect | MemberState::Dead);
        if is_new || can_revive {
            let revision = if is_new { 0 } else { member.revision };
            let alive = Statement { member: id, state: MemberState::Alive, incarnation, revision };
            self.set_state(now, &alive, changes);
        }
    }

    /// Asks other members to ping the member that has not answered this period's ping in time.
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
        for to in relays.into_iter().take(INDIRECT_PING_RELAYS) {
            let header = Header {
                kind: DatagramKind::PingRequest,
                from: self.own_id,
                incarnation: self.incarnation,
                sequence,
                target: member,
            };
            outgoing.push(OutgoingHeader { to, header });
        }
    }

    /// Declares the member suspect that has not answered the ping of the last period.
    fn suspect_unresponsive(&mut self, now: Timestamp, changes: &mut Vec<MembershipChange>) {
        let Some(ping) = self.pending_ping.take() else { return };
        if self.members[&ping.member].state == MemberState::Alive {
            let suspicion = Statement { state: MemberState::Suspect, ..self.statement_of(ping.member) };
            self.set_state(now, &suspicion, changes);
        }
    }

    /// Declares members dead that have been suspect for [`MIN_SUSPECT_PERIODS`], plus one period for each
    /// doubling of the tier's size.
    fn declare_dead(&mut self, now: Timestamp, changes: &mut Vec<MembershipChange>) {
        let timeout = Micros((MIN_SUSPECT_PERIODS + self.tier_size_log2()) * PERIOD.0);
        for id in self.members_in(MemberState::Suspect) {
            if now >= self.members[&id].since + timeout {
                let death = Statement { state: MemberState::Dead, ..self.statement_of(id) };
                self.set_state(now, &death, changes);
            }
        }
    }

    /// The member to ping in this period. Present members take turns, in a random order that is drawn for
    /// each ping round; every [`ABSENT_PING_PERIODS`] periods, and while all members are absent, a random
    /// absent member is pinged.
    fn next_to_ping(&mut self) -> Option<u16> {
        let absent: Vec<u16> =
            self.members().filter(|(_, member)| member.state.is_absent()).map(|(id, _)| id).collect();
        let must_ping_absent =
            self.periods.is_multiple_of(ABSENT_PING_PERIODS) || absent.len() == self.members.len();
        if !absent.is_empty() && must_ping_absent {
            return Some(absent[self.rng.random_range(0..absent.len())]);
        }
        self.next_in_round().or_else(|| {
            self.begin_ping_round();
            let next = self.next_in_round();
            if next.is_none() {
                self.begin_ping_round();
            }
            next
        })
    }

    /// The next member of this ping round that is not absent; `None` if the round is over.
    fn next_in_round(&mut self) -> Option<u16> {
        while let Some(id) = self.ping_order.pop() {
            if !self.members[&id].state.is_absent() {
                return Some(id);
            }
        }
        None
    }

    /// Draws a new random order of all members.
    fn begin_ping_round(&mut self) {
        self.ping_order = self.members.keys().copied().collect();
        self.ping_order.shuffle(&mut self.rng);
    }

    /// Pings a member on behalf of the sender of a ping request.
    fn relay_ping(&mut self, now: Timestamp, request: Header) -> OutgoingHeader {
        let ping = self.next_header(DatagramKind::Ping);
        self.relayed_pings.push_back(RelayedPing {
            sequence: ping.sequence,
            member: request.target,
            requester: request.from,
            requester_sequence: request.sequence,
            sent_at: now,
        });
        let max_age = Micros(RELAYED_PING_PERIODS * PERIOD.0);
        let is_expired = |ping: &RelayedPing| now > ping.sent_at + max_age;
        while self.relayed_pings.len() > MAX_RELAYED_PINGS
            || self.relayed_pings.front().is_some_and(is_expired)
        {
            self.relayed_pings.pop_front();
        }
        OutgoingHeader { to: request.target, header: ping }
    }

    /// Handles an ack to the ping of this period, from the pinged member or from a member that pinged it on
    /// request.
    fn handle_ack(&mut self, now: Timestamp, ack: Header, changes: &mut Vec<MembershipChange>) {
        let is_answered = |ping: &PendingPing| ping.sequence == ack.sequence && ping.member == ack.target;
        if !self.pending_ping.as_ref().is_some_and(is_answered) {
            return;
        }
        self.pending_ping = None;
        if ack.target != ack.from {
            let incarnation = self.members[&ack.target].incarnation;
            self.record_contact(now, ack.target, incarnation, changes);
        }
    }

    /// The ack for the member that asked for a ping, if `ack` answers such a ping.
    fn relay_ack(&mut self, ack: Header) -> Option<OutgoingHeader> {
        let is_answered = |ping: &RelayedPing| ping.sequence == ack.sequence && ping.member == ack.from;
        let position = self.relayed_pings.iter().position(is_answered)?;
        let ping = self.relayed_pings.remove(position)?;
        let header = self.ack(ping.requester_sequence, ping.member);
        Some(OutgoingHeader { to: ping.requester, header })
    }

    /// Refutes a statement about this director that says it is suspect, dead or has left, or that has a newer
    /// incarnation.
    fn refute(&mut self, statement: &Statement) {
        let denies_alive = statement.state >= MemberState::Suspect && statement.revision >= self.revision;
        if statement.incarnation > self.incarnation {
            // Incarnations are taken from the clock when a director starts; at one of the starts the clock
            // was wrong or had gone back.
            self.begin_incarnation(statement.incarnation.saturating_add(1));
        } else if statement.incarnation == self.incarnation && denies_alive && !self.has_left {
            self.revision = statement.revision.saturating_add(1);
            if self.revision == u16::MAX {
                self.begin_incarnation(self.incarnation.saturating_add(1));
            }
        }
    }

    /// Continues as another incarnation, without refutations so far.
    fn begin_incarnation(&mut self, incarnation: u32) {
        self.incarnation = incarnation;
        self.revision = 0;
    }
}
