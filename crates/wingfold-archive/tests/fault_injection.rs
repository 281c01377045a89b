//! Captures under faults: processes killed while they write a block, flipped bits, disks that fail, hang and
//! recover, clocks that stop or jump, and forged files.

mod common;

use common::*;
use proptest::prelude::*;
use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use wingfold_archive::{
    open_synchronous, Archive, MemoryStore, SegmentFolder, SegmentStore, WriterConfig, WriterMetrics,
    WriterQueue,
};
use wingfold_capture::block::{BlockError, BlockKind};
use wingfold_capture::model::{encode_actions, GapReason, SegmentMeta};
use wingfold_capture::replay::{ReplayError, ReplayMode, Replayer};
use wingfold_capture::segment_writer::DiskOperation;
use wingfold_capture::{block, entries, Entry, Head, Recorder, RecorderQueue, SegmentLimits};
use wingfold_director::checkpoint::CheckpointError;
use wingfold_director::interface::*;
use wingfold_director::Director;

#[test]
fn scenarios_replay_identically_across_director_restarts() {
    for (name, seed, incarnations) in
        [("release-and-errors", 3, 2), ("late-sums", 5, 1), ("rates-and-parts", 2, 1), ("cut-zone", 9, 1)]
    {
        let folder = TempFolder::new();
        let simulated = wingfold_emulator::simulate(&scenario(name), seed, Some(&folder.0)).unwrap();
        assert_eq!(simulated.margins.violations(), [], "{name}");
        for director in 0..2 {
            let archive = Archive::open(&folder.0.join(format!("director-{director}"))).unwrap();
            let recorded_incarnations: std::collections::BTreeSet<u64> =
                archive.segments.iter().map(|segment| segment.head.incarnation.0).collect();
            assert_eq!(
                recorded_incarnations.len(),
                incarnations,
                "{name}: the folder does not hold all incarnations of director {director}"
            );
            let segments: Vec<Vec<u8>> =
                archive.segments.iter().map(|segment| segment.read().unwrap()).collect();
            let replayer = replay(segments.iter().map(Vec::as_slice));
            assert!(replayer.first_difference.is_none(), "{name}: {:?}", replayer.first_difference);
            assert!(replayer.report.calls > 200 && replayer.report.damage.is_empty(), "{name}");
            let digest = replayer.director().unwrap().digest();
            assert_eq!(
                digest, simulated.digests[director],
                "{name}: the state after the replay differs from that after the simulation"
            );
        }
    }
}

#[test]
fn capture_omits_lost_messages_and_keeps_late_load_reports() {
    let bytes = recorded_segment("late-sums", 1);
    let events: Vec<Event> = calls(&bytes).into_iter().flat_map(|call| call.events).collect();
    let messages = events.iter().filter(|event| matches!(event, Event::PeerMessage { .. })).count();
    // In 60 s there is one message a second, and three in ten are lost.
    assert!((20..60).contains(&messages), "{messages} messages recorded");
    // Late load reports raise the number of reports on one host to more than one for each report period.
    let is_report_on_full_0 = |event: &Event| match event {
        Event::LoadReport { zone, host, .. } => *zone.0 == *"a" && *host.0 == *"full-0",
        _ => false,
    };
    assert!(events.iter().filter(|event| is_report_on_full_0(event)).count() > 20);
    assert!(replay([&bytes[..]]).first_difference.is_none());
}

#[test]
fn segment_truncated_in_a_block_keeps_all_complete_blocks() {
    let bytes = recorded_segment("example", 1);
    let all_calls = calls(&bytes).len() as u64;
    let mut min_lost_calls = u64::MAX;
    for length in (0..bytes.len()).step_by(997).chain([bytes.len() - 1]) {
        let truncated = &bytes[..length];
        let mut replayer = Replayer::new(ReplayMode::Strict);
        let replayed: Result<Vec<_>, ReplayError> =
            entries(truncated).map(|entry| replayer.feed(entry).map(drop)).collect();
        replayed.unwrap();
        let ends: Vec<usize> = block_ends(&bytes);
        let expected: u64 = calls_before(&bytes, length);
        assert_eq!(replayer.report.calls, expected, "truncated to {length} bytes");
        assert!(replayer.first_difference.is_none(), "truncated to {length} bytes");
        let is_reported = replayer.report.damage.iter().any(|damage| damage.fault == BlockError::Truncated);
        let is_inside_block = length > 0 && !ends.contains(&length);
        assert_eq!(is_reported, is_inside_block, "damage report after truncation to {length} bytes");
        min_lost_calls = min_lost_calls.min(all_calls - expected);
    }
    assert_eq!(min_lost_calls, 0, "calls were lost although only the index was truncated");
}

