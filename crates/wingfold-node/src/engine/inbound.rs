//! Translates inbound events into events for the decision module. Outdated and invalid events are dropped.

use super::Engine;
use crate::inbox::InboundEvent;
use crate::list::EndpointListResponse;
use crate::message::InvalidReason;
use crate::outbox::ConnectionSender;
use crate::stage;
use wingfold_director::interface::{EndpointListKind, Event, HostId, ProxyId, ZoneId};

impl Engine {
    /// Translates the inbound events that one iteration of the loop has received.
    pub(super) fn apply_inbound_events(&mut self, inbound: &mut Vec<InboundEvent>, events: &mut Vec<Event>) {
        let _stage = stage!("take in", call = self.calls + 1).entered();
        for event in inbound.drain(..) {
            self.apply_inbound_event(event, events);
        }
    }

    /// Translates one inbound event.
    pub(super) fn apply_inbound_event(&mut self, event: InboundEvent, events: &mut Vec<Event>) {
        match event {
            InboundEvent::ProxyConnected { proxy, zone, requests_per_s, connection } => {
                self.connect_proxy(proxy, zone, requests_per_s, connection, events)
            }
            InboundEvent::ProxyDisconnected { proxy, connection_id } => {
                self.disconnect_proxy(proxy, connection_id, events)
            }
            InboundEvent::EndpointList { kind, list } => self.apply_endpoint_list(kind, list, events),
            InboundEvent::HealthChecked { host, incarnation, outcome, load } => {
                if self.is_current_incarnation(&host, incarnation) {
                    events.push(Event::HealthChecked { host, outcome, load });
                } else {
                    self.metrics.probes_overtaken_total.increment();
                }
            }
            InboundEvent::Required(event) => self.apply_required(event, events),
            InboundEvent::Report(event) => self.apply_report(event, events),
        }
        self.metrics.streams_joined.set(self.connections.len() as u64);
    }

    /// Makes a new connection the stream of its proxy, unless the proxy has opened a later one.
    fn connect_proxy(
        &mut self,
        proxy: ProxyId,
        zone: ZoneId,
        requests_per_s: f64,
        connection: ConnectionSender,
        events: &mut Vec<Event>,
    ) {
        let current = self.connections.get(&proxy);
        if current.is_some_and(|current| current.connection_id > connection.connection_id) {
            self.metrics.streams_overtaken_total.increment();
            connection.close();
            return;
        }
        if let Some(replaced) = self.connections.insert(proxy, connection) {
            self.metrics.streams_replaced_total.increment();
            replaced.close();
            self.record_disconnect(proxy, events);
        }
        tracing::info!(proxy = proxy.0, zone = &*zone.0, "proxy connected");
        self.tables.proxy_connected(proxy);
        events.push(Event::ProxyConnected { proxy, zone, requests_per_s });
    }

    /// Records that a connection has ended. A connection that a later one of its proxy has replaced is
    /// ignored: its end was recorded when it was replaced.
    fn disconnect_proxy(&mut self, proxy: ProxyId, connection_id: u64, events: &mut Vec<Event>) {
        let current = self.connections.get(&proxy);
        if current.is_some_and(|current| current.connection_id == connection_id) {
            self.connections.remove(&proxy);
            self.record_disconnect(proxy, events);
        }
    }

    fn record_disconnect(&mut self, proxy: ProxyId, events: &mut Vec<Event>) {
        self.tables.proxy_disconnected(proxy);
        self.metrics.streams_left_total.increment();
        events.push(Event::ProxyDisconnected(proxy));
    }

    /// Records the hosts of an endpoint list, and passes on the entries of those within the host limit.
    fn apply_endpoint_list(
        &mut self,
        kind: EndpointListKind,
        mut list: EndpointListResponse,
        events: &mut Vec<Event>,
    ) {
        let rejected = self.addresses.update(&mut list, self.max_hosts);
        if rejected > 0 {
            self.record_rejected_hosts(rejected);
        }
        let endpoints = list.to_endpoints();
        if kind != EndpointListKind::Changes {
            self.metrics.list_hosts.set(endpoints.len() as u64);
        }
        events.push(Event::EndpointList { kind, endpoints });
    }

    fn record_rejected_hosts(&self, rejected: usize) {
        self.metrics.hosts_refused_total.add(rejected as u64);
        if let Some(suppressed) = self.rejected_hosts_log.allow_line() {
            tracing::warn!(
                rejected,
                max_hosts = self.max_hosts,
                key = "limits.memory_mb",
                suppressed,
                "endpoint list exceeds the host limit"
            );
        }
    }

    /// Whether the process that a health check was sent to still runs as this host. The load of a process
    /// that was replaced says nothing about the process that now has the host's name.
    fn is_current_incarnation(&self, host: &HostId, incarnation: u64) -> bool {
        self.addresses.get(&host.0).is_some_and(|target| target.incarnation == incarnation)
    }

    /// Passes a required event on. An acknowledgement is dropped as invalid unless its barrier is pending.
    fn apply_required(&mut self, event: Event, events: &mut Vec<Event>) {
        if let Event::Acknowledged { proxy, barrier, .. } = event {
            if !self.tables.acknowledge(proxy, barrier) {
                self.metrics.count_invalid(InvalidReason::Mark);
                return;
            }
        }
        events.push(event);
    }

    /// Passes a report on. A report about a host that is not known is dropped as invalid.
    fn apply_report(&mut self, event: Event, events: &mut Vec<Event>) {
        if let Event::LoadReport { host, .. } | Event::HealthChecked { host, .. } = &event {
            if self.addresses.get(&host.0).is_none() {
                self.metrics.count_invalid(InvalidReason::Name);
                return;
            }
        }
        events.push(event);
    }
}
