//! Receives collectd's packets, where that is switched on: the load of hosts that no load report brings. Loads go through the
//! inbox like any report; packets of wrong senders are counted and dropped.

use crate::clock::Clock;
use crate::inbox::{InboundEvent, InboundSender};
use crate::metrics::{MetricValue, Metrics};
use crate::startup::CollectdSocket;
use std::sync::Arc;
use tokio::net::UdpSocket;
use wingfold_director::interface::{Event, HealthCheckOutcome, HostId};
use wingfold_metrics::collectd::{LoadReceiver, PacketRejection, ReportedLoad};

/// Bytes of a packet: UDP has no longer ones.
const MAX_PACKET_BYTES: usize = 65_535;
/// Packets received in a row before other tasks get a turn.
const PACKETS_BETWEEN_YIELDS: u32 = 64;

/// Receives collectd's packets.
pub struct CollectdReceiver {
    socket: UdpSocket,
    receiver: LoadReceiver,
    clock: Clock,
    inbox: InboundSender,
    metrics: Arc<Metrics>,
}

impl CollectdReceiver {
    /// Receives from a bound socket, by its settings.
    pub fn new(collectd: CollectdSocket, clock: Clock, inbox: InboundSender, metrics: Arc<Metrics>) -> Self {
        let settings = collectd.settings;
        let receiver = LoadReceiver::new(settings.users, settings.requires_security, settings.hosts);
        CollectdReceiver { socket: collectd.socket, receiver, clock, inbox, metrics }
    }

    /// Receives packets; never returns, and ends when it is dropped.
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

    /// Delivers loads like the outcomes of health checks: no zone has reached the host, only its load is known.
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
