//! Attempts of requests: they are sent to a host, executed there, and answered, refused or timed out.

use super::event::SimulationEvent;
use super::Simulation;
use crate::attempt::{AttemptId, AttemptOutcome, RequestId};
use crate::host::{Acceptance, HostState, OverloadLimit};
use rand::Rng;
use wingfold_director::interface::*;

/// The timeout of an attempt as a share of the deadline of the request's class.
const ATTEMPT_TIMEOUT_RATIO: f64 = 0.7;
/// The delay after which an attempt that a partition blocks is refused, because its connection is not
/// established.
const CONNECT_TIMEOUT: Micros = Micros(500_000);
/// How long a proxy ejects a host after consecutive failures.
const EJECTION_DURATION: Micros = Micros(5_000_000);
const MS_PER_S: f64 = 1e3;

impl Simulation<'_> {
    /// Sends the next attempt of a request. The request fails if its proxy has no host for its class.
    pub(super) fn send_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let proxy = &self.proxies[request.proxy];
        let Some(host) = proxy.pick_host(self.now, request.class, request.host, &mut self.rng) else {
            self.request_failed(id);
            return;
        };
        request.host = Some(host);
        request.sent_at = self.now;
        request.attempts += 1;
        let attempt = AttemptId { request: id, number: request.attempts };
        let deadline_s = self.scenario.classes[request.class].class.deadline.secs();
        let proxy = request.proxy;
        self.record_attempt_lateness(proxy, host);
        let timeout = Micros::from_secs(deadline_s * ATTEMPT_TIMEOUT_RATIO);
        self.schedule_attempt_end(timeout, attempt, AttemptOutcome::TimedOut);
        self.forward_attempt(attempt, proxy, host);
    }

    /// Sends an attempt over the network. A partition between proxy and host makes the connection time out.
    fn forward_attempt(&mut self, attempt: AttemptId, proxy: usize, host: usize) {
        let from_zone = self.proxies[proxy].zone;
        let to_zone = self.hosts[host].zone;
        if from_zone != to_zone {
            self.result.cross_zone_attempts += 1;
        }
        if self.is_partitioned(from_zone, to_zone) {
            self.schedule_attempt_end(CONNECT_TIMEOUT, attempt, AttemptOutcome::Refused);
        } else {
            let latency = self.latency(from_zone, to_zone);
            self.schedule_after(latency, SimulationEvent::AttemptReachesHost { attempt, host });
        }
    }

    fn schedule_attempt_end(&mut self, delay: Micros, attempt: AttemptId, outcome: AttemptOutcome) {
        self.schedule_after(delay, SimulationEvent::AttemptEnds { attempt, outcome });
    }

    fn slow_start_factor(&self, host: usize) -> f64 {
        let settings = &self.scenario.settings;
        self.hosts[host].slow_start_factor(self.now, settings.warm_up, settings.initial_capacity_ratio)
    }

    /// Handles the arrival of an attempt at its host, which starts, queues, refuses or ignores the attempt.
    /// An attempt whose request has ended is dropped.
    pub(super) fn attempt_reaches_host(&mut self, attempt: AttemptId, host: usize) {
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let work_ms = request.work_ms;
        let slow_start_factor = self.slow_start_factor(host);
        if slow_start_factor < 1.0 && self.hosts[host].state == HostState::Up {
            self.add_warm_up_work(host, work_ms, slow_start_factor);
        }
        match self.hosts[host].accept(self.now, attempt, work_ms, slow_start_factor) {
            Acceptance::Started { finishes_at } => self.attempt_starts(attempt, host, finishes_at),
            Acceptance::Queued | Acceptance::Unanswered => {}
            Acceptance::Refused => {
                let latency = self.latency(0, 0);
                self.schedule_attempt_end(latency, attempt, AttemptOutcome::Refused);
            }
        }
    }

    /// Records work that arrives at a host that is warming up. If the work exceeds the overload
    /// limit, the host fails and stays down until a fault restarts it.
    fn add_warm_up_work(&mut self, host: usize, work_ms: f64, slow_start_factor: f64) {
        let settings = &self.scenario.settings;
        let limit = OverloadLimit { factor: settings.overload_factor, window: settings.overload_duration };
        let overload_ratio = self.hosts[host].add_warm_up_work(self.now, work_ms, slow_start_factor, &limit);
        let margins = &mut self.result.margins;
        margins.warm_up_overload_ratio = margins.warm_up_overload_ratio.max(overload_ratio);
        if overload_ratio > 1.0 {
            self.hosts[host].stop(self.now, HostState::Down);
            self.hosts[host].listed_readiness = Readiness::Removed;
            self.announce_host(host);
        }
    }

    /// Counts the execution of an attempt that a host has started and schedules its end.
    fn attempt_starts(&mut self, attempt: AttemptId, host: usize, finishes_at: Timestamp) {
        self.count_execution(attempt.request);
        let incarnation = self.hosts[host].incarnation;
        self.schedule_at(finishes_at, SimulationEvent::AttemptFinishes { attempt, host, incarnation });
    }

    /// Counts the execution of a request; a repeated execution of an at-most-once request violates an
    /// invariant.
    fn count_execution(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.executions += 1;
        let repeat_safety = self.scenario.classes[request.class].class.repeat_safety;
        if repeat_safety == RepeatSafety::AtMostOnce && request.executions > 1 {
            self.result.margins.duplicate_executions += 1;
        }
    }

    /// Handles the end of an attempt on a core: starts the next queued attempt and sends the answer.
    pub(super) fn attempt_finishes(&mut self, attempt: AttemptId, host: usize, incarnation: u32) {
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        let slow_start_factor = self.slow_start_factor(host);
        if let Some(next) = self.hosts[host].finish_attempt(self.now, slow_start_factor) {
            self.attempt_starts(next.attempt, host, next.finishes_at);
        }
        self.send_answer(attempt, host);
    }

    fn send_answer(&mut self, attempt: AttemptId, host: usize) {
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let proxy_zone = self.proxies[request.proxy].zone;
        let host_zone = self.hosts[host].zone;
        if self.is_partitioned(proxy_zone, host_zone) {
            return;
        }
        let outcome = self.draw_outcome(self.hosts[host].error_ratio);
        let latency = self.latency(proxy_zone, host_zone);
        self.schedule_attempt_end(latency, attempt, outcome);
    }

    /// Draws whether an answer is an error. Draws no random number if the error ratio is 0.
    fn draw_outcome(&mut self, error_ratio: f64) -> AttemptOutcome {
        if error_ratio > 0.0 && self.rng.random::<f64>() < error_ratio {
            AttemptOutcome::Error
        } else {
            AttemptOutcome::Success
        }
    }

    /// Handles the outcome of an attempt at the proxy: the request is answered, retried or failed.
    pub(super) fn attempt_ends(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let id = attempt.request;
        let Some(request) = self.requests.get(&id) else { return };
        let Some(host) = request.host else { return };
        // A later attempt has been sent, so this attempt has already ended.
        if request.attempts != attempt.number {
            return;
        }
        let proxy = &mut self.proxies[request.proxy];
        if outcome == AttemptOutcome::Success {
            let latency_ms = self.now.since(request.sent_at) * MS_PER_S;
            proxy.record_success(host, latency_ms);
            self.request_answered(id);
            return;
        }
        if proxy.record_failure(host, self.scenario.settings.proxy_ejection_threshold) {
            proxy.eject(host, self.now + EJECTION_DURATION);
        }
        if may_retry(proxy.routes[request.class].retry, outcome, request.attempts) {
            self.result.retries += 1;
            self.send_attempt(id);
        } else {
            self.request_failed(id);
        }
    }
}

/// Whether a request is retried when the last of its `attempts` attempts has failed with `last_outcome`.
fn may_retry(retry: Retry, last_outcome: AttemptOutcome, attempts: u32) -> bool {
    match retry {
        Retry::Never => false,
        Retry::OnProof => last_outcome == AttemptOutcome::Refused && attempts < 2,
        Retry::Once => attempts < 2,
        Retry::Twice => attempts < 3,
    }
}
