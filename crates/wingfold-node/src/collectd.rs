//! Receives collectd packets, if enabled: they carry the load of hosts for which no load report does. Loads
//! go through the inbox like load reports; rejected packets are counted and dropped.

use crate::clock::Clock;
use crate::inbox::{InboundEvent, InboundSender};
use crate::metrics::{MetricValue, Metrics};
use crate::startup::CollectdSocket;
use std::sync::Arc;
use tokio::net::UdpSocket;
use wingfold_director::interface::{Event, HealthCheckOutcome, HostId};
use wingfold_metrics::collectd::{LoadReceiver, PacketRejection, ReportedLoad};

/// Size of the receive buffer: the largest UDP datagram.
const MAX_PACKET_BYTES: usize = 65_535;
/// Packets received before the task yields to other tasks.
const PACKETS_BETWEEN_YIELDS: u32 = 64;

/// Receives collectd packets and passes the loads in them to the engine.
pub struct CollectdReceiver {
    socket: UdpSocket,
    receiver: LoadReceiver,
    clock: Clock,
    inbox: InboundSender,
    metrics: Arc<Metrics>,
}

impl CollectdReceiver {
    /// Creates a receiver for a bound socket with its settings.
    pub fn new(collectd: CollectdSocket, clock: Clock, inbox: InboundSender, metrics: Arc<Metrics>) -> Self {
        let settings = collectd.settings;
        let receiver = LoadReceiver::new(settings.users, settings.requires_security, settings.hosts);
        CollectdReceiver { socket: collectd.socket, receiver, clock, inbox, metrics }
    }

    /// Receives packets; never returns, and stops when the future is dropped.
    pub async fn run(mut self) {
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        let mut received: u32 = 0;
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            received += 1;
            match self.receiver.receive(self.clock.now(), &buffer[..length]) {
                Ok(loads) => self.deliver(loads),
                Err(reason) => {
                    self.metrics.collectd_rejected(reason).increment();
                    tracing::debug!(%from, %reason, "collectd: packet rejected");
                }
            }
            if received.is_multiple_of(PACKETS_BETWEEN_YIELDS) {
                tokio::task::yield_now().await;
            }
        }
    }

    /// Delivers loads as outcomes of health checks: a packet tells the load of a host, and does not
    /// show that proxies can reach it.
    fn deliver(&self, loads: Vec<ReportedLoad>) {
        self.metrics.collectd_in_total.increment();
        for ReportedLoad { host, load } in loads {
            let host = HostId(host.into());
            let event = Event::HealthChecked { host, outcome: HealthCheckOutcome::Ok, load };
            self.inbox.send(InboundEvent::Report(event));
        }
    }
}

impl Metrics {
    fn collectd_rejected(&self, reason: PacketRejection) -> &MetricValue {
        match reason {
            PacketRejection::Malformed => &self.collectd_refused_form_total,
            PacketRejection::Unsecured => &self.collectd_refused_open_total,
            PacketRejection::UnknownUser => &self.collectd_refused_user_total,
            PacketRejection::InvalidKey => &self.collectd_refused_key_total,
            PacketRejection::Replayed => &self.collectd_refused_replayed_total,
            PacketRejection::UnknownHost => &self.collectd_refused_host_total,
        }
    }
}
