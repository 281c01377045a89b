//! Records metrics in the engine and passes each ended interval to the sinks. Nothing here blocks: an
//! interval is dropped if the sinks lag behind.

use crate::clock::micros;
use crate::config::Config;
use crate::message::InvalidReason;
use crate::metrics::Metrics;
use crate::stage_runs::{StageRun, StageRuns};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use wingfold_director::interface::{Event, Timestamp, ZoneId};
use wingfold_director::Director;
use wingfold_metrics::meter::ExternalValues;
use wingfold_metrics::{ExternalValue, Interval, Meter, Metric, Sample, Value};

/// Intervals that may be queued for the sinks.
const MAX_QUEUED_INTERVALS: usize = 8;
/// Largest write delay that the histogram resolves, in tenths of a millisecond: an hour.
const MAX_WRITE_DELAY_TENTHS_MS: u64 = 36_000_000;

/// Delays between a decision and the last written byte of its update, recorded by the writers of the streams,
/// in tenths of a millisecond.
#[derive(Clone, Debug)]
pub struct WriteDelays(Arc<Mutex<Histogram<u64>>>);

impl Default for WriteDelays {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_WRITE_DELAY_TENTHS_MS, 2)
            .expect("the bounds are constant and valid");
        WriteDelays(Arc::new(Mutex::new(histogram)))
    }
}

impl WriteDelays {
    /// Records that an update which was decided at `decided_at` has just been written.
    pub fn record(&self, decided_at: Instant) {
        let delay = decided_at.elapsed().as_micros() / 100;
        let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record((delay as u64).max(1));
    }

    /// Returns the delays recorded since the last call.
    fn take(&self) -> Histogram<u64> {
        let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = histogram.clone();
        histogram.reset();
        taken
    }
}

/// Activity of collectors: for each zone, the messages of its collector since they were last counted, whether
/// valid or not.
#[derive(Clone, Debug, Default)]
pub struct CollectorActivity(Arc<BTreeMap<Arc<str>, AtomicU64>>);

impl CollectorActivity {
    /// Creates counters for these zones.
    pub fn new(zones: &[ZoneId]) -> Self {
        let counts = zones.iter().map(|zone| (zone.0.clone(), AtomicU64::new(0)));
        CollectorActivity(Arc::new(counts.collect()))
    }

    /// Records a message of a zone's collector.
    pub fn record(&self, zone: &str) {
        if let Some(count) = self.0.get(zone) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of messages of each zone's collector since the last call.
    fn take(&self) -> impl Iterator<Item = (ZoneId, u64)> + '_ {
        self.0.iter().map(|(zone, count)| (ZoneId(zone.clone()), count.swap(0, Ordering::Relaxed)))
    }
}

/// Counters of the sinks, by receiver.
#[derive(Debug, Default)]
pub struct SinkStats {
    receivers: Mutex<BTreeMap<Arc<str>, SinkCounters>>,
}

/// Counters of one receiver.
#[derive(Clone, Debug, Default)]
pub struct SinkCounters {
    /// Intervals dropped, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// Bytes that are queued.
    pub queued_bytes: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Connections that failed or broke, and over UDP sends that failed.
    pub failed_connections: u64,
}

impl SinkCounters {
    /// Counts an interval that was dropped.
    pub fn count_dropped(&mut self, reason: &'static str) {
        *self.dropped.entry(reason).or_default() += 1;
    }
}

impl SinkStats {
    /// Changes the counters of a receiver.
    pub fn update(&self, receiver: &Arc<str>, change: impl FnOnce(&mut SinkCounters)) {
        let mut receivers = self.receivers.lock().unwrap_or_else(PoisonError::into_inner);
        change(receivers.entry(receiver.clone()).or_default());
    }
}

/// The last interval as a page for `/figures`, shared by the engine and the HTTP routes.
#[derive(Clone, Debug, Default)]
pub struct LastInterval(Arc<Mutex<IntervalPage>>);

