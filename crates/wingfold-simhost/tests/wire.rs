//! The adapter as a process: replies, every message both ways, and what it does with malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on an input.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wingfold-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // A closed pipe is fine: the adapter stops reading at the first malformed line.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// The settings of a launch, with this number of shards.
fn info(shards: u32) -> String {
    let text = r#"{"replicas_of_me":2,"me":0,"zone":"n","dcs":["n","s"],"discovery":"on_request",
        "classes":[{"name":"read","goal_time":1000000,"deadline":3000000,"repeat":"idempotent","gain":1.0},
                   {"name":"pay","goal_time":800000,"deadline":2000000,"repeat":"at_most_once","gain":5.0,
                    "only_zones":["s"]}],
        "family_info":{"admit":"rate","bare":3500000,"egress_per_s":3000.0,"overhead":4.0,"pending_max":6000.0,
                       "period":1000000,"proxy_count":6,"push_delay":442000,"reports_per_s":200.0,"shards":SHARDS,
                       "transit_max":1105000,"update_cap":0,"unheard_of":[1,2]},
        "policy_limits":{"probing":true,"peers":true},
        "report":{"fields":["cpu_share","busy_reqs","svc_ms","pending"],"how":"pull"},
        "rules":{"ask_within":10000000,"cold":18000000,"drain_grace":3400000,"overload_factor":4.0,
                 "overload_for":3000000,"start_capacity":0.24}}"#;
    text.replace("SHARDS", &shards.to_string()).replace('\n', " ")
}

/// The first batch: the launch of instance 3 with a list of two hosts.
fn launch(shards: u32) -> String {
    let list = "fleet\tPersisted\t41\t2\nitem\tbox\tn\t0\tReady\t1\t-\t10.0.0.1:7\nitem\tbox\ts\t1\tReady\t1.5\t610\t10.0.0.2:7\n";
    format!("batch\t2500000\t1\nfor\t3\nlaunch\t17\t{}\n{list}flush\n", info(shards))
}

