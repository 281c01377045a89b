//! Outlier detection: ejection, probation and the panic threshold.
//!
//! Hosts that fail, swallow or long delay requests are ejected zone by zone: a zone that is cut off must
//! not eject a host for all.
use crate::director::Director;
use crate::incremental::{HealthRow, HostInZone, NEVER};
use crate::interface::{AdmissionMode, HostId, Notice, Timestamp, ZoneId};
use crate::policy::admission::SATURATED_UTILIZATION;
use crate::policy::load_reports::{SILENT_ATTEMPTS, SILENT_REPORT_ROUNDS};
use crate::policy::ranking::{MAX_WEIGHT_HALVINGS, MIN_FRESH_ATTEMPTS};
use crate::state::{HealthState, Zone, ZoneHostStats};
use crate::statistics::median;
use std::collections::BTreeSet;

/// Failures in a row that may eject a host.
const EJECTION_FAILURES: f64 = 3.0;
/// Probability, at the zone's baseline loss, below which a row of failures ejects a host: one that still
/// answers is left to the ranking, and what all hosts lose is overload.
const EJECTION_PROBABILITY: f64 = 1e-3;
/// Median loss from which the fleet as a whole is in trouble: no single host is an outlier then.
pub(crate) const COMMON_LOSS_RATIO: f64 = 0.1;
/// Seconds of the first ejection; each further one takes twice as long.
pub(crate) const BASE_EJECTION_S: f64 = 4.0;
/// Longest ejection in seconds.
const MAX_EJECTION_S: f64 = 16.0;
/// Longest probation after an ejection, in seconds.
pub(crate) const PROBATION_S: f64 = 8.0;
/// Ratio of its weight that a host on probation has.
pub(crate) const PROBATION_WEIGHT_RATIO: f64 = 0.125;
/// Panic threshold: no host is ejected if less than this ratio of the listed weight would stay.
const PANIC_THRESHOLD_RATIO: f64 = 0.2;

/// What becomes of a host in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthTransition {
    /// It is taken out.
    Eject,
    /// Its trial has failed.
    EjectAgain,
    /// It is tried again.
    StartProbation,
    /// It is used as before, or first at reduced weight.
    Recover,
}

/// What a zone met lately at the hosts of another: tries lost in a row, and of how many hosts the last one
/// was good or lost.
#[derive(Clone, Copy, Default)]
struct ZoneReachability {
    consecutive_failures: f64,
    responding_hosts: u32,
    failing_hosts: u32,
}

impl ZoneReachability {
    pub(crate) fn count(&mut self, streak: f64) {
        self.consecutive_failures += streak;
        if streak > 0.0 {
            self.failing_hosts += 1;
        } else {
            self.responding_hosts += 1;
        }
    }
}

/// The median loss of those of a zone's hosts that answer: an outlier must stand out against it. 1 where next
/// to none answers (panic threshold): the observer, its zone or an overload is likelier then.
pub(crate) fn baseline_loss(rows: &[HealthRow]) -> f64 {
    let (mut total, mut staying, mut losses) = (0.0, 0.0, Vec::with_capacity(rows.len()));
    for row in rows {
        total += row.weight;
        if row.is_in_use {
            staying += row.weight;
            losses.extend(row.loss_ratio);
        }
    }
    let panic = staying < PANIC_THRESHOLD_RATIO * total;
    panic.then_some(1.0).or(median(losses.into_iter())).unwrap_or(0.0)
}

impl Director {
    /// The fast path: takes out what loses, swallows or long delays requests, zone by zone (one that is cut
    /// off must not withdraw a host for all, nor judge each host beyond by itself), and tries it again later.
    /// Gives when time alone may change what it found.
    pub(crate) fn detect_outliers(&mut self, name: &ZoneId, zone: &mut Zone) -> Timestamp {
        zone.baseline_loss = baseline_loss(zone.memo.rows.health());
        let suspects = zone.memo.rows.suspects(zone.attempts_seen.0, SILENT_ATTEMPTS);
        let cut = self.unreachable_zones(name, zone, &suspects, SILENT_ATTEMPTS);
        let due = self.next_health_check_at(zone, &suspects, SILENT_ATTEMPTS);
        let verdict =
            |of: HostInZone| Some((of.index, of.id.clone(), self.health_transition(zone, &of, &cut)?));
        let concerned =
            self.hosts_in_zone_at(zone, &suspects, !cut.is_empty()).filter(|of| of.stats.is_known);
        let verdicts: Vec<(usize, HostId, HealthTransition)> = concerned.filter_map(verdict).collect();
        for (at, id, verdict) in verdicts {
            let Some(path) = zone.host_stats.get_mut(&id) else { continue };
            match verdict {
                HealthTransition::Eject => {
                    self.notices.push(Notice::HostEjected {
                        host: id.clone(),
                        zone: name.clone(),
                        consecutive_failures: path.consecutive_failures,
                        missed_attempts: path.missed_attempts_by(zone.attempts_seen.0),
                        consecutive_useless: self.hosts[&id].consecutive_useless,
                    });
                    (path.ejection_s, path.health) =
                        (BASE_EJECTION_S, HealthState::Ejected(self.seconds_from_now(BASE_EJECTION_S)));
                }
                HealthTransition::EjectAgain => {
                    path.ejection_s = (2.0 * path.ejection_s).min(MAX_EJECTION_S);
                    path.health = HealthState::Ejected(self.seconds_from_now(path.ejection_s));
                }
                HealthTransition::StartProbation => {
                    path.reset(HealthState::Probation(self.seconds_from_now(PROBATION_S)), 0)
                }
                HealthTransition::Recover => {
                    path.reset(
                        HealthState::Healthy,
                        if path.first_probation { 0 } else { MAX_WEIGHT_HALVINGS },
                    );
                    self.notices.push(Notice::HostRecovered { host: id.clone(), zone: name.clone() });
                }
            }
            zone.memo.health_state_changed(at, path);
        }
        due
    }

