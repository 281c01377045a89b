//! The smallest step of a scale run, on this build of the program: simulated directors do as the real ones, every
//! change reaches all of them, what fails is named, and nothing is left running.

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

const REAL: usize = 2;

/// One run at a time: a plan counts the descriptors of the whole process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A run on the smallest step, of the program under a name of its own.
fn smallest(name: &str, seconds: u64, fault: Fault) -> Run {
    let program = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("scale-{name}"));
    let _ = std::fs::remove_file(&program);
    symlink(env!("CARGO_BIN_EXE_wingfold"), &program).unwrap();
    Run {
        plan: Plan::new(Step::Sixteenth, REAL, Duration::from_secs(seconds), 1).unwrap(),
        program,
        fault: FaultPlan { fault, duration: Duration::from_secs(600) },
        timeouts: Timeouts::default(),
    }
}

/// The processes that run this program.
fn processes_of(program: &Path) -> Vec<u32> {
    let runs = |pid: &u32| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        line.split(|byte| *byte == 0).next() == Some(program.as_os_str().as_encoded_bytes())
    };
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    all.filter_map(|entry| entry.file_name().to_str()?.parse().ok()).filter(runs).collect()
}

/// Waits until all real directors run.
async fn all_run(program: &Path) -> Vec<u32> {
    loop {
        let processes = processes_of(program);
        if processes.len() == REAL {
            return processes;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn on_the_smallest_step_hollow_directors_do_as_real_ones_and_every_change_arrives() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let run = smallest("calm", 6, Fault::None);
    let report = run.play(pending()).await.unwrap();
    println!("{report}");
    assert_eq!(report.differences(), Vec::<&Comparison>::new());
    let (simulated, changes) = (report.fleet_size.simulated_directors(), report.list_changes as usize);
    assert!(changes >= 5, "{changes} changes of the list");
    assert_eq!(report.delays.start.count, simulated);
    assert_eq!(report.delays.list_to_real.count, REAL * changes);
    assert_eq!(report.delays.configuration_to_simulated.count, simulated);
    assert_eq!(report.delays.configuration_to_real.count, REAL);
    assert!(report.delays.list_to_proxies.count > 0);
    assert_eq!(report.delays.stale_uses, 0);
    assert!(
        report.health_checks.mean_per_host > 1.0,
        "{} probes a second at a host",
        report.health_checks.mean_per_host
    );
    let (held, planned) = (report.simulation_process.peak_descriptors, report.estimate.descriptors);
    assert!(held <= planned, "{held} descriptors where {planned} were planned");
    assert_eq!(report.real.len(), REAL);
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
async fn a_quarter_of_the_directors_restarts_and_all_have_the_list_again() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let run = smallest("restarted", 4, Fault::RestartQuarter);
    let report = run.play(pending()).await.unwrap();
    let (simulated, restarted) = (report.fleet_size.simulated_directors(), 7);
    assert_eq!(report.delays.start.count, simulated + restarted);
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

#[tokio::test]
async fn a_real_director_that_dies_is_named_and_nothing_is_left_running() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let run = smallest("killed", 20, Fault::None);
    let kills_one = async {
        let victim = all_run(&run.program).await[0].to_string();
        assert!(Command::new("kill").args(["-KILL", &victim]).status().unwrap().success());
        pending().await
    };
    match run.play(kills_one).await {
        Err(RunError::Fleet(FleetError::Real(RealDirectorError::Ended { name, .. }))) => {
            assert!(name.starts_with('n'))
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

#[tokio::test]
async fn an_interrupted_run_leaves_nothing_running() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let run = smallest("interrupted", 20, Fault::None);
    let interrupted = async { drop(all_run(&run.program).await) };
    assert!(matches!(run.play(interrupted).await, Err(RunError::Interrupted)));
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

#[tokio::test]
async fn a_discovery_that_stays_down_fails_the_run_by_the_directors_behind() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut run = smallest("down", 2, Fault::DiscoveryDown);
    run.timeouts.settle = Duration::from_secs(1);
    match run.play(pending()).await {
        Err(RunError::Behind { behind, rejected, .. }) => {
            assert!(behind == 30 && rejected > 0, "{behind}, {rejected}")
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

#[tokio::test]
async fn a_program_that_is_missing_or_never_answers_is_named() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut run = smallest("unready", 5, Fault::None);
    std::fs::remove_file(&run.program).unwrap();
    let missing = run.play(pending()).await;
    assert!(
        matches!(missing, Err(RunError::Fleet(FleetError::Real(RealDirectorError::Start { .. })))),
        "{missing:?}"
    );
    // One that runs and listens nowhere.
    symlink("/bin/sleep", &run.program).unwrap();
    let ended = run.play(pending()).await;
    assert!(
        matches!(ended, Err(RunError::Fleet(FleetError::Real(RealDirectorError::Ended { .. })))),
        "{ended:?}"
    );
    std::fs::remove_file(&run.program).unwrap();
    silent_program(&run.program);
    run.timeouts.ready = Duration::from_millis(300);
    let unready = run.play(pending()).await;
    let named = |error: &RunError| error.to_string().starts_with("n0 was not ready");
    assert!(unready.as_ref().is_err_and(named), "{unready:?}");
    assert_eq!(processes_of(&run.program), Vec::<u32>::new());
}

/// Writes a program that runs for a minute and does nothing.
fn silent_program(at: &Path) {
    use std::os::unix::fs::PermissionsExt;
    std::fs::write(at, "#!/bin/sh\nexec /bin/sleep 60\n").unwrap();
    std::fs::set_permissions(at, std::fs::Permissions::from_mode(0o755)).unwrap();
}
