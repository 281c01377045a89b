//! Reads scenarios from HCL and checks them.

use super::{ClassLoad, Fault, FaultKind, FaultTargets, HostKind, PeerTraffic, Scenario};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use wingfold_director::interface::{
    AdmissionMode, Class, LoadReportSource, Micros, RepeatSafety, Settings, Timestamp, ZoneId,
};
use wingfold_settings::hcl::{self, Block, Diagnostics};

/// The longest time that a scenario may name.
const MAX_TIME: Duration = Duration::from_secs(7200);
/// One way within a zone.
const SAME_ZONE_LATENCY: Micros = Micros(300);
/// Default share of the hosts that a fault without targets affects.
const DEFAULT_FAULT_SHARE: f64 = 0.2;

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

/// Reads a scenario; all that is wrong with it is told at once.
pub(super) fn read(file: &str, text: &str) -> Result<Scenario, Diagnostics> {
    let scenario = hcl::read(file, text, |top| {
        let Some(block) = top.block("scenario") else {
            top.report("a block `scenario \"name\" { .. }` is missing");
            return None;
        };
        Some(scenario(top, &block))
    });
    scenario.map(|scenario| scenario.expect("a missing block is a fault"))
}

fn micros(time: Duration) -> Micros {
    Micros(time.as_micros() as u64)
}

fn time_or(block: &Block, name: &'static str, default_ms: u64) -> Micros {
    let time = block.duration(name, Duration::ZERO..=MAX_TIME);
    micros(time.unwrap_or(Duration::from_millis(default_ms)))
}

fn zone_id(zone: &str) -> ZoneId {
    ZoneId(Arc::from(zone))
}

/// A block that may be missing: all its keys have defaults.
struct OptionalBlock(Option<Block>);

impl OptionalBlock {
    fn number(&self, name: &'static str, range: RangeInclusive<f64>, default: f64) -> f64 {
        self.0.as_ref().and_then(|block| block.number(name, range)).unwrap_or(default)
    }

    fn whole(&self, name: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        self.0.as_ref().and_then(|block| block.integer(name, range)).unwrap_or(default)
    }

    fn time(&self, name: &'static str, default_ms: u64) -> Micros {
        self.0.as_ref().map_or(Micros(default_ms * 1000), |block| time_or(block, name, default_ms))
    }
}

fn scenario(top: &Block, block: &Block) -> Scenario {
    let zones = zones(block);
    let host_kinds: Vec<HostKind> = top.blocks("hosts").iter().map(host_kind).collect();
    let classes: Vec<ClassLoad> = top.blocks("class").iter().map(|block| class_load(block, &zones)).collect();
    if host_kinds.is_empty() || classes.is_empty() {
        block.report("at least one block `hosts` and one block `class` are needed");
    }
    let settings = settings(top, block, &zones, &classes);
    let peers = peer_traffic(&OptionalBlock(top.block("peers")));
    let duration = time_or(block, "length", 60_000);
    let directors = settings.directors as usize;
    let faults = top.blocks("fault");
    let faults = faults.iter().filter_map(|block| fault(block, duration, &zones, directors)).collect();
    Scenario {
        name: block.label.clone().unwrap_or_else(|| "unnamed".into()),
        description: block.string("about").unwrap_or_default(),
        duration,
        rate: block.number("rate", 0.1..=1e6).unwrap_or(140.0),
        rate_skew: block.number("unequal", 0.0..=1.0).unwrap_or(0.5),
        cross_zone_latency: time_or(block, "far", 2),
        same_zone_latency: SAME_ZONE_LATENCY,
        report_delay: time_or(block, "reports_late", 500),
        reorder_share: block.number("disorder", 0.0..=1.0).unwrap_or(0.1),
        discovery_delay: time_or(block, "list_lag", 1500),
        peers,
        host_kinds,
        classes,
        settings,
        faults,
    }
}

fn zones(block: &Block) -> Vec<String> {
    let zones = block.strings("zones").unwrap_or_else(|| vec!["a".into(), "b".into(), "c".into()]);
    if zones.is_empty() || (1..zones.len()).any(|at| zones[..at].contains(&zones[at])) {
        block.report("`zones` names at least one, each once");
    }
    zones
}

