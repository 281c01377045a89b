//! Discovery: the endpoint list and its changes, whose delay is drawn separately for each director.

use super::delay::DelayRange;
use super::Simulation;
use crate::host::Host;
use crate::scenario::Scenario;
use wingfold_director::interface::*;

/// The delay after which directors are notified that discovery is down.
const FAILURE_DELAY: Micros = Micros(5000);

impl Simulation<'_> {
    /// Announces the present state of a host, unless discovery is down.
    pub(super) fn announce_host(&mut self, host: usize) {
        if !self.disruptions.discovery_is_down {
            let endpoint = endpoint_of(&self.hosts[host], self.scenario);
            self.announce_endpoint(&endpoint);
        }
    }

    /// Sends every director a change of the endpoint list, even while discovery is down.
    pub(super) fn announce_endpoint(&mut self, endpoint: &Endpoint) {
        for director in 0..self.directors.len() {
            let delay = self.random_delay(DelayRange::up_to_double(self.scenario.discovery_delay));
            let endpoints = vec![endpoint.clone()];
            let change = Event::EndpointList { kind: EndpointListKind::Changes, endpoints };
            self.send_to_director(delay, director, vec![change]);
        }
    }

    /// Handles the beginning and the end of a discovery outage. Directors are notified only of the beginning.
    pub(super) fn set_discovery_down(&mut self, is_down: bool) {
        self.disruptions.discovery_is_down = is_down;
        if !is_down {
            return;
        }
        for director in 0..self.directors.len() {
            self.send_to_director(FAILURE_DELAY, director, vec![Event::EndpointListFailed]);
        }
    }

    /// The response to a director that requests the complete endpoint list.
    pub(super) fn complete_endpoint_list(&self) -> Event {
        if self.disruptions.discovery_is_down {
            return Event::EndpointListFailed;
        }
        let endpoints = self.hosts.iter().map(|host| endpoint_of(host, self.scenario)).collect();
        Event::EndpointList { kind: EndpointListKind::Complete, endpoints }
    }
}

/// The entry of a host in the endpoint list.
pub(super) fn endpoint_of(host: &Host, scenario: &Scenario) -> Endpoint {
    Endpoint {
        host: host.id.clone(),
        machine_type: host.machine_type.clone(),
        zone: scenario.settings.zones[host.zone].clone(),
        readiness: host.listed_readiness,
        weight: host.cores as f64,
        started_at: host.started_at,
    }
}