/// The offset after each block.
fn block_ends(bytes: &[u8]) -> Vec<usize> {
    let (mut ends, mut offset) = (Vec::new(), 0);
    while let Ok(block) = block::Block::at(bytes, offset) {
        offset = block.end;
        ends.push(offset);
    }
    ends
}

/// The number of calls in the complete blocks within the first `length` bytes.
fn calls_before(bytes: &[u8], length: usize) -> u64 {
    let complete_bytes = block_ends(bytes).into_iter().rfind(|end| *end <= length).unwrap_or(0);
    calls(&bytes[..complete_bytes]).len() as u64
}

#[test]
fn flipped_bit_is_reported_as_damage_not_as_difference() {
    let [first, second] = [recorded_segment("example", 2), recorded_segment("overload", 2)];
    let calls_in_second = calls(&second).len() as u64;
    for (number, offset) in (0..first.len()).step_by(1511).enumerate() {
        let mut damaged = first.clone();
        damaged[offset] ^= 1 << (number % 8);
        let mut replayer = Replayer::new(ReplayMode::Strict);
        let mut rejected = 0;
        for entry in entries(&damaged).chain(entries(&second)) {
            rejected += u32::from(replayer.feed(entry).is_err());
        }
        assert!(replayer.first_difference.is_none(), "byte {offset}: {:?}", replayer.first_difference);
        let is_reported = !replayer.report.damage.is_empty() || rejected > 0;
        assert!(is_reported, "damage at byte {offset} of {} is not reported", first.len());
        assert!(
            replayer.report.calls >= calls_in_second,
            "the segment after the damaged one is not replayed completely"
        );
    }
}

#[test]
fn damaged_index_loses_no_call() {
    let bytes = recorded_segment("example", 3);
    let index_offset = *block_ends(&bytes).iter().rev().nth(1).unwrap();
    let mut damaged = bytes.clone();
    damaged[index_offset + block::HEAD_BYTES + 3] ^= 0x10;
    let replayer = replay([&damaged[..]]);
    assert_eq!(replayer.report.calls, calls(&bytes).len() as u64);
    assert!(replayer.first_difference.is_none() && replayer.report.damage.len() == 1);
}

#[test]
fn damaged_catalogue_is_rebuilt_from_segments() {
    let folder = TempFolder::new();
    let config = scenario("release-and-errors");
    wingfold_emulator::simulate(&config, 4, Some(&folder.0)).unwrap();
    let director_folder = folder.0.join("director-0");
    let path = director_folder.join("catalogue.redb");
    let valid = std::fs::read(&path).unwrap();
    let catalogued = wingfold_archive::folder::read_catalogue(&director_folder).unwrap();
    assert_eq!(catalogued.len(), 2);
    for damage in 0..6 {
        let mut bytes = valid.clone();
        match damage {
            0 => bytes.truncate(100),
            1 => bytes.iter_mut().for_each(|byte| *byte = 0),
            2 => bytes.clear(),
            n => {
                // Whole pages are overwritten with meaningless bytes.
                let (from, to) = (4096 * (n - 2), bytes.len().min(4096 * (n + 8)));
                (from..to).for_each(|offset| bytes[offset] = (offset * 31 + n) as u8);
            }
        }
        std::fs::write(&path, &bytes).unwrap();
        let kept = SegmentFolder::new(&folder.0, "director-0").open().unwrap();
        assert_eq!(kept.len(), 2, "damage {damage}");
        for (meta, before) in kept.iter().zip(catalogued.values()) {
            assert_eq!((meta.first, meta.last), (before.first, before.last), "damage {damage}");
            assert_eq!(meta.incarnation, before.incarnation, "damage {damage}");
        }
        assert_eq!(Archive::open(&director_folder).unwrap().segments.len(), 2);
    }
}

