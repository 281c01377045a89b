//! Shares of the thread, with readers that always have more to read.

use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{advance, timeout};

/// Size of one read.
const READ_BYTES: usize = 4 << 10;
/// Turns of the other tasks in which a test looks at what was read.
const TURNS: usize = 200;
/// Length of the longest message.
const MIB: u64 = 1 << 20;
const MS: Duration = Duration::from_millis(1);

/// Time that a connection has for naming its client.
const TIME_LIMIT: Duration = Duration::from_secs(1);

fn open_account(budget: &TurnBudget) -> BudgetAccount {
    budget.open_account(Some(Instant::now() + TIME_LIMIT))
}

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
    let mut reader =
        SlicedReader::new(tokio::io::repeat(b'x'), open_account(&TurnBudget::for_unidentified()));
    let budget = TurnBudget::for_clients();
    reader.identify(budget.open_account(None));
    tokio::spawn(async move { budget.refill().await });
    spawn_endless_reader(reader, &total);
    let most = most_read_in_a_turn(&total, 0).await;
    assert!(most > 0 && most <= SLICE_BYTES, "{most} bytes in a turn");
}

/// Guards against a fault of a trial: connections that send less than a slice and wait, again and again, paid for
/// nothing.
#[tokio::test]
async fn reader_pays_for_all_but_its_first_bytes_however_small_the_pieces() {
    let budget = TurnBudget::for_unidentified();
    let (mut sender, receiver) = tokio::io::duplex(READ_BYTES);
    let mut reader = SlicedReader::new(receiver, open_account(&budget));
    let pieces = (FREE_BYTES + UNIDENTIFIED_UNITS as usize * SLICE_BYTES) / 512;
    for _ in 0..pieces {
        sender.write_all(&[0; 512]).await.unwrap();
        reader.read_exact(&mut [0; 512]).await.unwrap();
    }
    assert_eq!(budget.queue().free_units, 0);
    sender.write_all(&[0]).await.unwrap();
    let read = timeout(MS, reader.read_u8()).await;
    assert!(read.is_err(), "a byte was read that nothing had paid for");
    tokio::spawn(async move { budget.refill().await });
    assert_eq!(reader.read_u8().await.unwrap(), 0);
}

/// Guards against review case 9: many busy strangers added up to seconds between two turns of the engine.
#[tokio::test]
async fn readers_with_a_budget_share_it_however_many_they_are() {
    const READERS: usize = 500;
    let (total, budget) = (Arc::default(), TurnBudget::for_unidentified());
    for _ in 0..READERS {
        let account = open_account(&budget);
        spawn_endless_reader(SlicedReader::new(tokio::io::repeat(b'x'), account), &total);
    }
    let refilled = budget.clone();
    tokio::spawn(async move { refilled.refill().await });
    // Each reader has its free bytes before it shares the budget.
    let most = most_read_in_a_turn(&total, READERS).await;
    assert!(most > 0 && most <= UNIDENTIFIED_UNITS as usize * SLICE_BYTES, "{most} bytes in a turn");
}

/// Guards against a fault of a trial: 700 joined proxies that send all the time kept each other waiting.
#[tokio::test]
async fn identified_clients_share_a_budget_however_many_they_are() {
    const READERS: usize = 500;
    let (total, budget) = (Arc::default(), TurnBudget::for_clients());
    for _ in 0..READERS {
        let account = budget.open_account(None);
        let mut reader = SlicedReader::new(tokio::io::repeat(b'x'), account.clone());
        reader.identify(account);
        spawn_endless_reader(reader, &total);
    }
    tokio::spawn(async move { budget.refill().await });
    let most = most_read_in_a_turn(&total, READERS).await;
    assert!(most > 0 && most <= CLIENT_UNITS as usize * SLICE_BYTES, "{most} bytes in a turn");
}

