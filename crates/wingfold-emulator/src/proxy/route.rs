//! The route of the requests of one class at a proxy.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use wingfold_director::interface::Retry;

/// A host of a table and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedHost {
    /// The index of the host.
    pub host: usize,
    /// The host's share of the requests, relative to the weights of the other hosts.
    pub weight: f64,
}

/// The hosts of a table, shared by the proxies that use it.
pub type HostWeights = Arc<Vec<WeightedHost>>;

/// How a proxy routes the requests of one class.
#[derive(Clone, Debug)]
pub struct ClassRoute {
    /// The hosts with their weights.
    pub hosts: HostWeights,
    /// The admitted share of the requests, or the admitted requests per second, depending on the admission
    /// mode.
    pub admission_level: f64,
    /// Which failed attempts are retried.
    pub retry: Retry,
}

impl ClassRoute {
    /// Draws one of the eligible hosts by weight. Draws exactly one random number, even if no host is
    /// eligible.
    pub fn draw_host(&self, is_eligible: impl Fn(usize) -> bool, rng: &mut ChaCha8Rng) -> Option<usize> {
        let eligible = || self.hosts.iter().filter(|entry| is_eligible(entry.host));
        let total_weight: f64 = eligible().map(|entry| entry.weight).sum();
        let mut remaining = rng.random::<f64>() * total_weight;
        for entry in eligible() {
            remaining -= entry.weight;
            if remaining <= 0.0 {
                return Some(entry.host);
            }
        }
        None
    }
}
