//! A randomly changing site around a director. Hosts drain, warm up, stop answering, fail or slow down; zones
//! become unreachable; proxies connect and disconnect; endpoint lists fail or are complete; load and usage
//! are reported; acknowledgements get lost; the clock stands still, advances or jumps. The seed determines
//! all of it.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::*;

/// How a host answers; a silent host appears in no load report.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Condition {
    Healthy,
    Slow,
    Lossy,
    Failing,
    Silent,
}

#[derive(Clone, Debug)]
struct SiteHost {
    endpoint: Endpoint,
    condition: Condition,
}

/// The site, its clock in microseconds, and its random number generator.
pub struct Site {
    pub settings: Settings,
    pub now: u64,
    rng_state: u64,
    hosts: BTreeMap<u32, SiteHost>,
    next_host: u32,
    /// The zone of each connected proxy.
    connected: BTreeMap<u32, ZoneId>,
    /// Barriers that proxies have not acknowledged yet.
    barriers: Vec<u64>,
    /// The zone that can neither reach other zones nor be reached from them.
    cut_off_zone: Option<ZoneId>,
    /// Mean utilization of the hosts that report one.
    utilization: f64,
}

pub fn zone_id(n: usize) -> ZoneId {
    ZoneId(Arc::from(format!("z{n}")))
}

