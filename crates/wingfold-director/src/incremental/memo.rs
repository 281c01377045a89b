//! The cached results for the fleet and for each zone.
use crate::director::Director;
use crate::incremental::{HostIndex, HostRows, LastRun};
use crate::interface::{Endpoint, EndpointListKind, Event, HostId};
use crate::state::{ByZone, EligibleEntry, HealthState, WarmUp, Zone, ZoneHostStats};
use std::sync::Arc;

/// Revisions of records that the results of several zones depend on: each counts the changes of its records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Revisions {
    /// Revision of the hosts: counts changes of the endpoint list, evictions, and changes of listed weights.
    pub(crate) hosts: u64,
    /// Revision of the evidence: counts changes of any zone's statistics of any host.
    pub(crate) evidence: u64,
    /// Revision of the useless hosts: counts changes of whether a host is useless to all zones, by the host's
    /// consecutive useless attempts in all zones.
    pub(crate) useless_hosts: u64,
    /// Revision of the slow start: counts changes of the warm-up of hosts.
    pub(crate) slow_start: u64,
    /// Revision of the proxies: counts changes of the connected proxies and of their assignment to subsets.
    pub(crate) proxies: u64,
}

/// The inputs of outlier detection in a zone.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HealthInputs {
    /// The zone's count of changes of its statistics of hosts.
    pub(crate) evidence: u64,
    /// Revision of the hosts.
    pub(crate) hosts: u64,
    /// Revision of the hosts that are useless to all zones.
    pub(crate) useless_hosts: u64,
    /// Whether the failures of all zones count in each zone.
    pub(crate) counts_all_zones: bool,
}

/// The inputs of scores.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ScoringInputs {
    /// Revision of the evidence of all zones.
    pub(crate) evidence: u64,
    /// Revision of the hosts.
    pub(crate) hosts: u64,
}

/// The inputs of the assignment of a zone's hosts to its subsets.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SubsetInputs {
    /// Revision of the hosts.
    pub(crate) hosts: u64,
    /// Revision of the proxies.
    pub(crate) proxies: u64,
    /// Ratio by which the weight of hosts of other zones is reduced in the zone's tables.
    pub(crate) remote_discount: f64,
    /// Requests that a connection should carry before it is closed for being idle.
    pub(crate) requests_per_connection: f64,
}

/// The inputs of the entries that are eligible for a zone's tables.
#[derive(Clone, Debug, PartialEq)]
struct EligibleInputs {
    /// Revision of the hosts.
    hosts: u64,
    /// Revision of the warm-up of hosts.
    slow_start: u64,
    /// The zone's count of changes of health states and rankings.
    health_states: u64,
    /// Ratio by which the weight of hosts of other zones is reduced in the zone's tables.
    remote_discount: f64,
}

/// The inputs of [`FleetMemo::reduced_hosts`].
#[derive(Clone, Copy, Debug, PartialEq)]
struct ReducedHostInputs {
    /// Revision of the hosts.
    hosts: u64,
    /// Sum of the counts of changes of health states and rankings of all zones.
    health_states: u64,
}

/// The entries that are eligible for a zone's tables, by group of classes.
pub(crate) type EligibleByGroup = Arc<Vec<Vec<EligibleEntry>>>;

/// The cached results for a zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneMemo {
    /// Counts changes of the zone's statistics of hosts, including the hosts' health and ranking.
    pub(crate) evidence: u64,
    /// Counts changes of the health and the ranking of hosts in the zone.
    pub(crate) health_states: u64,
    /// The last run of outlier detection in the zone.
    pub(crate) health: LastRun<HealthInputs>,
    /// The zone's rows of all hosts.
    pub(crate) rows: HostRows,
    /// The last assignment of hosts to subsets.
    pub(crate) subset_assignment: LastRun<SubsetInputs>,
    /// The entries that are eligible for the zone's tables.
    eligible: EligibleByGroup,
    /// The inputs that `eligible` was computed from; `None` before the first computation.
    eligible_inputs: Option<EligibleInputs>,
    /// Counts computations of `eligible`.
    pub(crate) eligible_revision: u64,
}

impl ZoneMemo {
    /// Records that the health or the ranking of the host at a position has changed to that in `stats`.
    pub(crate) fn health_state_changed(&mut self, index: usize, stats: &ZoneHostStats) {
        self.rows.update(index, stats);
        self.evidence += 1;
        self.health_states += 1;
    }
}

/// A host that may have less than its full capacity.
#[derive(Clone, Debug, PartialEq)]
struct WarmingHost {
    /// The host's identifier.
    id: HostId,
    /// The host's present warm-up.
    warm_up: WarmUp,
}

/// Whether a host with this warm-up may have less than its full capacity.
fn is_below_capacity(warm_up: &WarmUp) -> bool {
    warm_up.is_warming_up || warm_up.slow_start_factor < 1.0
}

/// The cached results for the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetMemo {
    /// Revisions of the records.
    pub(crate) revisions: Revisions,
    /// The last scoring round that had no fresh attempts. Scores change only by rounds with fresh attempts.
    pub(crate) scoring: LastRun<ScoringInputs>,
    /// The host index, which also records the hosts that have changed since its last update.
    pub(crate) host_index: HostIndex,
    /// The hosts that may have less than their full capacity.
    warming: Vec<WarmingHost>,
    /// The revision of the hosts that `warming` reflects; `None` before the first computation.
    warming_revision: Option<u64>,
    /// For each host by position: whether health or ranking leaves the host less than its weight in some
    /// zone.
    reduced_hosts: Vec<bool>,
    /// The inputs that `reduced_hosts` was computed from; `None` before the first computation.
    reduced_host_inputs: Option<ReducedHostInputs>,
}

