//! Real directors: processes that are started, watched and ended by their ids.

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

/// Pause between two attempts to ping it.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between SIGTERM and SIGKILL.
const TERMINATION_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// Time for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// How many of its last log lines an error shows.
const LOG_LINES_SHOWN: usize = 3;

/// What went wrong with a real director.
#[derive(Debug, thiserror::Error)]
pub enum RealDirectorError {
    /// The program cannot be started.
    #[error("{name}: {} cannot be started: {problem}", program.display())]
    Start {
        /// The director.
        name: String,
        /// The program.
        program: PathBuf,
        /// Why not.
        problem: io::Error,
    },
    /// A file of it cannot be written.
    #[error("{name}: {}: {problem}", path.display())]
    File {
        /// The director.
        name: String,
        /// The file.
        path: PathBuf,
        /// Why not.
        problem: io::Error,
    },
    /// It ended by itself.
    #[error("{name} has ended ({status}); its log ends with: {log}")]
    Ended {
        /// The director.
        name: String,
        /// How.
        status: ExitStatus,
        /// Its last lines.
        log: String,
    },
    /// It does not answer.
    #[error("{name} was not ready within {} s; its log ends with: {log}", within.as_secs())]
    NotReady {
        /// The time for that.
        within: Duration,
        /// The director.
        name: String,
        /// Its last lines.
        log: String,
    },
    /// The system does not say how it goes on.
    #[error("{name}: {problem}")]
    Unknown {
        /// The director.
        name: String,
        /// Why not.
        problem: io::Error,
    },
    /// Its resource usage cannot be read.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

/// A real director: its files and its process.
#[derive(Debug)]
pub struct RealDirector {
    name: String,
    program: PathBuf,
    /// Where it listens.
    pub listen: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Child,
    /// The usage of its processes before this one.
    previous: Usage,
    peak: Usage,
}

impl RealDirector {
    /// Starts a director in a directory for its files.
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
        let (previous, peak) = (Usage::default(), Usage::default());
        Ok(RealDirector { name, program: program.into(), listen, config, log, child, previous, peak })
    }

    /// Its process.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Waits until it answers a ping; returns how long that took.
    pub async fn wait_until_ready(&mut self, within: Duration) -> Result<Duration, RealDirectorError> {
        let begun = Instant::now();
        while !answers_ping(self.listen).await {
            self.ensure_running()?;
            if begun.elapsed() > within {
                return Err(RealDirectorError::NotReady {
                    within,
                    name: self.name.clone(),
                    log: self.last_lines(),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(begun.elapsed())
    }

    /// Fails if its process has ended.
    pub fn ensure_running(&mut self) -> Result<(), RealDirectorError> {
        let problem = |problem| RealDirectorError::Unknown { name: self.name.clone(), problem };
        match self.child.try_wait().map_err(problem)? {
            None => Ok(()),
            Some(status) => {
                Err(RealDirectorError::Ended { name: self.name.clone(), status, log: self.last_lines() })
            }
        }
    }

    /// Measures its process. Sums and peaks cover all its processes so far.
    pub fn measure(&mut self) -> Result<Usage, RealDirectorError> {
        let Some(pid) = self.pid() else { return Ok(self.peak) };
        let now = process_usage::measure(pid)?;
        self.peak = Usage {
            processor_s: self.previous.processor_s + now.processor_s,
            peak_memory_kib: self.peak.peak_memory_kib.max(now.peak_memory_kib),
            descriptors: self.peak.descriptors.max(now.descriptors),
        };
        Ok(self.peak)
    }

    /// Replaces its configuration and has it read the new one.
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

    /// Stops its process and starts a new one.
    pub async fn restart(&mut self) -> Result<(), RealDirectorError> {
        self.measure()?;
        self.previous = self.peak;
        self.stop().await?;
        self.child = spawn(&self.name, &self.program, &self.config, &self.log)?;
        Ok(())
    }

    /// Stops it with SIGTERM, or with SIGKILL after the grace period, and waits for its end.
    pub async fn stop(&mut self) -> Result<(), RealDirectorError> {
        self.signal(Signal::TERM);
        let ended = timeout(TERMINATION_GRACE_PERIOD, self.child.wait()).await;
        let status = match ended {
            Ok(status) => status.map(drop),
            Err(_) => self.child.kill().await,
        };
        status.map_err(|problem| RealDirectorError::Unknown { name: self.name.clone(), problem })
    }

    /// Sends a signal to its process, if it has one that was not waited for.
    fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        // A process that has just ended is waited for like others.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    fn last_lines(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..].join(" | ")
    }
}

fn write(name: &str, path: &Path, text: &str) -> Result<(), RealDirectorError> {
    let problem = |problem| RealDirectorError::File { name: name.into(), path: path.into(), problem };
    std::fs::write(path, text).map_err(problem)
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

/// Returns whether a director answers a ping.
async fn answers_ping(listen: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(listen).await?;
        stream.write_all(&encode_frame(&ClientMessage::Ping)).await?;
        let mut body = Vec::new();
        read_frame(&mut stream, &mut body).await?;
        let pong = matches!(serde_json::from_slice(&body), Ok(DirectorMessage::Pong));
        Ok::<bool, io::Error>(pong)
    };
    timeout(PING_TIMEOUT, asked).await.is_ok_and(|answer| answer.unwrap_or(false))
}
