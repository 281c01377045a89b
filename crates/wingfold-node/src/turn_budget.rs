//! Bounds the work that connections cause between two polls of the other tasks.
//!
//! All tasks share one thread and are polled in turn. A connection that has much to read would keep the
//! engine, discovery and the other connections waiting, and many of them would add up. So a connection reads
//! [`SLICE_BYTES`] before the other tasks get their turn, and all connections that have not named a client
//! share a [`TurnBudget`] for everything beyond their first slice.

use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::{Notify, Semaphore};
use tokio::task::yield_now;
use tokio_util::sync::PollSemaphore;

/// Bytes that a connection reads before the other tasks get their turn. A read may exceed it by the size of
/// its buffer.
pub const SLICE_BYTES: usize = 8 << 10;
/// Units that a budget allows between two turns of the other tasks.
const UNITS_PER_TURN: usize = 16;

/// A kind of work, with its price in units: one unit pays for reading [`SLICE_BYTES`].
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Writing the answer to a `PING`.
    Pong,
    /// Answering an HTTP request: the text of all metrics is the longest answer.
    HttpResponse,
}

impl Work {
    fn units(self) -> u32 {
        match self {
            Work::Pong => 1,
            Work::HttpResponse => 4,
        }
    }
}

/// The work that a group of connections may do between two turns of the other tasks. Connections that find
/// it used up continue in the order in which they asked.
#[derive(Clone, Debug)]
pub struct TurnBudget {
    units: Arc<Semaphore>,
    was_used: Arc<Notify>,
}

impl TurnBudget {
    /// Creates a full budget. It is refilled only while [`refill`](Self::refill) runs.
    pub fn new() -> TurnBudget {
        TurnBudget { units: Arc::new(Semaphore::new(UNITS_PER_TURN)), was_used: Arc::default() }
    }

    /// Waits until the budget allows this work.
    pub async fn spend(&self, work: Work) {
        // The semaphore is never closed, so acquiring does not fail.
        if let Ok(units) = self.units.acquire_many(work.units()).await {
            units.forget();
        }
        self.was_used.notify_one();
    }

    /// Fills the budget again each time the other tasks have had their turn; never returns.
    pub async fn refill(&self) {
        loop {
            self.was_used.notified().await;
            yield_now().await;
            self.units.add_permits(UNITS_PER_TURN.saturating_sub(self.units.available_permits()));
        }
    }
}

/// Reads in slices: after each, the other tasks get their turn, and the next one is paid for from a budget
/// if the reader has one.
pub struct SlicedReader<R> {
    inner: R,
    /// Waits for the turn of the next slice.
    next_slice: NextSlice,
    /// Bytes read since the other tasks last had a turn.
    read_in_turn: usize,
}

/// How a reader waits for the turn of its next slice.
enum NextSlice {
    /// It pays from a budget.
    Paid { units: PollSemaphore, was_used: Arc<Notify> },
    /// It lets the other tasks run once; the future is set while it does.
    AfterYield(Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>),
}

impl<R> SlicedReader<R> {
    /// Creates a reader that pays for every slice but the first.
    pub fn new(inner: R, budget: &TurnBudget) -> Self {
        let units = PollSemaphore::new(budget.units.clone());
        let next_slice = NextSlice::Paid { units, was_used: budget.was_used.clone() };
        SlicedReader { inner, next_slice, read_in_turn: 0 }
    }

    /// Stops paying: the connection has named its client.
    pub fn leave_budget(&mut self) {
        self.next_slice = NextSlice::AfterYield(None);
    }
}

impl NextSlice {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        match self {
            NextSlice::Paid { units, was_used } => {
                if let Some(unit) = ready!(units.poll_acquire(context)) {
                    unit.forget();
                }
                was_used.notify_one();
            }
            NextSlice::AfterYield(pending) => {
                let turn = pending.get_or_insert_with(|| Box::pin(yield_now()));
                ready!(turn.as_mut().poll(context));
                *pending = None;
            }
        }
        Poll::Ready(())
    }
}

impl<R: fmt::Debug> fmt::Debug for SlicedReader<R> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.debug_struct("SlicedReader").field("inner", &self.inner).finish_non_exhaustive()
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for SlicedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_in_turn >= SLICE_BYTES {
            ready!(self.next_slice.poll(context));
            self.read_in_turn = 0;
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        match result {
            Poll::Pending => self.read_in_turn = 0,
            Poll::Ready(_) => self.read_in_turn += buffer.filled().len() - filled_before,
        }
        result
    }
}

#[cfg(test)]
mod tests;
