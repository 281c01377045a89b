//! Tables as last sent to proxies, and the changes between a table and its plan.
use crate::incremental::{HostCursor, LastRun, TableInputs};
use crate::interface::{Action, ClassId, ClassMask, HostId, Retry, TableId, Timestamp, ZoneId};
use crate::state::{ByZone, PlannedEntry, TablePlan, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A subset of a zone's proxies: the tables that these proxies share, and the arc of the ring of hosts whose
/// hosts have their listed weight in these tables.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Subset {
    /// One table for each group of classes.
    pub(crate) tables: Vec<Table>,
    /// Where the arc starts, as a ratio of the ring's circumference.
    pub(crate) start: f64,
    /// Length of the arc, as a ratio of the ring's circumference; 0 if the subset has no arc yet, 1 for all
    /// hosts.
    pub(crate) length: f64,
    /// When the subset's proxies were last sent a change.
    #[serde(default)]
    #[serde(rename = "sent_at")]
    pub(crate) last_sent_at: Timestamp,
}

/// An arc of the ring of hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RingArc {
    /// Where the arc starts, as a ratio of the ring's circumference; values from 1 on wrap around.
    pub(crate) start: f64,
    /// The length of the arc, as a ratio of the ring's circumference.
    pub(crate) length: f64,
}

impl Subset {
    /// A subset without an arc, with one empty table for each of `groups` groups of classes. The tables are
    /// numbered from `first_table_id` on.
    pub(crate) fn new(first_table_id: u32, groups: usize) -> Subset {
        let ids = (first_table_id..).take(groups).map(TableId);
        let tables = ids.map(|id| Table { id, ..Table::default() }).collect();
        Subset { tables, start: 0.0, length: 0.0, last_sent_at: Timestamp(0) }
    }

    /// The subset's arc of the ring of hosts.
    pub(crate) fn arc(&self) -> RingArc {
        RingArc { start: self.start, length: self.length }
    }

    /// Sets the subset's arc and resets the peak weights of its tables, which belong to the previous arc.
    pub(crate) fn set_arc(&mut self, arc: RingArc) {
        self.start = arc.start;
        self.length = arc.length;
        for table in &mut self.tables {
            table.peak_weight = 0.0;
        }
    }
}

/// A table as last sent to proxies.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Table {
    /// The number of the table.
    pub(crate) id: TableId,
    /// Weights by host, as last sent.
    #[serde(rename = "lines")]
    pub(crate) entries: BTreeMap<HostId, f64>,
    /// Admission levels by class, as last sent.
    #[serde(rename = "levels")]
    pub(crate) admission_levels: BTreeMap<ClassId, f64>,
    /// The largest total listed weight that the table's hosts have had on the present arc: the weight without
    /// faults, which the present weight is compared with.
    #[serde(rename = "full")]
    pub(crate) peak_weight: f64,
    /// Sum of the digests of the table's entries and admission levels. Tables with equal contents have equal
    /// digests, regardless of the order in which the contents were sent.
    #[serde(skip)]
    pub(crate) digest: u64,
    /// The last run of the push that found no planned change to send.
    #[serde(skip)]
    pub(crate) last_empty_push: LastRun<TableInputs>,
}

/// A change of a table entry that has not been sent yet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EntryChange {
    /// The host of the entry.
    pub(crate) host: HostId,
    /// The new weight; 0 removes the entry.
    pub(crate) weight: f64,
    /// The weight as last sent; `None` if the table does not have the entry.
    pub(crate) previous_weight: Option<f64>,
}

impl EntryChange {
    /// Adds an entry that the table does not have yet.
    pub(crate) fn addition(host: &HostId, weight: f64) -> EntryChange {
        EntryChange { host: host.clone(), weight, previous_weight: None }
    }

    /// Removes an entry from the table.
    pub(crate) fn removal(host: &HostId, previous_weight: f64) -> EntryChange {
        EntryChange { host: host.clone(), weight: 0.0, previous_weight: Some(previous_weight) }
    }

    /// Whether the change reduces the weight of the entry or removes the entry.
    pub(crate) fn lowers_weight(&self) -> bool {
        self.previous_weight.is_some_and(|previous| previous > self.weight)
    }

    /// Whether the change adds an entry that the table does not have yet.
    pub(crate) fn adds_entry(&self) -> bool {
        self.previous_weight.is_none()
    }
}

/// The admission level of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClassAdmission {
    /// The class.
    pub(crate) class: ClassId,
    /// Admitted ratio of the class's requests, or admitted requests per second at each proxy, depending on
    /// the admission mode.
    pub(crate) level: f64,
}

/// Changes of a table that have not been sent yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TableChanges {
    /// Changed entries, then removed entries, then new standby entries.
    pub(crate) entries: Vec<EntryChange>,
    /// Changed admission levels.
    pub(crate) admission_levels: Vec<ClassAdmission>,
}

impl TableChanges {
    /// Whether there are no changes.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of changes; each takes one line of a message.
    pub(crate) fn len(&self) -> usize {
        self.entries.len() + self.admission_levels.len()
    }
}

impl Table {
    /// Number of lines of a message that assigns the whole table.
    pub(crate) fn full_lines(&self) -> usize {
        1 + self.entries.len() + self.admission_levels.len()
    }

