//! `wingfold capture show`: lists the segments of a capture.

use super::CaptureError;
use crate::cli::Outcome;
use crate::format;
use serde_json::{json, Value};
use std::path::Path;
use wingfold_archive::{Archive, SegmentFile};
use wingfold_capture::Gap;

const BYTES_PER_MB: f64 = 1e6;

/// Prints one line for each segment: text, or a JSON object if `as_json`.
pub fn show(path: &Path, as_json: bool) -> Result<Outcome, CaptureError> {
    let archive = Archive::open(path)?;
    for path in &archive.unreadable {
        eprintln!("{}: no valid head", path.display());
    }
    for segment in &archive.segments {
        if as_json {
            println!("{}", segment_json(segment));
        } else {
            print_segment(segment);
        }
    }
    Ok(Outcome::Success)
}

fn segment_json(segment: &SegmentFile) -> Value {
    let meta = &segment.meta;
    json!({
        "file": segment.path,
        "name": segment.head.director,
        "build": segment.head.build,
        "run_s": meta.incarnation.secs(),
        "segment": meta.segment,
        "first_call": meta.first.number,
        "last_call": meta.last.number,
        "first_s": meta.first.at.secs(),
        "last_s": meta.last.at.secs(),
        "bytes": meta.bytes,
        "sealed": meta.sealed,
        "gap": meta.gap.as_ref().map(gap_json),
    })
}

fn gap_json(gap: &Gap) -> Value {
    json!({"from": gap.from, "to": gap.to, "reason": gap.reason.to_string()})
}

fn print_segment(segment: &SegmentFile) {
    let meta = &segment.meta;
    if let Some(gap) = &meta.gap {
        println!("          not recorded: calls {} to {} ({})", gap.from, gap.to, gap.reason);
    }
    let calls = meta.last.number.saturating_sub(meta.first.number) + 1;
    println!(
        "{:>8}  {} to {}  calls {} to {} ({calls})  {:.2} MB{}  {} started {}, {}",
        meta.segment,
        format::time(meta.first.at),
        format::time(meta.last.at),
        meta.first.number,
        meta.last.number,
        meta.bytes as f64 / BYTES_PER_MB,
        if meta.sealed { "" } else { "  incomplete" },
        segment.head.director,
        format::time(meta.incarnation),
        segment.head.build,
    );
}
