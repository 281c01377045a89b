//! `wingfold capture`: looks at captures and checks them.

use crate::cli::Outcome;
use crate::replay::span;
use crate::say;
use clap::Subcommand;
use std::path::{Path, PathBuf};
use wingfold_archive::Archive;
use wingfold_capture::case::{self, Case};
use wingfold_capture::{edit, entries, Entry};

/// The files of a kept case.
const CAPTURE: &str = "capture.wfcap";
const CASE: &str = "case.hcl";

/// What can be done with a capture.
#[derive(Debug, Subcommand)]
pub enum Capture {
    /// Show what a capture holds: segments, times, gaps
    Show {
        /// A segment, or a folder of them
        path: PathBuf,
        /// As one JSON object a segment
        #[arg(long)]
        json: bool,
    },
    /// Cut a span of time into one segment that replays alone
    Cut {
        /// A segment, or a folder of them
        path: PathBuf,
        /// From this time: 2026-11-30T03:12:05Z, 03:12:05, +90s after the start, or seconds
        #[arg(long)]
        from: Option<String>,
        /// Until this time
        #[arg(long)]
        until: Option<String>,
        /// The file to write
        #[arg(long)]
        out: PathBuf,
    },
    /// Keep a span of time as a case: `cargo test` replays it from then on
    Keep {
        /// A segment, or a folder of them
        path: PathBuf,
        /// The case's name; it becomes a folder
        #[arg(long)]
        name: String,
        /// From this time
        #[arg(long)]
        from: Option<String>,
        /// Until this time
        #[arg(long)]
        until: Option<String>,
        /// What went wrong, and where that is written up
        #[arg(long, default_value = "")]
        about: String,
        /// Where cases are
        #[arg(long, default_value = "captures")]
        into: PathBuf,
    },
    /// Replay kept cases and look whether all holds that must. Exit code 1 if something does not
    Test {
        /// Folders of cases
        #[arg(default_value = "captures")]
        cases: Vec<PathBuf>,
    },
    /// Take this build's answers into a kept case: for a module that was changed on purpose
    Accept {
        /// The case's folder
        case: PathBuf,
    },
    /// Read every block and tell what is damaged or missing. Exit code 1 if something is
    Check {
        /// A segment, or a folder of them
        path: PathBuf,
    },
}

impl Capture {
    /// Does it.
    pub fn run(self) -> Outcome {
        let done = match &self {
            Capture::Show { path, json } => show(path, *json),
            Capture::Check { path } => check(path),
            Capture::Cut { path, from, until, out } => cut(path, from.as_deref(), until.as_deref())
                .and_then(|bytes| write(out, &bytes))
                .map(|()| Outcome::Good),
            Capture::Keep { path, name, from, until, about, into } => {
                cut(path, from.as_deref(), until.as_deref()).and_then(|bytes| keep(&bytes, name, about, into))
            }
            Capture::Test { cases } => test(cases),
            Capture::Accept { case } => accept(case),
        };
        done.unwrap_or_else(|problem| {
            eprintln!("{problem}");
            Outcome::Unusable
        })
    }
}

fn open(path: &Path) -> Result<Archive, String> {
    Archive::open(path).map_err(|problem| problem.to_string())
}

fn show(path: &Path, json: bool) -> Result<Outcome, String> {
    let archive = open(path)?;
    for path in &archive.unreadable {
        eprintln!("{}: no sound head", path.display());
    }
    for source in &archive.segments {
        let meta = &source.meta;
        let calls = meta.last.number.saturating_sub(meta.first.number) + 1;
        if json {
            println!(
                "{}",
                serde_json::json!({"file": source.path, "name": source.head.director, "build": source.head.build, "run_s": meta.incarnation.secs(),
                    "segment": meta.segment, "first_call": meta.first.number, "last_call": meta.last.number, "first_s": meta.first.at.secs(),
                    "last_s": meta.last.at.secs(), "bytes": meta.bytes, "sealed": meta.sealed,
                    "gap": meta.gap.as_ref().map(|gap| serde_json::json!({"from": gap.from, "to": gap.to, "reason": gap.reason.to_string()}))})
            );
            continue;
        }
        if let Some(gap) = &meta.gap {
            println!("          not recorded: calls {} to {} ({})", gap.from, gap.to, gap.reason);
        }
        println!(
            "{:>8}  {} to {}  calls {} to {} ({calls})  {:.2} MB{}  {} started {}, {}",
            meta.segment,
            say::time(meta.first.at),
            say::time(meta.last.at),
            meta.first.number,
            meta.last.number,
            meta.bytes as f64 / 1e6,
            if meta.sealed { "" } else { "  not ended" },
            source.head.director,
            say::time(meta.incarnation),
            source.head.build,
        );
    }
    Ok(Outcome::Good)
}

