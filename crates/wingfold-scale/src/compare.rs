//! Compares simulated directors with real ones over the same period: the requests and bytes that one director
//! exchanges with discovery, and its health checks, on average over the directors of each kind.

use crate::counters::TrafficCount;
use serde::Serialize;
use std::fmt;

/// The ratio by which a simulated director's metric may differ from a real one's.
const TOLERANCE: f64 = 0.10;
/// A random metric (the number of health checks) may differ by this many standard deviations more.
const STANDARD_DEVIATIONS: f64 = 4.0;

/// A metric in which simulated and real directors are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Metric {
    /// Requests to discovery.
    #[serde(rename = "calls at discovery")]
    DiscoveryRequests,
    /// Bytes sent to discovery.
    #[serde(rename = "bytes to discovery")]
    BytesToDiscovery,
    /// Bytes received from discovery.
    #[serde(rename = "bytes from discovery")]
    BytesFromDiscovery,
    /// Health checks of hosts.
    #[serde(rename = "probes")]
    HealthChecks,
}

impl fmt::Display for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Metric::DiscoveryRequests => "requests to discovery",
            Metric::BytesToDiscovery => "bytes to discovery",
            Metric::BytesFromDiscovery => "bytes from discovery",
            Metric::HealthChecks => "health checks",
        })
    }
}

/// One metric, averaged over the real directors and over the simulated ones.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The metric.
    #[serde(rename = "figure")]
    pub metric: Metric,
    /// The mean of the metric over the real directors.
    pub real: f64,
    /// The mean of the metric over the simulated directors.
    #[serde(rename = "hollow")]
    pub simulated: f64,
    /// How much the simulated mean may differ from the real one, as a ratio of the real one.
    pub tolerance: f64,
}

impl Comparison {
    /// Returns whether the means differ by no more than the tolerance.
    pub fn is_within_tolerance(&self) -> bool {
        (self.simulated - self.real).abs() <= self.tolerance * self.real
    }
}

/// Sums over the directors of one kind, real or simulated, in the compared period.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectorGroup {
    /// The number of directors whose requests to discovery are summed.
    pub directors: usize,
    /// Requests to discovery, and bytes.
    pub discovery: TrafficCount,
    /// The number of directors whose health checks are summed.
    pub checking_directors: usize,
    /// Health checks.
    pub health_checks: u64,
}

/// Compares real directors with simulated ones.
pub fn compare(real: &DirectorGroup, simulated: &DirectorGroup) -> Vec<Comparison> {
    let mean = |sum: u64, directors: usize| sum as f64 / directors.max(1) as f64;
    let compare_exact = |metric, sum: fn(&DirectorGroup) -> u64| Comparison {
        metric,
        real: mean(sum(real), real.directors),
        simulated: mean(sum(simulated), simulated.directors),
        tolerance: TOLERANCE,
    };
    let random_tolerance = STANDARD_DEVIATIONS / (real.health_checks.max(1) as f64).sqrt();
    vec![
        compare_exact(Metric::DiscoveryRequests, |group| group.discovery.messages),
        compare_exact(Metric::BytesToDiscovery, |group| group.discovery.bytes_in),
        compare_exact(Metric::BytesFromDiscovery, |group| group.discovery.bytes_out),
        Comparison {
            metric: Metric::HealthChecks,
            real: mean(real.health_checks, real.checking_directors),
            simulated: mean(simulated.health_checks, simulated.checking_directors),
            tolerance: TOLERANCE + random_tolerance,
        },
    ]
}
