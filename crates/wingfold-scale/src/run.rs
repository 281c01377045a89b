//! One run: checks the plan, sets up the fleet, executes the script and stops everything that was started.

use crate::fleet::{Fleet, FleetError};
use crate::limits::{LimitsError, MachineLimits, PlanError};
use crate::plan::{Plan, ResourceEstimate};
use crate::process_usage::MeasureError;
use crate::report::Report;
use crate::script::{FaultPlan, Script};
use std::future::Future;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// A run may take this much longer than its timeouts and the duration of its script together.
const RUN_MARGIN: Duration = Duration::from_secs(60);
/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeouts of a run.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Until a started real director answers a ping.
    pub ready: Duration,
    /// Until all directors hold the first list, and all proxies of real directors hold tables.
    pub start: Duration,
    /// Until all directors hold the last version of the list, after the end of the script.
    pub settle: Duration,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            ready: Duration::from_secs(30),
            start: Duration::from_secs(60),
            settle: Duration::from_secs(45),
        }
    }
}

/// A run to be executed.
#[derive(Clone, Debug)]
pub struct Run {
    /// The size of the fleet, the duration and the seed.
    pub plan: Plan,
    /// The executable of the real directors.
    pub program: PathBuf,
    /// The fault to inject.
    pub fault: FaultPlan,
    /// The timeouts.
    pub timeouts: Timeouts,
}

/// Why a run has no report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The plan exceeds a limit.
    #[error(transparent)]
    Rejected(#[from] PlanError),
    /// The machine's limits cannot be read.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// A real director or a simulated component has failed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The resource usage of this process cannot be measured.
    #[error(transparent)]
    Measure(#[from] MeasureError),
    /// Some directors did not receive the current version of the list in time.
    #[error(
        "{behind} directors (the first is director {first}) do not hold version {version} \
         of the endpoint list; discovery rejected the last request of {rejected} of them"
    )]
    DirectorsBehind {
        /// The number of these directors.
        behind: usize,
        /// The lowest director number among them.
        first: usize,
        /// The current version of the list.
        version: u64,
        /// How many of these directors had their last request rejected by discovery.
        rejected: usize,
    },
    /// Some proxies of real directors did not receive tables in time.
    #[error("{with_tables} of {proxies} proxies of real directors hold tables after {} s", after.as_secs())]
    ProxiesWithoutTables {
        /// The timeout.
        after: Duration,
        /// The number of proxies that hold tables.
        with_tables: usize,
        /// The number of all proxies of real directors.
        proxies: usize,
    },
    /// The run exceeded its time limit.
    #[error("the run exceeded its time limit of {} s", .0.as_secs())]
    Overrun(Duration),
    /// The run was interrupted.
    #[error("interrupted")]
    Interrupted,
}

impl Run {
    /// Executes the run. The fleet is stopped also if the run fails, exceeds its time limit or is
    /// interrupted.
    pub async fn execute(&self, interrupted: impl Future<Output = ()>) -> Result<Report, RunError> {
        let estimate = self.plan.check(&MachineLimits::read()?)?;
        let mut fleet = Fleet::set_up(&self.plan, self.timeouts.ready).await?;
        let Timeouts { ready, start, settle } = self.timeouts;
        let time_limit = ready + start + self.plan.duration + settle + RUN_MARGIN;
        let result = tokio::select! {
            result = timeout(time_limit, self.run_fleet(&mut fleet, estimate)) => {
                result.unwrap_or(Err(RunError::Overrun(time_limit)))
            }
            () = interrupted => Err(RunError::Interrupted),
        };
        let stopped = fleet.stop().await;
        let report = result?;
        stopped?;
        Ok(report)
    }

    /// Starts the fleet, executes the script and makes the report.
    async fn run_fleet(&self, fleet: &mut Fleet, estimate: ResourceEstimate) -> Result<Report, RunError> {
        fleet.start(&self.program).await?;
        tracing::info!("all directors have started");
        self.wait_until_up(fleet).await?;
        tracing::info!("all directors hold the list, and all proxies of real directors hold tables");
        let baseline = self.baseline(fleet)?;
        let mut script =
            Script::new(self.plan.fleet_size.hosts, self.plan.seed, self.plan.duration, self.fault);
        script.run_steady_phase(fleet).await?;
        let comparisons = self.comparisons(fleet, &baseline);
        script.run_to_end(fleet).await?;
        let report = self.report(fleet, &baseline, estimate, script.changes(), comparisons)?;
        self.wait_until_settled(fleet).await?;
        Ok(self.with_delays(report, fleet))
    }

    /// Waits until all directors hold the list, all proxies of real directors hold tables, and the send
    /// queues are idle.
    async fn wait_until_up(&self, fleet: &mut Fleet) -> Result<(), RunError> {
        let begun = Instant::now();
        loop {
            fleet.ensure_running()?;
            let (behind, with_tables) = (fleet.directors_behind(), fleet.proxies_with_tables());
            if behind.is_empty() && with_tables == fleet.proxy_count() && fleet.send_queues_are_idle() {
                return Ok(());
            }
            if begun.elapsed() > self.timeouts.start {
                fail_if_behind(fleet, &behind)?;
                let (after, proxies) = (self.timeouts.start, fleet.proxy_count());
                return Err(RunError::ProxiesWithoutTables { after, with_tables, proxies });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all directors hold the last version of the list.
    async fn wait_until_settled(&self, fleet: &mut Fleet) -> Result<(), RunError> {
        let begun = Instant::now();
        loop {
            fleet.ensure_running()?;
            let behind = fleet.directors_behind();
            if behind.is_empty() {
                return Ok(());
            }
            if begun.elapsed() > self.timeouts.settle {
                return fail_if_behind(fleet, &behind);
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Fails if any director is behind, that is, does not hold the current version of the list.
fn fail_if_behind(fleet: &Fleet, behind: &[usize]) -> Result<(), RunError> {
    let Some(first) = behind.first() else { return Ok(()) };
    let rejected = behind.iter().filter(|director| fleet.discovery.was_rejected(**director)).count();
    let version = fleet.discovery.version();
    Err(RunError::DirectorsBehind { behind: behind.len(), first: *first, version, rejected })
}
