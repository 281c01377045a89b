//! Race conditions, each with its order of events forced: a connection, a host or the process ends while a
//! response, an update or a file read is unfinished. The tests write responses byte by byte, stop the
//! director with SIGSTOP and continue it, and use named pipes as configuration files whose reads block.

mod common;

use common::messages::{
    acknowledgement, entries, is_complete, load_report_over, usage_report, with_field, DRAINING, REMOVED,
};
use common::scripted_server::{
    is_connection_attempt_pending, ok_response, wait_until_read, PendingRequest, ScriptedServer,
};
use common::{
    endpoint, unique_loopback_ip, wait_until, Client, Director, DirectorSetup, Discovery, Host, ProxyTables,
    MAX_SHUTDOWN_TIME,
};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::fs::{File, OpenOptions};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// Starts a host in zone a and returns its entry of the endpoint list.
fn start_host(ip: IpAddr, id: &str) -> Value {
    endpoint(id, Host::start(ip, Some("{}")).addr, "a")
}

/// A copy of an endpoint list entry with another state.
fn endpoint_in_state(entry: &Value, state: &str) -> Value {
    let mut entry = entry.clone();
    entry["state"] = json!(state);
    entry
}

/// The body of discovery's response: the complete list (`full`) or the changes after the requested version.
fn endpoint_list(version: u64, full: bool, servers: &[Value]) -> String {
    json!({"version": version, "full": full, "servers": servers}).to_string()
}

/// Two hosts, a discovery service whose responses the test writes, and a director that starts with the list
/// of version 5.
fn scripted_deployment() -> (IpAddr, [Value; 2], ScriptedServer, DirectorSetup) {
    let ip = unique_loopback_ip();
    let hosts = [start_host(ip, "s-1"), start_host(ip, "s-2")];
    let discovery = ScriptedServer::start(ip);
    let known = json!({"version": 5, "full": true, "servers": hosts});
    let setup = DirectorSetup::new(ip, discovery.addr, known);
    (ip, hosts, discovery, setup)
}

/// The path of the endpoint list at discovery.
const LIST_PATH: &str = "/v1/endpoints";

/// The path of health checks at a host.
const HEALTH_PATH: &str = "/status/load";

/// Waits for the next request and checks that its target begins with `prefix`.
fn next_request(server: &ScriptedServer, prefix: &str) -> PendingRequest {
    let request = server.next_request();
    assert!(request.target.starts_with(prefix), "{} where {prefix} was expected", request.target);
    request
}

/// Waits for the next request, which must be for the endpoint list.
fn next_list_request(discovery: &ScriptedServer) -> PendingRequest {
    next_request(discovery, LIST_PATH)
}

/// Waits for the next request, which must be the director's first watch for changes after `version`: with
/// `wait_ms=0`, so that discovery responds at once.
fn next_initial_watch(discovery: &ScriptedServer, version: u64) -> PendingRequest {
    next_request(discovery, &format!("{LIST_PATH}?after={version}&wait_ms=0"))
}

/// Waits for the next request, which must be a watch for changes after `version`.
fn next_watch(discovery: &ScriptedServer, version: u64) -> PendingRequest {
    next_request(discovery, &format!("{LIST_PATH}?after={version}"))
}

/// Waits for the next request, which must be a health check.
fn next_health_check(host: &ScriptedServer) -> PendingRequest {
    next_request(host, HEALTH_PATH)
}

/// Connects proxy 0 and waits until its table holds both hosts.
fn connect_proxy_with_both_hosts(director: &Director) -> (Client, ProxyTables) {
    let (mut proxy, mut tables) = (director.connect_proxy(0, "a"), ProxyTables::default());
    while tables.hosts("order") != ["s-1", "s-2"] {
        tables.apply(&proxy.receive_update());
    }
    (proxy, tables)
}

/// Applies updates until the proxy's table of class `order` holds exactly these hosts.
fn wait_for_hosts(proxy: &mut Client, tables: &mut ProxyTables, hosts: &[&str]) {
    while tables.hosts("order") != hosts {
        tables.apply(&proxy.receive_update());
    }
}

/// Creates a named pipe: opening it for reading blocks until a writer opens it.
fn named_pipe(director_listen: SocketAddr) -> PathBuf {
    let name = format!("pipe-{}-{}", director_listen.ip(), director_listen.port());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    path
}

