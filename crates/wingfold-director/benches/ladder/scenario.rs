//! What a director of one size is put through, phase by phase.

use crate::fleet::{Fleet, TURNS_PER_S};
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
/// Single changes that are played to learn what one costs, one a second.
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
    /// Every phase, for a look.
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
    /// The same, for a look.
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

/// Puts a director of this size through all phases that have a length.
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

/// The list and all proxies come in the first turn.
fn start(driver: &mut Driver, seconds: u32) -> Phase {
    driver.play("start", seconds, Reports::Arrive, |fleet, turn, _| {
        let joins = || std::iter::once(fleet.whole_list()).chain(fleet.joins()).collect();
        if turn == 0 {
            joins()
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

/// Hosts that have just started become warm.
fn recovery(driver: &mut Driver, seconds: u32) -> Phase {
    driver.play("recovery", seconds, Reports::Arrive, |_, _, _| Vec::new())
}

/// Single machines are replaced; the rest of the phase is what follows.
fn replaced(driver: &mut Driver, seconds: u32) -> Phase {
    let mut drained: Vec<(u32, Endpoint)> = Vec::new();
    driver.play("replaced", seconds, Reports::Arrive, |fleet, turn, now| {
        let mut entries = Vec::new();
        if turn % TURNS_PER_S == 0 && turn / TURNS_PER_S < SINGLE_CHANGES {
            entries.extend(fleet.replace((turn / TURNS_PER_S) as usize, now));
            drained.push((turn, entries[0].clone()));
        }
        entries.extend(gone(&mut drained, turn));
        changes(entries)
    })
}

/// The listed weight of single hosts changes.
fn configured(driver: &mut Driver, seconds: u32) -> Phase {
    driver.play("configured", seconds, Reports::Arrive, |fleet, turn, _| {
        match turn % TURNS_PER_S == 0 && turn / TURNS_PER_S < SINGLE_CHANGES {
            true => changes(fleet.reconfigure((SINGLE_CHANGES + turn / TURNS_PER_S) as usize)),
            false => Vec::new(),
        }
    })
}

/// One host fails without a word of the list, and is back after two thirds of the phase.
fn host_lost(driver: &mut Driver, seconds: u32) -> Phase {
    let back = 2 * seconds * TURNS_PER_S / 3;
    driver.play("host lost", seconds, Reports::Arrive, |fleet, turn, _| {
        match turn {
            0 => fleet.lose_host(UNTOUCHED_HOST),
            at if at == back => fleet.recover(),
            _ => {}
        }
        Vec::new()
    })
}

/// One region of eight cannot be reached, which the list does not tell, and can be again after half of the phase.
fn region_cut(driver: &mut Driver, seconds: u32) -> Phase {
    let zones = driver.director.settings().zones.len() as u32;
    let back = seconds * TURNS_PER_S / 2;
    driver.play("region cut", seconds, Reports::Arrive, |fleet, turn, _| {
        match turn {
            0 => fleet.lose_zones(zones.div_ceil(REGIONS)),
            at if at == back => fleet.recover(),
            _ => {}
        }
        Vec::new()
    })
}

/// A rack is lost; see [`lost_and_listed`].
fn rack_lost(driver: &mut Driver, seconds: u32) -> Phase {
    lost_and_listed(driver, "rack lost", seconds, Fleet::lose_rack)
}

/// A zone is lost; see [`lost_and_listed`].
fn zone_lost(driver: &mut Driver, seconds: u32) -> Phase {
    lost_and_listed(driver, "zone lost", seconds, |fleet| fleet.lose_zones(1))
}

/// Hosts are lost, the list drops them after a third of the phase, and they are back, cold, after two thirds.
fn lost_and_listed(driver: &mut Driver, name: &'static str, seconds: u32, lose: fn(&mut Fleet)) -> Phase {
    let third = (seconds * TURNS_PER_S / 3).max(1);
    driver.play(name, seconds, Reports::Arrive, |fleet, turn, now| {
        if turn == 0 {
            lose(fleet);
        }
        match turn {
            at if at == third => changes(fleet.list_without_lost()),
            at if at == 2 * third => changes(fleet.restart_lost(now)),
            _ => Vec::new(),
        }
    })
}

/// Half of the hosts are replaced in the first two thirds of the phase, as many each second.
fn release(driver: &mut Driver, seconds: u32) -> Phase {
    let hosts = driver.fleet.len();
    let waves = (2 * seconds / 3).max(1) as usize;
    let mut drained: Vec<(u32, Endpoint)> = Vec::new();
    driver.play("release", seconds, Reports::Arrive, |fleet, turn, now| {
        let mut entries = Vec::new();
        let wave = (turn / TURNS_PER_S) as usize;
        if turn % TURNS_PER_S == 0 && wave < waves {
            for index in (hosts / 2 * wave / waves)..(hosts / 2 * (wave + 1) / waves) {
                let both = fleet.replace(2 * index, now);
                drained.push((turn, both[0].clone()));
                entries.extend(both);
            }
        }
        entries.extend(gone(&mut drained, turn));
        changes(entries)
    })
}

/// The hosts whose draining is over: the list drops them.
fn gone(drained: &mut Vec<(u32, Endpoint)>, turn: u32) -> Vec<Endpoint> {
    let over = drained.iter().take_while(|(since, _)| turn >= since + DRAINED_AFTER_S * TURNS_PER_S).count();
    let gone = |(_, entry): (u32, Endpoint)| Endpoint { readiness: Readiness::Removed, ..entry };
    drained.drain(..over).map(gone).collect()
}

/// The event for changed entries; none for no change.
fn changes(entries: Vec<Endpoint>) -> Vec<Event> {
    match entries.is_empty() {
        true => Vec::new(),
        false => vec![Event::EndpointList { kind: EndpointListKind::Changes, endpoints: entries }],
    }
}
