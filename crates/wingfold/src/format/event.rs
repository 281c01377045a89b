//! Formats the events that the director handles.

use super::class_name;
use wingfold_capture::Head;
use wingfold_director::interface::{
    AttemptCounts, Endpoint, EndpointListKind, Event, HostLoad, Micros, Readiness,
};

/// The maximum number of endpoints of a list that are shown.
const MAX_ENDPOINTS: usize = 40;

const MS_PER_S: f64 = 1e3;

/// An event as one line of text.
pub fn event(head: &Head, event: &Event) -> String {
    match event {
        Event::EndpointList { kind, endpoints } => endpoint_list(*kind, endpoints),
        Event::EndpointListFailed => "a request for the endpoint list failed".into(),
        Event::DiscoveryMoved => "the address of discovery has changed".into(),
        Event::TimerFired(token) => format!("timer {token} fired"),
        Event::HealthChecked { host, outcome, load } => {
            format!("health check of {}: {outcome:?}{}", host.0, host_load(load))
        }
        Event::PeerMessage { from, message } => {
            format!("message from director {from}, {} bytes", message.len())
        }
        Event::ProxyConnected { proxy, zone, requests_per_s } => {
            format!("proxy {} of zone {} connected, {requests_per_s:.1} requests/s", proxy.0, zone.0)
        }
        Event::ProxyDisconnected(proxy) => format!("proxy {} disconnected", proxy.0),
        Event::LoadReport { zone, host, attempts, mean_latency, load } => format!(
            "load report of zone {} on {}: {}, mean latency {:.0} ms{}",
            zone.0,
            host.0,
            counts(attempts, "attempts"),
            milliseconds(*mean_latency),
            host_load(load)
        ),
        Event::Usage { proxy, class: index, requests } => {
            let requests = counts(requests, "requests");
            format!("usage report of proxy {} for {}: {requests}", proxy.0, class_name(head, index.0))
        }
        Event::Acknowledged { proxy, barrier, elapsed } => {
            format!("proxy {} applied barrier {barrier} after {:.0} ms", proxy.0, milliseconds(*elapsed))
        }
        Event::Shard => "an event about shards, which are not supported".into(),
    }
}

fn milliseconds(duration: Micros) -> f64 {
    duration.secs() * MS_PER_S
}

fn endpoint_list(kind: EndpointListKind, endpoints: &[Endpoint]) -> String {
    let mut text = format!("endpoint list ({kind:?}) with {} entries", endpoints.len());
    for entry in endpoints.iter().take(MAX_ENDPOINTS) {
        text.push_str(&endpoint(entry));
    }
    if endpoints.len() > MAX_ENDPOINTS {
        text.push_str(&format!("; and {} more", endpoints.len() - MAX_ENDPOINTS));
    }
    text
}

fn endpoint(endpoint: &Endpoint) -> String {
    let readiness = match endpoint.readiness {
        Readiness::Ready => "ready",
        Readiness::Draining => "draining",
        Readiness::Removed => "removed",
    };
    format!("; {} in zone {}: {readiness}, weight {}", endpoint.host.0, endpoint.zone.0, endpoint.weight)
}

/// Counts of attempts or of requests; `unit` says which.
fn counts(counts: &AttemptCounts, unit: &str) -> String {
    format!("{} {unit}, {} failed, in {:.1} s", counts.total, counts.failed, counts.period.secs())
}

/// The load values that a host reported, each after a comma; empty if the host reported none.
fn host_load(load: &HostLoad) -> String {
    let values = [
        ("in flight", load.in_flight),
        ("queued", load.queued),
        ("utilization", load.utilization),
        ("service time ms", load.service_ms),
    ];
    let reported =
        values.iter().filter_map(|(name, value)| value.map(|value| format!(", {name} {value:.2}")));
    reported.collect()
}
