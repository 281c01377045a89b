//! Modules that need no real director: resource usage, delays, the endpoint list, tables and messages of
//! proxies, comparisons, discovery and hosts.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use wingfold_scale::compare::{compare, DirectorGroup};
use wingfold_scale::counters::TrafficCount;
use wingfold_scale::delays::Delays;
use wingfold_scale::deployment::host_zone;
use wingfold_scale::discovery::Discovery;
use wingfold_scale::endpoint_list::{EndpointList, HostChange, HostState};
use wingfold_scale::http::{Connection, Response};
use wingfold_scale::messages::{DirectorMessage, ProxyUpdatePart};
use wingfold_scale::plan::{FleetSize, Step};
use wingfold_scale::process_usage::{peak_memory_kib, processor_ticks};
use wingfold_scale::simulated::host::{Host, Hosts};
use wingfold_scale::simulated::proxy::ProxyTables;

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn fleet_size() -> FleetSize {
    FleetSize::of_step(Step::Sixteenth, 2)
}

fn endpoint_list() -> EndpointList {
    EndpointList::new(&fleet_size(), &vec![SocketAddr::new(LOOPBACK, 1); fleet_size().hosts])
}

fn change(host: usize, state: HostState, started_ms: u64) -> HostChange {
    HostChange { host, state, started_ms }
}

fn update(text: &str) -> ProxyUpdatePart<'_> {
    match serde_json::from_str(text).unwrap() {
        DirectorMessage::ProxyUpdate(update) => update,
        DirectorMessage::Pong => panic!("expected an update, got a pong"),
    }
}

#[test]
fn process_usage_is_parsed_despite_parentheses_in_the_name() {
    let stat = "7 (a (b) c) S 1 7 7 0 -1 4194560 100 0 0 0 250 50 0 0 20 0 3 0 100 1 1";
    assert_eq!(processor_ticks(stat), Some(300));
    assert_eq!(peak_memory_kib("Name:\tx\nVmPeak:\t 9 kB\nVmHWM:\t  2048 kB\n"), Some(2_048));
    assert_eq!((processor_ticks("7 x"), peak_memory_kib("")), (None, None));
}

#[test]
fn delay_summary_has_median_99th_percentile_and_maximum() {
    let delays = Delays::default();
    assert_eq!(delays.summary().worst_ms, 0.0);
    (1..=200).rev().for_each(|ms| delays.record(Duration::from_millis(ms)));
    let summary = delays.summary();
    assert_eq!(
        (summary.count, summary.median_ms, summary.p99_ms, summary.worst_ms),
        (200, 100.0, 198.0, 200.0)
    );
}

