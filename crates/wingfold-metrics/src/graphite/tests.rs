//! Points of an interval as lines, datagrams and pickled messages.

use super::*;
use crate::catalogue::Metric;
use crate::interval::{Correction, Distribution};

fn interval(zone: &str) -> Interval {
    let labels = |labels: &[&str]| labels.iter().map(|label| Arc::from(*label)).collect();
    let sample =
        |metric, label_values: &[&str], value| Sample { metric, labels: labels(label_values), value };
    Interval {
        number: 1,
        ended_at: Timestamp(1_796_083_200_000_000),
        length: wingfold_director::interface::Micros(10_000_000),
        samples: vec![
            sample(Metric::RequestsOffered, &[zone, "verdict"], Value::Count(120)),
            sample(Metric::AdmissionRatio, &[], Value::Gauge(0.95)),
            sample(Metric::Utilization, &[], Value::Gauge(f64::NAN)),
            sample(
                Metric::TableWriteDelay,
                &[],
                Value::Distribution(Distribution { count: 7, p50: 0.4, p90: 0.9, p99: 2.0, max: 3.5 }),
            ),
        ],
        corrections: vec![Correction {
            ended_at: Timestamp(1_796_083_190_000_000),
            samples: vec![sample(Metric::RequestsOffered, &[zone, "verdict"], Value::Count(99))],
        }],
    }
}

fn naming(tags: bool) -> Naming {
    Naming { prefix: "wingfold".into(), director: "n.3".into(), tags }
}

#[test]
fn points_are_written_as_lines_of_path_value_and_time() {
    let points = naming(false).points(&interval("a b\n"));
    let text = String::from_utf8(encode_lines(&points).to_vec()).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines[0], "wingfold.n_2e3.service.asked.a_20b_0a.verdict 99 1796083190",
        "the correction comes first"
    );
    assert_eq!(lines[1], "wingfold.n_2e3.service.asked.a_20b_0a.verdict 120 1796083200");
    assert_eq!(lines[2], "wingfold.n_2e3.admitted 0.95 1796083200");
    assert_eq!(lines[3], "wingfold.n_2e3.table.written.count 7 1796083200", "NaN is left out");
    assert_eq!(lines.len(), 8);
    let tagged = naming(true).points(&interval("a;b=c"));
    assert_eq!(tagged[1].path, "wingfold.service.asked;director=n_2e3;zone=a_3bb_3dc;class=verdict");
    assert_eq!(tagged[3].path, "wingfold.table.written.count;director=n_2e3");
}

#[test]
fn datagrams_hold_complete_lines_up_to_the_size_limit() {
    let mut interval = interval("zone");
    let sample = interval.samples[0].clone();
    interval.samples.extend((0..500).map(|_| sample.clone()));
    let points = naming(false).points(&interval);
    let datagrams = encode_datagrams(&points);
    assert!(datagrams.len() > 10);
    assert!(datagrams
        .iter()
        .all(|datagram| datagram.len() <= MAX_DATAGRAM_BYTES && datagram.ends_with(b"\n")));
    assert_eq!(datagrams.concat(), encode_lines(&points).to_vec());
}

#[test]
fn pickled_messages_hold_all_points_in_batches_of_500() {
    let points = naming(false).points(&interval("zone"));
    let bytes = encode_pickles(&points);
    let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
    assert_eq!(bytes.len(), 4 + length);
    let decoded: Vec<(String, (u64, f64))> =
        serde_pickle::from_slice(&bytes[4..], serde_pickle::DeOptions::new()).unwrap();
    assert_eq!(decoded.len(), points.len());
    for ((path, (time, value)), point) in decoded.iter().zip(&points) {
        assert_eq!((path, time, value.to_bits()), (&point.path, &point.time, point.value.to_bits()));
    }
    let many: Vec<Point> = (0..1200).map(|_| points[0].clone()).collect();
    let bytes = encode_pickles(&many);
    let (mut offset, mut messages) = (0, 0);
    while offset < bytes.len() {
        let length = u32::from_be_bytes(bytes[offset..offset + 4].try_into().unwrap()) as usize;
        (offset, messages) = (offset + 4 + length, messages + 1);
    }
    assert_eq!((offset, messages), (bytes.len(), 3));
}