/// Sends SIGTERM and checks that the program exits with status 0 within [`MAX_SHUTDOWN_TIME`].
fn assert_sigterm_ends_in_time(director: &mut Director) {
    let started = Instant::now();
    director.send_signal("TERM");
    assert_eq!(director.wait_for_exit().code(), Some(0));
    assert!(started.elapsed() < MAX_SHUTDOWN_TIME, "{:?}", started.elapsed());
}

/// Waits until the director's log contains this text.
fn wait_for_log(director: &Director, text: &str) {
    wait_until(text, || director.log().contains(text));
}

// ---- Start, reload and end of the process -----------------------------------------------------------------

#[test]
fn sigterm_during_a_blocked_configuration_read_exits_cleanly() {
    let (_, _, _discovery, setup) = scripted_deployment();
    let path = named_pipe(setup.listen);
    let mut director = Director::spawn(setup.listen, Some(path.clone()), &[], true);
    let _writer = wait_until_opened_for_reading(&path);
    assert_sigterm_ends_in_time(&mut director);
    wait_for_log(&director, "received SIGTERM, shutting down");
}

#[test]
fn blocked_reload_delays_neither_drains_nor_exit() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let mut director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&discovery, 5);
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    let path = named_pipe(setup.listen);
    let config = director.replace_config(&path);
    director.send_signal("HUP");
    let _writer = wait_until_opened_for_reading(&config);
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    // The next SIGHUP reads the valid file, although the first read is still blocked.
    let mut config = setup.config.clone();
    config["name"] = json!("n9");
    director.rewrite_config(&config.to_string());
    director.send_signal("HUP");
    wait_for_log(&director, "reload: key `name` has changed");
    assert_sigterm_ends_in_time(&mut director);
}

/// Waits until the pipe is opened for reading, and opens it for writing. The read blocks until the returned
/// file is dropped, because nothing is written to it.
fn wait_until_opened_for_reading(pipe: &Path) -> File {
    const O_NONBLOCK: i32 = 0o4000;
    let mut writer = None;
    wait_until("the pipe is opened for reading", || {
        // Without a reader, opening a pipe with O_NONBLOCK for writing fails at once.
        writer = OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(pipe).ok();
        writer.is_some()
    });
    writer.unwrap()
}

#[test]
fn start_waits_for_an_address_in_use() {
    let (_, _, _discovery, setup) = scripted_deployment();
    let previous_listener = TcpListener::bind(setup.listen).unwrap();
    let mut director = setup.spawn(&setup.config.to_string(), true);
    wait_for_log(&director, "is in use; retrying for at most 10 s");
    assert!(director.is_running());
    drop(previous_listener);
    setup.wait_until_ready();
    assert_eq!(director.log().matches("is in use").count(), 1, "the address in use must be logged once");
}

#[test]
fn sigterm_while_waiting_for_an_address_exits_cleanly() {
    let (_, _, _discovery, setup) = scripted_deployment();
    let _previous_listener = TcpListener::bind(setup.listen).unwrap();
    let mut director = setup.spawn(&setup.config.to_string(), true);
    wait_for_log(&director, "is in use; retrying for at most 10 s");
    assert_sigterm_ends_in_time(&mut director);
}

#[test]
fn sigterm_with_unread_updates_and_open_barriers_exits_cleanly() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let mut director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&discovery, 5);
    let mut idle_proxies: Vec<Client> = (0..8).map(|id| director.connect_proxy(id, "a")).collect();
    wait_until("every proxy is sent its first update", || director.metric("messages_out_total") >= 8);
    director.send_signal("STOP");
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    director.send_signal("TERM");
    director.send_signal("TERM");
    let started = Instant::now();
    director.send_signal("CONT");
    assert_eq!(director.wait_for_exit().code(), Some(0));
    assert!(started.elapsed() < MAX_SHUTDOWN_TIME, "{:?}", started.elapsed());
    assert!(idle_proxies.iter_mut().all(Client::is_closed_in_time));
}

// ---- Reloads during requests to discovery -----------------------------------------------------------------

