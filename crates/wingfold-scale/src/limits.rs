//! The limits of the machine, and the reasons for which a plan is rejected.

use std::path::PathBuf;

/// The limits of the machine and of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Total memory of the machine.
    pub memory_bytes: usize,
    /// The soft limit on descriptors of this process. A run never raises this limit.
    pub descriptors: usize,
}

/// Why a plan is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The number of real directors is zero, or leaves no simulated director on this step.
    #[error("{requested} real directors were requested; this step allows 1 to {max}")]
    RealDirectors {
        /// The requested number.
        requested: usize,
        /// The highest number, which leaves one simulated director.
        max: usize,
    },
    /// The run would start too many processes.
    #[error("the run needs {needed} processes, but at most {allowed} are allowed")]
    Processes {
        /// The estimate of the plan.
        needed: usize,
        /// The limit.
        allowed: usize,
    },
    /// The run would need more descriptors than this process may hold.
    #[error(
        "the run needs {needed} descriptors, but this process may hold at most {allowed} (Max open files)"
    )]
    Descriptors {
        /// The estimate of the plan.
        needed: usize,
        /// The soft limit in /proc/self/limits.
        allowed: usize,
    },
    /// The run would take more than half of the machine's memory.
    #[error(
        "the run needs {needed_mib} MiB of memory, but at most half of the machine's memory is allowed, \
         {allowed_mib} MiB"
    )]
    Memory {
        /// The estimate of the plan.
        needed_mib: usize,
        /// Half of the machine's memory.
        allowed_mib: usize,
    },
}

/// Why the limits of the machine cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum LimitsError {
    /// A file of /proc cannot be read.
    #[error("{} cannot be read: {problem}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why reading failed.
        problem: std::io::Error,
    },
    /// A line of such a file is missing or has no number.
    #[error("{} has no line `{line}` with a number", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The beginning of the line.
        line: &'static str,
    },
}

const MEMORY_FILE: &str = "/proc/meminfo";
const MEMORY_LINE: &str = "MemTotal:";
const LIMITS_FILE: &str = "/proc/self/limits";
const LIMITS_LINE: &str = "Max open files";

impl MachineLimits {
    /// Reads the limits of this machine and this process from /proc.
    pub fn read() -> Result<MachineLimits, LimitsError> {
        let missing = |path: &str, line| LimitsError::Line { path: path.into(), line };
        let memory = memory_bytes(&read(MEMORY_FILE)?).ok_or_else(|| missing(MEMORY_FILE, MEMORY_LINE))?;
        let descriptors = open_files(&read(LIMITS_FILE)?).ok_or_else(|| missing(LIMITS_FILE, LIMITS_LINE))?;
        Ok(MachineLimits { memory_bytes: memory, descriptors })
    }
}

fn read(path: &str) -> Result<String, LimitsError> {
    std::fs::read_to_string(path).map_err(|problem| LimitsError::File { path: path.into(), problem })
}

/// Returns the total memory in bytes from the text of /proc/meminfo.
pub fn memory_bytes(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|line| line.strip_prefix(MEMORY_LINE))?;
    let kibibytes: usize = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kibibytes << 10)
}

/// Returns the soft limit on open files from the text of /proc/self/limits.
pub fn open_files(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|line| line.strip_prefix(LIMITS_LINE))?;
    match line.split_whitespace().next()? {
        "unlimited" => Some(usize::MAX),
        number => number.parse().ok(),
    }
}
