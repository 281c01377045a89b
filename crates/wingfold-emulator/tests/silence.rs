//! Five causes of missing load reports from a zone, simulated in the emulator: a partition, low traffic, a
//! collector outage, delayed reports, and no traffic. The metrics of the director distinguish the causes.

use std::collections::{BTreeMap, BTreeSet};
use wingfold_director::interface::{Action, Event, Micros, Timestamp, ZoneId};
use wingfold_director::Director;
use wingfold_emulator::simulation::{simulate_observed, Observer};
use wingfold_emulator::Scenario;
use wingfold_metrics::meter::{CallCounts, ExternalValues};
use wingfold_metrics::{Interval, Meter, Metric, Sample, SourceState, Value};

/// The length of the meter's intervals.
const INTERVAL: Micros = Micros(5_000_000);
const MICROS_PER_S: u64 = 1_000_000;

/// The zone that the faults affect, its index, and the index of the director's zone.
const ZONE: &str = "hillington";
const ZONE_INDEX: usize = 1;
const DIRECTOR_ZONE_INDEX: usize = 0;

/// The states that the metrics give for a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ZoneStates {
    load_reports: SourceState,
    collector: SourceState,
    /// The usage reports of the first class.
    first_class: SourceState,
}

impl ZoneStates {
    const fn all(state: SourceState) -> ZoneStates {
        ZoneStates { load_reports: state, collector: state, first_class: state }
    }
}

const ALL_REPORTING: ZoneStates = ZoneStates::all(SourceState::Reporting);

/// Feeds the calls of director 0 to a meter.
struct MetricsObserver {
    meter: Option<Meter>,
    /// The states of each zone after the last call in each second.
    states_by_second: BTreeMap<u64, Vec<ZoneStates>>,
    intervals: Vec<Interval>,
}

impl Observer for MetricsObserver {
    fn director_called(
        &mut self,
        director: usize,
        now: Timestamp,
        events: &[Event],
        actions: &[Action],
        module: &Director,
    ) {
        if director != 0 {
            return;
        }
        let classes = ["score".to_string(), "verdict".to_string()];
        let meter = self.meter.get_or_insert_with(|| Meter::new(now, INTERVAL, module, &classes));
        for event in events {
            meter.record_event(now, event);
            // In the emulator, a collector sends only load reports.
            if let Event::LoadReport { zone, .. } = event {
                meter.record_collector_activity(now, zone, 1);
            }
        }
        let entries = actions.iter().filter(|action| matches!(action, Action::SetEntry { .. })).count();
        meter.record_call(CallCounts {
            duration_us: 100,
            messages: 1,
            lines: entries,
            queued_lines: entries as f64,
        });
        meter.update(now, module);
        let zones = &module.settings().zones;
        let states = zones.iter().map(|zone| zone_states(meter, zone)).collect();
        self.states_by_second.insert(now.0 / MICROS_PER_S, states);
        let write_delays = hdrhistogram::Histogram::new(2).unwrap();
        let external = ExternalValues { write_delays: &write_delays, totals: &[], gauges: &[] };
        self.intervals.extend(meter.end_interval(now, module, external));
    }
}

fn zone_states(meter: &Meter, zone: &ZoneId) -> ZoneStates {
    let states = meter.source_states(zone).expect("the settings contain the zone");
    ZoneStates {
        load_reports: states.load_reports,
        collector: states.collector,
        first_class: states.classes[0],
    }
}

/// Runs the example scenario for 100 s with `fault` in place of its own faults. It has a single director, so
/// that all proxies are connected to director 0.
fn observe(fault: &str, seed: u64) -> MetricsObserver {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/example.hcl");
    let text = std::fs::read_to_string(path).unwrap();
    let without_faults = &text[..text.find("fault \"slow\"").unwrap()];
    let without_faults = without_faults.replace("directors = 2", "directors = 1");
    let without_faults = without_faults.replace("length   = \"60s\"", "length = \"100s\"");
    let scenario = Scenario::read("silence", &format!("{without_faults}\n{fault}"));
    let scenario = scenario.unwrap_or_else(|diagnostics| panic!("{diagnostics}"));
    let mut observer =
        MetricsObserver { meter: None, states_by_second: BTreeMap::new(), intervals: Vec::new() };
    simulate_observed(&scenario, seed, None, &mut observer).unwrap();
    observer
}

/// The text of a block `fault` that lasts from second 30 to second 60.
fn fault(kind: &str, keys: &str) -> String {
    format!("fault \"{kind}\" {{\n  at = \"30s\"\n  lasts = \"30s\"\n{keys}}}\n")
}

fn partition() -> String {
    fault("cut", "  zone = \"hillington\"\n")
}

fn collector_outage() -> String {
    fault("collector_dead", "  zone = \"hillington\"\n")
}

fn delayed_reports() -> String {
    fault("late_reports", "  by = \"3s\"\n")
}

/// One fiftieth of the normal traffic in the zone, during the whole run.
const LOW_TRAFFIC: &str =
    "fault \"traffic\" {\n  at = \"0s\"\n  lasts = \"99s\"\n  zone = \"hillington\"\n  size = 0.02\n}\n";
