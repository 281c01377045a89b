//! Receives collectd's packets, where that is switched on: the load of hosts that no load report brings. Loads go through the
//! inbox like any report; packets of wrong senders are counted and dropped.

use crate::clock::Clock;
use crate::inbox::{InboundEvent, InboundSender};
use crate::metrics::{MetricValue, Metrics};
use crate::startup::CollectdSocket;
use std::sync::Arc;
use tokio::net::UdpSocket;
use wingfold_director::interface::{Event, HealthCheckOutcome, HostId, HostLoad};
use wingfold_metrics::collectd::{Intake, Refused};

/// Bytes of a packet: UDP has no longer ones.
const MAX_PACKET_BYTES: usize = 65_535;
/// Packets received in a row before other tasks get a turn.
const PACKETS_PER_TURN: u32 = 64;

/// Receives collectd's packets.
pub struct CollectdReceiver {
    socket: UdpSocket,
    intake: Intake,
    clock: Clock,
    inbox: InboundSender,
    metrics: Arc<Metrics>,
}

impl CollectdReceiver {
    /// Receives from a bound socket, by its settings.
    pub fn new(collectd: CollectdSocket, clock: Clock, inbox: InboundSender, metrics: Arc<Metrics>) -> Self {
        let settings = collectd.settings;
        let intake = Intake::new(settings.users, settings.secured, settings.map);
        CollectdReceiver { socket: collectd.socket, intake, clock, inbox, metrics }
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
            match self.intake.take(self.clock.now(), &buffer[..length]) {
                Ok(loads) => self.deliver(loads),
                Err(reason) => {
                    self.metrics.collectd_rejected(reason).increment();
                    tracing::debug!(%from, %reason, "collectd: packet rejected");
                }
            }
            if received.is_multiple_of(PACKETS_PER_TURN) {
                tokio::task::yield_now().await;
            }
        }
    }

    /// Delivers loads like the outcomes of health checks: no zone has reached the host, only its load is known.
    fn deliver(&self, loads: Vec<(String, HostLoad)>) {
        self.metrics.collectd_in_total.increment();
        for (host, load) in loads {
            let host = HostId(host.into());
            let event = Event::HealthChecked { host, outcome: HealthCheckOutcome::Ok, load };
            self.inbox.send(InboundEvent::Report(event));
        }
    }
}

impl Metrics {
    fn collectd_rejected(&self, reason: Refused) -> &MetricValue {
        match reason {
            Refused::Form => &self.collectd_refused_form_total,
            Refused::Open => &self.collectd_refused_open_total,
            Refused::User => &self.collectd_refused_user_total,
            Refused::Key => &self.collectd_refused_key_total,
            Refused::Replayed => &self.collectd_refused_replayed_total,
            Refused::Host => &self.collectd_refused_host_total,
        }
    }
}
