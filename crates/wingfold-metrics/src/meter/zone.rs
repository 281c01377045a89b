//! The measurements of one zone.

use super::{new_histogram, DELAY_RESOLUTION_US};
use crate::lag::LagEstimator;
use crate::source_monitor::{OutageEvidence, SourceMonitor, OVERDUE_PERIODS};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, VecDeque};
use wingfold_director::interface::{AttemptCounts, Micros, ProxyId, Timestamp, ZoneId};

/// The number of connected proxies is compared with its maximum over this time, in seconds.
const CONNECTION_HISTORY_S: f64 = 60.0;

/// The number of connected proxies at a time.
#[derive(Debug)]
struct ConnectionSample {
    at: Timestamp,
    proxies: usize,
}

/// Counters and source monitors of a zone.
#[derive(Debug)]
pub(super) struct ZoneMeter {
    pub(super) name: ZoneId,
    pub(super) load_reports: SourceMonitor,
    pub(super) collector: SourceMonitor,
    /// The monitors of usage reports, by class.
    pub(super) class_usage: Vec<SourceMonitor>,
    pub(super) lag: LagEstimator,
    /// The admission levels, by class.
    pub(super) admission_levels: Vec<f64>,
    /// Connected proxies, with the requests per second that each announced when it connected.
    pub(super) connected_proxies: BTreeMap<ProxyId, f64>,
    connection_history: VecDeque<ConnectionSample>,
    /// When a proxy of the zone last reported usage of any class.
    pub(super) last_usage_at: Option<Timestamp>,
    /// Proxies that disconnected in the present interval.
    pub(super) disconnections: u64,
    /// Latencies of successful attempts, in tenths of a millisecond.
    pub(super) attempt_latencies: Histogram<u64>,
}

impl ZoneMeter {
    pub(super) fn new(name: ZoneId, now: Timestamp, report_period: Micros, classes: usize) -> Self {
        let new_monitor = || SourceMonitor::new(now, report_period);
        ZoneMeter {
            name,
            load_reports: new_monitor(),
            collector: new_monitor(),
            class_usage: (0..classes).map(|_| new_monitor()).collect(),
            lag: LagEstimator::new(report_period),
            admission_levels: vec![1.0; classes],
            connected_proxies: BTreeMap::new(),
            connection_history: VecDeque::new(),
            last_usage_at: None,
            disconnections: 0,
            attempt_latencies: new_histogram(),
        }
    }

    pub(super) fn record_load_report(
        &mut self,
        now: Timestamp,
        attempts: AttemptCounts,
        mean_latency: Micros,
    ) {
        self.lag.record(now, attempts.total as f64);
        self.load_reports.record(now, attempts.total as f64);
        let successes = attempts.total.saturating_sub(attempts.failed);
        let latency = (mean_latency.0 / DELAY_RESOLUTION_US).max(1);
        self.attempt_latencies.saturating_record_n(latency, successes);
    }

    /// Updates the states of all sources of reports of the zone.
    pub(super) fn update_sources(&mut self, now: Timestamp, report_period: Micros, hosts_unreachable: bool) {
        let streams_broken = self.update_connection_history(now);
        let overdue_s = OVERDUE_PERIODS * report_period.secs();
        let has_usage = self.last_usage_at.is_some_and(|at| now.since(at) < overdue_s);
        let has_load_reports = self.load_reports.age_s(now) < overdue_s && self.load_reports.has_reported();
        let expected_per_s = self.expected_reports_per_s();
        let evidence = |other_sources_active, idle| OutageEvidence {
            other_sources_active,
            idle,
            streams_broken,
            hosts_unreachable,
        };
        for class in &mut self.class_usage {
            class.update(now, expected_per_s, evidence(has_usage || has_load_reports, has_usage));
        }
        self.load_reports.update(now, expected_per_s, evidence(has_usage, false));
        self.collector.update(now, expected_per_s, evidence(has_usage, false));
    }

    /// The requests per second that all connected proxies announced; `None` if no proxy is connected.
    fn expected_reports_per_s(&self) -> Option<f64> {
        if self.connected_proxies.is_empty() {
            return None;
        }
        Some(self.connected_proxies.values().sum())
    }

    /// Records how many proxies are connected. Returns whether less than half of the recent maximum is
    /// connected, or none if the maximum is 1.
    fn update_connection_history(&mut self, now: Timestamp) -> bool {
        let connected = self.connected_proxies.len();
        self.connection_history.push_back(ConnectionSample { at: now, proxies: connected });
        let is_old = |sample: &ConnectionSample| now.since(sample.at) > CONNECTION_HISTORY_S;
        while self.connection_history.front().is_some_and(is_old) {
            self.connection_history.pop_front();
        }
        let max_connected = self.connection_history.iter().map(|sample| sample.proxies).max().unwrap_or(0);
        match max_connected {
            0 => false,
            1 => connected == 0,
            _ => connected * 2 < max_connected,
        }
    }
}
