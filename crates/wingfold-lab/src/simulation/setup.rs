//! Builds a scenario's site from its seed and starts it.

use super::director::Controller;
use super::discovery::entry;
use super::event::Happens;
use super::faults::strike;
use super::{Onlooker, World};
use crate::host::Host;
use crate::proxy::Proxy;
use crate::results::{Played, Served, WINDOW_S};
use crate::rules::Margins;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;
use std::path::Path;
use std::sync::Arc;
use wingfold_capture::mirror::Mirror;
use wingfold_director::interface::*;

impl<'a> World<'a> {
    pub(super) fn new(
        plan: &'a Scenario,
        seed: u64,
        captures: Option<&'a Path>,
        onlooker: &'a mut dyn Onlooker,
    ) -> Self {
        let stream = |number: u64| {
            let mut chance = ChaCha8Rng::seed_from_u64(seed);
            chance.set_stream(number);
            chance
        };
        let mut draw = stream(1);
        let zones = plan.settings.zones.len();
        let mut hosts = Vec::new();
        for kind in &plan.kinds {
            for at in 0..kind.count {
                let speed = draw.random_range(kind.speed.0..=kind.speed.1);
                let id = HostId(Arc::from(format!("{}-{at}", kind.name).as_str()));
                hosts.push(Host::new(id, &kind.name, (hosts.len()) % zones, kind.cores, speed));
            }
        }
        let works =
            plan.loads.iter().map(|load| draw.random_range(load.work_ms.0..=load.work_ms.1)).collect();
        let classes = plan.loads.len();
        let count = plan.settings.proxies as usize;
        let sizes: Vec<f64> =
            (0..count).map(|_| 10f64.powf(plan.unequal * (draw.random::<f64>() - 0.5))).collect();
        let all: f64 = sizes.iter().sum();
        let mut proxies = Vec::new();
        for (at, size) in sizes.iter().enumerate() {
            let zone = at % zones;
            let mut near: Vec<usize> = (0..hosts.len()).filter(|host| hosts[*host].zone == zone).collect();
            near.shuffle(&mut draw);
            let lines = near.into_iter().take(8).map(|host| (host, 1.0)).collect();
            proxies.push(Proxy::new(zone, plan.rate * size / all, Arc::new(lines), classes));
        }
        let struck = plan.faults.iter().map(|fault| strike(fault, &hosts, plan, &mut draw)).collect();
        let names = hosts.iter().enumerate().map(|(at, host)| (host.id.clone(), at)).collect();
        let windows = (plan.length.secs() / WINDOW_S).ceil() as usize;
        let times = || Histogram::new_with_bounds(1, 600_000_000, 3).expect("these bounds are sound");
        World {
            busy: vec![None; hosts.len()],
            first: hosts.iter().map(|host| entry(host, plan)).collect(),
            plan,
            seed,
            captures,
            onlooker,
            now: Micros(0),
            due: BinaryHeap::new(),
            number: 0,
            arrivals: stream(2),
            chance: stream(3),
            hosts,
            names,
            reported: Micros(0),
            proxies,
            directors: Vec::new(),
            requests: BTreeMap::new(),
            struck,
            cut: BTreeSet::new(),
            burst: 1.0,
            traffic: vec![1.0; zones],
            mute: BTreeSet::new(),
            late: Micros(0),
            silent_list: false,
            works,
            actions: Vec::new(),
            played: Played {
                served: vec![vec![Served::default(); classes]; zones],
                windows: vec![(0.0, 0.0); windows.max(1)],
                times: (0..classes).map(|_| times()).collect(),
                margins: Margins::default(),
                retries: 0,
                crossed: 0,
                messages: 0,
                lines: 0,
                log: Vec::new(),
                digests: Vec::new(),
            },
        }
    }

    pub(super) fn begin(&mut self) -> io::Result<()> {
        for at in 0..self.plan.settings.directors as usize {
            let zone = at % self.plan.settings.zones.len();
            self.directors.push(Controller {
                module: None,
                tap: None,
                incarnation: 0,
                started: Micros(0),
                stalled: false,
                waiting: Vec::new(),
                mirror: Mirror::default(),
                snapshots: BTreeMap::new(),
                users: BTreeMap::new(),
                free: Micros(0),
                arrives: BTreeMap::new(),
                told: BTreeMap::new(),
                zone,
            });
            self.start_director(at)?;
            if self.plan.peers.0 > 0.0 && self.plan.settings.directors > 1 {
                self.at(Micros(1000 + at as u64), Happens::Chatter(at));
            }
        }
        for proxy in 0..self.proxies.len() {
            let join = self.between(Micros(20_000), Micros(500_000));
            self.at(join, Happens::Join(proxy));
            self.next_arrival(proxy);
        }
        for (at, fault) in self.plan.faults.iter().enumerate() {
            self.at(fault.at.0, Happens::Fault(at, true));
            self.at(fault.at.1, Happens::Fault(at, false));
        }
        self.at(self.plan.settings.report_period, Happens::Report);
        self.at(Micros(250_000), Happens::Look);
        Ok(())
    }
}
