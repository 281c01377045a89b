//! The faults of a scenario: which hosts a fault affects, and what happens when a fault begins and ends.

use super::delay::DelayRange;
use super::discovery::endpoint_of;
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

/// The delay after which a proxy detects that a partition has broken its stream.
const PARTITION_DETECTION_DELAY: DelayRange = DelayRange { min: Micros(500_000), max: Micros(2_800_000) };
/// When the hosts of a batch of a rolling replacement drain, stop and start, in tenths of the duration of the
/// batch.
const REPLACEMENT_STEPS: [ReplacementStep; 3] = [
    ReplacementStep { begins_at_tenth: 0, transition: HostTransition::Drain },
    ReplacementStep { begins_at_tenth: 6, transition: HostTransition::Stop },
    ReplacementStep { begins_at_tenth: 9, transition: HostTransition::Start },
];

struct ReplacementStep {
    begins_at_tenth: u64,
    transition: HostTransition,
}

/// The effects of active faults on the site as a whole.
pub(super) struct Disruptions {
    /// Zones that are partitioned from all others.
    pub(super) partitioned_zones: BTreeSet<usize>,
    /// Zones whose collector sends no load reports.
    pub(super) silent_collectors: BTreeSet<usize>,
    /// The traffic of the site as a multiple of the normal traffic.
    pub(super) traffic_factor: f64,
    /// The traffic of each zone as a multiple of the normal traffic.
    pub(super) zone_traffic_factors: Vec<f64>,
    /// The additional delay of load reports and usage reports.
    pub(super) report_delay: Micros,
    pub(super) discovery_is_down: bool,
}

impl Disruptions {
    /// No effects on a site with the given number of zones.
    pub(super) fn none(zones: usize) -> Disruptions {
        Disruptions {
            partitioned_zones: BTreeSet::new(),
            silent_collectors: BTreeSet::new(),
            traffic_factor: 1.0,
            zone_traffic_factors: vec![1.0; zones],
            report_delay: Micros(0),
            discovery_is_down: false,
        }
    }
}

