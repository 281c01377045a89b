//! The hosts of the fleet by position. What is computed for each host is kept in vectors in this order, which
//! are far cheaper to iterate over than the records themselves.
use crate::incremental::{compare_hosts, position_cursor};
use crate::interface::{Endpoint, HostId, Readiness, ZoneId};
use crate::state::Host;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A host that an endpoint list event names.
#[derive(Clone, Debug)]
struct ListedHost {
    /// The host.
    host: HostId,
    /// Whether it is listed as ready: it may have restarted since the event before.
    is_ready: bool,
}

/// Hosts that the endpoint list has changed since the index was last updated.
#[derive(Clone, Debug)]
enum ChangedHosts {
    /// These.
    Named(Vec<ListedHost>),
    /// Possibly any.
    Any,
}

impl Default for ChangedHosts {
    fn default() -> Self {
        ChangedHosts::Named(Vec::new())
    }
}

/// Every host in the order of its identifier, as of a revision of the endpoint list.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostIndex {
    /// The hosts by position.
    ids: Arc<Vec<HostId>>,
    /// By position: the zone of a host, as a position among `zones`.
    zone_of_host: Vec<usize>,
    /// The zones of the hosts, in the order in which their first hosts come.
    zones: Vec<ZoneId>,
    /// The revision of the endpoint list; `None` before the first.
    revision: Option<u64>,
    /// What the endpoint list has changed since.
    changed: ChangedHosts,
}

/// How an update has changed the positions of an index.
#[derive(Debug)]
pub(crate) struct Reindexing {
    /// The revision of the index before.
    pub(crate) previous_revision: Option<u64>,
    /// By new position: the position before; `None` for a new host.
    pub(crate) previous_index: Vec<Option<usize>>,
    /// Whether there are fewer hosts than before.
    shrinks: bool,
    /// The hosts that the endpoint list has changed; `None` if it may have changed any.
    pub(crate) changed: Option<Vec<ChangedHost>>,
}

/// A host that the endpoint list has changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChangedHost {
    /// Its new position.
    pub(crate) index: usize,
    /// Whether it was listed as ready, and may have restarted.
    pub(crate) is_ready: bool,
}

impl Reindexing {
    /// Whether any host is new, was removed or has another position.
    pub(crate) fn changes_positions(&self) -> bool {
        let is_moved = |(index, previous): (usize, &Option<usize>)| *previous != Some(index);
        self.shrinks || self.previous_index.iter().enumerate().any(is_moved)
    }
}

impl HostIndex {
    /// Records that the endpoint list has changed the hosts of some entries.
    pub(crate) fn record_changes(&mut self, entries: &[Endpoint]) {
        let ChangedHosts::Named(named) = &mut self.changed else { return };
        named.extend(entries.iter().map(|entry| ListedHost {
            host: entry.host.clone(),
            is_ready: entry.readiness == Readiness::Ready,
        }));
        if named.len() > self.ids.len() {
            self.changed = ChangedHosts::Any;
        }
    }

    /// Records that the endpoint list may have changed any host.
    pub(crate) fn record_any_change(&mut self) {
        self.changed = ChangedHosts::Any;
    }

    /// Whether it is as of this revision of the endpoint list.
    pub(crate) fn is_at_revision(&self, revision: u64) -> bool {
        self.revision == Some(revision)
    }

    /// The hosts by position.
    pub(crate) fn ids(&self) -> Arc<Vec<HostId>> {
        self.ids.clone()
    }

    /// How many hosts there are.
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// The position of a host.
    pub(crate) fn position(&self, id: &HostId) -> Option<usize> {
        self.ids.binary_search_by(|known| compare_hosts(known, id)).ok()
    }

    /// The zones of the hosts.
    pub(crate) fn zones(&self) -> &[ZoneId] {
        &self.zones
    }

    /// By position: the zone of a host, as a position among `zones`.
    pub(crate) fn zone_indices(&self) -> &[usize] {
        &self.zone_of_host
    }

    /// Updates it to the hosts of the fleet, as of a revision of the endpoint list.
    pub(crate) fn update(&mut self, fleet: &BTreeMap<HostId, Host>, revision: u64) -> Reindexing {
        let previous_index = self.previous_index(fleet);
        let shrinks = previous_index.len() < self.ids.len();
        self.ids = Arc::new(fleet.keys().cloned().collect());
        self.index_zones(fleet);
        let changed = self.take_changed_hosts();
        let previous_revision = self.revision.replace(revision);
        Reindexing { previous_revision, previous_index, shrinks, changed }
    }

    /// The positions that the hosts of the fleet have had until now.
    fn previous_index(&self, fleet: &BTreeMap<HostId, Host>) -> Vec<Option<usize>> {
        let mut positions = position_cursor(&self.ids);
        fleet.keys().map(|id| positions.find(id)).collect()
    }

    /// The hosts that the endpoint list has changed since the last update, at their new positions.
    fn take_changed_hosts(&mut self) -> Option<Vec<ChangedHost>> {
        match std::mem::take(&mut self.changed) {
            ChangedHosts::Any => None,
            ChangedHosts::Named(named) => {
                Some(named.iter().filter_map(|listed| self.changed_host(listed)).collect())
            }
        }
    }

    /// A host that an endpoint list event names, at its position; `None` if the fleet no longer has it.
    fn changed_host(&self, listed: &ListedHost) -> Option<ChangedHost> {
        Some(ChangedHost { index: self.position(&listed.host)?, is_ready: listed.is_ready })
    }

    /// Rebuilds the zones of the hosts.
    fn index_zones(&mut self, fleet: &BTreeMap<HostId, Host>) {
        let mut zone_indices: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        self.zone_of_host = Vec::with_capacity(fleet.len());
        self.zones = Vec::new();
        for host in fleet.values() {
            let zone = &host.endpoint.zone;
            let zone_index = *zone_indices.entry(zone).or_insert(self.zones.len());
            if zone_index == self.zones.len() {
                self.zones.push(zone.clone());
            }
            self.zone_of_host.push(zone_index);
        }
    }
}
