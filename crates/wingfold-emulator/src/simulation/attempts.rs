//! Attempts of requests: sent to a host, run there, and answered, refused or given up.

use super::event::SimulationEvent;
use super::Simulation;
use crate::attempt::{AttemptId, AttemptOutcome, RequestId};
use crate::host::{Acceptance, HostState, OverloadLimit};
use rand::Rng;
use wingfold_director::interface::*;

/// An attempt is given up after this share of its class's deadline.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.7;
/// A connection that never comes up is given up after this time.
const CONNECT_TIMEOUT: Micros = Micros(500_000);
/// How long a proxy ejects a host that failed it in a row.
const EJECTION_TIME: Micros = Micros(5_000_000);

impl Simulation<'_> {
    /// Sends a request's next attempt.
    pub(super) fn send_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let proxy = &self.proxies[request.proxy];
        let (class, from) = (request.class, proxy.zone);
        let Some(host) = proxy.pick_host(self.now, class, request.host, &mut self.rng) else {
            self.end_request(id, false);
            return;
        };
        request.host = Some(host);
        request.sent = self.now;
        request.attempts += 1;
        let attempt = AttemptId { request: id, number: request.attempts };
        let proxy = request.proxy;
        let to = self.hosts[host].zone;
        self.result.cross_zone_attempts += u64::from(from != to);
        self.check_drain(proxy, host);
        let timeout = self.scenario.classes[class].class.deadline.secs() * ATTEMPT_TIMEOUT_SHARE;
        self.schedule_end(Micros::from_secs(timeout), attempt, AttemptOutcome::TimedOut);
        if self.partitioned(from, to) {
            self.schedule_end(CONNECT_TIMEOUT, attempt, AttemptOutcome::Refused);
        } else {
            let latency = self.latency(from, to);
            self.schedule_after(latency, SimulationEvent::AttemptReachesHost { attempt, host });
        }
    }

    fn schedule_end(&mut self, delay: Micros, attempt: AttemptId, outcome: AttemptOutcome) {
        self.schedule_after(delay, SimulationEvent::AttemptEnds { attempt, outcome });
    }

    fn warmth(&self, host: usize) -> f64 {
        let settings = &self.scenario.settings;
        self.hosts[host].warmth(self.now, settings.warm_up, settings.initial_capacity_ratio)
    }

    /// An attempt reaches its host, which starts it, lets it wait, or refuses it.
    pub(super) fn attempt_reaches(&mut self, attempt: AttemptId, host: usize) {
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let work_ms = request.work_ms;
        let warmth = self.warmth(host);
        if warmth < 1.0 && self.hosts[host].state == HostState::Up {
            self.add_cold_work(host, work_ms, warmth);
        }
        match self.hosts[host].accept(self.now, attempt, work_ms, warmth) {
            Acceptance::Started(finish) => self.attempt_starts(attempt, host, finish),
            Acceptance::Queued | Acceptance::Unanswered => {}
            Acceptance::Refused => {
                let latency = self.latency(0, 0);
                self.schedule_end(latency, attempt, AttemptOutcome::Refused);
            }
        }
    }

    /// Work arrives at a cold host; if it is too much, the host falls over and stays down.
    fn add_cold_work(&mut self, host: usize, work_ms: f64, warmth: f64) {
        let settings = &self.scenario.settings;
        let limit = OverloadLimit { factor: settings.overload_factor, window: settings.overload_duration };
        let overload = self.hosts[host].add_cold_work(self.now, work_ms, warmth, &limit);
        self.result.margins.cold = self.result.margins.cold.max(overload);
        if overload > 1.0 {
            self.hosts[host].stop(self.now, HostState::Down);
            self.hosts[host].listed = Readiness::Removed;
            self.announce(host);
        }
    }

    fn attempt_starts(&mut self, attempt: AttemptId, host: usize, finish: Timestamp) {
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.executions += 1;
            let at_most_once =
                self.scenario.classes[request.class].class.repeat_safety == RepeatSafety::AtMostOnce;
            self.result.margins.twice += u64::from(at_most_once && request.executions > 1);
        }
        let incarnation = self.hosts[host].incarnation;
        self.schedule_at(finish, SimulationEvent::AttemptFinishes { attempt, host, incarnation });
    }

    /// A core has finished an attempt: the next one starts, and the answer goes back.
    pub(super) fn attempt_finishes(&mut self, attempt: AttemptId, host: usize, incarnation: u32) {
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        let warmth = self.warmth(host);
        if let Some((next, finish)) = self.hosts[host].finish_attempt(self.now, warmth) {
            self.attempt_starts(next, host, finish);
        }
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let (from, to) = (self.proxies[request.proxy].zone, self.hosts[host].zone);
        if self.partitioned(from, to) {
            return;
        }
        let error_share = self.hosts[host].error_share;
        let error = error_share > 0.0 && self.rng.random::<f64>() < error_share;
        let outcome = if error { AttemptOutcome::Error } else { AttemptOutcome::Success };
        let latency = self.latency(from, to);
        self.schedule_end(latency, attempt, outcome);
    }

    /// A proxy learns how an attempt ended: it retries, or the request ends.
    pub(super) fn attempt_ends(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let id = attempt.request;
        let Some(request) = self.requests.get(&id) else { return };
        let Some(host) = request.host else { return };
        // It was given up before it was answered, or answered before it was given up.
        if request.attempts != attempt.number {
            return;
        }
        let proxy = &mut self.proxies[request.proxy];
        if outcome == AttemptOutcome::Success {
            proxy.record_success(host, self.now.since(request.sent) * 1e3);
            self.end_request(id, true);
            return;
        }
        if proxy.record_failure(host, self.scenario.settings.proxy_ejection_threshold) {
            proxy.eject(host, Timestamp(self.now.0 + EJECTION_TIME.0));
        }
        if may_retry(proxy.rules[request.class].retry, outcome, request.attempts) {
            self.result.retries += 1;
            self.send_attempt(id);
        } else {
            self.end_request(id, false);
        }
    }
}

/// Whether a request is tried again after so many attempts, the last of which failed.
fn may_retry(retry: Retry, outcome: AttemptOutcome, attempts: u32) -> bool {
    match retry {
        Retry::Never => false,
        Retry::OnProof => outcome == AttemptOutcome::Refused && attempts < 2,
        Retry::Once => attempts < 2,
        Retry::Twice => attempts < 3,
    }
}
