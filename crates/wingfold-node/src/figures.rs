//! The engine's part of the figures: tells the meter what happens, and hands an interval to the sinks once it has ended.
//! Nothing here waits: an interval is dropped where the sinks lag behind.

use crate::causes::Causes;
use crate::message::InvalidReason;
use crate::metrics::Metrics;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::sync::mpsc::Sender;
use wingfold_director::interface::{Event, Timestamp, ZoneId};
use wingfold_director::Director;
use wingfold_figures::{Figure, Interval, Meter, Value};

/// Delays between an order and its last written byte, kept by the streams' writers.
#[derive(Clone, Debug)]
pub struct Delays(Arc<Mutex<Histogram<u64>>>);

impl Default for Delays {
    fn default() -> Self {
        Delays(Arc::new(Mutex::new(
            Histogram::new_with_bounds(1, 36_000_000, 2).expect("these bounds are sound"),
        )))
    }
}

impl Delays {
    /// An order of this time has been written.
    pub fn written(&self, ordered: Instant) {
        let tenths = ordered.elapsed().as_micros() / 100;
        let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record((tenths as u64).max(1));
    }

    fn take(&self) -> Histogram<u64> {
        let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = histogram.clone();
        histogram.reset();
        taken
    }
}

/// Signs of life of collectors, by zone: messages since they were last looked at, whatever was in them.
#[derive(Clone, Debug, Default)]
pub struct Pulse(Arc<BTreeMap<Arc<str>, AtomicU64>>);

impl Pulse {
    /// For these zones.
    pub fn new(zones: &[ZoneId]) -> Self {
        Pulse(Arc::new(zones.iter().map(|zone| (zone.0.clone(), AtomicU64::new(0))).collect()))
    }

    /// The collector of a zone said something.
    pub fn beat(&self, zone: &str) {
        if let Some(count) = self.0.get(zone) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn take(&self) -> impl Iterator<Item = (ZoneId, u64)> + '_ {
        self.0.iter().map(|(zone, count)| (ZoneId(zone.clone()), count.swap(0, Ordering::Relaxed)))
    }
}

/// Running totals and present values of the sinks, by receiver.
#[derive(Debug, Default)]
pub struct SinkBook {
    /// By the receiver's name.
    pub receivers: Mutex<BTreeMap<Arc<str>, SinkCounts>>,
}

/// Of one receiver.
#[derive(Clone, Debug, Default)]
pub struct SinkCounts {
    /// Intervals dropped, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// Bytes that wait.
    pub waiting: u64,
    /// Bytes taken.
    pub sent: u64,
    /// Connections that failed.
    pub cuts: u64,
}

impl SinkBook {
    /// Changes what is kept of a receiver.
    pub fn with(&self, receiver: &Arc<str>, change: impl FnOnce(&mut SinkCounts)) {
        let mut all = self.receivers.lock().unwrap_or_else(PoisonError::into_inner);
        change(all.entry(receiver.clone()).or_default());
    }
}

/// The last interval, for `/figures`.
#[derive(Clone, Debug, Default)]
pub struct Shown(Arc<Mutex<Page>>);

/// What `/figures` says.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Page {
    /// The director.
    pub director: String,
    /// The end of the last interval, in seconds of the world's clock.
    pub at: f64,
    /// Its length in seconds.
    pub length: f64,
    /// Its values, as they stood: name, labels, value or the five of a distribution.
    pub figures: Vec<(String, Vec<Arc<str>>, Vec<f64>)>,
    /// The slowest and the failed of each stage.
    pub causes: Vec<crate::causes::Cause>,
}