impl Simulation<'_> {
    /// Applies the beginning or the end of a fault: `active` is true when the fault begins.
    pub(super) fn begin_or_end_fault(&mut self, index: usize, active: bool) -> io::Result<()> {
        let scenario = self.scenario;
        let fault = &scenario.faults[index];
        let hosts = self.fault_targets[index].clone();
        let factor_if_active = |factor: f64| if active { factor } else { 1.0 };
        let ratio_if_active = |ratio: f64| if active { ratio } else { 0.0 };
        match &fault.kind {
            FaultKind::Crash => self.fail_hosts(&hosts, HostState::Down, active),
            FaultKind::Unreachable => self.fail_hosts(&hosts, HostState::Unreachable, active),
            FaultKind::Hang => self.fail_hosts(&hosts, HostState::Hung, active),
            FaultKind::Slowdown { factor } => self.slow_down_hosts(&hosts, factor_if_active(*factor)),
            FaultKind::NoisyNeighbour { cpu_ratio } => self.steal_cpu(&hosts, ratio_if_active(*cpu_ratio)),
            FaultKind::Errors { ratio } => self.set_error_ratio(&hosts, ratio_if_active(*ratio)),
            FaultKind::Drain { stop_after } => self.drain_hosts(hosts, *stop_after, active),
            FaultKind::RollingReplacement { batch_ratio } if active => {
                self.schedule_replacement(&hosts, *batch_ratio, fault.ends_at);
            }
            FaultKind::ZonePartition { zone } => self.set_partitioned(zone, active),
            FaultKind::CollectorOutage { zone } => self.set_collector_silent(zone, active),
            FaultKind::ZoneTraffic { zone, factor } => {
                self.set_zone_traffic_factor(zone, factor_if_active(*factor));
            }
            FaultKind::TrafficBurst { factor } => self.disruptions.traffic_factor = factor_if_active(*factor),
            FaultKind::DelayedReports { delay } => self.delay_reports(*delay, active),
            FaultKind::FalseRemoval => self.announce_false_removal(&hosts, active),
            FaultKind::DiscoveryOutage => self.set_discovery_down(active),
            FaultKind::DirectorCrash { director } if active => self.stop_director(*director)?,
            FaultKind::DirectorCrash { director } => self.start_director(*director)?,
            FaultKind::DirectorStall { director } => self.stall_director(*director, active)?,
            FaultKind::StreamReset if active => self.disconnect_all(),
            // The end of the fault has no effect: these kinds only act when they begin.
            FaultKind::RollingReplacement { .. } | FaultKind::StreamReset => {}
        }
        Ok(())
    }

    fn slow_down_hosts(&mut self, hosts: &[usize], factor: f64) {
        for host in hosts {
            self.hosts[*host].slowdown_factor = factor;
        }
    }

    fn steal_cpu(&mut self, hosts: &[usize], cpu_ratio: f64) {
        for host in hosts {
            self.hosts[*host].stolen_cpu_ratio = cpu_ratio;
        }
    }

    fn set_error_ratio(&mut self, hosts: &[usize], error_ratio: f64) {
        for host in hosts {
            self.hosts[*host].error_ratio = error_ratio;
        }
    }

    /// Applies a transition to hosts in the given order, and announces each.
    pub(super) fn apply_host_transitions(&mut self, hosts: &[usize], transition: HostTransition) {
        for host in hosts {
            self.apply_host_transition(*host, transition);
        }
    }

    fn apply_host_transition(&mut self, index: usize, transition: HostTransition) {
        let host = &mut self.hosts[index];
        match transition {
            HostTransition::Drain => host.listed_readiness = Readiness::Draining,
            HostTransition::Stop => {
                host.stop(self.now, HostState::Down);
                host.listed_readiness = Readiness::Removed;
            }
            HostTransition::Start => host.restart(self.now),
        }
        self.announce_host(index);
    }

    /// Makes hosts fail, or starts them again. Discovery detects only that a process died, not that a host
    /// hangs or is unreachable.
    fn fail_hosts(&mut self, hosts: &[usize], state: HostState, active: bool) {
        if !active {
            self.apply_host_transitions(hosts, HostTransition::Start);
            return;
        }
        for host in hosts {
            self.hosts[*host].stop(self.now, state);
            if state == HostState::Down {
                self.hosts[*host].listed_readiness = Readiness::Removed;
                self.announce_host(*host);
            }
        }
    }

    /// Makes hosts drain and stop `stop_after` later, or starts them again.
    fn drain_hosts(&mut self, hosts: Vec<usize>, stop_after: Duration, active: bool) {
        if active {
            self.apply_host_transitions(&hosts, HostTransition::Drain);
            let stop = SimulationEvent::HostTransitionsDue { hosts, transition: HostTransition::Stop };
            self.schedule_after(micros(stop_after), stop);
        } else {
            self.apply_host_transitions(&hosts, HostTransition::Start);
        }
    }

    /// Schedules a rolling replacement from now until `ends_at`, in batches of `batch_ratio` of the hosts.
    fn schedule_replacement(&mut self, hosts: &[usize], batch_ratio: f64, ends_at: Timestamp) {
        let batch_size = ((hosts.len() as f64 * batch_ratio).ceil() as usize).max(1);
        let batches = hosts.len().div_ceil(batch_size).max(1) as u64;
        let batch_us = ends_at.0.saturating_sub(self.now.0) / batches;
        for (index, batch) in hosts.chunks(batch_size).enumerate() {
            let begins_at = self.now + Micros(batch_us * index as u64);
            for step in REPLACEMENT_STEPS {
                let at = begins_at + Micros(batch_us * step.begins_at_tenth / 10);
                let (hosts, transition) = (batch.to_vec(), step.transition);
                self.schedule_at(at, SimulationEvent::HostTransitionsDue { hosts, transition });
            }
        }
    }

    /// Begins or ends the partition of a zone from the others. Proxies are not notified of a partition; each
    /// detects after a delay that its stream has broken.
    fn set_partitioned(&mut self, zone: &str, active: bool) {
        let zone = self.zone_index(zone);
        set_member(&mut self.disruptions.partitioned_zones, zone, active);
        for proxy in 0..self.proxies.len() {
            let Some(director) = self.proxies[proxy].director else { continue };
            if self.is_partitioned(self.proxies[proxy].zone, self.directors[director].zone) {
                let delay = self.random_delay(PARTITION_DETECTION_DELAY);
                let stream = self.proxies[proxy].stream;
                self.schedule_after(delay, SimulationEvent::StreamBreaks { proxy, stream });
            }
        }
    }

    fn set_collector_silent(&mut self, zone: &str, is_silent: bool) {
        let zone = self.zone_index(zone);
        set_member(&mut self.disruptions.silent_collectors, zone, is_silent);
    }

    /// Changes the traffic of a zone: the next arrival at each of the zone's proxies is drawn again.
    fn set_zone_traffic_factor(&mut self, zone: &str, factor: f64) {
        let zone = self.zone_index(zone);
        self.disruptions.zone_traffic_factors[zone] = factor;
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].zone == zone {
                self.proxies[proxy].arrival_epoch += 1;
                self.schedule_arrival(proxy);
            }
        }
    }

    fn delay_reports(&mut self, delay: Duration, active: bool) {
        self.disruptions.report_delay = if active { micros(delay) } else { Micros(0) };
    }

    /// Makes discovery announce hosts as removed although they run, or announce their actual readiness again.
    fn announce_false_removal(&mut self, hosts: &[usize], active: bool) {
        for host in hosts {
            let mut endpoint = endpoint_of(&self.hosts[*host], self.scenario);
            if active {
                endpoint.readiness = Readiness::Removed;
            }
            self.announce_endpoint(&endpoint);
        }
    }

    fn zone_index(&self, name: &str) -> usize {
        let index = self.scenario.settings.zones.iter().position(|zone| *zone.0 == *name);
        index.expect("the reader of scenarios rejects unknown zones")
    }
}

