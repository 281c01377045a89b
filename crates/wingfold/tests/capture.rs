//! Captures of the running program: replay after a reload, a restart and a kill, dumps from memory, two
//! directors with one directory, an unwritable disk, and the output and exit codes of the commands.

mod common;

use common::messages::{load_report, DRAINING};
use common::{
    output_text, run_wingfold, three_host_deployment, wait_until, Client, Director, DirectorSetup, Discovery,
};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};

/// An empty directory for one test.
fn test_directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Starts the program with these local settings.
fn start(setup: &DirectorSetup, directory: &Path, local_settings: &str) -> Director {
    let path = directory.join("own.hcl");
    std::fs::write(&path, local_settings).unwrap();
    setup.start_with_environment(&setup.config.to_string(), &[("WINGFOLD_OWN", path.display().to_string())])
}

/// Sends load reports in which every attempt at s-2 failed, so that s-2 is ejected.
fn report_failing_host(director: &Director, collector: &mut Client) {
    for _ in 0..3 {
        let answers_before = director.metric("answers_total");
        for (target, fail) in [("s-1", 0), ("s-2", 9), ("s-3", 0)] {
            collector.send(&load_report("a", target, 9, fail));
        }
        wait_until("the load reports are processed", || {
            director.metric("answers_total") > answers_before + 2
        });
    }
}

#[test]
fn capture_replays_equal_after_reload_restart_and_kill() {
    let directory = test_directory("replay");
    let (discovery, setup) = three_host_deployment();
    let local_settings = format!(
        "log {{\n  form = \"json\"\n}}\n\
         capture {{\n  enabled = true\n  directory = \"{}\"\n  flush = \"50ms\"\n}}\n",
        directory.join("captures").display()
    );
    let capture = directory.join("captures").display().to_string();

    let first = start(&setup, &directory, &local_settings);
    let drain_call = serve_a_reload_and_a_drain(first, &discovery);
    let first_report = assert_complete_and_equal(&capture);
    let first_calls = first_report["calls"].as_u64().unwrap();
    assert!(first_calls >= drain_call, "{first_report}");
    assert_ejection_is_explained(&capture);

    let second = start(&setup, &directory, &local_settings);
    serve_until_killed(second, &capture, first_calls);
    let both_reports = assert_killed_and_equal(&capture);
    assert!(both_reports["calls"].as_u64().unwrap() > 2 * first_calls, "{both_reports}");

    assert_can_be_kept_as_a_case(&capture, &directory.join("cases"), first_calls);
    std::fs::remove_dir_all(directory).unwrap();
}

/// Sends the director a reload, a drain of s-3 and SIGTERM. Returns the number of the call that drained s-3.
fn serve_a_reload_and_a_drain(mut director: Director, discovery: &Discovery) -> u64 {
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    report_failing_host(&director, &mut collector);
    director.send_signal("HUP");
    wait_until("the reload is logged", || director.log().contains("reload: configuration applied"));
    discovery.set_host_state("s-3", DRAINING);
    wait_until("the drain is logged", || director.log().contains("host draining host=s-3"));
    let line =
        director.log().lines().find(|line| line.contains("host draining host=s-3")).unwrap().to_string();
    let line: Value = serde_json::from_str(&line).expect("the log line is not a JSON object");
    let call = line["call"].as_u64().expect("the line of a decision lacks the number of its call");
    director.send_signal("TERM");
    assert_eq!(director.wait_for_exit().code(), Some(0));
    call
}

/// Checks that a capture is complete, was ended by its director and replays equal. Returns the replay's
/// report.
fn assert_complete_and_equal(capture: &str) -> Value {
    let checked = run_wingfold(&["capture", "check", capture]);
    assert_eq!(checked.status.code(), Some(0), "{}", output_text(&checked));
    assert_replays_equal(capture)
}

/// Checks that a capture replays without differences. Returns the replay's report.
fn assert_replays_equal(capture: &str) -> Value {
    let replayed = run_wingfold(&["replay", capture, "--json"]);
    assert_eq!(replayed.status.code(), Some(0), "{}", output_text(&replayed));
    let report: Value = serde_json::from_slice(&replayed.stdout).unwrap();
    assert!(report["differences"] == 0, "{report}");
    report
}

