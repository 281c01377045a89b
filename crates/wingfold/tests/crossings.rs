//! Endings that cross with something still owed, each instant forced: answers are written byte by byte, processes are
//! stopped and let go, files are pipes that nobody writes.

mod common;

use common::messages::{
    acknowledgement, entries, is_complete, load_report_over, usage_report, with_field, DRAINING, REMOVED,
};
use common::scripted_server::{
    is_being_dialled, ok_response, wait_until_read, PendingRequest, ScriptedServer,
};
use common::{
    endpoint, unique_loopback_ip, wait_until, Client, Director, DirectorSetup, Discovery, Host, ProxyTables,
};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::fs::{File, OpenOptions};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// What a planned restart leaves.
const MAX_END_TIME: Duration = Duration::from_millis(700);

fn host(ip: IpAddr, id: &str) -> Value {
    endpoint(id, Host::start(ip, Some("{}")).addr, "a")
}

fn endpoint_in_state(entry: &Value, state: &str) -> Value {
    let mut entry = entry.clone();
    entry["state"] = json!(state);
    entry
}

fn endpoint_list(version: u64, full: bool, servers: &[Value]) -> String {
    json!({"version": version, "full": full, "servers": servers}).to_string()
}

/// Two hosts, a discovery whose every byte the test writes, and a director that remembers them as of version 5.
fn scripted_deployment() -> (IpAddr, [Value; 2], ScriptedServer, DirectorSetup) {
    let ip = unique_loopback_ip();
    let hosts = [host(ip, "s-1"), host(ip, "s-2")];
    let gate = ScriptedServer::start(ip);
    let known = json!({"version": 5, "full": true, "servers": hosts});
    let setup = DirectorSetup::new(ip, gate.addr, known);
    (ip, hosts, gate, setup)
}

/// Where discovery has its endpoint list.
const LIST_PATH: &str = "/v1/endpoints";

/// Where a host answers health checks.
const HEALTH_PATH: &str = "/status/load";

/// The next request, which has this target or one that begins with it.
fn next_request(server: &ScriptedServer, target: &str) -> PendingRequest {
    let request = server.next_request();
    assert!(request.target.starts_with(target), "{} where {target} was expected", request.target);
    request
}

/// The next request, which is for the complete list.
fn next_list_request(discovery: &ScriptedServer) -> PendingRequest {
    next_request(discovery, LIST_PATH)
}

/// The next request, which is the first for changes after a version: it does not wait for one.
fn first_watch(discovery: &ScriptedServer, version: u64) -> PendingRequest {
    next_request(discovery, &format!("{LIST_PATH}?after={version}&wait_ms=0"))
}

/// The next request, which is for changes after a version.
fn next_watch(discovery: &ScriptedServer, version: u64) -> PendingRequest {
    next_request(discovery, &format!("{LIST_PATH}?after={version}"))
}

/// The next request, which is a health check.
fn next_health_check(host: &ScriptedServer) -> PendingRequest {
    next_request(host, HEALTH_PATH)
}

/// A proxy with its table, once that holds both hosts.
fn proxy_with_both_hosts(director: &Director) -> (Client, ProxyTables) {
    let (mut proxy, mut tables) = (director.connect_proxy(0, "a"), ProxyTables::default());
    while tables.hosts("order") != ["s-1", "s-2"] {
        tables.apply(&proxy.receive_update());
    }
    (proxy, tables)
}

/// Waits until the proxy's table holds these hosts.
fn wait_for_hosts(proxy: &mut Client, tables: &mut ProxyTables, hosts: &[&str]) {
    while tables.hosts("order") != hosts {
        tables.apply(&proxy.receive_update());
    }
}

/// A file that hangs whoever reads it.
fn named_pipe(director_listen: SocketAddr) -> PathBuf {
    let name = format!("pipe-{}-{}", director_listen.ip(), director_listen.port());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    path
}

fn assert_ends_at_once(director: &mut Director) {
    let begun = Instant::now();
    director.send_signal("TERM");
    assert_eq!(director.wait_for_exit().code(), Some(0));
    assert!(begun.elapsed() < MAX_END_TIME, "{:?}", begun.elapsed());
}

fn wait_for_log(director: &Director, words: &str) {
    wait_until(words, || director.log().contains(words));
}

// ---- The process ----------------------------------------------------------------------------------------------

#[test]
fn sigterm_while_the_configuration_is_read_ends_the_program_well() {
    let (_, _, _gate, setup) = scripted_deployment();
    let path = named_pipe(setup.listen);
    let mut director = Director::spawn(setup.listen, Some(path.clone()), &[], true);
    let _hangs = wait_until_opened(&path);
    assert_ends_at_once(&mut director);
    wait_for_log(&director, "received SIGTERM, shutting down");
}