#[test]
fn partly_read_response_of_the_old_discovery_is_applied() {
    let (ip, hosts, old, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&old, 5).respond(&endpoint_list(5, false, &[]));
    let mut watch = next_watch(&old, 5);
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    let response = ok_response(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    let (first, rest) = response.split_at(response.len() - 9);
    watch.write(first);
    watch.wait_until_read();
    let new = ScriptedServer::start(ip);
    move_discovery_to(&director, &setup, &new);
    let list_request = next_list_request(&new);
    assert_eq!(
        list_request.target, "/v1/endpoints",
        "versions of the old discovery are not valid at the new one"
    );
    // The drain in the old discovery's response is applied before the new discovery responds.
    watch.write(rest);
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    assert_eq!(director.metric("list_late_total"), 1);
    assert_eq!(director.metric("list_failures_total"), 0);
    list_request.respond(&endpoint_list(
        2,
        true,
        &[endpoint_in_state(&hosts[0], DRAINING), hosts[1].clone()],
    ));
    next_watch(&new, 2);
}

#[test]
fn response_that_arrives_with_a_discovery_change_is_applied() {
    let (ip, hosts, old, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&old, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&old, 5);
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    let new = ScriptedServer::start(ip);
    // Both arrive while the director is stopped, so that it sees them at the same time.
    director.send_signal("STOP");
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    move_discovery_to(&director, &setup, &new);
    director.send_signal("CONT");
    let _list_request = next_list_request(&new);
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
}

#[test]
fn old_discovery_response_completed_after_the_new_one_is_ignored() {
    let (ip, hosts, old, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&old, 5).respond(&endpoint_list(5, false, &[]));
    let mut watch = next_watch(&old, 5);
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    let response = ok_response(&endpoint_list(900, false, &[endpoint_in_state(&hosts[1], DRAINING)]));
    watch.write(&response[..response.len() - 9]);
    watch.wait_until_read();
    let new = ScriptedServer::start(ip);
    move_discovery_to(&director, &setup, &new);
    next_list_request(&new).respond(&endpoint_list(2, true, &hosts));
    let new_watch = next_watch(&new, 2);
    wait_until("the request to the old discovery is dropped", || is_closed(&mut watch));
    new_watch.respond(&endpoint_list(3, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    next_watch(&new, 3);
    assert_eq!(director.metric("list_late_total"), 0);
}

/// Whether the director has closed the connection of a request, so that a write to it fails.
fn is_closed(request: &mut PendingRequest) -> bool {
    request.try_write(b" ").is_err()
}

#[test]
fn discovery_moves_to_a_silent_address_and_back() {
    let (ip, hosts, first, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&first, 5).respond(&endpoint_list(5, false, &[]));
    let _watch = next_watch(&first, 5);
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    let silent = ScriptedServer::start(ip);
    move_discovery_to(&director, &setup, &silent);
    let _unanswered = next_list_request(&silent);
    director.rewrite_config(&setup.config.to_string());
    director.send_signal("HUP");
    next_list_request(&first).respond(&endpoint_list(
        7,
        true,
        &[endpoint_in_state(&hosts[0], DRAINING), hosts[1].clone()],
    ));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    next_watch(&first, 7);
    assert_eq!(director.metric("list_moves_total"), 2);
    assert_eq!(director.metric("list_failures_total"), 0);
}

/// Reloads a configuration that names this server as discovery.
fn move_discovery_to(director: &Director, setup: &DirectorSetup, server: &ScriptedServer) {
    let mut config = setup.config.clone();
    config["discovery"] = json!(server.addr.to_string());
    director.rewrite_config(&config.to_string());
    director.send_signal("HUP");
}

// ---- Watches at discovery ---------------------------------------------------------------------------------

#[test]
fn failed_watch_is_repeated_and_tables_are_kept() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    let entries_before = tables.entries.clone();
    for (number, bytes) in invalid_responses(&hosts).iter().enumerate() {
        let mut watch = next_watch(&discovery, 5);
        let _ = watch.try_write(bytes);
        match bytes.is_empty() {
            true => watch.reset(),
            false => watch.close(),
        }
        wait_until("the failure is counted", || director.metric("list_failures_total") == number as u64 + 1);
        // A valid response after each invalid one is applied, and keeps the number of consecutive failures
        // low.
        next_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    }
    assert!(proxy.ping());
    assert_eq!(tables.entries, entries_before);
    next_watch(&discovery, 5).respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    assert!(director.log().lines().all(|line| line.len() < 2000), "a log line has 2000 bytes or more");
}

/// Responses that cannot be read as an endpoint list: cut off, malformed, too long, or with an invalid
/// endpoint.
fn invalid_responses(hosts: &[Value; 2]) -> Vec<Vec<u8>> {
    let complete = ok_response(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    let head_length = complete.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4;
    let with_endpoint = |field: &str, value: Value| {
        ok_response(&endpoint_list(6, false, &[with_field(&hosts[0], field, value)]))
    };
    vec![
        b"".to_vec(),
        complete[..7].to_vec(),
        complete[..head_length - 2].to_vec(),
        complete[..head_length].to_vec(),
        complete[..complete.len() - 1].to_vec(),
        b"not an HTTP response\r\n\r\n".to_vec(),
        b"HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n{}".to_vec(),
        [b"HTTP/1.1 200 OK\r\n".to_vec(), b"x: y\r\n".repeat(200_000)].concat(),
        ok_response(&format!("{{\"version\":7,\"x\":\"{}\"}}", "x".repeat(40 << 20))),
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nff\r\n{\"version\":6".to_vec(),
        b"HTTP/1.1 302 Found\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n".to_vec(),
        ok_response("[]"),
        ok_response(r#"{"version":"6","full":"no","servers":{}}"#),
        with_endpoint("weight", json!(-3.0)),
        with_endpoint("started_ms", json!(1e300)),
        with_endpoint("id", json!("x".repeat(5000))),
    ]
}

#[test]
fn connection_closed_after_a_watch_response_is_no_failure() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    let watch = next_watch(&discovery, 5);
    // The response and the end of the connection arrive together, before the director can send its next
    // request.
    director.send_signal("STOP");
    watch.write_and_close(&ok_response(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)])));
    director.send_signal("CONT");
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    next_watch(&discovery, 6);
    assert_eq!(
        director.metric("list_failures_total"),
        0,
        "a connection closed between requests was counted as a failure"
    );
}

#[test]
fn lower_version_from_discovery_leads_to_a_complete_list_request() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    // A reinstalled discovery service counts versions from the start. A watch for changes after
    // version 5 would return nothing until the count exceeds 5.
    next_watch(&discovery, 5).respond(&endpoint_list(2, false, &[]));
    let new_entries = [endpoint_in_state(&hosts[0], DRAINING), hosts[1].clone()];
    let mut list_requests = 0;
    loop {
        let request = discovery.next_request();
        if request.target.contains("after=2") {
            break;
        }
        assert_eq!(request.target, "/v1/endpoints", "a watch for the earlier version");
        list_requests += 1;
        assert!(list_requests < 10);
        request.respond(&endpoint_list(2, true, &new_entries));
    }
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
}

