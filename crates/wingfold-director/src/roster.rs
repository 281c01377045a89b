//! The hosts of the fleet by position. What is worked out for each host lies in vectors in this order, which are far
//! cheaper to go over than the records themselves.
use crate::derived::order;
use crate::interface::{Entry, HostId, Readiness, ZoneId};
use crate::state::Host;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What the list has told of a host.
#[derive(Clone, Debug)]
struct Told {
    host: HostId,
    /// As ready: it may have started anew since it was last told of.
    ready: bool,
}

/// Hosts that the list has changed since the roster was last brought up to date.
#[derive(Clone, Debug)]
enum Changed {
    Named(Vec<Told>),
    Any,
}

impl Default for Changed {
    fn default() -> Self {
        Changed::Named(Vec::new())
    }
}

/// Every host in its order, as of a revision of the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Roster {
    ids: Arc<Vec<HostId>>,
    /// By position: the zone in which a host stands, as a position among `zones`.
    homes: Vec<usize>,
    zones: Vec<ZoneId>,
    revision: Option<u64>,
    changed: Changed,
}

/// How the positions of a roster have changed.
#[derive(Debug)]
pub(crate) struct Renumbering {
    /// The revision of the roster before.
    pub(crate) before: Option<u64>,
    /// By new position: the old one; `None` for a host that has come.
    pub(crate) old: Vec<Option<usize>>,
    /// There are fewer hosts than before.
    shrinks: bool,
    /// The hosts that the list has changed; `None` where it may have changed any.
    pub(crate) changed: Option<Vec<Renewal>>,
}

/// A host that the list has changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Renewal {
    /// Its new position.
    pub(crate) at: usize,
    /// It was told of as ready, and may have started anew.
    pub(crate) ready: bool,
}

impl Renumbering {
    /// Whether any host has come, gone or another position.
    pub(crate) fn moves(&self) -> bool {
        self.shrinks || self.old.iter().enumerate().any(|(at, old)| *old != Some(at))
    }
}

impl Roster {
    /// The list has changed the hosts of these entries.
    pub(crate) fn note(&mut self, entries: &[Entry]) {
        if let Changed::Named(named) = &mut self.changed {
            let told =
                |entry: &Entry| Told { host: entry.host.clone(), ready: entry.readiness == Readiness::Ready };
            named.extend(entries.iter().map(told));
            if named.len() > self.ids.len() {
                self.changed = Changed::Any;
            }
        }
    }

    /// The list may have changed any host.
    pub(crate) fn note_any(&mut self) {
        self.changed = Changed::Any;
    }

    /// Whether it stands at this revision of the list.
    pub(crate) fn is_of(&self, revision: u64) -> bool {
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
        self.ids.binary_search_by(|known| order(known, id)).ok()
    }

    /// The zones in which hosts stand.
    pub(crate) fn zones(&self) -> &[ZoneId] {
        &self.zones
    }

    /// By position: the zone in which a host stands, as a position among `zones`.
    pub(crate) fn homes(&self) -> &[usize] {
        &self.homes
    }

    /// Brings it in line with the fleet, as of a revision of the list.
    pub(crate) fn follow(&mut self, fleet: &BTreeMap<HostId, Host>, revision: u64) -> Renumbering {
        let mut known = self.ids.iter().enumerate().peekable();
        let mut old = Vec::with_capacity(fleet.len());
        for id in fleet.keys() {
            while known.next_if(|(_, other)| order(other, id) == Ordering::Less).is_some() {}
            let same = known.next_if(|(_, other)| order(other, id) == Ordering::Equal);
            old.push(same.map(|(at, _)| at));
        }
        let shrinks = old.len() < self.ids.len();
        self.ids = Arc::new(fleet.keys().cloned().collect());
        self.find_homes(fleet);
        let changed = match std::mem::take(&mut self.changed) {
            Changed::Any => None,
            Changed::Named(named) => Some(named.iter().filter_map(|told| self.renewal(told)).collect()),
        };
        let before = self.revision.replace(revision);
        Renumbering { before, old, shrinks, changed }
    }

    fn renewal(&self, told: &Told) -> Option<Renewal> {
        Some(Renewal { at: self.position(&told.host)?, ready: told.ready })
    }

    fn find_homes(&mut self, fleet: &BTreeMap<HostId, Host>) {
        let mut numbers: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        (self.homes, self.zones) = (Vec::with_capacity(fleet.len()), Vec::new());
        for host in fleet.values() {
            let zone = &host.entry.zone;
            let number = *numbers.entry(zone).or_insert(self.zones.len());
            if number == self.zones.len() {
                self.zones.push(zone.clone());
            }
            self.homes.push(number);
        }
    }
}
