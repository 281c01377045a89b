//! The `capture` block.

use crate::hcl::Block;
use std::path::PathBuf;
use std::time::Duration;

const MB: u64 = 1 << 20;
const DAY: Duration = Duration::from_secs(86_400);
/// Characters of a token at least.
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
    /// Where it is written.
    pub target: CaptureTarget,
    /// The size at which a segment ends, in bytes.
    pub segment_bytes: u64,
    /// The age at which a segment ends.
    pub segment_age: Duration,
    /// The largest number of segments that are kept.
    pub max_segments: usize,
    /// The largest size of all segments that are kept, in bytes.
    pub max_bytes: u64,
    /// Bytes that may be queued for the writer.
    pub queue_bytes: usize,
    /// Time after which queued calls are written at the latest.
    pub flush_interval: Duration,
    /// Where the ring is written on request, or when an invariant is broken.
    pub dump_directory: Option<PathBuf>,
    /// The token of a request for a dump.
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
    let target = target(block, enabled);
    let dump = block.string("dump_directory").map(PathBuf::from);
    let token = block.string("dump_token");
    let segment = block.integer("segment_mb", 1..=256);
    let segment_bytes = segment.unwrap_or(16) * MB;
    let keep_bytes = block.integer("keep_mb", 1..=1 << 20).unwrap_or(1024) * MB;
    let capture = CaptureSettings {
        segment_bytes: within_ring(segment_bytes, &target),
        segment_age: block.duration("segment_age", Duration::from_secs(1)..=DAY).unwrap_or(DAY / 144),
        max_segments: block.integer("keep", 2..=100_000).unwrap_or(144) as usize,
        max_bytes: keep_bytes,
        queue_bytes: (block.integer("queue_kb", 64..=1 << 20).unwrap_or(4096) << 10) as usize,
        flush_interval: block
            .duration("flush", Duration::from_millis(50)..=Duration::from_secs(60))
            .unwrap_or(Duration::from_secs(1)),
        target,
        dump_directory: dump,
        dump_token: token,
    };
    check_dump(block, &capture);
    if segment.is_some() && segment_bytes > keep_bytes {
        block.report_key("segment_mb", None, "one segment is larger than `keep_mb` lets all of them be");
    }
    enabled.then_some(capture)
}

fn target(block: &Block, enabled: bool) -> CaptureTarget {
    let directory = block.string("directory").map(PathBuf::from);
    let memory = block.integer("memory_mb", 1..=4096);
    match (&directory, memory) {
        (Some(_), Some(_)) => {
            block.report("`directory` and `memory_mb` exclude each other: on a disk, or in memory")
        }
        (None, None) if enabled => block.report("needs `directory` (on a disk) or `memory_mb` (in memory)"),
        _ => {}
    }
    match directory {
        Some(directory) => CaptureTarget::Directory(directory),
        None => CaptureTarget::Memory((memory.unwrap_or(8) * MB) as usize),
    }
}

/// Limits segments of a ring to a quarter of it: only complete segments can be replayed.
fn within_ring(segment_bytes: u64, target: &CaptureTarget) -> u64 {
    match target {
        CaptureTarget::Memory(ring) => segment_bytes.min(*ring as u64 / 4),
        CaptureTarget::Directory(_) => segment_bytes,
    }
}

fn check_dump(block: &Block, capture: &CaptureSettings) {
    let Some(token) = &capture.dump_token else { return };
    let letters = token.chars().count();
    if letters < MIN_TOKEN_CHARS {
        let problem = format!("has {letters} letters; {MIN_TOKEN_CHARS} at least keep strangers out");
        block.report_key("dump_token", None, problem);
    }
    if capture.dump_directory.is_none() {
        let problem = "is missing, though `dump_token` lets somebody ask for a dump";
        block.report_key("dump_directory", None, problem);
    }
}
