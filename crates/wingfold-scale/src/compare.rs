//! Whether hollow directors do as real ones: calls and bytes at discovery, and probes, of a director of either kind in
//! the same time.

use crate::counters::TrafficCount;
use serde::Serialize;

/// What may lie between a hollow director's figure and a real one's.
const TOLERANCE: f64 = 0.10;
/// Figures drawn at random, as probes are, may differ by so many standard deviations more.
const DEVIATIONS: f64 = 4.0;

/// One figure of both kinds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Compared {
    /// What is compared.
    pub figure: &'static str,
    /// Of one real director, on the mean.
    pub real: f64,
    /// Of one hollow director, on the mean.
    pub hollow: f64,
    /// The share by which they may differ.
    pub tolerance: f64,
}

impl Compared {
    /// Whether the two lie close enough.
    pub fn holds(&self) -> bool {
        (self.hollow - self.real).abs() <= self.tolerance * self.real
    }
}

/// What the directors of one kind did together in the same time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Kind {
    /// Directors.
    pub directors: usize,
    /// Their calls at discovery.
    pub discovery: TrafficCount,
    /// Directors that probed.
    pub probers: usize,
    /// Their probes.
    pub probes: u64,
}

/// Compares real directors with hollow ones.
pub fn compare(real: &Kind, hollow: &Kind) -> Vec<Compared> {
    let mean = |sum: u64, of: usize| sum as f64 / of.max(1) as f64;
    let exact = |figure, of: fn(&Kind) -> u64| Compared {
        figure,
        real: mean(of(real), real.directors),
        hollow: mean(of(hollow), hollow.directors),
        tolerance: TOLERANCE,
    };
    let by_chance = DEVIATIONS / (real.probes.max(1) as f64).sqrt();
    vec![
        exact("calls at discovery", |kind| kind.discovery.messages),
        exact("bytes to discovery", |kind| kind.discovery.bytes_in),
        exact("bytes from discovery", |kind| kind.discovery.bytes_out),
        Compared {
            figure: "probes",
            real: mean(real.probes, real.probers),
            hollow: mean(hollow.probes, hollow.probers),
            tolerance: TOLERANCE + by_chance,
        },
    ]
}
