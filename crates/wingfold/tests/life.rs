//! The program's start and end: configurations that are wrong, signals, and a log that nobody reads.

mod common;

use common::{endpoint, free_address, unique_loopback_ip, until, Director, Discovery, Host, Plan};
use serde_json::{json, Value};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};

fn plan() -> (Discovery, Plan) {
    let ip = unique_loopback_ip();
    let host = Host::start(ip, Some("{}"));
    let discovery = Discovery::start(ip, vec![endpoint("s-1", host.addr, "a")]);
    let plan = Plan::new(ip, discovery.addr, discovery.known_list());
    (discovery, plan)
}

/// Starts the program with a wrong configuration: what it says.
fn refused(mut director: Director) -> String {
    assert!(!director.end().success());
    assert!(TcpStream::connect(director.listen).is_err(), "no listening socket");
    until("it has said why", || director.log().contains("key `"));
    let log = director.log();
    assert_eq!(log.lines().count(), 1, "one message: {log}");
    log
}

#[test]
fn a_configuration_that_is_wrong_is_refused_by_the_key_at_fault() {
    let (_discovery, plan) = plan();
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
        let mut config = plan.config.clone();
        *config.pointer_mut(path).unwrap() = value;
        let said = refused(plan.launch(&config.to_string(), true));
        assert!(said.contains(says), "{path}: {said}");
    }
    let mut config = plan.config.clone();
    config["settings"]["rules"].as_object_mut().unwrap().remove("cold");
    let said = refused(plan.launch(&config.to_string(), true));
    assert!(said.contains("key `settings.rules`") && said.contains("`cold`"), "{said}");
    assert!(refused(plan.launch("{\"listen\":", true)).contains("key `"), "cut short");
    assert!(refused(plan.launch("", true)).contains("key `"), "empty");
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
    let (_discovery, plan) = plan();
    let _first = plan.start();
    let mut second = plan.launch(&plan.config.to_string(), true);
    assert!(!second.end().success());
    until("it has said why", || second.log().contains("key `listen`"));
}

