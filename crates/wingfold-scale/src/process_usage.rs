//! The resource usage of a process, read from /proc.

use std::io;

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time since the start of the process, in seconds.
    pub processor_s: f64,
    /// Peak resident memory, in KiB.
    pub peak_memory_kib: u64,
    /// Open descriptors at the time of the measurement; in a summary of several measurements, the most of
    /// them.
    pub descriptors: usize,
}

/// Why the resource usage of a process cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The files of the process in /proc cannot be read, usually because the process has ended.
    #[error("process {pid} cannot be measured: {problem}")]
    Unreadable {
        /// The process.
        pid: u32,
        /// Why reading failed.
        problem: io::Error,
    },
    /// A value is missing from the files of the process in /proc, or is not a number.
    #[error("process {pid} cannot be measured: its files in /proc have no {metric}")]
    Missing {
        /// The process.
        pid: u32,
        /// The missing value.
        metric: &'static str,
    },
}

/// Indices of the user and system time among the fields of /proc/PID/stat that follow the name in
/// parentheses.
const USER_TIME_INDEX: usize = 11;
const SYSTEM_TIME_INDEX: usize = 12;

/// Measures the resource usage of a process.
pub fn measure(pid: u32) -> Result<Usage, MeasureError> {
    let unreadable = |problem| MeasureError::Unreadable { pid, problem };
    let missing = |metric| MeasureError::Missing { pid, metric };
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).map_err(unreadable);
    let ticks = processor_ticks(&read("stat")?).ok_or_else(|| missing("CPU time"))?;
    let peak = peak_memory_kib(&read("status")?).ok_or_else(|| missing("peak memory"))?;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_err(unreadable)?.count();
    Ok(Usage {
        processor_s: ticks as f64 / rustix::param::clock_ticks_per_second() as f64,
        peak_memory_kib: peak,
        descriptors,
    })
}

/// Returns the sum of user and system time in clock ticks from the text of /proc/PID/stat.
pub fn processor_ticks(stat: &str) -> Option<u64> {
    // The name may contain spaces and parentheses; the last closing parenthesis of the file ends it.
    let (_, after_name) = stat.rsplit_once(')')?;
    let field = |index: usize| after_name.split_whitespace().nth(index)?.parse::<u64>().ok();
    Some(field(USER_TIME_INDEX)? + field(SYSTEM_TIME_INDEX)?)
}

/// Returns the peak resident memory in KiB from the text of /proc/PID/status.
pub fn peak_memory_kib(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix(" kB")?.trim().parse().ok()
}
