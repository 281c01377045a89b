//! Load reports: what proxies counted, summed by zone and sent to each director, late and out of order.

use super::event::Happens;
use super::World;
use crate::host::Mood;
use crate::proxy::Met;
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
            if host.mood == Mood::Up {
                *busy = Some(host.report(self.now, since));
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
                let life = self.directors[director].life;
                let base = Micros(self.plan.late.0 + self.late.0);
                let first = self.between(base, Micros(base.0 + self.plan.late.0));
                let second = self.between(first, Micros(first.0 + period.0 * 3 / 2));
                self.after(first, Happens::Deliver(director, life, usual));
                if !later.is_empty() {
                    self.after(second, Happens::Deliver(director, life, later));
                }
            }
        }
    }

    fn sums(&mut self, director: usize, zone: usize, over: Micros) -> Vec<Event> {
        let name = self.plan.settings.zones[zone].clone();
        let (mut met, mut events): (BTreeMap<usize, Met>, _) = (BTreeMap::new(), Vec::new());
        let told = self.plan.settings.load_reports != LoadReports::Never;
        for (at, proxy) in self.proxies.iter_mut().enumerate() {
            if proxy.zone != zone || proxy.director != Some(director) {
                continue;
            }
            for (host, one) in std::mem::take(&mut proxy.met) {
                let all = met.entry(host).or_default();
                all.tries += one.tries;
                all.lost += one.lost;
                all.ms += one.ms;
            }
            for (class, usage) in proxy.usage.iter_mut().enumerate() {
                let (total, lost) = std::mem::take(usage);
                if total > 0 {
                    let sums = Sums { total, lost, over };
                    events.push(Event::Usage(ProxyId(at as u32), ClassId(class), sums));
                }
            }
        }
        events.extend(met.into_iter().map(|(host, met)| {
            let sums = Sums { total: met.tries, lost: met.lost, over };
            let mean = met.ms / (met.tries - met.lost).max(1) as f64;
            let load = Load { busy: self.busy[host].filter(|_| told), ..Load::default() };
            Event::Heard(name.clone(), self.hosts[host].id.clone(), sums, Micros((mean * 1e3) as u64), load)
        }));
        events
    }
}
