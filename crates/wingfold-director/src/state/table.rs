//! Tables as they were sent, and what a table still lacks of its plan.
use crate::incremental::{HostCursor, TableInputs, UpToDate};
use crate::interface::{Action, ClassId, ClassMask, HostId, Retry, TableId, Timestamp, ZoneId};
use crate::state::{ByZone, PlannedEntry, TablePlan, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The tables that some of a zone's proxies share, and the arc of the ring of hosts that has listed weight
/// there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Subset {
    /// One table for each group of classes.
    pub(crate) tables: Vec<Table>,
    /// Where the arc starts, as a ratio of the ring.
    pub(crate) start: f64,
    /// Length of the arc, as a ratio of the ring; 0 if it has none yet, 1 for all hosts.
    pub(crate) length: f64,
    /// When its proxies were last sent a change.
    #[serde(default)]
    #[serde(rename = "sent_at")]
    pub(crate) last_sent_at: Timestamp,
}

/// An arc of the ring of hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RingArc {
    /// Where it starts, as a ratio of the ring; from 1 on it has gone round.
    pub(crate) start: f64,
    /// Its length, as a ratio of the ring.
    pub(crate) length: f64,
}

impl Subset {
    /// A subset without an arc and with empty tables, numbered from `first_table_id` on.
    pub(crate) fn new(first_table_id: u32, groups: usize) -> Subset {
        let ids = (first_table_id..).take(groups).map(TableId);
        let tables = ids.map(|id| Table { id, ..Table::default() }).collect();
        Subset { tables, start: 0.0, length: 0.0, last_sent_at: Timestamp(0) }
    }

    /// Its arc of the ring of hosts.
    pub(crate) fn arc(&self) -> RingArc {
        RingArc { start: self.start, length: self.length }
    }

    /// Gives it another arc. The weights that its tables had before say nothing of the new one.
    pub(crate) fn set_arc(&mut self, arc: RingArc) {
        self.start = arc.start;
        self.length = arc.length;
        for table in &mut self.tables {
            table.peak_weight = 0.0;
        }
    }
}

/// A table as it was sent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Table {
    /// Its number.
    pub(crate) id: TableId,
    /// Weights by host, as last sent.
    #[serde(rename = "lines")]
    pub(crate) entries: BTreeMap<HostId, f64>,
    /// Admission levels by class, as last sent.
    #[serde(rename = "levels")]
    pub(crate) admission_levels: BTreeMap<ClassId, f64>,
    /// The largest listed weight that its hosts ever had together: that of a day without faults.
    #[serde(rename = "full")]
    pub(crate) peak_weight: f64,
    /// Sum of the digests of its entries and admission levels: equal for equal contents, in whatever order
    /// they were sent.
    #[serde(skip)]
    pub(crate) digest: u64,
    /// The inputs for which all that was planned has been sent.
    #[serde(skip)]
    pub(crate) up_to_date: UpToDate<TableInputs>,
}

/// A change of a table's entry that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EntryChange {
    /// The host of the entry.
    pub(crate) host: HostId,
    /// Its new weight; 0 removes the entry.
    pub(crate) weight: f64,
    /// Its weight as last sent; `None` if the table does not hold the entry.
    pub(crate) previous_weight: Option<f64>,
}

impl EntryChange {
    /// An entry that the table does not hold yet.
    pub(crate) fn addition(host: &HostId, weight: f64) -> EntryChange {
        EntryChange { host: host.clone(), weight, previous_weight: None }
    }

    /// An entry that is removed from the table.
    pub(crate) fn removal(host: &HostId, previous_weight: f64) -> EntryChange {
        EntryChange { host: host.clone(), weight: 0.0, previous_weight: Some(previous_weight) }
    }

    /// Whether the entry loses weight or is removed.
    pub(crate) fn lowers_weight(&self) -> bool {
        self.previous_weight.is_some_and(|previous| previous > self.weight)
    }

    /// Whether the table does not hold the entry yet.
    pub(crate) fn adds_entry(&self) -> bool {
        self.previous_weight.is_none()
    }
}

/// The admission level of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClassAdmission {
    /// The class.
    pub(crate) class: ClassId,
    /// Ratio of its requests, or requests per second at each proxy, by the admission mode.
    pub(crate) level: f64,
}

/// Changes of a table that are to be sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TableChanges {
    /// Changed entries, then removed ones, then new standby entries.
    pub(crate) entries: Vec<EntryChange>,
    /// Changed admission levels.
    pub(crate) admission_levels: Vec<ClassAdmission>,
}

impl TableChanges {
    /// Whether nothing changes.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of changes; each is a line of a message.
    pub(crate) fn len(&self) -> usize {
        self.entries.len() + self.admission_levels.len()
    }
}

impl Table {
    /// Lines of a message that holds the table as a whole.
    pub(crate) fn full_lines(&self) -> usize {
        1 + self.entries.len() + self.admission_levels.len()
    }

    /// What has not been sent yet of a plan and of admission levels. Weights that differ by less than
    /// `weight_change_ratio` count as sent. Standby entries are not added here; those that the table holds
    /// stay if `with_standby`.
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

    /// The actions that send some changes.
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

    /// Records changes that have been sent.
    pub(crate) fn record_sent(&mut self, changes: TableChanges) {
        if !changes.is_empty() {
            self.up_to_date = UpToDate::default();
        }
        for change in changes.entries {
            self.record_entry(change.host, change.weight);
        }
        for admission in changes.admission_levels {
            self.record_admission(admission);
        }
    }

    /// Records the weight of an entry that has been sent.
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

    /// Records an admission level that has been sent.
    fn record_admission(&mut self, ClassAdmission { class, level }: ClassAdmission) {
        let old_level = self.admission_levels.insert(class, level);
        let old_digest = old_level.map_or(0, |old| level_digest(class, old));
        self.digest = self.digest.wrapping_add(level_digest(class, level)).wrapping_sub(old_digest);
    }

    /// Removes all entries; admission levels stay.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.up_to_date = UpToDate::default();
        self.rebuild_digest();
    }

    /// Computes the digest of all that the table holds.
    pub(crate) fn rebuild_digest(&mut self) {
        let entries = self.entries.iter().map(|(host, weight)| entry_digest(host, *weight));
        let levels = self.admission_levels.iter().map(|(class, level)| level_digest(*class, *level));
        self.digest = entries.chain(levels).fold(0, u64::wrapping_add);
    }
}

impl PlannedEntry<'_> {
    /// The change of an entry that was sent with another weight; `None` if the two differ by
    /// `weight_change_ratio` at most.
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

/// Where a subset is found.
#[derive(Clone, Debug)]
pub(crate) struct SubsetRef {
    /// Its zone.
    pub(crate) zone: ZoneId,
    /// Its position among the subsets of the zone.
    pub(crate) index: usize,
    /// When its proxies were last sent a change.
    last_sent_at: Timestamp,
}

/// The subsets of all zones, in the order in which their proxies were last sent a change.
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
