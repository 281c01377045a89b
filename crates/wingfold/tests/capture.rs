//! The program with a capture: replays of what it served, kills and restarts, dumps from memory, two directors in one
//! folder, and what the commands say and exit with.

mod common;

use common::messages::{load_report, DRAINING};
use common::{
    printed, three_host_deployment, wait_until, wingfold, Client, Director, DirectorSetup, Discovery,
};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};

/// A directory of this test's own.
fn test_directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Starts the program with own settings.
fn start(setup: &DirectorSetup, directory: &Path, own: &str) -> Director {
    let path = directory.join("own.hcl");
    std::fs::write(&path, own).unwrap();
    setup.start_with_variables(&setup.config.to_string(), &[("WINGFOLD_OWN", path.display().to_string())])
}

/// Lets a director hear some sums: s-2 answers nothing.
fn some_traffic(director: &Director, collector: &mut Client) {
    for _ in 0..3 {
        let before = director.metric("answers_total");
        for (target, fail) in [("s-1", 0), ("s-2", 9), ("s-3", 0)] {
            collector.send(&load_report("a", target, 9, fail));
        }
        wait_until("it has answered", || director.metric("answers_total") > before + 2);
    }
}

#[test]
fn a_directors_day_replays_over_a_reload_a_restart_and_a_kill() {
    let directory = test_directory("day");
    let (discovery, setup) = three_host_deployment();
    let own = format!(
        "log {{\n  form = \"json\"\n}}\ncapture {{\n  enabled = true\n  directory = \"{}\"\n  flush = \"50ms\"\n}}\n",
        directory.join("captures").display()
    );
    let capture = directory.join("captures").display().to_string();

    let first = start(&setup, &directory, &own);
    let drain_call = serve_a_reload_and_a_drain(first, &discovery);
    let report = assert_complete_and_equal(&capture);
    assert!(report["calls"].as_u64().unwrap() >= drain_call, "{report}");
    assert_ejection_is_explained(&capture);

    let second = start(&setup, &directory, &own);
    serve_until_killed(second);
    let report_of_both = assert_killed_and_equal(&capture);
    assert!(report_of_both["calls"].as_u64() > report["calls"].as_u64());

    assert_can_be_kept_as_a_case(&capture, &directory.join("cases"));
    std::fs::remove_dir_all(directory).unwrap();
}

/// Lets a director serve a reload and a drain, and ends it: the number of the call that drained the host.
fn serve_a_reload_and_a_drain(mut director: Director, discovery: &Discovery) -> u64 {
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    some_traffic(&director, &mut collector);
    director.send_signal("HUP");
    wait_until("the reload is told", || director.log().contains("reload: configuration applied"));
    discovery.set_host_state("s-3", DRAINING);
    wait_until("the decision is in the log", || director.log().contains("host draining host=s-3"));
    let line =
        director.log().lines().find(|line| line.contains("host draining host=s-3")).unwrap().to_string();
    let line: Value = serde_json::from_str(&line).expect("each line is a JSON object");
    let call = line["call"].as_u64().expect("a decision's line bears the number of its call");
    director.send_signal("TERM");
    assert_eq!(director.wait_for_exit().code(), Some(0));
    call
}

/// Checks that a capture ended well, is complete and replays equal: the report of the replay.
fn assert_complete_and_equal(capture: &str) -> Value {
    let checked = wingfold(&["capture", "check", capture]);
    assert_eq!(checked.status.code(), Some(0), "{}", printed(&checked));
    assert_replays_equal(capture)
}

fn assert_replays_equal(capture: &str) -> Value {
    let replayed = wingfold(&["replay", capture, "--json"]);
    assert_eq!(replayed.status.code(), Some(0), "{}", printed(&replayed));
    let report: Value = serde_json::from_slice(&replayed.stdout).unwrap();
    assert!(report["differences"] == 0, "{report}");
    report
}

