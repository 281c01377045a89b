//! Assignment of proxies that have connected to subsets and their tables.
use crate::director::Director;
use crate::interface::{Action, ClassMask, ProxyId, ZoneId};
use crate::policy::send_capacity::PushPriority;
use crate::state::{ByZone, Table, Zone};
use std::collections::BTreeMap;

/// The mask that stands for every class.
const ALL_CLASSES: ClassMask = ClassMask(0);

/// The position of the subset with the least load; the first of those with equal loads.
fn least_loaded_subset(loads: &[f64]) -> Option<usize> {
    (0..loads.len()).min_by(|one, other| loads[*one].total_cmp(&loads[*other]))
}

impl Director {
    /// Assigns each waiting proxy to the subset with the least load in its zone, if the send capacity admits
    /// its tables and they have entries by now.
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
            // All classes at once: one that kept the table of another subset would get no changes of it.
            let lines = tables.iter().map(Table::full_lines).sum();
            let has_no_entries = tables.iter().all(|table| table.entries.is_empty());
            if has_no_entries || !self.has_capacity(PushPriority::ASSIGNMENT, lines, &[id]) {
                continue;
            }
            loads[subset] += requests_per_s;
            self.assign_tables(id, tables, out);
            self.record_messages(lines, &[id]);
            self.record_assignment(id, subset);
        }
    }

    /// Assigns a proxy the table of each group of classes.
    fn assign_tables(&self, proxy: ProxyId, tables: &[Table], out: &mut Vec<Action>) {
        for (group, table) in self.class_groups.iter().zip(tables) {
            let is_only_group = self.class_groups.len() == 1;
            let classes = if is_only_group { ALL_CLASSES } else { ClassMask(group.classes) };
            out.push(Action::AssignTable { proxy, table: table.id, classes });
        }
    }

    /// Records that a proxy is assigned to a subset.
    fn record_assignment(&mut self, id: ProxyId, subset: usize) {
        self.memo.revisions.proxies += 1;
        if let Some(proxy) = self.proxies.get_mut(&id) {
            proxy.subset = Some(subset);
            proxy.awaiting_assignment = false;
        }
    }

    /// The proxies that wait for an assignment, in the order in which they connected; of those that
    /// connected at once, the ones with most traffic first.
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
