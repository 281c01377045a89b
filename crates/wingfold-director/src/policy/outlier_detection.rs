//! Outlier detection: ejection, probation and the panic threshold.
//!
//! Hosts that fail requests, don't answer them or answer far too late are ejected by each zone separately: a
//! zone whose connection to a host is cut must not eject the host for the other zones.
use crate::director::Director;
use crate::incremental::{HealthRow, HostInZone, StatsRow, NEVER};
use crate::interface::{AdmissionMode, HostId, Notice, Timestamp, ZoneId};
use crate::policy::admission::SATURATED_UTILIZATION;
use crate::policy::load_reports::{SILENT_ATTEMPTS, SILENT_REPORT_ROUNDS};
use crate::policy::ranking::MAX_WEIGHT_HALVINGS;
use crate::state::{HealthState, Host, Zone, ZoneHostStats};
use crate::statistics::median;
use std::collections::BTreeSet;

/// Consecutive failures from which a host may be ejected.
const EJECTION_FAILURES: f64 = 3.0;
/// Probability, at the zone's baseline loss, below which a run of consecutive failures ejects a host. A host
/// that still answers is left to the ranking, and losses that all hosts share come from overload.
const EJECTION_PROBABILITY: f64 = 1e-3;
/// Consecutive useless attempts (failed, or answered too late for every class) in all zones from which a host
/// may be ejected.
const EJECTION_USELESS_ATTEMPTS: f64 = 6.0;
/// Consecutive useless attempts from which a host on probation is ejected again.
const PROBATION_USELESS_ATTEMPTS: f64 = 2.0;
/// Recent attempts from which the loss ratio of a host counts for the baseline loss.
const MIN_RECENT_ATTEMPTS: f64 = 2.0;
/// Median loss ratio from which losses are a problem of the whole fleet, and not of single outliers.
pub(crate) const COMMON_LOSS_RATIO: f64 = 0.1;
/// Length of the first ejection in seconds; each one that follows a failed probation is twice as long.
pub(crate) const BASE_EJECTION_S: f64 = 4.0;
/// Longest ejection in seconds.
const MAX_EJECTION_S: f64 = 16.0;
/// Longest probation in seconds.
pub(crate) const PROBATION_S: f64 = 8.0;
/// Factor on the weight of a host on probation.
pub(crate) const PROBATION_WEIGHT_RATIO: f64 = 0.125;
/// Panic threshold: losses and missing reports eject no host while the hosts in use have less than this ratio
/// of the listed weight.
const PANIC_THRESHOLD_RATIO: f64 = 0.2;
/// Sum of the consecutive failures at the hosts of another zone from which the zone may count as unreachable.
const UNREACHABLE_ZONE_FAILURES: f64 = 7.0;
/// Report periods for which the last load report on a host counts as current: the reports on different hosts
/// come at different times of a period.
const CURRENT_REPORT_PERIODS: f64 = 1.5;

/// A change of a host's health in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthTransition {
    /// From healthy to ejected.
    Eject,
    /// From probation back to ejected, for longer.
    EjectAgain,
    /// From ejected to probation.
    StartProbation,
    /// From probation to healthy.
    Recover,
}

/// A host whose health in a zone is to change.
struct HostTransition {
    /// Position of the host in the host index.
    index: usize,
    /// The host.
    host: HostId,
    /// The change.
    transition: HealthTransition,
}

/// What a host contributes to a zone's baseline loss.
pub(crate) struct HostUsage {
    /// Whether the host is healthy and has too few consecutive failures to be ejected.
    pub(crate) is_in_use: bool,
    /// Ratio of the host's recent attempts that failed; `None` if there were too few attempts, or if the host
    /// is not in use.
    pub(crate) loss_ratio: Option<f64>,
}

/// Results of a zone's recent attempts at the hosts of one zone, either another zone or itself.
#[derive(Clone, Copy, Default)]
struct ZoneReachability {
    /// Sum of the hosts' consecutive failures.
    consecutive_failures: f64,
    /// Hosts whose last load report contained a successful attempt.
    responding_hosts: u32,
    /// Hosts whose last load report contained failures alone.
    failing_hosts: u32,
}

