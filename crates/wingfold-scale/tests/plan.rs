//! Fleet sizes of the ladder's steps, what is rejected, and the command line.

use std::time::Duration;
use wingfold_scale::cli;
use wingfold_scale::ladder::report_name;
use wingfold_scale::limits::{memory_bytes, open_files, MachineLimits, PlanError};
use wingfold_scale::plan::{FleetSize, Plan, Step};

const ROOMY: MachineLimits = MachineLimits { memory_bytes: 64 << 30, descriptors: 100_000 };

fn plan(step: Step, real_directors: usize) -> Result<Plan, PlanError> {
    Plan::new(step, real_directors, Duration::from_secs(30), 1)
}

fn refusal(words: &str) -> String {
    let words = format!("wingfold-scale {words}");
    cli::parse(words.split(' ').map(String::from)).expect_err("it is refused").to_string()
}

#[test]
fn the_ladder_leads_to_the_whole_fleet() {
    let fleet_size = |step| FleetSize::of_step(step, 2);
    let whole =
        FleetSize { directors: 480, real_directors: 2, hosts: 2_700, zones: 30, proxies_per_director: 48 };
    assert_eq!(fleet_size(Step::Whole), whole);
    let smallest = FleetSize { directors: 30, hosts: 169, zones: 2, ..whole };
    assert_eq!(fleet_size(Step::Sixteenth), smallest);
    assert!(Step::ALL
        .windows(2)
        .all(|pair| fleet_size(pair[0]).directors * 2 == fleet_size(pair[1]).directors));
}

#[test]
fn every_step_fits_a_machine_of_16_gib_and_20000_descriptors_and_the_smallest_the_usual_1024() {
    let machine = MachineLimits { memory_bytes: 16 << 30, descriptors: 20_000 };
    for step in Step::ALL {
        plan(step, 2).unwrap().check(&machine).unwrap();
    }
    let usual = MachineLimits { descriptors: 1_024, ..machine };
    plan(Step::Sixteenth, 2).unwrap().check(&usual).unwrap();
}

#[test]
fn what_would_take_too_much_is_refused_by_what_it_takes() {
    let whole = plan(Step::Whole, 2).unwrap();
    let estimate = whole.estimate();
    let one_less = MachineLimits { descriptors: estimate.descriptors - 1, ..ROOMY };
    assert!(matches!(whole.check(&one_less), Err(PlanError::Descriptors { .. })));
    let under_half = MachineLimits { memory_bytes: 2 * estimate.memory_bytes - 2, ..ROOMY };
    assert!(matches!(whole.check(&under_half), Err(PlanError::Memory { .. })));
    let just_half =
        MachineLimits { memory_bytes: 2 * estimate.memory_bytes, descriptors: estimate.descriptors };
    assert_eq!(whole.check(&just_half), Ok(estimate));
    assert_eq!(
        plan(Step::Whole, 299).unwrap().check(&MachineLimits { memory_bytes: 1 << 40, ..ROOMY }).err(),
        None
    );
    let many = plan(Step::Whole, 300).unwrap().check(&ROOMY);
    assert_eq!(many, Err(PlanError::Processes { needed: 301, allowed: 300 }));
    assert_eq!(plan(Step::Sixteenth, 0).err(), Some(PlanError::RealDirectors { requested: 0, max: 29 }));
    assert_eq!(plan(Step::Sixteenth, 30).err(), Some(PlanError::RealDirectors { requested: 30, max: 29 }));
}

#[test]
fn the_machines_limits_are_read_where_it_tells_them() {
    assert_eq!(memory_bytes("MemTotal:       24682500 kB\nMemFree: 1 kB\n"), Some(24_682_500 << 10));
    let limits = "Limit   Soft Limit  Hard Limit  Units\nMax open files            20000    40000    files\n";
    assert_eq!(open_files(limits), Some(20_000));
    assert_eq!(open_files("Max open files   unlimited  unlimited files\n"), Some(usize::MAX));
    assert_eq!((memory_bytes("MemTotal: lots\n"), open_files("")), (None, None));
    assert!(MachineLimits::read().unwrap().descriptors > 0);
}

#[test]
fn a_wrong_option_and_wrong_values_are_refused_with_those_that_exist() {
    let option = refusal("plan --speed 3");
    for exists in ["--step", "--seconds", "--seed", "--real", "--fault", "--program", "--json"] {
        assert!(option.contains(exists), "{exists} is not in: {option}");
    }
    let fault = refusal("plan --fault discovery-up");
    for exists in ["none", "discovery-down", "zone-silent", "restart-quarter", "region-cut"] {
        assert!(fault.contains(exists), "{exists} is not in: {fault}");
    }
    let step = refusal("plan --step 1/3");
    for exists in ["1/16", "1/8", "1/4", "1/2"] {
        assert!(step.contains(exists), "{exists} is not in: {step}");
    }
    assert!(refusal("play").contains("plan"));
}

#[test]
fn the_ladder_plays_every_step_and_then_every_fault_on_one() {
    let words = ["wingfold-scale", "ladder", "--fault-step", "1/8"].map(String::from);
    let cli::Command::Ladder(options) = cli::parse(words).unwrap().command else { panic!("the ladder") };
    let runs = options.ladder().runs().unwrap();
    let names: Vec<String> = runs.iter().map(report_name).collect();
    let steps = ["scale-1-16", "scale-1-8", "scale-1-4", "scale-1-2", "scale-1"];
    let faults = ["discovery-down", "zone-silent", "restart-quarter", "region-cut"];
    let faults = faults.map(|fault| format!("scale-1-8-{fault}"));
    assert_eq!(names, [&steps.map(String::from)[..], &faults[..]].concat());
    let of_too_many = cli::LadderOptions { real_directors: 30, ..options };
    assert!(of_too_many.ladder().runs().is_err(), "before any is played");
}
