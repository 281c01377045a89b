//! The exact text of the reports and of the violations in them; the directory `expected` has the reports.

use hdrhistogram::Histogram;
use wingfold_director::interface::Timestamp;
use wingfold_emulator::experiment::{Experiment, SeedRun};
use wingfold_emulator::invariants::{Margins, Violation};
use wingfold_emulator::results::{LogLine, RequestCounts, ServiceWindow};
use wingfold_emulator::{report, RunResult, Scenario};

/// A scenario whose name holds separators of CSV and of paths.
const SCENARIO: &str = r#"
scenario "two, zones/1" {
  about = "Two zones."
  length = "10s"
  zones = ["a", "b"]
  rate = 20
  proxies = 4
}
hosts "box" { count = 5 }
class "view" {}
class "sell" {}
"#;

/// Counts that differ for each `base`, so that each row differs.
fn request_counts(base: u64) -> RequestCounts {
    RequestCounts { arrived: 10 * base, rejected: base, in_time: 5 * base, late: 2 * base, failed: base + 1 }
}

fn run_result(base: u64, margins: Margins) -> RunResult {
    let mut latencies_us = Histogram::new_with_bounds(1, 600_000_000, 3).unwrap();
    latencies_us.record(base * 12_000).unwrap();
    latencies_us.record(base * 340_000).unwrap();
    let weight = base as f64;
    RunResult {
        request_counts: vec![
            vec![request_counts(base), request_counts(base + 1)],
            vec![request_counts(base + 2), request_counts(base + 3)],
        ],
        windows: vec![
            ServiceWindow { arrived_weight: 4.0 * weight, in_time_weight: 3.0 * weight },
            ServiceWindow { arrived_weight: 8.0, in_time_weight: 8.0 - weight },
        ],
        latencies_us: vec![latencies_us.clone(), latencies_us],
        margins,
        retries: 3 * base,
        cross_zone_attempts: 4 * base,
        messages_sent: 50 * base,
        entries_sent: 600 * base,
        log: vec![LogLine { at: Timestamp(0), director: 0, text: "a notice".into() }],
        digests: vec![base],
    }
}

/// Two runs, the second of which violates all invariants.
fn experiment() -> Experiment {
    let kept = Margins { missing_entry_ratio: 0.25, late_attempt_ratio: 0.5, ..Margins::default() };
    let violated = Margins {
        missing_entry_ratio: 1.25,
        duplicate_executions: 2,
        late_attempt_ratio: 1.5,
        warm_up_overload_ratio: 2.0,
        queued_entries_ratio: 3.0,
    };
    let runs = vec![
        SeedRun { seed: 7, result: run_result(1, kept) },
        SeedRun { seed: 8, result: run_result(2, violated) },
    ];
    Experiment { scenario: Scenario::read("s.hcl", SCENARIO).unwrap(), runs }
}

#[test]
fn csv_has_a_row_for_each_seed_zone_and_class() {
    assert_eq!(report::csv(&experiment()), include_str!("expected/report.csv"));
}

#[test]
fn markdown_has_estimates_classes_margins_and_violations() {
    assert_eq!(report::markdown(&experiment()), include_str!("expected/report.md"));
}

#[test]
fn chart_has_a_line_for_each_seed_and_for_the_mean() {
    assert_eq!(report::chart(&experiment()).unwrap(), include_str!("expected/chart.svg"));
}

#[test]
fn report_files_are_named_after_the_scenario() {
    let directory = std::env::temp_dir().join(format!("wingfold-reports-{}", std::process::id()));
    report::write(&experiment(), &directory).unwrap();
    let read = |extension: &str| {
        std::fs::read_to_string(directory.join(format!("two__zones_1.{extension}"))).unwrap()
    };
    assert_eq!(read("md"), report::markdown(&experiment()));
    assert_eq!(read("csv"), report::csv(&experiment()));
    assert_eq!(read("svg"), report::chart(&experiment()).unwrap());
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn violations_name_the_invariant_and_the_share_of_its_limit() {
    let expected = [
        (Violation::MissingEntry(1.254), "a proxy was left without a host: 125 % of the limit"),
        (Violation::LateAttempt(1.5), "requests went to a host that drains or is gone: 150 % of the limit"),
        (Violation::WarmUpOverload(2.0), "a cold host was pushed over: 200 % of the limit"),
        (Violation::QueuedEntries(3.0), "too many lines waited in a channel: 300 % of the limit"),
        (Violation::DuplicateExecutions(2), "2 effects ran twice"),
    ];
    for (violation, text) in expected {
        assert_eq!(violation.to_string(), text);
    }
}
