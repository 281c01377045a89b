//! Builds the parts of one proxy's update: tables first, then admission levels, ejected and restored hosts, barriers.

use super::batch::ChangedEntries;
use super::{AssignedClass, BatchChanges, ClassIndex, StreamState, Tables};
use crate::message::{AdmissionLevel, ProxyUpdatePart, TableEntry};
use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::{HostId, ProxyId, TableId};

/// Bytes of entries in one part, well under the longest frame.
const MAX_ENTRY_BYTES_PER_PART: usize = 1 << 19;
/// Bytes of an encoded entry besides its host's name, at most.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Barriers that one stream may leave unacknowledged: far more than are in flight at once.
const MAX_PENDING_BARRIERS: usize = 1024;

/// A table to send, and whether all of it or only its changes. Updates are sent in this order.
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
        if tables_to_send.is_empty() && !self.concerns(stream, batch) {
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

    /// Whether a batch concerns a stream by anything but the entries of its tables.
    fn concerns(&self, stream: &StreamState, batch: &BatchChanges) -> bool {
        let has_new_admission = |id: &TableId| batch.tables_with_admission.contains(id);
        batch.global_admission_set
            || stream.assigned.iter().flatten().any(has_new_admission)
            || batch.ejection_set.iter().any(|host| self.may_use(stream, host))
            || batch.barriers.iter().any(|barrier| barrier.all_proxies)
    }

    /// Adds a table, split into parts that fit in a frame each.
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

    /// Splits entries into parts; only the first one is marked as complete.
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

    /// Names of classes as a part has them: none stands for all.
    fn class_names(&self, classes: &[ClassIndex]) -> Vec<Arc<str>> {
        if classes.len() == self.classes.len() {
            return Vec::new();
        }
        classes.iter().map(|class| self.classes[*class].clone()).collect()
    }

    /// The admission level of a class at a proxy: the lower one of its table's and the global one, with the retry
    /// policy of the table where it has one.
    pub(super) fn admission(&self, stream: &StreamState, class: ClassIndex) -> Option<AdmissionLevel> {
        let table = stream.assigned[class].and_then(|id| self.tables.get(&id));
        let of_table = table.and_then(|table| table.admission.get(&class));
        match (of_table, self.global_admission.get(&class)) {
            (Some(of_table), Some(global)) => {
                Some(AdmissionLevel { level: of_table.level.min(global.level), retry: of_table.retry })
            }
            (of_table, global) => of_table.or(global).copied(),
        }
    }

    /// Adds the admission levels that the stream was not sent, to the last table part of the same classes that has none
    /// or as parts of their own.
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

    /// The admission levels that the stream was not sent, grouped in the order of their first classes. They count as
    /// sent from now on.
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

    /// Adds the ejected and restored hosts that the stream was not sent, to the last part if there is one.
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

    /// Ejected hosts that the proxy may use and was not sent on this stream.
    fn ejections_to_send(&self, stream: &StreamState) -> Vec<HostId> {
        let unsent = self.ejected.iter().filter(|host| !stream.ejected.contains(*host));
        unsent.filter(|host| self.may_use(stream, host)).cloned().collect()
    }

    /// Hosts that the proxy was ever sent as ejected, that are not ejected any more, and whose restoration was not sent
    /// on this stream.
    fn restorations_to_send(&self, proxy: ProxyId, stream: &StreamState) -> Vec<HostId> {
        let Some(ever_ejected) = self.ever_ejected.get(&proxy) else { return Vec::new() };
        let restored = ever_ejected.iter().filter(|host| !self.ejected.contains(*host));
        restored.filter(|host| !stream.restored.contains(*host)).cloned().collect()
    }

    /// Whether a stream's proxy may have a host in a table. Of a table that it brought along nothing is known.
    fn may_use(&self, stream: &StreamState, host: &HostId) -> bool {
        stream.assigned.iter().any(|table| match table {
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
    for (class, assigned) in stream.assigned.iter().enumerate() {
        let Some(table) = *assigned else { continue };
        let was_cleared = batch.tables.get(&table).is_some_and(|change| change.cleared);
        let complete = was_cleared || batch.assigned.contains(&AssignedClass { proxy, class });
        if complete || changed_entries.contains_key(&table) {
            tables.entry(TableToSend { table, complete }).or_default().push(class);
        }
    }
    tables
}

/// Adds a barrier to the last part if that has none, or as a part of its own.
fn push_barrier(number: u64, stream: &mut StreamState, parts: &mut Vec<ProxyUpdatePart>) {
    // The oldest barrier of a proxy that acknowledges none is dropped.
    if stream.pending_barriers.len() >= MAX_PENDING_BARRIERS {
        stream.pending_barriers.pop_front();
    }
    stream.pending_barriers.push_back(number);
    match parts.last_mut() {
        Some(last) if last.barrier.is_none() => last.barrier = Some(number),
        _ => parts.push(ProxyUpdatePart { barrier: Some(number), ..ProxyUpdatePart::default() }),
    }
}

/// Marks all parts but the last as continued.
fn mark_continued_parts(parts: &mut [ProxyUpdatePart]) {
    if let Some((_, continued)) = parts.split_last_mut() {
        for part in continued {
            part.has_more_parts = true;
        }
    }
}
