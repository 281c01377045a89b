//! Pushing items while the writer holds the lock of the queue.

use super::*;
use wingfold_director::interface::Timestamp;

fn item() -> RecordedItem {
    RecordedItem::Checkpoint { call: 1, at: Timestamp(1), bytes: vec![7; 40], reason: None }
}

#[test]
fn item_pushed_during_lock_is_queued_by_next_push_or_flush() {
    let queue = Arc::new(MessageQueue::default());
    let metrics = Arc::new(WriterMetrics::default());
    let mut recorder_queue = WriterQueue::new(queue.clone(), metrics.clone(), 1 << 20);
    // While the writer holds the lock, a push does not wait, and its item counts as queued.
    let locked = queue.lock();
    assert!(recorder_queue.push(item()));
    drop(locked);
    assert_eq!((queue.lock().len(), recorder_queue.unsent.len()), (0, 1), "the item waits for the next push");
    assert!(metrics.queued_bytes.load(Ordering::Relaxed) > 0);
    assert!(recorder_queue.push(item()));
    assert_eq!((queue.lock().len(), recorder_queue.unsent.len()), (2, 0));
    let locked = queue.lock();
    assert!(recorder_queue.push(item()));
    drop(locked);
    let _answer = recorder_queue.flush();
    assert_eq!((queue.lock().len(), recorder_queue.unsent.len()), (4, 0), "three items and the flush");
}