#[test]
fn list_response_is_changes_or_the_complete_list() {
    let mut list = endpoint_list();
    let complete = list.response(None);
    assert_eq!((complete.version, complete.entries), (1, fleet_size().hosts));
    assert!(complete.text.starts_with(r#"{"version":1,"full":true,"servers":[{"id":"s-00000","#));
    assert!(!list.is_newer_than(Some(1)));
    assert_eq!(list.change(&[change(3, HostState::Leaving, 0), change(5, HostState::Active, 12)]), 2);
    let changes = list.response(Some(1));
    assert!(changes.text.starts_with(r#"{"version":2,"full":false,"#) && changes.entries == 2);
    let all_hosts: Vec<_> = (0..fleet_size().hosts).map(|host| change(host, HostState::Active, 0)).collect();
    list.change(&all_hosts);
    assert!(
        list.response(Some(2)).text.contains(r#""full":true"#),
        "changes of every host are sent as the complete list"
    );
}

#[test]
fn proxy_tables_apply_updates_and_return_hosts_no_longer_used() {
    let mut tables = ProxyTables::new(4);
    let complete =
        r#"{"type":"CONFIG","whole":true,"lines":[["s-00000",1.5],["s-00001",0.2]],"level":0.9,"retry":1}"#;
    assert_eq!(tables.apply(&update(complete)), Ok(vec![]));
    let one_class = r#"{"type":"CONFIG","classes":["lookup"],"lines":[["s-00000",0],["s-00002",1.0]]}"#;
    assert_eq!(tables.apply(&update(one_class)), Ok(vec![]), "class `order` still uses s-00000");
    let other_class = r#"{"type":"CONFIG","classes":["order"],"lines":[["s-00000",0]],"ticket":7}"#;
    assert_eq!(tables.apply(&update(other_class)), Ok(vec![0]));
    assert_eq!(tables.apply(&update(r#"{"type":"CONFIG","out":["s-00001"]}"#)), Ok(vec![1]));
    assert_eq!(tables.apply(&update(r#"{"type":"CONFIG","back":["s-00001"]}"#)), Ok(vec![]));
    assert_eq!(tables.len(), 2);
    assert!(tables.apply(&update(r#"{"type":"CONFIG","lines":[["s-00009",1]]}"#)).is_err());
    assert!(tables.apply(&update(r#"{"type":"CONFIG","classes":["other"]}"#)).is_err());
}

#[test]
fn update_lines_are_counted_as_in_the_send_queue() {
    let complete =
        r#"{"type":"CONFIG","whole":true,"lines":[["s-00000",1.5]],"level":0.9,"retry":1,"more":true}"#;
    assert_eq!(
        (update(complete).line_count(), update(complete).has_more),
        (3, true),
        "an entry, an admission level and `complete` are one line each"
    );
    let rest = r#"{"type":"CONFIG","classes":["order"],"out":["s-00001"],"back":["s-00002"],"ticket":9}"#;
    assert_eq!((update(rest).line_count(), update(rest).has_more), (3, false));
}

#[test]
fn comparison_fails_only_for_metrics_beyond_their_tolerance() {
    let group = |directors: u64, requests: u64, health_checks: u64| DirectorGroup {
        directors: directors as usize,
        discovery: TrafficCount {
            messages: directors * requests,
            bytes_in: directors * 90,
            bytes_out: directors * 900,
        },
        checking_directors: directors as usize,
        health_checks: directors * health_checks,
    };
    let within_tolerance = |simulated: DirectorGroup| -> Vec<bool> {
        compare(&group(2, 100, 10_000), &simulated)
            .iter()
            .map(|comparison| comparison.is_within_tolerance())
            .collect()
    };
    assert_eq!(within_tolerance(group(28, 108, 10_900)), [true; 4]);
    assert_eq!(within_tolerance(group(28, 112, 10_000)), [false, true, true, true]);
    assert_eq!(within_tolerance(group(28, 100, 8_000)), [true, true, true, false]);
}

/// Starts a discovery with the list of the smallest step; returns its handle, a connection of director 0 and
/// the address for director 0.
async fn start_discovery() -> (Discovery, Connection, SocketAddr) {
    let (discovery, queue) = Discovery::new(&fleet_size(), endpoint_list());
    tokio::spawn(queue);
    let (address, serving) = discovery.listen(LOOPBACK, 0, None).await.unwrap();
    tokio::spawn(serving);
    (discovery, connect(address).await, address)
}

async fn connect(address: SocketAddr) -> Connection {
    Connection::new(TcpStream::connect(address).await.unwrap())
}

async fn get(connection: &mut Connection, target: &str) -> Response {
    connection.get(target, "discovery").await.unwrap()
}

#[tokio::test]
async fn watch_is_answered_when_the_list_changes() {
    let (discovery, mut connection, _) = start_discovery().await;
    assert_eq!(get(&mut connection, "/v1/endpoints").await.status, 200);
    let watch =
        tokio::spawn(async move { get(&mut connection, "/v1/endpoints?after=1&wait_ms=60000").await });
    while discovery.traffic(0).count().messages < 2 {
        tokio::task::yield_now().await;
    }
    discovery.change(&[change(3, HostState::Leaving, 0)]);
    let response = watch.await.unwrap();
    let body = String::from_utf8(response.body).unwrap();
    assert!(body.starts_with(r#"{"version":2,"full":false,"#) && body.contains("leaving"), "{body}");
    assert_eq!((discovery.written_version(0), discovery.traffic(0).count().messages), (2, 2));
}

#[tokio::test]
async fn discovery_that_is_down_rejects_requests_and_pending_watches() {
    let (discovery, mut connection, address) = start_discovery().await;
    let watch =
        tokio::spawn(async move { get(&mut connection, "/v1/endpoints?after=1&wait_ms=60000").await });
    while discovery.traffic(0).count().messages < 1 {
        tokio::task::yield_now().await;
    }
    discovery.set_down(true);
    assert_eq!(watch.await.unwrap().status, 503);
    let mut second = connect(address).await;
    assert_eq!(get(&mut second, "/v1/endpoints").await.status, 503);
    assert!(discovery.was_rejected(0));
    discovery.set_down(false);
    assert_eq!(get(&mut second, "/v1/endpoints").await.status, 200);
    assert_eq!((discovery.rejected(0), discovery.was_rejected(0)), (2, false));
}

#[tokio::test]
async fn request_on_a_closed_connection_is_abandoned_not_delivered() {
    let (discovery, connection, address) = start_discovery().await;
    let mut watch = Box::pin(async move {
        let mut connection = connection;
        get(&mut connection, "/v1/endpoints?after=1&wait_ms=60000").await
    });
    while discovery.traffic(0).count().messages < 1 {
        let _ = tokio::time::timeout(Duration::from_millis(1), &mut watch).await;
    }
    drop(watch);
    while discovery.abandoned(0) < 1 {
        tokio::task::yield_now().await;
    }
    discovery.change(&[change(3, HostState::Leaving, 0)]);
    assert_eq!(discovery.written_version(0), 0);
    assert_eq!(get(&mut connect(address).await, "/v1/endpoints?after=2&wait_ms=0").await.status, 200);
    assert_eq!((discovery.abandoned(0), discovery.rejected(0)), (1, 0));
}

#[tokio::test]
async fn director_cut_off_gets_no_response_and_then_a_reset() {
    let (discovery, mut connection, address) = start_discovery().await;
    discovery.set_cut(0, true);
    let mut request = tokio::spawn(async move { connection.get("/v1/endpoints", "discovery").await });
    let response = tokio::time::timeout(Duration::from_millis(200), &mut request).await;
    assert!(response.is_err(), "a response arrived while the director was cut off");
    discovery.set_cut(0, false);
    assert!(request.await.unwrap().is_err());
    assert_eq!(get(&mut connect(address).await, "/v1/endpoints").await.status, 200);
}

#[tokio::test]
async fn host_in_a_silent_zone_counts_but_does_not_answer_health_checks() {
    let hosts = Arc::new(Hosts::new(&fleet_size()));
    let host = Host::listen(LOOPBACK, 3, &fleet_size(), hosts.clone()).await.unwrap();
    let address = host.address().unwrap();
    tokio::spawn(host.run());
    assert_eq!(get(&mut connect(address).await, "/status/load").await.status, 200);
    let zone = host_zone(&fleet_size(), 3);
    hosts.set_silent(zone, true);
    let mut connection = connect(address).await;
    let mut health_check = tokio::spawn(async move { connection.get("/status/load", "host").await });
    let response = tokio::time::timeout(Duration::from_millis(200), &mut health_check).await;
    assert!(response.is_err(), "a host of a silent zone responded");
    hosts.set_silent(zone, false);
    assert!(health_check.await.unwrap().is_err());
    assert_eq!(get(&mut connect(address).await, "/status/load").await.status, 200);
    let real_health_checks = hosts.real.count().messages;
    assert_eq!(
        (hosts.health_checks[3].get(), real_health_checks, hosts.simulated.count().messages),
        (3, 3, 0)
    );
}
