//! Requests: arrival, admission and end.

use super::event::SimulationEvent;
use super::Simulation;
use crate::attempt::RequestId;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use wingfold_director::interface::*;

/// Mean and standard deviation of the logarithm of a log-normal factor whose mean is 1. The work of a request
/// is this factor times the mean work of its class.
const WORK_FACTOR_LOG_MEAN: f64 = -0.045;
const WORK_FACTOR_LOG_DEVIATION: f64 = 0.3;
/// Lower bound of the request rate of a proxy, because an exponential distribution needs a rate above 0.
const MIN_RATE_PER_S: f64 = 1e-6;
const MICROS_PER_S: f64 = 1e6;

/// An admitted request that has not ended.
pub(super) struct Request {
    pub(super) proxy: usize,
    pub(super) class: usize,
    pub(super) arrived_at: Timestamp,
    pub(super) work_ms: f64,
    /// The number of attempts that were sent.
    pub(super) attempts: u32,
    /// The number of attempts that a host has started.
    pub(super) executions: u32,
    /// The host of the last attempt.
    pub(super) host: Option<usize>,
    /// When the last attempt was sent.
    pub(super) sent_at: Timestamp,
}

impl Simulation<'_> {
    /// Draws when the next request arrives at a proxy, and schedules the arrival.
    pub(super) fn schedule_arrival(&mut self, proxy: usize) {
        let receiving_proxy = &self.proxies[proxy];
        let epoch = receiving_proxy.arrival_epoch;
        let site_factor = self.disruptions.traffic_factor;
        let zone_factor = self.disruptions.zone_traffic_factors[receiving_proxy.zone];
        let rate_per_s = (receiving_proxy.rate_per_s * site_factor * zone_factor).max(MIN_RATE_PER_S);
        let interval_s = Exp::new(rate_per_s).expect("the rate is above 0").sample(&mut self.arrival_rng);
        let interval = Micros::from_secs(interval_s);
        self.schedule_after(interval, SimulationEvent::RequestArrives { proxy, epoch });
    }

    /// Handles the arrival of a request. An arrival that was drawn before the traffic of its proxy changed is
    /// dropped.
    pub(super) fn request_arrives(&mut self, proxy: usize, epoch: u32) {
        if self.proxies[proxy].arrival_epoch != epoch {
            return;
        }
        self.schedule_arrival(proxy);
        let class = self.draw_class();
        let work_ms = self.draw_work_ms(class);
        self.count_arrival(proxy, class);
        if self.admits(proxy, class) {
            self.start_request(proxy, class, work_ms);
        } else {
            let zone = self.proxies[proxy].zone;
            self.result.request_counts[zone][class].rejected += 1;
        }
    }

    fn count_arrival(&mut self, proxy: usize, class: usize) {
        let zone = self.proxies[proxy].zone;
        self.result.request_counts[zone][class].arrived += 1;
        let priority_weight = self.scenario.classes[class].class.priority_weight;
        self.result.window_mut(self.now).arrived_weight += priority_weight;
        self.proxies[proxy].class_usage[class].requests += 1;
    }

    /// Draws the class of a request by the shares of the classes.
    fn draw_class(&mut self) -> usize {
        let classes = &self.scenario.classes;
        let total_share: f64 = classes.iter().map(|class| class.share).sum();
        let mut remaining = self.arrival_rng.random::<f64>() * total_share;
        for (index, class) in classes.iter().enumerate() {
            remaining -= class.share;
            if remaining <= 0.0 {
                return index;
            }
        }
        // Rounding errors can leave a small positive remainder.
        classes.len() - 1
    }

    fn draw_work_ms(&mut self, class: usize) -> f64 {
        let factor = LogNormal::new(WORK_FACTOR_LOG_MEAN, WORK_FACTOR_LOG_DEVIATION)
            .expect("the deviation is finite and not negative");
        self.mean_work_ms[class] * factor.sample(&mut self.arrival_rng)
    }

    fn admits(&mut self, proxy: usize, class: usize) -> bool {
        match self.scenario.settings.admission_mode {
            AdmissionMode::Ignored => true,
            AdmissionMode::Rate => self.proxies[proxy].admits_by_rate(self.now, class),
            AdmissionMode::Share => self.proxies[proxy].admits_by_share(class, &mut self.rng),
        }
    }

    fn start_request(&mut self, proxy: usize, class: usize, work_ms: f64) {
        self.admitted_requests += 1;
        let id = RequestId(self.admitted_requests);
        let request = Request {
            proxy,
            class,
            arrived_at: self.now,
            work_ms,
            attempts: 0,
            executions: 0,
            host: None,
            sent_at: self.now,
        };
        self.requests.insert(id, request);
        self.send_attempt(id);
    }

    /// Ends a request that was answered.
    pub(super) fn request_answered(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let class = &self.scenario.classes[request.class].class;
        let latency_s = self.now.since(request.arrived_at);
        let latency_us = (latency_s * MICROS_PER_S) as u64;
        self.result.latencies_us[request.class].saturating_record(latency_us);
        let zone = self.proxies[request.proxy].zone;
        let counts = &mut self.result.request_counts[zone][request.class];
        if latency_s <= class.latency_objective.secs() {
            counts.in_time += 1;
            self.result.window_mut(request.arrived_at).in_time_weight += class.priority_weight;
        } else {
            counts.late += 1;
        }
    }

    /// Ends a request that was not answered.
    pub(super) fn request_failed(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let proxy = &mut self.proxies[request.proxy];
        proxy.class_usage[request.class].failures += 1;
        self.result.request_counts[proxy.zone][request.class].failed += 1;
    }
}
