//! What is cached for the fleet and for each zone.
use crate::director::Director;
use crate::incremental::{HostIndex, HostRows, UpToDate};
use crate::interface::{Endpoint, EndpointListKind, Event, HostId};
use crate::state::{ByZone, EligibleEntry, HealthState, WarmUp, Zone, ZoneHostStats};
use std::sync::Arc;

/// Counts of changes of the records that the results of several zones depend on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Revisions {
    /// Changes of the endpoint list and of the weights of its hosts.
    pub(crate) hosts: u64,
    /// Changes of what some zone has observed of some host.
    pub(crate) evidence: u64,
    /// Changes of which hosts are useless to all zones together.
    pub(crate) useless: u64,
    /// Changes of the warm-up of hosts.
    pub(crate) slow_start: u64,
    /// Changes of which proxies are connected, and of the subsets that they are assigned to.
    pub(crate) proxies: u64,
}

/// What the health of a zone's hosts depends on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HealthInputs {
    /// The zone's count of changes of its evidence.
    pub(crate) evidence: u64,
    /// Revision of the hosts.
    pub(crate) hosts: u64,
    /// Revision of the hosts that are useless to all zones together.
    pub(crate) useless: u64,
    /// Whether failures in all zones count in each.
    pub(crate) counts_all_zones: bool,
}

/// What scores depend on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ScoringInputs {
    /// Revision of the evidence of all zones.
    pub(crate) evidence: u64,
    /// Revision of the hosts.
    pub(crate) hosts: u64,
}

/// What the assignment of a zone's hosts to its subsets depends on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SubsetInputs {
    /// Revision of the hosts.
    pub(crate) hosts: u64,
    /// Revision of the proxies.
    pub(crate) proxies: u64,
    /// Ratio of its weight that a host of another zone lacks in the zone.
    pub(crate) remote_discount: f64,
    /// Requests that a connection should carry.
    pub(crate) requests_per_connection: f64,
}

/// What the entries that a zone's tables may hold depend on.
#[derive(Clone, Debug, PartialEq)]
struct EligibleInputs {
    /// Revision of the hosts.
    hosts: u64,
    /// Revision of the warm-up of hosts.
    slow_start: u64,
    /// The zone's count of changes of health states and rankings.
    health_states: u64,
    /// Ratio of its weight that a host of another zone lacks in the zone.
    remote_discount: f64,
}

/// What the hosts of reduced weight depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ReducedHostInputs {
    /// Revision of the hosts.
    hosts: u64,
    /// Sum of the counts of changes of health states and rankings of all zones.
    health_states: u64,
}

/// The entries that a zone's tables may hold, for each group of classes.
pub(crate) type EligibleByGroup = Arc<Vec<Vec<EligibleEntry>>>;

/// What is cached for a zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneMemo {
    /// Counts changes of what the zone has observed of hosts, and of how its tables treat them.
    pub(crate) evidence: u64,
    /// Counts changes of the health states and the ranking of hosts.
    pub(crate) health_states: u64,
    /// Whether the health of the zone's hosts is up to date.
    pub(crate) health: UpToDate<HealthInputs>,
    /// What the zone has observed of each host.
    pub(crate) rows: HostRows,
    /// Whether the assignment of hosts to subsets is up to date.
    pub(crate) subset_assignment: UpToDate<SubsetInputs>,
    /// The entries that the zone's tables may hold.
    eligible: EligibleByGroup,
    /// What `eligible` was computed from; `None` if it never was.
    eligible_inputs: Option<EligibleInputs>,
    /// Counts changes of `eligible`.
    pub(crate) eligible_revision: u64,
}

impl ZoneMemo {
    /// Records that the zone's tables treat the host at a position in another way.
    pub(crate) fn health_state_changed(&mut self, index: usize, stats: &ZoneHostStats) {
        self.rows.update(index, stats);
        self.evidence += 1;
        self.health_states += 1;
    }
}

/// A host that may be warming up.
#[derive(Clone, Debug, PartialEq)]
struct WarmingHost {
    /// Its identifier.
    id: HostId,
    /// Its capacity by now.
    warm_up: WarmUp,
}

