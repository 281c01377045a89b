//! The words of the command line: commands that were renamed still answer to their earlier words.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Each renamed command: its word and its earlier word.
const RENAMED: [(&str, &str); 4] =
    [("emulate", "lab"), ("explain", "why"), ("metrics", "figures"), ("settings", "own")];

fn wingfold(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wingfold")).args(arguments).env_clear().output().unwrap()
}

/// What a command prints, and whether it printed on standard output or on standard error.
fn printed(output: &Output) -> (String, String) {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    (text(&output.stdout), text(&output.stderr))
}

/// The path of a file of the repository.
fn repository_file(name: &str) -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(name).display().to_string()
}

/// Checks that a command exits with this code and prints this, and does both in the same way by its earlier word.
fn assert_same_by_both_words(word: &str, arguments: &[&str], code: i32, part: &str) {
    let (_, earlier_word) = RENAMED.into_iter().find(|(new, _)| *new == word).unwrap();
    let output = wingfold(&[&[word], arguments].concat());
    let earlier_output = wingfold(&[&[earlier_word], arguments].concat());
    let text = printed(&output);
    assert_eq!(output.status.code(), Some(code), "{word} {arguments:?}: {text:?}");
    assert!(text.0.contains(part) || text.1.contains(part), "{word} {arguments:?}: {text:?}");
    assert_eq!(earlier_output.status.code(), Some(code), "{earlier_word} {arguments:?}");
    assert_eq!(printed(&earlier_output), text, "{earlier_word} {arguments:?}");
}

#[test]
fn earlier_words_of_commands_do_and_print_the_same() {
    let capture = repository_file("captures/overload/capture.wfcap");
    let settings = repository_file("deploy/wingfold.hcl");
    let scenario = repository_file("crates/wingfold-emulator/scenarios/example.hcl");
    let cases: [(&str, &[&str], i32, &str); 13] = [
        ("emulate", &["run", &scenario, "--seeds", "3"], 0, "service"),
        ("emulate", &["run", &scenario, "--seeds", "3..1"], 2, "no range of seeds"),
        ("emulate", &["check", &scenario], 0, ""),
        ("emulate", &["check", "no-such.hcl"], 2, "no-such.hcl"),
        ("explain", &[&capture], 0, "hosts"),
        ("explain", &[&capture, "--at", "+25s", "--proxy", "0", "--json"], 0, "\"hosts\""),
        ("explain", &[&capture, "--host", "nobody"], 2, "no host `nobody`"),
        ("metrics", &["list"], 0, "news.zone.state"),
        ("metrics", &["list", "--markdown"], 0, "news.zone.state"),
        ("metrics", &["watch", "127.0.0.1:1"], 2, "127.0.0.1:1"),
        ("settings", &["check", &settings], 0, "good"),
        ("settings", &["check", &scenario], 2, "is not known"),
        ("settings", &["check"], 2, "Usage: wingfold settings check <FILE>"),
    ];
    for (word, arguments, code, part) in cases {
        assert_same_by_both_words(word, arguments, code, part);
    }
}

#[test]
fn help_is_the_same_by_both_words_and_names_both() {
    let (help, _) = printed(&wingfold(&["--help"]));
    for (word, earlier_word) in RENAMED {
        assert_same_by_both_words(word, &["--help"], 0, &format!("Usage: wingfold {word}"));
        let line = help.lines().find(|line| line.trim_start().starts_with(word)).unwrap();
        assert!(line.contains(&format!("[alias: {earlier_word}]")), "{line}");
    }
}

#[test]
fn completions_know_both_words() {
    let (bash, _) = printed(&wingfold(&["completions", "bash"]));
    for word in RENAMED.into_iter().flat_map(|(word, earlier_word)| [word, earlier_word]) {
        assert!(bash.contains(&format!("wingfold,{word})")), "bash: {word}");
    }
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let (script, _) = printed(&wingfold(&["completions", shell]));
        for word in RENAMED.into_iter().flat_map(|(word, earlier_word)| [word, earlier_word]) {
            let mut words = script.split(|c: char| !c.is_ascii_alphanumeric());
            assert!(words.any(|found| found == word), "{shell}: {word}");
        }
    }
}
