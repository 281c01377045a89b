//! A director of the simulation: the real decision module, its capture, and what the site knows of it.

use super::Simulation;
use crate::proxy::{HostWeights, RoutingRule};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use wingfold_archive::{synchronous, SegmentFolder, SegmentStore};
use wingfold_capture::replay_state::ReplayState;
use wingfold_capture::{Head, Recorder, RecorderQueue, SegmentLimits};
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A director.
pub(super) struct DirectorNode {
    /// The decision module; `None` while the director is down.
    pub(super) module: Option<Director>,
    tap: Option<Recorder<Box<dyn RecorderQueue>>>,
    /// Counts its starts and stops: what was sent to an earlier incarnation does not arrive.
    pub(super) incarnation: u32,
    pub(super) started: Timestamp,
    pub(super) zone: usize,
    /// It stands still, and events wait in its backlog.
    pub(super) stalled: bool,
    pub(super) backlog: Vec<Event>,
    /// Its tables as its actions make them.
    pub(super) mirror: ReplayState,
    /// Each table's weights as proxies are sent them.
    pub(super) snapshots: BTreeMap<TableId, HostWeights>,
    /// The proxies that are bound to each table.
    pub(super) table_users: BTreeMap<TableId, BTreeSet<usize>>,
    /// When the channel to its proxies will have sent all that waits.
    pub(super) channel_free: Timestamp,
    /// When the last message to each proxy arrives.
    pub(super) last_arrival: BTreeMap<usize, Timestamp>,
    /// Hosts that it was told drain or are gone, and since when.
    pub(super) unavailable_since: BTreeMap<HostId, Timestamp>,
}

impl DirectorNode {
    /// A director that was not started yet.
    pub(super) fn new(zone: usize) -> DirectorNode {
        DirectorNode {
            module: None,
            tap: None,
            incarnation: 0,
            started: Timestamp(0),
            zone,
            stalled: false,
            backlog: Vec::new(),
            mirror: ReplayState::default(),
            snapshots: BTreeMap::new(),
            table_users: BTreeMap::new(),
            channel_free: Timestamp(0),
            last_arrival: BTreeMap::new(),
            unavailable_since: BTreeMap::new(),
        }
    }

    /// Whether proxies can connect to it.
    pub(super) fn accepts_streams(&self) -> bool {
        self.module.is_some() && !self.stalled
    }

    /// A digest of its tables; 0 while it is down.
    pub(super) fn digest(&self) -> u64 {
        self.module.as_ref().map_or(0, Director::digest)
    }

    /// Writes the end of its capture, if it has one.
    pub(super) fn end_capture(&mut self) -> io::Result<()> {
        match &mut self.tap {
            Some(tap) => tap.queue().finish(),
            None => Ok(()),
        }
    }

    /// Forgets all that an earlier incarnation knew.
    fn restart(&mut self, module: Director, tap: Option<Recorder<Box<dyn RecorderQueue>>>, now: Timestamp) {
        self.module = Some(module);
        self.tap = tap;
        self.incarnation += 1;
        self.started = now;
        self.mirror = ReplayState::default();
        self.channel_free = now;
        self.snapshots.clear();
        self.table_users.clear();
        self.unavailable_since.clear();
        self.backlog.clear();
        self.last_arrival.clear();
    }

    /// The lines and levels of a table.
    pub(super) fn table_lines(&self, table: TableId) -> usize {
        self.mirror.tables.get(&table).map_or(0, |table| table.entries.len() + table.admission_levels.len())
    }

    /// Notes a proxy as a user of just the tables that it is bound to.
    pub(super) fn refresh_table_users(&mut self, proxy: usize) {
        self.forget_table_user(proxy);
        for ((bound, _), table) in &self.mirror.assignments {
            if bound.0 as usize == proxy {
                self.table_users.entry(*table).or_default().insert(proxy);
            }
        }
    }

    /// A proxy uses no table any more.
    fn forget_table_user(&mut self, proxy: usize) {
        for users in self.table_users.values_mut() {
            users.remove(&proxy);
        }
    }

    /// Forgets a proxy whose stream broke.
    pub(super) fn forget_proxy(&mut self, proxy: usize) {
        self.forget_table_user(proxy);
        self.mirror.assignments.retain(|(bound, _), _| bound.0 as usize != proxy);
        self.last_arrival.remove(&proxy);
    }

