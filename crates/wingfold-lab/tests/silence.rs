//! Five pictures of silence, played in the emulator: a cut hall, a quiet one, a dead collector, late sums, and a hall with
//! no traffic at all. Each looks otherwise to whoever watches the figures, at every moment that matters.

use std::collections::BTreeMap;
use wingfold_director::interface::{Action, Event, Micros, Timestamp, ZoneId};
use wingfold_director::Director;
use wingfold_lab::simulation::{simulate_observed, Observer};
use wingfold_lab::Scenario;
use wingfold_metrics::meter::{CallCounts, ExternalValues};
use wingfold_metrics::{Interval, Meter, Metric, SourceState, Value};

/// Counts for director 0 as the engine does.
struct Watch {
    meter: Option<Meter>,
    /// By second: the states of each zone's sums, collector and first class, and the zone's lag.
    seen: BTreeMap<u64, Vec<(SourceState, SourceState, SourceState)>>,
    intervals: Vec<Interval>,
}

impl Observer for Watch {
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
        let meter = self.meter.get_or_insert_with(|| Meter::new(now, Micros(5_000_000), module, &classes));
        for event in events {
            meter.record_event(now, event);
            // In the emulator sums are all that a collector says.
            if let Event::LoadReport { zone, .. } = event {
                meter.record_collector_activity(now, zone, 1);
            }
        }
        let lines = actions.iter().filter(|action| matches!(action, Action::SetEntry { .. })).count();
        meter.record_call(CallCounts { duration_us: 100, messages: 1, lines, queued_lines: lines as f64 });
        meter.update(now, module);
        let states = |zone: &ZoneId| {
            let states = meter.source_states(zone).expect("it is a zone of the settings");
            (states.load_reports, states.collector, states.classes[0])
        };
        let zones = &module.settings().zones;
        self.seen.insert(now.0 / 1_000_000, zones.iter().map(states).collect());
        let write_delays = hdrhistogram::Histogram::new(2).unwrap();
        let external = ExternalValues { write_delays: &write_delays, totals: &[], gauges: &[] };
        self.intervals.extend(meter.end_interval(now, module, external));
    }
}

/// Plays a minute and a half with one trouble in hall b from 30 to 60 s; one director, so that all proxies are its own.
fn watch(trouble: &str, seed: u64) -> Watch {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/example.hcl");
    let text = std::fs::read_to_string(path).unwrap();
    let site = &text[..text.find("fault \"slow\"").unwrap()];
    let site =
        site.replace("directors = 2", "directors = 1").replace("length   = \"60s\"", "length = \"100s\"");
    let plan =
        Scenario::read("picture", &format!("{site}\n{trouble}")).unwrap_or_else(|faults| panic!("{faults}"));
    let mut watch = Watch { meter: None, seen: BTreeMap::new(), intervals: Vec::new() };
    simulate_observed(&plan, seed, None, &mut watch).unwrap();
    watch
}

fn fault(kind: &str, more: &str) -> String {
    format!("fault \"{kind}\" {{\n  at = \"30s\"\n  lasts = \"30s\"\n{more}}}\n")
}

impl Watch {
    /// The states of a hall in a span of seconds, each once, in their order.
    fn states(&self, zone: usize, from: u64, until: u64) -> Vec<(SourceState, SourceState, SourceState)> {
        let mut states: Vec<_> = self.seen.range(from..until).map(|(_, zones)| zones[zone]).collect();
        states.dedup();
        states
    }

    /// A figure of a hall in the interval that ends at a second; `None`: it was not sent.
    fn figure(&self, metric: Metric, zone: &str, until: u64) -> Option<f64> {
        let interval = self
            .intervals
            .iter()
            .find(|interval| interval.ended_at.0 == until * 1_000_000)
            .expect("it ended");
        let of = |sample: &&wingfold_metrics::Sample| sample.metric == metric && *sample.labels[0] == *zone;
        interval.samples.iter().find(of).map(|sample| match sample.value {
            Value::Count(count) => count as f64,
            Value::Gauge(value) => value,
            Value::Distribution(distribution) => distribution.count as f64,
        })
    }
}

/// A hall with a fiftieth of the others' traffic, all night.
const QUIET: &str =
    "fault \"traffic\" {\n  at = \"0s\"\n  lasts = \"99s\"\n  zone = \"hillington\"\n  size = 0.02\n}\n";
