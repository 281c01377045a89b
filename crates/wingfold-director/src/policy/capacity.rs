//! Capacity estimation: the relative speed of machine types, from the utilization of their hosts at equal
//! load per listed weight.
use crate::director::Director;
use crate::interface::Notice;
use crate::policy::admission::SATURATED_UTILIZATION;
use crate::policy::ranking::{RANKING_COOLDOWN_S, SCORE_MARGIN_RATIO};
use crate::state::{ByZone, Host, Zone};
use crate::statistics::median;
use std::collections::BTreeMap;

/// Median utilization of a machine type from which its speed is estimated: at a lower utilization, health
/// checks and chance outweigh the effect of the load.
const MIN_MEANINGFUL_UTILIZATION: f64 = 0.25;
/// Number of hosts of a machine type with comparable utilization from which its speed is estimated.
const MIN_HOSTS_OF_TYPE: usize = 6;

/// The speed of a machine type, estimated from the utilization of its hosts.
struct SpeedEstimate {
    /// The machine type.
    machine_type: String,
    /// The relative speed that the weights of its hosts are corrected by so far, if any.
    known: Option<f64>,
    /// Speed per listed weight, in an arbitrary unit that is the same for all machine types.
    speed: f64,
}

impl Director {
    /// Corrects listed weights by the relative speed of machine types, which the endpoint list may leave out:
    /// a faster type has a lower utilization at the same load per listed weight. Medians of the types are
    /// compared, since a single host that is slow for its type is left to the ranking.
    pub(crate) fn estimate_capacity(&mut self, zones: &ByZone<Zone>) {
        self.update_reduced_hosts(zones);
        let has_cooled_down =
            self.speeds_updated_at.is_none_or(|at| self.now.since(at) >= RANKING_COOLDOWN_S);
        // Saturated hosts have the same utilization, whatever their speed.
        let is_measurable = has_cooled_down && self.utilization < SATURATED_UTILIZATION;
        if !is_measurable {
            return;
        }
        let estimates = self.speed_estimates();
        let fastest = estimates.iter().map(|estimate| estimate.speed).fold(0.0, f64::max);
        for estimate in estimates {
            self.apply_speed_estimate(estimate, fastest);
        }
    }

    /// The speed of each machine type with enough hosts and enough load for an estimate.
    fn speed_estimates(&self) -> Vec<SpeedEstimate> {
        let utilization_by_type = self.utilization_by_machine_type().into_iter();
        utilization_by_type
            .filter(|(_, utilizations)| utilizations.len() >= MIN_HOSTS_OF_TYPE)
            .filter_map(|(machine_type, utilizations)| self.speed_estimate(machine_type, utilizations))
            .collect()
    }

    /// The speed of a machine type by the utilization of its hosts; `None` if the median utilization is too
    /// low for an estimate.
    fn speed_estimate(&self, machine_type: &str, utilizations: Vec<f64>) -> Option<SpeedEstimate> {
        let utilization = median(utilizations.into_iter())?;
        let is_meaningful = utilization >= MIN_MEANINGFUL_UTILIZATION;
        let known = self.relative_speeds.get(machine_type).copied();
        let speed = known.unwrap_or(1.0) / utilization;
        is_meaningful.then(|| SpeedEstimate { machine_type: machine_type.to_owned(), known, speed })
    }

    /// Corrects the weights of a machine type's hosts if the estimated speed differs substantially from the
    /// one that the weights are corrected by so far.
    fn apply_speed_estimate(&mut self, estimate: SpeedEstimate, fastest: f64) {
        let previous = estimate.known.unwrap_or(1.0);
        let measured = estimate.speed / fastest;
        let differs = (measured / previous - 1.0).abs() >= SCORE_MARGIN_RATIO;
        if !differs {
            return;
        }
        // Smoothed, since utilization lags behind the load and depends on the traffic of other directors.
        let relative_speed = estimate.known.map_or(measured, |known| (known + measured) / 2.0);
        let machine_type = estimate.machine_type;
        self.notices
            .push(Notice::RelativeSpeedChanged { machine_type: machine_type.clone(), relative_speed });
        for host in self.hosts.values_mut().filter(|host| host.endpoint.machine_type == machine_type) {
            host.weight *= relative_speed / previous;
        }
        self.relative_speeds.insert(machine_type, relative_speed);
        self.speeds_updated_at = Some(self.now);
        self.memo.weights_changed();
    }

    /// The utilizations of comparable hosts by machine type. Hosts at reduced weight are not comparable.
    fn utilization_by_machine_type(&self) -> BTreeMap<&str, Vec<f64>> {
        let mut utilization_by_type: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for (host, is_reduced) in self.hosts.values().zip(self.reduced_hosts()) {
            if *is_reduced {
                continue;
            }
            if let Some(utilization) = self.comparable_utilization(host) {
                utilization_by_type.entry(&host.endpoint.machine_type).or_default().push(utilization);
            }
        }
        utilization_by_type
    }

    /// A host's recent utilization; `None` if the host is not ready, is warming up or reported none above 0.
    fn comparable_utilization(&self, host: &Host) -> Option<f64> {
        if !host.is_ready() || self.age_in_warm_ups(host) < 1.0 {
            return None;
        }
        self.recent_utilization(host).filter(|utilization| *utilization > 0.0)
    }
}
