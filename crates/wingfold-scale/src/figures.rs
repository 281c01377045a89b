//! The figures of a run: counts when the fleet begins to be watched, and the report made from those at the end.

use crate::compare::{compare, Compared, Kind};
use crate::counters::TrafficCount;
use crate::faults::{self, Fault};
use crate::fleet::{Fleet, FleetError};
use crate::measure::{self, Usage};
use crate::plan::Needs;
use crate::report::{DelayFigures, DiscoveryFigures, ProbeFigures, ProcessFigures, RealFigures, Report};
use crate::run::{Run, RunError};
use std::time::Duration;
use tokio::time::Instant;

/// A host that has been leaving for longer should be in no table.
const LONG_AGO: Duration = Duration::from_secs(6);
const MIB: f64 = 1024.0;

/// Counts at the beginning of the watched time.
pub(crate) struct Baseline {
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
    pub(crate) fn baseline(&self, fleet: &mut Fleet) -> Result<Baseline, RunError> {
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

    pub(crate) fn report(
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
    pub(crate) fn with_delays(&self, report: Report, fleet: &Fleet) -> Report {
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

    pub(crate) fn compared(&self, fleet: &Fleet, baseline: &Baseline) -> Vec<Compared> {
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
