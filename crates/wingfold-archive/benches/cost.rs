//! The cost of a capture for the director. For each seed the same calls are made without a capture, with a
//! capture on a healthy disk, and with a disk that hangs. `cargo bench -p wingfold-archive --bench cost [--
//! CALLS]`.

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

/// Largest size of the writer's queue, in bytes.
const QUEUE_BYTES: usize = 8 << 20;

/// Period that each load report and usage report covers.
const REPORT_PERIOD: Micros = Micros(1_000_000);

/// The size of the director's fleet.
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
    /// Without a capture.
    Off,
    /// With a capture on a healthy disk.
    On,
    /// With a capture on a disk that hangs.
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

/// Generates the events of a run with four calls a second. Once a second, each zone reports its load on each
/// host, and each proxy its usage.
struct EventGenerator {
    size: Size,
    /// State of the random number generator.
    state: u64,
    /// The number of the next call, from 0.
    call: u64,
}

impl EventGenerator {
    /// A random number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(1);
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The time and the events of the next call.
    fn next(&mut self) -> (Timestamp, Vec<Event>) {
        let now = Timestamp(1_000_000 + self.call * 250_000);
        let call = self.call;
        self.call += 1;
        let mut events = vec![Event::TimerFired(0)];
        if call == 0 {
            self.add_initial_events(&mut events);
            return (now, events);
        }
        self.add_load_reports(call, &mut events);
        self.add_usage(call, &mut events);
        // Every 10 s a host begins to drain, or starts.
        if call % 40 == 20 {
            events.push(self.changed_host(call, now));
        }
        (now, events)
    }

    /// Adds an endpoint list with all hosts, and the connections of all proxies.
    fn add_initial_events(&self, events: &mut Vec<Event>) {
        let hosts = 0..self.size.hosts;
        let endpoints = hosts.map(|number| self.endpoint(number, Readiness::Ready, None)).collect();
        events.push(Event::EndpointList { kind: EndpointListKind::Cached, endpoints });
        events.extend((0..self.size.proxies).map(|number| Event::ProxyConnected {
            proxy: ProxyId(number),
            zone: zone(number as usize % self.size.zones),
            requests_per_s: 4.0,
        }));
    }

    /// Adds the load reports of each zone on a quarter of the hosts.
    fn add_load_reports(&mut self, call: u64, events: &mut Vec<Event>) {
        for number in (0..self.size.hosts).filter(|number| u64::from(number % 4) == call % 4) {
            for from in 0..self.size.zones {
                let is_slow = (u64::from(number) * 7 + call / 60).is_multiple_of(29);
                let slowdown = if is_slow { 6.0 } else { 1.0 };
                let mean = Micros(((0.08 + 0.06 * self.random()) * slowdown * 1e6) as u64);
                let total = 1 + (self.random() * 8.0) as u64;
                let failed = u64::from(self.random() < 0.02);
                let load = HostLoad { utilization: Some(0.4 + 0.3 * self.random()), ..HostLoad::default() };
                events.push(Event::LoadReport {
                    zone: zone(from),
                    host: host(number),
                    attempts: AttemptCounts { total, failed, period: REPORT_PERIOD },
                    mean_latency: mean,
                    load,
                });
            }
        }
    }

    /// Adds the usage reports of a quarter of the proxies.
    fn add_usage(&mut self, call: u64, events: &mut Vec<Event>) {
        for number in (0..self.size.proxies).filter(|number| u64::from(number % 4) == call % 4) {
            let total = 1 + (self.random() * 6.0) as u64;
            events.push(Event::Usage {
                proxy: ProxyId(number),
                class: ClassId(number as usize % 3),
                requests: AttemptCounts { total, failed: 0, period: REPORT_PERIOD },
            });
        }
    }

    /// A change of the endpoint list: a random host begins to drain, or has started.
    fn changed_host(&mut self, call: u64, now: Timestamp) -> Event {
        let number = (self.random() * f64::from(self.size.hosts)) as u32;
        let readiness = if call % 80 == 20 { Readiness::Draining } else { Readiness::Ready };
        let started_at = (readiness == Readiness::Ready).then_some(now);
        let endpoints = vec![self.endpoint(number, readiness, started_at)];
        Event::EndpointList { kind: EndpointListKind::Changes, endpoints }
    }

