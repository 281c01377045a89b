//! Start, reload and end of the program: invalid configurations, signals, few descriptors, and a log that
//! nobody reads.

mod common;

use common::messages::{is_complete, DRAINING};
use common::{
    endpoint, free_address, unique_loopback_ip, wait_until, Director, DirectorSetup, Discovery, Host,
    MAX_SHUTDOWN_TIME,
};
use serde_json::{json, Value};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::Instant;

/// One host in zone a, and a director that starts with its endpoint list.
fn one_host_deployment() -> (Discovery, DirectorSetup) {
    let ip = unique_loopback_ip();
    let host = Host::start(ip, Some("{}"));
    let discovery = Discovery::start(ip, vec![endpoint("s-1", host.addr, "a")]);
    let setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    (discovery, setup)
}

/// Checks that a director exits with an error, without listening and after one log line. Returns that line.
fn startup_error(mut director: Director) -> String {
    assert!(!director.wait_for_exit().success());
    assert!(
        TcpStream::connect(director.listen).is_err(),
        "the program listens in spite of its configuration"
    );
    wait_until("the faulty key is logged", || director.log().contains("key `"));
    let log = director.log();
    assert_eq!(log.lines().count(), 1, "more than one log line: {log}");
    log
}

#[test]
fn invalid_configuration_is_rejected_with_the_faulty_key() {
    let (_discovery, setup) = one_host_deployment();
    let cases: Vec<(&str, Value, &str)> = vec![
        ("/listen", json!("nowhere"), "key `listen`"),
        ("/listen", json!(8443), "key `listen`"),
        ("/discovery", Value::Null, "key `GW_DISCOVERY`"),
        ("/seed", json!("xyz"), "key `seed`"),
        ("/limits/sockets", json!("many"), "key `limits.sockets`"),
        ("/peers/1", json!("10.0.0.1"), "key `peers[1]`"),
        ("/peers_all", Value::Null, "key `peers_all`"),
        ("/known/servers/0/state", json!("asleep"), "key `known.servers[0].state`"),
        ("/settings/classes", json!([]), "key `settings.classes`"),
        ("/settings/classes/1/repeat", json!("often"), "key `settings.classes[1].repeat`"),
        ("/settings/me", json!(2), "key `settings.me`"),
        ("/settings/family_info/bare", json!(-1), "key `settings.family_info.bare`"),
        ("/settings/family_info/egress_per_s", json!(0.0), "key `settings.family_info.egress_per_s`"),
        ("/settings/rules/cold", json!("long"), "key `settings.rules.cold`"),
    ];
    for (path, value, expected) in cases {
        let mut config = setup.config.clone();
        *config.pointer_mut(path).unwrap() = value;
        let error = startup_error(setup.spawn(&config.to_string(), true));
        assert!(error.contains(expected), "{path}: {error}");
    }
    let mut config = setup.config.clone();
    config["settings"]["rules"].as_object_mut().unwrap().remove("cold");
    let error = startup_error(setup.spawn(&config.to_string(), true));
    assert!(error.contains("key `settings.rules`") && error.contains("`cold`"), "{error}");
    assert!(startup_error(setup.spawn("{\"listen\":", true)).contains("key `"), "truncated");
    assert!(startup_error(setup.spawn("", true)).contains("key `"), "empty");
}

#[test]
fn missing_configuration_file_is_rejected_with_the_variable() {
    let listen = free_address(unique_loopback_ip());
    assert!(startup_error(Director::spawn(listen, None, &[], true)).contains("key `GW_CONFIG`"));
    let missing = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("no-such-file.json");
    let error = startup_error(Director::spawn(listen, Some(missing), &[], true));
    assert!(error.contains("key `GW_CONFIG`") && error.contains("no-such-file.json"), "{error}");
}

#[test]
fn address_in_use_is_reported_with_its_key() {
    let (_discovery, setup) = one_host_deployment();
    let _first = setup.start();
    let mut second = setup.spawn(&setup.config.to_string(), true);
    assert!(!second.wait_for_exit().success());
    wait_until("the faulty key is logged", || second.log().contains("key `listen`"));
}

#[test]
fn sigterm_exits_promptly_with_status_0() {
    let (_discovery, setup) = one_host_deployment();
    let mut director = setup.start();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let started = Instant::now();
    director.send_signal("TERM");
    let status = director.wait_for_exit();
    assert_eq!(status.code(), Some(0));
    assert!(started.elapsed() < MAX_SHUTDOWN_TIME, "{:?}", started.elapsed());
    assert!(proxy.is_closed_in_time());
    // The address can be bound again at once.
    setup.start();
}

/// Waits until a log line contains this text, and checks that no second line does.
fn wait_for_single_log_line(director: &Director, text: &str) {
    let count = || director.log().lines().filter(|line| line.contains(text)).count();
    wait_until(text, || count() >= 1);
    assert_eq!(count(), 1, "{text}");
}

