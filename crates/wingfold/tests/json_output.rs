//! Keys of the JSON that commands print: other programs read them, so each stays as it is.

use serde_json::Value;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::{Command, Output};

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
