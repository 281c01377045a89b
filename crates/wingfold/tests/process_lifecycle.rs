//! The program's start and end: configurations that are wrong, signals, and a log that nobody reads.

mod common;

use common::messages::{is_complete, DRAINING};
use common::{
    endpoint, free_address, unique_loopback_ip, wait_until, Director, DirectorSetup, Discovery, Host,
};
use serde_json::{json, Value};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};

fn setup() -> (Discovery, DirectorSetup) {
    let ip = unique_loopback_ip();
    let host = Host::start(ip, Some("{}"));
    let discovery = Discovery::start(ip, vec![endpoint("s-1", host.addr, "a")]);
    let setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    (discovery, setup)
}

/// Starts the program with a wrong configuration: what it says.
fn refused(mut director: Director) -> String {
    assert!(!director.wait_for_exit().success());
    assert!(TcpStream::connect(director.listen).is_err(), "no listening socket");
    wait_until("it has said why", || director.log().contains("key `"));
    let log = director.log();
    assert_eq!(log.lines().count(), 1, "one message: {log}");
    log
}

#[test]
fn a_configuration_that_is_wrong_is_refused_by_the_key_at_fault() {
    let (_discovery, setup) = setup();
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
    for (path, value, says) in cases {
        let mut config = setup.config.clone();
        *config.pointer_mut(path).unwrap() = value;
        let said = refused(setup.spawn(&config.to_string(), true));
        assert!(said.contains(says), "{path}: {said}");
    }
    let mut config = setup.config.clone();
    config["settings"]["rules"].as_object_mut().unwrap().remove("cold");
    let said = refused(setup.spawn(&config.to_string(), true));
    assert!(said.contains("key `settings.rules`") && said.contains("`cold`"), "{said}");
    assert!(refused(setup.spawn("{\"listen\":", true)).contains("key `"), "cut short");
    assert!(refused(setup.spawn("", true)).contains("key `"), "empty");
}

#[test]
fn a_configuration_that_is_missing_is_refused_by_the_variable() {
    let listen = free_address(unique_loopback_ip());
    assert!(refused(Director::spawn(listen, None, &[], true)).contains("key `GW_CONFIG`"));
    let nowhere = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("no-such-file.json");
    let said = refused(Director::spawn(listen, Some(nowhere), &[], true));
    assert!(said.contains("key `GW_CONFIG`") && said.contains("no-such-file.json"), "{said}");
}

#[test]
fn an_address_that_is_taken_is_told_by_its_key() {
    let (_discovery, setup) = setup();
    let _first = setup.start();
    let mut second = setup.spawn(&setup.config.to_string(), true);
    assert!(!second.wait_for_exit().success());
    wait_until("it has said why", || second.log().contains("key `listen`"));
}

