//! Scenarios: a site, its traffic and its troubles, in HCL (`scenarios/` has examples).

use std::sync::Arc;
use std::time::Duration;
use wingfold_director::interface::{Admission, Class, Effect, LoadReports, Micros, Settings, ZoneId};
use wingfold_settings::hcl::{self, Block, Faults};

/// Machines of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// How many, dealt to the zones in turn.
    pub count: usize,
    /// Cores of each.
    pub cores: usize,
    /// Speed of a core, drawn for each machine.
    pub speed: (f64, f64),
}

/// Requests of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Its name.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// Work of a request in ms of a core of speed 1, drawn for each scenario; each request varies around it.
    pub work_ms: (f64, f64),
    /// What the module is told of it.
    pub class: Class,
}

/// Which hosts a trouble strikes.
#[derive(Clone, Debug, PartialEq)]
pub enum Struck {
    /// A part of all, drawn from the seed.
    Part(f64),
    /// These.
    Named(Vec<String>),
    /// All of a zone.
    Zone(String),
    /// All of a kind.
    Kind(String),
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// Processes die; connections are refused; they come back cold.
    Crash,
    /// Machines go silent and come back cold.
    Vanish,
    /// Requests are taken and not answered.
    Hang,
    /// So many times slower.
    Slow(f64),
    /// Another program takes this part of the cores.
    Neighbour(f64),
    /// This part of the answers are errors.
    Errors(f64),
    /// Told to drain, gone after the time given, and back cold when the trouble ends.
    Drain(Duration),
    /// Rolling replacement, this part of the hosts struck at a time.
    Deploy(f64),
    /// A zone is cut off from the others.
    Cut(String),
    /// So many times the usual traffic.
    Burst(f64),
    /// Sums come so much later.
    LateReports(Duration),
    /// The list calls them gone while they run.
    WrongList,
    /// Discovery answers nothing.
    DiscoveryDown,
    /// A director dies and starts from its first list when the trouble ends.
    DirectorDown(usize),
    /// A director stands still and takes all that came when the trouble ends.
    DirectorStall(usize),
    /// The director's proxies lose their streams at once and dial again.
    StreamsBreak,
    /// A zone's collector says nothing; its proxies' streams go on.
    CollectorDead(String),
    /// A zone's traffic is so many times the usual.
    Traffic(String, f64),
}

/// A trouble with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub trouble: Trouble,
    /// When it begins, and ends.
    pub at: (Micros, Micros),
    /// Whom it strikes.
    pub struck: Struck,
}

/// A site, its traffic and its troubles.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for.
    pub about: String,
    /// How long it lasts.
    pub length: Micros,
    /// Machines.
    pub kinds: Vec<Kind>,
    /// Classes.
    pub loads: Vec<Load>,
    /// Requests a second in all.
    pub rate: f64,
    /// How unequal proxies are: 0 alike, 1 some have ten times the traffic of others.
    pub unequal: f64,
    /// One way between zones, and within one.
    pub far: Micros,
    /// Within one.
    pub near: Micros,
    /// Sums come so late, and up to twice that.
    pub late: Micros,
    /// This part of the reports overtakes others.
    pub disorder: f64,
    /// Discovery tells changes so late, and up to twice that.
    pub lag: Micros,
    /// Words a second between directors (made up, so that captures hold some), and the part of all words that is lost.
    pub peers: (f64, f64),
    /// What the module is told.
    pub settings: Settings,
    /// Troubles.
    pub faults: Vec<Fault>,
}

fn micros(time: Duration) -> Micros {
    Micros(time.as_micros() as u64)
}

const LONG: Duration = Duration::from_secs(7200);

impl Scenario {
    /// Reads a scenario; all that is wrong with it is told at once.
    pub fn read(file: &str, text: &str) -> Result<Scenario, Faults> {
        hcl::read(file, text, |top| {
            let Some(block) = top.block("scenario") else {
                top.wrong("a block `scenario \"name\" { .. }` is missing");
                return None;
            };
            let scenario = read(top, &block);
            Some(scenario)
        })
        .map(|scenario| scenario.expect("a missing block is a fault"))
    }
}

