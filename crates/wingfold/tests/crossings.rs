//! Endings that cross with something still owed, each instant forced: answers are written byte by byte, processes are
//! stopped and let go, files are pipes that nobody writes.

mod common;

use common::scripted_server::{
    is_being_dialled, ok_response, wait_until_read, PendingRequest, ScriptedServer,
};
use common::{endpoint, unique_loopback_ip, until, Client, Director, Discovery, Held, Host, Plan};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::fs::{File, OpenOptions};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// What a planned restart leaves.
const END: Duration = Duration::from_millis(700);

fn host(ip: IpAddr, id: &str) -> Value {
    endpoint(id, Host::start(ip, Some("{}")).addr, "a")
}

fn in_state(entry: &Value, state: &str) -> Value {
    let mut entry = entry.clone();
    entry["state"] = json!(state);
    entry
}

fn list(version: u64, full: bool, servers: &[Value]) -> String {
    json!({"version": version, "full": full, "servers": servers}).to_string()
}

/// Two hosts, a discovery whose every byte the test writes, and a director that remembers them as of version 5.
fn gated() -> (IpAddr, [Value; 2], ScriptedServer, Plan) {
    let ip = unique_loopback_ip();
    let hosts = [host(ip, "s-1"), host(ip, "s-2")];
    let gate = ScriptedServer::start(ip);
    let known = json!({"version": 5, "full": true, "servers": hosts});
    let plan = Plan::new(ip, gate.addr, known);
    (ip, hosts, gate, plan)
}

/// The next call, which is this one.
fn called(gate: &ScriptedServer, page: &str) -> PendingRequest {
    let call = gate.next_request();
    assert!(call.target.starts_with(page), "{} where {page} was expected", call.target);
    call
}

/// A proxy with its table, once that holds both hosts.
fn proxy(director: &Director) -> (Client, Held) {
    let (mut proxy, mut held) = (director.proxy(0, "a"), Held::default());
    while held.hosts("order") != ["s-1", "s-2"] {
        held.apply(&proxy.receive_update());
    }
    (proxy, held)
}

/// Waits until the proxy's table holds these hosts.
fn holds(proxy: &mut Client, held: &mut Held, hosts: &[&str]) {
    while held.hosts("order") != hosts {
        held.apply(&proxy.receive_update());
    }
}

/// A file that hangs whoever reads it.
fn pipe(director_listen: SocketAddr) -> PathBuf {
    let name = format!("pipe-{}-{}", director_listen.ip(), director_listen.port());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    path
}

fn ends_well(director: &mut Director) {
    let begun = Instant::now();
    director.signal("TERM");
    assert_eq!(director.end().code(), Some(0));
    assert!(begun.elapsed() < END, "{:?}", begun.elapsed());
}

fn logged(director: &Director, words: &str) {
    until(words, || director.log().contains(words));
}

// ---- The process ----------------------------------------------------------------------------------------------

#[test]
fn sigterm_while_the_configuration_is_read_ends_the_program_well() {
    let (_, _, _gate, plan) = gated();
    let path = pipe(plan.listen);
    let mut director = Director::spawn(plan.listen, Some(path.clone()), &[], true);
    let _hangs = being_read(&path);
    ends_well(&mut director);
    logged(&director, "asked to end");
}

#[test]
fn a_reload_whose_file_hangs_holds_up_neither_drains_nor_the_end() {
    let (_, hosts, gate, plan) = gated();
    let mut director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let watch = called(&gate, "/v1/endpoints?after=5");
    let (mut proxy, mut held) = proxy(&director);
    let path = pipe(plan.listen);
    let config = director.replace_config(&path);
    director.signal("HUP");
    let _hangs = being_read(&config);
    watch.respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    holds(&mut proxy, &mut held, &["s-2"]);
    // A file that is in order again is read at the next signal, though the first reading still hangs.
    let mut config = plan.config.clone();
    config["name"] = json!("n9");
    director.rewrite(&config.to_string());
    director.signal("HUP");
    logged(&director, "reload: key `name` has changed");
    ends_well(&mut director);
}

/// Waits until someone reads the pipe; as long as what this gives is kept, and writes nothing, the reading hangs.
fn being_read(pipe: &Path) -> File {
    const O_NONBLOCK: i32 = 0o4000;
    let mut writer = None;
    until("the file is being read", || {
        // Without a reader this fails at once.
        writer = OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(pipe).ok();
        writer.is_some()
    });
    writer.unwrap()
}

