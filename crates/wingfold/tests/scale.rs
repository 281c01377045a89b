//! The smallest step of a scale run with this build of the program: simulated directors behave like real
//! ones, every change reaches all directors, failures are named, and no process is left running.

use std::future::pending;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tokio::sync::Mutex;
use wingfold_scale::compare::Comparison;
use wingfold_scale::faults::Fault;
use wingfold_scale::fleet::FleetError;
use wingfold_scale::plan::{Plan, Step};
use wingfold_scale::real_director::RealDirectorError;
use wingfold_scale::run::{Run, RunError, Timeouts};
use wingfold_scale::script::FaultPlan;

/// Number of real directors in each run.
const REAL_DIRECTORS: usize = 2;

/// Lets one run proceed at a time, because a plan counts the descriptors of the whole process.
static RUN_LOCK: Mutex<()> = Mutex::const_new(());

/// A run of the smallest step. The program gets a path of its own, by which the test finds its processes.
fn smallest_run(name: &str, seconds: u64, fault: Fault) -> Run {
    let program = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("scale-{name}"));
    let _ = std::fs::remove_file(&program);
    symlink(env!("CARGO_BIN_EXE_wingfold"), &program).unwrap();
    Run {
        plan: Plan::new(Step::Sixteenth, REAL_DIRECTORS, Duration::from_secs(seconds), 1).unwrap(),
        program,
        fault: FaultPlan { fault, duration: Duration::from_secs(600) },
        timeouts: Timeouts::default(),
    }
}

/// The ids of the processes that run this program.
fn processes_of(program: &Path) -> Vec<u32> {
    let runs_program = |pid: &u32| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        line.split(|byte| *byte == 0).next() == Some(program.as_os_str().as_encoded_bytes())
    };
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    processes.filter_map(|entry| entry.file_name().to_str()?.parse().ok()).filter(runs_program).collect()
}

/// Waits until all real directors run, and returns their process ids.
async fn wait_for_real_directors(program: &Path) -> Vec<u32> {
    loop {
        let processes = processes_of(program);
        if processes.len() == REAL_DIRECTORS {
            return processes;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn simulated_and_real_directors_agree_and_receive_every_change() {
    let _run_guard = RUN_LOCK.lock().await;
    let run = smallest_run("without-fault", 6, Fault::None);
    let report = run.execute(pending()).await.unwrap();
    println!("{report}");
    assert_eq!(report.differences(), Vec::<&Comparison>::new());
    let (simulated, changes) = (report.fleet_size.simulated_directors(), report.list_changes as usize);
    assert!(changes >= 5, "only {changes} changes of the list");
    assert_eq!(report.delays.start.count, simulated);
    assert_eq!(report.delays.list_to_real.count, REAL_DIRECTORS * changes);
    assert_eq!(report.delays.configuration_to_simulated.count, simulated);
    assert_eq!(report.delays.configuration_to_real.count, REAL_DIRECTORS);
    assert!(report.delays.list_to_proxies.count > 0);
    assert_eq!(report.delays.stale_uses, 0);
    assert!(
        report.health_checks.mean_per_host > 1.0,
        "{} health checks a second at a host",
        report.health_checks.mean_per_host
    );
    let (peak, planned) = (report.simulation_process.peak_descriptors, report.estimate.descriptors);
    assert!(peak <= planned, "{peak} descriptors where {planned} were planned");
    assert_eq!(report.real.len(), REAL_DIRECTORS);
    for real in &report.real {
        assert!(
            real.processor_s > 0.0 && real.peak_memory_mib > 1.0 && real.peak_descriptors > 48,
            "{real:?}"
        );
        assert!(real.proxies.bytes_in > 0 && real.collectors.bytes_out > 0, "{real:?}");
    }
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

#[tokio::test]
async fn restarted_quarter_of_the_directors_gets_the_list_again() {
    let _run_guard = RUN_LOCK.lock().await;
    let run = smallest_run("restarted", 4, Fault::RestartQuarter);
    let report = run.execute(pending()).await.unwrap();
    let (simulated, restarted) = (report.fleet_size.simulated_directors(), 7);
    assert_eq!(report.delays.start.count, simulated + restarted);
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

#[tokio::test]
async fn killed_real_director_is_named_and_no_process_is_left() {
    let _run_guard = RUN_LOCK.lock().await;
    let run = smallest_run("killed", 20, Fault::None);
    let kill_one = async {
        let process = wait_for_real_directors(&run.program).await[0].to_string();
        assert!(Command::new("kill").args(["-KILL", &process]).status().unwrap().success());
        pending().await
    };
    match run.execute(kill_one).await {
        Err(RunError::Fleet(FleetError::Real(RealDirectorError::Ended { name, .. }))) => {
            assert!(name.starts_with('n'))
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

#[tokio::test]
async fn interrupted_run_leaves_no_process() {
    let _run_guard = RUN_LOCK.lock().await;
    let run = smallest_run("interrupted", 20, Fault::None);
    let interrupted = async { drop(wait_for_real_directors(&run.program).await) };
    assert!(matches!(run.execute(interrupted).await, Err(RunError::Interrupted)));
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

#[tokio::test]
async fn run_with_discovery_down_fails_with_the_directors_behind() {
    let _run_guard = RUN_LOCK.lock().await;
    let mut run = smallest_run("down", 2, Fault::DiscoveryDown);
    run.timeouts.settle = Duration::from_secs(1);
    match run.execute(pending()).await {
        Err(RunError::DirectorsBehind { behind, rejected, .. }) => {
            assert!(
                behind == 30 && rejected > 0,
                "{behind} directors behind, discovery rejected the last request of {rejected}"
            )
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

#[tokio::test]
async fn missing_exiting_or_unresponsive_program_is_reported() {
    let _run_guard = RUN_LOCK.lock().await;
    let mut run = smallest_run("unready", 5, Fault::None);
    std::fs::remove_file(&run.program).unwrap();
    let missing = run.execute(pending()).await;
    assert!(
        matches!(missing, Err(RunError::Fleet(FleetError::Real(RealDirectorError::Start { .. })))),
        "{missing:?}"
    );
    // Without arguments `sleep` exits at once.
    symlink("/bin/sleep", &run.program).unwrap();
    let ended = run.execute(pending()).await;
    assert!(
        matches!(ended, Err(RunError::Fleet(FleetError::Real(RealDirectorError::Ended { .. })))),
        "{ended:?}"
    );
    std::fs::remove_file(&run.program).unwrap();
    write_unresponsive_program(&run.program);
    run.timeouts.ready = Duration::from_millis(300);
    let unready = run.execute(pending()).await;
    let is_not_ready = |error: &RunError| error.to_string().starts_with("n0 was not ready");
    assert!(unready.as_ref().is_err_and(is_not_ready), "{unready:?}");
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

/// Writes a program that runs for a minute and never listens.
fn write_unresponsive_program(path: &Path) {
    use std::os::unix::fs::PermissionsExt;
    std::fs::write(path, "#!/bin/sh\nexec /bin/sleep 60\n").unwrap();
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o755)).unwrap();
}
