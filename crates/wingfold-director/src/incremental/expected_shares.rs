//! The share of a zone's attempts that the zone's tables direct to each host.
use crate::director::Director;
use crate::incremental::position_cursor;
use crate::interface::HostId;
use crate::state::{ByZone, ReportCounts, Subset, Zone};
use std::collections::BTreeSet;

/// The shares of a zone's attempts that the zone's tables direct to their hosts.
struct ExpectedShares<'a> {
    /// Shares by position in the host index; `None` for a host that is in no table.
    by_position: Vec<Option<f64>>,
    /// Hosts that are in a table but not in the host index.
    unindexed: BTreeSet<&'a HostId>,
}

impl<'a> ExpectedShares<'a> {
    /// Computes the shares from the tables of a zone's subsets. `ids` are the hosts of the host index by
    /// position, `loads` the loads of the subsets in requests per second.
    fn from_tables(subsets: &'a [Subset], ids: &[HostId], loads: &[f64]) -> ExpectedShares<'a> {
        let total_load: f64 = loads.iter().sum();
        let mut shares = ExpectedShares { by_position: vec![None; ids.len()], unindexed: BTreeSet::new() };
        for (subset, load) in subsets.iter().zip(loads) {
            let entries = &subset.tables[0].entries;
            let total_weight = entries.values().sum::<f64>() * total_load;
            let mut positions = position_cursor(ids);
            for (id, weight) in entries {
                if let Some(position) = positions.find(id) {
                    shares.add(position, load * weight / total_weight);
                } else {
                    shares.unindexed.insert(id);
                }
            }
        }
        shares
    }

    /// Adds `share` to the share of the host at `position`.
    fn add(&mut self, position: usize, share: f64) {
        let known = self.by_position[position].unwrap_or_default();
        self.by_position[position] = Some(known + share);
    }

    /// Number of hosts that are in any table.
    fn host_count(&self) -> usize {
        let indexed = self.by_position.iter().filter(|share| share.is_some()).count();
        indexed + self.unindexed.len()
    }
}

impl Zone {
    /// Updates the expected share of each host in the zone's attempts. `ids` are the hosts of the host index
    /// by position, `loads` the loads of the subsets in requests per second.
    fn update_expected_shares(&mut self, ids: &[HostId], loads: &[f64]) {
        let shares = ExpectedShares::from_tables(&self.subsets, ids, loads);
        self.hosts_in_tables = shares.host_count() as f64;
        let by_position = shares.by_position;
        let counts = self.attempts_seen;
        let mut positions = position_cursor(ids);
        for (id, stats) in &mut self.host_stats {
            let position = positions.find(id);
            stats.missed_attempts = stats.missed_attempts_by(counts.attempts);
            let report_rounds = if stats.expected_share > 0.0 {
                stats.counts_at_last_report.report_rounds
            } else {
                counts.report_rounds
            };
            stats.counts_at_last_report = ReportCounts { report_rounds, ..counts };
            stats.expected_share = position.and_then(|position| by_position[position]).unwrap_or(0.0);
            if let Some(position) = position {
                self.memo.rows.update_expected_share(position, stats);
            }
        }
        self.memo.evidence += 1;
    }
}

impl Director {
    /// Updates the expected shares of the hosts in the zones whose tables have changed. The load of a subset
    /// is that of its proxies plus `base_load`, in requests per second.
    pub(crate) fn update_changed_expected_shares(&self, zones: &mut ByZone<Zone>, base_load: f64) {
        let ids = self.memo.host_index.ids();
        for (name, zone) in zones {
            if std::mem::take(&mut zone.tables_changed) {
                let loads = self.load_by_subset(name, zone, base_load);
                zone.update_expected_shares(&ids, &loads);
            }
        }
    }
}
