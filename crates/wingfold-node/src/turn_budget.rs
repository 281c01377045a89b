//! Bounds the work that connections cause between two polls of the other tasks.
//!
//! All tasks share one thread and are polled in turn. A connection that has much to read would keep the
//! engine, discovery and the other connections waiting, and many of them would add up. So a connection reads
//! [`SLICE_BYTES`] before the other tasks get their turn, and all connections that have not named a client
//! share a [`TurnBudget`] for everything beyond their first slice. They are served by age, each as if it had
//! been accepted [`DELAY_PER_UNIT`] later for each unit of work that it needs. So whoever needs little passes
//! those that need much, whoever needs much is passed by younger connections for a bounded time only, and of
//! more long messages than the director can read in time, the oldest are read whole.

mod sliced_reader;

pub use sliced_reader::SlicedReader;

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Bytes that a connection reads before the other tasks get their turn. A read may exceed it by the size of
/// its buffer.
pub const SLICE_BYTES: usize = 8 << 10;
/// Units that a budget allows between two turns of the other tasks.
const UNITS_PER_TURN: u64 = 16;
/// How much later a connection is served for each unit of work that it needs. The longest message (128 units)
/// must leave most of the time for identification.
const DELAY_PER_UNIT: Duration = Duration::from_millis(2);

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
    queue: Arc<Mutex<Queue>>,
    was_used: Arc<Notify>,
}

/// The units left in this turn, and the work that waits for units.
#[derive(Debug)]
struct Queue {
    free_units: u64,
    waiting: BTreeMap<Place, Waiter>,
    next_number: u64,
}

/// A place in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    /// When the connection was accepted, later by the work that it needs.
    rank: Instant,
    connection_id: u64,
    number: u64,
}

/// Work in the queue.
#[derive(Debug)]
struct Waiter {
    work: Work,
    waker: Waker,
    is_granted: bool,
}

/// The account of one connection at a budget.
#[derive(Clone, Debug)]
pub struct BudgetAccount {
    budget: TurnBudget,
    connection_id: u64,
    accepted_at: Instant,
    /// Bytes read, with the bytes that other work would have paid for.
    spent_bytes: Arc<AtomicU64>,
    /// Where the message under way ends, in bytes from the beginning of the connection.
    message_end: Arc<AtomicU64>,
}

impl TurnBudget {
    /// Creates a full budget. It is refilled only while [`refill`](Self::refill) runs.
    pub fn new() -> TurnBudget {
        let queue = Queue { free_units: UNITS_PER_TURN, waiting: BTreeMap::new(), next_number: 0 };
        TurnBudget { queue: Arc::new(Mutex::new(queue)), was_used: Arc::default() }
    }

    /// Opens the account of a connection that has just been accepted.
    pub fn open_account(&self, connection_id: u64) -> BudgetAccount {
        BudgetAccount {
            budget: self.clone(),
            connection_id,
            accepted_at: Instant::now(),
            spent_bytes: Arc::default(),
            message_end: Arc::default(),
        }
    }

    /// Fills the budget again each time the other tasks have had their turn; never returns.
    pub async fn refill(&self) {
        loop {
            self.was_used.notified().await;
            yield_now().await;
            let mut queue = self.queue();
            queue.free_units = UNITS_PER_TURN;
            queue.grant();
        }
    }

    /// Locks the queue, ignoring poisoning: each critical section leaves it consistent.
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Queue {
    /// Grants units to the first in the queue, as far as they last.
    fn grant(&mut self) {
        for waiter in self.waiting.values_mut().filter(|waiter| !waiter.is_granted) {
            let units = waiter.work.units();
            if units > self.free_units {
                return;
            }
            self.free_units -= units;
            waiter.is_granted = true;
            waiter.waker.wake_by_ref();
        }
    }
}

impl BudgetAccount {
    /// Waits until the budget allows this work.
    pub fn spend(&self, work: Work) -> Spending {
        Spending { account: self.clone(), work, place: None }
    }

    /// Records that a message has begun which ends after this number of bytes of the connection.
    pub fn set_message_end(&self, message_end: u64) {
        self.message_end.store(message_end, Ordering::Relaxed);
    }

    /// Records work that was paid for; a slice counts once it is read.
    fn add_spent(&self, work: Work) {
        match work {
            Work::Slice => {}
            Work::Pong | Work::HttpResponse => self.add_read(work.units() as usize * SLICE_BYTES),
        }
    }

    /// Records bytes that were read.
    fn add_read(&self, bytes: usize) {
        self.spent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// When the connection was accepted, later by the work that it will have caused once the message under
    /// way is complete.
    fn rank(&self) -> Instant {
        let spent_bytes = self.spent_bytes.load(Ordering::Relaxed);
        let needed_bytes = spent_bytes.max(self.message_end.load(Ordering::Relaxed));
        let units = u32::try_from(needed_bytes / SLICE_BYTES as u64).unwrap_or(u32::MAX);
        self.accepted_at + DELAY_PER_UNIT * units
    }
}

/// Waits until the budget allows some work.
#[derive(Debug)]
pub struct Spending {
    account: BudgetAccount,
    work: Work,
    /// The place in the queue while this waits.
    place: Option<Place>,
}

impl Spending {
    /// Joins the queue, and takes what it grants at once.
    fn join(&mut self, queue: &mut Queue, waker: &Waker) {
        let place = Place {
            rank: self.account.rank(),
            connection_id: self.account.connection_id,
            number: queue.next_number,
        };
        queue.next_number += 1;
        queue.waiting.insert(place, Waiter { work: self.work, waker: waker.clone(), is_granted: false });
        self.place = Some(place);
        queue.grant();
    }

    /// Leaves the queue with the units that were granted.
    fn leave(&mut self, queue: &mut Queue) {
        if let Some(place) = self.place.take() {
            queue.waiting.remove(&place);
        }
        self.account.add_spent(self.work);
    }
}

impl Future for Spending {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        let budget = this.account.budget.clone();
        let mut queue = budget.queue();
        if this.place.is_none() {
            this.join(&mut queue, context.waker());
            budget.was_used.notify_one();
        }
        if let Some(waiter) = this.place.and_then(|place| queue.waiting.get_mut(&place)) {
            if !waiter.is_granted {
                waiter.waker.clone_from(context.waker());
                return Poll::Pending;
            }
        }
        this.leave(&mut queue);
        Poll::Ready(())
    }
}

impl Drop for Spending {
    fn drop(&mut self) {
        let Some(place) = self.place else { return };
        let mut queue = self.account.budget.queue();
        let granted = queue.waiting.remove(&place).filter(|waiter| waiter.is_granted);
        if let Some(waiter) = granted {
            queue.free_units += waiter.work.units();
            queue.grant();
        }
    }
}

#[cfg(test)]
mod tests;
