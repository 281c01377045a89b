//! Tables as a listener to the orders would hold them: what recorded orders and replayed ones come to.

use std::collections::BTreeMap;
use wingfold_director::inspect::TableView;
use wingfold_director::interface::{Action, ClassMask, HostId, ProxyId, Retry, TableId, Timestamp};
use wingfold_director::Director;

/// A table's lines and levels.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Weight by host.
    pub lines: BTreeMap<HostId, f64>,
    /// Level and way of trying again, by the mask of the order.
    pub levels: BTreeMap<u64, f64>,
}

/// All tables, and who is bound to which.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mirror {
    /// By number.
    pub tables: BTreeMap<TableId, Table>,
    /// The table of a proxy for a set of classes.
    pub bound: BTreeMap<(ProxyId, u64), TableId>,
    /// Hosts shut out of all tables.
    pub withdrawn: BTreeMap<HostId, bool>,
    /// Levels for everyone.
    pub general: BTreeMap<u64, (f64, Retry)>,
}

impl Mirror {
    /// What a director holds now.
    pub fn of(director: &Director) -> Mirror {
        let mut mirror = Mirror::default();
        for TableView { table, classes, entries: lines, admission_levels: levels, proxies, .. } in
            director.table_views()
        {
            let levels = levels.into_iter().map(|(class, level)| (1 << class.0, level)).collect();
            mirror.tables.insert(table, Table { lines: lines.into_iter().collect(), levels });
            let mask = classes.0;
            mirror.bound.extend(proxies.into_iter().map(|proxy| ((proxy, mask), table)));
        }
        mirror
    }

    /// Carries out the orders of one answer; gives the tables concerned.
    pub fn apply(&mut self, actions: &[Action]) -> Vec<TableId> {
        let mut touched = Vec::new();
        for action in actions {
            match action {
                Action::SetEntry { table, host, weight } => {
                    let lines = &mut self.tables.entry(*table).or_default().lines;
                    match *weight > 0.0 {
                        true => lines.insert(host.clone(), *weight),
                        false => lines.remove(host),
                    };
                    touched.push(*table);
                }
                Action::ClearTable(table) => {
                    self.tables.entry(*table).or_default().lines.clear();
                    touched.push(*table);
                }
                Action::SetAdmission { table: Some(table), classes: ClassMask(mask), level, .. } => {
                    self.tables.entry(*table).or_default().levels.insert(*mask, *level);
                    touched.push(*table);
                }
                Action::SetAdmission { table: None, classes: ClassMask(mask), level, retry } => {
                    self.general.insert(*mask, (*level, *retry));
                }
                Action::AssignTable { proxy, table, classes: ClassMask(mask) } => {
                    self.bound.insert((*proxy, *mask), *table);
                }
                Action::SetEjected { host, ejected: on } => {
                    self.withdrawn.insert(host.clone(), *on);
                }
                _ => {}
            }
        }
        touched.sort();
        touched.dedup();
        touched
    }
}

/// How long, and how far, recorded and replayed tables were apart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Apart {
    /// Since when they are, if they are now.
    pub since: Option<Timestamp>,
    /// When they first were.
    pub first: Option<Timestamp>,
    /// For how long in all, in seconds.
    pub secs: f64,
    /// The most lines that differed at a time.
    pub lines: usize,
    /// The largest share of a table's weight that lay elsewhere.
    pub moved: f64,
    /// Levels differed as well.
    pub levels: bool,
}

impl Apart {
    /// Looks at both as they are at `at`.
    pub fn look(&mut self, at: Timestamp, was: &Table, is: &Table) {
        let equal = was.lines.len() == is.lines.len()
            && was.lines.iter().zip(&is.lines).all(|(a, b)| a.0 == b.0 && a.1.to_bits() == b.1.to_bits())
            && was.levels == is.levels;
        if equal {
            self.end(at);
            return;
        }
        self.since.get_or_insert(at);
        self.first.get_or_insert(at);
        let share = |table: &Table, host: &HostId| {
            let total: f64 = table.lines.values().sum();
            table.lines.get(host).map_or(0.0, |weight| weight / total.max(1e-300))
        };
        let differs = |host: &&HostId| was.lines.get(*host) != is.lines.get(*host);
        let more = is.lines.keys().filter(|host| !was.lines.contains_key(*host));
        let hosts: Vec<&HostId> = was.lines.keys().chain(more).filter(differs).collect();
        let moved: f64 = hosts.iter().map(|host| (share(was, host) - share(is, host)).abs()).sum();
        self.lines = self.lines.max(hosts.len());
        self.moved = self.moved.max(moved / 2.0);
        self.levels |= was.levels != is.levels;
    }

    /// They are alike again, or the capture ends.
    pub fn end(&mut self, at: Timestamp) {
        self.secs += self.since.take().map_or(0.0, |since| at.since(since));
    }
}
