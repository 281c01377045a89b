//! Captures the calls of an instance in a directory.

use std::path::Path;
use wingfold_archive::{direct, writer::Direct, Folder};
use wingfold_capture::{Head, Limits, Queue, Tap};
use wingfold_director::interface::{Action, Event, Settings, Timestamp};
use wingfold_director::Director;
use wingfold_settings::Names;

/// The capture of one instance; ends when it is dropped.
pub struct Capture {
    tap: Tap<Direct<Folder>>,
}

impl Capture {
    /// Starts the capture of an instance in its directory below `root`. If that fails, the instance goes without.
    pub fn start(
        root: &Path,
        number: u64,
        now: Timestamp,
        seed: u64,
        settings: &Settings,
        names: &Names,
    ) -> Option<Self> {
        let name = format!("instance-{number}");
        let head = Head {
            build: format!("wingfold {}", env!("CARGO_PKG_VERSION")),
            name: name.clone(),
            run: now,
            segment: 0,
            seed,
            settings: settings.clone(),
            classes: names.classes.clone(),
            ..Head::default()
        };
        match direct(Folder::new(root, &name), head, Limits::default()) {
            Ok(queue) => Some(Capture { tap: Tap::new(queue) }),
            Err(problem) => {
                eprintln!("wingfold-simhost: no capture: {problem}");
                None
            }
        }
    }

    /// To be called before the decision module handles events.
    pub fn before_call(&mut self, now: Timestamp, director: &Director) {
        self.tap.before(now, director);
    }

    /// To be called after the decision module has handled `events` and ordered `actions`.
    pub fn after_call(&mut self, now: Timestamp, events: &[Event], actions: &[Action], director: &Director) {
        self.tap.after(now, events, actions, director.digest());
    }
}

impl Drop for Capture {
    fn drop(&mut self) {
        if let Err(problem) = self.tap.queue().end() {
            eprintln!("wingfold-simhost: the capture has gaps: {problem}");
        }
    }
}
