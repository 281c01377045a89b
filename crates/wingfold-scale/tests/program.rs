//! The program `wingfold-scale` itself: its exit codes, and its end when it is interrupted.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn scale(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wingfold-scale"));
    command.args(words);
    command
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn played(words: &[&str]) -> Output {
    scale(words).output().unwrap()
}

/// A program that runs on under the number of its process, written to a file beside it.
fn lasting_program() -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("lasting-{}", std::process::id()));
    let text = format!("#!/bin/sh\necho $$ >> {}.pids\nexec /bin/sleep 60\n", path.display());
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
    path
}

fn started(program: &Path) -> Vec<u32> {
    let pids = std::fs::read_to_string(program.with_extension("pids")).unwrap_or_default();
    pids.lines().filter_map(|pid| pid.parse().ok()).collect()
}

#[test]
fn the_plan_is_stated_and_what_takes_too_much_is_refused() {
    let plan = played(&["plan", "--step", "1/16"]);
    assert!(plan.status.success());
    assert!(text(&plan.stdout).contains("3 processes"), "{}", text(&plan.stdout));
    let rejected = played(&["run", "--step", "1", "--real", "300"]);
    assert_eq!(rejected.status.code(), Some(1));
    assert!(text(&rejected.stderr).contains("301 processes"), "{}", text(&rejected.stderr));
    let wrong = played(&["run", "--steps", "1"]);
    assert_eq!(wrong.status.code(), Some(2));
    assert!(text(&wrong.stderr).contains("--step"), "{}", text(&wrong.stderr));
}

#[test]
fn an_interrupt_ends_the_run_and_all_that_it_started() {
    let program = lasting_program();
    let words = ["run", "--seconds", "20", "--program", program.to_str().unwrap()];
    let run = scale(&words).stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    let begun = Instant::now();
    while started(&program).len() < 2 {
        assert!(begun.elapsed() < TEST_TIMEOUT, "both directors are started");
        std::thread::sleep(Duration::from_millis(5));
    }
    let signalled = Command::new("kill").args(["-INT", &run.id().to_string()]).status().unwrap();
    assert!(signalled.success());
    let output = run.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("interrupted"), "{}", text(&output.stderr));
    for pid in started(&program) {
        assert!(!Path::new(&format!("/proc/{pid}")).exists(), "process {pid} is left");
    }
}
