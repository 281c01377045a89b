//! Which part of a zone's attempts each host should get by the zone's tables.
use crate::director::Director;
use crate::incremental::compare_hosts;
use crate::interface::HostId;
use crate::state::{ByZone, ReportCounts, Zone};
use std::cmp::Ordering;
use std::collections::BTreeSet;

impl Zone {
    /// Works out what part of the zone's tries each host should get by its tables, given each slot's work;
    /// `ids` are all hosts in their order, as the zone's rows have them.
    fn update_expected_shares(&mut self, ids: &[HostId], work: &[f64]) {
        let total: f64 = work.iter().sum();
        let mut parts: Vec<Option<f64>> = vec![None; ids.len()];
        let mut unlisted: BTreeSet<&HostId> = BTreeSet::new();
        for (slot, work) in self.subsets.iter().zip(work) {
            let lines = &slot.tables[0].entries;
            let all = lines.values().sum::<f64>() * total;
            let mut next = 0;
            for (id, weight) in lines {
                while ids.get(next).is_some_and(|other| compare_hosts(other, id) == Ordering::Less) {
                    next += 1;
                }
                match parts.get_mut(next).filter(|_| compare_hosts(&ids[next], id) == Ordering::Equal) {
                    Some(part) => *part = Some(part.unwrap_or_default() + work * weight / all),
                    None => drop(unlisted.insert(id)),
                }
            }
        }
        let listed = parts.iter().filter(|part| part.is_some()).count();
        self.hosts_in_tables = (listed + unlisted.len()) as f64;
        let mut next = 0;
        for (id, path) in &mut self.host_stats {
            while ids.get(next).is_some_and(|other| compare_hosts(other, id) == Ordering::Less) {
                next += 1;
            }
            let at = Some(next)
                .filter(|at| ids.get(*at).is_some_and(|other| compare_hosts(other, id) == Ordering::Equal));
            path.missed_attempts = path.missed_attempts_by(self.attempts_seen.attempts);
            let report_rounds = if path.expected_share > 0.0 {
                path.counts_at_last_report.report_rounds
            } else {
                self.attempts_seen.report_rounds
            };
            path.counts_at_last_report = ReportCounts { report_rounds, ..self.attempts_seen };
            path.expected_share = at.and_then(|at| parts[at]).unwrap_or(0.0);
            at.into_iter().for_each(|at| self.memo.rows.update_expected_share(at, path));
        }
        self.memo.evidence += 1;
    }
}

impl Director {
    /// Works out what part of its tries each host should get in the zones whose tables have changed; each
    /// slot has at least so much work.
    pub(crate) fn update_changed_expected_shares(&self, zones: &mut ByZone<Zone>, least: f64) {
        let ids = self.memo.host_index.ids();
        for (name, zone) in zones {
            if std::mem::take(&mut zone.tables_changed) {
                zone.update_expected_shares(&ids, &self.load_by_subset(name, zone, least));
            }
        }
    }
}
