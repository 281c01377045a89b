//! Replays the cases that are kept in `captures/`, and checks the messages for failed conditions and invalid
//! files.

use std::path::{Path, PathBuf};
use wingfold_capture::block::BlockError;
use wingfold_capture::case::{check, Case, CaseFailure, CaseResult, Condition, Expectation, ExpectedStatus};
use wingfold_capture::entries;
use wingfold_capture::replay::ReplayError;
use wingfold_director::checkpoint::CheckpointError;
use wingfold_director::interface::SettingsError;

/// The directory, the case and the capture of every kept case.
fn kept_cases() -> Vec<(PathBuf, Case, Vec<u8>)> {
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

/// The failures of a case, in the texts that operators read.
fn texts(result: &CaseResult) -> Vec<String> {
    result.failures.iter().map(ToString::to_string).collect()
}

#[test]
fn every_kept_case_replays_and_passes() {
    let cases = kept_cases();
    assert!(cases.len() >= 5, "{} cases", cases.len());
    for (folder, case, bytes) in cases {
        let result = check(&case, entries(&bytes));
        assert!(result.failures.is_empty(), "{}: {:#?}", folder.display(), result.failures);
        assert!(result.calls > 100 && !case.expectations.is_empty(), "{}", folder.display());
    }
}

#[test]
fn failed_conditions_are_reported_with_time_and_values() {
    let (_, case, bytes) = kept_cases().into_iter().find(|(_, case, _)| case.name == "wrong-list").unwrap();
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
    assert!(
        out.len() == 1 && out[0].starts_with("+17") && out[0].contains("host full-3 is in table"),
        "{out:?}"
    );
    let share = failures(Condition::Share { host: "full-2".into(), zone: zone(), least: 0.01, most: 1.0 });
    assert!(share[0].contains("host full-2 has share 0.0000 in table"), "{share:?}");
    assert!(share[0].ends_with("of zone a, expected 0.01 to 1"), "{share:?}");
    let expected = ExpectedStatus::Leading;
    let status = failures(Condition::Status { host: "full-2".into(), zone: zone(), expected });
    assert!(status[0].contains("host full-2 has status out in zone a, expected leading"), "{status:?}");
    let level =
        failures(Condition::AdmissionLevel { class: "verdict".into(), zone: None, least: 2.0, most: 3.0 });
    assert!(level[0].contains("class verdict has admission level 1 in zone a, expected 2 to 3"), "{level:?}");
    let class =
        failures(Condition::AdmissionLevel { class: "video".into(), zone: None, least: 0.0, most: 1.0 });
    assert!(class[0].contains("the capture has no class `video`"), "{class:?}");
    let unknown_zone = failures(Condition::NotInTables { host: "full-3".into(), zone: Some("z".into()) });
    let text = "the director has no zone that matches the expectation";
    assert!(unknown_zone[0].contains(text), "{unknown_zone:?}");
    let late = std::time::Duration::from_secs(9000);
    let after_the_capture = Expectation {
        condition: Condition::NotInTables { host: "x".into(), zone: None },
        after: late,
        until: late,
    };
    let faults =
        texts(&check(&Case { expectations: vec![after_the_capture], ..case.clone() }, entries(&bytes)));
    assert!(faults[0].contains("no call falls into the span"), "{faults:?}");
    let faults = texts(&check(&case, entries(b"nothing")));
    assert!(faults.iter().any(|fault| fault.contains("no call could be replayed")));
}

#[test]
fn invalid_case_files_are_reported_with_key_and_position() {
    let text = "case \"x\" {\n  tables = \"same\"\n}\nexpect \"gone\" {\n  host = \"h\"\n}\n\
                expect \"out\" {\n  zone = \"a\"\n  after = \"9s\"\n  until = \"2s\"\n}\n";
    let faults = Case::read("c.hcl", text).unwrap_err().to_string();
    for part in [
        "c.hcl:2:3: key `case[x].tables`",
        "c.hcl:4:1: key `expect[gone]`: is not a kind of condition",
        "key `expect[out].host`: is missing",
        "`until` comes before",
    ] {
        assert!(faults.contains(part), "{part}: {faults}");
    }
    assert!(Case::read("c.hcl", "").unwrap_err().to_string().contains("is missing"));
}

#[test]
fn failed_replays_are_reported_with_their_cause() {
    let settings = SettingsError::TooManyProxies { count: u32::MAX };
    let checkpoint = CheckpointError::OtherSettings;
    let errors = [
        (
            ReplayError::Head(BlockError::Magic),
            format!("the first block is not a valid head: {}", BlockError::Magic),
        ),
        (
            ReplayError::Settings(settings.clone()),
            format!("the settings in the head are invalid: {settings}"),
        ),
        (
            ReplayError::Checkpoint { call: 7, error: checkpoint.clone() },
            format!("checkpoint before call 7: {checkpoint}"),
        ),
        (
            ReplayError::Call(8),
            "call 8 cannot be replayed: its time, an event, its actions or the number of zones is invalid"
                .into(),
        ),
    ];
    for (error, text) in errors {
        assert_eq!(error.to_string(), text);
        assert_eq!(CaseFailure::Replay(error).to_string(), format!("the capture cannot be replayed: {text}"));
    }
    let damaged = CaseFailure::Damaged { offset: 28, fault: BlockError::Contents };
    assert_eq!(damaged.to_string(), format!("the capture is damaged at byte 28: {}", BlockError::Contents));
    let different = CaseFailure::Different { after_s: 1.5, call: 9, differences: 2 };
    let text = "+1.50s, call 9: the replay differs from the recording (2 differences)";
    assert_eq!(different.to_string(), text);
}
