//! Simulated components: tasks that speak the protocol of a director, collector, proxy or host with realistic
//! rates and sizes of messages, and make no decisions.

pub mod collector;
pub mod director;
pub mod host;
pub mod proxy;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, Instant};

/// Why a simulated component failed.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// A director has accepted no connection for 15 s.
    #[error("{component} cannot connect to the director at {address}: {problem}")]
    Unreachable {
        /// The component.
        component: String,
        /// The address of the director.
        address: SocketAddr,
        /// Why the last connection attempt failed.
        problem: io::Error,
    },
    /// A listener can no longer accept connections.
    #[error("{component} cannot accept connections: {problem}")]
    Listener {
        /// The component.
        component: String,
        /// Why accepting failed.
        problem: io::Error,
    },
    /// A message from a director does not follow the protocol, or names an unknown host or class.
    #[error("{component} received an invalid message: {problem}")]
    InvalidMessage {
        /// The component.
        component: String,
        /// What is wrong with the message.
        problem: String,
    },
}

/// Pause between two connection attempts of a client.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a connection attempt to a director.
const DIRECTOR_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A client fails if its director has accepted no connection for this long.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(15);

/// Connects a client to a director. Failed attempts are repeated until [`UNREACHABLE_AFTER`] has passed.
async fn connect_to_director(component: &str, address: SocketAddr) -> Result<TcpStream, SimulationError> {
    let begun = Instant::now();
    loop {
        let problem = match TcpSocket::new_v4() {
            Err(problem) => problem,
            Ok(socket) => {
                match crate::http::connect_with_timeout(socket, address, DIRECTOR_CONNECT_TIMEOUT).await {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        return Ok(stream);
                    }
                    Err(problem) => problem,
                }
            }
        };
        if begun.elapsed() > UNREACHABLE_AFTER {
            return Err(SimulationError::Unreachable { component: component.into(), address, problem });
        }
        sleep(RECONNECT_DELAY).await;
    }
}