#[test]
fn a_reload_whose_file_hangs_holds_up_neither_drains_nor_the_end() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let mut director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&gate, 5);
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    let path = named_pipe(setup.listen);
    let config = director.replace_config(&path);
    director.send_signal("HUP");
    let _hangs = wait_until_opened(&config);
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    // A file that is in order again is read at the next signal, though the first reading still hangs.
    let mut config = setup.config.clone();
    config["name"] = json!("n9");
    director.rewrite_config(&config.to_string());
    director.send_signal("HUP");
    wait_for_log(&director, "reload: key `name` has changed");
    assert_ends_at_once(&mut director);
}

/// Waits until someone reads the pipe; as long as what this gives is kept, and writes nothing, the reading hangs.
fn wait_until_opened(pipe: &Path) -> File {
    const O_NONBLOCK: i32 = 0o4000;
    let mut writer = None;
    wait_until("the file is being read", || {
        // Without a reader this fails at once.
        writer = OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(pipe).ok();
        writer.is_some()
    });
    writer.unwrap()
}

#[test]
fn an_address_that_the_predecessor_still_holds_is_waited_for() {
    let (_, _, _gate, setup) = scripted_deployment();
    let predecessor = TcpListener::bind(setup.listen).unwrap();
    let mut director = setup.spawn(&setup.config.to_string(), true);
    wait_for_log(&director, "is still in use, waiting for it");
    assert!(director.is_running());
    drop(predecessor);
    wait_until("it serves", || Client::connect(setup.listen).is_some_and(|mut client| client.ping()));
    assert_eq!(director.log().matches("is still in use").count(), 1, "told once");
}

#[test]
fn sigterm_while_an_address_is_waited_for_ends_the_program_well() {
    let (_, _, _gate, setup) = scripted_deployment();
    let _predecessor = TcpListener::bind(setup.listen).unwrap();
    let mut director = setup.spawn(&setup.config.to_string(), true);
    wait_for_log(&director, "is still in use, waiting for it");
    assert_ends_at_once(&mut director);
}

#[test]
fn sigterm_with_orders_that_nobody_reads_and_marks_unanswered_ends_the_program_well() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let mut director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&gate, 5);
    let mut silent: Vec<Client> = (0..8).map(|id| director.connect_proxy(id, "a")).collect();
    wait_until("all are bound", || director.metric("messages_out_total") >= 8);
    director.send_signal("STOP");
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    director.send_signal("TERM");
    director.send_signal("TERM");
    let begun = Instant::now();
    director.send_signal("CONT");
    assert_eq!(director.wait_for_exit().code(), Some(0));
    assert!(begun.elapsed() < MAX_END_TIME, "{:?}", begun.elapsed());
    assert!(silent.iter_mut().all(Client::is_closed_in_time));
}

// ---- Reload and the calls under way -----------------------------------------------------------------------------

