//! Simulated parts: tasks that speak their protocol at the true rates and sizes, and decide nothing.

pub mod collector;
pub mod director;
pub mod host;
pub mod proxy;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, Instant};

/// Why a simulated part ended.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// A director has accepted no connection for a long time.
    #[error("{part} reaches no director at {address}: {problem}")]
    Unreachable {
        /// The part.
        part: String,
        /// The address it connects to.
        address: SocketAddr,
        /// Why the last attempt failed.
        problem: io::Error,
    },
    /// It can no longer listen.
    #[error("{part} listens no longer: {problem}")]
    Listener {
        /// The part.
        part: String,
        /// Why.
        problem: io::Error,
    },
    /// It got a message that the protocol does not have.
    #[error("{part} got what it cannot use: {problem}")]
    Unreadable {
        /// The part.
        part: String,
        /// What was wrong.
        problem: String,
    },
}

/// Pause before a client connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a connection attempt to a director.
const DIRECTOR_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A client fails if its director has accepted no connection for this time.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(15);

/// Connects to a director, with retries until it accepts.
async fn connect_to_director(part: &str, address: SocketAddr) -> Result<TcpStream, SimulationError> {
    let begun = Instant::now();
    loop {
        let problem = match TcpSocket::new_v4() {
            Err(problem) => problem,
            Ok(socket) => {
                match crate::http::connect_within(socket, address, DIRECTOR_CONNECT_TIMEOUT).await {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        return Ok(stream);
                    }
                    Err(problem) => problem,
                }
            }
        };
        if begun.elapsed() > UNREACHABLE_AFTER {
            return Err(SimulationError::Unreachable { part: part.into(), address, problem });
        }
        sleep(RECONNECT_DELAY).await;
    }
}
