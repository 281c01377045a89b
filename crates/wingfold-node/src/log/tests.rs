use super::*;

#[test]
fn rate_limited_log_bounds_lines_and_counts_suppressed_ones() {
    let (limited_log, start) = (RateLimitedLog::default(), Instant::now());
    let after = |secs: u64| limited_log.allow_line_at(start + Duration::from_secs(secs));
    let written = (0..1000).filter(|_| after(1).is_some()).count();
    assert_eq!(written, MAX_LINES_PER_WINDOW as usize);
    assert_eq!(after(12), Some(1000 - u64::from(MAX_LINES_PER_WINDOW)));
    assert_eq!(after(12), Some(0));
}

#[test]
fn sanitized_text_is_short_and_on_one_line() {
    assert_eq!(sanitize("a\nb\u{1b}c"), "a b c");
    assert_eq!(sanitize(&"x".repeat(200)), "x".repeat(200));
    assert_eq!(sanitize(&"ü".repeat(1 << 20)), format!("{}...", "ü".repeat(200)));
}
