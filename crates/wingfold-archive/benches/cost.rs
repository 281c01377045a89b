//! What a capture costs the director: the same days without one, with one on a healthy disk, and with a disk that hangs,
//! in turn, for several seeds. `cargo bench -p wingfold-archive --bench cost [-- CALLS]`.

use hdrhistogram::Histogram;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use wingfold_archive::folder::{read_segment, segment_files};
use wingfold_archive::{SegmentFolder, SegmentStore, WriterConfig, WriterHandle, WriterQueue};
use wingfold_capture::model::SegmentMeta;
use wingfold_capture::replay::{ReplayMode, Replayer};
use wingfold_capture::segment_writer::DiskOperation;
use wingfold_capture::{entries, Head, Recorder, SegmentLimits};
use wingfold_director::interface::*;
use wingfold_director::Director;

/// Bytes that may wait for the writer.
const QUEUE_BYTES: usize = 8 << 20;

/// Reports cover a second.
const REPORT_PERIOD: Micros = Micros(1_000_000);

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

    fn next(&mut self) -> (Timestamp, Vec<Event>) {
        let now = Timestamp(1_000_000 + self.call * 250_000);
        let call = self.call;
        self.call += 1;
        let mut events = vec![Event::TimerFired(0)];
        if call == 0 {
            self.add_beginning(&mut events);
            return (now, events);
        }
        self.add_load_reports(call, &mut events);
        self.add_usage(call, &mut events);
        // A host drains or starts from time to time.
        if call % 40 == 20 {
            events.push(self.changed_host(call, now));
        }
        (now, events)
    }

    /// All hosts are listed, and all proxies connect.
    fn add_beginning(&self, events: &mut Vec<Event>) {
        let endpoints = (0..self.size.hosts).map(|at| self.endpoint(at, Readiness::Ready, None)).collect();
        events.push(Event::EndpointList { kind: EndpointListKind::Cached, endpoints });
        events.extend((0..self.size.proxies).map(|at| Event::ProxyConnected {
            proxy: ProxyId(at),
            zone: zone(at as usize % self.size.zones),
            requests_per_s: 4.0,
        }));
    }

    /// Every zone reports about a quarter of the hosts.
    fn add_load_reports(&mut self, call: u64, events: &mut Vec<Event>) {
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
                    attempts: AttemptCounts { total, failed, period: REPORT_PERIOD },
                    mean_latency: mean,
                    load,
                });
            }
        }
    }

    /// A quarter of the proxies report their usage.
    fn add_usage(&mut self, call: u64, events: &mut Vec<Event>) {
        for at in (0..self.size.proxies).filter(|at| u64::from(at % 4) == call % 4) {
            let total = 1 + (self.random() * 6.0) as u64;
            events.push(Event::Usage {
                proxy: ProxyId(at),
                class: ClassId(at as usize % 3),
                requests: AttemptCounts { total, failed: 0, period: REPORT_PERIOD },
            });
        }
    }

    fn changed_host(&mut self, call: u64, now: Timestamp) -> Event {
        let at = (self.random() * f64::from(self.size.hosts)) as u32;
        let readiness = if call % 80 == 20 { Readiness::Draining } else { Readiness::Ready };
        let started_at = (readiness == Readiness::Ready).then_some(now);
        let endpoints = vec![self.endpoint(at, readiness, started_at)];
        Event::EndpointList { kind: EndpointListKind::Changes, endpoints }
    }

    fn endpoint(&self, at: u32, readiness: Readiness, started_at: Option<Timestamp>) -> Endpoint {
        Endpoint {
            host: host(at),
            machine_type: "box".into(),
            zone: zone(at as usize % self.size.zones),
            readiness,
            weight: 1.0,
            started_at,
        }
    }
}

fn zone(at: usize) -> ZoneId {
    ZoneId(format!("hall-{at}").into())
}

fn host(at: u32) -> HostId {
    HostId(format!("10.0.{}.{}:8443", at / 250, at % 250).into())
}

/// What a run cost.
struct Cost {
    calls: Histogram<u64>,
    mean_us: f64,
    /// The share of the recorder in the time of a call, as a ratio.
    recorder_share: f64,
    cpu_s: f64,
    events: u64,
    capture_bytes: u64,
    checkpoint: CheckpointCost,
    /// How many times as fast as the run a replay is.
    replay_speed: f64,
}