/// The body of `/figures`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct IntervalPage {
    /// The name of the director.
    pub director: String,
    /// The end of the interval, in seconds of Unix time.
    #[serde(rename = "at")]
    pub ended_at_s: f64,
    /// The length of the interval in seconds.
    #[serde(rename = "length")]
    pub length_s: f64,
    /// The values of the interval.
    #[serde(rename = "figures")]
    pub samples: Vec<PageSample>,
    /// The slowest and the latest failed runs of each stage.
    #[serde(rename = "causes")]
    pub stage_runs: Vec<StageRun>,
}

/// One value of the interval: the name of the metric, its labels, and its numbers. These are the value
/// itself, or the count and the four quantiles of a distribution.
#[derive(Clone, Debug, Serialize)]
pub struct PageSample(String, Vec<Arc<str>>, Vec<f64>);

impl PageSample {
    fn new(sample: &Sample) -> PageSample {
        let values = match sample.value {
            Value::Count(count) => vec![count as f64],
            Value::Gauge(value) => vec![value],
            Value::Distribution(distribution) => {
                let quantiles = distribution.quantiles();
                std::iter::once(distribution.count as f64).chain(quantiles).collect()
            }
        };
        PageSample(sample.metric.descriptor().name.to_string(), sample.labels.clone(), values)
    }
}

impl LastInterval {
    /// Returns the page of the last interval.
    pub fn page(&self) -> IntervalPage {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn replace(&self, page: IntervalPage) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = page;
    }
}

/// The channel from which the sinks receive intervals.
pub type IntervalReceiver = Receiver<Arc<Interval>>;

fn external_value(metric: Metric, labels: Vec<Arc<str>>, value: u64) -> ExternalValue {
    ExternalValue { metric, labels, value }
}

/// Records metrics in the engine and passes ended intervals to the sinks and to `/figures`.
#[derive(Debug)]
pub struct MetricsReporter {
    /// Computes the values of an interval.
    pub meter: Meter,
    /// Delays that the writers of the streams record.
    pub write_delays: WriteDelays,
    /// Activity that the connections of collectors record.
    pub collector_activity: CollectorActivity,
    /// Counters that the sinks update.
    pub sink_stats: Arc<SinkStats>,
    /// The page of `/figures`.
    pub last_interval: LastInterval,
    intervals: Sender<Arc<Interval>>,
    stage_runs: Option<StageRuns>,
    /// The director's name.
    name: String,
    /// The labels of the invalid messages' reasons, in the order of [`INVALID_REASONS`].
    invalid_labels: [Arc<str>; INVALID_REASONS.len()],
    /// The number of valid responses of discovery when it was last read.
    list_responses: u64,
}

/// All reasons why messages are invalid.
const INVALID_REASONS: [InvalidReason; 5] = [
    InvalidReason::Form,
    InvalidReason::Range,
    InvalidReason::Name,
    InvalidReason::Turn,
    InvalidReason::Mark,
];

impl MetricsReporter {
    /// Creates a reporter for intervals of this length, and the channel that receives them.
    pub fn new(
        config: &Config,
        interval: Duration,
        stage_runs: Option<StageRuns>,
        now: Timestamp,
        director: &Director,
    ) -> (MetricsReporter, IntervalReceiver) {
        let (intervals, receiver) = channel(MAX_QUEUED_INTERVALS);
        let reporter = MetricsReporter {
            meter: Meter::new(now, micros(interval), director, &config.names.classes),
            write_delays: WriteDelays::default(),
            collector_activity: CollectorActivity::new(&config.settings.zones),
            sink_stats: Arc::default(),
            last_interval: LastInterval::default(),
            intervals,
            stage_runs,
            name: config.name.clone(),
            invalid_labels: ["form", "range", "name", "turn", "mark"].map(Arc::from),
            list_responses: 0,
        };
        (reporter, receiver)
    }

