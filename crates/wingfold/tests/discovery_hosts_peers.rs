//! Discovery, hosts and peers of the running program: responses that are valid, failed, malformed or missing,
//! and datagrams of peers.

mod common;

use common::messages::{is_complete, DRAINING, REMOVED};
use common::{
    deployment_settings, endpoint, free_address, unique_loopback_ip, wait_until, Client, Director,
    DirectorSetup, Discovery, DiscoveryBehaviour, Host, ProxyTables,
};
use serde_json::json;
use std::net::{IpAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::time::Instant;

/// The response of a host to health checks; `later` is a key that the director does not know.
const LOAD_REPORT: Option<&str> = Some(r#"{"util":0.2,"inflight":1,"later":"x"}"#);

/// A director with three hosts in zone a, and a proxy that received its first update.
struct RunningDeployment {
    ip: IpAddr,
    discovery: Discovery,
    director: Director,
    proxy: Client,
    tables: ProxyTables,
}

fn start_deployment() -> RunningDeployment {
    let ip = unique_loopback_ip();
    let entries = ["s-1", "s-2", "s-3"].map(|id| endpoint(id, Host::start(ip, LOAD_REPORT).addr, "a"));
    let discovery = Discovery::start(ip, entries.to_vec());
    let director = DirectorSetup::new(ip, discovery.addr, discovery.known_list()).start();
    let mut proxy = director.connect_proxy(0, "a");
    let mut tables = ProxyTables::default();
    tables.apply(&proxy.receive_update());
    RunningDeployment { ip, discovery, director, proxy, tables }
}

#[test]
fn drain_reported_by_the_watch_removes_the_host() {
    let ip = unique_loopback_ip();
    let host = || Host::start(ip, LOAD_REPORT).addr;
    let entries =
        vec![endpoint("s-1", host(), "a"), endpoint("s-2", host(), "a"), endpoint("s-3", host(), "a")];
    let discovery = Discovery::start(ip, entries);
    let director = DirectorSetup::new(ip, discovery.addr, discovery.known_list()).start();
    let mut proxy = director.connect_proxy(0, "a");
    let mut tables = ProxyTables::default();
    tables.apply(&proxy.receive_update());
    assert_eq!(tables.hosts("order"), ["s-1", "s-2", "s-3"]);
    discovery.set_host_state("s-2", DRAINING);
    while tables.hosts("order").contains(&"s-2") {
        tables.apply(&proxy.receive_update());
    }
    assert_eq!(tables.hosts("lookup"), ["s-1", "s-3"]);
    let requests = discovery.requests();
    assert_eq!(requests[0], "/v1/endpoints?after=3&wait_ms=0", "the first watch must not wait");
    let waits_half_of_ask_within = |request: &String| request.contains("wait_ms=2000");
    assert!(requests[1..].iter().all(waits_half_of_ask_within), "{requests:?}");
}

#[test]
fn director_with_an_old_list_catches_up() {
    let ip = unique_loopback_ip();
    let host = || Host::start(ip, LOAD_REPORT).addr;
    let discovery = Discovery::start(ip, vec![endpoint("s-1", host(), "a"), endpoint("s-2", host(), "a")]);
    let known = discovery.known_list();
    discovery.set_host_state("s-1", REMOVED);
    discovery.upsert(endpoint("s-3", host(), "a"));
    let director = DirectorSetup::new(ip, discovery.addr, known).start();
    let mut proxy = director.connect_proxy(0, "a");
    let mut tables = ProxyTables::default();
    while tables.hosts("order") != ["s-2", "s-3"] {
        tables.apply(&proxy.receive_update());
    }
    // Restarted after a kill with the current list, the director serves the same proxy again.
    drop(proxy);
    director.send_signal("KILL");
    drop(director);
    let director = DirectorSetup::new(ip, discovery.addr, discovery.known_list()).start();
    let mut tables = ProxyTables::default();
    tables.apply(&director.connect_proxy(0, "a").receive_update());
    assert!(tables.hosts("order").contains(&"s-2"));
}

#[test]
fn director_without_a_list_requests_the_complete_one() {
    let ip = unique_loopback_ip();
    let discovery = Discovery::start(ip, vec![endpoint("s-1", Host::start(ip, LOAD_REPORT).addr, "a")]);
    let mut setup = DirectorSetup::new(ip, discovery.addr, json!(null));
    setup.config.as_object_mut().unwrap().remove("known");
    let director = setup.start();
    assert!(is_complete(&director.connect_proxy(0, "a").receive_update()));
    assert_eq!(discovery.requests()[0], "/v1/endpoints");
}

#[test]
fn failed_requests_change_nothing_and_are_repeated() {
    let ip = unique_loopback_ip();
    let host = || Host::start(ip, LOAD_REPORT).addr;
    let discovery = Discovery::start(ip, vec![endpoint("s-1", host(), "a"), endpoint("s-2", host(), "a")]);
    let director = DirectorSetup::new(ip, discovery.addr, discovery.known_list()).start();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    for behaviour in [
        DiscoveryBehaviour::Unavailable,
        DiscoveryBehaviour::MalformedList,
        DiscoveryBehaviour::TruncatedResponse,
        DiscoveryBehaviour::Unresponsive,
    ] {
        let failures_before = director.metric("list_failures_total");
        discovery.set_behaviour(behaviour);
        wait_until("two failures are counted", || {
            director.metric("list_failures_total") >= failures_before + 2
        });
        assert!(proxy.ping(), "{behaviour:?}");
    }
    assert_eq!(director.metric("list_version"), 2, "a malformed list was applied, at least in part");
    discovery.set_behaviour(DiscoveryBehaviour::Normal);
    discovery.set_host_state("s-2", DRAINING);
    let mut tables = ProxyTables::default();
    while !tables.entries.contains_key("order") {
        tables.apply(&proxy.receive_update());
    }
    wait_until("the failure is logged", || director.log().contains("discovery call failed"));
}

#[test]
fn stale_or_empty_list_changes_no_table() {
    // Guards against a discovery service that returns a list from before a drain, or an empty list because it
    // has just started: the draining host must not return, and no table may become empty.
    let RunningDeployment { ip, discovery, director, mut proxy, mut tables } = start_deployment();
    discovery.set_host_state("s-2", DRAINING);
    while tables.hosts("order") != ["s-1", "s-3"] {
        tables.apply(&proxy.receive_update());
    }
    for (behaviour, reason) in [
        (
            DiscoveryBehaviour::StaleList,
            "complete endpoint list has version 1, older than the cached version 4",
        ),
        (DiscoveryBehaviour::EmptyList, "complete endpoint list is empty, but endpoints were listed before"),
    ] {
        let failures_before = director.metric("list_failures_total");
        discovery.set_behaviour(behaviour);
        // The watch that waits at discovery returns before the next request is sent.
        wait_until("the list is rejected", || director.metric("list_failures_total") > failures_before);
        // Log lines arrive through a pipe, so later than the metric changes.
        wait_until(reason, || director.log().contains(reason));
        assert_eq!(director.metric("list_version"), 4, "{behaviour:?}");
    }
    discovery.set_behaviour(DiscoveryBehaviour::Normal);
    discovery.upsert(endpoint("s-4", Host::start(ip, LOAD_REPORT).addr, "a"));
    while !tables.hosts("order").contains(&"s-4") {
        tables.apply(&proxy.receive_update());
        assert!(tables.hosts("order").starts_with(&["s-1", "s-3"]), "{:?}", tables.hosts("order"));
    }
    // A discovery service that keeps returning the older list was reinstalled: the list is accepted the
    // fourth time.
    discovery.set_behaviour(DiscoveryBehaviour::StaleList);
    wait_until("the older list is accepted", || director.metric("list_version") == 1);
    while !tables.hosts("order").contains(&"s-2") {
        tables.apply(&proxy.receive_update());
    }
}

#[test]
fn invalid_entry_does_not_delay_a_drain_in_the_same_list() {
    // Guards against a drain that is applied, and proxies that stop sending to the host, only once an
    // operator has corrected the entry of another host.
    let RunningDeployment { ip, discovery, director, mut proxy, mut tables } = start_deployment();
    let new = endpoint("s-4", Host::start(ip, LOAD_REPORT).addr, "a");
    let mut invalid = new.clone();
    invalid["weight"] = json!(-1.0);
    discovery.upsert(invalid);
    discovery.set_host_state("s-2", DRAINING);
    while tables.hosts("order") != ["s-1", "s-3"] {
        tables.apply(&proxy.receive_update());
    }
    wait_until("the invalid entry is counted", || director.metric("list_entries_invalid_total") > 0);
    let fault = "(s-4): number is -1e0, 0 to 1e9 is expected";
    wait_until("the invalid entry is logged", || director.log().contains(fault));
    assert_eq!(
        director.metric("list_version"),
        3,
        "the version of a list with an invalid entry must not be taken over"
    );
    // With the entry corrected, the list is applied completely.
    discovery.upsert(new);
    while tables.hosts("order") != ["s-1", "s-3", "s-4"] {
        tables.apply(&proxy.receive_update());
    }
}

#[test]
fn director_serves_while_discovery_is_unreachable() {
    let ip = unique_loopback_ip();
    let known =
        Discovery::start(ip, vec![endpoint("s-1", Host::start(ip, LOAD_REPORT).addr, "a")]).known_list();
    let director = DirectorSetup::new(ip, free_address(ip), known).start();
    assert!(
        is_complete(&director.connect_proxy(0, "a").receive_update()),
        "no complete table from the known list"
    );
    wait_until("the failure is counted", || director.metric("list_failures_total") > 0);
}

#[test]
fn silent_host_does_not_delay_health_checks_of_others() {
    let ip = unique_loopback_ip();
    let (healthy, silent) = (Host::start(ip, LOAD_REPORT), Host::start(ip, None));
    let malformed = Host::start(ip, Some("<html>"));
    let closed = free_address(ip);
    let entries = vec![
        endpoint("s-1", healthy.addr, "a"),
        endpoint("s-2", silent.addr, "a"),
        endpoint("s-3", malformed.addr, "b"),
        endpoint("s-4", closed, "b"),
    ];
    let discovery = Discovery::start(ip, entries);
    let director = DirectorSetup::new(ip, discovery.addr, discovery.known_list()).start();
    let checks = |host: &Host| host.health_checks.load(Ordering::Relaxed);
    wait_until("three health checks of each host", || {
        checks(&healthy) >= 3 && checks(&silent) >= 3 && checks(&malformed) >= 3
    });
    wait_until("the failed health checks are counted", || director.metric("probes_failed_total") >= 9);
    let all_checks = director.metric("probes_total");
    assert!(director.metric("probes_failed_total") < all_checks);
}

#[test]
fn datagrams_from_non_peers_or_over_256_bytes_are_dropped() {
    let ip = unique_loopback_ip();
    let discovery = Discovery::start(ip, vec![endpoint("s-1", Host::start(ip, LOAD_REPORT).addr, "a")]);
    let setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    let director = setup.start();
    let director_address = setup.config["peer_listen"].as_str().unwrap();
    let peer = UdpSocket::bind(setup.config["peers"][1].as_str().unwrap()).unwrap();
    let non_peer = UdpSocket::bind((ip, 0)).unwrap();
    peer.send_to(&[7; 256], director_address).unwrap();
    peer.send_to(&[], director_address).unwrap();
    peer.send_to(&[7; 257], director_address).unwrap();
    non_peer.send_to(&[7; 10], director_address).unwrap();
    wait_until("the two valid datagrams are counted", || director.metric("datagrams_in_total") == 2);
    wait_until("the two invalid datagrams are counted", || director.metric("datagrams_bad_total") == 2);
}

#[test]
fn director_without_peers_opens_no_datagram_socket() {
    let ip = unique_loopback_ip();
    let discovery = Discovery::start(ip, vec![endpoint("s-1", Host::start(ip, LOAD_REPORT).addr, "a")]);
    let mut setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    setup.config["settings"] = deployment_settings();
    setup.config["settings"]["policy_limits"]["peers"] = json!(false);
    let _director = setup.start();
    let address = setup.config["peer_listen"].as_str().unwrap();
    UdpSocket::bind(address).expect("the director has bound the peer address");
}

#[test]
fn unanswered_watch_is_detected_within_ask_within() {
    let ip = unique_loopback_ip();
    let discovery = Discovery::start(ip, vec![endpoint("s-1", Host::start(ip, LOAD_REPORT).addr, "a")]);
    let mut setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    setup.config["settings"]["rules"]["ask_within"] = json!(8_000_000);
    let director = setup.start();
    wait_until("a watch waits at discovery", || discovery.requests().len() >= 2);
    discovery.set_behaviour(DiscoveryBehaviour::Unresponsive);
    let started = Instant::now();
    wait_until("the unanswered watch is counted as a failure", || {
        director.metric("list_failures_total") == 1
    });
    // At most half of `ask_within` passes until the waiting watch ends, and a quarter until it counts as
    // unanswered.
    assert!(started.elapsed().as_millis() < 8000, "{:?}", started.elapsed());
}

#[test]
fn director_watches_discovery_although_changes_are_pushed() {
    let ip = unique_loopback_ip();
    let host = || Host::start(ip, LOAD_REPORT).addr;
    let discovery = Discovery::start(ip, vec![endpoint("s-1", host(), "a"), endpoint("s-2", host(), "a")]);
    let mut setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    setup.config["settings"]["discovery"] = json!("pushed");
    let director = setup.start();
    wait_until("a watch waits at discovery", || discovery.requests().len() >= 2);
    assert_eq!(discovery.requests()[0], "/v1/endpoints", "the first request must be for the complete list");
    let mut proxy = director.connect_proxy(0, "a");
    let mut tables = ProxyTables::default();
    tables.apply(&proxy.receive_update());
    discovery.set_behaviour(DiscoveryBehaviour::Unavailable);
    discovery.set_host_state("s-2", DRAINING);
    wait_until("the failed request is counted", || director.metric("list_failures_total") > 0);
    discovery.set_behaviour(DiscoveryBehaviour::Normal);
    while tables.hosts("order") != ["s-1"] {
        tables.apply(&proxy.receive_update());
    }
}
