//! The values of one interval, as sinks receive them.

use crate::catalogue::{Metric, MetricKind};
use hdrhistogram::Histogram;
use std::sync::Arc;
use wingfold_director::interface::{Micros, Timestamp};

/// The value of a metric in an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// Of a counter: events in the interval.
    Count(u64),
    /// Of a gauge: the value at the end of the interval.
    Gauge(f64),
    /// Of a distribution.
    Distribution(Distribution),
}

/// Count and quantiles of the values recorded in an interval, in the unit of their metric.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Distribution {
    /// How many values were recorded.
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
    /// Summarizes a histogram whose recorded values are fractions of the metric's unit, `values_per_unit` to one unit.
    /// `None` if the histogram is empty.
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
    /// Values of the metric's labels, in the order of the catalogue, not yet encoded.
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
    /// Counts the intervals of this incarnation of the director, from 1.
    pub number: u64,
    /// The end of the interval, in microseconds of the Unix epoch.
    pub ended_at: Timestamp,
    /// The nominal length of the interval.
    pub length: Micros,
    /// The samples of this interval.
    pub samples: Vec<Sample>,
    /// Counters of earlier intervals that late reports have changed, for sinks that accept a past time.
    pub corrections: Vec<Correction>,
}

/// Counters of an earlier interval, with the late reports that belong to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Correction {
    /// The end of the earlier interval.
    pub ended_at: Timestamp,
    /// Its changed counters, complete.
    pub samples: Vec<Sample>,
}
