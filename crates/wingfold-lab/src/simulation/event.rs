//! What happens in the simulation, and the order in which it does.

use crate::proxy::RoutingRule;
use std::cmp::Ordering;
use wingfold_director::interface::{Event, Micros};

pub(super) enum Happens {
    Arrive(usize, u32),
    /// An attempt reaches its host.
    Reach(u64, usize),
    /// A core has done with an attempt, in that incarnation of the host.
    Done(usize, u64, u32),
    Answer(u64, End),
    Report,
    Deliver(usize, u32, Vec<Event>),
    Timer(usize, u32, u64),
    Orders(usize, u32, Vec<RoutingRule>),
    Join(usize),
    Leave(usize, u32),
    Look,
    Chatter(usize),
    Fault(usize, bool),
    /// A part of a fault's hosts: what becomes of them.
    Stage(Vec<usize>, Stage),
    List(usize, u32),
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum End {
    Good,
    /// Surely never ran.
    Refused,
    Failed,
    TimedOut,
}

#[derive(Clone, Copy)]
pub(super) enum Stage {
    Drain,
    Stop,
    Start,
}

pub(super) struct Due(pub(super) Micros, pub(super) u64, pub(super) Happens);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
