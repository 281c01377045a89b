//! Runs wingfold-simhost (the adapter) as a process: its replies, all messages in both directions, and
//! malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with this input until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wingfold-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // Writing may fail: the adapter exits at the first malformed line, which closes the pipe.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter exits")
}

/// The platform's settings for a launch, with this number of shards.
fn info(shards: u32) -> String {
    let text = r#"{"replicas_of_me":2,"me":0,"zone":"n","dcs":["n","s"],"discovery":"on_request",
        "classes":[{"name":"read","goal_time":1000000,"deadline":3000000,"repeat":"idempotent","gain":1.0},
                   {"name":"pay","goal_time":800000,"deadline":2000000,"repeat":"at_most_once","gain":5.0,
                    "only_zones":["s"]}],
        "family_info":{"admit":"rate","bare":3500000,"egress_per_s":3000.0,"overhead":4.0,
                       "pending_max":6000.0,"period":1000000,"proxy_count":6,"push_delay":442000,
                       "reports_per_s":200.0,"shards":SHARDS,"transit_max":1105000,"update_cap":0,
                       "unknown_key":[1,2]},
        "policy_limits":{"probing":true,"peers":true},
        "report":{"fields":["cpu_share","busy_reqs","svc_ms","pending"],"how":"pull"},
        "rules":{"ask_within":10000000,"cold":18000000,"drain_grace":3400000,"overload_factor":4.0,
                 "overload_for":3000000,"start_capacity":0.24}}"#;
    text.replace("SHARDS", &shards.to_string()).replace('\n', " ")
}

/// A batch that launches instance 3 and gives it an endpoint list of two hosts.
fn launch(shards: u32) -> String {
    let list = "fleet\tPersisted\t41\t2\nitem\tbox\tn\t0\tReady\t1\t-\t10.0.0.1:7\n\
                item\tbox\ts\t1\tReady\t1.5\t610\t10.0.0.2:7\n";
    format!("batch\t2500000\t1\nfor\t3\nlaunch\t17\t{}\n{list}flush\n", info(shards))
}

