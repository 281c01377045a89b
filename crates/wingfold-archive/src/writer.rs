//! The writer: a thread that takes recorded items from a bounded queue and carries out the operations of the
//! segment writer. A disk that hangs blocks only this thread: the queue fills up, and the recorder drops
//! calls.

mod queue;

pub use queue::{WriterMetrics, WriterQueue};

use crate::store::{gap_reason, SegmentStore};
use queue::{Message, MessageQueue};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use wingfold_capture::model::Head;
use wingfold_capture::segment_writer::{DiskOperation, SegmentLimits, SegmentWriter};

/// The longest interval at which the writer polls the queue for items.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the writer tries again to open a store that cannot be opened, for example because
/// another director uses the folder.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Configuration of a writer.
#[derive(Clone, Debug)]
pub struct WriterConfig {
    /// The head of the capture.
    pub head: Head,
    /// When segments and blocks end, and how many segments are kept.
    pub limits: SegmentLimits,
    /// Largest size of the items in the queue, in bytes.
    pub queue_bytes: usize,
}

/// Controls a writer: requests dumps, and ends the capture.
#[derive(Clone, Debug)]
pub struct WriterHandle {
    queue: Arc<MessageQueue>,
    /// Counters and gauges of the writer.
    pub metrics: Arc<WriterMetrics>,
    /// The receiver is disconnected when the writer's thread ends; `None` once a call of `end` has taken it.
    ended: Arc<Mutex<Option<Receiver<()>>>>,
}

impl WriterHandle {
    /// Requests a dump of the segments in memory into a folder. The returned receiver gets the number of
    /// segments when all of them are written.
    pub fn dump(&self, folder: PathBuf) -> Receiver<io::Result<usize>> {
        let (answer, answers) = channel();
        self.queue.push(Message::Dump(folder, answer));
        answers
    }

    /// Ends the capture and waits for the writer's thread; `false` if the thread does not end within the
    /// timeout, or if `end` was called before.
    pub fn end(&self, timeout: Duration) -> bool {
        self.queue.push(Message::End);
        let ended = self.ended.lock().ok().and_then(|mut ended| ended.take());
        ended.is_some_and(|ended| matches!(ended.recv_timeout(timeout), Err(RecvTimeoutError::Disconnected)))
    }
}

/// Starts the thread of a writer. `log` is called with messages for the operator.
pub fn spawn(
    store: Box<dyn SegmentStore>,
    config: WriterConfig,
    log: impl Fn(String) + Send + 'static,
) -> io::Result<(WriterQueue, WriterHandle)> {
    let queue = Arc::new(MessageQueue::default());
    let metrics = Arc::new(WriterMetrics::default());
    let (alive, ended) = channel::<()>();
    let recorder_queue = WriterQueue::new(queue.clone(), metrics.clone(), config.queue_bytes);
    let ended = Arc::new(Mutex::new(Some(ended)));
    let handle = WriterHandle { queue: queue.clone(), metrics: metrics.clone(), ended };
    thread::Builder::new().name("capture".into()).spawn(move || {
        // Dropped when the thread returns or panics, which disconnects the receiver in the handle.
        let _alive = alive;
        Writer { store, metrics, config, log, operations: Vec::new() }.run(&queue);
    })?;
    Ok((recorder_queue, handle))
}

/// The state of the writer's thread. `L` is the function that logs messages.
struct Writer<L> {
    store: Box<dyn SegmentStore>,
    metrics: Arc<WriterMetrics>,
    config: WriterConfig,
    log: L,
    /// Operations of the segment writer that are still to be carried out.
    operations: Vec<DiskOperation>,
}

impl<L: Fn(String)> Writer<L> {
    /// Opens the store and handles messages until the capture ends.
    fn run(mut self, queue: &MessageQueue) {
        let Some(mut segments) = self.open(queue) else { return };
        let flush_interval = Duration::from_micros(self.config.limits.flush_interval.0);
        let poll_interval = POLL_INTERVAL.min(flush_interval);
        let mut idle = Duration::ZERO;
        loop {
            self.publish_checkpoint_demand(&segments);
            let messages = queue.take(poll_interval);
            // Buffered calls are also flushed while no further calls arrive, since a director that is killed
            // while idle would lose them.
            idle = if messages.is_empty() { idle + poll_interval } else { Duration::ZERO };
            if idle >= flush_interval {
                self.flush(&mut segments);
                idle = Duration::ZERO;
            }
            for message in messages {
                if matches!(message, Message::End) {
                    segments.finish(&mut self.operations);
                    self.apply_operations(&mut segments);
                    return;
                }
                self.handle(message, &mut segments);
                self.publish_checkpoint_demand(&segments);
            }
        }
    }

