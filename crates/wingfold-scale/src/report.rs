//! The report of a run, printed as tables or written as JSON.

use crate::compare::Comparison;
use crate::counters::TrafficCount;
use crate::delays::DelaySummary;
use crate::plan::{FleetSize, ResourceEstimate};
use serde::Serialize;
use std::fmt;

/// Resource usage and traffic of one real director. Traffic covers the measured period only.
#[derive(Clone, Debug, Serialize)]
pub struct DirectorMetrics {
    /// The director's name.
    pub name: String,
    /// CPU time in the measured period, in seconds per second.
    pub processor_share: f64,
    /// CPU time since the director's first start, in seconds.
    pub processor_s: f64,
    /// Peak resident memory, in MiB.
    pub peak_memory_mib: f64,
    /// The most descriptors held at a measurement.
    pub peak_descriptors: usize,
    /// Time for which the run waited until the director answered a ping, in milliseconds. The wait begins
    /// when all directors have been started and the real directors with lower numbers have answered.
    pub ready_ms: f64,
    /// Requests to discovery, and bytes exchanged with discovery.
    pub discovery: TrafficCount,
    /// Requests of the director that discovery rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests to discovery whose connection the director closed before the response.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    /// Load reports that the director's collectors sent, and bytes.
    pub collectors: TrafficCount,
    /// Messages from the director to its proxies, and bytes in both directions.
    pub proxies: TrafficCount,
}

/// Health checks that the hosts received from all directors.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HealthCheckMetrics {
    /// Health checks per second at a host, averaged over all hosts.
    pub mean_per_host: f64,
    /// Health checks per second at the host that received the most.
    pub most_per_host: f64,
    /// Health checks of all real directors, and bytes.
    pub real: TrafficCount,
    /// Health checks of all simulated directors, and bytes.
    #[serde(rename = "hollow")]
    pub simulated: TrafficCount,
}

/// Requests of all directors to discovery.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DiscoveryMetrics {
    /// Requests, and bytes.
    pub traffic: TrafficCount,
    /// Requests that discovery rejected, because they waited too long in its queue or because it was down.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests whose connection the director closed before the response.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
}

/// Delays from a change until each of its recipients has it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DelayMetrics {
    /// From the start of a simulated director to its first list.
    pub start: DelaySummary,
    /// From a change of the list until a simulated director has received it.
    #[serde(rename = "list_to_hollow")]
    pub list_to_simulated: DelaySummary,
    /// From a change of the list until discovery has written it to a real director.
    pub list_to_real: DelaySummary,
    /// From the change that marks a host as leaving until a proxy of a real director no longer uses the host.
    pub list_to_proxies: DelaySummary,
    /// From a new address of discovery until a simulated director has received the complete list from there.
    #[serde(rename = "configuration_to_hollow")]
    pub configuration_to_simulated: DelaySummary,
    /// From a new address of discovery until discovery has written its first response there to a real
    /// director.
    pub configuration_to_real: DelaySummary,
    /// At the end of the run, for each proxy of a real director, the hosts that the proxy still uses although
    /// they have been leaving for longer than proxies need to drop them.
    #[serde(rename = "undelivered")]
    pub stale_uses: usize,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The step of the ladder.
    pub step: String,
    /// The size of the fleet on this step.
    #[serde(rename = "sizes")]
    pub fleet_size: FleetSize,
    /// The resources that the plan estimated.
    #[serde(rename = "needs")]
    pub estimate: ResourceEstimate,
    /// The seed of the random choices.
    pub seed: u64,
    /// The fault that was injected.
    pub fault: &'static str,
    /// Length of the measured period, in seconds.
    pub watched_s: f64,
    /// Changes of the list in the measured period.
    pub list_changes: u64,
    /// Metrics of each real director.
    pub real: Vec<DirectorMetrics>,
    /// Requests to discovery.
    pub discovery: DiscoveryMetrics,
    /// Health checks at the hosts.
    #[serde(rename = "probes")]
    pub health_checks: HealthCheckMetrics,
    /// Delays of changes.
    pub delays: DelayMetrics,
    /// Comparisons of simulated directors with real ones.
    #[serde(rename = "compared")]
    pub comparisons: Vec<Comparison>,
    /// Resource usage of this process, which holds discovery and all simulated components.
    #[serde(rename = "hollow_process")]
    pub simulation_process: ProcessMetrics,
}

/// Resource usage of the process that holds discovery and all simulated components.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ProcessMetrics {
    /// CPU time in the measured period, in seconds per second.
    pub processor_share: f64,
    /// Peak resident memory, in MiB.
    pub peak_memory_mib: f64,
    /// The most descriptors held, sampled once a second.
    pub peak_descriptors: usize,
}

