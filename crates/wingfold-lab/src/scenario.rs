//! Scenarios: a site, its traffic and its faults, in HCL (`scenarios/` has examples).

mod reader;

use std::time::Duration;
use wingfold_director::interface::{Class, Micros, Settings, Timestamp};
use wingfold_settings::hcl::Diagnostics;

/// Machines of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct HostKind {
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
pub struct ClassLoad {
    /// Its name.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// Work of a request in ms of a core of speed 1, drawn for each scenario; each request varies around it.
    pub work_ms: (f64, f64),
    /// The class as the decision module is told of it.
    pub class: Class,
}

/// Which hosts a fault affects.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultTargets {
    /// A share of all hosts, drawn from the seed.
    Share(f64),
    /// Hosts by name.
    Hosts(Vec<String>),
    /// All of a zone.
    Zone(String),
    /// All of a kind.
    Kind(String),
}

/// What a fault does.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Processes die; connections are refused; they come back cold.
    Crash,
    /// Machines go silent and come back cold.
    Vanish,
    /// Requests are taken and not answered.
    Hang,
    /// Hosts are so many times slower.
    Slow(f64),
    /// Another program takes this part of the cores.
    Neighbour(f64),
    /// This part of the answers are errors.
    Errors(f64),
    /// Told to drain, gone after the time given, and back cold when the fault ends.
    Drain(Duration),
    /// Rolling replacement, this part of the affected hosts at a time.
    Deploy(f64),
    /// A zone is cut off from the others.
    Cut(String),
    /// Traffic is so many times the usual.
    Burst(f64),
    /// Load reports come so much later.
    LateReports(Duration),
    /// Discovery calls the hosts gone while they run.
    WrongList,
    /// Discovery answers nothing.
    DiscoveryDown,
    /// A director dies and starts from its first list when the fault ends.
    DirectorDown(usize),
    /// A director stands still and takes all that came when the fault ends.
    DirectorStall(usize),
    /// All proxies lose their streams at once and connect again.
    StreamsBreak,
    /// A zone's collector sends no reports; its proxies' streams go on.
    CollectorDead(String),
    /// A zone's traffic is so many times the usual.
    Traffic(String, f64),
}

/// A fault with its time and targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What it does.
    pub kind: FaultKind,
    /// When it begins.
    pub begins: Timestamp,
    /// When it ends.
    pub ends: Timestamp,
    /// The hosts it affects.
    pub targets: FaultTargets,
}

/// Made-up messages between directors, so that captures hold some.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerTraffic {
    /// Messages a second from each director.
    pub messages_per_s: f64,
    /// The share of all messages between directors that is lost.
    pub loss: f64,
}

/// A site, its traffic and its faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for.
    pub description: String,
    /// How long it lasts.
    pub duration: Micros,
    /// Machines.
    pub host_kinds: Vec<HostKind>,
    /// Classes of requests.
    pub classes: Vec<ClassLoad>,
    /// Requests a second in all.
    pub rate: f64,
    /// How unequal the proxies' rates are: 0 alike, 1 some have ten times the traffic of others.
    pub rate_skew: f64,
    /// One way between zones.
    pub cross_zone_latency: Micros,
    /// One way within a zone.
    pub same_zone_latency: Micros,
    /// Load reports come so late, and up to twice that.
    pub report_delay: Micros,
    /// This share of the load reports overtakes others.
    pub reorder_share: f64,
    /// Discovery tells changes so late, and up to twice that.
    pub discovery_delay: Micros,
    /// Messages between directors.
    pub peers: PeerTraffic,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Faults.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Reads a scenario; all that is wrong with it is told at once.
    pub fn read(file: &str, text: &str) -> Result<Scenario, Diagnostics> {
        reader::read(file, text)
    }
}
