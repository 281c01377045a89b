//! Events as text.

use super::class;
use wingfold_capture::Head;
use wingfold_director::interface::{
    AttemptCounts, Endpoint, EndpointListKind, Event, HostLoad, Micros, Readiness,
};

/// The most entries of an endpoint list that are shown.
const MAX_ENDPOINTS: usize = 40;

const MS_PER_S: f64 = 1e3;

/// One event as text on one line.
pub fn event(head: &Head, event: &Event) -> String {
    match event {
        Event::EndpointList { kind, endpoints } => endpoint_list(*kind, endpoints),
        Event::EndpointListFailed => "a call for the list failed".into(),
        Event::DiscoveryMoved => "the list has another address".into(),
        Event::TimerFired(token) => format!("timer {token}"),
        Event::HealthChecked { host, outcome, load } => {
            format!("probe of {}: {outcome:?}{}", host.0, host_load(load))
        }
        Event::PeerMessage { from, message } => {
            format!("word of director {from}, {} bytes", message.len())
        }
        Event::ProxyConnected { proxy, zone, requests_per_s } => {
            format!("proxy {} of {} joined, {requests_per_s:.1} requests/s", proxy.0, zone.0)
        }
        Event::ProxyDisconnected(proxy) => format!("proxy {} left", proxy.0),
        Event::LoadReport { zone, host, attempts, mean_latency, load } => format!(
            "{} heard of {}: {}, {:.0} ms{}",
            zone.0,
            host.0,
            attempt_counts(attempts),
            milliseconds(*mean_latency),
            host_load(load)
        ),
        Event::Usage { proxy, class: index, requests } => {
            format!("proxy {} of {}: {}", proxy.0, class(head, index.0), attempt_counts(requests))
        }
        Event::Acknowledged { proxy, barrier, elapsed } => {
            format!("proxy {} applied mark {barrier} after {:.0} ms", proxy.0, milliseconds(*elapsed))
        }
        Event::Shard => "something about slices".into(),
    }
}

fn milliseconds(duration: Micros) -> f64 {
    duration.secs() * MS_PER_S
}

fn endpoint_list(kind: EndpointListKind, endpoints: &[Endpoint]) -> String {
    let mut text = format!("list {kind:?} with {} entries", endpoints.len());
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
        Readiness::Removed => "gone",
    };
    format!("; {} in {} {readiness} weight {}", endpoint.host.0, endpoint.zone.0, endpoint.weight)
}

fn attempt_counts(counts: &AttemptCounts) -> String {
    format!("{} tries, {} lost, over {:.1} s", counts.total, counts.failed, counts.period.secs())
}

/// The values that a host reported; nothing if there are none.
fn host_load(load: &HostLoad) -> String {
    let values = [
        ("in hand", load.in_flight),
        ("waiting", load.queued),
        ("busy", load.utilization),
        ("ms", load.service_ms),
    ];
    let known = values.iter().filter_map(|(name, value)| value.map(|value| format!(", {name} {value:.2}")));
    known.collect()
}
