//! What a table should hold: eligible entries, their weights, and standby entries.
use crate::director::Director;
use crate::incremental::{HostInZone, ZoneTableInputs};
use crate::interface::ZoneId;
use crate::policy::outlier_detection::{COMMON_LOSS_RATIO, PROBATION_WEIGHT_RATIO};
use crate::policy::subsetting::MIN_SUBSET_HOSTS;
use crate::state::{
    place_on_ring, EligibleEntry, HealthState, Host, PlannedEntry, Subset, TablePlan, WarmUp, Zone,
};
use crate::statistics::nth_least;

/// Weight ratio of a standby entry: proxies use it only if all others fail.
const STANDBY_WEIGHT_RATIO: f64 = 1.0 / 2048.0;
/// Ratio of the load that a host survives while it warms up that it is given.
const WARM_UP_BUDGET_RATIO: f64 = 0.5;
/// Utilization of the fleet that this budget assumes.
const ASSUMED_UTILIZATION: f64 = 0.75;
/// Ratio of the peak weight that warm hosts must hold for hosts that warm up to wait.
const MIN_WARM_WEIGHT_RATIO: f64 = 0.2;

impl Director {
    /// The hosts that a zone's proxies may use for a group of classes.
    pub(crate) fn eligible_entries(
        &self,
        name: &ZoneId,
        zone: &Zone,
        group: usize,
        warmths: &[WarmUp],
    ) -> Vec<EligibleEntry> {
        let mut lines = Vec::with_capacity(self.hosts.len());
        let open = |h: &Host| h.is_ready() && self.class_groups[group].allows(name, &h.endpoint);
        for HostInZone { index: at, host, health, stats: path, .. } in
            self.hosts_in_zone(zone).filter(|of| open(of.host))
        {
            let factor = match path.health {
                HealthState::Healthy => 0.5f64.powi(path.weight_halvings as i32),
                HealthState::Probation { .. } => PROBATION_WEIGHT_RATIO,
                HealthState::Ejected { .. } => 0.0,
            };
            let (weight, own) = (host.weight, health.in_own_zone);
            let (near, WarmUp { slow_start_factor: warmth, is_warming_up: cold }) =
                (zone.locality_weight(own), warmths[at]);
            lines.push(EligibleEntry {
                index: at,
                weight,
                locality_weight: near,
                health_factor: factor,
                slow_start_factor: warmth,
                is_warming_up: cold,
                in_own_zone: own,
                ring_position: 0.0,
            });
        }
        place_on_ring(&mut lines);
        lines
    }

    /// The lines of a table at their weights, its spares, and the scale of a usual day.
    pub(crate) fn plan_table<'a>(
        &self,
        zone: &Zone,
        shared: &'a ZoneTableInputs,
        group: usize,
        slot: &Subset,
        full: f64,
    ) -> TablePlan<'a> {
        let usable = &shared.eligible[group];
        let whole = slot.length >= 1.0; // In a part, fewer hosts of other zones stand for less weight of all.
        let weight = |l: &EligibleEntry| if whole { l.weight * l.locality_weight } else { l.weight };
        let far = |l: &EligibleEntry| {
            if whole {
                0.0
            } else {
                (l.ring_position - slot.start).rem_euclid(1.0) / l.locality_weight
            }
        };
        let far: Vec<f64> = usable.iter().map(far).collect();
        let warm = usable.iter().zip(&far).filter(|(l, _)| !l.is_warming_up && l.health_factor > 0.0);
        let last = nth_least(warm.map(|(_, far)| *far), MIN_SUBSET_HOSTS as usize);
        let reach = slot.length.max(last.map_or(0.0, |last| last + 1e-9));
        let mut lines: Vec<PlannedEntry> = Vec::with_capacity(usable.len());
        let planned = |l: &EligibleEntry, weight, spare| PlannedEntry {
            host: &shared.host_ids[l.index],
            weight,
            is_standby: spare,
        };
        // Cold hosts that have a line, and where.
        let mut cold: Vec<(&EligibleEntry, usize)> = Vec::new();
        let (mut usual, mut warm, mut rest) = (0.0, 0.0, 0.0);
        for (line, far) in usable.iter().zip(far) {
            let (base, factor) = (weight(line), line.health_factor);
            if far >= reach {
                if !line.is_warming_up {
                    lines.push(planned(line, base * STANDBY_WEIGHT_RATIO, true));
                }
                continue;
            }
            usual += base;
            if line.is_warming_up {
                cold.extend((factor > 0.0).then_some((line, lines.len())));
            } else {
                warm += base;
                rest += base * factor;
            }
            if factor > 0.0 {
                lines.push(planned(line, base * factor.min(line.slow_start_factor), false));
            }
        }
        // Never empty: whatever was judged above, a warm host that the list shows as ready stays.
        if rest == 0.0 && usable.iter().any(|l| !l.is_warming_up) || lines.iter().all(|l| l.is_standby) {
            lines = usable.iter().map(|l| planned(l, weight(l) * l.slow_start_factor, false)).collect();
            cold = usable.iter().zip(0..).filter(|(l, _)| l.is_warming_up).collect();
            rest = usable.iter().filter(|l| !l.is_warming_up).map(weight).sum();
            (usual, warm) = (usable.iter().map(weight).sum(), rest);
        }
        let full = full.max(usual);
        // Cold hosts wait while losses are common: proxies avoid most other lines by their own count, and all
        // of it would fall on the newcomer. Warm hosts count by listed weight, whatever a strain left.
        let waits = warm >= MIN_WARM_WEIGHT_RATIO * full && zone.baseline_loss >= COMMON_LOSS_RATIO;
        cold.retain(|_| rest > 0.0);
        for (line, at) in cold.iter().filter(|_| !waits) {
            // Few hosts left: what the others no longer carry must not push a cold host over.
            let budget = self.settings.overload_factor * line.slow_start_factor * WARM_UP_BUDGET_RATIO
                / ASSUMED_UTILIZATION;
            let share = (budget * weight(line) / full).min(0.9);
            lines[*at].weight = lines[*at].weight.min(share / (1.0 - share) * rest);
        }
        if waits {
            let (mut waiting, mut next) = (cold.iter().map(|(_, at)| *at).peekable(), 0..);
            lines.retain(|_| next.next().is_none_or(|at| waiting.next_if_eq(&at).is_none()));
        }
        TablePlan { entries: lines, peak_weight: full }
    }
}