fn read(top: &Block, block: &Block) -> Scenario {
    let time = |block: &Block, name, or: u64| {
        micros(block.time(name, Duration::ZERO..=LONG).unwrap_or(Duration::from_millis(or)))
    };
    let zones = block.texts("zones").unwrap_or_else(|| vec!["a".into(), "b".into(), "c".into()]);
    if zones.is_empty() || (1..zones.len()).any(|at| zones[..at].contains(&zones[at])) {
        block.wrong("`zones` names at least one, each once");
    }
    let kinds: Vec<Kind> = top.blocks("hosts").iter().map(kind).collect();
    let loads: Vec<Load> = top.blocks("class").iter().map(|block| load(block, &zones)).collect();
    if kinds.is_empty() || loads.is_empty() {
        block.wrong("at least one block `hosts` and one block `class` are needed");
    }
    let channel = top.block("channel");
    let channel = channel.as_ref();
    let rules = top.block("rules");
    let rules = rules.as_ref();
    let number =
        |block: Option<&Block>, name, range, or: f64| block.and_then(|b| b.number(name, range)).unwrap_or(or);
    let rule_time = |name, or: u64| rules.map_or(Micros(or * 1000), |block| time(block, name, or));
    let directors = block.whole("directors", 1..=64).unwrap_or(2) as u32;
    let proxies = block.whole("proxies", 1..=20_000).unwrap_or(12) as u32;
    let admission = match block.word("levels", &["share", "rate", "ignored"]) {
        Some("rate") => Admission::Rate,
        Some("ignored") => Admission::Ignored,
        _ => Admission::Share,
    };
    let settings = Settings {
        me: 0,
        directors,
        zones: zones.iter().map(|zone| ZoneId(Arc::from(zone.as_str()))).collect(),
        local_first: block.flag("local_first").unwrap_or(false),
        classes: loads.iter().map(|load| load.class.clone()).collect(),
        list_on_request: block.flag("list_on_request").unwrap_or(false),
        admission,
        proxies,
        slices: 0,
        lines_per_s: number(channel, "lines_per_s", 10.0..=1e7, 2800.0),
        message_overhead: number(channel, "overhead", 0.0..=1000.0, 4.0),
        queue_max: number(channel, "queue_max", 10.0..=1e7, 3000.0),
        messages_max: channel.and_then(|b| b.whole("messages_max", 0..=10_000)).unwrap_or(0) as u32,
        messages_over: Micros(10_000_000),
        push_delay: channel.map_or(Micros(250_000), |block| time(block, "delay", 250)),
        push_delay_max: channel.map_or(Micros(700_000), |block| time(block, "delay_max", 700)),
        bare: rule_time("bare", 3000),
        report_period: time(block, "report_period", 1000),
        reports_per_s: 1000.0,
        ejects: 3,
        probing: false,
        load_reports: match block.flag("loads_told") {
            Some(false) => LoadReports::Never,
            _ => LoadReports::WithAnswers,
        },
        cross_zone_price: block.number("crossing_price", 0.0..=1.0).unwrap_or(0.06),
        start_capacity: number(rules, "start_capacity", 0.01..=1.0, 0.2),
        cold: rule_time("cold", 14_000),
        drain_grace: rule_time("drain_grace", 3400),
        overload_factor: number(rules, "overload_factor", 1.0..=100.0, 4.0),
        overload_for: rule_time("overload_for", 3000),
        ask_within: Micros(10_000_000),
        gone_is_advice: block.flag("gone_is_advice").unwrap_or(false),
        conn_idle: time(block, "conn_idle", 0),
    };
    let peers = top.block("peers");
    let peers = peers.as_ref();
    let length = time(block, "length", 60_000);
    let faults =
        top.blocks("fault").iter().filter_map(|b| fault(b, length, &zones, directors as usize)).collect();
    Scenario {
        name: block.label.clone().unwrap_or_else(|| "unnamed".into()),
        about: block.text("about").unwrap_or_default(),
        length,
        rate: block.number("rate", 0.1..=1e6).unwrap_or(140.0),
        unequal: block.number("unequal", 0.0..=1.0).unwrap_or(0.5),
        far: time(block, "far", 2),
        near: micros(Duration::from_micros(300)),
        late: time(block, "reports_late", 500),
        disorder: block.number("disorder", 0.0..=1.0).unwrap_or(0.1),
        lag: time(block, "list_lag", 1500),
        peers: (number(peers, "per_s", 0.0..=100.0, 1.0), number(peers, "loss", 0.0..=1.0, 0.3)),
        kinds,
        loads,
        settings,
        faults,
    }
}

fn kind(block: &Block) -> Kind {
    Kind {
        name: block.label.clone().unwrap_or_else(|| "box".into()),
        count: block.whole("count", 1..=5000).unwrap_or(12) as usize,
        cores: block.whole("cores", 1..=256).unwrap_or(3) as usize,
        speed: block.span("speed", 0.01..=100.0).unwrap_or((0.85, 1.1)),
    }
}

