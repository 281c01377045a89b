//! A fleet of hosts and proxies that produces the events of one director.

use crate::sizes::{self, Size, REQUESTS_PER_PROXY};
use std::collections::BTreeSet;
use std::sync::Arc;
use wingfold_director::interface::{
    AttemptCounts, ClassId, Endpoint, EndpointListKind, Event, HostId, HostLoad, Micros, ProxyId, Readiness,
    Timestamp, ZoneId,
};

/// Number of calls of the director per second of virtual time.
pub const CALLS_PER_S: u32 = 4;
/// Number of attempts in one load report.
const ATTEMPTS_PER_REPORT: u64 = 5;
/// Number of racks, or switches, over which the hosts of a zone are distributed.
const RACKS_PER_ZONE: usize = 3;

/// The hosts and proxies around one director.
pub struct Fleet {
    size: Size,
    hosts: Vec<Endpoint>,
    /// Number of hosts that have ever existed, for the names of new hosts.
    hosts_created: u32,
    /// Indices of the hosts that fail at present.
    failing: BTreeSet<usize>,
    /// The hosts that have failed last, in this phase.
    failed_hosts: BTreeSet<HostId>,
    /// Indices of the hosts that get half of the load reports, since proxies often retry failing hosts.
    often_reported: Vec<usize>,
    reports_sent: usize,
    usage_sent: u32,
}

impl Fleet {
    /// A fleet whose hosts are all warmed up.
    pub fn new(size: Size) -> Self {
        let mut fleet = Fleet {
            size,
            hosts: Vec::new(),
            hosts_created: 0,
            failing: BTreeSet::new(),
            failed_hosts: BTreeSet::new(),
            often_reported: Vec::new(),
            reports_sent: 0,
            usage_sent: 0,
        };
        for index in 0..size.hosts {
            let entry = fleet.new_host(index, None);
            fleet.hosts.push(entry);
        }
        fleet
    }

    /// The number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// The complete endpoint list, as cached before a restart.
    pub fn cached_list(&self) -> Event {
        Event::EndpointList { kind: EndpointListKind::Cached, endpoints: self.hosts.clone() }
    }

    /// The events by which all proxies connect.
    pub fn connections(&self) -> Vec<Event> {
        let connect = |proxy| Event::ProxyConnected {
            proxy: ProxyId(proxy),
            zone: self.zone_of_proxy(proxy),
            requests_per_s: REQUESTS_PER_PROXY,
        };
        (0..self.size.proxies).map(connect).collect()
    }

    /// The load reports and the usage that arrive before one call.
    pub fn reports(&mut self) -> Vec<Event> {
        let reports = (self.size.reports_per_s / CALLS_PER_S).max(1);
        let usage = (self.size.proxies * self.size.classes).div_ceil(CALLS_PER_S);
        let mut events: Vec<Event> = (0..reports).map(|_| self.next_load_report()).collect();
        events.extend((0..usage).map(|_| self.next_usage()));
        events
    }

    /// Replaces a host: the old host drains and a new one starts. Returns the list entries of the old and the
    /// new host.
    pub fn replace(&mut self, index: usize, now: Timestamp) -> Vec<Endpoint> {
        let old = Endpoint { readiness: Readiness::Draining, ..self.hosts[index].clone() };
        self.hosts[index] = self.new_host(index as u32, Some(now));
        vec![old, self.hosts[index].clone()]
    }

    /// Changes the listed weight of a host; returns the list entry.
    pub fn reconfigure(&mut self, index: usize) -> Vec<Endpoint> {
        let entry = &mut self.hosts[index];
        entry.weight = if entry.weight > 1.0 { 1.0 } else { 2.0 };
        vec![entry.clone()]
    }

    /// All hosts of the first `zones` zones fail, and get half of the load reports.
    pub fn fail_zones(&mut self, zones: u32) {
        self.fail_and_report_often(self.hosts_in_first_zones(zones));
    }

    /// The hosts of one rack in the first zone fail, and get half of the load reports.
    pub fn fail_rack(&mut self) {
        self.fail_and_report_often(
            self.hosts_in_first_zones(1).into_iter().step_by(RACKS_PER_ZONE).collect(),
        );
    }

    /// Indices of the hosts in the first `zones` zones.
    fn hosts_in_first_zones(&self, zones: u32) -> Vec<usize> {
        let first_zones: Vec<ZoneId> = (0..zones).map(sizes::zone).collect();
        let hosts = self.hosts.iter().enumerate().filter(|(_, entry)| first_zones.contains(&entry.zone));
        hosts.map(|(index, _)| index).collect()
    }

