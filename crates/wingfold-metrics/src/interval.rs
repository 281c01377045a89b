//! The values of one interval, as they are passed to sinks.

use crate::catalogue::{Metric, MetricKind};
use hdrhistogram::Histogram;
use std::sync::Arc;
use wingfold_director::interface::{Micros, Timestamp};

/// The value of a metric in an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// The value of a counter: the number of events in the interval.
    Count(u64),
    /// The value of a gauge at the end of the interval.
    Gauge(f64),
    /// The summary of a distribution.
    Distribution(Distribution),
}

/// The count, the quantiles and the maximum of the values that were recorded in an interval, in the unit of
/// the metric.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Distribution {
    /// The number of recorded values.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The largest value.
    pub max: f64,
}

impl Distribution {
    /// Summarizes a histogram. One unit of the metric is `values_per_unit` in the histogram. Returns `None`
    /// if the histogram is empty.
    pub fn from_histogram(histogram: &Histogram<u64>, values_per_unit: f64) -> Option<Distribution> {
        if histogram.is_empty() {
            return None;
        }
        let quantile = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / values_per_unit;
        Some(Distribution {
            count: histogram.len(),
            p50: quantile(0.5),
            p90: quantile(0.9),
            p99: quantile(0.99),
            max: histogram.max() as f64 / values_per_unit,
        })
    }

    /// p50, p90, p99 and the maximum, in this order.
    pub fn quantiles(&self) -> [f64; 4] {
        [self.p50, self.p90, self.p99, self.max]
    }
}

/// One value of a metric, with its labels.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The metric.
    pub metric: Metric,
    /// The values of the metric's labels, in the order of the catalogue, before they are encoded.
    pub labels: Vec<Arc<str>>,
    /// The value.
    pub value: Value,
}

impl Sample {
    /// The kind of the sample's metric.
    pub fn kind(&self) -> MetricKind {
        self.metric.descriptor().kind
    }
}

/// All samples of one interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Interval {
    /// The number of the interval, counted from 1 since the director started.
    pub number: u64,
    /// The end of the interval, in microseconds of the Unix epoch.
    pub ended_at: Timestamp,
    /// The nominal length of the interval.
    pub length: Micros,
    /// The samples of this interval.
    pub samples: Vec<Sample>,
    /// Corrected counters of earlier intervals, to which late reports were added, for sinks that accept a
    /// past time.
    pub corrections: Vec<Correction>,
}

/// Counters of an earlier interval, including the late reports that belong to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Correction {
    /// The end of the earlier interval.
    pub ended_at: Timestamp,
    /// The corrected counters. Each has the complete value for the earlier interval, not the increase.
    pub samples: Vec<Sample>,
}