const HEARD: (SourceState, SourceState, SourceState) =
    (SourceState::Reporting, SourceState::Reporting, SourceState::Reporting);

#[test]
fn a_cut_hall_is_cut_until_it_is_heard_again_and_sends_no_zeros() {
    for seed in 1..=5 {
        // Hall a is the director's: cut off from it are b's streams, b's collector and b's hosts.
        let watch = watch(&fault("cut", "  zone = \"hillington\"\n"), seed);
        assert_eq!(watch.states(1, 8, 29), [HEARD], "seed {seed}");
        assert_eq!(
            watch.states(1, 42, 59),
            [(SourceState::Partitioned, SourceState::Partitioned, SourceState::Partitioned)],
            "seed {seed}"
        );
        assert_eq!(watch.states(1, 68, 98), [HEARD], "seed {seed}");
        // Between, it goes from heard to cut and nowhere else; the other halls are heard all the time.
        let between = watch.states(1, 29, 42);
        assert!(
            between.iter().all(|(sums, ..)| matches!(
                sums,
                SourceState::Reporting | SourceState::Partitioned | SourceState::Silent
            )),
            "{between:?}"
        );
        assert_eq!(watch.states(0, 8, 98), [HEARD], "seed {seed}");
        for until in [45, 50, 55] {
            assert_eq!(watch.figure(Metric::TriesTotal, "hillington", until), None, "no zero is sent");
            assert_eq!(watch.figure(Metric::ServiceAsked, "hillington", until), None);
        }
        let ages = [45, 50, 55].map(|until| watch.figure(Metric::ZoneAge, "hillington", until).unwrap());
        assert!(
            ages[0] > 10.0 && ages[1] > ages[0] + 4.0 && ages[2] > ages[1] + 4.0,
            "its age rises: {ages:?}"
        );
        assert_eq!(watch.figure(Metric::ZoneState, "hillington", 50), Some(3.0));
    }
}

#[test]
fn a_quiet_hall_is_heard_or_quiet_and_never_silent_or_cut() {
    for seed in 1..=5 {
        let watch = watch(QUIET, seed);
        for (sums, collector, class) in watch.states(1, 25, 98) {
            let quiet =
                sums <= SourceState::Quiet && collector <= SourceState::Quiet && class <= SourceState::Quiet;
            assert!(quiet, "seed {seed}: {sums:?} {collector:?} {class:?}");
        }
    }
}

#[test]
fn a_dead_collector_is_silent_while_its_hall_speaks() {
    for seed in 1..=5 {
        let watch = watch(&fault("collector_dead", "  zone = \"hillington\"\n"), seed);
        assert_eq!(
            watch.states(1, 40, 59),
            [(SourceState::Silent, SourceState::Silent, SourceState::Reporting)],
            "seed {seed}"
        );
        assert_eq!(watch.states(1, 66, 98), [HEARD]);
        assert_eq!(watch.figure(Metric::TriesTotal, "hillington", 50), None, "what is not known is not sent");
        assert!(watch.figure(Metric::ServiceAsked, "hillington", 50).unwrap() > 50.0, "what is known is");
    }
}

#[test]
fn late_sums_are_heard_with_a_lag_and_booked_to_their_time() {
    for seed in 1..=5 {
        let watch = watch(&fault("late_reports", "  by = \"3s\"\n"), seed);
        // A gap of three seconds and a half at its beginning may look like silence for a moment; then it is heard.
        assert_eq!(watch.states(1, 40, 59), [HEARD], "seed {seed}");
        let lag = watch.figure(Metric::ZoneLag, "hillington", 45).unwrap();
        assert!((1.5..4.5).contains(&lag), "seed {seed}: {lag}");
        assert!(watch.figure(Metric::TriesLate, "hillington", 45).unwrap() > 50.0, "late news is marked");
        assert_eq!(watch.figure(Metric::TriesLate, "hillington", 25), Some(0.0), "seed {seed}");
        // Every interval that ends while sums are late is sent again with what came for it afterwards.
        let late =
            watch.intervals.iter().filter(|interval| (40..=60).contains(&(interval.ended_at.0 / 1_000_000)));
        assert!(late.filter(|interval| !interval.corrections.is_empty()).count() >= 3, "seed {seed}");
    }
}

