//! A director that was written down and taken up again answers as the one that went on.
mod common;
use common::*;
use proptest::prelude::*;
use wingfold_director::checkpoint::{CheckpointError, InvalidRecord, VERSION};
use wingfold_director::interface::*;
use wingfold_director::Director;

/// Settings of several deployments: levels as shares, as rates, ignored; one group of classes and three; lists pushed
/// and asked for; parts and whole tables.
fn deployment(kind: u8) -> Settings {
    let mut set = settings();
    set.directors = 1 + u32::from(kind % 2);
    set.admission_mode =
        [AdmissionMode::Share, AdmissionMode::Rate, AdmissionMode::Ignored][usize::from(kind % 3)];
    set.endpoint_list_on_request = kind.is_multiple_of(2);
    set.removal_is_advisory = kind % 3 == 1;
    set.cross_zone_price = if kind % 4 > 1 { 0.1 } else { 0.0 };
    set.proxies = 24;
    if kind % 5 > 2 {
        set.connection_idle_timeout = length(4.0);
        set.classes[1].own_zone_only = true;
        set.classes.push(Class {
            allowed_machine_types: vec!["box".into()],
            ..class(RepeatSafety::Deduplicated, 0.6, 9.0)
        });
        set.max_messages_per_proxy = 12;
    }
    set
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let place = prop_oneof![Just(zone("east")), Just(zone("west")), Just(zone("elsewhere"))];
    let host = (0..12u32).prop_map(|n| host(&format!("h{n}")));
    let readiness = prop_oneof![4 => Just(Readiness::Ready), 1 => Just(Readiness::Draining), 1 => Just(Readiness::Removed)];
    let entries = prop::collection::vec((0..12u32, readiness, any::<bool>(), 0..40u8, 1..5u8), 0..12)
        .prop_map(|all| {
            let entry = |(n, readiness, east, started, weight): (u32, _, bool, u8, u8)| Endpoint {
                weight: f64::from(weight) / 2.0,
                ..entry(
                    &format!("h{n}"),
                    if east { "east" } else { "west" },
                    readiness,
                    (started > 20).then_some(f64::from(started)),
                )
            };
            all.into_iter().map(entry).collect::<Vec<_>>()
        });
    let kind = prop_oneof![3 => Just(EndpointListKind::Changes), 1 => Just(EndpointListKind::Complete), 1 => Just(EndpointListKind::Cached)];
    let sums = (0..30u64, 0..30u64).prop_map(|(total, lost)| AttemptCounts {
        total,
        failed: lost.min(total),
        period: length(1.0),
    });
    let load =
        prop::option::of(0.0..1.5f64).prop_map(|busy| HostLoad { utilization: busy, ..HostLoad::default() });
    let event = prop_oneof![
        3 => (kind, entries).prop_map(|(kind, entries)| Event::EndpointList { kind, endpoints: entries }),
        1 => Just(Event::EndpointListFailed),
        1 => Just(Event::DiscoveryMoved),
        4 => (0..24u32, place.clone(), 0.0..80.0f64).prop_map(|(id, place, rate)| Event::ProxyConnected { proxy: ProxyId(id), zone: place, requests_per_s: rate }),
        1 => (0..24u32).prop_map(|id| Event::ProxyDisconnected(ProxyId(id))),
        14 => (place, host.clone(), sums.clone(), 1..4_000u64, load.clone())
            .prop_map(|(place, host, sums, ms, load)| Event::LoadReport { zone: place, host, attempts: sums, mean_latency: Micros(ms * 1000), load }),
        1 => (host, load).prop_map(|(host, load)| Event::HealthChecked { host, outcome: HealthCheckOutcome::Ok, load }),
        4 => (0..24u32, 0..2usize, sums).prop_map(|(id, class, sums)| Event::Usage { proxy: ProxyId(id), class: ClassId(class), requests: sums }),
        1 => (0..3u32, prop::collection::vec(any::<u8>(), 0..9)).prop_map(|(from, word)| Event::PeerMessage { from, message: word }),
        1 => Just(Event::TimerFired(0)),
    ];
    prop::collection::vec(event, 0..12)
}

