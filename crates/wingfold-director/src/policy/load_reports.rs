//! Evidence from load and usage reports: attempts at hosts, utilization of hosts, and usage by proxies.
use crate::director::Director;
use crate::interface::{AttemptCounts, ClassId, HostId, HostLoad, Micros, ProxyId, Timestamp, ZoneId};
use crate::policy::outlier_detection::is_useless_to_all_zones;
use crate::state::{AttemptStats, Host, ReportCounts, ReportedUtilization, ZoneHostStats};

/// Half-life of the attempts that outlier detection counts, in seconds: the counts must span a scoring round.
const EVIDENCE_HALF_LIFE_S: f64 = 2.0;
/// Number of expected attempts without a report from which a host or a proxy may count as silent.
pub(crate) const SILENT_ATTEMPTS: f64 = 7.0;
/// Number of report rounds (one report per host or proxy) without a report from which a host or a proxy may
/// count as silent: a single report may be delayed.
pub(crate) const SILENT_REPORT_ROUNDS: f64 = 3.0;
/// Scoring intervals after which a reported utilization expires: a host without requests reports no new one.
const MAX_UTILIZATION_AGE_INTERVALS: f64 = 2.0;
/// Answers later than the longest latency objective count as useless while the median latency of all hosts
/// is below this ratio of the objective.
const MAX_MEDIAN_LATENCY_RATIO: f64 = 0.5;
/// Weight of the latest value in the exponential smoothing of usage.
const USAGE_SMOOTHING_FACTOR: f64 = 0.5;
/// Lower bound of the period that a rate is computed with, in seconds: it keeps the rate finite.
const MIN_USAGE_PERIOD_S: f64 = 0.1;

impl Director {
    /// Records the results of the attempts that the proxies of a zone made at a host.
    pub(crate) fn record_load_report(
        &mut self,
        zone: &ZoneId,
        host: &HostId,
        counts: AttemptCounts,
        mean_latency: Micros,
    ) {
        let report = report_stats(counts, mean_latency);
        let is_useless = self.is_too_late(mean_latency) || report.failures == report.attempts;
        let Some(zone) = self.zones.get_mut(zone) else { return };
        let Some(known_host) = self.hosts.get_mut(host).filter(|_| counts.total > 0) else { return };
        zone.attempts_seen.attempts += report.attempts;
        zone.attempts_seen.report_rounds += 1.0 / zone.hosts_in_tables.max(1.0);

        let stats = zone.host_stats.entry(host.clone()).or_default();
        stats.fresh.add(report);
        restart_missed_attempts(stats, zone.attempts_seen);
        record_recent_attempts(stats, &report, self.now);
        stats.consecutive_useless = extend_useless_run(stats.consecutive_useless, &report, is_useless);

        let was_useless_to_all = is_useless_to_all_zones(known_host);
        known_host.consecutive_useless =
            extend_useless_run(known_host.consecutive_useless, &report, is_useless);
        let usefulness_changed = was_useless_to_all != is_useless_to_all_zones(known_host);
        self.memo.load_report_recorded(&mut zone.memo, host, usefulness_changed);
    }

    /// Whether answers with this mean latency are as useless as failures: they come after the latency
    /// objective of every class, while most hosts answer well within the longest one.
    fn is_too_late(&self, mean_latency: Micros) -> bool {
        let mean_latency_ms = mean_latency.0 as f64 / 1e3;
        let longest_objective_ms = self.longest_latency_objective_ms();
        mean_latency_ms > longest_objective_ms
            && self
                .median_latency_ms
                .is_some_and(|median_ms| median_ms < longest_objective_ms * MAX_MEDIAN_LATENCY_RATIO)
    }

    /// Records the utilization that a host reported. A report without one changes nothing.
    pub(crate) fn record_utilization(&mut self, host: &HostId, load: &HostLoad) {
        let Some(host) = self.hosts.get_mut(host) else { return };
        let Some(reported) = load.utilization else { return };
        let ratio = host.utilization.map_or(reported, |known| (known.ratio + reported) / 2.0);
        host.utilization = Some(ReportedUtilization { ratio, reported_at: self.now });
    }

    /// A host's utilization as a ratio; `None` if no recent report contained it.
    pub(crate) fn recent_utilization(&self, host: &Host) -> Option<f64> {
        let max_age_s = MAX_UTILIZATION_AGE_INTERVALS * self.scoring_interval_s();
        let recent = host.utilization.filter(|reported| self.now.since(reported.reported_at) <= max_age_s)?;
        Some(recent.ratio)
    }

    /// Records how many requests of a class a proxy received.
    pub(crate) fn record_usage(&mut self, proxy: ProxyId, class: ClassId, requests: AttemptCounts) {
        let Some(proxy) = self.proxies.get_mut(&proxy) else { return };
        proxy.last_report_at = self.now;
        let requests_per_s = requests.total as f64 / requests.period.secs().max(MIN_USAGE_PERIOD_S);
        let usage = proxy.usage.entry(class).or_insert(requests_per_s);
        *usage += USAGE_SMOOTHING_FACTOR * (requests_per_s - *usage);
    }

    /// Drops the usage of proxies that sent no usage report while others did: such proxies are idle, or their
    /// streams are half open. Silence is measured up to the latest report of any proxy, since a delay of all
    /// reports is no sign that one proxy is silent.
    pub(crate) fn expire_idle_usage(&mut self) {
        let latest_report_at =
            self.proxies.values().map(|proxy| proxy.last_report_at).max().unwrap_or_default();
        let min_silence_s = SILENT_REPORT_ROUNDS * self.settings.report_period.secs();
        for proxy in self.proxies.values_mut() {
            let requests_per_s = proxy.usage.values().sum::<f64>();
            let silence_s = latest_report_at.since(proxy.last_report_at);
            if requests_per_s * silence_s >= SILENT_ATTEMPTS && silence_s >= min_silence_s {
                proxy.usage.clear();
            }
        }
    }
}

/// Converts the counts of a load report to statistics.
fn report_stats(counts: AttemptCounts, mean_latency: Micros) -> AttemptStats {
    let attempts = counts.total as f64;
    let failures = counts.failed.min(counts.total) as f64;
    let latency_sum_ms = (attempts - failures) * mean_latency.0 as f64 / 1e3;
    AttemptStats { attempts, failures, latency_sum_ms }
}

/// Resets the count of missed attempts, which starts again from the latest load report.
fn restart_missed_attempts(stats: &mut ZoneHostStats, attempts_seen: ReportCounts) {
    stats.counts_at_last_report = attempts_seen;
    stats.missed_attempts = 0.0;
}

/// Adds the attempts of a load report to the evidence of outlier detection.
fn record_recent_attempts(stats: &mut ZoneHostStats, report: &AttemptStats, now: Timestamp) {
    let decay = 0.5f64.powf(now.since(stats.decayed_at) / EVIDENCE_HALF_LIFE_S);
    stats.recent_successes = stats.recent_successes * decay + report.attempts - report.failures;
    stats.recent_failures = stats.recent_failures * decay + report.failures;
    stats.decayed_at = now;
    if report.failures == report.attempts {
        stats.consecutive_failures += report.failures;
    } else {
        stats.consecutive_failures = 0.0;
    }
}

/// The number of consecutive useless attempts after a load report. The reset is a multiplication by 0 rather
/// than a branch, so that a NaN from a damaged checkpoint stays NaN.
fn extend_useless_run(consecutive_useless: f64, report: &AttemptStats, is_useless: bool) -> f64 {
    f64::from(is_useless) * (consecutive_useless + report.attempts)
}
