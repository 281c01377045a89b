//! Proxies and collectors at the program's listener: joining, orders, and all that a connection can do wrong.

mod common;

use common::{endpoint, unique_loopback_ip, until, Client, Director, Discovery, Held, Host, Plan};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io::Write;
use std::net::{IpAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const REPORT: Option<&str> = Some(r#"{"util":0.2,"inflight":1}"#);

/// Four hosts in two zones, and a director that remembers them.
fn world(ip: IpAddr) -> (Discovery, Plan) {
    let host = || Host::start(ip, REPORT).addr;
    let entries = vec![
        endpoint("s-1", host(), "a"),
        endpoint("s-2", host(), "a"),
        endpoint("s-3", host(), "b"),
        endpoint("s-4", host(), "b"),
    ];
    let discovery = Discovery::start(ip, entries);
    let plan = Plan::new(ip, discovery.addr, discovery.known_list());
    (discovery, plan)
}

fn director() -> (Discovery, Director) {
    let (discovery, plan) = world(unique_loopback_ip());
    let director = plan.start();
    (discovery, director)
}

#[test]
fn a_proxy_that_joins_is_sent_its_whole_table_as_one_message() {
    let (_discovery, director) = director();
    let mut proxy = director.proxy(3, "a");
    let parts = proxy.receive_update();
    assert_eq!(parts[0]["whole"], true);
    let mut held = Held::default();
    held.apply(&parts);
    for class in ["lookup", "order"] {
        let hosts = held.hosts(class);
        assert!(["s-1", "s-2"].iter().all(|own| hosts.contains(own)), "its zone's hosts: {hosts:?}");
        let (level, retry) = held.levels[class];
        assert!(level > 0.0 && retry <= 1, "a level with a safe way of trying again");
    }
    assert!(proxy.ping(), "a joined proxy's PING is answered");
    assert_eq!(director.figure("streams_joined"), 1);
    assert_eq!(director.figure("invariants_broken_total"), 0);
}

#[test]
fn bytes_that_arrive_one_by_one_make_the_same_messages() {
    let (discovery, plan) = world(unique_loopback_ip());
    discovery.set_chunk_bytes(7);
    let director = plan.start();
    let mut proxy = director.connect();
    let joins = json!({"type": "SUBSCRIBE", "id": 0, "site": "b", "rps": 2.0, "new": true});
    for byte in Client::encode_frame(&joins) {
        proxy.stream.write_all(&[byte]).unwrap();
    }
    assert_eq!(proxy.receive_update()[0]["whole"], true);
}

#[test]
fn sums_and_usage_of_collectors_and_proxies_reach_the_module() {
    let (_discovery, director) = director();
    let mut proxy = director.bound(0, "a");
    let mut collector = director.collector("a");
    // Eight tries in a row lost at one host, none at the others: the module takes it out.
    let sums = |host: &str, fail: u64| json!({"type": "LOAD", "site": "a", "target": host, "count": 8, "fail": fail, "mean": 40.0, "over": 1000.0});
    for host in ["s-1", "s-3", "s-4"] {
        collector.send(&sums(host, 0));
    }
    collector.send(&json!({"type": "RATE", "id": 0, "lane": "order", "count": 9, "fail": 0, "over": 1000.0}));
    proxy.send(&json!({"type": "RATE", "id": 0, "lane": "lookup", "count": 9, "fail": 0, "over": 1000.0}));
    proxy.send(&json!({"type": "ACK", "id": 0, "seq": 1, "ms": 12.5}));
    collector.send(&sums("s-2", 8));
    let parts = proxy.receive_update();
    let lines: Vec<_> = parts.iter().filter_map(|part| part["lines"].as_array()).flatten().collect();
    assert!(lines.contains(&&json!(["s-2", 0.0])), "{parts:?}");
    assert!(proxy.ping() && collector.ping());
}

#[test]
fn a_newer_stream_of_a_proxy_replaces_the_older() {
    let (_discovery, director) = director();
    let mut old = director.bound(5, "a");
    let mut new = director.proxy(5, "a");
    assert!(new.receive_update()[0]["whole"] == true, "bound anew");
    assert!(old.is_closed_in_time());
    until("the older one is gone", || director.figure("streams_replaced_total") == 1);
    assert!(new.ping(), "its end is not taken for the newer one's");
    assert_eq!(director.figure("streams_joined"), 1);
}

#[test]
fn a_proxy_that_leaves_is_told_and_may_come_again() {
    let (_discovery, director) = director();
    director.proxy(5, "a").receive_update();
    until("it has left", || director.figure("streams_joined") == 0);
    assert_eq!(director.proxy(5, "b").receive_update()[0]["whole"], true);
}

fn usage(id: u32, lane: &str) -> Value {
    json!({"type": "RATE", "id": id, "lane": lane, "count": 1, "fail": 0, "over": 1.0})
}

fn sums(zone: &str, host: &str) -> Value {
    json!({"type": "LOAD", "site": zone, "target": host, "count": 1, "fail": 0, "mean": 40.0, "over": 1.0})
}

fn joins(id: u32, zone: &str) -> Value {
    json!({"type": "SUBSCRIBE", "id": id, "site": zone, "rps": 5.0, "new": true})
}

/// This message with one field as it must not be; null takes it out.
fn with(message: &Value, field: &str, value: Value) -> Value {
    let mut message = message.clone();
    match value.is_null() {
        true => drop(message.as_object_mut().unwrap().remove(field)),
        false => message[field] = value,
    }
    message
}

#[test]
fn a_stranger_that_sends_what_it_must_not_is_closed_at_once() {
    let (_discovery, director) = director();
    let (mut proxy, mut collector) = (director.bound(0, "a"), director.collector("a"));
    let framed = |text: &[u8]| [&(text.len() as u32).to_be_bytes()[..], text].concat();
    let faults: Vec<(&str, Vec<u8>)> = vec![
        ("too long", [0, 16, 0, 1].to_vec()),
        ("far too long", [0xff; 8].to_vec()),
        ("not JSON", framed(b"{]")),
        ("not text", framed(&[0xc3, 0x28])),
        ("empty", framed(b"")),
        ("unknown kind", Client::encode_frame(&json!({"type": "NEWS"}))),
        (
            "an order",
            Client::encode_frame(&json!({"type": "CONFIG", "whole": true, "lines": [["s-1", 1.0]]})),
        ),
        ("a field missing", Client::encode_frame(&json!({"type": "SOURCE"}))),
        ("usage before joining", Client::encode_frame(&usage(0, "lookup"))),
        ("sums before joining", Client::encode_frame(&sums("a", "s-1"))),
        (
            "a mark before joining",
            Client::encode_frame(&json!({"type": "ACK", "id": 0, "seq": 1, "ms": 1.0})),
        ),
        ("no such proxy", Client::encode_frame(&joins(8, "a"))),
        ("no such zone", Client::encode_frame(&joins(7, "z"))),
        ("a rate below 0", Client::encode_frame(&with(&joins(7, "a"), "rps", json!(-1)))),
        ("no such zone of a collector", Client::encode_frame(&json!({"type": "SOURCE", "site": "z"}))),
        ("another protocol", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec()),
    ];
    let count = faults.len() as u64;
    for (what, bytes) in faults {
        let (mut client, begun) = (director.connect(), Instant::now());
        client.stream.write_all(&bytes).unwrap();
        assert!(client.is_closed_in_time(), "{what}");
        assert!(begun.elapsed() < Duration::from_millis(900), "{what}: {:?}", begun.elapsed());
    }
    until("each is counted", || director.figure("messages_bad_total") == count);
    assert!(proxy.ping() && collector.ping(), "the others go on");
}

#[test]
fn a_stranger_has_a_second_whatever_it_sends_meanwhile() {
    let (_discovery, director) = director();
    let mut proxy = director.bound(0, "a");
    let ping = Client::encode_frame(&json!({"type": "PING"}));
    let request = b"GET /healthz HTTP/1.1\r\nhost: d\r\n\r\n".to_vec();
    // What is sent again and again until the connection ends: nothing, signs of life, a message byte by byte,
    // requests on one connection, a request's head that never ends.
    let manners: Vec<(&str, Vec<u8>, Vec<u8>)> = vec![
        ("silent", vec![], vec![]),
        ("half a message", vec![0, 0, 0, 9, b'{'], vec![]),
        ("half a length", vec![0, 0], vec![]),
        ("signs of life", ping.clone(), ping),
        ("byte by byte", vec![0, 0, 100, 0, b'{'], b" ".to_vec()),
        ("requests", request.clone(), request),
        ("a head without an end", b"GET / HTTP/1.1\r\n".to_vec(), b"x: y\r\n".to_vec()),
    ];
    for (what, first, again) in manners {
        let (mut client, begun) = (director.connect(), Instant::now());
        client.stream.write_all(&first).unwrap();
        client.stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let mut bytes = [0; 4096];
        loop {
            let over = match std::io::Read::read(&mut client.stream, &mut bytes) {
                Ok(read) => read == 0,
                Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
            };
            if over || !again.is_empty() && client.stream.write_all(&again).is_err() {
                break;
            }
            assert!(begun.elapsed() < Duration::from_millis(2500), "{what} is still there");
        }
        assert!(begun.elapsed() >= Duration::from_millis(900), "{what}: {:?}", begun.elapsed());
    }
    assert!(proxy.ping(), "who has joined may stay as long as it likes");
}

#[test]
#[expect(clippy::too_many_lines, reason = "listed in ROADMAP.md")]
fn a_spoilt_message_is_dropped_whole_and_the_ones_around_it_arrive() {
    let (_discovery, director) = director();
    let (mut proxy, mut collector) = (director.bound(1, "a"), director.collector("a"));
    let (usage, sums) = (usage(1, "lookup"), sums("a", "s-2"));
    let sums = with(&with(&sums, "count", json!(8)), "fail", json!(8));
    let ack = json!({"type": "ACK", "id": 1, "seq": 1, "ms": 12.5});
    // Which client, what it sends, and under which reason it is counted.
    let cases: Vec<(bool, Value, &str)> = vec![
        (true, with(&usage, "lane", Value::Null), "form"),
        (true, with(&usage, "count", json!("nine")), "form"),
        (true, with(&usage, "over", Value::Null), "form"),
        (true, json!({"type": "NEWS"}), "form"),
        (true, with(&usage, "count", json!(-1)), "range"),
        (true, with(&usage, "fail", json!(-2)), "range"),
        (true, with(&usage, "over", json!(-1.0)), "range"),
        (true, with(&usage, "lane", json!("fetch")), "name"),
        (true, with(&usage, "id", json!(2)), "name"),
        (true, with(&ack, "id", json!(2)), "name"),
        (true, with(&ack, "seq", json!([1])), "form"),
        (true, with(&ack, "ms", json!(-3)), "range"),
        (true, ack, "mark"),
        (true, joins(1, "a"), "turn"),
        (true, sums.clone(), "turn"),
        (true, json!({"type": "SOURCE", "site": "a"}), "turn"),
        (false, with(&sums, "target", Value::Null), "form"),
        (false, with(&sums, "util", json!({"util": "high"})), "form"),
        (false, with(&sums, "fail", json!(9)), "range"),
        (false, with(&sums, "mean", json!(-40.0)), "range"),
        (false, with(&sums, "target", json!("s-never-listed")), "name"),
        (false, with(&sums, "site", json!("b")), "name"),
        (false, with(&sums, "site", json!("z")), "name"),
        (false, with(&usage, "id", json!(8)), "name"),
        (false, joins(1, "a"), "turn"),
    ];
    for reason in ["form", "range", "name", "turn", "mark"] {
        for (of_proxy, message, _) in cases.iter().filter(|case| case.2 == reason) {
            let client = if *of_proxy { &mut proxy } else { &mut collector };
            client.send(message);
            assert!(client.ping(), "the connection goes on after {message}");
        }
        let count = cases.iter().filter(|case| case.2 == reason).count() as u64;
        let figure = format!("messages_invalid_{reason}_total");
        until(&figure, || director.figure(&figure) >= count);
        assert_eq!(director.figure(&figure), count, "{figure}");
    }
    assert_eq!(director.figure("messages_bad_total"), 0);
    // None of the sums above was taken; the sound ones after them are, on the same connection: the host goes.
    for host in ["s-1", "s-3", "s-4"] {
        collector.send(&with(&with(&sums, "target", json!(host)), "fail", json!(0)));
    }
    collector.send(&sums);
    let mut lines = Vec::new();
    while !lines.contains(&json!(["s-2", 0.0])) {
        let parts = proxy.receive_update();
        lines = parts.iter().filter_map(|part| part["lines"].as_array()).flatten().cloned().collect();
    }
    // What can't be read at all ends the connection.
    for client in [&mut proxy, &mut collector] {
        client.stream.write_all(&[0, 0, 0, 2, b'{', b']']).unwrap();
        assert!(client.is_closed_in_time());
    }
    until("both are counted", || director.figure("messages_bad_total") == 2);
}

#[test]
fn a_connection_cut_inside_a_message_is_no_fault() {
    let (_discovery, director) = director();
    let mut client = director.bound(2, "a");
    let usage = json!({"type": "RATE", "id": 2, "lane": "lookup", "count": 1, "fail": 0, "over": 1000.0});
    let frame = Client::encode_frame(&usage);
    client.stream.write_all(&frame[..frame.len() / 2]).unwrap();
    drop(client);
    until("it has left", || director.figure("streams_joined") == 0);
    assert_eq!(director.proxy(2, "a").receive_update()[0]["whole"], true);
}

#[test]
fn a_connection_that_names_no_party_is_dropped_after_a_while() {
    let (_discovery, director) = director();
    let begun = Instant::now();
    let (mut silent, mut slow) = (director.connect(), director.connect());
    slow.stream.write_all(&[0, 0]).unwrap();
    assert!(silent.is_closed_in_time() && slow.is_closed_in_time());
    assert!(begun.elapsed() >= Duration::from_millis(900), "a second is theirs: {:?}", begun.elapsed());
    assert!(begun.elapsed() < Duration::from_millis(2500), "{:?}", begun.elapsed());
    until("both are counted", || director.figure("unidentified_expired_total") == 2);
}

#[test]
fn a_flood_of_strangers_takes_neither_descriptors_nor_places() {
    let (_discovery, mut plan) = world(unique_loopback_ip());
    plan.config["limits"]["sockets"] = json!(128);
    let director = plan.start();
    let mut proxy = director.bound(0, "a");
    let mut strangers = Vec::new();
    for _ in 0..300 {
        strangers.extend(TcpStream::connect(director.listen));
    }
    assert_eq!(strangers.len(), 300);
    assert_eq!(director.proxy(1, "a").receive_update()[0]["whole"], true, "a proxy joins all the same");
    assert!(proxy.ping(), "and the others stay");
    until("strangers are put out", || director.figure("unidentified_evicted_total") > 200);
    assert!(director.descriptors() < 128, "{} descriptors", director.descriptors());
}

#[test]
fn hundreds_of_strangers_that_keep_coming_neither_push_out_nor_hold_up_who_joins() {
    let (_discovery, mut plan) = world(unique_loopback_ip());
    plan.config["limits"] = json!({"memory_mb": 32, "sockets": 256});
    plan.config["settings"]["family_info"]["proxy_count"] = json!(150);
    let director = plan.start();
    let (listen, over) = (director.listen, AtomicBool::new(false));
    thread::scope(|scope| {
        // They come in waves and stay; every third one sends half a message, every third one a sign of life.
        scope.spawn(|| {
            let mut strangers = VecDeque::new();
            while !over.load(Ordering::Relaxed) {
                for number in 0..100 {
                    let Some(mut client) = Client::connect(listen) else { continue };
                    let first =
                        [vec![], vec![0, 0, 0, 90, b'{'], Client::encode_frame(&json!({"type": "PING"}))];
                    let _ = client.stream.write_all(&first[number % 3]);
                    strangers.push_back(client);
                }
                strangers.drain(..strangers.len().saturating_sub(400));
            }
        });
        until("they take places from each other", || director.figure("unidentified_evicted_total") > 100);
        // Each joins on its first try: a connection that ends instead fails here.
        let mut proxies: Vec<Client> = (0..150).map(|id| director.proxy(id, "a")).collect();
        proxies.iter_mut().for_each(|proxy| assert_eq!(proxy.receive_update()[0]["whole"], true));
        let mut collectors: Vec<Client> = ["a", "b"].map(|zone| director.collector(zone)).into();
        assert!(proxies.iter_mut().chain(&mut collectors).all(Client::ping), "and stays");
        assert!(director.descriptors() < 256, "{} descriptors", director.descriptors());
        assert_eq!(director.figure("streams_joined_total"), 150);
        over.store(true, Ordering::Relaxed);
    });
    assert!(director.memory() < 32 << 10, "{} KiB", director.memory());
}

#[test]
fn a_reader_that_leaves_everything_unread_is_bounded_and_ends() {
    let (_discovery, director) = director();
    let mut other = director.bound(1, "a");
    let mut proxy = director.bound(0, "a");
    let before = director.memory();
    // Answers to PINGs that nobody reads fill both sockets' buffers, then what may wait.
    let pings = Client::encode_frame(&json!({"type": "PING"})).repeat(4096);
    proxy.stream.set_write_timeout(Some(common::TEST_TIMEOUT)).unwrap();
    let mut sent = 0;
    while proxy.stream.write_all(&pings).is_ok() {
        sent += pings.len();
        assert!(sent < 1 << 30, "it was never ended");
    }
    until("its stream has ended", || director.figure("streams_joined") == 1);
    assert!(other.ping(), "the other one goes on");
    let grown = director.memory().saturating_sub(before);
    assert!(grown < 16 << 10, "{grown} KiB more");
}

#[test]
fn operators_find_health_and_figures_on_the_same_listener() {
    let (_discovery, director) = director();
    until("it is healthy", || director.page("/healthz").starts_with("HTTP/1.1 200 "));
    let figures = director.page("/metrics");
    assert!(figures.contains("# TYPE wingfold_list_calls_total counter"), "{figures}");
    assert!(director.page("/nothing").starts_with("HTTP/1.1 404 "));
}

#[test]
fn half_sent_long_messages_of_strangers_do_not_fill_the_memory() {
    let (_discovery, mut plan) = world(unique_loopback_ip());
    plan.config["limits"]["memory_mb"] = json!(32);
    let director = plan.start();
    let mut proxy = director.bound(0, "a");
    let before = director.memory();
    // Each says that a message of 1 MiB comes and sends nearly all of it: 100 MiB in all.
    let long = [&(1u32 << 20).to_be_bytes()[..], &vec![b' '; (1 << 20) - 1]].concat();
    let mut strangers = Vec::new();
    for _ in 0..100 {
        let mut stranger = director.connect();
        // It may be cut off while it still writes.
        let _ = stranger.stream.write_all(&long);
        strangers.push(stranger);
    }
    until("those beyond the budget are cut off", || director.figure("messages_bad_total") >= 80);
    assert!(proxy.ping());
    let grown = director.memory().saturating_sub(before);
    assert!(grown < 24 << 10, "{grown} KiB more");
}

#[test]
fn a_message_of_the_full_length_is_taken_and_a_long_fault_makes_a_short_log_line() {
    let (_discovery, director) = director();
    let mut proxy = director.bound(0, "a");
    let mut usage =
        json!({"type": "RATE", "id": 0, "lane": "lookup", "count": 1, "fail": 0, "over": 1000.0, "x": ""});
    usage["x"] = json!("x".repeat((1 << 20) - usage.to_string().len()));
    proxy.send(&usage);
    assert!(proxy.ping(), "unknown keys are passed over");
    let broken = format!("{{\"type\":\"{}\",\"x\":}}", "N".repeat(1 << 19));
    let framed = [&(broken.len() as u32).to_be_bytes()[..], broken.as_bytes()].concat();
    proxy.stream.write_all(&framed).unwrap();
    assert!(proxy.is_closed_in_time());
    until("the log says why", || director.log().contains("unreadable message: "));
    assert!(director.log().lines().all(|line| line.len() < 1000));
}

#[test]
fn no_bytes_from_the_network_make_the_director_panic() {
    let (_discovery, mut director) = director();
    let mut proxy = director.bound(7, "b");
    let messages = [
        json!({"type": "SOURCE", "site": "a"}),
        json!({"type": "SUBSCRIBE", "id": 3, "site": "a", "rps": 21.5, "new": true}),
        json!({"type": "LOAD", "site": "a", "target": "s-1", "count": 212, "fail": 3, "mean": 41.7, "over": 1e3}),
        json!({"type": "RATE", "id": 3, "lane": "lookup", "count": 19, "fail": 0, "over": 1000.0}),
        json!({"type": "ACK", "id": 3, "seq": 905, "ms": 310.4}),
    ];
    // A plain generator of numbers: the same bytes on every run.
    let mut state = 17u64;
    let mut below = |most: usize| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % most
    };
    for round in 0..400 {
        let mut bytes: Vec<u8> = Client::encode_frame(&messages[round % 2]);
        for _ in 0..4 {
            bytes.extend(Client::encode_frame(&messages[below(messages.len())]));
        }
        // Figures become other figures, letters other letters; now and then a length is hit.
        for _ in 0..below(4) {
            let at = below(bytes.len());
            bytes[at] = if bytes[at].is_ascii_digit() { b"0129-.eE"[below(8)] } else { below(256) as u8 };
        }
        let mut client = director.connect();
        // It may be cut off while it still writes.
        let _ = client.stream.write_all(&bytes);
    }
    until("what they opened is closed", || director.figure("streams_joined") == 1);
    assert!(director.figure("messages_bad_total") > 50, "the bytes were wrong often enough");
    assert!(director.is_up() && proxy.ping());
    assert!(!director.log().contains("panicked") && director.figure("invariants_broken_total") == 0);
}
