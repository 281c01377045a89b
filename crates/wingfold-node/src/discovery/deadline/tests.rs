use super::*;

const LIMITS: CallTimeLimits = CallTimeLimits {
    response_time: Duration::from_millis(2000),
    max_stall_time: Duration::from_millis(1000),
    max_response_time: Duration::from_millis(6000),
};

/// Milliseconds after the request at which the first and the latest data arrived, and the longest gap.
type Arrivals = (u64, u64, u64);

/// Checks, for a call with this wait, after how many milliseconds and why the call is overdue.
#[track_caller]
fn assert_overdue(wait_ms: u64, arrivals: Option<Arrivals>, overdue_ms: u64, reason: OverdueReason) {
    let sent_at = Instant::now();
    let after = |ms: u64| sent_at + Duration::from_millis(ms);
    let deadline = CallDeadline { sent_at, wait: Duration::from_millis(wait_ms), limits: LIMITS };
    let received = arrivals.map(|(first_ms, last_ms, gap_ms)| Received {
        first_at: after(first_ms),
        last_at: after(last_ms),
        longest_gap: Duration::from_millis(gap_ms),
        body_bytes: 7,
    });
    assert_eq!(deadline.overdue_reason(received, after(overdue_ms - 1)), None);
    assert_eq!(deadline.overdue_reason(received, after(overdue_ms)), Some(reason));
    assert_eq!(deadline.overdue_at(received), after(overdue_ms));
}

#[test]
fn a_response_that_does_not_begin_is_overdue_after_the_response_time() {
    assert_overdue(0, None, 2000, OverdueReason::NotBegun);
    assert_overdue(5000, None, 7000, OverdueReason::NotBegun);
}

#[test]
fn a_response_that_stops_arriving_is_overdue_soon() {
    assert_overdue(0, Some((10, 20, 10)), 2000, OverdueReason::Stalled(7));
    assert_overdue(0, Some((10, 1500, 100)), 2000, OverdueReason::Stalled(7));
    assert_overdue(0, Some((10, 1900, 100)), 2400, OverdueReason::Stalled(7));
    // Two of the longest gap seen so far are allowed, up to a limit.
    assert_overdue(0, Some((10, 1900, 300)), 2500, OverdueReason::Stalled(7));
    assert_overdue(0, Some((10, 1900, 1890)), 2900, OverdueReason::Stalled(7));
    // A watch whose response begins before its wait ends is not given the rest of the wait.
    assert_overdue(5000, Some((300, 400, 100)), 2300, OverdueReason::Stalled(7));
}

#[test]
fn a_response_that_goes_on_arriving_is_overdue_after_the_longest_response_time() {
    assert_overdue(0, Some((10, 5900, 100)), 6000, OverdueReason::Incomplete(7));
    assert_overdue(5000, Some((300, 6200, 600)), 6300, OverdueReason::Incomplete(7));
    assert_overdue(5000, Some((6500, 10_900, 300)), 11_000, OverdueReason::Incomplete(7));
}

#[test]
fn a_call_is_silent_since_its_wait_ended_or_since_the_latest_data() {
    let sent_at = Instant::now();
    let deadline = CallDeadline { sent_at, wait: Duration::from_secs(5), limits: LIMITS };
    assert_eq!(deadline.silent_since(None), sent_at + Duration::from_secs(5));
    let last_at = sent_at + Duration::from_secs(3);
    let received = Received { first_at: sent_at, last_at, longest_gap: Duration::ZERO, body_bytes: 0 };
    assert_eq!(deadline.silent_since(Some(received)), last_at);
}