#[test]
fn an_address_that_the_predecessor_still_holds_is_waited_for() {
    let (_, _, _gate, plan) = gated();
    let predecessor = TcpListener::bind(plan.listen).unwrap();
    let mut director = plan.launch(&plan.config.to_string(), true);
    logged(&director, "is still in use, waiting for it");
    assert!(director.is_up());
    drop(predecessor);
    until("it serves", || Client::connect(plan.listen).is_some_and(|mut client| client.ping()));
    assert_eq!(director.log().matches("is still in use").count(), 1, "told once");
}

#[test]
fn sigterm_while_an_address_is_waited_for_ends_the_program_well() {
    let (_, _, _gate, plan) = gated();
    let _predecessor = TcpListener::bind(plan.listen).unwrap();
    let mut director = plan.launch(&plan.config.to_string(), true);
    logged(&director, "is still in use, waiting for it");
    ends_well(&mut director);
}

#[test]
fn sigterm_with_orders_that_nobody_reads_and_marks_unanswered_ends_the_program_well() {
    let (_, hosts, gate, plan) = gated();
    let mut director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let watch = called(&gate, "/v1/endpoints?after=5");
    let mut silent: Vec<Client> = (0..8).map(|id| director.proxy(id, "a")).collect();
    until("all are bound", || director.figure("messages_out_total") >= 8);
    director.signal("STOP");
    watch.respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    director.signal("TERM");
    director.signal("TERM");
    let begun = Instant::now();
    director.signal("CONT");
    assert_eq!(director.end().code(), Some(0));
    assert!(begun.elapsed() < END, "{:?}", begun.elapsed());
    assert!(silent.iter_mut().all(Client::is_closed_in_time));
}

// ---- Reload and the calls under way -----------------------------------------------------------------------------

