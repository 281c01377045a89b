//! The baseline of a run, which is all counts at the start of the measured period, and the report, which
//! shows how much the counts have grown since.

use crate::compare::{compare, Comparison, DirectorGroup};
use crate::counters::TrafficCount;
use crate::faults::{self, Fault};
use crate::fleet::{Fleet, FleetError};
use crate::plan::ResourceEstimate;
use crate::process_usage::{self, Usage};
use crate::report::{
    DelayMetrics, DirectorMetrics, DiscoveryMetrics, HealthCheckMetrics, ProcessMetrics, Report,
};
use crate::run::{Run, RunError};
use std::time::Duration;
use tokio::time::Instant;

/// Proxies have to stop using a host within this time after the host is marked as leaving.
const STALE_USE_AGE: Duration = Duration::from_secs(6);
const MIB: f64 = 1024.0;

/// All counts at the start of the measured period.
pub(crate) struct Baseline {
    at: Instant,
    real: Vec<RealBaseline>,
    all_discovery: TrafficCount,
    rejected: u64,
    abandoned: u64,
    health_checks: Vec<u64>,
    real_health_checks: TrafficCount,
    simulated_health_checks: TrafficCount,
    real_discovery: TrafficCount,
    simulated_discovery: TrafficCount,
    process: Usage,
}

/// Counts of one real director at the start of the measured period.
struct RealBaseline {
    usage: Usage,
    discovery: TrafficCount,
    rejected: u64,
    abandoned: u64,
    collectors: TrafficCount,
    proxies: TrafficCount,
}

impl Run {
    /// Reads all counts at the start of the measured period.
    pub(crate) fn baseline(&self, fleet: &mut Fleet) -> Result<Baseline, RunError> {
        fleet.measure()?;
        let directors = 0..self.plan.fleet_size.directors;
        let (real, simulated) = self.comparable_directors();
        let mut real_baselines = Vec::new();
        for (director, measured) in fleet.real.iter_mut().enumerate() {
            real_baselines.push(RealBaseline {
                usage: measured.process.measure().map_err(FleetError::from)?,
                discovery: fleet.discovery.traffic(director).count(),
                rejected: fleet.discovery.rejected(director),
                abandoned: fleet.discovery.abandoned(director),
                collectors: measured.clients.collectors.count(),
                proxies: measured.clients.proxies.count(),
            });
        }
        Ok(Baseline {
            at: Instant::now(),
            real: real_baselines,
            all_discovery: fleet.discovery_traffic(directors.clone()),
            rejected: directors.clone().map(|director| fleet.discovery.rejected(director)).sum(),
            abandoned: directors.map(|director| fleet.discovery.abandoned(director)).sum(),
            health_checks: fleet
                .hosts
                .health_checks
                .iter()
                .map(|health_checks| health_checks.get())
                .collect(),
            real_health_checks: fleet.hosts.real.count(),
            simulated_health_checks: fleet.hosts.simulated.count(),
            real_discovery: fleet.discovery_traffic(real.into_iter()),
            simulated_discovery: fleet.discovery_traffic(simulated.into_iter()),
            process: process_usage::measure(std::process::id())?,
        })
    }

    /// Returns the real and the simulated directors whose requests to discovery are compared: the directors
    /// that the fault does not affect, or all directors if the fault affects every real one.
    fn comparable_directors(&self) -> (Vec<usize>, Vec<usize>) {
        let is_unaffected = |director: &usize| match self.fault.fault {
            Fault::RestartQuarter => !faults::is_restarted(*director),
            Fault::RegionCut => !faults::is_in_region(*director),
            _ => true,
        };
        let fleet_size = &self.plan.fleet_size;
        let (real, simulated) =
            (0..fleet_size.real_directors, fleet_size.real_directors..fleet_size.directors);
        let unaffected: Vec<usize> = real.clone().filter(is_unaffected).collect();
        match unaffected.is_empty() {
            true => (real.collect(), simulated.collect()),
            false => (unaffected, simulated.filter(is_unaffected).collect()),
        }
    }

