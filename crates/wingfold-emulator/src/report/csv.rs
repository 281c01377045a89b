//! The results as CSV: one row for each seed, zone and class.

use crate::experiment::{Experiment, SeedRun};
use crate::results::RequestCounts;
use std::fmt::Write;

const HEADER: &str = "scenario,seed,zone,class,asked,refused,good,late,lost,service,worst_10s,\
                      bare,twice,drain,cold,queue\n";

/// The results of an experiment. The columns after `lost` describe the whole run and repeat in each of its rows.
pub fn csv(experiment: &Experiment) -> String {
    let scenario = &experiment.scenario;
    let mut out = String::from(HEADER);
    for run in &experiment.runs {
        for (zone, classes) in scenario.settings.zones.iter().zip(&run.result.request_counts) {
            for (load, counts) in scenario.classes.iter().zip(classes) {
                write_key(&mut out, &scenario.name, run.seed, &zone.0, &load.name);
                write_counts(&mut out, counts);
                write_run(&mut out, run);
            }
        }
    }
    out
}

fn write_key(out: &mut String, scenario: &str, seed: u64, zone: &str, class: &str) {
    let _ = write!(out, "{},{seed},{},{}", plain_text(scenario), plain_text(zone), plain_text(class));
}

fn write_counts(out: &mut String, counts: &RequestCounts) {
    let _ = write!(
        out,
        ",{},{},{},{},{}",
        counts.arrived, counts.rejected, counts.in_time, counts.late, counts.failed
    );
}

fn write_run(out: &mut String, run: &SeedRun) {
    let result = &run.result;
    let margins = &result.margins;
    let _ = writeln!(
        out,
        ",{},{},{},{},{},{},{}",
        result.service_ratio(),
        result.worst_service_ratio(),
        margins.missing_entry_ratio,
        margins.duplicate_executions,
        margins.late_attempt_ratio,
        margins.warm_up_overload_ratio,
        margins.queued_entries_ratio
    );
}

/// Replaces the characters that separate or quote fields, so that none needs quotes.
fn plain_text(text: &str) -> String {
    text.replace([',', '"', '\n', '\r'], " ")
}