/// Records a run into a store that fails from call 101 to call 220. Returns the run, the segments in the
/// store, and the number of failed operations.
fn record_with_failing_store(
    kind: io::ErrorKind,
    writes_half_of_append: bool,
) -> (RecordedRun, Vec<Vec<u8>>, u32) {
    let mut run = RecordedRun::new("example", 6);
    let store = FailingStore::default();
    store.state.lock().unwrap().writes_half_of_append = writes_half_of_append;
    let limits = SegmentLimits { flush_interval: Micros(500_000), ..SegmentLimits::default() };
    let mut recorder = Recorder::new(open_synchronous(store.clone(), run.head.clone(), limits).unwrap());
    let mut number = 0;
    while run.handle_next_call(&mut recorder) {
        number += 1;
        store.set_failure((100..220).contains(&number).then_some(kind));
    }
    let finished = recorder.queue().finish();
    assert!(finished.is_err(), "finish does not report the error");
    let failed_operations = store.state.lock().unwrap().failed_operations;
    (run, store.segments(), failed_operations)
}

#[test]
fn failing_disk_leaves_one_gap_and_changes_no_action() {
    for (kind, reason) in [
        (io::ErrorKind::StorageFull, GapReason::DiskFull),
        (io::ErrorKind::ReadOnlyFilesystem, GapReason::ReadOnly),
        (io::ErrorKind::NotFound, GapReason::FolderMissing),
    ] {
        for writes_half_of_append in [false, true] {
            let (run, segments, failed_operations) = record_with_failing_store(kind, writes_half_of_append);
            assert_eq!(run.actions, run.actions_without_recorder(), "{kind:?}");
            let replayer = replay(segments.iter().map(Vec::as_slice));
            assert!(replayer.first_difference.is_none(), "{kind:?}");
            let gaps = &replayer.report.gaps;
            assert_eq!(gaps.len(), 1, "{kind:?}: {gaps:?}");
            assert_eq!(gaps[0].reason, reason);
            assert!(gaps[0].from > 80 && gaps[0].to < 300, "{gaps:?}");
            let dropped = gaps[0].to + 1 - gaps[0].from;
            assert_eq!(
                replayer.report.calls + dropped,
                run.actions.len() as u64,
                "{kind:?}: calls outside the gap are missing"
            );
            assert!(failed_operations < 8, "{failed_operations} operations failed despite the backoff");
        }
    }
}

/// A store whose operations block while `gate` holds `false`.
struct HangingStore {
    inner: FailingStore,
    gate: Arc<(Mutex<bool>, Condvar)>,
}

impl SegmentStore for HangingStore {
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>> {
        Ok(Vec::new())
    }

    fn apply(&mut self, operation: &DiskOperation) -> io::Result<()> {
        let is_open = self.gate.0.lock().unwrap();
        drop(self.gate.1.wait_while(is_open, |is_open| !*is_open).unwrap());
        self.inner.apply(operation)
    }
}

/// Polls a condition; panics if the condition does not hold within 60 s.
fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(60), "timed out waiting until {description}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Number of proxies of the director whose writer hangs.
const PROXIES: u32 = 635;

/// Seed of the director whose writer hangs.
const SEED: u64 = 3;

/// Number of hosts of the director whose writer hangs.
const HOSTS: u32 = 120;

/// Largest size of the queue of the writer that hangs, in bytes.
const QUEUE_BYTES: usize = 3 << 20;

fn zone(number: u32) -> ZoneId {
    ZoneId(["a", "b", "c"][number as usize % 3].into())
}

fn host(number: u32) -> HostId {
    HostId(format!("host-{number}").into())
}

/// An endpoint list with all hosts.
fn endpoint_list() -> Event {
    let endpoint = |number: u32| wingfold_director::interface::Endpoint {
        host: host(number),
        machine_type: "box".into(),
        zone: zone(number),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: None,
    };
    Event::EndpointList { kind: EndpointListKind::Cached, endpoints: (0..HOSTS).map(endpoint).collect() }
}

