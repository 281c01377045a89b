//! Load reports: what proxies counted, summed by zone and sent to each director, late and out of order.

use super::event::Happens;
use super::World;
use crate::host::HostState;
use crate::proxy::{AttemptStats, ClassUsage};
use rand::seq::SliceRandom;
use rand::Rng;
use std::collections::BTreeMap;
use wingfold_director::interface::*;

impl World<'_> {
    pub(super) fn report(&mut self) {
        let period = self.plan.settings.report_period;
        self.after(period, Happens::Report);
        let since = std::mem::replace(&mut self.reported, self.now);
        for (host, busy) in self.hosts.iter_mut().zip(&mut self.busy) {
            if host.state == HostState::Up {
                *busy = Some(host.report_utilization(self.now, since));
            }
        }
        for director in 0..self.directors.len() {
            for zone in 0..self.plan.settings.zones.len() {
                let mut events = self.sums(director, zone, period);
                if self.mute.contains(&zone) {
                    events.retain(|event| !matches!(event, Event::Heard(..)));
                }
                if events.is_empty() || self.parted(zone, self.directors[director].zone) {
                    continue;
                }
                // Reports travel one by one: some overtake others.
                let (mut usual, mut later) = (Vec::new(), Vec::new());
                for event in events {
                    let late = self.chance.random::<f64>() < self.plan.disorder;
                    if late {
                        later.push(event)
                    } else {
                        usual.push(event)
                    }
                }
                later.shuffle(&mut self.chance);
                let incarnation = self.directors[director].incarnation;
                let base = Micros(self.plan.late.0 + self.late.0);
                let first = self.between(base, Micros(base.0 + self.plan.late.0));
                let second = self.between(first, Micros(first.0 + period.0 * 3 / 2));
                self.after(first, Happens::Deliver(director, incarnation, usual));
                if !later.is_empty() {
                    self.after(second, Happens::Deliver(director, incarnation, later));
                }
            }
        }
    }

    fn sums(&mut self, director: usize, zone: usize, over: Micros) -> Vec<Event> {
        let name = self.plan.settings.zones[zone].clone();
        let (mut met, mut events): (BTreeMap<usize, AttemptStats>, _) = (BTreeMap::new(), Vec::new());
        let told = self.plan.settings.load_reports != LoadReports::Never;
        for (at, proxy) in self.proxies.iter_mut().enumerate() {
            if proxy.zone != zone || proxy.director != Some(director) {
                continue;
            }
            for (host, one) in std::mem::take(&mut proxy.host_stats) {
                met.entry(host).or_default().add(&one);
            }
            for (class, usage) in proxy.class_usage.iter_mut().enumerate() {
                let ClassUsage { total, lost } = std::mem::take(usage);
                if total > 0 {
                    let sums = Sums { total, lost, over };
                    events.push(Event::Usage(ProxyId(at as u32), ClassId(class), sums));
                }
            }
        }
        events.extend(met.into_iter().map(|(host, met)| {
            let sums = Sums { total: met.attempts, lost: met.failures, over };
            let load = Load { busy: self.busy[host].filter(|_| told), ..Load::default() };
            Event::Heard(
                name.clone(),
                self.hosts[host].id.clone(),
                sums,
                Micros((met.mean_latency_ms() * 1e3) as u64),
                load,
            )
        }));
        events
    }
}