    /// Makes the report from the growth of the counts since the baseline.
    pub(crate) fn report(
        &self,
        fleet: &mut Fleet,
        baseline: &Baseline,
        estimate: ResourceEstimate,
        list_changes: u64,
        comparisons: Vec<Comparison>,
    ) -> Result<Report, RunError> {
        let watched_s = baseline.at.elapsed().as_secs_f64();
        fleet.measure()?;
        let real = self.director_metrics(fleet, baseline, watched_s)?;
        let process = process_usage::measure(std::process::id())?;
        let directors = 0..self.plan.fleet_size.directors;
        Ok(Report {
            step: self.plan.step.to_string(),
            fleet_size: self.plan.fleet_size,
            estimate,
            seed: self.plan.seed,
            fault: self.fault.fault.name(),
            watched_s,
            list_changes,
            real,
            discovery: DiscoveryMetrics {
                traffic: fleet.discovery_traffic(directors.clone()).since(&baseline.all_discovery),
                rejected: directors.clone().map(|director| fleet.discovery.rejected(director)).sum::<u64>()
                    - baseline.rejected,
                abandoned: directors.map(|director| fleet.discovery.abandoned(director)).sum::<u64>()
                    - baseline.abandoned,
            },
            health_checks: health_check_metrics(fleet, baseline, watched_s),
            delays: delay_metrics(fleet),
            comparisons,
            simulation_process: ProcessMetrics {
                processor_share: (process.processor_s - baseline.process.processor_s) / watched_s,
                peak_memory_mib: process.peak_memory_kib as f64 / MIB,
                peak_descriptors: fleet.own_peak_descriptors(),
            },
        })
    }

    /// Returns a report with its delays replaced by the delays recorded up to now.
    pub(crate) fn with_delays(&self, report: Report, fleet: &Fleet) -> Report {
        Report { delays: delay_metrics(fleet), ..report }
    }

    /// Returns the metrics of each real director since the baseline.
    fn director_metrics(
        &self,
        fleet: &mut Fleet,
        baseline: &Baseline,
        watched_s: f64,
    ) -> Result<Vec<DirectorMetrics>, RunError> {
        let mut metrics = Vec::new();
        for (director, (measured, before)) in fleet.real.iter_mut().zip(&baseline.real).enumerate() {
            let usage = measured.process.measure().map_err(FleetError::from)?;
            metrics.push(DirectorMetrics {
                name: format!("n{director}"),
                processor_share: (usage.processor_s - before.usage.processor_s) / watched_s,
                processor_s: usage.processor_s,
                peak_memory_mib: usage.peak_memory_kib as f64 / MIB,
                peak_descriptors: usage.descriptors,
                ready_ms: measured.ready_after.as_secs_f64() * 1e3,
                discovery: fleet.discovery.traffic(director).count().since(&before.discovery),
                rejected: fleet.discovery.rejected(director) - before.rejected,
                abandoned: fleet.discovery.abandoned(director) - before.abandoned,
                collectors: measured.clients.collectors.count().since(&before.collectors),
                proxies: measured.clients.proxies.count().since(&before.proxies),
            });
        }
        Ok(metrics)
    }

    /// Compares simulated directors with real ones over the time since the baseline.
    pub(crate) fn comparisons(&self, fleet: &Fleet, baseline: &Baseline) -> Vec<Comparison> {
        let (real, simulated) = self.comparable_directors();
        let fleet_size = &self.plan.fleet_size;
        let group = |directors: Vec<usize>,
                     discovery: &TrafficCount,
                     checking_directors,
                     health_checks: u64| DirectorGroup {
            directors: directors.len(),
            discovery: fleet.discovery_traffic(directors.into_iter()).since(discovery),
            checking_directors,
            health_checks,
        };
        let real_health_checks = fleet.hosts.real.count().since(&baseline.real_health_checks).messages;
        let simulated_health_checks =
            fleet.hosts.simulated.count().since(&baseline.simulated_health_checks).messages;
        compare(
            &group(real, &baseline.real_discovery, fleet_size.real_directors, real_health_checks),
            &group(
                simulated,
                &baseline.simulated_discovery,
                fleet_size.simulated_directors(),
                simulated_health_checks,
            ),
        )
    }
}

/// Returns the metrics of health checks since the baseline.
fn health_check_metrics(fleet: &Fleet, baseline: &Baseline, watched_s: f64) -> HealthCheckMetrics {
    let health_checks = fleet.hosts.health_checks.iter().zip(&baseline.health_checks);
    let rates: Vec<f64> =
        health_checks.map(|(now, before)| (now.get() - before) as f64 / watched_s).collect();
    HealthCheckMetrics {
        mean_per_host: rates.iter().sum::<f64>() / rates.len().max(1) as f64,
        most_per_host: rates.iter().copied().fold(0.0, f64::max),
        real: fleet.hosts.real.count().since(&baseline.real_health_checks),
        simulated: fleet.hosts.simulated.count().since(&baseline.simulated_health_checks),
    }
}

/// Returns the delays recorded since the start of the run.
fn delay_metrics(fleet: &Fleet) -> DelayMetrics {
    DelayMetrics {
        start: fleet.shared.start_delays.summary(),
        list_to_simulated: fleet.shared.list_delays.summary(),
        list_to_real: fleet.discovery.real_change_delays().summary(),
        list_to_proxies: fleet.departures.delays.summary(),
        configuration_to_simulated: fleet.shared.move_delays.summary(),
        configuration_to_real: fleet.discovery.real_move_delays().summary(),
        stale_uses: fleet.uses_of(&fleet.departures.leaving_longer_than(STALE_USE_AGE)),
    }
}