impl ZoneReachability {
    /// Counts a host by its consecutive failures.
    fn add_host(&mut self, consecutive_failures: f64) {
        self.consecutive_failures += consecutive_failures;
        if consecutive_failures > 0.0 {
            self.failing_hosts += 1;
        } else {
            self.responding_hosts += 1;
        }
    }

    /// Whether at least one host was reported, and at least as many hosts respond as fail.
    fn mostly_responds(&self) -> bool {
        self.responding_hosts + self.failing_hosts > 0 && self.responding_hosts >= self.failing_hosts
    }

    /// Whether all reported hosts fail, with enough failures in total to call the zone unreachable.
    fn is_unreachable(&self) -> bool {
        self.consecutive_failures >= UNREACHABLE_ZONE_FAILURES && self.responding_hosts == 0
    }
}

/// The median loss ratio of the hosts that a zone uses, which the losses of outliers must exceed. Below the
/// panic threshold the baseline is 1: where hardly any host answers, an overload or a fault on the side of
/// the zone's proxies is likelier than a fault of so many hosts.
pub(crate) fn baseline_loss(rows: &[HealthRow]) -> f64 {
    let mut total_weight = 0.0;
    let mut weight_in_use = 0.0;
    let mut loss_ratios = Vec::with_capacity(rows.len());
    for row in rows {
        total_weight += row.weight;
        if row.is_in_use {
            weight_in_use += row.weight;
            loss_ratios.extend(row.loss_ratio);
        }
    }
    if weight_in_use < PANIC_THRESHOLD_RATIO * total_weight {
        return 1.0;
    }
    median(loss_ratios.into_iter()).unwrap_or(0.0)
}

/// Whether a host has had enough consecutive useless attempts, in all zones together, to be ejected.
pub(crate) fn is_useless_to_all_zones(host: &Host) -> bool {
    host.consecutive_useless >= EJECTION_USELESS_ATTEMPTS
}

impl Director {
    /// Ejects the outliers of a zone, and starts and ends probations. Returns the time from which the result
    /// may change without new evidence.
    pub(crate) fn detect_outliers(&mut self, name: &ZoneId, zone: &mut Zone) -> Timestamp {
        zone.baseline_loss = baseline_loss(zone.memo.rows.health());
        let suspects = zone.memo.rows.suspects(zone.attempts_seen.attempts, SILENT_ATTEMPTS);
        let unreachable_zones = self.unreachable_zones(name, zone, &suspects);
        let due_at = self.next_detection_at(zone, &suspects);
        for change in self.health_transitions(zone, &suspects, &unreachable_zones) {
            self.apply_health_transition(name, zone, &change);
        }
        due_at
    }

    /// The changes of the hosts' health in a zone that are due. Only hosts at the positions of `suspects` and
    /// hosts of unreachable zones can change.
    fn health_transitions(
        &self,
        zone: &Zone,
        suspects: &[usize],
        unreachable_zones: &BTreeSet<ZoneId>,
    ) -> Vec<HostTransition> {
        self.hosts_in_zone_at(zone, suspects, !unreachable_zones.is_empty())
            .filter(|host| host.stats.is_known)
            .filter_map(|host| {
                let transition = self.health_transition(zone, &host, unreachable_zones)?;
                Some(HostTransition { index: host.index, host: host.id.clone(), transition })
            })
            .collect()
    }

    /// The change of a host's health in a zone that is due, if any.
    fn health_transition(
        &self,
        zone: &Zone,
        host: &HostInZone,
        unreachable_zones: &BTreeSet<ZoneId>,
    ) -> Option<HealthTransition> {
        if !host.host.is_ready() {
            return None;
        }
        match host.stats.health {
            HealthState::Healthy => {
                self.is_outlier(zone, host, unreachable_zones).then_some(HealthTransition::Eject)
            }
            HealthState::Ejected { until } => {
                let may_return = self.now >= until && !host.host.removal_suspected;
                may_return.then_some(HealthTransition::StartProbation)
            }
            HealthState::Probation { until } => self.probation_result(host.stats, until),
        }
    }