#[test]
fn what_the_old_discovery_had_begun_to_tell_is_kept_when_it_moves() {
    let (ip, hosts, old, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&old, 5).respond(&endpoint_list(5, false, &[]));
    let mut watch = next_watch(&old, 5);
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    let told = ok_response(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    let (first, rest) = told.split_at(told.len() - 9);
    watch.write(first);
    watch.wait_until_read();
    let new = ScriptedServer::start(ip);
    move_discovery_to(&director, &setup, &new);
    let whole = next_list_request(&new);
    assert_eq!(whole.target, "/v1/endpoints", "the old version counts for nothing at the new address");
    // The new one says nothing; the drain is known all the same.
    watch.write(rest);
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    assert_eq!(director.metric("list_late_total"), 1);
    assert_eq!(director.metric("list_failures_total"), 0);
    whole.respond(&endpoint_list(2, true, &[endpoint_in_state(&hosts[0], DRAINING), hosts[1].clone()]));
    next_watch(&new, 2);
}

#[test]
fn an_answer_that_lies_ready_when_discovery_moves_is_kept() {
    let (ip, hosts, old, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&old, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&old, 5);
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    let new = ScriptedServer::start(ip);
    // The director stands still while both arrive: it finds them in the same instant.
    director.send_signal("STOP");
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    move_discovery_to(&director, &setup, &new);
    director.send_signal("CONT");
    let _whole = next_list_request(&new);
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
}

#[test]
fn an_answer_of_the_old_discovery_that_ends_after_the_new_ones_counts_for_nothing() {
    let (ip, hosts, old, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&old, 5).respond(&endpoint_list(5, false, &[]));
    let mut watch = next_watch(&old, 5);
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    let told = ok_response(&endpoint_list(900, false, &[endpoint_in_state(&hosts[1], DRAINING)]));
    watch.write(&told[..told.len() - 9]);
    watch.wait_until_read();
    let new = ScriptedServer::start(ip);
    move_discovery_to(&director, &setup, &new);
    next_list_request(&new).respond(&endpoint_list(2, true, &hosts));
    let next = next_watch(&new, 2);
    wait_until("the old call is dropped", || {
        // Writing into it fails once the director has closed it.
        is_closed(&mut watch)
    });
    next.respond(&endpoint_list(3, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    next_watch(&new, 3);
    assert_eq!(director.metric("list_late_total"), 0);
}

fn is_closed(call: &mut PendingRequest) -> bool {
    call.try_write(b" ").is_err()
}

#[test]
fn back_to_the_first_address_and_to_one_that_never_answers() {
    let (ip, hosts, first, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&first, 5).respond(&endpoint_list(5, false, &[]));
    let _watch = next_watch(&first, 5);
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    let mute = ScriptedServer::start(ip);
    move_discovery_to(&director, &setup, &mute);
    let _never = next_list_request(&mute);
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

fn move_discovery_to(director: &Director, setup: &DirectorSetup, to: &ScriptedServer) {
    let mut config = setup.config.clone();
    config["discovery"] = json!(to.addr.to_string());
    director.rewrite_config(&config.to_string());
    director.send_signal("HUP");
}

// ---- The watch --------------------------------------------------------------------------------------------------

#[test]
fn a_watch_that_dies_anywhere_is_asked_again_and_tables_stay() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    let before = tables.entries.clone();
    for (number, bytes) in invalid_responses(&hosts).iter().enumerate() {
        let mut watch = next_watch(&gate, 5);
        let _ = watch.try_write(bytes);
        match bytes.is_empty() {
            true => watch.reset(),
            false => watch.close(),
        }
        wait_until("it is counted", || director.metric("list_failures_total") == number as u64 + 1);
        // What cannot be read does not spoil the next answer, and the failures in a row stay few.
        next_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    }
    assert!(proxy.ping());
    assert_eq!(tables.entries, before);
    next_watch(&gate, 5).respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    assert!(director.log().lines().all(|line| line.len() < 2000), "no line is long");
}

/// Responses that cannot be read as an endpoint list: cut off, malformed, too long, or with an invalid endpoint.
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
        b"nothing of the kind\r\n\r\n".to_vec(),
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
fn a_watch_that_dies_between_its_answer_and_the_next_call_loses_nothing() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    let watch = next_watch(&gate, 5);
    // The answer and the end of the connection arrive together, before the next call can be made.
    director.send_signal("STOP");
    watch.write_and_close(&ok_response(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)])));
    director.send_signal("CONT");
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    next_watch(&gate, 6);
    assert_eq!(
        director.metric("list_failures_total"),
        0,
        "a connection that is closed between calls is no failure"
    );
}

#[test]
fn a_discovery_that_has_gone_back_is_asked_for_its_whole_list() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    // Set up anew it numbers from the start: what came after 5 it will not tell for a long time.
    next_watch(&gate, 5).respond(&endpoint_list(2, false, &[]));
    let anew = [endpoint_in_state(&hosts[0], DRAINING), hosts[1].clone()];
    let mut asked = 0;
    loop {
        let call = gate.next_request();
        if call.target.contains("after=2") {
            break;
        }
        assert_eq!(call.target, "/v1/endpoints", "nothing is asked about a version that is no more");
        asked += 1;
        assert!(asked < 10);
        call.respond(&endpoint_list(2, true, &anew));
    }
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
}

#[test]
fn a_slow_dial_to_discovery_is_no_failure() {
    let ip = unique_loopback_ip();
    // A backlog of one place, and that is taken: the kernel drops what the director dials, and it dials again after a second.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::new(ip, 0).into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let addr = listener.local_addr().unwrap();
    let _first = std::net::TcpStream::connect(addr).unwrap();
    let hosts = [host(ip, "s-1"), host(ip, "s-2")];
    let mut setup = DirectorSetup::new(ip, addr, json!({"version": 5, "full": true, "servers": hosts}));
    setup.config["settings"]["rules"]["ask_within"] = json!(12_000_000);
    let director = setup.start();
    wait_until("the director dials", || is_being_dialled(addr));
    let gate = ScriptedServer::from_listener(listener);
    next_watch(&gate, 5).respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    let (mut proxy, mut tables) = (director.connect_proxy(0, "a"), ProxyTables::default());
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    assert_eq!(director.metric("list_failures_total"), 0);
}

