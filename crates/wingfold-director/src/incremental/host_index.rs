//! The hosts of the fleet by position. What is worked out for each host lies in vectors in this order,
//! which are far cheaper to go over than the records themselves.
use crate::incremental::{compare_hosts, position_cursor};
use crate::interface::{Endpoint, HostId, Readiness, ZoneId};
use crate::state::Host;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What the list has told of a host.
#[derive(Clone, Debug)]
struct ListedHost {
    host: HostId,
    /// As ready: it may have started anew since it was last told of.
    is_ready: bool,
}

/// Hosts that the list has changed since the roster was last brought up to date.
#[derive(Clone, Debug)]
enum ChangedHosts {
    Named(Vec<ListedHost>),
    Any,
}

impl Default for ChangedHosts {
    fn default() -> Self {
        ChangedHosts::Named(Vec::new())
    }
}

/// Every host in its order, as of a revision of the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostIndex {
    ids: Arc<Vec<HostId>>,
    /// By position: the zone in which a host stands, as a position among `zones`.
    zone_of_host: Vec<usize>,
    zones: Vec<ZoneId>,
    revision: Option<u64>,
    changed: ChangedHosts,
}

/// How the positions of a roster have changed.
#[derive(Debug)]
pub(crate) struct Reindexing {
    /// The revision of the roster before.
    pub(crate) previous_revision: Option<u64>,
    /// By new position: the old one; `None` for a host that has come.
    pub(crate) previous_index: Vec<Option<usize>>,
    /// There are fewer hosts than before.
    shrinks: bool,
    /// The hosts that the list has changed; `None` where it may have changed any.
    pub(crate) changed: Option<Vec<ChangedHost>>,
}

/// A host that the list has changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChangedHost {
    /// Its new position.
    pub(crate) index: usize,
    /// It was told of as ready, and may have started anew.
    pub(crate) is_ready: bool,
}

impl Reindexing {
    /// Whether any host has come, gone or another position.
    pub(crate) fn changes_positions(&self) -> bool {
        self.shrinks || self.previous_index.iter().enumerate().any(|(at, old)| *old != Some(at))
    }
}

impl HostIndex {
    /// The list has changed the hosts of these entries.
    pub(crate) fn record_changes(&mut self, entries: &[Endpoint]) {
        if let ChangedHosts::Named(named) = &mut self.changed {
            let told = |entry: &Endpoint| ListedHost {
                host: entry.host.clone(),
                is_ready: entry.readiness == Readiness::Ready,
            };
            named.extend(entries.iter().map(told));
            if named.len() > self.ids.len() {
                self.changed = ChangedHosts::Any;
            }
        }
    }

    /// The list may have changed any host.
    pub(crate) fn record_any_change(&mut self) {
        self.changed = ChangedHosts::Any;
    }

    /// Whether it stands at this revision of the list.
    pub(crate) fn is_at_revision(&self, revision: u64) -> bool {
        self.revision == Some(revision)
    }

    /// The hosts in their order.
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

    /// The zones in which hosts stand.
    pub(crate) fn zones(&self) -> &[ZoneId] {
        &self.zones
    }

    /// By position: the zone in which a host stands, as a position among `zones`.
    pub(crate) fn homes(&self) -> &[usize] {
        &self.zone_of_host
    }

    /// Brings it in line with the fleet, as of a revision of the list.
    pub(crate) fn update(&mut self, fleet: &BTreeMap<HostId, Host>, revision: u64) -> Reindexing {
        let old = self.previous_index(fleet);
        let shrinks = old.len() < self.ids.len();
        self.ids = Arc::new(fleet.keys().cloned().collect());
        self.index_zones(fleet);
        let changed = match std::mem::take(&mut self.changed) {
            ChangedHosts::Any => None,
            ChangedHosts::Named(named) => Some(named.iter().filter_map(|told| self.renewal(told)).collect()),
        };
        let before = self.revision.replace(revision);
        Reindexing { previous_revision: before, previous_index: old, shrinks, changed }
    }

    /// The positions that the hosts of the fleet have had until now.
    fn previous_index(&self, fleet: &BTreeMap<HostId, Host>) -> Vec<Option<usize>> {
        let mut positions = position_cursor(&self.ids);
        fleet.keys().map(|id| positions.find(id)).collect()
    }

    fn renewal(&self, told: &ListedHost) -> Option<ChangedHost> {
        Some(ChangedHost { index: self.position(&told.host)?, is_ready: told.is_ready })
    }

    fn index_zones(&mut self, fleet: &BTreeMap<HostId, Host>) {
        let mut numbers: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        (self.zone_of_host, self.zones) = (Vec::with_capacity(fleet.len()), Vec::new());
        for host in fleet.values() {
            let zone = &host.endpoint.zone;
            let number = *numbers.entry(zone).or_insert(self.zones.len());
            if number == self.zones.len() {
                self.zones.push(zone.clone());
            }
            self.zone_of_host.push(number);
        }
    }
}
