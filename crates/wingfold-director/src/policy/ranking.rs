//! Best Exit Selection: scores, the leading group, confirmation and cooldown.
//!
//! The constants have the values of the design page (docs/design.md).
use crate::director::Director;
use crate::interface::{Notice, ZoneId};
use crate::policy::outlier_detection::COMMON_LOSS_RATIO;
use crate::state::{AttemptStats, ByZone, FreshHostStats, HealthState, ScoredHost, Zone, ZoneHostStats};
use crate::statistics::median;

/// Milliseconds that one percent of loss adds to a score.
const SCORE_PER_LOSS_PERCENT_MS: f64 = 100.0;
/// Smallest margin between a laggard (a host outside the leading group) and the leading group, in
/// milliseconds.
const MIN_SCORE_MARGIN_MS: f64 = 20.0;
/// Smallest margin as a ratio of the laggard's score.
pub(crate) const SCORE_MARGIN_RATIO: f64 = 0.15;
/// Smallest margin as a ratio of the tightest latency objective: small differences between latencies don't
/// matter if all latencies are well within the objective.
const OBJECTIVE_MARGIN_RATIO: f64 = 0.1;
/// Consecutive scoring rounds that must call for a change of weight.
pub(crate) const CONFIRMING_ROUNDS: u32 = 3;
/// Shortest interval of scoring rounds, in seconds.
const MIN_SCORING_INTERVAL_S: f64 = 2.0;
/// Shortest time in seconds between two changes of the ranking of one zone.
pub(crate) const RANKING_COOLDOWN_S: f64 = 8.0;
/// Largest number of times that the weight of a laggard is halved.
pub(crate) const MAX_WEIGHT_HALVINGS: u32 = 2;
/// Fresh attempts in all zones that a host needs for a new score: scores of fewer would be noise.
const MIN_FRESH_ATTEMPTS: f64 = 6.0;
/// Fresh attempts in all zones that a host needs to count for the medians.
const MIN_MEDIAN_ATTEMPTS: f64 = 3.0;
/// Weight of the mean of all zones, as a number of attempts, in its average with a zone's own attempts.
const PRIOR_ATTEMPTS: f64 = 6.0;
/// Weight of the latest value in the exponential smoothing of a host's loss.
const SMOOTHING_FACTOR: f64 = 0.5;
/// Ratio of the listed weight that the leading group holds at least: a single host can't serve a whole zone.
const LEADING_GROUP_WEIGHT_RATIO: f64 = 0.5;

/// A change of a host's weight by the ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WeightStep {
    /// The host falls behind the leading group.
    Halve,
    /// The host catches up with the leading group.
    Double,
}

impl Director {
    /// Interval of scoring rounds in seconds. It lasts a report period at least, so that each round has new
    /// load reports.
    pub(crate) fn scoring_interval_s(&self) -> f64 {
        MIN_SCORING_INTERVAL_S.max(self.settings.report_period.secs())
    }

    /// Updates scores and rankings from the attempts since the last round, and returns whether any host had
    /// enough of them.
    pub(crate) fn update_scores(&mut self, zones: &mut ByZone<Zone>) -> bool {
        let mut fresh_hosts = self.fresh_stats_by_host(zones);
        self.update_medians(&fresh_hosts);
        fresh_hosts.retain(|fresh| fresh.stats.attempts >= MIN_FRESH_ATTEMPTS);
        for (name, zone) in zones.iter_mut() {
            for fresh in &fresh_hosts {
                let Some(stats) = zone.host_stats.get_mut(&fresh.host) else { continue };
                update_score(stats, &fresh.stats);
                zone.memo.rows.update(fresh.index, stats);
            }
            self.update_ranking(name, zone, &fresh_hosts);
        }
        !fresh_hosts.is_empty()
    }

    /// Updates the median loss and latency of the fleet.
    fn update_medians(&mut self, fresh_hosts: &[FreshHostStats]) {
        let all_stats = fresh_hosts.iter().map(|fresh| fresh.stats);
        let counted = all_stats.filter(|stats| stats.attempts >= MIN_MEDIAN_ATTEMPTS);
        let loss_ratios = counted.clone().map(|stats| stats.failures / stats.attempts);
        self.median_loss = median(loss_ratios).unwrap_or(0.0);
        self.median_latency_ms = median(counted.filter_map(|stats| stats.mean_latency_ms()));
    }

