//! Late calls: calls that are no longer waited for, but whose responses are still read. An overdue call has
//! been reported as failed, and is repeated meanwhile; its response may nevertheless be the first to arrive.
//! An abandoned call was replaced, or its discovery is no longer in use; changes that discovery has written
//! count as notified.

use super::call::{Call, CallResult};
use std::future::{pending, poll_fn};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Limit on the late calls. The latest calls are repeated a few seconds apart, so that each is read for a
/// while; the oldest stays until it expires.
const MAX_LATE_CALLS: usize = 3;
/// Largest number of doublings of the time that late calls may stay silent.
const MAX_PATIENCE_DOUBLINGS: u32 = 10;

/// Why a call is late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LateCallKind {
    /// A call of the watch was overdue.
    OverdueWatch,
    /// A call for the complete list beside the watch was overdue.
    OverdueFetch,
    /// The call was abandoned.
    Abandoned,
}

/// A call that is no longer waited for.
pub struct LateCall {
    /// The call.
    pub call: Call,
    /// Why it is late.
    pub kind: LateCallKind,
    /// The list version that was cached when the call became late.
    pub cached_version: Option<u64>,
}

/// The response to a late call.
pub struct LateResponse {
    /// The result of the call.
    pub result: CallResult,
    /// The call.
    pub late: LateCall,
}

/// The late calls, oldest first.
pub struct LateCalls {
    calls: Vec<LateCall>,
    /// How long a late call may stay silent at first.
    base_patience: Duration,
    /// How often a late call has expired since the last response was accepted. Each time doubles the patience,
    /// so that a response is heard at last however long discovery takes.
    expirations: u32,
}

impl LateCalls {
    /// Creates an empty collection whose calls may stay silent for `base_patience` at first.
    pub fn new(base_patience: Duration) -> LateCalls {
        LateCalls { calls: Vec::new(), base_patience, expirations: 0 }
    }

    /// Adds a call. If the limit is reached, a call gives way, or the new call is dropped.
    pub fn push(&mut self, late: LateCall) {
        if self.calls.len() < MAX_LATE_CALLS {
            self.calls.push(late);
        } else if let Some(index) = self.replaceable() {
            self.calls.remove(index);
            self.calls.push(late);
        }
    }

    /// The call that gives way to a newer one: one whose response has not begun, the oldest last, since only
    /// its age shows how long discovery takes to begin; else an abandoned one.
    fn replaceable(&self) -> Option<usize> {
        let oldest_last = (1..self.calls.len()).chain([0]);
        let not_begun = oldest_last.into_iter().find(|&index| !self.calls[index].call.has_response_begun());
        not_begun.or_else(|| self.calls.iter().position(|late| late.kind == LateCallKind::Abandoned))
    }

    /// Drops all calls, because a call that was made after all of them has been answered.
    pub fn clear(&mut self) {
        self.expirations = 0;
        self.calls.clear();
    }

    /// Drops the calls that were made before `answered`, because that call has been answered, and those whose
    /// response has not begun.
    pub fn drop_before(&mut self, answered: &Call) {
        self.expirations = 0;
        let is_newer = |late: &LateCall| late.call.sent_at() > answered.sent_at();
        self.calls.retain(|late| is_newer(late) && late.call.has_response_begun());
    }

    /// Removes a call of this kind that is no longer overdue, because its response has begun or goes on.
    pub fn take_recovered(&mut self, kind: LateCallKind) -> Option<Call> {
        let is_recovered = |late: &LateCall| late.kind == kind && late.call.overdue_reason().is_none();
        let index = self.calls.iter().position(is_recovered)?;
        Some(self.calls.remove(index).call)
    }

    /// Makes all calls abandoned ones; drops those whose response has not begun.
    pub fn abandon_all(&mut self) {
        self.expirations = 0;
        self.calls.retain(|late| late.call.has_response_begun());
        for late in &mut self.calls {
            late.kind = LateCallKind::Abandoned;
        }
    }

    /// Waits for the next response and removes its call; drops calls that expire. Dropping the future loses no
    /// response.
    pub async fn next_response(&mut self) -> LateResponse {
        loop {
            let Some(expires_at) = self.next_expiration() else { return pending().await };
            let response = poll_fn(|context| self.poll_next_response(context));
            match timeout_at(expires_at.into(), response).await {
                Ok(response) => return response,
                Err(_) => self.drop_expired(Instant::now()),
            }
        }
    }

    fn poll_next_response(&mut self, context: &mut Context<'_>) -> Poll<LateResponse> {
        for index in 0..self.calls.len() {
            let response = self.calls[index].call.response();
            if let Poll::Ready(result) = response.as_mut().poll(context) {
                return Poll::Ready(LateResponse { result, late: self.calls.remove(index) });
            }
        }
        Poll::Pending
    }

    /// How long a late call may stay silent.
    fn patience(&self) -> Duration {
        self.base_patience * 2u32.pow(self.expirations.min(MAX_PATIENCE_DOUBLINGS))
    }

    fn next_expiration(&self) -> Option<Instant> {
        self.calls.iter().map(|late| late.call.silent_since() + self.patience()).min()
    }

    fn drop_expired(&mut self, now: Instant) {
        let patience = self.patience();
        let count_before = self.calls.len();
        self.calls.retain(|late| now < late.call.silent_since() + patience);
        if self.calls.len() < count_before {
            self.expirations += 1;
        }
    }
}
