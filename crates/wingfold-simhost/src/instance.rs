//! One director instance: its decision module, the names from its settings, and the events of the current
//! batch.

use crate::capture::Capture;
use crate::wire::Launch;
use std::path::Path;
use wingfold_director::interface::{Action, Event, Timestamp};
use wingfold_director::Director;
use wingfold_settings::ReportNames;

/// A director, with the names that are needed to read its messages, its queued events and its capture.
pub struct Instance {
    names: ReportNames,
    director: Director,
    queued_events: Vec<Event>,
    capture: Option<Capture>,
}

impl Instance {
    /// Starts an instance. If `capture_root` is given, the calls of the director are captured in a directory
    /// below it.
    pub fn new(number: u64, now: Timestamp, launch: &Launch, capture_root: Option<&Path>) -> Self {
        let names = launch.settings.report_names();
        let settings = launch.settings.director_settings();
        let capture =
            capture_root.and_then(|root| Capture::start(root, number, now, launch.seed, &settings, &names));
        let director = Director::new(settings, launch.seed);
        Instance { names, director, queued_events: Vec::new(), capture }
    }

    /// The names that are needed to read the messages of this instance.
    pub fn names(&self) -> &ReportNames {
        &self.names
    }

    /// Whether events are queued.
    pub fn has_events(&self) -> bool {
        !self.queued_events.is_empty()
    }

    /// Queues an event until the batch is complete.
    pub fn queue(&mut self, event: Event) {
        self.queued_events.push(event);
    }

    /// Handles all queued events in one call of the decision module.
    pub fn handle_events(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if let Some(capture) = &mut self.capture {
            capture.before_call(now, &self.director);
        }
        self.director.handle(now, &self.queued_events, actions);
        if let Some(capture) = &mut self.capture {
            capture.after_call(now, &self.queued_events, actions, &self.director);
        }
        self.queued_events.clear();
    }
}
