//! The encodings of Graphite: plain text lines, and pickled lists with a length prefix. They follow the
//! public description of carbon's protocols ("Feeding In Your Data" of Graphite's documentation): `path value
//! time\n` with tags as `;name=value` after the path, or a big-endian length of four bytes and a pickled list
//! of `(path, (time, value))`.

#[cfg(test)]
mod tests;

use crate::interval::{Interval, Sample, Value};
use crate::label_encoding::encode;
use std::sync::Arc;
use wingfold_director::interface::Timestamp;

/// The largest number of points in a pickled message: receivers reject messages of more than a megabyte.
const POINTS_PER_PICKLE: usize = 500;
/// The largest number of bytes in a datagram, small enough not to be fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

const MICROS_PER_S: u64 = 1_000_000;

/// How the paths of points are formed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Naming {
    /// The parts, separated by dots, with which every path begins; may be empty.
    pub prefix: String,
    /// The director's name.
    pub director: String,
    /// Whether the director and the labels are written as tags instead of parts of the path.
    pub tags: bool,
}

/// One value with its path.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// The path, with tags.
    pub path: String,
    /// The value.
    pub value: f64,
    /// The end of the value's interval, in seconds of the Unix epoch.
    pub time: u64,
}

impl Naming {
    /// The path of a sample's value; `value_name` is empty if the sample has only one.
    fn path(&self, sample: &Sample, value_name: &str) -> String {
        let descriptor = sample.metric.descriptor();
        let mut parts: Vec<String> = Vec::new();
        if !self.prefix.is_empty() {
            parts.push(self.prefix.clone());
        }
        if !self.tags {
            parts.push(encode(&self.director));
        }
        parts.push(descriptor.name.to_string());
        if !self.tags {
            parts.extend(sample.labels.iter().map(|label| encode(label)));
        }
        if !value_name.is_empty() {
            parts.push(value_name.to_string());
        }
        let mut path = parts.join(".");
        if self.tags {
            path.push_str(&format!(";director={}", encode(&self.director)));
            for (name, label) in descriptor.labels.iter().zip(&sample.labels) {
                path.push_str(&format!(";{name}={}", encode(label)));
            }
        }
        path
    }

    /// All points of an interval, beginning with the corrections of earlier intervals. Values that are not
    /// finite are left out.
    pub fn points(&self, interval: &Interval) -> Vec<Point> {
        let mut points = Vec::new();
        for correction in &interval.corrections {
            self.add_points(correction.ended_at, &correction.samples, &mut points);
        }
        self.add_points(interval.ended_at, &interval.samples, &mut points);
        points
    }

    fn add_points(&self, ended_at: Timestamp, samples: &[Sample], points: &mut Vec<Point>) {
        let time = ended_at.0 / MICROS_PER_S;
        for sample in samples {
            for named in named_values(sample) {
                if named.value.is_finite() {
                    let path = self.path(sample, named.name);
                    points.push(Point { path, value: named.value, time });
                }
            }
        }
    }
}

/// A value of a sample; the name is empty if the sample has only one.
struct NamedValue {
    name: &'static str,
    value: f64,
}

/// The values of a sample: a counter or a gauge has one value, a distribution has five.
fn named_values(sample: &Sample) -> Vec<NamedValue> {
    match sample.value {
        Value::Count(count) => vec![NamedValue { name: "", value: count as f64 }],
        Value::Gauge(value) => vec![NamedValue { name: "", value }],
        Value::Distribution(distribution) => vec![
            NamedValue { name: "count", value: distribution.count as f64 },
            NamedValue { name: "p50", value: distribution.p50 },
            NamedValue { name: "p90", value: distribution.p90 },
            NamedValue { name: "p99", value: distribution.p99 },
            NamedValue { name: "max", value: distribution.max },
        ],
    }
}

fn line(point: &Point) -> String {
    format!("{} {} {}\n", point.path, point.value, point.time)
}

/// Encodes points as lines, for TCP.
pub fn encode_lines(points: &[Point]) -> Arc<[u8]> {
    points.iter().map(line).collect::<String>().into_bytes().into()
}

/// Encodes points as datagrams of complete lines, for UDP.
pub fn encode_datagrams(points: &[Point]) -> Vec<Vec<u8>> {
    let mut datagrams: Vec<Vec<u8>> = Vec::new();
    for line in points.iter().map(line) {
        let has_room = |datagram: &&mut Vec<u8>| datagram.len() + line.len() <= MAX_DATAGRAM_BYTES;
        match datagrams.last_mut().filter(has_room) {
            Some(datagram) => datagram.extend(line.into_bytes()),
            None => datagrams.push(line.into_bytes()),
        }
    }
    datagrams
}

/// Encodes points as pickled lists with length prefixes, for TCP.
pub fn encode_pickles(points: &[Point]) -> Arc<[u8]> {
    let mut messages = Vec::new();
    for chunk in points.chunks(POINTS_PER_PICKLE) {
        let list: Vec<(&str, (u64, f64))> =
            chunk.iter().map(|point| (point.path.as_str(), (point.time, point.value))).collect();
        let options = serde_pickle::SerOptions::new().proto_v2();
        let pickle = serde_pickle::to_vec(&list, options).expect("strings and numbers can be pickled");
        messages.extend((pickle.len() as u32).to_be_bytes());
        messages.extend(pickle);
    }
    messages.into()
}