/// The connections of all proxies.
fn connections() -> Vec<Event> {
    let connected = |number: u32| Event::ProxyConnected {
        proxy: ProxyId(number),
        zone: zone(number),
        requests_per_s: 4.0,
    };
    (0..PROXIES).map(connected).collect()
}

/// Twelve reports on each host. For every 17th host, the reports of about half of the calls contain failed
/// attempts.
fn load_reports(call: u64) -> Vec<Event> {
    let report = |number: u32| {
        let number = number % HOSTS;
        let failed = u64::from(number.is_multiple_of(17) && call % 40 > 20) * 5;
        Event::LoadReport {
            zone: ZoneId("a".into()),
            host: host(number),
            attempts: AttemptCounts { total: 9, failed, period: Micros(1_000_000) },
            mean_latency: Micros(90_000),
            load: HostLoad::default(),
        }
    };
    (0..HOSTS * 12).map(report).collect()
}

/// Two directors that handle the same calls; only the calls of `director` are recorded.
struct RecordedDirector {
    recorder: Recorder<WriterQueue>,
    metrics: Arc<WriterMetrics>,
    director: Director,
    unrecorded: Director,
    /// The number of the last call.
    number: u64,
    /// The longest time that the recorder took in one call.
    longest_recording: Duration,
    max_queued_bytes: usize,
}

impl RecordedDirector {
    fn new(settings: Settings, queue: WriterQueue, metrics: Arc<WriterMetrics>) -> Self {
        RecordedDirector {
            recorder: Recorder::new(queue),
            metrics,
            director: Director::new(settings.clone(), SEED),
            unrecorded: Director::new(settings, SEED),
            number: 0,
            longest_recording: Duration::ZERO,
            max_queued_bytes: 0,
        }
    }

    /// Lets both directors handle the events, and checks that they return the same actions.
    fn call(&mut self, events: &[Event]) {
        self.number += 1;
        let (mut actions, mut unrecorded_actions) = (Vec::new(), Vec::new());
        let now = Timestamp(self.number * 250_000);
        let started = Instant::now();
        self.recorder.before_call(now, &self.director);
        let time_before_call = started.elapsed();
        self.director.handle(now, events, &mut actions);
        let started = Instant::now();
        self.recorder.after_call(now, events, &actions, self.director.digest());
        self.longest_recording = self.longest_recording.max(time_before_call + started.elapsed());
        self.unrecorded.handle(now, events, &mut unrecorded_actions);
        assert_eq!(actions, unrecorded_actions, "call {}", self.number);
        self.max_queued_bytes = self.max_queued_bytes.max(self.queued_bytes());
    }

    fn call_with_load_reports(&mut self) {
        self.call(&load_reports(self.number + 1));
    }

    fn queued_bytes(&self) -> usize {
        self.metrics.queued_bytes.load(std::sync::atomic::Ordering::Relaxed)
    }
}

