//! Why a director ended without being asked to.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// Why a director ended without being asked to.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address of the configuration cannot be bound.
    #[error("key `{key}`: cannot listen on {address}: {problem}")]
    Listen {
        /// The key of the configuration.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why not.
        problem: io::Error,
    },
    /// A task that must run until the end of the process has ended.
    #[error("a task that must run for good has ended: {0}")]
    TaskEnded(TaskEnd),
    /// The configuration is wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The runtime cannot start.
    #[error("the runtime cannot start: {0}")]
    Startup(#[from] io::Error),
}

/// How a task ended that must run until the end of the process.
#[derive(Debug, thiserror::Error)]
pub enum TaskEnd {
    /// The thread that reads the configuration panicked.
    #[error("reading the configuration")]
    ReadingConfiguration,
    /// The task panicked or was cancelled.
    #[error(transparent)]
    Failed(#[from] JoinError),
    /// The task returned.
    #[error("no reason given")]
    Returned,
}
