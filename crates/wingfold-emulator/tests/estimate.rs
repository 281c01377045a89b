//! Estimates of a mean.

use wingfold_emulator::estimate::Estimate;

#[test]
fn a_mean_has_the_interval_of_students_distribution() {
    let estimate = Estimate::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert_eq!((estimate.mean, estimate.median, estimate.count), (3.0, 3.0, 5));
    // 2.776 is the 97.5 % point of four degrees of freedom.
    assert!((estimate.half_width - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3, "{}", estimate.half_width);
    assert!(Estimate::of(&[1.0]).half_width.is_infinite());
}
