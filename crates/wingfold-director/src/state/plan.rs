//! What a table may hold, and what it should hold.
use crate::interface::HostId;
use crate::state::{EntryChange, Table};

/// Least circumference of a ring: one without hosts has none.
const MIN_CIRCUMFERENCE: f64 = 1e-9;

/// A host that a table may hold, and what its weight there depends on.
#[derive(Clone, Debug)]
pub(crate) struct EligibleEntry {
    /// The host's position in the host index.
    pub(crate) index: usize,
    /// Its listed weight.
    pub(crate) weight: f64,
    /// Ratio of the weight that it has by locality.
    pub(crate) locality_weight: f64,
    /// Ratio of the weight that it has by its health and ranking; 0 while it is ejected.
    pub(crate) health_factor: f64,
    /// Ratio of its capacity that it surely has after its start.
    pub(crate) slow_start_factor: f64,
    /// Whether it may still be warming up.
    pub(crate) is_warming_up: bool,
    /// Whether it is in the zone of the table's proxies.
    pub(crate) in_own_zone: bool,
    /// Its position on the ring of hosts, as a ratio of the ring.
    pub(crate) ring_position: f64,
}

/// Sets the position of each host on the ring. The zone's own hosts and the others each fill the whole ring,
/// and each host as much of it as its weight. Ejected hosts fill nothing.
pub(crate) fn place_on_ring(entries: &mut [EligibleEntry]) {
    let mut own_end = 0.0;
    let mut remote_end = 0.0;
    for entry in entries.iter_mut() {
        let end = if entry.in_own_zone { &mut own_end } else { &mut remote_end };
        entry.ring_position = *end + entry.weight / 2.0;
        *end += if entry.health_factor > 0.0 { entry.weight } else { 0.0 };
    }
    for entry in entries {
        let circumference = if entry.in_own_zone { own_end } else { remote_end };
        entry.ring_position /= f64::max(circumference, MIN_CIRCUMFERENCE);
    }
}

/// An entry that a table should hold.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedEntry<'a> {
    /// The host.
    pub(crate) host: &'a HostId,
    /// Its weight.
    pub(crate) weight: f64,
    /// Whether proxies use it only if all others fail: such an entry is sent only where there is capacity.
    pub(crate) is_standby: bool,
}

/// What a table should hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TablePlan<'a> {
    /// The entries, in the order of their hosts.
    pub(crate) entries: Vec<PlannedEntry<'a>>,
    /// The largest listed weight that the table's hosts ever had together.
    pub(crate) peak_weight: f64,
}

impl<'a> TablePlan<'a> {
    /// The entries that are not standby entries.
    pub(crate) fn active_entries(&self) -> impl Iterator<Item = &PlannedEntry<'a>> {
        self.entries.iter().filter(|entry| !entry.is_standby)
    }

    /// The changes that fill an empty table with all active entries.
    pub(crate) fn full_table_changes(&self) -> Vec<EntryChange> {
        self.active_entries().map(|entry| EntryChange::addition(entry.host, entry.weight)).collect()
    }

    /// The standby entries that a table does not hold yet.
    pub(crate) fn missing_standby_entries(&self, table: &Table) -> Vec<EntryChange> {
        self.entries
            .iter()
            .filter(|entry| entry.is_standby && !table.entries.contains_key(entry.host))
            .map(|entry| EntryChange::addition(entry.host, entry.weight))
            .collect()
    }
}
