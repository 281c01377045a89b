//! A harness around one director: it records the actions and reports load as simulated hosts would cause it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A duration in seconds.
pub fn seconds(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

/// The point in time so many seconds after the start of the clock.
pub fn at_seconds(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

pub fn host(name: &str) -> HostId {
    HostId(Arc::from(name))
}

pub fn zone(name: &str) -> ZoneId {
    ZoneId(Arc::from(name))
}

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

/// Two zones, two classes, a fast send queue, a pushed endpoint list, admission levels as shares.
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

pub fn endpoint(name: &str, zone_name: &str, readiness: Readiness, started: Option<f64>) -> Endpoint {
    Endpoint {
        host: host(name),
        machine_type: "box".into(),
        zone: zone(zone_name),
        readiness,
        weight: 1.0,
        started_at: started.map(at_seconds),
    }
}

/// Hosts `h0`, `h1`, ... in the two zones alternately, all ready and warm.
pub fn ready_endpoints(count: usize) -> Vec<Endpoint> {
    let zone_name = |at: usize| if at.is_multiple_of(2) { "east" } else { "west" };
    (0..count).map(|n| endpoint(&format!("h{n}"), zone_name(n), Readiness::Ready, None)).collect()
}

/// How a simulated host answers: its mean latency, and the share of its attempts that fail.
#[derive(Clone, Copy)]
pub struct HostBehaviour {
    pub latency_ms: f64,
    pub loss_ratio: f64,
}

/// One director, its clock, and the tables that proxies would hold by its actions.
pub struct Harness {
    pub now: f64,
    pub director: Director,
    pub tables: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    pub admission: BTreeMap<(TableId, u64), (f64, Retry)>,
    pub assignments: Vec<(ProxyId, TableId, ClassMask)>,
    pub actions: Vec<(f64, Action)>,
    /// Barriers that all assigned proxies acknowledge with the next events.
    pub barriers: Vec<u64>,
    /// Barriers are not acknowledged.
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

    /// A director with `count` hosts and one assigned proxy in each zone.
    pub fn with_proxies(settings: Settings, count: usize) -> Self {
        let mut harness = Harness::new(settings);
        harness.send(&[Event::EndpointList {
            kind: EndpointListKind::Cached,
            endpoints: ready_endpoints(count),
        }]);
        harness.send(&[
            Event::ProxyConnected { proxy: ProxyId(0), zone: zone("east"), requests_per_s: 50.0 },
            Event::ProxyConnected { proxy: ProxyId(1), zone: zone("west"), requests_per_s: 50.0 },
        ]);
        harness
    }

    /// Handles events at the current time and returns the actions.
    pub fn send(&mut self, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        let barriers = std::mem::take(&mut self.barriers);
        let answers = barriers
            .iter()
            .flat_map(|barrier| self.assignments.iter().map(|assignment| (assignment.0, *barrier)));
        let answers =
            answers.map(|(proxy, barrier)| Event::Acknowledged { proxy, barrier, elapsed: seconds(0.25) });
        let events: Vec<Event> = answers.chain(events.iter().cloned()).collect();
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
                Action::SetAdmission { table: Some(table), classes: mask, level, retry } => {
                    self.admission.insert((*table, mask.0), (*level, *retry));
                }
                Action::AssignTable { proxy, table, classes: mask } => {
                    self.assignments.push((*proxy, *table, *mask))
                }
                _ => {}
            }
            self.actions.push((self.now, action.clone()));
        }
        out
    }

    /// Advances the clock in steps of a quarter second, without reports.
    pub fn advance(&mut self, secs: f64) {
        let end = self.now + secs;
        while self.now + 1e-9 < end {
            self.now += 0.25;
            self.send(&[Event::TimerFired(0)]);
        }
    }

    /// Advances the clock; each second both zones report `attempts` attempts at each host in their tables.
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
                    let mean = if failed == attempts { 0.0 } else { host_behaviour.latency_ms / 1e3 };
                    events.push(Event::LoadReport {
                        zone: zone(zone_name),
                        host: id,
                        attempts: counts,
                        mean_latency: seconds(mean),
                        load: HostLoad::default(),
                    });
                }
            }
            self.send(&events);
        }
    }

    /// The table that the proxy of a zone is assigned to for the first class.
    pub fn table_of_zone(&self, zone_name: &str) -> TableId {
        let proxy = ProxyId(u32::from(zone_name == "west"));
        let is_of_zone =
            |b: &&(ProxyId, TableId, ClassMask)| b.0 == proxy && (b.2 .0 == 0 || b.2 .0 & 1 == 1);
        self.assignments.iter().rev().find(is_of_zone).expect("the proxy is assigned").1
    }

    pub fn entries(&self, zone_name: &str) -> BTreeMap<HostId, f64> {
        self.tables.get(&self.table_of_zone(zone_name)).cloned().unwrap_or_default()
    }

    pub fn weight(&self, zone_name: &str, name: &str) -> f64 {
        self.entries(zone_name).get(&host(name)).copied().unwrap_or(0.0)
    }
}

/// A load report without failures.
pub fn load_report(zone_name: &str, id: HostId, total: u64, secs: f64, load: HostLoad) -> Event {
    Event::LoadReport {
        zone: zone(zone_name),
        host: id,
        attempts: AttemptCounts { total, failed: 0, period: seconds(1.0) },
        mean_latency: seconds(secs),
        load,
    }
}

pub const HEALTHY: HostBehaviour = HostBehaviour { latency_ms: 100.0, loss_ratio: 0.0 };
pub const FAILING: HostBehaviour = HostBehaviour { latency_ms: 0.0, loss_ratio: 1.0 };
