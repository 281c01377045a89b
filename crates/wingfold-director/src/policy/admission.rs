//! Admission: how much of the work is admitted, and the quota of each class.
use crate::director::Director;
use crate::interface::{AdmissionMode, ClassId, Notice, Timestamp, ZoneId};
use crate::policy::ranking::MIN_SCORING_INTERVAL_S;
use crate::rate_limit::even_cap;
use crate::state::{ByZone, HealthState, Proxy, Zone};

/// Interval of updates, in seconds.
pub(crate) const ADMISSION_INTERVAL_S: f64 = 1.0;
/// Utilization that admission aims at.
const TARGET_UTILIZATION: f64 = 0.65;
/// Utilization from which hosts count as full.
pub(crate) const SATURATED_UTILIZATION: f64 = 0.92;
/// Wait of an answer at the target utilization, as a ratio of the tightest latency objective.
const TARGET_WAIT_RATIO: f64 = 0.2;
/// Ratio of the requests of a class that is always admitted.
const MIN_CLASS_QUOTA: f64 = 0.05;
/// Ratio of all work that is always admitted: queues that still drain must not read as ever more load.
const MIN_ADMISSION_RATIO: f64 = 0.3;
/// Level that admits everything where levels are rates.
const UNLIMITED_REQUESTS_PER_S: f64 = 1e6;

impl Director {
    /// Lets less in while the hosts cannot do it all. Demand is the busy share (or the wait that goes with
    /// it) times the open capacity, over the share let in when it was measured.
    pub(crate) fn update_admission(&mut self, zones: &ByZone<Zone>) {
        let (loss, mut capacity, mut seen, mut used) = (self.median_loss, 0.0, 0.0, 0.0);
        let taken =
            self.hosts_where_any_zone(zones, |row| row.is_known && row.health == HealthState::Healthy);
        for (host, _) in self.hosts.values().zip(taken).filter(|(host, taken)| host.is_ready() && *taken) {
            let open = host.weight * self.slow_start_factor(host);
            capacity += open;
            // A host that gets nothing reports nothing: its last word must not hold a level down.
            let fresh = |at: Timestamp| {
                self.now.since(at) <= 2.0 * MIN_SCORING_INTERVAL_S.max(self.settings.report_period.secs())
            };
            if let Some((busy, _)) = host.utilization.filter(|b| fresh(b.1)) {
                (seen, used) = (seen + open, used + open * busy);
            }
        }
        let Some(latency) = self.median_latency_ms.filter(|_| capacity > 0.0) else { return };
        let unloaded = *self
            .unloaded_latency_ms
            .insert(self.unloaded_latency_ms.map_or(latency, |known| known.min(latency)));
        let (busy, wait) =
            (used / f64::max(seen, 1e-9), (latency - unloaded) / self.tightest_latency_objective_ms());
        let load = busy.max(TARGET_UTILIZATION + wait - TARGET_WAIT_RATIO);
        self.utilization = load;
        let lag = self.settings.report_period.secs() + self.settings.mean_push_delay.secs() + 1.0;
        while self.admission_history.len() > 1 && self.now.since(self.admission_history[1].0) >= lag {
            self.admission_history.pop_front();
        }
        // Both as they were when the load was met: hosts that drain meanwhile took their part of it.
        let was = self.admission_history.front().map_or(capacity, |l| l.1);
        // Saturated cores don't tell how much more was asked of them; losses do.
        let hidden = if load >= SATURATED_UTILIZATION { 1.0 + loss.min(0.5) } else { 1.0 };
        // A rise counts at once, a fall by half: a jam forms faster than it ends.
        let demand = load * hidden * was;
        self.offered_load = demand.max((self.offered_load + demand) / 2.0);
        let share = TARGET_UTILIZATION * capacity / self.offered_load.max(1e-9);
        let share = if share >= 0.9 { 1.0 } else { ((share * 20.0).round() / 20.0).max(MIN_ADMISSION_RATIO) };
        if share != self.admission_ratio {
            self.notices.push(Notice::AdmissionChanged {
                admission_ratio: share,
                loss,
                utilization: busy,
                latency_ms: latency,
            });
        }
        self.admission_ratio = share;
        self.admission_history.push_back((self.now, capacity / share));
    }

    /// The share of a class that is let in. What is worth least for its work, by its aim, goes first.
    pub(crate) fn admitted_quota(&self, class: usize) -> f64 {
        if self.admission_ratio >= 1.0 {
            return 1.0;
        }
        let worth = |at: usize| {
            self.settings.classes[at].priority_weight / self.settings.classes[at].latency_objective.secs()
        };
        let rates = |at: usize| self.proxies.values().filter_map(move |p| p.usage.get(&ClassId(at)));
        let work = |at: usize| rates(at).sum::<f64>() * self.settings.classes[at].latency_objective.secs();
        let all = 0..self.settings.classes.len();
        let total: f64 = all.clone().map(work).sum();
        let before: f64 = all.filter(|at| worth(*at) > worth(class)).map(work).sum();
        let total = if total <= 0.0 { f64::INFINITY } else { total };
        ((self.admission_ratio * total - before) / work(class).max(1e-9)).clamp(MIN_CLASS_QUOTA, 1.0)
    }

    /// The level of a class in a zone's tables, by the share of it that is let in.
    pub(crate) fn admission_level(&self, zone: &ZoneId, class: usize, share: f64) -> f64 {
        match self.settings.admission_mode {
            AdmissionMode::Share => (share * 20.0).round() / 20.0,
            AdmissionMode::Rate if share < 1.0 => {
                self.rate_limit(zone, ClassId(class), share).unwrap_or(UNLIMITED_REQUESTS_PER_S)
            }
            AdmissionMode::Rate => UNLIMITED_REQUESTS_PER_S,
            AdmissionMode::Ignored => 1.0,
        }
    }

    /// The rate at each proxy of the zone that lets `share` of the class in; no limit where none is known.
    fn rate_limit(&self, zone: &ZoneId, class: ClassId, share: f64) -> Option<f64> {
        let usage = |(_, p): (_, &Proxy)| p.usage.get(&class).copied().unwrap_or(0.0);
        let rates: Vec<f64> = self.proxies_in_zone(zone).map(usage).collect();
        let all = share * rates.iter().sum::<f64>();
        (all > 0.0).then(|| even_cap(&rates, all))
    }
}
