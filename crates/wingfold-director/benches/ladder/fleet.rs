//! A fleet of hosts and proxies that produces the events of one director.

use crate::sizes::{self, Size, REQUESTS_PER_PROXY};
use std::collections::BTreeSet;
use std::sync::Arc;
use wingfold_director::interface::{
    AttemptCounts, ClassId, Endpoint, EndpointListKind, Event, HostId, HostLoad, Micros, ProxyId, Readiness,
    Timestamp, ZoneId,
};

/// Turns of a director in a second of virtual time.
pub const TURNS_PER_S: u32 = 4;
/// Tries in one line of sums.
const TRIES: u64 = 5;

/// Racks, or switches, that the hosts of a zone share.
const RACKS_PER_ZONE: usize = 3;

/// The hosts and proxies around one director.
pub struct Fleet {
    size: Size,
    hosts: Vec<Endpoint>,
    names_given: u32,
    down: BTreeSet<usize>,
    affected: BTreeSet<HostId>,
    /// Hosts that half of the sums are about, as proxies meet failing hosts again and again.
    focus: Vec<usize>,
    sums_told: usize,
    usage_told: u32,
}

impl Fleet {
    /// A fleet whose hosts have all been up for long.
    pub fn new(size: Size) -> Self {
        let mut fleet = Fleet {
            size,
            hosts: Vec::new(),
            names_given: 0,
            down: BTreeSet::new(),
            affected: BTreeSet::new(),
            focus: Vec::new(),
            sums_told: 0,
            usage_told: 0,
        };
        for index in 0..size.hosts {
            let entry = fleet.new_host(index, None);
            fleet.hosts.push(entry);
        }
        fleet
    }

    /// How many hosts there are.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// The whole list.
    pub fn whole_list(&self) -> Event {
        Event::EndpointList { kind: EndpointListKind::Cached, endpoints: self.hosts.clone() }
    }

    /// Every proxy joins.
    pub fn joins(&self) -> Vec<Event> {
        let join = |proxy| Event::ProxyConnected {
            proxy: ProxyId(proxy),
            zone: self.zone_of_proxy(proxy),
            requests_per_s: REQUESTS_PER_PROXY,
        };
        (0..self.size.proxies).map(join).collect()
    }

    /// One turn's share of the sums of tries and of the usage of proxies.
    pub fn reports(&mut self) -> Vec<Event> {
        let sums = (self.size.sums_per_s / TURNS_PER_S).max(1);
        let usage = (self.size.proxies * self.size.classes).div_ceil(TURNS_PER_S);
        let mut events: Vec<Event> = (0..sums).map(|_| self.next_sums()).collect();
        events.extend((0..usage).map(|_| self.next_usage()));
        events
    }

    /// Replaces a host: the old machine drains and a new one starts.
    pub fn replace(&mut self, index: usize, now: Timestamp) -> Vec<Endpoint> {
        let old = Endpoint { readiness: Readiness::Draining, ..self.hosts[index].clone() };
        self.hosts[index] = self.new_host(index as u32, Some(now));
        vec![old, self.hosts[index].clone()]
    }

    /// Changes the listed weight of a host.
    pub fn reconfigure(&mut self, index: usize) -> Vec<Endpoint> {
        let entry = &mut self.hosts[index];
        entry.weight = if entry.weight > 1.0 { 1.0 } else { 2.0 };
        vec![entry.clone()]
    }

    /// Every host of the first `zones` zones fails, and proxies meet them again and again.
    pub fn lose_zones(&mut self, zones: u32) {
        self.lose_together(self.hosts_of(zones));
    }

    /// A third of the first zone's hosts fails, and proxies meet them again and again.
    pub fn lose_rack(&mut self) {
        self.lose_together(self.hosts_of(1).into_iter().step_by(RACKS_PER_ZONE).collect());
    }

    fn hosts_of(&self, zones: u32) -> Vec<usize> {
        let names: Vec<ZoneId> = (0..zones).map(sizes::zone).collect();
        let hosts = self.hosts.iter().enumerate().filter(|(_, entry)| names.contains(&entry.zone));
        hosts.map(|(index, _)| index).collect()
    }

