//! The estimates of an experiment.

use wingfold_emulator::estimate::Estimate;

#[test]
fn a_mean_has_the_interval_of_students_distribution() {
    let mean = Estimate::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert_eq!((mean.mean, mean.median, mean.count), (3.0, 3.0, 5));
    // 2.776 is the 97.5 % point of four degrees of freedom.
    assert!((mean.half_width - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3, "{}", mean.half_width);
    assert!(Estimate::of(&[1.0]).half_width.is_infinite());
}
