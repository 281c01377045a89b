//! The results of an experiment as CSV: one row for each seed, zone and class.

use crate::experiment::{Experiment, SeedRun};
use crate::results::RequestCounts;
use std::fmt::Write;

const HEADER: &str = "scenario,seed,zone,class,asked,refused,good,late,lost,service,worst_10s,\
                      bare,twice,drain,cold,queue\n";

/// The results as CSV. The columns after `lost` describe the whole run and have the same values in all its
/// rows.
pub fn csv(experiment: &Experiment) -> String {
    let scenario = &experiment.scenario;
    let mut out = String::from(HEADER);
    for run in &experiment.runs {
        for (zone, classes) in scenario.settings.zones.iter().zip(&run.result.request_counts) {
            for (load, counts) in scenario.classes.iter().zip(classes) {
                write_row_key(&mut out, &scenario.name, run.seed, &zone.0, &load.name);
                write_request_counts(&mut out, counts);
                write_run_columns(&mut out, run);
            }
        }
    }
    out
}

fn write_row_key(out: &mut String, scenario: &str, seed: u64, zone: &str, class: &str) {
    let _ =
        write!(out, "{},{seed},{},{}", unquoted_field(scenario), unquoted_field(zone), unquoted_field(class));
}

fn write_request_counts(out: &mut String, counts: &RequestCounts) {
    let _ = write!(
        out,
        ",{},{},{},{},{}",
        counts.arrived, counts.rejected, counts.in_time, counts.late, counts.failed
    );
}

fn write_run_columns(out: &mut String, run: &SeedRun) {
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

/// Replaces separators and quotes with spaces, so that the field needs no quoting.
fn unquoted_field(text: &str) -> String {
    text.replace([',', '"', '\n', '\r'], " ")
}
