//! Pages, the deploy files and comments cite names, paths and tests; each must exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// An identifier in a page with so many underscores or more is taken for the name of a test.
const MIN_TEST_NAME_UNDERSCORES: usize = 4;
/// Directories at the root whose files are cited by their path from the root.
const CITED_DIRECTORIES: [&str; 4] = ["crates/", "docs/", "deploy/", "captures/"];
/// Endings of file names that are cited on their own or by the last part of their path.
const CITED_ENDINGS: [&str; 6] = [".rs", ".md", ".toml", ".hcl", ".db", ".svg"];
/// Cited paths that stand for a path of the reader's, or for files of other projects and of earlier versions.
const PLACEHOLDERS: [&str; 4] = [
    "captures/NAME",
    "flvx/docs/superpowers/specs/2026-05-01-best-exit-selection-design.md",
    "policy.rs",
    "tier.rs",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// All files below a directory, by their path from the root.
fn files_below(directory: &str) -> Vec<String> {
    let mut files = Vec::new();
    let mut directories = vec![directory.to_string()];
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(root().join(&directory)).unwrap() {
            let entry = entry.unwrap();
            let path = format!("{directory}/{}", entry.file_name().to_str().unwrap());
            if entry.file_type().unwrap().is_dir() {
                directories.push(path);
            } else {
                files.push(path);
            }
        }
    }
    files
}

fn files_with_ending(directory: &str, ending: &str) -> Vec<String> {
    let mut files = files_below(directory);
    files.retain(|file| file.ends_with(ending));
    files
}

fn is_word_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '_'
}

/// Whether a name stands in a text with no letter, digit or underscore directly before or after it.
fn holds_name(text: &str, name: &str) -> bool {
    text.match_indices(name).any(|(start, _)| {
        let before = text[..start].chars().next_back();
        let after = text[start + name.len()..].chars().next();
        !before.is_some_and(is_word_character) && !after.is_some_and(is_word_character)
    })
}

#[test]
fn external_names_stand_in_their_source_files() {
    let list = read(&root().join("docs/external-names.txt"));
    let mut sources: Vec<String> = Vec::new();
    let mut checked = 0;
    let mut missing = Vec::new();
    for line in list.lines() {
        if let Some(paths) = line.strip_prefix("# in ") {
            sources = paths.split_whitespace().map(|path| read(&root().join(path))).collect();
        } else if !line.is_empty() && !line.starts_with('#') {
            checked += 1;
            if !sources.iter().any(|source| holds_name(source, line)) {
                missing.push(line);
            }
        }
    }
    assert!(checked > 1000, "only {checked} names were read");
    assert!(missing.is_empty(), "names that leave the process are not in their sources: {missing:?}");
}

/// The pages and files of which every cited path must exist.
fn pages() -> Vec<String> {
    let mut pages = vec!["README.md".to_string(), "CHANGELOG.md".to_string()];
    pages.extend(files_with_ending("docs", ".md"));
    pages.extend(files_below("deploy"));
    pages
}

/// The text of a file in which paths are cited: a page whole, of a source file the comments.
fn citing_text(file: &str) -> String {
    let text = read(&root().join(file));
    if !file.ends_with(".rs") {
        return text;
    }
    let comments = text.lines().filter(|line| line.trim_start().starts_with("//"));
    comments.collect::<Vec<_>>().join("\n")
}

/// The texts between backticks within each line.
fn code_spans(text: &str) -> Vec<&str> {
    text.lines().flat_map(|line| line.split('`').skip(1).step_by(2)).collect()
}

fn is_path(text: &str) -> bool {
    text.chars().all(|character| is_word_character(character) || "./-".contains(character))
}

/// Whether a path, or the last part of one, names a file of the repository.
fn names_file(path: &str, files: &[String]) -> bool {
    PLACEHOLDERS.contains(&path)
        || files.iter().any(|file| file == path || file.ends_with(&format!("/{path}")))
}

/// Words that begin with a directory of the root, as far as they can be a path.
fn cited_from_root(text: &str) -> Vec<&str> {
    let words = text.split(|character: char| !is_word_character(character) && !"./-".contains(character));
    let cited = words.filter(|word| CITED_DIRECTORIES.iter().any(|directory| word.starts_with(directory)));
    cited.map(|word| word.trim_end_matches(['.', '/'])).collect()
}

/// The targets of Markdown links that lead to files of the repository.
fn link_targets(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split_once(')'));
    let targets = targets.map(|(target, _)| target.split('#').next().unwrap_or(target));
    targets.filter(|target| !target.is_empty() && !target.contains(':')).collect()
}

#[test]
fn cited_paths_exist() {
    let files: Vec<String> =
        ["crates", "docs", "deploy", "captures", ".ci"].into_iter().flat_map(files_below).collect();
    let sources = files_with_ending("crates", ".rs");
    let mut missing = BTreeSet::new();
    for file in pages().into_iter().chain(sources) {
        let text = citing_text(&file);
        for path in cited_from_root(&text) {
            if !PLACEHOLDERS.contains(&path) && !root().join(path).exists() {
                missing.insert(format!("{file}: {path}"));
            }
        }
        for span in code_spans(&text) {
            let is_file = is_path(span) && CITED_ENDINGS.iter().any(|ending| span.ends_with(ending));
            if is_file && !names_file(span, &files) && !root().join(span).exists() {
                missing.insert(format!("{file}: {span}"));
            }
        }
        if file.ends_with(".md") {
            let directory = root().join(&file).parent().unwrap().to_path_buf();
            let broken = link_targets(&text).into_iter().filter(|target| !directory.join(target).exists());
            missing.extend(broken.map(|target| format!("{file}: link to {target}")));
        }
    }
    assert!(missing.is_empty(), "cited paths do not exist: {missing:#?}");
}

/// The names of all functions in the sources.
fn function_names() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for file in files_with_ending("crates", ".rs") {
        let text = read(&root().join(file));
        let definitions = text.split("fn ").skip(1);
        names.extend(definitions.map(|rest| rest.chars().take_while(|c| is_word_character(*c)).collect()));
    }
    names
}

fn looks_like_test_name(text: &str) -> bool {
    let is_lowercase = text.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
    is_lowercase && text.matches('_').count() >= MIN_TEST_NAME_UNDERSCORES
}

/// A name of a test may be cited whole, or by its beginning with `..` after it.
#[test]
fn cited_test_names_exist() {
    let functions = function_names();
    let external = read(&root().join("docs/external-names.txt"));
    let mut missing = BTreeSet::new();
    for page in pages() {
        let text = citing_text(&page);
        for span in code_spans(&text) {
            let name = span.rsplit("::").next().unwrap_or(span);
            let looks_like_test = looks_like_test_name(name.strip_suffix("..").unwrap_or(name));
            let is_metric = name.strip_prefix("wingfold_").is_some_and(|name| holds_name(&external, name));
            let exists = match name.strip_suffix("..") {
                Some(beginning) => functions.iter().any(|function| function.starts_with(beginning)),
                None => functions.contains(name),
            };
            if looks_like_test && !is_metric && !exists {
                missing.insert(format!("{page}: {name}"));
            }
        }
    }
    assert!(missing.is_empty(), "cited tests do not exist: {missing:#?}");
}