/// No traffic in the zone, during the whole run.
const NO_TRAFFIC: &str =
    "fault \"traffic\" {\n  at = \"0s\"\n  lasts = \"99s\"\n  zone = \"hillington\"\n  size = 0\n}\n";

impl MetricsObserver {
    /// The states of a zone from `from_s` to before `until_s` in the order of time, without repetitions.
    fn states(&self, zone: usize, from_s: u64, until_s: u64) -> Vec<ZoneStates> {
        let span = self.states_by_second.range(from_s..until_s);
        let mut states: Vec<ZoneStates> = span.map(|(_, zones)| zones[zone]).collect();
        states.dedup();
        states
    }

    /// The value of a metric of [`ZONE`] in the interval that ends at `until_s`; `None` if there is no
    /// sample.
    fn value(&self, metric: Metric, until_s: u64) -> Option<f64> {
        let ends_at = |interval: &&Interval| interval.ended_at.0 == until_s * MICROS_PER_S;
        let interval = self.intervals.iter().find(ends_at).expect("an interval ends at this second");
        let matches = |sample: &&Sample| sample.metric == metric && *sample.labels[0] == *ZONE;
        let sample = interval.samples.iter().find(matches)?;
        Some(match sample.value {
            Value::Count(count) => count as f64,
            Value::Gauge(value) => value,
            Value::Distribution(distribution) => distribution.count as f64,
        })
    }
}

#[test]
fn partitioned_zone_has_state_partitioned_and_no_zero_samples() {
    for seed in 1..=5 {
        // The director loses the streams of the zone's proxies, its collector and its hosts.
        let observer = observe(&partition(), seed);
        assert_eq!(observer.states(ZONE_INDEX, 8, 29), [ALL_REPORTING], "seed {seed}");
        assert_eq!(
            observer.states(ZONE_INDEX, 42, 59),
            [ZoneStates::all(SourceState::Partitioned)],
            "seed {seed}"
        );
        assert_eq!(observer.states(ZONE_INDEX, 68, 98), [ALL_REPORTING], "seed {seed}");
        // In between, the zone may pass through the state silent. The director's own zone reports all the
        // time.
        let between = observer.states(ZONE_INDEX, 29, 42);
        let is_expected = |state: SourceState| {
            matches!(state, SourceState::Reporting | SourceState::Partitioned | SourceState::Silent)
        };
        assert!(between.iter().all(|states| is_expected(states.load_reports)), "{between:?}");
        assert_eq!(observer.states(DIRECTOR_ZONE_INDEX, 8, 98), [ALL_REPORTING], "seed {seed}");
        for until_s in [45, 50, 55] {
            assert_eq!(observer.value(Metric::Attempts, until_s), None, "a zero must not be sent");
            assert_eq!(observer.value(Metric::RequestsOffered, until_s), None);
        }
        let ages = [45, 50, 55].map(|until_s| observer.value(Metric::LoadReportAge, until_s).unwrap());
        assert!(
            ages[0] > 10.0 && ages[1] > ages[0] + 4.0 && ages[2] > ages[1] + 4.0,
            "the age of the last data must rise: {ages:?}"
        );
        assert_eq!(observer.value(Metric::LoadReportState, 50), Some(3.0));
    }
}

#[test]
fn low_traffic_zone_is_always_reporting_or_quiet() {
    for seed in 1..=5 {
        let observer = observe(LOW_TRAFFIC, seed);
        for states in observer.states(ZONE_INDEX, 25, 98) {
            let is_reporting_or_quiet = states.load_reports <= SourceState::Quiet
                && states.collector <= SourceState::Quiet
                && states.first_class <= SourceState::Quiet;
            assert!(is_reporting_or_quiet, "seed {seed}: {states:?}");
        }
    }
}

#[test]
fn collector_outage_is_silent_while_usage_is_reported() {
    for seed in 1..=5 {
        let observer = observe(&collector_outage(), seed);
        let expected = ZoneStates {
            load_reports: SourceState::Silent,
            collector: SourceState::Silent,
            first_class: SourceState::Reporting,
        };
        assert_eq!(observer.states(ZONE_INDEX, 40, 59), [expected], "seed {seed}");
        assert_eq!(observer.states(ZONE_INDEX, 66, 98), [ALL_REPORTING]);
        assert_eq!(observer.value(Metric::Attempts, 50), None, "unknown attempts must not be sent");
        assert!(observer.value(Metric::RequestsOffered, 50).unwrap() > 50.0, "known requests must be sent");
    }
}