impl Shown {
    /// The page as it is now.
    pub fn page(&self) -> Page {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The engine's end.
#[derive(Debug)]
pub struct Figures {
    /// Counts.
    pub meter: Meter,
    /// Kept by the streams' writers.
    pub delays: Delays,
    /// Kept by the collectors' connections.
    pub pulse: Pulse,
    /// Kept by the sinks.
    pub sinks: Arc<SinkBook>,
    /// For `/figures`.
    pub shown: Shown,
    /// Where intervals go.
    pub to: Sender<Arc<Interval>>,
    /// The slowest and the failed, where they are kept.
    pub causes: Option<Causes>,
    /// The director's name.
    pub name: String,
    /// What a reason of a invalid message is called.
    pub reasons: [Arc<str>; 5],
    /// Answers of discovery so far, when last looked at.
    pub listed: u64,
}

impl Figures {
    /// The module is about to be told these.
    pub fn told(&mut self, now: Timestamp, events: &[Event]) {
        events.iter().for_each(|event| self.meter.told(now, event));
    }

    /// After an answer: what is due is looked at, and an interval that has ended is handed on.
    pub fn after(&mut self, now: Timestamp, director: &Director, metrics: &Metrics) {
        let answered = metrics.list_answers_total.get();
        if answered != std::mem::replace(&mut self.listed, answered) {
            self.meter.listed(now);
        }
        for (zone, beats) in self.pulse.take() {
            self.meter.collector(now, &zone, beats);
        }
        self.meter.look(now, director);
        if now < self.meter.ends() {
            return;
        }
        let written = self.delays.take();
        let invalid = [
            InvalidReason::Form,
            InvalidReason::Range,
            InvalidReason::Name,
            InvalidReason::Turn,
            InvalidReason::Mark,
        ];
        let mut totals: Vec<(Figure, Vec<Arc<str>>, u64)> = vec![
            (Figure::PeersIn, vec![], metrics.datagrams_in_total.get()),
            (Figure::PeersOut, vec![], metrics.datagrams_out_total.get()),
            (Figure::ReportsDropped, vec![], metrics.reports_dropped_total.get()),
            (Figure::CaptureLost, vec![], metrics.capture_calls_lost_total.get()),
            (Figure::Invariants, vec![], metrics.invariants_broken_total.get()),
        ];
        let reasons = invalid.iter().zip(&self.reasons);
        totals.extend(
            reasons.map(|(why, name)| (Figure::Invalid, vec![name.clone()], metrics.invalid_so_far(*why))),
        );
        let mut gauges = Vec::new();
        for (receiver, counts) in self.sinks.receivers.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            totals.push((Figure::SinkSent, vec![receiver.clone()], counts.sent));
            totals.push((Figure::SinkCuts, vec![receiver.clone()], counts.cuts));
            for (reason, count) in &counts.dropped {
                totals.push((Figure::SinkDropped, vec![receiver.clone(), Arc::from(*reason)], *count));
            }
            gauges.push((Figure::SinkWaiting, vec![receiver.clone()], counts.waiting));
        }
        fn slices(all: &[(Figure, Vec<Arc<str>>, u64)]) -> Vec<(Figure, &[Arc<str>], u64)> {
            all.iter().map(|(figure, labels, value)| (*figure, &labels[..], *value)).collect()
        }
        let interval = self.meter.interval(now, director, &written, &slices(&totals), &slices(&gauges));
        let Some(interval) = interval else { return };
        self.show(&interval);
        if self.to.try_send(Arc::new(interval)).is_err() {
            metrics.intervals_dropped_total.one();
        }
    }

    fn show(&self, interval: &Interval) {
        let figures = interval.samples.iter().map(|sample| {
            let values = match sample.value {
                Value::Count(count) => vec![count as f64],
                Value::Gauge(value) => vec![value],
                Value::Spread(count, rest) => std::iter::once(count as f64).chain(rest).collect(),
            };
            (sample.figure.entry().name.to_string(), sample.labels.clone(), values)
        });
        let page = Page {
            director: self.name.clone(),
            at: interval.at.secs(),
            length: interval.length.secs(),
            figures: figures.collect(),
            causes: self.causes.as_ref().map(Causes::list).unwrap_or_default(),
        };
        *self.shown.0.lock().unwrap_or_else(PoisonError::into_inner) = page;
    }
}
