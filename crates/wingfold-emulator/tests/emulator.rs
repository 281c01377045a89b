//! The emulator: the same seed plays the same day, rules are checked and can be broken, scenarios are checked.

use wingfold_emulator::experiment::Experiment;
use wingfold_emulator::{report, simulate, Scenario};

fn text(name: &str) -> String {
    std::fs::read_to_string(format!("{}/scenarios/{name}.hcl", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

fn scenario(name: &str) -> Scenario {
    Scenario::read(name, &text(name)).unwrap_or_else(|faults| panic!("{faults}"))
}

#[test]
fn every_scenario_that_is_shipped_plays_keeps_the_rules_and_serves_most() {
    let folder = std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios")).unwrap();
    let mut names: Vec<String> = folder
        .map(|entry| entry.unwrap().path().file_stem().unwrap().to_str().unwrap().to_string())
        .collect();
    names.sort();
    assert!(names.len() >= 12);
    for name in names {
        let played = simulate(&scenario(&name), 1, None).unwrap();
        assert_eq!(played.margins.violations(), [], "{name}");
        let service = played.service_ratio();
        assert!((0.5..=1.0).contains(&service), "{name}: {service}");
        let all = played.class_counts(0);
        assert_eq!(
            all.arrived - all.rejected - all.in_time - all.late - all.failed,
            in_flight(&all),
            "{name}"
        );
    }
}

/// Requests that had no end when the day was over: a few at most.
fn in_flight(all: &wingfold_emulator::results::RequestCounts) -> u64 {
    let rest = all.arrived - all.rejected - all.in_time - all.late - all.failed;
    assert!(rest <= all.arrived / 20, "{rest} of {}", all.arrived);
    rest
}

#[test]
fn a_seed_plays_the_same_day_again_and_another_one_does_not() {
    let plan = scenario("release-and-errors");
    let [one, same, other] = [1, 1, 2].map(|seed| simulate(&plan, seed, None).unwrap());
    assert_eq!(
        (&one.request_counts, &one.digests, &one.log),
        (&same.request_counts, &same.digests, &same.log)
    );
    assert_ne!(one.request_counts, other.request_counts);
}

#[test]
fn troubles_cost_service_and_each_is_felt_where_it_strikes() {
    let calm = |name: &str| {
        let mut plan = scenario(name);
        plan.faults.clear();
        simulate(&plan, 3, None).unwrap().service_ratio()
    };
    for name in ["overload", "cold-host", "hang-and-vanish", "release-and-errors"] {
        let rough = simulate(&scenario(name), 3, None).unwrap().service_ratio();
        assert!(rough + 0.002 < calm(name), "{name}: {rough} against {}", calm(name));
    }
}

#[test]
fn a_rule_that_is_broken_is_told() {
    // Nobody can stop sending within a millisecond of being told, through a channel that takes 250 ms.
    let strict = text("drains-and-joins") + "\nrules {\n  drain_grace = \"1ms\"\n}\n";
    let plan = Scenario::read("strict", &strict).unwrap();
    let experiment = Experiment::run(plan, 1..=2, None, |_, _| ()).unwrap();
    assert_eq!(experiment.violations().len(), 2);
    let violation = experiment.violations()[0].violations[0].to_string();
    assert!(violation.contains("drains or is gone"), "{:?}", experiment.violations());
    let table = report::markdown(&experiment);
    assert!(table.contains("Broken with seed 1") && table.contains("| drains kept |"), "{table}");
}

#[test]
fn tables_and_charts_hold_every_seed_zone_and_class() {
    let experiment = Experiment::run(scenario("example"), 1..=3, None, |_, _| ()).unwrap();
    let csv = report::csv(&experiment);
    assert_eq!(csv.lines().count(), 1 + 3 * 3 * 2, "{csv}");
    assert!(csv.lines().all(|line| line.split(',').count() == 16));
    let service = experiment.mean(|played| played.service_ratio());
    assert!(service.count == 3 && service.half_width.is_finite());
    assert!(report::markdown(&experiment).contains("seeds 1, 2, 3"));
    assert!(report::chart(&experiment).unwrap().starts_with("<svg"));
}

#[test]
fn a_scenario_that_is_wrong_is_told_by_its_places() {
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
