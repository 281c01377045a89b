//! Captures under faults: processes that are killed while they write a block, flipped bits, disks that fail, hang and
//! recover, clocks that stand or jump, forged files.

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
fn scenarios_replay_bit_for_bit_also_across_restarts_of_directors() {
    for (name, seed, runs) in
        [("release-and-errors", 3, 2), ("late-sums", 5, 1), ("rates-and-parts", 2, 1), ("cut-zone", 9, 1)]
    {
        let folder = TempFolder::new();
        let played = wingfold_emulator::simulate(&scenario(name), seed, Some(&folder.0)).unwrap();
        assert_eq!(played.margins.violations(), [], "{name}");
        for director in 0..2 {
            let archive = Archive::open(&folder.0.join(format!("director-{director}"))).unwrap();
            let lives: std::collections::BTreeSet<u64> =
                archive.segments.iter().map(|s| s.head.incarnation.0).collect();
            assert_eq!(
                lives.len(),
                runs,
                "{name}: a restarted director's capture goes on in the same folder"
            );
            let segments: Vec<Vec<u8>> =
                archive.segments.iter().map(|source| source.read().unwrap()).collect();
            let replayer = replay(segments.iter().map(Vec::as_slice));
            assert!(replayer.first_difference.is_none(), "{name}: {:?}", replayer.first_difference);
            assert!(replayer.report.calls > 200 && replayer.report.damage.is_empty(), "{name}");
            let digest = replayer.director().unwrap().digest();
            assert_eq!(
                digest, played.digests[director],
                "{name}: the tables at the end are those of the day"
            );
        }
    }
}

#[test]
fn lost_messages_are_missing_and_late_load_reports_stay_out_of_order() {
    let bytes = recorded_segment("late-sums", 1);
    let events: Vec<Event> = calls(&bytes).into_iter().flat_map(|call| call.events).collect();
    let messages = events.iter().filter(|event| matches!(event, Event::PeerMessage { .. })).count();
    assert!((20..60).contains(&messages), "60 s at one a second, three in ten lost: {messages}");
    // There is more than one load report of a host per period, since some are late.
    let is_full_0 = |event: &Event| matches!(event, Event::LoadReport { zone, host, .. } if *zone.0 == *"a" && *host.0 == *"full-0");
    assert!(events.iter().filter(|event| is_full_0(event)).count() > 20);
    assert!(replay([&bytes[..]]).first_difference.is_none());
}

#[test]
fn a_process_killed_while_it_writes_a_block_leaves_all_complete_blocks() {
    let bytes = recorded_segment("example", 1);
    let all_calls = calls(&bytes).len() as u64;
    let mut least = u64::MAX;
    for length in (0..bytes.len()).step_by(997).chain([bytes.len() - 1]) {
        let cut = &bytes[..length];
        let mut replayer = Replayer::new(ReplayMode::Strict);
        let fed: Result<Vec<_>, ReplayError> =
            entries(cut).map(|entry| replayer.feed(entry).map(drop)).collect();
        fed.unwrap();
        let ends: Vec<usize> = block_ends(&bytes);
        let expected: u64 = calls_before(&bytes, length);
        assert_eq!(replayer.report.calls, expected, "cut at {length}");
        assert!(replayer.first_difference.is_none(), "cut at {length}");
        let is_reported = replayer.report.damage.iter().any(|damage| damage.fault == BlockError::Cut);
        assert_eq!(is_reported, length > 0 && !ends.contains(&length), "the cut is reported, at {length}");
        least = least.min(all_calls - expected);
    }
    assert_eq!(least, 0, "a cut in the index alone loses no call");
}

fn block_ends(bytes: &[u8]) -> Vec<usize> {
    let (mut ends, mut at) = (Vec::new(), 0);
    while let Ok(block) = block::Block::at(bytes, at) {
        at = block.end;
        ends.push(at);
    }
    ends
}