#[test]
fn delayed_reports_have_a_lag_and_correct_past_intervals() {
    for seed in 1..=5 {
        let observer = observe(&delayed_reports(), seed);
        // The gap of 3.5 s at the beginning can make the zone silent for a moment; then the zone is reporting
        // again.
        assert_eq!(observer.states(ZONE_INDEX, 40, 59), [ALL_REPORTING], "seed {seed}");
        let lag_s = observer.value(Metric::LoadReportLag, 45).unwrap();
        assert!((1.5..4.5).contains(&lag_s), "seed {seed}: {lag_s}");
        assert!(
            observer.value(Metric::AttemptsReportedLate, 45).unwrap() > 50.0,
            "late attempts must be counted"
        );
        assert_eq!(observer.value(Metric::AttemptsReportedLate, 25), Some(0.0), "seed {seed}");
        // Intervals that end while reports are delayed are corrected with the reports that arrive afterwards.
        let delayed = 40..=60;
        let corrected = observer.intervals.iter().filter(|interval| {
            delayed.contains(&(interval.ended_at.0 / MICROS_PER_S)) && !interval.corrections.is_empty()
        });
        assert!(corrected.count() >= 3, "seed {seed}");
    }
}

#[test]
fn zone_without_traffic_is_not_partitioned_and_has_no_zeros() {
    for seed in 1..=5 {
        let observer = observe(NO_TRAFFIC, seed);
        let states = observer.states(ZONE_INDEX, 20, 95);
        // The zone's proxies announced their normal rate when they connected, so reports are missing. But
        // there is no partition.
        let is_partitioned = |states: &ZoneStates| {
            states.load_reports == SourceState::Partitioned || states.first_class == SourceState::Partitioned
        };
        assert!(!states.iter().any(is_partitioned), "{states:?}");
        assert_eq!(observer.value(Metric::Attempts, 50), None);
        assert_eq!(observer.value(Metric::RequestsOffered, 50), None);
        assert!(observer.value(Metric::LoadReportAge, 50).unwrap() > 45.0);
        assert_eq!(observer.value(Metric::ProxiesConnected, 50), Some(3.0), "the zone has connected proxies");
    }
}

#[test]
fn metrics_distinguish_the_five_causes() {
    let faults =
        [partition(), LOW_TRAFFIC.to_string(), collector_outage(), delayed_reports(), NO_TRAFFIC.to_string()];
    let symptoms_of = |fault: &String| {
        let observer = observe(fault, 1);
        let states = observer.states(ZONE_INDEX, 55, 56)[0];
        let is_delayed = observer.value(Metric::LoadReportLag, 55).unwrap() > 1.5;
        let has_requests = observer.value(Metric::RequestsOffered, 55).is_some();
        let has_proxies = observer.value(Metric::ProxiesConnected, 55).unwrap() > 0.0;
        let names = [states.load_reports, states.collector, states.first_class].map(SourceState::name);
        (names, is_delayed, has_requests, has_proxies)
    };
    let symptoms: Vec<_> = faults.iter().map(symptoms_of).collect();
    let distinct: BTreeSet<_> = symptoms.iter().collect();
    assert_eq!(distinct.len(), 5, "{symptoms:#?}");
}

#[test]
#[ignore = "overwrites docs/charts/five-pictures.svg"]
fn draw_chart_of_the_five_causes() {
    use plotters::prelude::*;
    let faults = [
        ("cut off", partition()),
        ("a quiet night", LOW_TRAFFIC.to_string()),
        ("its collector is dead", collector_outage()),
        ("sums come late", delayed_reports()),
        ("no traffic", fault("traffic", "  zone = \"hillington\"\n  size = 0\n")),
    ];
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/charts/five-pictures.svg");
    std::fs::create_dir_all(std::path::Path::new(path).parent().unwrap()).unwrap();
    let area = SVGBackend::new(path, (760, 900)).into_drawing_area();
    area.fill(&WHITE).unwrap();
    for (part, (name, fault)) in area.split_evenly((5, 1)).iter().zip(&faults) {
        let observer = observe(fault, 1);
        let caption = format!(
            "{name}: requests asked a second (bars, where sent) and state \
             (line: 0 heard, 1 quiet, 2 silent, 3 cut)"
        );
        let mut chart = ChartBuilder::on(part)
            .caption(caption, ("sans-serif", 12))
            .margin(6)
            .x_label_area_size(18)
            .y_label_area_size(30)
            .build_cartesian_2d(0.0..100.0, 0.0..45.0)
            .unwrap();
        chart.configure_mesh().max_light_lines(0).x_labels(11).y_labels(4).draw().unwrap();
        for interval in &observer.intervals {
            let until_s = interval.ended_at.0 / MICROS_PER_S;
            let Some(requests) = observer.value(Metric::RequestsOffered, until_s) else { continue };
            let from_x = until_s as f64 - 4.8;
            let until_x = until_s as f64 - 0.2;
            let style = RGBColor(170, 195, 225).filled();
            let bar = Rectangle::new([(from_x, 0.0), (until_x, requests / 5.0)], style);
            chart.draw_series([bar]).unwrap();
        }
        let states = observer.states_by_second.iter().map(|(second, zones)| {
            let state = zones[ZONE_INDEX].load_reports;
            (*second as f64, 12.0 * state.number())
        });
        chart.draw_series(LineSeries::new(states, RGBColor(190, 40, 40).stroke_width(2))).unwrap();
    }
    area.present().unwrap();
}
