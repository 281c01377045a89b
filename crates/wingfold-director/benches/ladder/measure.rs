//! Processor time of this thread, allocated memory, and the phases that a director is driven through.

use crate::fleet::{Fleet, TURNS_PER_S};
use crate::sizes::Size;
use crate::traffic::{self, Streams, Traffic};
use peak_alloc::PeakAlloc;
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use wingfold_director::interface::{Action, Event, Micros, ProxyId, Timestamp};
use wingfold_director::Director;

/// Counts what is allocated at present.
#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Seed of every director that is measured.
const SEED: u64 = 7;
/// Time from an order until a proxy has applied it.
const APPLIED_AFTER_S: f64 = 0.3;
/// Virtual time at which a director starts: late enough that hosts have long been up.
const START: Timestamp = Timestamp(1_000_000_000);

/// Bytes allocated at present.
pub fn allocated() -> usize {
    ALLOCATOR.current_usage()
}

/// Processor time that this thread has used, in seconds.
pub fn thread_cpu_s() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// What a phase cost.
#[derive(Clone, Debug, Serialize)]
pub struct Phase {
    /// Its name.
    pub name: &'static str,
    /// Its length in virtual time.
    pub virtual_s: f64,
    /// Processor time of the module.
    pub cpu_s: f64,
    /// Processor time of the most expensive turn.
    pub worst_turn_ms: f64,
    /// Events taken in, and actions ordered.
    pub events: usize,
    pub actions: usize,
    /// Messages and bytes that follow.
    pub traffic: Traffic,
    /// Weight of the hosts that fail in this phase after each turn, in all tables together, as a share of what it was.
    pub failed_weight: Vec<f64>,
}

impl Phase {
    fn new(name: &'static str) -> Self {
        Phase {
            name,
            virtual_s: 0.0,
            cpu_s: 0.0,
            worst_turn_ms: 0.0,
            events: 0,
            actions: 0,
            traffic: Traffic::default(),
            failed_weight: Vec::new(),
        }
    }

    /// Seconds until the failed hosts hold no more than a share of their weight.
    pub fn failed_below(&self, share: f64) -> Option<f64> {
        let turn = self.failed_weight.iter().position(|weight| *weight <= share)?;
        Some((turn + 1) as f64 / f64::from(TURNS_PER_S))
    }

    /// Seconds until the hosts that had failed hold a share of their weight again, after they held least.
    pub fn recovered_to(&self, share: f64) -> Option<f64> {
        let least = self.failed_weight.iter().copied().fold(f64::INFINITY, f64::min);
        let lowest = self.failed_weight.iter().position(|weight| *weight <= least)?;
        let turn = self.failed_weight.iter().skip(lowest).position(|weight| *weight >= share)?;
        Some((lowest + turn + 1) as f64 / f64::from(TURNS_PER_S))
    }

    /// Share of a core.
    pub fn core(&self) -> f64 {
        self.cpu_s / self.virtual_s
    }

    /// Bytes received and sent in a second of virtual time.
    pub fn bytes_per_s(&self) -> (f64, f64) {
        let per_s = |bytes: usize| bytes as f64 / self.virtual_s;
        (per_s(self.traffic.bytes_in()), per_s(self.traffic.bytes_out()))
    }
}

/// Whether proxies report in a phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reports {
    /// Sums, usage and answers to marks arrive.
    Arrive,
    /// Only timers and answers to marks do.
    None,
}

/// One director, its fleet, and the time that both live in.
pub struct Driver {
    /// The director.
    pub director: Director,
    /// The fleet.
    pub fleet: Fleet,
    now: Timestamp,
    streams: Streams,
    answers: Vec<Event>,
    actions: Vec<Action>,
}

impl Driver {
    /// A director that has heard nothing yet.
    pub fn new(size: Size) -> Self {
        Driver {
            director: Director::new(size.settings(), SEED),
            fleet: Fleet::new(size),
            now: START,
            streams: Streams::default(),
            answers: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Plays `seconds` of virtual time; `script` says what happens besides the reports before each turn.
    pub fn play(
        &mut self,
        name: &'static str,
        seconds: u32,
        reports: Reports,
        mut script: impl FnMut(&mut Fleet, u32, Timestamp) -> Vec<Event>,
    ) -> Phase {
        let mut phase = Phase::new(name);
        let mut weight_before = None;
        for turn in 0..seconds * TURNS_PER_S {
            let mut events = std::mem::take(&mut self.answers);
            events.push(Event::TimerFired(0));
            events.extend(script(&mut self.fleet, turn, self.now));
            if reports == Reports::Arrive {
                events.extend(self.fleet.reports());
            }
            let failed = self.fleet.affected();
            let before = *weight_before.get_or_insert_with(|| self.streams.weight_of(failed));
            self.turn(&events, &mut phase);
            if before > 0.0 {
                phase.failed_weight.push(self.streams.weight_of(self.fleet.affected()) / before);
            }
        }
        self.fleet.forget_failed();
        phase
    }

    fn turn(&mut self, events: &[Event], phase: &mut Phase) {
        self.actions.clear();
        let begun = thread_cpu_s();
        self.director.handle(self.now, events, &mut self.actions);
        let took = thread_cpu_s() - begun;
        phase.cpu_s += took;
        phase.worst_turn_ms = phase.worst_turn_ms.max(took * 1e3);
        phase.virtual_s += 1.0 / f64::from(TURNS_PER_S);
        phase.events += events.len();
        phase.actions += self.actions.len();
        traffic::count_events(events, &mut phase.traffic);
        if let Some((mark, reached)) = self.streams.take(&self.actions, &mut phase.traffic) {
            let applied = |proxy: ProxyId| Event::Acknowledged {
                proxy,
                barrier: mark,
                elapsed: Micros::from_secs(APPLIED_AFTER_S),
            };
            self.answers.extend(reached.into_iter().map(applied));
        }
        self.now = Timestamp(self.now.0 + 1_000_000 / u64::from(TURNS_PER_S));
    }
}
