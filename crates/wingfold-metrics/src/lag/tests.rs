//! The lag begins with a gap and ends when reports catch up.

use super::*;

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

fn length(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

#[test]
fn lag_begins_with_a_gap_and_ends_when_more_than_usual_comes_at_once() {
    let mut lag = LagEstimator::new(length(1.0));
    let report = |lag: &mut LagEstimator, now: f64, second: u32| {
        // Host 1 has tries in some periods only; some sums come later than others.
        for (number, after) in [(0, 0.0), (2, 0.1), (3, 0.2), (1, 0.5)] {
            if number != 1 || second.is_multiple_of(3) {
                lag.record(at(now + after), 9.0);
            }
        }
    };
    for second in 1..200 {
        report(&mut lag, f64::from(second) + 0.4, second);
    }
    assert!(lag.secs() < 1.2, "{}", lag.secs());
    // From then on everything comes three seconds later.
    for second in 200..215 {
        report(&mut lag, f64::from(second) + 3.4, second);
    }
    assert!((1.7..=3.8).contains(&lag.secs()), "{}", lag.secs());
    // It catches up: what is due comes at once.
    for second in 215..219 {
        report(&mut lag, 218.4, second);
    }
    for second in 219..224 {
        report(&mut lag, f64::from(second) + 0.4, second);
    }
    assert!(lag.secs() < 1.2, "{}", lag.secs());
    // A cut of half a minute is no lag: what it held back is lost.
    for second in 254..260 {
        report(&mut lag, f64::from(second) + 0.4, second);
    }
    assert!(lag.secs() < 1.2, "{}", lag.secs());
}