#[test]
fn a_hall_without_traffic_is_quiet_from_its_first_moment_and_sends_no_zeros() {
    for seed in 1..=5 {
        let none =
            "fault \"traffic\" {\n  at = \"0s\"\n  lasts = \"99s\"\n  zone = \"hillington\"\n  size = 0\n}\n";
        let watch = watch(none, seed);
        let states = watch.states(1, 20, 95);
        // Its proxies joined with the rate they usually get: what is due does not come, and nothing speaks of a cut.
        assert!(
            states
                .iter()
                .all(|(sums, _, class)| *sums != SourceState::Partitioned
                    && *class != SourceState::Partitioned),
            "{states:?}"
        );
        assert_eq!(watch.figure(Metric::TriesTotal, "hillington", 50), None);
        assert_eq!(watch.figure(Metric::ServiceAsked, "hillington", 50), None);
        assert!(watch.figure(Metric::ZoneAge, "hillington", 50).unwrap() > 45.0);
        assert_eq!(watch.figure(Metric::ProxiesJoined, "hillington", 50), Some(3.0), "its proxies are there");
    }
}

#[test]
fn the_five_pictures_differ() {
    let troubles = [
        fault("cut", "  zone = \"hillington\"\n"),
        QUIET.to_string(),
        fault("collector_dead", "  zone = \"hillington\"\n"),
        fault("late_reports", "  by = \"3s\"\n"),
        "fault \"traffic\" {\n  at = \"0s\"\n  lasts = \"99s\"\n  zone = \"hillington\"\n  size = 0\n}\n"
            .to_string(),
    ];
    let picture = |trouble: &String| {
        let watch = watch(trouble, 1);
        let (sums, collector, class) = watch.states(1, 55, 56)[0];
        let late = watch.figure(Metric::ZoneLag, "hillington", 55).unwrap() > 1.5;
        let asked = watch.figure(Metric::ServiceAsked, "hillington", 55).is_some();
        let joined = watch.figure(Metric::ProxiesJoined, "hillington", 55).unwrap() > 0.0;
        (sums.name(), collector.name(), class.name(), late, asked, joined)
    };
    let pictures: Vec<_> = troubles.iter().map(picture).collect();
    let different: std::collections::BTreeSet<_> = pictures.iter().collect();
    assert_eq!(different.len(), 5, "{pictures:#?}");
}

#[test]
#[ignore = "draws docs/charts/five-pictures.svg anew"]
fn draw_the_pictures() {
    use plotters::prelude::*;
    let troubles = [
        ("cut off", fault("cut", "  zone = \"hillington\"\n")),
        ("a quiet night", QUIET.to_string()),
        ("its collector is dead", fault("collector_dead", "  zone = \"hillington\"\n")),
        ("sums come late", fault("late_reports", "  by = \"3s\"\n")),
        ("no traffic", fault("traffic", "  zone = \"hillington\"\n  size = 0\n")),
    ];
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/charts/five-pictures.svg");
    std::fs::create_dir_all(std::path::Path::new(path).parent().unwrap()).unwrap();
    let area = SVGBackend::new(path, (760, 900)).into_drawing_area();
    area.fill(&WHITE).unwrap();
    for (part, (name, trouble)) in area.split_evenly((5, 1)).iter().zip(&troubles) {
        let watch = watch(trouble, 1);
        let mut chart = ChartBuilder::on(part)
            .caption(format!("{name}: requests asked a second (bars, where sent) and state (line: 0 heard, 1 quiet, 2 silent, 3 cut)"), ("sans-serif", 12))
            .margin(6)
            .x_label_area_size(18)
            .y_label_area_size(30)
            .build_cartesian_2d(0.0..100.0, 0.0..45.0)
            .unwrap();
        chart.configure_mesh().max_light_lines(0).x_labels(11).y_labels(4).draw().unwrap();
        for interval in &watch.intervals {
            let until = interval.ended_at.0 / 1_000_000;
            if let Some(asked) = watch.figure(Metric::ServiceAsked, "hillington", until) {
                let (from, to) = (until as f64 - 4.8, until as f64 - 0.2);
                let bar = Rectangle::new([(from, 0.0), (to, asked / 5.0)], RGBColor(170, 195, 225).filled());
                chart.draw_series([bar]).unwrap();
            }
        }
        let states = watch.seen.iter().map(|(second, zones)| (*second as f64, 12.0 * zones[1].0.number()));
        chart.draw_series(LineSeries::new(states, RGBColor(190, 40, 40).stroke_width(2))).unwrap();
    }
    area.present().unwrap();
}
