//! Compares simulated directors with real ones: calls and bytes at discovery, and health checks, of one director of
//! either kind in the same time.

use crate::counters::TrafficCount;
use serde::Serialize;

/// The ratio by which a simulated director's metric may differ from a real one's.
const TOLERANCE: f64 = 0.10;
/// Random metrics, as the number of health checks, may differ by this many standard deviations more.
const STANDARD_DEVIATIONS: f64 = 4.0;

/// A metric of both kinds of director.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// What is compared.
    #[serde(rename = "figure")]
    pub metric: &'static str,
    /// Of one real director, on average.
    pub real: f64,
    /// Of one simulated director, on average.
    #[serde(rename = "hollow")]
    pub simulated: f64,
    /// The ratio by which they may differ.
    pub tolerance: f64,
}

impl Comparison {
    /// Returns whether the two are close enough.
    pub fn is_within_tolerance(&self) -> bool {
        (self.simulated - self.real).abs() <= self.tolerance * self.real
    }
}

/// The sums over the directors of one kind, in the same time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectorGroup {
    /// Directors.
    pub directors: usize,
    /// Their calls at discovery.
    pub discovery: TrafficCount,
    /// Directors that sent health checks.
    pub checking_directors: usize,
    /// Their health checks.
    pub health_checks: u64,
}

/// Compares real directors with simulated ones.
pub fn compare(real: &DirectorGroup, simulated: &DirectorGroup) -> Vec<Comparison> {
    let mean = |sum: u64, of: usize| sum as f64 / of.max(1) as f64;
    let exact = |metric, of: fn(&DirectorGroup) -> u64| Comparison {
        metric,
        real: mean(of(real), real.directors),
        simulated: mean(of(simulated), simulated.directors),
        tolerance: TOLERANCE,
    };
    let random_tolerance = STANDARD_DEVIATIONS / (real.health_checks.max(1) as f64).sqrt();
    vec![
        exact("calls at discovery", |group| group.discovery.messages),
        exact("bytes to discovery", |group| group.discovery.bytes_in),
        exact("bytes from discovery", |group| group.discovery.bytes_out),
        Comparison {
            metric: "probes",
            real: mean(real.health_checks, real.checking_directors),
            simulated: mean(simulated.health_checks, simulated.checking_directors),
            tolerance: TOLERANCE + random_tolerance,
        },
    ]
}
