//! Reads scenarios from HCL and validates them. This module and its submodules map the keys of the files to
//! the names in the code.

mod fault;
mod settings;
mod values;

use self::fault::read_fault;
use self::settings::{read_settings, zone_id};
use self::values::{duration_or, micros, OptionalBlock, MAX_DURATION};
use super::{ClassLoad, HostGroup, PeerTraffic, Scenario, ValueRange};
use std::time::Duration;
use wingfold_director::interface::{Class, Micros, RepeatSafety};
use wingfold_settings::hcl::{self, Block, Diagnostics};

/// The shortest one-way latency within a zone.
const SAME_ZONE_LATENCY: Micros = Micros(300);

/// Reads a scenario. The error lists all problems of the scenario.
pub(super) fn read(file: &str, text: &str) -> Result<Scenario, Diagnostics> {
    let scenario = hcl::read(file, text, |top| {
        let Some(block) = top.block("scenario") else {
            top.report("a block `scenario \"name\" { .. }` is missing");
            return None;
        };
        Some(read_scenario(top, &block))
    });
    scenario.map(|scenario| scenario.expect("a missing block `scenario` is reported as an error"))
}

fn read_scenario(top: &Block, block: &Block) -> Scenario {
    let zones = read_zones(block);
    let host_groups: Vec<HostGroup> = top.blocks("hosts").iter().map(read_host_group).collect();
    let classes: Vec<ClassLoad> =
        top.blocks("class").iter().map(|block| read_class_load(block, &zones)).collect();
    if host_groups.is_empty() || classes.is_empty() {
        block.report("at least one block `hosts` and one block `class` are needed");
    }
    let settings = read_settings(top, block, &zones, &classes);
    let peers = read_peer_traffic(&OptionalBlock(top.block("peers")));
    let duration = duration_or(block, "length", 60_000);
    let directors = settings.directors as usize;
    let faults = top.blocks("fault");
    let faults = faults.iter().filter_map(|block| read_fault(block, duration, &zones, directors)).collect();
    Scenario {
        name: block.label.clone().unwrap_or_else(|| "unnamed".into()),
        description: block.string("about").unwrap_or_default(),
        duration,
        rate_per_s: block.number("rate", 0.1..=1e6).unwrap_or(140.0),
        rate_skew: block.number("unequal", 0.0..=1.0).unwrap_or(0.5),
        cross_zone_latency: duration_or(block, "far", 2),
        same_zone_latency: SAME_ZONE_LATENCY,
        report_delay: duration_or(block, "reports_late", 500),
        reorder_ratio: block.number("disorder", 0.0..=1.0).unwrap_or(0.1),
        discovery_delay: duration_or(block, "list_lag", 1500),
        peers,
        host_groups,
        classes,
        settings,
        faults,
    }
}

fn read_zones(block: &Block) -> Vec<String> {
    let zones = block.strings("zones").unwrap_or_else(|| vec!["a".into(), "b".into(), "c".into()]);
    let has_duplicate = (1..zones.len()).any(|index| zones[..index].contains(&zones[index]));
    if zones.is_empty() || has_duplicate {
        block.report("`zones` must name at least one zone, and no zone twice");
    }
    zones
}

fn read_peer_traffic(block: &OptionalBlock) -> PeerTraffic {
    PeerTraffic {
        messages_per_s: block.number("per_s", 0.0..=100.0, 1.0),
        loss_ratio: block.number("loss", 0.0..=1.0, 0.3),
    }
}

fn read_host_group(block: &Block) -> HostGroup {
    HostGroup {
        machine_type: block.label.clone().unwrap_or_else(|| "box".into()),
        count: block.integer("count", 1..=5000).unwrap_or(12) as usize,
        cores: block.integer("cores", 1..=256).unwrap_or(3) as usize,
        core_speed: value_range(block.number_range("speed", 0.01..=100.0).unwrap_or((0.85, 1.1))),
    }
}

fn value_range((min, max): (f64, f64)) -> ValueRange {
    ValueRange { min, max }
}

fn read_class_load(block: &Block, zones: &[String]) -> ClassLoad {
    let repeat_safety = read_repeat_safety(block);
    let allowed_zones = block.strings("zones").unwrap_or_default();
    for zone in allowed_zones.iter().filter(|zone| !zones.contains(zone)) {
        block.report(format!("`zones` names `{zone}`, which is not a zone of the scenario"));
    }
    let class = Class {
        latency_objective: positive_duration_or(block, "aim", 1000),
        deadline: positive_duration_or(block, "deadline", 3000),
        priority_weight: block.number("worth", 0.0..=1e6).unwrap_or(1.0),
        repeat_safety,
        own_zone_only: block.boolean("own_zone").unwrap_or(false),
        allowed_zones: allowed_zones.iter().map(|zone| zone_id(zone)).collect(),
        allowed_machine_types: block.strings("kinds").unwrap_or_default(),
    };
    if class.deadline < class.latency_objective {
        block.report("`deadline` is shorter than `aim`");
    }
    ClassLoad {
        name: block.label.clone().unwrap_or_else(|| "request".into()),
        share: block.number("share", 0.0..=1.0).unwrap_or(1.0),
        mean_work_ms: value_range(block.number_range("work_ms", 0.01..=1e5).unwrap_or((60.0, 80.0))),
        class,
    }
}

fn read_repeat_safety(block: &Block) -> RepeatSafety {
    match block.keyword("effect", &["safe", "keyed", "once"]) {
        Some("keyed") => RepeatSafety::Deduplicated,
        Some("once") => RepeatSafety::AtMostOnce,
        _ => RepeatSafety::Idempotent,
    }
}

fn positive_duration_or(block: &Block, key: &'static str, default_ms: u64) -> Micros {
    let duration = block.duration(key, Duration::from_millis(1)..=MAX_DURATION);
    micros(duration.unwrap_or(Duration::from_millis(default_ms)))
}
