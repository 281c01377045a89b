//! Recorded days of the emulator, and a store that fails on request.
#![allow(dead_code)] // Each test file uses a part of this.

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

/// A folder that is removed at the end of the test.
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

/// One of the shipped scenarios.
pub fn scenario(name: &str) -> Scenario {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../wingfold-emulator/scenarios/{name}.hcl"));
    Scenario::read(name, &std::fs::read_to_string(path).unwrap()).unwrap()
}

/// The bytes of a segment with a day of a director; each day is simulated once.
pub fn recorded_segment(name: &str, seed: u64) -> Vec<u8> {
    static DAYS: Mutex<BTreeMap<(String, u64), Vec<u8>>> = Mutex::new(BTreeMap::new());
    let mut segments = DAYS.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let recorded = segments.entry((name.to_string(), seed)).or_insert_with(|| {
        let folder = TempFolder::new();
        wingfold_emulator::simulate(&scenario(name), seed, Some(&folder.0)).unwrap();
        Archive::open(&folder.0.join("director-0")).unwrap().segments[0].read().unwrap()
    });
    recorded.clone()
}

/// Replays segments in their order.
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

/// A director that handles the calls of a recorded day.
pub struct RecordedDay {
    pub director: Director,
    pub head: Head,
    calls: Vec<wingfold_capture::Call>,
    at: usize,
    pub actions: Vec<Vec<Action>>,
}

impl RecordedDay {
    pub fn new(name: &str, seed: u64) -> RecordedDay {
        let bytes = recorded_segment(name, seed);
        let head = wingfold_capture::reader::head(&bytes).unwrap();
        let director = Director::new(head.settings.clone(), head.seed);
        RecordedDay { director, head, calls: calls(&bytes), at: 0, actions: Vec::new() }
    }

    /// Handles and records the next call of the day; `false` when the day is over.
    pub fn next_call<Q: wingfold_capture::RecorderQueue>(
        &mut self,
        recorder: &mut wingfold_capture::Recorder<Q>,
    ) -> bool {
        let Some(call) = self.calls.get(self.at) else { return false };
        self.at += 1;
        let mut actions = Vec::new();
        recorder.before_call(call.at, &self.director);
        self.director.handle(call.at, &call.events, &mut actions);
        recorder.after_call(call.at, &call.events, &actions, self.director.digest());
        self.actions.push(actions);
        true
    }

    /// The actions of the same calls without a recorder.
    pub fn actions_without_recorder(&self) -> Vec<Vec<Action>> {
        let mut director = Director::new(self.head.settings.clone(), self.head.seed);
        let answer = |call: &wingfold_capture::Call| {
            let mut actions = Vec::new();
            director.handle(call.at, &call.events, &mut actions);
            actions
        };
        self.calls[..self.at].iter().map(answer).collect()
    }
}

/// A store in memory that fails on request.
#[derive(Clone, Default)]
pub struct ScriptedStore {
    pub state: Arc<Mutex<ScriptedState>>,
}

#[derive(Default)]
pub struct ScriptedState {
    /// Numbers and bytes of the segments, in the order of their creation.
    pub segments: Vec<(u64, Vec<u8>)>,
    /// The error of all operations; `None`: they succeed.
    pub failing_with: Option<io::ErrorKind>,
    /// Half of the bytes of an append are written before it fails.
    pub writes_half: bool,
    pub failed: u32,
    pub removed: Vec<u64>,
}

impl ScriptedStore {
    pub fn fail_with(&self, with: Option<io::ErrorKind>) {
        self.state.lock().unwrap().failing_with = with;
    }

    pub fn segments(&self) -> Vec<Vec<u8>> {
        self.state.lock().unwrap().segments.iter().map(|(_, bytes)| bytes.clone()).collect()
    }
}

impl SegmentStore for ScriptedStore {
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>> {
        Ok(Vec::new())
    }

    fn apply(&mut self, what: &DiskOperation) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        if let Some(kind) = state.failing_with {
            state.failed += 1;
            if let (DiskOperation::Append(bytes, _), true) = (what, state.writes_half) {
                let half = bytes[..bytes.len() / 2].to_vec();
                if let Some((_, held)) = state.segments.last_mut() {
                    held.extend(half);
                }
            }
            return Err(kind.into());
        }
        match what {
            DiskOperation::Create(meta) => state.segments.push((meta.segment, Vec::new())),
            DiskOperation::Append(bytes, meta) => {
                let last = state.segments.last_mut().expect("a segment was begun");
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
