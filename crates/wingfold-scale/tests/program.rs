//! The program `wingfold-scale`: its exit codes, and the processes that it stops when it is interrupted.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn scale_command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wingfold-scale"));
    command.args(arguments);
    command
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Runs the program to its end.
fn run_program(arguments: &[&str]) -> Output {
    scale_command(arguments).output().unwrap()
}

/// Writes a program that appends its process id to a file beside it, with the extension `pids`, and keeps
/// running under that id for a minute.
fn write_long_running_program() -> PathBuf {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("long-running-{}", std::process::id()));
    let text = format!("#!/bin/sh\necho $$ >> {}.pids\nexec /bin/sleep 60\n", path.display());
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
    path
}

/// Returns the ids of the processes that have run this program.
fn started_processes(program: &Path) -> Vec<u32> {
    let pids = std::fs::read_to_string(program.with_extension("pids")).unwrap_or_default();
    pids.lines().filter_map(|pid| pid.parse().ok()).collect()
}

#[test]
fn plan_is_printed_and_invalid_runs_exit_with_an_error() {
    let plan = run_program(&["plan", "--step", "1/16"]);
    assert!(plan.status.success());
    assert!(text(&plan.stdout).contains("3 processes"), "{}", text(&plan.stdout));
    let rejected = run_program(&["run", "--step", "1", "--real", "300"]);
    assert_eq!(rejected.status.code(), Some(1));
    assert!(text(&rejected.stderr).contains("301 processes"), "{}", text(&rejected.stderr));
    let unknown_option = run_program(&["run", "--steps", "1"]);
    assert_eq!(unknown_option.status.code(), Some(2));
    assert!(text(&unknown_option.stderr).contains("--step"), "{}", text(&unknown_option.stderr));
}

#[test]
fn interrupt_ends_the_run_and_stops_its_processes() {
    let program = write_long_running_program();
    let arguments = ["run", "--seconds", "20", "--program", program.to_str().unwrap()];
    let run = scale_command(&arguments).stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    let begun = Instant::now();
    while started_processes(&program).len() < 2 {
        assert!(begun.elapsed() < TEST_TIMEOUT, "the two real directors were not started in time");
        std::thread::sleep(Duration::from_millis(5));
    }
    let signalled = Command::new("kill").args(["-INT", &run.id().to_string()]).status().unwrap();
    assert!(signalled.success());
    let output = run.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("interrupted"), "{}", text(&output.stderr));
    for pid in started_processes(&program) {
        assert!(!Path::new(&format!("/proc/{pid}")).exists(), "process {pid} is still running");
    }
}
