//! Captures the decision module's calls of an instance in a directory.

use std::path::Path;
use wingfold_archive::{open_synchronous, SegmentFolder, SynchronousQueue};
use wingfold_capture::{Head, Recorder, RecorderQueue, SegmentLimits};
use wingfold_director::interface::{Action, Event, Settings, Timestamp};
use wingfold_director::Director;
use wingfold_settings::ReportNames;

/// The capture of one instance. Dropping it ends the capture.
pub struct Capture {
    recorder: Recorder<SynchronousQueue<SegmentFolder>>,
}

impl Capture {
    /// Starts the capture of an instance in a directory of its own below `root`. If the capture cannot start,
    /// prints the error and returns `None`; the instance then runs without a capture.
    pub fn start(
        root: &Path,
        number: u64,
        now: Timestamp,
        seed: u64,
        settings: &Settings,
        names: &ReportNames,
    ) -> Option<Self> {
        let name = format!("instance-{number}");
        let head = Head {
            build: format!("wingfold {}", env!("CARGO_PKG_VERSION")),
            director: name.clone(),
            incarnation: now,
            segment: 0,
            seed,
            settings: settings.clone(),
            class_names: names.classes.clone(),
            ..Head::default()
        };
        match open_synchronous(SegmentFolder::new(root, &name), head, SegmentLimits::default()) {
            Ok(queue) => Some(Capture { recorder: Recorder::new(queue) }),
            Err(error) => {
                eprintln!("wingfold-simhost: cannot start the capture of instance {number}: {error}");
                None
            }
        }
    }

    /// Must be called before the decision module handles events.
    pub fn before_call(&mut self, now: Timestamp, director: &Director) {
        self.recorder.before_call(now, director);
    }

    /// Must be called after the decision module has handled `events` and returned `actions`.
    pub fn after_call(&mut self, now: Timestamp, events: &[Event], actions: &[Action], director: &Director) {
        self.recorder.after_call(now, events, actions, director.digest());
    }
}

impl Drop for Capture {
    fn drop(&mut self) {
        if let Err(error) = self.recorder.queue().finish() {
            eprintln!("wingfold-simhost: the capture is incomplete: {error}");
        }
    }
}