#[test]
fn sigterm_ends_the_program_at_once_and_well() {
    let (_discovery, setup) = setup();
    let mut director = setup.start();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let begun = Instant::now();
    director.send_signal("TERM");
    let status = director.wait_for_exit();
    assert_eq!(status.code(), Some(0));
    assert!(begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
    assert!(proxy.is_closed_in_time());
    // The same address serves again at once.
    setup.start();
}

/// Waits until a line of the log holds these words, so many times.
fn logged(director: &Director, words: &str, times: usize) {
    let seen = || director.log().lines().filter(|line| line.contains(words)).count();
    wait_until(words, || seen() >= times);
    assert_eq!(seen(), times, "{words}");
}

#[test]
fn a_reload_turns_to_the_new_discovery_and_streams_stay() {
    let (old, setup) = setup();
    let ip = unique_loopback_ip();
    let host = |id: &str| endpoint(id, Host::start(ip, Some("{}")).addr, "a");
    let [first, second] = [1, 2].map(|_| Discovery::start(ip, vec![host("s-1"), host("s-2")]));
    // The variable was set at the start; after a reload the file's key goes before it.
    let vars = [("GW_DISCOVERY", old.addr.to_string())];
    let director = setup.start_with_variables(&setup.config.to_string(), &vars);
    wait_until("the watch waits at the old address", || old.requests().len() >= 2);
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    let mut tables = common::ProxyTables::default();
    for (number, place) in [(1, &first), (2, &second)] {
        let mut config = setup.config.clone();
        config["discovery"] = json!(place.addr.to_string());
        director.rewrite_config(&config.to_string());
        director.send_signal("HUP");
        // The call that waits at the old address, and its connection, are dropped.
        wait_until("the whole list is asked for", || {
            place.requests().first().is_some_and(|c| c == "/v1/endpoints")
        });
        wait_until("the watch waits there", || {
            place.requests().get(1).is_some_and(|c| c.contains("after=2"))
        });
        wait_until("the move is counted", || director.metric("list_moves_total") == number);
        wait_until("and the old place is let go of", || old.open_connections() == 0);
    }
    wait_until("the first place, too", || first.open_connections() == 0);
    while !tables.hosts("order").contains(&"s-2") {
        tables.apply(&proxy.receive_update());
    }
    let (asked, left) = (first.requests().len(), old.requests().len());
    second.set_host_state("s-2", DRAINING);
    while tables.hosts("order").contains(&"s-2") {
        tables.apply(&proxy.receive_update());
    }
    assert!(proxy.ping() && collector.ping(), "clients stay");
    assert_eq!((first.requests().len(), old.requests().len()), (asked, left), "nothing more is asked there");
    assert_eq!(director.metric("list_failures_total"), 0, "calls that were let go of are no failures");
    assert_eq!(director.metric("streams_joined_total"), 1);
    assert_eq!(director.metric("streams_left_total"), 0);
}

#[test]
fn a_reload_of_a_wrong_file_changes_nothing_and_says_why() {
    let (discovery, setup) = setup();
    let mut director = setup.start();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let mut wrong = setup.config.clone();
    wrong["discovery"] = json!("nowhere");
    let cases = [(wrong.to_string(), "key `discovery`"), ("{\"listen\":".into(), "key `listen`")];
    for (text, says) in cases {
        director.rewrite_config(&text);
        director.send_signal("HUP");
        logged(&director, &format!("reload: {says}"), 1);
    }
    director.remove_config();
    director.send_signal("HUP");
    logged(&director, "reload: key `GW_CONFIG`", 1);
    // What takes effect at a restart only is named, and the rest is done.
    let mut other = setup.config.clone();
    other["settings"]["rules"]["cold"] = json!(9_000_000);
    other["limits"]["sockets"] = json!(512);
    other["seed"] = json!("1");
    director.rewrite_config(&other.to_string());
    director.send_signal("HUP");
    logged(&director, "reload: key `settings` has changed", 1);
    assert!(proxy.ping() && director.is_running());
    discovery.set_host_state("s-1", DRAINING);
    wait_until("the old discovery still tells", || director.log().contains("host draining host=s-1"));
    assert_eq!(director.metric("list_moves_total"), 0);
}

#[test]
fn signals_in_a_row_end_the_program_well() {
    let (_discovery, setup) = setup();
    let mut director = setup.start();
    for _ in 0..20 {
        director.send_signal("HUP");
    }
    logged(&director, "serving", 1);
    assert!(director.is_running());
    director.send_signal("HUP");
    director.send_signal("TERM");
    assert_eq!(director.wait_for_exit().code(), Some(0));
}

#[test]
fn few_descriptors_keep_no_director_from_serving() {
    let (_discovery, mut setup) = setup();
    setup.config["limits"] = json!({"memory_mb": 32, "sockets": 32});
    setup.config["settings"]["family_info"]["proxy_count"] = json!(400);
    let director = setup.start();
    logged(&director, "key `limits.sockets`", 1);
    // Silent strangers hold every place; proxies join all the same, as many as there are places.
    let _strangers: Vec<_> = (0..20).map(|_| director.connect()).collect();
    let mut proxies: Vec<_> = (0..8).map(|id| director.connect_proxy_with_tables(id, "a")).collect();
    let _more: Vec<_> = (0..20).map(|_| director.connect()).collect();
    assert!(proxies.iter_mut().all(common::Client::ping), "who has joined goes before strangers");
}

#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    let (_discovery, setup) = setup();
    let mut director = setup.spawn(&setup.config.to_string(), false);
    wait_until("it answers", || {
        common::Client::connect(setup.listen).is_some_and(|mut client| client.ping())
    });
    // Each of these is a line or two: far more than a pipe holds.
    for _ in 0..3000 {
        drop(director.connect_proxy(1, "a"));
    }
    let mut proxy = director.connect_proxy(0, "a");
    assert!(is_complete(&proxy.receive_update()));
    assert!(director.is_running());
    director.send_signal("TERM");
    let begun = Instant::now();
    assert_eq!(director.wait_for_exit().code(), Some(0));
    assert!(begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
}
