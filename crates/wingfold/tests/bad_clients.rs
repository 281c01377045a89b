//! Clients that send what no sound client sends: messages of any shape and length, alone and many at once.
//! They must cost neither memory nor time that sound clients need.

mod common;

use common::messages::{collector_hello, is_complete, load_report, ping, proxy_hello, usage_report};
use common::{three_host_deployment, wait_until, Client, Director, Discovery, ProxyTables, StopOnDrop};
use serde_json::json;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Length of the longest message that the protocol allows.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The least memory that a deployment gives a director.
const MEMORY_MB: u64 = 32;
/// The fewest descriptors that a deployment gives a director.
const DESCRIPTORS: usize = 256;

/// `drain_grace` of the settings: proxies must have stopped sending to a host by then.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Longest time for which a stranger stays; the director closes it after a second.
const MAX_STRANGER_TIME: Duration = Duration::from_secs(3);

/// Starts a director with the least memory and the fewest descriptors.
fn start_small_director() -> (Discovery, Director) {
    let (discovery, mut setup) = three_host_deployment();
    setup.config["limits"] = json!({"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
    let director = setup.start();
    (discovery, director)
}

fn frame(message: &str) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes()[..], message.as_bytes()].concat()
}

/// Repeats `part` between `head` and `tail` up to the length of the longest message.
fn longest_message(head: &str, part: &str, tail: &str) -> Vec<u8> {
    let count = (MAX_MESSAGE_BYTES - head.len() - tail.len()) / part.len();
    frame(&[head, &part.repeat(count), tail].concat())
}

/// Messages of the greatest length, each with parts that a decoder may store in far more memory than they
/// take on the wire.
fn longest_messages() -> Vec<(&'static str, Vec<u8>)> {
    let order = "],\"type\":\"CONFIG\"}";
    let nested = format!("{}0{},", "[".repeat(20), "]".repeat(20));
    let load = r#"{"type":"LOAD","site":"a","target":"s-1","count":1,"fail":0,"mean":1,"over":1,"util":{"#;
    vec![
        ("lists of one", longest_message("{\"lines\":[", "[0],", &format!("[0]{order}"))),
        ("empty lists", longest_message("{\"lines\":[", "[],", &format!("[]{order}"))),
        ("nested lists", longest_message("{\"lines\":[", &nested, &format!("0{order}"))),
        ("objects", longest_message("{\"lines\":[", "{\"\":{}},", &format!("0{order}"))),
        ("numbers", longest_message("{\"lines\":[", "0,", &format!("0{order}"))),
        ("open lists", longest_message("{\"lines\":", "[", "")),
        ("fields", longest_message("{", "\"a\":0,", "\"type\":\"CONFIG\"}")),
        ("repeated fields", longest_message("{", "\"id\":0,", "\"type\":\"SUBSCRIBE\"}")),
        ("escapes", longest_message("{\"type\":\"", "\\u00e9", "\"}")),
        ("a long name", longest_message("{\"type\":\"SOURCE\",\"site\":\"", "x", "\"}")),
        ("fields of a load", longest_message(load, "\"a\":[],", "\"a\":0}}")),
        ("lists in a load", longest_message(&format!("{load}\"a\":["), "[],", "[]]}}")),
    ]
}

/// Guards against review case 6: one message of 1 MiB took the director over its memory limit.
#[test]
fn longest_messages_of_any_shape_fit_into_the_memory_limit() {
    const CLIENTS_AT_ONCE: usize = 20;
    let (_discovery, director) = start_small_director();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    for (shape, message) in longest_messages() {
        thread::scope(|scope| {
            for _ in 0..CLIENTS_AT_ONCE {
                scope.spawn(|| {
                    // The director may close the connection during the write.
                    let mut client = director.connect();
                    let _ = client.stream.write_all(&message);
                    assert!(client.is_closed_in_time(), "{shape}");
                });
            }
        });
        let peak_kib = director.peak_memory_kib();
        assert!(peak_kib < MEMORY_MB << 10, "{shape}: {peak_kib} KiB");
        assert!(proxy.ping(), "{shape}: a joined proxy was disconnected");
    }
}

/// Like the messages of strangers, those of a collector fit into the memory limit.
#[test]
fn longest_messages_of_a_collector_fit_into_the_memory_limit() {
    let (_discovery, director) = start_small_director();
    for (shape, message) in longest_messages() {
        let mut collector = director.connect_collector("a");
        for _ in 0..3 {
            if collector.stream.write_all(&message).is_err() {
                break;
            }
        }
        if shape != "open lists" {
            assert!(collector.ping(), "{shape}: the connection of a collector has ended");
        }
        let peak_kib = director.peak_memory_kib();
        assert!(peak_kib < MEMORY_MB << 10, "{shape}: {peak_kib} KiB");
    }
}

