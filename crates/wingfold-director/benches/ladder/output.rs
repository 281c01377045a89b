//! The results, printed as tables and written as JSON.

use crate::fit::{power_law, Fit};
use crate::memory::RecordBytes;
use crate::scenario::{Lengths, Outcome};
use serde::Serialize;
use wingfold_director::inspect::RecordCounts;

/// A ladder: measurements at sizes that differ in one dimension, or in all dimensions together.
#[derive(Debug, Serialize)]
pub struct Ladder {
    /// The dimension that grows.
    pub dimension: &'static str,
    /// Each size as a number, and the cost of a director of that size.
    pub outcomes: Vec<(f64, Outcome)>,
    /// The power law of each figure.
    pub fits: Vec<NamedFit>,
}

/// The power law of one figure.
#[derive(Debug, Serialize)]
pub struct NamedFit {
    pub figure: &'static str,
    pub fit: Fit,
}

/// The results of all parts.
#[derive(Debug, Serialize)]
pub struct Report {
    pub lengths: Lengths,
    pub ladders: Vec<Ladder>,
    pub variants: Vec<Outcome>,
    pub records: Option<RecordBytes>,
}

/// Computes a figure of an outcome; `None` if the phase of the figure was left out.
type Figure = fn(&Outcome) -> Option<f64>;

/// The figures that power laws are fitted to, with their names in the results.
const FIGURES: [(&str, Figure); 22] = [
    ("start, share of a core", |outcome| Some(outcome.phase("start")?.core_ratio())),
    ("start, worst turn ms", |outcome| Some(outcome.phase("start")?.worst_call_ms)),
    ("reports, share of a core", |outcome| Some(outcome.phase("reports")?.core_ratio())),
    ("reports, worst turn ms", |outcome| Some(outcome.phase("reports")?.worst_call_ms)),
    ("rest, share of a core", |outcome| Some(outcome.phase("rest")?.core_ratio())),
    ("rest, worst turn ms", |outcome| Some(outcome.phase("rest")?.worst_call_ms)),
    ("one machine replaced, cpu ms", |outcome| Some(outcome.cpu_s_per_change("replaced")? * 1e3)),
    ("replaced, worst turn ms", |outcome| Some(outcome.phase("replaced")?.worst_call_ms)),
    ("one configuration change, cpu ms", |outcome| Some(outcome.cpu_s_per_change("configured")? * 1e3)),
    ("a day's churn, share of a core", Outcome::churn_core_ratio),
    ("zone lost, share of a core", |outcome| Some(outcome.phase("zone lost")?.core_ratio())),
    ("zone lost, worst turn ms", |outcome| Some(outcome.phase("zone lost")?.worst_call_ms)),
    ("region cut, share of a core", |outcome| Some(outcome.phase("region cut")?.core_ratio())),
    ("region cut, worst turn ms", |outcome| Some(outcome.phase("region cut")?.worst_call_ms)),
    ("release, share of a core", |outcome| Some(outcome.phase("release")?.core_ratio())),
    ("release, worst turn ms", |outcome| Some(outcome.phase("release")?.worst_call_ms)),
    ("memory after the start, bytes", |outcome| Some(outcome.allocated_after_start as f64)),
    ("checkpoint, bytes", |outcome| Some(outcome.checkpoint_bytes as f64)),
    ("start, bytes sent a second", |outcome| Some(outcome.phase("start")?.bytes_per_s().1)),
    ("reports, bytes heard a second", |outcome| Some(outcome.phase("reports")?.bytes_per_s().0)),
    ("reports, bytes sent a second", |outcome| Some(outcome.phase("reports")?.bytes_per_s().1)),
    ("release, bytes sent a second", |outcome| Some(outcome.phase("release")?.bytes_per_s().1)),
];

impl Ladder {
    /// A ladder of these outcomes, with the power laws of its figures.
    pub fn new(dimension: &'static str, outcomes: Vec<(f64, Outcome)>) -> Self {
        let fits = FIGURES.iter().filter_map(|(figure, value)| {
            let points = outcomes.iter().filter_map(|(size, outcome)| Some((*size, value(outcome)?)));
            let fit = power_law(&points.collect::<Vec<_>>())?;
            Some(NamedFit { figure, fit })
        });
        Ladder { dimension, fits: fits.collect(), outcomes }
    }

    fn print(&self) {
        println!("\n## {}\n", self.dimension);
        print_outcomes(&mut self.outcomes.iter().map(|(_, outcome)| outcome));
        println!("\n| figure | order | standard error | at size 1 | R2 | points |");
        println!("| --- | --- | --- | --- | --- | --- |");
        for NamedFit { figure, fit } in &self.fits {
            let error = fit.order_error.map_or("-".into(), |error| format!("{error:.2}"));
            println!(
                "| {figure} | {:.2} | {error} | {:.4} | {:.3} | {} |",
                fit.order, fit.coefficient, fit.r_squared, fit.points
            );
        }
    }
}

