//! The queue between the tasks that read sockets and the engine, the only task that owns the decision module.
//!
//! Sending never waits. Reports ([`InboundEvent::Report`]) beyond a bound are dropped and counted. An event
//! of any other kind always has room, because its source (a connection, a call of discovery, a health check)
//! bounds how many there are.

use crate::list::EndpointListResponse;
use crate::metrics::Metrics;
use crate::outbox::ConnectionSender;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use wingfold_director::interface::{
    EndpointListKind, Event, HealthCheckOutcome, HostId, HostLoad, ProxyId, ZoneId,
};

/// What the engine receives from the tasks around it.
#[derive(Debug)]
pub enum InboundEvent {
    /// A proxy has opened a stream.
    ProxyConnected {
        /// The proxy.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// The requests that it usually receives in a second, approximately.
        requests_per_s: f64,
        /// Queues messages on the stream.
        connection: ConnectionSender,
    },
    /// A proxy's stream has ended.
    ProxyDisconnected {
        /// The proxy.
        proxy: ProxyId,
        /// The connection that ended; the proxy may have opened another one since.
        connection_id: u64,
    },
    /// An endpoint list of discovery or of the configuration.
    EndpointList {
        /// Whether the list is complete, holds only changes, or was cached before a restart.
        kind: EndpointListKind,
        /// The endpoints.
        list: EndpointListResponse,
    },
    /// A health check has ended.
    HealthChecked {
        /// The host that was checked.
        host: HostId,
        /// The incarnation of the host when the check was sent.
        incarnation: u64,
        /// How the check ended.
        outcome: HealthCheckOutcome,
        /// The load that the host reported.
        load: HostLoad,
    },
    /// An event for the decision module that must not be lost.
    Required(Event),
    /// A load report, a usage report or a load from collectd. It may be dropped under overload.
    Report(Event),
}

impl InboundEvent {
    fn is_report(&self) -> bool {
        matches!(self, InboundEvent::Report(_))
    }
}

/// Sends to the engine; each task that reads a socket has a clone.
#[derive(Clone, Debug)]
pub struct InboundSender {
    events: UnboundedSender<InboundEvent>,
    queued_reports: Arc<AtomicUsize>,
    max_queued_reports: usize,
    metrics: Arc<Metrics>,
}

/// The engine's end of the queue.
#[derive(Debug)]
pub struct InboundReceiver {
    events: UnboundedReceiver<InboundEvent>,
    queued_reports: Arc<AtomicUsize>,
}

/// Creates the queue; at most `max_queued_reports` reports wait in it.
pub fn channel(max_queued_reports: usize, metrics: Arc<Metrics>) -> (InboundSender, InboundReceiver) {
    let (sender, receiver) = unbounded_channel();
    let queued_reports = Arc::new(AtomicUsize::new(0));
    let receiver = InboundReceiver { events: receiver, queued_reports: queued_reports.clone() };
    let sender = InboundSender { events: sender, queued_reports, max_queued_reports, metrics };
    (sender, receiver)
}

impl InboundSender {
    /// Queues an event without waiting; a report that has no room is dropped and counted.
    pub fn send(&self, event: InboundEvent) {
        if event.is_report() {
            if self.queued_reports.load(Ordering::Relaxed) >= self.max_queued_reports {
                self.metrics.reports_dropped_total.increment();
                return;
            }
            self.queued_reports.fetch_add(1, Ordering::Relaxed);
        }
        // The receiver is dropped only when the director ends.
        let _ = self.events.send(event);
    }
}

impl InboundReceiver {
    /// Waits for at least one event and moves all queued events to `events`; returns false once every sender
    /// is dropped.
    ///
    /// `events` must be empty, since every report in it is counted as received. The future is cancel safe: no
    /// event is removed from the queue before it is ready.
    pub async fn receive_all(&mut self, events: &mut Vec<InboundEvent>) -> bool {
        let received = self.events.recv_many(events, usize::MAX).await;
        let reports = events.iter().filter(|event| event.is_report()).count();
        self.queued_reports.fetch_sub(reports, Ordering::Relaxed);
        received > 0
    }
}

#[cfg(test)]
mod tests;