#[test]
fn reload_switches_discovery_and_keeps_streams() {
    let (old, setup) = one_host_deployment();
    let ip = unique_loopback_ip();
    let host = |id: &str| endpoint(id, Host::start(ip, Some("{}")).addr, "a");
    let [first, second] = [1, 2].map(|_| Discovery::start(ip, vec![host("s-1"), host("s-2")]));
    // The environment variable applies at the start; after a reload the key of the file takes precedence.
    let environment = [("GW_DISCOVERY", old.addr.to_string())];
    let director = setup.start_with_environment(&setup.config.to_string(), &environment);
    wait_until("a watch waits at the old discovery", || old.requests().len() >= 2);
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    let mut tables = common::ProxyTables::default();
    for (number, discovery) in [(1, &first), (2, &second)] {
        let mut config = setup.config.clone();
        config["discovery"] = json!(discovery.addr.to_string());
        director.rewrite_config(&config.to_string());
        director.send_signal("HUP");
        // The watch that waits at the old discovery, and its connection, are dropped.
        wait_until("the complete list is requested", || {
            discovery.requests().first().is_some_and(|request| request == "/v1/endpoints")
        });
        wait_until("a watch waits at the new discovery", || {
            discovery.requests().get(1).is_some_and(|request| request.contains("after=2"))
        });
        wait_until("the change of discovery is counted", || director.metric("list_moves_total") == number);
        wait_until("the connections to the old discovery are closed", || old.open_connections() == 0);
    }
    wait_until("the connections to the first new discovery are closed", || first.open_connections() == 0);
    while !tables.hosts("order").contains(&"s-2") {
        tables.apply(&proxy.receive_update());
    }
    let requests_before = (first.requests().len(), old.requests().len());
    second.set_host_state("s-2", DRAINING);
    while tables.hosts("order").contains(&"s-2") {
        tables.apply(&proxy.receive_update());
    }
    assert!(proxy.ping() && collector.ping(), "a client was disconnected by the reload");
    let requests_after = (first.requests().len(), old.requests().len());
    assert_eq!(requests_after, requests_before, "a replaced discovery got another request");
    assert_eq!(director.metric("list_failures_total"), 0, "a dropped request was counted as a failure");
    assert_eq!(director.metric("streams_joined_total"), 1);
    assert_eq!(director.metric("streams_left_total"), 0);
}

#[test]
fn invalid_reload_is_logged_and_changes_nothing() {
    let (discovery, setup) = one_host_deployment();
    let mut director = setup.start();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let mut invalid = setup.config.clone();
    invalid["discovery"] = json!("nowhere");
    let cases = [(invalid.to_string(), "key `discovery`"), ("{\"listen\":".into(), "key `listen`")];
    for (text, expected) in cases {
        director.rewrite_config(&text);
        director.send_signal("HUP");
        wait_for_single_log_line(&director, &format!("reload: {expected}"));
    }
    director.remove_config();
    director.send_signal("HUP");
    wait_for_single_log_line(&director, "reload: key `GW_CONFIG`");
    // Changes that take effect only at a restart are logged; the other changes are applied.
    let mut changed = setup.config.clone();
    changed["settings"]["rules"]["cold"] = json!(9_000_000);
    changed["limits"]["sockets"] = json!(512);
    changed["seed"] = json!("1");
    director.rewrite_config(&changed.to_string());
    director.send_signal("HUP");
    wait_for_single_log_line(&director, "reload: key `settings` has changed");
    assert!(proxy.ping() && director.is_running());
    discovery.set_host_state("s-1", DRAINING);
    wait_until("a change from the unchanged discovery is applied", || {
        director.log().contains("host draining host=s-1")
    });
    assert_eq!(director.metric("list_moves_total"), 0);
}

#[test]
fn repeated_signals_leave_the_program_able_to_exit_cleanly() {
    let (_discovery, setup) = one_host_deployment();
    let mut director = setup.start();
    for _ in 0..20 {
        director.send_signal("HUP");
    }
    wait_for_single_log_line(&director, "serving");
    assert!(director.is_running());
    director.send_signal("HUP");
    director.send_signal("TERM");
    assert_eq!(director.wait_for_exit().code(), Some(0));
}

#[test]
fn director_with_few_descriptors_serves_as_many_proxies_as_fit() {
    let (_discovery, mut setup) = one_host_deployment();
    setup.config["limits"] = json!({"memory_mb": 32, "sockets": 32});
    setup.config["settings"]["family_info"]["proxy_count"] = json!(400);
    let director = setup.start();
    wait_for_single_log_line(&director, "key `limits.sockets`");
    // Idle unidentified connections take every place; proxies evict them until all places are taken by
    // proxies.
    let _unidentified: Vec<_> = (0..20).map(|_| director.connect()).collect();
    let mut proxies: Vec<_> = (0..8).map(|id| director.connect_proxy_with_tables(id, "a")).collect();
    let _more_unidentified: Vec<_> = (0..20).map(|_| director.connect()).collect();
    assert!(
        proxies.iter_mut().all(common::Client::ping),
        "an unidentified connection evicted a joined proxy"
    );
}

#[test]
fn unread_log_blocks_nothing() {
    let (_discovery, setup) = one_host_deployment();
    let mut director = setup.spawn(&setup.config.to_string(), false);
    setup.wait_until_ready();
    // Each connection logs one or two lines: together far more than the pipe's buffer holds.
    for _ in 0..3000 {
        drop(director.connect_proxy(1, "a"));
    }
    let mut proxy = director.connect_proxy(0, "a");
    assert!(is_complete(&proxy.receive_update()));
    assert!(director.is_running());
    director.send_signal("TERM");
    let started = Instant::now();
    assert_eq!(director.wait_for_exit().code(), Some(0));
    assert!(started.elapsed() < MAX_SHUTDOWN_TIME, "{:?}", started.elapsed());
}