fn load(block: &Block, zones: &[String]) -> Load {
    let time = |name, or| {
        micros(block.time(name, Duration::from_millis(1)..=LONG).unwrap_or(Duration::from_millis(or)))
    };
    let effect = match block.word("effect", &["safe", "keyed", "once"]) {
        Some("keyed") => Effect::Deduplicated,
        Some("once") => Effect::AtMostOnce,
        _ => Effect::Idempotent,
    };
    let only = block.texts("zones").unwrap_or_default();
    for zone in only.iter().filter(|zone| !zones.contains(zone)) {
        block.wrong(format!("`zones` names `{zone}`, which is no zone of the scenario"));
    }
    let class = Class {
        aim: time("aim", 1000),
        deadline: time("deadline", 3000),
        worth: block.number("worth", 0.0..=1e6).unwrap_or(1.0),
        effect,
        own_zone: block.flag("own_zone").unwrap_or(false),
        zones: only.iter().map(|zone| ZoneId(Arc::from(zone.as_str()))).collect(),
        kinds: block.texts("kinds").unwrap_or_default(),
    };
    if class.deadline < class.aim {
        block.wrong("`deadline` comes before `aim`");
    }
    Load {
        name: block.label.clone().unwrap_or_else(|| "request".into()),
        share: block.number("share", 0.0..=1.0).unwrap_or(1.0),
        work_ms: block.span("work_ms", 0.01..=1e5).unwrap_or((60.0, 80.0)),
        class,
    }
}

const TROUBLES: [&str; 18] = [
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

fn fault(block: &Block, length: Micros, zones: &[String], directors: usize) -> Option<Fault> {
    let name = block.label.clone().unwrap_or_default();
    let begins = block.time("at", Duration::ZERO..=LONG);
    let begins = micros(block.need("at", begins, Duration::ZERO));
    let lasts = micros(block.time("lasts", Duration::ZERO..=LONG).unwrap_or(Duration::from_secs(10)));
    let size = block.number("size", 0.0..=1000.0);
    let by = block.time("by", Duration::ZERO..=LONG);
    let director = block.whole("director", 0..=directors as u64 - 1).unwrap_or(0) as usize;
    let (part, named) = (block.number("part", 0.0..=1.0), block.texts("hosts"));
    let (zone, kind) = (block.text("zone"), block.text("kind"));
    if zone.as_ref().is_some_and(|zone| !zones.contains(zone)) {
        block.wrong("`zone` is no zone of the scenario");
    }
    if begins >= length {
        block.wrong("begins after the scenario has ended");
    }
    let trouble = match name.as_str() {
        "crash" => Trouble::Crash,
        "vanish" => Trouble::Vanish,
        "hang" => Trouble::Hang,
        "slow" => Trouble::Slow(size.unwrap_or(4.0).max(0.01)),
        "neighbour" => Trouble::Neighbour(size.unwrap_or(0.5).min(0.95)),
        "errors" => Trouble::Errors(size.unwrap_or(0.5).min(1.0)),
        "drain" => Trouble::Drain(by.unwrap_or(Duration::from_secs(5))),
        "deploy" => Trouble::Deploy(size.unwrap_or(0.2).clamp(0.01, 1.0)),
        "cut" => Trouble::Cut(block.need("zone", zone.clone(), String::new())),
        "burst" => Trouble::Burst(size.unwrap_or(1.5).max(0.01)),
        "late_reports" => Trouble::LateReports(by.unwrap_or(Duration::from_secs(3))),
        "wrong_list" => Trouble::WrongList,
        "discovery_down" => Trouble::DiscoveryDown,
        "director_down" => Trouble::DirectorDown(director),
        "director_stall" => Trouble::DirectorStall(director),
        "streams_break" => Trouble::StreamsBreak,
        "collector_dead" => Trouble::CollectorDead(block.need("zone", zone.clone(), String::new())),
        "traffic" => {
            let zone = block.need("zone", zone.clone(), String::new());
            Trouble::Traffic(zone, size.unwrap_or(0.1))
        }
        _ => {
            block.unknown(format!("is not known; here are {}", TROUBLES.join(", ")));
            return None;
        }
    };
    let struck = match (named, zone, kind, part) {
        (Some(named), ..) => Struck::Named(named),
        (_, Some(zone), ..) => Struck::Zone(zone),
        (_, _, Some(kind), _) => Struck::Kind(kind),
        (.., part) => Struck::Part(part.unwrap_or(0.2)),
    };
    Some(Fault { trouble, at: (begins, Micros(begins.0 + lasts.0)), struck })
}