/// Checks that a capture explains why s-2 is ejected and that s-3 drains.
fn assert_ejection_is_explained(capture: &str) {
    let explained = wingfold(&["explain", capture, "--host", "s-2", "--zone", "a"]);
    assert_eq!(explained.status.code(), Some(0), "{}", printed(&explained));
    let text = printed(&explained);
    for part in [
        "s-2 of a",
        "out until",
        "what moved it:",
        "it noted: host ejected host=s-2 zone=a",
        "a heard of s-2: 9 tries, 9 lost",
        "in no table",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    let explained = wingfold(&["explain", capture, "--host", "s-3", "--json"]);
    let answer: Value = serde_json::from_slice(&explained.stdout).unwrap();
    assert_eq!(answer["hosts"][0]["view"]["standing"], "leaving");
}

/// Lets a director serve and kills it.
fn serve_until_killed(mut director: Director) {
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    some_traffic(&director, &mut collector);
    wait_until("calls are written", || director.metric("capture_bytes_total") > 2000);
    director.send_signal("KILL");
    director.wait_for_exit();
}

/// Checks that a capture shows that its director was killed, and replays equal: the report of the replay.
fn assert_killed_and_equal(capture: &str) -> Value {
    let checked = wingfold(&["capture", "check", capture]);
    assert_eq!(checked.status.code(), Some(1), "{}", printed(&checked));
    assert!(printed(&checked).contains("not ended: its director was killed"), "{}", printed(&checked));
    assert_replays_equal(capture)
}

/// Checks that a capture can be kept as a case, which then holds, and holds after it was accepted.
fn assert_can_be_kept_as_a_case(capture: &str, cases: &Path) {
    let cases = cases.display().to_string();
    let keep = ["capture", "keep", capture, "--name", "a-day", "--into", &cases];
    let kept = wingfold(&keep);
    assert_eq!(kept.status.code(), Some(0), "{}", printed(&kept));
    assert_eq!(wingfold(&keep).status.code(), Some(2), "a case is not written over");
    let tested = wingfold(&["capture", "test", &cases]);
    assert_eq!(tested.status.code(), Some(0), "{}", printed(&tested));
    let accepted = wingfold(&["capture", "accept", &format!("{cases}/a-day")]);
    assert_eq!(accepted.status.code(), Some(0), "{}", printed(&accepted));
    assert_eq!(wingfold(&["capture", "test", &cases]).status.code(), Some(0));
}

fn post(director: &Director, token: Option<&str>) -> String {
    let mut connection = TcpStream::connect(director.listen).unwrap();
    let token = token.map_or(String::new(), |token| format!("authorization: Bearer {token}\r\n"));
    let head = format!(
        "POST /capture/dump HTTP/1.1\r\nhost: d\r\n{token}content-length: 0\r\nconnection: close\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    connection.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn a_capture_in_memory_is_written_out_for_those_who_know_the_token() {
    let directory = test_directory("dump");
    let (_discovery, setup) = three_host_deployment();
    let token = "a word that nobody guesses";
    let own = format!(
        "capture {{\n  enabled = true\n  memory_mb = 2\n  flush = \"50ms\"\n  dump_directory = \"{}\"\n  dump_token = \"{token}\"\n}}\n",
        directory.join("dumps").display()
    );
    let director = start(&setup, &directory, &own);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    some_traffic(&director, &mut collector);
    for wrong in [
        None,
        Some(""),
        Some("a word that nobody guesse"),
        Some("a word that nobody guessez"),
        Some("Bearer"),
    ] {
        let answer = post(&director, wrong);
        assert!(answer.starts_with("HTTP/1.1 401"), "{wrong:?}: {answer}");
    }
    assert!(!directory.join("dumps").exists(), "strangers cause nothing");
    let answer = post(&director, Some(token));
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
    wait_until("it is written", || director.metric("capture_dumps_total") == 1);
    let answer = post(&director, Some(token));
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    let replayed = wingfold(&["replay", &directory.join("dumps").display().to_string()]);
    assert_eq!(replayed.status.code(), Some(0), "{}", printed(&replayed));
    assert!(director.http_get("/healthz").contains("200 OK"));
    // Where nobody may ask there is no such page.
    let (_discovery, other) = three_host_deployment();
    let director = start(&other, &directory, "capture {\n  enabled = true\n  memory_mb = 2\n}\n");
    assert!(post(&director, Some(token)).starts_with("HTTP/1.1 404"));
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn of_two_directors_with_one_name_and_folder_the_second_serves_without_a_capture() {
    let directory = test_directory("two");
    let own = format!(
        "capture {{\n  enabled = true\n  directory = \"{}\"\n}}\n",
        directory.join("captures").display()
    );
    let (_one, first) = three_host_deployment();
    let (_other, second) = three_host_deployment();
    let first = start(&first, &directory, &own);
    let _proxy = first.connect_proxy_with_tables(0, "a");
    let second = start(&second, &directory, &own);
    wait_until("the second says why", || second.log().contains("is written by another director"));
    let mut proxy = second.connect_proxy_with_tables(0, "a");
    assert!(proxy.ping(), "it serves");
    assert!(second.metric("capture_failures_total") <= second.metric("answers_total"));
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn a_disk_that_cannot_be_written_to_holds_no_director_up() {
    let directory = test_directory("bad-disk");
    // A file stands where the folder should be.
    std::fs::write(directory.join("captures"), "in the way").unwrap();
    let own = format!(
        "capture {{\n  enabled = true\n  directory = \"{}\"\n}}\n",
        directory.join("captures").display()
    );
    let (_discovery, setup) = three_host_deployment();
    let mut director = start(&setup, &directory, &own);
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    wait_until("it says so", || director.log().contains("capture: cannot begin"));
    assert!(proxy.ping());
    director.send_signal("TERM");
    assert_eq!(director.wait_for_exit().code(), Some(0));
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn own_settings_that_are_wrong_are_told_all_at_once_and_start_nothing() {
    let directory = test_directory("own");
    let path = directory.join("own.hcl");
    std::fs::write(&path, "log {\n  form = \"xml\"\n}\ncapture {\n  enabled = true\n  memori_mb = 3\n}\n")
        .unwrap();
    let path = path.display().to_string();
    for arguments in [&["settings", "check", &path][..], &["serve", "--own", &path]] {
        let output = wingfold(arguments);
        let text = printed(&output);
        assert!(!output.status.success());
        for part in [
            "own.hcl:2:3: key `log.form`",
            "own.hcl:6:3: key `capture.memori_mb`: is not known; did you mean `memory_mb`?",
            "own.hcl:4:1: key `capture`: needs `directory`",
        ] {
            assert!(text.contains(part), "{part}: {text}");
        }
    }
    assert!(printed(&wingfold(&["serve", "--own", "no-such-file.hcl"])).contains("no-such-file.hcl"));
    // More memory than half of what there is.
    let (_discovery, setup) = three_host_deployment();
    let own = "capture {\n  enabled = true\n  memory_mb = 4000\n}\n";
    std::fs::write(directory.join("large.hcl"), own).unwrap();
    let vars = [("WINGFOLD_OWN", directory.join("large.hcl").display().to_string())];
    let config = directory.join("config.json");
    std::fs::write(&config, setup.config.to_string()).unwrap();
    let mut director = Director::spawn(
        setup.listen,
        None,
        &[vars[0].clone(), ("GW_CONFIG", config.display().to_string())],
        true,
    );
    assert!(!director.wait_for_exit().success());
    wait_until("it has said why", || {
        director.log().contains("key `capture`: the capture and the sinks need")
    });
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn commands_tell_by_their_exit_codes_what_came_of_them() {
    let directory = test_directory("codes");
    let nothing = directory.join("nothing").display().to_string();
    let garbage = directory.join("garbage.wfcap");
    std::fs::write(&garbage, vec![7; 4000]).unwrap();
    let garbage = garbage.display().to_string();
    let kept = concat!(env!("CARGO_MANIFEST_DIR"), "/../../captures/overload/capture.wfcap");
    for (arguments, code, part) in [
        (vec!["replay", &nothing], 2, "nothing"),
        (vec!["replay", &garbage], 2, "no call could be replayed"),
        (vec!["capture", "check", &garbage], 1, "no sound head"),
        (vec!["replay", kept], 0, "equal: every answer, every table, every state"),
        (vec!["replay", kept, "--from", "+10s", "--until", "+20s"], 0, "equal"),
        (vec!["replay", kept, "--from", "soon"], 2, "is no time"),
        (vec!["explain", kept, "--host", "nobody"], 2, "no host `nobody`"),
        (vec!["explain", kept, "--class", "video"], 2, "here are score, verdict"),
        (vec!["explain", kept, "--proxy", "999"], 2, "not joined"),
        (vec!["explain", kept, "--at", "+25s", "--proxy", "0", "--class", "verdict"], 0, "levels: verdict 1"),
        (vec!["emulate", "check", "no-such.hcl"], 2, "no-such.hcl"),
        (vec!["--help"], 0, "Examples:"),
        (vec!["completions", "bash"], 0, "_wingfold"),
        (vec!["fly"], 2, "unrecognized subcommand"),
    ] {
        let output = wingfold(&arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {}", printed(&output));
        assert!(printed(&output).contains(part), "{arguments:?}: {}", printed(&output));
    }
    std::fs::remove_dir_all(directory).unwrap();
}