/// Whether a host has less than its full capacity, or may have.
fn is_below_capacity(warm_up: &WarmUp) -> bool {
    warm_up.is_warming_up || warm_up.slow_start_factor < 1.0
}

/// What is cached for the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetMemo {
    /// Counts of changes of the records.
    pub(crate) revisions: Revisions,
    /// Whether scores are up to date: the last scoring round left no host with fresh attempts.
    pub(crate) scoring: UpToDate<ScoringInputs>,
    /// Every host by position, and what the endpoint list has changed since.
    pub(crate) host_index: HostIndex,
    /// Hosts that may be warming up.
    warming: Vec<WarmingHost>,
    /// Revision of the hosts that `warming` is as of; `None` if it never was computed.
    warming_revision: Option<u64>,
    /// By position: whether some zone's tables give a host less than its weight.
    reduced_hosts: Vec<bool>,
    /// What `reduced_hosts` was computed from; `None` if it never was.
    reduced_host_inputs: Option<ReducedHostInputs>,
}

impl FleetMemo {
    /// Records that a host was reported to a zone. `useless_changed` if it became useless to all zones
    /// together, or no longer is.
    pub(crate) fn load_report_recorded(&mut self, zone: &mut ZoneMemo, host: &HostId, useless_changed: bool) {
        zone.evidence += 1;
        zone.rows.record_outdated(host);
        self.revisions.evidence += 1;
        self.revisions.useless += u64::from(useless_changed);
    }

    /// Records that the listed weights of any hosts may have changed.
    pub(crate) fn weights_changed(&mut self) {
        self.revisions.hosts += 1;
        self.host_index.record_any_change();
    }

    /// Records that so many hosts were evicted.
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
    /// Counts what an event changes of the endpoint list and of the proxies. What a load report changes is
    /// counted where it is used.
    pub(crate) fn record_revision(&mut self, event: &Event) {
        match event {
            Event::EndpointList { kind, endpoints } => self.memo.endpoint_list_changed(*kind, endpoints),
            Event::ProxyConnected { .. } | Event::ProxyDisconnected(_) => self.memo.revisions.proxies += 1,
            _ => {}
        }
    }

    /// Drops all that is cached: the next call computes everything in full.
    pub fn clear_memo(&mut self) {
        self.memo = FleetMemo::default();
        for zone in self.zones.values_mut() {
            zone.memo = ZoneMemo::default();
            for table in zone.subsets.iter_mut().flat_map(|subset| &mut subset.tables) {
                table.up_to_date = UpToDate::default();
            }
        }
    }

    /// Updates the hosts that may be warming up: their capacity rises with time alone.
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

    /// The cached hosts that may be warming up, as of now.
    fn updated_warming_hosts(&self) -> Vec<WarmingHost> {
        let update = |known: &WarmingHost| {
            let host = self.hosts.get(&known.id)?;
            Some(WarmingHost { id: known.id.clone(), warm_up: self.warm_up_of(host) })
        };
        self.memo.warming.iter().filter_map(update).collect()
    }

    /// The hosts of the fleet that may be warming up.
    fn find_warming_hosts(&self) -> Vec<WarmingHost> {
        let hosts = self.hosts.iter().map(|(id, host)| (id, self.warm_up_of(host)));
        let warming = hosts.filter(|(_, warm_up)| is_below_capacity(warm_up));
        warming.map(|(id, warm_up)| WarmingHost { id: id.clone(), warm_up }).collect()
    }

    /// The warm-up of each host, by position.
    pub(crate) fn warm_ups(&self) -> Vec<WarmUp> {
        self.hosts.values().map(|host| self.warm_up_of(host)).collect()
    }

    /// The entries that a zone's tables may hold, by group of classes. Where an input has changed, `compute`
    /// computes those of each group.
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

    /// Updates which hosts some zone's tables give less than their weight, where an input has changed.
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

    /// By position: whether some zone's tables give a host less than its weight, as last updated.
    pub(crate) fn reduced_hosts(&self) -> &[bool] {
        &self.memo.reduced_hosts
    }
}
