//! The results as tables for reading, and as JSON.

use crate::fit::{power_law, Fit};
use crate::memory::RecordBytes;
use crate::scenario::{Lengths, Outcome};
use serde::Serialize;
use wingfold_director::inspect::RecordCounts;

/// A ladder: sizes that differ in one dimension, or in all of them together.
#[derive(Debug, Serialize)]
pub struct Ladder {
    /// What grows.
    pub dimension: &'static str,
    /// Each size as a number, and what it cost.
    pub outcomes: Vec<(f64, Outcome)>,
    /// The law of each figure.
    pub fits: Vec<NamedFit>,
}

/// The law of one figure.
#[derive(Debug, Serialize)]
pub struct NamedFit {
    pub figure: &'static str,
    pub fit: Fit,
}

/// All that was measured.
#[derive(Debug, Serialize)]
pub struct Report {
    pub lengths: Lengths,
    pub ladders: Vec<Ladder>,
    pub variants: Vec<Outcome>,
    pub records: Option<RecordBytes>,
}

/// A figure of an outcome; nothing where its phase was not played.
type Figure = fn(&Outcome) -> Option<f64>;

/// Every figure that has a law.
const FIGURES: [(&str, Figure); 22] = [
    ("start, share of a core", |outcome| Some(outcome.phase("start")?.core())),
    ("start, worst turn ms", |outcome| Some(outcome.phase("start")?.worst_call_ms)),
    ("reports, share of a core", |outcome| Some(outcome.phase("reports")?.core())),
    ("reports, worst turn ms", |outcome| Some(outcome.phase("reports")?.worst_call_ms)),
    ("rest, share of a core", |outcome| Some(outcome.phase("rest")?.core())),
    ("rest, worst turn ms", |outcome| Some(outcome.phase("rest")?.worst_call_ms)),
    ("one machine replaced, cpu ms", |outcome| Some(outcome.cost_of_one("replaced")? * 1e3)),
    ("replaced, worst turn ms", |outcome| Some(outcome.phase("replaced")?.worst_call_ms)),
    ("one configuration change, cpu ms", |outcome| Some(outcome.cost_of_one("configured")? * 1e3)),
    ("a day's churn, share of a core", Outcome::churn_core),
    ("zone lost, share of a core", |outcome| Some(outcome.phase("zone lost")?.core())),
    ("zone lost, worst turn ms", |outcome| Some(outcome.phase("zone lost")?.worst_call_ms)),
    ("region cut, share of a core", |outcome| Some(outcome.phase("region cut")?.core())),
    ("region cut, worst turn ms", |outcome| Some(outcome.phase("region cut")?.worst_call_ms)),
    ("release, share of a core", |outcome| Some(outcome.phase("release")?.core())),
    ("release, worst turn ms", |outcome| Some(outcome.phase("release")?.worst_call_ms)),
    ("memory after the start, bytes", |outcome| Some(outcome.allocated_after_start as f64)),
    ("checkpoint, bytes", |outcome| Some(outcome.checkpoint_bytes as f64)),
    ("start, bytes sent a second", |outcome| Some(outcome.phase("start")?.bytes_per_s().1)),
    ("reports, bytes heard a second", |outcome| Some(outcome.phase("reports")?.bytes_per_s().0)),
    ("reports, bytes sent a second", |outcome| Some(outcome.phase("reports")?.bytes_per_s().1)),
    ("release, bytes sent a second", |outcome| Some(outcome.phase("release")?.bytes_per_s().1)),
];

impl Ladder {
    /// A ladder with the laws of its figures.
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
    /// Prints everything as tables.
    pub fn print(&self) {
        self.ladders.iter().for_each(Ladder::print);
        println!("\n## Variants\n");
        print_outcomes(&mut self.variants.iter());
        print_traffic(self);
        print_failed(self);
        if let Some(records) = self.records {
            println!("\n## Bytes of a record\n\n| host | path | line | proxy |\n| --- | --- | --- | --- |");
            let RecordBytes { host, zone_host_stats, table_entry, proxy, .. } = records;
            println!("| {host:.0} | {zone_host_stats:.0} | {table_entry:.0} | {proxy:.0} |");
        }
    }

    fn outcomes(&self) -> impl Iterator<Item = &Outcome> {
        let ladders = self.ladders.iter().flat_map(|ladder| &ladder.outcomes);
        ladders.map(|(_, outcome)| outcome).chain(&self.variants)
    }
}

/// One row for each outcome: shares of a core in percent, and worst turns in milliseconds.
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
                Some(phase) => print!("| {:.2} / {:.1} ", phase.core() * 100.0, phase.worst_call_ms),
                None => print!("| - "),
            }
        }
        let each = |name| outcome.cost_of_one(name).map(|seconds| seconds * 1e3);
        let cells = [each("replaced"), each("configured"), outcome.churn_core().map(|core| core * 100.0)];
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

/// The counts in one cell: hosts, statistics of hosts, table entries, proxies, times of messages.
fn record_counts(counts: &RecordCounts) -> String {
    let RecordCounts { hosts, zone_host_stats, table_entries, proxies, send_times } = counts;
    format!("[{hosts}, {zone_host_stats}, {table_entries}, {proxies}, {send_times}]")
}

/// Bytes a second by peer, for each phase of each outcome.
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

/// How fast failed hosts lose their weight in the tables, and what they hold at least.
fn print_failed(report: &Report) {
    println!("\n## Weight of failed hosts in all tables\n");
    println!("| size | phase | at most half after s | at most a tenth after s | none after s | least | nine tenths again after s |");
    println!("|{}", " --- |".repeat(7));
    for outcome in report.outcomes() {
        for phase in outcome.phases.iter().filter(|phase| !phase.failed_weight.is_empty()) {
            let after = |share| phase.failed_below(share).map_or("never".into(), |s| format!("{s:.2}"));
            let least = phase.failed_weight.iter().copied().fold(f64::INFINITY, f64::min) + 0.0;
            println!(
                "| {} | {} | {} | {} | {} | {least:.2} | {} |",
                outcome.label,
                phase.name,
                after(0.5),
                after(0.1),
                after(0.0),
                phase.recovered_to(0.9).map_or("never".into(), |s| format!("{s:.2}")),
            );
        }
    }
}
