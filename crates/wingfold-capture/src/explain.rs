//! Explains the entries of tables at a time: the director's view at that time, and the changes of each host
//! before that time.
//!
//! Explanations are printed as JSON. The JSON names of fields must stay, also where a field has another name
//! here.

use crate::model::{Call, CallPosition};
use crate::replay::Replayer;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use wingfold_director::inspect::{FleetView, HostStatus, HostView, TableView, ZoneView};
use wingfold_director::interface::{Action, Event, HostId, Micros, ProxyId, TableId, Timestamp, ZoneId};
use wingfold_director::Director;

/// The maximum number of recent events that are kept for a host.
const MAX_RECENT_EVENTS: usize = 24;
/// The maximum number of changes that are kept for a host in a zone; the oldest are dropped first.
const MAX_CHANGES: usize = 64;
/// The smallest change of a share that is listed, relative to the larger share. Smaller changes are ignored,
/// as the share of a host changes a little with every change of another host.
const MIN_SHARE_CHANGE_RATIO: f64 = 0.2;
/// In the comparison of shares, a larger share below this value counts as this value.
const MIN_SHARE: f64 = 0.01;

/// A question about the tables at a time.
#[derive(Clone, Debug, Default)]
pub struct Question {
    /// The time whose state is explained.
    pub at: Timestamp,
    /// The length of the span before `at` in which changes of hosts are listed.
    pub lookback: Micros,
    /// If set, only this zone is explained.
    pub zone: Option<ZoneId>,
    /// If set, only this host is explained.
    pub host: Option<HostId>,
    /// If set, only the tables of this proxy are explained, in `zone` or else in the zone of the proxy.
    pub proxy: Option<ProxyId>,
}

impl Question {
    /// The start of the span in which changes are listed.
    fn changes_from(&self) -> Timestamp {
        Timestamp(self.at.0.saturating_sub(self.lookback.0))
    }
}

/// A change of the status or of the share of a host in a zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostChange {
    /// The number of the call that made the change.
    pub call: u64,
    /// The time of the call.
    pub at: Timestamp,
    /// The previous and the new status of the host, if the status changed. The previous status is `None` if
    /// the host was unknown.
    #[serde(rename = "standing")]
    pub status: Option<(Option<HostStatus>, HostStatus)>,
    /// The previous and the new share of the host in the total weight of a table, as the mean over the zone's
    /// tables.
    pub share: (f64, f64),
    /// The last events of the host up to the call, oldest first, with their times.
    #[serde(rename = "heard")]
    pub recent_events: Vec<(Timestamp, Event)>,
    /// The notices of the director in that call that contain the name of the host.
    #[serde(rename = "noted")]
    pub notices: Vec<String>,
}

/// The status and the shares of a host in a zone, and the changes that led to them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostExplanation {
    /// The director's view of the host.
    pub view: HostView,
    /// The share of the host in the total weight of each table.
    pub shares: Vec<(TableId, f64)>,
    /// The changes of the host in the span of the question, oldest first.
    #[serde(rename = "moves")]
    pub changes: Vec<HostChange>,
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The name of the director.
    #[serde(rename = "name")]
    pub director: String,
    /// The number of the last call at or before the time of the question.
    pub call: u64,
    /// The time of that call.
    pub at: Timestamp,
    /// The director's view of the whole fleet.
    pub fleet: FleetView,
    /// The zones of the explained hosts.
    pub zones: Vec<ZoneView>,
    /// The tables of the proxy, if the question names a proxy.
    pub tables: Vec<TableId>,
    /// The explained hosts, ordered by zone and host.
    pub hosts: Vec<HostExplanation>,
}

/// The last observed status and share of a host in a zone, and the changes so far.
#[derive(Clone, Debug, Default)]
struct ObservedHost {
    status: Option<HostStatus>,
    share: f64,
    changes: VecDeque<HostChange>,
}

impl ObservedHost {
    fn add_change(&mut self, change: HostChange) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }
}

