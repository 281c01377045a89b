//! A list to which samples are added during an export.

use crate::catalogue::Metric;
use crate::interval::{Distribution, Sample, Value};
use std::sync::Arc;

/// Samples of an interval, in the order in which they are sent.
#[derive(Debug, Default)]
pub(super) struct SampleList(Vec<Sample>);

impl SampleList {
    fn push(&mut self, metric: Metric, labels: &[&Arc<str>], value: Value) {
        debug_assert_eq!(metric.descriptor().labels.len(), labels.len(), "{metric:?}");
        let labels = labels.iter().map(|label| Arc::clone(label)).collect();
        self.0.push(Sample { metric, labels, value });
    }

    pub(super) fn push_gauge(&mut self, metric: Metric, labels: &[&Arc<str>], value: f64) {
        self.push(metric, labels, Value::Gauge(value));
    }

    pub(super) fn push_count(&mut self, metric: Metric, labels: &[&Arc<str>], count: u64) {
        self.push(metric, labels, Value::Count(count));
    }

    /// Adds a distribution, unless it is `None` because no value was recorded.
    pub(super) fn push_distribution(
        &mut self,
        metric: Metric,
        labels: &[&Arc<str>],
        distribution: Option<Distribution>,
    ) {
        if let Some(distribution) = distribution {
            self.push(metric, labels, Value::Distribution(distribution));
        }
    }

    pub(super) fn into_samples(self) -> Vec<Sample> {
        self.0
    }
}
