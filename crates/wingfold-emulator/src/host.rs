//! A host: cores that execute queued attempts, at a speed that warm-up, slowdowns and a noisy neighbour
//! reduce. The host also keeps the readiness that discovery announces and measures the utilization for load
//! reports.

use crate::attempt::AttemptId;
use std::collections::VecDeque;
use wingfold_director::interface::{HostId, Micros, Readiness, Timestamp};

/// Attempts that may wait in the queue for each core; an attempt beyond this limit is refused at once.
const MAX_QUEUED_PER_CORE: usize = 24;

/// Lower bounds of divisors, which keep the quotients finite.
const MIN_WARM_UP_S: f64 = 1e-3;
const MIN_SPEED: f64 = 1e-3;
const MIN_REPORT_PERIOD_S: f64 = 1e-6;
const MIN_WORK_LIMIT_MS: f64 = 1e-9;

const MICROS_PER_MS: f64 = 1e3;
const MS_PER_S: f64 = 1e3;

/// Whether and how a host serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostState {
    /// Executes requests and answers them.
    Up,
    /// Refuses connections, because its process is dead.
    Down,
    /// Neither accepts nor refuses connections, because the network does not reach it.
    Unreachable,
    /// Accepts requests and answers none.
    Hung,
}

/// How a host handles an attempt that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Acceptance {
    /// Started on a core.
    Started {
        /// When the core will have finished the attempt.
        finishes_at: Timestamp,
    },
    /// Waits for a core.
    Queued,
    /// Refused, so the attempt is certainly not executed.
    Refused,
    /// Never answered, because the host is hung or unreachable.
    Unanswered,
}

/// An attempt that has been started on a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// When the core will have finished the attempt.
    pub finishes_at: Timestamp,
}

/// The limit of the work that a host can receive while it warms up; beyond it, the host fails.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    /// The limit as a multiple of the work that the host could do in the window at the speed that its warm-up
    /// allows now.
    pub factor: f64,
    /// The time over which the received work is summed.
    pub window: Micros,
}

/// An attempt that waits for a core.
#[derive(Clone, Copy, Debug)]
struct QueuedAttempt {
    attempt: AttemptId,
    work_ms: f64,
}

/// Work that arrived at a host at one time.
#[derive(Clone, Copy, Debug)]
struct ArrivedWork {
    at: Timestamp,
    work_ms: f64,
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    /// The host's name.
    pub id: HostId,
    /// The name of the host's machine type.
    pub machine_type: String,
    /// The index of the host's zone.
    pub zone: usize,
    /// The number of cores, each of which runs one attempt at a time.
    pub cores: usize,
    /// Milliseconds of work that a core does per millisecond when the host is warmed up and has no fault.
    pub core_speed: f64,
    /// Whether and how the host serves.
    pub state: HostState,
    /// The readiness that discovery announces, with a delay.
    pub listed_readiness: Readiness,
    /// When the host last started; `None` if it has been running since before the simulation.
    pub started_at: Option<Timestamp>,
    /// The factor by which a fault slows the host down; 1 without such a fault.
    pub slowdown_factor: f64,
    /// The share of the host's CPU time that another program uses.
    pub stolen_cpu_ratio: f64,
    /// The share of the host's answers that are errors.
    pub error_ratio: f64,
    /// Incremented when the host stops and when it restarts. Attempts of an earlier incarnation are lost.
    pub incarnation: u32,
    queue: VecDeque<QueuedAttempt>,
    running: usize,
    /// Busy core-seconds since the last load report, counted up to `accounted_until`.
    busy_core_s: f64,
    accounted_until: Timestamp,
    /// Work that arrived while the host was warming up; items older than the overload window are dropped.
    warm_up_work: VecDeque<ArrivedWork>,
}

impl Host {
    /// Creates a host that serves and has been running since before the simulation.
    pub fn new(id: HostId, machine_type: &str, zone: usize, cores: usize, core_speed: f64) -> Host {
        Host {
            id,
            machine_type: machine_type.into(),
            zone,
            cores,
            core_speed,
            state: HostState::Up,
            listed_readiness: Readiness::Ready,
            started_at: None,
            slowdown_factor: 1.0,
            stolen_cpu_ratio: 0.0,
            error_ratio: 0.0,
            incarnation: 0,
            queue: VecDeque::new(),
            running: 0,
            busy_core_s: 0.0,
            accounted_until: Timestamp(0),
            warm_up_work: VecDeque::new(),
        }
    }