#[test]
fn hanging_writer_with_635_proxies_does_not_block_the_director() {
    let gate = Arc::new((Mutex::new(true), Condvar::new()));
    let store = FailingStore::default();
    let hanging_store = HangingStore { inner: store.clone(), gate: gate.clone() };
    let settings = Settings { proxies: PROXIES, ..scenario("rates-and-parts").settings };
    let head = Head { settings: settings.clone(), seed: SEED, ..Head::default() };
    let config = WriterConfig { head, limits: SegmentLimits::default(), queue_bytes: QUEUE_BYTES };
    let (queue, handle) = wingfold_archive::spawn(Box::new(hanging_store), config, |_| ()).unwrap();
    let mut recorded = RecordedDirector::new(settings, queue, handle.metrics.clone());
    recorded.call(&[endpoint_list()]);
    recorded.call(&connections());
    wait_until("the writer has created a segment", || !store.segments().is_empty());
    *gate.0.lock().unwrap() = false;
    // The writer hangs while the queue fills, and for 60 calls (15 s of the director's clock) after that.
    while recorded.recorder.dropped_calls() < 60 {
        recorded.call_with_load_reports();
        assert!(recorded.number < 200_000, "no calls are dropped, so the queue is unbounded");
    }
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    let last_call_in_hang = recorded.number;
    wait_until("the queue is empty", || recorded.queued_bytes() == 0);
    (0..40).for_each(|_| recorded.call_with_load_reports());
    assert!(handle.end(Duration::from_secs(30)), "the writer's thread does not end within 30 s");
    assert!(recorded.max_queued_bytes <= QUEUE_BYTES, "{} bytes were queued", recorded.max_queued_bytes);
    // Writing a checkpoint of this size takes milliseconds; waiting for the store would take seconds.
    let longest = recorded.longest_recording;
    assert!(longest < Duration::from_secs(1), "{longest:?} in one call");
    let segments = store.segments();
    let replayer = replay(segments.iter().map(Vec::as_slice));
    assert!(replayer.first_difference.is_none());
    assert_eq!(replayer.report.gaps.len(), 1, "{:?}", replayer.report.gaps);
    let gap = &replayer.report.gaps[0];
    assert_eq!(gap.reason, GapReason::QueueFull);
    let dropped = gap.to + 1 - gap.from;
    assert!(gap.to >= last_call_in_hang && replayer.report.calls == recorded.number - dropped);
}

#[test]
fn second_director_cannot_open_a_folder_in_use() {
    let folder = TempFolder::new();
    let mut first = SegmentFolder::new(&folder.0, "n1");
    first.open().unwrap();
    let error = SegmentFolder::new(&folder.0, "n1").open().unwrap_err();
    assert!(error.to_string().contains("is written by another director"), "{error}");
    SegmentFolder::new(&folder.0, "n2").open().unwrap();
    drop(first);
    SegmentFolder::new(&folder.0, "n1").open().unwrap();
    // Names that differ only in encoded characters have different folders.
    let names = ["a/b", "a_b", "a.b", "..", ""].map(wingfold_archive::folder::director_folder_name);
    let distinct: std::collections::BTreeSet<&String> = names.iter().collect();
    assert_eq!(distinct.len(), names.len());
    assert!(names.iter().all(|name| !name.contains(['/', '.'])));
}

#[test]
fn segments_rotate_by_size_and_age_and_oldest_are_removed() {
    let mut run = RecordedRun::new("overload", 7);
    let store = FailingStore::default();
    let limits = SegmentLimits {
        segment_age: Micros(6_000_000),
        keep_segments: 4,
        flush_interval: Micros(300_000),
        ..SegmentLimits::default()
    };
    let mut recorder = Recorder::new(open_synchronous(store.clone(), run.head.clone(), limits).unwrap());
    while run.handle_next_call(&mut recorder) {}
    recorder.queue().finish().unwrap();
    let segments = store.segments();
    assert_eq!(segments.len(), 4);
    assert_eq!(
        store.state.lock().unwrap().removed,
        [1, 2, 3, 4, 5, 6],
        "the oldest segments are removed first"
    );
    // Each segment can be replayed alone. In a replay of all segments, the state before each checkpoint
    // equals the checkpoint.
    let mut calls_alone = 0;
    for segment in &segments {
        let replayer = replay([&segment[..]]);
        assert!(replayer.first_difference.is_none() && replayer.report.skipped_calls == 0);
        calls_alone += replayer.report.calls;
    }
    let together = replay(segments.iter().map(Vec::as_slice));
    assert_eq!((together.report.compared_states, together.report.calls), (3, calls_alone));
    assert!(together.first_difference.is_none());

    let mut run = RecordedRun::new("overload", 7);
    let store = FailingStore::default();
    let limits = SegmentLimits {
        segment_bytes: 6_000,
        keep_bytes: 20_000,
        flush_interval: Micros(300_000),
        ..SegmentLimits::default()
    };
    let mut recorder = Recorder::new(open_synchronous(store.clone(), run.head.clone(), limits).unwrap());
    while run.handle_next_call(&mut recorder) {}
    recorder.queue().finish().unwrap();
    let bytes: usize = store.segments().iter().map(Vec::len).sum();
    assert!(bytes <= 30_000 && store.segments().len() > 1, "{bytes}");
}

