//! A reader that lets the other tasks run after each slice.

use super::{BudgetAccount, Spending, Work, FREE_BYTES, SLICE_BYTES};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::{fmt, io};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf, Take};
use tokio::task::yield_now;

/// Reads in slices: after each, the other tasks get their turn, and the next one is paid for from a budget
/// if the reader has an account.
pub struct SlicedReader<R> {
    /// Limited to the bytes that are left of the slice.
    inner: Take<R>,
    /// Pays for slices; `None` once the connection has named its client.
    account: Option<BudgetAccount>,
    /// Waits for the turn of the next slice.
    next_slice: Option<NextSlice>,
}

/// What a reader waits for between two slices.
enum NextSlice {
    Paid(Spending),
    AfterYield(Pin<Box<dyn Future<Output = ()> + Send + Sync>>),
}

impl<R: AsyncRead + Unpin> SlicedReader<R> {
    /// Creates a reader that pays for all but the first [`FREE_BYTES`].
    pub fn new(inner: R, account: BudgetAccount) -> Self {
        SlicedReader { inner: inner.take(FREE_BYTES as u64), account: Some(account), next_slice: None }
    }

    /// The account that pays for slices, until the connection has named its client.
    pub fn account(&self) -> Option<&BudgetAccount> {
        self.account.as_ref()
    }

    /// Stops paying: the connection has named its client.
    pub fn leave_budget(&mut self) {
        self.account = None;
        self.next_slice = None;
    }

    fn poll_next_slice(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let account = &self.account;
        let next_slice = self.next_slice.get_or_insert_with(|| match account {
            Some(account) => NextSlice::Paid(account.spend(Work::Slice)),
            None => NextSlice::AfterYield(Box::pin(yield_now())),
        });
        match next_slice {
            NextSlice::Paid(spending) => ready!(Pin::new(spending).poll(context)),
            NextSlice::AfterYield(turn) => ready!(turn.as_mut().poll(context)),
        }
        self.next_slice = None;
        self.inner.set_limit(SLICE_BYTES as u64);
        Poll::Ready(())
    }

    /// Records what was read from the slice; `read` is `None` if nothing has arrived.
    fn record(&mut self, read: Option<usize>) {
        match (&self.account, read) {
            (Some(account), Some(read)) => account.add_read(read),
            // The other tasks have their turn now.
            (None, None) => self.inner.set_limit(SLICE_BYTES as u64),
            _ => {}
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for SlicedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.inner.limit() == 0 {
            ready!(self.poll_next_slice(context));
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        let read = result.is_ready().then(|| buffer.filled().len() - filled_before);
        self.record(read);
        result
    }
}

impl<R: fmt::Debug> fmt::Debug for SlicedReader<R> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.debug_struct("SlicedReader").field("inner", &self.inner).finish_non_exhaustive()
    }
}
