//! The events of a simulation and the queue that orders them by time.

use crate::attempt::{AttemptId, AttemptOutcome};
use crate::proxy::ClassRoute;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use wingfold_director::interface::{Event, Timestamp};

/// Something that happens at a point in virtual time. Hosts, proxies, directors and faults are identified by
/// their index.
pub(super) enum SimulationEvent {
    /// A request arrives at a proxy, unless the proxy's traffic has changed since the arrival was drawn.
    RequestArrives { proxy: usize, epoch: u32 },
    /// An attempt reaches its host.
    AttemptReachesHost { attempt: AttemptId, host: usize },
    /// A core finishes an attempt, unless the host has stopped since the attempt was started.
    AttemptFinishes { attempt: AttemptId, host: usize, incarnation: u32 },
    /// A proxy learns how an attempt ended.
    AttemptEnds { attempt: AttemptId, outcome: AttemptOutcome },
    /// All zones send their load reports and usage reports.
    LoadReportsDue,
    /// Events reach a director, unless the director has stopped since they were sent.
    DirectorReceives { director: usize, incarnation: u32, events: Vec<Event> },
    /// A director's timer fires, unless the director has stopped since it set the timer.
    TimerFires { director: usize, incarnation: u32, token: u64 },
    /// A director receives the requested complete endpoint list, unless it has stopped since the request.
    EndpointListFetched { director: usize, incarnation: u32 },
    /// A director sends its peers a random message.
    PeerMessageDue { director: usize },
    /// New routes reach a proxy, unless the stream has broken since they were sent.
    RoutesReachProxy { proxy: usize, stream: u32, routes: Vec<ClassRoute> },
    /// A proxy connects to a director.
    ProxyConnects { proxy: usize },
    /// A proxy detects that its stream has broken, unless it has lost that stream already.
    StreamBreaks { proxy: usize, stream: u32 },
    /// All proxies are checked for classes without a host.
    RouteCheckDue,
    /// A fault begins or ends.
    FaultBeginsOrEnds { fault: usize, active: bool },
    /// Hosts drain, stop or start as part of a fault.
    HostTransitionsDue { hosts: Vec<usize>, transition: HostTransition },
}

/// A change of the state of a host.
#[derive(Clone, Copy)]
pub(super) enum HostTransition {
    /// Discovery announces that the host drains.
    Drain,
    /// The process stops, and discovery announces the removal.
    Stop,
    /// The process starts, and discovery announces that the host is ready.
    Start,
}

/// An event and its time.
pub(super) struct ScheduledEvent {
    /// When it happens.
    pub(super) at: Timestamp,
    /// Counts the scheduled events; orders events of the same time.
    sequence: u64,
    /// What happens.
    pub(super) event: SimulationEvent,
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

/// The scheduled events in the order of time; events of the same time in the order in which they were
/// scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled_count: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub(super) fn push(&mut self, at: Timestamp, event: SimulationEvent) {
        self.scheduled_count += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.scheduled_count, event }));
    }

    /// Removes the earliest event.
    pub(super) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.heap.pop().map(|Reverse(scheduled)| scheduled)
    }
}