#[test]
fn sigterm_ends_the_program_at_once_and_well() {
    let (_discovery, plan) = plan();
    let mut director = plan.start();
    let mut proxy = director.bound(0, "a");
    let begun = Instant::now();
    director.signal("TERM");
    let status = director.end();
    assert_eq!(status.code(), Some(0));
    assert!(begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
    assert!(proxy.is_closed_in_time());
    // The same address serves again at once.
    plan.start();
}

/// Waits until a line of the log holds these words, so many times.
fn logged(director: &Director, words: &str, times: usize) {
    let seen = || director.log().lines().filter(|line| line.contains(words)).count();
    until(words, || seen() >= times);
    assert_eq!(seen(), times, "{words}");
}

#[test]
fn a_reload_turns_to_the_new_discovery_and_streams_stay() {
    let (old, plan) = plan();
    let ip = unique_loopback_ip();
    let host = |id: &str| endpoint(id, Host::start(ip, Some("{}")).addr, "a");
    let [first, second] = [1, 2].map(|_| Discovery::start(ip, vec![host("s-1"), host("s-2")]));
    // The variable was set at the start; after a reload the file's key goes before it.
    let vars = [("GW_DISCOVERY", old.addr.to_string())];
    let director = plan.launch_with(&plan.config.to_string(), &vars);
    until("the watch waits at the old address", || old.requests().len() >= 2);
    let mut proxy = director.bound(0, "a");
    let mut collector = director.collector("a");
    let mut held = common::Held::default();
    for (number, place) in [(1, &first), (2, &second)] {
        let mut config = plan.config.clone();
        config["discovery"] = json!(place.addr.to_string());
        director.rewrite(&config.to_string());
        director.signal("HUP");
        // The call that waits at the old address, and its connection, are dropped.
        until("the whole list is asked for", || {
            place.requests().first().is_some_and(|c| c == "/v1/endpoints")
        });
        until("the watch waits there", || place.requests().get(1).is_some_and(|c| c.contains("after=2")));
        until("the move is counted", || director.figure("list_moves_total") == number);
        until("and the old place is let go of", || old.open_connections() == 0);
    }
    until("the first place, too", || first.open_connections() == 0);
    while !held.hosts("order").contains(&"s-2") {
        held.apply(&proxy.receive_update());
    }
    let (asked, left) = (first.requests().len(), old.requests().len());
    second.set_host_state("s-2", "leaving");
    while held.hosts("order").contains(&"s-2") {
        held.apply(&proxy.receive_update());
    }
    assert!(proxy.ping() && collector.ping(), "clients stay");
    assert_eq!((first.requests().len(), old.requests().len()), (asked, left), "nothing more is asked there");
    assert_eq!(director.figure("list_failures_total"), 0, "calls that were let go of are no failures");
    assert_eq!(director.figure("streams_joined_total"), 1);
    assert_eq!(director.figure("streams_left_total"), 0);
}

#[test]
fn a_reload_of_a_wrong_file_changes_nothing_and_says_why() {
    let (discovery, plan) = plan();
    let mut director = plan.start();
    let mut proxy = director.bound(0, "a");
    let mut wrong = plan.config.clone();
    wrong["discovery"] = json!("nowhere");
    let cases = [(wrong.to_string(), "key `discovery`"), ("{\"listen\":".into(), "key `listen`")];
    for (text, says) in cases {
        director.rewrite(&text);
        director.signal("HUP");
        logged(&director, &format!("reload: {says}"), 1);
    }
    director.remove_config();
    director.signal("HUP");
    logged(&director, "reload: key `GW_CONFIG`", 1);
    // What takes effect at a restart only is named, and the rest is done.
    let mut other = plan.config.clone();
    other["settings"]["rules"]["cold"] = json!(9_000_000);
    other["limits"]["sockets"] = json!(512);
    other["seed"] = json!("1");
    director.rewrite(&other.to_string());
    director.signal("HUP");
    logged(&director, "reload: key `settings` has changed", 1);
    assert!(proxy.ping() && director.is_up());
    discovery.set_host_state("s-1", "leaving");
    until("the old discovery still tells", || director.log().contains("host draining host=s-1"));
    assert_eq!(director.figure("list_moves_total"), 0);
}

#[test]
fn signals_in_a_row_end_the_program_well() {
    let (_discovery, plan) = plan();
    let mut director = plan.start();
    for _ in 0..20 {
        director.signal("HUP");
    }
    logged(&director, "serving", 1);
    assert!(director.is_up());
    director.signal("HUP");
    director.signal("TERM");
    assert_eq!(director.end().code(), Some(0));
}

#[test]
fn few_descriptors_keep_no_director_from_serving() {
    let (_discovery, mut plan) = plan();
    plan.config["limits"] = json!({"memory_mb": 32, "sockets": 32});
    plan.config["settings"]["family_info"]["proxy_count"] = json!(400);
    let director = plan.start();
    logged(&director, "key `limits.sockets`", 1);
    // Silent strangers hold every place; proxies join all the same, as many as there are places.
    let _strangers: Vec<_> = (0..20).map(|_| director.connect()).collect();
    let mut proxies: Vec<_> = (0..8).map(|id| director.bound(id, "a")).collect();
    let _more: Vec<_> = (0..20).map(|_| director.connect()).collect();
    assert!(proxies.iter_mut().all(common::Client::ping), "who has joined goes before strangers");
}

#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    let (_discovery, plan) = plan();
    let mut director = plan.launch(&plan.config.to_string(), false);
    until("it answers", || common::Client::connect(plan.listen).is_some_and(|mut client| client.ping()));
    // Each of these is a line or two: far more than a pipe holds.
    for _ in 0..3000 {
        drop(director.proxy(1, "a"));
    }
    let mut proxy = director.proxy(0, "a");
    assert_eq!(proxy.receive_update()[0]["whole"], true);
    assert!(director.is_up());
    director.signal("TERM");
    let begun = Instant::now();
    assert_eq!(director.end().code(), Some(0));
    assert!(begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
}