/// The size of a checkpoint, and the time that it takes to make.
#[derive(Clone, Copy, Default)]
struct CheckpointCost {
    bytes: usize,
    duration: Duration,
}

/// CPU time of the whole process, its writer's thread included, in seconds.
fn cpu_s() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

/// A director whose calls are measured, and recorded where capture is on.
struct MeasuredDirector {
    director: Director,
    recorder: Option<Recorder<WriterQueue>>,
    calls: Histogram<u64>,
    total: Duration,
    recorder_time: Duration,
    events: u64,
    actions: Vec<Action>,
}

impl MeasuredDirector {
    fn new(settings: Settings, seed: u64, queue: Option<WriterQueue>) -> Self {
        MeasuredDirector {
            director: Director::new(settings, seed),
            recorder: queue.map(Recorder::new),
            calls: Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("these bounds are sound"),
            total: Duration::ZERO,
            recorder_time: Duration::ZERO,
            events: 0,
            actions: Vec::new(),
        }
    }

    fn call(&mut self, number: u64, now: Timestamp, events: &[Event]) {
        self.events += events.len() as u64;
        self.actions.clear();
        let started_at = Instant::now();
        if let Some(recorder) = &mut self.recorder {
            recorder.before_call(now, &self.director);
        }
        let handled_from = Instant::now();
        self.director.handle(now, events, &mut self.actions);
        let handled_in = handled_from.elapsed();
        if let Some(recorder) = &mut self.recorder {
            recorder.after_call(now, events, &self.actions, self.director.digest());
        }
        let elapsed = started_at.elapsed();
        // The first call fills every table, which is unusual.
        if number > 0 {
            self.calls.saturating_record(elapsed.as_nanos() as u64);
            self.total += elapsed;
            self.recorder_time += elapsed - handled_in;
        }
    }

    fn measure_checkpoint(&self) -> CheckpointCost {
        let started_at = Instant::now();
        let bytes = self.director.checkpoint().len();
        CheckpointCost { bytes, duration: started_at.elapsed() }
    }
}

/// Starts the writer of a capture; `None` where none is made.
fn start_writer(
    mode: CaptureMode,
    folder: &Path,
    settings: &Settings,
    seed: u64,
) -> Option<(WriterQueue, WriterHandle)> {
    let head = Head { settings: settings.clone(), seed, director: "n".into(), ..Head::default() };
    let config = WriterConfig { head, limits: SegmentLimits::default(), queue_bytes: QUEUE_BYTES };
    let store: Box<dyn SegmentStore> = match mode {
        CaptureMode::Off => return None,
        CaptureMode::On => Box::new(SegmentFolder::new(folder, "n")),
        CaptureMode::Hanging => Box::new(HangingStore),
    };
    Some(wingfold_archive::spawn(store, config, |_| ()).expect("a thread starts"))
}

/// Replays a capture; returns its bytes, and how many times as fast as the run the replay was.
fn replay(capture: &Path, calls: u64) -> (u64, f64) {
    let mut replayer = Replayer::new(ReplayMode::Strict);
    let mut bytes = 0;
    let started_at = Instant::now();
    for path in segment_files(capture).expect("it was written").into_values() {
        let segment = read_segment(&path).expect("it was written");
        bytes += segment.len() as u64;
        entries(&segment).for_each(|entry| drop(replayer.feed(entry).expect("it replays")));
    }
    let report = &replayer.report;
    assert!(replayer.first_difference.is_none() && report.calls == calls, "{report:?}");
    (bytes, report.duration_s / started_at.elapsed().as_secs_f64())
}

