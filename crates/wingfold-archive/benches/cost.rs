//! What a capture costs the director: the same days without one, with one on a healthy disk, and with a disk that hangs,
//! in turn, for several seeds. `cargo bench -p wingfold-archive --bench cost [-- CALLS]`.

use hdrhistogram::Histogram;
use std::io;
use std::time::{Duration, Instant};
use wingfold_archive::{SegmentFolder, SegmentStore, WriterConfig, WriterQueue};
use wingfold_capture::model::SegmentMeta;
use wingfold_capture::replay::{ReplayMode, Replayer};
use wingfold_capture::segment_writer::DiskOperation;
use wingfold_capture::{entries, Head, Recorder, SegmentLimits};
use wingfold_director::interface::*;
use wingfold_director::Director;

const QUEUE_BYTES: usize = 8 << 20;

struct Size {
    proxies: u32,
    hosts: u32,
    zones: usize,
    connection_idle_us: u64,
}

/// A store that hangs at its first operation.
struct HangingStore;

impl SegmentStore for HangingStore {
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>> {
        Ok(Vec::new())
    }
    fn apply(&mut self, _: &DiskOperation) -> io::Result<()> {
        loop {
            std::thread::park();
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum CaptureMode {
    Off,
    On,
    Hanging,
}

fn settings(size: &Size) -> Settings {
    let class = |objective_us: u64, repeat_safety| Class {
        latency_objective: Micros(objective_us),
        deadline: Micros(3 * objective_us),
        priority_weight: 1.0,
        repeat_safety,
        own_zone_only: false,
        allowed_zones: Vec::new(),
        allowed_machine_types: Vec::new(),
    };
    Settings {
        directors: 1,
        zones: (0..size.zones).map(|zone| ZoneId(format!("hall-{zone}").into())).collect(),
        classes: vec![
            class(1_000_000, RepeatSafety::Idempotent),
            class(600_000, RepeatSafety::Deduplicated),
            class(800_000, RepeatSafety::AtMostOnce),
        ],
        proxies: size.proxies,
        send_rate_lines_per_s: 20_000.0,
        message_overhead_lines: 4.0,
        max_queued_lines: 40_000.0,
        mean_push_delay: Micros(250_000),
        max_push_delay: Micros(700_000),
        max_time_without_entry: Micros(3_000_000),
        report_period: Micros(1_000_000),
        max_report_lines_per_s: 10_000.0,
        proxy_ejection_threshold: 3,
        cross_zone_price: 0.06,
        initial_capacity_ratio: 0.2,
        warm_up: Micros(14_000_000),
        drain_grace: Micros(3_400_000),
        overload_factor: 4.0,
        overload_duration: Micros(3_000_000),
        poll_within: Micros(10_000_000),
        connection_idle_timeout: Micros(size.connection_idle_us),
        ..Settings::default()
    }
}

/// The events of a day: load reports of each zone on each host and usage of each proxy once a second, in four calls.
struct GeneratedDay {
    size: Size,
    state: u64,
    call: u64,
}

impl GeneratedDay {
    fn random(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(1);
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }

    #[expect(clippy::too_many_lines, reason = "listed in ROADMAP.md")]
    fn next(&mut self) -> (Timestamp, Vec<Event>) {
        let zone = |at: usize| ZoneId(format!("hall-{at}").into());
        let host = |at: u32| HostId(format!("10.0.{}.{}:8443", at / 250, at % 250).into());
        let now = Timestamp(1_000_000 + self.call * 250_000);
        let call = self.call;
        self.call += 1;
        let mut events = vec![Event::TimerFired(0)];
        if call == 0 {
            let entry = |at: u32| Endpoint {
                host: host(at),
                machine_type: "box".into(),
                zone: zone(at as usize % self.size.zones),
                readiness: Readiness::Ready,
                weight: 1.0,
                started_at: None,
            };
            events.push(Event::EndpointList {
                kind: EndpointListKind::Cached,
                endpoints: (0..self.size.hosts).map(entry).collect(),
            });
            let zones = self.size.zones;
            events.extend((0..self.size.proxies).map(|at| Event::ProxyConnected {
                proxy: ProxyId(at),
                zone: zone(at as usize % zones),
                requests_per_s: 4.0,
            }));
            return (now, events);
        }
        let over = Micros(1_000_000);
        for at in (0..self.size.hosts).filter(|at| u64::from(at % 4) == call % 4) {
            for from in 0..self.size.zones {
                let slow = if (u64::from(at) * 7 + call / 60).is_multiple_of(29) { 6.0 } else { 1.0 };
                let mean = Micros(((0.08 + 0.06 * self.random()) * slow * 1e6) as u64);
                let total = 1 + (self.random() * 8.0) as u64;
                let failed = u64::from(self.random() < 0.02);
                let load = HostLoad { utilization: Some(0.4 + 0.3 * self.random()), ..HostLoad::default() };
                events.push(Event::LoadReport {
                    zone: zone(from),
                    host: host(at),
                    attempts: AttemptCounts { total, failed, period: over },
                    mean_latency: mean,
                    load,
                });
            }
        }
        for at in (0..self.size.proxies).filter(|at| u64::from(at % 4) == call % 4) {
            let total = 1 + (self.random() * 6.0) as u64;
            events.push(Event::Usage {
                proxy: ProxyId(at),
                class: ClassId(at as usize % 3),
                requests: AttemptCounts { total, failed: 0, period: over },
            });
        }
        // A host drains or starts from time to time.
        if call % 40 == 20 {
            let at = (self.random() * f64::from(self.size.hosts)) as u32;
            let readiness = if call % 80 == 20 { Readiness::Draining } else { Readiness::Ready };
            let started = (readiness == Readiness::Ready).then_some(now);
            let zone = zone(at as usize % self.size.zones);
            let entry = Endpoint {
                host: host(at),
                machine_type: "box".into(),
                zone,
                readiness,
                weight: 1.0,
                started_at: started,
            };
            events.push(Event::EndpointList { kind: EndpointListKind::Changes, endpoints: vec![entry] });
        }
        (now, events)
    }
}

struct Cost {
    calls: Histogram<u64>,
    mean_us: f64,
    /// The share of the recorder in the time of a call, as a ratio.
    recorder_share: f64,
    cpu_s: f64,
    events: u64,
    bytes: u64,
    checkpoint: (usize, Duration),
    replay: f64,
}

/// CPU time of the whole process, its writer's thread included, in seconds.
fn cpu() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

#[expect(clippy::too_many_lines, reason = "listed in ROADMAP.md")]
fn run(size: Size, seed: u64, calls: u64, how: CaptureMode) -> Cost {
    let settings_of_size = settings(&size);
    let folder = std::env::temp_dir().join(format!("wingfold-cost-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let head = Head { settings: settings_of_size.clone(), seed, director: "n".into(), ..Head::default() };
    let config = WriterConfig { head, limits: SegmentLimits::default(), queue_bytes: QUEUE_BYTES };
    let disk: Option<Box<dyn SegmentStore>> = match how {
        CaptureMode::Off => None,
        CaptureMode::On => Some(Box::new(SegmentFolder::new(&folder, "n"))),
        CaptureMode::Hanging => Some(Box::new(HangingStore)),
    };
    let started = disk.map(|disk| wingfold_archive::spawn(disk, config, |_| ()).expect("a thread starts"));
    let (mut recorder, handle): (Option<Recorder<WriterQueue>>, _) = match started {
        None => (None, None),
        Some((queue, handle)) => (Some(Recorder::new(queue)), Some(handle)),
    };
    let mut day = GeneratedDay { size, state: seed, call: 0 };
    let mut director = Director::new(settings_of_size, seed);
    let mut histogram = Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("these bounds are sound");
    let (mut actions, mut total, mut recorder_time, mut events) =
        (Vec::new(), Duration::ZERO, Duration::ZERO, 0);
    let mut checkpoint = (0, Duration::ZERO);
    let before = cpu();
    for number in 0..calls {
        let (now, day_events) = day.next();
        events += day_events.len() as u64;
        actions.clear();
        let started_at = Instant::now();
        if let Some(recorder) = &mut recorder {
            recorder.before_call(now, &director);
        }
        let module = Instant::now();
        director.handle(now, &day_events, &mut actions);
        let module = module.elapsed();
        if let Some(recorder) = &mut recorder {
            recorder.after_call(now, &day_events, &actions, director.digest());
        }
        let elapsed = started_at.elapsed();
        // The first call fills every table, which is unusual.
        if number > 0 {
            histogram.saturating_record(elapsed.as_nanos() as u64);
            total += elapsed;
            recorder_time += elapsed - module;
        }
        if number == calls / 2 && how == CaptureMode::Off {
            let started_at = Instant::now();
            checkpoint.0 = director.checkpoint().len();
            checkpoint.1 = started_at.elapsed();
        }
    }
    let cpu_s = cpu() - before;
    let (mut bytes, mut replay) = (0, 0.0);
    if let Some(handle) = handle.filter(|_| how == CaptureMode::On) {
        handle.end(Duration::from_secs(60));
        let mut replayer = Replayer::new(ReplayMode::Strict);
        let started_at = Instant::now();
        for path in
            wingfold_archive::folder::segment_files(&folder.join("n")).expect("it was written").into_values()
        {
            let segment = wingfold_archive::folder::read_segment(&path).expect("it was written");
            bytes += segment.len() as u64;
            entries(&segment).for_each(|entry| drop(replayer.feed(entry).expect("it replays")));
        }
        assert!(
            replayer.first_difference.is_none() && replayer.report.calls == calls,
            "{:?}",
            replayer.report
        );
        replay = replayer.report.duration_s / started_at.elapsed().as_secs_f64();
    }
    let _ = std::fs::remove_dir_all(&folder);
    let mean_us = total.as_secs_f64() * 1e6 / (calls - 1) as f64;
    let recorder_share = recorder_time.as_secs_f64() / total.as_secs_f64();
    Cost { calls: histogram, mean_us, recorder_share, cpu_s, events, bytes, checkpoint, replay }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

#[expect(clippy::too_many_lines, reason = "listed in ROADMAP.md")]
fn main() {
    let asked = std::env::args().filter_map(|argument| argument.parse::<u64>().ok()).next();
    for (proxies, hosts, zones, connection_idle_us, calls, seeds) in
        [(60, 30, 3, 0, 4000, 21), (635, 511, 4, 4_000_000, 160, 5)]
    {
        let calls = asked.unwrap_or(calls);
        println!("{proxies} proxies x {hosts} hosts, {calls} calls a run, seeds 1 to {seeds}");
        let mut rows: Vec<[Cost; 3]> = Vec::new();
        for seed in 1..=seeds {
            let one = |how| run(Size { proxies, hosts, zones, connection_idle_us }, seed, calls, how);
            // The order varies, so that a machine that becomes slower does not look like a cost.
            let row = match seed % 2 {
                0u64 => {
                    let off = one(CaptureMode::Off);
                    [off, one(CaptureMode::On), one(CaptureMode::Hanging)]
                }
                _ => {
                    let (frozen, on) = (one(CaptureMode::Hanging), one(CaptureMode::On));
                    [one(CaptureMode::Off), on, frozen]
                }
            };
            rows.push(row);
        }
        for (at, name) in ["off", "on", "frozen disk"].iter().enumerate() {
            let of = |value: &dyn Fn(&Cost) -> f64| median(rows.iter().map(|row| value(&row[at])).collect());
            let ratio = |value: &dyn Fn(&Cost) -> f64| {
                median(rows.iter().map(|row| value(&row[at]) / value(&row[0])).collect())
            };
            let quantile = |q: f64| move |cost: &Cost| cost.calls.value_at_quantile(q) as f64 / 1e3;
            println!(
                "  {name:<12} mean {:.1} us ({:.3}), p50 {:.1} us ({:.3}), p99 {:.1} us ({:.3}), max {:.0} us; the recorder itself {:.2} %; CPU of the process ({:.3})",
                of(&|cost| cost.mean_us),
                ratio(&|cost| cost.mean_us),
                of(&quantile(0.5)),
                ratio(&quantile(0.5)),
                of(&quantile(0.99)),
                ratio(&quantile(0.99)),
                of(&|cost| cost.calls.max() as f64 / 1e3),
                100.0 * of(&|cost| cost.recorder_share),
                ratio(&|cost| cost.cpu_s.max(0.01)),
            );
        }
        let on = |value: &dyn Fn(&Cost) -> f64| median(rows.iter().map(|row| value(&row[1])).collect());
        let off = |value: &dyn Fn(&Cost) -> f64| median(rows.iter().map(|row| value(&row[0])).collect());
        let secs = calls as f64 / 4.0;
        println!(
            "  {:.1} bytes an event, {:.1} MB an hour; replay {:.0} times as fast; a checkpoint {:.0} KB in {:.2} ms\n",
            on(&|cost| cost.bytes as f64 / cost.events as f64),
            on(&|cost| cost.bytes as f64) / secs * 3600.0 / 1e6,
            on(&|cost| cost.replay),
            off(&|cost| cost.checkpoint.0 as f64) / 1e3,
            off(&|cost| cost.checkpoint.1.as_secs_f64()) * 1e3,
        );
    }
}