/// Observes the replay of a capture to answer a question.
#[derive(Debug)]
pub struct ReplayObserver {
    question: Question,
    /// The last events of each host, of all zones, oldest first.
    recent_events: BTreeMap<HostId, VecDeque<(Timestamp, Event)>>,
    /// The last observation of each selected host in each selected zone.
    observed: BTreeMap<(ZoneId, HostId), ObservedHost>,
    /// The last call at or before the time of the question.
    last_call: CallPosition,
}

impl ReplayObserver {
    /// An observer for a question.
    pub fn new(question: Question) -> Self {
        ReplayObserver {
            question,
            recent_events: BTreeMap::new(),
            observed: BTreeMap::new(),
            last_call: CallPosition::default(),
        }
    }

    /// Observes a call; to be called after the replay of each call.
    pub fn observe(&mut self, call: &Call, actions: &[Action], director: &Director) {
        if call.at > self.question.at {
            return;
        }
        self.last_call = call.position();
        for event in &call.events {
            self.record_event(call.at, event);
        }
        // Building the views costs as much as the call itself, so views are built only for calls in the span
        // of the question, and once before the span.
        if call.at < self.question.changes_from() && !self.observed.is_empty() {
            return;
        }
        let notices = notices(actions);
        for (zone, host) in self.selected_hosts(director) {
            self.observe_host(call, &notices, director, zone, host);
        }
    }

    /// Compares the status and the share of a host in a zone with the last observed ones, and lists a change.
    fn observe_host(
        &mut self,
        call: &Call,
        notices: &[String],
        director: &Director,
        zone: ZoneId,
        host: HostId,
    ) {
        let Some(view) = director.host_view(&zone, &host) else { return };
        let share = mean_share(director, &zone, &host);
        let key = (zone, host);
        let is_first = !self.observed.contains_key(&key);
        let host = key.1.clone();
        let observed = self.observed.entry(key).or_default();
        let (previous, status) = (observed.status, view.status);
        let status_changed = previous.is_none_or(|previous| !is_same_status(previous, status));
        if (status_changed || share_changed(observed.share, share)) && !is_first {
            // Events of all zones: a host is judged by the attempts of all zones, and all zones have the same
            // endpoint list.
            let recent_events = self.recent_events.get(&host).into_iter().flatten();
            observed.add_change(HostChange {
                call: call.number,
                at: call.at,
                status: status_changed.then_some((previous, status)),
                share: (observed.share, share),
                recent_events: recent_events.cloned().collect(),
                notices: notices.iter().filter(|text| text.contains(&*host.0)).cloned().collect(),
            });
        }
        (observed.status, observed.share) = (Some(status), share);
    }

    /// The zones and hosts that the question selects.
    fn selected_hosts(&self, director: &Director) -> Vec<(ZoneId, HostId)> {
        let mut zone = self.question.zone.clone();
        if let Some(proxy) = self.question.proxy {
            // A proxy that is not connected to this director uses no tables of this director.
            let Some((zone_of_proxy, _)) = director.proxy_view(proxy) else { return Vec::new() };
            zone = zone.or(Some(zone_of_proxy));
        }
        let is_selected = |host: &&HostId| self.question.host.as_ref().is_none_or(|asked| asked == *host);
        let zones = director.zone_views().into_iter().map(|view| view.zone);
        let zones = zones.filter(|known| zone.as_ref().is_none_or(|asked| asked == known));
        let hosts = || director.hosts().filter(is_selected);
        zones.flat_map(|zone| hosts().map(move |host| (zone.clone(), host.clone()))).collect()
    }

    /// Adds an event to the recent events of each host in the event.
    fn record_event(&mut self, at: Timestamp, event: &Event) {
        match event {
            Event::LoadReport { host, .. } | Event::HealthChecked { host, .. } => {
                self.add_recent_event(host, at, event.clone());
            }
            Event::EndpointList { kind, endpoints } => {
                for endpoint in endpoints {
                    let event = Event::EndpointList { kind: *kind, endpoints: vec![endpoint.clone()] };
                    self.add_recent_event(&endpoint.host, at, event);
                }
            }
            _ => {}
        }
    }