/// The lines of all replies.
fn replies(input: &str) -> Vec<String> {
    let output = run_adapter(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("replies are text");
    text.lines().map(str::to_string).collect()
}

/// Checks that the adapter fails on this input with an error that names `message` and contains `detail`, such
/// as the field.
fn assert_rejected(input: &str, message: &str, detail: &str) {
    let output = run_adapter(input);
    let error = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(!output.status.success(), "the input must be rejected: {input:?}");
    assert!(error.contains(&format!("`{message}`")) && error.contains(detail), "{error}");
    assert!(!error.contains("panicked"), "{error}");
}

#[test]
fn empty_batch_is_acknowledged_and_end_of_input_is_success() {
    assert_eq!(replies("batch\t8412250\t1\nflush\n"), ["ack\t1"]);
    assert!(replies("").is_empty());
}

#[test]
fn launch_watches_endpoint_list_and_fills_tables() {
    let lines = replies(&launch(0));
    assert_eq!(lines[0], "source\t3");
    assert!(lines.contains(&"listen\t1".to_string()), "{lines:?}");
    assert!(lines.contains(&"sample\t10.0.0.1:7".to_string()));
    assert!(lines.iter().any(|l| l.starts_with("timer\t") && l.split('\t').count() == 3));
    assert!(lines.iter().any(|l| l == "assign\t0\t10.0.0.1:7\t1"), "{lines:?}");
    let weight = lines
        .iter()
        .find_map(|l| l.strip_prefix("assign\t1\t10.0.0.2:7\t"))
        .expect("an entry for the class that is restricted to zone s");
    assert!(
        weight.parse::<f64>().is_ok_and(|w| w > 0.0 && w < 1.5),
        "the listed weight is 1.5 and the host warms up: {weight}"
    );
    assert!(
        !lines.iter().any(|l| l.starts_with("assign\t1\t10.0.0.1")),
        "the class is restricted to zone s: {lines:?}"
    );
    assert!(lines.iter().any(|l| l.starts_with("allow\t1\t1000000\t0\t1")), "{lines:?}");
    assert_eq!(lines.last().map(String::as_str), Some("ack\t1"));
}

#[test]
fn all_events_are_accepted_and_connected_proxy_gets_tables() {
    let events = "batch\t3500000\t2\nfor\t3\nsubscribed\tn\t6.5\t1\t41\nwakeup\t77\n\
        probe_result\t1\t1400\t10.0.0.1:7\t0.62,7,14.5,-\nprobe_result\t4\t1400\t10.0.0.1:7\t-\n\
        message\t1\taGkgNw==\nmessage\t1\t-\nroundup\tn\t10.0.0.1:7\t14\t1\t48250\t1000000\t0.62,7,14.5,2\n\
        roundup\tn\t10.0.0.1:7\t14\t14\t0\t1000000\t-\nusage\t41\tread\t9\t0\t2000000\n\
        key_load\t117\tread\t23\t2\t1000000\ncharge\t117\t1\nheld\t10.0.0.1:7\t1\t117\n\
        installed\t41\t12\t412500\nfleet\tError\t-\t-\nfleet\tComplete\t42\t0\n\
        fleet\tPartial\t43\t1\nitem\tbox\tn\t0\tTerminating\t1\t-\t10.0.0.1:7\nparted\t41\nflush\n\
        batch\t4500000\t3\nfor\t3\ndestroy\nflush\n";
    let lines = replies(&format!("{}{events}", launch(0)));
    assert_eq!(lines.last().map(String::as_str), Some("ack\t3"));
    let connected =
        replies(&format!("{}batch\t2600000\t2\nfor\t3\nsubscribed\ts\t6\t0\t9\nflush\n", launch(0)));
    assert!(connected.iter().any(|l| l.starts_with("bind\t9\t") && l.ends_with("\t1")), "{connected:?}");
    assert!(connected.iter().any(|l| l.starts_with("bind\t9\t") && l.ends_with("\t2")), "{connected:?}");
}

#[test]
fn actions_of_an_instance_are_independent_of_other_instances() {
    let second = launch(0).replace("for\t3", "for\t8").replace("\t1\nfor", "\t2\nfor");
    let lines = replies(&format!("{}{second}", launch(0)));
    assert!(lines.contains(&"source\t8".to_string()));
    let alone = replies(&second);
    let from = lines.iter().position(|l| l == "source\t8").expect("the line was found above");
    assert_eq!(lines[from..], alone[..], "the actions are the same as in a process of its own");
}

#[test]
fn shards_are_accepted_and_reported_in_one_notice() {
    let lines = replies(&launch(16));
    assert_eq!(lines.iter().filter(|l| l.starts_with("debug\t")).count(), 1, "{lines:?}");
    assert!(!lines.iter().any(|l| l.starts_with("bind") || l.starts_with("assign")), "{lines:?}");
}

#[test]
fn malformed_input_ends_adapter_with_error_naming_the_fault() {
    let in_second_batch = |line: &str| format!("{}batch\t2600000\t2\nfor\t3\n{line}\nflush\n", launch(0));
    assert_rejected("nonsense\n", "nonsense", "batch");
    assert_rejected("batch\tsoon\t1\nflush\n", "batch", "`t`");
    assert_rejected("batch\t1\t1\nbatch\t2\t2\n", "batch", "ended");
    assert_rejected("batch\t1\t1\n", "batch", "ends inside");
    assert_rejected("batch\t1\t1\nfor\tx\nflush\n", "for", "`i`");
    assert_rejected("batch\t1\t1\nwakeup\t1\nflush\n", "wakeup", "instance");
    assert_rejected("batch\t1\t1\nfor\t1\nwakeup\t1\nflush\n", "wakeup", "launched");
    assert_rejected("batch\t1\t1\nfor\t1\nlaunch\t5\t{}\nflush\n", "launch", "`info`");
    assert_rejected(&in_second_batch("wakeup"), "wakeup", "`ctx`");
    assert_rejected(&in_second_batch("wakeup\t1\t2"), "wakeup", "more fields");
    assert_rejected(&in_second_batch("unknown\t1"), "unknown", "protocol");
    assert_rejected(&in_second_batch("parted\tx"), "parted", "`edge`");
    assert_rejected(&in_second_batch("subscribed\tn\tNaN\t1\t4"), "subscribed", "`weight`");
    assert_rejected(&in_second_batch("subscribed\tn\t1\tyes\t4"), "subscribed", "`on`");
    assert_rejected(&in_second_batch("usage\t4\tunknown\t1\t0\t5"), "usage", "`profile`");
    assert_rejected(&in_second_batch("message\t1\t%%"), "message", "`contents`");
    assert_rejected(
        &in_second_batch("roundup\tn\t10.0.0.1:7\t14\t1\t48250\t1000000"),
        "roundup",
        "`pressure`",
    );
    assert_rejected(
        &in_second_batch("roundup\tn\t10.0.0.1:7\t14\t-1\t48250\t1000000\t-"),
        "roundup",
        "`lost`",
    );
    assert_rejected(
        &in_second_batch("roundup\tn\t10.0.0.1:7\t14\t1\t48250\t1000000\t0.6,much"),
        "roundup",
        "`pressure`",
    );
    assert_rejected(&in_second_batch("fleet\tSome\t1\t0"), "fleet", "`how`");
    assert_rejected(&in_second_batch("fleet\tPartial\t1\tmany"), "fleet", "`items`");
    assert_rejected(&in_second_batch("fleet\tPartial\t1\t1\nwakeup\t1"), "wakeup", "`fleet`");
    assert_rejected(
        &in_second_batch("fleet\tPartial\t1\t1\nitem\tbox\tn\t0\tAsleep\t1\t-\ta:1"),
        "item",
        "`readiness`",
    );
    assert_rejected(&in_second_batch("item\tbox\tn\t0\tReady\t1\t-\ta:1"), "item", "`fleet`");
}
