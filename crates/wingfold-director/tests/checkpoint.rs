//! A director that is restored from a checkpoint requests the same actions as the director that wrote the
//! checkpoint; invalid checkpoints are rejected.
mod common;
use common::*;
use proptest::prelude::*;
use wingfold_director::checkpoint::{CheckpointError, InvalidRecord, VERSION};
use wingfold_director::interface::*;
use wingfold_director::Director;

/// Length of the head of a checkpoint, in bytes.
const HEAD_BYTES: usize = 22;
/// Offset of the version in the head.
const VERSION_OFFSET: usize = 4;
/// Offsets of the records' checksum in the head.
const CHECKSUM_RANGE: std::ops::Range<usize> = 18..22;

/// The settings of a deployment, by its number. Together, the deployments cover all admission modes, one or
/// three class groups, pushed and polled endpoint lists, subsets and complete tables.
fn deployment_settings(deployment: u8) -> Settings {
    let mut settings = settings();
    settings.directors = 1 + u32::from(deployment % 2);
    settings.admission_mode =
        [AdmissionMode::Share, AdmissionMode::Rate, AdmissionMode::Ignored][usize::from(deployment % 3)];
    settings.endpoint_list_on_request = deployment.is_multiple_of(2);
    settings.removal_is_advisory = deployment % 3 == 1;
    settings.cross_zone_price = if deployment % 4 > 1 { 0.1 } else { 0.0 };
    settings.proxies = 24;
    if deployment % 5 > 2 {
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

/// The endpoints of one list.
fn endpoints() -> impl Strategy<Value = Vec<Endpoint>> {
    let readiness = prop_oneof![
        4 => Just(Readiness::Ready),
        1 => Just(Readiness::Draining),
        1 => Just(Readiness::Removed),
    ];
    prop::collection::vec((0..12u32, readiness, any::<bool>(), 0..40u8, 1..5u8), 0..12).prop_map(|draws| {
        let to_endpoint = |(n, readiness, is_in_east, started_s, weight): (u32, _, bool, u8, u8)| Endpoint {
            weight: f64::from(weight) / 2.0,
            ..endpoint(
                &format!("h{n}"),
                if is_in_east { "east" } else { "west" },
                readiness,
                (started_s > 20).then_some(f64::from(started_s)),
            )
        };
        draws.into_iter().map(to_endpoint).collect::<Vec<_>>()
    })
}

/// The events of one call, some of them invalid.
fn events() -> impl Strategy<Value = Vec<Event>> {
    let zone_name = prop_oneof![Just(zone("east")), Just(zone("west")), Just(zone("elsewhere"))];
    let host = (0..12u32).prop_map(|n| host(&format!("h{n}")));
    let kind = prop_oneof![
        3 => Just(EndpointListKind::Changes),
        1 => Just(EndpointListKind::Complete),
        1 => Just(EndpointListKind::Cached),
    ];
    let counts = (0..30u64, 0..30u64).prop_map(|(total, failed)| AttemptCounts {
        total,
        failed: failed.min(total),
        period: seconds(1.0),
    });
    let load =
        prop::option::of(0.0..1.5f64).prop_map(|utilization| HostLoad { utilization, ..HostLoad::default() });
    let event = prop_oneof![
        3 => (kind, endpoints()).prop_map(|(kind, endpoints)| Event::EndpointList { kind, endpoints }),
        1 => Just(Event::EndpointListFailed),
        1 => Just(Event::DiscoveryMoved),
        4 => (0..24u32, zone_name.clone(), 0.0..80.0f64)
            .prop_map(|(id, zone, requests_per_s)| Event::ProxyConnected {
                proxy: ProxyId(id),
                zone,
                requests_per_s,
            }),
        1 => (0..24u32).prop_map(|id| Event::ProxyDisconnected(ProxyId(id))),
        14 => (zone_name, host.clone(), counts.clone(), 1..4_000u64, load.clone())
            .prop_map(|(zone, host, attempts, latency_ms, load)| Event::LoadReport {
                zone,
                host,
                attempts,
                mean_latency: Micros(latency_ms * 1000),
                load,
            }),
        1 => (host, load).prop_map(|(host, load)| Event::HealthChecked {
            host,
            outcome: HealthCheckOutcome::Ok,
            load,
        }),
        4 => (0..24u32, 0..2usize, counts).prop_map(|(id, class, requests)| Event::Usage {
            proxy: ProxyId(id),
            class: ClassId(class),
            requests,
        }),
        1 => (0..3u32, prop::collection::vec(any::<u8>(), 0..9))
            .prop_map(|(from, message)| Event::PeerMessage { from, message }),
        1 => Just(Event::TimerFired(0)),
    ];
    prop::collection::vec(event, 0..12)
}

/// Calls of a director: by how many microseconds the clock advances before the call, and the events.
fn calls() -> impl Strategy<Value = Vec<(u64, Vec<Event>)>> {
    // The clock stands still, advances by less than a second, or jumps by 5 s and more.
    let step = prop_oneof![1 => Just(0u64), 12 => 1_000..900_000u64, 1 => 5_000_000..70_000_000u64];
    prop::collection::vec((step, events()), 1..70)
}

/// Makes the calls from time `now` on; returns the actions of each call and the digest after it.
fn make_calls(
    director: &mut Director,
    now: &mut u64,
    calls: &[(u64, Vec<Event>)],
) -> Vec<(Vec<Action>, u64)> {
    let call = |(step, events): &(u64, Vec<Event>)| {
        *now += step;
        let mut out = Vec::new();
        director.handle(Timestamp(*now), events, &mut out);
        (out, director.digest())
    };
    calls.iter().map(call).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 160, max_shrink_iters: 400, ..ProptestConfig::default() })]

    #[test]
    fn a_restored_director_requests_bit_for_bit_the_same_actions(
        deployment in 0..30u8, seed in any::<u64>(), calls in calls(), cut in any::<prop::sample::Index>(),
    ) {
        let cut = cut.index(calls.len() + 1);
        let mut director = Director::new(deployment_settings(deployment), seed);
        let mut now = 0;
        make_calls(&mut director, &mut now, &calls[..cut]);
        let bytes = director.checkpoint();
        let restored = Director::restore_for(&bytes, &deployment_settings(deployment));
        let mut restored = restored.expect("a director cannot restore its own checkpoint");
        prop_assert_eq!(
            restored.digest(), director.digest(),
            "the incrementally updated digest differs from the digest of the restored tables"
        );
        prop_assert_eq!(&restored.checkpoint(), &bytes, "the restored director writes another checkpoint");
        let mut restored_now = now;
        let expected = make_calls(&mut director, &mut now, &calls[cut..]);
        let actual = make_calls(&mut restored, &mut restored_now, &calls[cut..]);
        // The debug output of floats is exact. The states are compared by the bytes of their checkpoints.
        prop_assert_eq!(format!("{expected:?}"), format!("{actual:?}"));
        prop_assert_eq!(director.checkpoint(), restored.checkpoint());
    }

    #[test]
    fn a_changed_checkpoint_never_causes_a_panic(
        calls in calls(), changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut director = Director::new(deployment_settings(4), 1);
        make_calls(&mut director, &mut 0, &calls);
        let mut bytes = director.checkpoint();
        let length = bytes.len();
        for (at, value) in changes {
            bytes[HEAD_BYTES + at.index(length - HEAD_BYTES)] = value;
        }
        // The checksum is made to match, so that the records are decoded although they were changed.
        let checksum = crc32fast::hash(&bytes[HEAD_BYTES..]);
        bytes[CHECKSUM_RANGE].copy_from_slice(&checksum.to_le_bytes());
        if let Ok(mut restored) = Director::restore(&bytes) {
            make_calls(&mut restored, &mut 80_000_000, &calls);
        }
    }
}

