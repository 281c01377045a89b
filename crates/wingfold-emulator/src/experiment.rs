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

/// Significant digits of the histogram that stands for an experiment without runs.
const EMPTY_HISTOGRAM_DIGITS: u8 = 3;

/// The run of one seed.
#[derive(Debug)]
pub struct SeedRun {
    /// The seed of all random numbers of the run.
    pub seed: u64,
    /// What the run measured.
    pub result: RunResult,
}

/// The invariants that the run of one seed violated. Displayed as a list that semicolons separate.
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
    /// Simulates all seeds and calls `on_run` after each. Where `capture_root` is given, the captures of each seed go into
    /// a folder `seed-<seed>` below it.
    pub fn run(
        scenario: Scenario,
        seeds: RangeInclusive<u64>,
        capture_root: Option<&Path>,
        mut on_run: impl FnMut(u64, &RunResult),
    ) -> io::Result<Experiment> {
        let mut runs = Vec::new();
        for seed in seeds {
            let folder = capture_root.map(|root| root.join(format!("seed-{seed}")));
            let result = simulate(&scenario, seed, folder.as_deref())?;
            on_run(seed, &result);
            runs.push(SeedRun { seed, result });
        }
        Ok(Experiment { scenario, runs })
    }

    /// Estimates the mean over the seeds of a number taken from each result.
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

    /// The latencies of a class in microseconds, over all seeds.
    pub fn latencies_us(&self, class: usize) -> Histogram<u64> {
        let Some((first, others)) = self.runs.split_first() else {
            return Histogram::new(EMPTY_HISTOGRAM_DIGITS).expect("up to five digits are allowed");
        };
        let mut merged = first.result.latencies_us[class].clone();
        for run in others {
            // Cannot fail: all runs use the same bounds.
            let _ = merged.add(&run.result.latencies_us[class]);
        }
        merged
    }

    /// The worst margin of any seed for each invariant.
    pub fn worst_margins(&self) -> Margins {
        let mut worst = Margins::default();
        for run in &self.runs {
            worst.merge(&run.result.margins);
        }
        worst
    }

    /// The seeds that violated an invariant.
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