/// Calls in blocks that end at or before a place.
fn calls_before(bytes: &[u8], length: usize) -> u64 {
    let complete_bytes = block_ends(bytes).into_iter().rfind(|end| *end <= length).unwrap_or(0);
    calls(&bytes[..complete_bytes]).len() as u64
}

#[test]
fn a_flipped_bit_is_reported_and_never_taken_for_a_difference() {
    let [first, second] = [recorded_segment("example", 2), recorded_segment("overload", 2)];
    let all_calls = calls(&second).len() as u64;
    for (number, at) in (0..first.len()).step_by(1511).enumerate() {
        let mut damaged = first.clone();
        damaged[at] ^= 1 << (number % 8);
        let mut replayer = Replayer::new(ReplayMode::Strict);
        let mut rejected = 0;
        for entry in entries(&damaged).chain(entries(&second)) {
            rejected += u32::from(replayer.feed(entry).is_err());
        }
        assert!(replayer.first_difference.is_none(), "bit {at}: {:?}", replayer.first_difference);
        let is_reported = !replayer.report.damage.is_empty() || rejected > 0;
        assert!(is_reported, "byte {at} of {}: the damage is reported", first.len());
        assert!(replayer.report.calls >= all_calls, "the segment after it is replayed completely");
    }
}

#[test]
fn a_damaged_index_loses_no_call() {
    let bytes = recorded_segment("example", 3);
    let index = *block_ends(&bytes).iter().rev().nth(1).unwrap();
    let mut damaged = bytes.clone();
    damaged[index + block::HEAD_BYTES + 3] ^= 0x10;
    let replayer = replay([&damaged[..]]);
    assert_eq!(replayer.report.calls, calls(&bytes).len() as u64);
    assert!(replayer.first_difference.is_none() && replayer.report.damage.len() == 1);
}

#[test]
fn a_damaged_catalogue_is_set_aside_and_rebuilt_from_the_segments() {
    let folder = TempFolder::new();
    let config = scenario("release-and-errors");
    wingfold_emulator::simulate(&config, 4, Some(&folder.0)).unwrap();
    let director_folder = folder.0.join("director-0");
    let path = director_folder.join("catalogue.redb");
    let valid = std::fs::read(&path).unwrap();
    let catalogued = wingfold_archive::folder::read_catalogue(&director_folder).unwrap();
    assert_eq!(catalogued.len(), 2);
    for way in 0..6 {
        let mut bytes = valid.clone();
        match way {
            0 => bytes.truncate(100),
            1 => bytes.iter_mut().for_each(|byte| *byte = 0),
            2 => bytes.clear(),
            n => {
                // Complete pages of noise.
                let (from, to) = (4096 * (n - 2), bytes.len().min(4096 * (n + 8)));
                (from..to).for_each(|at| bytes[at] = (at * 31 + n) as u8);
            }
        }
        std::fs::write(&path, &bytes).unwrap();
        let kept = SegmentFolder::new(&folder.0, "director-0").open().unwrap();
        assert_eq!(kept.len(), 2, "damaged in way {way}");
        for (meta, was) in kept.iter().zip(catalogued.values()) {
            assert_eq!((meta.first, meta.last, meta.incarnation), (was.first, was.last, was.incarnation));
        }
        assert_eq!(Archive::open(&director_folder).unwrap().segments.len(), 2);
    }
}

/// Records a day with a store that fails in the middle; returns the segments that it holds, and how often it failed.
fn record_with_failing_store(kind: io::ErrorKind, writes_half: bool) -> (RecordedDay, Vec<Vec<u8>>, u32) {
    let mut day = RecordedDay::new("example", 6);
    let store = ScriptedStore::default();
    store.state.lock().unwrap().writes_half = writes_half;
    let limits = SegmentLimits { flush: Micros(500_000), ..SegmentLimits::default() };
    let mut recorder = Recorder::new(open_synchronous(store.clone(), day.head.clone(), limits).unwrap());
    let mut number = 0;
    while day.next_call(&mut recorder) {
        number += 1;
        store.fail_with((100..220).contains(&number).then_some(kind));
    }
    let ended = recorder.queue().finish();
    assert!(ended.is_err(), "the error is reported at the end");
    let failed = store.state.lock().unwrap().failed;
    (day, store.segments(), failed)
}