fn settings(top: &Block, block: &Block, zones: &[String], classes: &[ClassLoad]) -> Settings {
    let channel = OptionalBlock(top.block("channel"));
    let rules = OptionalBlock(top.block("rules"));
    Settings {
        director_index: 0,
        directors: block.integer("directors", 1..=64).unwrap_or(2) as u32,
        zones: zones.iter().map(|zone| zone_id(zone)).collect(),
        proxies: block.integer("proxies", 1..=20_000).unwrap_or(12) as u32,
        admission_mode: admission(block),
        local_first: block.boolean("local_first").unwrap_or(false),
        classes: classes.iter().map(|load| load.class.clone()).collect(),
        endpoint_list_on_request: block.boolean("list_on_request").unwrap_or(false),
        shards: 0,
        send_rate_lines_per_s: channel.number("lines_per_s", 10.0..=1e7, 2800.0),
        message_overhead_lines: channel.number("overhead", 0.0..=1000.0, 4.0),
        max_queued_lines: channel.number("queue_max", 10.0..=1e7, 3000.0),
        max_messages_per_proxy: channel.whole("messages_max", 0..=10_000, 0) as u32,
        message_window: Micros(10_000_000),
        mean_push_delay: channel.time("delay", 250),
        max_push_delay: channel.time("delay_max", 700),
        max_time_without_entry: rules.time("bare", 3000),
        report_period: time_or(block, "report_period", 1000),
        max_report_lines_per_s: 1000.0,
        proxy_ejection_threshold: 3,
        health_checks_allowed: false,
        load_report_source: load_reports(block),
        cross_zone_price: block.number("crossing_price", 0.0..=1.0).unwrap_or(0.06),
        initial_capacity_ratio: rules.number("start_capacity", 0.01..=1.0, 0.2),
        warm_up: rules.time("cold", 14_000),
        drain_grace: rules.time("drain_grace", 3400),
        overload_factor: rules.number("overload_factor", 1.0..=100.0, 4.0),
        overload_duration: rules.time("overload_for", 3000),
        poll_within: Micros(10_000_000),
        removal_is_advisory: block.boolean("gone_is_advice").unwrap_or(false),
        connection_idle_timeout: time_or(block, "conn_idle", 0),
    }
}

fn admission(block: &Block) -> AdmissionMode {
    match block.keyword("levels", &["share", "rate", "ignored"]) {
        Some("rate") => AdmissionMode::Rate,
        Some("ignored") => AdmissionMode::Ignored,
        _ => AdmissionMode::Share,
    }
}

fn load_reports(block: &Block) -> LoadReportSource {
    match block.boolean("loads_told") {
        Some(false) => LoadReportSource::Never,
        _ => LoadReportSource::WithAttemptCounts,
    }
}

fn peer_traffic(block: &OptionalBlock) -> PeerTraffic {
    PeerTraffic {
        messages_per_s: block.number("per_s", 0.0..=100.0, 1.0),
        loss: block.number("loss", 0.0..=1.0, 0.3),
    }
}

fn host_kind(block: &Block) -> HostKind {
    HostKind {
        name: block.label.clone().unwrap_or_else(|| "box".into()),
        count: block.integer("count", 1..=5000).unwrap_or(12) as usize,
        cores: block.integer("cores", 1..=256).unwrap_or(3) as usize,
        speed: block.span("speed", 0.01..=100.0).unwrap_or((0.85, 1.1)),
    }
}

fn class_load(block: &Block, zones: &[String]) -> ClassLoad {
    let time = |name, default_ms| {
        let time = block.duration(name, Duration::from_millis(1)..=MAX_TIME);
        micros(time.unwrap_or(Duration::from_millis(default_ms)))
    };
    let effect = match block.keyword("effect", &["safe", "keyed", "once"]) {
        Some("keyed") => RepeatSafety::Deduplicated,
        Some("once") => RepeatSafety::AtMostOnce,
        _ => RepeatSafety::Idempotent,
    };
    let only = block.strings("zones").unwrap_or_default();
    for zone in only.iter().filter(|zone| !zones.contains(zone)) {
        block.report(format!("`zones` names `{zone}`, which is no zone of the scenario"));
    }
    let class = Class {
        latency_objective: time("aim", 1000),
        deadline: time("deadline", 3000),
        priority_weight: block.number("worth", 0.0..=1e6).unwrap_or(1.0),
        repeat_safety: effect,
        own_zone_only: block.boolean("own_zone").unwrap_or(false),
        allowed_zones: only.iter().map(|zone| zone_id(zone)).collect(),
        allowed_machine_types: block.strings("kinds").unwrap_or_default(),
    };
    if class.deadline < class.latency_objective {
        block.report("`deadline` comes before `aim`");
    }
    ClassLoad {
        name: block.label.clone().unwrap_or_else(|| "request".into()),
        share: block.number("share", 0.0..=1.0).unwrap_or(1.0),
        work_ms: block.span("work_ms", 0.01..=1e5).unwrap_or((60.0, 80.0)),
        class,
    }
}

