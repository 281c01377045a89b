//! `wingfold capture keep`, `test` and `accept`: captures that are kept as cases, each in a directory of its
//! own.

use super::{write, CaptureError};
use crate::cli::Outcome;
use crate::file_error::{read_text, FileError};
use std::path::{Path, PathBuf};
use wingfold_archive::folder::read_segment;
use wingfold_capture::case::{self, Case, CaseResult};
use wingfold_capture::{edit, entries};

/// The segment of a case.
const SEGMENT_FILE: &str = "capture.wfcap";

/// The segment of a case while it is written.
const PARTIAL_FILE: &str = "capture.part";

/// The description of a case.
const CASE_FILE: &str = "case.hcl";

/// What may be expected in a case, for whoever completes its description.
const EXPECTATIONS_HELP: &str = "\
# expect \"out\" {
#   host  = \"..\"
#   zone  = \"..\" # any, if left out
#   after = \"10s\" # of the case's first call
#   until = \"14s\"
# }
# also: \"share\" (least, most), \"standing\" (is), \"level\" (class, least, most)
";

/// Keeps a segment as a new case.
pub fn keep(segment: &[u8], name: &str, about: &str, into: &Path) -> Result<Outcome, CaptureError> {
    if !is_valid_name(name) {
        return Err(CaptureError::CaseName(name.to_string()));
    }
    let directory = into.join(name);
    if directory.exists() {
        return Err(CaptureError::CaseExists { path: directory });
    }
    std::fs::create_dir_all(&directory).map_err(|problem| FileError::new(&directory, problem))?;
    write(&directory.join(SEGMENT_FILE), segment)?;
    write(&directory.join(CASE_FILE), description(name, about).as_bytes())?;
    println!(
        "kept in {}; say what must hold in {CASE_FILE}, then: wingfold capture test",
        directory.display()
    );
    Ok(Outcome::Success)
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-')
}

/// The description of a new case, HCL.
fn description(name: &str, about: &str) -> String {
    let about = without_hcl_syntax(about);
    format!(
        "case \"{name}\" {{\n  about  = \"{about}\"\n  tables = \"identical\" # or \"free\": only what is expected below counts\n}}\n\n\
         {EXPECTATIONS_HELP}"
    )
}

/// A text without what has a meaning in a string of HCL.
fn without_hcl_syntax(text: &str) -> String {
    text.replace('\\', " ").replace('"', "'").replace("${", "$ {").replace("%{", "% {").replace('\n', " ")
}

/// Replays all cases and prints which of them hold.
pub fn test(roots: &[PathBuf]) -> Result<Outcome, CaptureError> {
    let directories = case_directories(roots)?;
    let mut is_good = !directories.is_empty();
    for directory in &directories {
        let (case, segment) = read_case(directory)?;
        let result = case::check(&case, entries(&segment));
        print_result(directory, &case, &result);
        is_good &= result.failures.is_empty();
    }
    if directories.is_empty() {
        eprintln!("no case was found");
    }
    Ok(if is_good { Outcome::Success } else { Outcome::Negative })
}

/// The directories of cases: each root is one, or holds some.
fn case_directories(roots: &[PathBuf]) -> Result<Vec<PathBuf>, FileError> {
    let is_case = |directory: &Path| directory.join(CASE_FILE).is_file();
    let mut directories = Vec::new();
    for root in roots {
        if is_case(root) {
            directories.push(root.clone());
            continue;
        }
        let entries = std::fs::read_dir(root).map_err(|problem| FileError::new(root, problem))?;
        let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
        directories.extend(paths.filter(|path| is_case(path)));
    }
    directories.sort();
    Ok(directories)
}

fn print_result(directory: &Path, case: &Case, result: &CaseResult) {
    let verdict = if result.failures.is_empty() { "holds" } else { "does not hold" };
    println!(
        "{}: {} calls, {} expectations: {verdict}",
        directory.display(),
        result.calls,
        case.expectations.len()
    );
    for failure in &result.failures {
        println!("    {failure}");
    }
}

/// Reads a case: its description and its segment.
fn read_case(directory: &Path) -> Result<(Case, Vec<u8>), CaptureError> {
    let case_file = directory.join(CASE_FILE);
    let segment_file = directory.join(SEGMENT_FILE);
    let text = read_text(&case_file)?;
    let case = Case::read(&case_file.display().to_string(), &text)?;
    let segment = read_segment(&segment_file).map_err(|problem| FileError::new(&segment_file, problem))?;
    Ok((case, segment))
}

/// Replaces the answers of a case by those of this build.
pub fn accept(directory: &Path) -> Result<Outcome, CaptureError> {
    let (_, segment) = read_case(directory)?;
    let path = || directory.to_path_buf();
    let accepted = edit::accept(entries(&segment))
        .map_err(|problem| CaptureError::Replay { path: path(), problem })?
        .ok_or_else(|| CaptureError::EmptyCase { path: path() })?;
    // The old answers are the only ones until the new ones are written completely.
    let segment_file = directory.join(SEGMENT_FILE);
    let partial_file = directory.join(PARTIAL_FILE);
    write(&partial_file, &accepted)?;
    std::fs::rename(&partial_file, &segment_file)
        .map_err(|problem| FileError::new(&segment_file, problem))?;
    println!("{}: holds this build's answers now", directory.display());
    Ok(Outcome::Success)
}
