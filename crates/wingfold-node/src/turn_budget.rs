//! Bounds the work that connections cause between two polls of the other tasks.
//!
//! All tasks share one thread and are polled in turn. A connection that has much to read would keep the
//! engine, discovery and the other connections waiting, and many of them would add up. So a connection reads
//! [`SLICE_BYTES`] before the other tasks get their turn, and all connections share a [`TurnBudget`] for
//! everything beyond [`FREE_BYTES`].
//!
//! Clients share one budget, in the order of asking. Connections that have not named a client share another,
//! and have [`FREE_BYTES`] only once. They are served by age, each as if it had been accepted
//! [`DELAY_PER_UNIT`] later for each unit of work that it needs. So whoever needs little passes those that need
//! much, and whoever needs much is passed by younger connections for a bounded time only. A connection goes
//! behind the others if nothing was done for it until its deadline is too close: the work would be wasted. So of
//! more long messages than the director can read in time, as many as possible are read whole.

mod account;
mod queue;
mod sliced_reader;

pub use account::BudgetAccount;
pub use sliced_reader::SlicedReader;

use self::queue::Queue;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Bytes that a connection reads before the other tasks get their turn.
pub const SLICE_BYTES: usize = 8 << 10;
/// Bytes that a connection may read before it pays. A message has some hundred bytes.
const FREE_BYTES: usize = 1 << 10;
/// Units that connections without a client may have between two turns of the other tasks.
const UNIDENTIFIED_UNITS: u64 = 16;
/// Units that identified clients may have between two turns of the other tasks.
const CLIENT_UNITS: u64 = 64;
/// How much later a connection is served for each unit of work that it needs. The longest message (128 units)
/// must leave most of the time for identification.
const DELAY_PER_UNIT: Duration = Duration::from_millis(2);

/// Time before the deadline of a connection that each unit of its work is given.
const TIME_PER_UNIT: Duration = Duration::from_millis(4);
/// How much later a connection is served if its work begins too late: behind all that begin in time.
const DELAY_OF_LATE_START: Duration = Duration::from_secs(1);

/// A kind of work, with its price in units: one unit pays for reading [`SLICE_BYTES`].
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Reading one more slice.
    Slice,
    /// Writing the answer to a `PING`.
    Pong,
    /// Answering an HTTP request: the text of all metrics is the longest answer.
    HttpResponse,
}

impl Work {
    fn units(self) -> u64 {
        match self {
            Work::Slice | Work::Pong => 1,
            Work::HttpResponse => 4,
        }
    }
}

/// The work that a group of connections may do between two turns of the other tasks.
#[derive(Clone, Debug)]
pub struct TurnBudget {
    units_per_turn: u64,
    queue: Arc<Mutex<Queue>>,
    was_used: Arc<Notify>,
}

impl TurnBudget {
    /// Creates the budget of connections that have not named a client.
    pub fn for_unidentified() -> TurnBudget {
        TurnBudget::new(UNIDENTIFIED_UNITS)
    }

    /// Creates the budget of identified clients.
    pub fn for_clients() -> TurnBudget {
        TurnBudget::new(CLIENT_UNITS)
    }

    /// Creates a full budget. It is refilled only while [`refill`](Self::refill) runs.
    fn new(units_per_turn: u64) -> TurnBudget {
        let queue = Arc::new(Mutex::new(Queue::new(units_per_turn)));
        TurnBudget { units_per_turn, queue, was_used: Arc::default() }
    }

    /// Opens the account of a connection that has just been accepted and must name its client by `deadline`, or
    /// of an identified client, which has no deadline.
    pub fn open_account(&self, deadline: Option<Instant>) -> BudgetAccount {
        BudgetAccount::new(self.clone(), deadline)
    }

    /// Fills the budget again each time the other tasks have had their turn; never returns.
    pub async fn refill(&self) {
        loop {
            self.was_used.notified().await;
            yield_now().await;
            self.queue().refill(self.units_per_turn);
        }
    }

    /// Locks the queue, ignoring poisoning: each critical section leaves it consistent.
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
