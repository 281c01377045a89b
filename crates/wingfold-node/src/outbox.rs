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
use tokio_util::codec::FramedWrite;

/// Limit on the frames that are written before the connection is flushed.
const MAX_FRAMES_PER_FLUSH: usize = 64;

/// One queued frame.
#[derive(Debug)]
struct QueuedFrame {
    bytes: Bytes,
    /// When the message was decided; set only on the last frame of a message whose delay is recorded.
    decided_at: Option<Instant>,
}

/// Queues messages for one connection, and closes it.
#[derive(Clone, Debug)]
pub struct ConnectionSender {
    /// Distinguishes the connections of one client; a connection accepted later has a higher number.
    pub connection_id: u64,
    frames: UnboundedSender<QueuedFrame>,
    queued_bytes: Arc<AtomicUsize>,
    max_queued_bytes: usize,
    close_requested: Arc<Notify>,
    is_closed: Arc<AtomicBool>,
}

/// Writes the frames that [`ConnectionSender`]s queue. The task of the connection runs and drops the writer.
#[derive(Debug)]
pub struct ConnectionWriter {
    frames: UnboundedReceiver<QueuedFrame>,
    queued_bytes: Arc<AtomicUsize>,
    delays: Option<WriteDelays>,
}

/// A message was not queued, because the client at the other end has left too many bytes unread.
#[derive(Debug, PartialEq)]
pub struct SlowReader;

/// Creates the send queue of a connection.
///
/// At most `max_queued_bytes` wait in it, or a single message of more bytes. `delays` records the time from a
/// decision until the last byte of its message is written.
pub fn channel(
    connection_id: u64,
    max_queued_bytes: usize,
    delays: Option<WriteDelays>,
) -> (ConnectionSender, ConnectionWriter) {
    let (sender, receiver) = unbounded_channel();
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let writer = ConnectionWriter { frames: receiver, queued_bytes: queued_bytes.clone(), delays };
    let sender = ConnectionSender {
        connection_id,
        frames: sender,
        queued_bytes,
        max_queued_bytes,
        close_requested: Arc::default(),
        is_closed: Arc::default(),
    };
    (sender, writer)
}

impl ConnectionSender {
    /// Queues the frames of one message, all of them or none, without waiting.
    pub fn send(&self, frames: Vec<Bytes>) -> Result<(), SlowReader> {
        self.enqueue(frames, None)
    }

    /// Like [`send`](Self::send), but records the delay from `decided_at` until the message is written.
    pub fn send_decision(&self, frames: Vec<Bytes>, decided_at: Instant) -> Result<(), SlowReader> {
        self.enqueue(frames, Some(decided_at))
    }

    fn enqueue(&self, frames: Vec<Bytes>, decided_at: Option<Instant>) -> Result<(), SlowReader> {
        // The close may follow a message that was not queued. Later messages must not be read without it.
        if self.is_closed.load(Ordering::Relaxed) {
            return Ok(());
        }
        let bytes: usize = frames.iter().map(|frame| frame.len() + frame::LENGTH_BYTES).sum();
        let queued = self.queued_bytes.load(Ordering::Relaxed);
        if queued > 0 && queued + bytes > self.max_queued_bytes {
            return Err(SlowReader);
        }
        self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let last_index = frames.len().saturating_sub(1);
        for (index, bytes) in frames.into_iter().enumerate() {
            let decided_at = if index == last_index { decided_at } else { None };
            // Sending fails only once the writer is dropped; the task of the connection then reports its end.
            let _ = self.frames.send(QueuedFrame { bytes, decided_at });
        }
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
        let mut frames = Vec::new();
        let mut decisions = Vec::new();
        while self.frames.recv_many(&mut frames, MAX_FRAMES_PER_FLUSH).await > 0 {
            for QueuedFrame { bytes, decided_at } in frames.drain(..) {
                decisions.extend(decided_at);
                let length = bytes.len() + frame::LENGTH_BYTES;
                writer.feed(bytes).await?;
                self.queued_bytes.fetch_sub(length, Ordering::Relaxed);
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
}

#[cfg(test)]
mod tests;
