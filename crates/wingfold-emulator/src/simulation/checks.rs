//! Measures the invariants that concern proxies: no late attempts at hosts that drain or were removed, and no
//! class without a host.

use super::director::DirectorNode;
use super::event::SimulationEvent;
use super::Simulation;
use crate::host::{Host, HostState};
use crate::invariants::ratio_of_limit;
use crate::proxy::Proxy;
use wingfold_director::interface::*;

/// How often the routes of all proxies are checked.
pub(super) const ROUTE_CHECK_PERIOD: Micros = Micros(250_000);
/// The lateness of attempts is counted from this time after the start of the proxy's director at the
/// earliest.
const START_GRACE: Micros = Micros(1_000_000);

impl Simulation<'_> {
    /// Records how long after the notification of its director a proxy sends an attempt to a host that drains
    /// or was removed.
    pub(super) fn record_attempt_lateness(&mut self, proxy: usize, host: usize) {
        let proxy = &self.proxies[proxy];
        let Some(director) = proxy.director.map(|director| &self.directors[director]) else { return };
        let Some(unavailable_since) = director.unavailable_since.get(&self.hosts[host].id) else { return };
        let grace_ends_at = director.started_at + START_GRACE;
        let since = (*unavailable_since).max(proxy.connected_at).max(grace_ends_at);
        let ratio = ratio_of_limit(self.now.since(since), self.scenario.settings.drain_grace);
        let margins = &mut self.result.margins;
        margins.late_attempt_ratio = margins.late_attempt_ratio.max(ratio);
    }

    /// Records for how long each proxy has had no host for a class although its director knows a ready one,
    /// and schedules the next check.
    pub(super) fn check_routes(&mut self) {
        for proxy in 0..self.proxies.len() {
            for class in 0..self.scenario.classes.len() {
                self.check_route(proxy, class);
            }
        }
        self.schedule_after(ROUTE_CHECK_PERIOD, SimulationEvent::RouteCheckDue);
    }

    fn check_route(&mut self, proxy: usize, class: usize) {
        let is_unrouted = self.is_unrouted(&self.proxies[proxy], class);
        let unrouted_since = &mut self.proxies[proxy].unrouted_since[class];
        if !is_unrouted {
            *unrouted_since = None;
            return;
        }
        let since = *unrouted_since.get_or_insert(self.now);
        let limit = self.scenario.settings.max_time_without_entry;
        let ratio = ratio_of_limit(self.now.since(since), limit);
        let margins = &mut self.result.margins;
        margins.missing_entry_ratio = margins.missing_entry_ratio.max(ratio);
    }

    /// Whether a connected proxy has no host for a class although its director knows a ready one.
    fn is_unrouted(&self, proxy: &Proxy, class: usize) -> bool {
        let Some(director) = proxy.director.map(|director| &self.directors[director]) else { return false };
        if proxy.routes[class].hosts.iter().any(|entry| entry.weight > 0.0) {
            return false;
        }
        let is_eligible =
            |host: &Host| self.is_known_ready(director, host) && self.may_serve(host, class, proxy.zone);
        self.hosts.iter().any(is_eligible)
    }

    /// Whether a host is warmed up and ready, and the director has not been notified that the host is
    /// unavailable.
    fn is_known_ready(&self, director: &DirectorNode, host: &Host) -> bool {
        let warm_up_s = self.scenario.settings.warm_up.secs();
        let is_warmed_up = host.started_at.is_none_or(|at| self.now.since(at) > warm_up_s);
        let is_ready = host.state == HostState::Up && host.listed_readiness == Readiness::Ready;
        is_warmed_up && is_ready && !director.unavailable_since.contains_key(&host.id)
    }

    /// Whether a host may serve requests of a class that arrive at proxies in `proxy_zone`.
    fn may_serve(&self, host: &Host, class: usize, proxy_zone: usize) -> bool {
        let class = &self.scenario.classes[class].class;
        let host_zone = &self.scenario.settings.zones[host.zone];
        let zone_allowed = class.allowed_zones.is_empty() || class.allowed_zones.contains(host_zone);
        let machine_type_allowed = class.allowed_machine_types.is_empty()
            || class.allowed_machine_types.contains(&host.machine_type);
        let own_zone_kept = !class.own_zone_only || host.zone == proxy_zone;
        zone_allowed && machine_type_allowed && own_zone_kept
    }
}
