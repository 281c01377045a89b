//! What happens in a run, and when: changes of the list, one fault, and the move of discovery.

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
/// A host stays away for this many changes.
const AWAY_CHANGES: usize = 10;
/// How often the script advances and the fleet is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Ticks between two measurements of the real directors.
const TICKS_PER_MEASUREMENT: u32 = 5;
/// When the fault begins, and when discovery moves, as ratios of its duration.
const FAULT_START_RATIO: f64 = 0.25;
const DISCOVERY_MOVE_RATIO: f64 = 0.75;
/// The zone of the fault `zone-silent`.
const SILENT_ZONE: usize = 0;

/// The fault of a run.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlan {
    /// Which one.
    pub fault: Fault,
    /// How long it lasts.
    pub duration: Duration,
}

/// The script of one run.
#[derive(Debug)]
pub struct Script {
    fault: FaultPlan,
    duration: Duration,
    /// Hosts in the order in which they leave.
    departure_order: VecDeque<usize>,
    /// Hosts that are away, the one that left first in front.
    away: VecDeque<usize>,
    changes: u64,
    fault_phase: FaultPhase,
    has_moved: bool,
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
    /// The script of a run over so many hosts.
    pub fn new(hosts: usize, seed: u64, duration: Duration, fault: FaultPlan) -> Script {
        let mut order: Vec<usize> = (0..hosts).collect();
        order.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
        Script {
            fault,
            duration,
            departure_order: order.into(),
            away: VecDeque::new(),
            changes: 0,
            fault_phase: FaultPhase::Before,
            has_moved: false,
            begun_at: None,
            ticks_done: 0,
        }
    }

    /// Plays it until discovery moves or becomes unavailable. After that it is mostly chance which director gets a list
    /// when.
    pub async fn play_steady(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let steady =
            if self.fault.fault == Fault::DiscoveryDown { FAULT_START_RATIO } else { DISCOVERY_MOVE_RATIO };
        self.play_until(self.duration.mul_f64(steady), fleet).await
    }

    /// Plays the rest of it.
    pub async fn play_to_end(&mut self, fleet: &mut Fleet) -> Result<(), FleetError> {
        self.play_until(self.duration, fleet).await
    }

    /// Returns how many changes of the list were made.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    async fn play_until(&mut self, end: Duration, fleet: &mut Fleet) -> Result<(), FleetError> {
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

    /// Plays what is due at this time of the run.
    async fn advance(&mut self, at: Duration, fleet: &mut Fleet) -> Result<(), FleetError> {
        if at >= CHANGE_INTERVAL * self.changes as u32 {
            self.change_list(fleet);
        }
        let fault_start = self.duration.mul_f64(FAULT_START_RATIO);
        match self.fault_phase {
            FaultPhase::Before if self.fault.fault == Fault::None => self.fault_phase = FaultPhase::After,
            FaultPhase::Before if at >= fault_start => {
                self.fault_phase = FaultPhase::During;
                tracing::info!(fault = %self.fault.fault, "fault begins");
                start_fault(self.fault.fault, fleet).await?;
            }
            FaultPhase::During if at >= fault_start + self.fault.duration => {
                self.fault_phase = FaultPhase::After;
                tracing::info!(fault = %self.fault.fault, "fault ends");
                end_fault(self.fault.fault, fleet);
            }
            _ => {}
        }
        if !self.has_moved && at >= self.duration.mul_f64(DISCOVERY_MOVE_RATIO) {
            self.has_moved = true;
            tracing::info!("discovery moves");
            fleet.move_discovery().await?;
        }
        Ok(())
    }

    /// One host leaves, and the one that has been away longest is back.
    fn change_list(&mut self, fleet: &Fleet) {
        let mut changes = Vec::new();
        if let Some(leaves) = self.departure_order.pop_front() {
            self.away.push_back(leaves);
            fleet.departures.host_leaves(leaves);
            changes.push(HostChange { host: leaves, state: HostState::Leaving, started_ms: 0 });
        }
        let is_back = self.away.len() > AWAY_CHANGES || changes.is_empty();
        let returning = if is_back { self.away.pop_front() } else { None };
        if let Some(back) = returning {
            fleet.departures.host_returns(back);
            self.departure_order.push_back(back);
            changes.push(HostChange { host: back, state: HostState::Active, started_ms: unix_ms() });
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
