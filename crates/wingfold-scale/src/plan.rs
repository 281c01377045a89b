//! The sizes of a run, and what it takes of the machine.

use crate::limits::{MachineLimits, PlanError};
use clap::ValueEnum;
use std::fmt;
use std::time::Duration;

/// Size of the full fleet, of which the steps of the ladder are parts.
const FULL_FLEET_DIRECTORS: usize = 480;
const FULL_FLEET_HOSTS: usize = 2_700;
const FULL_FLEET_ZONES: usize = 30;
/// Proxies at one director, the same on every step: the fleet grows by directors.
const PROXIES_PER_DIRECTOR: usize = 48;
/// With a single zone, no rule about other zones would be exercised.
const MIN_ZONES: usize = 2;

/// Processes that a run may take, its own included.
const MAX_PROCESSES: usize = 300;

/// Proxies of each simulated director, except the reference one, which has as many as a real one. That many for each
/// would take more descriptors than one process has, and would not change what is measured.
pub const PROXIES_PER_SIMULATED_DIRECTOR: usize = 1;
/// See [`PROXIES_PER_SIMULATED_DIRECTOR`].
pub const COLLECTORS_PER_SIMULATED_DIRECTOR: usize = 1;

/// Descriptors of a simulated director besides those of its clients: its listener, both ends of its connection to
/// discovery, and both ends of two health checks under way.
const DESCRIPTORS_PER_SIMULATED_DIRECTOR: usize = 7;
/// The most connections to hosts that a real director keeps: some 16 health checks a second, each kept for 5 s, and a
/// fifth more.
const HOST_CONNECTIONS_PER_REAL_DIRECTOR: usize = 96;
/// Descriptors of the process itself: its runtime, its output, logs of real directors, files of /proc.
const OWN_DESCRIPTORS: usize = 64;

/// Memory limit of a real director.
pub const REAL_MEMORY_MIB: usize = 192;
/// Descriptor limit of a real director.
pub const REAL_DESCRIPTORS: usize = 1_024;
/// Estimates of what simulated parts hold: the tasks and buffers of a connection, a host in the list and its responses,
/// and the process itself.
const BYTES_PER_CONNECTION: usize = 48 << 10;
const BYTES_PER_LISTED_HOST: usize = 512;
const OWN_MEMORY_BYTES: usize = 128 << 20;

/// A step of the ladder: the part of the whole fleet that is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Step {
    /// A sixteenth of the fleet
    #[value(name = "1/16")]
    Sixteenth,
    /// An eighth
    #[value(name = "1/8")]
    Eighth,
    /// A quarter
    #[value(name = "1/4")]
    Quarter,
    /// Half
    #[value(name = "1/2")]
    Half,
    /// The whole fleet
    #[value(name = "1")]
    Whole,
}

impl Step {
    /// All steps, the smallest first.
    pub const ALL: [Step; 5] = [Step::Sixteenth, Step::Eighth, Step::Quarter, Step::Half, Step::Whole];

    /// The full fleet divided by this is the step.
    fn divisor(self) -> usize {
        match self {
            Step::Sixteenth => 16,
            Step::Eighth => 8,
            Step::Quarter => 4,
            Step::Half => 2,
            Step::Whole => 1,
        }
    }

    /// Its name in the names of files.
    pub fn file_name(self) -> String {
        self.to_string().replace('/', "-")
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.divisor() {
            1 => f.write_str("1"),
            divisor => write!(f, "1/{divisor}"),
        }
    }
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct FleetSize {
    /// Directors in all, real and simulated.
    pub directors: usize,
    /// Of these, real ones.
    pub real_directors: usize,
    /// Hosts in discovery's list.
    pub hosts: usize,
    /// Zones, each with one collector.
    pub zones: usize,
    /// Proxies at each real director, and at the reference simulated one.
    pub proxies_per_director: usize,
}

impl FleetSize {
    /// The sizes of a step.
    pub fn of_step(step: Step, real_directors: usize) -> FleetSize {
        let part = |whole: usize| whole.div_ceil(step.divisor());
        FleetSize {
            directors: part(FULL_FLEET_DIRECTORS),
            real_directors,
            hosts: part(FULL_FLEET_HOSTS),
            zones: part(FULL_FLEET_ZONES).max(MIN_ZONES),
            proxies_per_director: PROXIES_PER_DIRECTOR,
        }
    }

