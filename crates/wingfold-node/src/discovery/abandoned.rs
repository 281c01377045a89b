//! Abandoned calls whose response had begun. They are read to their end: what discovery has written counts as notified.

use super::call::{Call, CallResult};
use std::future::poll_fn;
use std::task::{Context, Poll};

/// More than one watch and one fetch at a time means that discovery moves again and again; the oldest are dropped.
const MAX_ABANDONED_CALLS: usize = 2;

/// A call that was abandoned while its response arrived.
pub struct AbandonedCall {
    /// The call.
    pub call: Call,
    /// The version that was cached when it was abandoned.
    pub cached_version: Option<u64>,
}

/// The response to an abandoned call.
pub struct LateResponse {
    /// The end of the call.
    pub result: CallResult,
    /// The version that was cached when the call was abandoned.
    pub cached_version: Option<u64>,
}

/// The abandoned calls that are still read, oldest first.
#[derive(Default)]
pub struct AbandonedCalls {
    calls: Vec<AbandonedCall>,
}

impl AbandonedCalls {
    /// Adds a call; the oldest is dropped where there are too many.
    pub fn push(&mut self, call: AbandonedCall) {
        if self.calls.len() == MAX_ABANDONED_CALLS {
            self.calls.remove(0);
        }
        self.calls.push(call);
    }

    /// Drops all calls.
    pub fn clear(&mut self) {
        self.calls.clear();
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Waits for the first response and takes its call off. Dropping the future loses nothing.
    pub async fn next_response(&mut self) -> LateResponse {
        poll_fn(|context| self.poll_next_response(context)).await
    }

    fn poll_next_response(&mut self, context: &mut Context<'_>) -> Poll<LateResponse> {
        for index in 0..self.calls.len() {
            let response = self.calls[index].call.response();
            if let Poll::Ready(result) = response.as_mut().poll(context) {
                let cached_version = self.calls.remove(index).cached_version;
                return Poll::Ready(LateResponse { result, cached_version });
            }
        }
        Poll::Pending
    }
}
