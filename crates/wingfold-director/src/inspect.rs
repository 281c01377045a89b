//! Read-only views of a director's state, for `wingfold explain`, metrics and invariant checks. Derived
//! values are computed by the same functions that the director's decisions use.
//!
//! Views are printed as JSON. Where a field has a newer name in the code, a serde attribute keeps its name in
//! JSON.
use crate::director::Director;
use crate::interface::{ClassId, ClassMask, HostId, ProxyId, Readiness, TableId, Timestamp, ZoneId};
use crate::state::{HealthState, Host, Zone, ZoneHostStats};
use serde::Serialize;

/// Number of report periods for which a successful attempt counts as recent.
const RECENT_REPORT_PERIODS: f64 = 6.0;

/// Number of recent successes, which decays with time, from which a host counts as reachable.
const MIN_RECENT_SUCCESSES: f64 = 0.5;

/// How the tables of a zone treat a host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
    /// The host is in the leading group and has its full weight.
    Leading,
    /// The ranking has halved the host's weight; the value is the number of halvings.
    #[serde(rename = "halved")]
    WeightHalved(u32),
    /// The host is ejected until at least this time.
    #[serde(rename = "out")]
    Ejected(Timestamp),
    /// The host is on probation with an eighth of its weight, until this time at the latest. Enough
    /// successful attempts end the probation earlier; useless attempts lead to another ejection.
    #[serde(rename = "trial")]
    Probation(Timestamp),
    /// The host is draining or removed, and in no table.
    #[serde(rename = "leaving")]
    NotReady,
}

/// The view of a host in one zone: the host's record, the zone's statistics, and the host's entries in
/// tables.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostView {
    /// The host.
    pub host: HostId,
    /// The zone of the view.
    pub zone: ZoneId,
    /// The zone that the host runs in.
    #[serde(rename = "home")]
    pub host_zone: ZoneId,
    /// The type of the host's machine.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// The state of the host on the endpoint list.
    pub readiness: Readiness,
    /// Whether the endpoint list has removed the host in a deployment where removals are only advisory.
    #[serde(rename = "doubted")]
    pub removal_suspected: bool,
    /// The host's listed weight, corrected by the relative speed of its machine type.
    #[serde(rename = "listed")]
    pub listed_weight: f64,
    /// How the tables of the zone treat the host.
    #[serde(rename = "standing")]
    pub status: HostStatus,
    /// The host's score in milliseconds: latency plus 100 ms for each percent of loss.
    pub score: Option<f64>,
    /// The score of the zone's leading group, in milliseconds.
    #[serde(rename = "lead")]
    pub leading_score: Option<f64>,
    /// Smoothed mean latency of successful attempts, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Smoothed ratio of failed attempts to all attempts.
    #[serde(rename = "loss")]
    pub loss_ratio: f64,
    /// Number of consecutive scoring rounds that have confirmed the next change of the host's weight.
    #[serde(rename = "confirmed")]
    pub confirming_rounds: u32,
    /// Consecutive failed attempts of the zone.
    #[serde(rename = "lost_in_row")]
    pub consecutive_failures: f64,
    /// Consecutive attempts of all zones that failed or whose answers came too late to be of use.
    #[serde(rename = "useless_in_row")]
    pub consecutive_useless: f64,
    /// Attempts of the zone that were expected since its last load report on the host.
    #[serde(rename = "missed")]
    pub missed_attempts: f64,
    /// Smoothed utilization of the host's cores as a ratio, and the time of the last report; `None` if the
    /// host has reported none.
    #[serde(rename = "busy")]
    pub utilization: Option<(f64, Timestamp)>,
    /// When the host last started; `None` if the host counts as warmed up.
    #[serde(rename = "started")]
    pub started_at: Option<Timestamp>,
    /// Lower bound of the host's present capacity, as a ratio of its full capacity.
    #[serde(rename = "warmth")]
    pub slow_start_factor: f64,
    /// Whether the host may still be warming up.
    #[serde(rename = "cold")]
    pub is_warming_up: bool,
    /// Factor on the host's weight by locality: 1 if the host runs in the zone itself.
    #[serde(rename = "near")]
    pub locality_weight: f64,
    /// The host's weight in each of the zone's tables that contain the host.
    #[serde(rename = "weights")]
    pub table_weights: Vec<(TableId, f64)>,
}

/// A zone whose proxies this director serves.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// Median loss of the hosts that respond, as a ratio.
    #[serde(rename = "usual_loss")]
    pub baseline_loss: f64,
    /// The score of the zone's leading group, in milliseconds.
    #[serde(rename = "lead")]
    pub leading_score: Option<f64>,
    /// When the zone's ranking last changed a weight.
    #[serde(rename = "moved_at")]
    pub ranking_changed_at: Option<Timestamp>,
    /// Number of connected proxies of the zone.
    pub proxies: usize,
    /// The admission level of each class, in the unit of
    /// [`AdmissionMode`](crate::interface::AdmissionMode).
    #[serde(rename = "levels")]
    pub admission_levels: Vec<f64>,
}

/// A table as last sent to proxies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TableView {
    /// The number of the table.
    pub table: TableId,
    /// The zone whose proxies use the table.
    pub zone: ZoneId,
    /// The classes whose requests are sent by the table.
    pub classes: ClassMask,
    /// The entries of the table: hosts and their weights.
    #[serde(rename = "lines")]
    pub entries: Vec<(HostId, f64)>,
    /// The admission levels of the table by class.
    #[serde(rename = "levels")]
    pub admission_levels: Vec<(ClassId, f64)>,
    /// The connected proxies that are assigned to the table.
    pub proxies: Vec<ProxyId>,
}

