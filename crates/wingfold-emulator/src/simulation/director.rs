//! A director of the simulation: the real decision module, the capture of its calls, and the state that the
//! director has sent to its proxies.

use crate::proxy::{ClassRoute, HostWeights};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use wingfold_capture::replay_state::ReplayState;
use wingfold_capture::{Recorder, RecorderQueue};
use wingfold_director::interface::*;
use wingfold_director::Director;

/// The class mask of an assignment that applies to all classes.
const ALL_CLASSES: u64 = 0;

/// Records the calls of a decision module.
pub(super) type CallRecorder = Recorder<Box<dyn RecorderQueue>>;

/// The state of a director.
pub(super) struct DirectorNode {
    /// The decision module; `None` while the director is down.
    pub(super) module: Option<Director>,
    /// Records the calls of the module; `None` while the director is down or if no captures are requested.
    pub(super) recorder: Option<CallRecorder>,
    /// Incremented at each start and stop. Events for an earlier incarnation are dropped.
    pub(super) incarnation: u32,
    /// When the director last started.
    pub(super) started_at: Timestamp,
    /// The index of the director's zone.
    pub(super) zone: usize,
    /// Whether the director is stalled, so that arriving events wait in `backlog`.
    pub(super) is_stalled: bool,
    /// The events that have arrived since the director stalled.
    pub(super) backlog: Vec<Event>,
    /// The tables and assignments that result from the actions of the module.
    pub(super) sent_state: ReplayState,
    /// The host weights of each table that proxies are sent: without ejected hosts.
    pub(super) snapshots: BTreeMap<TableId, HostWeights>,
    /// The proxies that each table is assigned to.
    pub(super) table_users: BTreeMap<TableId, BTreeSet<usize>>,
    /// When the send queue will be empty.
    pub(super) send_queue_empty_at: Timestamp,
    /// When the last message to each proxy arrives.
    pub(super) last_arrivals: BTreeMap<usize, Timestamp>,
    /// The hosts of which discovery has notified the director that they are not ready, and when it first did.
    pub(super) unavailable_since: BTreeMap<HostId, Timestamp>,
}

impl DirectorNode {
    /// Creates a director that has not been started yet.
    pub(super) fn new(zone: usize) -> DirectorNode {
        DirectorNode {
            module: None,
            recorder: None,
            incarnation: 0,
            started_at: Timestamp(0),
            zone,
            is_stalled: false,
            backlog: Vec::new(),
            sent_state: ReplayState::default(),
            snapshots: BTreeMap::new(),
            table_users: BTreeMap::new(),
            send_queue_empty_at: Timestamp(0),
            last_arrivals: BTreeMap::new(),
            unavailable_since: BTreeMap::new(),
        }
    }

    /// Whether proxies can connect to the director.
    pub(super) fn accepts_streams(&self) -> bool {
        self.module.is_some() && !self.is_stalled
    }

    /// The digest of the decision module; 0 while the director is down.
    pub(super) fn digest(&self) -> u64 {
        self.module.as_ref().map_or(0, Director::digest)
    }

    /// Writes the end of the capture, if there is one.
    pub(super) fn finish_capture(&mut self) -> io::Result<()> {
        match &mut self.recorder {
            Some(recorder) => recorder.queue().finish(),
            None => Ok(()),
        }
    }

    /// Begins a new incarnation, which keeps no state of earlier incarnations.
    pub(super) fn restart(&mut self, module: Director, recorder: Option<CallRecorder>, now: Timestamp) {
        self.module = Some(module);
        self.recorder = recorder;
        self.incarnation += 1;
        self.started_at = now;
        self.sent_state = ReplayState::default();
        self.send_queue_empty_at = now;
        self.snapshots.clear();
        self.table_users.clear();
        self.unavailable_since.clear();
        self.backlog.clear();
        self.last_arrivals.clear();
    }

    /// Ends the present incarnation.
    pub(super) fn stop(&mut self) -> io::Result<()> {
        self.finish_capture()?;
        self.module = None;
        self.recorder = None;
        self.incarnation += 1;
        Ok(())
    }

    /// The number of the entries and admission levels of a table.
    pub(super) fn table_size(&self, table: TableId) -> usize {
        self.sent_state
            .tables
            .get(&table)
            .map_or(0, |table| table.entries.len() + table.admission_levels.len())
    }

    /// Makes a proxy a user of exactly the tables that are assigned to it.
    pub(super) fn refresh_table_users(&mut self, proxy: usize) {
        self.remove_table_user(proxy);
        for ((assigned, _), table) in &self.sent_state.assignments {
            if assigned.0 as usize == proxy {
                self.table_users.entry(*table).or_default().insert(proxy);
            }
        }
    }

    fn remove_table_user(&mut self, proxy: usize) {
        for users in self.table_users.values_mut() {
            users.remove(&proxy);
        }
    }

    /// Removes a proxy whose stream broke.
    pub(super) fn remove_proxy(&mut self, proxy: usize) {
        self.remove_table_user(proxy);
        self.sent_state.assignments.retain(|(assigned, _), _| assigned.0 as usize != proxy);
        self.last_arrivals.remove(&proxy);
    }

    /// The route of a class at a proxy by the table assigned to it; `current` if no table is assigned.
    pub(super) fn route(&self, proxy: usize, class: usize, current: &ClassRoute) -> ClassRoute {
        let Some(table) = self.assigned_table(proxy, class) else { return current.clone() };
        ClassRoute {
            hosts: self.snapshots.get(&table).cloned().unwrap_or_default(),
            admission_level: self.admission_level(table, class),
            retry: current.retry,
        }
    }

    fn assigned_table(&self, proxy: usize, class: usize) -> Option<TableId> {
        let id = ProxyId(proxy as u32);
        let mut assigned = self.sent_state.assignments.range((id, 0)..=(id, u64::MAX));
        let matching = assigned.find(|((_, mask), _)| *mask == ALL_CLASSES || has_class(*mask, class));
        matching.map(|(_, table)| *table)
    }

    /// The admission level of a class in a table; 1 if the table has no level for the class.
    fn admission_level(&self, table: TableId, class: usize) -> f64 {
        let levels = self.sent_state.tables.get(&table).map(|table| &table.admission_levels);
        let level = levels.into_iter().flatten().find(|(mask, _)| has_class(**mask, class));
        level.map_or(1.0, |(_, level)| *level)
    }

    /// Records which hosts are not ready according to the endpoint lists among `events`. Removed hosts may
    /// still be used if `removal_is_advisory`. Cached lists are ignored, because they can be out of date.
    pub(super) fn record_unavailable_hosts(
        &mut self,
        now: Timestamp,
        events: &[Event],
        removal_is_advisory: bool,
    ) {
        for event in events {
            let Event::EndpointList { kind, endpoints } = event else { continue };
            if *kind == EndpointListKind::Cached {
                continue;
            }
            for endpoint in endpoints {
                self.record_readiness(now, endpoint, removal_is_advisory);
            }
        }
    }

    fn record_readiness(&mut self, now: Timestamp, endpoint: &Endpoint, removal_is_advisory: bool) {
        match endpoint.readiness {
            Readiness::Ready => {
                self.unavailable_since.remove(&endpoint.host);
            }
            Readiness::Removed if removal_is_advisory => {}
            _ => {
                self.unavailable_since.entry(endpoint.host.clone()).or_insert(now);
            }
        }
    }
}

/// Whether a class mask contains a class.
fn has_class(mask: u64, class: usize) -> bool {
    mask >> class & 1 == 1
}
