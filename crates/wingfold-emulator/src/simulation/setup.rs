//! Builds a scenario's site from its seed and starts it.

use super::checks::CHECK_PERIOD;
use super::director::DirectorNode;
use super::discovery::entry;
use super::event::{EventQueue, SimulationEvent};
use super::faults::{draw_targets, Disruptions};
use super::{Observer, Simulation};
use crate::host::Host;
use crate::proxy::Proxy;
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

/// Streams of random numbers: what one of them draws does not change the others.
const SITE_STREAM: u64 = 1;
const ARRIVAL_STREAM: u64 = 2;
const EVENT_STREAM: u64 = 3;
/// Hosts that a proxy knows before it hears from a director.
const INITIAL_HOSTS: usize = 8;
/// Proxies connect for the first time between these times.
const FIRST_CONNECT: (Micros, Micros) = (Micros(20_000), Micros(500_000));
/// The first made-up message of the first director; each later one sends a microsecond later.
const FIRST_PEER_MESSAGE: Micros = Micros(1000);

impl<'a> Simulation<'a> {
    pub(super) fn new(
        scenario: &'a Scenario,
        seed: u64,
        captures: Option<&'a Path>,
        observer: &'a mut dyn Observer,
    ) -> Self {
        let mut rng = seeded_rng(seed, SITE_STREAM);
        let hosts = draw_hosts(scenario, &mut rng);
        let mean_work_ms = draw_mean_work(scenario, &mut rng);
        let proxies = draw_proxies(scenario, &hosts, &mut rng);
        let targets = |fault| draw_targets(fault, &hosts, scenario, &mut rng);
        let fault_targets = scenario.faults.iter().map(targets).collect();
        let zones = scenario.settings.zones.len();
        Simulation {
            scenario,
            seed,
            captures,
            observer,
            now: Timestamp(0),
            events: EventQueue::default(),
            arrival_rng: seeded_rng(seed, ARRIVAL_STREAM),
            rng: seeded_rng(seed, EVENT_STREAM),
            host_index: hosts.iter().enumerate().map(|(at, host)| (host.id.clone(), at)).collect(),
            initial_list: hosts.iter().map(|host| entry(host, scenario)).collect(),
            utilization: vec![None; hosts.len()],
            last_report: Timestamp(0),
            hosts,
            proxies,
            directors: Vec::new(),
            requests: BTreeMap::new(),
            admitted: 0,
            mean_work_ms,
            fault_targets,
            disruptions: Disruptions::none(zones),
            actions: Vec::new(),
            result: RunResult::new(zones, scenario.classes.len(), scenario.duration),
        }
    }

    /// Starts the directors and schedules what comes of itself.
    pub(super) fn start(&mut self) -> io::Result<()> {
        for director in 0..self.scenario.settings.directors as usize {
            self.add_director(director)?;
        }
        for proxy in 0..self.proxies.len() {
            let connects = self.random_time(FIRST_CONNECT.0, FIRST_CONNECT.1);
            self.schedule_after(connects, SimulationEvent::ProxyConnects { proxy });
            self.schedule_arrival(proxy);
        }
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            self.schedule_at(fault.begins, SimulationEvent::FaultChanges { fault: number, active: true });
            self.schedule_at(fault.ends, SimulationEvent::FaultChanges { fault: number, active: false });
        }
        self.schedule_after(self.scenario.settings.report_period, SimulationEvent::ReportsDue);
        self.schedule_after(CHECK_PERIOD, SimulationEvent::CheckDue);
        Ok(())
    }

    fn add_director(&mut self, director: usize) -> io::Result<()> {
        let zone = director % self.scenario.settings.zones.len();
        self.directors.push(DirectorNode::new(zone));
        self.start_director(director)?;
        if self.scenario.peers.messages_per_s > 0.0 && self.scenario.settings.directors > 1 {
            let first = Timestamp(FIRST_PEER_MESSAGE.0 + director as u64);
            self.schedule_at(first, SimulationEvent::PeerMessageDue { director });
        }
        Ok(())
    }
}

fn seeded_rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

fn draw_hosts(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Host> {
    let zones = scenario.settings.zones.len();
    let mut hosts = Vec::new();
    for kind in &scenario.host_kinds {
        for number in 0..kind.count {
            let speed = rng.random_range(kind.speed.0..=kind.speed.1);
            let id = HostId(Arc::from(format!("{}-{number}", kind.name).as_str()));
            let zone = hosts.len() % zones;
            hosts.push(Host::new(id, &kind.name, zone, kind.cores, speed));
        }
    }
    hosts
}

fn draw_mean_work(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let ranges = scenario.classes.iter().map(|class| class.work_ms);
    ranges.map(|(least, most)| rng.random_range(least..=most)).collect()
}

fn draw_proxies(scenario: &Scenario, hosts: &[Host], rng: &mut ChaCha8Rng) -> Vec<Proxy> {
    let size = |_| 10f64.powf(scenario.rate_skew * (rng.random::<f64>() - 0.5));
    let sizes: Vec<f64> = (0..scenario.settings.proxies).map(size).collect();
    let total: f64 = sizes.iter().sum();
    let mut proxies = Vec::new();
    for (number, size) in sizes.iter().enumerate() {
        let zone = number % scenario.settings.zones.len();
        let mut near: Vec<usize> = (0..hosts.len()).filter(|host| hosts[*host].zone == zone).collect();
        near.shuffle(rng);
        let weights = near.into_iter().take(INITIAL_HOSTS).map(|host| (host, 1.0)).collect();
        let rate = scenario.rate * size / total;
        proxies.push(Proxy::new(zone, rate, Arc::new(weights), scenario.classes.len()));
    }
    proxies
}