    fn endpoint(&self, number: u32, readiness: Readiness, started_at: Option<Timestamp>) -> Endpoint {
        Endpoint {
            host: host(number),
            machine_type: "box".into(),
            zone: zone(number as usize % self.size.zones),
            readiness,
            weight: 1.0,
            started_at,
        }
    }
}

fn zone(number: usize) -> ZoneId {
    ZoneId(format!("hall-{number}").into())
}

fn host(number: u32) -> HostId {
    HostId(format!("10.0.{}.{}:8443", number / 250, number % 250).into())
}

/// The measurements of one run.
struct Cost {
    /// Durations of the calls, in ns.
    calls: Histogram<u64>,
    /// Mean duration of the calls.
    mean_us: f64,
    /// Time spent in the recorder, as a ratio of the duration of the calls.
    recorder_ratio: f64,
    /// CPU time of the process during the run.
    cpu_s: f64,
    events: u64,
    capture_bytes: u64,
    checkpoint: CheckpointCost,
    /// The recorded time as a ratio of the time that its replay takes.
    replay_speed: f64,
}

/// The size of a checkpoint, and the time that making it takes.
#[derive(Clone, Copy, Default)]
struct CheckpointCost {
    bytes: usize,
    duration: Duration,
}

/// CPU time of the process so far, including the writer's thread, in seconds.
fn cpu_s() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Fields 14 (user) and 15 (system) of /proc/PID/stat, counted here from the one after the command's name,
    // in units of 10 ms.
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

/// A director whose calls are measured, and recorded unless the capture is off.
struct MeasuredDirector {
    director: Director,
    recorder: Option<Recorder<WriterQueue>>,
    /// Durations of the calls, in ns.
    calls: Histogram<u64>,
    /// Time spent in all calls.
    total: Duration,
    /// Time spent in the recorder.
    recorder_time: Duration,
    events: u64,
    actions: Vec<Action>,
}

impl MeasuredDirector {
    fn new(settings: Settings, seed: u64, queue: Option<WriterQueue>) -> Self {
        MeasuredDirector {
            director: Director::new(settings, seed),
            recorder: queue.map(Recorder::new),
            calls: Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("the bounds are valid"),
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
        let handling_started_at = Instant::now();
        self.director.handle(now, events, &mut self.actions);
        let handling_time = handling_started_at.elapsed();
        if let Some(recorder) = &mut self.recorder {
            recorder.after_call(now, events, &self.actions, self.director.digest());
        }
        let elapsed = started_at.elapsed();
        // The first call fills all tables and is not representative.
        if number > 0 {
            self.calls.saturating_record(elapsed.as_nanos() as u64);
            self.total += elapsed;
            self.recorder_time += elapsed - handling_time;
        }
    }

    fn measure_checkpoint(&self) -> CheckpointCost {
        let started_at = Instant::now();
        let bytes = self.director.checkpoint().len();
        CheckpointCost { bytes, duration: started_at.elapsed() }
    }
}

/// Starts the writer of a capture; `None` if the capture is off.
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
    Some(wingfold_archive::spawn(store, config, |_| ()).expect("the writer's thread can be started"))
}

/// Replays a capture, and returns its size in bytes and the replay speed, see [`Cost::replay_speed`].
fn replay(capture: &Path, calls: u64) -> (u64, f64) {
    let mut replayer = Replayer::new(ReplayMode::Strict);
    let mut bytes = 0;
    let started_at = Instant::now();
    for path in segment_files(capture).expect("the capture folder exists").into_values() {
        let segment = read_segment(&path).expect("the segment is readable");
        bytes += segment.len() as u64;
        entries(&segment).for_each(|entry| drop(replayer.feed(entry).expect("the segment can be replayed")));
    }
    let report = &replayer.report;
    assert!(replayer.first_difference.is_none() && report.calls == calls, "{report:?}");
    (bytes, report.duration_s / started_at.elapsed().as_secs_f64())
}

