//! What a run measured, as a table and as JSON.

use crate::compare::Comparison;
use crate::counters::TrafficCount;
use crate::delays::DelaySummary;
use crate::plan::{FleetSize, ResourceEstimate};
use serde::Serialize;
use std::fmt;

/// What one real director took and exchanged while the fleet was watched.
#[derive(Clone, Debug, Serialize)]
pub struct DirectorMetrics {
    /// Its name.
    pub name: String,
    /// Processor time, in seconds a second.
    pub processor_share: f64,
    /// Processor time from its start to its end, in seconds.
    pub processor_s: f64,
    /// The most memory, in MiB.
    pub peak_memory_mib: f64,
    /// The most descriptors.
    pub peak_descriptors: usize,
    /// Time from its start until it answered, in milliseconds.
    pub ready_ms: f64,
    /// What passed between it and discovery.
    pub discovery: TrafficCount,
    /// Its calls at discovery that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Its calls at discovery that it gave up on.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    /// What passed between it and the collectors; messages are those to the director.
    pub collectors: TrafficCount,
    /// What passed between it and its proxies.
    pub proxies: TrafficCount,
}

/// Health checks that arrived at hosts, of all directors together.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HealthCheckMetrics {
    /// Health checks a second at one host, on average.
    pub mean_per_host: f64,
    /// Health checks a second at the host that got most.
    pub most_per_host: f64,
    /// Of all real directors together: health checks, and bytes.
    pub real: TrafficCount,
    /// Of all simulated directors together.
    #[serde(rename = "hollow")]
    pub simulated: TrafficCount,
}

/// Calls at discovery, of all directors together.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DiscoveryMetrics {
    /// Calls, and bytes.
    pub traffic: TrafficCount,
    /// Calls rejected: they waited too long, or discovery was down.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Calls that their director gave up on before the answer.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
}

/// Times until a change has reached everybody that it concerns.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DelayMetrics {
    /// From a simulated director's start to its first list.
    pub start: DelaySummary,
    /// From a change of the list to each simulated director.
    #[serde(rename = "list_to_hollow")]
    pub list_to_simulated: DelaySummary,
    /// From a change of the list until its answer was written to each real director.
    pub list_to_real: DelaySummary,
    /// From a host's leaving until a real director's proxy no longer uses it.
    pub list_to_proxies: DelaySummary,
    /// From a change of the configuration (discovery moves) to the complete list at each simulated director.
    #[serde(rename = "configuration_to_hollow")]
    pub configuration_to_simulated: DelaySummary,
    /// The same at each real director: until its first complete list was written.
    pub configuration_to_real: DelaySummary,
    /// Uses of hosts that left long ago, by proxies of real directors, at the end.
    #[serde(rename = "undelivered")]
    pub stale_uses: usize,
}

/// Everything a run measured.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The step of the ladder.
    pub step: String,
    /// Its sizes.
    #[serde(rename = "sizes")]
    pub fleet_size: FleetSize,
    /// What the plan said it would take of the machine.
    #[serde(rename = "needs")]
    pub estimate: ResourceEstimate,
    /// The seed.
    pub seed: u64,
    /// The fault that was injected.
    pub fault: &'static str,
    /// How long the fleet was watched, in seconds.
    pub watched_s: f64,
    /// Changes of the list in that time.
    pub list_changes: u64,
    /// Real directors.
    pub real: Vec<DirectorMetrics>,
    /// Discovery.
    pub discovery: DiscoveryMetrics,
    /// Hosts.
    #[serde(rename = "probes")]
    pub health_checks: HealthCheckMetrics,
    /// Times.
    pub delays: DelayMetrics,
    /// Simulated directors against real ones.
    #[serde(rename = "compared")]
    pub comparisons: Vec<Comparison>,
    /// What this process itself took.
    #[serde(rename = "hollow_process")]
    pub simulation_process: ProcessMetrics,
}

/// Resources used by the process of the simulated parts.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ProcessMetrics {
    /// Processor time while the fleet was watched, in seconds a second.
    pub processor_share: f64,
    /// The most memory, in MiB.
    pub peak_memory_mib: f64,
    /// The most descriptors, sampled once a second.
    pub peak_descriptors: usize,
}

impl Report {
    /// Comparisons that do not hold.
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
            "step {}: {directors} directors, {hosts} hosts, {zones} zones, {proxies_per_director} proxies at a real director; \
             fault {}, seed {}, {:.0} s, {} changes of the list",
            self.step, self.fault, self.seed, self.watched_s, self.list_changes
        )?;
        self.write_real(f)?;
        self.write_delays(f)?;
        self.write_shared(f)?;
        self.write_comparisons(f)
    }
}

impl Report {
    fn write_real(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<10}{:>10}{:>10}{:>8}{:>10}{:>22}{:>22}{:>22}",
            "director",
            "processor",
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
                "{:<10}{:>9.1}%{:>6.1} MiB{:>8}{:>7.0} ms{:>11.1}/{:.1} KiB/s{:>16.1} KiB/s{:>11.1}/{:.1} KiB/s",
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
        writeln!(
            f,
            "\n{:<44}{:>8}{:>12}{:>12}{:>12}",
            "time until", "count", "median", "99 in 100", "worst"
        )?;
        let rows = [
            ("first list at a hollow director", delays.start),
            ("change of the list at a hollow director", delays.list_to_simulated),
            ("change of the list written to a real one", delays.list_to_real),
            ("leaving host out of a proxy's tables", delays.list_to_proxies),
            ("new discovery's list at a hollow director", delays.configuration_to_simulated),
            ("new discovery's list written to a real one", delays.configuration_to_real),
        ];
        for (what, summary) in rows {
            writeln!(
                f,
                "{what:<44}{:>8}{:>9.1} ms{:>9.1} ms{:>9.1} ms",
                summary.count, summary.median_ms, summary.p99_ms, summary.worst_ms
            )?;
        }
        writeln!(f, "uses of hosts that left long ago, at the end: {}", delays.stale_uses)
    }

    fn write_shared(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (discovery, health_checks, simulated) =
            (&self.discovery, &self.health_checks, &self.simulation_process);
        writeln!(
            f,
            "\ndiscovery: {:.0} calls a second, {:.1} KiB/s out, {} refused, {} given up on",
            discovery.traffic.messages as f64 / self.watched_s,
            discovery.traffic.bytes_out as f64 / KIB / self.watched_s,
            discovery.rejected,
            discovery.abandoned
        )?;
        writeln!(
            f,
            "probes: {:.2} a second at a host ({:.2} at the most), {:.1} a second of a real director",
            health_checks.mean_per_host,
            health_checks.most_per_host,
            health_checks.real.messages as f64 / self.watched_s / self.fleet_size.real_directors as f64
        )?;
        writeln!(
            f,
            "hollow parts: {:.0}% of a core, {:.0} MiB, {} descriptors (planned: {})",
            100.0 * simulated.processor_share,
            simulated.peak_memory_mib,
            simulated.peak_descriptors,
            self.estimate.descriptors
        )
    }

    fn write_comparisons(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{:<28}{:>12}{:>12}{:>12}", "of one director", "real", "hollow", "tolerance")?;
        for comparison in &self.comparisons {
            let verdict = if comparison.is_within_tolerance() { "holds" } else { "DIFFERS" };
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
