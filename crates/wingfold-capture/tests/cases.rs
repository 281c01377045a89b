//! Every case that is kept in `captures/` can be replayed and passes.

use std::path::{Path, PathBuf};
use wingfold_capture::case::{check, Case, CaseResult, Condition, Expectation, ExpectedStatus};
use wingfold_capture::entries;

fn cases() -> Vec<(PathBuf, Case, Vec<u8>)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../captures");
    let mut folders: Vec<PathBuf> =
        std::fs::read_dir(root).unwrap().map(|entry| entry.unwrap().path()).collect();
    folders.sort();
    let read = |folder: PathBuf| {
        let text = std::fs::read_to_string(folder.join("case.hcl")).unwrap();
        let case =
            Case::read(&folder.display().to_string(), &text).unwrap_or_else(|faults| panic!("{faults}"));
        let bytes = std::fs::read(folder.join("capture.wfcap")).unwrap();
        (folder, case, bytes)
    };
    folders.into_iter().map(read).collect()
}

/// The failures of a case, as an operator reads them.
fn texts(result: &CaseResult) -> Vec<String> {
    result.failures.iter().map(ToString::to_string).collect()
}

#[test]
fn every_kept_case_replays_and_passes() {
    let cases = cases();
    assert!(cases.len() >= 5, "{} cases", cases.len());
    for (folder, case, bytes) in cases {
        let result = check(&case, entries(&bytes));
        assert!(result.failures.is_empty(), "{}: {:#?}", folder.display(), result.failures);
        assert!(result.calls > 100 && !case.expectations.is_empty(), "{}", folder.display());
    }
}

#[test]
fn a_failed_condition_is_reported_with_its_time() {
    let (_, case, bytes) = cases().into_iter().find(|(_, case, _)| case.name == "wrong-list").unwrap();
    let failures = |condition: Condition| {
        let expectation = Expectation {
            condition,
            after: std::time::Duration::from_secs(17),
            until: std::time::Duration::from_secs(30),
        };
        let case = Case { expectations: vec![expectation], ..case.clone() };
        texts(&check(&case, entries(&bytes)))
    };
    let zone = || Some("a".to_string());
    let out = failures(Condition::NotInTables { host: "full-3".into(), zone: zone() });
    assert!(out.len() == 1 && out[0].starts_with("+17") && out[0].contains("full-3 is in table"), "{out:?}");
    let share = failures(Condition::Share { host: "full-2".into(), zone: zone(), least: 0.01, most: 1.0 });
    assert!(share[0].contains("full-2 has 0.0000"), "{share:?}");
    let standing =
        failures(Condition::Status { host: "full-2".into(), zone: zone(), is: ExpectedStatus::Leading });
    assert!(standing[0].contains("full-2 is out in a, not leading"), "{standing:?}");
    let level =
        failures(Condition::AdmissionLevel { class: "verdict".into(), zone: None, least: 2.0, most: 3.0 });
    assert!(level[0].contains("verdict is at level 1 in a"), "{level:?}");
    let class =
        failures(Condition::AdmissionLevel { class: "video".into(), zone: None, least: 0.0, most: 1.0 });
    assert!(class[0].contains("there is no class `video`"), "{class:?}");
    let nowhere = failures(Condition::NotInTables { host: "full-3".into(), zone: Some("z".into()) });
    assert!(nowhere[0].contains("no such zone"), "{nowhere:?}");
    let late = std::time::Duration::from_secs(9000);
    let never = Expectation {
        condition: Condition::NotInTables { host: "x".into(), zone: None },
        after: late,
        until: late,
    };
    let faults = texts(&check(&Case { expectations: vec![never], ..case.clone() }, entries(&bytes)));
    assert!(faults[0].contains("no call falls into the span"), "{faults:?}");
    let faults = texts(&check(&case, entries(b"nothing")));
    assert!(faults.iter().any(|fault| fault.contains("no call could be replayed")));
}

#[test]
fn faults_of_a_case_file_are_reported_with_their_places() {
    let text = "case \"x\" {\n  tables = \"same\"\n}\nexpect \"gone\" {\n  host = \"h\"\n}\nexpect \"out\" {\n  zone = \"a\"\n  \
                after = \"9s\"\n  until = \"2s\"\n}\n";
    let faults = Case::read("c.hcl", text).unwrap_err().to_string();
    for part in [
        "c.hcl:2:3: key `case[x].tables`",
        "c.hcl:4:1: key `expect[gone]`: is not known",
        "key `expect[out].host`: is missing",
        "`until` comes before",
    ] {
        assert!(faults.contains(part), "{part}: {faults}");
    }
    assert!(Case::read("c.hcl", "").unwrap_err().to_string().contains("is missing"));
}
