//! The director's clock: Unix time read once at the start, plus the monotonic time elapsed since then. It
//! never goes back, even if the system's clock is changed, and its values can be compared with the Unix times
//! that discovery gives for the starts of hosts.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wingfold_director::interface::{Micros, Timestamp};

/// Time after the start at which a timer wakes whose own time lies beyond the range of [`Instant`]; the
/// engine then computes its instant again.
const FAR_FUTURE: Duration = Duration::from_secs(24 * 60 * 60);

/// The director's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at the start, in microseconds.
    started_at_us: u64,
    started: Instant,
}

impl Clock {
    /// Starts the clock at the system's Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at_us: unix.as_micros() as u64, started: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.started_at_us + self.started.elapsed().as_micros() as u64)
    }

    /// Converts a timestamp to an instant on the runtime's clock. A timestamp before the start gives the
    /// instant of the start.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        let after_start = Duration::from_micros(at.0.saturating_sub(self.started_at_us));
        let instant = self.started.checked_add(after_start);
        instant.unwrap_or_else(|| self.started + FAR_FUTURE).into()
    }
}

/// A duration in the decision module's unit.
pub fn micros(duration: Duration) -> Micros {
    Micros(duration.as_micros() as u64)
}

#[cfg(test)]
mod tests;
