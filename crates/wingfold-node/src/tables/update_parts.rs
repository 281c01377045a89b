//! Builds the parts of one proxy's update: tables first, then admission levels, ejected and restored hosts,
//! and barriers.

use super::batch::ChangedEntries;
use super::{AssignedClass, BatchChanges, ClassIndex, StreamState, Tables};
use crate::message::{AdmissionLevel, ProxyUpdatePart, TableEntry};
use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::{HostId, ProxyId, TableId};

/// Limit on the bytes of the entries in one part, well under the longest frame.
const MAX_ENTRY_BYTES_PER_PART: usize = 1 << 19;
/// The most bytes that an encoded entry takes besides the name of its host.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Limit on the unacknowledged barriers of one stream: far more than are in flight at once.
const MAX_PENDING_BARRIERS: usize = 1024;

/// A table to send, complete or as changes. Updates hold their tables in the order of this type.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct TableToSend {
    table: TableId,
    complete: bool,
}

/// Classes that share an admission level to send.
struct ClassesWithAdmission {
    admission: AdmissionLevel,
    classes: Vec<ClassIndex>,
}

impl Tables {
    /// The parts of one proxy's update; none if the batch does not concern it.
    pub(super) fn update_parts(
        &self,
        proxy: ProxyId,
        stream: &mut StreamState,
        batch: &BatchChanges,
        changed_entries: &ChangedEntries,
    ) -> Vec<ProxyUpdatePart> {
        let tables_to_send = tables_to_send(proxy, stream, batch, changed_entries);
        let mut parts = Vec::new();
        if tables_to_send.is_empty() && !self.has_other_changes(stream, batch) {
            return parts;
        }
        for (to_send, classes) in tables_to_send {
            self.push_table(to_send, &classes, stream, changed_entries, &mut parts);
        }
        self.push_admission(stream, &mut parts);
        self.push_ejections(proxy, stream, &mut parts);
        for barrier in &batch.barriers {
            push_barrier(barrier.number, stream, &mut parts);
        }
        mark_continued_parts(&mut parts);
        parts
    }

    /// Whether a batch has changes for a stream other than assignments and entries of its tables.
    fn has_other_changes(&self, stream: &StreamState, batch: &BatchChanges) -> bool {
        let has_new_admission = |id: &TableId| batch.tables_with_admission.contains(id);
        batch.global_admission_set
            || stream.assigned_tables.iter().flatten().any(has_new_admission)
            || batch.ejected_or_restored.iter().any(|host| self.may_use(stream, host))
            || batch.barriers.iter().any(|barrier| barrier.all_proxies)
    }

    /// Adds a table, or its changed entries, split into parts that each fit in a frame.
    fn push_table(
        &self,
        to_send: TableToSend,
        classes: &[ClassIndex],
        stream: &mut StreamState,
        changed_entries: &ChangedEntries,
        parts: &mut Vec<ProxyUpdatePart>,
    ) {
        if to_send.complete {
            // A complete table resets the admission levels of its classes at the proxy.
            for class in classes {
                stream.admission[*class] = None;
            }
            parts.extend(self.table_parts(classes, true, self.all_entries(to_send.table)));
        } else {
            let entries = changed_entries[&to_send.table].clone();
            parts.extend(self.table_parts(classes, false, entries));
        }
    }

    /// Splits entries into parts. If they are a complete table, only the first part is marked as complete:
    /// the proxy adds the entries of the other parts to it.
    fn table_parts(
        &self,
        classes: &[ClassIndex],
        complete: bool,
        entries: Vec<TableEntry>,
    ) -> Vec<ProxyUpdatePart> {
        let classes = self.class_names(classes);
        let mut parts = Vec::new();
        let mut part = ProxyUpdatePart { classes: classes.clone(), complete, ..ProxyUpdatePart::default() };
        let mut part_bytes = 0;
        for entry in entries {
            let entry_bytes = entry.host.len() + ENTRY_OVERHEAD_BYTES;
            part_bytes += entry_bytes;
            if part_bytes > MAX_ENTRY_BYTES_PER_PART {
                let next = ProxyUpdatePart { classes: classes.clone(), ..ProxyUpdatePart::default() };
                parts.push(std::mem::replace(&mut part, next));
                part_bytes = entry_bytes;
            }
            part.entries.push(entry);
        }
        parts.push(part);
        parts
    }

    fn all_entries(&self, table: TableId) -> Vec<TableEntry> {
        let Some(table) = self.tables.get(&table) else { return Vec::new() };
        let entries = table.entries.iter();
        entries.map(|(host, weight)| TableEntry { host: host.0.clone(), weight: *weight }).collect()
    }

    /// The names of classes as a part lists them; an empty list stands for all classes.
    fn class_names(&self, classes: &[ClassIndex]) -> Vec<Arc<str>> {
        if classes.len() == self.classes.len() {
            return Vec::new();
        }
        classes.iter().map(|class| self.classes[*class].clone()).collect()
    }

    /// The admission level of a class at a proxy: the lower of the level of its table and the global level,
    /// with the retry policy of the table. Where only one of the two levels is set, it applies with its own
    /// retry policy.
    pub(super) fn admission(&self, stream: &StreamState, class: ClassIndex) -> Option<AdmissionLevel> {
        let table = stream.assigned_tables[class].and_then(|id| self.tables.get(&id));
        let table_level = table.and_then(|table| table.admission.get(&class));
        match (table_level, self.global_admission.get(&class)) {
            (Some(table_level), Some(global)) => {
                Some(AdmissionLevel { level: table_level.level.min(global.level), retry: table_level.retry })
            }
            (table_level, global) => table_level.or(global).copied(),
        }
    }

