//! Captures store events, actions and most contents of blocks by position (postcard), without names: a
//! variant or field at another position would change the meaning of captures of earlier builds.
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use wingfold_capture::model::{CallPosition, CheckpointHead, EncodableCall, Index, IndexEntry};
use wingfold_capture::{Call, Gap, GapReason, SegmentMeta};
use wingfold_director::interface::*;

/// [`events`] as an earlier build encoded them.
const EVENTS: &[u8] = include_bytes!("data/events.postcard");
/// [`actions`] as an earlier build encoded them.
const ACTIONS: &[u8] = include_bytes!("data/actions.postcard");

fn host() -> HostId {
    HostId("h-1".into())
}

fn zone() -> ZoneId {
    ZoneId("east".into())
}

fn endpoint(readiness: Readiness) -> Endpoint {
    Endpoint {
        host: host(),
        machine_type: "box".into(),
        zone: zone(),
        readiness,
        weight: 1.5,
        started_at: Some(Timestamp(7)),
    }
}

/// Every variant of [`Event`], with every variant of the enums in its fields.
fn events() -> Vec<Event> {
    let load =
        HostLoad { in_flight: Some(3.0), queued: None, utilization: Some(0.25), service_ms: Some(12.5) };
    let counts = AttemptCounts { total: 9, failed: 2, period: Micros(1_000_000) };
    let (proxy, class) = (ProxyId(4), ClassId(2));
    let endpoints =
        vec![endpoint(Readiness::Ready), endpoint(Readiness::Draining), endpoint(Readiness::Removed)];
    let list = |kind| Event::EndpointList { kind, endpoints: vec![] };
    let checked = |outcome| Event::HealthChecked { host: host(), outcome, load: HostLoad::default() };
    vec![
        Event::EndpointList { kind: EndpointListKind::Changes, endpoints },
        list(EndpointListKind::Complete),
        list(EndpointListKind::Cached),
        Event::EndpointListFailed,
        Event::DiscoveryMoved,
        Event::TimerFired(5),
        Event::HealthChecked { host: host(), outcome: HealthCheckOutcome::Ok, load },
        checked(HealthCheckOutcome::Rejected),
        checked(HealthCheckOutcome::Failed),
        Event::PeerMessage { from: 3, message: vec![1, 2] },
        Event::ProxyConnected { proxy, zone: zone(), requests_per_s: 2.5 },
        Event::ProxyDisconnected(proxy),
        Event::LoadReport { zone: zone(), host: host(), attempts: counts, mean_latency: Micros(800), load },
        Event::Usage { proxy, class, requests: counts },
        Event::Acknowledged { proxy, barrier: 77, elapsed: Micros(250_000) },
        Event::Shard,
    ]
}

/// Every variant of [`Action`], with every variant of the enums in its fields.
fn actions() -> Vec<Action> {
    let table = TableId(6);
    let admission = |retry| Action::SetAdmission { table: None, classes: ClassMask(0), level: 1.0, retry };
    vec![
        Action::WatchEndpoints(true),
        Action::FetchEndpoints,
        Action::SetTimer { at: Timestamp(9), token: 1 },
        Action::CheckHealth(host()),
        Action::SendToPeer { to: Some(2), message: vec![9] },
        Action::SendToPeer { to: None, message: vec![] },
        Action::SetEntry { table, host: host(), weight: 0.5 },
        Action::ClearTable(table),
        Action::AssignTable { proxy: ProxyId(4), table, classes: ClassMask(3) },
        Action::SetEjected { host: host(), ejected: true },
        Action::SetAdmission { table: Some(table), classes: ClassMask(1), level: 0.75, retry: Retry::Never },
        admission(Retry::OnProof),
        admission(Retry::Once),
        admission(Retry::Twice),
        Action::Barrier { all_proxies: false, number: 12 },
        Action::Barrier { all_proxies: true, number: 13 },
        Action::EvictHost(host()),
        Action::Notice(Notice::Recorded("h-1 has started".into())),
    ]
}

#[test]
fn events_keep_the_positions_of_their_variants_and_fields() {
    assert_eq!(postcard::to_allocvec(&events()).unwrap(), EVENTS);
    assert_eq!(postcard::from_bytes::<Vec<Event>>(EVENTS).unwrap(), events());
}

#[test]
fn actions_keep_the_positions_of_their_variants_and_fields() {
    assert_eq!(postcard::to_allocvec(&actions()).unwrap(), ACTIONS);
    assert_eq!(postcard::from_bytes::<Vec<Action>>(ACTIONS).unwrap(), actions());
}

/// Asserts that a value is encoded as these bytes, and decoded from them.
fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, encoded: &[u8]) {
    assert_eq!(postcard::to_allocvec(value).unwrap(), encoded);
    assert_eq!(postcard::from_bytes::<T>(encoded).unwrap(), *value);
}

#[test]
fn gap_reasons_keep_the_positions_of_their_variants() {
    let reasons = vec![
        GapReason::QueueFull,
        GapReason::DiskFull,
        GapReason::ReadOnly,
        GapReason::FolderMissing,
        GapReason::Failed("io".into()),
    ];
    assert_encoding(&reasons, &[5, 0, 1, 2, 3, 4, 2, b'i', b'o']);
}

#[test]
fn contents_of_blocks_keep_the_positions_of_their_fields() {
    let first = CallPosition { number: 1, at: Timestamp(9) };
    let last = CallPosition { number: 2, at: Timestamp(10) };
    let gap = Some(Gap { from: 1, to: 2, reason: GapReason::DiskFull });
    assert_encoding(&CheckpointHead { call: 300, at: Timestamp(9), gap }, &[0xAC, 0x02, 9, 1, 1, 2, 1]);
    let entry = IndexEntry { offset: 28, checkpoint: true, first, last };
    assert_encoding(&Index { blocks: vec![entry], calls: 6 }, &[1, 28, 1, 1, 9, 2, 10, 6]);
    let meta =
        SegmentMeta { segment: 3, incarnation: Timestamp(7), first, last, bytes: 5, gap: None, sealed: true };
    assert_encoding(&meta, &[3, 7, 1, 9, 2, 10, 5, 0, 1]);
}

#[test]
fn calls_keep_the_positions_of_their_fields() {
    let call =
        EncodableCall { number: 4, at: Timestamp(5), events: &[Event::Shard], actions: &[8], digest: 6 };
    let encoded = postcard::to_allocvec(&call).unwrap();
    let shard = postcard::to_allocvec(&Event::Shard).unwrap();
    assert_eq!(encoded, [&[4, 5, 1], &shard[..], &[1, 8, 6]].concat());
    let read: Call = postcard::from_bytes(&encoded).unwrap();
    assert_eq!((read.number, read.at, read.events), (4, Timestamp(5), vec![Event::Shard]));
    assert_eq!((read.actions, read.digest), (vec![8], 6));
}