fn seconds(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

/// The settings of a deployment, by its number. Together, the deployments cover all admission modes, one or
/// three class groups, complete tables and subsets, pushed and polled endpoint lists, health checks, and slow
/// send queues.
pub fn deployment_settings(deployment: u32) -> Settings {
    let class = |latency_objective_s: f64, priority_weight: f64| Class {
        latency_objective: seconds(latency_objective_s),
        deadline: seconds(3.0 * latency_objective_s),
        priority_weight,
        repeat_safety: RepeatSafety::Idempotent,
        own_zone_only: false,
        allowed_zones: Vec::new(),
        allowed_machine_types: Vec::new(),
    };
    let zones = 2 + deployment as usize % 4;
    let mut settings = Settings {
        director_index: deployment % 3,
        directors: 1 + deployment % 3,
        zones: (0..zones).map(zone_id).collect(),
        local_first: deployment.is_multiple_of(5),
        classes: vec![class(1.0, 1.0), class(0.6, 4.0)],
        endpoint_list_on_request: deployment.is_multiple_of(2),
        admission_mode: [AdmissionMode::Share, AdmissionMode::Rate, AdmissionMode::Ignored]
            [deployment as usize / 2 % 3],
        proxies: 30,
        send_rate_lines_per_s: [300.0, 4000.0][deployment as usize % 2],
        message_overhead_lines: 4.0,
        max_queued_lines: [900.0, 8000.0][deployment as usize % 2],
        max_messages_per_proxy: [0, 12][deployment as usize / 3 % 2],
        message_window: seconds(10.0),
        mean_push_delay: seconds(0.2),
        max_push_delay: seconds(0.6),
        max_time_without_entry: seconds(3.0),
        report_period: seconds([0.5, 1.0, 2.0][deployment as usize % 3]),
        max_report_lines_per_s: 400.0,
        proxy_ejection_threshold: 3,
        health_checks_allowed: deployment % 4 > 1,
        load_report_source: [LoadReportSource::WithAttemptCounts, LoadReportSource::WithHealthChecks]
            [deployment as usize / 4 % 2],
        cross_zone_price: [0.0, 0.1][deployment as usize / 2 % 2],
        initial_capacity_ratio: 0.2,
        warm_up: seconds(9.0),
        drain_grace: seconds(3.0),
        overload_factor: 3.0,
        overload_duration: seconds(2.0),
        poll_within: seconds(10.0),
        removal_is_advisory: deployment % 3 == 1,
        connection_idle_timeout: seconds([0.0, 4.0, 15.0][deployment as usize / 2 % 3]),
        ..Settings::default()
    };
    if deployment % 5 > 2 {
        settings.classes[1].own_zone_only = true;
        settings.classes.push(Class { allowed_machine_types: vec!["small".into()], ..class(0.8, 2.0) });
    }
    settings
}

impl Site {
    pub fn new(deployment: u32, seed: u64) -> Site {
        Site {
            settings: deployment_settings(deployment),
            now: 1_000_000_000,
            rng_state: seed | 1,
            hosts: BTreeMap::new(),
            next_host: 0,
            connected: BTreeMap::new(),
            barriers: Vec::new(),
            cut_off_zone: None,
            utilization: 0.5,
        }
    }

    /// A random number from 0 up to, but not including, 1.
    fn random_ratio(&mut self) -> f64 {
        self.rng_state =
            self.rng_state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
        (self.rng_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A random number below `bound`.
    fn random_below(&mut self, bound: usize) -> usize {
        (self.random_ratio() * bound as f64) as usize
    }

    /// Adds a host to a random zone; returns its number.
    fn add_host(&mut self, started_at: Option<Timestamp>) -> u32 {
        let (number, zone) = (self.next_host, self.random_below(self.settings.zones.len()));
        self.next_host += 1;
        // Numbers are scrambled so that the names of new hosts sort between the names of older hosts.
        let name = format!("s-{:04x}", number.wrapping_mul(40_503) & 0xffff);
        let endpoint = Endpoint {
            host: HostId(Arc::from(name)),
            machine_type: ["small", "large"][self.random_below(2)].into(),
            zone: zone_id(zone),
            readiness: Readiness::Ready,
            weight: [1.0, 2.0, 3.0][self.random_below(3)],
            started_at,
        };
        self.hosts.insert(number, SiteHost { endpoint, condition: Condition::Healthy });
        number
    }

    /// The events of the first call: the cached endpoint list, and all proxies connect.
    pub fn first_events(&mut self, hosts: usize, proxies: u32) -> Vec<Event> {
        for _ in 0..hosts {
            self.add_host(None);
        }
        let mut events =
            vec![Event::EndpointList { kind: EndpointListKind::Cached, endpoints: self.endpoints() }];
        for id in 0..proxies {
            events.push(self.connect(id));
        }
        events
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        self.hosts.values().map(|host| host.endpoint.clone()).collect()
    }

    /// Proxy `id` connects from a random zone.
    fn connect(&mut self, id: u32) -> Event {
        let zone = zone_id(self.random_below(self.settings.zones.len()));
        self.connected.insert(id, zone.clone());
        let requests_per_s = 0.5 + 20.0 * self.random_ratio().powi(3);
        Event::ProxyConnected { proxy: ProxyId(id), zone, requests_per_s }
    }

    /// Advances the clock by a random step; returns the new time.
    pub fn advance_clock(&mut self) -> u64 {
        let step = match self.random_below(40) {
            0 => 0,
            1..=3 => 1 + self.random_below(3) as u64,
            4..=9 => self.random_below(250_000) as u64,
            10 => 3_000_000 + self.random_below(70_000_000) as u64,
            _ => 250_000,
        };
        self.now += step;
        self.now
    }

    /// Random events for the next call.
    pub fn events(&mut self) -> Vec<Event> {
        let mut events = vec![Event::TimerFired(0)];
        if self.random_ratio() < 0.25 {
            self.change_conditions();
        }
        if self.random_ratio() < 0.08 {
            let event = self.endpoint_list();
            events.push(event);
        }
        if self.random_ratio() < 0.05 {
            let id = self.random_below(30) as u32;
            let event = if self.connected.remove(&id).is_some() && self.random_ratio() < 0.7 {
                Event::ProxyDisconnected(ProxyId(id))
            } else {
                self.connect(id)
            };
            events.push(event);
        }
        if self.random_ratio() < 0.02 {
            // Many proxies connect at once; where the send queue is slow, the director then defers
            // low-priority changes.
            let first = self.random_below(20) as u32;
            events.extend((first..first + 12).map(|id| self.connect(id)));
        }
        if self.random_ratio() < 0.01 {
            events.push([Event::EndpointListFailed, Event::DiscoveryMoved][self.random_below(2)].clone());
        }
        if self.random_ratio() < 0.6 {
            self.add_reports(&mut events);
        }
        self.add_acknowledgements(&mut events);
        events
    }

    /// Advances the clock by a quarter second; returns the time, and acknowledgements as the only events.
    pub fn advance_with_acknowledgements(&mut self) -> (u64, Vec<Event>) {
        self.now += 250_000;
        let mut events = Vec::new();
        self.add_acknowledgements(&mut events);
        (self.now, events)
    }

    /// The listed weight of every host doubles, and `proxies` connect in the same call.
    pub fn connect_proxies_and_double_weights(&mut self, proxies: std::ops::Range<u32>) -> Vec<Event> {
        self.hosts.values_mut().for_each(|host| host.endpoint.weight *= 2.0);
        let mut events =
            vec![Event::EndpointList { kind: EndpointListKind::Changes, endpoints: self.endpoints() }];
        events.extend(proxies.map(|id| self.connect(id)));
        events
    }

    /// A host restarts and then drains or is removed, both within one call. Another host, which may have been
    /// draining or removed, restarts and is ready. `draw` selects the hosts.
    pub fn restart_and_remove(&mut self, draw: usize) -> Vec<Event> {
        let (now, numbers): (_, Vec<u32>) = (Timestamp(self.now), self.hosts.keys().copied().collect());
        let mut change = |number: &u32, readiness: Readiness, started_at: Option<Timestamp>| {
            let endpoint = &mut self.hosts.get_mut(number).expect("the site has no such host").endpoint;
            (endpoint.readiness, endpoint.started_at) = (readiness, started_at.or(endpoint.started_at));
            Event::EndpointList { kind: EndpointListKind::Changes, endpoints: vec![endpoint.clone()] }
        };
        let (leaving, returning) = (&numbers[draw % numbers.len()], &numbers[(draw / 2) % numbers.len()]);
        vec![
            change(leaving, Readiness::Ready, Some(now)),
            change(leaving, [Readiness::Draining, Readiness::Removed][draw % 2], None),
            change(returning, Readiness::Ready, Some(now)),
        ]
    }

    /// Changes the unreachable zone, the utilization, or the condition of some or all hosts.
    fn change_conditions(&mut self) {
        let zones = self.settings.zones.len();
        match self.random_below(10) {
            0 => self.cut_off_zone = None,
            1 => self.cut_off_zone = Some(zone_id(self.random_below(zones))),
            2 => self.utilization = 0.2 + self.random_ratio(),
            3..=5 => {
                for host in self.hosts.values_mut() {
                    host.condition = Condition::Healthy;
                }
            }
            _ => {
                let ratio = self.random_ratio().powi(2);
                let faulty = [Condition::Slow, Condition::Lossy, Condition::Failing, Condition::Silent];
                let condition = faulty[self.random_below(4)];
                let numbers: Vec<u32> = self.hosts.keys().copied().collect();
                for number in numbers {
                    if self.random_ratio() < ratio {
                        self.hosts.entry(number).and_modify(|host| host.condition = condition);
                    }
                }
            }
        }
    }

    /// Changes some hosts: they drain, are removed, restart, get another weight, or are new. Returns the
    /// changed endpoints or the complete list.
    fn endpoint_list(&mut self) -> Event {
        let numbers: Vec<u32> = self.hosts.keys().copied().collect();
        let mut changed = Vec::new();
        for number in numbers {
            if self.random_ratio() > 0.12 {
                continue;
            }
            let (now, draw) = (Timestamp(self.now), self.random_below(5));
            let Some(host) = self.hosts.get_mut(&number) else { continue };
            match draw {
                0 => host.endpoint.readiness = Readiness::Draining,
                1 => host.endpoint.readiness = Readiness::Removed,
                2 => (host.endpoint.readiness, host.endpoint.started_at) = (Readiness::Ready, Some(now)),
                3 => host.endpoint.weight *= 1.5,
                _ => {}
            }
            changed.push(host.endpoint.clone());
            if self.random_ratio() < 0.2 {
                self.hosts.remove(&number);
            }
        }
        for _ in 0..self.random_below(4) {
            let started_at = (self.random_ratio() < 0.8).then_some(Timestamp(self.now));
            let number = self.add_host(started_at);
            changed.push(self.hosts[&number].endpoint.clone());
        }
        if self.random_ratio() < 0.2 {
            return Event::EndpointList { kind: EndpointListKind::Complete, endpoints: self.endpoints() };
        }
        Event::EndpointList { kind: EndpointListKind::Changes, endpoints: changed }
    }

    /// Adds load reports of some zones on some hosts, and usage of some proxies.
    fn add_reports(&mut self, events: &mut Vec<Event>) {
        let hosts: Vec<SiteHost> = self.hosts.values().cloned().collect();
        let reported_ratio = self.random_ratio();
        for zone in self.settings.zones.clone() {
            // Whether a zone reports does not depend on the other zones.
            if self.random_ratio() < 0.5 || !self.connected.values().any(|connected| *connected == zone) {
                continue;
            }
            for host in &hosts {
                if self.random_ratio() > reported_ratio || host.condition == Condition::Silent {
                    continue;
                }
                let crosses_zones = host.endpoint.zone != zone;
                let is_unreachable = crosses_zones
                    && [&zone, &host.endpoint.zone].map(Some).contains(&self.cut_off_zone.as_ref());
                events.push(self.load_report(&zone, host, is_unreachable));
            }
        }
        let proxies: Vec<u32> = self.connected.keys().copied().collect();
        for id in proxies {
            if self.random_ratio() < 0.3 {
                let class = ClassId(self.random_below(self.settings.classes.len()));
                let requests =
                    AttemptCounts { total: self.random_below(30) as u64, failed: 0, period: seconds(1.0) };
                events.push(Event::Usage { proxy: ProxyId(id), class, requests });
            }
        }
    }

    /// A load report of a zone on a host in its present condition.
    fn load_report(&mut self, zone: &ZoneId, host: &SiteHost, is_unreachable: bool) -> Event {
        let total = 1 + self.random_below(12) as u64;
        let failed = match host.condition {
            _ if is_unreachable => total,
            Condition::Failing => total,
            Condition::Lossy => total / 3,
            _ => 0,
        };
        // Slow hosts answer later than every latency objective.
        let min_latency_ms = if host.condition == Condition::Slow { 1_200.0 } else { 90.0 };
        let mean_latency = seconds((min_latency_ms + 60.0 * self.random_ratio()) / 1e3);
        let utilization =
            (self.random_ratio() < 0.5).then(|| self.utilization * (0.8 + 0.4 * self.random_ratio()));
        let load = HostLoad { utilization, ..HostLoad::default() };
        let attempts = AttemptCounts { total, failed, period: seconds(1.0) };
        Event::LoadReport {
            zone: zone.clone(),
            host: host.endpoint.host.clone(),
            attempts,
            mean_latency,
            load,
        }
    }

    /// Adds acknowledgements of the recorded barriers; some acknowledgements get lost.
    fn add_acknowledgements(&mut self, events: &mut Vec<Event>) {
        let barriers = std::mem::take(&mut self.barriers);
        for barrier in barriers {
            let proxies: Vec<u32> = self.connected.keys().copied().collect();
            for id in proxies {
                if self.random_ratio() < 0.8 {
                    events.push(Event::Acknowledged {
                        proxy: ProxyId(id),
                        barrier,
                        elapsed: seconds(0.2 + self.random_ratio()),
                    });
                }
            }
        }
    }

    /// Records the barriers among the director's actions, for acknowledgement in the next call.
    pub fn record_actions(&mut self, actions: &[Action]) {
        let numbers = actions.iter().filter_map(|action| match action {
            Action::Barrier { number, .. } => Some(*number),
            _ => None,
        });
        self.barriers.extend(numbers);
    }
}