impl Report {
    /// Returns the comparisons whose difference exceeds the tolerance.
    pub fn differences(&self) -> Vec<&Comparison> {
        self.comparisons.iter().filter(|comparison| !comparison.is_within_tolerance()).collect()
    }
}

const KIB: f64 = 1024.0;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FleetSize { directors, hosts, zones, proxies_per_director, .. } = self.fleet_size;
        writeln!(
            f,
            "step {}: {directors} directors, {hosts} hosts, {zones} zones, \
             {proxies_per_director} proxies per real director; \
             fault {}, seed {}, {:.0} s, {} changes of the list",
            self.step, self.fault, self.seed, self.watched_s, self.list_changes
        )?;
        self.write_real_directors(f)?;
        self.write_delays(f)?;
        self.write_totals(f)?;
        self.write_comparisons(f)
    }
}

impl Report {
    fn write_real_directors(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<10}{:>10}{:>10}{:>8}{:>10}{:>22}{:>22}{:>22}",
            "director",
            "CPU",
            "memory",
            "fds",
            "ready",
            "discovery in/out",
            "collectors in",
            "proxies in/out"
        )?;
        for real in &self.real {
            let rate = |bytes: u64| bytes as f64 / KIB / self.watched_s.max(f64::MIN_POSITIVE);
            writeln!(
                f,
                "{:<10}{:>9.1}%{:>6.1} MiB{:>8}{:>7.0} ms\
                 {:>11.1}/{:.1} KiB/s{:>16.1} KiB/s{:>11.1}/{:.1} KiB/s",
                real.name,
                100.0 * real.processor_share,
                real.peak_memory_mib,
                real.peak_descriptors,
                real.ready_ms,
                rate(real.discovery.bytes_out),
                rate(real.discovery.bytes_in),
                rate(real.collectors.bytes_out),
                rate(real.proxies.bytes_out),
                rate(real.proxies.bytes_in),
            )?;
        }
        Ok(())
    }

    fn write_delays(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let delays = &self.delays;
        writeln!(f, "\n{:<44}{:>8}{:>12}{:>12}{:>12}", "delay until", "count", "median", "p99", "worst")?;
        let rows = [
            ("first list at a simulated director", delays.start),
            ("list change at a simulated director", delays.list_to_simulated),
            ("list change written to a real director", delays.list_to_real),
            ("leaving host unused by a proxy", delays.list_to_proxies),
            ("list from new address, simulated director", delays.configuration_to_simulated),
            ("list from new address, real director", delays.configuration_to_real),
        ];
        for (label, summary) in rows {
            writeln!(
                f,
                "{label:<44}{:>8}{:>9.1} ms{:>9.1} ms{:>9.1} ms",
                summary.count, summary.median_ms, summary.p99_ms, summary.worst_ms
            )?;
        }
        writeln!(f, "leaving hosts still in use by proxies at the end: {}", delays.stale_uses)
    }

    fn write_totals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (discovery, health_checks, simulated) =
            (&self.discovery, &self.health_checks, &self.simulation_process);
        writeln!(
            f,
            "\ndiscovery: {:.0} requests/s, {:.1} KiB/s sent, {} requests rejected, {} abandoned",
            discovery.traffic.messages as f64 / self.watched_s,
            discovery.traffic.bytes_out as f64 / KIB / self.watched_s,
            discovery.rejected,
            discovery.abandoned
        )?;
        writeln!(
            f,
            "health checks: {:.2}/s per host on average, {:.2}/s at most, {:.1}/s per real director",
            health_checks.mean_per_host,
            health_checks.most_per_host,
            health_checks.real.messages as f64 / self.watched_s / self.fleet_size.real_directors as f64
        )?;
        writeln!(
            f,
            "simulation process: {:.0}% of a core, {:.0} MiB, {} descriptors (planned: {})",
            100.0 * simulated.processor_share,
            simulated.peak_memory_mib,
            simulated.peak_descriptors,
            self.estimate.descriptors
        )
    }

    fn write_comparisons(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{:<28}{:>12}{:>12}{:>12}", "mean per director", "real", "simulated", "tolerance")?;
        for comparison in &self.comparisons {
            let verdict = if comparison.is_within_tolerance() { "within" } else { "EXCEEDED" };
            writeln!(
                f,
                "{:<28}{:>12.1}{:>12.1}{:>11.0}%  {verdict}",
                comparison.metric,
                comparison.real,
                comparison.simulated,
                100.0 * comparison.tolerance
            )?;
        }
        Ok(())
    }
}
