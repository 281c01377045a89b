//! Errors that end a director.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// Why a director ended without a request to shut down.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address of the configuration cannot be bound.
    #[error("key `{key}`: cannot listen on {address}: {problem}")]
    Listen {
        /// The key of the configuration.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why binding failed.
        problem: io::Error,
    },
    /// A task that must run until the end of the process has ended.
    #[error("a task that must run until shutdown has ended: {0}")]
    TaskEnded(TaskEnd),
    /// The configuration is wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The runtime, the signal handlers or the capture cannot be started.
    #[error("startup failed: {0}")]
    Startup(#[from] io::Error),
}

/// How a task ended that must run until the end of the process.
#[derive(Debug, thiserror::Error)]
pub enum TaskEnd {
    /// The thread that reads the configuration panicked.
    #[error("the thread that reads the configuration panicked")]
    ReadingConfiguration,
    /// The task panicked or was cancelled.
    #[error(transparent)]
    Failed(#[from] JoinError),
    /// The task returned.
    #[error("the task returned without an error")]
    Returned,
}