fn check(path: &Path) -> Result<Outcome, String> {
    let archive = open(path)?;
    let mut good = archive.unreadable.is_empty();
    for path in &archive.unreadable {
        println!("{}: no sound head: nothing in it can be replayed", path.display());
    }
    for source in &archive.segments {
        let bytes = source.read().map_err(|problem| format!("{}: {problem}", source.path.display()))?;
        let (mut calls, mut events, mut states, mut ended, mut faults) = (0u64, 0u64, 0, false, Vec::new());
        for entry in entries(&bytes) {
            match entry {
                Entry::Call(call) => (calls, events) = (calls + 1, events + call.events.len() as u64),
                Entry::Checkpoint(head, _) => {
                    states += 1;
                    faults.extend(head.gap.map(|gap| {
                        format!("calls {} to {} were not recorded: {}", gap.from, gap.to, gap.reason)
                    }));
                }
                Entry::Index(index) => {
                    ended = true;
                    if index.calls != calls {
                        faults.push(format!("its index speaks of {} calls", index.calls));
                    }
                }
                Entry::Damage { offset, fault } => faults.push(format!("byte {offset}: {fault}")),
                Entry::Head(_) => {}
            }
        }
        if !ended {
            faults.push("not ended: its director was killed, or still writes it".into());
        }
        println!("{}: {calls} calls, {events} events, {states} checkpoint(s)", source.path.display());
        faults.iter().for_each(|fault| println!("    {fault}"));
        good &= faults.is_empty();
    }
    Ok(if good { Outcome::Good } else { Outcome::Different })
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), String> {
    std::fs::write(path, bytes).map_err(|problem| format!("{}: {problem}", path.display()))
}

/// The span of a capture as one segment.
fn cut(path: &Path, from: Option<&str>, until: Option<&str>) -> Result<Vec<u8>, String> {
    let archive = open(path)?;
    let (from, until) = span(&archive, from, until)?;
    let mut all = Vec::new();
    for source in archive.within(from, until) {
        all.push(source.read().map_err(|problem| format!("{}: {problem}", source.path.display()))?);
    }
    let every = all.iter().flat_map(|bytes| entries(bytes));
    let cut =
        edit::extract(every, from, until).map_err(|problem| format!("{}: {problem}", path.display()))?;
    cut.ok_or_else(|| format!("{}: no call can be replayed in that span", path.display()))
}

fn keep(bytes: &[u8], name: &str, about: &str, into: &Path) -> Result<Outcome, String> {
    let sound = |c: char| c.is_ascii_alphanumeric() || c == '-';
    if name.is_empty() || !name.chars().all(sound) {
        return Err(format!("`{name}`: a case's name has letters, digits and hyphens"));
    }
    let folder = into.join(name);
    if folder.exists() {
        return Err(format!("{}: there is such a case already", folder.display()));
    }
    let failed = |problem: std::io::Error| format!("{}: {problem}", folder.display());
    std::fs::create_dir_all(&folder).map_err(failed)?;
    write(&folder.join(CAPTURE), bytes)?;
    let about = about
        .replace('\\', " ")
        .replace('"', "'")
        .replace("${", "$ {")
        .replace("%{", "% {")
        .replace('\n', " ");
    let text = format!(
        "case \"{name}\" {{\n  about  = \"{about}\"\n  tables = \"identical\" # or \"free\": only what is expected below counts\n}}\n\n\
         # expect \"out\" {{\n#   host  = \"..\"\n#   zone  = \"..\" # any, if left out\n#   after = \"10s\" # of the case's first call\n\
         #   until = \"14s\"\n# }}\n# also: \"share\" (least, most), \"standing\" (is), \"level\" (class, least, most)\n"
    );
    write(&folder.join(CASE), text.as_bytes())?;
    println!("kept in {}; say what must hold in {CASE}, then: wingfold capture test", folder.display());
    Ok(Outcome::Good)
}

fn read_case(folder: &Path) -> Result<(Case, Vec<u8>), String> {
    let (text, capture) = (folder.join(CASE), folder.join(CAPTURE));
    let failed = |path: &Path, problem: std::io::Error| format!("{}: {problem}", path.display());
    let words = std::fs::read_to_string(&text).map_err(|problem| failed(&text, problem))?;
    let case = Case::read(&text.display().to_string(), &words).map_err(|faults| faults.to_string())?;
    Ok((case, wingfold_archive::folder::read_segment(&capture).map_err(|problem| failed(&capture, problem))?))
}

fn test(roots: &[PathBuf]) -> Result<Outcome, String> {
    let mut folders = Vec::new();
    for root in roots {
        if root.join(CASE).is_file() {
            folders.push(root.clone());
            continue;
        }
        let below = std::fs::read_dir(root).map_err(|problem| format!("{}: {problem}", root.display()))?;
        folders.extend(
            below.filter_map(|entry| Some(entry.ok()?.path())).filter(|path| path.join(CASE).is_file()),
        );
    }
    folders.sort();
    let mut good = !folders.is_empty();
    for folder in &folders {
        let (case, bytes) = read_case(folder)?;
        let verdict = case::check(&case, entries(&bytes));
        let word = if verdict.failures.is_empty() { "holds" } else { "does not hold" };
        println!(
            "{}: {} calls, {} expectations: {word}",
            folder.display(),
            verdict.calls,
            case.expectations.len()
        );
        verdict.failures.iter().for_each(|fault| println!("    {fault}"));
        good &= verdict.failures.is_empty();
    }
    if folders.is_empty() {
        eprintln!("no case was found");
    }
    Ok(if good { Outcome::Good } else { Outcome::Different })
}

fn accept(folder: &Path) -> Result<Outcome, String> {
    let (_, bytes) = read_case(folder)?;
    let accepted =
        edit::accept(entries(&bytes)).map_err(|problem| format!("{}: {problem}", folder.display()))?;
    let accepted = accepted.ok_or_else(|| format!("{}: no call can be replayed", folder.display()))?;
    // Whole or not at all: the old answers are the only ones there are until then.
    let (path, part) = (folder.join(CAPTURE), folder.join("capture.part"));
    write(&part, &accepted)?;
    std::fs::rename(&part, &path).map_err(|problem| format!("{}: {problem}", path.display()))?;
    println!("{}: holds this build's answers now", folder.display());
    Ok(Outcome::Good)
}