/// Checks that `explain` shows why s-2 is ejected, and that s-3 drains.
fn assert_ejection_is_explained(capture: &str) {
    let explained = run_wingfold(&["explain", capture, "--host", "s-2", "--zone", "a"]);
    assert_eq!(explained.status.code(), Some(0), "{}", output_text(&explained));
    let text = output_text(&explained);
    for part in [
        "s-2 of zone a",
        "ejected until",
        "    changes:\n",
        "notice: host ejected host=s-2 zone=a",
        "load report of zone a on s-2: 9 attempts, 9 failed",
        "in no table",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    let explained = run_wingfold(&["explain", capture, "--host", "s-3", "--json"]);
    let answer: Value = serde_json::from_slice(&explained.stdout).unwrap();
    assert_eq!(answer["hosts"][0]["view"]["standing"], "leaving");
}

/// The number of the last call in the newest segment of a capture.
fn last_captured_call(capture: &str) -> u64 {
    let shown = run_wingfold(&["capture", "show", capture, "--json"]);
    let newest = output_text(&shown).lines().last().map(str::to_string).unwrap();
    let segment: Value = serde_json::from_str(&newest).unwrap();
    segment["last_call"].as_u64().unwrap()
}

/// Kills the director once its capture holds more calls than that of its predecessor, so that numbers of its
/// calls follow on those of its predecessor.
fn serve_until_killed(mut director: Director, capture: &str, predecessor_calls: u64) {
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    report_failing_host(&director, &mut collector);
    wait_until("the capture holds more than 2000 bytes", || director.metric("capture_bytes_total") > 2000);
    wait_until("the capture holds more calls than the predecessor's", || {
        last_captured_call(capture) > predecessor_calls
    });
    director.send_signal("KILL");
    director.wait_for_exit();
}

/// Checks that a capture shows that its director was killed, and replays equal. Returns the replay's report.
fn assert_killed_and_equal(capture: &str) -> Value {
    let checked = run_wingfold(&["capture", "check", capture]);
    assert_eq!(checked.status.code(), Some(1), "{}", output_text(&checked));
    assert!(
        output_text(&checked).contains("incomplete: the director was killed"),
        "{}",
        output_text(&checked)
    );
    assert_replays_equal(capture)
}

/// Checks that a capture can be kept as a case with the calls before the restart, and that the case passes
/// before and after `capture accept`.
fn assert_can_be_kept_as_a_case(capture: &str, cases: &Path, calls: u64) {
    let cases = cases.display().to_string();
    let keep = ["capture", "keep", capture, "--name", "ejection", "--into", &cases];
    let kept = run_wingfold(&keep);
    assert_eq!(kept.status.code(), Some(0), "{}", output_text(&kept));
    assert_eq!(run_wingfold(&keep).status.code(), Some(2), "an existing case must not be overwritten");
    let tested = run_wingfold(&["capture", "test", &cases]);
    assert_eq!(tested.status.code(), Some(0), "{}", output_text(&tested));
    let counted = format!("ejection: {calls} calls");
    assert!(output_text(&tested).contains(&counted), "{counted}: {}", output_text(&tested));
    let accepted = run_wingfold(&["capture", "accept", &format!("{cases}/ejection")]);
    assert_eq!(accepted.status.code(), Some(0), "{}", output_text(&accepted));
    assert_eq!(run_wingfold(&["capture", "test", &cases]).status.code(), Some(0));
}

/// Requests a dump with this token. Returns the complete response.
fn request_dump(director: &Director, token: Option<&str>) -> String {
    let mut connection = TcpStream::connect(director.listen).unwrap();
    let token = token.map_or(String::new(), |token| format!("authorization: Bearer {token}\r\n"));
    let request = format!(
        "POST /capture/dump HTTP/1.1\r\nhost: d\r\n{token}content-length: 0\r\nconnection: close\r\n\r\n"
    );
    connection.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    connection.read_to_string(&mut response).unwrap();
    response
}

#[test]
fn memory_capture_is_dumped_only_with_the_right_token() {
    let directory = test_directory("dump");
    let (_discovery, setup) = three_host_deployment();
    let token = "a sufficiently long token";
    let local_settings = format!(
        "capture {{\n  enabled = true\n  memory_mb = 2\n  flush = \"50ms\"\n  \
         dump_directory = \"{}\"\n  dump_token = \"{token}\"\n}}\n",
        directory.join("dumps").display()
    );
    let director = start(&setup, &directory, &local_settings);
    let _proxy = director.connect_proxy_with_tables(0, "a");
    let mut collector = director.connect_collector("a");
    report_failing_host(&director, &mut collector);
    for wrong_token in
        [None, Some(""), Some("a sufficiently long toke"), Some("a sufficiently long tokem"), Some("Bearer")]
    {
        let response = request_dump(&director, wrong_token);
        assert!(response.starts_with("HTTP/1.1 401"), "{wrong_token:?}: {response}");
    }
    assert!(!directory.join("dumps").exists(), "a request with a wrong token wrote a dump");
    let response = request_dump(&director, Some(token));
    assert!(response.starts_with("HTTP/1.1 202"), "{response}");
    wait_until("the dump is written", || director.metric("capture_dumps_total") == 1);
    let response = request_dump(&director, Some(token));
    assert!(response.starts_with("HTTP/1.1 429"), "{response}");
    let replayed = run_wingfold(&["replay", &directory.join("dumps").display().to_string()]);
    assert_eq!(replayed.status.code(), Some(0), "{}", output_text(&replayed));
    assert!(director.http_get("/healthz").contains("200 OK"));
    // Without a token in the settings the path does not exist.
    let (_discovery, other) = three_host_deployment();
    let director = start(&other, &directory, "capture {\n  enabled = true\n  memory_mb = 2\n}\n");
    assert!(request_dump(&director, Some(token)).starts_with("HTTP/1.1 404"));
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn second_director_with_same_name_and_directory_runs_uncaptured() {
    let directory = test_directory("two");
    let local_settings = format!(
        "capture {{\n  enabled = true\n  directory = \"{}\"\n}}\n",
        directory.join("captures").display()
    );
    let (_first_discovery, first) = three_host_deployment();
    let (_second_discovery, second) = three_host_deployment();
    let first = start(&first, &directory, &local_settings);
    let _proxy = first.connect_proxy_with_tables(0, "a");
    let second = start(&second, &directory, &local_settings);
    wait_until("the second director logs the reason", || {
        second.log().contains("is written by another director")
    });
    let mut proxy = second.connect_proxy_with_tables(0, "a");
    assert!(proxy.ping(), "the second director does not serve");
    assert!(second.metric("capture_failures_total") <= second.metric("answers_total"));
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn director_serves_when_the_capture_directory_is_unwritable() {
    let directory = test_directory("bad-disk");
    // A file has the name of the capture directory.
    std::fs::write(directory.join("captures"), "not a directory").unwrap();
    let local_settings = format!(
        "capture {{\n  enabled = true\n  directory = \"{}\"\n}}\n",
        directory.join("captures").display()
    );
    let (_discovery, setup) = three_host_deployment();
    let mut director = start(&setup, &directory, &local_settings);
    let mut proxy = director.connect_proxy_with_tables(0, "a");
    wait_until("the failure is logged", || director.log().contains("capture: cannot open the store"));
    assert!(proxy.ping());
    director.send_signal("TERM");
    assert_eq!(director.wait_for_exit().code(), Some(0));
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn invalid_local_settings_are_all_reported_and_prevent_the_start() {
    let directory = test_directory("own");
    let path = directory.join("own.hcl");
    std::fs::write(&path, "log {\n  form = \"xml\"\n}\ncapture {\n  enabled = true\n  memori_mb = 3\n}\n")
        .unwrap();
    let path = path.display().to_string();
    for arguments in [&["settings", "check", &path][..], &["serve", "--own", &path]] {
        let output = run_wingfold(arguments);
        let text = output_text(&output);
        assert!(!output.status.success());
        for fault in [
            "own.hcl:2:3: key `log.form`",
            "own.hcl:6:3: key `capture.memori_mb`: is not known; did you mean `memory_mb`?",
            "own.hcl:4:1: key `capture`: needs `directory`",
        ] {
            assert!(text.contains(fault), "{fault}: {text}");
        }
    }
    assert!(output_text(&run_wingfold(&["serve", "--own", "no-such-file.hcl"])).contains("no-such-file.hcl"));
    // The capture may use half of the director's memory budget of 192 MB at most.
    let (_discovery, setup) = three_host_deployment();
    let local_settings = directory.join("large.hcl");
    std::fs::write(&local_settings, "capture {\n  enabled = true\n  memory_mb = 4000\n}\n").unwrap();
    let config = directory.join("config.json");
    std::fs::write(&config, setup.config.to_string()).unwrap();
    let mut director = Director::spawn(
        setup.listen,
        None,
        &[
            ("WINGFOLD_OWN", local_settings.display().to_string()),
            ("GW_CONFIG", config.display().to_string()),
        ],
        true,
    );
    assert!(!director.wait_for_exit().success());
    wait_until("the reason is logged", || {
        director.log().contains("key `capture`: the capture and the sinks need")
    });
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn commands_exit_with_the_expected_codes_and_texts() {
    let directory = test_directory("codes");
    let missing = directory.join("no-such-capture").display().to_string();
    let garbage = directory.join("garbage.wfcap");
    std::fs::write(&garbage, vec![7; 4000]).unwrap();
    let garbage = garbage.display().to_string();
    let capture = concat!(env!("CARGO_MANIFEST_DIR"), "/../../captures/overload/capture.wfcap");
    for (arguments, code, part) in [
        (vec!["replay", &missing], 2, "no-such-capture"),
        (vec!["replay", &garbage], 2, "no call in the time range could be replayed"),
        (vec!["capture", "check", &garbage], 1, "no valid head"),
        (vec!["replay", capture], 0, "equal: all actions, tables and states"),
        (vec!["replay", capture, "--from", "+10s", "--until", "+20s"], 0, "equal"),
        (vec!["replay", capture, "--from", "soon"], 2, "is not a time"),
        (vec!["explain", capture, "--host", "nobody"], 2, "no host `nobody`"),
        (vec!["explain", capture, "--class", "video"], 2, "known classes: score, verdict"),
        (vec!["explain", capture, "--proxy", "999"], 2, "not connected"),
        (
            vec!["explain", capture, "--at", "+25s", "--proxy", "0", "--class", "verdict"],
            0,
            "admission levels: verdict 1",
        ),
        (vec!["emulate", "check", "no-such.hcl"], 2, "no-such.hcl"),
        (vec!["--help"], 0, "Examples:"),
        (vec!["completions", "bash"], 0, "_wingfold"),
        (vec!["fly"], 2, "unrecognized subcommand"),
    ] {
        let output = run_wingfold(&arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {}", output_text(&output));
        assert!(output_text(&output).contains(part), "{arguments:?}: {}", output_text(&output));
    }
    std::fs::remove_dir_all(directory).unwrap();
}