    /// Whether losses of a host in all zones count in each: not where levels are ignored, since nothing then
    /// relieves the others of what they get, and a jam spreads.
    pub(crate) fn counts_losses_of_all_zones(&self) -> bool {
        self.utilization < SATURATED_UTILIZATION && self.settings.admission_mode != AdmissionMode::Ignored
    }

    /// What becomes of a host in a zone, if that changes now.
    fn health_transition(
        &self,
        zone: &Zone,
        of: &HostInZone,
        cut: &BTreeSet<ZoneId>,
    ) -> Option<HealthTransition> {
        let (host, path) = (of.host, of.stats);
        let (usual, (tries, turns)) = (zone.baseline_loss, zone.attempts_seen);
        // Two witnesses are enough: the list says gone, and nothing comes back.
        let dead = host.removal_suspected && path.consecutive_failures >= 1.0;
        // Few tries of one zone tell little; those of all do, once the zone has seen the like itself.
        let seen =
            path.consecutive_useless > 0.0 && usual < COMMON_LOSS_RATIO && self.counts_losses_of_all_zones();
        let useless =
            seen && host.consecutive_useless >= MIN_FRESH_ATTEMPTS || cut.contains(&host.endpoint.zone);
        let lossy = path.consecutive_failures >= EJECTION_FAILURES
            && usual.powf(path.consecutive_failures) < EJECTION_PROBABILITY;
        // Silence is measured by what others reported: sums that are late for all are silence of none.
        let unheard = of.health.missed_attempts_by(tries) >= SILENT_ATTEMPTS
            && turns - of.health.last_heard.1 >= SILENT_REPORT_ROUNDS;
        let silent = unheard && usual < COMMON_LOSS_RATIO;
        let answers = if path.new { 1.0 } else { 2.0 };
        match path.health {
            _ if !host.is_ready() => None,
            HealthState::Healthy => (dead || useless || lossy || silent).then_some(HealthTransition::Eject),
            HealthState::Ejected(until) => {
                (self.now >= until && !host.removal_suspected).then_some(HealthTransition::StartProbation)
            }
            HealthState::Probation(_) if path.consecutive_useless >= 2.0 => {
                Some(HealthTransition::EjectAgain)
            }
            HealthState::Probation(until) => {
                (self.now >= until || path.recent_successes >= answers).then_some(HealthTransition::Recover)
            }
        }
    }

    /// Whether a zone uses a host, or may, and the host's share of losses where enough was heard of it.
    pub(crate) fn usage_and_loss(path: &ZoneHostStats) -> (bool, Option<f64>) {
        let stays = path.health == HealthState::Healthy && path.consecutive_failures < EJECTION_FAILURES;
        let heard = stays && path.recent_successes + path.recent_failures >= 2.0;
        (stays, heard.then(|| path.recent_failures / (path.recent_successes + path.recent_failures)))
    }

    /// The other zones that nothing of a zone reaches, while most of its own hosts answer: all tries that
    /// the last sums told were lost, so many at least. Only hosts at the positions of `suspects` have lost
    /// any.
    fn unreachable_zones(
        &self,
        name: &ZoneId,
        zone: &Zone,
        suspects: &[usize],
        least: f64,
    ) -> BTreeSet<ZoneId> {
        if zone.memo.rows.consecutive_failures_of(suspects) < least {
            return BTreeSet::new();
        }
        let roster = &self.memo.host_index;
        let mut met = vec![ZoneReachability::default(); roster.zones().len()];
        let rows = zone.memo.rows.paths().iter().zip(roster.homes());
        for (row, home) in rows.filter(|(row, _)| row.is_known && self.is_in_current_period(row.decayed_at)) {
            met[*home].count(row.consecutive_failures);
        }
        let met = || roster.zones().iter().zip(&met);
        let home = met().any(|(zone, met)| {
            zone == name
                && met.responding_hosts + met.failing_hosts > 0
                && met.responding_hosts >= met.failing_hosts
        });
        let cut = met().filter(|(zone, met)| {
            home && *zone != name && met.consecutive_failures >= least && met.responding_hosts == 0
        });
        cut.map(|(zone, _)| zone.clone()).collect()
    }

    /// When a zone's view of health is due without further news: at the end of a stay outside or of a trial
    /// and, where so many tries were lost that other zones may be cut off, at once, since what was heard
    /// ages.
    fn next_health_check_at(&self, zone: &Zone, suspects: &[usize], least: f64) -> Timestamp {
        let rows = &zone.memo.rows;
        if rows.consecutive_failures_of(suspects) >= least {
            return self.now;
        }
        let next = |at: &usize| match rows.paths()[*at].health {
            HealthState::Ejected(until) | HealthState::Probation(until) if until > self.now => until,
            _ => NEVER,
        };
        suspects.iter().map(next).min().unwrap_or(NEVER)
    }

    /// Whether what was last heard of a host, at `heard_at`, belongs to the present period: hosts are told
    /// of one after the other.
    fn is_in_current_period(&self, heard_at: Timestamp) -> bool {
        self.now.since(heard_at) <= 1.5 * self.settings.report_period.secs()
    }
}
