//! `.ci/known-red`: exactly the tests on the list of known failures are skipped, and a malformed list is
//! rejected.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// The output of `cargo test -- --list`; two test binaries have a test of the name `twice`.
const TEST_LIST: &str = "running\na::one: test\na::one_more: test\ntwo: test\nthree: test\nfour: test\n\
    twice: test\ntwice: test\ncost: bench\n";

/// Runs the script on a list of known failures with this text, in a file named after the case.
fn run_script(case: &str, list: &str) -> Output {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{case}.txt"));
    std::fs::write(&file, list).unwrap();
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let mut child = Command::new("bash")
        .arg(script)
        .arg(&file)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(TEST_LIST.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    std::fs::remove_file(file).unwrap();
    output
}

fn utf8(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

#[test]
fn listed_tests_are_skipped_by_exact_name_and_printed() {
    let output = run_script(
        "valid",
        "a::one | the ring loses a call | issue 31\ntwo | a cause, of several words | issue 9",
    );
    assert!(output.status.success(), "{}", utf8(&output.stderr));
    assert_eq!(utf8(&output.stdout), "--exact\n--skip\na::one\n--skip\ntwo\n");
    let printed = "known red: a::one | the ring loses a call | issue 31\n\
        known red: two | a cause, of several words | issue 9\n";
    assert_eq!(utf8(&output.stderr), printed);
}

#[test]
fn empty_list_skips_no_test() {
    let output = run_script("empty", "");
    assert!(output.status.success() && output.stdout.is_empty());
}

#[test]
fn malformed_list_is_rejected() {
    let four = "a::one | x | issue 1\ntwo | x | issue 1\nthree | x | issue 1\nfour | x | issue 1\n";
    let cases = [
        ("four", four, "more than three lines"),
        ("none", "five | x | issue 1\n", "matches 0 tests"),
        ("part", "a:: | x | issue 1\n", "matches 0 tests"),
        ("bench", "cost | x | issue 1\n", "matches 0 tests"),
        ("pattern", "a::.* | x | issue 1\n", "matches 0 tests"),
        ("twice", "twice | x | issue 1\n", "matches 2 tests"),
        ("again", "two | x | issue 1\ntwo | y | issue 1\n", "again"),
        ("fields", "two | issue 1\n", "is not 'test"),
        ("cause", "two |  | issue 1\n", "is not 'test"),
        ("issue", "two | x | soon\n", "is not 'test"),
        ("more", "two | x | issue 1 | y\n", "is not 'test"),
        ("blank", "two | x | issue 1\n\n", "is not 'test"),
        ("space", " two | x | issue 1\n", "is not 'test"),
    ];
    for (case, list, reason) in cases {
        let output = run_script(case, list);
        assert!(!output.status.success(), "{case}: accepted");
        assert!(output.stdout.is_empty(), "{case}: tests are skipped all the same");
        assert!(utf8(&output.stderr).contains(reason), "{case}: {}", utf8(&output.stderr));
    }
}
