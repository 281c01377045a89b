//! Times as operators read and write them.

use std::time::{Duration, UNIX_EPOCH};
use thiserror::Error;
use wingfold_director::interface::{Micros, Timestamp};

/// Microseconds in a day.
const DAY_US: u64 = 86_400_000_000;

/// Times before this are no Unix times: the clock of an emulated day begins at 0.
const FIRST_UNIX_TIME_US: u64 = 10_000 * DAY_US;

const SECONDS_PER_HOUR: f64 = 3600.0;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// A text that is no time.
#[derive(Debug, Error)]
#[error("`{text}` is no time: 2026-11-30T03:12:05Z, 03:12:05, +90s after the start, or seconds are expected")]
pub struct TimeError {
    text: String,
}

/// A time as people write it, with its day only if the clock is the world's.
pub fn time(at: Timestamp) -> String {
    if at.0 < FIRST_UNIX_TIME_US {
        return format!("{:.3}s", at.secs());
    }
    let unix = UNIX_EPOCH + Duration::from_micros(at.0);
    humantime::format_rfc3339_millis(unix).to_string()
}

/// Reads a time: `2026-11-30T03:12:05Z`, `03:12:05` on the day of the capture's start (UTC; the next day if that has
/// passed by then), `+90s` after the start, or seconds of the capture's own clock.
pub fn parse_time(text: &str, start: Timestamp) -> Result<Timestamp, TimeError> {
    let parsed = if let Some(after) = text.strip_prefix('+') {
        parse_offset(after, start)
    } else if let Ok(seconds) = text.trim_end_matches('s').parse::<f64>() {
        (seconds >= 0.0).then(|| Timestamp::from_secs(seconds))
    } else if let Ok(time) = humantime::parse_rfc3339_weak(text) {
        let unix = time.duration_since(UNIX_EPOCH).ok();
        unix.map(|unix| Timestamp(unix.as_micros() as u64))
    } else {
        parse_time_of_day(text).map(|time_of_day| next_after_start(time_of_day, start))
    };
    parsed.ok_or_else(|| TimeError { text: text.to_string() })
}

fn parse_offset(text: &str, start: Timestamp) -> Option<Timestamp> {
    let offset = humantime::parse_duration(text).ok()?;
    Some(Timestamp(start.0 + offset.as_micros() as u64))
}

/// Reads hours, minutes and, if they are there, seconds.
fn parse_time_of_day(text: &str) -> Option<Micros> {
    let parts: Vec<f64> = text.split(':').map(str::parse).collect::<Result<_, _>>().ok()?;
    let (hours, minutes, seconds) = match parts[..] {
        [hours, minutes] => (hours, minutes, 0.0),
        [hours, minutes, seconds] => (hours, minutes, seconds),
        _ => return None,
    };
    let is_valid =
        (0.0..24.0).contains(&hours) && (0.0..60.0).contains(&minutes) && (0.0..61.0).contains(&seconds);
    is_valid.then(|| Micros::from_secs(hours * SECONDS_PER_HOUR + minutes * SECONDS_PER_MINUTE + seconds))
}

/// A time of the day on which a capture starts, or of the next day: a capture that starts at 23:50 has its 03:12 there.
fn next_after_start(time_of_day: Micros, start: Timestamp) -> Timestamp {
    let at = start.0 - start.0 % DAY_US + time_of_day.0;
    let is_next_day = at + DAY_US / 2 < start.0;
    Timestamp(if is_next_day { at + DAY_US } else { at })
}

#[cfg(test)]
mod tests;
