//! A proxy: picks hosts by weight, ejects failing hosts, admits requests by admission level, and counts
//! attempts and requests for load reports and usage reports.

mod route;
mod token_bucket;

pub use route::{ClassRoute, HostWeights, WeightedHost};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use token_bucket::TokenBucket;
use wingfold_director::interface::{Retry, Timestamp};

/// The attempts of a proxy at a host since the last load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptStats {
    /// All attempts.
    pub attempts: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// The sum of the latencies of the successful attempts.
    pub latency_sum_ms: f64,
}

impl AttemptStats {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &AttemptStats) {
        self.attempts += other.attempts;
        self.failures += other.failures;
        self.latency_sum_ms += other.latency_sum_ms;
    }

    /// The mean latency of the successful attempts; 0 if there are none.
    pub fn mean_latency_ms(&self) -> f64 {
        let successes = self.attempts - self.failures;
        self.latency_sum_ms / successes.max(1) as f64
    }
}

/// The requests of a class at a proxy since the last usage report.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassUsage {
    /// All requests that arrived.
    pub requests: u64,
    /// Admitted requests that were not answered.
    pub failures: u64,
}

/// A proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// The index of the proxy's zone.
    pub zone: usize,
    /// Requests that arrive per second while no fault changes the traffic.
    pub rate_per_s: f64,
    /// Incremented when the traffic of the zone changes. Arrivals drawn in an earlier epoch are discarded.
    pub arrival_epoch: u32,
    /// The index of the director that the proxy is connected to; `None` while it is not connected.
    pub director: Option<usize>,
    /// When the proxy last connected to a director.
    pub connected_at: Timestamp,
    /// Incremented when the proxy connects or disconnects. Routes sent on an earlier stream are discarded.
    pub stream: u32,
    /// The routes of the requests, by class.
    pub routes: Vec<ClassRoute>,
    /// Since when a class has had no host although the director knows a ready one, by class.
    pub unrouted_since: Vec<Option<Timestamp>>,
    /// Attempts by the index of the host, since the last load report.
    pub host_stats: BTreeMap<usize, AttemptStats>,
    /// Requests by class, since the last usage report.
    pub class_usage: Vec<ClassUsage>,
    consecutive_failures: BTreeMap<usize, u32>,
    ejected_until: BTreeMap<usize, Timestamp>,
    /// By class; used if the admission levels are rates.
    token_buckets: Vec<TokenBucket>,
}

impl Proxy {
    /// Creates a proxy that is not connected yet and routes the requests of all classes to `hosts`.
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

    /// Draws a host of the class by weight from the hosts that are neither ejected nor `excluded`, or from
    /// all hosts if there is no such host. `None` if the class has no host at all.
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

    /// Whether a request is admitted by an admission level that is a rate in requests per second.
    pub fn admits_by_rate(&mut self, now: Timestamp, class: usize) -> bool {
        let rate_per_s = self.routes[class].admission_level;
        self.token_buckets[class].take(now, rate_per_s)
    }

    /// Whether a request is admitted by an admission level that is a share of the requests. Draws a random
    /// number only if the share is below 1.
    pub fn admits_by_share(&self, class: usize, rng: &mut ChaCha8Rng) -> bool {
        let share = self.routes[class].admission_level;
        share >= 1.0 || rng.random::<f64>() < share
    }

    /// Counts a successful attempt and resets the host's consecutive failures.
    pub fn record_success(&mut self, host: usize, latency_ms: f64) {
        let stats = self.host_stats.entry(host).or_default();
        stats.attempts += 1;
        stats.latency_sum_ms += latency_ms;
        self.consecutive_failures.remove(&host);
    }

    /// Counts a failed attempt. Returns whether the host must be ejected, because `ejection_threshold`
    /// consecutive attempts have failed; a threshold of 0 disables ejection.
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

    /// Ejects a host: before `until`, the host is picked only if the class has no other eligible host.
    pub fn eject(&mut self, host: usize, until: Timestamp) {
        self.ejected_until.insert(host, until);
    }
}
