//! Read-only views of a director's state, for `wingfold explain`, metrics and checks. Nothing here decides or
//! changes anything; derived values come from the functions that decide.
//!
//! Views are printed as JSON: their fields keep the names that they had there first.
use crate::director::Director;
use crate::interface::{ClassId, ClassMask, HostId, ProxyId, Readiness, TableId, Timestamp, ZoneId};
use crate::state::{HealthState, Host, Zone, ZoneHostStats};
use serde::Serialize;

/// A host answered recently if it did so within this many report periods.
const RECENT_REPORT_PERIODS: f64 = 6.0;

/// Recent answers, in decaying counts, from which on a host counts as reachable.
const MIN_RECENT_SUCCESSES: f64 = 0.5;

/// How the tables of a zone treat a host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
    /// It is in the leading group and has its full weight.
    Leading,
    /// The ranking has halved its weight so many times.
    #[serde(rename = "halved")]
    WeightHalved(u32),
    /// It is ejected, until this time at least.
    #[serde(rename = "out")]
    Ejected(Timestamp),
    /// It is in probation with an eighth of its weight, until this time or until it has answered.
    #[serde(rename = "trial")]
    Probation(Timestamp),
    /// It is draining or removed, and in no table.
    #[serde(rename = "leaving")]
    NotReady,
}

/// A host as one zone sees it, and how the zone's tables treat it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostView {
    /// The host.
    pub host: HostId,
    /// The zone that sees it so.
    pub zone: ZoneId,
    /// The zone that the host is in.
    #[serde(rename = "home")]
    pub host_zone: ZoneId,
    /// The type of its machine.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Its state on the endpoint list.
    pub readiness: Readiness,
    /// Whether the list has removed it where removals are only advisory.
    #[serde(rename = "doubted")]
    pub removal_suspected: bool,
    /// Its weight on the list.
    #[serde(rename = "listed")]
    pub listed_weight: f64,
    /// How the tables of the zone treat it.
    #[serde(rename = "standing")]
    pub status: HostStatus,
    /// Its score: latency in ms plus 100 ms for each percent of loss.
    pub score: Option<f64>,
    /// The score that the zone's leading group is measured by.
    #[serde(rename = "lead")]
    pub leading_score: Option<f64>,
    /// Smoothed mean latency of its successful attempts, in ms.
    pub latency_ms: Option<f64>,
    /// Smoothed share of failed attempts, as a ratio.
    #[serde(rename = "loss")]
    pub loss_ratio: f64,
    /// Consecutive rounds that confirm its next change of weight.
    #[serde(rename = "confirmed")]
    pub confirming_rounds: u32,
    /// Consecutive attempts of this zone that failed.
    #[serde(rename = "lost_in_row")]
    pub consecutive_failures: f64,
    /// Consecutive attempts of all zones that failed or came too late.
    #[serde(rename = "useless_in_row")]
    pub consecutive_useless: f64,
    /// Attempts that should have come since the zone last reported on it.
    #[serde(rename = "missed")]
    pub missed_attempts: f64,
    /// Busy share of its cores as last reported, as a ratio, and when that was.
    #[serde(rename = "busy")]
    pub utilization: Option<(f64, Timestamp)>,
    /// When it last started; `None`: too long ago to matter.
    #[serde(rename = "started")]
    pub started_at: Option<Timestamp>,
    /// The share of its capacity that it certainly has by now, as a ratio.
    #[serde(rename = "warmth")]
    pub slow_start_factor: f64,
    /// Whether it may still be warming up.
    #[serde(rename = "cold")]
    pub is_warming_up: bool,
    /// The factor on its weight for its zone: 1 in the zone itself.
    #[serde(rename = "near")]
    pub locality_weight: f64,
    /// Its weight in each of the zone's tables that hold it.
    #[serde(rename = "weights")]
    pub table_weights: Vec<(TableId, f64)>,
}

/// A zone whose proxies this director serves.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// The usual loss of its hosts, as a ratio.
    #[serde(rename = "usual_loss")]
    pub baseline_loss: f64,
    /// The score that its leading group is measured by.
    #[serde(rename = "lead")]
    pub leading_score: Option<f64>,
    /// When its ranking last changed.
    #[serde(rename = "moved_at")]
    pub ranking_changed_at: Option<Timestamp>,
    /// How many of its proxies are connected.
    pub proxies: usize,
    /// The admission level of each class, in the unit of
    /// [`AdmissionMode`](crate::interface::AdmissionMode).
    #[serde(rename = "levels")]
    pub admission_levels: Vec<f64>,
}

/// A table as it was last sent.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TableView {
    /// Its number.
    pub table: TableId,
    /// The zone whose proxies use it.
    pub zone: ZoneId,
    /// The classes that it is for.
    pub classes: ClassMask,
    /// Its entries: hosts and their weights.
    #[serde(rename = "lines")]
    pub entries: Vec<(HostId, f64)>,
    /// Its admission levels.
    #[serde(rename = "levels")]
    pub admission_levels: Vec<(ClassId, f64)>,
    /// The connected proxies that are assigned to it.
    pub proxies: Vec<ProxyId>,
}