    /// The score of the leading group, which other hosts are compared with: the one up to which hosts in
    /// ascending order of their scores hold half of the listed weight.
    pub(crate) fn leading_score(mut scored_hosts: Vec<ScoredHost>) -> Option<f64> {
        scored_hosts.sort_by(|a, b| a.score.total_cmp(&b.score));
        let total_weight = scored_hosts.iter().map(|host| host.weight).sum::<f64>();
        let mut remaining_weight = LEADING_GROUP_WEIGHT_RATIO * total_weight;
        for host in &scored_hosts {
            remaining_weight -= host.weight;
            if remaining_weight <= 0.0 {
                return Some(host.score);
            }
        }
        None
    }

    /// Halves the weight of hosts that have fallen behind a zone's leading group, and doubles that of hosts
    /// that have caught up with it. Only hosts with fresh scores change.
    fn update_ranking(&mut self, name: &ZoneId, zone: &mut Zone, fresh_hosts: &[FreshHostStats]) {
        // If all exits fail, the ranking stays (design page): losses that most hosts share don't tell a bad
        // host from a good one.
        if zone.baseline_loss >= COMMON_LOSS_RATIO || fresh_hosts.is_empty() {
            return;
        }
        let Some(leading_score) = Director::leading_score(zone.memo.rows.scored_hosts()) else { return };
        // One cooldown for the whole round: all hosts that are confirmed now change together.
        let has_cooled_down =
            zone.ranking_changed_at.is_none_or(|at| self.now.since(at) >= RANKING_COOLDOWN_S);
        for FreshHostStats { index, host, .. } in fresh_hosts {
            let Some(stats) = zone.host_stats.get_mut(host) else { continue };
            let Some(score) = stats.score.filter(|_| stats.health == HealthState::Healthy) else { continue };
            let wanted = self.wanted_step(stats.weight_halvings, score, leading_score);
            if !confirm_step(stats, wanted, has_cooled_down) {
                continue;
            }
            zone.ranking_changed_at = Some(self.now);
            zone.memo.health_state_changed(*index, stats);
            self.notices.push(Notice::WeightChanged {
                host: host.clone(),
                zone: name.clone(),
                weight_halvings: stats.weight_halvings,
                score,
                leading_score,
            });
        }
    }

    /// The change of weight that a score calls for.
    fn wanted_step(&self, weight_halvings: u32, score: f64, leading_score: f64) -> Option<WeightStep> {
        let objective_margin_ms = OBJECTIVE_MARGIN_RATIO * self.tightest_latency_objective_ms();
        let margin = MIN_SCORE_MARGIN_MS.max(SCORE_MARGIN_RATIO * score).max(objective_margin_ms);
        if score >= leading_score + margin && weight_halvings < MAX_WEIGHT_HALVINGS {
            Some(WeightStep::Halve)
        } else if score <= leading_score + margin / 2.0 && weight_halvings > 0 {
            // Half of the margin is enough: a recovered host only reaches the score of the other hosts, and
            // must get its weight back.
            Some(WeightStep::Double)
        } else {
            None
        }
    }
}

/// Updates a zone's smoothed loss, latency and score of a host from its own fresh attempts and from those of
/// `all_zones`, which a zone with few attempts relies on.
fn update_score(stats: &mut ZoneHostStats, all_zones: &AttemptStats) {
    let own = stats.fresh;
    let loss_ratio = (own.failures + PRIOR_ATTEMPTS * all_zones.failures / all_zones.attempts)
        / (own.attempts + PRIOR_ATTEMPTS);
    stats.loss_ratio += SMOOTHING_FACTOR * (loss_ratio - stats.loss_ratio);
    if let Some(mean_ms) = all_zones.mean_latency_ms() {
        let latency_ms =
            (own.latency_sum_ms + PRIOR_ATTEMPTS * mean_ms) / (own.attempts - own.failures + PRIOR_ATTEMPTS);
        stats.latency_ms = Some(stats.latency_ms.map_or(latency_ms, |known| (known + latency_ms) / 2.0));
    }
    let loss_score_ms = SCORE_PER_LOSS_PERCENT_MS * 100.0 * stats.loss_ratio;
    stats.score = stats.latency_ms.map(|latency_ms| latency_ms + loss_score_ms);
    stats.fresh = AttemptStats::default();
}

/// Counts the rounds that call for a change, makes the change once it is confirmed and `is_allowed`, and
/// returns whether it was made.
fn confirm_step(stats: &mut ZoneHostStats, wanted: Option<WeightStep>, is_allowed: bool) -> bool {
    let Some(step) = wanted else {
        stats.confirming_rounds = 0;
        return false;
    };
    stats.confirming_rounds += 1;
    if stats.confirming_rounds < CONFIRMING_ROUNDS || !is_allowed {
        return false;
    }
    stats.confirming_rounds = 0;
    match step {
        WeightStep::Halve => stats.weight_halvings += 1,
        WeightStep::Double => stats.weight_halvings -= 1,
    }
    true
}
