//! The accounts of connections at a budget: what each has spent and needs, and how it asks for units.

use super::queue::Granted;
use super::{TurnBudget, Work, DELAY_OF_LATE_START, DELAY_PER_UNIT, SLICE_BYTES, TIME_PER_UNIT};
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

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

impl BudgetAccount {
    /// Opens an account; a connection without a client has a deadline.
    pub(super) fn new(budget: TurnBudget, deadline: Option<Instant>) -> BudgetAccount {
        BudgetAccount { budget, accepted_at: Instant::now(), deadline, work: Arc::default() }
    }

    /// Waits until the budget allows this work.
    pub fn spend(&self, work: Work) -> Spending {
        Spending { account: self.clone(), work, number: None }
    }

    /// Records that a message has begun which ends after this number of bytes of the connection.
    pub fn set_message_end(&self, message_end: u64) {
        self.work.message_end.store(message_end, Ordering::Relaxed);
    }

    /// Records that work begins. A slice counts once it is read.
    fn begin(&self, work: Work, granted: Granted) {
        self.work.has_begun.store(true, Ordering::Relaxed);
        self.work.has_begun_late.fetch_or(granted.is_postponed, Ordering::Relaxed);
        match work {
            Work::Slice => {}
            Work::Pong | Work::HttpResponse => self.add_read(work.units() as usize * SLICE_BYTES),
        }
    }

    /// Records bytes that were read.
    pub(super) fn add_read(&self, bytes: usize) {
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
    pub(super) fn rank(&self) -> Instant {
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
    /// The number of the request while it is made and not granted.
    number: Option<u64>,
}

impl Future for Spending {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        let account = &this.account;
        let mut queue = account.budget.queue();
        let number = *this.number.get_or_insert_with(|| {
            account.budget.was_used.notify_one();
            queue.request(this.work, account.rank(), account.latest_start())
        });
        let granted = ready!(queue.poll(number, context.waker()));
        this.number = None;
        account.begin(this.work, granted);
        Poll::Ready(())
    }
}

impl Drop for Spending {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.account.budget.queue().withdraw(number);
        }
    }
}