    /// The change that ends a probation; `None` while the probation continues.
    fn probation_result(&self, stats: &StatsRow, until: Timestamp) -> Option<HealthTransition> {
        let needed_successes = if stats.first_probation { 1.0 } else { 2.0 };
        if stats.consecutive_useless >= PROBATION_USELESS_ATTEMPTS {
            Some(HealthTransition::EjectAgain)
        } else if self.now >= until || stats.recent_successes >= needed_successes {
            Some(HealthTransition::Recover)
        } else {
            None
        }
    }

    /// Whether a healthy host is to be ejected from a zone's tables.
    fn is_outlier(&self, zone: &Zone, host: &HostInZone, unreachable_zones: &BTreeSet<ZoneId>) -> bool {
        // One failure is enough to confirm a removal that the endpoint list reports.
        let is_removed = host.host.removal_suspected && host.stats.consecutive_failures >= 1.0;
        is_removed
            || unreachable_zones.contains(&host.host.endpoint.zone)
            || self.is_useless(zone, host)
            || is_failing(zone, host.stats)
            || is_silent(zone, host.health)
    }

    /// Whether a host is useless to all zones. A zone's own attempts may be too few to show this, so the
    /// attempts of all zones count, provided that the last ones of the zone itself were useless too.
    fn is_useless(&self, zone: &Zone, host: &HostInZone) -> bool {
        host.stats.consecutive_useless > 0.0
            && zone.baseline_loss < COMMON_LOSS_RATIO
            && self.counts_losses_of_all_zones()
            && is_useless_to_all_zones(host.host)
    }

    /// Whether each zone may eject a host for its useless attempts in all zones. Not while the fleet is
    /// saturated, or if proxies ignore admission levels: the load of the ejected host would move to the other
    /// hosts without a limit, and the overload would spread.
    pub(crate) fn counts_losses_of_all_zones(&self) -> bool {
        self.utilization < SATURATED_UTILIZATION && self.settings.admission_mode != AdmissionMode::Ignored
    }

    /// Changes the health of a host in a zone.
    fn apply_health_transition(&mut self, name: &ZoneId, zone: &mut Zone, change: &HostTransition) {
        let Some(stats) = zone.host_stats.get_mut(&change.host) else { return };
        match change.transition {
            HealthTransition::Eject => {
                self.notices.push(Notice::HostEjected {
                    host: change.host.clone(),
                    zone: name.clone(),
                    consecutive_failures: stats.consecutive_failures,
                    missed_attempts: stats.missed_attempts_by(zone.attempts_seen.attempts),
                    consecutive_useless: self.hosts[&change.host].consecutive_useless,
                });
                self.eject(stats, BASE_EJECTION_S);
            }
            HealthTransition::EjectAgain => {
                self.eject(stats, (2.0 * stats.ejection_s).min(MAX_EJECTION_S));
            }
            HealthTransition::StartProbation => {
                stats.reset(HealthState::Probation { until: self.seconds_from_now(PROBATION_S) }, 0);
            }
            HealthTransition::Recover => {
                let weight_halvings = if stats.first_probation { 0 } else { MAX_WEIGHT_HALVINGS };
                stats.reset(HealthState::Healthy, weight_halvings);
                self.notices.push(Notice::HostRecovered { host: change.host.clone(), zone: name.clone() });
            }
        }
        zone.memo.health_state_changed(change.index, stats);
    }

    /// Ejects a host for some seconds.
    fn eject(&self, stats: &mut ZoneHostStats, ejection_s: f64) {
        stats.ejection_s = ejection_s;
        stats.health = HealthState::Ejected { until: self.seconds_from_now(ejection_s) };
    }

