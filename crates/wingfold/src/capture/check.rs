//! `wingfold capture check`: whether all of a capture can be read.

use super::CaptureError;
use crate::cli::Outcome;
use crate::segments;
use std::path::Path;
use wingfold_archive::Archive;
use wingfold_capture::{entries, Entry};

/// What a segment holds, and what is wrong with it.
#[derive(Default)]
struct SegmentCheck {
    calls: u64,
    events: u64,
    checkpoints: usize,
    has_ended: bool,
    faults: Vec<String>,
}

/// Reads every segment and prints what is damaged or missing.
pub fn check(path: &Path) -> Result<Outcome, CaptureError> {
    let archive = Archive::open(path)?;
    let mut is_good = archive.unreadable.is_empty();
    for path in &archive.unreadable {
        println!("{}: no sound head: nothing in it can be replayed", path.display());
    }
    for segment in &archive.segments {
        let bytes = segments::read(segment)?;
        let check = SegmentCheck::of(&bytes);
        check.print(&segment.path);
        is_good &= check.faults.is_empty();
    }
    Ok(if is_good { Outcome::Success } else { Outcome::Negative })
}

impl SegmentCheck {
    fn of(bytes: &[u8]) -> Self {
        let mut check = SegmentCheck::default();
        for entry in entries(bytes) {
            check.add(entry);
        }
        if !check.has_ended {
            check.faults.push("not ended: its director was killed, or still writes it".into());
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
                self.has_ended = true;
                if index.calls != self.calls {
                    self.faults.push(format!("its index speaks of {} calls", index.calls));
                }
            }
            Entry::Damage { offset, fault } => self.faults.push(format!("byte {offset}: {fault}")),
        }
    }

    fn print(&self, path: &Path) {
        println!(
            "{}: {} calls, {} events, {} checkpoint(s)",
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
