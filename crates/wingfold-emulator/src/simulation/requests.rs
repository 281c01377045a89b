//! Requests: how they arrive, are admitted, and end.

use super::event::SimulationEvent;
use super::Simulation;
use crate::attempt::RequestId;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use wingfold_director::interface::*;

/// How the work of requests varies around the mean of their class: the logarithm's mean and deviation.
const WORK_SPREAD: (f64, f64) = (-0.045, 0.3);
/// The lowest rate of a proxy, in requests a second.
const MIN_RATE: f64 = 1e-6;

/// A request that was admitted and has not ended.
pub(super) struct Request {
    pub(super) proxy: usize,
    pub(super) class: usize,
    pub(super) arrived: Timestamp,
    pub(super) work_ms: f64,
    /// Attempts that were sent.
    pub(super) attempts: u32,
    /// Attempts that a host started.
    pub(super) executions: u32,
    /// The host of the last attempt, and when it was sent.
    pub(super) host: Option<usize>,
    pub(super) sent: Timestamp,
}

impl Simulation<'_> {
    /// Draws a proxy's next request.
    pub(super) fn schedule_arrival(&mut self, proxy: usize) {
        let sender = &self.proxies[proxy];
        let epoch = sender.arrival_epoch;
        let zone_factor = self.disruptions.zone_traffic[sender.zone];
        let rate = (sender.rate * self.disruptions.traffic * zone_factor).max(MIN_RATE);
        let wait = Exp::new(rate).expect("the rate is above 0").sample(&mut self.arrival_rng);
        self.schedule_after(Micros::from_secs(wait), SimulationEvent::RequestArrives { proxy, epoch });
    }

    /// A request arrives, unless it was drawn before its proxy's traffic changed.
    pub(super) fn request_arrives(&mut self, proxy: usize, epoch: u32) {
        if self.proxies[proxy].arrival_epoch != epoch {
            return;
        }
        self.schedule_arrival(proxy);
        let class = self.draw_class();
        let work_ms = self.draw_work(class);
        let zone = self.proxies[proxy].zone;
        self.result.counts[zone][class].asked += 1;
        self.result.window_mut(self.now).asked += self.scenario.classes[class].class.priority_weight;
        self.proxies[proxy].class_usage[class].total += 1;
        if self.admits(proxy, class) {
            self.start_request(proxy, class, work_ms);
        } else {
            self.result.counts[zone][class].refused += 1;
        }
    }

    fn draw_class(&mut self) -> usize {
        let classes = &self.scenario.classes;
        let total: f64 = classes.iter().map(|class| class.share).sum();
        let mut left = self.arrival_rng.random::<f64>() * total;
        let drawn = classes.iter().position(|class| {
            left -= class.share;
            left <= 0.0
        });
        drawn.unwrap_or(classes.len() - 1)
    }

    fn draw_work(&mut self, class: usize) -> f64 {
        let (mean, deviation) = WORK_SPREAD;
        let spread = LogNormal::new(mean, deviation).expect("this spread is valid");
        self.mean_work_ms[class] * spread.sample(&mut self.arrival_rng)
    }

    fn admits(&mut self, proxy: usize, class: usize) -> bool {
        let by_rate = match self.scenario.settings.admission_mode {
            AdmissionMode::Ignored => return true,
            AdmissionMode::Rate => true,
            _ => false,
        };
        self.proxies[proxy].admits(self.now, class, by_rate, &mut self.rng)
    }

    fn start_request(&mut self, proxy: usize, class: usize, work_ms: f64) {
        self.admitted += 1;
        let id = RequestId(self.admitted);
        let request = Request {
            proxy,
            class,
            arrived: self.now,
            work_ms,
            attempts: 0,
            executions: 0,
            host: None,
            sent: self.now,
        };
        self.requests.insert(id, request);
        self.send_attempt(id);
    }

    /// A request ends: answered, sooner or later, or not.
    pub(super) fn end_request(&mut self, id: RequestId, answered: bool) {
        let Some(request) = self.requests.remove(&id) else { return };
        let class = &self.scenario.classes[request.class].class;
        let zone = self.proxies[request.proxy].zone;
        let latency = self.now.since(request.arrived);
        let in_time = answered && latency <= class.latency_objective.secs();
        if in_time {
            self.result.window_mut(request.arrived).in_time += class.priority_weight;
        }
        if answered {
            self.result.latencies[request.class].saturating_record((latency * 1e6) as u64);
        } else {
            self.proxies[request.proxy].class_usage[request.class].lost += 1;
        }
        let counts = &mut self.result.counts[zone][request.class];
        match (in_time, answered) {
            (true, _) => counts.good += 1,
            (_, true) => counts.late += 1,
            _ => counts.lost += 1,
        }
    }
}
