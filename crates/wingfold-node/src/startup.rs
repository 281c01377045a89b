//! Startup of a director: reserves resources and binds sockets.

use crate::config::{Config, ConfigError, PeerAddresses};
use crate::error::RunError;
use crate::metrics::Metrics;
use crate::peers::PeerSocket;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::time::Instant;
use wingfold_director::interface::LoadReportSource;
use wingfold_settings::local::{LoadReceiverSettings, LocalSettings};

/// How long binding an address that is in use is retried. A restart that takes longer misses its deadline
/// anyway.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two attempts to bind an address that is in use.
const ADDRESS_IN_USE_PAUSE: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted.
const ACCEPT_QUEUE_LENGTH: u32 = 1024;

/// Deducts the memory and descriptors of the capture and the metrics from the bounds, because the limits of
/// the process cover them as well. If the descriptors then no longer suffice for all clients, metrics are
/// switched off.
pub fn reserve_resources(config: &mut Config, local: &mut LocalSettings) -> Result<(), ConfigError> {
    let bounds = config.bounds.after_reserving(local.reserved_memory_bytes(), local.file_descriptors())?;
    let clients_fit_without_metrics = config.bounds.max_connections >= config.bounds.max_clients;
    let clients_fit_with_metrics = bounds.max_connections >= bounds.max_clients;
    if local.metrics.is_some() && clients_fit_without_metrics && !clients_fit_with_metrics {
        // Clients take precedence: a director can serve without metrics.
        tracing::warn!(
            "key `limits.sockets`: too low for all proxies, collectors and sinks; metrics are switched off"
        );
        local.metrics = None;
    }
    config.bounds = config.bounds.after_reserving(local.reserved_memory_bytes(), local.file_descriptors())?;
    Ok(())
}

/// The settings for receiving collectd packets; `None` if this is disabled, or if the platform's own load
/// reports are used instead.
pub fn load_receiver_settings(config: &Config, local: &LocalSettings) -> Option<LoadReceiverSettings> {
    let load_receiver = local.metrics.as_ref()?.load_receiver.clone()?;
    if config.settings.load_report_source != LoadReportSource::Never {
        tracing::warn!("key `collectd_in`: not used, because the platform's load reports take precedence");
        return None;
    }
    Some(load_receiver)
}

/// The socket that receives collectd packets, and the settings of the receiver.
pub struct CollectdSocket {
    /// The socket.
    pub socket: UdpSocket,
    /// The settings.
    pub settings: LoadReceiverSettings,
}

/// The sockets that a director binds.
pub struct Sockets {
    /// Accepts connections of proxies, collectors and HTTP clients.
    pub listener: TcpListener,
    /// Receives collectd packets, if enabled.
    pub collectd: Option<CollectdSocket>,
    /// Exchanges messages with other directors, if the settings allow it.
    pub peers: Option<Arc<PeerSocket>>,
}

impl Sockets {
    /// Binds all sockets, one after another, with one deadline for all.
    pub async fn bind(
        config: &Config,
        load_receiver: Option<LoadReceiverSettings>,
        metrics: &Arc<Metrics>,
    ) -> Result<Sockets, RunError> {
        let deadline = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
        let listener = bind_with_retry("listen", config.listen, deadline, bind_listener).await?;
        let collectd = match load_receiver {
            Some(settings) => Some(bind_collectd(settings, deadline).await?),
            None => None,
        };
        let peers = match &config.peers {
            Some(peers) => Some(bind_peers(peers.clone(), deadline, metrics.clone()).await?),
            None => None,
        };
        Ok(Sockets { listener, collectd, peers })
    }
}

/// Binds the listener, with a queue that holds connections in hundreds while they wait to be accepted. The
/// kernel drops a connection that finds the queue full, and its client tries again only a second later.
async fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE_LENGTH)
}

async fn bind_collectd(
    settings: LoadReceiverSettings,
    deadline: Instant,
) -> Result<CollectdSocket, RunError> {
    let socket = bind_with_retry("collectd_in.listen", settings.listen, deadline, UdpSocket::bind).await?;
    Ok(CollectdSocket { socket, settings })
}

async fn bind_peers(
    peers: PeerAddresses,
    deadline: Instant,
    metrics: Arc<Metrics>,
) -> Result<Arc<PeerSocket>, RunError> {
    let socket = bind_with_retry("peer_listen", peers.listen, deadline, UdpSocket::bind).await?;
    Ok(Arc::new(PeerSocket::new(socket, peers, metrics)))
}

/// Binds an address, retrying until the deadline while it is in use: at a restart, the previous process may
/// not have released it yet.
async fn bind_with_retry<T, F: Future<Output = io::Result<T>>>(
    key: &'static str,
    address: SocketAddr,
    deadline: Instant,
    bind: impl Fn(SocketAddr) -> F,
) -> Result<T, RunError> {
    let mut has_logged = false;
    loop {
        let problem = match bind(address).await {
            Ok(socket) => return Ok(socket),
            Err(problem) => problem,
        };
        if problem.kind() != ErrorKind::AddrInUse || Instant::now() >= deadline {
            return Err(RunError::Listen { key, address, problem });
        }
        if !has_logged {
            tracing::warn!(
                "key `{key}`: address {address} is in use; retrying for at most {} s",
                ADDRESS_IN_USE_TIMEOUT.as_secs()
            );
            has_logged = true;
        }
        tokio::time::sleep(ADDRESS_IN_USE_PAUSE).await;
    }
}
