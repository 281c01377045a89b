//! A small world around one director: it keeps what was ordered and plays back sums.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// Seconds as a length of time.
pub fn length(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

/// Seconds as a point in time.
pub fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

pub fn host(name: &str) -> HostId {
    HostId(Arc::from(name))
}

pub fn zone(name: &str) -> ZoneId {
    ZoneId(Arc::from(name))
}

pub fn class(effect: RepeatSafety, aim_s: f64, worth: f64) -> Class {
    Class {
        latency_objective: length(aim_s),
        deadline: length(3.0 * aim_s),
        priority_weight: worth,
        repeat_safety: effect,
        own_zone_only: false,
        allowed_zones: Vec::new(),
        allowed_machine_types: Vec::new(),
    }
}

/// Two zones, two classes, roomy channel, list pushed, levels as shares.
pub fn settings() -> Settings {
    Settings {
        directors: 1,
        zones: vec![zone("east"), zone("west")],
        classes: vec![class(RepeatSafety::Idempotent, 1.0, 1.0), class(RepeatSafety::AtMostOnce, 0.8, 3.0)],
        proxies: 4,
        send_rate_lines_per_s: 10_000.0,
        message_overhead_lines: 4.0,
        max_queued_lines: 10_000.0,
        message_window: length(10.0),
        mean_push_delay: length(0.2),
        max_push_delay: length(0.6),
        max_time_without_entry: length(3.0),
        report_period: length(1.0),
        max_report_lines_per_s: 1000.0,
        proxy_ejection_threshold: 3,
        initial_capacity_ratio: 0.2,
        warm_up: length(16.0),
        drain_grace: length(3.0),
        overload_factor: 3.0,
        overload_duration: length(2.0),
        poll_within: length(10.0),
        ..Settings::default()
    }
}

pub fn entry(name: &str, zone_name: &str, readiness: Readiness, started: Option<f64>) -> Endpoint {
    Endpoint {
        host: host(name),
        machine_type: "box".into(),
        zone: zone(zone_name),
        readiness,
        weight: 1.0,
        started_at: started.map(at),
    }
}

/// Hosts `h0`, `h1`, ... dealt to the two zones in turn, all long up.
pub fn fleet(count: usize) -> Vec<Endpoint> {
    let place = |at: usize| if at.is_multiple_of(2) { "east" } else { "west" };
    (0..count).map(|n| entry(&format!("h{n}"), place(n), Readiness::Ready, None)).collect()
}

/// What a host does in the world: latency in ms and share of tries lost.
#[derive(Clone, Copy)]
pub struct Manner {
    pub ms: f64,
    pub loss: f64,
}

pub struct World {
    pub now: f64,
    pub director: Director,
    pub tables: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    pub levels: BTreeMap<(TableId, u64), (f64, Retry)>,
    pub binds: Vec<(ProxyId, TableId, ClassMask)>,
    pub actions: Vec<(f64, Action)>,
    /// Marks that the proxies bound when they were set answer with the next events, unless no word comes.
    pub marks: Vec<u64>,
    pub wordless: bool,
}

impl World {
    pub fn new(settings: Settings) -> Self {
        World {
            now: 0.0,
            director: Director::new(settings, 7),
            tables: BTreeMap::new(),
            levels: BTreeMap::new(),
            binds: Vec::new(),
            actions: Vec::new(),
            marks: Vec::new(),
            wordless: false,
        }
    }

    /// A director with `count` hosts and one bound proxy in each zone.
    pub fn running(settings: Settings, count: usize) -> Self {
        let mut world = World::new(settings);
        world.send(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(count) }]);
        world.send(&[
            Event::ProxyConnected { proxy: ProxyId(0), zone: zone("east"), requests_per_s: 50.0 },
            Event::ProxyConnected { proxy: ProxyId(1), zone: zone("west"), requests_per_s: 50.0 },
        ]);
        world
    }

    /// Hands events over now; returns what was ordered.
    pub fn send(&mut self, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        let marks = std::mem::take(&mut self.marks);
        let answers = marks.iter().flat_map(|mark| self.binds.iter().map(|bind| (bind.0, *mark)));
        let answers =
            answers.map(|(proxy, mark)| Event::Acknowledged { proxy, barrier: mark, elapsed: length(0.25) });
        let events: Vec<Event> = answers.chain(events.iter().cloned()).collect();
        self.director.handle(at(self.now), &events, &mut out);
        for action in &out {
            match action {
                Action::Barrier { number, .. } if !self.wordless => self.marks.push(*number),
                Action::SetEntry { table, host, weight } if *weight > 0.0 => {
                    self.tables.entry(*table).or_default().insert(host.clone(), *weight);
                }
                Action::SetEntry { table, host, .. } => {
                    self.tables.entry(*table).or_default().remove(host);
                }
                Action::ClearTable(table) => {
                    self.tables.remove(table);
                }
                Action::SetAdmission { table: Some(table), classes: mask, level, retry } => {
                    self.levels.insert((*table, mask.0), (*level, *retry));
                }
                Action::AssignTable { proxy, table, classes: mask } => {
                    self.binds.push((*proxy, *table, *mask))
                }
                _ => {}
            }
            self.actions.push((self.now, action.clone()));
        }
        out
    }

    /// Lets time pass in quarter seconds without any event.
    pub fn wait(&mut self, secs: f64) {
        let end = self.now + secs;
        while self.now + 1e-9 < end {
            self.now += 0.25;
            self.send(&[Event::TimerFired(0)]);
        }
    }

    /// Lets time pass; each second both zones hear `tries` tries of each line they hold.
    pub fn play(&mut self, secs: f64, tries: u64, manner: impl Fn(&str, &str) -> Manner) {
        let end = self.now + secs;
        while self.now + 1e-9 < end {
            self.wait(1.0);
            let mut events = Vec::new();
            for place in ["east", "west"] {
                for (id, _) in self.lines(place) {
                    let does = manner(place, &id.0);
                    let lost = (tries as f64 * does.loss).round() as u64;
                    let sums = AttemptCounts { total: tries, failed: lost, period: length(1.0) };
                    let mean = if lost == tries { 0.0 } else { does.ms / 1e3 };
                    events.push(Event::LoadReport {
                        zone: zone(place),
                        host: id,
                        attempts: sums,
                        mean_latency: length(mean),
                        load: HostLoad::default(),
                    });
                }
            }
            self.send(&events);
        }
    }

    /// The table that the proxy of a zone was put on (for the first class).
    pub fn table(&self, place: &str) -> TableId {
        let proxy = ProxyId(u32::from(place == "west"));
        let mine = |b: &&(ProxyId, TableId, ClassMask)| b.0 == proxy && (b.2 .0 == 0 || b.2 .0 & 1 == 1);
        self.binds.iter().rev().find(mine).expect("the proxy is bound").1
    }

    pub fn lines(&self, place: &str) -> BTreeMap<HostId, f64> {
        self.tables.get(&self.table(place)).cloned().unwrap_or_default()
    }

    pub fn weight(&self, place: &str, name: &str) -> f64 {
        self.lines(place).get(&host(name)).copied().unwrap_or(0.0)
    }
}

/// A line of sums with nothing lost.
pub fn heard(place: &str, id: HostId, total: u64, secs: f64, load: HostLoad) -> Event {
    Event::LoadReport {
        zone: zone(place),
        host: id,
        attempts: AttemptCounts { total, failed: 0, period: length(1.0) },
        mean_latency: length(secs),
        load,
    }
}

pub const FINE: Manner = Manner { ms: 100.0, loss: 0.0 };
pub const DEAD: Manner = Manner { ms: 0.0, loss: 1.0 };
