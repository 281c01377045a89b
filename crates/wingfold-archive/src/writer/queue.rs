//! The bounded queue between a recorder and the writer's thread. The recorder never waits for the writer.

use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use wingfold_capture::recorder::RecorderQueue;
use wingfold_capture::segment_writer::RecordedItem;

/// Memory that an item takes in the queue besides its encoded contents, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 96;

/// Counters and gauges of the writer.
#[derive(Debug, Default)]
pub struct WriterMetrics {
    /// Size of the items in the queue, in bytes.
    pub queued_bytes: AtomicUsize,
    /// Bytes written to the store.
    pub written_bytes: AtomicU64,
    /// Number of segments begun.
    pub segments: AtomicU64,
    /// Number of failures to open the store or to write to it.
    pub failures: AtomicU64,
    /// Size of the segments in memory, in bytes; 0 for stores on disk.
    pub memory_bytes: AtomicUsize,
    /// Whether the segment writer is ready to begin a segment with a checkpoint.
    pub(super) wants_checkpoint: AtomicBool,
    /// Number of checkpoints in the queue.
    queued_checkpoints: AtomicUsize,
}

impl WriterMetrics {
    /// Counts an item that is added to the queue.
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
    /// Write the segments in memory into a folder, and answer with their number.
    Dump(PathBuf, Sender<io::Result<usize>>),
    /// Answer when all messages before this one have been handled.
    Flush(Sender<()>),
    /// End the capture, and stop the writer's thread.
    End,
}

/// The messages for the writer. Recorder and writer hold the lock only to move messages into and out of the
/// queue.
#[derive(Debug, Default)]
pub(super) struct MessageQueue {
    messages: Mutex<VecDeque<Message>>,
    /// Notified when a message other than an item is added.
    writer_wakeup: Condvar,
}

impl MessageQueue {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Message>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a message other than an item, and wakes the writer.
    pub(super) fn push(&self, message: Message) {
        self.lock().push_back(message);
        self.writer_wakeup.notify_one();
    }

    /// Takes all messages. Waits until there is a message other than an item, or until the timeout.
    pub(super) fn take(&self, timeout: Duration) -> VecDeque<Message> {
        let only_items =
            |queue: &mut VecDeque<Message>| queue.iter().all(|message| matches!(message, Message::Item(_)));
        let waited = self.writer_wakeup.wait_timeout_while(self.lock(), timeout, only_items);
        let (mut messages, _) = waited.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut messages)
    }
}

/// The sending side of the queue, which the recorder holds.
#[derive(Debug)]
pub struct WriterQueue {
    queue: Arc<MessageQueue>,
    metrics: Arc<WriterMetrics>,
    max_bytes: usize,
    /// Items that were pushed while the queue was locked. The next push or flush adds them to the queue.
    unsent: VecDeque<Message>,
}

impl WriterQueue {
    /// The sending side of a queue that holds items of at most `max_bytes`.
    pub(super) fn new(queue: Arc<MessageQueue>, metrics: Arc<WriterMetrics>, max_bytes: usize) -> Self {
        WriterQueue { queue, metrics, max_bytes, unsent: VecDeque::new() }
    }

    /// Adds all items pushed so far to the queue, and waits for the lock of the queue if necessary. The
    /// returned receiver gets a message once the writer has handled these items. This is for callers that may
    /// block.
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
        // The writer polls the queue for items: waking it would cost the director more time than recording
        // the call.
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
