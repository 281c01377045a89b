//! A director that is restored from a checkpoint answers like the one that wrote it.
mod common;
use common::*;
use proptest::prelude::*;
use wingfold_director::checkpoint::{CheckpointError, InvalidRecord, VERSION};
use wingfold_director::interface::*;
use wingfold_director::Director;

/// Bytes of the head of a checkpoint.
const HEAD_BYTES: usize = 22;
/// Where the head has the version,
const VERSION_OFFSET: usize = 4;
/// and the checksum of the records.
const CHECKSUM: std::ops::Range<usize> = 18..22;

/// Settings of several deployments: all admission modes; one group of classes and three; endpoint lists that are pushed
/// and polled; subsets and complete tables.
fn deployment(kind: u8) -> Settings {
    let mut settings = settings();
    settings.directors = 1 + u32::from(kind % 2);
    settings.admission_mode =
        [AdmissionMode::Share, AdmissionMode::Rate, AdmissionMode::Ignored][usize::from(kind % 3)];
    settings.endpoint_list_on_request = kind.is_multiple_of(2);
    settings.removal_is_advisory = kind % 3 == 1;
    settings.cross_zone_price = if kind % 4 > 1 { 0.1 } else { 0.0 };
    settings.proxies = 24;
    if kind % 5 > 2 {
        settings.connection_idle_timeout = seconds(4.0);
        settings.classes[1].own_zone_only = true;
        settings.classes.push(Class {
            allowed_machine_types: vec!["box".into()],
            ..class(RepeatSafety::Deduplicated, 0.6, 9.0)
        });
        settings.max_messages_per_proxy = 12;
    }
    settings
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let zone_name = prop_oneof![Just(zone("east")), Just(zone("west")), Just(zone("elsewhere"))];
    let host = (0..12u32).prop_map(|n| host(&format!("h{n}")));
    let readiness = prop_oneof![4 => Just(Readiness::Ready), 1 => Just(Readiness::Draining), 1 => Just(Readiness::Removed)];
    let entries = prop::collection::vec((0..12u32, readiness, any::<bool>(), 0..40u8, 1..5u8), 0..12)
        .prop_map(|all| {
            let entry = |(n, readiness, east, started, weight): (u32, _, bool, u8, u8)| Endpoint {
                weight: f64::from(weight) / 2.0,
                ..endpoint(
                    &format!("h{n}"),
                    if east { "east" } else { "west" },
                    readiness,
                    (started > 20).then_some(f64::from(started)),
                )
            };
            all.into_iter().map(entry).collect::<Vec<_>>()
        });
    let kind = prop_oneof![3 => Just(EndpointListKind::Changes), 1 => Just(EndpointListKind::Complete), 1 => Just(EndpointListKind::Cached)];
    let counts = (0..30u64, 0..30u64).prop_map(|(total, failed)| AttemptCounts {
        total,
        failed: failed.min(total),
        period: seconds(1.0),
    });
    let load =
        prop::option::of(0.0..1.5f64).prop_map(|utilization| HostLoad { utilization, ..HostLoad::default() });
    let event = prop_oneof![
        3 => (kind, entries).prop_map(|(kind, entries)| Event::EndpointList { kind, endpoints: entries }),
        1 => Just(Event::EndpointListFailed),
        1 => Just(Event::DiscoveryMoved),
        4 => (0..24u32, zone_name.clone(), 0.0..80.0f64).prop_map(|(id, zone_name, rate)| Event::ProxyConnected { proxy: ProxyId(id), zone: zone_name, requests_per_s: rate }),
        1 => (0..24u32).prop_map(|id| Event::ProxyDisconnected(ProxyId(id))),
        14 => (zone_name, host.clone(), counts.clone(), 1..4_000u64, load.clone())
            .prop_map(|(zone_name, host, counts, ms, load)| Event::LoadReport { zone: zone_name, host, attempts: counts, mean_latency: Micros(ms * 1000), load }),
        1 => (host, load).prop_map(|(host, load)| Event::HealthChecked { host, outcome: HealthCheckOutcome::Ok, load }),
        4 => (0..24u32, 0..2usize, counts).prop_map(|(id, class, counts)| Event::Usage { proxy: ProxyId(id), class: ClassId(class), requests: counts }),
        1 => (0..3u32, prop::collection::vec(any::<u8>(), 0..9)).prop_map(|(from, message)| Event::PeerMessage { from, message }),
        1 => Just(Event::TimerFired(0)),
    ];
    prop::collection::vec(event, 0..12)
}

fn calls() -> impl Strategy<Value = Vec<(u64, Vec<Event>)>> {
    // The clock stands, ticks, or jumps.
    let step = prop_oneof![1 => Just(0u64), 12 => 1_000..900_000u64, 1 => 5_000_000..70_000_000u64];
    prop::collection::vec((step, events()), 1..70)
}

