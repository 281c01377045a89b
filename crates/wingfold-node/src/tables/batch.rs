//! Applies one batch of actions to the tables, and records what the batch changed.

use super::{AdmissionLevels, ClassIndex, Table, Tables, Weights};
use crate::message::{AdmissionLevel, TableEntry};
use std::collections::{BTreeMap, BTreeSet};
use wingfold_director::interface::{Action, ClassMask, HostId, ProxyId, TableId};

/// How one batch has changed a table.
#[derive(Debug, Default, PartialEq)]
pub(super) struct TableChange {
    /// The entries before the batch.
    entries_before: Weights,
    /// Whether the table was cleared, in which case all of it is sent, marked as complete.
    pub(super) cleared: bool,
}

/// A class of a proxy that was assigned to a table.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct AssignedClass {
    pub(super) proxy: ProxyId,
    pub(super) class: ClassIndex,
}

/// A barrier that proxies acknowledge.
#[derive(Debug, PartialEq)]
pub(super) struct Barrier {
    /// Whether every proxy is sent the barrier, or only the proxies for which the batch has an update anyway.
    pub(super) all_proxies: bool,
    pub(super) number: u64,
}

/// The changes of one batch that cannot be read from the tables once the batch is applied.
#[derive(Debug, Default, PartialEq)]
pub(super) struct BatchChanges {
    pub(super) tables: BTreeMap<TableId, TableChange>,
    pub(super) assigned_classes: BTreeSet<AssignedClass>,
    /// Tables whose admission levels were set.
    pub(super) tables_with_admission: BTreeSet<TableId>,
    /// Whether admission levels were set for all proxies.
    pub(super) global_admission_set: bool,
    /// Hosts that were ejected or restored.
    pub(super) ejected_or_restored: BTreeSet<HostId>,
    pub(super) barriers: Vec<Barrier>,
}

/// The changed entries of each table in which a batch has changed any.
pub(super) type ChangedEntries = BTreeMap<TableId, Vec<TableEntry>>;

impl Tables {
    /// Applies the table actions of a batch, in their order.
    pub(super) fn apply_to_tables(&mut self, actions: &[Action]) -> BatchChanges {
        let mut batch = BatchChanges::default();
        for action in actions {
            match action {
                Action::SetEntry { table, host, weight } => self.set_entry(*table, host, *weight, &mut batch),
                Action::ClearTable(table) => self.clear_table(*table, &mut batch),
                Action::AssignTable { proxy, table, classes } => {
                    self.assign_table(*proxy, *table, *classes, &mut batch)
                }
                Action::SetEjected { host, ejected } => self.set_ejected(host, *ejected, &mut batch),
                Action::SetAdmission { table, classes, level, retry } => {
                    let admission = AdmissionLevel { level: *level, retry: *retry };
                    self.set_admission(*table, *classes, admission, &mut batch);
                }
                Action::Barrier { all_proxies, number } => {
                    batch.barriers.push(Barrier { all_proxies: *all_proxies, number: *number })
                }
                Action::WatchEndpoints(_)
                | Action::FetchEndpoints
                | Action::SetTimer { .. }
                | Action::CheckHealth(_)
                | Action::SendToPeer { .. }
                | Action::EvictHost(_)
                | Action::Notice(_) => {}
            }
        }
        batch
    }

    /// Sets the weight of an entry; a weight that is not above 0 removes the entry.
    fn set_entry(&mut self, table: TableId, host: &HostId, weight: f64, batch: &mut BatchChanges) {
        let (table, _) = self.table_to_change(table, batch);
        if weight > 0.0 {
            table.entries.insert(host.clone(), weight);
        } else {
            table.entries.remove(host);
        }
    }

    fn clear_table(&mut self, table: TableId, batch: &mut BatchChanges) {
        let (table, change) = self.table_to_change(table, batch);
        *table = Table::default();
        change.cleared = true;
    }

    /// Assigns classes of a connected proxy to a table.
    fn assign_table(&mut self, proxy: ProxyId, table: TableId, mask: ClassMask, batch: &mut BatchChanges) {
        let classes = self.selected_classes(mask);
        let Some(stream) = self.streams.get_mut(&proxy) else { return };
        for class in classes {
            stream.assigned_tables[class] = Some(table);
            batch.assigned_classes.insert(AssignedClass { proxy, class });
        }
    }

    fn set_ejected(&mut self, host: &HostId, ejected: bool, batch: &mut BatchChanges) {
        if ejected {
            self.ejected.insert(host.clone());
        } else {
            self.ejected.remove(host);
        }
        batch.ejected_or_restored.insert(host.clone());
    }

    /// Sets the admission level of classes, for one table or for all proxies.
    fn set_admission(
        &mut self,
        table: Option<TableId>,
        mask: ClassMask,
        admission: AdmissionLevel,
        batch: &mut BatchChanges,
    ) {
        let classes = self.selected_classes(mask);
        let levels: &mut AdmissionLevels = if let Some(table) = table {
            batch.tables_with_admission.insert(table);
            &mut self.tables.entry(table).or_default().admission
        } else {
            batch.global_admission_set = true;
            &mut self.global_admission
        };
        levels.extend(classes.into_iter().map(|class| (class, admission)));
    }

    /// Returns a table to change, and the record of its change in this batch. The first call in a batch
    /// copies the entries of the table into that record.
    fn table_to_change<'a>(
        &'a mut self,
        id: TableId,
        batch: &'a mut BatchChanges,
    ) -> (&'a mut Table, &'a mut TableChange) {
        let table = self.tables.entry(id).or_default();
        let no_change_yet = || TableChange { entries_before: table.entries.clone(), cleared: false };
        let change = batch.tables.entry(id).or_insert_with(no_change_yet);
        (table, change)
    }

    /// The entries that a batch changed, by table.
    pub(super) fn changed_entries(&self, batch: &BatchChanges) -> ChangedEntries {
        let tables = batch.tables.iter();
        let entries = tables.map(|(id, change)| (*id, entries_to_send(&self.tables[id].entries, change)));
        entries.filter(|(_, entries)| !entries.is_empty()).collect()
    }
}

/// The entries that turn the table as it was before the batch into the table as it is now: removals first,
/// then new weights, both ordered by host.
fn entries_to_send(current: &Weights, change: &TableChange) -> Vec<TableEntry> {
    let before = &change.entries_before;
    let removed = before.keys().filter(|host| !current.contains_key(host));
    let removed = removed.map(|host| TableEntry { host: host.0.clone(), weight: 0.0 });
    let set = current.iter().filter(|(host, weight)| before.get(host) != Some(weight));
    let set = set.map(|(host, weight)| TableEntry { host: host.0.clone(), weight: *weight });
    removed.chain(set).collect()
}
