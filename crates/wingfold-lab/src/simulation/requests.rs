//! Requests from their arrival at a proxy to their end: attempts, hosts' answers, retries.

use super::event::{End, Happens};
use super::World;
use crate::host::{Acceptance, HostState, OverloadLimit};
use crate::results::WINDOW_S;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use wingfold_director::interface::*;

/// A try is given up after this part of its class's deadline; a connection that never comes up, after this time.
const TRY: f64 = 0.7;

const CONNECT: Micros = Micros(500_000);

/// A proxy shuns a host that failed it in a row for so long.
const EJECTION_TIME: Micros = Micros(5_000_000);

pub(super) struct Request {
    pub(super) proxy: usize,
    pub(super) class: usize,
    pub(super) arrived: Micros,
    pub(super) work_ms: f64,
    pub(super) tries: u32,
    pub(super) ran: u32,
    pub(super) host: usize,
    pub(super) sent: Micros,
}

impl World<'_> {
    pub(super) fn next_arrival(&mut self, proxy: usize) {
        let zone = self.proxies[proxy].zone;
        let rate = (self.proxies[proxy].rate * self.burst * self.traffic[zone]).max(1e-6);
        let wait = Exp::new(rate).expect("the rate is above 0").sample(&mut self.arrivals);
        let epoch = self.proxies[proxy].arrival_epoch;
        self.after(Micros::from_secs(wait), Happens::Arrive(proxy, epoch));
    }

    fn window(&mut self, arrived: Micros) -> &mut (f64, f64) {
        let at = ((arrived.secs() / WINDOW_S) as usize).min(self.played.windows.len() - 1);
        &mut self.played.windows[at]
    }

    pub(super) fn arrive(&mut self, proxy: usize) {
        self.next_arrival(proxy);
        let all: f64 = self.plan.loads.iter().map(|load| load.share).sum();
        let mut left = self.arrivals.random::<f64>() * all;
        let class = self.plan.loads.iter().position(|load| {
            left -= load.share;
            left <= 0.0
        });
        let class = class.unwrap_or(self.plan.loads.len() - 1);
        let spread = LogNormal::new(-0.045, 0.3).expect("this spread is sound");
        let work_ms = self.works[class] * spread.sample(&mut self.arrivals);
        let (now, zone) = (self.now, self.proxies[proxy].zone);
        self.played.served[zone][class].asked += 1;
        self.window(now).0 += self.plan.loads[class].class.worth;
        self.proxies[proxy].class_usage[class].total += 1;
        let rates = self.plan.settings.admission == Admission::Rate;
        let obeys = self.plan.settings.admission != Admission::Ignored;
        if obeys && !self.proxies[proxy].admits(now, class, rates, &mut self.chance) {
            self.played.served[zone][class].refused += 1;
            return;
        }
        self.number += 1;
        let id = self.number * 4;
        let request =
            Request { proxy, class, arrived: now, work_ms, tries: 0, ran: 0, host: usize::MAX, sent: now };
        self.requests.insert(id, request);
        self.send(id);
    }

    /// Sends a request's next attempt.
    fn send(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (proxy, class, not) = (request.proxy, request.class, request.host);
        let not = (not != usize::MAX).then_some(not);
        let Some(host) = self.proxies[proxy].pick_host(self.now, class, not, &mut self.chance) else {
            self.settle(id, false);
            return;
        };
        (request.host, request.sent) = (host, self.now);
        request.tries += 1;
        let attempt = id + u64::from(request.tries.min(3));
        let (from, to) = (self.proxies[proxy].zone, self.hosts[host].zone);
        self.played.crossed += u64::from(from != to);
        self.check_drain(proxy, host);
        let give_up = Micros::from_secs(self.plan.loads[class].class.deadline.secs() * TRY);
        self.after(give_up, Happens::Answer(attempt, End::TimedOut));
        if self.parted(from, to) {
            self.after(CONNECT, Happens::Answer(attempt, End::Refused));
        } else {
            let way = self.way(from, to);
            self.after(way, Happens::Reach(attempt, host));
        }
    }

    fn warmth(&self, host: usize) -> f64 {
        self.hosts[host].warmth(self.now, self.plan.settings.cold, self.plan.settings.start_capacity)
    }

    pub(super) fn reach(&mut self, attempt: u64, host: usize) {
        let warmth = self.warmth(host);
        let Some(request) = self.requests.get_mut(&(attempt & !3)) else { return };
        let (now, work, set) = (self.now, request.work_ms, &self.plan.settings);
        let limit = OverloadLimit { factor: set.overload_factor, window: set.overload_for };
        if warmth < 1.0 && self.hosts[host].state == HostState::Up {
            let stands = self.hosts[host].add_cold_work(now, work, warmth, &limit);
            self.played.margins.cold = self.played.margins.cold.max(stands);
            if stands > 1.0 {
                // It falls over and stays down.
                self.hosts[host].stop(now, HostState::Down);
                self.hosts[host].listed = Readiness::Gone;
                self.announce(host);
            }
        }
        match self.hosts[host].accept(now, attempt, work, warmth) {
            Acceptance::Started(done) => self.run(attempt, host, done),
            Acceptance::Queued | Acceptance::Unanswered => {}
            Acceptance::Refused => {
                let back = self.way(0, 0);
                self.after(back, Happens::Answer(attempt, End::Refused));
            }
        }
    }

    fn run(&mut self, attempt: u64, host: usize, done: Micros) {
        if let Some(request) = self.requests.get_mut(&(attempt & !3)) {
            request.ran += 1;
            let once = self.plan.loads[request.class].class.effect == Effect::AtMostOnce;
            self.played.margins.twice += u64::from(once && request.ran > 1);
        }
        let incarnation = self.hosts[host].incarnation;
        self.at(done, Happens::Done(host, attempt, incarnation));
    }

    pub(super) fn done(&mut self, host: usize, attempt: u64, incarnation: u32) {
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        let warmth = self.warmth(host);
        if let Some((next, done)) = self.hosts[host].finish_attempt(self.now, warmth) {
            self.run(next, host, done);
        }
        let Some(request) = self.requests.get(&(attempt & !3)) else { return };
        let (from, to) = (self.proxies[request.proxy].zone, self.hosts[host].zone);
        if self.parted(from, to) {
            return;
        }
        let error =
            self.hosts[host].error_share > 0.0 && self.chance.random::<f64>() < self.hosts[host].error_share;
        let back = self.way(from, to);
        self.after(back, Happens::Answer(attempt, if error { End::Failed } else { End::Good }));
    }

    pub(super) fn answer(&mut self, attempt: u64, end: End) {
        let id = attempt & !3;
        let Some(request) = self.requests.get(&id) else { return };
        // An answer to an attempt that was given up on, or a time-out of one that was answered.
        if u64::from(request.tries.min(3)) != attempt & 3 {
            return;
        }
        let (proxy, class, host, tries) = (request.proxy, request.class, request.host, request.tries);
        let took = self.now.since(request.sent) * 1e3;
        if end == End::Good {
            self.proxies[proxy].record_success(host, took);
            self.settle(id, true);
            return;
        }
        if self.proxies[proxy].record_failure(host, self.plan.settings.ejects) {
            self.proxies[proxy].eject(host, Micros(self.now.0 + EJECTION_TIME.0));
        }
        let again = match self.proxies[proxy].rules[class].retry {
            Retry::Never => false,
            Retry::OnProof => end == End::Refused && tries < 2,
            Retry::Once => tries < 2,
            Retry::Twice => tries < 3,
        };
        if again {
            self.played.retries += 1;
            self.send(id);
        } else {
            self.settle(id, false);
        }
    }

    fn settle(&mut self, id: u64, good: bool) {
        let Some(request) = self.requests.remove(&id) else { return };
        let class = &self.plan.loads[request.class].class;
        let (took, aim, worth) = (self.now.since(request.arrived), class.aim.secs(), class.worth);
        let zone = self.proxies[request.proxy].zone;
        let in_time = good && took <= aim;
        if in_time {
            self.window(request.arrived).1 += worth;
        }
        if good {
            self.played.times[request.class].saturating_record((took * 1e6) as u64);
        } else {
            self.proxies[request.proxy].class_usage[request.class].lost += 1;
        }
        let served = &mut self.played.served[zone][request.class];
        match (in_time, good) {
            (true, _) => served.good += 1,
            (_, true) => served.late += 1,
            _ => served.lost += 1,
        }
    }
}
