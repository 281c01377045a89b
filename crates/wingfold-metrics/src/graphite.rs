//! Intervals as Graphite takes them: plain lines, and pickled lists behind a length. From the public description of
//! carbon's protocols ("Feeding In Your Data" of Graphite's documentation): `path value time\n`, tags as `;name=value`
//! behind the path; or a big-endian length of four bytes and a pickled list of `(path, (time, value))`.

use crate::meter::{Interval, Sample, Value};
use crate::names::encode;
use std::sync::Arc;
use wingfold_director::interface::Timestamp;

/// Points of one pickled message: its receivers refuse messages of more than a megabyte.
const PICKLED: usize = 500;
/// Bytes of one datagram: within what every path carries in one piece.
pub const DATAGRAM: usize = 1400;

/// How names are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Naming {
    /// What every path begins with; dots part it.
    pub prefix: String,
    /// The director, a part of its own.
    pub director: String,
    /// Labels as tags instead of parts of the path.
    pub tags: bool,
}

/// One value under its whole name.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// The path, tags included.
    pub path: String,
    /// The value.
    pub value: f64,
    /// The end of its interval, in seconds of the world's clock.
    pub time: u64,
}

impl Naming {
    /// A sample's name and that of each of its values.
    pub fn paths(&self, sample: &Sample) -> Vec<(String, f64)> {
        let entry = sample.figure.entry();
        let path = |last: &str| {
            let mut path = String::new();
            if !self.prefix.is_empty() {
                path.push_str(&self.prefix);
                path.push('.');
            }
            if !self.tags {
                path.push_str(&encode(&self.director));
                path.push('.');
            }
            path.push_str(entry.name);
            if !self.tags {
                for label in &sample.labels {
                    path.push('.');
                    path.push_str(&encode(label));
                }
            }
            if !last.is_empty() {
                path.push('.');
                path.push_str(last);
            }
            if self.tags {
                path.push_str(&format!(";director={}", encode(&self.director)));
                for (name, label) in entry.labels.iter().zip(&sample.labels) {
                    path.push_str(&format!(";{name}={}", encode(label)));
                }
            }
            path
        };
        match sample.value {
            Value::Count(count) => vec![(path(""), count as f64)],
            Value::Gauge(value) => vec![(path(""), value)],
            Value::Spread(count, [p50, p90, p99, max]) => {
                let values =
                    [("count", count as f64), ("p50", p50), ("p90", p90), ("p99", p99), ("max", max)];
                values.into_iter().map(|(name, value)| (path(name), value)).collect()
            }
        }
    }

    /// All points of an interval, those of earlier ones that were mended first. What is no number is left out.
    pub fn points(&self, interval: &Interval) -> Vec<Point> {
        let seconds = |at: Timestamp| at.0 / 1_000_000;
        let mended =
            interval.mended.iter().flat_map(|(at, samples)| samples.iter().map(move |one| (*at, one)));
        let all = mended.chain(interval.samples.iter().map(|one| (interval.at, one)));
        let points = all.flat_map(|(at, sample)| {
            let named = self.paths(sample).into_iter().filter(|(_, value)| value.is_finite());
            named.map(move |(path, value)| Point { path, value, time: seconds(at) })
        });
        points.collect()
    }
}

fn line(point: &Point) -> String {
    format!("{} {} {}\n", point.path, point.value, point.time)
}

/// Lines, for TCP.
pub fn plain(points: &[Point]) -> Arc<[u8]> {
    points.iter().map(line).collect::<String>().into_bytes().into()
}

/// Whole lines in datagrams, for UDP.
pub fn datagrams(points: &[Point]) -> Vec<Vec<u8>> {
    let mut out: Vec<Vec<u8>> = Vec::new();
    for line in points.iter().map(line) {
        match out.last_mut().filter(|last| last.len() + line.len() <= DATAGRAM) {
            Some(last) => last.extend(line.into_bytes()),
            None => out.push(line.into_bytes()),
        }
    }
    out
}

/// Pickled lists, each behind its length, for TCP.
pub fn pickle(points: &[Point]) -> Arc<[u8]> {
    let mut out = Vec::new();
    for some in points.chunks(PICKLED) {
        let list: Vec<(&str, (u64, f64))> =
            some.iter().map(|point| (point.path.as_str(), (point.time, point.value))).collect();
        let options = serde_pickle::SerOptions::new().proto_v2();
        let bytes = serde_pickle::to_vec(&list, options).expect("texts and numbers can be pickled");
        out.extend((bytes.len() as u32).to_be_bytes());
        out.extend(bytes);
    }
    out.into()
}

#[cfg(test)]
mod tests;
