//! Queue, timeouts and backoff of a sink.

use super::*;
use proptest::prelude::*;

const S: u64 = 1_000_000;

fn bytes(length: usize) -> Arc<[u8]> {
    vec![b'x'; length].into()
}

fn limits() -> SinkLimits {
    SinkLimits { max_queued_bytes: 1000, ..SinkLimits::default() }
}

fn actions(sink: &mut Sink, at: u64, input: SinkEvent) -> Vec<SinkAction> {
    let mut out = Vec::new();
    sink.handle(Timestamp(at), input, &mut out);
    out
}

#[test]
fn intervals_are_written_one_after_the_other_once_it_is_up() {
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
fn one_that_is_frozen_is_cut_off_and_its_queue_is_bounded() {
    let mut sink = Sink::new(limits(), 1);
    actions(&mut sink, 0, SinkEvent::Interval(bytes(100)));
    actions(&mut sink, 0, SinkEvent::Connected);
    for number in 1..500 {
        let out = actions(&mut sink, number * S / 10, SinkEvent::Interval(bytes(100)));
        assert!(sink.queued_bytes() <= 1000);
        if number == 100 {
            assert_eq!(out, [SinkAction::Disconnect], "10 s for one interval");
        }
    }
    assert!(sink.is_down() && sink.counts.dropped(DropReason::QueueFull) >= 480);
    assert_eq!(actions(&mut sink, 0, SinkEvent::Interval(bytes(1001))), []);
    assert_eq!(sink.counts.dropped(DropReason::TooLarge), 1);
}

#[test]
fn pauses_grow_to_the_longest_and_are_drawn_apart() {
    let pauses = |seed: u64| {
        let mut sink = Sink::new(limits(), seed);
        let (mut now, mut pauses) = (0, Vec::new());
        actions(&mut sink, now, SinkEvent::Interval(bytes(10)));
        for _ in 0..10 {
            actions(&mut sink, now, SinkEvent::Disconnected);
            let due = sink.next_deadline().unwrap().0;
            pauses.push(due - now);
            now = due;
            assert_eq!(actions(&mut sink, now, SinkEvent::Tick), [SinkAction::Connect]);
        }
        pauses
    };
    let one = pauses(1);
    for (at, pause) in one.iter().enumerate() {
        let whole = (S << at).min(60 * S);
        assert!((whole * 3 / 4..=whole).contains(pause), "{at}: {pause}");
    }
    assert_ne!(one, pauses(2), "two directors come back apart");
    assert_eq!(one, pauses(1), "and each the same way for its seed");
}

#[test]
fn one_that_closes_in_the_middle_of_an_interval_gets_it_again_from_its_beginning() {
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
fn a_connection_that_does_not_come_up_is_given_up_on() {
    let mut sink = Sink::new(limits(), 1);
    actions(&mut sink, 0, SinkEvent::Interval(bytes(100)));
    assert_eq!(sink.next_deadline(), Some(Timestamp(2 * S)));
    assert_eq!(actions(&mut sink, 2 * S - 1, SinkEvent::Tick), []);
    assert_eq!(actions(&mut sink, 2 * S, SinkEvent::Tick), [SinkAction::Disconnect]);
    assert_eq!(sink.counts.failed_connections, 1);
    // A late word of the connection that was given up on changes nothing.
    assert_eq!(actions(&mut sink, 2 * S + 1, SinkEvent::Connected), []);
    assert_eq!(actions(&mut sink, 2 * S + 2, SinkEvent::Written(50)), []);
    assert_eq!(sink.counts.written_bytes, 0);
}

#[test]
fn an_hour_of_a_dead_receiver_costs_no_more_than_its_first_minute() {
    let mut sink = Sink::new(SinkLimits { max_queued_bytes: 100_000, ..SinkLimits::default() }, 3);
    let (mut now, mut out, mut dials) = (0, Vec::new(), 0);
    let mut most = [0, 0];
    for second in 0..3600u64 {
        now = second * S;
        out.clear();
        if second % 10 == 0 {
            sink.handle(Timestamp(now), SinkEvent::Interval(bytes(9_000)), &mut out);
        } else {
            sink.handle(Timestamp(now), SinkEvent::Tick, &mut out);
        }
        // Each dial is refused, or hangs until it is given up on.
        while let Some(order) = out.pop() {
            dials += u32::from(order == SinkAction::Connect);
            if order == SinkAction::Connect && dials % 2 == 0 {
                sink.handle(Timestamp(now), SinkEvent::Disconnected, &mut out);
            }
        }
        let half = usize::from(second >= 120);
        most[half] = most[half].max(sink.queued_bytes());
    }
    assert!(most[1] <= most[0] && most[0] <= 100_000, "{most:?}");
    assert!((60..130).contains(&dials), "a pause of a minute at most: {dials} dials");
    assert_eq!(sink.counts.dropped(DropReason::QueueFull), 360 - sink.queue.len() as u64, "at {now}");
}

proptest! {
    #[test]
    fn whatever_a_receiver_does_its_queue_is_bounded_and_intervals_go_whole_and_in_order(
        seed in any::<u64>(), steps in prop::collection::vec((0..4_000_000u64, 0..7u8, 1..400usize), 1..200),
    ) {
        let mut sink = Sink::new(limits(), seed);
        let (mut now, mut number, mut out) = (0, 0, Vec::new());
        let mut writing: Option<(Arc<[u8]>, usize)> = None;
        let (mut queued, mut done) = (0u64, 0u64);
        for (step, kind, size) in steps {
            now += step;
            let input = match kind {
                0..=2 => {
                    number += 1;
                    queued += 1;
                    SinkEvent::Interval(vec![number as u8; size].into())
                }
                3 => SinkEvent::Connected,
                4 => { writing = None; SinkEvent::Disconnected }
                5 => match &mut writing {
                    Some((bytes, at)) => {
                        let took = size.min(bytes.len() - *at);
                        *at += took;
                        SinkEvent::Written(took)
                    }
                    None => SinkEvent::Tick,
                },
                _ => SinkEvent::Tick,
            };
            out.clear();
            sink.handle(Timestamp(now), input, &mut out);
            if writing.as_ref().is_some_and(|(bytes, at)| *at == bytes.len()) {
                writing = None;
                done += 1;
            }
            for order in &out {
                match order {
                    SinkAction::Disconnect => writing = None,
                    SinkAction::Write { bytes, offset: from } => {
                        prop_assert!(writing.is_none() && *from == 0, "one at a time, from its beginning");
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