    fn lose_together(&mut self, indices: Vec<usize>) {
        self.lose(indices.iter().copied().collect());
        self.focus = indices;
    }

    /// One host fails; sums are about it as often as about any other.
    pub fn lose_host(&mut self, index: usize) {
        self.lose(BTreeSet::from([index]));
    }

    fn lose(&mut self, indices: BTreeSet<usize>) {
        self.affected = indices.iter().map(|index| self.hosts[*index].host.clone()).collect();
        self.down = indices;
    }

    /// The hosts that failed last.
    pub fn affected(&self) -> &BTreeSet<HostId> {
        &self.affected
    }

    /// A phase is over: which hosts failed in it is of no interest any more.
    pub fn forget_failed(&mut self) {
        self.affected.clear();
    }

    /// The hosts that are down answer again, as if nothing had happened to them.
    pub fn recover(&mut self) {
        self.focus.clear();
        self.down.clear();
    }

    /// The list drops the hosts that are down.
    pub fn list_without_lost(&self) -> Vec<Endpoint> {
        let gone = |index: &usize| Endpoint { readiness: Readiness::Removed, ..self.hosts[*index].clone() };
        self.down.iter().map(gone).collect()
    }

    /// The hosts that are down are back, started just now.
    pub fn restart_lost(&mut self, now: Timestamp) -> Vec<Endpoint> {
        self.focus.clear();
        let back = std::mem::take(&mut self.down);
        back.into_iter().map(|index| self.restarted(index, now)).collect()
    }

    fn restarted(&mut self, index: usize, now: Timestamp) -> Endpoint {
        self.hosts[index].started_at = Some(now);
        self.hosts[index].clone()
    }

    fn new_host(&mut self, index: u32, started: Option<Timestamp>) -> Endpoint {
        let name = format!("s-{:08x}", self.names_given.wrapping_mul(0x9E37_79B1));
        self.names_given += 1;
        Endpoint {
            host: HostId(Arc::from(name)),
            machine_type: sizes::kind(index / self.size.zones % sizes::KINDS),
            zone: sizes::zone(index % self.size.zones),
            readiness: Readiness::Ready,
            weight: 1.0,
            started_at: started,
        }
    }

    fn zone_of_proxy(&self, proxy: u32) -> ZoneId {
        sizes::zone(if self.size.zone_local { 0 } else { proxy % self.size.zones })
    }

    /// The next pair of a zone with proxies and a host: each pair has its turn.
    fn next_sums(&mut self) -> Event {
        let turn = self.sums_told;
        self.sums_told += 1;
        let zones = if self.size.zone_local { 1 } else { self.size.zones.min(self.size.proxies) as usize };
        let (zone, round) = (turn % zones, turn / zones);
        let focused = !self.focus.is_empty() && round.is_multiple_of(2);
        let index = match focused {
            true => self.focus[round / 2 % self.focus.len()],
            false => (round + zone * self.hosts.len() / zones) % self.hosts.len(),
        };
        self.sums(sizes::zone(zone as u32), index)
    }

    fn sums(&self, zone: ZoneId, index: usize) -> Event {
        let down = self.down.contains(&index);
        let lost = if down { TRIES } else { 0 };
        let mean = if down { 0.0 } else { 0.1 };
        let load = HostLoad { in_flight: Some(7.0), utilization: Some(0.4), ..HostLoad::default() };
        let load = if down || self.size.probes { HostLoad::default() } else { load };
        let sums = AttemptCounts { total: TRIES, failed: lost, period: Micros::from_secs(1.0) };
        Event::LoadReport {
            zone,
            host: self.hosts[index].host.clone(),
            attempts: sums,
            mean_latency: Micros::from_secs(mean),
            load,
        }
    }

    fn next_usage(&mut self) -> Event {
        let turn = self.usage_told;
        self.usage_told += 1;
        let (proxy, class) = (turn / self.size.classes % self.size.proxies, turn % self.size.classes);
        let sums = AttemptCounts { total: 2, failed: 0, period: Micros::from_secs(1.0) };
        Event::Usage { proxy: ProxyId(proxy), class: ClassId(class as usize), requests: sums }
    }
}
