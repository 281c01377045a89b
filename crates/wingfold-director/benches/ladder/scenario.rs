//! The phases that a director of one size goes through: what happens to its fleet, and when.

use crate::fleet::{Fleet, CALLS_PER_S};
use crate::measure::{Driver, Phase, Reports};
use crate::memory;
use crate::sizes::{Size, CONFIGURED_PER_DAY, REPLACED_PER_DAY, TARGET};
use serde::Serialize;
use wingfold_director::inspect::RecordCounts;
use wingfold_director::interface::{Endpoint, EndpointListKind, Event, Readiness};

/// Seconds in a day.
const DAY_S: f64 = 86_400.0;
/// Number of regions of the target.
const REGIONS: u32 = 8;
/// Number of single changes in a phase, one per second, from which the cost of one change is computed.
const SINGLE_CHANGES: u32 = 4;
/// Index of a host that no single change concerns.
const UNTOUCHED_HOST: usize = 2 * SINGLE_CHANGES as usize;
/// Seconds from the start of a host's draining until the host is removed from the endpoint list.
const DRAIN_S: u32 = 3;

/// Length of each phase in seconds of virtual time; a phase of length 0 is left out.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Lengths {
    pub start: u32,
    pub settle: u32,
    pub reports: u32,
    pub rest: u32,
    pub replaced: u32,
    pub configured: u32,
    pub host_lost: u32,
    pub rack_lost: u32,
    pub zone_lost: u32,
    pub recovery: u32,
    pub region_cut: u32,
    pub release: u32,
}

impl Lengths {
    /// All phases, long enough to include the effects that follow a change.
    pub const FULL: Lengths = Lengths {
        start: 30,
        settle: 6,
        reports: 8,
        rest: 8,
        replaced: 16,
        configured: 8,
        host_lost: 24,
        rack_lost: 24,
        zone_lost: 24,
        recovery: 24,
        region_cut: 30,
        release: 24,
    };
    /// All phases, shortened.
    pub const QUICK: Lengths = Lengths {
        start: 6,
        settle: 2,
        reports: 2,
        rest: 2,
        replaced: 6,
        configured: 5,
        host_lost: 4,
        rack_lost: 6,
        zone_lost: 6,
        recovery: 2,
        region_cut: 6,
        release: 6,
    };
    /// The start and the steady state only.
    pub const STEADY: Lengths = Lengths {
        start: 10,
        replaced: 0,
        configured: 0,
        host_lost: 0,
        rack_lost: 0,
        zone_lost: 0,
        recovery: 0,
        region_cut: 0,
        release: 0,
        ..Lengths::FULL
    };
    /// The start and the steady state only, shortened.
    pub const STEADY_QUICK: Lengths = Lengths { start: 4, settle: 1, reports: 2, rest: 2, ..Lengths::STEADY };
}

/// The cost of a director of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The name of the measurement in tables.
    pub label: String,
    /// The size of the fleet.
    pub size: Size,
    /// The phases, in order.
    pub phases: Vec<Phase>,
    /// Bytes that the director holds after the start.
    pub allocated_after_start: usize,
    /// Bytes that the director holds at the end.
    pub allocated_at_end: usize,
    /// Records that the director holds after the start.
    pub records: RecordCounts,
    /// Bytes of a checkpoint after the start.
    pub checkpoint_bytes: usize,
}

impl Outcome {
    /// The phase of this name; `None` if it was left out.
    pub fn phase(&self, name: &str) -> Option<&Phase> {
        self.phases.iter().find(|phase| phase.name == name)
    }

    /// Processor seconds that one change of a phase costs beyond the steady state.
    pub fn cpu_s_per_change(&self, name: &str) -> Option<f64> {
        let (phase, steady) = (self.phase(name)?, self.phase("reports")?);
        Some((phase.cpu_s - steady.core_ratio() * phase.virtual_s) / f64::from(SINGLE_CHANGES))
    }

