//! Faults of a site: what they do, when, and to which hosts.

use std::time::Duration;
use wingfold_director::interface::Timestamp;

/// Which hosts a fault affects.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultTargets {
    /// A share of all hosts, drawn from the seed; at least one.
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
    /// The hosts are slower.
    Slowdown {
        /// How many times slower.
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
        /// The time from the beginning of the draining to the stop.
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
        /// The traffic as a multiple of the ordinary.
        factor: f64,
    },
    /// Load reports are delayed further.
    DelayedReports {
        /// The additional delay.
        delay: Duration,
    },
    /// Discovery announces the hosts as removed while they run.
    FalseRemoval,
    /// Discovery answers nothing.
    DiscoveryOutage,
    /// A director dies; it starts from the initial endpoint list when the fault ends.
    DirectorCrash {
        /// The director's index.
        director: usize,
    },
    /// A director stalls; it handles all that has arrived when the fault ends.
    DirectorStall {
        /// The director's index.
        director: usize,
    },
    /// All proxies lose their streams at once and reconnect.
    StreamReset,
    /// The load report collector of a zone sends nothing; the streams of its proxies continue.
    CollectorOutage {
        /// The zone's name.
        zone: String,
    },
    /// The traffic of one zone changes.
    ZoneTraffic {
        /// The zone's name.
        zone: String,
        /// The traffic as a multiple of the ordinary.
        factor: f64,
    },
}

/// A fault with its time and targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What it does.
    pub kind: FaultKind,
    /// When it begins.
    pub begins_at: Timestamp,
    /// When it ends.
    pub ends_at: Timestamp,
    /// The hosts that it affects.
    pub targets: FaultTargets,
}
