//! Recorded runs of the emulator's scenarios, and a store that fails on request.
#![allow(dead_code)] // Each test file uses only some of these items.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use wingfold_archive::{Archive, SegmentStore};
use wingfold_capture::model::SegmentMeta;
use wingfold_capture::replay::{ReplayMode, Replayer};
use wingfold_capture::segment_writer::DiskOperation;
use wingfold_capture::{entries, Entry, Head};
use wingfold_director::interface::*;
use wingfold_director::Director;
use wingfold_emulator::Scenario;

/// A new folder that is removed when the value is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> TempFolder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A scenario that is shipped with the emulator.
pub fn scenario(name: &str) -> Scenario {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../wingfold-emulator/scenarios/{name}.hcl"));
    Scenario::read(name, &std::fs::read_to_string(path).unwrap()).unwrap()
}

/// The first segment that director 0 records in a scenario. Each scenario is simulated once for each seed.
pub fn recorded_segment(name: &str, seed: u64) -> Vec<u8> {
    static SEGMENTS: Mutex<BTreeMap<(String, u64), Vec<u8>>> = Mutex::new(BTreeMap::new());
    let mut segments = SEGMENTS.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let recorded = segments.entry((name.to_string(), seed)).or_insert_with(|| {
        let folder = TempFolder::new();
        wingfold_emulator::simulate(&scenario(name), seed, Some(&folder.0)).unwrap();
        Archive::open(&folder.0.join("director-0")).unwrap().segments[0].read().unwrap()
    });
    recorded.clone()
}

/// Replays segments in the given order; panics if one of them cannot be replayed.
pub fn replay<'a>(segments: impl IntoIterator<Item = &'a [u8]>) -> Replayer {
    let mut replayer = Replayer::new(ReplayMode::Strict);
    for bytes in segments {
        for entry in entries(bytes) {
            replayer.feed(entry).unwrap();
        }
    }
    replayer
}

/// All calls of a segment.
pub fn calls(bytes: &[u8]) -> Vec<wingfold_capture::Call> {
    let calls = entries(bytes).filter_map(|entry| match entry {
        Entry::Call(call) => Some(call),
        _ => None,
    });
    calls.collect()
}

/// A director that handles the calls of a recorded run again, with a recorder.
pub struct RecordedRun {
    pub director: Director,
    pub head: Head,
    calls: Vec<wingfold_capture::Call>,
    /// Number of calls that the director has handled.
    handled: usize,
    /// The actions of each handled call.
    pub actions: Vec<Vec<Action>>,
}

impl RecordedRun {
    pub fn new(name: &str, seed: u64) -> RecordedRun {
        let bytes = recorded_segment(name, seed);
        let head = wingfold_capture::reader::head(&bytes).unwrap();
        let director = Director::new(head.settings.clone(), head.seed);
        RecordedRun { director, head, calls: calls(&bytes), handled: 0, actions: Vec::new() }
    }

    /// Handles and records the next call; `false` if the run has no further call.
    pub fn handle_next_call<Q: wingfold_capture::RecorderQueue>(
        &mut self,
        recorder: &mut wingfold_capture::Recorder<Q>,
    ) -> bool {
        let Some(call) = self.calls.get(self.handled) else { return false };
        self.handled += 1;
        let mut actions = Vec::new();
        recorder.before_call(call.at, &self.director);
        self.director.handle(call.at, &call.events, &mut actions);
        recorder.after_call(call.at, &call.events, &actions, self.director.digest());
        self.actions.push(actions);
        true
    }

    /// The actions of the handled calls in a director without a recorder.
    pub fn actions_without_recorder(&self) -> Vec<Vec<Action>> {
        let mut director = Director::new(self.head.settings.clone(), self.head.seed);
        let handle = |call: &wingfold_capture::Call| {
            let mut actions = Vec::new();
            director.handle(call.at, &call.events, &mut actions);
            actions
        };
        self.calls[..self.handled].iter().map(handle).collect()
    }
}

/// A store in memory that fails on request.
#[derive(Clone, Default)]
pub struct FailingStore {
    pub state: Arc<Mutex<FailingStoreState>>,
}

#[derive(Default)]
pub struct FailingStoreState {
    /// Numbers and bytes of the segments, in the order of their creation.
    pub segments: Vec<(u64, Vec<u8>)>,
    /// The error of all operations; `None` if operations succeed.
    pub failure: Option<io::ErrorKind>,
    /// Whether an append that fails writes the first half of its bytes.
    pub writes_half_of_append: bool,
    /// Number of operations that failed.
    pub failed_operations: u32,
    /// Numbers of the segments that were removed, in the order of their removal.
    pub removed: Vec<u64>,
}

impl FailingStore {
    pub fn set_failure(&self, failure: Option<io::ErrorKind>) {
        self.state.lock().unwrap().failure = failure;
    }

    /// The bytes of each segment.
    pub fn segments(&self) -> Vec<Vec<u8>> {
        self.state.lock().unwrap().segments.iter().map(|(_, bytes)| bytes.clone()).collect()
    }
}

impl SegmentStore for FailingStore {
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>> {
        Ok(Vec::new())
    }

    fn apply(&mut self, operation: &DiskOperation) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        if let Some(kind) = state.failure {
            state.failed_operations += 1;
            if let (DiskOperation::Append(bytes, _), true) = (operation, state.writes_half_of_append) {
                let half = bytes[..bytes.len() / 2].to_vec();
                if let Some((_, contents)) = state.segments.last_mut() {
                    contents.extend(half);
                }
            }
            return Err(kind.into());
        }
        match operation {
            DiskOperation::Create(meta) => state.segments.push((meta.segment, Vec::new())),
            DiskOperation::Append(bytes, meta) => {
                let last = state.segments.last_mut().expect("a segment was created before the append");
                assert_eq!(last.0, meta.segment);
                last.1.extend(bytes);
            }
            DiskOperation::Seal(_) => {}
            DiskOperation::Remove(segment) => {
                state.removed.push(*segment);
                state.segments.retain(|(number, _)| number != segment);
            }
        }
        Ok(())
    }
}
