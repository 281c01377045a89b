//! The `capture` block.

use crate::hcl::Block;
use std::path::PathBuf;
use std::time::Duration;

const MB: u64 = 1 << 20;
const DAY: Duration = Duration::from_secs(86_400);
/// Letters of a token at least: one that can be guessed keeps nobody out.
const MIN_TOKEN_LETTERS: usize = 16;

/// Where a capture goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A folder; each director has one of its own below it.
    Folder(PathBuf),
    /// A ring in memory of so many bytes.
    Memory(usize),
}

/// The `capture` block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Capture {
    /// Where it goes.
    pub target: Target,
    /// A segment ends with so many bytes.
    pub segment_bytes: u64,
    /// Or after this time.
    pub segment_age: Duration,
    /// Segments that are kept.
    pub keep: usize,
    /// Bytes of them that are kept.
    pub keep_bytes: u64,
    /// Bytes that may wait for the writer.
    pub queue: usize,
    /// Calls are written after this time at the latest.
    pub flush: Duration,
    /// Where a ring is written to when somebody asks or an invariant fails.
    pub dump: Option<PathBuf>,
    /// Who asks must know this.
    pub token: Option<String>,
}

impl Capture {
    /// Bytes of memory that it takes.
    pub(super) fn memory(&self) -> usize {
        let ring = match self.target {
            Target::Memory(bytes) => bytes,
            Target::Folder(_) => 0,
        };
        self.queue + ring
    }
}

/// Reads the block; `None`: the capture is off.
pub(super) fn capture(block: &Block) -> Option<Capture> {
    let enabled = block.flag("enabled").unwrap_or(false);
    let target = target(block, enabled);
    let dump = block.text("dump_directory").map(PathBuf::from);
    let token = block.text("dump_token");
    let segment = block.whole("segment_mb", 1..=256);
    let segment_bytes = segment.unwrap_or(16) * MB;
    let keep_bytes = block.whole("keep_mb", 1..=1 << 20).unwrap_or(1024) * MB;
    let capture = Capture {
        segment_bytes: within_ring(segment_bytes, &target),
        segment_age: block.time("segment_age", Duration::from_secs(1)..=DAY).unwrap_or(DAY / 144),
        keep: block.whole("keep", 2..=100_000).unwrap_or(144) as usize,
        keep_bytes,
        queue: (block.whole("queue_kb", 64..=1 << 20).unwrap_or(4096) << 10) as usize,
        flush: block
            .time("flush", Duration::from_millis(50)..=Duration::from_secs(60))
            .unwrap_or(Duration::from_secs(1)),
        target,
        dump,
        token,
    };
    check_dump(block, &capture);
    if segment.is_some() && segment_bytes > keep_bytes {
        block.wrong_at("segment_mb", None, "one segment is larger than `keep_mb` lets all of them be");
    }
    enabled.then_some(capture)
}

fn target(block: &Block, enabled: bool) -> Target {
    let directory = block.text("directory").map(PathBuf::from);
    let memory = block.whole("memory_mb", 1..=4096);
    match (&directory, memory) {
        (Some(_), Some(_)) => {
            block.wrong("`directory` and `memory_mb` exclude each other: on a disk, or in memory")
        }
        (None, None) if enabled => block.wrong("needs `directory` (on a disk) or `memory_mb` (in memory)"),
        _ => {}
    }
    match directory {
        Some(directory) => Target::Folder(directory),
        None => Target::Memory((memory.unwrap_or(8) * MB) as usize),
    }
}

/// Only whole segments of a ring replay: a quarter each leaves three of them at any time.
fn within_ring(segment_bytes: u64, target: &Target) -> u64 {
    match target {
        Target::Memory(ring) => segment_bytes.min(*ring as u64 / 4),
        Target::Folder(_) => segment_bytes,
    }
}

fn check_dump(block: &Block, capture: &Capture) {
    let Some(token) = &capture.token else { return };
    let letters = token.chars().count();
    if letters < MIN_TOKEN_LETTERS {
        let problem = format!("has {letters} letters; {MIN_TOKEN_LETTERS} at least keep strangers out");
        block.wrong_at("dump_token", None, problem);
    }
    if capture.dump.is_none() {
        let problem = "is missing, though `dump_token` lets somebody ask for a dump";
        block.wrong_at("dump_directory", None, problem);
    }
}
