//! Assignment of connected proxies to subsets, and so to the tables of these subsets.
use crate::director::Director;
use crate::incremental::ZoneTableInputs;
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

/// Lines of a message that assigns all of `tables`.
fn full_lines(tables: &[Table]) -> usize {
    tables.iter().map(Table::full_lines).sum()
}

impl Director {
    /// Assigns each waiting proxy to the subset with the least load in its zone.
    pub(crate) fn assign_proxies(
        &mut self,
        zones: &mut ByZone<Zone>,
        inputs: &BTreeMap<ZoneId, ZoneTableInputs>,
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
            let zone_inputs = &inputs[&proxy.zone];
            let Some(zone) = zones.get_mut(&proxy.zone) else { continue };
            if self.assign_proxy(id, zone, zone_inputs, subset, out) {
                loads[subset] += requests_per_s;
            }
        }
    }

    /// Assigns a proxy to a subset; returns whether it was assigned. It keeps waiting while all tables of the
    /// subset are empty, while they exceed the send capacity, or while the limit on messages lets it wait.
    fn assign_proxy(
        &mut self,
        id: ProxyId,
        zone: &mut Zone,
        zone_inputs: &ZoneTableInputs,
        subset: usize,
        out: &mut Vec<Action>,
    ) -> bool {
        let tables = &zone.subsets[subset].tables;
        if tables.iter().all(|table| table.entries.is_empty()) {
            return false;
        }
        let waiting_proxies = zone_inputs.waiting_proxies;
        let due_at = self.assignment_due_at(&self.proxies[&id], full_lines(tables), waiting_proxies);
        let budget = self.message_budget(due_at);
        if self.await_removals(tables) {
            // One message must do for the tables and the removals.
            if budget == MessageBudget::Surplus {
                self.evaluate_by(due_at);
                return false;
            }
            self.push_subset(zone, zone_inputs, subset, self.now, out);
        }
        // The tables of all classes are assigned at once: a class that kept the table of another subset would
        // receive no further changes of that table.
        let tables = &zone.subsets[subset].tables;
        let lines = full_lines(tables);
        if !self.has_capacity(PushPriority::ASSIGNMENT, budget, lines, &[id]) {
            self.evaluate_by(due_at);
            return false;
        }
        self.assign_tables(id, tables, out);
        self.record_messages(lines, &[id]);
        self.record_assignment(id, subset);
        true
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
