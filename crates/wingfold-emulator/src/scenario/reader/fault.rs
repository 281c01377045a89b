//! Reads the faults of a scenario.

use super::values::{duration_or, micros, MAX_DURATION};
use crate::scenario::{Fault, FaultKind, FaultTargets};
use std::time::Duration;
use wingfold_director::interface::{Micros, Timestamp};
use wingfold_settings::hcl::Block;

/// The share of all hosts that a fault affects if it names no targets.
const DEFAULT_TARGET_SHARE: f64 = 0.2;

const FAULT_KINDS: [&str; 18] = [
    "crash",
    "vanish",
    "hang",
    "slow",
    "neighbour",
    "errors",
    "drain",
    "deploy",
    "cut",
    "burst",
    "late_reports",
    "wrong_list",
    "discovery_down",
    "director_down",
    "director_stall",
    "streams_break",
    "collector_dead",
    "traffic",
];

/// The keys of a block `fault`. Which of them are used depends on the kind of the fault.
struct FaultKeys {
    begins_at: Timestamp,
    duration: Micros,
    size: Option<f64>,
    delay: Option<Duration>,
    director: usize,
    target_share: Option<f64>,
    hosts: Option<Vec<String>>,
    zone: Option<String>,
    machine_type: Option<String>,
}

impl FaultKeys {
    fn read(block: &Block, directors: usize) -> FaultKeys {
        let begins_after = block.duration("at", Duration::ZERO..=MAX_DURATION);
        let last_director = directors as u64 - 1;
        FaultKeys {
            begins_at: Timestamp::default() + micros(block.require("at", begins_after, Duration::ZERO)),
            duration: duration_or(block, "lasts", 10_000),
            size: block.number("size", 0.0..=1000.0),
            delay: block.duration("by", Duration::ZERO..=MAX_DURATION),
            director: block.integer("director", 0..=last_director).unwrap_or(0) as usize,
            target_share: block.number("part", 0.0..=1.0),
            hosts: block.strings("hosts"),
            zone: block.string("zone"),
            machine_type: block.string("kind"),
        }
    }

    fn size_or(&self, default: f64) -> f64 {
        self.size.unwrap_or(default)
    }

    fn delay_or(&self, default_s: u64) -> Duration {
        self.delay.unwrap_or(Duration::from_secs(default_s))
    }

    /// The targets, from the first of `hosts`, `zone` and `kind` that is given, or else from `part`.
    fn into_targets(self) -> FaultTargets {
        if let Some(hosts) = self.hosts {
            return FaultTargets::Hosts(hosts);
        }
        if let Some(zone) = self.zone {
            return FaultTargets::Zone(zone);
        }
        if let Some(machine_type) = self.machine_type {
            return FaultTargets::MachineType(machine_type);
        }
        FaultTargets::Share(self.target_share.unwrap_or(DEFAULT_TARGET_SHARE))
    }
}

/// Reads a block `fault`. Reports an unknown kind as an error and returns `None`.
pub(super) fn read_fault(
    block: &Block,
    scenario_duration: Micros,
    zones: &[String],
    directors: usize,
) -> Option<Fault> {
    let keys = FaultKeys::read(block, directors);
    if let Some(zone) = keys.zone.as_ref().filter(|zone| !zones.contains(zone)) {
        block.report(format!("`zone` names `{zone}`, which is not a zone of the scenario"));
    }
    if keys.begins_at.0 >= scenario_duration.0 {
        block.report("`at` is not before the end of the scenario");
    }
    let kind = read_fault_kind(block, &keys)?;
    let begins_at = keys.begins_at;
    let ends_at = begins_at + keys.duration;
    Some(Fault { kind, begins_at, ends_at, targets: keys.into_targets() })
}

fn read_fault_kind(block: &Block, keys: &FaultKeys) -> Option<FaultKind> {
    let zone = || block.require("zone", keys.zone.clone(), String::new());
    let name = block.label.clone().unwrap_or_default();
    let kind = match name.as_str() {
        "crash" => FaultKind::Crash,
        "vanish" => FaultKind::Unreachable,
        "hang" => FaultKind::Hang,
        "slow" => FaultKind::Slowdown { factor: keys.size_or(4.0).max(0.01) },
        "neighbour" => FaultKind::NoisyNeighbour { cpu_ratio: keys.size_or(0.5).min(0.95) },
        "errors" => FaultKind::Errors { ratio: keys.size_or(0.5).min(1.0) },
        "drain" => FaultKind::Drain { stop_after: keys.delay_or(5) },
        "deploy" => FaultKind::RollingReplacement { batch_ratio: keys.size_or(0.2).clamp(0.01, 1.0) },
        "cut" => FaultKind::ZonePartition { zone: zone() },
        "burst" => FaultKind::TrafficBurst { factor: keys.size_or(1.5).max(0.01) },
        "late_reports" => FaultKind::DelayedReports { delay: keys.delay_or(3) },
        "wrong_list" => FaultKind::FalseRemoval,
        "discovery_down" => FaultKind::DiscoveryOutage,
        "director_down" => FaultKind::DirectorCrash { director: keys.director },
        "director_stall" => FaultKind::DirectorStall { director: keys.director },
        "streams_break" => FaultKind::StreamReset,
        "collector_dead" => FaultKind::CollectorOutage { zone: zone() },
        "traffic" => FaultKind::ZoneTraffic { zone: zone(), factor: keys.size_or(0.1) },
        _ => {
            block.reject(format!("is not a known kind of fault; the kinds are {}", FAULT_KINDS.join(", ")));
            return None;
        }
    };
    Some(kind)
}
