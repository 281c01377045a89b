//! Hollow parts: tasks that speak their protocol at the true pace and sizes, and decide nothing.

pub mod collector;
pub mod director;
pub mod host;
pub mod proxy;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, Instant};

/// Why a hollow part ended.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// A director took no connection for a long time.
    #[error("{part} reaches no director at {address}: {problem}")]
    Unreachable {
        /// The part.
        part: String,
        /// Where it dials.
        address: SocketAddr,
        /// What came of the last try.
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
    /// It got something that is none of the protocol's.
    #[error("{part} got what it cannot use: {problem}")]
    Unreadable {
        /// The part.
        part: String,
        /// What was wrong.
        problem: String,
    },
}

/// Pause before a client dials again.
const REDIAL: Duration = Duration::from_millis(200);
/// Time for a connection to a director to come up.
const DIAL: Duration = Duration::from_secs(1);
/// A director that takes no connection for so long is gone for good.
const UNREACHABLE: Duration = Duration::from_secs(15);

/// Dials a director until it takes the connection.
async fn reach(part: &str, address: SocketAddr) -> Result<TcpStream, HollowError> {
    let begun = Instant::now();
    loop {
        let problem = match TcpSocket::new_v4() {
            Err(problem) => problem,
            Ok(socket) => match crate::http::dial(socket, address, DIAL).await {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    return Ok(stream);
                }
                Err(problem) => problem,
            },
        };
        if begun.elapsed() > UNREACHABLE {
            return Err(HollowError::Unreachable { part: part.into(), address, problem });
        }
        sleep(REDIAL).await;
    }
}
