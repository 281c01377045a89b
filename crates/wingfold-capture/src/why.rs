//! Why a table held what it held: the module's own view at a time, and what moved each host before it.

use crate::model::Call;
use crate::replay::Replayer;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use wingfold_director::inspect::{FleetView, HostStatus, HostView, ZoneView};
use wingfold_director::interface::{Action, Event, HostId, Micros, ProxyId, TableId, Timestamp, ZoneId};
use wingfold_director::Director;

/// Events of a host that are kept while looking on.
const RECENT: usize = 24;
/// Moves of a host that are kept.
const MOVES: usize = 64;

/// What is asked.
#[derive(Clone, Debug, Default)]
pub struct Question {
    /// At what time.
    pub at: Timestamp,
    /// What moved hosts is told from this long before.
    pub back: Micros,
    /// Only this zone.
    pub zone: Option<ZoneId>,
    /// Only this host.
    pub host: Option<HostId>,
    /// Only the zone and the tables of this proxy.
    pub proxy: Option<ProxyId>,
}

/// A change of what becomes of a host in a zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Move {
    /// The call in which it came.
    pub call: u64,
    /// Its time.
    pub at: Timestamp,
    /// How the zone treated the host before and after; `None` before: it was not known.
    pub standing: Option<(Option<HostStatus>, HostStatus)>,
    /// Its part of the weight of the zone's tables before and after, in the mean over tables.
    pub share: (f64, f64),
    /// What had been heard of it lately, oldest first: time and event.
    pub heard: Vec<(Timestamp, Event)>,
    /// What the module itself noted in that call.
    pub noted: Vec<String>,
}

/// What is known of a host, and why it gets what it gets.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostWhy {
    /// The module's view.
    pub view: HostView,
    /// Its part of the weight of each table.
    pub shares: Vec<(TableId, f64)>,
    /// What moved it, oldest first.
    pub moves: Vec<Move>,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Answer {
    /// The director.
    pub name: String,
    /// The last call at or before the time asked for.
    pub call: u64,
    /// Its time.
    pub at: Timestamp,
    /// The fleet as a whole.
    pub fleet: FleetView,
    /// The zones concerned.
    pub zones: Vec<ZoneView>,
    /// The tables of the proxy asked for.
    pub tables: Vec<TableId>,
    /// The hosts concerned, by zone and name.
    pub hosts: Vec<HostWhy>,
}

/// What a host had when last looked at.
#[derive(Clone, Debug, Default)]
struct Seen {
    standing: Option<HostStatus>,
    share: f64,
    moves: VecDeque<Move>,
}

/// Looks on while a capture is replayed.
#[derive(Debug)]
pub struct Onlooker {
    question: Question,
    recent: BTreeMap<HostId, VecDeque<(Timestamp, Event)>>,
    seen: BTreeMap<(ZoneId, HostId), Seen>,
    last: (u64, Timestamp),
}

impl Onlooker {
    /// For a question.
    pub fn new(question: Question) -> Self {
        Onlooker { question, recent: BTreeMap::new(), seen: BTreeMap::new(), last: (0, Timestamp(0)) }
    }

    /// A call has been replayed.
    pub fn look(&mut self, call: &Call, actions: &[Action], director: &Director) {
        if call.at > self.question.at {
            return;
        }
        self.last = (call.number, call.at);
        for event in &call.events {
            self.remember(call.at, event);
        }
        // Looking costs as much as a call itself: only the span asked about is looked at, and once before it.
        let begins = Timestamp(self.question.at.0.saturating_sub(self.question.back.0));
        if call.at < begins && !self.seen.is_empty() {
            return;
        }
        let noted = actions.iter().filter_map(|action| match action {
            Action::Notice(notice) => Some(notice.to_string()),
            _ => None,
        });
        let noted: Vec<String> = noted.collect();
        for (zone, host) in self.watched(director) {
            let Some(view) = director.host_view(&zone, &host) else { continue };
            let share = mean_share(director, &zone, &host);
            let first = !self.seen.contains_key(&(zone.clone(), host.clone()));
            let seen = self.seen.entry((zone.clone(), host.clone())).or_default();
            let (was, is) = (seen.standing, view.status);
            let turned = was.is_none_or(|was| kind(was) != kind(is));
            // Shares of the others' moves are small; what halves or doubles a host's is a move of its own.
            let moved = (share - seen.share).abs() > 0.2 * share.max(seen.share).max(0.01);
            if (turned || moved) && !first {
                // Of all zones: a host is judged by the tries of all, and the list is the same for all.
                let heard = self.recent.get(&host).into_iter().flatten();
                let entry = Move {
                    call: call.number,
                    at: call.at,
                    standing: turned.then_some((was, is)),
                    share: (seen.share, share),
                    heard: heard.cloned().collect(),
                    noted: noted.iter().filter(|text| text.contains(&*host.0)).cloned().collect(),
                };
                if seen.moves.len() == MOVES {
                    seen.moves.pop_front();
                }
                seen.moves.push_back(entry);
            }
            (seen.standing, seen.share) = (Some(is), share);
        }
    }

