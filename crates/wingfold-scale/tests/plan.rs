//! Plans: the fleet sizes of the steps, the limits that reject a plan, and the options of the command line.

use std::time::Duration;
use wingfold_scale::cli;
use wingfold_scale::ladder::report_name;
use wingfold_scale::limits::{memory_bytes, open_files, MachineLimits, PlanError};
use wingfold_scale::plan::{FleetSize, Plan, Step};

/// Limits that no step exceeds with two real directors.
const AMPLE_LIMITS: MachineLimits = MachineLimits { memory_bytes: 64 << 30, descriptors: 100_000 };

fn plan(step: Step, real_directors: usize) -> Result<Plan, PlanError> {
    Plan::new(step, real_directors, Duration::from_secs(30), 1)
}

/// Returns the error for an invalid command line.
fn parse_error(arguments: &str) -> String {
    let arguments = format!("wingfold-scale {arguments}");
    cli::parse(arguments.split(' ').map(String::from)).expect_err("the command line is accepted").to_string()
}

#[test]
fn each_step_doubles_the_fleet_up_to_the_full_size() {
    let fleet_size = |step| FleetSize::of_step(step, 2);
    let full =
        FleetSize { directors: 480, real_directors: 2, hosts: 2_700, zones: 30, proxies_per_director: 48 };
    assert_eq!(fleet_size(Step::Full), full);
    let smallest = FleetSize { directors: 30, hosts: 169, zones: 2, ..full };
    assert_eq!(fleet_size(Step::Sixteenth), smallest);
    assert!(Step::ALL
        .windows(2)
        .all(|pair| fleet_size(pair[0]).directors * 2 == fleet_size(pair[1]).directors));
}

#[test]
fn plans_fit_16_gib_and_20000_descriptors_smallest_step_1024() {
    let machine = MachineLimits { memory_bytes: 16 << 30, descriptors: 20_000 };
    for step in Step::ALL {
        plan(step, 2).unwrap().check(&machine).unwrap();
    }
    let default_limits = MachineLimits { descriptors: 1_024, ..machine };
    plan(Step::Sixteenth, 2).unwrap().check(&default_limits).unwrap();
}

#[test]
fn plan_beyond_a_limit_is_rejected_with_that_limit() {
    let full = plan(Step::Full, 2).unwrap();
    let estimate = full.estimate();
    let too_few_descriptors = MachineLimits { descriptors: estimate.descriptors - 1, ..AMPLE_LIMITS };
    assert!(matches!(full.check(&too_few_descriptors), Err(PlanError::Descriptors { .. })));
    let too_little_memory = MachineLimits { memory_bytes: 2 * estimate.memory_bytes - 2, ..AMPLE_LIMITS };
    assert!(matches!(full.check(&too_little_memory), Err(PlanError::Memory { .. })));
    let just_enough =
        MachineLimits { memory_bytes: 2 * estimate.memory_bytes, descriptors: estimate.descriptors };
    assert_eq!(full.check(&just_enough), Ok(estimate));
    assert_eq!(
        plan(Step::Full, 299).unwrap().check(&MachineLimits { memory_bytes: 1 << 40, ..AMPLE_LIMITS }).err(),
        None
    );
    let too_many_processes = plan(Step::Full, 300).unwrap().check(&AMPLE_LIMITS);
    assert_eq!(too_many_processes, Err(PlanError::Processes { needed: 301, allowed: 300 }));
    assert_eq!(plan(Step::Sixteenth, 0).err(), Some(PlanError::RealDirectors { requested: 0, max: 29 }));
    assert_eq!(plan(Step::Sixteenth, 30).err(), Some(PlanError::RealDirectors { requested: 30, max: 29 }));
}

#[test]
fn machine_limits_are_parsed_from_proc_files() {
    assert_eq!(memory_bytes("MemTotal:       24682500 kB\nMemFree: 1 kB\n"), Some(24_682_500 << 10));
    let limits = "Limit   Soft Limit  Hard Limit  Units\nMax open files            20000    40000    files\n";
    assert_eq!(open_files(limits), Some(20_000));
    assert_eq!(open_files("Max open files   unlimited  unlimited files\n"), Some(usize::MAX));
    assert_eq!((memory_bytes("MemTotal: lots\n"), open_files("")), (None, None));
    assert!(MachineLimits::read().unwrap().descriptors > 0);
}

#[test]
fn errors_for_unknown_options_and_values_list_the_valid_ones() {
    let option_error = parse_error("plan --speed 3");
    for valid in ["--step", "--seconds", "--seed", "--real", "--fault", "--program", "--json"] {
        assert!(option_error.contains(valid), "{valid} is not in: {option_error}");
    }
    let fault_error = parse_error("plan --fault discovery-up");
    for valid in ["none", "discovery-down", "zone-silent", "restart-quarter", "region-cut"] {
        assert!(fault_error.contains(valid), "{valid} is not in: {fault_error}");
    }
    let step_error = parse_error("plan --step 1/3");
    for valid in ["1/16", "1/8", "1/4", "1/2"] {
        assert!(step_error.contains(valid), "{valid} is not in: {step_error}");
    }
    assert!(parse_error("play").contains("plan"));
}

#[test]
fn ladder_runs_every_step_then_every_fault_on_one_step() {
    let arguments = ["wingfold-scale", "ladder", "--fault-step", "1/8"].map(String::from);
    let cli::Command::Ladder(options) = cli::parse(arguments).unwrap().command else {
        panic!("not parsed as `ladder`")
    };
    let runs = options.ladder().runs().unwrap();
    let names: Vec<String> = runs.iter().map(report_name).collect();
    let steps = ["scale-1-16", "scale-1-8", "scale-1-4", "scale-1-2", "scale-1"];
    let faults = ["discovery-down", "zone-silent", "restart-quarter", "region-cut"];
    let faults = faults.map(|fault| format!("scale-1-8-{fault}"));
    assert_eq!(names, [&steps.map(String::from)[..], &faults[..]].concat());
    let too_many_directors = cli::LadderOptions { real_directors: 30, ..options };
    assert!(too_many_directors.ladder().runs().is_err(), "an invalid plan fails before the first run");
}
