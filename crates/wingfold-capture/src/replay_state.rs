//! The tables that proxies hold after a sequence of actions. A replay keeps this state twice, for the
//! recorded and for the replayed actions, and measures how far the two diverge.

use std::collections::BTreeMap;
use wingfold_director::inspect::TableView;
use wingfold_director::interface::{Action, ClassMask, HostId, ProxyId, Retry, TableId, Timestamp};
use wingfold_director::Director;

/// The contents of a table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableState {
    /// The weight of each host.
    pub entries: BTreeMap<HostId, f64>,
    /// The admission levels, by the bits of the class mask for which a level was set.
    pub admission_levels: BTreeMap<u64, f64>,
}

impl TableState {
    /// Whether both tables are equal. Weights are compared bit for bit.
    fn is_identical(&self, other: &TableState) -> bool {
        let same_entry =
            |((host, weight), (other_host, other_weight)): ((&HostId, &f64), (&HostId, &f64))| {
                host == other_host && weight.to_bits() == other_weight.to_bits()
            };
        self.entries.len() == other.entries.len()
            && self.entries.iter().zip(&other.entries).all(same_entry)
            && self.admission_levels == other.admission_levels
    }

    /// The share of a host in the total weight of the table.
    fn share(&self, host: &HostId) -> f64 {
        let total: f64 = self.entries.values().sum();
        self.entries.get(host).map_or(0.0, |weight| weight / total.max(1e-300))
    }
}

/// The state of all proxies that follows from a director's actions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayState {
    /// The tables, by their ids.
    pub tables: BTreeMap<TableId, TableState>,
    /// The table that is assigned to a proxy, by the proxy and the bits of the class mask of the assignment.
    pub assignments: BTreeMap<(ProxyId, u64), TableId>,
    /// Whether a host is ejected from all tables, by the last action on the host.
    pub ejected: BTreeMap<HostId, bool>,
    /// The admission level and the retry policy for all proxies, by the bits of the class mask.
    pub default_admission: BTreeMap<u64, (f64, Retry)>,
}

impl ReplayState {
    /// The tables and assignments that a director has now. Ejections and the admission of all proxies are
    /// left out, as views of tables do not contain them.
    pub fn from_director(director: &Director) -> ReplayState {
        let mut state = ReplayState::default();
        for view in director.table_views() {
            state.add_table(view);
        }
        state
    }

    /// Adds a table and the assignments of its proxies.
    fn add_table(&mut self, view: TableView) {
        let TableView { table, classes, entries, admission_levels, proxies, .. } = view;
        let contents = TableState {
            entries: entries.into_iter().collect(),
            admission_levels: admission_levels
                .into_iter()
                .map(|(class, level)| (1 << class.0, level))
                .collect(),
        };
        self.tables.insert(table, contents);
        self.assignments.extend(proxies.into_iter().map(|proxy| ((proxy, classes.0), table)));
    }

    /// Applies the actions of one call. Returns the tables that the actions change, in order and without
    /// duplicates.
    pub fn apply(&mut self, actions: &[Action]) -> Vec<TableId> {
        let mut changed_tables: Vec<TableId> =
            actions.iter().filter_map(|action| self.apply_action(action)).collect();
        changed_tables.sort();
        changed_tables.dedup();
        changed_tables
    }

    /// Applies an action. Returns the table whose contents the action changes, if any.
    fn apply_action(&mut self, action: &Action) -> Option<TableId> {
        match action {
            Action::SetEntry { table, host, weight } => {
                let entries = &mut self.tables.entry(*table).or_default().entries;
                match *weight > 0.0 {
                    true => entries.insert(host.clone(), *weight),
                    false => entries.remove(host),
                };
                Some(*table)
            }
            Action::ClearTable(table) => {
                self.tables.entry(*table).or_default().entries.clear();
                Some(*table)
            }
            Action::SetAdmission { table: Some(table), classes: ClassMask(mask), level, .. } => {
                self.tables.entry(*table).or_default().admission_levels.insert(*mask, *level);
                Some(*table)
            }
            Action::SetAdmission { table: None, classes: ClassMask(mask), level, retry } => {
                self.default_admission.insert(*mask, (*level, *retry));
                None
            }
            Action::AssignTable { proxy, table, classes: ClassMask(mask) } => {
                self.assignments.insert((*proxy, *mask), *table);
                None
            }
            Action::SetEjected { host, ejected } => {
                self.ejected.insert(host.clone(), *ejected);
                None
            }
            _ => None,
        }
    }
}

/// How long and how far the recorded and the replayed state of a table have differed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Divergence {
    /// The time since which the states have differed; `None` while they are equal.
    pub since: Option<Timestamp>,
    /// The time at which the states first differed.
    pub first: Option<Timestamp>,
    /// The total length of the ended spans in which the states differed, in seconds.
    pub total_s: f64,
    /// The largest number of entries that differed at the same time.
    pub max_entries: usize,
    /// The largest share of the table's weight that was on other hosts than recorded.
    pub max_moved_share: f64,
    /// Whether admission levels have differed.
    pub admission_differs: bool,
}

impl Divergence {
    /// Compares both states of the table after the call at time `at`.
    pub fn observe(&mut self, at: Timestamp, recorded: &TableState, replayed: &TableState) {
        if recorded.is_identical(replayed) {
            self.end(at);
            return;
        }
        self.since.get_or_insert(at);
        self.first.get_or_insert(at);
        let added = replayed.entries.keys().filter(|host| !recorded.entries.contains_key(*host));
        let differs = |host: &&HostId| recorded.entries.get(*host) != replayed.entries.get(*host);
        let hosts: Vec<&HostId> = recorded.entries.keys().chain(added).filter(differs).collect();
        let moved: f64 = hosts.iter().map(|host| (recorded.share(host) - replayed.share(host)).abs()).sum();
        self.max_entries = self.max_entries.max(hosts.len());
        self.max_moved_share = self.max_moved_share.max(moved / 2.0);
        self.admission_differs |= recorded.admission_levels != replayed.admission_levels;
    }

    /// Ends the span in which the states differ, if they do, and adds its length to the total: the states are
    /// equal again, or the replay ends.
    pub fn end(&mut self, at: Timestamp) {
        self.total_s += self.since.take().map_or(0.0, |since| at.since(since));
    }
}
