//! A ladder: runs of every step, from the smallest fleet to the full one, without a fault, then runs of one
//! step with each fault; and the summary table of all these runs.

use crate::faults::Fault;
use crate::limits::PlanError;
use crate::plan::{Plan, Step};
use crate::report::{DirectorMetrics, Report};
use crate::run::{Run, Timeouts};
use crate::script::FaultPlan;
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// The runs of a ladder, described by what they have in common.
#[derive(Clone, Debug)]
pub struct Ladder {
    /// How long each fleet is measured after its start.
    pub duration: Duration,
    /// The seed of each run.
    pub seed: u64,
    /// The number of real directors in each run.
    pub real_directors: usize,
    /// The executable of the real directors.
    pub program: PathBuf,
    /// The faults of the runs that follow those without a fault.
    pub faults: Vec<Fault>,
    /// The step of the runs with a fault.
    pub fault_step: Step,
    /// How long a fault lasts.
    pub fault_duration: Duration,
}

impl Ladder {
    /// Returns the runs in order, or an error if the plan of any of them is invalid, so that no run starts
    /// then.
    pub fn runs(&self) -> Result<Vec<Run>, PlanError> {
        let steps = Step::ALL.iter().map(|step| (*step, Fault::None));
        let faults = self.faults.iter().map(|fault| (self.fault_step, *fault));
        steps.chain(faults).map(|(step, fault)| self.run(step, fault)).collect()
    }

    fn run(&self, step: Step, fault: Fault) -> Result<Run, PlanError> {
        Ok(Run {
            plan: Plan::new(step, self.real_directors, self.duration, self.seed)?,
            program: self.program.clone(),
            fault: FaultPlan { fault, duration: self.fault_duration },
            timeouts: Timeouts::default(),
        })
    }
}

/// Returns the name of a run's report file, without its extension.
pub fn report_name(run: &Run) -> String {
    let step = run.plan.step.file_name();
    match run.fault.fault {
        Fault::None => format!("scale-{step}"),
        fault => format!("scale-{step}-{fault}"),
    }
}

/// A table of several runs. For each run it shows the highest CPU share, memory and descriptor count of a
/// real director, the longest delays, the rejected and abandoned requests to discovery, and the rate of
/// health checks.
#[derive(Debug)]
pub struct Summary<'a>(pub &'a [Report]);

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<22}{:>9}{:>7}{:>11}{:>12}{:>6}{:>20}{:>20}{:>18}{:>9}{:>10}{:>15}",
            "step, fault",
            "directors",
            "hosts",
            "CPU",
            "memory",
            "fds",
            "list delay, worst",
            "proxy delay, worst",
            "move delay, worst",
            "rejected",
            "abandoned",
            "checks/host/s"
        )?;
        self.0.iter().try_for_each(|report| write_row(f, report))
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, report: &Report) -> fmt::Result {
    let max = |metric: fn(&DirectorMetrics) -> f64| report.real.iter().map(metric).fold(0.0, f64::max);
    writeln!(
        f,
        "{:<22}{:>9}{:>7}{:>10.1}%{:>8.1} MiB{:>6.0}{:>17.0} ms{:>17.0} ms{:>15.0} ms{:>9}{:>10}{:>15.2}",
        format!("{}, {}", report.step, report.fault),
        report.fleet_size.directors,
        report.fleet_size.hosts,
        100.0 * max(|real| real.processor_share),
        max(|real| real.peak_memory_mib),
        max(|real| real.peak_descriptors as f64),
        report.delays.list_to_simulated.worst_ms,
        report.delays.list_to_proxies.worst_ms,
        report.delays.configuration_to_simulated.worst_ms,
        report.discovery.rejected,
        report.discovery.abandoned,
        report.health_checks.mean_per_host,
    )
}
