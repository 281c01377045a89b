//! The emulator: a seed determines a run, invariants are measured and can be violated, scenarios are
//! validated.

use wingfold_emulator::experiment::Experiment;
use wingfold_emulator::results::RequestCounts;
use wingfold_emulator::{report, simulate, Scenario};

/// The text of a scenario of the folder `scenarios`.
fn scenario_text(name: &str) -> String {
    std::fs::read_to_string(format!("{}/scenarios/{name}.hcl", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

fn scenario(name: &str) -> Scenario {
    Scenario::read(name, &scenario_text(name)).unwrap_or_else(|faults| panic!("{faults}"))
}

#[test]
fn every_shipped_scenario_runs_keeps_the_invariants_and_serves_most_requests() {
    let folder = std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios")).unwrap();
    let mut names: Vec<String> = folder
        .map(|entry| entry.unwrap().path().file_stem().unwrap().to_str().unwrap().to_string())
        .collect();
    names.sort();
    assert!(names.len() >= 12);
    for name in names {
        let result = simulate(&scenario(&name), 1, None).unwrap();
        assert_eq!(result.margins.violations(), [], "{name}");
        let service = result.service_ratio();
        assert!((0.5..=1.0).contains(&service), "{name}: {service}");
        let counts = result.class_counts(0);
        assert_eq!(
            counts.arrived - counts.rejected - counts.in_time - counts.late - counts.failed,
            requests_in_flight(&counts),
            "{name}"
        );
    }
}

/// Requests that were under way when the run ended: a few at most.
fn requests_in_flight(counts: &RequestCounts) -> u64 {
    let in_flight = counts.arrived - counts.rejected - counts.in_time - counts.late - counts.failed;
    assert!(in_flight <= counts.arrived / 20, "{in_flight} of {}", counts.arrived);
    in_flight
}

#[test]
fn a_seed_determines_the_run_and_another_seed_gives_another() {
    let scenario = scenario("release-and-errors");
    let [first, repeated, other] = [1, 1, 2].map(|seed| simulate(&scenario, seed, None).unwrap());
    assert_eq!(
        (&first.request_counts, &first.digests, &first.log),
        (&repeated.request_counts, &repeated.digests, &repeated.log)
    );
    assert_ne!(first.request_counts, other.request_counts);
}

#[test]
fn faults_reduce_the_service_ratio() {
    let service_without_faults = |name: &str| {
        let mut scenario = scenario(name);
        scenario.faults.clear();
        simulate(&scenario, 3, None).unwrap().service_ratio()
    };
    for name in ["overload", "cold-host", "hang-and-vanish", "release-and-errors"] {
        let without_faults = service_without_faults(name);
        let service = simulate(&scenario(name), 3, None).unwrap().service_ratio();
        assert!(service + 0.002 < without_faults, "{name}: {service} against {without_faults}");
    }
}

#[test]
fn a_violated_invariant_is_reported() {
    // No proxy can stop within a millisecond after its director was notified: a push takes 250 ms on average.
    let strict = scenario_text("drains-and-joins") + "\nrules {\n  drain_grace = \"1ms\"\n}\n";
    let scenario = Scenario::read("strict", &strict).unwrap();
    let experiment = Experiment::run(scenario, 1..=2, None, |_, _| ()).unwrap();
    assert_eq!(experiment.violations().len(), 2);
    let violation = experiment.violations()[0].violations[0].to_string();
    assert!(violation.contains("drains or is gone"), "{:?}", experiment.violations());
    let table = report::markdown(&experiment);
    assert!(table.contains("Broken with seed 1") && table.contains("| drains kept |"), "{table}");
}

#[test]
fn tables_and_charts_cover_every_seed_zone_and_class() {
    let experiment = Experiment::run(scenario("example"), 1..=3, None, |_, _| ()).unwrap();
    let csv = report::csv(&experiment);
    assert_eq!(csv.lines().count(), 1 + 3 * 3 * 2, "{csv}");
    assert!(csv.lines().all(|line| line.split(',').count() == 16));
    let service = experiment.mean(|result| result.service_ratio());
    assert!(service.count == 3 && service.half_width.is_finite());
    assert!(report::markdown(&experiment).contains("seeds 1, 2, 3"));
    assert!(report::chart(&experiment).unwrap().starts_with("<svg"));
}

#[test]
fn every_error_of_a_scenario_is_reported_with_its_place() {
    let text = "scenario \"x\" {\n  rate = -1\n  zones = [\"a\", \"a\"]\n}\nhosts \"h\" {\n  cuont = 3\n}\nclass \"c\" {\n  aim = \"5s\"\n  \
                deadline = \"1s\"\n}\nfault \"flood\" {\n  at = \"1s\"\n}\nfault \"cut\" {\n  at = \"99s\"\n}\n";
    let faults = Scenario::read("s.hcl", text).unwrap_err().to_string();
    for part in [
        "s.hcl:2:3: key `scenario[x].rate`",
        "each once",
        "did you mean `count`",
        "`deadline` comes before `aim`",
        "s.hcl:12:1: key `fault[flood]`: is not known; here are crash",
        "begins after the scenario has ended",
        "key `fault[cut].zone`: is missing",
    ] {
        assert!(faults.contains(part), "{part}: {faults}");
    }
}
