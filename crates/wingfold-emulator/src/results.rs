//! The results of one run: requests by outcome, service over time, and the margins of the invariants.

use crate::invariants::Margins;
use hdrhistogram::Histogram;
use wingfold_director::interface::{Micros, Timestamp};

/// The length of a service window in seconds.
pub const WINDOW_S: f64 = 5.0;

/// The highest latency that a histogram can record, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of a latency histogram.
const LATENCY_DIGITS: u8 = 3;
/// Lower bound of the weight of all requests, which prevents a division by zero in a run without requests.
const MIN_WEIGHT: f64 = 1e-9;

/// Requests by outcome. Requests in progress when the run ends are counted only in `arrived`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCounts {
    /// All requests that arrived.
    pub arrived: u64,
    /// Rejected by the admission level.
    pub rejected: u64,
    /// Answered within the latency objective.
    pub in_time: u64,
    /// Answered after the latency objective.
    pub late: u64,
    /// Admitted, but not answered.
    pub failed: u64,
}

impl RequestCounts {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &RequestCounts) {
        self.arrived += other.arrived;
        self.rejected += other.rejected;
        self.in_time += other.in_time;
        self.late += other.late;
        self.failed += other.failed;
    }
}

/// The summed priority weights of the requests that arrived in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceWindow {
    /// The weight of all requests that arrived.
    pub arrived_weight: f64,
    /// The weight of the requests that were answered within their latency objective.
    pub in_time_weight: f64,
}

impl ServiceWindow {
    fn add(self, other: ServiceWindow) -> ServiceWindow {
        ServiceWindow {
            arrived_weight: self.arrived_weight + other.arrived_weight,
            in_time_weight: self.in_time_weight + other.in_time_weight,
        }
    }

    /// The share of the weight that was answered in time; 1 if no request arrived.
    pub fn service_ratio(&self) -> f64 {
        if self.arrived_weight > 0.0 {
            self.in_time_weight / self.arrived_weight
        } else {
            1.0
        }
    }
}

/// A notice in the log of a director.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// When the decision module gave the notice.
    pub at: Timestamp,
    /// The index of the director.
    pub director: usize,
    /// The text of the notice.
    pub text: String,
}

/// The results of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Requests by zone, then class.
    pub request_counts: Vec<Vec<RequestCounts>>,
    /// Service over time: consecutive windows of [`WINDOW_S`]. A request counts in the window in which it
    /// arrived.
    pub windows: Vec<ServiceWindow>,
    /// Latencies of answered requests in microseconds, by class.
    pub latencies_us: Vec<Histogram<u64>>,
    /// How close the run came to the limit of each invariant.
    pub margins: Margins,
    /// Attempts other than the first of a request.
    pub retries: u64,
    /// Attempts at hosts outside the zone of the proxy.
    pub cross_zone_attempts: u64,
    /// Messages that directors sent to proxies.
    pub messages_sent: u64,
    /// Table entries and barriers in those messages.
    pub entries_sent: u64,
    /// The notices of all directors, in the order of time; their number is limited.
    pub log: Vec<LogLine>,
    /// The digest of each director's decision module when the run ends; 0 for a director that is down.
    pub digests: Vec<u64>,
}

impl RunResult {
    /// Creates empty results for a run of `duration` with the given numbers of zones and classes.
    pub(crate) fn new(zones: usize, classes: usize, duration: Micros) -> RunResult {
        let windows = (duration.secs() / WINDOW_S).ceil() as usize;
        RunResult {
            request_counts: vec![vec![RequestCounts::default(); classes]; zones],
            windows: vec![ServiceWindow::default(); windows.max(1)],
            latencies_us: vec![empty_latency_histogram(); classes],
            margins: Margins::default(),
            retries: 0,
            cross_zone_attempts: 0,
            messages_sent: 0,
            entries_sent: 0,
            log: Vec::new(),
            digests: Vec::new(),
        }
    }

    /// The window that contains a time, or the last window for a later time.
    pub(crate) fn window_mut(&mut self, at: Timestamp) -> &mut ServiceWindow {
        let last = self.windows.len() - 1;
        let index = (at.secs() / WINDOW_S) as usize;
        &mut self.windows[index.min(last)]
    }

    /// The share of the priority weight of all requests that was answered in time, over the whole run.
    pub fn service_ratio(&self) -> f64 {
        let total = self.windows.iter().fold(ServiceWindow::default(), |sum, window| sum.add(*window));
        total.in_time_weight / f64::max(total.arrived_weight, MIN_WEIGHT)
    }

    /// The lowest service ratio of any two consecutive windows in which requests arrived; 1 if there are
    /// none.
    pub fn worst_service_ratio(&self) -> f64 {
        let pairs = self.windows.windows(2).map(|pair| pair[0].add(pair[1]));
        let pairs_with_requests = pairs.filter(|pair| pair.arrived_weight > 0.0);
        pairs_with_requests.map(|pair| pair.service_ratio()).fold(1.0, f64::min)
    }

    /// The requests of a class, summed over all zones.
    pub fn class_counts(&self, class: usize) -> RequestCounts {
        let mut total = RequestCounts::default();
        for zone in &self.request_counts {
            total.add(&zone[class]);
        }
        total
    }
}

fn empty_latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).expect("the bounds and digits are valid")
}
