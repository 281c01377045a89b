//! Admission control: the ratio of the offered load that is admitted, and the quota of each class.
use crate::director::Director;
use crate::interface::{AdmissionMode, ClassId, Notice, ZoneId};
use crate::rate_limit::equal_rate_limit;
use crate::state::{AdmissionSample, ByZone, HealthState, Zone};

/// Interval of admission updates, in seconds.
pub(crate) const ADMISSION_INTERVAL_S: f64 = 1.0;
/// Utilization of the hosts that admission control aims at.
const TARGET_UTILIZATION: f64 = 0.65;
/// Utilization from which hosts count as saturated.
pub(crate) const SATURATED_UTILIZATION: f64 = 0.92;
/// Queueing delay at the target utilization, as a ratio of the tightest latency objective.
const TARGET_QUEUEING_DELAY_RATIO: f64 = 0.2;
/// Upper bound of the median loss ratio by which the load of saturated hosts counts as higher than their
/// utilization shows.
const MAX_HIDDEN_LOAD_RATIO: f64 = 0.5;
/// Ratio of the requests of each class that is always admitted.
const MIN_CLASS_QUOTA: f64 = 0.05;
/// Lower bound of the admission ratio. Hosts that still drain their queues report a high utilization, which
/// would otherwise be taken for an ever rising load.
const MIN_ADMISSION_RATIO: f64 = 0.3;
/// Computed admission ratio from which all load is admitted.
const FULL_ADMISSION_RATIO: f64 = 0.9;
/// Steps per unit that admission ratios and levels are rounded to: each change of one changes every table.
const ADMISSION_STEPS: f64 = 20.0;
/// Admission level that admits all requests where levels are rates, in requests per second.
const UNLIMITED_REQUESTS_PER_S: f64 = 1e6;
/// Lower bound of divisors that are loads or capacities: it prevents a division by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// Capacity of the hosts in use, in units of listed weight.
struct FleetCapacity {
    /// Capacity of all hosts that are ready, and healthy in at least one zone. A host in slow start counts
    /// with the part of its capacity that it has reached.
    total: f64,
    /// The part of `total` on hosts that recently reported their utilization.
    reported: f64,
    /// The part of `reported` that is busy.
    busy: f64,
}

impl FleetCapacity {
    /// Mean utilization of the hosts that recently reported it, weighted by capacity.
    fn utilization(&self) -> f64 {
        self.busy / f64::max(self.reported, MIN_DIVISOR)
    }
}

impl Director {
    /// Updates the admission ratio so that the admitted load keeps the hosts at the target utilization.
    pub(crate) fn update_admission(&mut self, zones: &ByZone<Zone>) {
        let capacity = self.fleet_capacity(zones);
        let Some(latency_ms) = self.median_latency_ms.filter(|_| capacity.total > 0.0) else { return };
        let reported_utilization = capacity.utilization();
        let queueing_delay_ratio = self.update_queueing_delay_ratio(latency_ms);
        let inferred_utilization = TARGET_UTILIZATION + queueing_delay_ratio - TARGET_QUEUEING_DELAY_RATIO;
        self.utilization = reported_utilization.max(inferred_utilization);
        self.expire_admission_history();
        self.update_offered_load(capacity.total);
        let admission_ratio = self.target_admission_ratio(capacity.total);
        if admission_ratio != self.admission_ratio {
            self.notices.push(Notice::AdmissionChanged {
                admission_ratio,
                loss: self.median_loss,
                utilization: reported_utilization,
                latency_ms,
            });
        }
        self.admission_ratio = admission_ratio;
        let saturating_load = capacity.total / admission_ratio;
        self.admission_history.push_back(AdmissionSample { updated_at: self.now, saturating_load });
    }

    /// Capacity of the hosts that are ready, and healthy in at least one zone.
    fn fleet_capacity(&self, zones: &ByZone<Zone>) -> FleetCapacity {
        let is_in_use =
            self.hosts_where_any_zone(zones, |row| row.is_known && row.health == HealthState::Healthy);
        let mut capacity = FleetCapacity { total: 0.0, reported: 0.0, busy: 0.0 };
        for (host, is_in_use) in self.hosts.values().zip(is_in_use) {
            if !host.is_ready() || !is_in_use {
                continue;
            }
            let host_capacity = host.weight * self.slow_start_factor(host);
            capacity.total += host_capacity;
            if let Some(utilization) = self.recent_utilization(host) {
                capacity.reported += host_capacity;
                capacity.busy += host_capacity * utilization;
            }
        }
        capacity
    }

    /// Updates the latency without load. Returns the queueing delay, by which the present latency exceeds the
    /// latency without load, as a ratio of the tightest latency objective.
    fn update_queueing_delay_ratio(&mut self, latency_ms: f64) -> f64 {
        let unloaded_ms = self.unloaded_latency_ms.map_or(latency_ms, |known| known.min(latency_ms));
        self.unloaded_latency_ms = Some(unloaded_ms);
        (latency_ms - unloaded_ms) / self.tightest_latency_objective_ms()
    }