#[test]
fn slow_connection_attempt_to_discovery_is_no_failure() {
    let ip = unique_loopback_ip();
    // The listen backlog has one place, which is taken. The kernel drops the director's SYN, which is
    // retransmitted after a second.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::new(ip, 0).into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let addr = listener.local_addr().unwrap();
    let _backlog_connection = std::net::TcpStream::connect(addr).unwrap();
    let hosts = [start_host(ip, "s-1"), start_host(ip, "s-2")];
    let mut setup = DirectorSetup::new(ip, addr, json!({"version": 5, "full": true, "servers": hosts}));
    setup.config["settings"]["rules"]["ask_within"] = json!(12_000_000);
    let director = setup.start();
    wait_until("the director attempts to connect", || is_connection_attempt_pending(addr));
    let discovery = ScriptedServer::from_listener(listener);
    next_watch(&discovery, 5).respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    let (mut proxy, mut tables) = (director.connect_proxy(0, "a"), ProxyTables::default());
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    assert_eq!(director.metric("list_failures_total"), 0);
}

#[test]
fn watches_that_return_at_once_are_repeated_after_a_pause() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    for _ in 0..3 {
        let watch = next_watch(&discovery, 5);
        let responded_at = Instant::now();
        watch.respond(&endpoint_list(5, false, &[]));
        // The pause is measured from before the response is written to the arrival of the next request.
        let next = next_watch(&discovery, 5);
        let pause = next.received_at - responded_at;
        assert!(pause >= Duration::from_millis(100), "{pause:?}");
        next.respond(&endpoint_list(5, false, &[]));
    }
    next_watch(&discovery, 5).respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    assert_eq!(director.metric("list_failures_total"), 0);
}

// ---- Streams and connection limits ------------------------------------------------------------------------

