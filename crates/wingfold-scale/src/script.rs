//! The script of a run: changes of the endpoint list, one fault, and the move of discovery to new addresses,
//! each at a set time.

use crate::endpoint_list::{HostChange, HostState};
use crate::faults::{self, Fault};
use crate::fleet::{Fleet, FleetError};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Time between two changes of the list.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// A leaving host becomes active again after this many further changes of the list.
const CHANGES_UNTIL_RETURN: usize = 10;
/// How often the script advances and the fleet is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Ticks between two measurements of the real directors and of this process.
const TICKS_PER_MEASUREMENT: u32 = 5;
/// The start of the fault and the move of discovery, as ratios of the duration of the script.
const FAULT_START_RATIO: f64 = 0.25;
const DISCOVERY_MOVE_RATIO: f64 = 0.75;
/// The zone that the fault `zone-silent` makes silent.
const SILENT_ZONE: usize = 0;

/// The fault of a run and its duration.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlan {
    /// The fault.
    pub fault: Fault,
    /// Time from the start of the fault to its end.
    pub duration: Duration,
}

/// The script of one run.
#[derive(Debug)]
pub struct Script {
    fault: FaultPlan,
    duration: Duration,
    /// The active hosts, in the order in which they will leave.
    departure_order: VecDeque<usize>,
    /// The leaving hosts, in the order in which they left.
    leaving: VecDeque<usize>,
    changes: u64,
    fault_phase: FaultPhase,
    discovery_moved: bool,
    begun_at: Option<Instant>,
    ticks_done: u32,
}

/// Whether the fault has started and ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FaultPhase {
    Before,
    During,
    After,
}

impl Script {
    /// Creates the script of a run with this many hosts; the seed determines the order in which they leave.
    pub fn new(hosts: usize, seed: u64, duration: Duration, fault: FaultPlan) -> Script {
        let mut order: Vec<usize> = (0..hosts).collect();
        order.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
        Script {
            fault,
            duration,
            departure_order: order.into(),
            leaving: VecDeque::new(),
            changes: 0,
            fault_phase: FaultPhase::Before,
            discovery_moved: false,
            begun_at: None,
            ticks_done: 0,
        }
    }

    /// Executes the script until discovery moves or becomes unavailable. Real and simulated directors are
    /// compared over this phase only: afterwards it is mostly random when each director receives a list.
    pub async fn run_steady_phase(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let steady_ratio =
            if self.fault.fault == Fault::DiscoveryDown { FAULT_START_RATIO } else { DISCOVERY_MOVE_RATIO };
        self.run_until(self.duration.mul_f64(steady_ratio), fleet).await
    }

    /// Executes the rest of the script.
    pub async fn run_to_end(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        self.run_until(self.duration, fleet).await
    }

    /// Returns how many changes of the list were made.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Advances the script until `end`, counted from the start of the script; fails if a real director or the
    /// task of a simulated component has ended.
    async fn run_until(&mut self, end: Duration, fleet: &mut Fleet) -> Result<(), FleetError> {
        let begun = *self.begun_at.get_or_insert_with(Instant::now);
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while begun.elapsed() < end {
            self.advance(begun.elapsed(), fleet).await?;
            fleet.ensure_running()?;
            if self.ticks_done.is_multiple_of(TICKS_PER_MEASUREMENT) {
                fleet.measure()?;
            }
            self.ticks_done += 1;
            ticks.tick().await;
        }
        Ok(())
    }

    /// Executes the events that are due at this time since the start of the script.
    async fn advance(&mut self, at: Duration, fleet: &mut Fleet) -> Result<(), FleetError> {
        if at >= CHANGE_INTERVAL * self.changes as u32 {
            self.change_list(fleet);
        }
        let fault_start = self.duration.mul_f64(FAULT_START_RATIO);
        match self.fault_phase {
            FaultPhase::Before if self.fault.fault == Fault::None => self.fault_phase = FaultPhase::After,
            FaultPhase::Before if at >= fault_start => {
                self.fault_phase = FaultPhase::During;
                tracing::info!(fault = %self.fault.fault, "fault starts");
                start_fault(self.fault.fault, fleet).await?;
            }
            FaultPhase::During if at >= fault_start + self.fault.duration => {
                self.fault_phase = FaultPhase::After;
                tracing::info!(fault = %self.fault.fault, "fault ends");
                end_fault(self.fault.fault, fleet);
            }
            _ => {}
        }
        if !self.discovery_moved && at >= self.duration.mul_f64(DISCOVERY_MOVE_RATIO) {
            self.discovery_moved = true;
            tracing::info!("discovery moves to new addresses");
            fleet.move_discovery().await?;
        }
        Ok(())
    }

    /// Marks the next host as leaving, and the host that has been leaving longest as active if its time is
    /// over or if no host is left to leave.
    fn change_list(&mut self, fleet: &Fleet) {
        let mut changes = Vec::new();
        if let Some(host) = self.departure_order.pop_front() {
            self.leaving.push_back(host);
            fleet.departures.record_departure(host);
            changes.push(HostChange { host, state: HostState::Leaving, started_ms: 0 });
        }
        let host_returns = self.leaving.len() > CHANGES_UNTIL_RETURN || changes.is_empty();
        let returning = if host_returns { self.leaving.pop_front() } else { None };
        if let Some(host) = returning {
            fleet.departures.record_return(host);
            self.departure_order.push_back(host);
            changes.push(HostChange { host, state: HostState::Active, started_ms: unix_ms() });
        }
        fleet.discovery.change(&changes);
        self.changes += 1;
    }
}

/// Starts a fault.
async fn start_fault(fault: Fault, fleet: &mut Fleet) -> Result<(), FleetError> {
    match fault {
        Fault::None => {}
        Fault::DiscoveryDown => fleet.discovery.set_down(true),
        Fault::ZoneSilent => fleet.hosts.set_silent(SILENT_ZONE, true),
        Fault::RestartQuarter => fleet.restart(faults::is_restarted).await?,
        Fault::RegionCut => fleet.cut_region(true),
    }
    Ok(())
}

/// Ends a fault.
fn end_fault(fault: Fault, fleet: &Fleet) {
    match fault {
        Fault::None | Fault::RestartQuarter => {}
        Fault::DiscoveryDown => fleet.discovery.set_down(false),
        Fault::ZoneSilent => fleet.hosts.set_silent(SILENT_ZONE, false),
        Fault::RegionCut => fleet.cut_region(false),
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