#[test]
fn a_discovery_that_does_not_wait_is_not_called_without_a_pause() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    for _ in 0..3 {
        let call = next_watch(&gate, 5);
        let answered = Instant::now();
        call.respond(&endpoint_list(5, false, &[]));
        // The call after it is looked at and answered in the next turn; only its coming is timed.
        let next = next_watch(&gate, 5);
        assert!(
            next.received_at - answered >= Duration::from_millis(100),
            "{:?}",
            next.received_at - answered
        );
        next.respond(&endpoint_list(5, false, &[]));
    }
    next_watch(&gate, 5).respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    assert_eq!(director.metric("list_failures_total"), 0);
}

// ---- Streams and places -----------------------------------------------------------------------------------------

#[test]
fn a_stream_opened_earlier_and_heard_later_does_not_replace_the_one_in_use() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&gate, 5);
    let mut early = director.connect();
    assert!(early.ping(), "it is taken in first");
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    early.subscribe(0, "a");
    assert!(early.is_closed_in_time());
    assert_eq!(director.metric("streams_overtaken_total"), 1);
    assert_eq!(director.metric("streams_joined"), 1);
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    assert_eq!(director.metric("streams_left_total"), 0);
}

#[test]
fn a_new_stream_that_crosses_with_the_old_ones_end_stays_in_either_order() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&gate, 5);
    let (mut old, _) = proxy_with_both_hosts(&director);
    let mark = acknowledgement(0, 1, 10.0);
    for old_first in [true, false] {
        director.send_signal("STOP");
        // An answer to a mark, the end of the old stream and the new one's joining lie ready together.
        old.send(&mark);
        let new = if old_first {
            drop(old);
            director.connect_proxy(0, "a")
        } else {
            let new = director.connect_proxy(0, "a");
            drop(old);
            new
        };
        director.send_signal("CONT");
        old = new;
        assert!(is_complete(&old.receive_update()), "it is told its table anew");
        wait_until("the old one is over", || director.metric("streams_joined") == 1);
    }
    let mut tables = ProxyTables::default();
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_until("the drain arrives on the stream in use", || {
        let parts = old.receive_update();
        tables.apply(&parts);
        entries(&parts).iter().any(|entry| entry[0] == "s-1" && entry[1] == 0.0)
    });
}

#[test]
fn a_proxy_that_reads_a_byte_at_a_time_holds_up_nobody_else() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&gate, 5);
    let mut slow = director.connect_proxy(1, "a");
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    let mut drained = false;
    let mut late = ProxyTables::default();
    while !drained {
        late.apply(&slow.receive_update_bytewise());
        drained = late.hosts("order") == ["s-2"];
    }
}

#[test]
fn a_collector_put_out_while_its_frame_is_half_read_costs_that_frame_alone() {
    let (_, _, gate, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let _watch = next_watch(&gate, 5);
    let sums = Client::encode_frame(&load_report_over("a", "s-none", 9, 0, 1.0, 1000.0));
    // A host that nobody listed: each frame that is taken in is counted by its name.
    let taken = || director.metric("messages_invalid_name_total");
    let mut collectors: Vec<Client> = (0..4).map(|_| director.connect_collector("a")).collect();
    collectors.iter_mut().for_each(|collector| assert!(collector.ping()));
    collectors[0].send_bytes(&sums);
    collectors[0].send_bytes(&sums[..sums.len() / 2]);
    wait_until_read(&collectors[0].stream);
    let mut fifth = director.connect_collector("a");
    assert!(fifth.ping());
    assert!(collectors[0].is_closed_in_time(), "the oldest makes room");
    fifth.send_bytes(&sums);
    collectors[3].send_bytes(&sums);
    wait_until("whole frames count", || taken() == 3);
    assert!(collectors[1..].iter_mut().all(Client::ping));
}

#[test]
fn descriptors_that_run_out_in_spite_of_the_limits_cost_strangers_their_places_and_no_proxy() {
    let (_, hosts, gate, setup) = scripted_deployment();
    // The configuration speaks of 1,024: the system gives 48.
    let director = setup.start_with_descriptor_limit(48);
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&gate, 5);
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    let _crowd: Vec<Client> = (0..100).map(|_| director.connect()).collect();
    wait_for_log(&director, "accept failed");
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    // Unidentified connections have a second; those that come after them are served.
    let (mut late, mut table) = (director.connect_proxy(1, "a"), ProxyTables::default());
    wait_for_hosts(&mut late, &mut table, &["s-2"]);
    assert!(proxy.ping());
}