#[test]
fn older_connection_that_joins_later_does_not_replace_the_stream() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&discovery, 5);
    let mut early = director.connect();
    assert!(early.ping(), "the early connection is not accepted");
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    early.subscribe(0, "a");
    assert!(early.is_closed_in_time());
    assert_eq!(director.metric("streams_overtaken_total"), 1);
    assert_eq!(director.metric("streams_joined"), 1);
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    assert_eq!(director.metric("streams_left_total"), 0);
}

#[test]
fn new_stream_survives_the_end_of_the_old_one_in_either_order() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&discovery, 5);
    let (mut stream, _) = connect_proxy_with_both_hosts(&director);
    let barrier_acknowledgement = acknowledgement(0, 1, 10.0);
    for old_ends_first in [true, false] {
        director.send_signal("STOP");
        // A barrier acknowledgement and the end of the old stream, and the join of the new stream, are ready
        // to be read at the same time.
        stream.send(&barrier_acknowledgement);
        let new_stream = if old_ends_first {
            drop(stream);
            director.connect_proxy(0, "a")
        } else {
            let new_stream = director.connect_proxy(0, "a");
            drop(stream);
            new_stream
        };
        director.send_signal("CONT");
        stream = new_stream;
        assert!(is_complete(&stream.receive_update()), "the new stream gets no complete table");
        wait_until("one stream is joined", || director.metric("streams_joined") == 1);
    }
    let mut tables = ProxyTables::default();
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_until("the drain arrives on the stream in use", || {
        let parts = stream.receive_update();
        tables.apply(&parts);
        entries(&parts).iter().any(|entry| entry[0] == "s-1" && entry[1] == 0.0)
    });
}

#[test]
fn slow_reader_does_not_delay_other_proxies() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&discovery, 5);
    let mut slow = director.connect_proxy(1, "a");
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    let mut slow_tables = ProxyTables::default();
    while slow_tables.hosts("order") != ["s-2"] {
        slow_tables.apply(&slow.receive_update_bytewise());
    }
}

#[test]
fn collector_evicted_inside_a_frame_loses_only_that_frame() {
    const CONNECTIONS: usize = 16;
    let (_, _, discovery, mut setup) = scripted_deployment();
    // 5 for health checks and 24 that are always open leave 16.
    setup.config["limits"]["sockets"] = json!(45);
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let _watch = next_watch(&discovery, 5);
    let report = Client::encode_frame(&load_report_over("a", "s-none", 9, 0, 1.0, 1000.0));
    // The report names an unlisted host, so every frame that the director reads is counted as an invalid
    // name.
    let frames_read = || director.metric("messages_invalid_name_total");
    let mut collectors: Vec<Client> = (0..CONNECTIONS).map(|_| director.connect_collector("a")).collect();
    collectors.iter_mut().for_each(|collector| assert!(collector.ping()));
    collectors[0].send_bytes(&report);
    collectors[0].send_bytes(&report[..report.len() / 2]);
    wait_until_read(&collectors[0].stream);
    collectors[1..].iter_mut().for_each(|collector| assert!(collector.ping(), "evicted too early"));
    let mut last = director.connect_collector("a");
    assert!(last.ping());
    assert!(collectors[0].is_closed_in_time(), "the collector that was silent for longest is not evicted");
    // Leaves slots for the requests of this test.
    collectors.drain(..4);
    assert!(last.ping());
    last.send_bytes(&report);
    collectors[0].send_bytes(&report);
    wait_until("the three complete frames are read", || frames_read() == 3);
    assert!(collectors.iter_mut().all(Client::ping));
}

#[test]
fn exhausted_descriptors_cost_no_joined_proxy_its_stream() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    // The configuration allows 1024 sockets; the process may open 48 descriptors.
    let director = setup.start_with_descriptor_limit(48);
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&discovery, 5);
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    let _unidentified: Vec<Client> = (0..100).map(|_| director.connect()).collect();
    wait_for_log(&director, "accept failed");
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    // Unidentified connections are closed after a second; a connection opened after them is then accepted.
    let (mut late_proxy, mut late_tables) = (director.connect_proxy(1, "a"), ProxyTables::default());
    wait_for_hosts(&mut late_proxy, &mut late_tables, &["s-2"]);
    assert!(proxy.ping());
}

