//! Names of commands: commands that were renamed still run under their earlier names.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Each renamed command: its name and its earlier name.
const RENAMED: [(&str, &str); 4] =
    [("emulate", "lab"), ("explain", "why"), ("metrics", "figures"), ("settings", "own")];

/// Runs the program with these arguments until it exits.
fn run_wingfold(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wingfold")).args(arguments).env_clear().output().unwrap()
}

/// The standard output and the standard error of a command.
fn output_texts(output: &Output) -> (String, String) {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    (text(&output.stdout), text(&output.stderr))
}

/// The path of a file of the repository.
fn repository_file(name: &str) -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(name).display().to_string()
}

/// Checks the exit code of a command and a part of its output, and that the command has the same exit code
/// and output under its earlier name.
fn assert_same_under_both_names(name: &str, arguments: &[&str], code: i32, part: &str) {
    let (_, earlier_name) = RENAMED.into_iter().find(|(new, _)| *new == name).unwrap();
    let output = run_wingfold(&[&[name], arguments].concat());
    let earlier_output = run_wingfold(&[&[earlier_name], arguments].concat());
    let texts = output_texts(&output);
    assert_eq!(output.status.code(), Some(code), "{name} {arguments:?}: {texts:?}");
    assert!(texts.0.contains(part) || texts.1.contains(part), "{name} {arguments:?}: {texts:?}");
    assert_eq!(earlier_output.status.code(), Some(code), "{earlier_name} {arguments:?}");
    assert_eq!(output_texts(&earlier_output), texts, "{earlier_name} {arguments:?}");
}

#[test]
fn renamed_commands_behave_the_same_under_their_earlier_names() {
    let capture = repository_file("captures/overload/capture.wfcap");
    let settings = repository_file("deploy/wingfold.hcl");
    let scenario = repository_file("crates/wingfold-emulator/scenarios/example.hcl");
    let cases: [(&str, &[&str], i32, &str); 13] = [
        ("emulate", &["run", &scenario, "--seeds", "3"], 0, "service"),
        ("emulate", &["run", &scenario, "--seeds", "3..1"], 2, "not a range of seeds"),
        ("emulate", &["check", &scenario], 0, ""),
        ("emulate", &["check", "no-such.hcl"], 2, "no-such.hcl"),
        ("explain", &[&capture], 0, "hosts"),
        ("explain", &[&capture, "--at", "+25s", "--proxy", "0", "--json"], 0, "\"hosts\""),
        ("explain", &[&capture, "--host", "nobody"], 2, "no host `nobody`"),
        ("metrics", &["list"], 0, "news.zone.state"),
        ("metrics", &["list", "--markdown"], 0, "news.zone.state"),
        ("metrics", &["watch", "127.0.0.1:1"], 2, "127.0.0.1:1"),
        ("settings", &["check", &settings], 0, ": valid"),
        ("settings", &["check", &scenario], 2, "is not known"),
        ("settings", &["check"], 2, "Usage: wingfold settings check <FILE>"),
    ];
    for (name, arguments, code, part) in cases {
        assert_same_under_both_names(name, arguments, code, part);
    }
}

#[test]
fn help_is_the_same_under_both_names_and_shows_both() {
    let (help, _) = output_texts(&run_wingfold(&["--help"]));
    for (name, earlier_name) in RENAMED {
        assert_same_under_both_names(name, &["--help"], 0, &format!("Usage: wingfold {name}"));
        let line = help.lines().find(|line| line.trim_start().starts_with(name)).unwrap();
        assert!(line.contains(&format!("[alias: {earlier_name}]")), "{line}");
    }
}

#[test]
fn completions_include_both_names() {
    let (bash, _) = output_texts(&run_wingfold(&["completions", "bash"]));
    for name in RENAMED.into_iter().flat_map(|(name, earlier_name)| [name, earlier_name]) {
        assert!(bash.contains(&format!("wingfold,{name})")), "bash: {name}");
    }
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let (script, _) = output_texts(&run_wingfold(&["completions", shell]));
        for name in RENAMED.into_iter().flat_map(|(name, earlier_name)| [name, earlier_name]) {
            let mut tokens = script.split(|c: char| !c.is_ascii_alphanumeric());
            assert!(tokens.any(|token| token == name), "{shell}: {name}");
        }
    }
}