    /// Drops the admission updates that were replaced before the present utilization was measured. The first
    /// one left was in force at that time.
    fn expire_admission_history(&mut self) {
        let lag_s =
            self.settings.report_period.secs() + self.settings.mean_push_delay.secs() + ADMISSION_INTERVAL_S;
        let history = &mut self.admission_history;
        while history.len() > 1 && self.now.since(history[1].updated_at) >= lag_s {
            history.pop_front();
        }
    }

    /// Estimates the offered load from the utilization, and from the capacity and the admission ratio that
    /// were in force when the utilization was measured.
    fn update_offered_load(&mut self, capacity: f64) {
        let saturating_load =
            self.admission_history.front().map_or(capacity, |sample| sample.saturating_load);
        let hidden_load_factor = if self.utilization >= SATURATED_UTILIZATION {
            // The utilization of saturated hosts doesn't show how far the load exceeds their capacity; their
            // losses do.
            1.0 + self.median_loss.min(MAX_HIDDEN_LOAD_RATIO)
        } else {
            1.0
        };
        let offered_load = self.utilization * hidden_load_factor * saturating_load;
        // A rise is applied at once and a fall only by half: queues grow faster than they drain.
        self.offered_load = offered_load.max((self.offered_load + offered_load) / 2.0);
    }

    /// The admission ratio that keeps the hosts at the target utilization under the present offered load.
    fn target_admission_ratio(&self, capacity: f64) -> f64 {
        let ratio = TARGET_UTILIZATION * capacity / self.offered_load.max(MIN_DIVISOR);
        if ratio >= FULL_ADMISSION_RATIO {
            1.0
        } else {
            round_to_admission_step(ratio).max(MIN_ADMISSION_RATIO)
        }
    }

    /// The admitted ratio of a class's requests. Requests of the class with the lowest priority weight per
    /// load are rejected first.
    pub(crate) fn admitted_quota(&self, class: usize) -> f64 {
        if self.admission_ratio >= 1.0 {
            return 1.0;
        }
        let classes = 0..self.settings.classes.len();
        let total_load: f64 = classes.clone().map(|other| self.class_load(other)).sum();
        let higher_priority_load: f64 = classes
            .filter(|other| self.priority_per_load(*other) > self.priority_per_load(class))
            .map(|other| self.class_load(other))
            .sum();
        // Without reported usage no class is limited.
        let total_load = if total_load <= 0.0 { f64::INFINITY } else { total_load };
        let quota = (self.admission_ratio * total_load - higher_priority_load)
            / self.class_load(class).max(MIN_DIVISOR);
        quota.clamp(MIN_CLASS_QUOTA, 1.0)
    }

    /// Load of a class: its requests per second times its latency objective. The objective stands for the
    /// cost of a request, which is not reported.
    fn class_load(&self, class: usize) -> f64 {
        let rates = self.proxies.values().filter_map(|proxy| proxy.usage.get(&ClassId(class)));
        rates.sum::<f64>() * self.settings.classes[class].latency_objective.secs()
    }

    /// Priority weight of a class per load of one request.
    fn priority_per_load(&self, class: usize) -> f64 {
        let class = &self.settings.classes[class];
        class.priority_weight / class.latency_objective.secs()
    }

    /// The admission level in a zone's tables at which `quota` of a class's requests are admitted.
    pub(crate) fn admission_level(&self, zone: &ZoneId, class: usize, quota: f64) -> f64 {
        match self.settings.admission_mode {
            AdmissionMode::Share => round_to_admission_step(quota),
            AdmissionMode::Rate if quota < 1.0 => {
                self.rate_limit(zone, ClassId(class), quota).unwrap_or(UNLIMITED_REQUESTS_PER_S)
            }
            AdmissionMode::Rate => UNLIMITED_REQUESTS_PER_S,
            AdmissionMode::Ignored => 1.0,
        }
    }

    /// The limit on each proxy of a zone, in requests per second, at which the proxies together admit `quota`
    /// of a class's requests; `None` if they report no usage of the class.
    fn rate_limit(&self, zone: &ZoneId, class: ClassId, quota: f64) -> Option<f64> {
        let rates: Vec<f64> = self
            .proxies_in_zone(zone)
            .map(|(_, proxy)| proxy.usage.get(&class).copied().unwrap_or(0.0))
            .collect();
        let admitted = quota * rates.iter().sum::<f64>();
        (admitted > 0.0).then(|| equal_rate_limit(&rates, admitted))
    }
}

/// Rounds a ratio to the nearest admission step.
fn round_to_admission_step(ratio: f64) -> f64 {
    (ratio * ADMISSION_STEPS).round() / ADMISSION_STEPS
}
