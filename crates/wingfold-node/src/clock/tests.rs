use super::*;

#[test]
fn time_is_unix_time_and_never_goes_back() {
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
fn a_time_long_past_is_due_at_once() {
    let clock = Clock::start();
    assert!(clock.instant(Timestamp(0)) <= tokio::time::Instant::now());
    assert!(clock.instant(Timestamp(u64::MAX)) > tokio::time::Instant::now());
}