/// A message of the greatest length that ends with the fields of `message`.
fn padded(message: &serde_json::Value) -> Vec<u8> {
    let fields = message.to_string();
    longest_message("{\"new\":[", "{\"a\":[0]},", &format!("0],{}", &fields[1..]))
}

#[test]
fn sound_clients_join_with_the_longest_messages() {
    let (_discovery, director) = start_small_director();
    let mut collector = director.connect();
    collector.send_bytes(&padded(&ping()));
    assert_eq!(collector.receive().unwrap()["type"], "PONG");
    collector.send_bytes(&padded(&collector_hello("a")));
    let mut proxy = director.connect();
    proxy.send_bytes(&padded(&proxy_hello(1, "a", 5.0)));
    assert!(is_complete(&proxy.receive_update()));
    proxy.send_bytes(&padded(&usage_report(1, "lookup", 9, 0)));
    proxy.send_bytes(&padded(&ping()));
    collector.send_bytes(&padded(&load_report("a", "s-1", 9, 0)));
    assert!(proxy.ping() && collector.ping());
    wait_until("both reports are counted", || director.metric("messages_in_total") >= 8);
    for metric in ["messages_bad_total", "messages_invalid_form_total", "messages_invalid_name_total"] {
        assert_eq!(director.metric(metric), 0, "{metric}");
    }
}

/// Guards against review case 7: strangers with half a message took the places of proxies whose first message
/// arrives in pieces, although descriptors were left.
#[test]
fn strangers_with_half_a_message_evict_nobody_while_descriptors_are_left() {
    const STRANGERS: usize = 150;
    let (_discovery, director) = start_small_director();
    let hello = Client::encode_frame(&proxy_hello(1, "a", 5.0));
    let (first_piece, second_piece) = hello.split_at(20);
    let mut silent_proxy = director.connect();
    let mut proxy = director.connect();
    proxy.send_bytes(first_piece);
    let strangers: Vec<Client> = (0..STRANGERS)
        .map(|_| {
            let mut stranger = director.connect();
            stranger.send_bytes(&[0, 0, 0, 64, b'{', b'"']);
            stranger
        })
        .collect();
    assert!(silent_proxy.ping(), "a client that sent nothing was evicted");
    proxy.send_bytes(second_piece);
    assert!(is_complete(&proxy.receive_update()));
    assert_eq!(director.metric("unidentified_evicted_total"), 0);
    assert!(director.open_descriptors() < DESCRIPTORS, "{} descriptors", director.open_descriptors());
    drop(strangers);
}

/// A stranger that sends `bytes` again and again, dials again once it is closed, and never reads.
fn keep_busy(director: SocketAddr, bytes: &[u8], is_stopped: &AtomicBool) {
    while !is_stopped.load(Ordering::Relaxed) {
        let Some(mut stranger) = Client::connect(director) else { continue };
        stranger.stream.set_write_timeout(Some(MAX_STRANGER_TIME)).unwrap();
        let started = Instant::now();
        while started.elapsed() < MAX_STRANGER_TIME && stranger.stream.write_all(bytes).is_ok() {}
    }
}

/// Guards against review case 9: strangers with long messages held the one thread for seconds, and drains came
/// late.
#[test]
fn drains_reach_proxies_within_the_grace_while_strangers_keep_the_director_busy() {
    const STRANGERS: usize = 40;
    let nested = format!("{}0{},", "[".repeat(20), "]".repeat(20));
    let floods = [
        longest_message("{\"lines\":[", &nested, "0],\"type\":\"CONFIG\"}"),
        longest_message("{\"x\":[", "[0],", "0],\"type\":\"PING\"}"),
        Client::encode_frame(&ping()).repeat(4000),
        b"GET /metrics HTTP/1.1\r\nhost: d\r\n\r\n".repeat(1000),
    ];
    let (discovery, setup) = three_host_deployment();
    let director = setup.start();
    let mut proxy = director.connect_proxy(0, "a");
    let mut tables = ProxyTables::default();
    tables.apply(&proxy.receive_update());
    for (flood, drained) in floods.iter().zip(["s-1", "s-2", "s-1", "s-2"]) {
        discovery.set_host_state(drained, "active");
        while !tables.hosts("lookup").contains(&drained) {
            tables.apply(&proxy.receive_update());
        }
        let is_stopped = AtomicBool::new(false);
        thread::scope(|scope| {
            let _stop = StopOnDrop(&is_stopped);
            for _ in 0..STRANGERS {
                scope.spawn(|| keep_busy(director.listen, flood, &is_stopped));
            }
            // By now each stranger has sent more than its first slice.
            thread::sleep(Duration::from_millis(500));
            let told = Instant::now();
            discovery.set_host_state(drained, "leaving");
            while tables.hosts("lookup").contains(&drained) {
                tables.apply(&proxy.receive_update());
            }
            assert!(told.elapsed() < DRAIN_GRACE, "{:?} until the drain was sent", told.elapsed());
        });
    }
}
