//! Power laws through measured points, by least squares on logarithms.

use serde::Serialize;

/// `value = coefficient * size ^ order`.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    /// The order of growth.
    pub order: f64,
    /// Its standard error; nothing where two points leave none.
    pub order_error: Option<f64>,
    /// The value at size 1.
    pub coefficient: f64,
    /// Share of the variance that the law explains.
    pub r_squared: f64,
    /// How many points there were.
    pub points: usize,
}

/// The law through points of a size and a value; points that are not above zero have no logarithm and are left out.
pub fn power_law(points: &[(f64, f64)]) -> Option<Fit> {
    let positive = points.iter().filter(|(size, value)| *size > 0.0 && *value > 0.0);
    let logs: Vec<(f64, f64)> = positive.map(|(size, value)| (size.ln(), value.ln())).collect();
    let count = logs.len() as f64;
    if logs.len() < 2 {
        return None;
    }
    let mean_size = logs.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_value = logs.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = logs.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
    let common: f64 = logs.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
    let total: f64 = logs.iter().map(|point| (point.1 - mean_value).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let order = common / spread;
    let start = mean_value - order * mean_size;
    let left: f64 = logs.iter().map(|point| (point.1 - start - order * point.0).powi(2)).sum();
    let order_error = (logs.len() > 2).then(|| (left / (count - 2.0) / spread).sqrt());
    let r_squared = if total > 0.0 { 1.0 - left / total } else { 1.0 };
    Some(Fit { order, order_error, coefficient: start.exp(), r_squared, points: logs.len() })
}
