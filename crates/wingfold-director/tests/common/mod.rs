//! A harness around one director: it records the director's actions and reports the load of simulated hosts.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A duration of `secs` seconds.
pub fn seconds(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

/// The time `secs` seconds after the start of the clock.
pub fn at_seconds(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

pub fn host(name: &str) -> HostId {
    HostId(Arc::from(name))
}

pub fn zone(name: &str) -> ZoneId {
    ZoneId(Arc::from(name))
}

/// A class whose deadline is three times its latency objective, and which any host may serve.
pub fn class(repeat_safety: RepeatSafety, latency_objective_s: f64, priority_weight: f64) -> Class {
    Class {
        latency_objective: seconds(latency_objective_s),
        deadline: seconds(3.0 * latency_objective_s),
        priority_weight,
        repeat_safety,
        own_zone_only: false,
        allowed_zones: Vec::new(),
        allowed_machine_types: Vec::new(),
    }
}

/// Settings with two zones, two classes, a fast send queue, a pushed endpoint list, and admission levels that
/// are shares of the requests.
pub fn settings() -> Settings {
    Settings {
        directors: 1,
        zones: vec![zone("east"), zone("west")],
        classes: vec![class(RepeatSafety::Idempotent, 1.0, 1.0), class(RepeatSafety::AtMostOnce, 0.8, 3.0)],
        proxies: 4,
        send_rate_lines_per_s: 10_000.0,
        message_overhead_lines: 4.0,
        max_queued_lines: 10_000.0,
        message_window: seconds(10.0),
        mean_push_delay: seconds(0.2),
        max_push_delay: seconds(0.6),
        max_time_without_entry: seconds(3.0),
        report_period: seconds(1.0),
        max_report_lines_per_s: 1000.0,
        proxy_ejection_threshold: 3,
        initial_capacity_ratio: 0.2,
        warm_up: seconds(16.0),
        drain_grace: seconds(3.0),
        overload_factor: 3.0,
        overload_duration: seconds(2.0),
        poll_within: seconds(10.0),
        ..Settings::default()
    }
}

/// An endpoint with a listed weight of 1; `started_s` is the time of the host's start in seconds.
pub fn endpoint(name: &str, zone_name: &str, readiness: Readiness, started_s: Option<f64>) -> Endpoint {
    Endpoint {
        host: host(name),
        machine_type: "box".into(),
        zone: zone(zone_name),
        readiness,
        weight: 1.0,
        started_at: started_s.map(at_seconds),
    }
}

/// Endpoints of the hosts `h0`, `h1`, ..., alternately in zones east and west, all ready and warmed up.
pub fn ready_endpoints(count: usize) -> Vec<Endpoint> {
    let zone_name = |n: usize| if n.is_multiple_of(2) { "east" } else { "west" };
    (0..count).map(|n| endpoint(&format!("h{n}"), zone_name(n), Readiness::Ready, None)).collect()
}

/// How a simulated host responds: its mean latency, and the ratio of the attempts that fail.
#[derive(Clone, Copy)]
pub struct HostBehaviour {
    pub latency_ms: f64,
    pub loss_ratio: f64,
}

/// One director, its clock, and the tables and assignments that result from its actions.
pub struct Harness {
    /// The current time in seconds.
    pub now: f64,
    pub director: Director,
    /// The entries of each table: hosts and their weights.
    pub tables: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    /// The admission level and the retry policy by table and class mask.
    pub admission: BTreeMap<(TableId, u64), (f64, Retry)>,
    /// Every assignment of a table to a proxy, in the order of the actions.
    pub assignments: Vec<(ProxyId, TableId, ClassMask)>,
    /// Every action, with the time of its call in seconds.
    pub actions: Vec<(f64, Action)>,
    /// Barriers that all assigned proxies acknowledge in the next call.
    pub barriers: Vec<u64>,
    /// Whether proxies never acknowledge barriers.
    pub drops_acknowledgements: bool,
}

impl Harness {
    pub fn new(settings: Settings) -> Self {
        Harness {
            now: 0.0,
            director: Director::new(settings, 7),
            tables: BTreeMap::new(),
            admission: BTreeMap::new(),
            assignments: Vec::new(),
            actions: Vec::new(),
            barriers: Vec::new(),
            drops_acknowledgements: false,
        }
    }

    /// A director with `count` hosts, and one assigned proxy in each zone: proxy 0 in east, proxy 1 in west.
    pub fn with_proxies(settings: Settings, count: usize) -> Self {
        let mut harness = Harness::new(settings);
        harness.handle(&[Event::EndpointList {
            kind: EndpointListKind::Cached,
            endpoints: ready_endpoints(count),
        }]);
        harness.handle(&[
            Event::ProxyConnected { proxy: ProxyId(0), zone: zone("east"), requests_per_s: 50.0 },
            Event::ProxyConnected { proxy: ProxyId(1), zone: zone("west"), requests_per_s: 50.0 },
        ]);
        harness
    }

    /// Calls the director with due acknowledgements and these events at the current time; returns its
    /// actions.
    pub fn handle(&mut self, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        let barriers = std::mem::take(&mut self.barriers);
        let acknowledgements = barriers
            .iter()
            .flat_map(|barrier| self.assignments.iter().map(|assignment| (assignment.0, *barrier)));
        let acknowledgements = acknowledgements.map(|(proxy, barrier)| Event::Acknowledged {
            proxy,
            barrier,
            elapsed: seconds(0.25),
        });
        let events: Vec<Event> = acknowledgements.chain(events.iter().cloned()).collect();
        self.director.handle(at_seconds(self.now), &events, &mut out);
        for action in &out {
            match action {
                Action::Barrier { number, .. } if !self.drops_acknowledgements => self.barriers.push(*number),
                Action::SetEntry { table, host, weight } if *weight > 0.0 => {
                    self.tables.entry(*table).or_default().insert(host.clone(), *weight);
                }
                Action::SetEntry { table, host, .. } => {
                    self.tables.entry(*table).or_default().remove(host);
                }
                Action::ClearTable(table) => {
                    self.tables.remove(table);
                }
                Action::SetAdmission { table: Some(table), classes, level, retry } => {
                    self.admission.insert((*table, classes.0), (*level, *retry));
                }
                Action::AssignTable { proxy, table, classes } => {
                    self.assignments.push((*proxy, *table, *classes))
                }
                _ => {}
            }
            self.actions.push((self.now, action.clone()));
        }
        out
    }

    /// Advances the clock by `secs` seconds in steps of a quarter second, without any reports.
    pub fn advance(&mut self, secs: f64) {
        let end = self.now + secs;
        while self.now + 1e-9 < end {
            self.now += 0.25;
            self.handle(&[Event::TimerFired(0)]);
        }
    }

    /// Advances the clock by `secs` seconds. Each second both zones report `attempts` attempts at each host
    /// in their tables; `behaviour` maps the names of a zone and a host to the behaviour of the host.
    pub fn run_with_reports(
        &mut self,
        secs: f64,
        attempts: u64,
        behaviour: impl Fn(&str, &str) -> HostBehaviour,
    ) {
        let end = self.now + secs;
        while self.now + 1e-9 < end {
            self.advance(1.0);
            let mut events = Vec::new();
            for zone_name in ["east", "west"] {
                for (id, _) in self.entries(zone_name) {
                    let host_behaviour = behaviour(zone_name, &id.0);
                    let failed = (attempts as f64 * host_behaviour.loss_ratio).round() as u64;
                    let counts = AttemptCounts { total: attempts, failed, period: seconds(1.0) };
                    let mean_latency_s =
                        if failed == attempts { 0.0 } else { host_behaviour.latency_ms / 1e3 };
                    events.push(Event::LoadReport {
                        zone: zone(zone_name),
                        host: id,
                        attempts: counts,
                        mean_latency: seconds(mean_latency_s),
                        load: HostLoad::default(),
                    });
                }
            }
            self.handle(&events);
        }
    }

    /// The table that was last assigned to the proxy of a zone for the first class.
    pub fn table_of_zone(&self, zone_name: &str) -> TableId {
        let proxy = ProxyId(u32::from(zone_name == "west"));
        let is_for_first_class = |(assigned, _, classes): &&(ProxyId, TableId, ClassMask)| {
            *assigned == proxy && (classes.0 == 0 || classes.0 & 1 == 1)
        };
        self.assignments.iter().rev().find(is_for_first_class).expect("the zone's proxy has no table").1
    }

    /// The entries of the table that [`Harness::table_of_zone`] returns.
    pub fn entries(&self, zone_name: &str) -> BTreeMap<HostId, f64> {
        self.tables.get(&self.table_of_zone(zone_name)).cloned().unwrap_or_default()
    }

    /// The weight of a host in the zone's table; 0 if the host has no entry there.
    pub fn weight(&self, zone_name: &str, name: &str) -> f64 {
        self.entries(zone_name).get(&host(name)).copied().unwrap_or(0.0)
    }
}

/// A load report of `total` attempts within a second, none of which failed.
pub fn load_report(zone_name: &str, id: HostId, total: u64, mean_latency_s: f64, load: HostLoad) -> Event {
    Event::LoadReport {
        zone: zone(zone_name),
        host: id,
        attempts: AttemptCounts { total, failed: 0, period: seconds(1.0) },
        mean_latency: seconds(mean_latency_s),
        load,
    }
}

pub const HEALTHY: HostBehaviour = HostBehaviour { latency_ms: 100.0, loss_ratio: 0.0 };
pub const FAILING: HostBehaviour = HostBehaviour { latency_ms: 0.0, loss_ratio: 1.0 };
