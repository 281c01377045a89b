//! The events of a simulation and the queue that orders them by time.

use crate::attempt::{AttemptId, AttemptOutcome};
use crate::proxy::RoutingRule;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use wingfold_director::interface::{Event, Timestamp};

/// Something that happens at a point in virtual time. Hosts, proxies and directors are named by their index.
pub(super) enum SimulationEvent {
    /// A request arrives at a proxy, unless the proxy's traffic has changed since it was drawn.
    RequestArrives { proxy: usize, epoch: u32 },
    /// An attempt reaches its host.
    AttemptReachesHost { attempt: AttemptId, host: usize },
    /// A core has finished an attempt, unless the host has stopped since.
    AttemptFinishes { attempt: AttemptId, host: usize, incarnation: u32 },
    /// A proxy learns how an attempt ended.
    AttemptEnds { attempt: AttemptId, outcome: AttemptOutcome },
    /// Proxies and hosts send their load reports.
    ReportsDue,
    /// Events reach a director, unless it has died since.
    DirectorReceives { director: usize, incarnation: u32, events: Vec<Event> },
    /// A director's timer fires.
    TimerFires { director: usize, incarnation: u32, token: u64 },
    /// A director gets the whole list of hosts that it asked for.
    ListFetched { director: usize, incarnation: u32 },
    /// A director sends its peers a made-up message.
    PeerMessageDue { director: usize },
    /// New rules reach a proxy, unless their stream has broken since.
    RulesReachProxy { proxy: usize, stream: u32, rules: Vec<RoutingRule> },
    /// A proxy connects to a director.
    ProxyConnects { proxy: usize },
    /// A proxy notices that its stream is dead.
    StreamBreaks { proxy: usize, stream: u32 },
    /// The rules are checked.
    CheckDue,
    /// A fault begins or ends.
    FaultChanges { fault: usize, active: bool },
    /// Hosts are drained, stopped or started as part of a fault.
    HostsChange { hosts: Vec<usize>, transition: HostTransition },
}

/// A step in the life of a host.
#[derive(Clone, Copy)]
pub(super) enum HostTransition {
    Drain,
    Stop,
    Start,
}

struct ScheduledEvent {
    at: Timestamp,
    sequence: u64,
    event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Events by time; those of the same time in the order in which they were pushed.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    pushed: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn push(&mut self, at: Timestamp, event: SimulationEvent) {
        self.pushed += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.pushed, event }));
    }

    /// Takes the earliest event.
    pub(super) fn pop(&mut self) -> Option<(Timestamp, SimulationEvent)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
