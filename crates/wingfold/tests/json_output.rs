//! Keys of the JSON that commands print: other programs read them, so each stays as it is. Also, the text of
//! a replay that finds a difference.

use serde_json::Value;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::{Command, Output};
use wingfold_capture::edit::SegmentAssembler;
use wingfold_capture::model::encode_actions;
use wingfold_capture::replay::{ReplayMode, Replayer};
use wingfold_capture::{entries, Call, Entry};
use wingfold_director::interface::Action;

/// A capture of one segment.
const CAPTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../captures/overload/capture.wfcap");

/// Runs the program with these arguments until it exits.
fn run_wingfold(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wingfold")).args(arguments).env_clear().output().unwrap()
}

/// The standard output of a command with these arguments, read as JSON.
fn json_output(arguments: &[&str]) -> Value {
    let output = run_wingfold(arguments);
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| panic!("{error}: {output:?}"))
}

/// Checks that a JSON object has exactly these keys.
fn assert_keys(object: &Value, keys: &[&str]) {
    let found: BTreeSet<&str> = object.as_object().unwrap().keys().map(String::as_str).collect();
    assert_eq!(found, keys.iter().copied().collect(), "{object}");
}

/// Writes these bytes to a segment file of this name and returns its path.
fn write_segment(name: &str, bytes: &[u8]) -> String {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.wfcap", std::process::id()));
    std::fs::write(&path, bytes).unwrap();
    path.display().to_string()
}

/// Doubles the weight of the first entry that the call sets. Returns whether it sets one.
fn double_first_weight(call: &mut Call) -> bool {
    let mut actions = call.actions().unwrap();
    let weight = actions.iter_mut().find_map(|action| match action {
        Action::SetEntry { weight, .. } if *weight > 0.0 => Some(weight),
        _ => None,
    });
    let Some(weight) = weight else { return false };
    *weight *= 2.0;
    call.actions = encode_actions(&actions);
    true
}

/// The capture with another weight in one recorded action, so that its replay differs.
fn capture_with_changed_weight() -> Vec<u8> {
    let bytes = std::fs::read(CAPTURE).unwrap();
    let mut replayer = Replayer::new(ReplayMode::Strict);
    let mut assembler: Option<SegmentAssembler> = None;
    let mut is_changed = false;
    for entry in entries(&bytes) {
        if let (Entry::Call(call), Some(director), None) = (&entry, replayer.director(), &assembler) {
            assembler = Some(SegmentAssembler::new(replayer.head(), call.number, call.at, director));
        }
        if let (Some((mut call, _)), Some(assembler)) = (replayer.feed(entry).unwrap(), &mut assembler) {
            is_changed = is_changed || double_first_weight(&mut call);
            assembler.add_call(&call);
        }
    }
    assert!(is_changed, "no call of the capture sets a weight");
    assembler.unwrap().finish()
}

#[test]
fn replay_json_has_the_expected_keys() {
    let keys = [
        "name",
        "builds",
        "calls",
        "events",
        "states",
        "skipped",
        "gaps",
        "damage",
        "differences",
        "first",
        "secs",
        "took_s",
        "apart",
    ];
    let report = json_output(&["replay", CAPTURE, "--json"]);
    assert_keys(&report, &keys);
    assert!(report["differences"] == 0 && report["first"].is_null(), "{report}");
}

#[test]
fn replay_json_of_a_damaged_capture_names_the_damage() {
    let mut bytes = std::fs::read(CAPTURE).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    let damaged =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("json-damaged-{}.wfcap", std::process::id()));
    std::fs::write(&damaged, bytes).unwrap();
    let report = json_output(&["replay", &damaged.display().to_string(), "--json"]);
    std::fs::remove_file(damaged).unwrap();
    assert_keys(&report["damage"][0], &["segment", "offset", "fault"]);
    assert!(report["skipped"].as_u64().unwrap() > 0, "{report}");
}

#[test]
fn replay_of_a_changed_action_reports_the_difference() {
    let changed = write_segment("json-changed", &capture_with_changed_weight());
    let report = json_output(&["replay", &changed, "--compare", "--json"]);
    assert!(report["differences"].as_u64().unwrap() > 0, "{report}");
    assert_keys(&report["first"], &["call", "at_s", "what"]);
    assert_eq!(report["first"]["what"], "actions");
    let divergence_keys = ["zone", "classes", "table", "first_s", "secs", "lines", "moved", "levels"];
    assert_keys(&report["apart"][0], &divergence_keys);
    let output = run_wingfold(&["replay", &changed, "--compare"]);
    std::fs::remove_file(changed).unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    for part in
        ["first difference at call ", "  recorded: table ", "  replayed: table ", "tables differ from"]
    {
        assert!(text.contains(part), "{part}: {text}");
    }
}

#[test]
fn capture_show_json_has_the_expected_keys() {
    let keys = [
        "file",
        "name",
        "build",
        "run_s",
        "segment",
        "first_call",
        "last_call",
        "first_s",
        "last_s",
        "bytes",
        "sealed",
        "gap",
    ];
    let segment = json_output(&["capture", "show", CAPTURE, "--json"]);
    assert_keys(&segment, &keys);
}

#[test]
fn explain_json_has_the_expected_keys() {
    let explanation = json_output(&["explain", CAPTURE, "--json", "--back", "1h"]);
    assert_keys(&explanation, &["name", "call", "at", "fleet", "zones", "tables", "hosts"]);
    let fleet_keys = ["now", "loss", "latency_ms", "load", "admitted", "queued", "hosts", "proxies"];
    assert_keys(&explanation["fleet"], &fleet_keys);
    let zone_keys = ["zone", "usual_loss", "lead", "moved_at", "proxies", "levels"];
    assert_keys(&explanation["zones"][0], &zone_keys);
    let hosts = explanation["hosts"].as_array().unwrap();
    assert_keys(&hosts[0], &["view", "shares", "moves"]);
    let moved = hosts.iter().find(|host| !host["moves"].as_array().unwrap().is_empty()).unwrap();
    assert_keys(&moved["moves"][0], &["call", "at", "standing", "share", "heard", "noted"]);
    let view_keys = [
        "host",
        "zone",
        "home",
        "kind",
        "readiness",
        "doubted",
        "listed",
        "standing",
        "score",
        "lead",
        "latency_ms",
        "loss",
        "confirmed",
        "lost_in_row",
        "useless_in_row",
        "missed",
        "busy",
        "started",
        "warmth",
        "cold",
        "near",
        "weights",
    ];
    assert_keys(&hosts[0]["view"], &view_keys);
}