impl FleetMemo {
    /// Records that a load report has changed a zone's statistics of a host. `useless_changed` tells whether
    /// the report has changed whether the host is useless to all zones.
    pub(crate) fn load_report_recorded(&mut self, zone: &mut ZoneMemo, host: &HostId, useless_changed: bool) {
        zone.evidence += 1;
        zone.rows.record_outdated(host);
        self.revisions.evidence += 1;
        self.revisions.useless_hosts += u64::from(useless_changed);
    }

    /// Records that the weight of any host may have changed.
    pub(crate) fn weights_changed(&mut self) {
        self.revisions.hosts += 1;
        self.host_index.record_any_change();
    }

    /// Records that `count` hosts were evicted.
    pub(crate) fn hosts_removed(&mut self, count: usize) {
        self.revisions.hosts += u64::from(count > 0);
    }

    /// Records an endpoint list event.
    pub(crate) fn endpoint_list_changed(&mut self, kind: EndpointListKind, entries: &[Endpoint]) {
        self.revisions.hosts += 1;
        match kind {
            EndpointListKind::Changes => self.host_index.record_changes(entries),
            EndpointListKind::Complete | EndpointListKind::Cached => self.host_index.record_any_change(),
        }
    }
}

impl Director {
    /// Counts the changes of the endpoint list and of the proxies by an event. Those by load reports are
    /// counted in [`FleetMemo::load_report_recorded`].
    pub(crate) fn record_revision(&mut self, event: &Event) {
        match event {
            Event::EndpointList { kind, endpoints } => self.memo.endpoint_list_changed(*kind, endpoints),
            Event::ProxyConnected { .. } | Event::ProxyDisconnected(_) => self.memo.revisions.proxies += 1,
            _ => {}
        }
    }

    /// Drops all cached results, so that the next call computes everything in full.
    pub fn clear_memo(&mut self) {
        self.memo = FleetMemo::default();
        for zone in self.zones.values_mut() {
            zone.memo = ZoneMemo::default();
            for table in zone.subsets.iter_mut().flat_map(|subset| &mut subset.tables) {
                table.last_empty_push = LastRun::default();
            }
        }
    }

    /// Updates the cached warm-ups. Time alone changes them, as the capacity of a host rises after its start.
    pub(crate) fn update_warm_ups(&mut self) {
        let revision = self.memo.revisions.hosts;
        let is_current = self.memo.warming_revision == Some(revision);
        let warming = if is_current { self.updated_warming_hosts() } else { self.find_warming_hosts() };
        if !is_current || warming != self.memo.warming {
            self.memo.revisions.slow_start += 1;
            self.memo.warming = warming;
        }
        self.memo.warming_revision = Some(revision);
    }

    /// The cached warming hosts with their present warm-ups.
    fn updated_warming_hosts(&self) -> Vec<WarmingHost> {
        let update = |known: &WarmingHost| {
            let host = self.hosts.get(&known.id)?;
            Some(WarmingHost { id: known.id.clone(), warm_up: self.warm_up_of(host) })
        };
        self.memo.warming.iter().filter_map(update).collect()
    }

    /// The hosts of the fleet that may have less than their full capacity.
    fn find_warming_hosts(&self) -> Vec<WarmingHost> {
        let hosts = self.hosts.iter().map(|(id, host)| (id, self.warm_up_of(host)));
        let warming = hosts.filter(|(_, warm_up)| is_below_capacity(warm_up));
        warming.map(|(id, warm_up)| WarmingHost { id: id.clone(), warm_up }).collect()
    }

    /// The warm-up of each host, by position.
    pub(crate) fn warm_ups(&self) -> Vec<WarmUp> {
        self.hosts.values().map(|host| self.warm_up_of(host)).collect()
    }

    /// The entries that are eligible for a zone's tables, by group of classes. If an input has changed,
    /// `compute` is called for each group and the results are cached.
    pub(crate) fn eligible_by_group(
        &self,
        zone: &mut Zone,
        compute: impl Fn(&Zone, usize) -> Vec<EligibleEntry>,
    ) -> EligibleByGroup {
        let inputs = EligibleInputs {
            hosts: self.memo.revisions.hosts,
            slow_start: self.memo.revisions.slow_start,
            health_states: zone.memo.health_states,
            remote_discount: zone.remote_discount,
        };
        if zone.memo.eligible_inputs.as_ref() != Some(&inputs) {
            let eligible = (0..self.class_groups.len()).map(|group| compute(zone, group)).collect();
            zone.memo.eligible = Arc::new(eligible);
            zone.memo.eligible_revision += 1;
            zone.memo.eligible_inputs = Some(inputs);
        }
        zone.memo.eligible.clone()
    }

    /// Updates `reduced_hosts` if an input has changed.
    pub(crate) fn update_reduced_hosts(&mut self, zones: &ByZone<Zone>) {
        let inputs = ReducedHostInputs {
            hosts: self.memo.revisions.hosts,
            health_states: zones.values().map(|zone| zone.memo.health_states).sum(),
        };
        if self.memo.reduced_host_inputs == Some(inputs) {
            return;
        }
        self.memo.reduced_hosts = self.hosts_where_any_zone(zones, |stats| {
            stats.health != HealthState::Healthy || stats.weight_halvings > 0
        });
        self.memo.reduced_host_inputs = Some(inputs);
    }

    /// For each host by position: whether health or ranking leaves the host less than its weight in some
    /// zone, as of the last call of [`Self::update_reduced_hosts`].
    pub(crate) fn reduced_hosts(&self) -> &[bool] {
        &self.memo.reduced_hosts
    }
}
