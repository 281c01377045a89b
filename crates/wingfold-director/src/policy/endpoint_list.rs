//! The endpoint list: applying it, polling it with backoff, and evicting hosts that it removed long ago.
use crate::director::Director;
use crate::interface::{Action, Endpoint, EndpointListKind, HostId, Notice, Readiness, Timestamp};
use crate::policy::outlier_detection::{BASE_EJECTION_S, PROBATION_S};
use crate::state::{ByZone, HealthState, Host, Zone, ZoneHostStats};
use std::collections::BTreeSet;

/// Seconds after which a removed host is evicted: a host that restarts after a crash is listed again by then.
const EVICT_REMOVED_AFTER_S: f64 = 60.0;
/// Least relative difference between a listed weight and the weight in use at which the listed one replaces
/// it: each change of a weight changes every table.
const MIN_WEIGHT_CHANGE_RATIO: f64 = 0.25;
/// Base of the exponential backoff, in seconds: each consecutive failed poll, the first included, doubles it.
const BASE_BACKOFF_S: f64 = 0.25;
/// Largest number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// Lower bound of the longest backoff, in seconds, for short polling intervals.
const MIN_LONGEST_BACKOFF_S: f64 = 1.0;
/// Smallest jitter factor of a backoff.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Difference between the largest and the smallest jitter factor.
const JITTER_FACTOR_RANGE: f64 = 0.5;
/// Number of directors from which the longest backoff grows in proportion to it.
const BACKOFF_GROWTH_DIRECTORS: f64 = 10.0;
/// Largest factor by which the number of directors raises the longest backoff.
const MAX_BACKOFF_GROWTH: f64 = 4.0;

impl Director {
    /// Applies a complete endpoint list, or changes of the list.
    pub(crate) fn apply_endpoint_list(&mut self, kind: EndpointListKind, endpoints: &[Endpoint]) {
        let is_first_list = self.hosts.is_empty();
        self.endpoint_list_changed = true;
        if kind != EndpointListKind::Cached {
            self.poll_failures = 0;
        }
        if kind != EndpointListKind::Changes {
            self.remove_unlisted_hosts(endpoints);
        }
        for endpoint in endpoints {
            if endpoint.readiness != Readiness::Ready {
                let (host, readiness) = (endpoint.host.clone(), endpoint.readiness);
                self.notices.push(Notice::HostNotReady { host, readiness });
            }
            if endpoint.readiness == Readiness::Removed {
                self.remove_host(&endpoint.host);
            } else {
                self.apply_endpoint(endpoint, is_first_list);
            }
        }
    }

    /// Marks each host that a complete list does not name as removed.
    fn remove_unlisted_hosts(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<&HostId> = endpoints.iter().map(|endpoint| &endpoint.host).collect();
        let is_advisory = self.settings.removal_is_advisory;
        for (id, host) in &mut self.hosts {
            if !listed.contains(id) {
                mark_removed(host, is_advisory, self.now);
            }
        }
    }

    /// Marks a host as removed; an unknown host is ignored.
    fn remove_host(&mut self, id: &HostId) {
        if let Some(host) = self.hosts.get_mut(id) {
            mark_removed(host, self.settings.removal_is_advisory, self.now);
        }
    }

    /// Adds or updates a host that the list names. Hosts of the first list count as known, not as just
    /// started.
    fn apply_endpoint(&mut self, endpoint: &Endpoint, is_first_list: bool) {
        let listed_weight = self.listed_weight(endpoint);
        let known = self.hosts.get(&endpoint.host);
        let is_same_process = known.map_or(is_first_list, |known| {
            known.is_ready() && known.endpoint.started_at == endpoint.started_at
        });
        let is_new = known.is_none();
        let host = Host {
            endpoint: endpoint.clone(),
            weight: known.map_or(listed_weight, |known| weight_to_use(known.weight, listed_weight)),
            utilization: known.and_then(|known| known.utilization),
            consecutive_useless: 0.0,
            removal_suspected: false,
            removed_at: None,
            not_ready_since: self.not_ready_since(endpoint, known),
        };
        if host.is_ready() && !is_same_process {
            self.reset_started_host(&endpoint.host, is_new);
        }
        self.hosts.insert(endpoint.host.clone(), host);
    }

    /// Since when the list has shown that a host must not be sent new requests; `None` if the host is ready.
    fn not_ready_since(&self, endpoint: &Endpoint, known: Option<&Host>) -> Option<Timestamp> {
        if endpoint.readiness == Readiness::Ready {
            return None;
        }
        known.and_then(|known| known.not_ready_since).or(Some(self.now))
    }

    /// The weight that the list gives a host, corrected by the relative speed of its machine type. A weight
    /// that is not a positive number counts as 1.
    fn listed_weight(&self, endpoint: &Endpoint) -> f64 {
        let relative_speed = self.relative_speeds.get(&endpoint.machine_type).unwrap_or(&1.0);
        let weight = if endpoint.weight > 0.0 { endpoint.weight } else { 1.0 };
        relative_speed * weight
    }

