//! The program's start and end: configurations that are wrong, signals, and a log that nobody reads.

mod common;

use common::{free, own_ip, server, until, Director, Discovery, Host, Plan};
use serde_json::{json, Value};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};

fn plan() -> (Discovery, Plan) {
    let ip = own_ip();
    let host = Host::start(ip, Some("{}"));
    let discovery = Discovery::start(ip, vec![server("s-1", host.addr, "a")]);
    let plan = Plan::new(ip, discovery.addr, discovery.known());
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
        ("/limits/sockets", json!(8), "key `limits.sockets`"),
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
    let listen = free(own_ip());
    assert!(refused(Director::spawn(listen, None, true)).contains("key `GW_CONFIG`"));
    let nowhere = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("no-such-file.json");
    let said = refused(Director::spawn(listen, Some(nowhere), true));
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
    assert!(proxy.is_over());
    // The same address serves again at once.
    plan.start();
}

#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    let (_discovery, plan) = plan();
    let mut director = plan.launch(&plan.config.to_string(), false);
    until("it answers", || common::Party::reach(plan.listen).is_some_and(|mut party| party.ping()));
    // Each of these is a line or two: far more than a pipe holds.
    for _ in 0..3000 {
        drop(director.proxy(1, "a"));
    }
    let mut proxy = director.proxy(0, "a");
    assert_eq!(proxy.orders()[0]["whole"], true);
    assert!(director.is_up());
    director.signal("TERM");
    let begun = Instant::now();
    assert_eq!(director.end().code(), Some(0));
    assert!(begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
}
