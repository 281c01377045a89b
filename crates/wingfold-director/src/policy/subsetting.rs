//! Deterministic subsetting: which part of the hosts a subset of proxies uses at listed weight, and how
//! large this part is.
//!
//! Each zone's proxies are divided into subsets, and each subset uses the hosts on one arc of a ring of all
//! hosts. An arc covers the whole ring unless proxies send so few requests that most connections would be
//! closed as idle before they are used again. Handshakes would then take up the hosts' capacity, so each arc
//! is only as long as its subset's share of the load requires, and all other hosts are standby entries.
use crate::director::Director;
use crate::interface::{Notice, ZoneId};
use crate::policy::admission::SATURATED_UTILIZATION;
use crate::policy::outlier_detection::COMMON_LOSS_RATIO;
use crate::policy::ranking::{CONFIRMING_ROUNDS, RANKING_COOLDOWN_S};
use crate::state::{RingArc, Subset, SubsetAssignment, Zone};

/// Requests that a connection should carry before it is closed as idle.
pub(crate) const MIN_REQUESTS_PER_CONNECTION: f64 = 3.0;
/// Requests that a connection should carry before it is closed as idle, once hosts have refused connections.
const MAX_REQUESTS_PER_CONNECTION: f64 = 48.0;
/// Least number of hosts of a subset.
pub(crate) const MIN_SUBSET_HOSTS: f64 = 3.0;
/// Ratio of the known hosts from which a subset uses all hosts.
const FULL_SUBSET_RATIO: f64 = 0.7;
/// Number of proxies per subset.
const PROXIES_PER_SUBSET: f64 = 5.0;
/// Number of proxies per subset once hosts have refused connections.
const PROXIES_PER_FINE_SUBSET: f64 = 2.0;
/// Arcs are assigned again once one would move by more than this ratio of its length.
const SUBSET_CHANGE_RATIO: f64 = 0.25;
/// Ratio of the ready hosts that must have recent attempts for a zone's baseline loss to be meaningful.
const MIN_REPORTED_HOST_RATIO: f64 = 0.2;
/// Number of hosts that is a sufficient sample of a fleet of any size.
pub(crate) const MIN_SAMPLE_HOSTS: f64 = 16.0;
/// Number of recent attempts from which a host counts for [`MIN_REPORTED_HOST_RATIO`].
const MIN_REPORTED_ATTEMPTS: f64 = 2.0;
/// Baseline loss below which hosts count as refusing no connections.
const LOW_LOSS_RATIO: f64 = COMMON_LOSS_RATIO / 5.0;
/// Consecutive admission updates at low loss after which subsets grow by one step.
const LOW_LOSS_ROUNDS: u32 = 2 * CONFIRMING_ROUNDS;
/// Lower bound of the requests per second of a zone: it prevents a division by a total load of 0.
const MIN_ZONE_REQUESTS_PER_S: f64 = 1e-9;
/// Load that is added to that of each subset's proxies, as a ratio of the mean load of the zone's subsets.
/// A subset without proxies must have an arc before the first proxy is assigned to it.
const BASE_SUBSET_LOAD_RATIO: f64 = 0.1;

/// Arcs of the ring of hosts for subsets with these loads, placed end to end from `start` on, each as long as
/// its subset's share of the load.
///
/// Subsets are ordered by the fractional part of their index times the golden ratio, so that subsets with
/// successive indices lie far apart. Proxies that connect at the same time fill such subsets, and must not
/// crowd onto the same few hosts. Adding a subset does not change the order of the others.
fn ring_arcs(loads: &[f64], start: f64) -> Vec<RingArc> {
    const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
    let place = |subset: &usize| (*subset as f64 * GOLDEN_RATIO).fract();
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|one, other| place(one).total_cmp(&place(other)));
    let total_load = loads.iter().sum::<f64>();
    let mut end = start;
    let mut arcs = vec![RingArc { start, length: 0.0 }; loads.len()];
    for subset in order {
        let load_share = loads[subset] / total_load;
        arcs[subset] = RingArc { start: end, length: load_share };
        end += load_share;
    }
    arcs
}

/// Whether a newly computed arc differs so much from the present arc of a subset that it should replace that.
fn has_moved(subset: &Subset, arc: &RingArc) -> bool {
    let start_change = (subset.start - arc.start).abs();
    let length_change = (subset.length - arc.length).abs();
    f64::max(start_change, length_change) > SUBSET_CHANGE_RATIO * subset.length
}

/// The proxies and the hosts of a zone, and what determines how many of the hosts a subset should have.
struct SubsetDemand {
    /// Proxies of the zone.
    proxies: f64,
    /// Requests per second of all these proxies.
    requests_per_s: f64,
    /// Ready hosts, each counted by its locality weight.
    ready_hosts: f64,
    /// Hosts that a proxy of mean load should use.
    hosts_per_proxy: f64,
    /// Whether each subset has all hosts.
    has_all_hosts: bool,
    /// Whether connections are limited, since hosts have refused some: arcs are then no longer than needed.
    limits_connections: bool,
}

