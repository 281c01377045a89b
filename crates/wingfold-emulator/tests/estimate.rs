//! Estimates of a mean with its confidence interval.

use wingfold_emulator::estimate::Estimate;

#[test]
fn confidence_interval_follows_students_t_distribution() {
    let estimate = Estimate::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert_eq!((estimate.mean, estimate.median, estimate.count), (3.0, 3.0, 5));
    // 2.776 is the 97.5 % quantile of Student's t-distribution with four degrees of freedom.
    assert!((estimate.half_width - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3, "{}", estimate.half_width);
    assert!(Estimate::of(&[1.0]).half_width.is_infinite());
}