    fn watched(&self, director: &Director) -> Vec<(ZoneId, HostId)> {
        let of_proxy = self.question.proxy.map(|proxy| director.proxy_view(proxy));
        // A proxy that is not joined here goes by nothing of this director's.
        if matches!(of_proxy, Some(None)) {
            return Vec::new();
        }
        let of_proxy = of_proxy.flatten().map(|(zone, _)| zone);
        let asked = self.question.zone.clone().or(of_proxy);
        let zones = director.zone_views().into_iter().map(|view| view.zone);
        let zones = zones.filter(|zone| asked.as_ref().is_none_or(|asked| asked == zone));
        let hosts =
            || director.hosts().filter(|host| self.question.host.as_ref().is_none_or(|asked| asked == *host));
        zones.flat_map(|zone| hosts().map(move |host| (zone.clone(), host.clone()))).collect()
    }

    fn remember(&mut self, at: Timestamp, event: &Event) {
        let mut keep = |host: &HostId, event: Event| {
            let recent = self.recent.entry(host.clone()).or_default();
            if recent.len() == RECENT {
                recent.pop_front();
            }
            recent.push_back((at, event));
        };
        match event {
            Event::LoadReport { host, .. } | Event::HealthChecked { host, .. } => keep(host, event.clone()),
            Event::EndpointList { kind, endpoints: entries } => {
                for entry in entries {
                    keep(&entry.host, Event::EndpointList { kind: *kind, endpoints: vec![entry.clone()] });
                }
            }
            _ => {}
        }
    }

    /// The answer, once all up to the time asked for has been replayed.
    pub fn answer(mut self, replayer: &Replayer, director: &Director) -> Answer {
        let tables =
            self.question.proxy.and_then(|proxy| director.proxy_view(proxy)).map(|(_, tables)| tables);
        let tables = tables.unwrap_or_default();
        let mut hosts = Vec::new();
        for (zone, host) in self.watched(director) {
            let Some(mut view) = director.host_view(&zone, &host) else { continue };
            if self.question.proxy.is_some() {
                view.table_weights.retain(|(table, _)| tables.contains(table));
            }
            let shares = shares(director, &zone, &host);
            let shares = shares.filter(|(table, _)| tables.is_empty() || tables.contains(table)).collect();
            let begins = Timestamp(self.question.at.0.saturating_sub(self.question.back.0));
            let seen = self.seen.remove(&(zone, host)).unwrap_or_default();
            let moves = seen.moves.into_iter().filter(|one| one.at >= begins).collect();
            hosts.push(HostWhy { view, shares, moves });
        }
        let zones = director.zone_views().into_iter();
        let zones = zones.filter(|zone| hosts.iter().any(|host| host.view.zone == zone.zone)).collect();
        let (call, at) = self.last;
        Answer {
            name: replayer.head().name.clone(),
            call,
            at,
            fleet: director.fleet_view(),
            zones,
            tables,
            hosts,
        }
    }
}

fn kind(standing: HostStatus) -> (u8, u32) {
    match standing {
        HostStatus::Leading => (0, 0),
        HostStatus::WeightHalved(step) => (1, step),
        HostStatus::Ejected(until) => (2, until.0 as u32),
        HostStatus::Probation(_) => (3, 0),
        HostStatus::NotReady => (4, 0),
    }
}

/// A host's part of the weight of each of a zone's tables.
fn shares(director: &Director, zone: &ZoneId, host: &HostId) -> impl Iterator<Item = (TableId, f64)> {
    let tables = director.table_views().into_iter().filter(|table| table.zone == *zone).collect::<Vec<_>>();
    let host = host.clone();
    tables.into_iter().map(move |table| {
        let all: f64 = table.entries.iter().map(|line| line.1).sum();
        let own = table.entries.iter().find(|line| line.0 == host).map_or(0.0, |line| line.1);
        (table.table, own / all.max(1e-300))
    })
}

fn mean_share(director: &Director, zone: &ZoneId, host: &HostId) -> f64 {
    let (sum, count) =
        shares(director, zone, host).fold((0.0, 0.0), |(sum, count), (_, share)| (sum + share, count + 1.0));
    sum / f64::max(count, 1.0)
}
