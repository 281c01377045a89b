//! Runs each step that goes over all hosts where its inputs have changed or it is due.
use crate::director::Director;
use crate::incremental::{HealthInputs, Revisions, SubsetInputs, NEVER};
use crate::interface::Micros;
use crate::policy::ranking::RANKING_COOLDOWN_S;
use crate::state::{ByZone, Zone};

impl Director {
    /// Judges the hosts in each zone whose inputs have changed or that is due.
    pub(crate) fn detect_outliers_where_changed(&mut self, zones: &mut ByZone<Zone>) {
        self.update_host_rows(zones);
        for (name, zone) in zones {
            let Revisions { hosts: fleet, useless, .. } = self.memo.revisions;
            let evidence = zone.memo.evidence;
            let inputs = HealthInputs {
                evidence,
                hosts: fleet,
                useless,
                counts_all_zones: self.counts_losses_of_all_zones(),
            };
            if zone.memo.health.is_current(&inputs, self.now) {
                continue;
            }
            self.update_outdated_rows(zone);
            debug_assert!(self.host_rows_match_stats(name, zone), "rows of {name:?} differ from its paths");
            let due = self.detect_outliers(name, zone);
            self.memo.revisions.evidence += u64::from(zone.memo.evidence != evidence);
            zone.memo.health.record(inputs, due);
        }
    }

    /// Makes a round's figures, unless nothing was heard since one that had nothing fresh.
    pub(crate) fn update_scores_where_changed(&mut self, zones: &mut ByZone<Zone>) {
        let inputs = (self.memo.revisions.evidence, self.memo.revisions.hosts);
        if !self.memo.scoring.is_current(&inputs, self.now) && !self.update_scores(zones) {
            self.memo.scoring.record(inputs, NEVER);
        }
    }

    /// Deals the hosts of each zone whose inputs have changed, or whose rest after the last dealing is over.
    pub(crate) fn assign_subsets_where_changed(&mut self, zones: &mut ByZone<Zone>) {
        self.update_host_rows(zones);
        let rest = Micros::from_secs(RANKING_COOLDOWN_S);
        for (name, zone) in zones {
            let Revisions { hosts: fleet, proxies, .. } = self.memo.revisions;
            let inputs = SubsetInputs {
                hosts: fleet,
                proxies,
                remote_discount: zone.remote_discount,
                requests_per_connection: zone.requests_per_connection,
            };
            if zone.memo.subset_assignment.is_current(&inputs, self.now) {
                continue;
            }
            let rest_end = zone.last_assignment.map(|last| last.assigned_at + rest);
            self.assign_subsets(name, zone);
            let due = rest_end.filter(|end| *end > self.now).unwrap_or(NEVER);
            zone.memo.subset_assignment.record(inputs, due);
        }
    }
}