    /// Adds the admission levels that the stream was not sent. Each goes into the last part that names the
    /// same classes and has no level yet; where there is no such part, into a part of its own.
    fn push_admission(&self, stream: &mut StreamState, parts: &mut Vec<ProxyUpdatePart>) {
        for ClassesWithAdmission { admission, classes } in self.admission_to_send(stream) {
            let classes = self.class_names(&classes);
            let mut candidates = parts.iter_mut().rev();
            let part = candidates.find(|part| part.classes == classes && part.admission.is_none());
            if let Some(part) = part {
                part.admission = Some(admission);
            } else {
                let admission = Some(admission);
                parts.push(ProxyUpdatePart { classes, admission, ..ProxyUpdatePart::default() });
            }
        }
    }

    /// The admission levels that the stream was not sent, each with its classes, in the order of their first
    /// classes. Records the levels as sent.
    fn admission_to_send(&self, stream: &mut StreamState) -> Vec<ClassesWithAdmission> {
        let mut groups: Vec<ClassesWithAdmission> = Vec::new();
        for class in 0..self.classes.len() {
            let Some(admission) = self.admission(stream, class) else { continue };
            if stream.admission[class] == Some(admission) {
                continue;
            }
            stream.admission[class] = Some(admission);
            match groups.iter_mut().find(|group| group.admission == admission) {
                Some(group) => group.classes.push(class),
                None => groups.push(ClassesWithAdmission { admission, classes: vec![class] }),
            }
        }
        groups
    }

    /// Adds the ejected and restored hosts that the stream was not sent to the last part, or to a new part if
    /// there is none.
    fn push_ejections(&self, proxy: ProxyId, stream: &mut StreamState, parts: &mut Vec<ProxyUpdatePart>) {
        let ejected = self.ejections_to_send(stream);
        let restored = self.restorations_to_send(proxy, stream);
        if ejected.is_empty() && restored.is_empty() {
            return;
        }
        let mut part = parts.pop().unwrap_or_default();
        for host in ejected {
            stream.restored.remove(&host);
            part.ejected.push(host.0.clone());
            stream.ejected.insert(host);
        }
        for host in restored {
            stream.ejected.remove(&host);
            part.restored.push(host.0.clone());
            stream.restored.insert(host);
        }
        parts.push(part);
    }

    /// Ejected hosts that the proxy may use and that the stream was not sent as ejected.
    fn ejections_to_send(&self, stream: &StreamState) -> Vec<HostId> {
        let unsent = self.ejected.iter().filter(|host| !stream.ejected.contains(*host));
        unsent.filter(|host| self.may_use(stream, host)).cloned().collect()
    }

    /// Hosts that the proxy was ever sent as ejected, that are not ejected any more, and whose restoration
    /// was not sent on this stream.
    fn restorations_to_send(&self, proxy: ProxyId, stream: &StreamState) -> Vec<HostId> {
        let Some(ever_ejected) = self.ever_ejected.get(&proxy) else { return Vec::new() };
        let restored = ever_ejected.iter().filter(|host| !self.ejected.contains(*host));
        restored.filter(|host| !stream.restored.contains(*host)).cloned().collect()
    }

    /// Whether a proxy may have a host in one of its tables. The contents of a table that the proxy had when
    /// it connected are unknown, so such a table may hold any host.
    fn may_use(&self, stream: &StreamState, host: &HostId) -> bool {
        stream.assigned_tables.iter().any(|table| match table {
            Some(id) => self.tables.get(id).is_some_and(|table| table.entries.contains_key(host)),
            None => true,
        })
    }
}

/// The tables to send to a proxy, each with the classes that are assigned to it.
fn tables_to_send(
    proxy: ProxyId,
    stream: &StreamState,
    batch: &BatchChanges,
    changed_entries: &ChangedEntries,
) -> BTreeMap<TableToSend, Vec<ClassIndex>> {
    let mut tables: BTreeMap<TableToSend, Vec<ClassIndex>> = BTreeMap::new();
    for (class, assigned) in stream.assigned_tables.iter().enumerate() {
        let Some(table) = *assigned else { continue };
        let was_cleared = batch.tables.get(&table).is_some_and(|change| change.cleared);
        let complete = was_cleared || batch.assigned_classes.contains(&AssignedClass { proxy, class });
        if complete || changed_entries.contains_key(&table) {
            tables.entry(TableToSend { table, complete }).or_default().push(class);
        }
    }
    tables
}

/// Adds a barrier to the last part, or as a part of its own if the last part has a barrier already.
fn push_barrier(number: u64, stream: &mut StreamState, parts: &mut Vec<ProxyUpdatePart>) {
    // Bounds the list for a proxy that acknowledges no barriers.
    if stream.pending_barriers.len() >= MAX_PENDING_BARRIERS {
        stream.pending_barriers.pop_front();
    }
    stream.pending_barriers.push_back(number);
    match parts.last_mut() {
        Some(last) if last.barrier.is_none() => last.barrier = Some(number),
        _ => parts.push(ProxyUpdatePart { barrier: Some(number), ..ProxyUpdatePart::default() }),
    }
}

/// Marks all parts but the last as having more parts after them.
fn mark_continued_parts(parts: &mut [ProxyUpdatePart]) {
    if let Some((_, continued)) = parts.split_last_mut() {
        for part in continued {
            part.has_more_parts = true;
        }
    }
}