#[test]
fn memory_store_keeps_and_dumps_the_last_segments() {
    let mut run = RecordedRun::new("overload", 8);
    let max_bytes = 24_000;
    let limits =
        SegmentLimits { segment_bytes: 6_000, flush_interval: Micros(300_000), ..SegmentLimits::default() };
    let config = WriterConfig { head: run.head.clone(), limits, queue_bytes: 4 << 20 };
    let (recorder_queue, handle) =
        wingfold_archive::spawn(Box::new(MemoryStore::new(max_bytes)), config, |_| ()).unwrap();
    let mut recorder = Recorder::new(recorder_queue);
    while run.handle_next_call(&mut recorder) {
        // The calls of a running director are 250 ms apart, and the writer polls every 100 ms. Here the calls
        // follow each other at once, so the queue is flushed after each call; otherwise items could stay
        // queued.
        recorder.queue().flush().recv().unwrap();
        assert_eq!(handle.metrics.queued_bytes.load(std::sync::atomic::Ordering::Relaxed), 0);
    }
    let folder = TempFolder::new();
    let written = handle.dump(folder.0.join("dump")).recv().unwrap().unwrap();
    assert!(written >= 3, "{written} segments");
    assert!(handle.metrics.memory_bytes.load(std::sync::atomic::Ordering::Relaxed) <= max_bytes);
    let archive = Archive::open(&folder.0.join("dump")).unwrap();
    let segments: Vec<Vec<u8>> = archive.segments.iter().map(|segment| segment.read().unwrap()).collect();
    let replayer = replay(segments.iter().map(Vec::as_slice));
    assert!(replayer.first_difference.is_none() && replayer.report.skipped_calls == 0);
    let last_call = calls(segments.last().unwrap()).last().unwrap().number;
    assert_eq!(last_call, run.actions.len() as u64, "the dump does not reach the last call");
    assert!(replayer.report.calls < run.actions.len() as u64, "the store has removed no segment");
}

#[test]
fn memory_store_smaller_than_a_checkpoint_reports_an_error() {
    let mut run = RecordedRun::new("example", 8);
    let mut recorder = Recorder::new(
        open_synchronous(MemoryStore::new(600), run.head.clone(), SegmentLimits::default()).unwrap(),
    );
    while run.handle_next_call(&mut recorder) {}
    let error = recorder.queue().finish().unwrap_err().to_string();
    assert!(error.contains("does not hold one segment"), "{error}");
    assert_eq!(run.actions, run.actions_without_recorder());
}

#[test]
fn captures_with_a_stopped_or_jumping_clock_are_replayed() {
    let settings = scenario("example").settings;
    let head = Head { settings: settings.clone(), ..Head::default() };
    let store = FailingStore::default();
    let limits = SegmentLimits { segment_age: Micros(60_000_000), ..SegmentLimits::default() };
    let mut recorder = Recorder::new(open_synchronous(store.clone(), head, limits).unwrap());
    let mut director = Director::new(settings, 0);
    let hour_us = 3_600_000_000;
    let times_us =
        [0, 0, 5, 5, 1_000_000, 400, hour_us, hour_us, hour_us - 9, 30 * hour_us, 30 * hour_us + 250_000];
    for now in times_us.map(Timestamp) {
        let events = [
            Event::TimerFired(0),
            Event::ProxyConnected { proxy: ProxyId(1), zone: ZoneId("a".into()), requests_per_s: 5.0 },
        ];
        let mut actions = Vec::new();
        recorder.before_call(now, &director);
        director.handle(now, &events, &mut actions);
        recorder.after_call(now, &events, &actions, director.digest());
    }
    recorder.queue().finish().unwrap();
    let segments = store.segments();
    let replayer = replay(segments.iter().map(Vec::as_slice));
    assert!(replayer.first_difference.is_none(), "{:?}", replayer.first_difference);
    assert_eq!(replayer.report.calls, 11);
    assert!(segments.len() > 1, "a clock that jumps forward does not end the segment by its age");
}