fn set_member(set: &mut BTreeSet<usize>, member: usize, is_member: bool) {
    if is_member {
        set.insert(member);
    } else {
        set.remove(&member);
    }
}

fn micros(duration: Duration) -> Micros {
    Micros(duration.as_micros() as u64)
}

/// The hosts that a fault affects. Draws random numbers only if the targets are a share of all hosts.
pub(super) fn draw_targets(
    fault: &Fault,
    hosts: &[Host],
    scenario: &Scenario,
    rng: &mut ChaCha8Rng,
) -> Vec<usize> {
    let zones = &scenario.settings.zones;
    match &fault.targets {
        FaultTargets::Share(share) => draw_share(hosts.len(), *share, rng),
        FaultTargets::Hosts(names) => {
            matching_hosts(hosts, |host| names.iter().any(|name| **name == *host.id.0))
        }
        FaultTargets::Zone(zone) => matching_hosts(hosts, |host| *zones[host.zone].0 == **zone),
        FaultTargets::MachineType(name) => matching_hosts(hosts, |host| host.machine_type == *name),
    }
}

/// Draws a share of `count` hosts, but at least one host.
fn draw_share(count: usize, share: f64, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut drawn: Vec<usize> = (0..count).collect();
    drawn.shuffle(rng);
    let size = (count as f64 * share).round() as usize;
    drawn.truncate(size.max(1));
    drawn
}

fn matching_hosts(hosts: &[Host], matches: impl Fn(&Host) -> bool) -> Vec<usize> {
    (0..hosts.len()).filter(|host| matches(&hosts[*host])).collect()
}
