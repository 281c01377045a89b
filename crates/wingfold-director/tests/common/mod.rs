//! A small world around one director: it keeps what was ordered and plays back sums.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// Seconds as a point in time.
pub fn at(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

pub fn host(name: &str) -> HostId {
    HostId(Arc::from(name))
}

pub fn zone(name: &str) -> ZoneId {
    ZoneId(Arc::from(name))
}

pub fn class(effect: Effect, aim_s: f64, worth: f64) -> Class {
    Class {
        aim: at(aim_s),
        deadline: at(3.0 * aim_s),
        worth,
        effect,
        own_zone: false,
        zones: Vec::new(),
        kinds: Vec::new(),
    }
}

/// Two zones, two classes, roomy channel, list pushed, levels as shares.
pub fn settings() -> Settings {
    Settings {
        directors: 1,
        zones: vec![zone("east"), zone("west")],
        classes: vec![class(Effect::Idempotent, 1.0, 1.0), class(Effect::AtMostOnce, 0.8, 3.0)],
        proxies: 4,
        lines_per_s: 10_000.0,
        message_overhead: 4.0,
        queue_max: 10_000.0,
        messages_over: at(10.0),
        push_delay: at(0.2),
        push_delay_max: at(0.6),
        bare: at(3.0),
        report_period: at(1.0),
        reports_per_s: 1000.0,
        ejects: 3,
        start_capacity: 0.2,
        cold: at(16.0),
        drain_grace: at(3.0),
        overload_factor: 3.0,
        overload_for: at(2.0),
        ask_within: at(10.0),
        ..Settings::default()
    }
}

pub fn entry(name: &str, zone_name: &str, readiness: Readiness, started: Option<f64>) -> Entry {
    Entry {
        host: host(name),
        kind: "box".into(),
        zone: zone(zone_name),
        readiness,
        weight: 1.0,
        started: started.map(at),
    }
}

/// Hosts `h0`, `h1`, ... dealt to the two zones in turn, all long up.
pub fn fleet(count: usize) -> Vec<Entry> {
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
        world.send(&[Event::List(ListKind::Remembered, fleet(count))]);
        world.send(&[
            Event::Joined(ProxyId(0), zone("east"), 50.0),
            Event::Joined(ProxyId(1), zone("west"), 50.0),
        ]);
        world
    }

    /// Hands events over now; returns what was ordered.
    pub fn send(&mut self, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        let marks = std::mem::take(&mut self.marks);
        let answers = marks.iter().flat_map(|mark| self.binds.iter().map(|bind| (bind.0, *mark)));
        let answers = answers.map(|(proxy, mark)| Event::Applied(proxy, mark, at(0.25)));
        let events: Vec<Event> = answers.chain(events.iter().cloned()).collect();
        self.director.handle(at(self.now), &events, &mut out);
        for action in &out {
            match action {
                Action::Mark(_, number) if !self.wordless => self.marks.push(*number),
                Action::SetLine(table, host, weight) if *weight > 0.0 => {
                    self.tables.entry(*table).or_default().insert(host.clone(), *weight);
                }
                Action::SetLine(table, host, _) => {
                    self.tables.entry(*table).or_default().remove(host);
                }
                Action::ClearTable(table) => {
                    self.tables.remove(table);
                }
                Action::Admit(Some(table), mask, level, retry) => {
                    self.levels.insert((*table, mask.0), (*level, *retry));
                }
                Action::Bind(proxy, table, mask) => self.binds.push((*proxy, *table, *mask)),
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
            self.send(&[Event::Timer(0)]);
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
                    let sums = Sums { total: tries, lost, over: at(1.0) };
                    let mean = if lost == tries { 0.0 } else { does.ms / 1e3 };
                    events.push(Event::Heard(zone(place), id, sums, at(mean), Load::default()));
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
pub fn heard(place: &str, id: HostId, total: u64, secs: f64, load: Load) -> Event {
    Event::Heard(zone(place), id, Sums { total, lost: 0, over: at(1.0) }, at(secs), load)
}

pub const FINE: Manner = Manner { ms: 100.0, loss: 0.0 };
pub const DEAD: Manner = Manner { ms: 0.0, loss: 1.0 };