#[test]
fn a_full_read_only_or_missing_disk_loses_calls_and_changes_no_action() {
    for (kind, reason) in [
        (io::ErrorKind::StorageFull, GapReason::DiskFull),
        (io::ErrorKind::ReadOnlyFilesystem, GapReason::ReadOnly),
        (io::ErrorKind::NotFound, GapReason::Gone),
    ] {
        for writes_half in [false, true] {
            let (day, segments, failed) = record_with_failing_store(kind, writes_half);
            assert_eq!(day.actions, day.actions_without_recorder(), "decisions do not change");
            let replayer = replay(segments.iter().map(Vec::as_slice));
            assert!(replayer.first_difference.is_none(), "{kind:?}");
            let gaps = &replayer.report.gaps;
            assert_eq!(gaps.len(), 1, "{kind:?}: {gaps:?}");
            assert_eq!(gaps[0].reason, reason);
            assert!(gaps[0].from > 80 && gaps[0].to < 300, "{gaps:?}");
            let dropped = gaps[0].to + 1 - gaps[0].from;
            assert_eq!(replayer.report.calls + dropped, day.actions.len() as u64, "all others are there");
            assert!(failed < 8, "it is retried seldom: {failed} times");
        }
    }
}

/// A store that hangs until its gate is opened.
struct HangingStore {
    inner: ScriptedStore,
    gate: Arc<(Mutex<bool>, Condvar)>,
}

impl SegmentStore for HangingStore {
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>> {
        Ok(Vec::new())
    }

