//! One run: the plan is checked, the fleet set up, the script played, and all that was started is ended.

use crate::compare::{compare, Compared, Kind};
use crate::counters::TrafficCount;
use crate::faults::{self, Fault};
use crate::fleet::{Fleet, FleetError};
use crate::limits::{LimitsError, Machine, Refusal};
use crate::measure::{self, MeasureError, Usage};
use crate::plan::{Needs, Plan};
use crate::report::{DelayFigures, DiscoveryFigures, ProbeFigures, ProcessFigures, RealFigures, Report};
use crate::script::{FaultPlan, Script};
use std::future::Future;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// Beyond start, script and settling a run takes no longer than this.
const SPARE: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// A host that has been leaving for longer should be in no table.
const LONG_AGO: Duration = Duration::from_secs(6);
const MIB: f64 = 1024.0;

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

/// Figures at the beginning of the watched time.
struct Baseline {
    at: Instant,
    real: Vec<RealBaseline>,
    all_discovery: TrafficCount,
    refused: u64,
    given_up: u64,
    probes: Vec<u64>,
    real_probes: TrafficCount,
    hollow_probes: TrafficCount,
    real_discovery: TrafficCount,
    hollow_discovery: TrafficCount,
    process: Usage,
}

struct RealBaseline {
    usage: Usage,
    discovery: TrafficCount,
    refused: u64,
    given_up: u64,
    collectors: TrafficCount,
    proxies: TrafficCount,
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
        script.play_until_move(fleet).await?;
        // When all ask for whole lists at once, chance has the greatest part in who gets one.
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

    fn baseline(&self, fleet: &mut Fleet) -> Result<Baseline, RunError> {
        fleet.measure()?;
        let directors = 0..self.plan.sizes.directors;
        let (real, hollow) = self.compared_directors();
        let mut each = Vec::new();
        for (director, part) in fleet.real.iter_mut().enumerate() {
            each.push(RealBaseline {
                usage: part.process.measure().map_err(FleetError::from)?,
                discovery: fleet.discovery.traffic(director).count(),
                refused: fleet.discovery.refused(director),
                given_up: fleet.discovery.given_up(director),
                collectors: part.clients.collectors.count(),
                proxies: part.clients.proxies.count(),
            });
        }
        Ok(Baseline {
            at: Instant::now(),
            real: each,
            all_discovery: fleet.discovery_traffic(directors.clone()),
            refused: directors.clone().map(|director| fleet.discovery.refused(director)).sum(),
            given_up: directors.map(|director| fleet.discovery.given_up(director)).sum(),
            probes: fleet.hosts.probes.iter().map(|probes| probes.get()).collect(),
            real_probes: fleet.hosts.real.count(),
            hollow_probes: fleet.hosts.hollow.count(),
            real_discovery: fleet.discovery_traffic(real.into_iter()),
            hollow_discovery: fleet.discovery_traffic(hollow.into_iter()),
            process: measure::usage(std::process::id())?,
        })
    }

    /// The real and the hollow directors that are compared: those that the fault does not concern, if any real one is
    /// among them.
    fn compared_directors(&self) -> (Vec<usize>, Vec<usize>) {
        let is_spared = |director: &usize| match self.fault.fault {
            Fault::RestartQuarter => !faults::is_restarted(*director),
            Fault::RegionCut => !faults::is_in_region(*director),
            _ => true,
        };
        let sizes = &self.plan.sizes;
        let (real, hollow) = (0..sizes.real_directors, sizes.real_directors..sizes.directors);
        let spared: Vec<usize> = real.clone().filter(is_spared).collect();
        match spared.is_empty() {
            true => (real.collect(), hollow.collect()),
            false => (spared, hollow.filter(is_spared).collect()),
        }
    }

    fn report(
        &self,
        fleet: &mut Fleet,
        baseline: &Baseline,
        needs: Needs,
        (list_changes, compared): (u64, Vec<Compared>),
    ) -> Result<Report, RunError> {
        let watched_s = baseline.at.elapsed().as_secs_f64();
        fleet.measure()?;
        let real = self.real_figures(fleet, baseline, watched_s)?;
        let process = measure::usage(std::process::id())?;
        let directors = 0..self.plan.sizes.directors;
        Ok(Report {
            step: self.plan.step.to_string(),
            sizes: self.plan.sizes,
            needs,
            seed: self.plan.seed,
            fault: self.fault.fault.name(),
            watched_s,
            list_changes,
            real,
            discovery: DiscoveryFigures {
                traffic: fleet.discovery_traffic(directors.clone()).since(&baseline.all_discovery),
                refused: directors.clone().map(|director| fleet.discovery.refused(director)).sum::<u64>()
                    - baseline.refused,
                given_up: directors.map(|director| fleet.discovery.given_up(director)).sum::<u64>()
                    - baseline.given_up,
            },
            probes: probe_figures(fleet, baseline, watched_s),
            delays: delay_figures(fleet),
            compared,
            hollow_process: ProcessFigures {
                processor_share: (process.processor_s - baseline.process.processor_s) / watched_s,
                peak_memory_mib: process.peak_memory_kib as f64 / MIB,
                peak_descriptors: fleet.own_peak_descriptors(),
            },
        })
    }