/// Settings, and the checkpoint of a director that has ejected host h1.
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
        let error = Director::restore(&bytes[..length]).unwrap_err();
        assert!(matches!(error, CheckpointError::Length { actual, .. } if actual == length), "{error}");
    }
    let error = Director::restore(&bytes[..3]).unwrap_err();
    assert_eq!(error.to_string(), "the checkpoint is 3 bytes long, 22 bytes are expected");
    let too_long = [&bytes[..], b"x"].concat();
    assert!(matches!(Director::restore(&too_long).unwrap_err(), CheckpointError::Length { .. }));
    let mut newer = bytes.clone();
    newer[VERSION_OFFSET] = VERSION as u8 + 1;
    let error = Director::restore(&newer).unwrap_err();
    assert_eq!(error.to_string(), "the checkpoint has version 2, this build reads version 1");
    for at in [0, 30, bytes.len() / 2, bytes.len() - 1] {
        let mut flipped = bytes.clone();
        flipped[at] ^= 4;
        assert!(
            matches!(Director::restore(&flipped).unwrap_err(), CheckpointError::Damaged(_)),
            "one bit of byte {at} is flipped"
        );
    }
    let other_settings = Settings { drain_grace: seconds(4.0), ..settings };
    assert_eq!(Director::restore_for(&bytes, &other_settings).unwrap_err(), CheckpointError::OtherSettings);
}

#[test]
fn a_checkpoint_with_entries_of_an_unknown_host_is_rejected() {
    let (_, bytes) = settings_and_checkpoint();
    let text = String::from_utf8_lossy(&bytes[HEAD_BYTES..]).into_owned();
    assert!(text.contains("lines"), "the checkpoint does not contain field names");
    // Host h1 keeps its name in the tables but gets another name in the map of hosts, which is stored as
    // `fleet`.
    let hosts_at = bytes.windows(5).position(|window| window == b"fleet").expect("no field `fleet`");
    let name_at = bytes[hosts_at..].windows(2).position(|window| window == b"h1").expect("no host h1");
    let mut renamed = bytes.clone();
    renamed[hosts_at + name_at] = b'x';
    let checksum = crc32fast::hash(&renamed[HEAD_BYTES..]);
    renamed[CHECKSUM_RANGE].copy_from_slice(&checksum.to_le_bytes());
    let error = Director::restore(&renamed).unwrap_err();
    let names_h1 = |record: &_| matches!(record, InvalidRecord::UnknownHost { host, .. } if &*host.0 == "h1");
    assert!(matches!(&error, CheckpointError::Invalid(record) if names_h1(record)), "{error}");
}
