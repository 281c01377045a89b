//! Checks of the rules that only show in the proxies: drains that are kept, and proxies without a host.

use super::director::DirectorNode;
use super::event::SimulationEvent;
use super::Simulation;
use crate::host::{Host, HostState};
use crate::proxy::Proxy;
use crate::rules::share_of_limit;
use wingfold_director::interface::*;

/// How often proxies are checked for hosts.
pub(super) const CHECK_PERIOD: Micros = Micros(250_000);
/// A director that has just started is given this time before its proxies' sends count.
const START_GRACE: Micros = Micros(1_000_000);

impl Simulation<'_> {
    /// Notes how late a proxy sends to a host that its director was told drains or is gone.
    pub(super) fn check_drain(&mut self, proxy: usize, host: usize) {
        let proxy = &self.proxies[proxy];
        let Some(director) = proxy.director.map(|director| &self.directors[director]) else { return };
        let Some(told) = director.unavailable_since.get(&self.hosts[host].id) else { return };
        let settled = Timestamp(director.started.0 + START_GRACE.0);
        let since = (*told).max(proxy.connected_at).max(settled);
        let late = share_of_limit(self.now.since(since), self.scenario.settings.drain_grace);
        let margins = &mut self.result.margins;
        margins.drain = margins.drain.max(late);
    }

    /// Notes how long each proxy has had no host for a class although there is one, and checks again later.
    pub(super) fn check_routes(&mut self) {
        for proxy in 0..self.proxies.len() {
            for class in 0..self.scenario.classes.len() {
                self.check_route(proxy, class);
            }
        }
        self.schedule_after(CHECK_PERIOD, SimulationEvent::CheckDue);
    }

    fn check_route(&mut self, proxy: usize, class: usize) {
        let unrouted = self.lacks_host(&self.proxies[proxy], class);
        let now = self.now;
        let since = &mut self.proxies[proxy].unrouted_since[class];
        *since = unrouted.then(|| since.unwrap_or(now));
        let lasted = since.map_or(0.0, |since| now.since(since));
        let margins = &mut self.result.margins;
        margins.bare =
            margins.bare.max(share_of_limit(lasted, self.scenario.settings.max_time_without_entry));
    }

    /// Whether a connected proxy has no host for a class although its director knows one.
    fn lacks_host(&self, proxy: &Proxy, class: usize) -> bool {
        let Some(director) = proxy.director.map(|director| &self.directors[director]) else { return false };
        let routed = proxy.rules[class].weights.iter().any(|(_, weight)| *weight > 0.0);
        let usable =
            |host: &Host| self.is_known_ready(director, host) && self.may_serve(host, class, proxy.zone);
        !routed && self.hosts.iter().any(usable)
    }

    /// Whether a host is warm and ready, and its director was told nothing else.
    fn is_known_ready(&self, director: &DirectorNode, host: &Host) -> bool {
        let warm = host.started.is_none_or(|at| self.now.since(at) > self.scenario.settings.warm_up.secs());
        let ready = host.state == HostState::Up && host.listed == Readiness::Ready;
        warm && ready && !director.unavailable_since.contains_key(&host.id)
    }

    /// Whether a class allows a host for proxies of a zone.
    fn may_serve(&self, host: &Host, class: usize, zone: usize) -> bool {
        let class = &self.scenario.classes[class].class;
        let host_zone = &self.scenario.settings.zones[host.zone];
        (class.allowed_zones.is_empty() || class.allowed_zones.contains(host_zone))
            && (class.allowed_machine_types.is_empty() || class.allowed_machine_types.contains(&host.kind))
            && (!class.own_zone_only || host.zone == zone)
    }
}
