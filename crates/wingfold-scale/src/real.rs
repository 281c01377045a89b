//! Real directors: processes that are started, watched and ended by their ids.

use crate::measure::{self, MeasureError, Usage};
use crate::messages::{frame, read_frame, ClientMessage, DirectorMessage};
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

/// Pause between two tries whether it answers.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Time between SIGTERM and SIGKILL.
const END_WITHIN: Duration = Duration::from_millis(700);
/// Last lines of its log that an error shows.
const LINES_SHOWN: usize = 3;

/// What went wrong with a real director.
#[derive(Debug, thiserror::Error)]
pub enum RealError {
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
    /// What it takes cannot be told.
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
    /// What its processes before this one have taken.
    before: Usage,
    most: Usage,
}

impl RealDirector {
    /// Starts a director in a folder for its files.
    pub async fn start(
        program: &Path,
        folder: &Path,
        name: String,
        listen: SocketAddr,
        configuration: &str,
    ) -> Result<RealDirector, RealError> {
        let (config, log) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.log")));
        write(&name, &config, configuration)?;
        write(&name, &log, "")?;
        let child = spawn(&name, program, &config, &log)?;
        let (before, most) = (Usage::default(), Usage::default());
        Ok(RealDirector { name, program: program.into(), listen, config, log, child, before, most })
    }

    /// Its process.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Waits until it answers, for so long at most; gives the time that took.
    pub async fn ready(&mut self, within: Duration) -> Result<Duration, RealError> {
        let begun = Instant::now();
        while !answers(self.listen).await {
            self.check()?;
            if begun.elapsed() > within {
                return Err(RealError::NotReady { within, name: self.name.clone(), log: self.last_lines() });
            }
            sleep(LOOK_AGAIN).await;
        }
        Ok(begun.elapsed())
    }

    /// Fails if it has ended by itself.
    pub fn check(&mut self) -> Result<(), RealError> {
        let problem = |problem| RealError::Unknown { name: self.name.clone(), problem };
        match self.child.try_wait().map_err(problem)? {
            None => Ok(()),
            Some(status) => Err(RealError::Ended { name: self.name.clone(), status, log: self.last_lines() }),
        }
    }

    /// Measures it; the peaks are those of all its processes so far.
    pub fn measure(&mut self) -> Result<Usage, RealError> {
        let Some(pid) = self.pid() else { return Ok(self.most) };
        let now = measure::usage(pid)?;
        self.most = Usage {
            processor_s: self.before.processor_s + now.processor_s,
            peak_memory_kib: self.most.peak_memory_kib.max(now.peak_memory_kib),
            descriptors: self.most.descriptors.max(now.descriptors),
        };
        Ok(self.most)
    }

    /// Replaces its configuration and has it read the new one.
    pub fn reload(&self, configuration: &str) -> Result<(), RealError> {
        let new = self.config.with_extension("new");
        write(&self.name, &new, configuration)?;
        std::fs::rename(&new, &self.config).map_err(|problem| RealError::File {
            name: self.name.clone(),
            path: self.config.clone(),
            problem,
        })?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Ends its process and starts it anew.
    pub async fn restart(&mut self) -> Result<(), RealError> {
        self.measure()?;
        self.before = self.most;
        self.end().await?;
        self.child = spawn(&self.name, &self.program, &self.config, &self.log)?;
        Ok(())
    }

    /// Ends it: SIGTERM, SIGKILL if that is not heard, and waits for it.
    pub async fn end(&mut self) -> Result<(), RealError> {
        self.signal(Signal::TERM);
        let ended = timeout(END_WITHIN, self.child.wait()).await;
        let status = match ended {
            Ok(status) => status.map(drop),
            Err(_) => self.child.kill().await,
        };
        status.map_err(|problem| RealError::Unknown { name: self.name.clone(), problem })
    }

    /// Sends a signal to its process, if it has one that was not waited for.
    fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        // One that has just ended hears nothing more, and is waited for as others are.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    fn last_lines(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LINES_SHOWN)..].join(" | ")
    }
}

fn write(name: &str, path: &Path, text: &str) -> Result<(), RealError> {
    let problem = |problem| RealError::File { name: name.into(), path: path.into(), problem };
    std::fs::write(path, text).map_err(problem)
}

fn spawn(name: &str, program: &Path, config: &Path, log: &Path) -> Result<Child, RealError> {
    let file = std::fs::OpenOptions::new().append(true).open(log);
    let file = file.map_err(|problem| RealError::File { name: name.into(), path: log.into(), problem })?;
    Command::new(program)
        .env_clear()
        .env("GW_CONFIG", config)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(file)
        .kill_on_drop(true)
        .spawn()
        .map_err(|problem| RealError::Start { name: name.into(), program: program.into(), problem })
}

/// Whether a director answers a ping.
async fn answers(listen: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(listen).await?;
        stream.write_all(&frame(&ClientMessage::Ping)).await?;
        let mut body = Vec::new();
        read_frame(&mut stream, &mut body).await?;
        let pong = matches!(serde_json::from_slice(&body), Ok(DirectorMessage::Pong));
        Ok::<bool, io::Error>(pong)
    };
    timeout(Duration::from_secs(1), asked).await.is_ok_and(|answer| answer.unwrap_or(false))
}