    /// The changes that bring the table to `plan` and `admission_levels`. Weights that differ from the plan
    /// by no more than `weight_change_ratio` are left as they are. Standby entries are never added here;
    /// those that the table already has are kept only if `with_standby`.
    pub(crate) fn changes_to(
        &self,
        plan: &TablePlan,
        with_standby: bool,
        admission_levels: &[ClassAdmission],
        weight_change_ratio: f64,
    ) -> TableChanges {
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        let mut sent = HostCursor::new(&self.entries);
        for entry in &plan.entries {
            let previous_weight =
                sent.seek(entry.host, |host, weight| removed.push(EntryChange::removal(host, *weight)));
            match previous_weight {
                None if entry.is_standby => {}
                None => changed.push(EntryChange::addition(entry.host, entry.weight)),
                Some(previous) if entry.is_standby && !with_standby => {
                    removed.push(EntryChange::removal(entry.host, *previous))
                }
                Some(previous) => changed.extend(entry.change_from(*previous, weight_change_ratio)),
            }
        }
        removed.extend(sent.rest().map(|(host, weight)| EntryChange::removal(host, *weight)));
        changed.append(&mut removed);
        let is_sent =
            |wanted: &ClassAdmission| self.admission_levels.get(&wanted.class) == Some(&wanted.level);
        let changed_levels = admission_levels.iter().filter(|wanted| !is_sent(wanted));
        TableChanges { entries: changed, admission_levels: changed_levels.copied().collect() }
    }

    /// The actions that send `changes`.
    pub(crate) fn actions<'a>(
        &self,
        changes: &'a TableChanges,
        retry: Retry,
    ) -> impl Iterator<Item = Action> + 'a {
        let id = self.id;
        let set_entry = move |change: &EntryChange| Action::SetEntry {
            table: id,
            host: change.host.clone(),
            weight: change.weight,
        };
        let set_admission = move |admission: &ClassAdmission| Action::SetAdmission {
            table: Some(id),
            classes: ClassMask(1 << admission.class.0),
            level: admission.level,
            retry,
        };
        let entries = changes.entries.iter().map(set_entry);
        entries.chain(changes.admission_levels.iter().map(set_admission))
    }

    /// Applies changes that have been sent.
    pub(crate) fn record_sent(&mut self, changes: TableChanges) {
        if !changes.is_empty() {
            self.last_empty_push = LastRun::default();
        }
        for change in changes.entries {
            self.record_entry(change.host, change.weight);
        }
        for admission in changes.admission_levels {
            self.record_admission(admission);
        }
    }

    /// Applies the weight of an entry that has been sent.
    fn record_entry(&mut self, host: HostId, weight: f64) {
        let new_digest = if weight > 0.0 { entry_digest(&host, weight) } else { 0 };
        let old_digest = self.entries.get(&host).map_or(0, |old| entry_digest(&host, *old));
        self.digest = self.digest.wrapping_add(new_digest).wrapping_sub(old_digest);
        if weight > 0.0 {
            self.entries.insert(host, weight);
        } else {
            self.entries.remove(&host);
        }
    }

    /// Applies an admission level that has been sent.
    fn record_admission(&mut self, ClassAdmission { class, level }: ClassAdmission) {
        let old_level = self.admission_levels.insert(class, level);
        let old_digest = old_level.map_or(0, |old| level_digest(class, old));
        self.digest = self.digest.wrapping_add(level_digest(class, level)).wrapping_sub(old_digest);
    }

    /// Removes all entries and keeps the admission levels.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.last_empty_push = LastRun::default();
        self.rebuild_digest();
    }

    /// Recomputes the digest from all entries and admission levels.
    pub(crate) fn rebuild_digest(&mut self) {
        let entries = self.entries.iter().map(|(host, weight)| entry_digest(host, *weight));
        let levels = self.admission_levels.iter().map(|(class, level)| level_digest(*class, *level));
        self.digest = entries.chain(levels).fold(0, u64::wrapping_add);
    }
}

impl PlannedEntry<'_> {
    /// The change of an entry that was last sent with `previous_weight`; `None` if that differs from the
    /// planned weight by `weight_change_ratio` at most.
    fn change_from(&self, previous_weight: f64, weight_change_ratio: f64) -> Option<EntryChange> {
        let differs = (self.weight / previous_weight - 1.0).abs() > weight_change_ratio;
        differs.then(|| EntryChange {
            host: self.host.clone(),
            weight: self.weight,
            previous_weight: Some(previous_weight),
        })
    }
}

/// The digest of an entry.
fn entry_digest(host: &HostId, weight: f64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(host.0.as_bytes(), weight.to_bits())
}

/// The digest of an admission level.
fn level_digest(class: ClassId, level: f64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&class.0.to_le_bytes(), level.to_bits())
}

/// Identifies a subset by its zone and its position there.
#[derive(Clone, Debug)]
pub(crate) struct SubsetRef {
    /// The zone of the subset.
    pub(crate) zone: ZoneId,
    /// The position of the subset in its zone.
    pub(crate) index: usize,
    /// When the subset's proxies were last sent a change.
    last_sent_at: Timestamp,
}

/// The subsets of all zones; those whose proxies have gone longest without a change come first.
pub(crate) fn subsets_by_last_sent(zones: &ByZone<Zone>) -> Vec<SubsetRef> {
    let mut subsets = Vec::new();
    for (name, zone) in zones {
        subsets.extend(zone.subsets.iter().enumerate().map(|(index, subset)| SubsetRef {
            zone: name.clone(),
            index,
            last_sent_at: subset.last_sent_at,
        }));
    }
    subsets.sort_by_key(|subset| subset.last_sent_at);
    subsets
}
