//! Bounds the work that connections cause between two polls of the other tasks.
//!
//! All tasks share one thread and are polled in turn. A connection that has much to read would keep the
//! engine, discovery and the other connections waiting, and many of them would add up. So a connection reads
//! [`SLICE_BYTES`] before the other tasks get their turn, and all connections share a [`TurnBudget`] for
//! everything beyond [`FREE_BYTES`].
//!
//! Clients share one budget, in the order of asking. Connections that have not named a client share another,
//! and have [`FREE_BYTES`] only once. They are served by age, each as if it had
//! been accepted [`DELAY_PER_UNIT`] later for each unit of work that it needs. So whoever needs little passes
//! those that need much, and whoever needs much is passed by younger connections for a bounded time only. A
//! connection goes behind the others if nothing was done for it until its deadline is too close: the work would
//! be wasted. So of more long messages than the director can read in time, as many as possible are read whole.

mod sliced_reader;

pub use sliced_reader::SlicedReader;

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
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

/// Time before the deadline of a connection that each unit of its work is given.
const TIME_PER_UNIT: Duration = Duration::from_millis(4);
/// How much later a connection is served if its work begins too late: behind all that begin in time.
const DELAY_OF_LATE_START: Duration = Duration::from_secs(1);

/// The work that a group of connections may do between two turns of the other tasks.
#[derive(Clone, Debug)]
pub struct TurnBudget {
    units_per_turn: u64,
    queue: Arc<Mutex<Queue>>,
    was_used: Arc<Notify>,
}

/// The units left in this turn, and the work that waits for units.
#[derive(Debug)]
struct Queue {
    free_units: u64,
    /// Work that waits or was granted and has not begun yet, by its number.
    requests: BTreeMap<u64, Request>,
    /// The order in which waiting work is granted.
    order: BTreeSet<Place>,
    next_number: u64,
}

/// The place of a request in the order of service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    /// Requests with an earlier rank are granted before.
    rank: Instant,
    number: u64,
}

/// A request for units.
#[derive(Debug)]
struct Request {
    work: Work,
    /// Wakes the task that waits; `None` if the request is granted at once. A task that is woken without need
    /// would not let the others run when it yields.
    waker: Option<Waker>,
    /// The place of the request while it waits; `None` once it is granted.
    place: Option<Place>,
    /// Time after which the request goes behind the others; `None` if work for its connection has begun.
    latest_start: Option<Instant>,
    /// Whether the request went behind the others.
    is_postponed: bool,
}

/// The account of one connection at a budget.
#[derive(Clone, Debug)]
pub struct BudgetAccount {
    budget: TurnBudget,
    accepted_at: Instant,
    /// When the connection must have named its client; `None` once it has.
    deadline: Option<Instant>,
    work: Arc<AccountedWork>,
}

/// The work of one connection.
#[derive(Debug, Default)]
struct AccountedWork {
    /// Bytes read, with the bytes that other work would have paid for.
    spent_bytes: AtomicU64,
    /// Where the message under way ends, in bytes from the beginning of the connection.
    message_end: AtomicU64,
    /// Whether units were granted.
    has_begun: AtomicBool,
    /// Whether the first units were granted too late to complete the message before the deadline.
    has_begun_late: AtomicBool,
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
        let queue = Queue {
            free_units: units_per_turn,
            requests: BTreeMap::new(),
            order: BTreeSet::new(),
            next_number: 0,
        };
        TurnBudget { units_per_turn, queue: Arc::new(Mutex::new(queue)), was_used: Arc::default() }
    }

    /// Opens the account of a connection that has just been accepted and must name its client by `deadline`, or
    /// of an identified client, which has no deadline.
    pub fn open_account(&self, deadline: Option<Instant>) -> BudgetAccount {
        BudgetAccount { budget: self.clone(), accepted_at: Instant::now(), deadline, work: Arc::default() }
    }

    /// Fills the budget again each time the other tasks have had their turn; never returns.
    pub async fn refill(&self) {
        loop {
            self.was_used.notified().await;
            yield_now().await;
            let mut queue = self.queue();
            queue.free_units = self.units_per_turn;
            queue.grant();
        }
    }

    /// Locks the queue, ignoring poisoning: each critical section leaves it consistent.
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Queue {
    /// Grants units to the first in the order, as far as they last.
    fn grant(&mut self) {
        let now = Instant::now();
        while let Some(place) = self.order.first().copied() {
            let Some(request) = self.requests.get_mut(&place.number) else { return };
            if request.latest_start.is_some_and(|latest_start| latest_start < now) {
                self.postpone(place);
                continue;
            }
            let units = request.work.units();
            if units > self.free_units {
                return;
            }
            self.free_units -= units;
            self.order.remove(&place);
            request.place = None;
            if let Some(waker) = request.waker.take() {
                waker.wake();
            }
        }
    }

    /// Moves a request for which it is too late behind the others.
    fn postpone(&mut self, place: Place) {
        let later = Place { rank: place.rank + DELAY_OF_LATE_START, ..place };
        self.order.remove(&place);
        self.order.insert(later);
        if let Some(request) = self.requests.get_mut(&place.number) {
            request.place = Some(later);
            request.latest_start = None;
            request.is_postponed = true;
        }
    }
}

