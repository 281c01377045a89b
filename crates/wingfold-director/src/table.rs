//! Tables as they were ordered, the lines that are planned for them, and what differs between the two. Nothing is decided
//! here.
use crate::derived::{order, Settled, TableInputs, Usable};
use crate::interface::*;
use crate::state::{ByZone, Director, Zone};
use serde::{Deserialize, Serialize};
use std::cell::LazyCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The tables that some of a zone's proxies share, one for each group of classes, and the part of the hosts
/// that has listed weight there: from where on the ring of hosts and how much of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Slot {
    pub(crate) tables: Vec<Table>,
    pub(crate) start: f64,
    pub(crate) length: f64,
    /// When its proxies were last sent a change.
    #[serde(default)]
    pub(crate) sent_at: Micros,
}

/// A host as a table may use it: its weight there, the factors on that, its place on the ring.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// The host's position in the roster.
    pub(crate) at: usize,
    pub(crate) weight: f64,
    pub(crate) near: f64,
    pub(crate) factor: f64,
    pub(crate) warmth: f64,
    pub(crate) cold: bool,
    /// It stands in the zone itself.
    pub(crate) own: bool,
    pub(crate) place: f64,
}

/// Gives each host its place on the ring: the zone's own hosts and the others each go round all of it, each as wide as its
/// weight. Hosts that are out have no width.
pub(crate) fn place_on_ring(lines: &mut [Line]) {
    let (mut own_end, mut others_end) = (0.0, 0.0);
    for line in lines.iter_mut() {
        let end = if line.own { &mut own_end } else { &mut others_end };
        line.place = *end + line.weight / 2.0;
        *end += if line.factor > 0.0 { line.weight } else { 0.0 };
    }
    for line in lines {
        let end = if line.own { own_end } else { others_end };
        line.place /= f64::max(end, 1e-9);
    }
}

/// What the tables of a zone have in common: usable hosts by group, levels by class, bound proxies by slot, and how many
/// proxies of all zones wait to be bound, and the first of them for how long.
pub(crate) struct Shared {
    /// All hosts by position.
    pub(crate) ids: Arc<Vec<HostId>>,
    pub(crate) usable: Usable,
    /// Changes whenever `usable` does.
    pub(crate) revision: u64,
    pub(crate) levels: Vec<f64>,
    pub(crate) users: Vec<Vec<ProxyId>>,
    pub(crate) waiting: usize,
    pub(crate) waits: f64,
}

/// A line that a table should have.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedLine<'a> {
    pub(crate) id: &'a HostId,
    pub(crate) weight: f64,
    /// At next to no weight, and laid only where there is room.
    pub(crate) spare: bool,
}

/// What a table should hold, in the order of its hosts, and the scale of a usual day.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Plan<'a> {
    pub(crate) lines: Vec<PlannedLine<'a>>,
    pub(crate) full: f64,
}

/// A line of a table that is to be ordered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LineChange {
    pub(crate) id: HostId,
    /// 0 takes the line out.
    pub(crate) weight: f64,
    /// Its weight as last ordered; `None`: the table does not hold it.
    pub(crate) before: Option<f64>,
}

impl LineChange {
    fn new(id: &HostId, weight: f64, before: Option<f64>) -> LineChange {
        LineChange { id: id.clone(), weight, before }
    }

    /// Whether the line gets less, or goes.
    pub(crate) fn is_lowered(&self) -> bool {
        self.before.is_some_and(|before| before > self.weight)
    }

    /// Whether the table does not hold the line yet.
    pub(crate) fn is_new(&self) -> bool {
        self.before.is_none()
    }
}

/// Lines and levels of a table that are to be ordered.
pub(crate) type Changes = (Vec<LineChange>, Vec<(ClassId, f64)>);

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Table {
    pub(crate) id: TableId,
    /// What was ordered: lines, and levels by class.
    pub(crate) lines: BTreeMap<HostId, f64>,
    pub(crate) levels: BTreeMap<ClassId, f64>,
    /// The largest weight that this table ever had open: the scale of a usual day.
    pub(crate) full: f64,
    /// Sum over its lines and levels, each mixed into one number: equal for equal contents, in any order of orders.
    #[serde(skip)]
    pub(crate) digest: u64,
    /// The inputs for which all that is wanted has been ordered.
    #[serde(skip)]
    pub(crate) settled: Settled<TableInputs>,
}