    /// What a host contributes to the baseline loss of the zone that `stats` are from.
    pub(crate) fn host_usage(stats: &ZoneHostStats) -> HostUsage {
        let is_in_use =
            stats.health == HealthState::Healthy && stats.consecutive_failures < EJECTION_FAILURES;
        let recent_attempts = stats.recent_successes + stats.recent_failures;
        let is_loss_known = is_in_use && recent_attempts >= MIN_RECENT_ATTEMPTS;
        let loss_ratio = is_loss_known.then(|| stats.recent_failures / recent_attempts);
        HostUsage { is_in_use, loss_ratio }
    }

    /// The other zones whose hosts all fail to answer a zone's proxies while most of the zone's own hosts
    /// answer: the network between the zones is cut. Only hosts at the positions of `suspects` have
    /// consecutive failures.
    fn unreachable_zones(&self, name: &ZoneId, zone: &Zone, suspects: &[usize]) -> BTreeSet<ZoneId> {
        if zone.memo.rows.consecutive_failures_of(suspects) < UNREACHABLE_ZONE_FAILURES {
            return BTreeSet::new();
        }
        let reachability = self.zone_reachability(zone);
        let host_zones = || self.memo.host_index.zones().iter().zip(&reachability);
        let own_hosts_respond =
            host_zones().any(|(zone, reachability)| zone == name && reachability.mostly_responds());
        if !own_hosts_respond {
            return BTreeSet::new();
        }
        host_zones()
            .filter(|(zone, reachability)| *zone != name && reachability.is_unreachable())
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Results of a zone's recent attempts at the hosts of each zone, in the order of the host index's zones.
    fn zone_reachability(&self, zone: &Zone) -> Vec<ZoneReachability> {
        let host_index = &self.memo.host_index;
        let mut reachability = vec![ZoneReachability::default(); host_index.zones().len()];
        for (row, host_zone) in zone.memo.rows.stats().iter().zip(host_index.zone_indices()) {
            if row.is_known && self.is_current_report(row.decayed_at) {
                reachability[*host_zone].add_host(row.consecutive_failures);
            }
        }
        reachability
    }

    /// When outlier detection in a zone is due without new evidence: at the end of an ejection or probation,
    /// or at once where enough attempts failed for another zone to be unreachable, since that depends on
    /// which reports are still current.
    fn next_detection_at(&self, zone: &Zone, suspects: &[usize]) -> Timestamp {
        let rows = &zone.memo.rows;
        if rows.consecutive_failures_of(suspects) >= UNREACHABLE_ZONE_FAILURES {
            return self.now;
        }
        let ends = suspects.iter().map(|index| match rows.stats()[*index].health {
            HealthState::Ejected { until } | HealthState::Probation { until } if until > self.now => until,
            _ => NEVER,
        });
        ends.min().unwrap_or(NEVER)
    }

    /// Whether a load report that came at `reported_at` is recent enough to count as current.
    fn is_current_report(&self, reported_at: Timestamp) -> bool {
        self.now.since(reported_at) <= CURRENT_REPORT_PERIODS * self.settings.report_period.secs()
    }
}

/// Whether a host has failed more attempts in a row than chance explains at the zone's baseline loss.
fn is_failing(zone: &Zone, stats: &StatsRow) -> bool {
    stats.consecutive_failures >= EJECTION_FAILURES
        && zone.baseline_loss.powf(stats.consecutive_failures) < EJECTION_PROBABILITY
}

/// Whether load reports on a host are missing while reports on other hosts arrive. A delay of all reports is
/// no sign of a fault of one host.
fn is_silent(zone: &Zone, health: &HealthRow) -> bool {
    let rounds_since_report = zone.attempts_seen.report_rounds - health.counts_at_last_report.report_rounds;
    health.missed_attempts_by(zone.attempts_seen.attempts) >= SILENT_ATTEMPTS
        && rounds_since_report >= SILENT_REPORT_ROUNDS
        && zone.baseline_loss < COMMON_LOSS_RATIO
}
