//! Checks of the rules that only show in the proxies: drains that are kept, and proxies without a host.

use super::World;
use crate::host::{Host, HostState};
use crate::rules::part;
use wingfold_director::interface::*;

impl World<'_> {
    pub(super) fn check_drain(&mut self, proxy: usize, host: usize) {
        let known = &self.proxies[proxy];
        let Some(director) = known.director.map(|at| &self.directors[at]) else { return };
        let Some(told) = director.told.get(&self.hosts[host].id) else { return };
        let since = (*told).max(known.connected_at).max(Micros(director.started.0 + 1_000_000));
        let late = part(self.now.since(since), self.plan.settings.drain_grace);
        self.played.margins.drain = self.played.margins.drain.max(late);
    }

    pub(super) fn look(&mut self) {
        let set = &self.plan.settings;
        for proxy in &mut self.proxies {
            let director = proxy.director.map(|at| &self.directors[at]);
            for (class, load) in self.plan.loads.iter().enumerate() {
                let may = |host: &Host| {
                    let zone = &set.zones[host.zone];
                    (load.class.zones.is_empty() || load.class.zones.contains(zone))
                        && (load.class.kinds.is_empty() || load.class.kinds.contains(&host.kind))
                        && (!load.class.own_zone || host.zone == proxy.zone)
                };
                let shown = |host: &Host| {
                    let told = director.is_some_and(|director| director.told.contains_key(&host.id));
                    let warm = host.started.is_none_or(|at| self.now.since(at) > set.cold.secs());
                    host.state == HostState::Up
                        && host.listed == Readiness::Ready
                        && !told
                        && warm
                        && may(host)
                };
                let has = proxy.rules[class].weights.iter().any(|(_, weight)| *weight > 0.0);
                let owed = director.is_some() && !has && self.hosts.iter().any(shown);
                let since = &mut proxy.unrouted_since[class];
                *since = owed.then(|| since.unwrap_or(self.now));
                let long = since.map_or(0.0, |since| self.now.since(since));
                self.played.margins.bare = self.played.margins.bare.max(part(long, set.bare));
            }
        }
    }
}
