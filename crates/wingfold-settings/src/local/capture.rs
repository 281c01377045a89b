//! The `capture` block.

use crate::hcl::Block;
use std::path::PathBuf;
use std::time::Duration;

const MB: u64 = 1 << 20;
const DAY: Duration = Duration::from_secs(86_400);
/// The smallest length of a dump token: shorter tokens could be guessed.
const MIN_TOKEN_CHARS: usize = 16;

/// Where a capture is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CaptureTarget {
    /// A directory, with a subdirectory for each director.
    Directory(PathBuf),
    /// A ring buffer in memory, of this many bytes.
    Memory(usize),
}

/// The `capture` block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaptureSettings {
    /// Where the capture is written.
    pub target: CaptureTarget,
    /// The size at which a segment ends, in bytes.
    pub segment_bytes: u64,
    /// The age at which a segment ends.
    pub segment_age: Duration,
    /// The largest number of segments that are kept.
    pub max_segments: usize,
    /// The largest total size of the segments that are kept, in bytes.
    pub max_bytes: u64,
    /// The largest number of bytes that may be queued for the writer.
    pub queue_bytes: usize,
    /// The longest time that calls stay queued before they are written.
    pub flush_interval: Duration,
    /// The directory into which the ring buffer is dumped on request, or when an invariant is broken.
    pub dump_directory: Option<PathBuf>,
    /// The token that a request for a dump must present.
    pub dump_token: Option<String>,
}

impl CaptureSettings {
    /// Bytes of memory that the capture reserves.
    pub(super) fn memory_bytes(&self) -> usize {
        let ring = match self.target {
            CaptureTarget::Memory(bytes) => bytes,
            CaptureTarget::Directory(_) => 0,
        };
        self.queue_bytes + ring
    }
}

/// Reads the block; `None` if the capture is off.
pub(super) fn read_capture(block: &Block) -> Option<CaptureSettings> {
    let enabled = block.boolean("enabled").unwrap_or(false);
    let target = read_target(block, enabled);
    let dump_directory = block.string("dump_directory").map(PathBuf::from);
    let dump_token = block.string("dump_token");
    let segment = block.integer("segment_mb", 1..=256);
    let segment_bytes = segment.unwrap_or(16) * MB;
    let keep_bytes = block.integer("keep_mb", 1..=1 << 20).unwrap_or(1024) * MB;
    let capture = CaptureSettings {
        segment_bytes: limit_to_ring(segment_bytes, &target),
        segment_age: block.duration("segment_age", Duration::from_secs(1)..=DAY).unwrap_or(DAY / 144),
        max_segments: block.integer("keep", 2..=100_000).unwrap_or(144) as usize,
        max_bytes: keep_bytes,
        queue_bytes: (block.integer("queue_kb", 64..=1 << 20).unwrap_or(4096) << 10) as usize,
        flush_interval: block
            .duration("flush", Duration::from_millis(50)..=Duration::from_secs(60))
            .unwrap_or(Duration::from_secs(1)),
        target,
        dump_directory,
        dump_token,
    };
    check_dump(block, &capture);
    if segment.is_some() && segment_bytes > keep_bytes {
        block.report_key(
            "segment_mb",
            None,
            "must not exceed `keep_mb`, the total size of the segments that are kept",
        );
    }
    enabled.then_some(capture)
}

fn read_target(block: &Block, enabled: bool) -> CaptureTarget {
    let directory = block.string("directory").map(PathBuf::from);
    let memory = block.integer("memory_mb", 1..=4096);
    match (&directory, memory) {
        (Some(_), Some(_)) => {
            block.report("`directory` (on disk) and `memory_mb` (in memory) exclude each other")
        }
        (None, None) if enabled => block.report("needs `directory` (on disk) or `memory_mb` (in memory)"),
        _ => {}
    }
    match directory {
        Some(directory) => CaptureTarget::Directory(directory),
        None => CaptureTarget::Memory((memory.unwrap_or(8) * MB) as usize),
    }
}

/// Limits the segments of a ring buffer to a quarter of its size, so that it always holds several: only
/// complete segments can be replayed.
fn limit_to_ring(segment_bytes: u64, target: &CaptureTarget) -> u64 {
    match target {
        CaptureTarget::Memory(ring) => segment_bytes.min(*ring as u64 / 4),
        CaptureTarget::Directory(_) => segment_bytes,
    }
}

fn check_dump(block: &Block, capture: &CaptureSettings) {
    let Some(token) = &capture.dump_token else { return };
    let length = token.chars().count();
    if length < MIN_TOKEN_CHARS {
        let required = format!("at least {MIN_TOKEN_CHARS} are required: shorter tokens could be guessed");
        let problem = format!("has {length} characters, {required}");
        block.report_key("dump_token", None, problem);
    }
    if capture.dump_directory.is_none() {
        let problem = "is missing; with `dump_token`, a request can ask for a dump, which is written there";
        block.report_key("dump_directory", None, problem);
    }
}
