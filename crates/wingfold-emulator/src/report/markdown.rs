//! The results of an experiment as Markdown tables.

use crate::estimate::Estimate;
use crate::experiment::Experiment;
use crate::results::RequestCounts;
use crate::scenario::ClassLoad;
use hdrhistogram::Histogram;
use std::fmt::Write;

const MICROS_PER_MS: f64 = 1e3;

/// The results as Markdown: a summary, the estimates, the requests by class, and the margins of the
/// invariants.
pub fn markdown(experiment: &Experiment) -> String {
    let mut out = String::new();
    write_summary(&mut out, experiment);
    write_estimates(&mut out, experiment);
    write_class_table(&mut out, experiment);
    write_margins(&mut out, experiment);
    out
}

fn write_summary(out: &mut String, experiment: &Experiment) {
    let scenario = &experiment.scenario;
    let seeds: Vec<String> = experiment.runs.iter().map(|run| run.seed.to_string()).collect();
    let hosts: usize = scenario.host_groups.iter().map(|group| group.count).sum();
    let _ = writeln!(out, "# {}\n\n{}\n", scenario.name, scenario.description);
    let _ = writeln!(
        out,
        "{} directors, {} proxies, {hosts} hosts, {:.0} requests/s, {:.0} s of virtual time; seeds {}.\n",
        scenario.settings.directors,
        scenario.settings.proxies,
        scenario.rate_per_s,
        scenario.duration.secs(),
        seeds.join(", ")
    );
}

fn write_estimates(out: &mut String, experiment: &Experiment) {
    let _ = writeln!(out, "| figure | mean, 95 % interval | median |\n| --- | --- | --- |");
    let estimates = [
        ("service (worth in time / worth asked)", experiment.mean(|run| run.service_ratio())),
        ("service in the worst 10 s", experiment.mean(|run| run.worst_service_ratio())),
        ("messages", experiment.mean(|run| run.messages_sent as f64)),
        ("lines", experiment.mean(|run| run.entries_sent as f64)),
        ("second tries", experiment.mean(|run| run.retries as f64)),
        ("requests that crossed zones", experiment.mean(|run| run.cross_zone_attempts as f64)),
    ];
    for (name, estimate) in estimates {
        let _ = writeln!(out, "| {name} | {} | {:.4} |", format_interval(&estimate), estimate.median);
    }
}

fn format_interval(estimate: &Estimate) -> String {
    if estimate.half_width.is_finite() {
        format!("{:.4} ± {:.4}", estimate.mean, estimate.half_width)
    } else {
        format!("{:.4}", estimate.mean)
    }
}

fn write_class_table(out: &mut String, experiment: &Experiment) {
    let _ = writeln!(out, "\n| class | asked | turned away | in time | late | lost | p50 ms | p99 ms |");
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (class, load) in experiment.scenario.classes.iter().enumerate() {
        write_class_row(out, load, &experiment.class_counts(class), &experiment.latencies_us(class));
    }
}

fn write_class_row(
    out: &mut String,
    load: &ClassLoad,
    counts: &RequestCounts,
    latencies_us: &Histogram<u64>,
) {
    let quantile_ms = |quantile: f64| latencies_us.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
    let _ = writeln!(
        out,
        "| {} | {} | {} | {} | {} | {} | {:.0} | {:.0} |",
        load.name,
        counts.arrived,
        counts.rejected,
        counts.in_time,
        counts.late,
        counts.failed,
        quantile_ms(0.5),
        quantile_ms(0.99)
    );
}

fn write_margins(out: &mut String, experiment: &Experiment) {
    let worst = experiment.worst_margins();
    let ratios = [
        ("no proxy without a host", worst.missing_entry_ratio),
        ("drains kept", worst.late_attempt_ratio),
        ("no cold host pushed over", worst.warm_up_overload_ratio),
        ("queue short", worst.queued_entries_ratio),
    ];
    let _ = writeln!(out, "\n| rule | nearest to its limit, of any seed |\n| --- | --- |");
    for (name, ratio) in ratios {
        let _ = writeln!(out, "| {name} | {:.0} % |", 100.0 * ratio);
    }
    let _ = writeln!(out, "| no effect twice | {} effects |", worst.duplicate_executions);
    for violations in experiment.violations() {
        let _ = writeln!(out, "\nBroken with seed {}: {violations}.", violations.seed);
    }
}