impl SubsetDemand {
    /// Mean length of the arcs, as a ratio of the ring, where each of `directors` directors has this number
    /// of `subsets`.
    fn mean_arc_length(&self, subsets: f64, directors: f64) -> f64 {
        let needed_length = self.hosts_per_proxy / self.ready_hosts;
        if self.has_all_hosts {
            1.0
        } else if self.limits_connections {
            f64::max(needed_length, 1.0 / (subsets * directors))
        } else {
            // Rounded so that all arcs together cover each host equally often.
            (needed_length * subsets).round().max(1.0) / subsets
        }
    }
}

impl Director {
    /// Adjusts how many requests a connection should carry, on which the size of subsets depends. Common
    /// losses while hosts have spare capacity are taken as refused connections: proxies then use fewer hosts
    /// at once, and use more again step by step when losses are low. If the losses have another cause,
    /// proxies merely have fewer hosts to choose from.
    pub(crate) fn adjust_subset_size(&mut self, name: &ZoneId, zone: &mut Zone) {
        let previous = zone.requests_per_connection.max(MIN_REQUESTS_PER_CONNECTION);
        let is_recovering = zone.baseline_loss < LOW_LOSS_RATIO && previous > MIN_REQUESTS_PER_CONNECTION;
        zone.low_loss_updates = if is_recovering { (zone.low_loss_updates + 1) % LOW_LOSS_ROUNDS } else { 0 };
        let subsets_may_grow = is_recovering && zone.low_loss_updates == 0;
        zone.requests_per_connection = if self.hosts_refuse_connections(zone) {
            MAX_REQUESTS_PER_CONNECTION
        } else if subsets_may_grow {
            previous / 2.0
        } else {
            previous
        };
        if zone.requests_per_connection != previous {
            self.notices.push(Notice::SubsetSizeChanged {
                zone: name.clone(),
                requests_per_connection: zone.requests_per_connection,
                baseline_loss: zone.baseline_loss,
                utilization: self.utilization,
            });
        }
    }

    /// Whether losses are common in a zone while hosts have spare capacity. Enough hosts must have recent
    /// attempts: a director that has just started has reports on few hosts only, which are the failing ones.
    fn hosts_refuse_connections(&self, zone: &Zone) -> bool {
        let loss_is_common = (COMMON_LOSS_RATIO..1.0).contains(&zone.baseline_loss);
        let has_spare_capacity = self.utilization > 0.0 && self.utilization < SATURATED_UTILIZATION;
        if !loss_is_common || !has_spare_capacity {
            return false;
        }
        let stats = zone.memo.rows.stats().iter();
        let attempts = stats.map(|row| row.recent_successes + row.recent_failures);
        let reported_hosts = attempts.filter(|attempts| *attempts >= MIN_REPORTED_ATTEMPTS).count() as f64;
        let ready_hosts = self.ready_hosts().count() as f64;
        reported_hosts >= MIN_SAMPLE_HOSTS.min(MIN_REPORTED_HOST_RATIO * ready_hosts)
    }

    /// Assigns each subset of a zone an arc of the ring of hosts. The arcs of different directors start at
    /// different positions.
    pub(crate) fn assign_subsets(&mut self, name: &ZoneId, zone: &mut Zone) {
        let demand = self.subset_demand(name, zone);
        self.add_subsets(name, zone, &demand);
        let subsets = zone.subsets.len() as f64;
        let base_load = BASE_SUBSET_LOAD_RATIO * demand.requests_per_s / subsets;
        let loads = self.load_by_subset(name, zone, base_load);
        let total_load = loads.iter().sum::<f64>();
        let arcs = self.subset_arcs(&demand, &loads);
        let is_reassigned = !self.keeps_assignment(zone, total_load)
            && zone.subsets.iter().zip(&arcs).any(|(subset, arc)| has_moved(subset, arc));
        if is_reassigned {
            zone.last_assignment = Some(SubsetAssignment {
                requests_per_connection: zone.requests_per_connection,
                load_per_s: total_load,
                assigned_at: self.now,
            });
        }
        for (subset, arc) in zone.subsets.iter_mut().zip(arcs) {
            // The tables of a new subset cost nothing, as no proxy is assigned to it yet.
            let is_new = subset.length == 0.0;
            if is_reassigned || is_new {
                subset.set_arc(arc);
            }
        }
    }

