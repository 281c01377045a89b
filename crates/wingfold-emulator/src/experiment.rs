//! Runs a scenario with many seeds and summarizes the results.

use crate::results::{RequestCounts, RunResult};
use crate::rules::Margins;
use crate::scenario::Scenario;
use crate::simulation::simulate;
use hdrhistogram::Histogram;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::io;
use std::ops::RangeInclusive;
use std::path::Path;

/// The quantile that ends a two-sided interval of 95 % confidence.
const UPPER_QUANTILE: f64 = 0.975;

/// An estimate of a mean, with its interval of 95 % confidence.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// Half of the interval's width; infinite for one value.
    pub half_width: f64,
    /// The middle value.
    pub median: f64,
    /// How many values.
    pub count: usize,
}

impl Estimate {
    /// Of some values.
    pub fn of(values: &[f64]) -> Estimate {
        let count = values.len();
        if count == 0 {
            return Estimate::default();
        }
        let mean = values.iter().sum::<f64>() / count as f64;
        Estimate { mean, half_width: half_width(values, mean), median: median(values), count }
    }
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    (sorted[(sorted.len() - 1) / 2] + sorted[sorted.len() / 2]) / 2.0
}

/// By Student's distribution.
fn half_width(values: &[f64], mean: f64) -> f64 {
    let count = values.len();
    let freedom = count as f64 - 1.0;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let deviation = (squares / freedom.max(1.0)).sqrt();
    match StudentsT::new(0.0, 1.0, freedom) {
        Ok(student) if count > 1 => student.inverse_cdf(UPPER_QUANTILE) * deviation / (count as f64).sqrt(),
        _ => f64::INFINITY,
    }
}

/// All runs of a scenario.
#[derive(Debug)]
pub struct Experiment {
    /// The scenario that was simulated.
    pub scenario: Scenario,
    /// Each seed's results.
    pub runs: Vec<(u64, RunResult)>,
}

impl Experiment {
    /// Simulates all seeds; `progress` is called after each. Captures go into a folder for each seed.
    pub fn run(
        scenario: Scenario,
        seeds: RangeInclusive<u64>,
        captures: Option<&Path>,
        mut progress: impl FnMut(u64, &RunResult),
    ) -> io::Result<Experiment> {
        let mut runs = Vec::new();
        for seed in seeds {
            let folder = captures.map(|root| root.join(format!("seed-{seed}")));
            let result = simulate(&scenario, seed, folder.as_deref())?;
            progress(seed, &result);
            runs.push((seed, result));
        }
        Ok(Experiment { scenario, runs })
    }

    /// The mean of a figure over the seeds.
    pub fn mean(&self, figure: impl Fn(&RunResult) -> f64) -> Estimate {
        Estimate::of(&self.runs.iter().map(|(_, result)| figure(result)).collect::<Vec<_>>())
    }

    /// One class over all seeds and zones.
    pub fn class(&self, class: usize) -> RequestCounts {
        let mut all = RequestCounts::default();
        for (_, result) in &self.runs {
            all.add(&result.class(class));
        }
        all
    }

    /// Latencies of a class over all seeds.
    pub fn latencies(&self, class: usize) -> Histogram<u64> {
        let mut all = self.runs.first().map(|(_, result)| result.latencies[class].clone());
        for (_, result) in self.runs.iter().skip(1) {
            if let Some(all) = &mut all {
                // Bounds are the same for all runs.
                let _ = all.add(&result.latencies[class]);
            }
        }
        all.unwrap_or_else(|| Histogram::new(3).expect("three digits are allowed"))
    }

    /// How near any seed came to each rule's limit.
    pub fn margins(&self) -> Margins {
        let mut worst = Margins::default();
        for (_, result) in &self.runs {
            worst.merge(&result.margins);
        }
        worst
    }

    /// Seeds that broke a rule, with what was broken.
    pub fn broken(&self) -> Vec<(u64, Vec<String>)> {
        let broken = self.runs.iter().map(|(seed, result)| (*seed, result.margins.broken()));
        broken.filter(|(_, rules)| !rules.is_empty()).collect()
    }
}
