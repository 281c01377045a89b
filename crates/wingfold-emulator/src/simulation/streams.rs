//! Streams between proxies and directors: how they open and break.

use super::event::SimulationEvent;
use super::Simulation;
use crate::proxy::RoutingRule;
use rand::Rng;
use wingfold_director::interface::*;

/// How long a director takes to learn that a proxy connected.
const CONNECT_DELAY: Micros = Micros(3000);
/// A proxy that lost its director, or found none, connects again between these times.
const RECONNECT: (Micros, Micros) = (Micros(300_000), Micros(1_500_000));
/// A director notices that a stream broke between these times.
const BREAK_NOTICED: (Micros, Micros) = (Micros(10_000), Micros(200_000));

impl Simulation<'_> {
    /// Connects a proxy to one of the directors that it can reach, or tries again later.
    pub(super) fn connect(&mut self, proxy: usize) {
        let reachable = self.reachable_directors(self.proxies[proxy].zone);
        if reachable.is_empty() {
            self.reconnect_later(proxy);
            return;
        }
        let director = reachable[self.rng.random_range(0..reachable.len())];
        let connected = &mut self.proxies[proxy];
        connected.director = Some(director);
        connected.connected_at = self.now;
        connected.stream += 1;
        let zone = self.scenario.settings.zones[connected.zone].clone();
        let joined =
            Event::ProxyConnected { proxy: ProxyId(proxy as u32), zone, requests_per_s: connected.rate };
        self.send_to_director(CONNECT_DELAY, director, vec![joined]);
    }

    /// Directors that a proxy of a zone can connect to: those of its own zone if the settings prefer them.
    fn reachable_directors(&self, zone: usize) -> Vec<usize> {
        let reachable = |director: &usize| {
            let node = &self.directors[*director];
            node.accepts_streams() && !self.partitioned(zone, node.zone)
        };
        let all: Vec<usize> = (0..self.directors.len()).filter(reachable).collect();
        if !self.scenario.settings.local_first {
            return all;
        }
        let own_zone = |director: &usize| self.directors[*director].zone == zone;
        let near: Vec<usize> = all.iter().copied().filter(own_zone).collect();
        if near.is_empty() {
            all
        } else {
            near
        }
    }

    fn reconnect_later(&mut self, proxy: usize) {
        let delay = self.random_time(RECONNECT.0, RECONNECT.1);
        self.schedule_after(delay, SimulationEvent::ProxyConnects { proxy });
    }

    /// Rules reach a proxy, unless their stream has broken since.
    pub(super) fn rules_reach(&mut self, proxy: usize, stream: u32, rules: Vec<RoutingRule>) {
        if self.proxies[proxy].stream == stream {
            self.proxies[proxy].rules = rules;
        }
    }

    /// A proxy notices that a stream is dead, if it still has that stream.
    pub(super) fn stream_breaks(&mut self, proxy: usize, stream: u32) {
        if self.proxies[proxy].stream == stream {
            self.disconnect(proxy);
        }
    }

    /// A proxy's stream breaks: its director notices sooner or later, and the proxy connects again.
    pub(super) fn disconnect(&mut self, proxy: usize) {
        let Some(director) = self.proxies[proxy].director.take() else { return };
        self.proxies[proxy].stream += 1;
        self.directors[director].forget_proxy(proxy);
        let noticed = self.random_time(BREAK_NOTICED.0, BREAK_NOTICED.1);
        let reconnects = self.random_time(RECONNECT.0, RECONNECT.1);
        self.send_to_director(noticed, director, vec![Event::ProxyDisconnected(ProxyId(proxy as u32))]);
        self.schedule_after(reconnects, SimulationEvent::ProxyConnects { proxy });
    }
}