    /// A proxy's rule for a class by the tables; `current` stays where the proxy is bound to none.
    pub(super) fn rule(&self, proxy: usize, class: usize, current: &RoutingRule) -> RoutingRule {
        let id = ProxyId(proxy as u32);
        let mut bound = self.mirror.assignments.range((id, 0)..=(id, u64::MAX));
        let Some((_, table)) = bound.find(|((_, mask), _)| *mask == 0 || covers(*mask, class)) else {
            return current.clone();
        };
        let levels = self.mirror.tables.get(table).map(|table| &table.admission_levels);
        let level = levels.into_iter().flatten().find(|(mask, _)| covers(**mask, class));
        RoutingRule {
            weights: self.snapshots.get(table).cloned().unwrap_or_default(),
            level: level.map_or(1.0, |(_, level)| *level),
            retry: current.retry,
        }
    }

    /// Notes which hosts a list calls unavailable; `gone_is_advice`: hosts that are gone may still be used.
    fn note_list(&mut self, now: Timestamp, events: &[Event], gone_is_advice: bool) {
        for event in events {
            let Event::EndpointList { kind, endpoints: entries } = event else { continue };
            if *kind == EndpointListKind::Cached {
                continue;
            }
            for entry in entries {
                match entry.readiness {
                    Readiness::Ready => drop(self.unavailable_since.remove(&entry.host)),
                    Readiness::Removed if gone_is_advice => {}
                    _ => drop(self.unavailable_since.entry(entry.host.clone()).or_insert(now)),
                }
            }
        }
    }
}

/// Whether a mask of classes has a class.
fn covers(mask: u64, class: usize) -> bool {
    mask >> class & 1 == 1
}

impl Simulation<'_> {
    /// Starts a director from the initial list of hosts.
    pub(super) fn start_director(&mut self, director: usize) -> io::Result<()> {
        let settings = Settings { director_index: director as u32, ..self.scenario.settings.clone() };
        let incarnation = self.directors[director].incarnation + 1;
        let seed = self.seed ^ (director as u64) << 32 ^ u64::from(incarnation) << 48;
        let tap = match self.captures {
            Some(root) => Some(self.open_capture(root, director, seed, &settings)?),
            None => None,
        };
        let now = self.now;
        self.directors[director].restart(Director::new(settings, seed), tap, now);
        let list =
            Event::EndpointList { kind: EndpointListKind::Cached, endpoints: self.initial_list.clone() };
        self.deliver(director, vec![list])
    }

    fn open_capture(
        &self,
        root: &Path,
        director: usize,
        seed: u64,
        settings: &Settings,
    ) -> io::Result<Recorder<Box<dyn RecorderQueue>>> {
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
        let queue: Box<dyn RecorderQueue> = Box::new(synchronous(folder, head, SegmentLimits::default())?);
        Ok(Recorder::new(queue))
    }

    /// A director dies: its proxies lose their streams.
    pub(super) fn stop_director(&mut self, director: usize) -> io::Result<()> {
        let node = &mut self.directors[director];
        node.end_capture()?;
        node.module = None;
        node.tap = None;
        node.incarnation += 1;
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].director == Some(director) {
                self.disconnect(proxy);
            }
        }
        Ok(())
    }

    /// Lets a director stand still, or take all that came meanwhile.
    pub(super) fn stall_director(&mut self, director: usize, stalled: bool) -> io::Result<()> {
        self.directors[director].stalled = stalled;
        if stalled {
            return Ok(());
        }
        let events = std::mem::take(&mut self.directors[director].backlog);
        self.deliver(director, events)
    }

    /// Delivers events that were sent to one incarnation of a director.
    pub(super) fn deliver_to(
        &mut self,
        director: usize,
        incarnation: u32,
        events: Vec<Event>,
    ) -> io::Result<()> {
        if self.directors[director].incarnation == incarnation {
            self.deliver(director, events)
        } else {
            Ok(())
        }
    }

    /// Calls the decision module with events and carries out its actions.
    fn deliver(&mut self, director: usize, events: Vec<Event>) -> io::Result<()> {
        let now = self.now;
        let node = &mut self.directors[director];
        if node.stalled {
            node.backlog.extend(events);
            return Ok(());
        }
        if node.module.is_none() {
            return Ok(());
        }
        node.note_list(now, &events, self.scenario.settings.removal_is_advisory);
        let Some(module) = &mut node.module else { return Ok(()) };
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        if let Some(tap) = &mut node.tap {
            tap.before_call(now, module);
        }
        module.handle(now, &events, &mut actions);
        if let Some(tap) = &mut node.tap {
            tap.after_call(now, &events, &actions, module.digest());
        }
        self.observer.director_called(director, now, &events, &actions, module);
        self.apply_actions(director, &actions);
        self.actions = actions;
        Ok(())
    }
}
