//! The inputs from which the tables of a zone are planned.
use crate::director::Director;
use crate::incremental::EligibleByGroup;
use crate::interface::{HostId, ProxyId, ZoneId};
use crate::state::{ByZone, Subset, Table, WarmUp, Zone};
use std::cell::LazyCell;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The inputs that all tables of a zone share.
pub(crate) struct ZoneTableInputs {
    /// The identifiers of all hosts, by position in the host index.
    pub(crate) host_ids: Arc<Vec<HostId>>,
    /// The entries that are eligible for the tables, by group of classes.
    pub(crate) eligible: EligibleByGroup,
    /// Revision of `eligible`: it changes whenever `eligible` does.
    pub(crate) revision: u64,
    /// Admission levels by class.
    pub(crate) admission_levels: Vec<f64>,
    /// The proxies that are assigned to each subset.
    pub(crate) proxies_by_subset: Vec<Vec<ProxyId>>,
    /// Number of proxies, in all zones, that wait for an assignment.
    pub(crate) waiting_proxies: usize,
    /// Seconds for which the first of the waiting proxies has waited.
    pub(crate) longest_wait_s: f64,
}

/// The inputs that the changes of a table depend on, apart from the send capacity.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TableInputs {
    /// Revision of the entries that are eligible for the table.
    pub(crate) revision: u64,
    /// Admission levels by class.
    pub(crate) admission_levels: Vec<f64>,
    /// Where the subset's arc starts, as a ratio of the ring of hosts.
    pub(crate) start: f64,
    /// Length of the subset's arc, as a ratio of the ring of hosts.
    pub(crate) length: f64,
    /// The largest total listed weight that the table's hosts have had so far.
    pub(crate) peak_weight: f64,
    /// Whether losses are common in the zone, so that hosts that are warming up may be left out.
    pub(crate) loss_is_common: bool,
    /// Whether standby entries are planned for the table.
    pub(crate) with_standby: bool,
}

impl TableInputs {
    /// The inputs of a subset's table.
    pub(crate) fn new(
        shared: &ZoneTableInputs,
        subset: &Subset,
        table: &Table,
        loss_is_common: bool,
        with_standby: bool,
    ) -> Self {
        TableInputs {
            revision: shared.revision,
            admission_levels: shared.admission_levels.clone(),
            start: subset.start,
            length: subset.length,
            peak_weight: table.peak_weight,
            loss_is_common,
            with_standby,
        }
    }

    /// The same inputs with another peak weight.
    pub(crate) fn with_peak_weight(self, peak_weight: f64) -> Self {
        TableInputs { peak_weight, ..self }
    }
}

impl Director {
    /// The inputs that all tables of a zone share, for each zone. `waiting` are the proxies that wait for an
    /// assignment, in the order in which they connected.
    pub(crate) fn zone_table_inputs(
        &self,
        zones: &mut ByZone<Zone>,
        waiting: &[ProxyId],
    ) -> BTreeMap<ZoneId, ZoneTableInputs> {
        let quotas = self.admitted_quotas();
        let longest_wait_s = waiting.first().map_or(0.0, |id| self.now.since(self.proxies[id].connected_at));
        // Computed only if needed: warm-ups take a pass over all hosts, and most evaluations need none.
        let warm_ups: LazyCell<Vec<WarmUp>, _> = LazyCell::new(|| self.warm_ups());
        let mut proxies_by_subset = self.proxies_by_subset(zones);
        let mut inputs = BTreeMap::new();
        for (name, zone) in zones.iter_mut() {
            let eligible = self
                .eligible_by_group(zone, |zone, group| self.eligible_entries(name, zone, group, &warm_ups));
            let zone_inputs = ZoneTableInputs {
                host_ids: self.memo.host_index.ids(),
                eligible,
                revision: zone.memo.eligible_revision,
                admission_levels: self.admission_levels(name, &quotas),
                proxies_by_subset: proxies_by_subset.swap_remove(name).unwrap_or_default(),
                waiting_proxies: waiting.len(),
                longest_wait_s,
            };
            inputs.insert(name.clone(), zone_inputs);
        }
        inputs
    }

    /// The admitted ratio of the requests of each class.
    fn admitted_quotas(&self) -> Vec<f64> {
        (0..self.settings.classes.len()).map(|class| self.admitted_quota(class)).collect()
    }

    /// The admission level of each class in a zone's tables, from the admitted ratios `quotas`.
    fn admission_levels(&self, zone: &ZoneId, quotas: &[f64]) -> Vec<f64> {
        let levels = quotas.iter().enumerate();
        levels.map(|(class, quota)| self.admission_level(zone, class, *quota)).collect()
    }
}
