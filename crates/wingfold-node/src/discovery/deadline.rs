//! How long a call to discovery is waited for. A response that does not begin, or stops arriving, is given up
//! on soon, so that the call can be repeated; a response that goes on arriving has more time.

use crate::config::Bounds;
use crate::http::Received;
use std::time::{Duration, Instant};

/// How many times the longest gap of a response so far may pass without data before it counts as stopped: its
/// pieces do not come at equal intervals.
const STALL_GAPS: u32 = 2;

/// Why a call is overdue. The call itself goes on: its response may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum OverdueReason {
    /// No response has begun.
    #[error("no response has begun in time")]
    NotBegun,
    /// The response has begun, and no more of it arrives.
    #[error("the response stopped arriving after {0} bytes")]
    Stalled(usize),
    /// The response goes on arriving, but has taken too long.
    #[error("the response is not complete in time, {0} bytes have arrived")]
    Incomplete(usize),
}

/// The limits of time of a call to discovery.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeLimits {
    /// Time for a response to begin, and the least time for it to arrive.
    pub response_time: Duration,
    /// Longest time without any data after which a response that has begun counts as stopped. Half of it is
    /// allowed in any case, and more if the response has had longer gaps.
    pub max_stall_time: Duration,
    /// Time for a response that goes on arriving.
    pub max_response_time: Duration,
}

impl CallTimeLimits {
    /// The limits that the bounds of the transport set.
    pub fn new(bounds: &Bounds) -> CallTimeLimits {
        CallTimeLimits {
            response_time: bounds.list_response_time,
            max_stall_time: bounds.max_list_stall_time,
            max_response_time: bounds.max_list_response_time,
        }
    }
}

/// When a call becomes overdue.
#[derive(Clone, Copy, Debug)]
pub struct CallDeadline {
    /// When the request is sent.
    pub sent_at: Instant,
    /// How long discovery was asked to wait for changes.
    pub wait: Duration,
    /// The limits of time.
    pub limits: CallTimeLimits,
}

impl CallDeadline {
    /// When the call becomes overdue if nothing arrives after what has been received.
    pub fn overdue_at(&self, received: Option<Received>) -> Instant {
        let Some(received) = received else {
            return self.wait_ends_at() + self.limits.response_time;
        };
        let began_at = received.first_at.min(self.wait_ends_at());
        let least = began_at + self.limits.response_time;
        let while_arriving = self.stalled_at(received);
        let most = began_at + self.limits.max_response_time;
        least.max(while_arriving).min(most)
    }

    /// Why the call is overdue at `now`; `None` if it is not.
    pub fn overdue_reason(&self, received: Option<Received>, now: Instant) -> Option<OverdueReason> {
        if now < self.overdue_at(received) {
            return None;
        }
        let Some(received) = received else { return Some(OverdueReason::NotBegun) };
        Some(if now >= self.stalled_at(received) {
            OverdueReason::Stalled(received.body_bytes)
        } else {
            OverdueReason::Incomplete(received.body_bytes)
        })
    }

    /// Since when nothing has arrived that was to arrive.
    pub fn silent_since(&self, received: Option<Received>) -> Instant {
        received.map_or(self.wait_ends_at(), |received| received.last_at)
    }

    /// When the response counts as stopped if nothing arrives after what has been received.
    fn stalled_at(&self, received: Received) -> Instant {
        let most = self.limits.max_stall_time;
        received.last_at + (received.longest_gap * STALL_GAPS).clamp(most / 2, most)
    }

    /// When discovery is to respond at the latest, whether there are changes or not.
    fn wait_ends_at(&self) -> Instant {
        self.sent_at + self.wait
    }
}

#[cfg(test)]
mod tests;
