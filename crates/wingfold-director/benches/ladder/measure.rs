//! Drives a director through phases, and measures the processor time of this thread and the allocated memory.

use crate::fleet::{Fleet, CALLS_PER_S};
use crate::sizes::Size;
use crate::traffic::{self, ProxyTables, Traffic};
use peak_alloc::PeakAlloc;
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use wingfold_director::interface::{Action, Event, Micros, ProxyId, Timestamp};
use wingfold_director::Director;

/// Counts the bytes that are allocated at present.
#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Seed of each measured director.
const SEED: u64 = 7;
/// Seconds from a call until a proxy has applied the message of the call.
const APPLIED_AFTER_S: f64 = 0.3;
/// Virtual time at which a director starts: late enough for hosts to be warmed up.
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

/// The cost of a phase.
#[derive(Clone, Debug, Serialize)]
pub struct Phase {
    /// The name of the phase.
    pub name: &'static str,
    /// The length of the phase, in seconds of virtual time.
    pub virtual_s: f64,
    /// Processor time of the director, in seconds.
    pub cpu_s: f64,
    /// Processor time of the most expensive call, in milliseconds.
    #[serde(rename = "worst_turn_ms")]
    pub worst_call_ms: f64,
    /// Number of events that the director handled.
    pub events: usize,
    /// Number of actions that the director requested.
    pub actions: usize,
    /// The messages that carry these events and actions.
    pub traffic: Traffic,
    /// The weight in all tables of the hosts that fail in this phase, after each call, as a ratio of their
    /// weight before the first call of the phase.
    pub failed_weight: Vec<f64>,
}

impl Phase {
    fn new(name: &'static str) -> Self {
        Phase {
            name,
            virtual_s: 0.0,
            cpu_s: 0.0,
            worst_call_ms: 0.0,
            events: 0,
            actions: 0,
            traffic: Traffic::default(),
            failed_weight: Vec::new(),
        }
    }

    /// Seconds until the failed hosts have at most this ratio of their weight.
    pub fn seconds_until_failed_below(&self, ratio: f64) -> Option<f64> {
        let call = self.failed_weight.iter().position(|weight| *weight <= ratio)?;
        Some((call + 1) as f64 / f64::from(CALLS_PER_S))
    }

    /// Seconds until the failed hosts have at least this ratio of their weight again, after the call in which
    /// they had the least weight.
    pub fn seconds_until_recovered_to(&self, ratio: f64) -> Option<f64> {
        let least = self.failed_weight.iter().copied().fold(f64::INFINITY, f64::min);
        let lowest_call = self.failed_weight.iter().position(|weight| *weight <= least)?;
        let call = self.failed_weight.iter().skip(lowest_call).position(|weight| *weight >= ratio)?;
        Some((lowest_call + call + 1) as f64 / f64::from(CALLS_PER_S))
    }

    /// Share of a core that the director used, as a ratio.
    pub fn core_ratio(&self) -> f64 {
        self.cpu_s / self.virtual_s
    }

    /// Bytes received and bytes sent per second of virtual time.
    pub fn bytes_per_s(&self) -> (f64, f64) {
        let per_s = |bytes: usize| bytes as f64 / self.virtual_s;
        (per_s(self.traffic.bytes_in()), per_s(self.traffic.bytes_out()))
    }
}

/// Whether proxies report in a phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reports {
    /// Load reports, usage and acknowledgements arrive.
    Arrive,
    /// Only timers and acknowledgements arrive.
    None,
}

/// One director, its fleet, and the virtual time of both.
pub struct Driver {
    pub director: Director,
    pub fleet: Fleet,
    now: Timestamp,
    proxy_tables: ProxyTables,
    acknowledgements: Vec<Event>,
    actions: Vec<Action>,
}

impl Driver {
    /// A director that has handled no events yet.
    pub fn new(size: Size) -> Self {
        Driver {
            director: Director::new(size.settings(), SEED),
            fleet: Fleet::new(size),
            now: START,
            proxy_tables: ProxyTables::default(),
            acknowledgements: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Runs a phase of `seconds` seconds of virtual time. Before each call, `script` returns the events of
    /// the call other than timers, acknowledgements and reports.
    pub fn run_phase(
        &mut self,
        name: &'static str,
        seconds: u32,
        reports: Reports,
        mut script: impl FnMut(&mut Fleet, u32, Timestamp) -> Vec<Event>,
    ) -> Phase {
        let mut phase = Phase::new(name);
        let mut initial_weight = None;
        for call in 0..seconds * CALLS_PER_S {
            let mut events = std::mem::take(&mut self.acknowledgements);
            events.push(Event::TimerFired(0));
            events.extend(script(&mut self.fleet, call, self.now));
            if reports == Reports::Arrive {
                events.extend(self.fleet.reports());
            }
            let failed = self.fleet.failed_hosts();
            let initial = *initial_weight.get_or_insert_with(|| self.proxy_tables.total_weight(failed));
            self.call(&events, &mut phase);
            if initial > 0.0 {
                phase.failed_weight.push(self.proxy_tables.total_weight(self.fleet.failed_hosts()) / initial);
            }
        }
        self.fleet.clear_failed_hosts();
        phase
    }

    /// Calls the director and adds the cost of the call to the phase.
    fn call(&mut self, events: &[Event], phase: &mut Phase) {
        self.actions.clear();
        let started_s = thread_cpu_s();
        self.director.handle(self.now, events, &mut self.actions);
        let elapsed_s = thread_cpu_s() - started_s;
        phase.cpu_s += elapsed_s;
        phase.worst_call_ms = phase.worst_call_ms.max(elapsed_s * 1e3);
        phase.virtual_s += 1.0 / f64::from(CALLS_PER_S);
        phase.events += events.len();
        phase.actions += self.actions.len();
        traffic::count_events(events, &mut phase.traffic);
        if let Some((barrier, recipients)) =
            self.proxy_tables.apply_actions(&self.actions, &mut phase.traffic)
        {
            let acknowledge = |proxy: ProxyId| Event::Acknowledged {
                proxy,
                barrier,
                elapsed: Micros::from_secs(APPLIED_AFTER_S),
            };
            self.acknowledgements.extend(recipients.into_iter().map(acknowledge));
        }
        self.now = Timestamp(self.now.0 + 1_000_000 / u64::from(CALLS_PER_S));
    }
}
