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
    entry: Endpoint,
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
        latency_objective: secs(aim),
        deadline: secs(3.0 * aim),
        priority_weight: worth,
        repeat_safety: RepeatSafety::Idempotent,
        own_zone_only: false,
        allowed_zones: Vec::new(),
        allowed_machine_types: Vec::new(),
    };
    let zones = 2 + kind as usize % 4;
    let mut settings = Settings {
        director_index: kind % 3,
        directors: 1 + kind % 3,
        zones: (0..zones).map(zone_id).collect(),
        local_first: kind.is_multiple_of(5),
        classes: vec![class(1.0, 1.0), class(0.6, 4.0)],
        endpoint_list_on_request: kind.is_multiple_of(2),
        admission_mode: [AdmissionMode::Share, AdmissionMode::Rate, AdmissionMode::Ignored]
            [kind as usize / 2 % 3],
        proxies: 30,
        send_rate_lines_per_s: [300.0, 4000.0][kind as usize % 2],
        message_overhead_lines: 4.0,
        max_queued_lines: [900.0, 8000.0][kind as usize % 2],
        max_messages_per_proxy: [0, 12][kind as usize / 3 % 2],
        message_window: secs(10.0),
        mean_push_delay: secs(0.2),
        max_push_delay: secs(0.6),
        max_time_without_entry: secs(3.0),
        report_period: secs([0.5, 1.0, 2.0][kind as usize % 3]),
        max_report_lines_per_s: 400.0,
        proxy_ejection_threshold: 3,
        health_checks_allowed: kind % 4 > 1,
        load_report_source: [LoadReportSource::WithAttemptCounts, LoadReportSource::WithHealthChecks]
            [kind as usize / 4 % 2],
        cross_zone_price: [0.0, 0.1][kind as usize / 2 % 2],
        initial_capacity_ratio: 0.2,
        warm_up: secs(9.0),
        drain_grace: secs(3.0),
        overload_factor: 3.0,
        overload_duration: secs(2.0),
        poll_within: secs(10.0),
        removal_is_advisory: kind % 3 == 1,
        connection_idle_timeout: secs([0.0, 4.0, 15.0][kind as usize / 2 % 3]),
        ..Settings::default()
    };
    if kind % 5 > 2 {
        settings.classes[1].own_zone_only = true;
        settings.classes.push(Class { allowed_machine_types: vec!["small".into()], ..class(0.8, 2.0) });
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

    fn add_host(&mut self, started: Option<Timestamp>) -> u32 {
        let (number, zone) = (self.next_host, self.below(self.settings.zones.len()));
        self.next_host += 1;
        // Numbers are mixed so that new hosts stand between old ones in the order of names.
        let name = format!("s-{:04x}", number.wrapping_mul(40_503) & 0xffff);
        let entry = Endpoint {
            host: HostId(Arc::from(name)),
            machine_type: ["small", "large"][self.below(2)].into(),
            zone: zone_id(zone),
            readiness: Readiness::Ready,
            weight: [1.0, 2.0, 3.0][self.below(3)],
            started_at: started,
        };
        self.hosts.insert(number, SiteHost { entry, condition: Condition::Fine });
        number
    }

    /// The events of the first call.
    pub fn begin(&mut self, hosts: usize, proxies: u32) -> Vec<Event> {
        for _ in 0..hosts {
            self.add_host(None);
        }
        let mut events =
            vec![Event::EndpointList { kind: EndpointListKind::Cached, endpoints: self.entries() }];
        for id in 0..proxies {
            events.push(self.join(id));
        }
        events
    }

    fn entries(&self) -> Vec<Endpoint> {
        self.hosts.values().map(|host| host.entry.clone()).collect()
    }

    fn join(&mut self, id: u32) -> Event {
        let zone = zone_id(self.below(self.settings.zones.len()));
        self.joined.insert(id, zone.clone());
        let rate = 0.5 + 20.0 * self.chance().powi(3);
        Event::ProxyConnected { proxy: ProxyId(id), zone, requests_per_s: rate }
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
        let mut events = vec![Event::TimerFired(0)];
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
                Event::ProxyDisconnected(ProxyId(id))
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
            events.push([Event::EndpointListFailed, Event::DiscoveryMoved][self.below(2)].clone());
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
        let mut events =
            vec![Event::EndpointList { kind: EndpointListKind::Changes, endpoints: self.entries() }];
        events.extend(proxies.map(|id| self.join(id)));
        events
    }

    /// A host starts anew and drains, told one after the other in one call; another that drained before is back.
    pub fn start_and_leave(&mut self, draw: usize) -> Vec<Event> {
        let (now, numbers): (_, Vec<u32>) = (Timestamp(self.now), self.hosts.keys().copied().collect());
        let mut told = |number: &u32, readiness: Readiness, started: Option<Timestamp>| {
            let entry = &mut self.hosts.get_mut(number).expect("it was listed").entry;
            (entry.readiness, entry.started_at) = (readiness, started.or(entry.started_at));
            Event::EndpointList { kind: EndpointListKind::Changes, endpoints: vec![entry.clone()] }
        };
        let (leaves, returns) = (&numbers[draw % numbers.len()], &numbers[(draw / 2) % numbers.len()]);
        vec![
            told(leaves, Readiness::Ready, Some(now)),
            told(leaves, [Readiness::Draining, Readiness::Removed][draw % 2], None),
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
            let (now, draw) = (Timestamp(self.now), self.below(5));
            let Some(host) = self.hosts.get_mut(&number) else { continue };
            match draw {
                0 => host.entry.readiness = Readiness::Draining,
                1 => host.entry.readiness = Readiness::Removed,
                2 => (host.entry.readiness, host.entry.started_at) = (Readiness::Ready, Some(now)),
                3 => host.entry.weight *= 1.5,
                _ => {}
            }
            changed.push(host.entry.clone());
            if self.chance() < 0.2 {
                self.hosts.remove(&number);
            }
        }
        for _ in 0..self.below(4) {
            let started = (self.chance() < 0.8).then_some(Timestamp(self.now));
            let number = self.add_host(started);
            changed.push(self.hosts[&number].entry.clone());
        }
        if self.chance() < 0.2 {
            return Event::EndpointList { kind: EndpointListKind::Complete, endpoints: self.entries() };
        }
        Event::EndpointList { kind: EndpointListKind::Changes, endpoints: changed }
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
                let sums = AttemptCounts { total: self.below(30) as u64, failed: 0, period: secs(1.0) };
                events.push(Event::Usage { proxy: ProxyId(id), class, requests: sums });
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
        let load = HostLoad { utilization: busy, ..HostLoad::default() };
        let sums = AttemptCounts { total, failed: lost, period: secs(1.0) };
        Event::LoadReport {
            zone: zone.clone(),
            host: host.entry.host.clone(),
            attempts: sums,
            mean_latency: mean,
            load,
        }
    }

    /// Answers to marks, of which some get lost.
    fn answers(&mut self, events: &mut Vec<Event>) {
        let marks = std::mem::take(&mut self.marks);
        for mark in marks {
            let proxies: Vec<u32> = self.joined.keys().copied().collect();
            for id in proxies {
                if self.chance() < 0.8 {
                    events.push(Event::Acknowledged {
                        proxy: ProxyId(id),
                        barrier: mark,
                        elapsed: secs(0.2 + self.chance()),
                    });
                }
            }
        }
    }

    /// Takes note of what the director ordered.
    pub fn note(&mut self, actions: &[Action]) {
        let numbers = actions.iter().filter_map(|action| match action {
            Action::Barrier { number, .. } => Some(*number),
            _ => None,
        });
        self.marks.extend(numbers);
    }
}