/// How many hosts have which status in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct HostCounts {
    /// Hosts at full weight.
    pub leading: usize,
    /// Hosts at half their weight.
    #[serde(rename = "halved")]
    pub weight_halved: usize,
    /// Hosts at a quarter of their weight or less.
    #[serde(rename = "quartered")]
    pub weight_quartered: usize,
    /// Ejected hosts.
    #[serde(rename = "out")]
    pub ejected: usize,
    /// Hosts in probation.
    #[serde(rename = "trial")]
    pub in_probation: usize,
    /// Ready hosts that may still be warming up, whatever else they are.
    #[serde(rename = "cold")]
    pub warming_up: usize,
    /// Hosts that are draining, or removed and not evicted yet.
    #[serde(rename = "draining")]
    pub not_ready: usize,
}

/// The fleet as a whole.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetView {
    /// The time of the last call.
    pub now: Timestamp,
    /// The median loss of the hosts in the last round, as a ratio.
    #[serde(rename = "loss")]
    pub median_loss: f64,
    /// The median latency of the hosts in the last round, in ms.
    #[serde(rename = "latency_ms")]
    pub median_latency_ms: Option<f64>,
    /// Busy share of the cores as a ratio, or its estimate from queues.
    #[serde(rename = "load")]
    pub utilization: f64,
    /// The admitted share of the load, as a ratio.
    #[serde(rename = "admitted")]
    pub admission_ratio: f64,
    /// Lines that the director takes to be in its send queue.
    #[serde(rename = "queued")]
    pub queued_lines: f64,
    /// Known hosts.
    pub hosts: usize,
    /// Connected proxies.
    pub proxies: usize,
}

/// How many records a director holds, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RecordCounts {
    /// Known hosts.
    pub hosts: usize,
    /// Statistics of a host as a zone sees it, over all zones.
    pub zone_host_stats: usize,
    /// Entries of all tables.
    pub table_entries: usize,
    /// Connected proxies.
    pub proxies: usize,
    /// Times of recent messages to connected proxies.
    pub send_times: usize,
}

impl Director {
    /// The fleet as a whole.
    pub fn fleet_view(&self) -> FleetView {
        FleetView {
            now: self.now,
            median_loss: self.median_loss,
            median_latency_ms: self.median_latency_ms,
            utilization: self.utilization,
            admission_ratio: self.admission_ratio,
            queued_lines: self.send_queue.queued_lines,
            hosts: self.hosts.len(),
            proxies: self.proxies.len(),
        }
    }

    /// All zones.
    pub fn zone_views(&self) -> Vec<ZoneView> {
        self.zones.iter().map(|(name, zone)| self.zone_view(name, zone)).collect()
    }

    fn zone_view(&self, name: &ZoneId, zone: &Zone) -> ZoneView {
        let classes = 0..self.settings.classes.len();
        let admission_level = |class| self.admission_level(name, class, self.admitted_quota(class));
        ZoneView {
            zone: name.clone(),
            baseline_loss: zone.baseline_loss,
            leading_score: Director::leading_score(self.scored_hosts(zone)),
            ranking_changed_at: zone.ranking_changed_at,
            proxies: self.proxies_in_zone(name).count(),
            admission_levels: classes.map(admission_level).collect(),
        }
    }

    /// How many hosts have which status in a zone; all counts of an unknown zone are 0.
    pub fn host_counts(&self, zone: &ZoneId) -> HostCounts {
        let mut counts = HostCounts::default();
        let Some(owner) = self.zones.get(zone) else { return counts };
        for (id, host) in &self.hosts {
            if host.is_ready() {
                counts.warming_up += usize::from(self.age_in_warm_ups(host) < 1.0);
            }
            *counts.of_status(host_status(host, owner.host_stats.get(id))) += 1;
        }
        counts
    }

    /// Whether other zones cannot reach the hosts of a zone: none of their attempts there succeeds any more,
    /// and at least half of the hosts fail. This is a sign that the zone is cut off.
    pub fn is_unreachable_from_other_zones(&self, zone: &ZoneId) -> bool {
        let hosts: Vec<&HostId> =
            self.ready_hosts().filter(|(_, host)| host.endpoint.zone == *zone).map(|(id, _)| id).collect();
        let (mut failing, mut expected) = (0, 0);
        for (name, other) in self.zones.iter().filter(|(name, _)| *name != zone) {
            if self.proxies_in_zone(name).next().is_none() {
                continue;
            }
            expected = hosts.len();
            for stats in hosts.iter().filter_map(|id| other.host_stats.get(*id)) {
                if self.has_recent_success(stats) {
                    return false;
                }
                let is_ejected = matches!(stats.health, HealthState::Ejected { .. });
                failing += usize::from(is_ejected || stats.consecutive_failures >= 1.0);
            }
        }
        expected > 0 && 2 * failing >= expected
    }

    fn has_recent_success(&self, stats: &ZoneHostStats) -> bool {
        let window_s = RECENT_REPORT_PERIODS * self.settings.report_period.secs();
        stats.health == HealthState::Healthy
            && stats.consecutive_failures == 0.0
            && stats.recent_successes >= MIN_RECENT_SUCCESSES
            && self.now.since(stats.decayed_at) <= window_s
    }

