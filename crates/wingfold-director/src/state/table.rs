//! Tables as they were sent, and what a table still lacks of its plan.
use crate::incremental::{compare_hosts, TableInputs, UpToDate};
use crate::interface::{Action, ClassId, ClassMask, HostId, Retry, TableId, Timestamp, ZoneId};
use crate::state::{ByZone, TablePlan, Zone};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The tables that some of a zone's proxies share, one for each group of classes, and the part of the hosts
/// that has listed weight there: from where on the ring of hosts and how much of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Subset {
    pub(crate) tables: Vec<Table>,
    pub(crate) start: f64,
    pub(crate) length: f64,
    /// When its proxies were last sent a change.
    #[serde(default)]
    #[serde(rename = "sent_at")]
    pub(crate) last_sent_at: Timestamp,
}

impl Subset {
    /// Empty tables, numbered from `first` on.
    pub(crate) fn new(first: u32, groups: usize) -> Subset {
        let ids = (first..).take(groups).map(TableId);
        let tables = ids.map(|id| Table { id, ..Table::default() }).collect();
        Subset { tables, start: 0.0, length: 0.0, last_sent_at: Timestamp(0) }
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Table {
    pub(crate) id: TableId,
    /// What was ordered: lines, and levels by class.
    #[serde(rename = "lines")]
    pub(crate) entries: BTreeMap<HostId, f64>,
    #[serde(rename = "levels")]
    pub(crate) admission_levels: BTreeMap<ClassId, f64>,
    /// The largest weight that this table ever had open: the scale of a usual day.
    #[serde(rename = "full")]
    pub(crate) peak_weight: f64,
    /// Sum over its lines and levels, each mixed into one number: equal for equal contents, in any order of
    /// orders.
    #[serde(skip)]
    pub(crate) digest: u64,
    /// The inputs for which all that is wanted has been ordered.
    #[serde(skip)]
    pub(crate) up_to_date: UpToDate<TableInputs>,
}

/// A line of a table that is to be ordered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EntryChange {
    pub(crate) host: HostId,
    /// 0 takes the line out.
    pub(crate) weight: f64,
    /// Its weight as last ordered; `None`: the table does not hold it.
    pub(crate) previous_weight: Option<f64>,
}

impl EntryChange {
    pub(crate) fn new(id: &HostId, weight: f64, before: Option<f64>) -> EntryChange {
        EntryChange { host: id.clone(), weight, previous_weight: before }
    }

    /// Whether the line gets less, or goes.
    pub(crate) fn lowers_weight(&self) -> bool {
        self.previous_weight.is_some_and(|before| before > self.weight)
    }

    /// Whether the table does not hold the line yet.
    pub(crate) fn adds_entry(&self) -> bool {
        self.previous_weight.is_none()
    }
}

/// Lines and levels of a table that are to be ordered.
type TableChanges = (Vec<EntryChange>, Vec<(ClassId, f64)>);

impl Table {
    /// What is not yet ordered of the planned lines and the wanted levels; weights that differ by less than
    /// `same` (a share) are. Spares count only where they are held already and `spared` says that they
    /// stay.
    pub(crate) fn changes_to(
        &self,
        plan: &TablePlan,
        spared: bool,
        levels: &[(ClassId, f64)],
        same: f64,
    ) -> TableChanges {
        let (mut changes, mut removed) = (Vec::new(), Vec::new());
        let mut held = self.entries.iter().peekable();
        for line in &plan.entries {
            while let Some((id, before)) =
                held.next_if(|(id, _)| compare_hosts(id, line.host) == Ordering::Less)
            {
                removed.push(EntryChange::new(id, 0.0, Some(*before)));
            }
            let before =
                held.next_if(|(id, _)| compare_hosts(id, line.host) == Ordering::Equal).map(|(_, w)| *w);
            let differs = |before: f64| (line.weight / before - 1.0).abs() > same;
            match (line.is_standby, before) {
                (true, None) => {}
                (true, Some(_)) if !spared => removed.push(EntryChange::new(line.host, 0.0, before)),
                _ if before.is_none_or(differs) => {
                    changes.push(EntryChange::new(line.host, line.weight, before))
                }
                _ => {}
            }
        }
        removed.extend(held.map(|(id, before)| EntryChange::new(id, 0.0, Some(*before))));
        changes.append(&mut removed);
        let levels = levels.iter().filter(|(class, level)| self.admission_levels.get(class) != Some(level));
        (changes, levels.copied().collect())
    }

    /// The orders for some changes of lines and levels.
    pub(crate) fn actions<'a>(
        &self,
        lines: &'a [EntryChange],
        levels: &'a [(ClassId, f64)],
        retry: Retry,
    ) -> impl Iterator<Item = Action> + 'a {
        let id = self.id;
        let lines = lines.iter().map(move |line| Action::SetEntry {
            table: id,
            host: line.host.clone(),
            weight: line.weight,
        });
        let admit = move |(class, level): &(ClassId, f64)| Action::SetAdmission {
            table: Some(id),
            classes: ClassMask(1 << class.0),
            level: *level,
            retry,
        };
        lines.chain(levels.iter().map(admit))
    }

    /// Keeps what was ordered.
    pub(crate) fn record_sent(&mut self, changes: Vec<EntryChange>, levels: Vec<(ClassId, f64)>) {
        if !changes.is_empty() || !levels.is_empty() {
            self.up_to_date = UpToDate::default();
        }
        for EntryChange { host: id, weight, .. } in changes {
            let new = if weight > 0.0 { entry_digest(&id, weight) } else { 0 };
            let old = self.entries.get(&id).map_or(0, |old| entry_digest(&id, *old));
            self.digest = self.digest.wrapping_add(new).wrapping_sub(old);
            match weight > 0.0 {
                true => self.entries.insert(id, weight),
                false => self.entries.remove(&id),
            };
        }
        for (class, level) in levels {
            let old = self.admission_levels.insert(class, level).map_or(0, |old| level_digest(class, old));
            self.digest = self.digest.wrapping_add(level_digest(class, level)).wrapping_sub(old);
        }
    }

    /// Takes all lines out; levels stay.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.up_to_date = UpToDate::default();
        self.rebuild_digest();
    }

    /// Works the digest out from what is held.
    pub(crate) fn rebuild_digest(&mut self) {
        let lines = self.entries.iter().map(|(id, weight)| entry_digest(id, *weight));
        let levels = self.admission_levels.iter().map(|(class, level)| level_digest(*class, *level));
        self.digest = lines.chain(levels).fold(0, u64::wrapping_add);
    }
}

fn entry_digest(id: &HostId, weight: f64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.0.as_bytes(), weight.to_bits())
}

fn level_digest(class: ClassId, level: f64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&class.0.to_le_bytes(), level.to_bits())
}

/// The slots of all zones, those first whose proxies were sent nothing for longest.
pub(crate) fn subsets_by_last_sent(zones: &ByZone<Zone>) -> Vec<(ZoneId, usize)> {
    let mut turns: Vec<(Timestamp, &ZoneId, usize)> = Vec::new();
    for (name, zone) in zones {
        let slots = zone.subsets.iter().enumerate();
        turns.extend(slots.map(|(at, slot)| (slot.last_sent_at, name, at)));
    }
    turns.sort_by_key(|turn| turn.0);
    turns.into_iter().map(|(_, name, at)| (name.clone(), at)).collect()
}
