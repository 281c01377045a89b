//! Real directors: starts, measures, reloads, restarts and stops their processes, each by its process id.

use crate::messages::{encode_frame, read_frame, ClientMessage, DirectorMessage};
use crate::process_usage::{self, MeasureError, Usage};
use rustix::process::{kill_process, Pid, Signal};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// Pause between two pings of a director that is not ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between SIGTERM and SIGKILL.
const TERMINATION_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// Timeout of one ping, its connection attempt included.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of last log lines that an error shows.
const LOG_LINES_SHOWN: usize = 3;

/// Why an operation on a real director failed.
#[derive(Debug, thiserror::Error)]
pub enum RealDirectorError {
    /// The executable cannot be started.
    #[error("{name}: {} cannot be started: {problem}", program.display())]
    Start {
        /// The director.
        name: String,
        /// The executable.
        program: PathBuf,
        /// Why the start failed.
        problem: io::Error,
    },
    /// A file of the director cannot be opened, written or replaced.
    #[error("{name}: {} cannot be written: {problem}", path.display())]
    File {
        /// The director.
        name: String,
        /// The file.
        path: PathBuf,
        /// Why writing failed.
        problem: io::Error,
    },
    /// The process has ended unexpectedly.
    #[error("{name} has ended unexpectedly ({status}); its log ends with: {log}")]
    Ended {
        /// The director.
        name: String,
        /// The exit status.
        status: ExitStatus,
        /// The last lines of the director's log.
        log: String,
    },
    /// The director did not answer a ping in time.
    #[error("{name} was not ready within {} s; its log ends with: {log}", timeout.as_secs())]
    NotReady {
        /// The timeout.
        timeout: Duration,
        /// The director.
        name: String,
        /// The last lines of the director's log.
        log: String,
    },
    /// The state of the process cannot be read, or the process cannot be waited for.
    #[error("{name}: the state of the process cannot be read: {problem}")]
    Wait {
        /// The director.
        name: String,
        /// Why the system call failed.
        problem: io::Error,
    },
    /// The resource usage of the process cannot be measured.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

/// A real director with its files and its current process.
#[derive(Debug)]
pub struct RealDirector {
    name: String,
    program: PathBuf,
    /// The address at which the director accepts clients.
    pub listen: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Child,
    /// Usage of the director's earlier processes, before its last restart.
    previous: Usage,
    /// Usage at the last measurement, over all processes of the director.
    total: Usage,
}

impl RealDirector {
    /// Starts a director whose configuration and log are written to this directory.
    pub async fn start(
        program: &Path,
        directory: &Path,
        name: String,
        listen: SocketAddr,
        configuration: &str,
    ) -> Result<RealDirector, RealDirectorError> {
        let (config, log) = (directory.join(format!("{name}.json")), directory.join(format!("{name}.log")));
        write(&name, &config, configuration)?;
        write(&name, &log, "")?;
        let child = spawn(&name, program, &config, &log)?;
        let (previous, total) = (Usage::default(), Usage::default());
        Ok(RealDirector { name, program: program.into(), listen, config, log, child, previous, total })
    }

    /// Returns the process id, or `None` once the process has ended and been waited for.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Waits until the director answers a ping, and returns the time since the call; fails at the timeout or
    /// if the process ends.
    pub async fn wait_until_ready(&mut self, timeout: Duration) -> Result<Duration, RealDirectorError> {
        let begun = Instant::now();
        while !answers_ping(self.listen).await {
            self.ensure_running()?;
            if begun.elapsed() > timeout {
                return Err(RealDirectorError::NotReady {
                    timeout,
                    name: self.name.clone(),
                    log: self.log_tail(),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(begun.elapsed())
    }

    /// Fails if the process has ended.
    pub fn ensure_running(&mut self) -> Result<(), RealDirectorError> {
        let wait_error = |problem| RealDirectorError::Wait { name: self.name.clone(), problem };
        match self.child.try_wait().map_err(wait_error)? {
            None => Ok(()),
            Some(status) => {
                Err(RealDirectorError::Ended { name: self.name.clone(), status, log: self.log_tail() })
            }
        }
    }

    /// Measures the resource usage of the director: the sum of the CPU time over all its processes so far,
    /// and the peaks of its memory and descriptors.
    pub fn measure(&mut self) -> Result<Usage, RealDirectorError> {
        let Some(pid) = self.pid() else { return Ok(self.total) };
        let current = process_usage::measure(pid)?;
        self.total = Usage {
            processor_s: self.previous.processor_s + current.processor_s,
            peak_memory_kib: self.total.peak_memory_kib.max(current.peak_memory_kib),
            descriptors: self.total.descriptors.max(current.descriptors),
        };
        Ok(self.total)
    }

    /// Replaces the configuration file, then sends SIGHUP so that the director reads the new one.
    pub fn reload(&self, configuration: &str) -> Result<(), RealDirectorError> {
        let new = self.config.with_extension("new");
        write(&self.name, &new, configuration)?;
        std::fs::rename(&new, &self.config).map_err(|problem| RealDirectorError::File {
            name: self.name.clone(),
            path: self.config.clone(),
            problem,
        })?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Stops the process and starts a new process with the same files.
    pub async fn restart(&mut self) -> Result<(), RealDirectorError> {
        self.measure()?;
        self.previous = self.total;
        self.stop().await?;
        self.child = spawn(&self.name, &self.program, &self.config, &self.log)?;
        Ok(())
    }

    /// Stops the process with SIGTERM, or with SIGKILL after the grace period, and waits for its end.
    pub async fn stop(&mut self) -> Result<(), RealDirectorError> {
        self.signal(Signal::TERM);
        let exited = timeout(TERMINATION_GRACE_PERIOD, self.child.wait()).await;
        let status = match exited {
            Ok(status) => status.map(drop),
            Err(_) => self.child.kill().await,
        };
        status.map_err(|problem| RealDirectorError::Wait { name: self.name.clone(), problem })
    }

    /// Sends a signal to the process unless the process has ended and been waited for.
    fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        // An error is ignored: the process may have just ended, and the caller finds that out when it waits
        // for the process.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Returns the last lines of the log, joined in one line.
    fn log_tail(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..].join(" | ")
    }
}

fn write(name: &str, path: &Path, text: &str) -> Result<(), RealDirectorError> {
    let file_error = |problem| RealDirectorError::File { name: name.into(), path: path.into(), problem };
    std::fs::write(path, text).map_err(file_error)
}

fn spawn(name: &str, program: &Path, config: &Path, log: &Path) -> Result<Child, RealDirectorError> {
    let file = std::fs::OpenOptions::new().append(true).open(log);
    let file =
        file.map_err(|problem| RealDirectorError::File { name: name.into(), path: log.into(), problem })?;
    Command::new(program)
        .env_clear()
        .env("GW_CONFIG", config)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(file)
        .kill_on_drop(true)
        .spawn()
        .map_err(|problem| RealDirectorError::Start { name: name.into(), program: program.into(), problem })
}

/// Returns whether a director answers a ping within `PING_TIMEOUT`.
async fn answers_ping(listen: SocketAddr) -> bool {
    let ping = async {
        let mut stream = TcpStream::connect(listen).await?;
        stream.write_all(&encode_frame(&ClientMessage::Ping)).await?;
        let mut body = Vec::new();
        read_frame(&mut stream, &mut body).await?;
        let pong = matches!(serde_json::from_slice(&body), Ok(DirectorMessage::Pong));
        Ok::<bool, io::Error>(pong)
    };
    timeout(PING_TIMEOUT, ping).await.is_ok_and(|answer| answer.unwrap_or(false))
}
