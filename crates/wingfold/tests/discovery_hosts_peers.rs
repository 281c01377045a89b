//! Discovery, hosts and peers as the program meets them: good, failing, garbled, silent.

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

const REPORT: Option<&str> = Some(r#"{"util":0.2,"inflight":1,"later":"x"}"#);

/// A director of three hosts, and a proxy with its first table.
struct Served {
    ip: IpAddr,
    discovery: Discovery,
    director: Director,
    proxy: Client,
    tables: ProxyTables,
}

fn served() -> Served {
    let ip = unique_loopback_ip();
    let entries = ["s-1", "s-2", "s-3"].map(|id| endpoint(id, Host::start(ip, REPORT).addr, "a"));
    let discovery = Discovery::start(ip, entries.to_vec());
    let director = DirectorSetup::new(ip, discovery.addr, discovery.known_list()).start();
    let mut proxy = director.connect_proxy(0, "a");
    let mut tables = ProxyTables::default();
    tables.apply(&proxy.receive_update());
    Served { ip, discovery, director, proxy, tables }
}

#[test]
fn a_drain_that_the_watch_tells_takes_the_host_out() {
    let ip = unique_loopback_ip();
    let host = || Host::start(ip, REPORT).addr;
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
    let calls = discovery.requests();
    assert_eq!(calls[0], "/v1/endpoints?after=3&wait_ms=0", "the first call does not wait");
    assert!(calls[1..].iter().all(|call| call.contains("wait_ms=2000")), "half of ask_within: {calls:?}");
}

#[test]
fn a_director_that_remembers_an_old_list_catches_up() {
    let ip = unique_loopback_ip();
    let host = || Host::start(ip, REPORT).addr;
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
    // Killed outright and started anew with that list, it serves the same proxy again.
    drop(proxy);
    director.send_signal("KILL");
    drop(director);
    let director = DirectorSetup::new(ip, discovery.addr, discovery.known_list()).start();
    let mut tables = ProxyTables::default();
    tables.apply(&director.connect_proxy(0, "a").receive_update());
    assert!(tables.hosts("order").contains(&"s-2"));
}

#[test]
fn a_director_that_remembers_nothing_asks_for_the_whole_list() {
    let ip = unique_loopback_ip();
    let discovery = Discovery::start(ip, vec![endpoint("s-1", Host::start(ip, REPORT).addr, "a")]);
    let mut setup = DirectorSetup::new(ip, discovery.addr, json!(null));
    setup.config.as_object_mut().unwrap().remove("known");
    let director = setup.start();
    assert!(is_complete(&director.connect_proxy(0, "a").receive_update()));
    assert_eq!(discovery.requests()[0], "/v1/endpoints");
}

#[test]
fn failed_garbled_and_silent_calls_change_nothing_and_are_asked_again() {
    let ip = unique_loopback_ip();
    let host = || Host::start(ip, REPORT).addr;
    let discovery = Discovery::start(ip, vec![endpoint("s-1", host(), "a"), endpoint("s-2", host(), "a")]);
    let director = DirectorSetup::new(ip, discovery.addr, discovery.known_list()).start();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    for behaviour in [
        DiscoveryBehaviour::Unavailable,
        DiscoveryBehaviour::MalformedList,
        DiscoveryBehaviour::TruncatedResponse,
        DiscoveryBehaviour::Unresponsive,
    ] {
        let before = director.metric("list_failures_total");
        discovery.set_behaviour(behaviour);
        wait_until("the module is told twice", || director.metric("list_failures_total") >= before + 2);
        assert!(proxy.ping(), "{behaviour:?}");
    }
    assert_eq!(director.metric("list_version"), 2, "no garbled answer was taken, in part or whole");
    discovery.set_behaviour(DiscoveryBehaviour::Normal);
    discovery.set_host_state("s-2", DRAINING);
    let mut tables = ProxyTables::default();
    while !tables.entries.contains_key("order") {
        tables.apply(&proxy.receive_update());
    }
    wait_until("it is told", || director.log().contains("discovery call failed"));
}

#[test]
fn a_list_out_of_the_past_or_of_nobody_brings_no_draining_host_back_and_empties_no_table() {
    // Guards against: a discovery that misbehaves by answering, late and from an older time, or before it knows anybody.
    let Served { ip, discovery, director, mut proxy, mut tables } = served();
    discovery.set_host_state("s-2", DRAINING);
    while tables.hosts("order") != ["s-1", "s-3"] {
        tables.apply(&proxy.receive_update());
    }
    for (behaviour, why) in [
        (DiscoveryBehaviour::StaleList, "a complete endpoint list of version 1 where 4 is cached"),
        (DiscoveryBehaviour::EmptyList, "without any endpoint"),
    ] {
        let before = director.metric("list_failures_total");
        discovery.set_behaviour(behaviour);
        // The call that waits at discovery ends first.
        wait_until("it was refused", || director.metric("list_failures_total") > before);
        // Lines arrive through a pipe, some time after the figure.
        wait_until(why, || director.log().contains(why));
        assert_eq!(director.metric("list_version"), 4, "{behaviour:?}");
    }
    discovery.set_behaviour(DiscoveryBehaviour::Normal);
    discovery.upsert(endpoint("s-4", Host::start(ip, REPORT).addr, "a"));
    while !tables.hosts("order").contains(&"s-4") {
        tables.apply(&proxy.receive_update());
        assert!(tables.hosts("order").starts_with(&["s-1", "s-3"]), "{:?}", tables.hosts("order"));
    }
    // One that keeps to its older list was set up anew: the fourth time it counts.
    discovery.set_behaviour(DiscoveryBehaviour::StaleList);
    wait_until("it is believed", || director.metric("list_version") == 1);
    while !tables.hosts("order").contains(&"s-2") {
        tables.apply(&proxy.receive_update());
    }
}

#[test]
fn an_entry_that_cannot_be_read_holds_up_no_drain_beside_it() {
    // Guards against: a drain that waits, and proxies that go on sending, until somebody mends another host's entry.
    let Served { ip, discovery, director, mut proxy, mut tables } = served();
    let new = endpoint("s-4", Host::start(ip, REPORT).addr, "a");
    let mut spoilt = new.clone();
    spoilt["weight"] = json!(-1.0);
    discovery.upsert(spoilt);
    discovery.set_host_state("s-2", DRAINING);
    while tables.hosts("order") != ["s-1", "s-3"] {
        tables.apply(&proxy.receive_update());
    }
    wait_until("it is counted", || director.metric("list_entries_invalid_total") > 0);
    let told = "(s-4): -1e0 where 0 to 1e9 is expected";
    wait_until("it is told by its place", || director.log().contains(told));
    assert_eq!(director.metric("list_version"), 3, "the answer is asked for again");
    // Once it is mended the list goes on.
    discovery.upsert(new);
    while tables.hosts("order") != ["s-1", "s-3", "s-4"] {
        tables.apply(&proxy.receive_update());
    }
}

#[test]
fn discovery_that_nobody_answers_for_keeps_no_director_from_serving() {
    let ip = unique_loopback_ip();
    let known = Discovery::start(ip, vec![endpoint("s-1", Host::start(ip, REPORT).addr, "a")]).known_list();
    let director = DirectorSetup::new(ip, free_address(ip), known).start();
    assert!(is_complete(&director.connect_proxy(0, "a").receive_update()), "from what it remembers");
    wait_until("the failure is counted", || director.metric("list_failures_total") > 0);
}

#[test]
fn hosts_are_probed_and_a_silent_one_holds_no_other_up() {
    let ip = unique_loopback_ip();
    let (good, silent) = (Host::start(ip, REPORT), Host::start(ip, None));
    let strange = Host::start(ip, Some("<html>"));
    let dead = free_address(ip);
    let entries = vec![
        endpoint("s-1", good.addr, "a"),
        endpoint("s-2", silent.addr, "a"),
        endpoint("s-3", strange.addr, "b"),
        endpoint("s-4", dead, "b"),
    ];
    let discovery = Discovery::start(ip, entries);
    let director = DirectorSetup::new(ip, discovery.addr, discovery.known_list()).start();
    let probes = |host: &Host| host.health_checks.load(Ordering::Relaxed);
    wait_until("three rounds of probes", || {
        probes(&good) >= 3 && probes(&silent) >= 3 && probes(&strange) >= 3
    });
    wait_until("each bad one is counted", || director.metric("probes_failed_total") >= 9);
    let all = director.metric("probes_total");
    assert!(director.metric("probes_failed_total") < all);
}

#[test]
fn datagrams_are_taken_from_peers_alone_and_no_longer_than_allowed() {
    let ip = unique_loopback_ip();
    let discovery = Discovery::start(ip, vec![endpoint("s-1", Host::start(ip, REPORT).addr, "a")]);
    let setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    let director = setup.start();
    let to = setup.config["peer_listen"].as_str().unwrap();
    let peer = UdpSocket::bind(setup.config["peers"][1].as_str().unwrap()).unwrap();
    let stranger = UdpSocket::bind((ip, 0)).unwrap();
    peer.send_to(&[7; 256], to).unwrap();
    peer.send_to(&[], to).unwrap();
    peer.send_to(&[7; 257], to).unwrap();
    stranger.send_to(&[7; 10], to).unwrap();
    wait_until("two are taken", || director.metric("datagrams_in_total") == 2);
    wait_until("two are not", || director.metric("datagrams_bad_total") == 2);
}

#[test]
fn directors_without_peers_open_no_socket_for_them() {
    let ip = unique_loopback_ip();
    let discovery = Discovery::start(ip, vec![endpoint("s-1", Host::start(ip, REPORT).addr, "a")]);
    let mut setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    setup.config["settings"] = deployment_settings();
    setup.config["settings"]["policy_limits"]["peers"] = json!(false);
    let _director = setup.start();
    let address = setup.config["peer_listen"].as_str().unwrap();
    UdpSocket::bind(address).expect("nobody listens there");
}

#[test]
fn a_call_that_falls_silent_is_found_out_inside_the_time_to_ask_again() {
    let ip = unique_loopback_ip();
    let discovery = Discovery::start(ip, vec![endpoint("s-1", Host::start(ip, REPORT).addr, "a")]);
    let mut setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    setup.config["settings"]["rules"]["ask_within"] = json!(8_000_000);
    let director = setup.start();
    wait_until("the watch waits", || discovery.requests().len() >= 2);
    discovery.set_behaviour(DiscoveryBehaviour::Unresponsive);
    let begun = Instant::now();
    wait_until("it is found out", || director.metric("list_failures_total") == 1);
    // Half of `ask_within` for the wait that was under way, and a quarter of it for an answer.
    assert!(begun.elapsed().as_millis() < 8000, "{:?}", begun.elapsed());
}

#[test]
fn where_changes_are_pushed_the_director_watches_all_the_same() {
    let ip = unique_loopback_ip();
    let host = || Host::start(ip, REPORT).addr;
    let discovery = Discovery::start(ip, vec![endpoint("s-1", host(), "a"), endpoint("s-2", host(), "a")]);
    let mut setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    setup.config["settings"]["discovery"] = json!("pushed");
    let director = setup.start();
    wait_until("the watch waits", || discovery.requests().len() >= 2);
    assert_eq!(discovery.requests()[0], "/v1/endpoints", "the whole list first");
    let mut proxy = director.connect_proxy(0, "a");
    let mut tables = ProxyTables::default();
    tables.apply(&proxy.receive_update());
    discovery.set_behaviour(DiscoveryBehaviour::Unavailable);
    discovery.set_host_state("s-2", DRAINING);
    wait_until("the call fails", || director.metric("list_failures_total") > 0);
    discovery.set_behaviour(DiscoveryBehaviour::Normal);
    while tables.hosts("order") != ["s-1"] {
        tables.apply(&proxy.receive_update());
    }
}
