//! One run: checks the plan, sets up the fleet, plays the script and stops everything that was started.

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

/// The time limit of a run beyond the timeouts and the duration of the script.
const RUN_MARGIN: Duration = Duration::from_secs(60);
/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a run waits at most.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For a real director to answer after its start.
    pub ready: Duration,
    /// For all directors to have the first list, and for the real ones' proxies to hold tables.
    pub start: Duration,
    /// For all directors to have the last list, once the script is over.
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

/// A run to be played.
#[derive(Clone, Debug)]
pub struct Run {
    /// The plan.
    pub plan: Plan,
    /// The program that a real director is.
    pub program: PathBuf,
    /// The fault.
    pub fault: FaultPlan,
    /// How long it waits at most.
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
    /// A part of the fleet has failed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// This process cannot be measured.
    #[error(transparent)]
    Measure(#[from] MeasureError),
    /// Directors did not get the list in time.
    #[error(
        "{behind} directors (the first is number {first}) do not have version {version} of the list; \
         the last calls of {rejected} of them were refused by discovery"
    )]
    Behind {
        /// How many.
        behind: usize,
        /// The first one's number.
        first: usize,
        /// The version.
        version: u64,
        /// How many of them discovery rejected last.
        rejected: usize,
    },
    /// Proxies did not get tables in time.
    #[error("{bound} of {proxies} proxies at real directors hold tables after {} s", after.as_secs())]
    Unbound {
        /// The timeout.
        after: Duration,
        /// Proxies with tables.
        bound: usize,
        /// All proxies.
        proxies: usize,
    },
    /// It exceeded its time limit.
    #[error("the run was not over within {} s", .0.as_secs())]
    Overrun(Duration),
    /// It was interrupted.
    #[error("interrupted")]
    Interrupted,
}

impl Run {
    /// Plays the run, and stops all that was started in every case.
    pub async fn play(&self, interrupted: impl Future<Output = ()>) -> Result<Report, RunError> {
        let estimate = self.plan.check(&MachineLimits::read()?)?;
        let mut fleet = Fleet::set_up(&self.plan, self.timeouts.ready).await?;
        let Timeouts { ready, start, settle } = self.timeouts;
        let time_limit = ready + start + self.plan.duration + settle + RUN_MARGIN;
        let played = tokio::select! {
            played = timeout(time_limit, self.play_fleet(&mut fleet, estimate)) => {
                played.unwrap_or(Err(RunError::Overrun(time_limit)))
            }
            () = interrupted => Err(RunError::Interrupted),
        };
        let stopped = fleet.stop().await;
        let report = played?;
        stopped?;
        Ok(report)
    }

    /// Starts the fleet, plays the script and makes the report.
    async fn play_fleet(&self, fleet: &mut Fleet, estimate: ResourceEstimate) -> Result<Report, RunError> {
        fleet.start(&self.program).await?;
        tracing::info!("all directors answer");
        self.wait_until_up(fleet).await?;
        tracing::info!("all directors have the list, and the real ones' proxies tables");
        let baseline = self.baseline(fleet)?;
        let mut script =
            Script::new(self.plan.fleet_size.hosts, self.plan.seed, self.plan.duration, self.fault);
        script.play_steady(fleet).await?;
        let comparisons = self.comparisons(fleet, &baseline);
        script.play_to_end(fleet).await?;
        let report = self.report(fleet, &baseline, estimate, script.changes(), comparisons)?;
        self.wait_until_settled(fleet).await?;
        Ok(self.with_delays(report, fleet))
    }

    /// Waits until all directors have the list, and the real ones' proxies tables.
    async fn wait_until_up(&self, fleet: &mut Fleet) -> Result<(), RunError> {
        let begun = Instant::now();
        loop {
            fleet.ensure_running()?;
            let (behind, bound) = (fleet.directors_behind(), fleet.proxies_with_tables());
            if behind.is_empty() && bound == fleet.proxy_count() && fleet.send_queues_are_idle() {
                return Ok(());
            }
            if begun.elapsed() > self.timeouts.start {
                fail_if_behind(fleet, &behind)?;
                let (after, proxies) = (self.timeouts.start, fleet.proxy_count());
                return Err(RunError::Unbound { after, bound, proxies });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all directors have the list as it is at the end.
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

/// Fails if directors do not hold the current list.
fn fail_if_behind(fleet: &Fleet, behind: &[usize]) -> Result<(), RunError> {
    let Some(first) = behind.first() else { return Ok(()) };
    let rejected = behind.iter().filter(|director| fleet.discovery.was_rejected(**director)).count();
    let version = fleet.discovery.version();
    Err(RunError::Behind { behind: behind.len(), first: *first, version, rejected })
}
