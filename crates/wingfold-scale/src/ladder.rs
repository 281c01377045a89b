//! The whole ladder: every step without a fault, then faults on one step, with a row for each in one table.

use crate::faults::Fault;
use crate::limits::PlanError;
use crate::plan::{Plan, Step};
use crate::report::Report;
use crate::run::{Run, Timeouts};
use crate::script::FaultPlan;
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// What the runs of a ladder have in common.
#[derive(Clone, Debug)]
pub struct Ladder {
    /// How long each fleet is watched.
    pub duration: Duration,
    /// The seed of each run.
    pub seed: u64,
    /// Real directors of each run.
    pub real_directors: usize,
    /// The program that a real director is.
    pub program: PathBuf,
    /// The faults that are played after the steps.
    pub faults: Vec<Fault>,
    /// The step they are played on.
    pub fault_step: Step,
    /// How long a fault lasts.
    pub fault_duration: Duration,
}

impl Ladder {
    /// Its runs in order; each is rejected here, before the first is played, if its plan is invalid.
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

/// The name under which a run's report is kept.
pub fn report_name(run: &Run) -> String {
    let step = run.plan.step.file_name();
    match run.fault.fault {
        Fault::None => format!("scale-{step}"),
        fault => format!("scale-{step}-{fault}"),
    }
}

/// One table of several runs: the dearest real director, the worst times and the refusals of each.
#[derive(Debug)]
pub struct Summary<'a>(pub &'a [Report]);

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<22}{:>9}{:>7}{:>11}{:>12}{:>6}{:>20}{:>20}{:>12}{:>9}{:>10}{:>13}",
            "step, fault",
            "directors",
            "hosts",
            "processor",
            "memory",
            "fds",
            "list, worst",
            "out of use, worst",
            "move, worst",
            "refused",
            "given up",
            "probes/host/s"
        )?;
        self.0.iter().try_for_each(|report| write_row(f, report))
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, report: &Report) -> fmt::Result {
    let most =
        |of: fn(&crate::report::DirectorMetrics) -> f64| report.real.iter().map(of).fold(0.0, f64::max);
    writeln!(
        f,
        "{:<22}{:>9}{:>7}{:>10.1}%{:>8.1} MiB{:>6.0}{:>17.0} ms{:>17.0} ms{:>9.0} ms{:>9}{:>10}{:>13.2}",
        format!("{}, {}", report.step, report.fault),
        report.fleet_size.directors,
        report.fleet_size.hosts,
        100.0 * most(|real| real.processor_share),
        most(|real| real.peak_memory_mib),
        most(|real| real.peak_descriptors as f64),
        report.delays.list_to_simulated.worst_ms,
        report.delays.list_to_proxies.worst_ms,
        report.delays.configuration_to_simulated.worst_ms,
        report.discovery.rejected,
        report.discovery.abandoned,
        report.health_checks.mean_per_host,
    )
}
