//! `wingfold capture check`: reports damaged and missing parts of a capture.

use super::CaptureError;
use crate::cli::Outcome;
use crate::segments;
use std::path::Path;
use wingfold_archive::Archive;
use wingfold_capture::{entries, Entry};

/// The contents of a segment, and the faults found in it.
#[derive(Default)]
struct SegmentCheck {
    calls: u64,
    events: u64,
    checkpoints: usize,
    has_index: bool,
    faults: Vec<String>,
}

/// Reads every segment and prints its contents and faults.
pub fn check(path: &Path) -> Result<Outcome, CaptureError> {
    let archive = Archive::open(path)?;
    let mut is_intact = archive.unreadable.is_empty();
    for path in &archive.unreadable {
        println!("{}: no valid head: no call of this segment can be replayed", path.display());
    }
    for segment in &archive.segments {
        let bytes = segments::read(segment)?;
        let check = SegmentCheck::of(&bytes);
        check.print(&segment.path);
        is_intact &= check.faults.is_empty();
    }
    Ok(if is_intact { Outcome::Success } else { Outcome::Negative })
}

impl SegmentCheck {
    fn of(bytes: &[u8]) -> Self {
        let mut check = SegmentCheck::default();
        for entry in entries(bytes) {
            check.add(entry);
        }
        // A director writes the index when it ends a segment.
        if !check.has_index {
            check.faults.push("incomplete: the director was killed, or is still writing the segment".into());
        }
        check
    }

    fn add(&mut self, entry: Entry) {
        match entry {
            Entry::Head(_) => {}
            Entry::Call(call) => {
                self.calls += 1;
                self.events += call.events.len() as u64;
            }
            Entry::Checkpoint(head, _) => {
                self.checkpoints += 1;
                self.faults.extend(head.gap.map(|gap| {
                    format!("calls {} to {} were not recorded: {}", gap.from, gap.to, gap.reason)
                }));
            }
            Entry::Index(index) => {
                self.has_index = true;
                if index.calls != self.calls {
                    self.faults.push(format!(
                        "the index counts {} calls, but {} were read",
                        index.calls, self.calls
                    ));
                }
            }
            Entry::Damage { offset, fault } => self.faults.push(format!("byte {offset}: {fault}")),
        }
    }

    fn print(&self, path: &Path) {
        println!(
            "{}: {} calls, {} events, {} checkpoints",
            path.display(),
            self.calls,
            self.events,
            self.checkpoints
        );
        for fault in &self.faults {
            println!("    {fault}");
        }
    }
}
