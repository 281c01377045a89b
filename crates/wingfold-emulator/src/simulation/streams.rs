//! Streams between proxies and directors: connecting, disconnecting and reconnecting.

use super::delay::DelayRange;
use super::event::SimulationEvent;
use super::Simulation;
use crate::proxy::ClassRoute;
use rand::Rng;
use wingfold_director::interface::*;

/// The delay after which a director is notified that a proxy has connected.
const CONNECT_DELAY: Micros = Micros(3000);
/// The delay after which a proxy reconnects when its stream broke or no director was reachable.
const RECONNECT_DELAY: DelayRange = DelayRange { min: Micros(300_000), max: Micros(1_500_000) };
/// The delay after which a director detects that a stream broke.
const BREAK_DETECTION_DELAY: DelayRange = DelayRange { min: Micros(10_000), max: Micros(200_000) };

impl Simulation<'_> {
    /// Connects a proxy to a random reachable director, or schedules a retry if no director is reachable.
    pub(super) fn connect(&mut self, proxy: usize) {
        let reachable = self.reachable_directors(self.proxies[proxy].zone);
        if reachable.is_empty() {
            let delay = self.random_delay(RECONNECT_DELAY);
            self.schedule_after(delay, SimulationEvent::ProxyConnects { proxy });
            return;
        }
        let director = reachable[self.rng.random_range(0..reachable.len())];
        let connecting = &mut self.proxies[proxy];
        connecting.director = Some(director);
        connecting.connected_at = self.now;
        connecting.stream += 1;
        let connected = Event::ProxyConnected {
            proxy: ProxyId(proxy as u32),
            zone: self.scenario.settings.zones[connecting.zone].clone(),
            requests_per_s: connecting.rate_per_s,
        };
        self.send_to_director(CONNECT_DELAY, director, vec![connected]);
    }

    /// The directors that a proxy of a zone can connect to. With `local_first`, these are only the reachable
    /// directors of the proxy's own zone if there are any.
    fn reachable_directors(&self, zone: usize) -> Vec<usize> {
        let reachable: Vec<usize> =
            (0..self.directors.len()).filter(|director| self.is_reachable(*director, zone)).collect();
        if !self.scenario.settings.local_first {
            return reachable;
        }
        let is_local = |director: &usize| self.directors[*director].zone == zone;
        let local: Vec<usize> = reachable.iter().copied().filter(is_local).collect();
        if local.is_empty() {
            reachable
        } else {
            local
        }
    }

    fn is_reachable(&self, director: usize, from_zone: usize) -> bool {
        let node = &self.directors[director];
        node.accepts_streams() && !self.is_partitioned(from_zone, node.zone)
    }

    /// Applies routes that reach a proxy, unless the stream that they were sent on has broken.
    pub(super) fn apply_routes(&mut self, proxy: usize, stream: u32, routes: Vec<ClassRoute>) {
        if self.proxies[proxy].stream == stream {
            self.proxies[proxy].routes = routes;
        }
    }

    /// Disconnects a proxy that detects that a stream has broken, unless the proxy has lost that stream
    /// already.
    pub(super) fn break_stream(&mut self, proxy: usize, stream: u32) {
        if self.proxies[proxy].stream == stream {
            self.disconnect(proxy);
        }
    }

    /// Breaks the stream of a proxy. The director detects the break after a delay, and the proxy reconnects.
    pub(super) fn disconnect(&mut self, proxy: usize) {
        let Some(director) = self.proxies[proxy].director.take() else { return };
        self.proxies[proxy].stream += 1;
        self.directors[director].remove_proxy(proxy);
        let detection_delay = self.random_delay(BREAK_DETECTION_DELAY);
        let reconnect_delay = self.random_delay(RECONNECT_DELAY);
        let disconnected = Event::ProxyDisconnected(ProxyId(proxy as u32));
        self.send_to_director(detection_delay, director, vec![disconnected]);
        self.schedule_after(reconnect_delay, SimulationEvent::ProxyConnects { proxy });
    }

    /// Breaks the streams of all proxies at once.
    pub(super) fn disconnect_all(&mut self) {
        for proxy in 0..self.proxies.len() {
            self.disconnect(proxy);
        }
    }
}
