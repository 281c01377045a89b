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
mod tests {
    use super::*;
    use crate::catalogue::Figure;

    fn interval(zone: &str) -> Interval {
        let labels = |labels: &[&str]| labels.iter().map(|label| Arc::from(*label)).collect();
        let one = |figure, of: &[&str], value| Sample { figure, labels: labels(of), value };
        Interval {
            number: 1,
            at: Timestamp(1_796_083_200_000_000),
            length: wingfold_director::interface::Micros(10_000_000),
            samples: vec![
                one(Figure::ServiceAsked, &[zone, "verdict"], Value::Count(120)),
                one(Figure::Admitted, &[], Value::Gauge(0.95)),
                one(Figure::Load, &[], Value::Gauge(f64::NAN)),
                one(Figure::TableWritten, &[], Value::Spread(7, [0.4, 0.9, 2.0, 3.5])),
            ],
            mended: vec![(
                Timestamp(1_796_083_190_000_000),
                vec![one(Figure::ServiceAsked, &[zone, "verdict"], Value::Count(99))],
            )],
        }
    }

    fn naming(tags: bool) -> Naming {
        Naming { prefix: "wingfold".into(), director: "n.3".into(), tags }
    }

    #[test]
    fn lines_have_a_path_a_value_and_the_time_of_their_interval() {
        let points = naming(false).points(&interval("a b\n"));
        let text = String::from_utf8(plain(&points).to_vec()).unwrap();
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(
            lines[0], "wingfold.n_2e3.service.asked.a_20b_0a.verdict 99 1796083190",
            "the mended one first"
        );
        assert_eq!(lines[1], "wingfold.n_2e3.service.asked.a_20b_0a.verdict 120 1796083200");
        assert_eq!(lines[2], "wingfold.n_2e3.admitted 0.95 1796083200");
        assert_eq!(
            lines[3], "wingfold.n_2e3.table.written.count 7 1796083200",
            "what is no number is left out"
        );
        assert_eq!(lines.len(), 8);
        let tagged = naming(true).points(&interval("a;b=c"));
        assert_eq!(tagged[1].path, "wingfold.service.asked;director=n_2e3;zone=a_3bb_3dc;class=verdict");
        assert_eq!(tagged[3].path, "wingfold.table.written.count;director=n_2e3");
    }

    #[test]
    fn datagrams_hold_whole_lines() {
        let mut interval = interval("hall");
        let one = interval.samples[0].clone();
        interval.samples.extend((0..500).map(|_| one.clone()));
        let points = naming(false).points(&interval);
        let packets = datagrams(&points);
        assert!(packets.len() > 10);
        assert!(packets.iter().all(|packet| packet.len() <= DATAGRAM && packet.ends_with(b"\n")));
        assert_eq!(packets.concat(), plain(&points).to_vec());
    }

    #[test]
    fn pickled_points_are_read_back_as_lists_of_pairs() {
        let points = naming(false).points(&interval("hall"));
        let bytes = pickle(&points);
        let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
        assert_eq!(bytes.len(), 4 + length);
        let read: Vec<(String, (u64, f64))> =
            serde_pickle::from_slice(&bytes[4..], serde_pickle::DeOptions::new()).unwrap();
        assert_eq!(read.len(), points.len());
        for ((path, (time, value)), point) in read.iter().zip(&points) {
            assert_eq!((path, time, value.to_bits()), (&point.path, &point.time, point.value.to_bits()));
        }
        let many: Vec<Point> = (0..1200).map(|_| points[0].clone()).collect();
        let bytes = pickle(&many);
        let (mut at, mut messages) = (0, 0);
        while at < bytes.len() {
            let length = u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap()) as usize;
            (at, messages) = (at + 4 + length, messages + 1);
        }
        assert_eq!((at, messages), (bytes.len(), 3));
    }
}
