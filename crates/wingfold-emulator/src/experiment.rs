//! Runs a scenario with many seeds and combines the results.

use crate::estimate::Estimate;
use crate::invariants::{Margins, Violation};
use crate::results::{RequestCounts, RunResult};
use crate::scenario::Scenario;
use crate::simulation::simulate;
use hdrhistogram::Histogram;
use std::fmt;
use std::io;
use std::ops::RangeInclusive;
use std::path::Path;

/// Significant digits of the empty histogram that an experiment without runs returns.
const EMPTY_HISTOGRAM_DIGITS: u8 = 3;

/// The run of one seed.
#[derive(Debug)]
pub struct SeedRun {
    /// The seed of all random numbers of the run.
    pub seed: u64,
    /// The results of the run.
    pub result: RunResult,
}

/// The invariants that the run of one seed violated. Displayed as a list separated by semicolons.
#[derive(Clone, Debug, PartialEq)]
pub struct SeedViolations {
    /// The seed of the run.
    pub seed: u64,
    /// The violations; never empty.
    pub violations: Vec<Violation>,
}

impl fmt::Display for SeedViolations {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, violation) in self.violations.iter().enumerate() {
            if index > 0 {
                formatter.write_str("; ")?;
            }
            write!(formatter, "{violation}")?;
        }
        Ok(())
    }
}

/// A scenario and its runs, one for each seed.
#[derive(Debug)]
pub struct Experiment {
    /// The scenario that was simulated.
    pub scenario: Scenario,
    /// The runs in the order of their seeds.
    pub runs: Vec<SeedRun>,
}

impl Experiment {
    /// Simulates the scenario once for each seed and calls `on_run` after each run. If `capture_root` is
    /// given, the captures of each run are written to its subdirectory `seed-<seed>`.
    pub fn run(
        scenario: Scenario,
        seeds: RangeInclusive<u64>,
        capture_root: Option<&Path>,
        mut on_run: impl FnMut(u64, &RunResult),
    ) -> io::Result<Experiment> {
        let mut runs = Vec::new();
        for seed in seeds {
            let directory = capture_root.map(|root| root.join(format!("seed-{seed}")));
            let result = simulate(&scenario, seed, directory.as_deref())?;
            on_run(seed, &result);
            runs.push(SeedRun { seed, result });
        }
        Ok(Experiment { scenario, runs })
    }

    /// Estimates the mean of `value` over the results of all seeds.
    pub fn mean(&self, value: impl Fn(&RunResult) -> f64) -> Estimate {
        let values: Vec<f64> = self.runs.iter().map(|run| value(&run.result)).collect();
        Estimate::of(&values)
    }

    /// The requests of a class, summed over all seeds and zones.
    pub fn class_counts(&self, class: usize) -> RequestCounts {
        let mut total = RequestCounts::default();
        for run in &self.runs {
            total.add(&run.result.class_counts(class));
        }
        total
    }

    /// The latencies of the answered requests of a class in microseconds, over all seeds.
    pub fn latencies_us(&self, class: usize) -> Histogram<u64> {
        let Some((first, others)) = self.runs.split_first() else {
            return Histogram::new(EMPTY_HISTOGRAM_DIGITS)
                .expect("a histogram may have up to 5 significant digits");
        };
        let mut merged = first.result.latencies_us[class].clone();
        for run in others {
            // Cannot fail: the histograms of all runs have the same bounds.
            let _ = merged.add(&run.result.latencies_us[class]);
        }
        merged
    }

    /// The margins of all runs merged: the worst ratio of each invariant, and the sum of the duplicate
    /// executions.
    pub fn worst_margins(&self) -> Margins {
        let mut worst = Margins::default();
        for run in &self.runs {
            worst.merge(&run.result.margins);
        }
        worst
    }

    /// The violations of each seed whose run violated an invariant.
    pub fn violations(&self) -> Vec<SeedViolations> {
        let mut violating = Vec::new();
        for run in &self.runs {
            let violations = run.result.margins.violations();
            if !violations.is_empty() {
                violating.push(SeedViolations { seed: run.seed, violations });
            }
        }
        violating
    }
}
