//! Scripted peers of a director, for tests: discovery, hosts, proxies and collectors, metric receivers, and
//! an HTTP server whose responses the test writes byte by byte. They implement the published protocols and
//! share no code with the director.
#![forbid(unsafe_code)]

mod client;
mod config;
mod discovery;
pub mod frame;
mod host;
pub mod http;
mod loopback;
pub mod receivers;
pub mod scripted_server;

pub use client::Client;
pub use config::{deployment_settings, director_config};
pub use discovery::{endpoint, Discovery, DiscoveryBehaviour};
pub use host::Host;
pub use loopback::{free_address, unique_loopback_ip};

use std::time::Duration;

/// Timeout of every wait for a condition. A condition that is ever met needs far less.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
