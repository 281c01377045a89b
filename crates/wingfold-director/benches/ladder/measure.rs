//! Processor time of this thread, allocated memory, and the phases that a director is driven through.

use crate::fleet::{Fleet, CALLS_PER_S};
use crate::sizes::Size;
use crate::traffic::{self, ProxyTables, Traffic};
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
/// Virtual time at which a director starts: late enough for hosts to be warm.
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
    /// Processor time of the director.
    pub cpu_s: f64,
    /// Processor time of the most expensive call.
    #[serde(rename = "worst_turn_ms")]
    pub worst_call_ms: f64,
    /// Events handled, and actions ordered.
    pub events: usize,
    pub actions: usize,
    /// Messages and bytes that follow.
    pub traffic: Traffic,
    /// Weight of the hosts that fail in this phase after each call, in all tables together, as a share of what it was.
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

    /// Seconds until the failed hosts hold no more than a share of their weight.
    pub fn failed_below(&self, share: f64) -> Option<f64> {
        let call = self.failed_weight.iter().position(|weight| *weight <= share)?;
        Some((call + 1) as f64 / f64::from(CALLS_PER_S))
    }

    /// Seconds until the hosts that had failed hold a share of their weight again, after they held least.
    pub fn recovered_to(&self, share: f64) -> Option<f64> {
        let least = self.failed_weight.iter().copied().fold(f64::INFINITY, f64::min);
        let lowest = self.failed_weight.iter().position(|weight| *weight <= least)?;
        let call = self.failed_weight.iter().skip(lowest).position(|weight| *weight >= share)?;
        Some((lowest + call + 1) as f64 / f64::from(CALLS_PER_S))
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
    /// Load reports, usage and acknowledgements arrive.
    Arrive,
    /// Only timers and acknowledgements do.
    None,
}

/// One director, its fleet, and the time that both live in.
pub struct Driver {
    /// The director.
    pub director: Director,
    /// The fleet.
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

    /// Plays `seconds` of virtual time; `script` gives the events besides the reports before each call.
    pub fn play(
        &mut self,
        name: &'static str,
        seconds: u32,
        reports: Reports,
        mut script: impl FnMut(&mut Fleet, u32, Timestamp) -> Vec<Event>,
    ) -> Phase {
        let mut phase = Phase::new(name);
        let mut weight_before = None;
        for call in 0..seconds * CALLS_PER_S {
            let mut events = std::mem::take(&mut self.acknowledgements);
            events.push(Event::TimerFired(0));
            events.extend(script(&mut self.fleet, call, self.now));
            if reports == Reports::Arrive {
                events.extend(self.fleet.reports());
            }
            let failed = self.fleet.failed_hosts();
            let before = *weight_before.get_or_insert_with(|| self.proxy_tables.weight_of(failed));
            self.call(&events, &mut phase);
            if before > 0.0 {
                phase.failed_weight.push(self.proxy_tables.weight_of(self.fleet.failed_hosts()) / before);
            }
        }
        self.fleet.clear_failed_hosts();
        phase
    }

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
