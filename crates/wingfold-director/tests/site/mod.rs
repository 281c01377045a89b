//! A random site around a director: hosts that drain, start cold, fall silent, lose or slow down, zones that are cut off,
//! proxies that come and go, lists that fail or are whole, loads and usage, answers to marks that get lost, a clock that
//! stands, ticks and jumps. All of it follows from one seed.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::*;

/// How a host answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Condition {
    Fine,
    Slow,
    Lossy,
    Dead,
    Silent,
}

#[derive(Clone, Debug)]
struct SiteHost {
    entry: Entry,
    condition: Condition,
}

/// The site and its clock.
pub struct Site {
    pub settings: Settings,
    pub now: u64,
    random: u64,
    hosts: BTreeMap<u32, SiteHost>,
    next_host: u32,
    joined: BTreeMap<u32, ZoneId>,
    marks: Vec<u64>,
    cut: Option<ZoneId>,
    busy: f64,
}

pub fn zone_id(n: usize) -> ZoneId {
    ZoneId(Arc::from(format!("z{n}")))
}

fn secs(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

/// Settings of several deployments: levels as shares, as rates, ignored; one group of classes and three; whole tables and
/// parts; lists pushed and asked for; probes; short channels.
pub fn deployment(kind: u32) -> Settings {
    let class = |aim: f64, worth: f64| Class {
        aim: secs(aim),
        deadline: secs(3.0 * aim),
        worth,
        effect: Effect::Idempotent,
        own_zone: false,
        zones: Vec::new(),
        kinds: Vec::new(),
    };
    let zones = 2 + kind as usize % 4;
    let mut settings = Settings {
        me: kind % 3,
        directors: 1 + kind % 3,
        zones: (0..zones).map(zone_id).collect(),
        local_first: kind.is_multiple_of(5),
        classes: vec![class(1.0, 1.0), class(0.6, 4.0)],
        list_on_request: kind.is_multiple_of(2),
        admission: [Admission::Share, Admission::Rate, Admission::Ignored][kind as usize / 2 % 3],
        proxies: 30,
        lines_per_s: [300.0, 4000.0][kind as usize % 2],
        message_overhead: 4.0,
        queue_max: [900.0, 8000.0][kind as usize % 2],
        messages_max: [0, 12][kind as usize / 3 % 2],
        messages_over: secs(10.0),
        push_delay: secs(0.2),
        push_delay_max: secs(0.6),
        bare: secs(3.0),
        report_period: secs([0.5, 1.0, 2.0][kind as usize % 3]),
        reports_per_s: 400.0,
        ejects: 3,
        probing: kind % 4 > 1,
        load_reports: [LoadReports::WithAnswers, LoadReports::WithProbes][kind as usize / 4 % 2],
        cross_zone_price: [0.0, 0.1][kind as usize / 2 % 2],
        start_capacity: 0.2,
        cold: secs(9.0),
        drain_grace: secs(3.0),
        overload_factor: 3.0,
        overload_for: secs(2.0),
        ask_within: secs(10.0),
        gone_is_advice: kind % 3 == 1,
        conn_idle: secs([0.0, 4.0, 15.0][kind as usize / 2 % 3]),
        ..Settings::default()
    };
    if kind % 5 > 2 {
        settings.classes[1].own_zone = true;
        settings.classes.push(Class { kinds: vec!["small".into()], ..class(0.8, 2.0) });
    }
    settings
}

impl Site {
    pub fn new(kind: u32, seed: u64) -> Site {
        Site {
            settings: deployment(kind),
            now: 1_000_000_000,
            random: seed | 1,
            hosts: BTreeMap::new(),
            next_host: 0,
            joined: BTreeMap::new(),
            marks: Vec::new(),
            cut: None,
            busy: 0.5,
        }
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, most: usize) -> usize {
        (self.chance() * most as f64) as usize
    }

    fn add_host(&mut self, started: Option<Micros>) -> u32 {
        let (number, zone) = (self.next_host, self.below(self.settings.zones.len()));
        self.next_host += 1;
        // Numbers are mixed so that new hosts stand between old ones in the order of names.
        let name = format!("s-{:04x}", number.wrapping_mul(40_503) & 0xffff);
        let entry = Entry {
            host: HostId(Arc::from(name)),
            kind: ["small", "large"][self.below(2)].into(),
            zone: zone_id(zone),
            readiness: Readiness::Ready,
            weight: [1.0, 2.0, 3.0][self.below(3)],
            started,
        };
        self.hosts.insert(number, SiteHost { entry, condition: Condition::Fine });
        number
    }

    /// The events of the first call.
    pub fn begin(&mut self, hosts: usize, proxies: u32) -> Vec<Event> {
        for _ in 0..hosts {
            self.add_host(None);
        }
        let mut events = vec![Event::List(ListKind::Remembered, self.entries())];
        for id in 0..proxies {
            events.push(self.join(id));
        }
        events
    }

    fn entries(&self) -> Vec<Entry> {
        self.hosts.values().map(|host| host.entry.clone()).collect()
    }

    fn join(&mut self, id: u32) -> Event {
        let zone = zone_id(self.below(self.settings.zones.len()));
        self.joined.insert(id, zone.clone());
        let rate = 0.5 + 20.0 * self.chance().powi(3);
        Event::Joined(ProxyId(id), zone, rate)
    }

    /// Lets the clock go on.
    pub fn step(&mut self) -> u64 {
        let step = match self.below(40) {
            0 => 0,
            1..=3 => 1 + self.below(3) as u64,
            4..=9 => self.below(250_000) as u64,
            10 => 3_000_000 + self.below(70_000_000) as u64,
            _ => 250_000,
        };
        self.now += step;
        self.now
    }

    /// What the director hears at this step.
    pub fn events(&mut self) -> Vec<Event> {
        let mut events = vec![Event::Timer(0)];
        if self.chance() < 0.25 {
            self.trouble();
        }
        if self.chance() < 0.08 {
            let event = self.list();
            events.push(event);
        }
        if self.chance() < 0.05 {
            let id = self.below(30) as u32;
            let event = if self.joined.remove(&id).is_some() && self.chance() < 0.7 {
                Event::Left(ProxyId(id))
            } else {
                self.join(id)
            };
            events.push(event);
        }
        if self.chance() < 0.02 {
            // A crowd of proxies joins at once: short channels then hold back what is less urgent.
            let first = self.below(20) as u32;
            events.extend((first..first + 12).map(|id| self.join(id)));
        }
        if self.chance() < 0.01 {
            events.push([Event::ListFailed, Event::ListMoved][self.below(2)].clone());
        }
        if self.chance() < 0.6 {
            self.reports(&mut events);
        }
        self.answers(&mut events);
        events
    }

    /// A quarter second without anything but answers to marks.
    pub fn quiet(&mut self) -> (u64, Vec<Event>) {
        self.now += 250_000;
        let mut events = Vec::new();
        self.answers(&mut events);
        (self.now, events)
    }

    /// The list gives every host another weight, while a crowd of proxies joins.
    pub fn crowd_and_new_weights(&mut self, proxies: std::ops::Range<u32>) -> Vec<Event> {
        self.hosts.values_mut().for_each(|host| host.entry.weight *= 2.0);
        let mut events = vec![Event::List(ListKind::Changes, self.entries())];
        events.extend(proxies.map(|id| self.join(id)));
        events
    }

    /// A host starts anew and drains, told one after the other in one call; another that drained before is back.
    pub fn start_and_leave(&mut self, draw: usize) -> Vec<Event> {
        let (now, numbers): (_, Vec<u32>) = (Micros(self.now), self.hosts.keys().copied().collect());
        let mut told = |number: &u32, readiness: Readiness, started: Option<Micros>| {
            let entry = &mut self.hosts.get_mut(number).expect("it was listed").entry;
            (entry.readiness, entry.started) = (readiness, started.or(entry.started));
            Event::List(ListKind::Changes, vec![entry.clone()])
        };
        let (leaves, returns) = (&numbers[draw % numbers.len()], &numbers[(draw / 2) % numbers.len()]);
        vec![
            told(leaves, Readiness::Ready, Some(now)),
            told(leaves, [Readiness::Draining, Readiness::Gone][draw % 2], None),
            told(returns, Readiness::Ready, Some(now)),
        ]
    }

    /// Something happens to hosts, a zone or the load.
    fn trouble(&mut self) {
        let zones = self.settings.zones.len();
        match self.below(10) {
            0 => self.cut = None,
            1 => self.cut = Some(zone_id(self.below(zones))),
            2 => self.busy = 0.2 + self.chance(),
            3..=5 => {
                for host in self.hosts.values_mut() {
                    host.condition = Condition::Fine;
                }
            }
            _ => {
                let share = self.chance().powi(2);
                let all = [Condition::Slow, Condition::Lossy, Condition::Dead, Condition::Silent];
                let condition = all[self.below(4)];
                let numbers: Vec<u32> = self.hosts.keys().copied().collect();
                for number in numbers {
                    if self.chance() < share {
                        self.hosts.entry(number).and_modify(|host| host.condition = condition);
                    }
                }
            }
        }
    }

    /// News of the list: hosts drain, go, come back as new processes, or are new; or the whole list.
    fn list(&mut self) -> Event {
        let numbers: Vec<u32> = self.hosts.keys().copied().collect();
        let mut changed = Vec::new();
        for number in numbers {
            if self.chance() > 0.12 {
                continue;
            }
            let (now, draw) = (Micros(self.now), self.below(5));
            let Some(host) = self.hosts.get_mut(&number) else { continue };
            match draw {
                0 => host.entry.readiness = Readiness::Draining,
                1 => host.entry.readiness = Readiness::Gone,
                2 => (host.entry.readiness, host.entry.started) = (Readiness::Ready, Some(now)),
                3 => host.entry.weight *= 1.5,
                _ => {}
            }
            changed.push(host.entry.clone());
            if self.chance() < 0.2 {
                self.hosts.remove(&number);
            }
        }
        for _ in 0..self.below(4) {
            let started = (self.chance() < 0.8).then_some(Micros(self.now));
            let number = self.add_host(started);
            changed.push(self.hosts[&number].entry.clone());
        }
        if self.chance() < 0.2 {
            return Event::List(ListKind::Whole, self.entries());
        }
        Event::List(ListKind::Changes, changed)
    }

    /// Sums of some hosts by zone, with loads, and usage of some proxies.
    fn reports(&mut self, events: &mut Vec<Event>) {
        let hosts: Vec<SiteHost> = self.hosts.values().cloned().collect();
        let part = self.chance();
        for zone in self.settings.zones.clone() {
            // Collectors report apart from one another.
            if self.chance() < 0.5 || !self.joined.values().any(|joined| *joined == zone) {
                continue;
            }
            for host in &hosts {
                if self.chance() > part || host.condition == Condition::Silent {
                    continue;
                }
                let crosses = host.entry.zone != zone;
                let is_cut = crosses && [&zone, &host.entry.zone].map(Some).contains(&self.cut.as_ref());
                events.push(self.sums(&zone, host, is_cut));
            }
        }
        let proxies: Vec<u32> = self.joined.keys().copied().collect();
        for id in proxies {
            if self.chance() < 0.3 {
                let class = ClassId(self.below(self.settings.classes.len()));
                let sums = Sums { total: self.below(30) as u64, lost: 0, over: secs(1.0) };
                events.push(Event::Usage(ProxyId(id), class, sums));
            }
        }
    }

    fn sums(&mut self, zone: &ZoneId, host: &SiteHost, is_cut: bool) -> Event {
        let total = 1 + self.below(12) as u64;
        let lost = match host.condition {
            _ if is_cut => total,
            Condition::Dead => total,
            Condition::Lossy => total / 3,
            _ => 0,
        };
        // Slow hosts answer after every aim.
        let usual_ms = if host.condition == Condition::Slow { 1_200.0 } else { 90.0 };
        let mean = secs((usual_ms + 60.0 * self.chance()) / 1e3);
        let busy = (self.chance() < 0.5).then(|| self.busy * (0.8 + 0.4 * self.chance()));
        let load = Load { busy, ..Load::default() };
        let sums = Sums { total, lost, over: secs(1.0) };
        Event::Heard(zone.clone(), host.entry.host.clone(), sums, mean, load)
    }

    /// Answers to marks, of which some get lost.
    fn answers(&mut self, events: &mut Vec<Event>) {
        let marks = std::mem::take(&mut self.marks);
        for mark in marks {
            let proxies: Vec<u32> = self.joined.keys().copied().collect();
            for id in proxies {
                if self.chance() < 0.8 {
                    events.push(Event::Applied(ProxyId(id), mark, secs(0.2 + self.chance())));
                }
            }
        }
    }

    /// Takes note of what the director ordered.
    pub fn note(&mut self, actions: &[Action]) {
        let numbers = actions.iter().filter_map(|action| match action {
            Action::Mark(_, number) => Some(*number),
            _ => None,
        });
        self.marks.extend(numbers);
    }
}