/// Lets connections wait for a budget of which nothing is left, then refills it; returns their numbers in the
/// order in which they are served. Each is given with the time since the one before was accepted, and the bytes
/// of its message.
async fn order_of_service(connections: &[(u64, Duration, u64)]) -> Vec<u64> {
    let budget = TurnBudget::for_unidentified();
    for _ in 0..UNIDENTIFIED_UNITS {
        open_account(&budget).spend(Work::Slice).await;
    }
    let (sender, mut order) = tokio::sync::mpsc::unbounded_channel();
    for (connection_id, time_since_last, message_end) in connections.iter().copied() {
        advance(time_since_last).await;
        let (account, sender) = (open_account(&budget), sender.clone());
        account.set_message_end(message_end);
        tokio::spawn(async move {
            for _ in 0..UNIDENTIFIED_UNITS {
                account.spend(Work::Slice).await;
            }
            sender.send(connection_id).unwrap();
        });
        yield_now().await;
    }
    tokio::spawn(async move { budget.refill().await });
    let mut served = Vec::new();
    for _ in connections {
        served.push(order.recv().await.unwrap());
    }
    served
}

#[tokio::test(start_paused = true)]
async fn connections_are_served_by_age_and_need() {
    let connections = [(1, MS, MIB), (2, MS, MIB), (3, MS, 100_000), (4, MS, 0), (5, MS, 2 * MIB)];
    assert_eq!(order_of_service(&connections).await, [4, 3, 1, 2, 5]);
}

/// Guards against a fault of a trial: strangers with messages of 12 KiB, one after the other, kept proxies whose
/// first message has 1 MiB from joining.
#[tokio::test(start_paused = true)]
async fn long_message_is_passed_by_younger_ones_for_a_bounded_time_only() {
    let longest_delay = DELAY_PER_UNIT * (MIB / SLICE_BYTES as u64) as u32;
    let connections = [(1, MS, MIB), (2, longest_delay / 2, 12_000), (3, longest_delay / 2, 12_000)];
    assert_eq!(order_of_service(&connections).await, [2, 1, 3]);
}

/// Guards against a fault of a trial: beside more long messages than can be read in time, work for the oldest was
/// wasted, since their time ended before it was done.
#[tokio::test(start_paused = true)]
async fn connection_whose_work_begins_too_late_comes_after_those_in_time() {
    let time_for_work = TIME_PER_UNIT * (MIB / SLICE_BYTES as u64) as u32;
    let latest_start = TIME_LIMIT - time_for_work;
    let connections = [(1, MS, MIB), (2, latest_start - MS, MIB), (3, MS, MIB)];
    assert_eq!(order_of_service(&connections).await, [1, 2, 3]);
    let connections = [(1, MS, MIB), (2, latest_start, MIB), (3, MS, MIB)];
    assert_eq!(order_of_service(&connections).await, [2, 3, 1]);
    // A message that arrives late but is short can still be read.
    let connections = [(1, MS, 12_000), (2, latest_start, MIB), (3, MS, MIB)];
    assert_eq!(order_of_service(&connections).await, [1, 2, 3]);
}

#[tokio::test(start_paused = true)]
async fn connection_that_has_had_much_work_done_comes_later() {
    let budget = TurnBudget::for_unidentified();
    let busy = open_account(&budget);
    for _ in 0..3 {
        busy.spend(Work::Pong).await;
    }
    let idle = open_account(&budget);
    assert!(idle.rank() < busy.rank());
    assert_eq!(busy.rank(), idle.rank() + DELAY_PER_UNIT * 3);
}

#[tokio::test]
async fn units_of_a_connection_that_ends_while_it_waits_go_to_others() {
    let budget = TurnBudget::for_unidentified();
    let waiting: Vec<_> = (0..100)
        .map(|_| {
            let account = open_account(&budget);
            tokio::spawn(async move { account.spend(Work::HttpResponse).await })
        })
        .collect();
    yield_now().await;
    waiting.iter().take(99).for_each(|task| task.abort());
    let refilled = budget.clone();
    tokio::spawn(async move { refilled.refill().await });
    for task in waiting {
        let _ = task.await;
    }
    assert!(budget.queue().requests.is_empty() && budget.queue().order.is_empty());
    assert!(budget.queue().free_units <= UNIDENTIFIED_UNITS);
}
