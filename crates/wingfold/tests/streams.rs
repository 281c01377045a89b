//! Proxies, collectors and unidentified clients at the running program's listener: joining, updates, invalid
//! messages, timeouts, eviction and limits.

mod common;

use common::messages::{
    acknowledgement, collector_hello, entries, is_complete, load_report, load_report_over, ping, proxy_hello,
    table_update, unknown_message, usage_report, usage_report_over, with_field,
};
use common::{
    endpoint, unique_loopback_ip, wait_until, Client, Director, DirectorSetup, Discovery, Host, ProxyTables,
    StopOnDrop,
};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io::Write;
use std::net::{IpAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The response of a host to health checks.
const LOAD_REPORT: Option<&str> = Some(r#"{"util":0.2,"inflight":1}"#);

/// Four hosts in two zones, and a director that starts with their endpoint list.
fn four_host_deployment(ip: IpAddr) -> (Discovery, DirectorSetup) {
    let host = || Host::start(ip, LOAD_REPORT).addr;
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

/// Starts the director of a deployment of four hosts.
fn start_director() -> (Discovery, Director) {
    let (discovery, setup) = four_host_deployment(unique_loopback_ip());
    let director = setup.start();
    (discovery, director)
}

#[test]
fn joining_proxy_receives_its_complete_table_in_one_update() {
    let (_discovery, director) = start_director();
    let mut proxy = director.connect_proxy(3, "a");
    let parts = proxy.receive_update();
    assert!(is_complete(&parts));
    let mut tables = ProxyTables::default();
    tables.apply(&parts);
    for class in ["lookup", "order"] {
        let hosts = tables.hosts(class);
        assert!(
            ["s-1", "s-2"].iter().all(|host| hosts.contains(host)),
            "hosts of the proxy's zone are missing: {hosts:?}"
        );
        let (level, retry) = tables.levels[class];
        assert!(level > 0.0 && retry <= 1, "level {level}, retry policy {retry}");
    }
    assert!(proxy.ping(), "the PING of a joined proxy is not answered");
    assert_eq!(director.metric("streams_joined"), 1);
    assert_eq!(director.metric("invariants_broken_total"), 0);
}

#[test]
fn messages_are_read_however_their_bytes_are_split() {
    let (discovery, setup) = four_host_deployment(unique_loopback_ip());
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
fn load_and_usage_reports_reach_the_decision_module() {
    let (_discovery, director) = start_director();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    // All eight attempts at s-2 fail and none at the other hosts, so the decision module ejects s-2.
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
fn newer_stream_of_a_proxy_replaces_the_older() {
    let (_discovery, director) = start_director();
    let mut old = director.connect_proxy_with_tables(5, "a");
    let mut new = director.connect_proxy(5, "a");
    assert!(is_complete(&new.receive_update()), "the newer stream gets no complete table");
    assert!(old.is_closed_in_time());
    wait_until("the older stream is replaced", || director.metric("streams_replaced_total") == 1);
    assert!(new.ping(), "the end of the older stream ended the newer one");
    assert_eq!(director.metric("streams_joined"), 1);
}

#[test]
fn disconnected_proxy_can_join_again() {
    let (_discovery, director) = start_director();
    director.connect_proxy(5, "a").receive_update();
    wait_until("the proxy has left", || director.metric("streams_joined") == 0);
    assert!(is_complete(&director.connect_proxy(5, "b").receive_update()));
}

/// A usage report of one request over 1 ms.
fn short_usage_report(id: u32, class: &str) -> Value {
    usage_report_over(id, class, 1, 0, 1.0)
}

/// A load report of one attempt over 1 ms.
fn short_load_report(zone: &str, host: &str) -> Value {
    load_report_over(zone, host, 1, 0, 40.0, 1.0)
}

#[test]
fn unidentified_client_is_closed_at_its_first_invalid_message() {
    let (_discovery, director) = start_director();
    let (mut proxy, mut collector) =
        (director.connect_proxy_with_tables(0, "a"), director.connect_collector("a"));
    let framed = |body: &[u8]| [&(body.len() as u32).to_be_bytes()[..], body].concat();
    let invalid: Vec<(&str, Vec<u8>)> = vec![
        ("too long", [0, 16, 0, 1].to_vec()),
        ("far too long", [0xff; 8].to_vec()),
        ("not JSON", framed(b"{]")),
        ("not UTF-8", framed(&[0xc3, 0x28])),
        ("empty", framed(b"")),
        ("unknown type", Client::encode_frame(&unknown_message())),
        ("a table update", Client::encode_frame(&table_update())),
        ("a missing field", Client::encode_frame(&with_field(&collector_hello("a"), "site", Value::Null))),
        ("a usage report before joining", Client::encode_frame(&short_usage_report(0, "lookup"))),
        ("a load report before joining", Client::encode_frame(&short_load_report("a", "s-1"))),
        ("an acknowledgement before joining", Client::encode_frame(&acknowledgement(0, 1, 1.0))),
        ("an unknown proxy", Client::encode_frame(&proxy_hello(8, "a", 5.0))),
        ("an unknown zone", Client::encode_frame(&proxy_hello(7, "z", 5.0))),
        ("a rate below 0", Client::encode_frame(&with_field(&proxy_hello(7, "a", 5.0), "rps", json!(-1)))),
        ("an unknown zone of a collector", Client::encode_frame(&collector_hello("z"))),
        ("another protocol", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec()),
    ];
    let count = invalid.len() as u64;
    for (case, bytes) in invalid {
        let (mut client, started) = (director.connect(), Instant::now());
        client.stream.write_all(&bytes).unwrap();
        assert!(client.is_closed_in_time(), "{case}");
        assert!(started.elapsed() < Duration::from_millis(900), "{case}: {:?}", started.elapsed());
    }
    wait_until("every invalid message is counted", || director.metric("messages_bad_total") == count);
    assert!(proxy.ping() && collector.ping(), "an identified client was disconnected");
}

#[test]
fn unidentified_client_is_closed_after_a_second_whatever_it_sends() {
    let (_discovery, director) = start_director();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let ping = Client::encode_frame(&ping());
    let request = b"GET /healthz HTTP/1.1\r\nhost: d\r\n\r\n".to_vec();
    // Each case: its name, the bytes sent first, and the bytes sent repeatedly until the connection ends.
    let cases: Vec<(&str, Vec<u8>, Vec<u8>)> = vec![
        ("silent", vec![], vec![]),
        ("half a message", vec![0, 0, 0, 9, b'{'], vec![]),
        ("half a length", vec![0, 0], vec![]),
        ("PINGs", ping.clone(), ping),
        ("byte by byte", vec![0, 0, 100, 0, b'{'], b" ".to_vec()),
        ("HTTP requests", request.clone(), request),
        ("an HTTP request whose headers never end", b"GET / HTTP/1.1\r\n".to_vec(), b"x: y\r\n".to_vec()),
    ];
    for (case, first, repeated) in cases {
        let (mut client, started) = (director.connect(), Instant::now());
        client.stream.write_all(&first).unwrap();
        client.stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let mut bytes = [0; 4096];
        loop {
            let is_closed = match std::io::Read::read(&mut client.stream, &mut bytes) {
                Ok(read) => read == 0,
                Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
            };
            if is_closed || !repeated.is_empty() && client.stream.write_all(&repeated).is_err() {
                break;
            }
            assert!(started.elapsed() < Duration::from_millis(2500), "{case}: still connected");
        }
        assert!(started.elapsed() >= Duration::from_millis(900), "{case}: {:?}", started.elapsed());
    }
    assert!(proxy.ping(), "a joined proxy was disconnected");
}

#[test]
fn invalid_message_is_dropped_and_valid_ones_are_applied() {
    let (_discovery, director) = start_director();
    let (mut proxy, mut collector) =
        (director.connect_proxy_with_tables(1, "a"), director.connect_collector("a"));
    let report = failed_report();
    let cases = invalid_messages();
    for reason in ["form", "range", "name", "turn", "mark"] {
        for (from_proxy, message, _) in cases.iter().filter(|case| case.2 == reason) {
            let client = if *from_proxy { &mut proxy } else { &mut collector };
            client.send(message);
            assert!(client.ping(), "the connection ended after {message}");
        }
        let count = cases.iter().filter(|case| case.2 == reason).count() as u64;
        let metric = format!("messages_invalid_{reason}_total");
        wait_until(&metric, || director.metric(&metric) >= count);
        assert_eq!(director.metric(&metric), count, "{metric}");
    }
    assert_eq!(director.metric("messages_bad_total"), 0);
    // None of the invalid load reports was applied. The valid ones that follow on the same connection are:
    // s-2 is ejected.
    for host in ["s-1", "s-3", "s-4"] {
        collector.send(&with_field(&with_field(&report, "target", json!(host)), "fail", json!(0)));
    }
    collector.send(&report);
    while !entries(&proxy.receive_update()).contains(&json!(["s-2", 0.0])) {}
    // A message that cannot be parsed ends the connection.
    for client in [&mut proxy, &mut collector] {
        client.stream.write_all(&[0, 0, 0, 2, b'{', b']']).unwrap();
        assert!(client.is_closed_in_time());
    }
    wait_until("both unparsable messages are counted", || director.metric("messages_bad_total") == 2);
}

/// A load report of eight attempts at s-2 that all failed.
fn failed_report() -> Value {
    let report = short_load_report("a", "s-2");
    with_field(&with_field(&report, "count", json!(8)), "fail", json!(8))
}

/// Each case: whether a proxy (else a collector) sends the message, the message, and the reason in the metric
/// that counts the message.
fn invalid_messages() -> Vec<(bool, Value, &'static str)> {
    let usage = short_usage_report(1, "lookup");
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
fn connection_that_ends_inside_a_message_lets_the_proxy_rejoin() {
    let (_discovery, director) = start_director();
    let mut client = director.connect_proxy_with_tables(2, "a");
    let usage = usage_report(2, "lookup", 1, 0);
    let frame = Client::encode_frame(&usage);
    client.stream.write_all(&frame[..frame.len() / 2]).unwrap();
    drop(client);
    wait_until("the proxy has left", || director.metric("streams_joined") == 0);
    assert!(is_complete(&director.connect_proxy(2, "a").receive_update()));
}

#[test]
fn connection_without_identification_is_closed_after_a_second() {
    let (_discovery, director) = start_director();
    let started = Instant::now();
    let (mut silent, mut slow) = (director.connect(), director.connect());
    slow.stream.write_all(&[0, 0]).unwrap();
    assert!(silent.is_closed_in_time() && slow.is_closed_in_time());
    assert!(started.elapsed() >= Duration::from_millis(900), "closed early: {:?}", started.elapsed());
    assert!(started.elapsed() < Duration::from_millis(2500), "{:?}", started.elapsed());
    wait_until("both connections are counted", || director.metric("unidentified_expired_total") == 2);
}

#[test]
fn unidentified_connections_are_evicted_for_proxies() {
    let (_discovery, mut setup) = four_host_deployment(unique_loopback_ip());
    setup.config["limits"]["sockets"] = json!(128);
    let director = setup.start();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let mut unidentified = Vec::new();
    for _ in 0..300 {
        unidentified.extend(TcpStream::connect(director.listen));
    }
    assert_eq!(unidentified.len(), 300);
    assert!(
        is_complete(&director.connect_proxy(1, "a").receive_update()),
        "the proxy gets no complete table"
    );
    assert!(proxy.ping(), "a joined proxy was evicted");
    wait_until("unidentified connections are evicted", || {
        director.metric("unidentified_evicted_total") > 200
    });
    assert!(director.open_descriptors() < 128, "{} descriptors", director.open_descriptors());
}

#[test]
fn unidentified_connection_waves_neither_evict_nor_delay_proxies() {
    let (_discovery, mut setup) = four_host_deployment(unique_loopback_ip());
    setup.config["limits"] = json!({"memory_mb": 32, "sockets": 256});
    setup.config["settings"]["family_info"]["proxy_count"] = json!(150);
    let director = setup.start();
    let (listen, stopped) = (director.listen, AtomicBool::new(false));
    thread::scope(|scope| {
        let _stop = StopOnDrop(&stopped);
        // Waves of 100 connections, of which the last 400 stay open: a third send nothing, a third half a
        // message and a third a PING.
        scope.spawn(|| {
            let mut unidentified = VecDeque::new();
            while !stopped.load(Ordering::Relaxed) {
                for number in 0..100 {
                    let Some(mut client) = Client::connect(listen) else { continue };
                    let first = [vec![], vec![0, 0, 0, 90, b'{'], Client::encode_frame(&ping())];
                    let _ = client.stream.write_all(&first[number % 3]);
                    unidentified.push_back(client);
                }
                unidentified.drain(..unidentified.len().saturating_sub(400));
            }
        });
        wait_until("unidentified connections evict each other", || {
            director.metric("unidentified_evicted_total") > 100
        });
        // Every proxy joins on its first connection: if that ends instead, receiving the update panics.
        let mut proxies: Vec<Client> = (0..150).map(|id| director.connect_proxy(id, "a")).collect();
        proxies.iter_mut().for_each(|proxy| assert!(is_complete(&proxy.receive_update())));
        let mut collectors: Vec<Client> = ["a", "b"].map(|zone| director.connect_collector(zone)).into();
        assert!(
            proxies.iter_mut().chain(&mut collectors).all(Client::ping),
            "a joined client was disconnected"
        );
        assert!(director.open_descriptors() < 256, "{} descriptors", director.open_descriptors());
        assert_eq!(director.metric("streams_joined_total"), 150);
    });
    assert!(director.resident_memory_kib() < 32 << 10, "{} KiB", director.resident_memory_kib());
}

#[test]
fn proxy_that_never_reads_is_disconnected_in_bounded_memory() {
    let (_discovery, director) = start_director();
    let mut other = director.connect_proxy_with_tables(1, "a");
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let memory_before_kib = director.resident_memory_kib();
    // Unread answers to PINGs fill the buffers of both sockets, then reach the limit of bytes that may wait
    // for a connection.
    let pings = Client::encode_frame(&ping()).repeat(4096);
    proxy.stream.set_write_timeout(Some(common::TEST_TIMEOUT)).unwrap();
    let mut sent = 0;
    while proxy.stream.write_all(&pings).is_ok() {
        sent += pings.len();
        assert!(sent < 1 << 30, "the stream was not ended after 1 GiB of PINGs");
    }
    wait_until("the unread stream has ended", || director.metric("streams_joined") == 1);
    assert!(other.ping(), "the other proxy was disconnected");
    let growth_kib = director.resident_memory_kib().saturating_sub(memory_before_kib);
    assert!(growth_kib < 16 << 10, "memory grew by {growth_kib} KiB");
}

#[test]
fn health_and_metrics_are_served_on_the_client_listener() {
    let (_discovery, director) = start_director();
    wait_until("/healthz returns 200", || director.http_get("/healthz").starts_with("HTTP/1.1 200 "));
    let metrics = director.http_get("/metrics");
    assert!(metrics.contains("# TYPE wingfold_list_calls_total counter"), "{metrics}");
    assert!(director.http_get("/nothing").starts_with("HTTP/1.1 404 "));
}

#[test]
fn unfinished_long_messages_of_unidentified_clients_take_no_memory() {
    let (_discovery, mut setup) = four_host_deployment(unique_loopback_ip());
    setup.config["limits"]["memory_mb"] = json!(32);
    let director = setup.start();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let memory_before_kib = director.resident_memory_kib();
    // Each client announces a message of 1 MiB and sends all but one byte of it: 100 MiB in total.
    let long = [&(1u32 << 20).to_be_bytes()[..], b"{\"x\":\"", &vec![b'x'; (1 << 20) - 7]].concat();
    let mut unidentified = Vec::new();
    for _ in 0..100 {
        let mut client = director.connect();
        client.stream.write_all(&long).unwrap();
        unidentified.push(client);
    }
    // None of them is refused: each has its second to complete the message.
    wait_until("all have expired", || director.metric("unidentified_expired_total") >= 100);
    assert_eq!(director.metric("messages_bad_total"), 0);
    assert!(proxy.ping());
    let growth_kib = director.peak_memory_kib().saturating_sub(memory_before_kib);
    assert!(growth_kib < 8 << 10, "memory grew by {growth_kib} KiB");
}

#[test]
fn longest_message_is_accepted_and_log_lines_stay_short() {
    let (_discovery, director) = start_director();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    let mut usage = with_field(&usage_report(0, "lookup", 1, 0), "x", json!(""));
    usage["x"] = json!("x".repeat((1 << 20) - usage.to_string().len()));
    proxy.send(&usage);
    assert!(proxy.ping(), "a message with an unknown key ended the connection");
    let invalid = format!("{{\"type\":\"{}\",\"x\":}}", "N".repeat(1 << 19));
    let framed = [&(invalid.len() as u32).to_be_bytes()[..], invalid.as_bytes()].concat();
    proxy.stream.write_all(&framed).unwrap();
    assert!(proxy.is_closed_in_time());
    wait_until("the unreadable message is logged", || director.log().contains("unreadable message: "));
    assert!(director.log().lines().all(|line| line.len() < 1000));
}

#[test]
fn malformed_input_does_not_make_the_director_panic() {
    let (_discovery, mut director) = start_director();
    let mut proxy = director.connect_proxy_with_tables(7, "b");
    let messages = [
        collector_hello("a"),
        proxy_hello(3, "a", 21.5),
        load_report_over("a", "s-1", 212, 3, 41.7, 1e3),
        usage_report(3, "lookup", 19, 0),
        acknowledgement(3, 905, 310.4),
    ];
    // A linear congruential generator with a fixed seed: the same bytes on every run.
    let mut state = 17u64;
    let mut random_below = |limit: usize| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % limit
    };
    for round in 0..400 {
        let mut bytes: Vec<u8> = Client::encode_frame(&messages[round % 2]);
        for _ in 0..4 {
            bytes.extend(Client::encode_frame(&messages[random_below(messages.len())]));
        }
        // Up to three bytes change: a digit becomes another character of a number, any other byte a random
        // byte. Some of these bytes belong to the length of a frame.
        for _ in 0..random_below(4) {
            let at = random_below(bytes.len());
            bytes[at] = if bytes[at].is_ascii_digit() {
                b"0129-.eE"[random_below(8)]
            } else {
                random_below(256) as u8
            };
        }
        let mut client = director.connect();
        // The director may close the connection during the write.
        let _ = client.stream.write_all(&bytes);
    }
    wait_until("every stream of the random input is closed", || director.metric("streams_joined") == 1);
    assert!(director.metric("messages_bad_total") > 50, "too few messages were malformed");
    assert!(director.is_running() && proxy.ping());
    let log = director.log();
    assert!(!log.contains("panic: ") && !log.contains("panicked"), "{log}");
    assert_eq!(director.metric("invariants_broken_total"), 0);
}
