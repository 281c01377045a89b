//! Estimates of a mean with its confidence interval.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// The quantile at the upper end of a two-sided 95 % confidence interval.
const UPPER_QUANTILE: f64 = 0.975;

/// An estimate of a mean with its 95 % confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The mean of the sample.
    pub mean: f64,
    /// Half of the width of the confidence interval; infinite for a sample of one value.
    pub half_width: f64,
    /// The median of the sample.
    pub median: f64,
    /// The number of values in the sample.
    pub count: usize,
}

impl Estimate {
    /// Estimates the mean from a sample; all fields are zero for an empty sample.
    pub fn of(values: &[f64]) -> Estimate {
        let count = values.len();
        if count == 0 {
            return Estimate::default();
        }
        let mean = values.iter().sum::<f64>() / count as f64;
        Estimate { mean, half_width: half_width(values, mean), median: median(values), count }
    }
}

/// The median of a non-empty sample.
fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let lower = sorted[(sorted.len() - 1) / 2];
    let upper = sorted[sorted.len() / 2];
    (lower + upper) / 2.0
}

/// Half of the width of the 95 % confidence interval of the mean, by Student's t-distribution.
fn half_width(values: &[f64], mean: f64) -> f64 {
    let count = values.len();
    if count <= 1 {
        return f64::INFINITY;
    }
    let degrees_of_freedom = count as f64 - 1.0;
    let squared_deviations: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let standard_deviation = (squared_deviations / degrees_of_freedom.max(1.0)).sqrt();
    match StudentsT::new(0.0, 1.0, degrees_of_freedom) {
        Ok(student) => student.inverse_cdf(UPPER_QUANTILE) * standard_deviation / (count as f64).sqrt(),
        Err(_) => f64::INFINITY,
    }
}
