//! Faults of a site: their kinds, times and targets.

use std::time::Duration;
use wingfold_director::interface::Timestamp;

/// Which hosts a fault affects.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultTargets {
    /// A share of all hosts, drawn at random; at least one host.
    Share(f64),
    /// Hosts by name.
    Hosts(Vec<String>),
    /// All hosts of a zone.
    Zone(String),
    /// All hosts of a machine type.
    MachineType(String),
}

/// What a fault does.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// The hosts' processes die and refuse connections; they restart when the fault ends.
    Crash,
    /// The hosts become unreachable; they restart when the fault ends.
    Unreachable,
    /// The hosts accept requests and answer none; they restart when the fault ends.
    Hang,
    /// The hosts are slowed down.
    Slowdown {
        /// The factor by which they are slowed down.
        factor: f64,
    },
    /// Another program uses a share of the hosts' cores.
    NoisyNeighbour {
        /// The share of the cores.
        cpu_ratio: f64,
    },
    /// A share of the hosts' answers are errors.
    Errors {
        /// The share of the answers.
        ratio: f64,
    },
    /// The hosts drain, then stop; they restart when the fault ends.
    Drain {
        /// The time from the beginning of the drain to the stop.
        stop_after: Duration,
    },
    /// The hosts are replaced in batches, each of which drains, stops and starts.
    RollingReplacement {
        /// The share of the affected hosts in a batch.
        batch_ratio: f64,
    },
    /// A zone is partitioned from the others.
    ZonePartition {
        /// The zone's name.
        zone: String,
    },
    /// The traffic of the whole site changes.
    TrafficBurst {
        /// The traffic as a multiple of the normal traffic.
        factor: f64,
    },
    /// Load reports and usage reports are delayed longer.
    DelayedReports {
        /// The additional delay.
        delay: Duration,
    },
    /// Discovery announces the hosts as removed while they run.
    FalseRemoval,
    /// Discovery is down: it announces no changes, and requests for the endpoint list fail.
    DiscoveryOutage,
    /// A director dies; when the fault ends, it starts from the initial endpoint list.
    DirectorCrash {
        /// The director's index.
        director: usize,
    },
    /// A director stalls; when the fault ends, it handles all events that have arrived in the meantime.
    DirectorStall {
        /// The director's index.
        director: usize,
    },
    /// All proxies lose their streams at once and reconnect.
    StreamReset,
    /// The collector of a zone sends no load reports; usage reports and streams of the zone's proxies
    /// continue.
    CollectorOutage {
        /// The zone's name.
        zone: String,
    },
    /// The traffic of one zone changes.
    ZoneTraffic {
        /// The zone's name.
        zone: String,
        /// The traffic as a multiple of the normal traffic.
        factor: f64,
    },
}

/// A fault with its times and targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What the fault does.
    pub kind: FaultKind,
    /// When the fault begins.
    pub begins_at: Timestamp,
    /// When the fault ends.
    pub ends_at: Timestamp,
    /// The hosts that the fault affects, if its kind affects hosts.
    pub targets: FaultTargets,
}
