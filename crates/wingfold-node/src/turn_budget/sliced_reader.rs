//! A reader that lets the other tasks run after each slice.

use super::{BudgetAccount, Work, FREE_BYTES, SLICE_BYTES};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::{fmt, io};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf, Take};
use tokio::task::yield_now;

/// Reads in slices, each of which is paid for from a budget. After each slice of a client, the other tasks get
/// their turn.
pub struct SlicedReader<R> {
    /// Limited to the bytes that are left of the slice.
    inner: Take<R>,
    account: BudgetAccount,
    is_identified: bool,
    /// Waits for the turn of the next slice.
    next_slice: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
}

impl<R: AsyncRead + Unpin> SlicedReader<R> {
    /// Creates the reader of a connection whose client is not identified. It pays for all but the first
    /// [`FREE_BYTES`].
    pub fn new(inner: R, account: BudgetAccount) -> Self {
        let inner = inner.take(FREE_BYTES as u64);
        SlicedReader { inner, account, is_identified: false, next_slice: None }
    }

    /// The account that pays for slices.
    pub fn account(&self) -> &BudgetAccount {
        &self.account
    }

    /// Continues as the reader of an identified client. It pays for all but [`FREE_BYTES`] each time that more
    /// bytes arrive after it has read all.
    pub fn identify(&mut self, account: BudgetAccount) {
        self.account = account;
        self.is_identified = true;
        self.next_slice = None;
    }

    fn poll_next_slice(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let (account, is_identified) = (&self.account, self.is_identified);
        let next_slice =
            self.next_slice.get_or_insert_with(|| Box::pin(pay_for_slice(account.clone(), is_identified)));
        ready!(next_slice.as_mut().poll(context));
        self.next_slice = None;
        self.inner.set_limit(SLICE_BYTES as u64);
        Poll::Ready(())
    }

    /// Records what was read from the slice; `read` is `None` if nothing has arrived.
    fn record(&mut self, read: Option<usize>) {
        match read {
            Some(read) => self.account.add_read(read),
            // The other tasks have their turn now.
            None if self.is_identified => self.inner.set_limit(self.inner.limit().max(FREE_BYTES as u64)),
            None => {}
        }
    }
}

async fn pay_for_slice(account: BudgetAccount, yields_first: bool) {
    if yields_first {
        yield_now().await;
    }
    account.spend(Work::Slice).await;
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
