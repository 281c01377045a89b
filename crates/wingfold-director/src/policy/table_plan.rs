//! Plans of tables: which eligible hosts a table should hold, at which weights, and its standby entries.
use crate::director::Director;
use crate::incremental::{HostInZone, StatsRow, ZoneTableInputs};
use crate::interface::{HostId, ZoneId};
use crate::policy::outlier_detection::{COMMON_LOSS_RATIO, PROBATION_WEIGHT_RATIO};
use crate::policy::subsetting::MIN_SUBSET_HOSTS;
use crate::state::{
    place_on_ring, EligibleEntry, HealthState, PlannedEntry, RingArc, Subset, TablePlan, WarmUp, Zone,
};
use crate::statistics::nth_least;

/// Weight ratio of a standby entry: proxies use it only if all others fail.
const STANDBY_WEIGHT_RATIO: f64 = 1.0 / 2048.0;
/// Ratio of the load that a host withstands while it warms up that its weight is limited to.
const WARM_UP_BUDGET_RATIO: f64 = 0.5;
/// Utilization of the fleet that the limit on hosts that are warming up is computed for.
const ASSUMED_UTILIZATION: f64 = 0.75;
/// Largest share of a table's attempts that one host gets while it warms up.
const MAX_WARM_UP_SHARE: f64 = 0.9;
/// Ratio of a table's peak weight that warm hosts must hold for the table to leave out hosts that are warming
/// up while losses are common.
const MIN_WARM_WEIGHT_RATIO: f64 = 0.2;
/// Distance by which an arc reaches beyond the last host that it must hold, as a ratio of the ring: the end
/// of an arc is exclusive.
const RING_DISTANCE_TOLERANCE: f64 = 1e-9;

/// Factor on the weight of a host for its health and its ranking in a zone.
fn health_factor(stats: &StatsRow) -> f64 {
    match stats.health {
        HealthState::Healthy => 0.5f64.powi(stats.weight_halvings as i32),
        HealthState::Probation { .. } => PROBATION_WEIGHT_RATIO,
        HealthState::Ejected { .. } => 0.0,
    }
}

/// An entry of a host that is warming up.
struct WarmingEntry<'a> {
    /// The host, and what its weight depends on.
    eligible: &'a EligibleEntry,
    /// Its position among the entries of the plan.
    position: usize,
}

/// A table while it is planned: entries in the order of their hosts, and sums over the active hosts (on the
/// arc, or all hosts where no warm host on the arc is in use).
#[derive(Default)]
struct DraftTable<'a> {
    /// The entries.
    entries: Vec<PlannedEntry<'a>>,
    /// The entries of hosts that are warming up.
    warming_up: Vec<WarmingEntry<'a>>,
    /// Listed weight of the active hosts, whatever their health and warm-up.
    listed_weight: f64,
    /// Listed weight of the active hosts that are not warming up.
    warm_weight: f64,
    /// Weight of the active hosts that are not warming up, multiplied by their health factors.
    healthy_warm_weight: f64,
}

impl DraftTable<'_> {
    /// Removes the entries of hosts that are warming up.
    fn remove_warming_up(&mut self) {
        let mut warming_up = self.warming_up.iter().map(|entry| entry.position).peekable();
        let mut position = 0;
        self.entries.retain(|_| {
            let is_warming_up = warming_up.next_if_eq(&position).is_some();
            position += 1;
            !is_warming_up
        });
    }
}

/// Plans the table of a subset from the entries that it may hold.
struct TablePlanner<'a> {
    /// The entries that the table may hold.
    eligible: &'a [EligibleEntry],
    /// All hosts by position.
    host_ids: &'a [HostId],
    /// The arc of the ring whose hosts have listed weight; hosts beyond it are standby entries.
    arc: RingArc,
}

impl<'a> TablePlanner<'a> {
    /// Whether the arc covers the ring, so that all hosts have listed weight.
    fn covers_ring(&self) -> bool {
        self.arc.length >= 1.0
    }

