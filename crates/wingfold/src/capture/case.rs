//! `wingfold capture keep`, `test` and `accept`: parts of captures that are kept as test cases. The directory
//! of a case holds one segment and a description.

use super::{write, CaptureError};
use crate::cli::Outcome;
use crate::file_error::{read_text, FileError};
use std::path::{Path, PathBuf};
use wingfold_archive::folder::read_segment;
use wingfold_capture::case::{self, Case, CaseResult};
use wingfold_capture::{edit, entries};

/// The file name of a case's segment.
const SEGMENT_FILE: &str = "capture.wfcap";

/// The file name of a case's new segment until it is completely written.
const PARTIAL_FILE: &str = "capture.part";

/// The file name of a case's description.
const CASE_FILE: &str = "case.hcl";

/// Comments in the description of a new case that show how to write expectations.
const EXPECTATIONS_HELP: &str = "\
# expect \"out\" {
#   host  = \"..\"
#   zone  = \"..\" # optional; default: any zone
#   after = \"10s\" # since the first call of the case
#   until = \"14s\"
# }
# other kinds: \"share\" (least, most), \"standing\" (is), \"level\" (class, least, most)
";

/// Creates the directory of a case from a segment.
pub fn keep(segment: &[u8], name: &str, about: &str, into: &Path) -> Result<Outcome, CaptureError> {
    if !is_valid_name(name) {
        return Err(CaptureError::CaseName(name.to_string()));
    }
    let directory = into.join(name);
    if directory.exists() {
        return Err(CaptureError::CaseExists { path: directory });
    }
    std::fs::create_dir_all(&directory).map_err(|error| FileError::new(&directory, error))?;
    write(&directory.join(SEGMENT_FILE), segment)?;
    write(&directory.join(CASE_FILE), description(name, about).as_bytes())?;
    println!(
        "case created in {}; add its expectations to {CASE_FILE}, then run: wingfold capture test",
        directory.display()
    );
    Ok(Outcome::Success)
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-')
}

/// The text of a new case's description, in HCL.
fn description(name: &str, about: &str) -> String {
    let about = replace_hcl_syntax(about);
    format!(
        "case \"{name}\" {{\n  about  = \"{about}\"\n  \
         tables = \"identical\" # or \"free\": only the expectations below are checked\n}}\n\n\
         {EXPECTATIONS_HELP}"
    )
}

/// Replaces characters that are not literal in an HCL string.
fn replace_hcl_syntax(text: &str) -> String {
    text.replace('\\', " ").replace('"', "'").replace("${", "$ {").replace("%{", "% {").replace('\n', " ")
}

/// Replays all cases and prints which of them pass. The result is negative if a case fails, or if there is no
/// case.
pub fn test(roots: &[PathBuf]) -> Result<Outcome, CaptureError> {
    let directories = case_directories(roots)?;
    let mut all_passed = !directories.is_empty();
    for directory in &directories {
        let (case, segment) = read_case(directory)?;
        let result = case::check(&case, entries(&segment));
        print_result(directory, &case, &result);
        all_passed &= result.failures.is_empty();
    }
    if directories.is_empty() {
        eprintln!("no case found: no directory with a file {CASE_FILE}");
    }
    Ok(if all_passed { Outcome::Success } else { Outcome::Negative })
}

/// The directories of all cases: each root is one itself, or its subdirectories are.
fn case_directories(roots: &[PathBuf]) -> Result<Vec<PathBuf>, FileError> {
    let is_case = |directory: &Path| directory.join(CASE_FILE).is_file();
    let mut directories = Vec::new();
    for root in roots {
        if is_case(root) {
            directories.push(root.clone());
            continue;
        }
        let entries = std::fs::read_dir(root).map_err(|error| FileError::new(root, error))?;
        let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
        directories.extend(paths.filter(|path| is_case(path)));
    }
    directories.sort();
    Ok(directories)
}

fn print_result(directory: &Path, case: &Case, result: &CaseResult) {
    let verdict = if result.failures.is_empty() { "passed" } else { "failed" };
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
    let segment = read_segment(&segment_file).map_err(|error| FileError::new(&segment_file, error))?;
    Ok((case, segment))
}

/// Replaces the recorded actions of a case by those of this build.
pub fn accept(directory: &Path) -> Result<Outcome, CaptureError> {
    let (_, segment) = read_case(directory)?;
    let path = || directory.to_path_buf();
    let accepted = edit::accept(entries(&segment))
        .map_err(|error| CaptureError::Replay { path: path(), error })?
        .ok_or_else(|| CaptureError::EmptyCase { path: path() })?;
    // The old segment is replaced only after the new one is completely written.
    let segment_file = directory.join(SEGMENT_FILE);
    let partial_file = directory.join(PARTIAL_FILE);
    write(&partial_file, &accepted)?;
    std::fs::rename(&partial_file, &segment_file).map_err(|error| FileError::new(&segment_file, error))?;
    println!("{}: recorded actions replaced by those of this build", directory.display());
    Ok(Outcome::Success)
}
