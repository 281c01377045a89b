//! The queue, the timeouts and the backoff of a sink.

use super::*;
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;

fn bytes(length: usize) -> Arc<[u8]> {
    vec![b'x'; length].into()
}

fn limits() -> SinkLimits {
    SinkLimits { max_queued_bytes: 1000, ..SinkLimits::default() }
}

fn actions(sink: &mut Sink, at: u64, event: SinkEvent) -> Vec<SinkAction> {
    let mut out = Vec::new();
    sink.handle(Timestamp(at), event, &mut out);
    out
}

#[test]
fn intervals_are_written_in_order_once_connected() {
    let mut sink = Sink::new(limits(), 1);
    assert_eq!(actions(&mut sink, 0, SinkEvent::Interval(bytes(100))), [SinkAction::Connect]);
    assert_eq!(actions(&mut sink, 1, SinkEvent::Interval(bytes(50))), []);
    assert_eq!(
        actions(&mut sink, 2, SinkEvent::Connected),
        [SinkAction::Write { bytes: bytes(100), offset: 0 }]
    );
    assert_eq!(actions(&mut sink, 3, SinkEvent::Written(60)), []);
    assert_eq!(
        actions(&mut sink, 4, SinkEvent::Written(40)),
        [SinkAction::Write { bytes: bytes(50), offset: 0 }]
    );
    assert_eq!(actions(&mut sink, 5, SinkEvent::Written(50)), []);
    assert_eq!(
        (sink.queued_bytes(), sink.counts.intervals, sink.healthy_since()),
        (0, 2, Some(Timestamp(4)))
    );
}

#[test]
fn write_timeout_disconnects_and_queue_stays_bounded() {
    let mut sink = Sink::new(limits(), 1);
    actions(&mut sink, 0, SinkEvent::Interval(bytes(100)));
    actions(&mut sink, 0, SinkEvent::Connected);
    for number in 1..500 {
        let out = actions(&mut sink, number * SECOND / 10, SinkEvent::Interval(bytes(100)));
        assert!(sink.queued_bytes() <= 1000);
        if number == 100 {
            assert_eq!(out, [SinkAction::Disconnect], "one interval took 10 s");
        }
    }
    assert!(sink.is_down() && sink.counts.dropped(DropReason::QueueFull) >= 480);
    assert_eq!(actions(&mut sink, 0, SinkEvent::Interval(bytes(1001))), []);
    assert_eq!(sink.counts.dropped(DropReason::TooLarge), 1);
}

#[test]
fn backoffs_grow_to_the_maximum_and_differ_by_seed() {
    let backoffs_of = |seed: u64| {
        let mut sink = Sink::new(limits(), seed);
        let (mut now, mut backoffs) = (0, Vec::new());
        actions(&mut sink, now, SinkEvent::Interval(bytes(10)));
        for _ in 0..10 {
            actions(&mut sink, now, SinkEvent::Disconnected);
            let due = sink.next_deadline().unwrap().0;
            backoffs.push(due - now);
            now = due;
            assert_eq!(actions(&mut sink, now, SinkEvent::Tick), [SinkAction::Connect]);
        }
        backoffs
    };
    let backoffs = backoffs_of(1);
    for (index, backoff) in backoffs.iter().enumerate() {
        let full = (SECOND << index).min(60 * SECOND);
        assert!((full * 3 / 4..=full).contains(backoff), "{index}: {backoff}");
    }
    assert_ne!(backoffs, backoffs_of(2), "another seed gives other backoffs");
    assert_eq!(backoffs, backoffs_of(1), "the same seed gives the same backoffs");
}

#[test]
fn interval_cut_by_a_disconnection_is_written_again_completely() {
    let mut sink = Sink::new(limits(), 1);
    actions(&mut sink, 0, SinkEvent::Interval(bytes(100)));
    actions(&mut sink, 0, SinkEvent::Connected);
    actions(&mut sink, 1, SinkEvent::Written(70));
    assert_eq!(actions(&mut sink, 2, SinkEvent::Disconnected), []);
    let due = sink.next_deadline().unwrap().0;
    assert_eq!(actions(&mut sink, due, SinkEvent::Tick), [SinkAction::Connect]);
    assert_eq!(
        actions(&mut sink, due + 1, SinkEvent::Connected),
        [SinkAction::Write { bytes: bytes(100), offset: 0 }]
    );
}