/// The lines of all replies.
fn replies(input: &str) -> Vec<String> {
    let output = run_adapter(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("replies are text");
    text.lines().map(str::to_string).collect()
}

/// Checks that an input ends the adapter with an error that names the message and the field.
fn assert_refused(input: &str, message: &str, field: &str) {
    let output = run_adapter(input);
    let error = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(!output.status.success(), "it must not pass: {input:?}");
    assert!(error.contains(&format!("`{message}`")) && error.contains(field), "{error}");
    assert!(!error.contains("panicked"), "{error}");
}

#[test]
fn an_empty_batch_is_acknowledged_and_the_end_of_input_is_no_error() {
    assert_eq!(replies("batch\t8412250\t1\nflush\n"), ["ack\t1"]);
    assert!(replies("").is_empty());
}

#[test]
fn a_launch_watches_the_endpoint_list_and_fills_tables() {
    let lines = replies(&launch(0));
    assert_eq!(lines[0], "source\t3");
    assert!(lines.contains(&"listen\t1".to_string()), "{lines:?}");
    assert!(lines.contains(&"sample\t10.0.0.1:7".to_string()));
    assert!(lines.iter().any(|l| l.starts_with("timer\t") && l.split('\t').count() == 3));
    assert!(lines.iter().any(|l| l == "assign\t0\t10.0.0.1:7\t1"), "{lines:?}");
    let weight =
        lines.iter().find_map(|l| l.strip_prefix("assign\t1\t10.0.0.2:7\t")).expect("the limited class");
    assert!(
        weight.parse::<f64>().is_ok_and(|w| w > 0.0 && w < 1.5),
        "listed at 1.5 and warming up: {weight}"
    );
    assert!(!lines.iter().any(|l| l.starts_with("assign\t1\t10.0.0.1")), "must stay in its zone: {lines:?}");
    assert!(lines.iter().any(|l| l.starts_with("allow\t1\t1000000\t0\t1")), "{lines:?}");
    assert_eq!(lines.last().map(String::as_str), Some("ack\t1"));
}

#[test]
fn every_event_is_read_and_a_connected_proxy_is_assigned_tables() {
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
fn instances_act_for_themselves() {
    let second = launch(0).replace("for\t3", "for\t8").replace("\t1\nfor", "\t2\nfor");
    let lines = replies(&format!("{}{second}", launch(0)));
    assert!(lines.contains(&"source\t8".to_string()));
    let alone = replies(&second);
    let from = lines.iter().position(|l| l == "source\t8").expect("seen above");
    assert_eq!(lines[from..], alone[..], "one process or two, the same actions");
}

#[test]
fn shards_are_valid_and_get_one_notice() {
    let lines = replies(&launch(16));
    assert_eq!(lines.iter().filter(|l| l.starts_with("debug\t")).count(), 1, "{lines:?}");
    assert!(!lines.iter().any(|l| l.starts_with("bind") || l.starts_with("assign")), "{lines:?}");
}

#[test]
fn malformed_input_is_named_and_ends_the_adapter() {
    let inside = |line: &str| format!("{}batch\t2600000\t2\nfor\t3\n{line}\nflush\n", launch(0));
    assert_refused("nonsense\n", "nonsense", "batch");
    assert_refused("batch\tsoon\t1\nflush\n", "batch", "`t`");
    assert_refused("batch\t1\t1\nbatch\t2\t2\n", "batch", "ended");
    assert_refused("batch\t1\t1\n", "batch", "ends inside");
    assert_refused("batch\t1\t1\nfor\tx\nflush\n", "for", "`i`");
    assert_refused("batch\t1\t1\nwakeup\t1\nflush\n", "wakeup", "instance");
    assert_refused("batch\t1\t1\nfor\t1\nwakeup\t1\nflush\n", "wakeup", "launched");
    assert_refused("batch\t1\t1\nfor\t1\nlaunch\t5\t{}\nflush\n", "launch", "`info`");
    assert_refused(&inside("wakeup"), "wakeup", "`ctx`");
    assert_refused(&inside("wakeup\t1\t2"), "wakeup", "more fields");
    assert_refused(&inside("unheard\t1"), "unheard", "protocol");
    assert_refused(&inside("parted\tx"), "parted", "`edge`");
    assert_refused(&inside("subscribed\tn\tNaN\t1\t4"), "subscribed", "`weight`");
    assert_refused(&inside("subscribed\tn\t1\tyes\t4"), "subscribed", "`on`");
    assert_refused(&inside("usage\t4\tunknown\t1\t0\t5"), "usage", "`profile`");
    assert_refused(&inside("message\t1\t%%"), "message", "`contents`");
    assert_refused(&inside("roundup\tn\t10.0.0.1:7\t14\t1\t48250\t1000000"), "roundup", "`pressure`");
    assert_refused(&inside("roundup\tn\t10.0.0.1:7\t14\t-1\t48250\t1000000\t-"), "roundup", "`lost`");
    assert_refused(
        &inside("roundup\tn\t10.0.0.1:7\t14\t1\t48250\t1000000\t0.6,much"),
        "roundup",
        "`pressure`",
    );
    assert_refused(&inside("fleet\tSome\t1\t0"), "fleet", "`how`");
    assert_refused(&inside("fleet\tPartial\t1\tmany"), "fleet", "`items`");
    assert_refused(&inside("fleet\tPartial\t1\t1\nwakeup\t1"), "wakeup", "`fleet`");
    assert_refused(
        &inside("fleet\tPartial\t1\t1\nitem\tbox\tn\t0\tAsleep\t1\t-\ta:1"),
        "item",
        "`readiness`",
    );
    assert_refused(&inside("item\tbox\tn\t0\tReady\t1\t-\ta:1"), "item", "`fleet`");
}
