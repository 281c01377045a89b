//! The queue at the instant in which both ends access it.

use super::*;
use wingfold_director::interface::Timestamp;

fn item() -> RecordedItem {
    RecordedItem::Checkpoint { call: 1, at: Timestamp(1), bytes: vec![7; 40], reason: None }
}

#[test]
fn an_item_pushed_while_the_queue_is_locked_goes_with_the_next_one_or_a_flush() {
    let queue = Arc::new(MessageQueue::default());
    let metrics = Arc::new(WriterMetrics::default());
    let mut recorder_end = WriterQueue::new(queue.clone(), metrics.clone(), 1 << 20);
    // The writer has the queue locked: pushing an item does not wait, and the item counts as queued all the same.
    let locked = queue.lock();
    assert!(recorder_end.push(item()));
    drop(locked);
    assert_eq!((queue.lock().len(), recorder_end.unsent.len()), (0, 1), "nobody brings it there by itself");
    assert!(metrics.queued_bytes.load(Ordering::Relaxed) > 0);
    assert!(recorder_end.push(item()));
    assert_eq!((queue.lock().len(), recorder_end.unsent.len()), (2, 0));
    let locked = queue.lock();
    assert!(recorder_end.push(item()));
    drop(locked);
    let _answer = recorder_end.flush();
    assert_eq!((queue.lock().len(), recorder_end.unsent.len()), (4, 0), "three items and the flush");
}
