//! Validates recorded calls before they are replayed. The node passes only valid events to its director, but
//! a file may contain anything.

use crate::model::Call;
use wingfold_director::interface::{AttemptCounts, Endpoint, Event, HostLoad, Micros, Timestamp};
use wingfold_director::Director;

/// The exclusive upper bound of weights and of requests per second.
const MAX_RATE: f64 = 1e12;
/// The exclusive upper bound of the attempts or requests in one report.
const MAX_ATTEMPTS: u64 = 1 << 40;
/// The maximum number of zones that proxies add to the zones in the settings.
const MAX_ADDED_ZONES: usize = 4096;
/// The number of proxy ids that are accepted beyond twice the number of proxies in the settings.
const MAX_ADDED_PROXIES: u32 = 1024;

/// Whether the time and the events of a call are valid, and the number of the director's zones is within
/// bounds.
pub(super) fn is_valid_call(call: &Call, director: &Director) -> bool {
    let max_zones = director.settings().zones.len() + MAX_ADDED_ZONES;
    call.at <= Timestamp::LATEST
        && director.zone_count() <= max_zones
        && call.events.iter().all(|event| is_valid_event(event, director))
}

fn is_valid_event(event: &Event, director: &Director) -> bool {
    let settings = director.settings();
    match event {
        Event::EndpointList { endpoints, .. } => endpoints.iter().all(is_valid_endpoint),
        Event::HealthChecked { load, .. } => is_valid_load(load),
        Event::ProxyConnected { proxy, requests_per_s, .. } => {
            proxy.0 < settings.proxies.max(1) * 2 + MAX_ADDED_PROXIES && is_valid_rate(*requests_per_s)
        }
        Event::LoadReport { attempts, mean_latency, load, .. } => {
            are_valid_counts(attempts) && *mean_latency <= Micros::LONGEST && is_valid_load(load)
        }
        Event::Usage { class, requests, .. } => {
            class.0 < settings.classes.len().max(1) && are_valid_counts(requests)
        }
        _ => true,
    }
}

fn is_valid_endpoint(endpoint: &Endpoint) -> bool {
    is_valid_rate(endpoint.weight) && endpoint.started_at.is_none_or(|at| at <= Timestamp::LATEST)
}

fn is_valid_rate(rate: f64) -> bool {
    rate.is_finite() && rate < MAX_RATE
}

fn is_valid_load(load: &HostLoad) -> bool {
    let values = [load.in_flight, load.queued, load.utilization, load.service_ms];
    values.into_iter().flatten().all(f64::is_finite)
}

fn are_valid_counts(counts: &AttemptCounts) -> bool {
    counts.total < MAX_ATTEMPTS && counts.failed < MAX_ATTEMPTS && counts.period <= Micros::LONGEST
}