/// Numbers of hosts in a zone by their status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct HostCounts {
    /// Hosts in the leading group, which have their full weight.
    pub leading: usize,
    /// Hosts with half of their weight.
    #[serde(rename = "halved")]
    pub weight_halved: usize,
    /// Hosts with a quarter of their weight or less.
    #[serde(rename = "quartered")]
    pub weight_quartered: usize,
    /// Ejected hosts.
    #[serde(rename = "out")]
    pub ejected: usize,
    /// Hosts on probation.
    #[serde(rename = "trial")]
    pub in_probation: usize,
    /// Ready hosts that may still be warming up. They are also counted by their status.
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
    /// Median loss of the hosts in the last scoring round, as a ratio.
    #[serde(rename = "loss")]
    pub median_loss: f64,
    /// Median latency of the hosts in the last scoring round, in milliseconds.
    #[serde(rename = "latency_ms")]
    pub median_latency_ms: Option<f64>,
    /// Utilization of the hosts' cores as a ratio, as reported or as inferred from waiting times.
    #[serde(rename = "load")]
    pub utilization: f64,
    /// Admitted share of all work, as a ratio.
    #[serde(rename = "admitted")]
    pub admission_ratio: f64,
    /// Number of lines that count as queued in the director's send queue.
    #[serde(rename = "queued")]
    pub queued_lines: f64,
    /// Number of known hosts.
    pub hosts: usize,
    /// Number of connected proxies.
    pub proxies: usize,
}

/// Numbers of records of a director, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RecordCounts {
    /// Number of known hosts.
    pub hosts: usize,
    /// Number of pairs of a zone and a host of which the zone has statistics.
    pub zone_host_stats: usize,
    /// Number of entries in all tables.
    pub table_entries: usize,
    /// Number of connected proxies.
    pub proxies: usize,
    /// Number of stored send times of messages to connected proxies.
    pub send_times: usize,
}

impl Director {
    /// The view of the fleet as a whole.
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

    /// The views of all zones.
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

    /// Numbers of hosts in a zone by their status; all numbers are 0 for an unknown zone.
    pub fn host_counts(&self, zone: &ZoneId) -> HostCounts {
        let mut counts = HostCounts::default();
        let Some(zone) = self.zones.get(zone) else { return counts };
        for (id, host) in &self.hosts {
            if host.is_ready() {
                counts.warming_up += usize::from(self.age_in_warm_ups(host) < 1.0);
            }
            *counts.of_status(host_status(host, zone.host_stats.get(id))) += 1;
        }
        counts
    }

    /// Whether the hosts of a zone appear unreachable from all other zones, which suggests that the zone is
    /// disconnected. Only other zones with connected proxies count: none of them has had a recent success at
    /// any host of the zone, and the hosts that fail, summed over these zones, number at least half of the
    /// zone's hosts.
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

    /// Whether a host is healthy by these statistics, and its recent attempts succeeded.
    fn has_recent_success(&self, stats: &ZoneHostStats) -> bool {
        let window_s = RECENT_REPORT_PERIODS * self.settings.report_period.secs();
        stats.health == HealthState::Healthy
            && stats.consecutive_failures == 0.0
            && stats.recent_successes >= MIN_RECENT_SUCCESSES
            && self.now.since(stats.decayed_at) <= window_s
    }

    /// Number of known zones: those of the settings, and those that proxies have named when they connected.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// All known hosts, ordered by identifier.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.keys()
    }

    /// The view of a host in a zone; `None` if the zone or the host is not known.
    pub fn host_view(&self, zone: &ZoneId, host: &HostId) -> Option<HostView> {
        let (viewing_zone, known) = (self.zones.get(zone)?, self.hosts.get(host)?);
        let known_stats = viewing_zone.host_stats.get(host);
        let stats = known_stats.cloned().unwrap_or_default();
        let tables = viewing_zone.subsets.iter().flat_map(|subset| &subset.tables);
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
            leading_score: Director::leading_score(self.scored_hosts(viewing_zone)),
            latency_ms: stats.latency_ms,
            loss_ratio: stats.loss_ratio,
            confirming_rounds: stats.confirming_rounds,
            consecutive_failures: stats.consecutive_failures,
            consecutive_useless: known.consecutive_useless,
            missed_attempts: stats.missed_attempts_by(viewing_zone.attempts_seen.attempts),
            utilization: known.utilization.map(Into::into),
            started_at: known.endpoint.started_at,
            slow_start_factor: self.slow_start_factor(known),
            is_warming_up: self.age_in_warm_ups(known) < 1.0,
            locality_weight: viewing_zone.locality_weight(known.endpoint.zone == *zone),
            table_weights: weights.collect(),
        })
    }

    /// The views of all tables, ordered by zone and subset.
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

    /// The zone and the tables of a connected proxy; `None` if the proxy is not connected.
    pub fn proxy_view(&self, proxy: ProxyId) -> Option<(ZoneId, Vec<TableId>)> {
        let known = self.proxies.get(&proxy)?;
        let subset = known.subset.and_then(|position| self.zones.get(&known.zone)?.subsets.get(position));
        let tables = subset.map(|subset| subset.tables.iter().map(|table| table.id).collect());
        Some((known.zone.clone(), tables.unwrap_or_default()))
    }
}

impl TableView {
    /// The share of a host in the total weight of the table, as a ratio; 0 if the table does not have the
    /// host.
    pub fn share(&self, host: &HostId) -> f64 {
        let total: f64 = self.entries.iter().map(|(_, weight)| weight).sum();
        let entry = self.entries.iter().find(|(id, _)| id == host);
        entry.map_or(0.0, |(_, weight)| *weight) / total.max(1e-300)
    }
}

impl HostCounts {
    /// The count of the hosts with this status.
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

/// The status of a host in a zone, from the zone's statistics of the host, if there are any.
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
