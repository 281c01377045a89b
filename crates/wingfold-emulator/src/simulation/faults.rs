//! Faults of a scenario: the hosts that each affects, and what it does when it begins and ends.

use super::discovery::entry;
use super::event::{HostTransition, SimulationEvent};
use super::Simulation;
use crate::host::{Host, HostState};
use crate::scenario::{Fault, FaultKind, FaultTargets, Scenario};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::io;
use std::time::Duration;
use wingfold_director::interface::*;

/// A proxy notices that its stream was cut off between these times.
const PARTITION_NOTICED: (Micros, Micros) = (Micros(500_000), Micros(2_800_000));
/// When a batch of a deployment takes each step, in tenths of the batch's time.
const DEPLOYMENT_STEPS: [(u64, HostTransition); 3] =
    [(0, HostTransition::Drain), (6, HostTransition::Stop), (9, HostTransition::Start)];

/// Faults of the site as a whole that are active now.
pub(super) struct Disruptions {
    pub(super) partitioned_zones: BTreeSet<usize>,
    pub(super) silent_collectors: BTreeSet<usize>,
    /// Traffic as a multiple of the usual, of all zones and of each.
    pub(super) traffic: f64,
    pub(super) zone_traffic: Vec<f64>,
    /// Load reports come so much later.
    pub(super) report_delay: Micros,
    pub(super) discovery_down: bool,
}

impl Disruptions {
    /// A site of some zones without faults.
    pub(super) fn none(zones: usize) -> Disruptions {
        Disruptions {
            partitioned_zones: BTreeSet::new(),
            silent_collectors: BTreeSet::new(),
            traffic: 1.0,
            zone_traffic: vec![1.0; zones],
            report_delay: Micros(0),
            discovery_down: false,
        }
    }
}