    /// The share of the full core speed that the host has reached: rises linearly from
    /// `initial_capacity_ratio` when the host starts to 1 after `warm_up`.
    pub fn slow_start_factor(&self, now: Timestamp, warm_up: Micros, initial_capacity_ratio: f64) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let warm_up_s = warm_up.secs().max(MIN_WARM_UP_S);
        let increase = (1.0 - initial_capacity_ratio) * now.since(started_at) / warm_up_s;
        (initial_capacity_ratio + increase).min(1.0)
    }

    fn effective_speed(&self, slow_start_factor: f64) -> f64 {
        self.core_speed * slow_start_factor * (1.0 - self.stolen_cpu_ratio) / self.slowdown_factor
    }

    /// Starts, queues, refuses or ignores an arriving attempt, depending on the state of the host.
    pub fn accept(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        work_ms: f64,
        slow_start_factor: f64,
    ) -> Acceptance {
        match self.state {
            HostState::Down => Acceptance::Refused,
            HostState::Unreachable | HostState::Hung => Acceptance::Unanswered,
            HostState::Up if self.running < self.cores => {
                let finishes_at = self.start_attempt(now, work_ms, slow_start_factor);
                Acceptance::Started { finishes_at }
            }
            HostState::Up if self.queue.len() < MAX_QUEUED_PER_CORE * self.cores => {
                self.queue.push_back(QueuedAttempt { attempt, work_ms });
                Acceptance::Queued
            }
            HostState::Up => Acceptance::Refused,
        }
    }

    /// Starts an attempt on a free core and returns when it will be finished.
    fn start_attempt(&mut self, now: Timestamp, work_ms: f64, slow_start_factor: f64) -> Timestamp {
        self.account_busy_time(now);
        self.running += 1;
        let speed = self.effective_speed(slow_start_factor).max(MIN_SPEED);
        let duration_us = work_ms * MICROS_PER_MS / speed;
        now + Micros(duration_us as u64)
    }

    /// Frees the core of a finished attempt and starts the next queued attempt on it, which is returned.
    pub fn finish_attempt(&mut self, now: Timestamp, slow_start_factor: f64) -> Option<StartedAttempt> {
        self.account_busy_time(now);
        self.running = self.running.saturating_sub(1);
        if self.state != HostState::Up {
            return None;
        }
        let next = self.queue.pop_front()?;
        let finishes_at = self.start_attempt(now, next.work_ms, slow_start_factor);
        Some(StartedAttempt { attempt: next.attempt, finishes_at })
    }

    /// Adds the busy core time since the last call. Must be called before the number of busy cores changes.
    fn account_busy_time(&mut self, now: Timestamp) {
        self.busy_core_s += now.since(self.accounted_until) * self.running as f64;
        self.accounted_until = now;
    }

    /// The share of the host's core time since `last_report_at`, the time of the last load report, that was
    /// used by attempts or by another program. Starts a new measurement.
    pub fn report_utilization(&mut self, now: Timestamp, last_report_at: Timestamp) -> f64 {
        self.account_busy_time(now);
        let available_core_s = now.since(last_report_at).max(MIN_REPORT_PERIOD_S) * self.cores as f64;
        let busy_core_s = std::mem::take(&mut self.busy_core_s);
        (busy_core_s / available_core_s + self.stolen_cpu_ratio).min(1.0)
    }

    /// Stops the host and sets its state; queued and running attempts are lost.
    pub fn stop(&mut self, now: Timestamp, state: HostState) {
        self.account_busy_time(now);
        self.state = state;
        self.running = 0;
        self.incarnation += 1;
        self.queue.clear();
    }

    /// Starts the host again: it is listed as ready, warms up and has no faults.
    pub fn restart(&mut self, now: Timestamp) {
        self.stop(now, HostState::Up);
        self.started_at = Some(now);
        self.listed_readiness = Readiness::Ready;
        self.slowdown_factor = 1.0;
        self.stolen_cpu_ratio = 0.0;
        self.error_ratio = 0.0;
        self.warm_up_work.clear();
    }

    /// Records work that arrives while the host warms up. Returns the work of the overload window relative to
    /// the limit; above 1 the host fails.
    pub fn add_warm_up_work(
        &mut self,
        now: Timestamp,
        work_ms: f64,
        slow_start_factor: f64,
        limit: &OverloadLimit,
    ) -> f64 {
        self.warm_up_work.push_back(ArrivedWork { at: now, work_ms });
        let window_s = limit.window.secs();
        while self.warm_up_work.front().is_some_and(|work| now.since(work.at) > window_s) {
            self.warm_up_work.pop_front();
        }
        let arrived_ms: f64 = self.warm_up_work.iter().map(|work| work.work_ms).sum();
        let capacity_ms = self.cores as f64 * self.core_speed * slow_start_factor * window_s * MS_PER_S;
        arrived_ms / (limit.factor * capacity_ms).max(MIN_WORK_LIMIT_MS)
    }
}