#[test]
fn a_crowd_of_strangers_that_arrives_with_joinings_puts_out_no_proxy() {
    let (_, _, gate, mut setup) = scripted_deployment();
    setup.config["limits"] = json!({"memory_mb": 32, "sockets": 64});
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let _watch = next_watch(&gate, 5);
    // Accepted as strangers that have said nothing: the first to go.
    let mut proxies: Vec<Client> = (0..8).map(|_| director.connect()).collect();
    wait_until("all are taken in", || director.metric("connections_total") >= 8);
    director.send_signal("STOP");
    for (id, proxy) in proxies.iter_mut().enumerate() {
        proxy.subscribe(id as u32, "a");
    }
    let _crowd: Vec<Client> = (0..60).map(|_| director.connect()).collect();
    director.send_signal("CONT");
    for proxy in &mut proxies {
        assert!(is_complete(&proxy.receive_update()));
    }
    assert_eq!(director.metric("streams_joined"), 8);
}

// ---- Hosts ------------------------------------------------------------------------------------------------------

#[test]
fn a_probe_that_answers_after_its_host_was_replaced_counts_for_nothing() {
    let ip = unique_loopback_ip();
    let target = ScriptedServer::start(ip);
    let entry = endpoint("s-1", target.addr, "a");
    let discovery = Discovery::start(ip, vec![entry.clone()]);
    let setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    let director = setup.start();
    let probe = next_health_check(&target);
    let mut again = entry.clone();
    again["started_ms"] = json!(1_700_000_000_123u64);
    discovery.upsert(again);
    wait_for_log(&director, "host started host=s-1");
    probe.respond("{}");
    wait_until("it is dropped", || director.metric("probes_overtaken_total") == 1);
    // The one that bears the name now is asked and heard.
    next_health_check(&target).respond("{}");
    next_health_check(&target);
    assert_eq!(director.metric("probes_overtaken_total"), 1);
}

#[test]
fn a_host_that_drains_twice_dies_and_comes_back_is_out_until_it_is_back() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    let tell = |version: u64, entries: &[Value]| {
        next_watch(&gate, version - 1).respond(&endpoint_list(version, false, entries));
    };
    let leaving = endpoint_in_state(&hosts[0], DRAINING);
    // Drained, drained again and gone, in one answer and in several.
    tell(6, &[leaving.clone(), leaving.clone(), endpoint_in_state(&hosts[0], REMOVED)]);
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    tell(7, &[leaving]);
    tell(8, &[endpoint_in_state(&hosts[0], REMOVED)]);
    // Back under the same id with another start and another address: it is served, cold.
    let mut back = endpoint("s-1", "127.0.0.1:9".parse().unwrap(), "a");
    back["started_ms"] = json!(now_ms());
    tell(9, &[back]);
    wait_for_hosts(&mut proxy, &mut tables, &["s-1", "s-2"]);
    let weights = &tables.entries["order"];
    assert!(weights["s-1"] < weights["s-2"], "a cold host has less: {weights:?}");
}

fn now_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- Floods -----------------------------------------------------------------------------------------------------

#[test]
fn drains_go_on_while_parties_send_without_a_pause() {
    let (_, hosts, gate, setup) = scripted_deployment();
    let director = setup.start();
    first_watch(&gate, 5).respond(&endpoint_list(5, false, &[]));
    let watch = next_watch(&gate, 5);
    let (mut proxy, mut tables) = proxy_with_both_hosts(&director);
    let usage = Client::encode_frame(&usage_report(1, "lookup", 9, 0));
    let wrong = Client::encode_frame(&acknowledgement(1, 77, 1.0));
    let sums = Client::encode_frame(&load_report_over("a", "s-1", 9, 0, 1.0, 1000.0));
    // Each lies in the director's sockets in full before it may go on.
    let mut floods = [director.connect_proxy(1, "a"), director.connect_collector("a")];
    director.send_signal("STOP");
    let burst = [[usage, wrong].concat().repeat(500), sums.repeat(1000)];
    for (client, bytes) in floods.iter_mut().zip(&burst) {
        client.send_bytes(bytes);
    }
    watch.respond(&endpoint_list(6, false, &[endpoint_in_state(&hosts[0], DRAINING)]));
    director.send_signal("CONT");
    wait_for_hosts(&mut proxy, &mut tables, &["s-2"]);
    floods.iter().for_each(|client| wait_until_read(&client.stream));
    wait_until("all is taken in", || director.metric("messages_invalid_mark_total") == 500);
    assert!(floods[1].ping() && proxy.ping());
}