/// Changes the contents of the first block of a kind, and updates the block's head and checksum.
fn forge(bytes: &[u8], kind: BlockKind, change: impl Fn(Vec<u8>) -> Vec<u8>) -> Vec<u8> {
    let (mut forged, mut offset, mut is_changed) = (Vec::new(), 0, false);
    while let Ok(block) = block::Block::at(bytes, offset) {
        if block.kind == kind && !is_changed {
            is_changed = true;
            forged.extend(block::encode(kind, block.number, &change(block.contents().unwrap())));
        } else {
            forged.extend(&bytes[offset..block.end]);
        }
        offset = block.end;
    }
    assert!(is_changed, "the segment has no block of kind {kind:?}");
    forged
}

/// Replays a segment up to the first error.
fn replay_all(bytes: &[u8]) -> Result<Replayer, ReplayError> {
    let mut replayer = Replayer::new(ReplayMode::Strict);
    for entry in entries(bytes) {
        replayer.feed(entry)?;
    }
    Ok(replayer)
}

#[test]
fn other_versions_and_settings_are_rejected_but_not_other_builds() {
    let bytes = recorded_segment("example", 9);
    // Another version of the format, with a valid checksum of the block's head.
    let mut other_format = bytes.clone();
    other_format[5] = block::FORMAT_VERSION + 1;
    let checksum = crc32fast::hash(&other_format[..24]);
    other_format[24..28].copy_from_slice(&checksum.to_le_bytes());
    assert_eq!(wingfold_capture::reader::head(&other_format).unwrap_err(), BlockError::Format(2));
    assert_eq!(BlockError::Format(2).to_string(), "the format has version 2, this build reads version 1");
    // A checkpoint of another version, and a damaged one.
    let with_checkpoint = |change: fn(&mut [u8])| {
        forge(&bytes, BlockKind::Checkpoint, |mut contents| {
            let offset = checkpoint_offset(&contents).unwrap();
            change(&mut contents[offset..]);
            contents
        })
    };
    let error = replay_all(&with_checkpoint(|checkpoint| checkpoint[4] = 9)).unwrap_err();
    assert_eq!(error, ReplayError::Checkpoint { call: 1, error: CheckpointError::Version { found: 9 } });
    let error = replay_all(&with_checkpoint(|checkpoint| checkpoint[40] ^= 1)).unwrap_err();
    assert!(matches!(error, ReplayError::Checkpoint { error: CheckpointError::Damaged(_), .. }), "{error}");
    // A head with settings that differ from those of the checkpoint, with invalid settings, and of another
    // build.
    let head = wingfold_capture::reader::head(&bytes).unwrap();
    let with_head = |change: &dyn Fn(&mut Head)| {
        let mut head = head.clone();
        change(&mut head);
        forge(&bytes, BlockKind::Head, |_| rmp_serde::to_vec_named(&head).unwrap())
    };
    let error = replay_all(&with_head(&|head| head.settings.drain_grace = Micros(1))).unwrap_err();
    assert_eq!(error, ReplayError::Checkpoint { call: 1, error: CheckpointError::OtherSettings });
    let error = replay_all(&with_head(&|head| head.settings.proxies = u32::MAX)).unwrap_err();
    assert_eq!(error, ReplayError::Settings(SettingsError::TooManyProxies { count: u32::MAX }));
    let replayer = replay_all(&with_head(&|head| head.build = "wingfold 7.7".into())).unwrap();
    assert_eq!(replayer.report.builds, ["wingfold 7.7"]);
    assert!(replayer.first_difference.is_none(), "the capture of another build is not replayed identically");
}