    /// The proxies and hosts of a zone, and how many hosts each of its subsets should have.
    fn subset_demand(&self, name: &ZoneId, zone: &Zone) -> SubsetDemand {
        let mut proxies = 0.0;
        let mut requests_per_s = MIN_ZONE_REQUESTS_PER_S;
        for (_, proxy) in self.proxies_in_zone(name) {
            proxies += 1.0;
            requests_per_s += proxy.requests_per_s;
        }
        let hosts = zone.locality_weighted_hosts();
        let requests_per_connection = zone.requests_per_connection.max(MIN_REQUESTS_PER_CONNECTION);
        let idle_timeout = self.settings.connection_idle_timeout;
        let hosts_per_proxy =
            (requests_per_s / proxies * idle_timeout.secs() / requests_per_connection).max(MIN_SUBSET_HOSTS);
        // Compared with the known hosts, not the ready ones: a zone that loses its own hosts must not start
        // to use every host of the other zones.
        let needs_most_hosts = hosts_per_proxy >= FULL_SUBSET_RATIO * hosts.known;
        SubsetDemand {
            proxies,
            requests_per_s,
            ready_hosts: hosts.ready,
            hosts_per_proxy,
            has_all_hosts: proxies == 0.0 || idle_timeout.0 == 0 || needs_most_hosts,
            limits_connections: zone.requests_per_connection > MIN_REQUESTS_PER_CONNECTION,
        }
    }

    /// Adds the subsets that a zone lacks for its proxies. Once connections are limited while subsets are
    /// large, the zone permanently gets more subsets of fewer proxies, and its proxies are assigned again.
    fn add_subsets(&mut self, name: &ZoneId, zone: &mut Zone, demand: &SubsetDemand) {
        let subsets = self.subset_count(demand, PROXIES_PER_SUBSET);
        let subsets_are_large = demand.ready_hosts / subsets > 2.0 * MIN_SUBSET_HOSTS;
        if demand.limits_connections && !zone.has_fine_subsets && subsets_are_large {
            zone.has_fine_subsets = true;
            self.reassign_proxies(name);
        }
        let needed_subsets =
            if zone.has_fine_subsets { self.subset_count(demand, PROXIES_PER_FINE_SUBSET) } else { subsets };
        let groups = self.class_groups.len();
        while zone.subsets.len() < needed_subsets as usize {
            zone.subsets.push(Subset::new(self.next_table_id, groups));
            self.next_table_id += groups as u32;
        }
    }

    /// How many subsets a zone needs for `proxies_per_subset` proxies each. The more groups of classes there
    /// are, the fewer subsets are used, so that the number of tables stays the same.
    fn subset_count(&self, demand: &SubsetDemand, proxies_per_subset: f64) -> f64 {
        let proxies = if demand.proxies > 0.0 {
            demand.proxies.max(self.expected_proxies_per_zone()) / self.class_groups.len() as f64
        } else {
            0.0
        };
        (proxies / proxies_per_subset).ceil().max(1.0)
    }

    /// Marks all proxies of a zone as waiting for an assignment to another subset.
    fn reassign_proxies(&mut self, name: &ZoneId) {
        for proxy in self.proxies.values_mut().filter(|proxy| proxy.zone == *name) {
            proxy.awaiting_assignment = true;
        }
        self.memo.revisions.proxies += 1;
    }

    /// The arcs of a zone's subsets by their loads, with the mean length that `demand` requires.
    fn subset_arcs(&self, demand: &SubsetDemand, loads: &[f64]) -> Vec<RingArc> {
        let subsets = loads.len() as f64;
        let directors = self.directors_per_zone();
        let mean_length = demand.mean_arc_length(subsets, directors);
        let min_length = MIN_SUBSET_HOSTS / demand.ready_hosts;
        let start = f64::from(self.settings.director_index) / (subsets * directors);
        let mut arcs = ring_arcs(loads, start);
        for arc in &mut arcs {
            let load_share = arc.length;
            arc.length = (mean_length * load_share * subsets).max(min_length).min(1.0);
        }
        arcs
    }

    /// Whether a zone keeps its arcs for now. Arcs that were adjusted to every proxy that connects would cost
    /// more table changes than the tables of these proxies.
    fn keeps_assignment(&self, zone: &Zone, total_load: f64) -> bool {
        zone.last_assignment.is_some_and(|last| {
            last.requests_per_connection == zone.requests_per_connection
                && total_load < last.load_per_s * (1.0 + 2.0 * SUBSET_CHANGE_RATIO)
                && self.now.since(last.assigned_at) < RANKING_COOLDOWN_S
        })
    }

    /// The number of proxies of a zone that a director should expect, by the settings alone.
    fn expected_proxies_per_zone(&self) -> f64 {
        let directors = self.settings.directors.max(1);
        let zones = self.settings.zones.len().max(1) as u32;
        let shares = if self.settings.local_first { directors.max(zones) } else { directors * zones };
        f64::from(self.settings.proxies) / f64::from(shares)
    }

    /// The least number of directors that serve a zone.
    fn directors_per_zone(&self) -> f64 {
        let directors = self.settings.directors.max(1);
        let zones = self.settings.zones.len().max(1) as u32;
        if self.settings.local_first {
            f64::from((directors / zones).max(1))
        } else {
            f64::from(directors)
        }
    }
}
