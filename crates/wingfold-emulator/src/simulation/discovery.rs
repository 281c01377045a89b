//! Discovery: the list of hosts and its changes, told to each director in its own time.

use super::Simulation;
use crate::host::Host;
use crate::scenario::Scenario;
use wingfold_director::interface::*;

/// How soon directors learn that discovery is down.
const FAILURE_DELAY: Micros = Micros(5000);

impl Simulation<'_> {
    /// Tells directors what is now listed of a host, unless discovery is down.
    pub(super) fn announce(&mut self, host: usize) {
        if !self.disruptions.discovery_down {
            self.announce_entry(&entry(&self.hosts[host], self.scenario));
        }
    }

    /// Tells every director a change of the list, each in its own time.
    pub(super) fn announce_entry(&mut self, entry: &Endpoint) {
        for director in 0..self.directors.len() {
            let least = self.scenario.discovery_delay;
            let delay = self.random_time(least, Micros(least.0 * 2));
            self.send_to_director(
                delay,
                director,
                vec![Event::EndpointList { kind: EndpointListKind::Changes, endpoints: vec![entry.clone()] }],
            );
        }
    }

    /// Discovery goes down or comes back; directors hear only of the former.
    pub(super) fn change_discovery(&mut self, down: bool) {
        self.disruptions.discovery_down = down;
        if down {
            for director in 0..self.directors.len() {
                self.send_to_director(FAILURE_DELAY, director, vec![Event::EndpointListFailed]);
            }
        }
    }

    /// The answer to a director that asks for the whole list.
    pub(super) fn list_event(&self) -> Event {
        if self.disruptions.discovery_down {
            return Event::EndpointListFailed;
        }
        let entries = self.hosts.iter().map(|host| entry(host, self.scenario));
        Event::EndpointList { kind: EndpointListKind::Complete, endpoints: entries.collect() }
    }
}

/// What is listed of a host.
pub(super) fn entry(host: &Host, scenario: &Scenario) -> Endpoint {
    Endpoint {
        host: host.id.clone(),
        machine_type: host.kind.clone(),
        zone: scenario.settings.zones[host.zone].clone(),
        readiness: host.listed,
        weight: host.cores as f64,
        started_at: host.started,
    }
}
