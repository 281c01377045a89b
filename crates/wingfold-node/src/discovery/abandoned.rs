//! Abandoned calls whose response had begun to arrive. The responses are read to their end, because changes
//! that discovery has written count as notified.

use super::call::{Call, CallResult};
use std::future::poll_fn;
use std::task::{Context, Poll};

/// Limit on the abandoned calls: one of a watch and one of a fetch. There are more only if the address of
/// discovery changes repeatedly; the oldest calls are then dropped.
const MAX_ABANDONED_CALLS: usize = 2;

/// A call that was abandoned while its response arrived.
pub struct AbandonedCall {
    /// The call.
    pub call: Call,
    /// The list version that was cached when the call was abandoned.
    pub cached_version: Option<u64>,
}

/// The response to an abandoned call.
pub struct LateResponse {
    /// The result of the call.
    pub result: CallResult,
    /// The list version that was cached when the call was abandoned.
    pub cached_version: Option<u64>,
}

/// The abandoned calls whose responses are still being read, oldest first.
#[derive(Default)]
pub struct AbandonedCalls {
    calls: Vec<AbandonedCall>,
}

impl AbandonedCalls {
    /// Adds a call; drops the oldest call if the limit is reached.
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

    /// Whether there are no abandoned calls.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Waits for the next response and removes its call. Dropping the future loses no response.
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
