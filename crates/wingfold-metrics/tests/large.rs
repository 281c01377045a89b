//! One interval of a large deployment: 511 hosts, six zones, three classes and 900 proxies.

use hdrhistogram::Histogram;
use std::time::Instant;
use wingfold_director::interface::*;
use wingfold_director::Director;
use wingfold_metrics::collectd::{
    decode_packet, encode_packets, Credentials, PacketSecurity, ValueList, DEFAULT_PACKET_BYTES,
};
use wingfold_metrics::graphite::{self, Naming};
use wingfold_metrics::meter::ExternalValues;
use wingfold_metrics::{Interval, Meter, Metric};

fn credentials() -> Credentials {
    Credentials { user: "u".into(), key: "k".into() }
}

fn deployment() -> (Director, Meter) {
    let zones: Vec<ZoneId> = (0..6).map(|index| ZoneId(format!("zone {index}").into())).collect();
    let class = || Class {
        latency_objective: Micros(1_000_000),
        deadline: Micros(3_000_000),
        priority_weight: 1.0,
        repeat_safety: RepeatSafety::Idempotent,
        own_zone_only: false,
        allowed_zones: Vec::new(),
        allowed_machine_types: Vec::new(),
    };
    let settings = Settings {
        directors: 1,
        zones: zones.clone(),
        classes: vec![class(), class(), class()],
        proxies: 900,
        send_rate_lines_per_s: 1e6,
        max_queued_lines: 1e6,
        report_period: Micros(1_000_000),
        warm_up: Micros(14_000_000),
        drain_grace: Micros(3_000_000),
        poll_within: Micros(10_000_000),
        ..Settings::default()
    };
    let mut director = Director::new(settings, 1);
    let endpoint = |index: usize| Endpoint {
        host: HostId(format!("10.0.{}.{}:8443", index / 250, index % 250).into()),
        machine_type: "box".into(),
        zone: zones[index % 6].clone(),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: None,
    };
    let mut events = vec![Event::EndpointList {
        kind: EndpointListKind::Complete,
        endpoints: (0..511).map(endpoint).collect(),
    }];
    events.extend((0..900).map(|id| Event::ProxyConnected {
        proxy: ProxyId(id),
        zone: zones[id as usize % 6].clone(),
        requests_per_s: 3.0,
    }));
    let now = Timestamp(1_000_000);
    let mut meter = Meter::new(now, Micros(10_000_000), &director, &["x", "y", "z"].map(String::from));
    events.iter().for_each(|event| meter.record_event(now, event));
    director.handle(now, &events, &mut Vec::new());
    (director, meter)
}

/// An interval with load reports and usage of all zones, and the seconds that it took to end the interval.
fn interval() -> (Interval, f64) {
    let (director, mut meter) = deployment();
    let counts = AttemptCounts { total: 4, failed: 1, period: Micros(1_000_000) };
    for zone in director.settings().zones.clone() {
        for host in director.hosts() {
            let report = Event::LoadReport {
                zone: zone.clone(),
                host: host.clone(),
                attempts: counts,
                mean_latency: Micros(90_000),
                load: HostLoad::default(),
            };
            meter.record_event(Timestamp(4_000_000), &report);
        }
    }
    for proxy in 0..900 {
        (0..3).for_each(|class| {
            meter.record_event(
                Timestamp(4_000_000),
                &Event::Usage { proxy: ProxyId(proxy), class: ClassId(class), requests: counts },
            )
        });
    }
    meter.update(Timestamp(10_000_000), &director);
    let started = Instant::now();
    let write_delays = Histogram::new(2).unwrap();
    let external = ExternalValues { write_delays: &write_delays, totals: &[], gauges: &[] };
    let interval = meter.end_interval(Timestamp(10_000_000), &director, external).unwrap();
    (interval, started.elapsed().as_secs_f64())
}

#[test]
fn interval_of_large_deployment_is_encoded_completely() {
    let (interval, _) = interval();
    let naming = Naming { prefix: "wingfold".into(), director: "n1".into(), tags: false };
    let points = naming.points(&interval);
    let points_below = |name: &str| points.iter().filter(|point| point.path.starts_with(name)).count();
    assert_eq!(points_below("wingfold.n1.service.asked."), 18);
    assert_eq!(points_below("wingfold.n1.hosts.leading."), 6);
    assert!(points.iter().all(|point| !point.path.contains(' ')), "spaces in the names of zones are escaped");
    let offered = interval.samples.iter().filter(|sample| sample.metric == Metric::RequestsOffered);
    assert_eq!(offered.count(), 18);
    let lists: Vec<_> = interval
        .samples
        .iter()
        .filter_map(|sample| ValueList::from_sample("n1", &interval, sample))
        .collect();
    let mut rng = <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(1);
    let packets = encode_packets(&lists, DEFAULT_PACKET_BYTES, &PacketSecurity::None, &mut rng);
    let decoded: usize = packets.iter().map(|packet| decode_packet(packet).unwrap().len()).sum();
    assert_eq!(decoded, lists.len());
    assert!(graphite::encode_pickles(&points).len() > points.len() * 20);
}

#[test]
#[ignore = "a measurement: the time to end a large interval, and points per second of each encoding"]
fn measure() {
    let mut times: Vec<f64> = (0..9).map(|_| interval().1 * 1e6).collect();
    times.sort_by(f64::total_cmp);
    let (interval, _) = interval();
    println!("an interval of {} samples: {:.0} us (median of 9)", interval.samples.len(), times[4]);
    let naming = Naming { prefix: "wingfold".into(), director: "n1".into(), tags: false };
    let rate = |name: &str, work: &dyn Fn() -> usize| {
        let started = Instant::now();
        let mut points = 0;
        while started.elapsed().as_secs_f64() < 1.0 {
            points += work();
        }
        println!(
            "{name}: {:.2} million points per second",
            points as f64 / started.elapsed().as_secs_f64() / 1e6
        );
    };
    rate("lines", &|| {
        let points = naming.points(&interval);
        graphite::encode_lines(&points);
        points.len()
    });
    rate("pickles", &|| {
        let points = naming.points(&interval);
        graphite::encode_pickles(&points);
        points.len()
    });
    for (name, security) in [
        ("collectd", PacketSecurity::None),
        ("collectd, signed", PacketSecurity::Signed(credentials())),
        ("collectd, encrypted", PacketSecurity::Encrypted(credentials())),
    ] {
        rate(name, &|| {
            let lists: Vec<_> = interval
                .samples
                .iter()
                .filter_map(|sample| ValueList::from_sample("n1", &interval, sample))
                .collect();
            let mut rng = <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(1);
            encode_packets(&lists, DEFAULT_PACKET_BYTES, &security, &mut rng);
            lists.len()
        });
    }
}