    /// Resets the statistics that all zones hold of a host that has just started.
    fn reset_started_host(&mut self, id: &HostId, is_new: bool) {
        let health = if is_new {
            // No list named this host before. It may be misconfigured, or not a host of this fleet.
            HealthState::Probation { until: self.seconds_from_now(PROBATION_S) }
        } else {
            // Slow start limits the host already. The reduced weight of a probation in addition would leave
            // the fleet too little capacity during a rolling restart.
            HealthState::Healthy
        };
        let stats = ZoneHostStats {
            health,
            ejection_s: BASE_EJECTION_S,
            first_probation: true,
            ..ZoneHostStats::default()
        };
        for zone in self.zones.values_mut() {
            zone.host_stats.insert(id.clone(), stats.clone());
        }
        self.notices.push(Notice::HostStarted { host: id.clone() });
    }

    /// Polls the endpoint list, or starts to watch it. Does nothing after an earlier poll or watch that has
    /// not failed, or during a backoff.
    pub(crate) fn poll_endpoint_list(&mut self, actions: &mut Vec<Action>) {
        if self.endpoint_list_requested || self.now < self.next_poll_at {
            return;
        }
        self.endpoint_list_requested = true;
        let poll = if self.settings.endpoint_list_on_request {
            Action::WatchEndpoints(true)
        } else {
            // Changes are pushed without a request, but the cached list may be outdated.
            Action::FetchEndpoints
        };
        actions.push(poll);
    }

    /// Schedules the next poll after a failed one, with exponential backoff and jitter.
    pub(crate) fn back_off_endpoint_list(&mut self) {
        self.poll_failures += 1;
        let jitter_factor = MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * self.next_random();
        let doublings = self.poll_failures.min(MAX_BACKOFF_DOUBLINGS) as i32;
        let backoff_s = BASE_BACKOFF_S * 2f64.powi(doublings);
        let retry_in_s = jitter_factor * backoff_s.min(self.longest_backoff_s());
        self.endpoint_list_requested = false;
        self.next_poll_at = self.seconds_from_now(retry_in_s);
        self.notices.push(Notice::EndpointListFailed { retry_in_s });
    }

    /// The longest backoff in seconds. It grows with the number of directors, so that their polls don't
    /// overload discovery when it has just recovered.
    fn longest_backoff_s(&self) -> f64 {
        let growth =
            (f64::from(self.settings.directors) / BACKOFF_GROWTH_DIRECTORS).clamp(1.0, MAX_BACKOFF_GROWTH);
        (growth * self.settings.poll_within.secs() / 2.0).max(MIN_LONGEST_BACKOFF_S)
    }

    /// Schedules an immediate poll of the endpoint list, since discovery has another address.
    pub(crate) fn restart_endpoint_list_poll(&mut self) {
        self.endpoint_list_requested = false;
        self.next_poll_at = self.now;
        self.endpoint_list_changed = true;
    }

    /// Evicts hosts that were removed from the endpoint list long ago and that no table references.
    pub(crate) fn evict_removed_hosts(&mut self, zones: &mut ByZone<Zone>, actions: &mut Vec<Action>) {
        let evicted = self.evictable_hosts(zones);
        self.memo.hosts_removed(evicted.len());
        for id in evicted {
            self.hosts.remove(&id);
            for zone in zones.values_mut() {
                zone.host_stats.remove(&id);
            }
            actions.push(Action::EvictHost(id));
        }
        self.update_host_rows(zones);
    }

    /// The hosts that were removed long enough ago and that no table references.
    fn evictable_hosts(&self, zones: &ByZone<Zone>) -> Vec<HostId> {
        let is_old =
            |host: &Host| host.removed_at.is_some_and(|at| self.now.since(at) >= EVICT_REMOVED_AFTER_S);
        let is_referenced = |id: &HostId| {
            let mut tables = zones.values().flat_map(|zone| &zone.subsets).flat_map(|subset| &subset.tables);
            tables.any(|table| table.entries.contains_key(id))
        };
        let evictable = self.hosts.iter().filter(|(id, host)| is_old(host) && !is_referenced(id));
        evictable.map(|(id, _)| id.clone()).collect()
    }
}

/// Records that the list calls a host removed, or doesn't name it. Where removal is advisory, a ready host
/// stays in use until attempts at it fail as well: a wrong list must not empty the tables.
fn mark_removed(host: &mut Host, is_advisory: bool, now: Timestamp) {
    host.removed_at.get_or_insert(now);
    if is_advisory && host.is_ready() {
        host.removal_suspected = true;
    } else {
        host.endpoint.readiness = Readiness::Removed;
        host.not_ready_since.get_or_insert(now);
    }
}

/// The weight in use, unless the listed weight differs from it substantially.
fn weight_to_use(in_use: f64, listed: f64) -> f64 {
    if (in_use / listed - 1.0).abs() < MIN_WEIGHT_CHANGE_RATIO {
        in_use
    } else {
        listed
    }
}
