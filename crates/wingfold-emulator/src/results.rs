//! The results of one run: requests by their end, service over time, and how near each rule came to its limit.

use crate::rules::Margins;
use hdrhistogram::Histogram;
use wingfold_director::interface::{Micros, Timestamp};

/// The length of a service window in seconds.
pub const WINDOW_S: f64 = 5.0;

/// Highest latency that a histogram tells apart, in microseconds, and its significant digits.
const MAX_LATENCY_US: u64 = 600_000_000;
const LATENCY_DIGITS: u8 = 3;

/// Requests of a class in a zone, by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCounts {
    /// All that arrived.
    pub asked: u64,
    /// Refused by admission levels.
    pub refused: u64,
    /// Answered within the aim.
    pub good: u64,
    /// Answered later.
    pub late: u64,
    /// Not answered.
    pub lost: u64,
}

impl RequestCounts {
    /// Adds another's counts.
    pub fn add(&mut self, other: &RequestCounts) {
        self.asked += other.asked;
        self.refused += other.refused;
        self.good += other.good;
        self.late += other.late;
        self.lost += other.lost;
    }
}

/// Worth of the requests that arrived in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceWindow {
    /// Of all requests.
    pub asked: f64,
    /// Of those that were answered in time.
    pub in_time: f64,
}

impl ServiceWindow {
    /// Adds another's worth.
    fn add(self, other: ServiceWindow) -> ServiceWindow {
        ServiceWindow { asked: self.asked + other.asked, in_time: self.in_time + other.in_time }
    }

    /// The share that was answered in time; 1 where nothing was asked for.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 {
            self.in_time / self.asked
        } else {
            1.0
        }
    }
}

/// A line of a director's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// When it was written.
    pub at: Timestamp,
    /// Who wrote it.
    pub director: usize,
    /// What was written.
    pub text: String,
}

/// The results of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// By zone, then class.
    pub counts: Vec<Vec<RequestCounts>>,
    /// Worth asked for and answered in time, by window of [`WINDOW_S`].
    pub windows: Vec<ServiceWindow>,
    /// Latency of answered requests in microseconds, by class.
    pub latencies: Vec<Histogram<u64>>,
    /// How near each rule came to its limit.
    pub margins: Margins,
    /// Attempts after a request's first.
    pub retries: u64,
    /// Attempts that crossed zones.
    pub cross_zone_attempts: u64,
    /// Messages that directors sent to proxies.
    pub messages: u64,
    /// Lines in them.
    pub lines: u64,
    /// The logs of all directors.
    pub log: Vec<LogLine>,
    /// A digest of each director's tables at the end.
    pub digests: Vec<u64>,
}

impl RunResult {
    /// Empty results for a number of zones and classes.
    pub(crate) fn new(zones: usize, classes: usize, duration: Micros) -> RunResult {
        let windows = (duration.secs() / WINDOW_S).ceil() as usize;
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).expect("these bounds are valid");
        RunResult {
            counts: vec![vec![RequestCounts::default(); classes]; zones],
            windows: vec![ServiceWindow::default(); windows.max(1)],
            latencies: (0..classes).map(|_| histogram()).collect(),
            margins: Margins::default(),
            retries: 0,
            cross_zone_attempts: 0,
            messages: 0,
            lines: 0,
            log: Vec::new(),
            digests: Vec::new(),
        }
    }

    /// The window of a time; the last one for times after it.
    pub(crate) fn window_mut(&mut self, at: Timestamp) -> &mut ServiceWindow {
        let last = self.windows.len() - 1;
        let window = (at.secs() / WINDOW_S) as usize;
        &mut self.windows[window.min(last)]
    }

    /// Worth answered in time, as a share of the worth asked for.
    pub fn service(&self) -> f64 {
        let all = self.windows.iter().fold(ServiceWindow::default(), |sum, window| sum.add(*window));
        all.in_time / f64::max(all.asked, 1e-9)
    }

    /// The same in the worst two windows in a row.
    pub fn worst_service(&self) -> f64 {
        let pairs = self.windows.windows(2).map(|pair| pair[0].add(pair[1]));
        pairs.filter(|pair| pair.asked > 0.0).map(|pair| pair.share()).fold(1.0, f64::min)
    }

    /// One class over all zones.
    pub fn class(&self, class: usize) -> RequestCounts {
        let mut all = RequestCounts::default();
        for zone in &self.counts {
            all.add(&zone[class]);
        }
        all
    }
}
