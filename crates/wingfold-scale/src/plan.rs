//! The size of a run's fleet, and an estimate of the resources that the run needs.

use crate::limits::{MachineLimits, PlanError};
use clap::ValueEnum;
use std::fmt;
use std::time::Duration;

/// Size of the full fleet; each step of the ladder is a fraction of these numbers.
const FULL_FLEET_DIRECTORS: usize = 480;
const FULL_FLEET_HOSTS: usize = 2_700;
const FULL_FLEET_ZONES: usize = 30;
/// Proxies of one director. The number is the same on every step: a larger fleet has more directors.
const PROXIES_PER_DIRECTOR: usize = 48;
/// With a single zone, no rule of a director about other zones would be exercised.
const MIN_ZONES: usize = 2;

/// Limit on the processes of a run, its own included.
const MAX_PROCESSES: usize = 300;

/// Proxies of each simulated director except the first, the reference director, which has as many as a real
/// director. As many for each simulated director would need more descriptors than one process may hold, and
/// would not change any metric.
pub const PROXIES_PER_SIMULATED_DIRECTOR: usize = 1;
/// Collectors of each simulated director except the reference director, for the reasons given at
/// [`PROXIES_PER_SIMULATED_DIRECTOR`].
pub const COLLECTORS_PER_SIMULATED_DIRECTOR: usize = 1;

/// Descriptors of a simulated director besides those of its clients: its listener, both ends of its
/// connection to discovery, and both ends of two concurrent health checks.
const DESCRIPTORS_PER_SIMULATED_DIRECTOR: usize = 7;
/// Limit on the connections that a real director keeps to hosts: it makes about 16 health checks a second and
/// keeps the connection of each for 5 s, and a margin of 20% is added.
const HOST_CONNECTIONS_PER_REAL_DIRECTOR: usize = 96;
/// Descriptors of this process for its runtime, its output, the logs of real directors and files of /proc.
const OWN_DESCRIPTORS: usize = 64;

/// Memory limit in the configuration of a real director.
pub const REAL_MEMORY_MIB: usize = 192;
/// Descriptor limit in the configuration of a real director.
pub const REAL_DESCRIPTORS: usize = 1_024;
/// Estimate of the memory that one descriptor of this process needs, mostly for the tasks and buffers of a
/// connection.
const BYTES_PER_DESCRIPTOR: usize = 48 << 10;
/// Estimate of the memory that one host needs per director, in the list and in responses with the list.
const BYTES_PER_LISTED_HOST: usize = 512;
/// Estimate of the memory that this process needs besides descriptors and lists.
const OWN_MEMORY_BYTES: usize = 128 << 20;

/// A step of the ladder: the fraction of the full fleet that a run simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Step {
    /// A sixteenth of the full fleet
    #[value(name = "1/16")]
    Sixteenth,
    /// An eighth of the full fleet
    #[value(name = "1/8")]
    Eighth,
    /// A quarter of the full fleet
    #[value(name = "1/4")]
    Quarter,
    /// Half of the full fleet
    #[value(name = "1/2")]
    Half,
    /// The full fleet
    #[value(name = "1")]
    Full,
}

impl Step {
    /// All steps, the smallest first.
    pub const ALL: [Step; 5] = [Step::Sixteenth, Step::Eighth, Step::Quarter, Step::Half, Step::Full];

    /// Returns the number by which the size of the full fleet is divided.
    fn divisor(self) -> usize {
        match self {
            Step::Sixteenth => 16,
            Step::Eighth => 8,
            Step::Quarter => 4,
            Step::Half => 2,
            Step::Full => 1,
        }
    }

    /// Returns the step as it appears in names of files, without a slash.
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
    /// Directors, real and simulated.
    pub directors: usize,
    /// Real directors among them.
    pub real_directors: usize,
    /// Hosts in discovery's list.
    pub hosts: usize,
    /// Zones, each with one collector.
    pub zones: usize,
    /// Proxies of each real director and of the reference director, the first simulated one.
    pub proxies_per_director: usize,
}

impl FleetSize {
    /// Returns the size of the fleet on a step.
    pub fn of_step(step: Step, real_directors: usize) -> FleetSize {
        let fraction = |full: usize| full.div_ceil(step.divisor());
        FleetSize {
            directors: fraction(FULL_FLEET_DIRECTORS),
            real_directors,
            hosts: fraction(FULL_FLEET_HOSTS),
            zones: fraction(FULL_FLEET_ZONES).max(MIN_ZONES),
            proxies_per_director: PROXIES_PER_DIRECTOR,
        }
    }

    /// Returns the number of simulated directors.
    pub fn simulated_directors(&self) -> usize {
        self.directors - self.real_directors
    }

    /// Returns the number of clients of a real director: its proxies, and one collector per zone.
    pub fn clients_per_director(&self) -> usize {
        self.proxies_per_director + self.zones
    }
}

/// An upper estimate of the resources that a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ResourceEstimate {
    /// Processes, this one included.
    pub processes: usize,
    /// Descriptors of this process; those of the real directors are not counted.
    pub descriptors: usize,
    /// Memory of all processes, in bytes.
    pub memory_bytes: usize,
}

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The step of the ladder.
    pub step: Step,
    /// The size of the fleet on this step.
    pub fleet_size: FleetSize,
    /// How long the fleet is measured after its start.
    pub duration: Duration,
    /// The seed of the random choices in the script, in simulated directors and in real ones.
    pub seed: u64,
}

impl Plan {
    /// Creates a plan, or fails if the step does not allow this number of real directors.
    pub fn new(step: Step, real_directors: usize, duration: Duration, seed: u64) -> Result<Plan, PlanError> {
        let fleet_size = FleetSize::of_step(step, real_directors);
        let max = fleet_size.directors - 1;
        if !(1..=max).contains(&real_directors) {
            return Err(PlanError::RealDirectors { requested: real_directors, max });
        }
        Ok(Plan { step, fleet_size, duration, seed })
    }

    /// Estimates the resources that the run needs.
    pub fn estimate(&self) -> ResourceEstimate {
        let fleet_size = &self.fleet_size;
        ResourceEstimate {
            processes: 1 + fleet_size.real_directors,
            descriptors: self.descriptors(),
            memory_bytes: self.memory_bytes(),
        }
    }

    /// Fails if the estimate exceeds 300 processes, the limit on descriptors of this process, or half of the
    /// machine's memory; otherwise returns the estimate.
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
        // Each director has one listener of discovery before the move and another one after.
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
            + self.descriptors() * BYTES_PER_DESCRIPTOR
            + self.fleet_size.directors * list
            + OWN_MEMORY_BYTES
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (fleet_size, estimate) = (&self.fleet_size, self.estimate());
        writeln!(
            f,
            "step {}: {} directors ({} real), {} hosts, {} zones, {} proxies per real director, \
             {} s, seed {}",
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
            "plan: {} processes, {} descriptors in this process, {} MiB of memory at most",
            estimate.processes,
            estimate.descriptors,
            estimate.memory_bytes >> 20
        )
    }
}
