//! The program with a capture: replays of what it served, kills and restarts, dumps from memory, two directors in one
//! folder, and what the commands say and exit with.

mod common;

use common::{endpoint, unique_loopback_ip, until, Client, Director, Discovery, Host, Plan};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A folder of this test's own.
fn place(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn deployment() -> (Discovery, Plan) {
    let ip = unique_loopback_ip();
    let hosts = ["s-1", "s-2", "s-3"].map(|id| endpoint(id, Host::start(ip, Some("{}")).addr, "a"));
    let discovery = Discovery::start(ip, hosts.to_vec());
    let plan = Plan::new(ip, discovery.addr, discovery.known_list());
    (discovery, plan)
}

/// Starts the program with own settings.
fn start(plan: &Plan, place: &Path, own: &str) -> Director {
    let path = place.join("own.hcl");
    std::fs::write(&path, own).unwrap();
    plan.launch_with(&plan.config.to_string(), &[("WINGFOLD_OWN", path.display().to_string())])
}

fn wingfold(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wingfold")).args(arguments).env_clear().output().unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn load(zone: &str, target: &str, count: u64, fail: u64) -> Value {
    json!({"type": "LOAD", "site": zone, "target": target, "count": count, "fail": fail, "mean": 40.0, "over": 1000.0})
}

/// Lets a director hear some sums: s-2 answers nothing.
fn some_traffic(director: &Director, collector: &mut Client) {
    for _ in 0..3 {
        let before = director.figure("answers_total");
        for (target, fail) in [("s-1", 0), ("s-2", 9), ("s-3", 0)] {
            collector.send(&load("a", target, 9, fail));
        }
        until("it has answered", || director.figure("answers_total") > before + 2);
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "listed in ROADMAP.md")]
fn a_directors_day_replays_over_a_reload_a_restart_and_a_kill() {
    let place = place("day");
    let (discovery, plan) = deployment();
    let own = format!(
        "log {{\n  form = \"json\"\n}}\ncapture {{\n  enabled = true\n  directory = \"{}\"\n  flush = \"50ms\"\n}}\n",
        place.join("captures").display()
    );
    let capture = place.join("captures").display().to_string();
    let mut first = start(&plan, &place, &own);
    let _proxy = first.bound(0, "a");
    let mut collector = first.collector("a");
    some_traffic(&first, &mut collector);
    first.signal("HUP");
    until("the reload is told", || first.log().contains("configuration read"));
    discovery.set_host_state("s-3", "leaving");
    until("the decision is in the log", || first.log().contains("host draining host=s-3"));
    let line = first.log().lines().find(|line| line.contains("host draining host=s-3")).unwrap().to_string();
    let line: Value = serde_json::from_str(&line).expect("each line is a JSON object");
    let number = line["call"].as_u64().expect("a decision's line bears the number of its call");
    first.signal("TERM");
    assert_eq!(first.end().code(), Some(0));

    // It ended well: whole, and equal.
    let checked = wingfold(&["capture", "check", &capture]);
    assert_eq!(checked.status.code(), Some(0), "{}", said(&checked));
    let replayed = wingfold(&["replay", &capture, "--json"]);
    assert_eq!(replayed.status.code(), Some(0), "{}", said(&replayed));
    let report: Value = serde_json::from_slice(&replayed.stdout).unwrap();
    assert!(report["calls"].as_u64().unwrap() >= number && report["differences"] == 0, "{report}");

    // Why is s-2 where it is?
    let why = wingfold(&["why", &capture, "--host", "s-2", "--zone", "a"]);
    assert_eq!(why.status.code(), Some(0), "{}", said(&why));
    let text = said(&why);
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
    let why = wingfold(&["why", &capture, "--host", "s-3", "--json"]);
    let answer: Value = serde_json::from_slice(&why.stdout).unwrap();
    assert_eq!(answer["hosts"][0]["view"]["standing"], "leaving");

    // The second life goes on in the same folder, and is killed.
    let mut second = start(&plan, &place, &own);
    let _proxy = second.bound(0, "a");
    let mut collector = second.collector("a");
    some_traffic(&second, &mut collector);
    until("calls are written", || second.figure("capture_bytes_total") > 2000);
    second.signal("KILL");
    second.end();
    let checked = wingfold(&["capture", "check", &capture]);
    assert_eq!(checked.status.code(), Some(1), "{}", said(&checked));
    assert!(said(&checked).contains("not ended: its director was killed"), "{}", said(&checked));
    let replayed = wingfold(&["replay", &capture, "--json"]);
    assert_eq!(replayed.status.code(), Some(0), "{}", said(&replayed));
    let both: Value = serde_json::from_slice(&replayed.stdout).unwrap();
    assert!(both["calls"].as_u64() > report["calls"].as_u64());

    // A part of it as a case, which then holds.
    let cases = place.join("cases").display().to_string();
    let keep = ["capture", "keep", &capture, "--name", "a-day", "--into", &cases];
    let kept = wingfold(&keep);
    assert_eq!(kept.status.code(), Some(0), "{}", said(&kept));
    assert_eq!(wingfold(&keep).status.code(), Some(2), "a case is not written over");
    let tested = wingfold(&["capture", "test", &cases]);
    assert_eq!(tested.status.code(), Some(0), "{}", said(&tested));
    let accepted = wingfold(&["capture", "accept", &format!("{cases}/a-day")]);
    assert_eq!(accepted.status.code(), Some(0), "{}", said(&accepted));
    assert_eq!(wingfold(&["capture", "test", &cases]).status.code(), Some(0));
    std::fs::remove_dir_all(place).unwrap();
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
    let place = place("dump");
    let (_discovery, plan) = deployment();
    let token = "a word that nobody guesses";
    let own = format!(
        "capture {{\n  enabled = true\n  memory_mb = 2\n  flush = \"50ms\"\n  dump_directory = \"{}\"\n  dump_token = \"{token}\"\n}}\n",
        place.join("dumps").display()
    );
    let director = start(&plan, &place, &own);
    let _proxy = director.bound(0, "a");
    let mut collector = director.collector("a");
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
    assert!(!place.join("dumps").exists(), "strangers cause nothing");
    let answer = post(&director, Some(token));
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
    until("it is written", || director.figure("capture_dumps_total") == 1);
    let answer = post(&director, Some(token));
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    let replayed = wingfold(&["replay", &place.join("dumps").display().to_string()]);
    assert_eq!(replayed.status.code(), Some(0), "{}", said(&replayed));
    assert!(director.page("/healthz").contains("200 OK"));
    // Where nobody may ask there is no such page.
    let (_discovery, other) = deployment();
    let director = start(&other, &place, "capture {\n  enabled = true\n  memory_mb = 2\n}\n");
    assert!(post(&director, Some(token)).starts_with("HTTP/1.1 404"));
    std::fs::remove_dir_all(place).unwrap();
}

#[test]
fn of_two_directors_with_one_name_and_folder_the_second_serves_without_a_capture() {
    let place = place("two");
    let own =
        format!("capture {{\n  enabled = true\n  directory = \"{}\"\n}}\n", place.join("captures").display());
    let (_one, first) = deployment();
    let (_other, second) = deployment();
    let first = start(&first, &place, &own);
    let _proxy = first.bound(0, "a");
    let second = start(&second, &place, &own);
    until("the second says why", || second.log().contains("is written by another director"));
    let mut proxy = second.bound(0, "a");
    assert!(proxy.ping(), "it serves");
    assert!(second.figure("capture_failures_total") <= second.figure("answers_total"));
    std::fs::remove_dir_all(place).unwrap();
}

#[test]
fn a_disk_that_cannot_be_written_to_holds_no_director_up() {
    let place = place("bad-disk");
    // A file stands where the folder should be.
    std::fs::write(place.join("captures"), "in the way").unwrap();
    let own =
        format!("capture {{\n  enabled = true\n  directory = \"{}\"\n}}\n", place.join("captures").display());
    let (_discovery, plan) = deployment();
    let mut director = start(&plan, &place, &own);
    let mut proxy = director.bound(0, "a");
    until("it says so", || director.log().contains("capture: cannot begin"));
    assert!(proxy.ping());
    director.signal("TERM");
    assert_eq!(director.end().code(), Some(0));
    std::fs::remove_dir_all(place).unwrap();
}

#[test]
fn own_settings_that_are_wrong_are_told_all_at_once_and_start_nothing() {
    let place = place("own");
    let path = place.join("own.hcl");
    std::fs::write(&path, "log {\n  form = \"xml\"\n}\ncapture {\n  enabled = true\n  memori_mb = 3\n}\n")
        .unwrap();
    let path = path.display().to_string();
    for arguments in [&["own", "check", &path][..], &["serve", "--own", &path]] {
        let output = wingfold(arguments);
        let text = said(&output);
        assert!(!output.status.success());
        for part in [
            "own.hcl:2:3: key `log.form`",
            "own.hcl:6:3: key `capture.memori_mb`: is not known; did you mean `memory_mb`?",
            "own.hcl:4:1: key `capture`: needs `directory`",
        ] {
            assert!(text.contains(part), "{part}: {text}");
        }
    }
    assert!(said(&wingfold(&["serve", "--own", "no-such-file.hcl"])).contains("no-such-file.hcl"));
    // More memory than half of what there is.
    let (_discovery, plan) = deployment();
    let own = "capture {\n  enabled = true\n  memory_mb = 4000\n}\n";
    std::fs::write(place.join("large.hcl"), own).unwrap();
    let vars = [("WINGFOLD_OWN", place.join("large.hcl").display().to_string())];
    let config = place.join("config.json");
    std::fs::write(&config, plan.config.to_string()).unwrap();
    let mut director = Director::spawn(
        plan.listen,
        None,
        &[vars[0].clone(), ("GW_CONFIG", config.display().to_string())],
        true,
    );
    assert!(!director.end().success());
    until("it has said why", || director.log().contains("key `capture`: its memory and queue take"));
    std::fs::remove_dir_all(place).unwrap();
}

#[test]
fn commands_tell_by_their_exit_codes_what_came_of_them() {
    let place = place("codes");
    let nothing = place.join("nothing").display().to_string();
    let garbage = place.join("garbage.wfcap");
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
        (vec!["why", kept, "--host", "nobody"], 2, "no host `nobody`"),
        (vec!["why", kept, "--class", "video"], 2, "here are score, verdict"),
        (vec!["why", kept, "--proxy", "999"], 2, "not joined"),
        (vec!["why", kept, "--at", "+25s", "--proxy", "0", "--class", "verdict"], 0, "levels: verdict 1"),
        (vec!["lab", "check", "no-such.hcl"], 2, "no-such.hcl"),
        (vec!["--help"], 0, "Examples:"),
        (vec!["completions", "bash"], 0, "_wingfold"),
        (vec!["fly"], 2, "unrecognized subcommand"),
    ] {
        let output = wingfold(&arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {}", said(&output));
        assert!(said(&output).contains(part), "{arguments:?}: {}", said(&output));
    }
    std::fs::remove_dir_all(place).unwrap();
}