fn calls() -> impl Strategy<Value = Vec<(u64, Vec<Event>)>> {
    // Steps of the clock: it stands, ticks, and jumps.
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
    fn a_restored_director_answers_bit_by_bit_as_the_one_that_went_on(
        kind in 0..30u8, seed in any::<u64>(), calls in calls(), cut in any::<prop::sample::Index>(),
    ) {
        let cut = cut.index(calls.len() + 1);
        let mut director = Director::new(deployment(kind), seed);
        let mut now = 0;
        run(&mut director, &mut now, &calls[..cut]);
        let bytes = director.checkpoint();
        let mut restored = Director::restore_for(&bytes, &deployment(kind)).expect("it was written down just now");
        prop_assert_eq!(restored.digest(), director.digest(), "what was kept while running is what tables hold");
        prop_assert_eq!(&restored.checkpoint(), &bytes, "nothing is lost on the way");
        let mut later = now;
        let was = run(&mut director, &mut now, &calls[cut..]);
        let is = run(&mut restored, &mut later, &calls[cut..]);
        // Debug shows floats shortest and exactly; the states behind them are compared by their bytes.
        prop_assert_eq!(format!("{was:?}"), format!("{is:?}"));
        prop_assert_eq!(director.checkpoint(), restored.checkpoint());
    }

    #[test]
    fn bytes_that_were_changed_never_make_a_director_fall_over(
        calls in calls(), flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut director = Director::new(deployment(4), 1);
        run(&mut director, &mut 0, &calls);
        let mut bytes = director.checkpoint();
        let length = bytes.len();
        for (at, to) in flips {
            bytes[22 + at.index(length - 22)] = to;
        }
        // Whoever changed it has mended the checksum too.
        let sum = crc32fast::hash(&bytes[22..]);
        bytes[18..22].copy_from_slice(&sum.to_le_bytes());
        if let Ok(mut other) = Director::restore(&bytes) {
            run(&mut other, &mut 80_000_000, &calls);
        }
    }
}

fn written() -> (Settings, Vec<u8>) {
    let mut world = World::running(settings(), 6);
    world.play(6.0, 10, |_, id| if id == "h1" { DEAD } else { FINE });
    (settings(), world.director.checkpoint())
}

#[test]
fn what_is_no_sound_checkpoint_of_these_settings_is_refused_with_the_reason() {
    let (settings, bytes) = written();
    assert!(Director::restore_for(&bytes, &settings).is_ok());
    for length in [0, 3, 21, 22, 400, bytes.len() - 1] {
        let refused = Director::restore(&bytes[..length]).unwrap_err();
        assert!(matches!(refused, CheckpointError::Cut { has, .. } if has == length), "{refused}");
    }
    let more = [&bytes[..], b"x"].concat();
    assert!(matches!(Director::restore(&more).unwrap_err(), CheckpointError::Cut { .. }));
    let mut other = bytes.clone();
    other[4] = VERSION as u8 + 1;
    let refused = Director::restore(&other).unwrap_err();
    assert_eq!(refused.to_string(), "the checkpoint has version 2, this build reads version 1");
    for at in [0, 30, bytes.len() / 2, bytes.len() - 1] {
        let mut flipped = bytes.clone();
        flipped[at] ^= 4;
        assert!(matches!(Director::restore(&flipped).unwrap_err(), CheckpointError::Damaged(_)), "byte {at}");
    }
    let elsewhere = Settings { drain_grace: length(4.0), ..settings };
    assert_eq!(Director::restore_for(&bytes, &elsewhere).unwrap_err(), CheckpointError::Settings);
}

#[test]
fn a_line_of_a_host_that_nobody_knows_is_refused() {
    let (_, bytes) = written();
    let text = String::from_utf8_lossy(&bytes[22..]).into_owned();
    assert!(text.contains("lines"), "records are written by the names of their fields");
    // h1 keeps its name in the tables and loses it in the fleet.
    let at = bytes.windows(5).position(|five| five == b"fleet").expect("it is there");
    let host = at + bytes[at..].windows(2).position(|two| two == b"h1").expect("it is listed");
    let mut other = bytes.clone();
    other[host] = b'x';
    let sum = crc32fast::hash(&other[22..]);
    other[18..22].copy_from_slice(&sum.to_le_bytes());
    let refused = Director::restore(&other).unwrap_err();
    let unknown = |record: &InvalidRecord| matches!(record, InvalidRecord::UnknownHost { host, .. } if &*host.0 == "h1");
    assert!(matches!(&refused, CheckpointError::Invalid(record) if unknown(record)), "{refused}");
}
