//! One host: cores that serve a queue, slower while cold, slow, or crowded; and what discovery and reports show of it.

use crate::attempt::AttemptId;
use std::collections::VecDeque;
use wingfold_director::interface::{HostId, Micros, Readiness, Timestamp};

/// Requests that may wait for each core; more are refused at once.
const QUEUE_PER_CORE: usize = 24;

/// Whether and how a host serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostState {
    /// Serves.
    Up,
    /// Refuses connections: its process is dead.
    Down,
    /// Answers nothing, takes no connection.
    Unreachable,
    /// Takes requests and answers none.
    Hung,
}

/// How a host takes an attempt that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Acceptance {
    /// Started on a core; finished at the time given.
    Started(Timestamp),
    /// Waits for a core.
    Queued,
    /// Refused: it surely never ran.
    Refused,
    /// Never answered.
    Unanswered,
}

/// How much work a cold host stands before it falls over.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    /// Work that it stands, as a multiple of what it can do.
    pub factor: f64,
    /// The time over which both are counted.
    pub window: Micros,
}

/// An attempt that waits for a core.
#[derive(Clone, Copy, Debug)]
struct QueuedAttempt {
    attempt: AttemptId,
    work_ms: f64,
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its name.
    pub id: HostId,
    /// Its kind of machine.
    pub kind: String,
    /// Its zone's index.
    pub zone: usize,
    /// How many attempts run at once.
    pub cores: usize,
    /// Speed of a core.
    pub speed: f64,
    /// Whether it serves.
    pub state: HostState,
    /// What discovery will say of it, sooner or later.
    pub listed: Readiness,
    /// When it last started; `None`: before the simulation.
    pub started: Option<Timestamp>,
    /// So many times slower.
    pub slowdown: f64,
    /// The part of its cores that others take.
    pub stolen_share: f64,
    /// The part of its answers that are errors.
    pub error_share: f64,
    /// Counts its starts and stops: what an earlier incarnation had in hand is lost.
    pub incarnation: u32,
    queue: VecDeque<QueuedAttempt>,
    running: usize,
    /// Busy core-seconds since the last report, counted up to `accounted_until`.
    busy_seconds: f64,
    accounted_until: Timestamp,
    /// Work in ms that arrived while it was cold, with its time.
    cold_work: VecDeque<(Timestamp, f64)>,
}

impl Host {
    /// A host that is warm and serves.
    pub fn new(id: HostId, kind: &str, zone: usize, cores: usize, speed: f64) -> Host {
        Host {
            id,
            kind: kind.into(),
            zone,
            cores,
            speed,
            state: HostState::Up,
            listed: Readiness::Ready,
            started: None,
            slowdown: 1.0,
            stolen_share: 0.0,
            error_share: 0.0,
            incarnation: 0,
            queue: VecDeque::new(),
            running: 0,
            busy_seconds: 0.0,
            accounted_until: Timestamp(0),
            cold_work: VecDeque::new(),
        }
    }

    /// The share of its capacity that it has, by the time since its start.
    pub fn warmth(&self, now: Timestamp, cold: Micros, start_capacity: f64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        (start_capacity + (1.0 - start_capacity) * now.since(started) / cold.secs().max(1e-3)).min(1.0)
    }

    fn effective_speed(&self, warmth: f64) -> f64 {
        self.speed * warmth * (1.0 - self.stolen_share) / self.slowdown
    }

    /// Takes an attempt that arrives.
    pub fn accept(&mut self, now: Timestamp, attempt: AttemptId, work_ms: f64, warmth: f64) -> Acceptance {
        match self.state {
            HostState::Down => Acceptance::Refused,
            HostState::Unreachable | HostState::Hung => Acceptance::Unanswered,
            HostState::Up if self.running < self.cores => {
                Acceptance::Started(self.start_attempt(now, work_ms, warmth))
            }
            HostState::Up if self.queue.len() < QUEUE_PER_CORE * self.cores => {
                self.queue.push_back(QueuedAttempt { attempt, work_ms });
                Acceptance::Queued
            }
            HostState::Up => Acceptance::Refused,
        }
    }

    /// Starts an attempt on a free core; gives when it will be finished.
    fn start_attempt(&mut self, now: Timestamp, work_ms: f64, warmth: f64) -> Timestamp {
        self.account(now);
        self.running += 1;
        Timestamp(now.0 + (work_ms * 1e3 / self.effective_speed(warmth).max(1e-3)) as u64)
    }

    /// Frees a core; gives the next attempt that starts on it, and when that will be finished.
    pub fn finish_attempt(&mut self, now: Timestamp, warmth: f64) -> Option<(AttemptId, Timestamp)> {
        self.account(now);
        self.running = self.running.saturating_sub(1);
        if self.state != HostState::Up {
            return None;
        }
        let next = self.queue.pop_front()?;
        Some((next.attempt, self.start_attempt(now, next.work_ms, warmth)))
    }

    /// Adds the core time since the last call.
    fn account(&mut self, now: Timestamp) {
        self.busy_seconds += now.since(self.accounted_until) * self.running as f64;
        self.accounted_until = now;
    }

    /// Busy share of its cores since the last report, which was at `since`.
    pub fn report_utilization(&mut self, now: Timestamp, since: Timestamp) -> f64 {
        self.account(now);
        let core_seconds = now.since(since).max(1e-6) * self.cores as f64;
        (std::mem::take(&mut self.busy_seconds) / core_seconds + self.stolen_share).min(1.0)
    }

    /// Stops serving; what it had in hand is lost.
    pub fn stop(&mut self, now: Timestamp, state: HostState) {
        self.account(now);
        self.state = state;
        self.running = 0;
        self.incarnation += 1;
        self.queue.clear();
    }

    /// Starts again, cold and without faults.
    pub fn restart(&mut self, now: Timestamp) {
        self.stop(now, HostState::Up);
        self.started = Some(now);
        self.listed = Readiness::Ready;
        self.slowdown = 1.0;
        self.stolen_share = 0.0;
        self.error_share = 0.0;
        self.cold_work.clear();
    }

    /// Counts work that arrives while it is cold; gives how near it is to falling over: 1 is the limit.
    pub fn add_cold_work(&mut self, now: Timestamp, work_ms: f64, warmth: f64, limit: &OverloadLimit) -> f64 {
        self.cold_work.push_back((now, work_ms));
        let window = limit.window.secs();
        while self.cold_work.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.cold_work.pop_front();
        }
        let arrived: f64 = self.cold_work.iter().map(|(_, work)| work).sum();
        let capacity = self.cores as f64 * self.speed * warmth * window * 1e3;
        arrived / (limit.factor * capacity).max(1e-9)
    }
}