    /// Records the events that the decision module is about to handle.
    pub fn record_events(&mut self, now: Timestamp, events: &[Event]) {
        for event in events {
            self.meter.record_event(now, event);
        }
    }

    /// Records, after a call of the decision module, what other tasks have counted, and publishes the
    /// interval if it has ended.
    pub fn finish_call(&mut self, now: Timestamp, director: &Director, metrics: &Metrics) {
        self.record_list_responses(now, metrics);
        for (zone, messages) in self.collector_activity.take() {
            self.meter.record_collector_activity(now, &zone, messages);
        }
        self.meter.update(now, director);
        if now < self.meter.interval_ends_at() {
            return;
        }
        if let Some(interval) = self.end_interval(now, director, metrics) {
            self.publish(&interval);
            if self.intervals.try_send(Arc::new(interval)).is_err() {
                metrics.intervals_dropped_total.increment();
            }
        }
    }

    fn record_list_responses(&mut self, now: Timestamp, metrics: &Metrics) {
        let responses = metrics.list_answers_total.get();
        if responses != self.list_responses {
            self.list_responses = responses;
            self.meter.record_list_response(now);
        }
    }

    fn end_interval(&mut self, now: Timestamp, director: &Director, metrics: &Metrics) -> Option<Interval> {
        let write_delays = self.write_delays.take();
        let mut totals = self.totals(metrics);
        let mut gauges = Vec::new();
        self.add_sink_values(&mut totals, &mut gauges);
        let external = ExternalValues { write_delays: &write_delays, totals: &totals, gauges: &gauges };
        self.meter.end_interval(now, director, external)
    }

    /// Returns the running totals of the whole director.
    fn totals(&self, metrics: &Metrics) -> Vec<ExternalValue> {
        let total = |metric, value| external_value(metric, Vec::new(), value);
        let mut totals = vec![
            total(Metric::PeerDatagramsReceived, metrics.datagrams_in_total.get()),
            total(Metric::PeerDatagramsSent, metrics.datagrams_out_total.get()),
            total(Metric::ReportsDropped, metrics.reports_dropped_total.get()),
            total(Metric::CaptureCallsLost, metrics.capture_calls_lost_total.get()),
            total(Metric::InvariantViolations, metrics.invariants_broken_total.get()),
        ];
        for (reason, label) in INVALID_REASONS.into_iter().zip(&self.invalid_labels) {
            let value = metrics.invalid_total(reason);
            totals.push(external_value(Metric::InvalidMessages, vec![label.clone()], value));
        }
        totals
    }

    /// Adds the running totals and gauges of each receiver.
    fn add_sink_values(&self, totals: &mut Vec<ExternalValue>, gauges: &mut Vec<ExternalValue>) {
        let receivers = self.sink_stats.receivers.lock().unwrap_or_else(PoisonError::into_inner);
        for (receiver, counters) in receivers.iter() {
            let value = |metric, value| external_value(metric, vec![receiver.clone()], value);
            totals.push(value(Metric::SinkBytesSent, counters.sent_bytes));
            totals.push(value(Metric::SinkFailedConnections, counters.failed_connections));
            for (reason, count) in &counters.dropped {
                let labels = vec![receiver.clone(), Arc::from(*reason)];
                totals.push(external_value(Metric::SinkIntervalsDropped, labels, *count));
            }
            gauges.push(value(Metric::SinkQueuedBytes, counters.queued_bytes));
        }
    }

    fn publish(&self, interval: &Interval) {
        self.last_interval.replace(IntervalPage {
            director: self.name.clone(),
            ended_at_s: interval.ended_at.secs(),
            length_s: interval.length.secs(),
            samples: interval.samples.iter().map(PageSample::new).collect(),
            stage_runs: self.stage_runs.as_ref().map(StageRuns::list).unwrap_or_default(),
        });
    }
}

#[cfg(test)]
mod tests;
