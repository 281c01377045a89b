//! Many seeds of a scenario, and what they say together.

use crate::results::{Played, Served};
use crate::rules::Margins;
use crate::scenario::Scenario;
use crate::simulation::play;
use hdrhistogram::Histogram;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::io;
use std::ops::RangeInclusive;
use std::path::Path;

/// A mean and what it may be off by, at 95 % confidence.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half of the interval; infinite for one value.
    pub off: f64,
    /// The middle value.
    pub median: f64,
    /// How many values.
    pub count: usize,
}

impl Mean {
    /// Of some values.
    pub fn of(values: &[f64]) -> Mean {
        let count = values.len();
        if count == 0 {
            return Mean::default();
        }
        let mean = values.iter().sum::<f64>() / count as f64;
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let median = (sorted[(count - 1) / 2] + sorted[count / 2]) / 2.0;
        let free = count as f64 - 1.0;
        let spread = (values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / free.max(1.0)).sqrt();
        let off = match StudentsT::new(0.0, 1.0, free) {
            Ok(student) if count > 1 => student.inverse_cdf(0.975) * spread / (count as f64).sqrt(),
            _ => f64::INFINITY,
        };
        Mean { mean, off, median, count }
    }
}

/// All runs of a scenario.
#[derive(Debug)]
pub struct Experiment {
    /// What was played.
    pub scenario: Scenario,
    /// Each seed's results.
    pub runs: Vec<(u64, Played)>,
}

impl Experiment {
    /// Plays all seeds; `each` is told of every one that is done. Captures go into a folder for each seed.
    pub fn run(
        scenario: Scenario,
        seeds: RangeInclusive<u64>,
        captures: Option<&Path>,
        mut each: impl FnMut(u64, &Played),
    ) -> io::Result<Experiment> {
        let mut runs = Vec::new();
        for seed in seeds {
            let folder = captures.map(|root| root.join(format!("seed-{seed}")));
            let played = play(&scenario, seed, folder.as_deref())?;
            each(seed, &played);
            runs.push((seed, played));
        }
        Ok(Experiment { scenario, runs })
    }

    /// The mean over the seeds of something.
    pub fn mean(&self, of: impl Fn(&Played) -> f64) -> Mean {
        Mean::of(&self.runs.iter().map(|(_, played)| of(played)).collect::<Vec<_>>())
    }

    /// One class over all seeds and zones.
    pub fn class(&self, class: usize) -> Served {
        let mut all = Served::default();
        self.runs.iter().for_each(|(_, played)| all.add(&played.class(class)));
        all
    }

    /// Times of a class over all seeds.
    pub fn times(&self, class: usize) -> Histogram<u64> {
        let mut all = self.runs.first().map(|(_, played)| played.times[class].clone());
        for (_, played) in self.runs.iter().skip(1) {
            if let Some(all) = &mut all {
                // Bounds are the same for all runs.
                let _ = all.add(&played.times[class]);
            }
        }
        all.unwrap_or_else(|| Histogram::new(3).expect("three digits are allowed"))
    }

    /// How near any seed came to each rule's limit.
    pub fn margins(&self) -> Margins {
        let mut worst = Margins::default();
        self.runs.iter().for_each(|(_, played)| worst.worst(&played.margins));
        worst
    }

    /// Seeds that broke a rule, with what was broken.
    pub fn broken(&self) -> Vec<(u64, Vec<String>)> {
        let broken = self.runs.iter().map(|(seed, played)| (*seed, played.margins.broken()));
        broken.filter(|(_, what)| !what.is_empty()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_mean_has_the_interval_of_students_distribution() {
        let mean = Mean::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
        assert_eq!((mean.mean, mean.median, mean.count), (3.0, 3.0, 5));
        // 2.776 is the 97.5 % point of four degrees of freedom.
        assert!((mean.off - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3, "{}", mean.off);
        assert!(Mean::of(&[1.0]).off.is_infinite());
    }
}