#[test]
fn what_the_old_discovery_had_begun_to_tell_is_kept_when_it_moves() {
    let (ip, hosts, old, plan) = gated();
    let director = plan.start();
    called(&old, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let mut watch = called(&old, "/v1/endpoints?after=5");
    let (mut proxy, mut held) = proxy(&director);
    let told = ok_response(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    let (first, rest) = told.split_at(told.len() - 9);
    watch.write(first);
    watch.wait_until_read();
    let new = ScriptedServer::start(ip);
    move_to(&director, &plan, &new);
    let whole = called(&new, "/v1/endpoints");
    assert_eq!(whole.target, "/v1/endpoints", "the old version counts for nothing at the new address");
    // The new one says nothing; the drain is known all the same.
    watch.write(rest);
    holds(&mut proxy, &mut held, &["s-2"]);
    assert_eq!(director.figure("list_late_total"), 1);
    assert_eq!(director.figure("list_failures_total"), 0);
    whole.respond(&list(2, true, &[in_state(&hosts[0], "leaving"), hosts[1].clone()]));
    called(&new, "/v1/endpoints?after=2");
}

#[test]
fn an_answer_that_lies_ready_when_discovery_moves_is_kept() {
    let (ip, hosts, old, plan) = gated();
    let director = plan.start();
    called(&old, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let watch = called(&old, "/v1/endpoints?after=5");
    let (mut proxy, mut held) = proxy(&director);
    let new = ScriptedServer::start(ip);
    // The director stands still while both arrive: it finds them in the same instant.
    director.signal("STOP");
    watch.respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    move_to(&director, &plan, &new);
    director.signal("CONT");
    let _whole = called(&new, "/v1/endpoints");
    holds(&mut proxy, &mut held, &["s-2"]);
}

#[test]
fn an_answer_of_the_old_discovery_that_ends_after_the_new_ones_counts_for_nothing() {
    let (ip, hosts, old, plan) = gated();
    let director = plan.start();
    called(&old, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let mut watch = called(&old, "/v1/endpoints?after=5");
    let (mut proxy, mut held) = proxy(&director);
    let told = ok_response(&list(900, false, &[in_state(&hosts[1], "leaving")]));
    watch.write(&told[..told.len() - 9]);
    watch.wait_until_read();
    let new = ScriptedServer::start(ip);
    move_to(&director, &plan, &new);
    called(&new, "/v1/endpoints").respond(&list(2, true, &hosts));
    let next = called(&new, "/v1/endpoints?after=2");
    until("the old call is dropped", || {
        // Writing into it fails once the director has closed it.
        is_closed(&mut watch)
    });
    next.respond(&list(3, false, &[in_state(&hosts[0], "leaving")]));
    holds(&mut proxy, &mut held, &["s-2"]);
    called(&new, "/v1/endpoints?after=3");
    assert_eq!(director.figure("list_late_total"), 0);
}

fn is_closed(call: &mut PendingRequest) -> bool {
    call.try_write(b" ").is_err()
}

#[test]
fn back_to_the_first_address_and_to_one_that_never_answers() {
    let (ip, hosts, first, plan) = gated();
    let director = plan.start();
    called(&first, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let _watch = called(&first, "/v1/endpoints?after=5");
    let (mut proxy, mut held) = proxy(&director);
    let mute = ScriptedServer::start(ip);
    move_to(&director, &plan, &mute);
    let _never = called(&mute, "/v1/endpoints");
    director.rewrite(&plan.config.to_string());
    director.signal("HUP");
    called(&first, "/v1/endpoints").respond(&list(
        7,
        true,
        &[in_state(&hosts[0], "leaving"), hosts[1].clone()],
    ));
    holds(&mut proxy, &mut held, &["s-2"]);
    called(&first, "/v1/endpoints?after=7");
    assert_eq!(director.figure("list_moves_total"), 2);
    assert_eq!(director.figure("list_failures_total"), 0);
}

fn move_to(director: &Director, plan: &Plan, to: &ScriptedServer) {
    let mut config = plan.config.clone();
    config["discovery"] = json!(to.addr.to_string());
    director.rewrite(&config.to_string());
    director.signal("HUP");
}

// ---- The watch --------------------------------------------------------------------------------------------------

#[test]
fn a_watch_that_dies_anywhere_is_asked_again_and_tables_stay() {
    let (_, hosts, gate, plan) = gated();
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let (mut proxy, mut held) = proxy(&director);
    let before = held.lines.clone();
    let whole = ok_response(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    let head = whole.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4;
    let wrong_length = b"HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n{}".to_vec();
    let endless_head = [b"HTTP/1.1 200 OK\r\n".to_vec(), b"x: y\r\n".repeat(200_000)].concat();
    let huge = ok_response(&format!("{{\"version\":7,\"x\":\"{}\"}}", "x".repeat(40 << 20)));
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nff\r\n{\"version\":6".to_vec();
    let status = b"HTTP/1.1 302 Found\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n".to_vec();
    let no_list = ok_response("[]");
    let strings = ok_response(r#"{"version":"6","full":"no","servers":{}}"#);
    let weight = ok_response(&list(6, false, &[with(&hosts[0], "weight", json!(-3.0))]));
    let start = ok_response(&list(6, false, &[with(&hosts[0], "started_ms", json!(1e300))]));
    let name = ok_response(&list(6, false, &[with(&hosts[0], "id", json!("x".repeat(5000)))]));
    let invalid: [&[u8]; 15] = [
        b"",
        &whole[..7],
        &whole[..head - 2],
        &whole[..head],
        &whole[..whole.len() - 1],
        b"nothing of the kind\r\n\r\n",
        &wrong_length,
        &endless_head,
        &huge,
        &chunked,
        &status,
        &no_list,
        &strings,
        &weight,
        &start,
    ];
    let invalid = invalid.into_iter().chain([&name[..]]);
    for (number, bytes) in invalid.enumerate() {
        let mut watch = called(&gate, "/v1/endpoints?after=5");
        let _ = watch.try_write(bytes);
        match bytes.is_empty() {
            true => watch.reset(),
            false => watch.close(),
        }
        until("it is counted", || director.figure("list_failures_total") == number as u64 + 1);
        // What cannot be read does not spoil the next answer, and the failures in a row stay few.
        called(&gate, "/v1/endpoints?after=5").respond(&list(5, false, &[]));
    }
    assert!(proxy.ping());
    assert_eq!(held.lines, before);
    called(&gate, "/v1/endpoints?after=5").respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    holds(&mut proxy, &mut held, &["s-2"]);
    assert!(director.log().lines().all(|line| line.len() < 2000), "no line is long");
}

fn with(entry: &Value, field: &str, value: Value) -> Value {
    let mut entry = entry.clone();
    entry[field] = value;
    entry
}

#[test]
fn a_watch_that_dies_between_its_answer_and_the_next_call_loses_nothing() {
    let (_, hosts, gate, plan) = gated();
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let (mut proxy, mut held) = proxy(&director);
    let watch = called(&gate, "/v1/endpoints?after=5");
    // The answer and the end of the connection arrive together, before the next call can be made.
    director.signal("STOP");
    watch.write_and_close(&ok_response(&list(6, false, &[in_state(&hosts[0], "leaving")])));
    director.signal("CONT");
    holds(&mut proxy, &mut held, &["s-2"]);
    called(&gate, "/v1/endpoints?after=6");
    assert_eq!(
        director.figure("list_failures_total"),
        0,
        "a connection that is closed between calls is no failure"
    );
}

#[test]
fn a_discovery_that_has_gone_back_is_asked_for_its_whole_list() {
    let (_, hosts, gate, plan) = gated();
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let (mut proxy, mut held) = proxy(&director);
    // Set up anew it numbers from the start: what came after 5 it will not tell for a long time.
    called(&gate, "/v1/endpoints?after=5").respond(&list(2, false, &[]));
    let anew = [in_state(&hosts[0], "leaving"), hosts[1].clone()];
    let mut asked = 0;
    loop {
        let call = gate.next_request();
        if call.target.contains("after=2") {
            break;
        }
        assert_eq!(call.target, "/v1/endpoints", "nothing is asked about a version that is no more");
        asked += 1;
        assert!(asked < 10);
        call.respond(&list(2, true, &anew));
    }
    holds(&mut proxy, &mut held, &["s-2"]);
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
    let mut plan = Plan::new(ip, addr, json!({"version": 5, "full": true, "servers": hosts}));
    plan.config["settings"]["rules"]["ask_within"] = json!(12_000_000);
    let director = plan.start();
    until("the director dials", || is_being_dialled(addr));
    let gate = ScriptedServer::from_listener(listener);
    called(&gate, "/v1/endpoints?after=5").respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    let (mut proxy, mut held) = (director.proxy(0, "a"), Held::default());
    holds(&mut proxy, &mut held, &["s-2"]);
    assert_eq!(director.figure("list_failures_total"), 0);
}

#[test]
fn a_discovery_that_does_not_wait_is_not_called_without_a_pause() {
    let (_, hosts, gate, plan) = gated();
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let (mut proxy, mut held) = proxy(&director);
    for _ in 0..3 {
        let call = called(&gate, "/v1/endpoints?after=5");
        let answered = Instant::now();
        call.respond(&list(5, false, &[]));
        // The call after it is looked at and answered in the next turn; only its coming is timed.
        let next = called(&gate, "/v1/endpoints?after=5");
        assert!(
            next.received_at - answered >= Duration::from_millis(100),
            "{:?}",
            next.received_at - answered
        );
        next.respond(&list(5, false, &[]));
    }
    called(&gate, "/v1/endpoints?after=5").respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    holds(&mut proxy, &mut held, &["s-2"]);
    assert_eq!(director.figure("list_failures_total"), 0);
}

// ---- Streams and places -----------------------------------------------------------------------------------------

#[test]
fn a_stream_opened_earlier_and_heard_later_does_not_replace_the_one_in_use() {
    let (_, hosts, gate, plan) = gated();
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let watch = called(&gate, "/v1/endpoints?after=5");
    let mut early = director.connect();
    assert!(early.ping(), "it is taken in first");
    let (mut proxy, mut held) = proxy(&director);
    early.subscribe(0, "a");
    assert!(early.is_closed_in_time());
    assert_eq!(director.figure("streams_overtaken_total"), 1);
    assert_eq!(director.figure("streams_joined"), 1);
    watch.respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    holds(&mut proxy, &mut held, &["s-2"]);
    assert_eq!(director.figure("streams_left_total"), 0);
}

#[test]
fn a_new_stream_that_crosses_with_the_old_ones_end_stays_in_either_order() {
    let (_, hosts, gate, plan) = gated();
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let watch = called(&gate, "/v1/endpoints?after=5");
    let (mut old, _) = proxy(&director);
    let mark = json!({"type": "ACK", "id": 0, "seq": 1, "ms": 10.0});
    for old_first in [true, false] {
        director.signal("STOP");
        // An answer to a mark, the end of the old stream and the new one's joining lie ready together.
        old.send(&mark);
        let new = if old_first {
            drop(old);
            director.proxy(0, "a")
        } else {
            let new = director.proxy(0, "a");
            drop(old);
            new
        };
        director.signal("CONT");
        old = new;
        assert_eq!(old.receive_update()[0]["whole"], true, "it is told its table anew");
        until("the old one is over", || director.figure("streams_joined") == 1);
    }
    let mut held = Held::default();
    watch.respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    let gone = |parts: &[Value]| {
        parts
            .iter()
            .flat_map(|part| part["lines"].as_array().into_iter().flatten().cloned())
            .collect::<Vec<_>>()
    };
    until("the drain arrives on the stream in use", || {
        let parts = old.receive_update();
        held.apply(&parts);
        gone(&parts).iter().any(|line| line[0] == "s-1" && line[1] == 0.0)
    });
}

#[test]
fn a_proxy_that_reads_a_byte_at_a_time_holds_up_nobody_else() {
    let (_, hosts, gate, plan) = gated();
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let watch = called(&gate, "/v1/endpoints?after=5");
    let mut slow = director.proxy(1, "a");
    let (mut proxy, mut held) = proxy(&director);
    watch.respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    holds(&mut proxy, &mut held, &["s-2"]);
    let mut drained = false;
    let mut late = Held::default();
    while !drained {
        late.apply(&slow.receive_update_bytewise());
        drained = late.hosts("order") == ["s-2"];
    }
}

#[test]
fn a_collector_put_out_while_its_frame_is_half_read_costs_that_frame_alone() {
    let (_, _, gate, plan) = gated();
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let _watch = called(&gate, "/v1/endpoints?after=5");
    let sums = Client::encode_frame(
        &json!({"type": "LOAD", "site": "a", "target": "s-none", "count": 9, "fail": 0, "mean": 1.0,
        "over": 1000.0}),
    );
    // A host that nobody listed: each frame that is taken in is counted by its name.
    let taken = || director.figure("messages_invalid_name_total");
    let mut collectors: Vec<Client> = (0..4).map(|_| director.collector("a")).collect();
    collectors.iter_mut().for_each(|collector| assert!(collector.ping()));
    collectors[0].send_bytes(&sums);
    collectors[0].send_bytes(&sums[..sums.len() / 2]);
    wait_until_read(&collectors[0].stream);
    let mut fifth = director.collector("a");
    assert!(fifth.ping());
    assert!(collectors[0].is_closed_in_time(), "the oldest makes room");
    fifth.send_bytes(&sums);
    collectors[3].send_bytes(&sums);
    until("whole frames count", || taken() == 3);
    assert!(collectors[1..].iter_mut().all(Client::ping));
}

#[test]
fn descriptors_that_run_out_in_spite_of_the_limits_cost_strangers_their_places_and_no_proxy() {
    let (_, hosts, gate, plan) = gated();
    // The configuration speaks of 1,024: the system gives 48.
    let director = plan.start_with_descriptors(48);
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let watch = called(&gate, "/v1/endpoints?after=5");
    let (mut proxy, mut held) = proxy(&director);
    let _crowd: Vec<Client> = (0..100).map(|_| director.connect()).collect();
    logged(&director, "accept failed");
    watch.respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    holds(&mut proxy, &mut held, &["s-2"]);
    // Unidentified connections have a second; those that come after them are served.
    let (mut late, mut table) = (director.proxy(1, "a"), Held::default());
    holds(&mut late, &mut table, &["s-2"]);
    assert!(proxy.ping());
}

#[test]
fn a_crowd_of_strangers_that_arrives_with_joinings_puts_out_no_proxy() {
    let (_, _, gate, mut plan) = gated();
    plan.config["limits"] = json!({"memory_mb": 32, "sockets": 64});
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let _watch = called(&gate, "/v1/endpoints?after=5");
    // Accepted as strangers that have said nothing: the first to go.
    let mut proxies: Vec<Client> = (0..8).map(|_| director.connect()).collect();
    until("all are taken in", || director.figure("connections_total") >= 8);
    director.signal("STOP");
    for (id, proxy) in proxies.iter_mut().enumerate() {
        proxy.subscribe(id as u32, "a");
    }
    let _crowd: Vec<Client> = (0..60).map(|_| director.connect()).collect();
    director.signal("CONT");
    for proxy in &mut proxies {
        assert_eq!(proxy.receive_update()[0]["whole"], true);
    }
    assert_eq!(director.figure("streams_joined"), 8);
}

// ---- Hosts ------------------------------------------------------------------------------------------------------

#[test]
fn a_probe_that_answers_after_its_host_was_replaced_counts_for_nothing() {
    let ip = unique_loopback_ip();
    let target = ScriptedServer::start(ip);
    let entry = endpoint("s-1", target.addr, "a");
    let discovery = Discovery::start(ip, vec![entry.clone()]);
    let plan = Plan::new(ip, discovery.addr, discovery.known_list());
    let director = plan.start();
    let probe = called(&target, "/status/load");
    let mut again = entry.clone();
    again["started_ms"] = json!(1_700_000_000_123u64);
    discovery.upsert(again);
    logged(&director, "host started host=s-1");
    probe.respond("{}");
    until("it is dropped", || director.figure("probes_overtaken_total") == 1);
    // The one that bears the name now is asked and heard.
    called(&target, "/status/load").respond("{}");
    called(&target, "/status/load");
    assert_eq!(director.figure("probes_overtaken_total"), 1);
}

#[test]
fn a_host_that_drains_twice_dies_and_comes_back_is_out_until_it_is_back() {
    let (_, hosts, gate, plan) = gated();
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let (mut proxy, mut held) = proxy(&director);
    let tell = |version: u64, entries: &[Value]| {
        called(&gate, &format!("/v1/endpoints?after={}", version - 1))
            .respond(&list(version, false, entries));
    };
    let leaving = in_state(&hosts[0], "leaving");
    // Drained, drained again and gone, in one answer and in several.
    tell(6, &[leaving.clone(), leaving.clone(), in_state(&hosts[0], "left")]);
    holds(&mut proxy, &mut held, &["s-2"]);
    tell(7, &[leaving]);
    tell(8, &[in_state(&hosts[0], "left")]);
    // Back under the same id with another start and another address: it is served, cold.
    let mut back = endpoint("s-1", "127.0.0.1:9".parse().unwrap(), "a");
    back["started_ms"] = json!(now_ms());
    tell(9, &[back]);
    holds(&mut proxy, &mut held, &["s-1", "s-2"]);
    let weights = &held.lines["order"];
    assert!(weights["s-1"] < weights["s-2"], "a cold host has less: {weights:?}");
}

fn now_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- Floods -----------------------------------------------------------------------------------------------------

#[test]
fn drains_go_on_while_parties_send_without_a_pause() {
    let (_, hosts, gate, plan) = gated();
    let director = plan.start();
    called(&gate, "/v1/endpoints?after=5&wait_ms=0").respond(&list(5, false, &[]));
    let watch = called(&gate, "/v1/endpoints?after=5");
    let (mut proxy, mut held) = proxy(&director);
    let usage = Client::encode_frame(
        &json!({"type": "RATE", "id": 1, "lane": "lookup", "count": 9, "fail": 0, "over": 1000.0}),
    );
    let wrong = Client::encode_frame(&json!({"type": "ACK", "id": 1, "seq": 77, "ms": 1.0}));
    let sums = Client::encode_frame(
        &json!({"type": "LOAD", "site": "a", "target": "s-1", "count": 9, "fail": 0, "mean": 1.0,
        "over": 1000.0}),
    );
    // Each lies in the director's sockets in full before it may go on.
    let mut floods = [director.proxy(1, "a"), director.collector("a")];
    director.signal("STOP");
    let burst = [[usage, wrong].concat().repeat(500), sums.repeat(1000)];
    for (client, bytes) in floods.iter_mut().zip(&burst) {
        client.send_bytes(bytes);
    }
    watch.respond(&list(6, false, &[in_state(&hosts[0], "leaving")]));
    director.signal("CONT");
    holds(&mut proxy, &mut held, &["s-2"]);
    floods.iter().for_each(|client| wait_until_read(&client.stream));
    until("all is taken in", || director.figure("messages_invalid_mark_total") == 500);
    assert!(floods[1].ping() && proxy.ping());
}
