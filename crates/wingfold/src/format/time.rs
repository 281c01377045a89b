//! Formats and parses times.

use std::time::{Duration, UNIX_EPOCH};
use thiserror::Error;
use wingfold_director::interface::{Micros, Timestamp};

/// Microseconds in a day.
const DAY_US: u64 = 86_400_000_000;

/// Earlier times are not Unix times: the clock of an emulated run starts at 0.
const FIRST_UNIX_TIME_US: u64 = 10_000 * DAY_US;

const SECONDS_PER_HOUR: f64 = 3600.0;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// A text that cannot be parsed as a time.
#[derive(Debug, Error)]
#[error(
    "`{text}` is not a time: expected 2026-11-30T03:12:05Z, 03:12:05, +90s (after the capture's start) or \
     seconds"
)]
pub struct TimeError {
    text: String,
}

/// A Unix time in RFC 3339 format, or the seconds of an emulated clock.
pub fn time(at: Timestamp) -> String {
    if at.0 < FIRST_UNIX_TIME_US {
        return format!("{:.3}s", at.secs());
    }
    let unix = UNIX_EPOCH + Duration::from_micros(at.0);
    humantime::format_rfc3339_millis(unix).to_string()
}

/// Parses a time: `2026-11-30T03:12:05Z`; `03:12:05` (UTC) on the day of the capture's start, or on the next
/// day if it would be more than 12 hours before the start; `+90s` after the start; or seconds of the
/// capture's clock.
pub fn parse_time(text: &str, start: Timestamp) -> Result<Timestamp, TimeError> {
    let parsed = if let Some(after) = text.strip_prefix('+') {
        parse_offset(after, start)
    } else if let Ok(seconds) = text.trim_end_matches('s').parse::<f64>() {
        (seconds >= 0.0).then(|| Timestamp::from_secs(seconds))
    } else if let Ok(time) = humantime::parse_rfc3339_weak(text) {
        let unix = time.duration_since(UNIX_EPOCH).ok();
        unix.map(|unix| Timestamp(unix.as_micros() as u64))
    } else {
        parse_time_of_day(text).map(|time_of_day| resolve_time_of_day(time_of_day, start))
    };
    parsed.ok_or_else(|| TimeError { text: text.to_string() })
}

fn parse_offset(text: &str, start: Timestamp) -> Option<Timestamp> {
    let offset = humantime::parse_duration(text).ok()?;
    Some(Timestamp(start.0 + offset.as_micros() as u64))
}

/// Parses `hours:minutes` or `hours:minutes:seconds` as the time since midnight.
fn parse_time_of_day(text: &str) -> Option<Micros> {
    let parts: Vec<f64> = text.split(':').map(str::parse).collect::<Result<_, _>>().ok()?;
    let (hours, minutes, seconds) = match parts[..] {
        [hours, minutes] => (hours, minutes, 0.0),
        [hours, minutes, seconds] => (hours, minutes, seconds),
        _ => return None,
    };
    // 60 seconds are valid, as in a leap second.
    let is_valid =
        (0.0..24.0).contains(&hours) && (0.0..60.0).contains(&minutes) && (0.0..61.0).contains(&seconds);
    is_valid.then(|| Micros::from_secs(hours * SECONDS_PER_HOUR + minutes * SECONDS_PER_MINUTE + seconds))
}

/// The given time of day on the day of a capture's start, or on the next day if it would be more than half a
/// day before the start: in a capture that starts at 23:50, 03:12 is on the next day.
fn resolve_time_of_day(time_of_day: Micros, start: Timestamp) -> Timestamp {
    let at = start.0 - start.0 % DAY_US + time_of_day.0;
    let is_next_day = at + DAY_US / 2 < start.0;
    Timestamp(if is_next_day { at + DAY_US } else { at })
}

#[cfg(test)]
mod tests;