#[test]
fn difference_is_attributed_to_its_call_and_table() {
    let bytes = recorded_segment("overload", 3);
    let first_candidate = 150;
    // One weight is changed in the first call from 150 on that sets a table entry, as if another build had
    // recorded it.
    let mut changed_call = 0;
    let forged = forge(&bytes, BlockKind::Calls, |contents| contents);
    assert_eq!(calls(&forged).len(), calls(&bytes).len());
    let mut replayer = Replayer::new(ReplayMode::Compare);
    for entry in entries(&bytes) {
        let entry = match entry {
            Entry::Call(mut call) if call.number >= first_candidate && changed_call == 0 => {
                let mut actions = call.actions().unwrap();
                if let Some(Action::SetEntry { weight, .. }) =
                    actions.iter_mut().find(|action| matches!(action, Action::SetEntry { .. }))
                {
                    *weight = f64::from_bits(weight.to_bits() + 1);
                    changed_call = call.number;
                    call.actions = encode_actions(&actions);
                }
                Entry::Call(call)
            }
            entry => entry,
        };
        replayer.feed(entry).unwrap();
    }
    let first = replayer.first_difference.as_ref().expect("the changed weight is a difference");
    assert_eq!(first.call, changed_call);
    assert_eq!(replayer.report.differences, 1);
    let divergences = replayer.divergences();
    let tables: usize = divergences.values().map(Vec::len).sum();
    assert_eq!(tables, 1, "{divergences:?}");
    let (_, divergence) = &divergences.values().next().unwrap()[0];
    assert!(divergence.total_s > 0.0 && divergence.max_entries == 1, "{divergence:?}");
}

/// The offset of the checkpoint in the contents of a checkpoint block.
fn checkpoint_offset(contents: &[u8]) -> Option<usize> {
    contents.windows(4).position(|bytes| bytes == b"WFDS")
}

/// Makes the checksum of a changed checkpoint valid, if the checkpoint can still be found.
fn update_checkpoint_checksum(contents: &mut [u8]) {
    if let Some(offset) = checkpoint_offset(contents) {
        let checksum = crc32fast::hash(&contents[offset + 22..]);
        contents[offset + 18..offset + 22].copy_from_slice(&checksum.to_le_bytes());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, max_shrink_iters: 50, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..3000), kind in 1..5u8) {
        let _ = replay_all(&bytes);
        // The random bytes as the contents of a valid block after a valid head.
        let kinds = [BlockKind::Head, BlockKind::Checkpoint, BlockKind::Calls, BlockKind::Index];
        let kind = kinds[usize::from(kind - 1)];
        let head = Head { settings: scenario("example").settings, ..Head::default() };
        let head = rmp_serde::to_vec_named(&head).unwrap();
        let forged = [block::encode(BlockKind::Head, 0, &head), block::encode(kind, 1, &bytes)].concat();
        let _ = replay_all(&forged);
    }

    #[test]
    fn forged_captures_cause_no_panic(
        seed in 0..3u64,
        kind in 0..3u8,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
    ) {
        let bytes = recorded_segment("example", seed);
        let kind = [BlockKind::Head, BlockKind::Checkpoint, BlockKind::Calls][usize::from(kind)];
        let forged = forge(&bytes, kind, |mut contents| {
            for (index, byte) in &changes {
                let offset = index.index(contents.len());
                contents[offset] = *byte;
            }
            if kind == BlockKind::Checkpoint {
                update_checkpoint_checksum(&mut contents);
            }
            contents
        });
        let _ = replay_all(&forged);
    }
}

#[test]
#[ignore = "takes minutes; PROPTEST_CASES sets the number of cases"]
fn many_forged_captures_cause_no_panic() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(20_000);
    let segments: Vec<Vec<u8>> = (0..4).map(|seed| recorded_segment("example", seed)).collect();
    let mut state = 1u64;
    let mut random = move || {
        state = state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(1);
        (state >> 33) as usize
    };
    for _ in 0..cases {
        let bytes = &segments[random() % segments.len()];
        let kind = [BlockKind::Head, BlockKind::Checkpoint, BlockKind::Calls][random() % 3];
        let changes: Vec<(usize, u8)> = (0..random() % 8 + 1).map(|_| (random(), random() as u8)).collect();
        let forged = forge(bytes, kind, |mut contents| {
            for (offset, byte) in &changes {
                let length = contents.len();
                contents[offset % length] = *byte;
            }
            if kind == BlockKind::Checkpoint {
                update_checkpoint_checksum(&mut contents);
            }
            contents
        });
        let _ = replay_all(&forged);
    }
}