/// Measures a run of `calls` calls.
fn run(size: Size, seed: u64, calls: u64, mode: CaptureMode) -> Cost {
    let settings = settings(&size);
    let folder = std::env::temp_dir().join(format!("wingfold-cost-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let (queue, handle) = start_writer(mode, &folder, &settings, seed).unzip();
    let mut generator = EventGenerator { size, state: seed, call: 0 };
    let mut measured = MeasuredDirector::new(settings, seed, queue);
    let mut checkpoint = CheckpointCost::default();
    let cpu_before_s = cpu_s();
    for number in 0..calls {
        let (now, events) = generator.next();
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
        recorder_ratio: measured.recorder_time.as_secs_f64() / total_s,
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

/// The measurements of the three runs with one seed.
struct SeedCosts {
    off: Cost,
    on: Cost,
    hanging: Cost,
}

impl SeedCosts {
    /// Runs all modes with a seed. The order of the modes alternates between seeds, so that a machine that
    /// becomes slower in the course of the benchmark does not count as a cost of one mode.
    fn measure(seed: u64, run: impl Fn(CaptureMode) -> Cost) -> Self {
        if seed.is_multiple_of(2) {
            let off = run(CaptureMode::Off);
            let on = run(CaptureMode::On);
            let hanging = run(CaptureMode::Hanging);
            return SeedCosts { off, on, hanging };
        }
        let hanging = run(CaptureMode::Hanging);
        let on = run(CaptureMode::On);
        let off = run(CaptureMode::Off);
        SeedCosts { off, on, hanging }
    }

    fn in_mode(&self, mode: CaptureMode) -> &Cost {
        match mode {
            CaptureMode::Off => &self.off,
            CaptureMode::On => &self.on,
            CaptureMode::Hanging => &self.hanging,
        }
    }
}

/// The median over all seeds of a value in one mode.
fn median_of(costs: &[SeedCosts], mode: CaptureMode, value: impl Fn(&Cost) -> f64) -> f64 {
    median(costs.iter().map(|seed| value(seed.in_mode(mode))).collect())
}

/// The median over all seeds of the ratio of a value in one mode to the same value without a capture.
fn median_ratio(costs: &[SeedCosts], mode: CaptureMode, value: impl Fn(&Cost) -> f64) -> f64 {
    median(costs.iter().map(|seed| value(seed.in_mode(mode)) / value(&seed.off)).collect())
}

/// Prints the durations of the calls in one mode, and in parentheses their ratios to those without a capture.
fn print_calls(costs: &[SeedCosts], mode: CaptureMode, name: &str) {
    let median = |value: &dyn Fn(&Cost) -> f64| median_of(costs, mode, value);
    let ratio = |value: &dyn Fn(&Cost) -> f64| median_ratio(costs, mode, value);
    let quantile = |q: f64| move |cost: &Cost| cost.calls.value_at_quantile(q) as f64 / 1e3;
    println!(
        "  {name:<12} mean {:.1} us ({:.3}), p50 {:.1} us ({:.3}), p99 {:.1} us ({:.3}), max {:.0} us; \
         recorder {:.2} %; CPU time of the process ({:.3})",
        median(&|cost| cost.mean_us),
        ratio(&|cost| cost.mean_us),
        median(&quantile(0.5)),
        ratio(&quantile(0.5)),
        median(&quantile(0.99)),
        ratio(&quantile(0.99)),
        median(&|cost| cost.calls.max() as f64 / 1e3),
        100.0 * median(&|cost| cost.recorder_ratio),
        ratio(&|cost| cost.cpu_s.max(0.01)),
    );
}

/// Prints the sizes of captures and checkpoints, and the speed of replays.
fn print_sizes(costs: &[SeedCosts], calls: u64) {
    let on = |value: &dyn Fn(&Cost) -> f64| median_of(costs, CaptureMode::On, value);
    let off = |value: &dyn Fn(&Cost) -> f64| median_of(costs, CaptureMode::Off, value);
    let run_s = calls as f64 / 4.0;
    println!(
        "  {:.1} bytes per event, {:.1} MB per hour; replay speed {:.0} times real time; \
         checkpoint {:.0} KB in {:.2} ms\n",
        on(&|cost| cost.capture_bytes as f64 / cost.events as f64),
        on(&|cost| cost.capture_bytes as f64) / run_s * 3600.0 / 1e6,
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
        println!("{proxies} proxies x {hosts} hosts, {calls} calls per run, seeds 1 to {seeds}");
        let measure = |seed| {
            let size = || Size { proxies, hosts, zones, connection_idle_us };
            SeedCosts::measure(seed, |mode| run(size(), seed, calls, mode))
        };
        let costs: Vec<SeedCosts> = (1..=seeds).map(measure).collect();
        print_calls(&costs, CaptureMode::Off, "off");
        print_calls(&costs, CaptureMode::On, "on");
        print_calls(&costs, CaptureMode::Hanging, "hanging disk");
        print_sizes(&costs, calls);
    }
}