#[test]
fn connect_timeout_disconnects_and_later_events_are_ignored() {
    let mut sink = Sink::new(limits(), 1);
    actions(&mut sink, 0, SinkEvent::Interval(bytes(100)));
    assert_eq!(sink.next_deadline(), Some(Timestamp(2 * SECOND)));
    assert_eq!(actions(&mut sink, 2 * SECOND - 1, SinkEvent::Tick), []);
    assert_eq!(actions(&mut sink, 2 * SECOND, SinkEvent::Tick), [SinkAction::Disconnect]);
    assert_eq!(sink.counts.failed_connections, 1);
    // Late events of the connection that timed out have no effect.
    assert_eq!(actions(&mut sink, 2 * SECOND + 1, SinkEvent::Connected), []);
    assert_eq!(actions(&mut sink, 2 * SECOND + 2, SinkEvent::Written(50)), []);
    assert_eq!(sink.counts.written_bytes, 0);
}

#[test]
fn queue_and_connect_rate_stay_bounded_during_an_hour_of_failure() {
    let mut sink = Sink::new(SinkLimits { max_queued_bytes: 100_000, ..SinkLimits::default() }, 3);
    let (mut now, mut out, mut connects) = (0, Vec::new(), 0);
    // During the first two minutes, and after them.
    let mut max_queued = [0, 0];
    for second in 0..3600u64 {
        now = second * SECOND;
        out.clear();
        if second % 10 == 0 {
            sink.handle(Timestamp(now), SinkEvent::Interval(bytes(9_000)), &mut out);
        } else {
            sink.handle(Timestamp(now), SinkEvent::Tick, &mut out);
        }
        // Connections are alternately refused at once, or not established until the timeout.
        while let Some(action) = out.pop() {
            connects += u32::from(action == SinkAction::Connect);
            if action == SinkAction::Connect && connects % 2 == 0 {
                sink.handle(Timestamp(now), SinkEvent::Disconnected, &mut out);
            }
        }
        let part = usize::from(second >= 120);
        max_queued[part] = max_queued[part].max(sink.queued_bytes());
    }
    assert!(max_queued[1] <= max_queued[0] && max_queued[0] <= 100_000, "{max_queued:?}");
    assert!((60..130).contains(&connects), "the backoff is at most a minute: {connects} connects");
    assert_eq!(sink.counts.dropped(DropReason::QueueFull), 360 - sink.queue.len() as u64, "at {now}");
}

proptest! {
    #[test]
    fn queue_is_bounded_and_intervals_are_written_completely_one_by_one(
        seed in any::<u64>(), steps in prop::collection::vec((0..4_000_000u64, 0..7u8, 1..400usize), 1..200),
    ) {
        let mut sink = Sink::new(limits(), seed);
        let (mut now, mut number, mut out) = (0, 0, Vec::new());
        let mut writing: Option<(Arc<[u8]>, usize)> = None;
        let (mut queued, mut done) = (0u64, 0u64);
        for (step, kind, size) in steps {
            now += step;
            let event = match kind {
                0..=2 => {
                    number += 1;
                    queued += 1;
                    SinkEvent::Interval(vec![number as u8; size].into())
                }
                3 => SinkEvent::Connected,
                4 => { writing = None; SinkEvent::Disconnected }
                5 => match &mut writing {
                    Some((bytes, at)) => {
                        let written = size.min(bytes.len() - *at);
                        *at += written;
                        SinkEvent::Written(written)
                    }
                    None => SinkEvent::Tick,
                },
                _ => SinkEvent::Tick,
            };
            out.clear();
            sink.handle(Timestamp(now), event, &mut out);
            if writing.as_ref().is_some_and(|(bytes, at)| *at == bytes.len()) {
                writing = None;
                done += 1;
            }
            for action in &out {
                match action {
                    SinkAction::Disconnect => writing = None,
                    SinkAction::Write { bytes, offset } => {
                        let starts_anew = writing.is_none() && *offset == 0;
                        prop_assert!(starts_anew, "one interval at a time, from its start");
                        writing = Some((bytes.clone(), 0));
                    }
                    SinkAction::Connect => prop_assert!(writing.is_none()),
                }
            }
            prop_assert!(sink.queued_bytes() <= 1000);
            prop_assert_eq!(sink.counts.intervals, done);
            let dropped: u64 = sink.counts.dropped.iter().sum();
            prop_assert!(queued >= done + dropped);
        }
    }
}