impl<'a> Plan<'a> {
    /// The lines that are not spares.
    pub(crate) fn main(&self) -> impl Iterator<Item = &PlannedLine<'a>> {
        self.lines.iter().filter(|line| !line.spare)
    }

    /// The lines, but no spares, for a table that is empty.
    pub(crate) fn anew(&self) -> Vec<LineChange> {
        self.main().map(|line| LineChange::new(line.id, line.weight, None)).collect()
    }

    /// The spares that a table does not hold yet.
    pub(crate) fn new_spares(&self, table: &Table) -> Vec<LineChange> {
        let new = self.lines.iter().filter(|line| line.spare && !table.lines.contains_key(line.id));
        new.map(|line| LineChange::new(line.id, line.weight, None)).collect()
    }
}

impl Slot {
    /// Empty tables, numbered from `first` on.
    pub(crate) fn new(first: u32, groups: usize) -> Slot {
        let ids = (first..).take(groups).map(TableId);
        let tables = ids.map(|id| Table { id, ..Table::default() }).collect();
        Slot { tables, start: 0.0, length: 0.0, sent_at: Micros(0) }
    }
}

impl Table {
    /// What is not yet ordered of the planned lines and the wanted levels; weights that differ by less than `same` (a
    /// share) are. Spares count only where they are held already and `spared` says that they stay.
    pub(crate) fn differences(
        &self,
        plan: &Plan,
        spared: bool,
        levels: &[(ClassId, f64)],
        same: f64,
    ) -> Changes {
        let (mut changes, mut removed) = (Vec::new(), Vec::new());
        let mut held = self.lines.iter().peekable();
        for line in &plan.lines {
            while let Some((id, before)) = held.next_if(|(id, _)| order(id, line.id) == Ordering::Less) {
                removed.push(LineChange::new(id, 0.0, Some(*before)));
            }
            let before = held.next_if(|(id, _)| order(id, line.id) == Ordering::Equal).map(|(_, w)| *w);
            let differs = |before: f64| (line.weight / before - 1.0).abs() > same;
            match (line.spare, before) {
                (true, None) => {}
                (true, Some(_)) if !spared => removed.push(LineChange::new(line.id, 0.0, before)),
                _ if before.is_none_or(differs) => {
                    changes.push(LineChange::new(line.id, line.weight, before))
                }
                _ => {}
            }
        }
        removed.extend(held.map(|(id, before)| LineChange::new(id, 0.0, Some(*before))));
        changes.append(&mut removed);
        let levels = levels.iter().filter(|(class, level)| self.levels.get(class) != Some(level));
        (changes, levels.copied().collect())
    }

    /// The orders for some changes of lines and levels.
    pub(crate) fn orders<'a>(
        &self,
        lines: &'a [LineChange],
        levels: &'a [(ClassId, f64)],
        retry: Retry,
    ) -> impl Iterator<Item = Action> + 'a {
        let id = self.id;
        let lines = lines.iter().map(move |line| Action::SetLine(id, line.id.clone(), line.weight));
        let admit = move |(class, level): &(ClassId, f64)| {
            Action::Admit(Some(id), ClassMask(1 << class.0), *level, retry)
        };
        lines.chain(levels.iter().map(admit))
    }

    /// Keeps what was ordered.
    pub(crate) fn ordered(&mut self, changes: Vec<LineChange>, levels: Vec<(ClassId, f64)>) {
        if !changes.is_empty() || !levels.is_empty() {
            self.settled = Settled::default();
        }
        for LineChange { id, weight, .. } in changes {
            let new = if weight > 0.0 { line_digest(&id, weight) } else { 0 };
            let old = self.lines.get(&id).map_or(0, |old| line_digest(&id, *old));
            self.digest = self.digest.wrapping_add(new).wrapping_sub(old);
            match weight > 0.0 {
                true => self.lines.insert(id, weight),
                false => self.lines.remove(&id),
            };
        }
        for (class, level) in levels {
            let old = self.levels.insert(class, level).map_or(0, |old| level_digest(class, old));
            self.digest = self.digest.wrapping_add(level_digest(class, level)).wrapping_sub(old);
        }
    }

    /// Takes all lines out; levels stay.
    pub(crate) fn clear(&mut self) {
        self.lines.clear();
        self.settled = Settled::default();
        self.digest_anew();
    }

    /// Works the digest out from what is held.
    pub(crate) fn digest_anew(&mut self) {
        let lines = self.lines.iter().map(|(id, weight)| line_digest(id, *weight));
        let levels = self.levels.iter().map(|(class, level)| level_digest(*class, *level));
        self.digest = lines.chain(levels).fold(0, u64::wrapping_add);
    }
}