impl BudgetAccount {
    /// Waits until the budget allows this work.
    pub fn spend(&self, work: Work) -> Spending {
        Spending { account: self.clone(), work, number: None }
    }

    /// Records that a message has begun which ends after this number of bytes of the connection.
    pub fn set_message_end(&self, message_end: u64) {
        self.work.message_end.store(message_end, Ordering::Relaxed);
    }

    /// Records that work begins. A slice counts once it is read.
    fn begin(&self, work: Work, is_postponed: bool) {
        self.work.has_begun.store(true, Ordering::Relaxed);
        self.work.has_begun_late.fetch_or(is_postponed, Ordering::Relaxed);
        match work {
            Work::Slice => {}
            Work::Pong | Work::HttpResponse => self.add_read(work.units() as usize * SLICE_BYTES),
        }
    }

    /// Records bytes that were read.
    fn add_read(&self, bytes: usize) {
        self.work.spent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Time after which the first request of the connection goes behind the others; `None` for later requests.
    fn latest_start(&self) -> Option<Instant> {
        if self.work.has_begun.load(Ordering::Relaxed) {
            return None;
        }
        self.deadline?.checked_sub(TIME_PER_UNIT * self.needed_units())
    }

    /// The time of the request if the client is identified; otherwise when the connection was accepted, later by
    /// the work that it needs.
    fn rank(&self) -> Instant {
        if self.deadline.is_none() {
            return Instant::now();
        }
        let delay = if self.work.has_begun_late.load(Ordering::Relaxed) {
            DELAY_OF_LATE_START
        } else {
            Duration::ZERO
        };
        self.accepted_at + DELAY_PER_UNIT * self.needed_units() + delay
    }

    /// The work that the connection will have caused once the message under way is complete.
    fn needed_units(&self) -> u32 {
        let spent_bytes = self.work.spent_bytes.load(Ordering::Relaxed);
        let needed_bytes = spent_bytes.max(self.work.message_end.load(Ordering::Relaxed));
        u32::try_from(needed_bytes / SLICE_BYTES as u64).unwrap_or(u32::MAX)
    }
}

/// Waits until the budget allows some work.
#[derive(Debug)]
pub struct Spending {
    account: BudgetAccount,
    work: Work,
    /// The number of the request, once it is made.
    number: Option<u64>,
}

impl Spending {
    /// Makes the request, and grants it if there are units left for it.
    fn request(&mut self, queue: &mut Queue) -> u64 {
        let number = queue.next_number;
        let place = Place { rank: self.account.rank(), number };
        let request = Request {
            work: self.work,
            waker: None,
            place: Some(place),
            latest_start: self.account.latest_start(),
            is_postponed: false,
        };
        queue.next_number += 1;
        queue.requests.insert(number, request);
        queue.order.insert(place);
        queue.grant();
        self.number = Some(number);
        number
    }
}

impl Future for Spending {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        let budget = this.account.budget.clone();
        let mut queue = budget.queue();
        let number = match this.number {
            Some(number) => number,
            None => {
                budget.was_used.notify_one();
                this.request(&mut queue)
            }
        };
        let Entry::Occupied(mut request) = queue.requests.entry(number) else { return Poll::Pending };
        if request.get().place.is_some() {
            request.get_mut().waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        let is_postponed = request.remove().is_postponed;
        this.number = None;
        this.account.begin(this.work, is_postponed);
        Poll::Ready(())
    }
}

impl Drop for Spending {
    fn drop(&mut self) {
        let Some(number) = self.number else { return };
        let mut queue = self.account.budget.queue();
        let Some(request) = queue.requests.remove(&number) else { return };
        match request.place {
            Some(place) => {
                queue.order.remove(&place);
            }
            None => {
                queue.free_units += request.work.units();
                queue.grant();
            }
        }
    }
}

#[cfg(test)]
mod tests;