    fn apply(&mut self, what: &DiskOperation) -> io::Result<()> {
        let open = self.gate.0.lock().unwrap();
        let open = self.gate.1.wait_while(open, |open| !*open).unwrap();
        drop(open);
        self.inner.apply(what)
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < Duration::from_secs(60), "not seen in time: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Proxies of the director whose writer hangs.
const PROXIES: u32 = 635;

/// The seed of that director.
const SEED: u64 = 3;

/// Hosts of that director.
const HOSTS: u32 = 120;

/// Bytes that may wait for that writer.
const QUEUE_BYTES: usize = 3 << 20;

fn zone(number: u32) -> ZoneId {
    ZoneId(["a", "b", "c"][number as usize % 3].into())
}

fn host(number: u32) -> HostId {
    HostId(format!("host-{number}").into())
}

/// The list of all hosts.
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

/// All proxies connect.
fn connections() -> Vec<Event> {
    let connected = |number: u32| Event::ProxyConnected {
        proxy: ProxyId(number),
        zone: zone(number),
        requests_per_s: 4.0,
    };
    (0..PROXIES).map(connected).collect()
}

/// Twelve reports about each host; some hosts lose requests in half of the calls.
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

/// Two directors that handle the same calls; the calls of one are recorded.
struct RecordedDirector {
    recorder: Recorder<WriterQueue>,
    metrics: Arc<WriterMetrics>,
    director: Director,
    unrecorded: Director,
    /// The number of the last call.
    number: u64,
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

    /// Lets both directors handle the events, and checks that they order the same actions.
    fn call(&mut self, events: &[Event]) {
        self.number += 1;
        let (mut with, mut without) = (Vec::new(), Vec::new());
        let now = Timestamp(self.number * 250_000);
        let started = Instant::now();
        self.recorder.before_call(now, &self.director);
        let before = started.elapsed();
        self.director.handle(now, events, &mut with);
        let started = Instant::now();
        self.recorder.after_call(now, events, &with, self.director.digest());
        self.longest_recording = self.longest_recording.max(before + started.elapsed());
        self.unrecorded.handle(now, events, &mut without);
        assert_eq!(with, without, "call {}", self.number);
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
fn a_writer_that_hangs_under_635_proxies_blocks_nobody() {
    let gate = Arc::new((Mutex::new(true), Condvar::new()));
    let store = ScriptedStore::default();
    let hanging_store = HangingStore { inner: store.clone(), gate: gate.clone() };
    let settings = Settings { proxies: PROXIES, ..scenario("rates-and-parts").settings };
    let head = Head { settings: settings.clone(), seed: SEED, ..Head::default() };
    let config = WriterConfig { head, limits: SegmentLimits::default(), queue_bytes: QUEUE_BYTES };
    let (queue, handle) = wingfold_archive::spawn(Box::new(hanging_store), config, |_| ()).unwrap();
    let mut recorded = RecordedDirector::new(settings, queue, handle.metrics.clone());
    recorded.call(&[endpoint_list()]);
    recorded.call(&connections());
    until("the writer has begun", || !store.segments().is_empty());
    *gate.0.lock().unwrap() = false;
    // The writer hangs while the queue fills, and for 60 calls (15 s of the director's clock) after that.
    while recorded.recorder.dropped_calls() < 60 {
        recorded.call_with_load_reports();
        assert!(recorded.number < 200_000, "the queue is bounded");
    }
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    let last_in_hang = recorded.number;
    until("it has caught up", || recorded.queued_bytes() == 0);
    (0..40).for_each(|_| recorded.call_with_load_reports());
    assert!(handle.end(Duration::from_secs(30)), "it ends well");
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
    assert!(gap.to >= last_in_hang && replayer.report.calls == recorded.number - (gap.to + 1 - gap.from));
}

#[test]
fn two_directors_with_one_folder_do_not_overwrite_each_other() {
    let folder = TempFolder::new();
    let mut first = SegmentFolder::new(&folder.0, "n1");
    first.open().unwrap();
    let refused = SegmentFolder::new(&folder.0, "n1").open().unwrap_err();
    assert!(refused.to_string().contains("is written by another director"), "{refused}");
    SegmentFolder::new(&folder.0, "n2").open().unwrap();
    drop(first);
    SegmentFolder::new(&folder.0, "n1").open().unwrap();
    // Names that differ only in unusual characters have different folders.
    let names = ["a/b", "a_b", "a.b", "..", ""].map(wingfold_archive::folder::director_folder_name);
    let different: std::collections::BTreeSet<&String> = names.iter().collect();
    assert_eq!(different.len(), names.len());
    assert!(names.iter().all(|name| !name.contains(['/', '.'])));
}

#[test]
fn segments_rotate_by_size_and_age_and_a_bounded_number_is_kept() {
    let mut day = RecordedDay::new("overload", 7);
    let store = ScriptedStore::default();
    let limits = SegmentLimits {
        segment_age: Micros(6_000_000),
        keep_segments: 4,
        flush: Micros(300_000),
        ..SegmentLimits::default()
    };
    let mut recorder = Recorder::new(open_synchronous(store.clone(), day.head.clone(), limits).unwrap());
    while day.next_call(&mut recorder) {}
    recorder.queue().finish().unwrap();
    let segments = store.segments();
    assert_eq!(segments.len(), 4);
    assert_eq!(store.state.lock().unwrap().removed, [1, 2, 3, 4, 5, 6], "the oldest go first");
    // Each segment can be replayed alone, and the state at each checkpoint equals that of the replay before it.
    let mut calls_alone = 0;
    for segment in &segments {
        let replayer = replay([&segment[..]]);
        assert!(replayer.first_difference.is_none() && replayer.report.skipped_calls == 0);
        calls_alone += replayer.report.calls;
    }
    let together = replay(segments.iter().map(Vec::as_slice));
    assert_eq!((together.report.compared_states, together.report.calls), (3, calls_alone));
    assert!(together.first_difference.is_none());

    let mut day = RecordedDay::new("overload", 7);
    let store = ScriptedStore::default();
    let limits = SegmentLimits {
        segment_bytes: 6_000,
        keep_bytes: 20_000,
        flush: Micros(300_000),
        ..SegmentLimits::default()
    };
    let mut recorder = Recorder::new(open_synchronous(store.clone(), day.head.clone(), limits).unwrap());
    while day.next_call(&mut recorder) {}
    recorder.queue().finish().unwrap();
    let bytes: usize = store.segments().iter().map(Vec::len).sum();
    assert!(bytes <= 30_000 && store.segments().len() > 1, "{bytes}");
}

#[test]
fn a_ring_in_memory_keeps_the_last_segments_and_dumps_them() {
    let mut day = RecordedDay::new("overload", 8);
    let max_bytes = 24_000;
    let limits = SegmentLimits { segment_bytes: 6_000, flush: Micros(300_000), ..SegmentLimits::default() };
    let config = WriterConfig { head: day.head.clone(), limits, queue_bytes: 4 << 20 };
    let (recorder_queue, handle) =
        wingfold_archive::spawn(Box::new(MemoryStore::new(max_bytes)), config, |_| ()).unwrap();
    let mut recorder = Recorder::new(recorder_queue);
    while day.next_call(&mut recorder) {
        // The calls of a real director are a quarter of a second apart, and the writer keeps up. It is flushed here, as it
        // polls ten times a second, and a call that found the queue locked would wait for the next one.
        recorder.queue().flush().recv().unwrap();
        assert_eq!(handle.metrics.queued_bytes.load(std::sync::atomic::Ordering::Relaxed), 0);
    }
    let folder = TempFolder::new();
    let written = handle.dump(folder.0.join("dump")).recv().unwrap().unwrap();
    assert!(written >= 3, "{written} segments");
    assert!(handle.metrics.memory_bytes.load(std::sync::atomic::Ordering::Relaxed) <= max_bytes);
    let archive = Archive::open(&folder.0.join("dump")).unwrap();
    let segments: Vec<Vec<u8>> = archive.segments.iter().map(|source| source.read().unwrap()).collect();
    let replayer = replay(segments.iter().map(Vec::as_slice));
    assert!(replayer.first_difference.is_none() && replayer.report.skipped_calls == 0);
    assert_eq!(calls(segments.last().unwrap()).last().unwrap().number, day.actions.len() as u64, "up to now");
    assert!(replayer.report.calls < day.actions.len() as u64, "and no further back than it may hold");
}

#[test]
fn a_ring_too_small_for_one_checkpoint_reports_it_and_goes_on() {
    let mut day = RecordedDay::new("example", 8);
    let mut recorder = Recorder::new(
        open_synchronous(MemoryStore::new(600), day.head.clone(), SegmentLimits::default()).unwrap(),
    );
    while day.next_call(&mut recorder) {}
    let error = recorder.queue().finish().unwrap_err().to_string();
    assert!(error.contains("does not hold one segment"), "{error}");
    assert_eq!(day.actions, day.actions_without_recorder());
}

#[test]
fn captures_of_a_clock_that_stands_goes_back_or_jumps_are_replayed() {
    let settings = scenario("example").settings;
    let head = Head { settings: settings.clone(), ..Head::default() };
    let store = ScriptedStore::default();
    let limits = SegmentLimits { segment_age: Micros(60_000_000), ..SegmentLimits::default() };
    let mut recorder = Recorder::new(open_synchronous(store.clone(), head, limits).unwrap());
    let mut director = Director::new(settings, 0);
    let hour = 3_600_000_000;
    for at in [0, 0, 5, 5, 1_000_000, 400, hour, hour, hour - 9, 30 * hour, 30 * hour + 250_000] {
        let events = [
            Event::TimerFired(0),
            Event::ProxyConnected { proxy: ProxyId(1), zone: ZoneId("a".into()), requests_per_s: 5.0 },
        ];
        let mut actions = Vec::new();
        recorder.before_call(Timestamp(at), &director);
        director.handle(Timestamp(at), &events, &mut actions);
        recorder.after_call(Timestamp(at), &events, &actions, director.digest());
    }
    recorder.queue().finish().unwrap();
    let segments = store.segments();
    let replayer = replay(segments.iter().map(Vec::as_slice));
    assert!(replayer.first_difference.is_none(), "{:?}", replayer.first_difference);
    assert_eq!(replayer.report.calls, 11);
    assert!(segments.len() > 1, "a jump ends a segment by its age");
}

/// Replaces the contents of the first block of a kind; the block itself stays valid.
fn forge(bytes: &[u8], kind: BlockKind, change: impl Fn(Vec<u8>) -> Vec<u8>) -> Vec<u8> {
    let (mut out, mut at, mut done) = (Vec::new(), 0, false);
    while let Ok(block) = block::Block::at(bytes, at) {
        if block.kind == kind && !done {
            done = true;
            out.extend(block::encode(kind, block.number, &change(block.contents().unwrap())));
        } else {
            out.extend(&bytes[at..block.end]);
        }
        at = block.end;
    }
    assert!(done, "there is such a block");
    out
}

fn replay_all(bytes: &[u8]) -> Result<Replayer, ReplayError> {
    let mut replayer = Replayer::new(ReplayMode::Strict);
    for entry in entries(bytes) {
        replayer.feed(entry)?;
    }
    Ok(replayer)
}

#[test]
fn captures_of_other_versions_or_settings_are_rejected_and_other_builds_reported() {
    let bytes = recorded_segment("example", 9);
    // Another format version.
    let mut other = bytes.clone();
    other[5] = block::FORMAT_VERSION + 1;
    let sum = crc32fast::hash(&other[..24]);
    other[24..28].copy_from_slice(&sum.to_le_bytes());
    assert_eq!(wingfold_capture::reader::head(&other).unwrap_err(), BlockError::Format(2));
    assert_eq!(BlockError::Format(2).to_string(), "the format has version 2, this build reads version 1");
    // Another version of the checkpoint.
    let state = |change: fn(&mut [u8])| {
        forge(&bytes, BlockKind::Checkpoint, |mut contents| {
            let at = contents.windows(4).position(|four| four == b"WFDS").unwrap();
            change(&mut contents[at..]);
            contents
        })
    };
    let refused = replay_all(&state(|state| state[4] = 9)).unwrap_err();
    assert_eq!(refused, ReplayError::Checkpoint { call: 1, error: CheckpointError::Version { found: 9 } });
    let refused = replay_all(&state(|state| state[40] ^= 1)).unwrap_err();
    assert!(
        matches!(refused, ReplayError::Checkpoint { error: CheckpointError::Damaged(_), .. }),
        "{refused}"
    );
    // A head with other settings than the checkpoint.
    let head = wingfold_capture::reader::head(&bytes).unwrap();
    let another = |change: &dyn Fn(&mut Head)| {
        let mut head = head.clone();
        change(&mut head);
        forge(&bytes, BlockKind::Head, |_| rmp_serde::to_vec_named(&head).unwrap())
    };
    let refused = replay_all(&another(&|head| head.settings.drain_grace = Micros(1))).unwrap_err();
    assert_eq!(refused, ReplayError::Checkpoint { call: 1, error: CheckpointError::OtherSettings });
    let refused = replay_all(&another(&|head| head.settings.proxies = u32::MAX)).unwrap_err();
    assert_eq!(refused, ReplayError::Settings(SettingsError::TooManyProxies { count: u32::MAX }));
    let replayer = replay_all(&another(&|head| head.build = "wingfold 7.7".into())).unwrap();
    assert_eq!(replayer.report.builds, ["wingfold 7.7"]);
    assert!(replayer.first_difference.is_none(), "what another build recorded is replayed all the same");
}

#[test]
fn a_difference_is_found_at_its_call_and_in_its_table() {
    let bytes = recorded_segment("overload", 3);
    let at = 150;
    // One action of call 150 is changed, as if another build had recorded it.
    let mut seen = 0;
    let forged = forge(&bytes, BlockKind::Calls, |contents| contents);
    assert_eq!(calls(&forged).len(), calls(&bytes).len());
    let mut replayer = Replayer::new(ReplayMode::Compare);
    for entry in entries(&bytes) {
        let entry = match entry {
            Entry::Call(mut call) if call.number >= at && seen == 0 => {
                let mut actions = call.actions().unwrap();
                if let Some(Action::SetEntry { weight, .. }) =
                    actions.iter_mut().find(|a| matches!(a, Action::SetEntry { .. }))
                {
                    *weight = f64::from_bits(weight.to_bits() + 1);
                    seen = call.number;
                    call.actions = encode_actions(&actions);
                }
                Entry::Call(call)
            }
            entry => entry,
        };
        replayer.feed(entry).unwrap();
    }
    let first = replayer.first_difference.as_ref().expect("one bit of one weight");
    assert_eq!(first.call, seen);
    assert_eq!(replayer.report.differences, 1);
    let divergences = replayer.divergences();
    let tables: usize = divergences.values().map(Vec::len).sum();
    assert_eq!(tables, 1, "{divergences:?}");
    let (_, divergence) = &divergences.values().next().unwrap()[0];
    assert!(divergence.total_s > 0.0 && divergence.max_entries == 1, "{divergence:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, max_shrink_iters: 50, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_never_cause_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..3000), kind in 1..5u8) {
        let _ = replay_all(&bytes);
        // As the contents of a valid block after a valid head.
        let kind = [BlockKind::Head, BlockKind::Checkpoint, BlockKind::Calls, BlockKind::Index][usize::from(kind - 1)];
        let head = rmp_serde::to_vec_named(&Head { settings: scenario("example").settings, ..Head::default() }).unwrap();
        let forged = [block::encode(BlockKind::Head, 0, &head), block::encode(kind, 1, &bytes)].concat();
        let _ = replay_all(&forged);
    }

    #[test]
    fn forged_captures_never_cause_a_panic(
        seed in 0..3u64, kind in 0..3u8, flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
    ) {
        let bytes = recorded_segment("example", seed);
        let kind = [BlockKind::Head, BlockKind::Checkpoint, BlockKind::Calls][usize::from(kind)];
        let forged = forge(&bytes, kind, |mut contents| {
            for (at, to) in &flips {
                let at = at.index(contents.len());
                contents[at] = *to;
            }
            if kind == BlockKind::Checkpoint {
                if let Some(at) = contents.windows(4).position(|four| four == b"WFDS") {
                    let sum = crc32fast::hash(&contents[at + 22..]);
                    contents[at + 18..at + 22].copy_from_slice(&sum.to_le_bytes());
                }
            }
            contents
        });
        let _ = replay_all(&forged);
    }
}

#[test]
#[ignore = "the same as above for as long as one likes: PROPTEST_CASES=100000"]
fn forged_captures_for_a_long_time() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(20_000);
    let days: Vec<Vec<u8>> = (0..4).map(|seed| recorded_segment("example", seed)).collect();
    let mut state = 1u64;
    let mut random = move || {
        state = state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(1);
        (state >> 33) as usize
    };
    for _ in 0..cases {
        let bytes = &days[random() % days.len()];
        let kind = [BlockKind::Head, BlockKind::Checkpoint, BlockKind::Calls][random() % 3];
        let flips: Vec<(usize, u8)> = (0..random() % 8 + 1).map(|_| (random(), random() as u8)).collect();
        let forged = forge(bytes, kind, |mut contents| {
            for (at, to) in &flips {
                let length = contents.len();
                contents[at % length] = *to;
            }
            if let Some(at) =
                contents.windows(4).position(|four| four == b"WFDS").filter(|_| kind == BlockKind::Checkpoint)
            {
                let sum = crc32fast::hash(&contents[at + 22..]);
                contents[at + 18..at + 22].copy_from_slice(&sum.to_le_bytes());
            }
            contents
        });
        let _ = replay_all(&forged);
    }
}
