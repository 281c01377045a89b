use super::*;

#[test]
fn clock_starts_at_unix_time_and_is_monotonic() {
    let clock = Clock::start();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64;
    let mut before = clock.now();
    assert!(before.0.abs_diff(unix) < 5_000_000);
    for _ in 0..1000 {
        let now = clock.now();
        assert!(now >= before);
        before = now;
    }
}

#[test]
fn past_timestamp_is_due_and_largest_is_in_the_future() {
    let clock = Clock::start();
    assert!(clock.instant(Timestamp(0)) <= tokio::time::Instant::now());
    assert!(clock.instant(Timestamp(u64::MAX)) > tokio::time::Instant::now());
}
