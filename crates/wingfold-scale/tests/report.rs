//! The JSON and the printed tables of a report.

use serde_json::{json, to_value};
use std::time::Duration;
use wingfold_scale::compare::{compare, DirectorGroup};
use wingfold_scale::counters::TrafficCount;
use wingfold_scale::delays::{DelaySummary, Delays};
use wingfold_scale::ladder::Summary;
use wingfold_scale::plan::{FleetSize, ResourceEstimate, Step};
use wingfold_scale::report::{
    DelayMetrics, DirectorMetrics, DiscoveryMetrics, HealthCheckMetrics, ProcessMetrics, Report,
};

fn traffic(messages: u64) -> TrafficCount {
    TrafficCount { messages, bytes_in: 10 * messages, bytes_out: 100 * messages }
}

/// The summary of one delay.
fn delay_of(milliseconds: u64) -> DelaySummary {
    let delays = Delays::default();
    delays.record(Duration::from_millis(milliseconds));
    delays.summary()
}

fn group(health_checks: u64) -> DirectorGroup {
    DirectorGroup { directors: 1, discovery: traffic(50), checking_directors: 1, health_checks }
}

fn director_metrics() -> DirectorMetrics {
    DirectorMetrics {
        name: "n0".into(),
        processor_share: 0.25,
        processor_s: 2.5,
        peak_memory_mib: 12.0,
        peak_descriptors: 70,
        ready_ms: 40.0,
        discovery: traffic(1),
        rejected: 2,
        abandoned: 3,
        collectors: traffic(4),
        proxies: traffic(5),
    }
}

fn delay_metrics() -> DelayMetrics {
    DelayMetrics {
        start: delay_of(1),
        list_to_simulated: delay_of(2),
        list_to_real: delay_of(3),
        list_to_proxies: delay_of(4),
        configuration_to_simulated: delay_of(5),
        configuration_to_real: delay_of(6),
        stale_uses: 7,
    }
}

/// A report of the smallest step whose counts are all different.
fn report() -> Report {
    Report {
        step: "1/16".into(),
        fleet_size: FleetSize::of_step(Step::Sixteenth, 1),
        estimate: ResourceEstimate { processes: 2, descriptors: 900, memory_bytes: 1 << 28 },
        seed: 9,
        fault: "zone-silent",
        watched_s: 10.0,
        list_changes: 11,
        real: vec![director_metrics()],
        discovery: DiscoveryMetrics { traffic: traffic(6), rejected: 8, abandoned: 9 },
        health_checks: HealthCheckMetrics {
            mean_per_host: 1.5,
            most_per_host: 2.5,
            real: traffic(12),
            simulated: traffic(13),
        },
        delays: delay_metrics(),
        comparisons: compare(&group(10_000), &group(8_000)),
        simulation_process: ProcessMetrics {
            processor_share: 0.5,
            peak_memory_mib: 64.0,
            peak_descriptors: 800,
        },
    }
}

fn traffic_json(messages: u64) -> serde_json::Value {
    json!({"messages": messages, "bytes_in": 10 * messages, "bytes_out": 100 * messages})
}

fn delay_json(milliseconds: f64) -> serde_json::Value {
    json!({"count": 1, "median_ms": milliseconds, "p99_ms": milliseconds, "worst_ms": milliseconds})
}

fn comparison_json(metric: &str, real: f64, simulated: f64, tolerance: f64) -> serde_json::Value {
    json!({"figure": metric, "real": real, "hollow": simulated, "tolerance": tolerance})
}

#[test]
fn report_json_keeps_its_field_names_and_values() {
    let expected = json!({
        "step": "1/16",
        "sizes": {"directors": 30, "real_directors": 1, "hosts": 169, "zones": 2, "proxies_per_director": 48},
        "needs": {"processes": 2, "descriptors": 900, "memory_bytes": 1 << 28},
        "seed": 9,
        "fault": "zone-silent",
        "watched_s": 10.0,
        "list_changes": 11,
        "real": [{
            "name": "n0", "processor_share": 0.25, "processor_s": 2.5, "peak_memory_mib": 12.0,
            "peak_descriptors": 70, "ready_ms": 40.0, "discovery": traffic_json(1), "refused": 2,
            "given_up": 3, "collectors": traffic_json(4), "proxies": traffic_json(5),
        }],
        "discovery": {"traffic": traffic_json(6), "refused": 8, "given_up": 9},
        "probes": {
            "mean_per_host": 1.5, "most_per_host": 2.5, "real": traffic_json(12), "hollow": traffic_json(13),
        },
        "delays": {
            "start": delay_json(1.0), "list_to_hollow": delay_json(2.0), "list_to_real": delay_json(3.0),
            "list_to_proxies": delay_json(4.0), "configuration_to_hollow": delay_json(5.0),
            "configuration_to_real": delay_json(6.0), "undelivered": 7,
        },
        "compared": [
            comparison_json("calls at discovery", 50.0, 50.0, 0.1),
            comparison_json("bytes to discovery", 500.0, 500.0, 0.1),
            comparison_json("bytes from discovery", 5_000.0, 5_000.0, 0.1),
            comparison_json("probes", 10_000.0, 8_000.0, 0.1 + 0.04),
        ],
        "hollow_process": {"processor_share": 0.5, "peak_memory_mib": 64.0, "peak_descriptors": 800},
    });
    assert_eq!(to_value(report()).unwrap(), expected);
}

#[test]
fn report_table_marks_metrics_beyond_their_tolerance() {
    let table = report().to_string();
    let verdict_of = |metric: &str| {
        let row = table.lines().find(|line| line.starts_with(metric)).unwrap_or_else(|| panic!("{table}"));
        row.split_whitespace().next_back().map(String::from)
    };
    for metric in ["requests to discovery", "bytes to discovery", "bytes from discovery"] {
        assert_eq!(verdict_of(metric).as_deref(), Some("within"), "{metric}");
    }
    assert_eq!(verdict_of("health checks   "), Some("EXCEEDED".into()));
    for text in ["zone-silent", "list change at a simulated director", "8 requests rejected, 9 abandoned"] {
        assert!(table.contains(text), "`{text}` is not in:\n{table}");
    }
}

#[test]
fn summary_rows_are_as_wide_as_the_header() {
    let summary = Summary(&[report()]).to_string();
    let widths: Vec<usize> = summary.lines().map(str::len).collect();
    assert_eq!(widths, [widths[0]; 2], "{summary}");
    for value in ["1/16, zone-silent", "25.0%", "12.0 MiB", "2 ms", "4 ms", "5 ms"] {
        assert!(summary.contains(value), "`{value}` is not in:\n{summary}");
    }
}
