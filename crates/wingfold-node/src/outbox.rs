//! The send queue of one connection. It is bounded by the bytes that the client may leave unread, and drained
//! by a writer that runs concurrently with the reading of the client's messages, in the same task.

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
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};

/// Limit on the frames that are written before the connection is flushed.
const MAX_FRAMES_PER_FLUSH: usize = 64;

/// Encoded bytes after which the connection is flushed: half of the buffer that a `FramedWrite` begins with, so
/// that it does not grow for short frames.
const MAX_BUFFERED_BYTES: usize = 4 << 10;

/// What waits to be written.
#[derive(Debug)]
enum Queued {
    /// One frame of a message.
    Frame {
        bytes: Bytes,
        /// When the message was decided; set only on the last frame of a message whose delay is recorded.
        decided_at: Option<Instant>,
    },
    /// All answers to `PING`s that are pending when this is written. They are counted, not queued one by one: a
    /// client that reads nothing would otherwise make the queue take many times their bytes.
    Pongs,
}

/// Queues messages for one connection, and closes it.
#[derive(Clone, Debug)]
pub struct ConnectionSender {
    /// Distinguishes the connections of one client; a connection accepted later has a higher number.
    pub connection_id: u64,
    queue: UnboundedSender<Queued>,
    pong: Bytes,
    pending_pongs: Arc<AtomicUsize>,
    queued_bytes: Arc<AtomicUsize>,
    max_queued_bytes: usize,
    close_requested: Arc<Notify>,
    is_closed: Arc<AtomicBool>,
}

/// Writes frames to a connection.
type FrameWriter<W> = FramedWrite<W, LengthDelimitedCodec>;

/// Writes the frames that [`ConnectionSender`]s queue. The task of the connection runs and drops the writer.
#[derive(Debug)]
pub struct ConnectionWriter {
    queue: UnboundedReceiver<Queued>,
    pong: Bytes,
    pending_pongs: Arc<AtomicUsize>,
    queued_bytes: Arc<AtomicUsize>,
    delays: Option<WriteDelays>,
}

/// A message was not queued, because the client at the other end has left too many bytes unread.
#[derive(Debug, PartialEq)]
pub struct SlowReader;

/// Creates the send queue of a connection.
///
/// At most `max_queued_bytes` wait in it, or a single message of more bytes. `pong` is the encoded answer to a
/// `PING`. `delays` records the time from a decision until the last byte of its message is written.
pub fn channel(
    connection_id: u64,
    max_queued_bytes: usize,
    pong: Bytes,
    delays: Option<WriteDelays>,
) -> (ConnectionSender, ConnectionWriter) {
    let (sender, receiver) = unbounded_channel();
    let (pending_pongs, queued_bytes) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let writer = ConnectionWriter {
        queue: receiver,
        pong: pong.clone(),
        pending_pongs: pending_pongs.clone(),
        queued_bytes: queued_bytes.clone(),
        delays,
    };
    let sender = ConnectionSender {
        connection_id,
        queue: sender,
        pong,
        pending_pongs,
        queued_bytes,
        max_queued_bytes,
        close_requested: Arc::default(),
        is_closed: Arc::default(),
    };
    (sender, writer)
}

impl ConnectionSender {
    /// Queues the answer to a `PING`.
    pub fn send_pong(&self) -> Result<(), SlowReader> {
        if self.is_closed.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.reserve(frame_bytes(&self.pong))?;
        if self.pending_pongs.fetch_add(1, Ordering::Relaxed) == 0 {
            let _ = self.queue.send(Queued::Pongs);
        }
        Ok(())
    }

    /// Queues the frames of one message, all of them or none, without waiting. The delay from `decided_at` until
    /// the message is written is recorded.
    pub fn send_decision(&self, frames: Vec<Bytes>, decided_at: Instant) -> Result<(), SlowReader> {
        // The close may follow a message that was not queued. Later messages must not be read without it.
        if self.is_closed.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.reserve(frames.iter().map(frame_bytes).sum())?;
        let last_index = frames.len().saturating_sub(1);
        for (index, bytes) in frames.into_iter().enumerate() {
            let decided_at = (index == last_index).then_some(decided_at);
            // Sending fails only once the writer is dropped; the task of the connection then reports its end.
            let _ = self.queue.send(Queued::Frame { bytes, decided_at });
        }
        Ok(())
    }

    /// Counts the bytes of a message as queued, if they fit.
    fn reserve(&self, bytes: usize) -> Result<(), SlowReader> {
        let queued = self.queued_bytes.load(Ordering::Relaxed);
        if queued > 0 && queued + bytes > self.max_queued_bytes {
            return Err(SlowReader);
        }
        self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Requests the end of the connection; messages sent from now on are discarded.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.close_requested.notify_one();
    }

    /// Waits until the end of the connection is requested.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }
}

impl ConnectionWriter {
    /// Writes until every sender is dropped or the connection fails. Up to [`MAX_FRAMES_PER_FLUSH`] frames
    /// that wait in the queue are written together and then flushed.
    pub async fn write_to(mut self, connection: impl AsyncWrite + Unpin) -> std::io::Result<()> {
        let mut writer = FramedWrite::new(connection, frame::codec());
        writer.set_backpressure_boundary(MAX_BUFFERED_BYTES);
        let mut received = Vec::new();
        let mut decisions = Vec::new();
        while self.queue.recv_many(&mut received, MAX_FRAMES_PER_FLUSH).await > 0 {
            for queued in received.drain(..) {
                match queued {
                    Queued::Frame { bytes, decided_at } => {
                        decisions.extend(decided_at);
                        self.feed(&mut writer, bytes).await?;
                    }
                    Queued::Pongs => self.feed_pongs(&mut writer).await?,
                }
            }
            SinkExt::<Bytes>::flush(&mut writer).await?;
            for decided_at in decisions.drain(..) {
                if let Some(delays) = &self.delays {
                    delays.record(decided_at);
                }
            }
        }
        Ok(())
    }

    /// Writes all pending answers to `PING`s.
    async fn feed_pongs(&self, writer: &mut FrameWriter<impl AsyncWrite + Unpin>) -> std::io::Result<()> {
        for _ in 0..self.pending_pongs.swap(0, Ordering::Relaxed) {
            self.feed(writer, self.pong.clone()).await?;
        }
        Ok(())
    }

    /// Writes one frame, whose bytes then no longer count as queued.
    async fn feed(
        &self,
        writer: &mut FrameWriter<impl AsyncWrite + Unpin>,
        bytes: Bytes,
    ) -> std::io::Result<()> {
        let length = frame_bytes(&bytes);
        writer.feed(bytes).await?;
        self.queued_bytes.fetch_sub(length, Ordering::Relaxed);
        Ok(())
    }
}

/// The length of a frame with its header.
fn frame_bytes(message: &Bytes) -> usize {
    message.len() + frame::LENGTH_BYTES
}

#[cfg(test)]
mod tests;
