//! The task of one receiver over UDP: sends datagrams in bursts with a pause between them.

use super::resolve::Resolver;
use super::RenderedInterval;
use crate::reporting::SinkStats;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Datagrams sent without a pause.
const DATAGRAMS_PER_BURST: usize = 64;
/// Pause between two bursts, so that the receiver's buffer does not overflow.
const BURST_PAUSE: Duration = Duration::from_millis(5);
/// Time for resolving the receiver's name.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(2);

/// One receiver over UDP. A datagram that cannot be sent is lost, like one lost on the network. If the next
/// interval arrives before an interval is sent completely, the rest of the earlier one is dropped.
pub(super) struct UdpSink {
    label: Arc<str>,
    address: String,
    queue: mpsc::Receiver<RenderedInterval>,
    stats: Arc<SinkStats>,
    resolver: Resolver,
    socket: Option<UdpSocket>,
}

impl UdpSink {
    pub(super) fn new(
        label: Arc<str>,
        address: String,
        queue: mpsc::Receiver<RenderedInterval>,
        stats: Arc<SinkStats>,
    ) -> Self {
        UdpSink { label, address, queue, stats, resolver: Resolver::default(), socket: None }
    }

    /// Serves the receiver until the queue is closed.
    pub(super) async fn run(mut self) {
        while let Some(work) = self.queue.recv().await {
            if let RenderedInterval::Datagrams(datagrams) = work {
                self.send_interval(&datagrams).await;
            }
        }
    }

    async fn send_interval(&mut self, datagrams: &[Vec<u8>]) {
        if self.socket.is_none() {
            self.socket = connect(&self.address, &self.resolver).await.ok();
        }
        let Some(socket) = &self.socket else {
            self.stats.update(&self.label, |counters| {
                counters.count_dropped("unreachable");
                counters.failed_connections += 1;
            });
            return;
        };
        let has_failed = self.send_datagrams(socket, datagrams).await;
        if has_failed {
            self.stats.update(&self.label, |counters| counters.failed_connections += 1);
            // A name may resolve to another address by now, so it is resolved again for the next interval.
            if self.address.parse::<SocketAddr>().is_err() {
                self.socket = None;
            }
        }
    }

    /// Sends the datagrams of an interval; returns true if sending one of them failed.
    async fn send_datagrams(&self, socket: &UdpSocket, datagrams: &[Vec<u8>]) -> bool {
        let mut has_failed = false;
        for (index, datagram) in datagrams.iter().enumerate() {
            if index > 0 && index % DATAGRAMS_PER_BURST == 0 {
                sleep(BURST_PAUSE).await;
                if !self.queue.is_empty() {
                    self.stats.update(&self.label, |counters| counters.count_dropped("late"));
                    break;
                }
            }
            match socket.try_send(datagram) {
                Ok(count) => self.stats.update(&self.label, |counters| counters.sent_bytes += count as u64),
                // No process listens on the port, or the send buffer is full: this datagram is lost.
                Err(_) => has_failed = true,
            }
        }
        has_failed
    }
}

async fn connect(address: &str, resolver: &Resolver) -> io::Result<UdpSocket> {
    let address = timeout(RESOLVE_TIMEOUT, resolver.resolve(address)).await.map_err(io::Error::other)??;
    let any_port: SocketAddr =
        if address.is_ipv4() { (Ipv4Addr::UNSPECIFIED, 0).into() } else { (Ipv6Addr::UNSPECIFIED, 0).into() };
    let socket = UdpSocket::bind(any_port).await?;
    socket.connect(address).await?;
    // A new socket is writable, but the runtime does not know that before this call, and would refuse the
    // first `try_send`.
    socket.writable().await?;
    Ok(socket)
}
