//! Fits power laws to measured points, by least squares on the logarithms.

use serde::Serialize;

/// A fitted power law: `value = coefficient * size ^ order`.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    /// The order of growth.
    pub order: f64,
    /// The standard error of the order; `None` if there are only two points.
    pub order_error: Option<f64>,
    /// The value at size 1.
    pub coefficient: f64,
    /// Ratio of the variance of the values' logarithms that the power law explains.
    pub r_squared: f64,
    /// Number of points that the power law was fitted to.
    pub points: usize,
}

/// Fits a power law to points of a size and a value. Points that are not above zero have no logarithm and are
/// left out. `None` if fewer than two points remain or all of them have the same size.
pub fn power_law(points: &[(f64, f64)]) -> Option<Fit> {
    let positive = points.iter().filter(|(size, value)| *size > 0.0 && *value > 0.0);
    let logs: Vec<(f64, f64)> = positive.map(|(size, value)| (size.ln(), value.ln())).collect();
    let count = logs.len() as f64;
    if logs.len() < 2 {
        return None;
    }
    let mean_size = logs.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_value = logs.iter().map(|point| point.1).sum::<f64>() / count;
    let size_squares: f64 = logs.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
    let products: f64 = logs.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
    let value_squares: f64 = logs.iter().map(|point| (point.1 - mean_value).powi(2)).sum();
    if size_squares <= 0.0 {
        return None;
    }
    let order = products / size_squares;
    let intercept = mean_value - order * mean_size;
    let residual_squares: f64 =
        logs.iter().map(|point| (point.1 - intercept - order * point.0).powi(2)).sum();
    let order_error = (logs.len() > 2).then(|| (residual_squares / (count - 2.0) / size_squares).sqrt());
    let r_squared = if value_squares > 0.0 { 1.0 - residual_squares / value_squares } else { 1.0 };
    Some(Fit { order, order_error, coefficient: intercept.exp(), r_squared, points: logs.len() })
}
