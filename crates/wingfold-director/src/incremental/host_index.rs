//! The host index, which gives each host of the fleet a position. Values per host are kept in vectors by
//! position, which are far cheaper to iterate over than the records.
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
    /// Whether the event lists the host as ready. Such a host may have restarted since the previous event.
    is_ready: bool,
}

/// The hosts that endpoint list events may have changed since the index was last updated.
#[derive(Clone, Debug)]
enum ChangedHosts {
    /// Only the hosts that these entries name.
    Named(Vec<ListedHost>),
    /// Possibly all hosts.
    Any,
}

impl Default for ChangedHosts {
    fn default() -> Self {
        ChangedHosts::Named(Vec::new())
    }
}

/// All hosts of the fleet, ordered by identifier, as of a revision of the hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostIndex {
    /// The identifiers of the hosts by position.
    ids: Arc<Vec<HostId>>,
    /// The zone of each host by the host's position, as an index into `zones`.
    zone_of_host: Vec<usize>,
    /// The zones of the hosts, ordered by the position of their first host.
    zones: Vec<ZoneId>,
    /// The revision of the hosts that the index reflects; `None` before the first update.
    revision: Option<u64>,
    /// The hosts that may have changed since that revision.
    changed: ChangedHosts,
}

/// The changes of positions by an update of the host index.
#[derive(Debug)]
pub(crate) struct Reindexing {
    /// The revision that the index reflected before the update.
    pub(crate) previous_revision: Option<u64>,
    /// The previous position of each host by its new position; `None` for a new host.
    pub(crate) previous_index: Vec<Option<usize>>,
    /// Whether the index has fewer hosts than before.
    has_fewer_hosts: bool,
    /// The hosts that the endpoint list may have changed; `None` if these may be all hosts.
    pub(crate) changed: Option<Vec<ChangedHost>>,
}

/// A host that the endpoint list may have changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChangedHost {
    /// The new position of the host.
    pub(crate) index: usize,
    /// Whether the event listed the host as ready, so that it may have restarted.
    pub(crate) is_ready: bool,
}

impl Reindexing {
    /// Whether any host was added, was removed or has a different position.
    pub(crate) fn changes_positions(&self) -> bool {
        let is_moved = |(index, previous): (usize, &Option<usize>)| *previous != Some(index);
        self.has_fewer_hosts || self.previous_index.iter().enumerate().any(is_moved)
    }
}

impl HostIndex {
    /// Records that an endpoint list event may have changed the hosts of these entries.
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

    /// Records that any host may have changed.
    pub(crate) fn record_any_change(&mut self) {
        self.changed = ChangedHosts::Any;
    }

    /// Whether the index reflects this revision of the hosts.
    pub(crate) fn is_at_revision(&self, revision: u64) -> bool {
        self.revision == Some(revision)
    }

    /// The identifiers of the hosts by position.
    pub(crate) fn ids(&self) -> Arc<Vec<HostId>> {
        self.ids.clone()
    }

    /// Number of hosts.
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// The position of a host; `None` if the index does not have the host.
    pub(crate) fn position(&self, id: &HostId) -> Option<usize> {
        self.ids.binary_search_by(|known| compare_hosts(known, id)).ok()
    }

    /// The zones of the hosts.
    pub(crate) fn zones(&self) -> &[ZoneId] {
        &self.zones
    }

    /// The zone of each host by the host's position, as an index into [`Self::zones`].
    pub(crate) fn zone_indices(&self) -> &[usize] {
        &self.zone_of_host
    }

    /// Updates the index to the hosts of the fleet, as of a revision of the hosts.
    pub(crate) fn update(&mut self, fleet: &BTreeMap<HostId, Host>, revision: u64) -> Reindexing {
        let previous_index = self.previous_index(fleet);
        let has_fewer_hosts = previous_index.len() < self.ids.len();
        self.ids = Arc::new(fleet.keys().cloned().collect());
        self.index_zones(fleet);
        let changed = self.take_changed_hosts();
        let previous_revision = self.revision.replace(revision);
        Reindexing { previous_revision, previous_index, has_fewer_hosts, changed }
    }

    /// The present positions of the hosts of the fleet, before an update; `None` for new hosts.
    fn previous_index(&self, fleet: &BTreeMap<HostId, Host>) -> Vec<Option<usize>> {
        let mut positions = position_cursor(&self.ids);
        fleet.keys().map(|id| positions.find(id)).collect()
    }

    /// Takes the hosts that may have changed since the last update, with their new positions; `None` if these
    /// may be all hosts.
    fn take_changed_hosts(&mut self) -> Option<Vec<ChangedHost>> {
        match std::mem::take(&mut self.changed) {
            ChangedHosts::Any => None,
            ChangedHosts::Named(named) => {
                Some(named.iter().filter_map(|listed| self.changed_host(listed)).collect())
            }
        }
    }

    /// A host that an endpoint list event named, with its position; `None` if the fleet no longer has the
    /// host.
    fn changed_host(&self, listed: &ListedHost) -> Option<ChangedHost> {
        Some(ChangedHost { index: self.position(&listed.host)?, is_ready: listed.is_ready })
    }

    /// Rebuilds `zones` and `zone_of_host`.
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
