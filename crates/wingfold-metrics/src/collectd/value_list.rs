//! Value lists, and the conversion of samples into value lists.

use super::TypedValue;
use crate::interval::{Interval, Sample, Value};
use crate::label_encoding::encode;
use wingfold_director::interface::Timestamp;

const COUNT_TYPE: &str = "wingfold_count";
const GAUGE_TYPE: &str = "wingfold_gauge";
const DISTRIBUTION_TYPE: &str = "wingfold_spread";

/// The types of wingfold's values, as in `deploy/wingfold.types.db`.
pub const TYPES_DB: &str = "\
wingfold_count\tvalue:ABSOLUTE:0:U
wingfold_gauge\tvalue:GAUGE:U:U
wingfold_spread\tcount:ABSOLUTE:0:U, p50:GAUGE:0:U, p90:GAUGE:0:U, p99:GAUGE:0:U, max:GAUGE:0:U
";

/// Values that have the same name and the same time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValueList {
    /// The machine, or the director.
    pub host: String,
    /// The plugin that read the values.
    pub plugin: String,
    /// Distinguishes instances of the plugin.
    pub plugin_instance: String,
    /// The type of the values: an entry of a types database.
    pub type_name: String,
    /// Distinguishes values of one type.
    pub type_instance: String,
    /// The time since the Unix epoch, in 2^-30 seconds.
    pub time: u64,
    /// The length of an interval, in 2^-30 seconds.
    pub interval: u64,
    /// The values.
    pub values: Vec<TypedValue>,
}

impl ValueList {
    /// Converts a sample into a value list. Returns `None` if one of the sample's values is not finite.
    pub fn from_sample(director: &str, interval: &Interval, sample: &Sample) -> Option<ValueList> {
        let values = typed_values(sample);
        if !values.iter().all(TypedValue::is_valid) {
            return None;
        }
        let labels: Vec<String> = sample.labels.iter().map(|label| encode(label)).collect();
        Some(ValueList {
            host: encode(director),
            plugin: "wingfold".into(),
            plugin_instance: labels.join("."),
            type_name: type_name(sample).into(),
            type_instance: sample.metric.descriptor().name.into(),
            time: high_resolution(interval.ended_at.0),
            interval: high_resolution(interval.length.0),
            values,
        })
    }
}

fn type_name(sample: &Sample) -> &'static str {
    match sample.value {
        Value::Count(_) => COUNT_TYPE,
        Value::Gauge(_) => GAUGE_TYPE,
        Value::Distribution(_) => DISTRIBUTION_TYPE,
    }
}

fn typed_values(sample: &Sample) -> Vec<TypedValue> {
    match sample.value {
        Value::Count(count) => vec![TypedValue::Absolute(count)],
        Value::Gauge(value) => vec![TypedValue::Gauge(value)],
        Value::Distribution(distribution) => {
            let mut values = vec![TypedValue::Absolute(distribution.count)];
            values.extend(distribution.quantiles().map(TypedValue::Gauge));
            values
        }
    }
}

/// Converts microseconds to collectd's unit of 2^-30 seconds.
pub fn high_resolution(micros: u64) -> u64 {
    ((u128::from(micros) << 30) / 1_000_000) as u64
}

/// Converts a time in collectd's unit of 2^-30 seconds into microseconds.
pub fn timestamp(time: u64) -> Timestamp {
    Timestamp(((u128::from(time) * 1_000_000) >> 30) as u64)
}
