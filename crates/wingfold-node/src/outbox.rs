//! Sends: what waits to be written to one connection, bounded by what its reader may leave unread, and the task
//! that writes it.

use crate::frame;
use crate::reporting::WriteDelays;
use bytes::Bytes;
use futures_util::SinkExt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;
use tokio::io::AsyncWrite;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio_util::codec::FramedWrite;

/// One frame that waits; the last of an order carries its time.
type Frame = (Bytes, Option<Instant>);

/// The way to one connection.
#[derive(Clone, Debug)]
pub struct Link {
    /// Tells the connections of one client apart.
    pub number: u64,
    to: UnboundedSender<Frame>,
    waiting: Arc<AtomicUsize>,
    most: usize,
    end: Arc<Notify>,
    /// Nothing is queued any more.
    ended: Arc<AtomicBool>,
}

/// What a link writes.
#[derive(Debug)]
pub struct Outbox {
    from: UnboundedReceiver<Frame>,
    waiting: Arc<AtomicUsize>,
    delays: Option<WriteDelays>,
}

/// The reader leaves too much unread.
#[derive(Debug, PartialEq)]
pub struct Slow;

/// A link and what it writes; `most` bytes may wait, or one message if that alone is longer. How long orders take to be
/// written is kept in `delays`.
pub fn link(number: u64, most: usize, delays: Option<WriteDelays>) -> (Link, Outbox) {
    let (to, from) = unbounded_channel();
    let waiting = Arc::new(AtomicUsize::new(0));
    let (end, ended) = Default::default();
    let link = Link { number, to, waiting: waiting.clone(), most, end, ended };
    (link, Outbox { from, waiting, delays })
}

impl Link {
    /// Queues the frames of one message, all of them or none. Never waits.
    pub fn send(&self, frames: Vec<Bytes>) -> Result<(), Slow> {
        self.queue(frames, None)
    }

    /// The same for an order of this time.
    pub fn order(&self, frames: Vec<Bytes>, ordered: Instant) -> Result<(), Slow> {
        self.queue(frames, Some(ordered))
    }

    fn queue(&self, frames: Vec<Bytes>, ordered: Option<Instant>) -> Result<(), Slow> {
        // After its end nothing may follow: an order was lost, and the ones after it would be read without it.
        if self.ended.load(Ordering::Relaxed) {
            return Ok(());
        }
        let bytes: usize = frames.iter().map(|frame| frame.len() + frame::HEAD).sum();
        let waiting = self.waiting.load(Ordering::Relaxed);
        if waiting > 0 && waiting + bytes > self.most {
            return Err(Slow);
        }
        self.waiting.fetch_add(bytes, Ordering::Relaxed);
        // A writer that is gone has ended its connection: the reader's end tells of it.
        let last = frames.len().saturating_sub(1);
        let frames = frames.into_iter().enumerate();
        frames.for_each(|(at, frame)| drop(self.to.send((frame, ordered.filter(|_| at == last)))));
        Ok(())
    }

    /// Ends the connection; what is ordered from now on is let go of.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.end.notify_one();
    }

    /// Waits until the connection is to end.
    pub async fn ended(&self) {
        self.end.notified().await;
    }
}

impl Outbox {
    /// Writes until the link is gone or the connection fails. What has gathered goes out at one go.
    pub async fn write(mut self, to: impl AsyncWrite + Unpin) -> std::io::Result<()> {
        let mut framed = FramedWrite::new(to, frame::codec());
        let (mut frames, mut orders) = (Vec::new(), Vec::new());
        while self.from.recv_many(&mut frames, 64).await > 0 {
            for (frame, ordered) in frames.drain(..) {
                orders.extend(ordered);
                let bytes = frame.len() + frame::HEAD;
                framed.feed(frame).await?;
                self.waiting.fetch_sub(bytes, Ordering::Relaxed);
            }
            SinkExt::<Bytes>::flush(&mut framed).await?;
            for ordered in orders.drain(..) {
                self.delays.iter().for_each(|delays| delays.record(ordered));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
