//! Detects whether a source of reports is silent, and distinguishes an outage from a period with nothing to
//! report. This depends on the number of reports that were expected of the source, not on time alone.

#[cfg(test)]
mod tests;

use wingfold_director::interface::{Micros, Timestamp};

/// The state of a source of reports. The least severe state is first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SourceState {
    /// Reports arrive when they are due.
    #[default]
    Reporting,
    /// No report arrives, which is no sign of an outage: hardly any reports were expected, or other sources
    /// of the zone still report.
    Quiet,
    /// Reports are due and do not arrive.
    Silent,
    /// Reports are due and do not arrive, and there is evidence of a network partition.
    Partitioned,
}

impl SourceState {
    /// The state's value in metrics.
    pub fn number(self) -> f64 {
        f64::from(self as u8)
    }

    /// The state's name in output.
    pub fn name(self) -> &'static str {
        match self {
            SourceState::Reporting => "heard",
            SourceState::Quiet => "quiet",
            SourceState::Silent => "silent",
            SourceState::Partitioned => "cut",
        }
    }
}

/// A report is overdue after this many report periods: reports take one or two report periods to arrive.
pub(crate) const OVERDUE_PERIODS: f64 = 3.5;
/// The shortest report period that is monitored, in seconds.
pub(crate) const MIN_PERIOD_S: f64 = 0.05;
/// A gap in which this many reports were expected is significant: it occurs by chance with a probability of
/// about 1 in 20,000.
pub(crate) const SIGNIFICANT_REPORTS: f64 = 10.0;
/// The time constant of the usual report rate, in seconds.
pub(crate) const RATE_MEMORY_S: f64 = 20.0;
/// The number of reports after which a silent source counts as reporting again: a single delayed datagram is
/// no recovery.
const RECOVERY_REPORTS: u32 = 2;

/// Evidence of the reason why no reports arrive from a source.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutageEvidence {
    /// Other sources of the same zone still report.
    pub other_sources_active: bool,
    /// The proxies that report to this source had nothing to report.
    pub idle: bool,
    /// Most of the zone's streams ended recently and were not opened again.
    pub streams_broken: bool,
    /// No attempt of another zone reaches the zone's hosts.
    pub hosts_unreachable: bool,
}

/// Monitors one source of reports: a zone's load reports, the usage of a class, or a collector.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceMonitor {
    period_s: f64,
    state: SourceState,
    /// `None` before the first report.
    last_report_at: Option<Timestamp>,
    created_at: Timestamp,
    /// An exponentially weighted mean.
    usual_rate_per_s: f64,
    rate_updated_at: Timestamp,
    /// Reports since the source was last overdue.
    reports_since_overdue: u32,
}

impl SourceMonitor {
    /// A monitor of a source that is known from now on and reports once per `period`.
    pub fn new(now: Timestamp, period: Micros) -> Self {
        SourceMonitor {
            period_s: period.secs().max(MIN_PERIOD_S),
            state: SourceState::Reporting,
            last_report_at: None,
            created_at: now,
            usual_rate_per_s: 0.0,
            rate_updated_at: now,
            reports_since_overdue: 0,
        }
    }

    /// Records that reports of `count` requests, attempts or messages have arrived.
    pub fn record(&mut self, now: Timestamp, count: f64) {
        self.decay_rate(now);
        self.usual_rate_per_s += count / RATE_MEMORY_S;
        self.last_report_at = Some(now);
        self.reports_since_overdue += 1;
    }

    /// Decays the usual rate. This is done only when a report arrives, so that the rate is kept during a
    /// silence.
    fn decay_rate(&mut self, now: Timestamp) {
        self.usual_rate_per_s *= (-now.since(self.rate_updated_at) / RATE_MEMORY_S).exp();
        self.rate_updated_at = now;
    }

    /// Seconds since the last report, or since the monitor was created if there was no report.
    pub fn age_s(&self, now: Timestamp) -> f64 {
        now.since(self.last_report_at.unwrap_or(self.created_at))
    }

    /// Whether any report has ever arrived.
    pub fn has_reported(&self) -> bool {
        self.last_report_at.is_some()
    }

    /// Updates the state and returns it. `expected_per_s` is the rate that the connected proxies are expected
    /// to report, which is used until the first report; `None` if no proxy is connected.
    pub fn update(
        &mut self,
        now: Timestamp,
        expected_per_s: Option<f64>,
        evidence: OutageEvidence,
    ) -> SourceState {
        let age_s = self.age_s(now);
        if age_s > OVERDUE_PERIODS * self.period_s {
            self.state = self.overdue_state(age_s, expected_per_s, evidence);
            self.reports_since_overdue = 0;
        } else {
            self.state = self.timely_state();
        }
        self.state
    }

    /// The state while reports arrive in time.
    fn timely_state(&self) -> SourceState {
        let is_recovering = self.reports_since_overdue < RECOVERY_REPORTS;
        match self.state {
            SourceState::Silent | SourceState::Partitioned if is_recovering => self.state,
            _ => SourceState::Reporting,
        }
    }

    /// The state while a report is overdue.
    fn overdue_state(
        &self,
        age_s: f64,
        expected_per_s: Option<f64>,
        evidence: OutageEvidence,
    ) -> SourceState {
        let is_expected = expected_per_s.is_some();
        let has_missed_reports = self.has_missed_reports(age_s, expected_per_s);
        if evidence.other_sources_active {
            if has_missed_reports && !evidence.idle && is_expected {
                return SourceState::Silent;
            }
            return SourceState::Quiet;
        }
        // The evidence expires, since no attempts are made at unreachable hosts; the partition lasts until a
        // report arrives.
        if self.state == SourceState::Partitioned {
            return SourceState::Partitioned;
        }
        let is_missing = has_missed_reports || self.state == SourceState::Silent;
        if is_missing && is_partition(is_expected, evidence) {
            SourceState::Partitioned
        } else if is_missing && is_expected {
            SourceState::Silent
        } else {
            SourceState::Quiet
        }
    }

    /// Whether the gap since the last report is too long to occur by chance at the usual rate.
    fn has_missed_reports(&self, age_s: f64, expected_per_s: Option<f64>) -> bool {
        let rate_per_s =
            if self.has_reported() { self.usual_rate_per_s } else { expected_per_s.unwrap_or(0.0) };
        (age_s - self.period_s).max(0.0) * rate_per_s >= SIGNIFICANT_REPORTS
    }

    /// The state of the last update.
    pub fn state(&self) -> SourceState {
        self.state
    }
}

/// Whether the evidence shows a network partition. If no proxies are connected, both pieces of evidence
/// are required: one of them alone may also mean that the proxies moved to another director.
fn is_partition(proxies_connected: bool, evidence: OutageEvidence) -> bool {
    if proxies_connected {
        evidence.streams_broken || evidence.hosts_unreachable
    } else {
        evidence.streams_broken && evidence.hosts_unreachable
    }
}
