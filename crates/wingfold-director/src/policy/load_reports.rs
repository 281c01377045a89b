//! Evidence from load reports: attempts at hosts, their utilization, and the usage of proxies.
use crate::director::Director;
use crate::interface::{AttemptCounts, ClassId, HostId, HostLoad, Micros, ProxyId, Timestamp, ZoneId};
use crate::policy::outlier_detection::is_useless_to_all_zones;
use crate::state::{AttemptStats, Host, ReportCounts, ReportedUtilization, ZoneHostStats};

/// Half-life of the attempts that outlier detection counts, in seconds: it must span a scoring round.
const EVIDENCE_HALF_LIFE_S: f64 = 2.0;
/// Expected attempts without a report from which a host or a proxy counts as silent.
pub(crate) const SILENT_ATTEMPTS: f64 = 7.0;
/// Reports that the others must have sent meanwhile: a single report may be delayed.
pub(crate) const SILENT_REPORT_ROUNDS: f64 = 3.0;
/// Scoring intervals for which a reported utilization stands: a host without requests reports none.
const MAX_UTILIZATION_AGE_INTERVALS: f64 = 2.0;
/// Ratio of the longest latency objective that the median latency must stay under for an answer beyond that
/// objective to count as useless.
const MAX_MEDIAN_LATENCY_RATIO: f64 = 0.5;
/// Weight of the latest value in the exponential smoothing of usage.
const USAGE_SMOOTHING_FACTOR: f64 = 0.5;
/// Shortest period of a usage report that a rate is computed from, in seconds.
const MIN_USAGE_PERIOD_S: f64 = 0.1;

impl Director {
    /// Records what the proxies of a zone met at a host.
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

    /// Whether answers with this mean latency are worth no more than failures: no class can use them, though
    /// most hosts answer well in time.
    fn is_too_late(&self, mean_latency: Micros) -> bool {
        let mean_latency_ms = mean_latency.0 as f64 / 1e3;
        let longest_objective_ms = self.longest_latency_objective_ms();
        mean_latency_ms > longest_objective_ms
            && self
                .median_latency_ms
                .is_some_and(|median_ms| median_ms < longest_objective_ms * MAX_MEDIAN_LATENCY_RATIO)
    }

    /// Records the utilization that a host reported, if it did.
    pub(crate) fn record_utilization(&mut self, host: &HostId, load: &HostLoad) {
        let Some(host) = self.hosts.get_mut(host) else { return };
        let Some(reported) = load.utilization else { return };
        let ratio = host.utilization.map_or(reported, |known| (known.ratio + reported) / 2.0);
        host.utilization = Some(ReportedUtilization { ratio, reported_at: self.now });
    }

    /// A host's utilization as a ratio, if it was reported lately.
    pub(crate) fn recent_utilization(&self, host: &Host) -> Option<f64> {
        let max_age_s = MAX_UTILIZATION_AGE_INTERVALS * self.scoring_interval_s();
        let recent = host.utilization.filter(|reported| self.now.since(reported.reported_at) <= max_age_s)?;
        Some(recent.ratio)
    }

    /// Records the requests of a class that came to a proxy.
    pub(crate) fn record_usage(&mut self, proxy: ProxyId, class: ClassId, requests: AttemptCounts) {
        let Some(proxy) = self.proxies.get_mut(&proxy) else { return };
        proxy.last_report_at = self.now;
        let requests_per_s = requests.total as f64 / requests.period.secs().max(MIN_USAGE_PERIOD_S);
        let usage = proxy.usage.entry(class).or_insert(requests_per_s);
        *usage += USAGE_SMOOTHING_FACTOR * (requests_per_s - *usage);
    }

    /// Drops the usage of proxies that have reported none while others did: they idle, or their streams are
    /// half open. Silence is measured up to the latest report of any proxy, since a delay of all reports
    /// says nothing of one proxy.
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

/// The attempts of a load report.
fn report_stats(counts: AttemptCounts, mean_latency: Micros) -> AttemptStats {
    let attempts = counts.total as f64;
    let failures = counts.failed.min(counts.total) as f64;
    let latency_sum_ms = (attempts - failures) * mean_latency.0 as f64 / 1e3;
    AttemptStats { attempts, failures, latency_sum_ms }
}

/// Starts to count missed attempts anew from a load report on.
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

/// The number of consecutive useless attempts after a load report. A factor resets it rather than a branch,
/// so that a count that a damaged checkpoint made NaN stays one.
fn extend_useless_run(consecutive_useless: f64, report: &AttemptStats, is_useless: bool) -> f64 {
    f64::from(is_useless) * (consecutive_useless + report.attempts)
}
