//! Scenarios: a site, its traffic and its faults, written in HCL. The directory `scenarios/` has examples.

mod fault;
mod reader;

pub use fault::{Fault, FaultKind, FaultTargets};

use wingfold_director::interface::{Class, Micros, Settings};
use wingfold_settings::hcl::Diagnostics;

/// A range from which values are drawn uniformly; both ends are included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueRange {
    /// The smallest value.
    pub min: f64,
    /// The largest value.
    pub max: f64,
}

/// The hosts of one machine type.
#[derive(Clone, Debug, PartialEq)]
pub struct HostGroup {
    /// The name of the machine type; a host's name is this name, a hyphen and a number.
    pub machine_type: String,
    /// The number of hosts, which are distributed over the zones in turn.
    pub count: usize,
    /// The cores of each host.
    pub cores: usize,
    /// Milliseconds of work that a core does per millisecond, drawn for each host.
    pub core_speed: ValueRange,
}

/// The requests of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// The name of the class.
    pub name: String,
    /// The class's share of all requests, relative to the shares of the other classes.
    pub share: f64,
    /// The mean work of a request in milliseconds of a core of speed 1, drawn for each run. The work of each
    /// request varies around the mean.
    pub mean_work_ms: ValueRange,
    /// The class in the settings of the decision module.
    pub class: Class,
}

/// Random messages between directors, sent so that captures contain peer messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerTraffic {
    /// Random messages that each director sends per second.
    pub messages_per_s: f64,
    /// The share of all messages between directors that is lost.
    pub loss_ratio: f64,
}

/// A site, its traffic and its faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The scenario's name.
    pub name: String,
    /// What the scenario tests.
    pub description: String,
    /// How long a run lasts in virtual time.
    pub duration: Micros,
    /// The hosts by machine type.
    pub host_groups: Vec<HostGroup>,
    /// The classes of requests.
    pub classes: Vec<ClassLoad>,
    /// Requests per second, summed over all proxies.
    pub rate_per_s: f64,
    /// How unequal the request rates of the proxies are: with 0 all are equal, with 1 they differ by a factor
    /// up to 10.
    pub rate_skew: f64,
    /// The shortest one-way latency between zones.
    pub cross_zone_latency: Micros,
    /// The shortest one-way latency within a zone.
    pub same_zone_latency: Micros,
    /// The shortest delay of a load report that arrives in order; the longest delay is twice as long.
    pub report_delay: Micros,
    /// The share of the load reports that arrive out of order.
    pub reorder_ratio: f64,
    /// The shortest delay of a change of the endpoint list; the longest delay is twice as long.
    pub discovery_delay: Micros,
    /// The messages between directors.
    pub peers: PeerTraffic,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The faults, in the order of the file.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Reads a scenario from HCL. The error lists all problems of the scenario, each with its position in
    /// `file`.
    pub fn read(file: &str, text: &str) -> Result<Scenario, Diagnostics> {
        reader::read(file, text)
    }
}
