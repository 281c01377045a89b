//! Days of the emulator to record, and disks that fail as they are told to.
#![allow(dead_code)] // Each test file uses a part of this.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use wingfold_archive::{Archive, Disk};
use wingfold_capture::model::SegmentMeta;
use wingfold_capture::replay::{Mode, Replayer};
use wingfold_capture::scribe::Do;
use wingfold_capture::{entries, Entry, Head};
use wingfold_director::interface::*;
use wingfold_director::Director;
use wingfold_emulator::Scenario;

/// A folder of this test's own, gone when it ends.
pub struct Place(pub PathBuf);

impl Place {
    pub fn new() -> Place {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Place(path)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A scenario that is shipped.
pub fn scenario(name: &str) -> Scenario {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../wingfold-emulator/scenarios/{name}.hcl"));
    Scenario::read(name, &std::fs::read_to_string(path).unwrap()).unwrap()
}

/// One segment with a day of a director, as bytes; each day is played once.
pub fn day(name: &str, seed: u64) -> Vec<u8> {
    static DAYS: Mutex<BTreeMap<(String, u64), Vec<u8>>> = Mutex::new(BTreeMap::new());
    let mut days = DAYS.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let played = days.entry((name.to_string(), seed)).or_insert_with(|| {
        let place = Place::new();
        wingfold_emulator::simulate(&scenario(name), seed, Some(&place.0)).unwrap();
        Archive::open(&place.0.join("director-0")).unwrap().sources[0].read().unwrap()
    });
    played.clone()
}

/// Replays bytes of segments in their order.
pub fn replay<'a>(segments: impl IntoIterator<Item = &'a [u8]>) -> Replayer {
    let mut replayer = Replayer::new(Mode::Strict);
    for bytes in segments {
        for entry in entries(bytes) {
            replayer.feed(entry).unwrap();
        }
    }
    replayer
}

/// All calls in bytes of a segment.
pub fn calls(bytes: &[u8]) -> Vec<wingfold_capture::Call> {
    let calls = entries(bytes).filter_map(|entry| match entry {
        Entry::Call(call) => Some(call),
        _ => None,
    });
    calls.collect()
}

/// A director whose calls are those of a recorded day, for as long as it is asked.
pub struct Feed {
    pub director: Director,
    pub head: Head,
    calls: Vec<wingfold_capture::Call>,
    at: usize,
    pub answers: Vec<Vec<Action>>,
}

impl Feed {
    pub fn new(name: &str, seed: u64) -> Feed {
        let bytes = day(name, seed);
        let head = wingfold_capture::reader::head(&bytes).unwrap();
        let director = Director::new(head.settings.clone(), head.seed);
        Feed { director, head, calls: calls(&bytes), at: 0, answers: Vec::new() }
    }

    /// The next call of the day, made with a tap; false when the day is over.
    pub fn step<Q: wingfold_capture::Queue>(&mut self, tap: &mut wingfold_capture::Tap<Q>) -> bool {
        let Some(call) = self.calls.get(self.at) else { return false };
        self.at += 1;
        let mut actions = Vec::new();
        tap.before(call.at, &self.director);
        self.director.handle(call.at, &call.events, &mut actions);
        tap.after(call.at, &call.events, &actions, self.director.digest());
        self.answers.push(actions);
        true
    }

    /// What the same day answers without a tap.
    pub fn alone(&self) -> Vec<Vec<Action>> {
        let mut director = Director::new(self.head.settings.clone(), self.head.seed);
        let answer = |call: &wingfold_capture::Call| {
            let mut actions = Vec::new();
            director.handle(call.at, &call.events, &mut actions);
            actions
        };
        self.calls[..self.at].iter().map(answer).collect()
    }
}

/// A disk in memory that fails as it is told to.
#[derive(Clone, Default)]
pub struct Script {
    pub state: Arc<Mutex<Scripted>>,
}

#[derive(Default)]
pub struct Scripted {
    /// Bytes of each segment, in the order they were begun.
    pub segments: Vec<(u64, Vec<u8>)>,
    /// What the next things to do come to; after the last one all goes well.
    pub failing: Option<io::ErrorKind>,
    /// Half of an append is written before it fails.
    pub half: bool,
    pub failed: u32,
    pub removed: Vec<u64>,
}

impl Script {
    pub fn fail(&self, with: Option<io::ErrorKind>) {
        self.state.lock().unwrap().failing = with;
    }

    pub fn segments(&self) -> Vec<Vec<u8>> {
        self.state.lock().unwrap().segments.iter().map(|(_, bytes)| bytes.clone()).collect()
    }
}

impl Disk for Script {
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>> {
        Ok(Vec::new())
    }

    fn carry_out(&mut self, what: &Do) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        if let Some(kind) = state.failing {
            state.failed += 1;
            if let (Do::Append(bytes, _), true) = (what, state.half) {
                let half = bytes[..bytes.len() / 2].to_vec();
                if let Some((_, held)) = state.segments.last_mut() {
                    held.extend(half);
                }
            }
            return Err(kind.into());
        }
        match what {
            Do::Create(meta) => state.segments.push((meta.segment, Vec::new())),
            Do::Append(bytes, meta) => {
                let last = state.segments.last_mut().expect("a segment was begun");
                assert_eq!(last.0, meta.segment);
                last.1.extend(bytes);
            }
            Do::Seal(_) => {}
            Do::Remove(segment) => {
                state.removed.push(*segment);
                state.segments.retain(|(number, _)| number != segment);
            }
        }
        Ok(())
    }
}
