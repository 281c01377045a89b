//! The queue at the instant in which both ends want it.

use super::*;
use wingfold_director::interface::Timestamp;

fn item() -> Item {
    Item::Checkpoint { call: 1, at: Timestamp(1), bytes: vec![7; 40], reason: None }
}

#[test]
fn an_item_that_finds_the_queue_held_goes_with_the_next_one_or_when_it_is_settled() {
    let post = Arc::new(Post::default());
    let told = Arc::new(Told::default());
    let mut mailbox =
        Mailbox { post: post.clone(), told: told.clone(), most: 1 << 20, held: VecDeque::new() };
    // The writer has its hand in the queue: putting something there does not wait, and counts as waiting all the same.
    let held = post.lock();
    assert!(mailbox.put(item()));
    drop(held);
    assert_eq!((post.lock().len(), mailbox.held.len()), (0, 1), "nobody brings it there by itself");
    assert!(told.waiting.load(Ordering::Relaxed) > 0);
    assert!(mailbox.put(item()));
    assert_eq!((post.lock().len(), mailbox.held.len()), (2, 0));
    let held = post.lock();
    assert!(mailbox.put(item()));
    drop(held);
    let _answer = mailbox.settle();
    assert_eq!((post.lock().len(), mailbox.held.len()), (4, 0), "three items and the question");
}
