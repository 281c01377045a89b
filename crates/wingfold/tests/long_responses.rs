//! Responses of discovery and of hosts that are as long as the director allows, of any shape: they must fit
//! into the memory limit.

mod common;

use common::scripted_server::ScriptedServer;
use common::{endpoint, unique_loopback_ip, wait_until, Director, DirectorSetup, Host};
use serde_json::{json, Value};

/// The least memory that a deployment gives a director.
const MEMORY_MB: u64 = 32;
/// Just less than the longest body that a director with this memory reads.
const BODY_BYTES: usize = 2_000_000;

/// A director with the least memory, and its discovery, which has answered nothing yet.
fn start_small_director() -> (ScriptedServer, Director, Value) {
    let ip = unique_loopback_ip();
    let discovery = ScriptedServer::start(ip);
    let host = endpoint("s-1", Host::start(ip, Some("{}")).addr, "a");
    let known = json!({"version": 1, "full": true, "servers": [host]});
    let mut setup = DirectorSetup::new(ip, discovery.addr, known.clone());
    setup.config["limits"] = json!({"memory_mb": MEMORY_MB, "sockets": 256});
    (discovery, setup.start(), known)
}

/// A body with `part` repeated up to its length, and a response of status 200 around it.
fn long_response(head: &str, part: &str, tail: &str) -> Vec<u8> {
    let count = (BODY_BYTES - head.len() - tail.len()) / part.len();
    let body = [head, &part.repeat(count), tail].concat();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Responses whose parts may be stored in far more memory than they take on the wire.
fn long_responses() -> Vec<(&'static str, Vec<u8>)> {
    let list = r#"{"version":2,"full":true,"servers":["#;
    let entry = r#"{"id":"s","addr":"a","zone":"a","state":"left"},"#;
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let one_byte_chunks = [chunked, &"1\r\n \r\n".repeat(BODY_BYTES / 6)].concat().into_bytes();
    let headers = ["HTTP/1.1 200 OK\r\n", &"x: y\r\n".repeat(BODY_BYTES / 6)].concat().into_bytes();
    let long_header = ["HTTP/1.1 200 OK\r\nx: ", &"y".repeat(BODY_BYTES)].concat().into_bytes();
    vec![
        ("empty entries", long_response(list, "{},", "{}]}")),
        ("numbers as entries", long_response(list, "0,", "0]}")),
        ("shortest entries", long_response(list, entry, &format!("{}]}}", entry.trim_end_matches(',')))),
        (
            "unknown fields",
            long_response("{\"x\":[", "[0],", "0],\"version\":2,\"full\":true,\"servers\":[]}"),
        ),
        ("a long name", long_response(&format!("{list}{{\"id\":\""), "x", "\"}]}")),
        ("escapes", long_response(&format!("{list}{{\"kind\":\""), "\\u00e9", "\"}]}")),
        ("open lists", long_response(list, "[", "")),
        ("chunks of one byte", one_byte_chunks),
        ("headers", headers),
        ("a long header", long_header),
    ]
}

/// Guards against the cause of review case 6 in responses of discovery.
#[test]
fn long_responses_of_discovery_fit_into_the_memory_limit() {
    let (discovery, director, known) = start_small_director();
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    for (shape, response) in long_responses() {
        let mut call = discovery.next_request();
        // The director may close the connection before it has read everything.
        let _ = call.try_write(&response);
        call.close();
        assert!(proxy.ping(), "{shape}: a joined proxy was disconnected");
        let peak_kib = director.peak_memory_kib();
        assert!(peak_kib < MEMORY_MB << 10, "{shape}: {peak_kib} KiB");
    }
    let mut sound = known;
    sound["version"] = json!(7);
    let respond_to_next = || discovery.next_request().respond(&sound.to_string());
    respond_to_next();
    wait_until("a sound list is taken", || {
        let is_taken = director.metric("list_version") == 7;
        if !is_taken {
            respond_to_next();
        }
        is_taken
    });
    let peak_kib = director.peak_memory_kib();
    assert!(peak_kib < MEMORY_MB << 10, "{peak_kib} KiB");
}
