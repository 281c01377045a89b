//! The phases that a director of one size goes through.

use crate::fleet::{Fleet, CALLS_PER_S};
use crate::measure::{Driver, Phase, Reports};
use crate::memory;
use crate::sizes::{Size, CONFIGURED_A_DAY, REPLACED_A_DAY, TARGET};
use serde::Serialize;
use wingfold_director::inspect::RecordCounts;
use wingfold_director::interface::{Endpoint, EndpointListKind, Event, Readiness};

/// Seconds in a day.
const DAY_S: f64 = 86_400.0;
/// Regions of the target.
const REGIONS: u32 = 8;
/// Single changes of a phase, one per second, by which the cost of one is measured.
const SINGLE_CHANGES: u32 = 4;
/// A host that no single change is about.
const UNTOUCHED_HOST: usize = 2 * SINGLE_CHANGES as usize;
/// Seconds from a host's draining until the list drops it.
const DRAINED_AFTER_S: u32 = 3;

/// Length of each phase in seconds of virtual time; 0 leaves it out.
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
    /// Every phase, long enough to see what a change does afterwards.
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
    /// Every phase, shortened.
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
    /// The same, shortened.
    pub const STEADY_QUICK: Lengths = Lengths { start: 4, settle: 1, reports: 2, rest: 2, ..Lengths::STEADY };
}

/// What one size cost.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What it is called.
    pub label: String,
    /// The size.
    pub size: Size,
    /// Its phases, in their order.
    pub phases: Vec<Phase>,
    /// Bytes that the director holds after the start and at the end.
    pub allocated_after_start: usize,
    pub allocated_at_end: usize,
    /// Records that the director holds after the start.
    pub records: RecordCounts,
    /// Bytes of a checkpoint after the start.
    pub checkpoint_bytes: usize,
}

impl Outcome {
    /// A phase, where it was played.
    pub fn phase(&self, name: &str) -> Option<&Phase> {
        self.phases.iter().find(|phase| phase.name == name)
    }

    /// Processor seconds that one change of a phase costs beyond the steady state.
    pub fn cost_of_one(&self, name: &str) -> Option<f64> {
        let (phase, steady) = (self.phase(name)?, self.phase("reports")?);
        Some((phase.cpu_s - steady.core() * phase.virtual_s) / f64::from(SINGLE_CHANGES))
    }

    /// Share of a core that a day's replaced machines and configuration changes cost beyond the steady state.
    pub fn churn_core(&self) -> Option<f64> {
        let scale = f64::from(self.size.hosts) / f64::from(TARGET.hosts);
        let replaced = REPLACED_A_DAY * self.cost_of_one("replaced")?;
        let configured = CONFIGURED_A_DAY * self.cost_of_one("configured")?;
        Some(scale * (replaced + configured) / DAY_S)
    }
}

