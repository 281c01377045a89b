//! What a process takes, read from outside in /proc.

use std::io;

/// What a process has taken so far, or takes now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time since its start, in seconds.
    pub processor_s: f64,
    /// The most memory it has held, in KiB.
    pub peak_memory_kib: u64,
    /// Descriptors it holds.
    pub descriptors: usize,
}

/// The file of /proc says something else than it should.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// It cannot be read: the process has ended.
    #[error("process {pid} cannot be measured: {problem}")]
    Unreadable {
        /// The process.
        pid: u32,
        /// Why.
        problem: io::Error,
    },
    /// A value is missing.
    #[error("process {pid} cannot be measured: /proc has no {figure}")]
    Missing {
        /// The process.
        pid: u32,
        /// What is missing.
        figure: &'static str,
    },
}

/// Places of user and system time in /proc/PID/stat, counted after the name in parentheses.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Measures a process.
pub fn measure(pid: u32) -> Result<Usage, MeasureError> {
    let unreadable = |problem| MeasureError::Unreadable { pid, problem };
    let missing = |figure| MeasureError::Missing { pid, figure };
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).map_err(unreadable);
    let ticks = processor_ticks(&read("stat")?).ok_or_else(|| missing("processor time"))?;
    let peak = peak_memory_kib(&read("status")?).ok_or_else(|| missing("peak memory"))?;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_err(unreadable)?.count();
    Ok(Usage {
        processor_s: ticks as f64 / rustix::param::clock_ticks_per_second() as f64,
        peak_memory_kib: peak,
        descriptors,
    })
}

/// User and system time in clock ticks, of the text of /proc/PID/stat.
pub fn processor_ticks(stat: &str) -> Option<u64> {
    // The name may hold spaces and parentheses; the last one closes it.
    let (_, after_name) = stat.rsplit_once(')')?;
    let field = |place: usize| after_name.split_whitespace().nth(place)?.parse::<u64>().ok();
    Some(field(USER_TIME)? + field(SYSTEM_TIME)?)
}

/// Peak memory in KiB, of the text of /proc/PID/status.
pub fn peak_memory_kib(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix(" kB")?.trim().parse().ok()
}