    /// How many zones the director knows: those of its settings, and those that a proxy has named.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// All known hosts, ordered by name.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.keys()
    }

    /// A host as a zone sees it; `None` if the zone or the host is not known.
    pub fn host_view(&self, zone: &ZoneId, host: &HostId) -> Option<HostView> {
        let (owner, known) = (self.zones.get(zone)?, self.hosts.get(host)?);
        let known_stats = owner.host_stats.get(host);
        let stats = known_stats.cloned().unwrap_or_default();
        let tables = owner.subsets.iter().flat_map(|subset| &subset.tables);
        let weights = tables.filter_map(|table| Some((table.id, *table.entries.get(host)?)));
        Some(HostView {
            host: host.clone(),
            zone: zone.clone(),
            host_zone: known.endpoint.zone.clone(),
            machine_type: known.endpoint.machine_type.clone(),
            readiness: known.endpoint.readiness,
            removal_suspected: known.removal_suspected,
            listed_weight: known.weight,
            status: host_status(known, known_stats),
            score: stats.score,
            leading_score: Director::leading_score(self.scored_hosts(owner)),
            latency_ms: stats.latency_ms,
            loss_ratio: stats.loss_ratio,
            confirming_rounds: stats.confirming_rounds,
            consecutive_failures: stats.consecutive_failures,
            consecutive_useless: known.consecutive_useless,
            missed_attempts: stats.missed_attempts_by(owner.attempts_seen.attempts),
            utilization: known.utilization.map(Into::into),
            started_at: known.endpoint.started_at,
            slow_start_factor: self.slow_start_factor(known),
            is_warming_up: self.age_in_warm_ups(known) < 1.0,
            locality_weight: owner.locality_weight(known.endpoint.zone == *zone),
            table_weights: weights.collect(),
        })
    }

    /// All tables, by zone and subset.
    pub fn table_views(&self) -> Vec<TableView> {
        self.zones.iter().flat_map(|(name, zone)| self.table_views_of(name, zone)).collect()
    }

    fn table_views_of(&self, name: &ZoneId, zone: &Zone) -> Vec<TableView> {
        let mut views = Vec::new();
        for (position, subset) in zone.subsets.iter().enumerate() {
            let assigned = self.proxies_in_zone(name).filter(|(_, proxy)| proxy.subset == Some(position));
            let proxies: Vec<ProxyId> = assigned.map(|(id, _)| *id).collect();
            for (table, group) in subset.tables.iter().zip(&self.class_groups) {
                let levels = table.admission_levels.iter();
                views.push(TableView {
                    table: table.id,
                    zone: name.clone(),
                    classes: ClassMask(group.classes),
                    entries: table.entries.iter().map(|(id, weight)| (id.clone(), *weight)).collect(),
                    admission_levels: levels.map(|(class, level)| (*class, *level)).collect(),
                    proxies: proxies.clone(),
                });
            }
        }
        views
    }

    /// The zone of a connected proxy, and its tables; `None` if it is not connected.
    pub fn proxy_view(&self, proxy: ProxyId) -> Option<(ZoneId, Vec<TableId>)> {
        let known = self.proxies.get(&proxy)?;
        let subset = known.subset.and_then(|position| self.zones.get(&known.zone)?.subsets.get(position));
        let tables = subset.map(|subset| subset.tables.iter().map(|table| table.id).collect());
        Some((known.zone.clone(), tables.unwrap_or_default()))
    }
}

impl TableView {
    /// The share of a host in the weight of the table, as a ratio; 0 if the table does not hold it.
    pub fn share(&self, host: &HostId) -> f64 {
        let total: f64 = self.entries.iter().map(|(_, weight)| weight).sum();
        let entry = self.entries.iter().find(|(id, _)| id == host);
        entry.map_or(0.0, |(_, weight)| *weight) / total.max(1e-300)
    }
}

impl HostCounts {
    fn of_status(&mut self, status: HostStatus) -> &mut usize {
        match status {
            HostStatus::Leading => &mut self.leading,
            HostStatus::WeightHalved(1) => &mut self.weight_halved,
            HostStatus::WeightHalved(_) => &mut self.weight_quartered,
            HostStatus::Ejected(_) => &mut self.ejected,
            HostStatus::Probation(_) => &mut self.in_probation,
            HostStatus::NotReady => &mut self.not_ready,
        }
    }
}

/// The status of a host in a zone with these statistics of it, if it has any yet.
fn host_status(host: &Host, stats: Option<&ZoneHostStats>) -> HostStatus {
    let (health, halvings) =
        stats.map_or((HealthState::Healthy, 0), |stats| (stats.health, stats.weight_halvings));
    match health {
        _ if !host.is_ready() => HostStatus::NotReady,
        HealthState::Ejected { until } => HostStatus::Ejected(until),
        HealthState::Probation { until } => HostStatus::Probation(until),
        HealthState::Healthy if halvings > 0 => HostStatus::WeightHalved(halvings),
        HealthState::Healthy => HostStatus::Leading,
    }
}
