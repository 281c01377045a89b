//! The bounded queue between a recorder and the writer's thread. The recorder's end never waits.

use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use wingfold_capture::recorder::RecorderQueue;
use wingfold_capture::segment_writer::RecordedItem;

/// What an item takes in the queue besides its bytes.
const ITEM_OVERHEAD_BYTES: usize = 96;

/// Counters of the writer.
#[derive(Debug, Default)]
pub struct WriterMetrics {
    /// Bytes in the queue.
    pub queued_bytes: AtomicUsize,
    /// Bytes written.
    pub written_bytes: AtomicU64,
    /// Segments begun.
    pub segments: AtomicU64,
    /// How often the store has failed.
    pub failures: AtomicU64,
    /// Bytes of segments in memory, for stores that are there.
    pub memory_bytes: AtomicUsize,
    /// Whether the segment writer is ready for a checkpoint.
    pub(super) wants_checkpoint: AtomicBool,
    /// Checkpoints in the queue.
    queued_checkpoints: AtomicUsize,
}

impl WriterMetrics {
    fn add_queued(&self, item: &RecordedItem) {
        self.queued_bytes.fetch_add(item.len() + ITEM_OVERHEAD_BYTES, Ordering::Relaxed);
        if matches!(item, RecordedItem::Checkpoint { .. }) {
            self.queued_checkpoints.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts an item that was taken from the queue.
    pub(super) fn remove_queued(&self, item: &RecordedItem) {
        self.queued_bytes.fetch_sub(item.len() + ITEM_OVERHEAD_BYTES, Ordering::Relaxed);
        if matches!(item, RecordedItem::Checkpoint { .. }) {
            self.queued_checkpoints.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A message to the writer.
#[derive(Debug)]
pub(super) enum Message {
    /// An item to write.
    Item(RecordedItem),
    /// Write what is in memory into a folder; the answer is the number of segments.
    Dump(PathBuf, Sender<io::Result<usize>>),
    /// Answer when all messages before this one have been handled.
    Flush(Sender<()>),
    /// End the capture.
    End,
}

/// The messages for the writer. Either end locks them for as long as it takes to move pointers.
#[derive(Debug, Default)]
pub(super) struct MessageQueue {
    messages: Mutex<VecDeque<Message>>,
    urgent: Condvar,
}

impl MessageQueue {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Message>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a message and wakes the writer.
    pub(super) fn push(&self, message: Message) {
        self.lock().push_back(message);
        self.urgent.notify_one();
    }

    /// All messages, after this time or as soon as one is no item.
    pub(super) fn take(&self, timeout: Duration) -> VecDeque<Message> {
        let only_items =
            |queue: &mut VecDeque<Message>| queue.iter().all(|message| matches!(message, Message::Item(_)));
        let waited = self.urgent.wait_timeout_while(self.lock(), timeout, only_items);
        let (mut messages, _) = waited.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut messages)
    }
}

/// The recorder's end of the queue.
#[derive(Debug)]
pub struct WriterQueue {
    queue: Arc<MessageQueue>,
    metrics: Arc<WriterMetrics>,
    max_bytes: usize,
    /// Items that were pushed while the queue was locked; they go with the next one.
    unsent: VecDeque<Message>,
}

impl WriterQueue {
    /// An end of the queue that takes so many bytes.
    pub(super) fn new(queue: Arc<MessageQueue>, metrics: Arc<WriterMetrics>, max_bytes: usize) -> Self {
        WriterQueue { queue, metrics, max_bytes, unsent: VecDeque::new() }
    }

    /// Sends all items that were pushed so far, and waits for the queue where it is locked. The receiver gets a message
    /// once the writer has handled them. This is for callers that may wait.
    pub fn flush(&mut self) -> Receiver<()> {
        let (answer, answers) = channel();
        self.queue.lock().append(&mut self.unsent);
        self.queue.push(Message::Flush(answer));
        answers
    }
}

impl RecorderQueue for WriterQueue {
    fn has_room(&self, bytes: usize) -> bool {
        self.metrics.queued_bytes.load(Ordering::Relaxed) + bytes + ITEM_OVERHEAD_BYTES <= self.max_bytes
    }

    fn push(&mut self, item: RecordedItem) -> bool {
        if !self.has_room(item.len()) {
            return false;
        }
        self.metrics.add_queued(&item);
        self.unsent.push_back(Message::Item(item));
        // The writer is not woken, which would cost more than writing the call: it polls the queue.
        if let Ok(mut messages) = self.queue.messages.try_lock() {
            messages.append(&mut self.unsent);
        }
        true
    }

    fn wants_checkpoint(&self) -> bool {
        self.metrics.wants_checkpoint.load(Ordering::Relaxed)
            && self.metrics.queued_checkpoints.load(Ordering::Relaxed) == 0
    }
}

impl Drop for WriterQueue {
    fn drop(&mut self) {
        self.queue.lock().append(&mut self.unsent);
        self.queue.push(Message::End);
    }
}

#[cfg(test)]
mod tests;
