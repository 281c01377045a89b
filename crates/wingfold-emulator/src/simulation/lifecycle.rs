//! Starts, stops and stalls directors, and calls their decision modules.

use super::director::CallRecorder;
use super::Simulation;
use std::io;
use std::path::Path;
use wingfold_archive::{open_synchronous, SegmentFolder, SegmentStore};
use wingfold_capture::{Head, Recorder, RecorderQueue, SegmentLimits};
use wingfold_director::interface::*;
use wingfold_director::Director;

impl Simulation<'_> {
    /// Starts a director, whose first event is the initial endpoint list as a cached list.
    pub(super) fn start_director(&mut self, director: usize) -> io::Result<()> {
        let settings = Settings { director_index: director as u32, ..self.scenario.settings.clone() };
        let seed = self.director_seed(director);
        let recorder = match self.capture_root {
            Some(root) => Some(self.open_capture(root, director, seed, &settings)?),
            None => None,
        };
        let module = Director::new(settings, seed);
        self.directors[director].restart(module, recorder, self.now);
        let endpoints = self.initial_endpoints.clone();
        let endpoint_list = Event::EndpointList { kind: EndpointListKind::Cached, endpoints };
        self.deliver(director, vec![endpoint_list])
    }

    /// The seed of a director's next incarnation, which differs between the directors and incarnations of a
    /// run.
    fn director_seed(&self, director: usize) -> u64 {
        let incarnation = self.directors[director].incarnation + 1;
        self.seed ^ (director as u64) << 32 ^ u64::from(incarnation) << 48
    }

    fn open_capture(
        &self,
        root: &Path,
        director: usize,
        seed: u64,
        settings: &Settings,
    ) -> io::Result<CallRecorder> {
        let name = format!("director-{director}");
        let head = Head {
            build: format!("wingfold {}", env!("CARGO_PKG_VERSION")),
            director: name.clone(),
            incarnation: self.now,
            segment: 0,
            seed,
            settings: settings.clone(),
            class_names: self.scenario.classes.iter().map(|class| class.name.clone()).collect(),
            ..Head::default()
        };
        let mut folder = SegmentFolder::new(root, &name);
        folder.open()?;
        let queue: Box<dyn RecorderQueue> =
            Box::new(open_synchronous(folder, head, SegmentLimits::default())?);
        Ok(Recorder::new(queue))
    }

    /// Stops a director, whose proxies lose their streams.
    pub(super) fn stop_director(&mut self, director: usize) -> io::Result<()> {
        self.directors[director].stop()?;
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].director == Some(director) {
                self.disconnect(proxy);
            }
        }
        Ok(())
    }

    /// Stalls a director, or resumes it and delivers all events that have arrived in the meantime.
    pub(super) fn stall_director(&mut self, director: usize, is_stalled: bool) -> io::Result<()> {
        let node = &mut self.directors[director];
        node.is_stalled = is_stalled;
        if is_stalled {
            return Ok(());
        }
        let events = std::mem::take(&mut node.backlog);
        self.deliver(director, events)
    }

    /// Delivers events that were sent to an incarnation of a director; drops the events if the incarnation
    /// has ended.
    pub(super) fn deliver_to_incarnation(
        &mut self,
        director: usize,
        incarnation: u32,
        events: Vec<Event>,
    ) -> io::Result<()> {
        if self.directors[director].incarnation != incarnation {
            return Ok(());
        }
        self.deliver(director, events)
    }

    /// Delivers events to a director. Events wait while the director is stalled and are dropped while it is
    /// down.
    fn deliver(&mut self, director: usize, events: Vec<Event>) -> io::Result<()> {
        let node = &mut self.directors[director];
        if node.is_stalled {
            node.backlog.extend(events);
            return Ok(());
        }
        if node.module.is_none() {
            return Ok(());
        }
        node.record_unavailable_hosts(self.now, &events, self.scenario.settings.removal_is_advisory);
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        self.call_module(director, &events, &mut actions);
        self.apply_actions(director, &actions);
        self.actions = actions;
        Ok(())
    }

    /// Calls a decision module with events, and passes the call to the recorder and the observer.
    fn call_module(&mut self, director: usize, events: &[Event], actions: &mut Vec<Action>) {
        let now = self.now;
        let node = &mut self.directors[director];
        let Some(module) = &mut node.module else { return };
        if let Some(recorder) = &mut node.recorder {
            recorder.before_call(now, module);
        }
        module.handle(now, events, actions);
        if let Some(recorder) = &mut node.recorder {
            recorder.after_call(now, events, actions, module.digest());
        }
        self.observer.director_called(director, now, events, actions, module);
    }
}