/// Runs a director of this size through all phases that have a length.
pub fn run(label: &str, size: Size, lengths: Lengths) -> Outcome {
    let mut driver = Driver::new(size);
    let mut phases = vec![start(&mut driver, lengths.start)];
    let (records, checkpoint_bytes) = (driver.director.record_counts(), driver.director.checkpoint().len());
    let allocated_after_start = memory::of_director(&driver.director);
    type Play = fn(&mut Driver, u32) -> Phase;
    let others: [(u32, Play); 12] = [
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
    for (seconds, play) in others.into_iter().filter(|(seconds, _)| *seconds > 0) {
        phases.push(play(&mut driver, seconds));
    }
    let allocated_at_end = memory::of_director(&driver.director);
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

/// The list arrives and all proxies connect before the first call.
fn start(driver: &mut Driver, seconds: u32) -> Phase {
    driver.play("start", seconds, Reports::Arrive, |fleet, call, _| {
        let connections = || std::iter::once(fleet.cached_list()).chain(fleet.connections()).collect();
        if call == 0 {
            connections()
        } else {
            Vec::new()
        }
    })
}

fn settle(driver: &mut Driver, seconds: u32) -> Phase {
    driver.play("settle", seconds, Reports::Arrive, |_, _, _| Vec::new())
}

fn reports(driver: &mut Driver, seconds: u32) -> Phase {
    driver.play("reports", seconds, Reports::Arrive, |_, _, _| Vec::new())
}

fn rest(driver: &mut Driver, seconds: u32) -> Phase {
    driver.play("rest", seconds, Reports::None, |_, _, _| Vec::new())
}

/// Hosts that have just started warm up.
fn recovery(driver: &mut Driver, seconds: u32) -> Phase {
    driver.play("recovery", seconds, Reports::Arrive, |_, _, _| Vec::new())
}

/// Single machines are replaced; the rest of the phase is what follows.
fn replaced(driver: &mut Driver, seconds: u32) -> Phase {
    let mut drained: Vec<(u32, Endpoint)> = Vec::new();
    driver.play("replaced", seconds, Reports::Arrive, |fleet, call, now| {
        let mut entries = Vec::new();
        if call % CALLS_PER_S == 0 && call / CALLS_PER_S < SINGLE_CHANGES {
            entries.extend(fleet.replace((call / CALLS_PER_S) as usize, now));
            drained.push((call, entries[0].clone()));
        }
        entries.extend(removed_after_drain(&mut drained, call));
        list_changes(entries)
    })
}

/// The listed weight of single hosts changes.
fn configured(driver: &mut Driver, seconds: u32) -> Phase {
    driver.play("configured", seconds, Reports::Arrive, |fleet, call, _| {
        match call % CALLS_PER_S == 0 && call / CALLS_PER_S < SINGLE_CHANGES {
            true => list_changes(fleet.reconfigure((SINGLE_CHANGES + call / CALLS_PER_S) as usize)),
            false => Vec::new(),
        }
    })
}

/// One host fails and stays on the list, and recovers after two thirds of the phase.
fn host_lost(driver: &mut Driver, seconds: u32) -> Phase {
    let back = 2 * seconds * CALLS_PER_S / 3;
    driver.play("host lost", seconds, Reports::Arrive, |fleet, call, _| {
        match call {
            0 => fleet.fail_host(UNTOUCHED_HOST),
            at if at == back => fleet.recover(),
            _ => {}
        }
        Vec::new()
    })
}

/// One region of eight is unreachable but listed until half of the phase is over.
fn region_cut(driver: &mut Driver, seconds: u32) -> Phase {
    let zones = driver.director.settings().zones.len() as u32;
    let back = seconds * CALLS_PER_S / 2;
    driver.play("region cut", seconds, Reports::Arrive, |fleet, call, _| {
        match call {
            0 => fleet.fail_zones(zones.div_ceil(REGIONS)),
            at if at == back => fleet.recover(),
            _ => {}
        }
        Vec::new()
    })
}

/// A rack is lost; see [`lost_and_listed`].
fn rack_lost(driver: &mut Driver, seconds: u32) -> Phase {
    lost_and_listed(driver, "rack lost", seconds, Fleet::fail_rack)
}

/// A zone is lost; see [`lost_and_listed`].
fn zone_lost(driver: &mut Driver, seconds: u32) -> Phase {
    lost_and_listed(driver, "zone lost", seconds, |fleet| fleet.fail_zones(1))
}

/// Hosts fail, are removed from the list after a third of the phase, and restart after two thirds.
fn lost_and_listed(driver: &mut Driver, name: &'static str, seconds: u32, fail: fn(&mut Fleet)) -> Phase {
    let third = (seconds * CALLS_PER_S / 3).max(1);
    driver.play(name, seconds, Reports::Arrive, |fleet, call, now| {
        if call == 0 {
            fail(fleet);
        }
        match call {
            at if at == third => list_changes(fleet.remove_failed()),
            at if at == 2 * third => list_changes(fleet.restart_failed(now)),
            _ => Vec::new(),
        }
    })
}

/// Half of the hosts are replaced in the first two thirds of the phase, as many each second.
fn release(driver: &mut Driver, seconds: u32) -> Phase {
    let hosts = driver.fleet.len();
    let waves = (2 * seconds / 3).max(1) as usize;
    let mut drained: Vec<(u32, Endpoint)> = Vec::new();
    driver.play("release", seconds, Reports::Arrive, |fleet, call, now| {
        let mut entries = Vec::new();
        let wave = (call / CALLS_PER_S) as usize;
        if call % CALLS_PER_S == 0 && wave < waves {
            for index in (hosts / 2 * wave / waves)..(hosts / 2 * (wave + 1) / waves) {
                let both = fleet.replace(2 * index, now);
                drained.push((call, both[0].clone()));
                entries.extend(both);
            }
        }
        entries.extend(removed_after_drain(&mut drained, call));
        list_changes(entries)
    })
}

/// The list entries that remove the hosts whose draining is over.
fn removed_after_drain(drained: &mut Vec<(u32, Endpoint)>, call: u32) -> Vec<Endpoint> {
    let over = drained.iter().take_while(|(since, _)| call >= since + DRAINED_AFTER_S * CALLS_PER_S).count();
    let removed_after_drain =
        |(_, entry): (u32, Endpoint)| Endpoint { readiness: Readiness::Removed, ..entry };
    drained.drain(..over).map(removed_after_drain).collect()
}

/// The event for changed entries; none for no change.
fn list_changes(entries: Vec<Endpoint>) -> Vec<Event> {
    match entries.is_empty() {
        true => Vec::new(),
        false => vec![Event::EndpointList { kind: EndpointListKind::Changes, endpoints: entries }],
    }
}
