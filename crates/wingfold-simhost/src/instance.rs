//! One director instance: its decision module, the names of its settings and the events that it has not handled yet.

use crate::capture::Capture;
use crate::wire::Launch;
use std::path::Path;
use wingfold_director::interface::{Action, Event, Timestamp};
use wingfold_director::Director;
use wingfold_settings::ReportNames;

/// One director and what is needed to read its messages.
pub struct Instance {
    names: ReportNames,
    director: Director,
    pending: Vec<Event>,
    capture: Option<Capture>,
}

impl Instance {
    /// Starts an instance. If `capture_root` is given, its calls are captured below it.
    pub fn new(number: u64, now: Timestamp, launch: &Launch, capture_root: Option<&Path>) -> Self {
        let names = launch.settings.report_names();
        let settings = launch.settings.director_settings();
        let capture =
            capture_root.and_then(|root| Capture::start(root, number, now, launch.seed, &settings, &names));
        let director = Director::new(settings, launch.seed);
        Instance { names, director, pending: Vec::new(), capture }
    }

    /// The names that its messages use.
    pub fn names(&self) -> &ReportNames {
        &self.names
    }

    /// Whether events wait to be handled.
    pub fn has_events(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Keeps an event until the batch is complete.
    pub fn queue(&mut self, event: Event) {
        self.pending.push(event);
    }

    /// Handles the events of a batch in one call of the decision module.
    pub fn handle_events(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if let Some(capture) = &mut self.capture {
            capture.before_call(now, &self.director);
        }
        self.director.handle(now, &self.pending, actions);
        if let Some(capture) = &mut self.capture {
            capture.after_call(now, &self.pending, actions, &self.director);
        }
        self.pending.clear();
    }
}