#[test]
fn unidentified_connections_evict_no_proxy_that_is_joining() {
    let (_, _, discovery, mut setup) = scripted_deployment();
    setup.config["limits"] = json!({"memory_mb": 32, "sockets": 64});
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let _watch = next_watch(&discovery, 5);
    // These connections have not identified themselves yet and are the oldest, so they are first in line for
    // eviction.
    let mut proxies: Vec<Client> = (0..8).map(|_| director.connect()).collect();
    wait_until("all connections are accepted", || director.metric("connections_total") >= 8);
    director.send_signal("STOP");
    for (id, proxy) in proxies.iter_mut().enumerate() {
        proxy.subscribe(id as u32, "a");
    }
    let _unidentified: Vec<Client> = (0..60).map(|_| director.connect()).collect();
    director.send_signal("CONT");
    for proxy in &mut proxies {
        assert!(is_complete(&proxy.receive_update()));
    }
    assert_eq!(director.metric("streams_joined"), 8);
}

// ---- Hosts ------------------------------------------------------------------------------------------------

#[test]
fn health_check_response_after_a_host_restart_is_ignored() {
    let ip = unique_loopback_ip();
    let host = ScriptedServer::start(ip);
    let entry = endpoint("s-1", host.addr, "a");
    let discovery = Discovery::start(ip, vec![entry.clone()]);
    let setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    let director = setup.start();
    let health_check = next_health_check(&host);
    let mut restarted = entry.clone();
    restarted["started_ms"] = json!(1_700_000_000_123u64);
    discovery.upsert(restarted);
    wait_for_log(&director, "host started host=s-1");
    health_check.respond("{}");
    wait_until("the late response is dropped", || director.metric("probes_overtaken_total") == 1);
    // The restarted host is checked, and its response is applied.
    next_health_check(&host).respond("{}");
    next_health_check(&host);
    assert_eq!(director.metric("probes_overtaken_total"), 1);
}

#[test]
fn host_drained_twice_and_removed_returns_cold() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    let respond_with = |version: u64, entries: &[Value]| {
        next_watch(&discovery, version - 1).respond(&endpoint_list(version, false, entries));
    };
    let draining = endpoint_in_state(&hosts[0], DRAINING);
    // The host drains, drains again and is removed: first in one response, then in two.
    respond_with(6, &[draining.clone(), draining.clone(), endpoint_in_state(&hosts[0], REMOVED)]);
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    respond_with(7, &[draining]);
    respond_with(8, &[endpoint_in_state(&hosts[0], REMOVED)]);
    // The host returns under the same id with a new start time and address, and is cold.
    let mut returned = endpoint("s-1", "127.0.0.1:9".parse().unwrap(), "a");
    returned["started_ms"] = json!(now_ms());
    respond_with(9, &[returned]);
    wait_for_hosts(&mut proxy, &mut tables, &["s-1", "s-2"]);
    let weights = &tables.entries["order"];
    assert!(weights["s-1"] < weights["s-2"], "the cold host does not have the lower weight: {weights:?}");
}

/// The Unix time in milliseconds.
fn now_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- Overload by clients ----------------------------------------------------------------------------------

#[test]
fn drain_is_sent_while_clients_flood_the_director() {
    let (_, hosts, discovery, setup) = scripted_deployment();
    let director = setup.start();
    next_initial_watch(&discovery, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&discovery, 5);
    let (mut proxy, mut tables) = connect_proxy_with_both_hosts(&director);
    let usage = Client::encode_frame(&usage_report(1, "lookup", 9, 0));
    let unknown_barrier = Client::encode_frame(&acknowledgement(1, 77, 1.0));
    let report = Client::encode_frame(&load_report_over("a", "s-1", 9, 0, 1.0, 1000.0));
    // Both bursts are in the director's socket buffers before the director continues.
    let mut clients = [director.connect_proxy(1, "a"), director.connect_collector("a")];
    director.send_signal("STOP");
    let bursts = [[usage, unknown_barrier].concat().repeat(500), report.repeat(1000)];
    for (client, bytes) in clients.iter_mut().zip(&bursts) {
        client.send_bytes(bytes);
    }
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    director.send_signal("CONT");
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    clients.iter().for_each(|client| wait_until_read(&client.stream));
    wait_until("the 500 acknowledgements are counted", || {
        director.metric("messages_invalid_mark_total") == 500
    });
    assert!(clients[1].ping() && proxy.ping());
}
