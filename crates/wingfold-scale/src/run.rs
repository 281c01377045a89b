//! One run: the plan is checked, the fleet set up, the script played, and all that was started is ended.

use crate::fleet::{Fleet, FleetError};
use crate::limits::{LimitsError, Machine, Refusal};
use crate::measure::MeasureError;
use crate::plan::{Needs, Plan};
use crate::report::Report;
use crate::script::{FaultPlan, Script};
use std::future::Future;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// Beyond start, script and settling a run takes no longer than this.
const SPARE: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// How long a run waits for what has to come.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// For a real director to answer after its start.
    pub ready: Duration,
    /// For all directors to have the first list, and for the real ones' proxies to hold tables.
    pub start: Duration,
    /// For all directors to have the last list, once the script is over.
    pub settle: Duration,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience {
            ready: Duration::from_secs(30),
            start: Duration::from_secs(60),
            settle: Duration::from_secs(45),
        }
    }
}

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Run {
    /// The plan.
    pub plan: Plan,
    /// The program that a real director is.
    pub program: PathBuf,
    /// What goes wrong.
    pub fault: FaultPlan,
    /// How long it waits.
    pub patience: Patience,
}

/// Why a run has no report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// It would take too much.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The machine does not tell its limits.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// Something of the fleet has failed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// This process cannot be measured.
    #[error(transparent)]
    Measure(#[from] MeasureError),
    /// Directors never had the list.
    #[error(
        "{behind} directors (the first is number {first}) do not have version {version} of the list; \
         the last calls of {refused} of them were refused by discovery"
    )]
    Behind {
        /// How many.
        behind: usize,
        /// The first one's number.
        first: usize,
        /// The version.
        version: u64,
        /// Of these, ones that discovery has refused.
        refused: usize,
    },
    /// Proxies never had tables.
    #[error("{bound} of {proxies} proxies at real directors hold tables after {} s", after.as_secs())]
    Unbound {
        /// The time for that.
        after: Duration,
        /// Proxies with tables.
        bound: usize,
        /// All of them.
        proxies: usize,
    },
    /// It took longer than it may.
    #[error("the run was not over within {} s", .0.as_secs())]
    Overrun(Duration),
    /// It was interrupted.
    #[error("interrupted")]
    Interrupted,
}

impl Run {
    /// Plays the run; ends all that was started, in every case.
    pub async fn play(&self, interrupted: impl Future<Output = ()>) -> Result<Report, RunError> {
        let needs = self.plan.check(&Machine::read()?)?;
        let mut fleet = Fleet::set_up(&self.plan, self.patience.ready).await?;
        let Patience { ready, start, settle } = self.patience;
        let within = ready + start + self.plan.duration + settle + SPARE;
        let played = tokio::select! {
            played = timeout(within, self.play_with(&mut fleet, needs)) => {
                played.unwrap_or(Err(RunError::Overrun(within)))
            }
            () = interrupted => Err(RunError::Interrupted),
        };
        let ended = fleet.end().await;
        let report = played?;
        ended?;
        Ok(report)
    }

    async fn play_with(&self, fleet: &mut Fleet, needs: Needs) -> Result<Report, RunError> {
        fleet.start(&self.program).await?;
        tracing::info!("all directors answer");
        self.until_up(fleet).await?;
        tracing::info!("all directors have the list, and the real ones' proxies tables");
        let baseline = self.baseline(fleet)?;
        let mut script = Script::new(self.plan.sizes.hosts, self.plan.seed, self.plan.duration, self.fault);
        script.play_steady(fleet).await?;
        let compared = self.compared(fleet, &baseline);
        script.play_to_end(fleet).await?;
        let report = self.report(fleet, &baseline, needs, (script.changes(), compared))?;
        self.until_settled(fleet).await?;
        Ok(self.with_delays(report, fleet))
    }

    /// Waits until all directors have the list, and the real ones' proxies tables.
    async fn until_up(&self, fleet: &mut Fleet) -> Result<(), RunError> {
        let begun = Instant::now();
        loop {
            fleet.check()?;
            let (behind, bound) = (fleet.behind(), fleet.bound_proxies());
            if behind.is_empty() && bound == fleet.proxies() && fleet.channels_are_free() {
                return Ok(());
            }
            if begun.elapsed() > self.patience.start {
                still_behind(fleet, &behind)?;
                let (after, proxies) = (self.patience.start, fleet.proxies());
                return Err(RunError::Unbound { after, bound, proxies });
            }
            sleep(LOOK_AGAIN).await;
        }
    }

    /// Waits until all directors have the list as it is at the end.
    async fn until_settled(&self, fleet: &mut Fleet) -> Result<(), RunError> {
        let begun = Instant::now();
        loop {
            fleet.check()?;
            let behind = fleet.behind();
            if behind.is_empty() {
                return Ok(());
            }
            if begun.elapsed() > self.patience.settle {
                return still_behind(fleet, &behind);
            }
            sleep(LOOK_AGAIN).await;
        }
    }
}

/// Fails if directors are behind.
fn still_behind(fleet: &Fleet, behind: &[usize]) -> Result<(), RunError> {
    let Some(first) = behind.first() else { return Ok(()) };
    let refused = behind.iter().filter(|director| fleet.discovery.was_refused(**director)).count();
    let version = fleet.discovery.version();
    Err(RunError::Behind { behind: behind.len(), first: *first, version, refused })
}