/// The keys of a fault; which of them count depends on its kind.
struct FaultKeys {
    begins: Timestamp,
    lasts: Micros,
    size: Option<f64>,
    by: Option<Duration>,
    director: usize,
    share: Option<f64>,
    hosts: Option<Vec<String>>,
    zone: Option<String>,
    host_kind: Option<String>,
}

impl FaultKeys {
    fn read(block: &Block, directors: usize) -> FaultKeys {
        let begins = block.duration("at", Duration::ZERO..=MAX_TIME);
        FaultKeys {
            begins: Timestamp::default() + micros(block.require("at", begins, Duration::ZERO)),
            lasts: time_or(block, "lasts", 10_000),
            size: block.number("size", 0.0..=1000.0),
            by: block.duration("by", Duration::ZERO..=MAX_TIME),
            director: block.integer("director", 0..=directors as u64 - 1).unwrap_or(0) as usize,
            share: block.number("part", 0.0..=1.0),
            hosts: block.strings("hosts"),
            zone: block.string("zone"),
            host_kind: block.string("kind"),
        }
    }

    fn targets(self) -> FaultTargets {
        match (self.hosts, self.zone, self.host_kind, self.share) {
            (Some(hosts), ..) => FaultTargets::Hosts(hosts),
            (_, Some(zone), ..) => FaultTargets::Zone(zone),
            (_, _, Some(kind), _) => FaultTargets::Kind(kind),
            (.., share) => FaultTargets::Share(share.unwrap_or(DEFAULT_FAULT_SHARE)),
        }
    }
}

fn fault(block: &Block, duration: Micros, zones: &[String], directors: usize) -> Option<Fault> {
    let keys = FaultKeys::read(block, directors);
    if keys.zone.as_ref().is_some_and(|zone| !zones.contains(zone)) {
        block.report("`zone` is no zone of the scenario");
    }
    if keys.begins.0 >= duration.0 {
        block.report("begins after the scenario has ended");
    }
    let kind = fault_kind(block, &keys)?;
    let (begins, ends) = (keys.begins, keys.begins + keys.lasts);
    Some(Fault { kind, begins, ends, targets: keys.targets() })
}

fn fault_kind(block: &Block, keys: &FaultKeys) -> Option<FaultKind> {
    let zone = || block.require("zone", keys.zone.clone(), String::new());
    let size = |default: f64| keys.size.unwrap_or(default);
    let by = |default_s: u64| keys.by.unwrap_or(Duration::from_secs(default_s));
    let name = block.label.clone().unwrap_or_default();
    Some(match name.as_str() {
        "crash" => FaultKind::Crash,
        "vanish" => FaultKind::Vanish,
        "hang" => FaultKind::Hang,
        "slow" => FaultKind::Slow(size(4.0).max(0.01)),
        "neighbour" => FaultKind::Neighbour(size(0.5).min(0.95)),
        "errors" => FaultKind::Errors(size(0.5).min(1.0)),
        "drain" => FaultKind::Drain(by(5)),
        "deploy" => FaultKind::Deploy(size(0.2).clamp(0.01, 1.0)),
        "cut" => FaultKind::Cut(zone()),
        "burst" => FaultKind::Burst(size(1.5).max(0.01)),
        "late_reports" => FaultKind::LateReports(by(3)),
        "wrong_list" => FaultKind::WrongList,
        "discovery_down" => FaultKind::DiscoveryDown,
        "director_down" => FaultKind::DirectorDown(keys.director),
        "director_stall" => FaultKind::DirectorStall(keys.director),
        "streams_break" => FaultKind::StreamsBreak,
        "collector_dead" => FaultKind::CollectorDead(zone()),
        "traffic" => FaultKind::Traffic(zone(), size(0.1)),
        _ => {
            block.reject(format!("is not known; here are {}", FAULT_KINDS.join(", ")));
            return None;
        }
    })
}
