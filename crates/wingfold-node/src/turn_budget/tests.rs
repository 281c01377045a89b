//! Shares of the thread, with readers that always have more to read.

use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::AsyncReadExt;

/// Size of one read.
const READ_BYTES: usize = 4 << 10;
/// The most that one slice may have, since a read begins while less than a slice has been read.
const MAX_SLICE_BYTES: usize = SLICE_BYTES + READ_BYTES;
/// Turns of the other tasks in which a test looks at what was read.
const TURNS: usize = 200;

/// Starts a task that reads without end and adds up what it has read.
fn spawn_endless_reader(mut reader: SlicedReader<tokio::io::Repeat>, total: &Arc<AtomicUsize>) {
    let total = total.clone();
    tokio::spawn(async move {
        let mut buffer = [0; READ_BYTES];
        loop {
            let read = reader.read(&mut buffer).await.unwrap();
            total.fetch_add(read, Ordering::Relaxed);
        }
    });
}

/// The most that is read between two turns of this task, after `skipped` turns.
async fn most_read_in_a_turn(total: &AtomicUsize, skipped: usize) -> usize {
    let mut most = 0;
    for turn in 0..skipped + TURNS {
        let before = total.load(Ordering::Relaxed);
        yield_now().await;
        if turn >= skipped {
            most = most.max(total.load(Ordering::Relaxed) - before);
        }
    }
    most
}

#[tokio::test]
async fn reader_lets_other_tasks_run_after_each_slice() {
    let total = Arc::default();
    let mut reader = SlicedReader::new(tokio::io::repeat(b'x'), &TurnBudget::new());
    reader.leave_budget();
    spawn_endless_reader(reader, &total);
    let most = most_read_in_a_turn(&total, 0).await;
    assert!(most > 0 && most <= MAX_SLICE_BYTES, "{most} bytes in a turn");
}

/// Guards against review case 9: many busy strangers added up to seconds between two turns of the engine.
#[tokio::test]
async fn readers_with_a_budget_share_it_however_many_they_are() {
    const READERS: usize = 500;
    let (total, budget) = (Arc::default(), TurnBudget::new());
    for _ in 0..READERS {
        spawn_endless_reader(SlicedReader::new(tokio::io::repeat(b'x'), &budget), &total);
    }
    let refilled = budget.clone();
    tokio::spawn(async move { refilled.refill().await });
    // Each reader has its first slice before it shares the budget.
    let most = most_read_in_a_turn(&total, READERS).await;
    assert!(most > 0 && most <= UNITS_PER_TURN * MAX_SLICE_BYTES, "{most} bytes in a turn");
}

#[tokio::test]
async fn work_continues_in_the_order_in_which_it_was_asked_for() {
    let budget = TurnBudget::new();
    let refilled = budget.clone();
    tokio::spawn(async move { refilled.refill().await });
    let (sender, mut order) = tokio::sync::mpsc::unbounded_channel();
    for number in 0..50 {
        let (budget, sender) = (budget.clone(), sender.clone());
        let work = if number % 2 == 0 { Work::HttpResponse } else { Work::Pong };
        tokio::spawn(async move {
            budget.spend(work).await;
            sender.send(number).unwrap();
        });
    }
    for number in 0..50 {
        assert_eq!(order.recv().await, Some(number));
    }
}