/// Plays a day of so many calls.
fn run(size: Size, seed: u64, calls: u64, mode: CaptureMode) -> Cost {
    let settings = settings(&size);
    let folder = std::env::temp_dir().join(format!("wingfold-cost-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let (queue, handle) = start_writer(mode, &folder, &settings, seed).unzip();
    let mut day = GeneratedDay { size, state: seed, call: 0 };
    let mut measured = MeasuredDirector::new(settings, seed, queue);
    let mut checkpoint = CheckpointCost::default();
    let cpu_before_s = cpu_s();
    for number in 0..calls {
        let (now, events) = day.next();
        measured.call(number, now, &events);
        if number == calls / 2 && mode == CaptureMode::Off {
            checkpoint = measured.measure_checkpoint();
        }
    }
    let cpu_s = cpu_s() - cpu_before_s;
    let (mut capture_bytes, mut replay_speed) = (0, 0.0);
    if let Some(handle) = handle.filter(|_| mode == CaptureMode::On) {
        handle.end(Duration::from_secs(60));
        (capture_bytes, replay_speed) = replay(&folder.join("n"), calls);
    }
    let _ = std::fs::remove_dir_all(&folder);
    let total_s = measured.total.as_secs_f64();
    Cost {
        mean_us: total_s * 1e6 / (calls - 1) as f64,
        recorder_share: measured.recorder_time.as_secs_f64() / total_s,
        calls: measured.calls,
        cpu_s,
        events: measured.events,
        capture_bytes,
        checkpoint,
        replay_speed,
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// The same day without a capture, with one, and with a disk that hangs.
struct Costs {
    off: Cost,
    on: Cost,
    hanging: Cost,
}

impl Costs {
    /// The order varies, so that a machine that becomes slower does not look like a cost.
    fn measure(seed: u64, run: impl Fn(CaptureMode) -> Cost) -> Self {
        if seed.is_multiple_of(2) {
            let off = run(CaptureMode::Off);
            let on = run(CaptureMode::On);
            let hanging = run(CaptureMode::Hanging);
            return Costs { off, on, hanging };
        }
        let hanging = run(CaptureMode::Hanging);
        let on = run(CaptureMode::On);
        let off = run(CaptureMode::Off);
        Costs { off, on, hanging }
    }

    fn of(&self, mode: CaptureMode) -> &Cost {
        match mode {
            CaptureMode::Off => &self.off,
            CaptureMode::On => &self.on,
            CaptureMode::Hanging => &self.hanging,
        }
    }
}

/// The median over all rows of a value of one mode.
fn median_of(rows: &[Costs], mode: CaptureMode, value: impl Fn(&Cost) -> f64) -> f64 {
    median(rows.iter().map(|row| value(row.of(mode))).collect())
}

/// The median over all rows of the ratio of a value to that without a capture.
fn median_ratio(rows: &[Costs], mode: CaptureMode, value: impl Fn(&Cost) -> f64) -> f64 {
    median(rows.iter().map(|row| value(row.of(mode)) / value(&row.off)).collect())
}

fn print_calls(rows: &[Costs], mode: CaptureMode, name: &str) {
    let of = |value: &dyn Fn(&Cost) -> f64| median_of(rows, mode, value);
    let ratio = |value: &dyn Fn(&Cost) -> f64| median_ratio(rows, mode, value);
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

fn print_sizes(rows: &[Costs], calls: u64) {
    let on = |value: &dyn Fn(&Cost) -> f64| median_of(rows, CaptureMode::On, value);
    let off = |value: &dyn Fn(&Cost) -> f64| median_of(rows, CaptureMode::Off, value);
    let day_s = calls as f64 / 4.0;
    println!(
        "  {:.1} bytes an event, {:.1} MB an hour; replay {:.0} times as fast; a checkpoint {:.0} KB in {:.2} ms\n",
        on(&|cost| cost.capture_bytes as f64 / cost.events as f64),
        on(&|cost| cost.capture_bytes as f64) / day_s * 3600.0 / 1e6,
        on(&|cost| cost.replay_speed),
        off(&|cost| cost.checkpoint.bytes as f64) / 1e3,
        off(&|cost| cost.checkpoint.duration.as_secs_f64()) * 1e3,
    );
}

fn main() {
    let requested_calls = std::env::args().filter_map(|argument| argument.parse::<u64>().ok()).next();
    for (proxies, hosts, zones, connection_idle_us, calls, seeds) in
        [(60, 30, 3, 0, 4000, 21), (635, 511, 4, 4_000_000, 160, 5)]
    {
        let calls = requested_calls.unwrap_or(calls);
        println!("{proxies} proxies x {hosts} hosts, {calls} calls a run, seeds 1 to {seeds}");
        let measure = |seed| {
            let size = || Size { proxies, hosts, zones, connection_idle_us };
            Costs::measure(seed, |mode| run(size(), seed, calls, mode))
        };
        let rows: Vec<Costs> = (1..=seeds).map(measure).collect();
        print_calls(&rows, CaptureMode::Off, "off");
        print_calls(&rows, CaptureMode::On, "on");
        print_calls(&rows, CaptureMode::Hanging, "frozen disk");
        print_sizes(&rows, calls);
    }
}
