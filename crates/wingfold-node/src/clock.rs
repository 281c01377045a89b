//! The time: Unix time read once at the start, and monotonic time since then. It never goes back, whatever is
//! done to the system's clock, and a host's start that discovery tells in Unix time lies on the same scale.

use std::time::{Instant, SystemTime, UNIX_EPOCH};
use wingfold_director::interface::Timestamp;

/// Tells the time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: u64,
    started: Instant,
}

impl Clock {
    /// Reads the system's clocks.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_micros() as u64, started: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.unix + self.started.elapsed().as_micros() as u64)
    }

    /// When a time falls due on the runtime's clock; one that has passed is due at once.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        let after = std::time::Duration::from_micros(at.0.saturating_sub(self.unix));
        let due = self.started.checked_add(after);
        // A time beyond what can be told apart is as good as a day away: the sleeper looks again then.
        due.unwrap_or_else(|| self.started + std::time::Duration::from_secs(86_400)).into()
    }
}

#[cfg(test)]
mod tests;