impl Report {
    /// Prints all results as tables.
    pub fn print(&self) {
        self.ladders.iter().for_each(Ladder::print);
        println!("\n## Variants\n");
        print_outcomes(&mut self.variants.iter());
        print_traffic(self);
        print_failed_weight(self);
        if let Some(records) = self.records {
            println!("\n## Bytes of a record\n\n| host | path | line | proxy |\n| --- | --- | --- | --- |");
            let RecordBytes { host, zone_host_stats, table_entry, proxy, .. } = records;
            println!("| {host:.0} | {zone_host_stats:.0} | {table_entry:.0} | {proxy:.0} |");
        }
    }

    /// The outcomes of all ladders and variants.
    fn outcomes(&self) -> impl Iterator<Item = &Outcome> {
        let ladders = self.ladders.iter().flat_map(|ladder| &ladder.outcomes);
        ladders.map(|(_, outcome)| outcome).chain(&self.variants)
    }
}

/// Prints one row for each outcome: shares of a core in percent, and the most expensive calls in
/// milliseconds.
fn print_outcomes(outcomes: &mut dyn Iterator<Item = &Outcome>) {
    const PHASES: [&str; 10] = [
        "start",
        "reports",
        "rest",
        "replaced",
        "configured",
        "host lost",
        "rack lost",
        "zone lost",
        "region cut",
        "release",
    ];
    print!("| size | proxies x hosts x zones ");
    PHASES.iter().for_each(|name| print!("| {name} % / worst ms "));
    println!("| replaced ms each | configured ms each | day's churn % | MB | records |");
    println!("|{}", " --- |".repeat(PHASES.len() + 7));
    for outcome in outcomes {
        let size = &outcome.size;
        print!("| {} | {} x {} x {} ", outcome.label, size.proxies, size.hosts, size.zones);
        for name in PHASES {
            match outcome.phase(name) {
                Some(phase) => print!("| {:.2} / {:.1} ", phase.core_ratio() * 100.0, phase.worst_call_ms),
                None => print!("| - "),
            }
        }
        let ms_per_change = |name| outcome.cpu_s_per_change(name).map(|seconds| seconds * 1e3);
        let cells = [
            ms_per_change("replaced"),
            ms_per_change("configured"),
            outcome.churn_core_ratio().map(|core| core * 100.0),
        ];
        for cell in cells {
            print!("| {} ", cell.map_or("-".into(), |value| format!("{value:.2}")));
        }
        println!(
            "| {:.2} | {} |",
            outcome.allocated_after_start as f64 / 1e6,
            record_counts(&outcome.records)
        );
    }
}

/// The counts as one cell: hosts, statistics of hosts, table entries, proxies, send times.
fn record_counts(counts: &RecordCounts) -> String {
    let RecordCounts { hosts, zone_host_stats, table_entries, proxies, send_times } = counts;
    format!("[{hosts}, {zone_host_stats}, {table_entries}, {proxies}, {send_times}]")
}

/// Prints bytes per second by kind of peer, for each phase of each outcome.
fn print_traffic(report: &Report) {
    println!("\n## Bytes a second by peer\n");
    println!("| size | phase | sums | usage | answers | entries | orders | order lines | probes |");
    println!("|{}", " --- |".repeat(9));
    for outcome in report.outcomes() {
        for phase in &outcome.phases {
            let per_s = |bytes: usize| bytes as f64 / phase.virtual_s;
            let traffic = &phase.traffic;
            println!(
                "| {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
                outcome.label,
                phase.name,
                per_s(traffic.load_reports.bytes),
                per_s(traffic.usage.bytes),
                per_s(traffic.acknowledgements.bytes),
                per_s(traffic.list_entries.bytes),
                per_s(traffic.updates.bytes),
                per_s(traffic.update_lines),
                per_s(traffic.health_checks.bytes)
            );
        }
    }
}

/// Prints how fast failed hosts lose their weight in the tables, the least weight that they have, and how
/// fast they get their weight back.
fn print_failed_weight(report: &Report) {
    println!("\n## Weight of failed hosts in all tables\n");
    println!(
        "| size | phase | at most half after s | at most a tenth after s | none after s | least \
         | nine tenths again after s |"
    );
    println!("|{}", " --- |".repeat(7));
    for outcome in report.outcomes() {
        for phase in outcome.phases.iter().filter(|phase| !phase.failed_weight.is_empty()) {
            let seconds_until =
                |ratio| phase.seconds_until_failed_below(ratio).map_or("never".into(), |s| format!("{s:.2}"));
            let least = phase.failed_weight.iter().copied().fold(f64::INFINITY, f64::min) + 0.0;
            println!(
                "| {} | {} | {} | {} | {} | {least:.2} | {} |",
                outcome.label,
                phase.name,
                seconds_until(0.5),
                seconds_until(0.1),
                seconds_until(0.0),
                phase.seconds_until_recovered_to(0.9).map_or("never".into(), |s| format!("{s:.2}")),
            );
        }
    }
}
