//! Draws the site of a scenario from the seed and starts the simulation.

use super::checks::ROUTE_CHECK_PERIOD;
use super::delay::DelayRange;
use super::director::DirectorNode;
use super::discovery::endpoint_of;
use super::event::{EventQueue, SimulationEvent};
use super::faults::{draw_targets, Disruptions};
use super::{Observer, Simulation};
use crate::host::Host;
use crate::proxy::{Proxy, WeightedHost};
use crate::results::RunResult;
use crate::scenario::Scenario;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use wingfold_director::interface::*;

/// Streams of random numbers. Draws from one stream do not affect the other streams.
const SITE_STREAM: u64 = 1;
const ARRIVAL_STREAM: u64 = 2;
const EVENT_STREAM: u64 = 3;
/// The most hosts that a proxy uses before a director has sent routes.
const INITIAL_HOSTS: usize = 8;
/// The delay after which a proxy connects for the first time.
const FIRST_CONNECT_DELAY: DelayRange = DelayRange { min: Micros(20_000), max: Micros(500_000) };
/// When the first director sends its first random message. Each further director sends its first message 1 µs
/// after the previous director.
const FIRST_PEER_MESSAGE_AT: Timestamp = Timestamp(1000);

impl<'a> Simulation<'a> {
    /// Draws the site. The order of the draws from `SITE_STREAM` must not change, or else the results of a
    /// seed change.
    pub(super) fn new(
        scenario: &'a Scenario,
        seed: u64,
        capture_root: Option<&'a Path>,
        observer: &'a mut dyn Observer,
    ) -> Self {
        let mut rng = seeded_rng(seed, SITE_STREAM);
        let hosts = draw_hosts(scenario, &mut rng);
        let mean_work_ms = draw_mean_work_ms(scenario, &mut rng);
        let proxies = draw_proxies(scenario, &hosts, &mut rng);
        let targets = |fault| draw_targets(fault, &hosts, scenario, &mut rng);
        let fault_targets = scenario.faults.iter().map(targets).collect();
        let zones = scenario.settings.zones.len();
        Simulation {
            scenario,
            seed,
            capture_root,
            observer,
            now: Timestamp(0),
            events: EventQueue::default(),
            arrival_rng: seeded_rng(seed, ARRIVAL_STREAM),
            rng: seeded_rng(seed, EVENT_STREAM),
            host_index: hosts.iter().enumerate().map(|(index, host)| (host.id.clone(), index)).collect(),
            initial_endpoints: hosts.iter().map(|host| endpoint_of(host, scenario)).collect(),
            utilization: vec![None; hosts.len()],
            last_report_at: Timestamp(0),
            hosts,
            proxies,
            directors: Vec::new(),
            requests: BTreeMap::new(),
            admitted_requests: 0,
            mean_work_ms,
            fault_targets,
            disruptions: Disruptions::none(zones),
            actions: Vec::new(),
            result: RunResult::new(zones, scenario.classes.len(), scenario.duration),
        }
    }

    /// Starts the directors and schedules the first events.
    pub(super) fn start(&mut self) -> io::Result<()> {
        for director in 0..self.scenario.settings.directors as usize {
            self.add_director(director)?;
        }
        for proxy in 0..self.proxies.len() {
            let delay = self.random_delay(FIRST_CONNECT_DELAY);
            self.schedule_after(delay, SimulationEvent::ProxyConnects { proxy });
            self.schedule_arrival(proxy);
        }
        for (fault, schedule) in self.scenario.faults.iter().enumerate() {
            let begins = SimulationEvent::FaultBeginsOrEnds { fault, active: true };
            let ends = SimulationEvent::FaultBeginsOrEnds { fault, active: false };
            self.schedule_at(schedule.begins_at, begins);
            self.schedule_at(schedule.ends_at, ends);
        }
        self.schedule_after(self.scenario.settings.report_period, SimulationEvent::LoadReportsDue);
        self.schedule_after(ROUTE_CHECK_PERIOD, SimulationEvent::RouteCheckDue);
        Ok(())
    }

    fn add_director(&mut self, director: usize) -> io::Result<()> {
        let zone = director % self.scenario.settings.zones.len();
        self.directors.push(DirectorNode::new(zone));
        self.start_director(director)?;
        if self.scenario.peers.messages_per_s > 0.0 && self.scenario.settings.directors > 1 {
            let first_message_at = FIRST_PEER_MESSAGE_AT + Micros(director as u64);
            self.schedule_at(first_message_at, SimulationEvent::PeerMessageDue { director });
        }
        Ok(())
    }
}

fn seeded_rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

/// Draws the hosts and places them in the zones in turn.
fn draw_hosts(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Host> {
    let zones = scenario.settings.zones.len();
    let mut hosts = Vec::new();
    for group in &scenario.host_groups {
        for number in 0..group.count {
            let core_speed = rng.random_range(group.core_speed.min..=group.core_speed.max);
            let name = format!("{}-{number}", group.machine_type);
            let id = HostId(Arc::from(name.as_str()));
            let zone = hosts.len() % zones;
            hosts.push(Host::new(id, &group.machine_type, zone, group.cores, core_speed));
        }
    }
    hosts
}

/// Draws the mean work of a request of each class.
fn draw_mean_work_ms(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let ranges = scenario.classes.iter().map(|class| class.mean_work_ms);
    ranges.map(|range| rng.random_range(range.min..=range.max)).collect()
}

/// Draws the proxies: first the traffic of all proxies, then the initial hosts of each proxy.
fn draw_proxies(scenario: &Scenario, hosts: &[Host], rng: &mut ChaCha8Rng) -> Vec<Proxy> {
    let traffic_shares = draw_traffic_shares(scenario, rng);
    let total_share: f64 = traffic_shares.iter().sum();
    let mut proxies = Vec::new();
    for (index, share) in traffic_shares.iter().enumerate() {
        let zone = index % scenario.settings.zones.len();
        let initial_hosts = draw_initial_hosts(hosts, zone, rng);
        let rate_per_s = scenario.rate_per_s * share / total_share;
        proxies.push(Proxy::new(zone, rate_per_s, Arc::new(initial_hosts), scenario.classes.len()));
    }
    proxies
}

/// Draws the traffic of each proxy relative to the other proxies.
fn draw_traffic_shares(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut shares = Vec::new();
    for _ in 0..scenario.settings.proxies {
        let exponent = scenario.rate_skew * (rng.random::<f64>() - 0.5);
        shares.push(10f64.powf(exponent));
    }
    shares
}

/// Draws the hosts that a proxy of a zone uses at first, all from its own zone.
fn draw_initial_hosts(hosts: &[Host], zone: usize, rng: &mut ChaCha8Rng) -> Vec<WeightedHost> {
    let mut local: Vec<usize> = (0..hosts.len()).filter(|host| hosts[*host].zone == zone).collect();
    local.shuffle(rng);
    local.truncate(INITIAL_HOSTS);
    local.into_iter().map(|host| WeightedHost { host, weight: 1.0 }).collect()
}
