//! What a run measured, as a table and as JSON.

use crate::compare::Compared;
use crate::counters::TrafficCount;
use crate::delays::Spread;
use crate::plan::{Needs, Sizes};
use serde::Serialize;
use std::fmt;

/// What one real director took and exchanged while the fleet was watched.
#[derive(Clone, Debug, Serialize)]
pub struct RealFigures {
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
    /// Its calls at discovery that were refused.
    pub refused: u64,
    /// Its calls at discovery that it gave up on.
    pub given_up: u64,
    /// What passed between it and the collectors; messages are those to the director.
    pub collectors: TrafficCount,
    /// What passed between it and its proxies.
    pub proxies: TrafficCount,
}

/// What hosts met of probes, of all directors together, a second.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ProbeFigures {
    /// At one host, on the mean.
    pub mean_per_host: f64,
    /// At the host that met most.
    pub most_per_host: f64,
    /// Of all real directors together: probes, and bytes.
    pub real: TrafficCount,
    /// Of all hollow directors together.
    pub hollow: TrafficCount,
}

/// Calls at discovery, of all directors together.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DiscoveryFigures {
    /// Calls, and bytes.
    pub traffic: TrafficCount,
    /// Calls refused: they waited too long, or discovery was down.
    pub refused: u64,
    /// Calls that their director gave up on before the answer.
    pub given_up: u64,
}

/// Times until a change was with all that it concerns.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DelayFigures {
    /// From a hollow director's start to its first list.
    pub start: Spread,
    /// From a change of the list to each hollow director.
    pub list_to_hollow: Spread,
    /// From a change of the list until its answer was written to each real director.
    pub list_to_real: Spread,
    /// From a host's leaving until a real director's proxy no longer uses it.
    pub list_to_proxies: Spread,
    /// From a change of the configuration (discovery moves) to the whole list at each hollow director.
    pub configuration_to_hollow: Spread,
    /// The same at each real director: until its first whole list was written.
    pub configuration_to_real: Spread,
    /// Uses of hosts that left long ago, by proxies of real directors, at the end.
    pub undelivered: usize,
}

/// All that a run measured.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The step of the ladder.
    pub step: String,
    /// Its sizes.
    pub sizes: Sizes,
    /// What the plan said it would take.
    pub needs: Needs,
    /// The seed.
    pub seed: u64,
    /// What went wrong on purpose.
    pub fault: &'static str,
    /// How long the fleet was watched, in seconds.
    pub watched_s: f64,
    /// Changes of the list in that time.
    pub list_changes: u64,
    /// Real directors.
    pub real: Vec<RealFigures>,
    /// Discovery.
    pub discovery: DiscoveryFigures,
    /// Hosts.
    pub probes: ProbeFigures,
    /// Times.
    pub delays: DelayFigures,
    /// Hollow directors against real ones.
    pub compared: Vec<Compared>,
    /// What this process itself took: processor time in seconds, and peak memory in MiB.
    pub hollow_process: ProcessFigures,
}

/// What the process of the hollow parts took.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ProcessFigures {
    /// Processor time while the fleet was watched, in seconds a second.
    pub processor_share: f64,
    /// The most memory, in MiB.
    pub peak_memory_mib: f64,
    /// The most descriptors, looked at once a second.
    pub peak_descriptors: usize,
}

impl Report {
    /// Comparisons that do not hold.
    pub fn differences(&self) -> Vec<&Compared> {
        self.compared.iter().filter(|compared| !compared.holds()).collect()
    }
}

const KIB: f64 = 1024.0;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Sizes { directors, hosts, zones, proxies_per_director, .. } = self.sizes;
        writeln!(
            f,
            "step {}: {directors} directors, {hosts} hosts, {zones} zones, {proxies_per_director} proxies at a real director; \
             fault {}, seed {}, {:.0} s, {} changes of the list",
            self.step, self.fault, self.seed, self.watched_s, self.list_changes
        )?;
        self.write_real(f)?;
        self.write_delays(f)?;
        self.write_shared(f)?;
        self.write_compared(f)
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
            ("change of the list at a hollow director", delays.list_to_hollow),
            ("change of the list written to a real one", delays.list_to_real),
            ("leaving host out of a proxy's tables", delays.list_to_proxies),
            ("new discovery's list at a hollow director", delays.configuration_to_hollow),
            ("new discovery's list written to a real one", delays.configuration_to_real),
        ];
        for (what, spread) in rows {
            writeln!(
                f,
                "{what:<44}{:>8}{:>9.1} ms{:>9.1} ms{:>9.1} ms",
                spread.count, spread.median_ms, spread.p99_ms, spread.worst_ms
            )?;
        }
        writeln!(f, "uses of hosts that left long ago, at the end: {}", delays.undelivered)
    }

    fn write_shared(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (discovery, probes, hollow) = (&self.discovery, &self.probes, &self.hollow_process);
        writeln!(
            f,
            "\ndiscovery: {:.0} calls a second, {:.1} KiB/s out, {} refused, {} given up on",
            discovery.traffic.messages as f64 / self.watched_s,
            discovery.traffic.bytes_out as f64 / KIB / self.watched_s,
            discovery.refused,
            discovery.given_up
        )?;
        writeln!(
            f,
            "probes: {:.2} a second at a host ({:.2} at the most), {:.1} a second of a real director",
            probes.mean_per_host,
            probes.most_per_host,
            probes.real.messages as f64 / self.watched_s / self.sizes.real_directors as f64
        )?;
        writeln!(
            f,
            "hollow parts: {:.0}% of a core, {:.0} MiB, {} descriptors (planned: {})",
            100.0 * hollow.processor_share,
            hollow.peak_memory_mib,
            hollow.peak_descriptors,
            self.needs.descriptors
        )
    }

    fn write_compared(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{:<28}{:>12}{:>12}{:>12}", "of one director", "real", "hollow", "tolerance")?;
        for compared in &self.compared {
            let verdict = if compared.holds() { "holds" } else { "DIFFERS" };
            writeln!(
                f,
                "{:<28}{:>12.1}{:>12.1}{:>11.0}%  {verdict}",
                compared.figure,
                compared.real,
                compared.hollow,
                100.0 * compared.tolerance
            )?;
        }
        Ok(())
    }
}
