//! Discovery: the list of hosts and its changes, told to each director in its own time.

use super::event::Happens;
use super::World;
use crate::host::Host;
use crate::scenario::Scenario;
use wingfold_director::interface::*;

impl World<'_> {
    pub(super) fn announce(&mut self, host: usize) {
        if self.silent_list {
            return;
        }
        let told = entry(&self.hosts[host], self.plan);
        self.spread(told);
    }

    /// Tells every director a change of the list, each in its own time.
    pub(super) fn spread(&mut self, told: Entry) {
        for director in 0..self.directors.len() {
            let lag = self.between(self.plan.lag, Micros(self.plan.lag.0 * 2));
            let incarnation = self.directors[director].incarnation;
            let events = vec![Event::List(ListKind::Changes, vec![told.clone()])];
            self.after(lag, Happens::Deliver(director, incarnation, events));
        }
    }
}

pub(super) fn entry(host: &Host, plan: &Scenario) -> Entry {
    Entry {
        host: host.id.clone(),
        kind: host.kind.clone(),
        zone: plan.settings.zones[host.zone].clone(),
        readiness: host.listed,
        weight: host.cores as f64,
        started: host.started,
    }
}
