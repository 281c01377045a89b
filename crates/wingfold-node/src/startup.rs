//! The start of a director: resources that are reserved, and sockets that are bound, before anything is served.

use crate::config::{Config, ConfigError, PeerAddresses};
use crate::error::RunError;
use crate::metrics::Metrics;
use crate::peers::PeerSocket;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::Instant;
use wingfold_director::interface::LoadReportSource;
use wingfold_settings::local::{LoadReceiverSettings, LocalSettings};

/// How long an address that is in use is waited for: a restart that takes longer is not ready in time anyway.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two attempts to bind such an address.
const ADDRESS_IN_USE_PAUSE: Duration = Duration::from_millis(50);

/// Takes what the capture and the sinks need off the bounds: it comes out of the same limits, not on top of them. Where
/// the descriptors do not suffice for both, the sinks are switched off.
pub fn reserve_resources(config: &mut Config, local: &mut LocalSettings) -> Result<(), ConfigError> {
    let bounds = config.bounds.after_reserving(local.reserved_memory_bytes(), local.file_descriptors())?;
    let suffices_without_metrics = config.bounds.max_connections >= config.bounds.max_clients;
    let suffices = bounds.max_connections >= bounds.max_clients;
    if local.metrics.is_some() && suffices_without_metrics && !suffices {
        // Clients go first: a director serves without metrics, and not without clients.
        tracing::warn!(
            "key `limits.sockets`: too few for all that may join and for figures, which are not sent"
        );
        local.metrics = None;
    }
    config.bounds = config.bounds.after_reserving(local.reserved_memory_bytes(), local.file_descriptors())?;
    Ok(())
}

/// Where collectd's packets are received; `None` where they are not, or where the platform's own load reports go before.
pub fn load_receiver_settings(config: &Config, local: &LocalSettings) -> Option<LoadReceiverSettings> {
    let load_receiver = local.metrics.as_ref()?.load_receiver.clone()?;
    if config.settings.load_report_source != LoadReportSource::Never {
        tracing::warn!("key `collectd_in`: not used, because the platform's load reports take precedence");
        return None;
    }
    Some(load_receiver)
}

/// A socket that receives collectd's packets, and their settings.
pub struct CollectdSocket {
    /// The socket.
    pub socket: UdpSocket,
    /// The settings.
    pub settings: LoadReceiverSettings,
}

/// The sockets that a director binds.
pub struct Sockets {
    /// Accepts proxies, collectors and HTTP.
    pub listener: TcpListener,
    /// Receives collectd's packets, where that is switched on.
    pub collectd: Option<CollectdSocket>,
    /// Exchanges messages with other directors, where the settings allow it.
    pub peers: Option<Arc<PeerSocket>>,
}

impl Sockets {
    /// Binds all sockets, one after another.
    pub async fn bind(
        config: &Config,
        load_receiver: Option<LoadReceiverSettings>,
        metrics: &Arc<Metrics>,
    ) -> Result<Sockets, RunError> {
        let deadline = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
        let listener = bind_with_retry("listen", config.listen, deadline, TcpListener::bind).await?;
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

/// Binds an address. The predecessor of a restart may hold it a moment longer, so one that is in use is retried until the
/// deadline.
async fn bind_with_retry<T, F: Future<Output = io::Result<T>>>(
    key: &'static str,
    address: SocketAddr,
    deadline: Instant,
    bind: impl Fn(SocketAddr) -> F,
) -> Result<T, RunError> {
    let mut is_logged = false;
    loop {
        let problem = match bind(address).await {
            Ok(socket) => return Ok(socket),
            Err(problem) => problem,
        };
        if problem.kind() != ErrorKind::AddrInUse || Instant::now() >= deadline {
            return Err(RunError::Listen { key, address, problem });
        }
        if !is_logged {
            tracing::warn!("key `{key}`: {address} is still in use, waiting for it");
            is_logged = true;
        }
        tokio::time::sleep(ADDRESS_IN_USE_PAUSE).await;
    }
}
