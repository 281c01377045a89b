//! Estimates by how much the delay of a zone's load reports exceeds their usual delay.

#[cfg(test)]
mod tests;

use crate::source_monitor::{MIN_PERIOD_S, RATE_MEMORY_S, SIGNIFICANT_REPORTS};
use wingfold_director::interface::{Micros, Timestamp};

/// Reports that were missing for longer than this are taken to be lost, not late; in seconds.
const MAX_LAG_S: f64 = 10.0;
/// Time constant, in seconds, with which the estimated lag decays: a lag that does not change becomes the
/// usual delay.
const LAG_MEMORY_S: f64 = 120.0;
/// If the reports of three consecutive periods are at least this multiple of the usual reports of one period,
/// late reports have caught up.
const CATCH_UP_RATIO: f64 = 4.4;
/// A period with less than this fraction of the usual reports counts as missing.
const MISSING_RATIO: f64 = 0.25;
/// If at least this many periods are missing, the reports after them are taken to be late.
const MIN_MISSING_PERIODS: f64 = 2.0;

/// The reports of a period, and the attempts in them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PeriodCounts {
    reports: f64,
    attempts: f64,
}

/// Estimates the lag of a zone's load reports, which have no timestamps. A lag begins with periods without
/// reports in a zone that usually reports in every period, and ends when more reports than usual arrive at
/// once. A lag of less than two periods is not detected.
#[derive(Clone, Debug, PartialEq)]
pub struct LagEstimator {
    period_s: f64,
    /// `None` before the first report.
    period_started_s: Option<f64>,
    current: PeriodCounts,
    /// Exponentially weighted means of the counts per period.
    usual: PeriodCounts,
    /// The numbers of reports in the two periods before the present one, the older first.
    previous_reports: [f64; 2],
    missing_periods: f64,
    lag_periods: f64,
}

impl LagEstimator {
    /// An estimator for reports that are sent once per `period`.
    pub fn new(period: Micros) -> Self {
        LagEstimator {
            period_s: period.secs().max(MIN_PERIOD_S),
            period_started_s: None,
            current: PeriodCounts::default(),
            usual: PeriodCounts::default(),
            previous_reports: [0.0; 2],
            missing_periods: 0.0,
            lag_periods: 0.0,
        }
    }

    /// Records a report of this many attempts.
    pub fn record(&mut self, now: Timestamp, attempts: f64) {
        let now_s = now.secs();
        let started_s = *self.period_started_s.get_or_insert(now_s);
        let elapsed_periods = ((now_s - started_s) / self.period_s).floor();
        if elapsed_periods >= 1.0 {
            self.end_period(elapsed_periods);
            self.period_started_s = Some(started_s + elapsed_periods * self.period_s);
        }
        self.current.reports += 1.0;
        self.current.attempts += attempts;
    }

    /// Ends the present period, and the periods after it without reports: `elapsed_periods` in total.
    fn end_period(&mut self, elapsed_periods: f64) {
        let ended = std::mem::take(&mut self.current);
        let empty_periods = elapsed_periods - 1.0;
        // In a zone with few attempts, a period without reports does not mean that reports are late.
        let is_busy = self.usual.attempts >= SIGNIFICANT_REPORTS;
        self.lag_periods *= (-elapsed_periods * self.period_s / LAG_MEMORY_S).exp();
        self.detect_gap(is_busy, ended.reports, elapsed_periods);
        self.detect_catch_up(is_busy, ended.reports, empty_periods);
        self.update_usual(ended);
    }

    /// Counts missing periods. Once reports arrive again, adds the missing periods to the lag, or resets the
    /// lag if the missing reports are lost.
    fn detect_gap(&mut self, is_busy: bool, reports: f64, elapsed_periods: f64) {
        if is_busy && reports < MISSING_RATIO * self.usual.reports {
            self.missing_periods += elapsed_periods;
            return;
        }
        let is_lost = self.missing_periods * self.period_s > MAX_LAG_S;
        if is_lost {
            self.lag_periods = 0.0;
        } else if is_busy && self.missing_periods >= MIN_MISSING_PERIODS {
            self.lag_periods += self.missing_periods;
        }
        self.missing_periods = elapsed_periods - 1.0;
    }

    /// Reduces the lag if the reports of the last three periods show that late reports have caught up.
    fn detect_catch_up(&mut self, is_busy: bool, reports: f64, empty_periods: f64) {
        let recent_reports = self.previous_reports[0] + self.previous_reports[1] + reports;
        let usual_periods = recent_reports / self.usual.reports.max(1.0);
        if empty_periods > 0.0 {
            self.previous_reports = [0.0; 2];
        } else {
            self.previous_reports = [self.previous_reports[1], reports];
        }
        if is_busy && usual_periods >= CATCH_UP_RATIO {
            let caught_up_periods = (usual_periods - 3.0).round();
            self.lag_periods = (self.lag_periods - caught_up_periods).max(0.0);
            self.previous_reports = [0.0; 2];
        }
    }

    fn update_usual(&mut self, ended: PeriodCounts) {
        let is_first = self.usual == PeriodCounts::default();
        let weight = if is_first { 1.0 } else { 1.0 - (-self.period_s / RATE_MEMORY_S).exp() };
        self.usual.reports += (ended.reports - self.usual.reports) * weight;
        self.usual.attempts += (ended.attempts - self.usual.attempts) * weight;
    }

    /// The lag in seconds.
    pub fn secs(&self) -> f64 {
        self.lag_periods * self.period_s
    }
}
