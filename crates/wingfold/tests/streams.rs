//! Proxies and collectors at the program's listener: joining, orders, and all that a connection can do wrong.

mod common;

use common::messages::{
    acknowledgement, collector_hello, entries, is_complete, load_report, load_report_over, ping, proxy_hello,
    table_update, unknown_message, usage_report, usage_report_over, with_field,
};
use common::{
    endpoint, unique_loopback_ip, wait_until, Client, Director, DirectorSetup, Discovery, Host, ProxyTables,
};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io::Write;
use std::net::{IpAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const REPORT: Option<&str> = Some(r#"{"util":0.2,"inflight":1}"#);

/// Four hosts in two zones, and a director that remembers them.
fn deployment(ip: IpAddr) -> (Discovery, DirectorSetup) {
    let host = || Host::start(ip, REPORT).addr;
    let entries = vec![
        endpoint("s-1", host(), "a"),
        endpoint("s-2", host(), "a"),
        endpoint("s-3", host(), "b"),
        endpoint("s-4", host(), "b"),
    ];
    let discovery = Discovery::start(ip, entries);
    let setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    (discovery, setup)
}

fn director() -> (Discovery, Director) {
    let (discovery, setup) = deployment(unique_loopback_ip());
    let director = setup.start();
    (discovery, director)
}

#[test]
fn a_proxy_that_connects_is_sent_its_complete_table_as_one_message() {
    let (_discovery, director) = director();
    let mut proxy = director.connect_proxy(3, "a");
    let parts = proxy.receive_update();
    assert!(is_complete(&parts));
    let mut tables = ProxyTables::default();
    tables.apply(&parts);
    for class in ["lookup", "order"] {
        let hosts = tables.hosts(class);
        assert!(["s-1", "s-2"].iter().all(|own| hosts.contains(own)), "its zone's hosts: {hosts:?}");
        let (level, retry) = tables.levels[class];
        assert!(level > 0.0 && retry <= 1, "a level with a safe way of trying again");
    }
    assert!(proxy.ping(), "a joined proxy's PING is answered");
    assert_eq!(director.metric("streams_joined"), 1);
    assert_eq!(director.metric("invariants_broken_total"), 0);
}

#[test]
fn bytes_that_arrive_one_by_one_make_the_same_messages() {
    let (discovery, setup) = deployment(unique_loopback_ip());
    discovery.set_chunk_bytes(7);
    let director = setup.start();
    let mut proxy = director.connect();
    let hello = proxy_hello(0, "b", 2.0);
    for byte in Client::encode_frame(&hello) {
        proxy.stream.write_all(&[byte]).unwrap();
    }
    assert!(is_complete(&proxy.receive_update()));
}

#[test]
fn load_and_usage_reports_reach_the_module() {
    let (_discovery, director) = director();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    // Eight tries in a row lost at one host, none at the others: the module takes it out.
    let report = |host: &str, failed: u64| load_report("a", host, 8, failed);
    for host in ["s-1", "s-3", "s-4"] {
        collector.send(&report(host, 0));
    }
    collector.send(&usage_report(0, "order", 9, 0));
    proxy.send(&usage_report(0, "lookup", 9, 0));
    proxy.send(&acknowledgement(0, 1, 12.5));
    collector.send(&report("s-2", 8));
    let parts = proxy.receive_update();
    let entries = entries(&parts);
    assert!(entries.contains(&json!(["s-2", 0.0])), "{parts:?}");
    assert!(proxy.ping() && collector.ping());
}

#[test]
fn a_newer_stream_of_a_proxy_replaces_the_older() {
    let (_discovery, director) = director();
    let mut old = director.connect_proxy_with_tables(5, "a");
    let mut new = director.connect_proxy(5, "a");
    assert!(is_complete(&new.receive_update()), "bound anew");
    assert!(old.is_closed_in_time());
    wait_until("the older one is gone", || director.metric("streams_replaced_total") == 1);
    assert!(new.ping(), "its end is not taken for the newer one's");
    assert_eq!(director.metric("streams_joined"), 1);
}

#[test]
fn a_proxy_that_disconnects_may_connect_again() {
    let (_discovery, director) = director();
    director.connect_proxy(5, "a").receive_update();
    wait_until("it has left", || director.metric("streams_joined") == 0);
    assert!(is_complete(&director.connect_proxy(5, "b").receive_update()));
}

fn usage(id: u32, class: &str) -> Value {
    usage_report_over(id, class, 1, 0, 1.0)
}

fn report(zone: &str, host: &str) -> Value {
    load_report_over(zone, host, 1, 0, 40.0, 1.0)
}

#[test]
fn an_unidentified_client_that_sends_what_it_must_not_is_closed_at_once() {
    let (_discovery, director) = director();
    let (mut proxy, mut collector) =
        (director.connect_proxy_with_tables(0, "a"), director.connect_collector("a"));
    let framed = |text: &[u8]| [&(text.len() as u32).to_be_bytes()[..], text].concat();
    let faults: Vec<(&str, Vec<u8>)> = vec![
        ("too long", [0, 16, 0, 1].to_vec()),
        ("far too long", [0xff; 8].to_vec()),
        ("not JSON", framed(b"{]")),
        ("not text", framed(&[0xc3, 0x28])),
        ("empty", framed(b"")),
        ("unknown kind", Client::encode_frame(&unknown_message())),
        ("an order", Client::encode_frame(&table_update())),
        ("a field missing", Client::encode_frame(&with_field(&collector_hello("a"), "site", Value::Null))),
        ("usage before joining", Client::encode_frame(&usage(0, "lookup"))),
        ("a load report before joining", Client::encode_frame(&report("a", "s-1"))),
        ("a mark before joining", Client::encode_frame(&acknowledgement(0, 1, 1.0))),
        ("no such proxy", Client::encode_frame(&proxy_hello(8, "a", 5.0))),
        ("no such zone", Client::encode_frame(&proxy_hello(7, "z", 5.0))),
        ("a rate below 0", Client::encode_frame(&with_field(&proxy_hello(7, "a", 5.0), "rps", json!(-1)))),
        ("no such zone of a collector", Client::encode_frame(&collector_hello("z"))),
        ("another protocol", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec()),
    ];
    let count = faults.len() as u64;
    for (what, bytes) in faults {
        let (mut client, begun) = (director.connect(), Instant::now());
        client.stream.write_all(&bytes).unwrap();
        assert!(client.is_closed_in_time(), "{what}");
        assert!(begun.elapsed() < Duration::from_millis(900), "{what}: {:?}", begun.elapsed());
    }
    wait_until("each is counted", || director.metric("messages_bad_total") == count);
    assert!(proxy.ping() && collector.ping(), "the others go on");
}

#[test]
fn an_unidentified_client_has_a_second_whatever_it_sends_meanwhile() {
    let (_discovery, director) = director();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let ping = Client::encode_frame(&ping());
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
fn an_invalid_message_is_dropped_completely_and_the_ones_around_it_arrive() {
    let (_discovery, director) = director();
    let (mut proxy, mut collector) =
        (director.connect_proxy_with_tables(1, "a"), director.connect_collector("a"));
    let report = failed_report();
    let cases = invalid_messages();
    for reason in ["form", "range", "name", "turn", "mark"] {
        for (of_proxy, message, _) in cases.iter().filter(|case| case.2 == reason) {
            let client = if *of_proxy { &mut proxy } else { &mut collector };
            client.send(message);
            assert!(client.ping(), "the connection goes on after {message}");
        }
        let count = cases.iter().filter(|case| case.2 == reason).count() as u64;
        let figure = format!("messages_invalid_{reason}_total");
        wait_until(&figure, || director.metric(&figure) >= count);
        assert_eq!(director.metric(&figure), count, "{figure}");
    }
    assert_eq!(director.metric("messages_bad_total"), 0);
    // None of the load reports above was applied; the valid ones after them are, on the same connection: the host goes.
    for host in ["s-1", "s-3", "s-4"] {
        collector.send(&with_field(&with_field(&report, "target", json!(host)), "fail", json!(0)));
    }
    collector.send(&report);
    let mut lines = Vec::new();
    while !lines.contains(&json!(["s-2", 0.0])) {
        let parts = proxy.receive_update();
        lines = entries(&parts);
    }
    // What can't be read at all ends the connection.
    for client in [&mut proxy, &mut collector] {
        client.stream.write_all(&[0, 0, 0, 2, b'{', b']']).unwrap();
        assert!(client.is_closed_in_time());
    }
    wait_until("both are counted", || director.metric("messages_bad_total") == 2);
}

/// Eight attempts at a host that all failed.
fn failed_report() -> Value {
    let report = report("a", "s-2");
    with_field(&with_field(&report, "count", json!(8)), "fail", json!(8))
}

/// Whether a proxy sends it (else a collector does), the message, and under which reason it is counted.
fn invalid_messages() -> Vec<(bool, Value, &'static str)> {
    let usage = usage(1, "lookup");
    let report = failed_report();
    let ack = acknowledgement(1, 1, 12.5);
    vec![
        (true, with_field(&usage, "lane", Value::Null), "form"),
        (true, with_field(&usage, "count", json!("nine")), "form"),
        (true, with_field(&usage, "over", Value::Null), "form"),
        (true, unknown_message(), "form"),
        (true, with_field(&usage, "count", json!(-1)), "range"),
        (true, with_field(&usage, "fail", json!(-2)), "range"),
        (true, with_field(&usage, "over", json!(-1.0)), "range"),
        (true, with_field(&usage, "lane", json!("fetch")), "name"),
        (true, with_field(&usage, "id", json!(2)), "name"),
        (true, with_field(&ack, "id", json!(2)), "name"),
        (true, with_field(&ack, "seq", json!([1])), "form"),
        (true, with_field(&ack, "ms", json!(-3)), "range"),
        (true, ack, "mark"),
        (true, proxy_hello(1, "a", 5.0), "turn"),
        (true, report.clone(), "turn"),
        (true, collector_hello("a"), "turn"),
        (false, with_field(&report, "target", Value::Null), "form"),
        (false, with_field(&report, "util", json!({"util": "high"})), "form"),
        (false, with_field(&report, "fail", json!(9)), "range"),
        (false, with_field(&report, "mean", json!(-40.0)), "range"),
        (false, with_field(&report, "target", json!("s-never-listed")), "name"),
        (false, with_field(&report, "site", json!("b")), "name"),
        (false, with_field(&report, "site", json!("z")), "name"),
        (false, with_field(&usage, "id", json!(8)), "name"),
        (false, proxy_hello(1, "a", 5.0), "turn"),
    ]
}

#[test]
fn a_connection_cut_inside_a_message_is_no_fault() {
    let (_discovery, director) = director();
    let mut client = director.connect_proxy_with_tables(2, "a");
    let usage = usage_report(2, "lookup", 1, 0);
    let frame = Client::encode_frame(&usage);
    client.stream.write_all(&frame[..frame.len() / 2]).unwrap();
    drop(client);
    wait_until("it has left", || director.metric("streams_joined") == 0);
    assert!(is_complete(&director.connect_proxy(2, "a").receive_update()));
}

#[test]
fn a_connection_that_does_not_identify_itself_is_dropped_after_a_while() {
    let (_discovery, director) = director();
    let begun = Instant::now();
    let (mut silent, mut slow) = (director.connect(), director.connect());
    slow.stream.write_all(&[0, 0]).unwrap();
    assert!(silent.is_closed_in_time() && slow.is_closed_in_time());
    assert!(begun.elapsed() >= Duration::from_millis(900), "a second is theirs: {:?}", begun.elapsed());
    assert!(begun.elapsed() < Duration::from_millis(2500), "{:?}", begun.elapsed());
    wait_until("both are counted", || director.metric("unidentified_expired_total") == 2);
}

#[test]
fn a_flood_of_unidentified_clients_takes_neither_descriptors_nor_places() {
    let (_discovery, mut setup) = deployment(unique_loopback_ip());
    setup.config["limits"]["sockets"] = json!(128);
    let director = setup.start();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let mut strangers = Vec::new();
    for _ in 0..300 {
        strangers.extend(TcpStream::connect(director.listen));
    }
    assert_eq!(strangers.len(), 300);
    assert!(is_complete(&director.connect_proxy(1, "a").receive_update()), "a proxy joins all the same");
    assert!(proxy.ping(), "and the others stay");
    wait_until("strangers are put out", || director.metric("unidentified_evicted_total") > 200);
    assert!(director.open_descriptors() < 128, "{} descriptors", director.open_descriptors());
}

#[test]
fn hundreds_of_strangers_that_keep_coming_neither_push_out_nor_hold_up_who_joins() {
    let (_discovery, mut setup) = deployment(unique_loopback_ip());
    setup.config["limits"] = json!({"memory_mb": 32, "sockets": 256});
    setup.config["settings"]["family_info"]["proxy_count"] = json!(150);
    let director = setup.start();
    let (listen, over) = (director.listen, AtomicBool::new(false));
    thread::scope(|scope| {
        // They come in waves and stay; every third one sends half a message, every third one a sign of life.
        scope.spawn(|| {
            let mut strangers = VecDeque::new();
            while !over.load(Ordering::Relaxed) {
                for number in 0..100 {
                    let Some(mut client) = Client::connect(listen) else { continue };
                    let first = [vec![], vec![0, 0, 0, 90, b'{'], Client::encode_frame(&ping())];
                    let _ = client.stream.write_all(&first[number % 3]);
                    strangers.push_back(client);
                }
                strangers.drain(..strangers.len().saturating_sub(400));
            }
        });
        wait_until("they take places from each other", || {
            director.metric("unidentified_evicted_total") > 100
        });
        // Each joins on its first try: a connection that ends instead fails here.
        let mut proxies: Vec<Client> = (0..150).map(|id| director.connect_proxy(id, "a")).collect();
        proxies.iter_mut().for_each(|proxy| assert!(is_complete(&proxy.receive_update())));
        let mut collectors: Vec<Client> = ["a", "b"].map(|zone| director.connect_collector(zone)).into();
        assert!(proxies.iter_mut().chain(&mut collectors).all(Client::ping), "and stays");
        assert!(director.open_descriptors() < 256, "{} descriptors", director.open_descriptors());
        assert_eq!(director.metric("streams_joined_total"), 150);
        over.store(true, Ordering::Relaxed);
    });
    assert!(director.resident_memory_kib() < 32 << 10, "{} KiB", director.resident_memory_kib());
}

#[test]
fn a_reader_that_leaves_everything_unread_is_bounded_and_ends() {
    let (_discovery, director) = director();
    let mut other = director.connect_proxy_with_tables(1, "a");
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let before = director.resident_memory_kib();
    // Answers to PINGs that nobody reads fill both sockets' buffers, then what may wait.
    let pings = Client::encode_frame(&ping()).repeat(4096);
    proxy.stream.set_write_timeout(Some(common::TEST_TIMEOUT)).unwrap();
    let mut sent = 0;
    while proxy.stream.write_all(&pings).is_ok() {
        sent += pings.len();
        assert!(sent < 1 << 30, "it was never ended");
    }
    wait_until("its stream has ended", || director.metric("streams_joined") == 1);
    assert!(other.ping(), "the other one goes on");
    let grown = director.resident_memory_kib().saturating_sub(before);
    assert!(grown < 16 << 10, "{grown} KiB more");
}

#[test]
fn operators_find_health_and_metrics_on_the_same_listener() {
    let (_discovery, director) = director();
    wait_until("it is healthy", || director.http_get("/healthz").starts_with("HTTP/1.1 200 "));
    let figures = director.http_get("/metrics");
    assert!(figures.contains("# TYPE wingfold_list_calls_total counter"), "{figures}");
    assert!(director.http_get("/nothing").starts_with("HTTP/1.1 404 "));
}

#[test]
fn half_sent_long_messages_of_strangers_do_not_fill_the_memory() {
    let (_discovery, mut setup) = deployment(unique_loopback_ip());
    setup.config["limits"]["memory_mb"] = json!(32);
    let director = setup.start();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let before = director.resident_memory_kib();
    // Each says that a message of 1 MiB comes and sends nearly all of it: 100 MiB in all.
    let long = [&(1u32 << 20).to_be_bytes()[..], &vec![b' '; (1 << 20) - 1]].concat();
    let mut strangers = Vec::new();
    for _ in 0..100 {
        let mut stranger = director.connect();
        // It may be cut off while it still writes.
        let _ = stranger.stream.write_all(&long);
        strangers.push(stranger);
    }
    wait_until("those beyond the budget are cut off", || director.metric("messages_bad_total") >= 80);
    assert!(proxy.ping());
    let grown = director.resident_memory_kib().saturating_sub(before);
    assert!(grown < 24 << 10, "{grown} KiB more");
}

#[test]
fn a_message_of_the_full_length_is_taken_and_a_long_fault_makes_a_short_log_line() {
    let (_discovery, director) = director();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let mut usage = with_field(&usage_report(0, "lookup", 1, 0), "x", json!(""));
    usage["x"] = json!("x".repeat((1 << 20) - usage.to_string().len()));
    proxy.send(&usage);
    assert!(proxy.ping(), "unknown keys are passed over");
    let broken = format!("{{\"type\":\"{}\",\"x\":}}", "N".repeat(1 << 19));
    let framed = [&(broken.len() as u32).to_be_bytes()[..], broken.as_bytes()].concat();
    proxy.stream.write_all(&framed).unwrap();
    assert!(proxy.is_closed_in_time());
    wait_until("the log says why", || director.log().contains("unreadable message: "));
    assert!(director.log().lines().all(|line| line.len() < 1000));
}

#[test]
fn no_bytes_from_the_network_make_the_director_panic() {
    let (_discovery, mut director) = director();
    let mut proxy = director.connect_proxy_with_tables(7, "b");
    let messages = [
        collector_hello("a"),
        proxy_hello(3, "a", 21.5),
        load_report_over("a", "s-1", 212, 3, 41.7, 1e3),
        usage_report(3, "lookup", 19, 0),
        acknowledgement(3, 905, 310.4),
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
    wait_until("what they opened is closed", || director.metric("streams_joined") == 1);
    assert!(director.metric("messages_bad_total") > 50, "the bytes were wrong often enough");
    assert!(director.is_running() && proxy.ping());
    assert!(!director.log().contains("panicked") && director.metric("invariants_broken_total") == 0);
}