    fn add_recent_event(&mut self, host: &HostId, at: Timestamp, event: Event) {
        let events = self.recent_events.entry(host.clone()).or_default();
        if events.len() == MAX_RECENT_EVENTS {
            events.pop_front();
        }
        events.push_back((at, event));
    }

    /// Returns the answer; to be called after the replay has reached the time of the question.
    pub fn explain(mut self, replayer: &Replayer, director: &Director) -> Explanation {
        let proxy = self.question.proxy.and_then(|proxy| director.proxy_view(proxy));
        let tables = proxy.map(|(_, tables)| tables).unwrap_or_default();
        let selected = self.selected_hosts(director).into_iter();
        let hosts: Vec<HostExplanation> =
            selected.filter_map(|(zone, host)| self.explain_host(director, &tables, zone, host)).collect();
        let is_explained = |zone: &ZoneView| hosts.iter().any(|host| host.view.zone == zone.zone);
        Explanation {
            director: replayer.head().director.clone(),
            call: self.last_call.number,
            at: self.last_call.at,
            fleet: director.fleet_view(),
            zones: director.zone_views().into_iter().filter(is_explained).collect(),
            tables,
            hosts,
        }
    }

    /// Explains a host in a zone. `tables` are the tables of the proxy, if the question names a proxy.
    fn explain_host(
        &mut self,
        director: &Director,
        tables: &[TableId],
        zone: ZoneId,
        host: HostId,
    ) -> Option<HostExplanation> {
        let mut view = director.host_view(&zone, &host)?;
        if self.question.proxy.is_some() {
            view.table_weights.retain(|(table, _)| tables.contains(table));
        }
        let shares = shares(director, &zone, &host);
        let shares = shares.filter(|(table, _)| tables.is_empty() || tables.contains(table)).collect();
        let observed = self.observed.remove(&(zone, host)).unwrap_or_default();
        let from = self.question.changes_from();
        let changes = observed.changes.into_iter().filter(|change| change.at >= from).collect();
        Some(HostExplanation { view, shares, changes })
    }
}

/// The texts of the notices among actions.
fn notices(actions: &[Action]) -> Vec<String> {
    let notices = actions.iter().filter_map(|action| match action {
        Action::Notice(notice) => Some(notice.to_string()),
        _ => None,
    });
    notices.collect()
}

/// Whether two statuses count as the same in the list of changes. Two probations do, whatever their end times
/// are; two ejections do if the low 32 bits of their end times are equal.
fn is_same_status(one: HostStatus, other: HostStatus) -> bool {
    match (one, other) {
        (HostStatus::Probation(_), HostStatus::Probation(_)) => true,
        (HostStatus::Ejected(one), HostStatus::Ejected(other)) => one.0 as u32 == other.0 as u32,
        _ => one == other,
    }
}

/// Whether a share has changed enough for the list of changes.
fn share_changed(previous: f64, share: f64) -> bool {
    (share - previous).abs() > MIN_SHARE_CHANGE_RATIO * share.max(previous).max(MIN_SHARE)
}

/// The share of a host in the total weight of each table of a zone.
fn shares<'a>(
    director: &Director,
    zone: &ZoneId,
    host: &'a HostId,
) -> impl Iterator<Item = (TableId, f64)> + 'a {
    let is_of_zone = |table: &TableView| table.zone == *zone;
    let tables: Vec<TableView> = director.table_views().into_iter().filter(is_of_zone).collect();
    tables.into_iter().map(move |table| (table.table, table.share(host)))
}

/// The mean share of a host over the tables of a zone.
fn mean_share(director: &Director, zone: &ZoneId, host: &HostId) -> f64 {
    let (mut sum, mut count) = (0.0, 0.0);
    for (_, share) in shares(director, zone, host) {
        sum += share;
        count += 1.0;
    }
    sum / f64::max(count, 1.0)
}
