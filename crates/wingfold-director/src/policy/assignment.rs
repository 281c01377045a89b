//! Assignment of connected proxies to subsets, and so to the tables of these subsets.
use crate::director::Director;
use crate::interface::{Action, ClassMask, ProxyId, ZoneId};
use crate::policy::message_limit::MessageBudget;
use crate::policy::send_capacity::PushPriority;
use crate::state::{ByZone, Table, Zone};
use std::collections::BTreeMap;

/// The value of a class mask that stands for all classes.
const ALL_CLASSES: ClassMask = ClassMask(0);

/// The index of the subset with the least load; among equal loads, the lowest index.
fn least_loaded_subset(loads: &[f64]) -> Option<usize> {
    (0..loads.len()).min_by(|one, other| loads[*one].total_cmp(&loads[*other]))
}

impl Director {
    /// Assigns each waiting proxy to the subset with the least load in its zone. A proxy keeps waiting while
    /// all tables of that subset are empty, or while they exceed the send capacity.
    pub(crate) fn assign_proxies(
        &mut self,
        zones: &ByZone<Zone>,
        waiting: Vec<ProxyId>,
        out: &mut Vec<Action>,
    ) {
        let mut loads: BTreeMap<ZoneId, Vec<f64>> =
            zones.iter().map(|(name, zone)| (name.clone(), self.load_by_subset(name, zone, 0.0))).collect();
        for id in waiting {
            let proxy = &self.proxies[&id];
            let requests_per_s = proxy.requests_per_s;
            let Some(loads) = loads.get_mut(&proxy.zone) else { continue };
            let Some(subset) = least_loaded_subset(loads) else { continue };
            let tables = &zones[&proxy.zone].subsets[subset].tables;
            // The tables of all classes are assigned at once: a class that kept the table of another subset
            // would receive no further changes of that table.
            let lines = tables.iter().map(Table::full_lines).sum();
            let all_are_empty = tables.iter().all(|table| table.entries.is_empty());
            let budget = MessageBudget::Full;
            if all_are_empty || !self.has_capacity(PushPriority::ASSIGNMENT, budget, lines, &[id]) {
                continue;
            }
            loads[subset] += requests_per_s;
            self.assign_tables(id, tables, out);
            self.record_messages(lines, &[id]);
            self.record_assignment(id, subset);
        }
    }

    /// Appends the actions that assign a proxy one table for each group of classes.
    fn assign_tables(&self, proxy: ProxyId, tables: &[Table], out: &mut Vec<Action>) {
        for (group, table) in self.class_groups.iter().zip(tables) {
            let is_only_group = self.class_groups.len() == 1;
            let classes = if is_only_group { ALL_CLASSES } else { ClassMask(group.classes) };
            out.push(Action::AssignTable { proxy, table: table.id, classes });
        }
    }

    /// Records the subset that a proxy is assigned to, and that the proxy no longer waits.
    fn record_assignment(&mut self, id: ProxyId, subset: usize) {
        self.memo.revisions.proxies += 1;
        if let Some(proxy) = self.proxies.get_mut(&id) {
            proxy.subset = Some(subset);
            proxy.awaiting_assignment = false;
        }
    }

    /// The proxies that wait for an assignment, in the order in which they connected. Proxies that connected
    /// at the same time are ordered by their requests per second, highest first.
    pub(crate) fn proxies_awaiting_assignment(&self) -> Vec<ProxyId> {
        let waiting = self.proxies.iter().filter(|(_, proxy)| proxy.awaiting_assignment);
        let mut waiting: Vec<ProxyId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_by(|one, other| {
            let one = &self.proxies[one];
            let other = &self.proxies[other];
            let by_traffic = || other.requests_per_s.total_cmp(&one.requests_per_s);
            one.connected_at.cmp(&other.connected_at).then_with(by_traffic)
        });
        waiting
    }
}