impl Simulation<'_> {
    /// A fault begins or ends.
    pub(super) fn change_fault(&mut self, number: usize, active: bool) -> io::Result<()> {
        let scenario = self.scenario;
        let fault = &scenario.faults[number];
        let hosts = self.fault_targets[number].clone();
        let factor = |factor: f64| if active { factor } else { 1.0 };
        let share = |share: f64| if active { share } else { 0.0 };
        match &fault.kind {
            FaultKind::Crash => self.fail_hosts(&hosts, HostState::Down, active),
            FaultKind::Vanish => self.fail_hosts(&hosts, HostState::Unreachable, active),
            FaultKind::Hang => self.fail_hosts(&hosts, HostState::Hung, active),
            FaultKind::Slow(times) => self.each_host(&hosts, |host| host.slowdown = factor(*times)),
            FaultKind::Neighbour(part) => self.each_host(&hosts, |host| host.stolen_share = share(*part)),
            FaultKind::Errors(part) => self.each_host(&hosts, |host| host.error_share = share(*part)),
            FaultKind::Drain(by) => self.drain_hosts(hosts, *by, active),
            FaultKind::Deploy(batch_share) if active => self.deploy(&hosts, *batch_share, fault.ends),
            FaultKind::Deploy(_) => {}
            FaultKind::Cut(zone) => self.change_partition(zone, active),
            FaultKind::CollectorDead(zone) => {
                let zone = self.zone_index(zone);
                set_member(&mut self.disruptions.silent_collectors, zone, active);
            }
            FaultKind::Traffic(zone, times) => self.change_zone_traffic(zone, factor(*times)),
            FaultKind::Burst(times) => self.disruptions.traffic = factor(*times),
            FaultKind::LateReports(by) => {
                self.disruptions.report_delay = if active { micros(*by) } else { Micros(0) };
            }
            FaultKind::WrongList => self.change_wrong_list(&hosts, active),
            FaultKind::DiscoveryDown => self.change_discovery(active),
            FaultKind::DirectorDown(director) if active => self.stop_director(*director)?,
            FaultKind::DirectorDown(director) => self.start_director(*director)?,
            FaultKind::DirectorStall(director) => self.stall_director(*director, active)?,
            FaultKind::StreamsBreak if active => {
                (0..self.proxies.len()).for_each(|proxy| self.disconnect(proxy));
            }
            FaultKind::StreamsBreak => {}
        }
        Ok(())
    }

    fn each_host(&mut self, hosts: &[usize], change: impl Fn(&mut Host)) {
        for host in hosts {
            change(&mut self.hosts[*host]);
        }
    }

    /// Drains, stops or starts hosts, one after another.
    pub(super) fn change_hosts(&mut self, hosts: &[usize], transition: HostTransition) {
        for host in hosts {
            self.change_host(*host, transition);
        }
    }

    fn change_host(&mut self, number: usize, transition: HostTransition) {
        let host = &mut self.hosts[number];
        match transition {
            HostTransition::Drain => host.listed = Readiness::Draining,
            HostTransition::Stop => {
                host.stop(self.now, HostState::Down);
                host.listed = Readiness::Removed;
            }
            HostTransition::Start => host.restart(self.now),
        }
        self.announce(number);
    }

    /// Hosts fail, or start again.
    fn fail_hosts(&mut self, hosts: &[usize], state: HostState, active: bool) {
        if !active {
            self.change_hosts(hosts, HostTransition::Start);
            return;
        }
        for host in hosts {
            self.hosts[*host].stop(self.now, state);
            // Discovery only sees that a process is gone; of a machine that vanished, much later.
            if state == HostState::Down {
                self.hosts[*host].listed = Readiness::Removed;
                self.announce(*host);
            }
        }
    }

    /// Hosts drain and stop after a time, or start again.
    fn drain_hosts(&mut self, hosts: Vec<usize>, stop_after: Duration, active: bool) {
        if active {
            self.change_hosts(&hosts, HostTransition::Drain);
            let transition = HostTransition::Stop;
            self.schedule_after(micros(stop_after), SimulationEvent::HostsChange { hosts, transition });
        } else {
            self.change_hosts(&hosts, HostTransition::Start);
        }
    }

    /// Schedules a rolling replacement of hosts, a share of them at a time, until `ends`.
    fn deploy(&mut self, hosts: &[usize], batch_share: f64, ends: Timestamp) {
        let batch_size = ((hosts.len() as f64 * batch_share).ceil() as usize).max(1);
        let batches = hosts.len().div_ceil(batch_size).max(1) as u64;
        let batch_time = ends.0.saturating_sub(self.now.0) / batches;
        for (number, batch) in hosts.chunks(batch_size).enumerate() {
            let begins = self.now.0 + batch_time * number as u64;
            for (tenths, transition) in DEPLOYMENT_STEPS {
                let at = Timestamp(begins + batch_time * tenths / 10);
                self.schedule_at(at, SimulationEvent::HostsChange { hosts: batch.to_vec(), transition });
            }
        }
    }

    /// A zone is cut off from the others, or no longer.
    fn change_partition(&mut self, zone: &str, active: bool) {
        let zone = self.zone_index(zone);
        set_member(&mut self.disruptions.partitioned_zones, zone, active);
        for proxy in 0..self.proxies.len() {
            let Some(director) = self.proxies[proxy].director else { continue };
            if self.partitioned(self.proxies[proxy].zone, self.directors[director].zone) {
                // Nobody tells the proxy: it notices by silence.
                let noticed = self.random_time(PARTITION_NOTICED.0, PARTITION_NOTICED.1);
                let stream = self.proxies[proxy].stream;
                self.schedule_after(noticed, SimulationEvent::StreamBreaks { proxy, stream });
            }
        }
    }

    /// A zone's traffic changes: its proxies' next requests are drawn anew.
    fn change_zone_traffic(&mut self, zone: &str, factor: f64) {
        let zone = self.zone_index(zone);
        self.disruptions.zone_traffic[zone] = factor;
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].zone == zone {
                self.proxies[proxy].arrival_epoch += 1;
                self.schedule_arrival(proxy);
            }
        }
    }

    /// Discovery calls hosts gone, or what they are.
    fn change_wrong_list(&mut self, hosts: &[usize], active: bool) {
        for host in hosts {
            let mut listed = entry(&self.hosts[*host], self.scenario);
            if active {
                listed.readiness = Readiness::Removed;
            }
            self.announce_entry(&listed);
        }
    }

    fn zone_index(&self, name: &str) -> usize {
        let zone = self.scenario.settings.zones.iter().position(|known| *known.0 == *name);
        zone.expect("the scenario was checked")
    }
}

fn set_member(set: &mut BTreeSet<usize>, member: usize, present: bool) {
    if present {
        set.insert(member);
    } else {
        set.remove(&member);
    }
}

fn micros(time: Duration) -> Micros {
    Micros(time.as_micros() as u64)
}

/// Draws the hosts that a fault affects.
pub(super) fn draw_targets(
    fault: &Fault,
    hosts: &[Host],
    scenario: &Scenario,
    rng: &mut ChaCha8Rng,
) -> Vec<usize> {
    let zone_name = |host: usize| &scenario.settings.zones[hosts[host].zone].0;
    let all = 0..hosts.len();
    match &fault.targets {
        FaultTargets::Share(share) => {
            let mut drawn: Vec<usize> = all.collect();
            drawn.shuffle(rng);
            drawn.truncate(((hosts.len() as f64 * share).round() as usize).max(1));
            drawn
        }
        FaultTargets::Hosts(names) => {
            all.filter(|host| names.iter().any(|name| **name == *hosts[*host].id.0)).collect()
        }
        FaultTargets::Zone(zone) => all.filter(|host| **zone_name(*host) == **zone).collect(),
        FaultTargets::Kind(kind) => all.filter(|host| hosts[*host].kind == *kind).collect(),
    }
}
