//! The steps of an evaluation that read all hosts. Each runs only if its inputs have changed or its due time
//! has come.
use crate::director::Director;
use crate::incremental::{HealthInputs, ScoringInputs, SubsetInputs, NEVER};
use crate::interface::{Micros, ZoneId};
use crate::policy::ranking::RANKING_COOLDOWN_S;
use crate::state::{ByZone, Zone};

impl Director {
    /// Detects outliers in each zone whose inputs have changed or whose detection is due.
    pub(crate) fn detect_outliers_where_changed(&mut self, zones: &mut ByZone<Zone>) {
        self.update_host_rows(zones);
        for (name, zone) in zones {
            let inputs = self.health_inputs(zone);
            if !zone.memo.health.is_current(&inputs, self.now) {
                self.detect_outliers_in(name, zone, inputs);
            }
        }
    }

    /// The present inputs of outlier detection in a zone.
    fn health_inputs(&self, zone: &Zone) -> HealthInputs {
        HealthInputs {
            evidence: zone.memo.evidence,
            hosts: self.memo.revisions.hosts,
            useless_hosts: self.memo.revisions.useless_hosts,
            counts_all_zones: self.counts_losses_of_all_zones(),
        }
    }

    /// Detects outliers in a zone and records the run with its inputs.
    fn detect_outliers_in(&mut self, name: &ZoneId, zone: &mut Zone, inputs: HealthInputs) {
        self.update_outdated_rows(zone);
        debug_assert!(self.host_rows_match_stats(name, zone), "rows of {name:?} differ from its statistics");
        let due_at = self.detect_outliers(name, zone);
        let changed_evidence = zone.memo.evidence != inputs.evidence;
        self.memo.revisions.evidence += u64::from(changed_evidence);
        zone.memo.health.record(inputs, due_at);
    }

    /// Updates scores, unless the inputs are those of a round without fresh attempts.
    pub(crate) fn update_scores_where_changed(&mut self, zones: &mut ByZone<Zone>) {
        let inputs =
            ScoringInputs { evidence: self.memo.revisions.evidence, hosts: self.memo.revisions.hosts };
        if self.memo.scoring.is_current(&inputs, self.now) {
            return;
        }
        let had_fresh_attempts = self.update_scores(zones);
        if !had_fresh_attempts {
            self.memo.scoring.record(inputs, NEVER);
        }
    }

    /// Assigns the hosts to the subsets of each zone whose inputs have changed, or whose cooldown after the
    /// last assignment is over.
    pub(crate) fn assign_subsets_where_changed(&mut self, zones: &mut ByZone<Zone>) {
        self.update_host_rows(zones);
        let cooldown = Micros::from_secs(RANKING_COOLDOWN_S);
        for (name, zone) in zones {
            let inputs = SubsetInputs {
                hosts: self.memo.revisions.hosts,
                proxies: self.memo.revisions.proxies,
                remote_discount: zone.remote_discount,
                requests_per_connection: zone.requests_per_connection,
            };
            if zone.memo.subset_assignment.is_current(&inputs, self.now) {
                continue;
            }
            let cooldown_end = zone.last_assignment.map(|last| last.assigned_at + cooldown);
            self.assign_subsets(name, zone);
            let due_at = cooldown_end.filter(|end| *end > self.now).unwrap_or(NEVER);
            zone.memo.subset_assignment.record(inputs, due_at);
        }
    }
}