    fn handle(&mut self, message: Message, segments: &mut SegmentWriter) {
        match message {
            Message::Item(item) => {
                self.metrics.remove_queued(&item);
                segments.handle(item, &mut self.operations);
            }
            Message::Dump(folder, answer) => {
                self.flush(segments);
                drop(answer.send(self.store.dump(&folder)));
            }
            Message::Flush(answer) => drop(answer.send(())),
            Message::End => {}
        }
        self.apply_operations(segments);
    }

    /// Writes the buffered calls.
    fn flush(&mut self, segments: &mut SegmentWriter) {
        segments.flush_idle(&mut self.operations);
        self.apply_operations(segments);
    }

    /// Tells the recorder whether the segment writer is ready to begin a segment with a checkpoint.
    fn publish_checkpoint_demand(&self, segments: &SegmentWriter) {
        self.metrics.wants_checkpoint.store(segments.wants_checkpoint(), Ordering::Relaxed);
    }

    /// Opens the store, and drops all items until the store is open. `None` if the capture ends before.
    fn open(&mut self, queue: &MessageQueue) -> Option<SegmentWriter> {
        let mut last_error = String::new();
        loop {
            match self.store.open() {
                Ok(segments) => {
                    let WriterConfig { head, limits, .. } = self.config.clone();
                    return Some(SegmentWriter::new(head, limits, segments));
                }
                Err(error) => self.report_open_failure(error.to_string(), &mut last_error),
            }
            self.drop_items_until(Instant::now() + OPEN_RETRY_INTERVAL, queue)?;
        }
    }

    /// Counts a failure to open the store, and logs the error if it differs from the last one.
    fn report_open_failure(&self, error: String, last_error: &mut String) {
        self.metrics.failures.fetch_add(1, Ordering::Relaxed);
        if error != *last_error {
            let interval_s = OPEN_RETRY_INTERVAL.as_secs();
            (self.log)(format!("capture: cannot open the store: {error}; retrying every {interval_s} s"));
        }
        *last_error = error;
    }

    /// Drops items until a time; `None` if the capture ends before that time.
    fn drop_items_until(&self, until: Instant, queue: &MessageQueue) -> Option<()> {
        while Instant::now() < until {
            for message in queue.take(POLL_INTERVAL) {
                match message {
                    Message::Item(item) => self.metrics.remove_queued(&item),
                    Message::Dump(_, answer) => {
                        drop(answer.send(Err(io::Error::other("the store of the capture is not open yet"))));
                    }
                    Message::Flush(answer) => drop(answer.send(())),
                    Message::End => return None,
                }
            }
        }
        Some(())
    }

    /// Carries out the pending operations. After a failure the remaining ones are dropped, and the segment
    /// writer leaves a gap in the capture.
    fn apply_operations(&mut self, segments: &mut SegmentWriter) {
        for operation in &self.operations {
            if let Err(error) = self.store.apply(operation) {
                let reason = gap_reason(&error);
                (self.log)(format!(
                    "capture: {reason} ({error}); the director continues, and the capture has a gap"
                ));
                segments.operation_failed(reason);
                self.metrics.failures.fetch_add(1, Ordering::Relaxed);
                break;
            }
            count_operation(operation, &self.metrics);
        }
        self.operations.clear();
        self.metrics.memory_bytes.store(self.store.memory_bytes(), Ordering::Relaxed);
    }
}

/// Counts an operation that was carried out.
fn count_operation(operation: &DiskOperation, metrics: &WriterMetrics) {
    match operation {
        DiskOperation::Create(_) => metrics.segments.fetch_add(1, Ordering::Relaxed),
        DiskOperation::Append(bytes, _) => {
            metrics.written_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed)
        }
        DiskOperation::Seal(_) | DiskOperation::Remove(_) => return,
    };
}