fn run(director: &mut Director, now: &mut u64, calls: &[(u64, Vec<Event>)]) -> Vec<(Vec<Action>, u64)> {
    let answer = |(step, events): &(u64, Vec<Event>)| {
        *now += step;
        let mut out = Vec::new();
        director.handle(Timestamp(*now), events, &mut out);
        (out, director.digest())
    };
    calls.iter().map(answer).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 160, max_shrink_iters: 400, ..ProptestConfig::default() })]

    #[test]
    fn a_restored_director_answers_bit_for_bit_like_the_original(
        kind in 0..30u8, seed in any::<u64>(), calls in calls(), cut in any::<prop::sample::Index>(),
    ) {
        let cut = cut.index(calls.len() + 1);
        let mut director = Director::new(deployment(kind), seed);
        let mut now = 0;
        run(&mut director, &mut now, &calls[..cut]);
        let bytes = director.checkpoint();
        let mut restored = Director::restore_for(&bytes, &deployment(kind)).expect("it was written down just now");
        prop_assert_eq!(restored.digest(), director.digest(), "the digest kept while running is that of the tables");
        prop_assert_eq!(&restored.checkpoint(), &bytes, "nothing is lost in the checkpoint");
        let mut later = now;
        let was = run(&mut director, &mut now, &calls[cut..]);
        let is = run(&mut restored, &mut later, &calls[cut..]);
        // Debug output of floats is exact; the states are compared by their bytes.
        prop_assert_eq!(format!("{was:?}"), format!("{is:?}"));
        prop_assert_eq!(director.checkpoint(), restored.checkpoint());
    }

    #[test]
    fn changed_bytes_never_make_a_director_panic(
        calls in calls(), flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut director = Director::new(deployment(4), 1);
        run(&mut director, &mut 0, &calls);
        let mut bytes = director.checkpoint();
        let length = bytes.len();
        for (at, to) in flips {
            bytes[HEAD_BYTES + at.index(length - HEAD_BYTES)] = to;
        }
        // The checksum is corrected, as by somebody who changes a checkpoint on purpose.
        let sum = crc32fast::hash(&bytes[HEAD_BYTES..]);
        bytes[CHECKSUM].copy_from_slice(&sum.to_le_bytes());
        if let Ok(mut other) = Director::restore(&bytes) {
            run(&mut other, &mut 80_000_000, &calls);
        }
    }
}

fn settings_and_checkpoint() -> (Settings, Vec<u8>) {
    let mut harness = Harness::with_proxies(settings(), 6);
    harness.run_with_reports(6.0, 10, |_, id| if id == "h1" { FAILING } else { HEALTHY });
    (settings(), harness.director.checkpoint())
}

#[test]
fn invalid_checkpoints_are_rejected_with_the_reason() {
    let (settings, bytes) = settings_and_checkpoint();
    assert!(Director::restore_for(&bytes, &settings).is_ok());
    for length in [0, 3, HEAD_BYTES - 1, HEAD_BYTES, 400, bytes.len() - 1] {
        let refused = Director::restore(&bytes[..length]).unwrap_err();
        assert!(matches!(refused, CheckpointError::Length { actual, .. } if actual == length), "{refused}");
    }
    let refused = Director::restore(&bytes[..3]).unwrap_err();
    assert_eq!(refused.to_string(), "the checkpoint is 3 bytes long, 22 bytes are expected");
    let more = [&bytes[..], b"x"].concat();
    assert!(matches!(Director::restore(&more).unwrap_err(), CheckpointError::Length { .. }));
    let mut other = bytes.clone();
    other[VERSION_OFFSET] = VERSION as u8 + 1;
    let refused = Director::restore(&other).unwrap_err();
    assert_eq!(refused.to_string(), "the checkpoint has version 2, this build reads version 1");
    for at in [0, 30, bytes.len() / 2, bytes.len() - 1] {
        let mut flipped = bytes.clone();
        flipped[at] ^= 4;
        assert!(matches!(Director::restore(&flipped).unwrap_err(), CheckpointError::Damaged(_)), "byte {at}");
    }
    let elsewhere = Settings { drain_grace: seconds(4.0), ..settings };
    assert_eq!(Director::restore_for(&bytes, &elsewhere).unwrap_err(), CheckpointError::OtherSettings);
}

#[test]
fn a_table_entry_of_an_unknown_host_is_rejected() {
    let (_, bytes) = settings_and_checkpoint();
    let text = String::from_utf8_lossy(&bytes[HEAD_BYTES..]).into_owned();
    assert!(text.contains("lines"), "records are written by the names of their fields");
    // h1 keeps its name in the tables and gets another one among the hosts (stored as `fleet`).
    let at = bytes.windows(5).position(|five| five == b"fleet").expect("it is there");
    let host = at + bytes[at..].windows(2).position(|two| two == b"h1").expect("it is listed");
    let mut other = bytes.clone();
    other[host] = b'x';
    let sum = crc32fast::hash(&other[HEAD_BYTES..]);
    other[CHECKSUM].copy_from_slice(&sum.to_le_bytes());
    let refused = Director::restore(&other).unwrap_err();
    let unknown = |record: &InvalidRecord| matches!(record, InvalidRecord::UnknownHost { host, .. } if &*host.0 == "h1");
    assert!(matches!(&refused, CheckpointError::Invalid(record) if unknown(record)), "{refused}");
}