    /// Share of a core that a day's replaced machines and configuration changes cost beyond the steady state,
    /// with their number scaled to the number of hosts.
    pub fn churn_core_ratio(&self) -> Option<f64> {
        let scale = f64::from(self.size.hosts) / f64::from(TARGET.hosts);
        let replaced = REPLACED_PER_DAY * self.cpu_s_per_change("replaced")?;
        let configured = CONFIGURED_PER_DAY * self.cpu_s_per_change("configured")?;
        Some(scale * (replaced + configured) / DAY_S)
    }
}

/// Runs a director of this size through all phases that have a length.
pub fn run(label: &str, size: Size, lengths: Lengths) -> Outcome {
    let mut driver = Driver::new(size);
    let mut phases = vec![start(&mut driver, lengths.start)];
    let (records, checkpoint_bytes) = (driver.director.record_counts(), driver.director.checkpoint().len());
    let allocated_after_start = memory::held_bytes(&driver.director);
    type RunPhase = fn(&mut Driver, u32) -> Phase;
    let later_phases: [(u32, RunPhase); 12] = [
        (lengths.settle, settle),
        (lengths.reports, reports),
        (lengths.rest, rest),
        (lengths.replaced, replaced),
        (lengths.configured, configured),
        (lengths.host_lost, host_lost),
        (lengths.rack_lost, rack_lost),
        (lengths.recovery, recovery),
        (lengths.zone_lost, zone_lost),
        (lengths.recovery, recovery),
        (lengths.region_cut, region_cut),
        (lengths.release, release),
    ];
    for (seconds, run_phase) in later_phases.into_iter().filter(|(seconds, _)| *seconds > 0) {
        phases.push(run_phase(&mut driver, seconds));
    }
    let allocated_at_end = memory::held_bytes(&driver.director);
    Outcome {
        label: label.into(),
        size,
        phases,
        allocated_after_start,
        allocated_at_end,
        records,
        checkpoint_bytes,
    }
}

/// The cached endpoint list arrives and all proxies connect before the first call.
fn start(driver: &mut Driver, seconds: u32) -> Phase {
    driver.run_phase("start", seconds, Reports::Arrive, |fleet, call, _| {
        let connections = || std::iter::once(fleet.cached_list()).chain(fleet.connections()).collect();
        if call == 0 {
            connections()
        } else {
            Vec::new()
        }
    })
}

/// Nothing changes, so that the effects of the start can end.
fn settle(driver: &mut Driver, seconds: u32) -> Phase {
    driver.run_phase("settle", seconds, Reports::Arrive, |_, _, _| Vec::new())
}

/// The steady state: nothing changes, and proxies report.
fn reports(driver: &mut Driver, seconds: u32) -> Phase {
    driver.run_phase("reports", seconds, Reports::Arrive, |_, _, _| Vec::new())
}

/// Nothing changes, and proxies do not report.
fn rest(driver: &mut Driver, seconds: u32) -> Phase {
    driver.run_phase("rest", seconds, Reports::None, |_, _, _| Vec::new())
}

/// Hosts that have just restarted warm up.
fn recovery(driver: &mut Driver, seconds: u32) -> Phase {
    driver.run_phase("recovery", seconds, Reports::Arrive, |_, _, _| Vec::new())
}

/// Single machines are replaced, one per second; the rest of the phase includes the effects that follow.
fn replaced(driver: &mut Driver, seconds: u32) -> Phase {
    let mut draining: Vec<(u32, Endpoint)> = Vec::new();
    driver.run_phase("replaced", seconds, Reports::Arrive, |fleet, call, now| {
        let mut entries = Vec::new();
        if call % CALLS_PER_S == 0 && call / CALLS_PER_S < SINGLE_CHANGES {
            entries.extend(fleet.replace((call / CALLS_PER_S) as usize, now));
            draining.push((call, entries[0].clone()));
        }
        entries.extend(removed_after_drain(&mut draining, call));
        list_changes(entries)
    })
}

/// The listed weight of single hosts changes, one per second.
fn configured(driver: &mut Driver, seconds: u32) -> Phase {
    driver.run_phase("configured", seconds, Reports::Arrive, |fleet, call, _| {
        match call % CALLS_PER_S == 0 && call / CALLS_PER_S < SINGLE_CHANGES {
            true => list_changes(fleet.reconfigure((SINGLE_CHANGES + call / CALLS_PER_S) as usize)),
            false => Vec::new(),
        }
    })
}