    /// Simulated directors.
    pub fn simulated_directors(&self) -> usize {
        self.directors - self.real_directors
    }

    /// Connections of all clients of a director.
    pub fn clients_per_director(&self) -> usize {
        self.proxies_per_director + self.zones
    }
}

/// What a run takes of the machine at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ResourceEstimate {
    /// Processes, this one included.
    pub processes: usize,
    /// Descriptors of this process; each real director has its own.
    pub descriptors: usize,
    /// Bytes of memory of all processes.
    pub memory_bytes: usize,
}

/// A run as it was asked for.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The step of the ladder.
    pub step: Step,
    /// What the step means in numbers.
    pub fleet_size: FleetSize,
    /// How long the fleet is watched once it is up.
    pub duration: Duration,
    /// For the script and for the simulated parts.
    pub seed: u64,
}

impl Plan {
    /// A plan, or why it makes no sense.
    pub fn new(step: Step, real_directors: usize, duration: Duration, seed: u64) -> Result<Plan, PlanError> {
        let fleet_size = FleetSize::of_step(step, real_directors);
        let most = fleet_size.directors - 1;
        if !(1..=most).contains(&real_directors) {
            return Err(PlanError::RealDirectors { asked: real_directors, most });
        }
        Ok(Plan { step, fleet_size, duration, seed })
    }

    /// What the run takes.
    pub fn estimate(&self) -> ResourceEstimate {
        let fleet_size = &self.fleet_size;
        ResourceEstimate {
            processes: 1 + fleet_size.real_directors,
            descriptors: self.descriptors(),
            memory_bytes: self.memory_bytes(),
        }
    }

    /// Refuses a run that would take more of the machine than it may.
    pub fn check(&self, machine: &MachineLimits) -> Result<ResourceEstimate, PlanError> {
        let estimate = self.estimate();
        if estimate.processes > MAX_PROCESSES {
            return Err(PlanError::Processes { needed: estimate.processes, allowed: MAX_PROCESSES });
        }
        if estimate.descriptors > machine.descriptors {
            return Err(PlanError::Descriptors {
                needed: estimate.descriptors,
                allowed: machine.descriptors,
            });
        }
        let allowed = machine.memory_bytes / 2;
        if estimate.memory_bytes > allowed {
            return Err(PlanError::Memory {
                needed_mib: estimate.memory_bytes >> 20,
                allowed_mib: allowed >> 20,
            });
        }
        Ok(estimate)
    }

    fn descriptors(&self) -> usize {
        let fleet_size = &self.fleet_size;
        let both_ends = 2;
        let per_simulated = DESCRIPTORS_PER_SIMULATED_DIRECTOR
            + both_ends * (PROXIES_PER_SIMULATED_DIRECTOR + COLLECTORS_PER_SIMULATED_DIRECTOR);
        let reference = both_ends * fleet_size.clients_per_director();
        let per_real =
            1 + fleet_size.clients_per_director() + HOST_CONNECTIONS_PER_REAL_DIRECTOR.min(fleet_size.hosts);
        // One before discovery moves and one after.
        let discovery_listeners = 2 * fleet_size.directors;
        fleet_size.simulated_directors() * per_simulated
            + reference
            + fleet_size.real_directors * per_real
            + discovery_listeners
            + fleet_size.hosts
            + OWN_DESCRIPTORS
    }

    fn memory_bytes(&self) -> usize {
        let list = self.fleet_size.hosts * BYTES_PER_LISTED_HOST;
        self.fleet_size.real_directors * (REAL_MEMORY_MIB << 20)
            + self.descriptors() * BYTES_PER_CONNECTION
            + self.fleet_size.directors * list
            + OWN_MEMORY_BYTES
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (fleet_size, estimate) = (&self.fleet_size, self.estimate());
        writeln!(
            f,
            "step {}: {} directors ({} real), {} hosts, {} zones, {} proxies at each real director, {} s, seed {}",
            self.step,
            fleet_size.directors,
            fleet_size.real_directors,
            fleet_size.hosts,
            fleet_size.zones,
            fleet_size.proxies_per_director,
            self.duration.as_secs(),
            self.seed,
        )?;
        write!(
            f,
            "plan: {} processes, {} descriptors in this one, {} MiB of memory at most",
            estimate.processes,
            estimate.descriptors,
            estimate.memory_bytes >> 20
        )
    }
}
