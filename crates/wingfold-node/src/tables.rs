//! Translates table actions of the decision module into one update for each proxy that they concern. The code
//! here does no I/O and reads no clock.
//!
//! The decision module changes tables and assigns the classes of proxies to them. The messages of a stream
//! name no tables, only the classes of its proxy. This module therefore keeps the contents of each table, the
//! assignments and the state that each stream was sent, and builds updates that hold only the differences.

mod batch;
mod update_parts;

#[cfg(test)]
mod tests;

use crate::message::{AdmissionLevel, ProxyUpdatePart};
use batch::{AssignedClass, BatchChanges};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use wingfold_director::interface::{Action, ClassMask, HostId, ProxyId, TableId};

/// Position of a class in the settings.
type ClassIndex = usize;

/// Weights of a table's entries.
type Weights = BTreeMap<HostId, f64>;

/// Admission levels by class.
type AdmissionLevels = BTreeMap<ClassIndex, AdmissionLevel>;

/// The contents of a table of the decision module.
#[derive(Clone, Debug, Default)]
struct Table {
    entries: Weights,
    admission: AdmissionLevels,
}

/// The state that a proxy's stream was sent.
#[derive(Debug)]
struct StreamState {
    /// The table assigned to each class; `None` while the proxy still uses the table it had on connecting.
    assigned_tables: Vec<Option<TableId>>,
    /// The admission level of each class as last sent.
    admission: Vec<Option<AdmissionLevel>>,
    /// Hosts sent as ejected and not restored since.
    ejected: BTreeSet<HostId>,
    /// Hosts sent as restored and not ejected since.
    restored: BTreeSet<HostId>,
    /// Barriers not acknowledged yet, in the order of sending. That order is not the order of their numbers,
    /// because the numbering starts again at times.
    pending_barriers: VecDeque<u64>,
}

impl StreamState {
    fn new(classes: usize) -> Self {
        StreamState {
            assigned_tables: vec![None; classes],
            admission: vec![None; classes],
            ejected: BTreeSet::new(),
            restored: BTreeSet::new(),
            pending_barriers: VecDeque::new(),
        }
    }

    #[cfg(test)]
    fn records(&self) -> usize {
        1 + self.ejected.len() + self.restored.len() + self.pending_barriers.len()
    }
}

/// The message that one batch of actions sends to one proxy.
#[derive(Debug, PartialEq)]
pub struct ProxyUpdate {
    /// The proxy.
    pub proxy: ProxyId,
    /// The parts of the message; all but the last are marked as having more parts after them.
    pub parts: Vec<ProxyUpdatePart>,
}

impl ProxyUpdate {
    /// Lines that the message counts for in the send queue, without the overhead of the message.
    pub fn queue_lines(&self) -> usize {
        self.parts.iter().map(ProxyUpdatePart::queue_lines).sum()
    }
}

/// All tables, and the state that each stream was sent.
#[derive(Debug, Default)]
pub struct Tables {
    classes: Vec<Arc<str>>,
    tables: BTreeMap<TableId, Table>,
    /// Admission levels for all proxies.
    global_admission: AdmissionLevels,
    /// Hosts that are ejected now.
    ejected: BTreeSet<HostId>,
    streams: BTreeMap<ProxyId, StreamState>,
    /// Hosts that each proxy was ever sent as ejected. A proxy keeps its ejected hosts across streams, so
    /// each new stream must be sent those of them that have been restored.
    ever_ejected: BTreeMap<ProxyId, BTreeSet<HostId>>,
}

impl Tables {
    /// Creates the state for these classes, without any tables and streams.
    pub fn new(classes: &[String]) -> Self {
        let classes = classes.iter().map(|class| Arc::from(class.as_str())).collect();
        Tables { classes, ..Tables::default() }
    }

    /// Adds a proxy's new stream, with nothing sent: earlier messages may not have reached the proxy.
    pub fn proxy_connected(&mut self, proxy: ProxyId) {
        self.streams.insert(proxy, StreamState::new(self.classes.len()));
    }

    /// Removes a proxy's stream that has ended, with its assignments.
    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.streams.remove(&proxy);
    }

    /// Number of records of hosts, streams and barriers.
    #[cfg(test)]
    pub fn records(&self) -> usize {
        let entries: usize = self.tables.values().map(|table| table.entries.len()).sum();
        let streams: usize = self.streams.values().map(StreamState::records).sum();
        let ever_ejected: usize = self.ever_ejected.values().map(BTreeSet::len).sum();
        entries + streams + ever_ejected + self.ejected.len()
    }

    /// Drops the ejection records of a host that the decision module has evicted. No table holds such a host.
    pub fn evict_host(&mut self, host: &HostId) {
        self.ejected.remove(host);
        for stream in self.streams.values_mut() {
            stream.ejected.remove(host);
            stream.restored.remove(host);
        }
        self.ever_ejected.retain(|_, hosts| {
            hosts.remove(host);
            !hosts.is_empty()
        });
    }

    /// Removes an acknowledged barrier of a proxy and the barriers sent before it. Returns whether the
    /// barrier was pending.
    pub fn acknowledge(&mut self, proxy: ProxyId, barrier: u64) -> bool {
        let Some(stream) = self.streams.get_mut(&proxy) else { return false };
        let pending = &mut stream.pending_barriers;
        let Some(index) = pending.iter().position(|number| *number == barrier) else { return false };
        pending.drain(..=index);
        true
    }

    /// Applies the table actions of one batch in their order, and returns the updates to send, ordered by
    /// proxy. Other actions are skipped.
    pub fn apply(&mut self, actions: &[Action]) -> Vec<ProxyUpdate> {
        let batch = self.apply_to_tables(actions);
        if batch == BatchChanges::default() {
            return Vec::new();
        }
        let changed_entries = self.changed_entries(&batch);
        // `update_parts` borrows `self` and changes a stream: the streams are moved out until the loop ends.
        let mut streams = std::mem::take(&mut self.streams);
        let mut updates = Vec::new();
        for (proxy, stream) in &mut streams {
            let parts = self.update_parts(*proxy, stream, &batch, &changed_entries);
            self.remember_ejected(*proxy, &parts);
            if !parts.is_empty() {
                updates.push(ProxyUpdate { proxy: *proxy, parts });
            }
        }
        self.streams = streams;
        updates
    }

    fn remember_ejected(&mut self, proxy: ProxyId, parts: &[ProxyUpdatePart]) {
        for part in parts.iter().filter(|part| !part.ejected.is_empty()) {
            let hosts = part.ejected.iter().cloned().map(HostId);
            self.ever_ejected.entry(proxy).or_default().extend(hosts);
        }
    }

    /// The classes that a mask selects.
    fn selected_classes(&self, mask: ClassMask) -> Vec<ClassIndex> {
        (0..self.classes.len()).filter(|class| selects(mask, *class)).collect()
    }
}

/// Whether a mask selects a class; an empty mask selects all.
fn selects(mask: ClassMask, class: ClassIndex) -> bool {
    mask.0 == 0 || mask.0.checked_shr(class as u32).unwrap_or(0) & 1 == 1
}