/// One host fails but stays on the endpoint list, and recovers after two thirds of the phase.
fn host_lost(driver: &mut Driver, seconds: u32) -> Phase {
    let recovery_call = 2 * seconds * CALLS_PER_S / 3;
    driver.run_phase("host lost", seconds, Reports::Arrive, |fleet, call, _| {
        match call {
            0 => fleet.fail_host(UNTOUCHED_HOST),
            at if at == recovery_call => fleet.recover(),
            _ => {}
        }
        Vec::new()
    })
}

/// For the first half of the phase one of the eight regions is unreachable; its hosts stay on the endpoint
/// list.
fn region_cut(driver: &mut Driver, seconds: u32) -> Phase {
    let zones = driver.director.settings().zones.len() as u32;
    let recovery_call = seconds * CALLS_PER_S / 2;
    driver.run_phase("region cut", seconds, Reports::Arrive, |fleet, call, _| {
        match call {
            0 => fleet.fail_zones(zones.div_ceil(REGIONS)),
            at if at == recovery_call => fleet.recover(),
            _ => {}
        }
        Vec::new()
    })
}

/// A rack fails; see [`fail_remove_and_restart`].
fn rack_lost(driver: &mut Driver, seconds: u32) -> Phase {
    fail_remove_and_restart(driver, "rack lost", seconds, Fleet::fail_rack)
}

/// A zone fails; see [`fail_remove_and_restart`].
fn zone_lost(driver: &mut Driver, seconds: u32) -> Phase {
    fail_remove_and_restart(driver, "zone lost", seconds, |fleet| fleet.fail_zones(1))
}

/// Hosts fail, are removed from the endpoint list after a third of the phase, and restart after two thirds.
fn fail_remove_and_restart(
    driver: &mut Driver,
    name: &'static str,
    seconds: u32,
    fail: fn(&mut Fleet),
) -> Phase {
    let third = (seconds * CALLS_PER_S / 3).max(1);
    driver.run_phase(name, seconds, Reports::Arrive, |fleet, call, now| {
        if call == 0 {
            fail(fleet);
        }
        match call {
            at if at == third => list_changes(fleet.removals_of_failing_hosts()),
            at if at == 2 * third => list_changes(fleet.restart_failing_hosts(now)),
            _ => Vec::new(),
        }
    })
}

/// Half of the hosts are replaced in the first two thirds of the phase, an equal number in each second.
fn release(driver: &mut Driver, seconds: u32) -> Phase {
    let hosts = driver.fleet.len();
    let waves = (2 * seconds / 3).max(1) as usize;
    let mut draining: Vec<(u32, Endpoint)> = Vec::new();
    driver.run_phase("release", seconds, Reports::Arrive, |fleet, call, now| {
        let mut entries = Vec::new();
        let wave = (call / CALLS_PER_S) as usize;
        if call % CALLS_PER_S == 0 && wave < waves {
            for index in (hosts / 2 * wave / waves)..(hosts / 2 * (wave + 1) / waves) {
                let old_and_new = fleet.replace(2 * index, now);
                draining.push((call, old_and_new[0].clone()));
                entries.extend(old_and_new);
            }
        }
        entries.extend(removed_after_drain(&mut draining, call));
        list_changes(entries)
    })
}

/// The list entries that remove the hosts whose draining is over by `call`. Each element of `draining` is the
/// call at which a host began to drain, and the host's list entry.
fn removed_after_drain(draining: &mut Vec<(u32, Endpoint)>, call: u32) -> Vec<Endpoint> {
    let count = draining.iter().take_while(|(since, _)| call >= since + DRAIN_S * CALLS_PER_S).count();
    let to_removed = |(_, entry): (u32, Endpoint)| Endpoint { readiness: Readiness::Removed, ..entry };
    draining.drain(..count).map(to_removed).collect()
}

/// The endpoint list event for changed entries; no event if there are none.
fn list_changes(entries: Vec<Endpoint>) -> Vec<Event> {
    match entries.is_empty() {
        true => Vec::new(),
        false => vec![Event::EndpointList { kind: EndpointListKind::Changes, endpoints: entries }],
    }
}
