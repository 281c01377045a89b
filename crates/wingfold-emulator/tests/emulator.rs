//! Runs of shipped scenarios, the effect of seeds and faults, violations of invariants, reports, and errors
//! in scenarios.

use wingfold_emulator::experiment::Experiment;
use wingfold_emulator::results::RequestCounts;
use wingfold_emulator::{report, simulate, Scenario};

/// The text of a scenario in the directory `scenarios`.
fn scenario_text(name: &str) -> String {
    std::fs::read_to_string(format!("{}/scenarios/{name}.hcl", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

fn scenario(name: &str) -> Scenario {
    Scenario::read(name, &scenario_text(name)).unwrap_or_else(|diagnostics| panic!("{diagnostics}"))
}

#[test]
fn shipped_scenarios_keep_invariants_and_answer_most_requests() {
    let files = std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios")).unwrap();
    let mut names: Vec<String> =
        files.map(|file| file.unwrap().path().file_stem().unwrap().to_str().unwrap().to_string()).collect();
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

/// The requests in progress when the run ended; at most 5 % of those that arrived.
fn requests_in_flight(counts: &RequestCounts) -> u64 {
    let in_flight = counts.arrived - counts.rejected - counts.in_time - counts.late - counts.failed;
    assert!(in_flight <= counts.arrived / 20, "{in_flight} of {} requests in progress", counts.arrived);
    in_flight
}

#[test]
fn runs_are_equal_for_equal_seeds_and_differ_for_other_seeds() {
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
        assert!(service + 0.002 < without_faults, "{name}: {service} with faults, {without_faults} without");
    }
}

#[test]
fn violations_are_reported_for_each_seed() {
    // No proxy can stop using a draining host within 1 ms of the notification of its director, because a push
    // takes 250 ms on average.
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
fn reports_cover_every_seed_zone_and_class() {
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
fn all_errors_of_a_scenario_are_reported_with_positions() {
    let text = r#"scenario "x" {
  rate = -1
  zones = ["a", "a"]
}
hosts "h" {
  cuont = 3
}
class "c" {
  aim = "5s"
  deadline = "1s"
  zones = ["d"]
}
fault "flood" {
  at = "1s"
}
fault "cut" {
  at = "99s"
}
fault "slow" {
  at = "1s"
  zone = "d"
}
"#;
    let diagnostics = Scenario::read("s.hcl", text).unwrap_err().to_string();
    for part in [
        "s.hcl:2:3: key `scenario[x].rate`",
        "s.hcl:1:1: key `scenario[x]`: `zones` must name at least one zone, and no zone twice",
        "did you mean `count`",
        "`deadline` is shorter than `aim`",
        "s.hcl:8:1: key `class[c]`: `zones` names `d`, which is not a zone of the scenario",
        "s.hcl:13:1: key `fault[flood]`: is not a known kind of fault; the kinds are crash, vanish",
        "s.hcl:16:1: key `fault[cut]`: `at` is not before the end of the scenario",
        "key `fault[slow]`: `zone` names `d`, which is not a zone of the scenario",
        "key `fault[cut].zone`: is missing",
    ] {
        assert!(diagnostics.contains(part), "{part}: {diagnostics}");
    }
}