fn line_digest(id: &HostId, weight: f64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.0.as_bytes(), weight.to_bits())
}

fn level_digest(class: ClassId, level: f64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&class.0.to_le_bytes(), level.to_bits())
}

impl Zone {
    /// Works out what part of the zone's tries each host should get by its tables, given each slot's work; `ids` are all
    /// hosts in their order, as the zone's rows have them.
    fn expect(&mut self, ids: &[HostId], work: &[f64]) {
        let total: f64 = work.iter().sum();
        let mut parts: Vec<Option<f64>> = vec![None; ids.len()];
        let mut unlisted: BTreeSet<&HostId> = BTreeSet::new();
        for (slot, work) in self.slots.iter().zip(work) {
            let lines = &slot.tables[0].lines;
            let all = lines.values().sum::<f64>() * total;
            let mut next = 0;
            for (id, weight) in lines {
                while ids.get(next).is_some_and(|other| order(other, id) == Ordering::Less) {
                    next += 1;
                }
                match parts.get_mut(next).filter(|_| order(&ids[next], id) == Ordering::Equal) {
                    Some(part) => *part = Some(part.unwrap_or_default() + work * weight / all),
                    None => drop(unlisted.insert(id)),
                }
            }
        }
        let listed = parts.iter().filter(|part| part.is_some()).count();
        self.width = (listed + unlisted.len()) as f64;
        let mut next = 0;
        for (id, path) in &mut self.paths {
            while ids.get(next).is_some_and(|other| order(other, id) == Ordering::Less) {
                next += 1;
            }
            let at =
                Some(next).filter(|at| ids.get(*at).is_some_and(|other| order(other, id) == Ordering::Equal));
            path.missed = path.missed_by(self.heard.0);
            let turns = if path.part > 0.0 { path.seen.1 } else { self.heard.1 };
            path.seen = (self.heard.0, turns);
            path.part = at.and_then(|at| parts[at]).unwrap_or(0.0);
            at.into_iter().for_each(|at| self.derived.rows.expect(at, path));
        }
        self.derived.evidence += 1;
    }
}

/// The slots of all zones, those first whose proxies were sent nothing for longest.
pub(crate) fn by_last_sent(zones: &ByZone<Zone>) -> Vec<(ZoneId, usize)> {
    let mut turns: Vec<(Micros, &ZoneId, usize)> = Vec::new();
    for (name, zone) in zones {
        let slots = zone.slots.iter().enumerate();
        turns.extend(slots.map(|(at, slot)| (slot.sent_at, name, at)));
    }
    turns.sort_by_key(|turn| turn.0);
    turns.into_iter().map(|(_, name, at)| (name.clone(), at)).collect()
}

impl Director {
    /// Works out what part of its tries each host should get in the zones whose tables have changed; each slot has at
    /// least so much work.
    pub(crate) fn expect_changed(&self, zones: &mut ByZone<Zone>, least: f64) {
        let ids = self.derived.roster.ids();
        for (name, zone) in zones {
            if std::mem::take(&mut zone.changed) {
                zone.expect(&ids, &self.work(name, zone, least));
            }
        }
    }

    /// What the tables of each zone have in common; `waiting` are the proxies that wait to be bound.
    pub(crate) fn shared(&self, zones: &mut ByZone<Zone>, waiting: &[ProxyId]) -> BTreeMap<ZoneId, Shared> {
        let shares: Vec<f64> = (0..self.set.classes.len()).map(|class| self.share(class)).collect();
        let waits = waiting.first().map_or(0.0, |id| self.now.since(self.proxies[id].joined));
        let warmths = LazyCell::new(|| self.warmths());
        let mut users = self.users(zones);
        let mut shared = BTreeMap::new();
        for (name, zone) in zones.iter_mut() {
            let usable = self.usable_lines(zone, |zone, group| self.usable(name, zone, group, &warmths));
            let levels = shares.iter().enumerate().map(|(class, share)| self.level(name, class, *share));
            let common = Shared {
                ids: self.derived.roster.ids(),
                usable,
                revision: zone.derived.revision,
                levels: levels.collect(),
                users: users.swap_remove(name).unwrap_or_default(),
                waiting: waiting.len(),
                waits,
            };
            shared.insert(name.clone(), common);
        }
        shared
    }
}
