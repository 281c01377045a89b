//! Lines, datagrams and pickles.

use super::*;
use crate::catalogue::Metric;
use crate::interval::{Correction, Distribution};

fn interval(zone: &str) -> Interval {
    let labels = |labels: &[&str]| labels.iter().map(|label| Arc::from(*label)).collect();
    let one = |metric, of: &[&str], value| Sample { metric, labels: labels(of), value };
    Interval {
        number: 1,
        ended_at: Timestamp(1_796_083_200_000_000),
        length: wingfold_director::interface::Micros(10_000_000),
        samples: vec![
            one(Metric::RequestsOffered, &[zone, "verdict"], Value::Count(120)),
            one(Metric::AdmissionRatio, &[], Value::Gauge(0.95)),
            one(Metric::Utilization, &[], Value::Gauge(f64::NAN)),
            one(
                Metric::TableWriteDelay,
                &[],
                Value::Distribution(Distribution { count: 7, p50: 0.4, p90: 0.9, p99: 2.0, max: 3.5 }),
            ),
        ],
        corrections: vec![Correction {
            ended_at: Timestamp(1_796_083_190_000_000),
            samples: vec![one(Metric::RequestsOffered, &[zone, "verdict"], Value::Count(99))],
        }],
    }
}

fn naming(tags: bool) -> Naming {
    Naming { prefix: "wingfold".into(), director: "n.3".into(), tags }
}

#[test]
fn lines_have_a_path_a_value_and_the_time_of_their_interval() {
    let points = naming(false).points(&interval("a b\n"));
    let text = String::from_utf8(encode_lines(&points).to_vec()).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines[0], "wingfold.n_2e3.service.asked.a_20b_0a.verdict 99 1796083190",
        "the mended one first"
    );
    assert_eq!(lines[1], "wingfold.n_2e3.service.asked.a_20b_0a.verdict 120 1796083200");
    assert_eq!(lines[2], "wingfold.n_2e3.admitted 0.95 1796083200");
    assert_eq!(lines[3], "wingfold.n_2e3.table.written.count 7 1796083200", "what is no number is left out");
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
    let packets = encode_datagrams(&points);
    assert!(packets.len() > 10);
    assert!(packets.iter().all(|packet| packet.len() <= MAX_DATAGRAM_BYTES && packet.ends_with(b"\n")));
    assert_eq!(packets.concat(), encode_lines(&points).to_vec());
}

#[test]
fn pickled_points_are_read_back_as_lists_of_pairs() {
    let points = naming(false).points(&interval("hall"));
    let bytes = encode_pickles(&points);
    let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
    assert_eq!(bytes.len(), 4 + length);
    let read: Vec<(String, (u64, f64))> =
        serde_pickle::from_slice(&bytes[4..], serde_pickle::DeOptions::new()).unwrap();
    assert_eq!(read.len(), points.len());
    for ((path, (time, value)), point) in read.iter().zip(&points) {
        assert_eq!((path, time, value.to_bits()), (&point.path, &point.time, point.value.to_bits()));
    }
    let many: Vec<Point> = (0..1200).map(|_| points[0].clone()).collect();
    let bytes = encode_pickles(&many);
    let (mut at, mut messages) = (0, 0);
    while at < bytes.len() {
        let length = u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap()) as usize;
        (at, messages) = (at + 4 + length, messages + 1);
    }
    assert_eq!((at, messages), (bytes.len(), 3));
}