    fn fail_and_report_often(&mut self, indices: Vec<usize>) {
        self.fail(indices.iter().copied().collect());
        self.often_reported = indices;
    }

    /// One host fails, and gets as many load reports as any other.
    pub fn fail_host(&mut self, index: usize) {
        self.fail(BTreeSet::from([index]));
    }

    fn fail(&mut self, indices: BTreeSet<usize>) {
        self.failed_hosts = indices.iter().map(|index| self.hosts[*index].host.clone()).collect();
        self.failing = indices;
    }

    /// The hosts that have failed last, in this phase.
    pub fn failed_hosts(&self) -> &BTreeSet<HostId> {
        &self.failed_hosts
    }

    /// Forgets the failed hosts, at the end of a phase.
    pub fn clear_failed_hosts(&mut self) {
        self.failed_hosts.clear();
    }

    /// The failing hosts answer again, without a restart.
    pub fn recover(&mut self) {
        self.often_reported.clear();
        self.failing.clear();
    }

    /// The list entries that remove the failing hosts.
    pub fn removals_of_failing_hosts(&self) -> Vec<Endpoint> {
        let removed =
            |index: &usize| Endpoint { readiness: Readiness::Removed, ..self.hosts[*index].clone() };
        self.failing.iter().map(removed).collect()
    }

    /// The failing hosts restart at time `now`; returns their list entries.
    pub fn restart_failing_hosts(&mut self, now: Timestamp) -> Vec<Endpoint> {
        self.often_reported.clear();
        let restarting = std::mem::take(&mut self.failing);
        restarting.into_iter().map(|index| self.restart(index, now)).collect()
    }

    /// Restarts a host at time `now`; returns its list entry.
    fn restart(&mut self, index: usize, now: Timestamp) -> Endpoint {
        self.hosts[index].started_at = Some(now);
        self.hosts[index].clone()
    }

    /// The list entry of a new host, whose zone and machine type follow from its index.
    fn new_host(&mut self, index: u32, started_at: Option<Timestamp>) -> Endpoint {
        let name = format!("s-{:08x}", self.hosts_created.wrapping_mul(0x9E37_79B1));
        self.hosts_created += 1;
        Endpoint {
            host: HostId(Arc::from(name)),
            machine_type: sizes::machine_type(index / self.size.zones % sizes::MACHINE_TYPES),
            zone: sizes::zone(index % self.size.zones),
            readiness: Readiness::Ready,
            weight: 1.0,
            started_at,
        }
    }

    fn zone_of_proxy(&self, proxy: u32) -> ZoneId {
        sizes::zone(if self.size.zone_local { 0 } else { proxy % self.size.zones })
    }

    /// The next load report. The zones with proxies report in turn, and each of them reports on all hosts in
    /// turn.
    fn next_load_report(&mut self) -> Event {
        let turn = self.reports_sent;
        self.reports_sent += 1;
        let zones = if self.size.zone_local { 1 } else { self.size.zones.min(self.size.proxies) as usize };
        let (zone, round) = (turn % zones, turn / zones);
        let is_on_often_reported_host = !self.often_reported.is_empty() && round.is_multiple_of(2);
        let index = match is_on_often_reported_host {
            true => self.often_reported[round / 2 % self.often_reported.len()],
            false => (round + zone * self.hosts.len() / zones) % self.hosts.len(),
        };
        self.load_report(sizes::zone(zone as u32), index)
    }

    fn load_report(&self, zone: ZoneId, index: usize) -> Event {
        let is_failing = self.failing.contains(&index);
        let failed = if is_failing { ATTEMPTS_PER_REPORT } else { 0 };
        let mean_latency_s = if is_failing { 0.0 } else { 0.1 };
        let load = HostLoad { in_flight: Some(7.0), utilization: Some(0.4), ..HostLoad::default() };
        let load = if is_failing || self.size.health_checks { HostLoad::default() } else { load };
        let counts = AttemptCounts { total: ATTEMPTS_PER_REPORT, failed, period: Micros::from_secs(1.0) };
        Event::LoadReport {
            zone,
            host: self.hosts[index].host.clone(),
            attempts: counts,
            mean_latency: Micros::from_secs(mean_latency_s),
            load,
        }
    }

    /// The next usage report. Proxies report in turn, each on its classes in turn.
    fn next_usage(&mut self) -> Event {
        let turn = self.usage_sent;
        self.usage_sent += 1;
        let (proxy, class) = (turn / self.size.classes % self.size.proxies, turn % self.size.classes);
        let counts = AttemptCounts { total: 2, failed: 0, period: Micros::from_secs(1.0) };
        Event::Usage { proxy: ProxyId(proxy), class: ClassId(class as usize), requests: counts }
    }
}