    /// The weight of a host before the factors for its health and slow start. Locality reduces the weight of
    /// hosts of other zones only where the arc covers the ring. On a shorter arc it reduces their number, by
    /// their ring distance.
    fn weight(&self, entry: &EligibleEntry) -> f64 {
        if self.covers_ring() {
            entry.weight * entry.locality_weight
        } else {
            entry.weight
        }
    }

    /// The distance of a host from the start of the arc, as a ratio of the ring. It is divided by the host's
    /// locality weight, so that fewer hosts of other zones lie on the arc.
    fn ring_distance(&self, entry: &EligibleEntry) -> f64 {
        if self.covers_ring() {
            0.0
        } else {
            (entry.ring_position - self.arc.start).rem_euclid(1.0) / entry.locality_weight
        }
    }

    /// The ring distance at which the arc ends. The arc is extended until it holds the least number of warm
    /// hosts of a subset.
    fn arc_end(&self, distances: &[f64]) -> f64 {
        let is_warm = |entry: &EligibleEntry| !entry.is_warming_up && entry.health_factor > 0.0;
        let warm = self.eligible.iter().zip(distances).filter(|(entry, _)| is_warm(entry));
        let last_needed = nth_least(warm.map(|(_, distance)| *distance), MIN_SUBSET_HOSTS as usize);
        self.arc.length.max(last_needed.map_or(0.0, |distance| distance + RING_DISTANCE_TOLERANCE))
    }

    /// The planned entry of a host.
    fn planned_entry(&self, entry: &EligibleEntry, weight: f64, is_standby: bool) -> PlannedEntry<'a> {
        PlannedEntry { host: &self.host_ids[entry.index], weight, is_standby }
    }

    /// The hosts on the arc as active entries, and the warm hosts beyond the arc as standby entries.
    fn draft_arc(&self) -> DraftTable<'a> {
        let distances: Vec<f64> = self.eligible.iter().map(|entry| self.ring_distance(entry)).collect();
        let arc_end = self.arc_end(&distances);
        let mut draft =
            DraftTable { entries: Vec::with_capacity(self.eligible.len()), ..DraftTable::default() };
        for (entry, distance) in self.eligible.iter().zip(distances) {
            let is_beyond_arc = distance >= arc_end;
            if !is_beyond_arc {
                self.add_active(&mut draft, entry);
            } else if !entry.is_warming_up {
                let standby_weight = self.weight(entry) * STANDBY_WEIGHT_RATIO;
                draft.entries.push(self.planned_entry(entry, standby_weight, true));
            }
        }
        draft
    }

    /// Adds a host on the arc. An ejected host gets no entry, but its weight counts in the sums.
    fn add_active(&self, draft: &mut DraftTable<'a>, entry: &'a EligibleEntry) {
        let weight = self.weight(entry);
        let is_in_use = entry.health_factor > 0.0;
        draft.listed_weight += weight;
        if !entry.is_warming_up {
            draft.warm_weight += weight;
            draft.healthy_warm_weight += weight * entry.health_factor;
        } else if is_in_use {
            draft.warming_up.push(WarmingEntry { eligible: entry, position: draft.entries.len() });
        }
        if is_in_use {
            let factor = entry.health_factor.min(entry.slow_start_factor);
            draft.entries.push(self.planned_entry(entry, weight * factor, false));
        }
    }

    /// All hosts as active entries, whatever their health and their position on the ring.
    fn draft_all_hosts(&self) -> DraftTable<'a> {
        let planned = |entry: &EligibleEntry| {
            self.planned_entry(entry, self.weight(entry) * entry.slow_start_factor, false)
        };
        let warming_up = self.eligible.iter().zip(0..).filter(|(entry, _)| entry.is_warming_up);
        let warm = self.eligible.iter().filter(|entry| !entry.is_warming_up);
        let warm_weight = warm.map(|entry| self.weight(entry)).sum();
        DraftTable {
            entries: self.eligible.iter().map(planned).collect(),
            warming_up: warming_up.map(|(eligible, position)| WarmingEntry { eligible, position }).collect(),
            listed_weight: self.eligible.iter().map(|entry| self.weight(entry)).sum(),
            warm_weight,
            healthy_warm_weight: warm_weight,
        }
    }

    /// The table before hosts that are warming up are limited. If no warm host on the arc is in use, the
    /// table holds all hosts that the endpoint list shows as ready, whatever their health, so that it is not
    /// left empty.
    fn draft(&self) -> DraftTable<'a> {
        let draft = self.draft_arc();
        let lacks_warm_hosts =
            draft.healthy_warm_weight == 0.0 && self.eligible.iter().any(|entry| !entry.is_warming_up);
        if lacks_warm_hosts || draft.entries.iter().all(|entry| entry.is_standby) {
            self.draft_all_hosts()
        } else {
            draft
        }
    }

    /// Limits the weight of each host that is warming up to the load that the host withstands: where few
    /// hosts are left, the load that the others no longer carry must not overload it.
    fn limit_warming_up(&self, draft: &mut DraftTable, peak_weight: f64, overload_factor: f64) {
        for WarmingEntry { eligible, position } in &draft.warming_up {
            let budget =
                overload_factor * eligible.slow_start_factor * WARM_UP_BUDGET_RATIO / ASSUMED_UTILIZATION;
            let share = (budget * self.weight(eligible) / peak_weight).min(MAX_WARM_UP_SHARE);
            let max_weight = share / (1.0 - share) * draft.healthy_warm_weight;
            let entry = &mut draft.entries[*position];
            entry.weight = entry.weight.min(max_weight);
        }
    }
}

