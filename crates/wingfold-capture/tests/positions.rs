//! Captures hold events and actions by position (postcard), without names: a variant or field that changes its place would
//! make captures of earlier builds say something else.
use wingfold_director::interface::*;

/// [`events`] and [`actions`] as an earlier build wrote them.
const EVENTS: &[u8] = include_bytes!("data/events.postcard");
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

/// Every event, with every value that an enumeration in it can have.
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

/// Every action, with every value that an enumeration in it can have.
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
