//! One proxy: picks hosts by weight, ejects hosts that fail, admits requests by level, and counts for the load reports.

mod route;
mod token_bucket;

pub use route::{ClassRoute, HostWeights, WeightedHost};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use token_bucket::TokenBucket;
use wingfold_director::interface::{Retry, Timestamp};

/// Attempts at a host since the last load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptStats {
    /// All attempts.
    pub attempts: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// The summed latency of the attempts that succeeded.
    pub latency_sum_ms: f64,
}

impl AttemptStats {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &AttemptStats) {
        self.attempts += other.attempts;
        self.failures += other.failures;
        self.latency_sum_ms += other.latency_sum_ms;
    }

    /// The mean latency of the attempts that succeeded.
    pub fn mean_latency_ms(&self) -> f64 {
        let successes = self.attempts - self.failures;
        self.latency_sum_ms / successes.max(1) as f64
    }
}

/// Requests of a class since the last load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassUsage {
    /// All requests.
    pub requests: u64,
    /// Requests that were not answered.
    pub failures: u64,
}

/// A proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// The index of its zone.
    pub zone: usize,
    /// Requests that arrive at it, without faults.
    pub rate_per_s: f64,
    /// Counts changes of its traffic: an arrival that was drawn in an earlier epoch is void.
    pub arrival_epoch: u32,
    /// The director that it is connected to.
    pub director: Option<usize>,
    /// When it connected.
    pub connected_at: Timestamp,
    /// Counts its streams: what was sent on an earlier one does not arrive.
    pub stream: u32,
    /// How it routes requests, by class.
    pub routes: Vec<ClassRoute>,
    /// Since when it has had no host for a class although it should have one, by class.
    pub unrouted_since: Vec<Option<Timestamp>>,
    /// Attempts by host, since the last load report.
    pub host_stats: BTreeMap<usize, AttemptStats>,
    /// Requests by class, since the last load report.
    pub class_usage: Vec<ClassUsage>,
    consecutive_failures: BTreeMap<usize, u32>,
    ejected_until: BTreeMap<usize, Timestamp>,
    /// By class, for admission levels that are rates.
    token_buckets: Vec<TokenBucket>,
}

impl Proxy {
    /// A proxy that is not connected yet and routes all classes to the same hosts.
    pub fn new(zone: usize, rate_per_s: f64, hosts: HostWeights, classes: usize) -> Proxy {
        let route = ClassRoute { hosts, admission_level: 1.0, retry: Retry::OnProof };
        Proxy {
            zone,
            rate_per_s,
            arrival_epoch: 0,
            director: None,
            connected_at: Timestamp(0),
            stream: 0,
            routes: vec![route; classes],
            unrouted_since: vec![None; classes],
            host_stats: BTreeMap::new(),
            class_usage: vec![ClassUsage::default(); classes],
            consecutive_failures: BTreeMap::new(),
            ejected_until: BTreeMap::new(),
            token_buckets: vec![TokenBucket::new(); classes],
        }
    }

    /// Picks a host at random by weight, preferring hosts that are neither ejected nor `excluded`. `None` if the class has
    /// no host.
    pub fn pick_host(
        &self,
        now: Timestamp,
        class: usize,
        excluded: Option<usize>,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let route = &self.routes[class];
        let is_eligible = |host: usize| Some(host) != excluded && !self.is_ejected(host, now);
        route.draw_host(is_eligible, rng).or_else(|| route.draw_host(|_| true, rng))
    }

    fn is_ejected(&self, host: usize, now: Timestamp) -> bool {
        self.ejected_until.get(&host).is_some_and(|until| now < *until)
    }

    /// Whether a request is admitted where the admission level is a rate in requests per second.
    pub fn admits_by_rate(&mut self, now: Timestamp, class: usize) -> bool {
        let rate_per_s = self.routes[class].admission_level;
        self.token_buckets[class].take(now, rate_per_s)
    }

    /// Whether a request is admitted where the admission level is a share of the requests. Draws a random number only
    /// below a share of 1.
    pub fn admits_by_share(&self, class: usize, rng: &mut ChaCha8Rng) -> bool {
        let share = self.routes[class].admission_level;
        share >= 1.0 || rng.random::<f64>() < share
    }

    /// Counts an attempt that succeeded and resets the host's consecutive failures.
    pub fn record_success(&mut self, host: usize, latency_ms: f64) {
        let stats = self.host_stats.entry(host).or_default();
        stats.attempts += 1;
        stats.latency_sum_ms += latency_ms;
        self.consecutive_failures.remove(&host);
    }

    /// Counts an attempt that failed. Returns whether the host must be ejected because `ejection_threshold` attempts in a
    /// row have failed; a threshold of 0 never ejects.
    pub fn record_failure(&mut self, host: usize, ejection_threshold: u32) -> bool {
        let stats = self.host_stats.entry(host).or_default();
        stats.attempts += 1;
        stats.failures += 1;
        let consecutive_failures = self.consecutive_failures.entry(host).or_default();
        *consecutive_failures += 1;
        let must_eject = ejection_threshold > 0 && *consecutive_failures >= ejection_threshold;
        if must_eject {
            *consecutive_failures = 0;
        }
        must_eject
    }

    /// Ejects a host: it is picked only if there is no other, until the time given.
    pub fn eject(&mut self, host: usize, until: Timestamp) {
        self.ejected_until.insert(host, until);
    }
}
