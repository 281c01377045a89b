//! What the machine allows, and why a plan is rejected.

use std::path::PathBuf;

/// What the machine gives this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// All of its memory.
    pub memory_bytes: usize,
    /// Descriptors that this process may hold; never raised here.
    pub descriptors: usize,
}

/// Why a run is not started.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// Fewer or more real directors than the step has places for.
    #[error("{asked} real directors were asked for; this step takes 1 to {most}")]
    RealDirectors {
        /// As asked for.
        asked: usize,
        /// As many as leave one simulated director.
        most: usize,
    },
    /// Too many processes.
    #[error("the run would take {needed} processes, and {allowed} are allowed")]
    Processes {
        /// By the plan.
        needed: usize,
        /// At most.
        allowed: usize,
    },
    /// More descriptors than the process may hold.
    #[error("the run would take {needed} descriptors, and this process may hold {allowed} (Max open files)")]
    Descriptors {
        /// By the plan.
        needed: usize,
        /// By /proc/self/limits.
        allowed: usize,
    },
    /// More than half of the machine's memory.
    #[error("the run would take {needed_mib} MiB of memory, and half of the machine's is {allowed_mib} MiB")]
    Memory {
        /// By the plan.
        needed_mib: usize,
        /// Half of the machine's.
        allowed_mib: usize,
    },
}

/// Why the machine's limits are not known.
#[derive(Debug, thiserror::Error)]
pub enum LimitsError {
    /// A file of /proc cannot be read.
    #[error("{}: {problem}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        problem: std::io::Error,
    },
    /// It does not say what it should.
    #[error("{}: no figure for `{line}`", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The line that is missing or unreadable.
        line: &'static str,
    },
}

const MEMORY_FILE: &str = "/proc/meminfo";
const MEMORY_LINE: &str = "MemTotal:";
const LIMITS_FILE: &str = "/proc/self/limits";
const LIMITS_LINE: &str = "Max open files";

impl MachineLimits {
    /// Reads what this machine allows this process.
    pub fn read() -> Result<MachineLimits, LimitsError> {
        let missing = |path: &str, line| LimitsError::Line { path: path.into(), line };
        let memory = memory_bytes(&read(MEMORY_FILE)?).ok_or_else(|| missing(MEMORY_FILE, MEMORY_LINE))?;
        let open = open_files(&read(LIMITS_FILE)?).ok_or_else(|| missing(LIMITS_FILE, LIMITS_LINE))?;
        Ok(MachineLimits { memory_bytes: memory, descriptors: open })
    }
}

fn read(path: &str) -> Result<String, LimitsError> {
    std::fs::read_to_string(path).map_err(|problem| LimitsError::File { path: path.into(), problem })
}

/// All memory, of the text of /proc/meminfo.
pub fn memory_bytes(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|line| line.strip_prefix(MEMORY_LINE))?;
    let kibibytes: usize = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kibibytes << 10)
}

/// The soft limit on open files, of the text of /proc/self/limits.
pub fn open_files(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|line| line.strip_prefix(LIMITS_LINE))?;
    match line.split_whitespace().next()? {
        "unlimited" => Some(usize::MAX),
        number => number.parse().ok(),
    }
}
