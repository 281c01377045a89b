//! One proxy: picks hosts by weight, ejects hosts that fail, admits requests by level, and counts for the reports.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::{Retry, Timestamp};

/// Weights by host, as in the lines of a table.
pub type HostWeights = Arc<Vec<(usize, f64)>>;

/// How a proxy routes the requests of one class.
#[derive(Clone, Debug)]
pub struct RoutingRule {
    /// Hosts with their weights.
    pub weights: HostWeights,
    /// The admission level: a share or a rate of requests.
    pub level: f64,
    /// When a failed attempt is retried.
    pub retry: Retry,
}

/// Attempts at a host since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptStats {
    /// All attempts.
    pub attempts: u64,
    /// Those that failed.
    pub failures: u64,
    /// Latency of the others in all, in ms.
    pub latency_ms: f64,
}

impl AttemptStats {
    /// Adds another's counts.
    pub fn add(&mut self, other: &AttemptStats) {
        self.attempts += other.attempts;
        self.failures += other.failures;
        self.latency_ms += other.latency_ms;
    }

    /// The mean latency of attempts that succeeded, in ms.
    pub fn mean_latency_ms(&self) -> f64 {
        self.latency_ms / (self.attempts - self.failures).max(1) as f64
    }
}

/// Requests of a class since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassUsage {
    /// All requests.
    pub total: u64,
    /// Those that were not answered.
    pub lost: u64,
}

/// Limits a class to a rate of requests.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    fn new() -> TokenBucket {
        TokenBucket { tokens: 1.0, refilled_at: Timestamp(0) }
    }

    /// Takes a token if there is one; `rate` tokens come in a second.
    fn take(&mut self, now: Timestamp, rate: f64) -> bool {
        let refill = rate * now.since(self.refilled_at);
        self.tokens = (self.tokens + refill).min(rate.max(1.0));
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}

/// A proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Its zone's index.
    pub zone: usize,
    /// Requests a second.
    pub rate: f64,
    /// Counts changes of its traffic: an arrival that was drawn in an earlier epoch is void.
    pub arrival_epoch: u32,
    /// The director that it is connected to.
    pub director: Option<usize>,
    /// When it connected.
    pub connected_at: Timestamp,
    /// Counts its streams: what was sent on an earlier one does not arrive.
    pub stream: u32,
    /// By class.
    pub rules: Vec<RoutingRule>,
    /// Since when it has had no host for a class although it should have one.
    pub unrouted_since: Vec<Option<Timestamp>>,
    /// By host, since the last report.
    pub host_stats: BTreeMap<usize, AttemptStats>,
    /// By class, since the last report.
    pub class_usage: Vec<ClassUsage>,
    consecutive_failures: BTreeMap<usize, u32>,
    ejected_until: BTreeMap<usize, Timestamp>,
    /// By class, for levels that are rates.
    buckets: Vec<TokenBucket>,
}

impl Proxy {
    /// A proxy that is not connected yet and routes all classes by the same weights.
    pub fn new(zone: usize, rate: f64, weights: HostWeights, classes: usize) -> Proxy {
        let rule = RoutingRule { weights, level: 1.0, retry: Retry::OnProof };
        Proxy {
            zone,
            rate,
            arrival_epoch: 0,
            director: None,
            connected_at: Timestamp(0),
            stream: 0,
            rules: vec![rule; classes],
            unrouted_since: vec![None; classes],
            host_stats: BTreeMap::new(),
            class_usage: vec![ClassUsage::default(); classes],
            consecutive_failures: BTreeMap::new(),
            ejected_until: BTreeMap::new(),
            buckets: vec![TokenBucket::new(); classes],
        }
    }

    /// Picks a host for a request by weight: one that is not ejected and not `excluded`, or any if there is none.
    pub fn pick_host(
        &self,
        now: Timestamp,
        class: usize,
        excluded: Option<usize>,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let weights = &self.rules[class].weights;
        let usable = |host: usize| {
            let ejected = self.ejected_until.get(&host).is_some_and(|until| now < *until);
            Some(host) != excluded && !ejected
        };
        draw_by_weight(weights, usable, rng).or_else(|| draw_by_weight(weights, |_| true, rng))
    }

    /// Whether a request of the class is admitted; `by_rate`: the level is a rate, else a share.
    pub fn admits(&mut self, now: Timestamp, class: usize, by_rate: bool, rng: &mut ChaCha8Rng) -> bool {
        let level = self.rules[class].level;
        if by_rate {
            self.buckets[class].take(now, level)
        } else {
            level >= 1.0 || rng.random::<f64>() < level
        }
    }

    /// Counts an attempt that succeeded and resets the host's failures in a row.
    pub fn record_success(&mut self, host: usize, latency_ms: f64) {
        let stats = self.host_stats.entry(host).or_default();
        stats.attempts += 1;
        stats.latency_ms += latency_ms;
        self.consecutive_failures.remove(&host);
    }

    /// Counts an attempt that failed; gives whether the host has now failed `eject_after` times in a row (0: never).
    pub fn record_failure(&mut self, host: usize, eject_after: u32) -> bool {
        let stats = self.host_stats.entry(host).or_default();
        stats.attempts += 1;
        stats.failures += 1;
        let failures = self.consecutive_failures.entry(host).or_default();
        *failures += 1;
        let eject = eject_after > 0 && *failures >= eject_after;
        if eject {
            *failures = 0;
        }
        eject
    }

    /// Sends a host nothing until the time given, while others can be picked.
    pub fn eject(&mut self, host: usize, until: Timestamp) {
        self.ejected_until.insert(host, until);
    }
}

fn draw_by_weight(
    weights: &[(usize, f64)],
    usable: impl Fn(usize) -> bool,
    rng: &mut ChaCha8Rng,
) -> Option<usize> {
    let candidates = || weights.iter().filter(|(host, _)| usable(*host));
    let total: f64 = candidates().map(|(_, weight)| weight).sum();
    let mut left = rng.random::<f64>() * total;
    let drawn = candidates().find(|(_, weight)| {
        left -= weight;
        left <= 0.0
    });
    drawn.map(|(host, _)| *host)
}
