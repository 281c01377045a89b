//! The sizes of a run, and what it takes of the machine.

use crate::limits::{Machine, Refusal};
use clap::ValueEnum;
use std::fmt;
use std::time::Duration;

/// Sizes of the whole fleet, which the steps of the ladder are parts of.
const WHOLE_DIRECTORS: usize = 480;
const WHOLE_HOSTS: usize = 2_700;
const WHOLE_ZONES: usize = 30;
/// Proxies at one director, the same on every step: the fleet grows by directors.
const PROXIES_PER_DIRECTOR: usize = 48;
/// A fleet of one zone would leave all rules about zones out.
const LEAST_ZONES: usize = 2;

/// Processes that a run may take, its own included.
const MOST_PROCESSES: usize = 300;

/// Proxies and collectors that dial each hollow director, but for the reference one, which is dialled in full. All of
/// them would take more descriptors than one process has, and touch nothing that is measured.
pub const PROXIES_PER_HOLLOW: usize = 1;
/// See [`PROXIES_PER_HOLLOW`].
pub const COLLECTORS_PER_HOLLOW: usize = 1;

/// Descriptors of a hollow director beside those that dial it: its listener, both ends of its connection to
/// discovery, and both ends of two probes under way.
const DESCRIPTORS_PER_HOLLOW: usize = 7;
/// Connections to hosts that a real director keeps, at most: some 16 probes a second, each kept for 5 s, and a fifth.
const PROBE_CONNECTIONS_PER_REAL: usize = 96;
/// Descriptors of the process itself: its runtime, its output, logs of real directors, files of /proc.
const DESCRIPTORS_FOR_ITSELF: usize = 64;

/// Memory limit that a real director is given, in MiB: that of scored deployments.
pub const REAL_MEMORY_MIB: usize = 192;
/// Descriptors that a real director is given.
pub const REAL_DESCRIPTORS: usize = 1_024;
/// Estimates of what hollow parts hold, in bytes: the tasks and buffers of a connection, a host in the list and in its
/// answer, a figure kept for the report.
const BYTES_PER_CONNECTION: usize = 48 << 10;
const BYTES_PER_LISTED_HOST: usize = 512;
const BYTES_FOR_ITSELF: usize = 128 << 20;

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

    /// The whole fleet divided by this is the step.
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

/// How many of each part are played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Sizes {
    /// Directors in all, real and hollow.
    pub directors: usize,
    /// Of these, real ones.
    pub real_directors: usize,
    /// Hosts in discovery's list.
    pub hosts: usize,
    /// Zones, each with one collector.
    pub zones: usize,
    /// Proxies at each real director, and at the reference hollow one.
    pub proxies_per_director: usize,
}

impl Sizes {
    /// The sizes of a step.
    pub fn of(step: Step, real_directors: usize) -> Sizes {
        let part = |whole: usize| whole.div_ceil(step.divisor());
        Sizes {
            directors: part(WHOLE_DIRECTORS),
            real_directors,
            hosts: part(WHOLE_HOSTS),
            zones: part(WHOLE_ZONES).max(LEAST_ZONES),
            proxies_per_director: PROXIES_PER_DIRECTOR,
        }
    }

    /// Hollow directors.
    pub fn hollow_directors(&self) -> usize {
        self.directors - self.real_directors
    }

    /// Connections that dial a director in full.
    pub fn clients_per_director(&self) -> usize {
        self.proxies_per_director + self.zones
    }
}

/// What a run takes of the machine at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Needs {
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
    pub sizes: Sizes,
    /// How long the fleet is watched once it is up.
    pub duration: Duration,
    /// For the script and for the hollow parts.
    pub seed: u64,
}

impl Plan {
    /// A plan, or why it makes no sense.
    pub fn new(step: Step, real_directors: usize, duration: Duration, seed: u64) -> Result<Plan, Refusal> {
        let sizes = Sizes::of(step, real_directors);
        let most = sizes.directors - 1;
        if !(1..=most).contains(&real_directors) {
            return Err(Refusal::RealDirectors { asked: real_directors, most });
        }
        Ok(Plan { step, sizes, duration, seed })
    }

    /// What the run takes.
    pub fn needs(&self) -> Needs {
        let sizes = &self.sizes;
        Needs {
            processes: 1 + sizes.real_directors,
            descriptors: self.descriptors(),
            memory_bytes: self.memory_bytes(),
        }
    }

    /// Refuses a run that would take more of the machine than it may.
    pub fn check(&self, machine: &Machine) -> Result<Needs, Refusal> {
        let needs = self.needs();
        if needs.processes > MOST_PROCESSES {
            return Err(Refusal::Processes { needed: needs.processes, allowed: MOST_PROCESSES });
        }
        if needs.descriptors > machine.descriptors {
            return Err(Refusal::Descriptors { needed: needs.descriptors, allowed: machine.descriptors });
        }
        let allowed = machine.memory_bytes / 2;
        if needs.memory_bytes > allowed {
            return Err(Refusal::Memory { needed_mib: needs.memory_bytes >> 20, allowed_mib: allowed >> 20 });
        }
        Ok(needs)
    }

    fn descriptors(&self) -> usize {
        let sizes = &self.sizes;
        let both_ends = 2;
        let per_hollow = DESCRIPTORS_PER_HOLLOW + both_ends * (PROXIES_PER_HOLLOW + COLLECTORS_PER_HOLLOW);
        let reference = both_ends * sizes.clients_per_director();
        let per_real = 1 + sizes.clients_per_director() + PROBE_CONNECTIONS_PER_REAL.min(sizes.hosts);
        // One before discovery moves and one after.
        let discovery_listeners = 2 * sizes.directors;
        sizes.hollow_directors() * per_hollow
            + reference
            + sizes.real_directors * per_real
            + discovery_listeners
            + sizes.hosts
            + DESCRIPTORS_FOR_ITSELF
    }

    fn memory_bytes(&self) -> usize {
        let list = self.sizes.hosts * BYTES_PER_LISTED_HOST;
        self.sizes.real_directors * (REAL_MEMORY_MIB << 20)
            + self.descriptors() * BYTES_PER_CONNECTION
            + self.sizes.directors * list
            + BYTES_FOR_ITSELF
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sizes, needs) = (&self.sizes, self.needs());
        writeln!(
            f,
            "step {}: {} directors ({} real), {} hosts, {} zones, {} proxies at each real director, {} s, seed {}",
            self.step,
            sizes.directors,
            sizes.real_directors,
            sizes.hosts,
            sizes.zones,
            sizes.proxies_per_director,
            self.duration.as_secs(),
            self.seed,
        )?;
        write!(
            f,
            "plan: {} processes, {} descriptors in this one, {} MiB of memory at most",
            needs.processes,
            needs.descriptors,
            needs.memory_bytes >> 20
        )
    }
}