    /// The report with the times as they are once all have settled.
    fn with_delays(&self, report: Report, fleet: &Fleet) -> Report {
        Report { delays: delay_figures(fleet), ..report }
    }

    fn real_figures(
        &self,
        fleet: &mut Fleet,
        baseline: &Baseline,
        watched_s: f64,
    ) -> Result<Vec<RealFigures>, RunError> {
        let mut figures = Vec::new();
        for (director, (part, before)) in fleet.real.iter_mut().zip(&baseline.real).enumerate() {
            let usage = part.process.measure().map_err(FleetError::from)?;
            figures.push(RealFigures {
                name: format!("n{director}"),
                processor_share: (usage.processor_s - before.usage.processor_s) / watched_s,
                processor_s: usage.processor_s,
                peak_memory_mib: usage.peak_memory_kib as f64 / MIB,
                peak_descriptors: usage.descriptors,
                ready_ms: part.ready.as_secs_f64() * 1e3,
                discovery: fleet.discovery.traffic(director).count().since(&before.discovery),
                refused: fleet.discovery.refused(director) - before.refused,
                given_up: fleet.discovery.given_up(director) - before.given_up,
                collectors: part.clients.collectors.count().since(&before.collectors),
                proxies: part.clients.proxies.count().since(&before.proxies),
            });
        }
        Ok(figures)
    }

    fn compared(&self, fleet: &Fleet, baseline: &Baseline) -> Vec<Compared> {
        let (real, hollow) = self.compared_directors();
        let sizes = &self.plan.sizes;
        let kind = |directors: Vec<usize>, discovery: &TrafficCount, probers, probes: u64| Kind {
            directors: directors.len(),
            discovery: fleet.discovery_traffic(directors.into_iter()).since(discovery),
            probers,
            probes,
        };
        let real_probes = fleet.hosts.real.count().since(&baseline.real_probes).messages;
        let hollow_probes = fleet.hosts.hollow.count().since(&baseline.hollow_probes).messages;
        compare(
            &kind(real, &baseline.real_discovery, sizes.real_directors, real_probes),
            &kind(hollow, &baseline.hollow_discovery, sizes.hollow_directors(), hollow_probes),
        )
    }
}

/// Fails if directors are behind.
fn still_behind(fleet: &Fleet, behind: &[usize]) -> Result<(), RunError> {
    let Some(first) = behind.first() else { return Ok(()) };
    let refused = behind.iter().filter(|director| fleet.discovery.was_refused(**director)).count();
    let version = fleet.discovery.version();
    Err(RunError::Behind { behind: behind.len(), first: *first, version, refused })
}

fn probe_figures(fleet: &Fleet, baseline: &Baseline, watched_s: f64) -> ProbeFigures {
    let probes = fleet.hosts.probes.iter().zip(&baseline.probes);
    let each: Vec<f64> = probes.map(|(now, before)| (now.get() - before) as f64 / watched_s).collect();
    ProbeFigures {
        mean_per_host: each.iter().sum::<f64>() / each.len().max(1) as f64,
        most_per_host: each.iter().copied().fold(0.0, f64::max),
        real: fleet.hosts.real.count().since(&baseline.real_probes),
        hollow: fleet.hosts.hollow.count().since(&baseline.hollow_probes),
    }
}

fn delay_figures(fleet: &Fleet) -> DelayFigures {
    DelayFigures {
        start: fleet.shared.start_delays.spread(),
        list_to_hollow: fleet.shared.list_delays.spread(),
        list_to_real: fleet.discovery.told_real().spread(),
        list_to_proxies: fleet.departures.delays.spread(),
        configuration_to_hollow: fleet.shared.move_delays.spread(),
        configuration_to_real: fleet.discovery.moved_real().spread(),
        undelivered: fleet.uses_of(&fleet.departures.longer_than(LONG_AGO)),
    }
}