impl Director {
    /// The hosts that a zone's proxies may use for a group of classes. `warm_ups` are the warm-up states of
    /// all hosts, by their position in the host index.
    pub(crate) fn eligible_entries(
        &self,
        name: &ZoneId,
        zone: &Zone,
        group: usize,
        warm_ups: &[WarmUp],
    ) -> Vec<EligibleEntry> {
        let group = &self.class_groups[group];
        let is_eligible = |candidate: &HostInZone| {
            candidate.host.is_ready() && group.allows(name, &candidate.host.endpoint)
        };
        let mut entries = Vec::with_capacity(self.hosts.len());
        for candidate in self.hosts_in_zone(zone).filter(is_eligible) {
            let in_own_zone = candidate.health.in_own_zone;
            let warm_up = warm_ups[candidate.index];
            entries.push(EligibleEntry {
                index: candidate.index,
                weight: candidate.host.weight,
                locality_weight: zone.locality_weight(in_own_zone),
                health_factor: health_factor(candidate.stats),
                slow_start_factor: warm_up.slow_start_factor,
                is_warming_up: warm_up.is_warming_up,
                in_own_zone,
                ring_position: 0.0,
            });
        }
        place_on_ring(&mut entries);
        entries
    }

    /// What the table of a subset should hold for a group of classes. `peak_weight` is the largest listed
    /// weight that the table's hosts have had together so far.
    pub(crate) fn plan_table<'a>(
        &self,
        zone: &Zone,
        zone_inputs: &'a ZoneTableInputs,
        group: usize,
        subset: &Subset,
        peak_weight: f64,
    ) -> TablePlan<'a> {
        let planner = TablePlanner {
            eligible: &zone_inputs.eligible[group],
            host_ids: &zone_inputs.host_ids,
            arc: subset.arc(),
        };
        let mut draft = planner.draft();
        let peak_weight = peak_weight.max(draft.listed_weight);
        // While losses are common, proxies avoid most warm hosts by their own count of failures, and a host
        // that is warming up would get all attempts. Warm hosts count with their listed weight, since a long
        // fault reduces their weight by health.
        let has_warm_hosts = draft.warm_weight >= MIN_WARM_WEIGHT_RATIO * peak_weight;
        if draft.healthy_warm_weight > 0.0 {
            if has_warm_hosts && zone.baseline_loss >= COMMON_LOSS_RATIO {
                draft.remove_warming_up();
            } else {
                planner.limit_warming_up(&mut draft, peak_weight, self.settings.overload_factor);
            }
        }
        TablePlan { entries: draft.entries, peak_weight }
    }
}
