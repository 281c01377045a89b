//! The hosts that are eligible for a table, and the planned contents of a table.
use crate::interface::HostId;
use crate::state::{EntryChange, Table};

/// Least divisor of ring positions: the circumference of a ring without hosts is 0.
const MIN_CIRCUMFERENCE: f64 = 1e-9;

/// A host that is eligible for a table, and the factors of its weight in the table.
#[derive(Clone, Debug)]
pub(crate) struct EligibleEntry {
    /// The host's position in the host index.
    pub(crate) index: usize,
    /// The host's listed weight.
    pub(crate) weight: f64,
    /// Factor on the weight by locality: below 1 for hosts of other zones.
    pub(crate) locality_weight: f64,
    /// Factor on the weight by health and ranking; 0 while the host is ejected.
    pub(crate) health_factor: f64,
    /// Lower bound of the host's present capacity during its warm-up, as a ratio of its full capacity.
    pub(crate) slow_start_factor: f64,
    /// Whether the host may still be warming up.
    pub(crate) is_warming_up: bool,
    /// Whether the host is in the zone of the table's proxies.
    pub(crate) in_own_zone: bool,
    /// The host's position on the ring of hosts, as a ratio of the ring's circumference.
    pub(crate) ring_position: f64,
}

/// Sets the position of each host on the ring. The hosts of the zone itself and those of other zones are
/// placed separately, and each of the two groups covers the whole ring. A host covers an arc in proportion to
/// its weight and is positioned at the middle of that arc; ejected hosts take up no space.
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

/// An entry of the planned contents of a table.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedEntry<'a> {
    /// The host.
    pub(crate) host: &'a HostId,
    /// The planned weight.
    pub(crate) weight: f64,
    /// Whether proxies use the entry only if all other entries fail. Standby entries are added only where
    /// there is send capacity left.
    pub(crate) is_standby: bool,
}

/// The planned contents of a table.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TablePlan<'a> {
    /// The entries, ordered by host.
    pub(crate) entries: Vec<PlannedEntry<'a>>,
    /// The largest total listed weight that the table's hosts have had so far.
    pub(crate) peak_weight: f64,
}

impl<'a> TablePlan<'a> {
    /// The entries that are not standby entries.
    pub(crate) fn active_entries(&self) -> impl Iterator<Item = &PlannedEntry<'a>> {
        self.entries.iter().filter(|entry| !entry.is_standby)
    }

    /// The changes that add all active entries to an empty table.
    pub(crate) fn full_table_changes(&self) -> Vec<EntryChange> {
        self.active_entries().map(|entry| EntryChange::addition(entry.host, entry.weight)).collect()
    }

    /// The changes that add the planned standby entries that `table` does not have yet.
    pub(crate) fn missing_standby_entries(&self, table: &Table) -> Vec<EntryChange> {
        self.entries
            .iter()
            .filter(|entry| entry.is_standby && !table.entries.contains_key(entry.host))
            .map(|entry| EntryChange::addition(entry.host, entry.weight))
            .collect()
    }
}
