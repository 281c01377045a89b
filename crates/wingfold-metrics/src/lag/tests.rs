//! A lag is detected by a gap in the reports, and its end by the reports that catch up.

use super::*;

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

fn duration(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

#[test]
fn lag_begins_with_a_gap_and_ends_when_reports_catch_up() {
    let mut lag = LagEstimator::new(duration(1.0));
    let report = |lag: &mut LagEstimator, now: f64, second: u32| {
        // Host 1 has attempts in every third period only; the reports of a period arrive at different times.
        for (host, delay_s) in [(0, 0.0), (2, 0.1), (3, 0.2), (1, 0.5)] {
            if host != 1 || second.is_multiple_of(3) {
                lag.record(at(now + delay_s), 9.0);
            }
        }
    };
    for second in 1..200 {
        report(&mut lag, f64::from(second) + 0.4, second);
    }
    assert!(lag.secs() < 1.2, "{}", lag.secs());
    // From second 200 on, all reports arrive three seconds later than before.
    for second in 200..215 {
        report(&mut lag, f64::from(second) + 3.4, second);
    }
    assert!((1.7..=3.8).contains(&lag.secs()), "{}", lag.secs());
    // The reports of four seconds arrive at once: the delay is back to what it was before.
    for second in 215..219 {
        report(&mut lag, 218.4, second);
    }
    for second in 219..224 {
        report(&mut lag, f64::from(second) + 0.4, second);
    }
    assert!(lag.secs() < 1.2, "{}", lag.secs());
    // No reports for 30 s are no lag: these reports are lost.
    for second in 254..260 {
        report(&mut lag, f64::from(second) + 0.4, second);
    }
    assert!(lag.secs() < 1.2, "{}", lag.secs());
}
