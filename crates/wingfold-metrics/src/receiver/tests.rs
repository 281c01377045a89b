use super::*;
use proptest::prelude::*;

const S: u64 = 1_000_000;

fn bytes(length: usize) -> Arc<[u8]> {
    vec![b'x'; length].into()
}

fn rules() -> Rules {
    Rules { most: 1000, ..Rules::default() }
}

fn orders(receiver: &mut Receiver, at: u64, input: Input) -> Vec<Order> {
    let mut out = Vec::new();
    receiver.take(Timestamp(at), input, &mut out);
    out
}

#[test]
fn intervals_are_written_one_after_the_other_once_it_is_up() {
    let mut one = Receiver::new(rules(), 1);
    assert_eq!(orders(&mut one, 0, Input::Interval(1, bytes(100))), [Order::Dial]);
    assert_eq!(orders(&mut one, 1, Input::Interval(2, bytes(50))), []);
    assert_eq!(orders(&mut one, 2, Input::Up), [Order::Write(bytes(100), 0)]);
    assert_eq!(orders(&mut one, 3, Input::Took(60)), []);
    assert_eq!(orders(&mut one, 4, Input::Took(40)), [Order::Write(bytes(50), 0)]);
    assert_eq!(orders(&mut one, 5, Input::Took(50)), []);
    assert_eq!((one.waiting(), one.counts.intervals, one.well_since()), (0, 2, Some(Timestamp(4))));
}

#[test]
fn one_that_is_frozen_is_cut_off_and_its_queue_is_bounded() {
    let mut one = Receiver::new(rules(), 1);
    orders(&mut one, 0, Input::Interval(0, bytes(100)));
    orders(&mut one, 0, Input::Up);
    for number in 1..500 {
        let out = orders(&mut one, number * S / 10, Input::Interval(number, bytes(100)));
        assert!(one.waiting() <= 1000);
        if number == 100 {
            assert_eq!(out, [Order::Hang], "10 s for one interval");
        }
    }
    assert!(one.is_down() && one.counts.dropped[Dropped::Full as usize] >= 480);
    assert_eq!(orders(&mut one, 0, Input::Interval(501, bytes(1001))), []);
    assert_eq!(one.counts.dropped[Dropped::Large as usize], 1);
}

#[test]
fn pauses_grow_to_the_longest_and_are_drawn_apart() {
    let pauses = |seed: u64| {
        let mut one = Receiver::new(rules(), seed);
        let (mut now, mut pauses) = (0, Vec::new());
        orders(&mut one, now, Input::Interval(1, bytes(10)));
        for _ in 0..10 {
            orders(&mut one, now, Input::Down);
            let due = one.due().unwrap().0;
            pauses.push(due - now);
            now = due;
            assert_eq!(orders(&mut one, now, Input::Tick), [Order::Dial]);
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
    let mut one = Receiver::new(rules(), 1);
    orders(&mut one, 0, Input::Interval(1, bytes(100)));
    orders(&mut one, 0, Input::Up);
    orders(&mut one, 1, Input::Took(70));
    assert_eq!(orders(&mut one, 2, Input::Down), []);
    let due = one.due().unwrap().0;
    assert_eq!(orders(&mut one, due, Input::Tick), [Order::Dial]);
    assert_eq!(orders(&mut one, due + 1, Input::Up), [Order::Write(bytes(100), 0)]);
}

#[test]
fn a_connection_that_does_not_come_up_is_given_up_on() {
    let mut one = Receiver::new(rules(), 1);
    orders(&mut one, 0, Input::Interval(1, bytes(100)));
    assert_eq!(one.due(), Some(Timestamp(2 * S)));
    assert_eq!(orders(&mut one, 2 * S - 1, Input::Tick), []);
    assert_eq!(orders(&mut one, 2 * S, Input::Tick), [Order::Hang]);
    assert_eq!(one.counts.cuts, 1);
    // A late word of the connection that was given up on changes nothing.
    assert_eq!(orders(&mut one, 2 * S + 1, Input::Up), []);
    assert_eq!(orders(&mut one, 2 * S + 2, Input::Took(50)), []);
    assert_eq!(one.counts.sent, 0);
}

#[test]
fn an_hour_of_a_dead_receiver_costs_no_more_than_its_first_minute() {
    let mut one = Receiver::new(Rules { most: 100_000, ..Rules::default() }, 3);
    let (mut now, mut out, mut dials) = (0, Vec::new(), 0);
    let mut most = [0, 0];
    for second in 0..3600u64 {
        now = second * S;
        out.clear();
        if second % 10 == 0 {
            one.take(Timestamp(now), Input::Interval(second, bytes(9_000)), &mut out);
        } else {
            one.take(Timestamp(now), Input::Tick, &mut out);
        }
        // Each dial is refused, or hangs until it is given up on.
        while let Some(order) = out.pop() {
            dials += u32::from(order == Order::Dial);
            if order == Order::Dial && dials % 2 == 0 {
                one.take(Timestamp(now), Input::Down, &mut out);
            }
        }
        let half = usize::from(second >= 120);
        most[half] = most[half].max(one.waiting());
    }
    assert!(most[1] <= most[0] && most[0] <= 100_000, "{most:?}");
    assert!((60..130).contains(&dials), "a pause of a minute at most: {dials} dials");
    assert_eq!(one.counts.dropped[Dropped::Full as usize], 360 - one.queue.len() as u64, "at {now}");
}

proptest! {
    #[test]
    fn whatever_a_receiver_does_its_queue_is_bounded_and_intervals_go_whole_and_in_order(
        seed in any::<u64>(), steps in prop::collection::vec((0..4_000_000u64, 0..7u8, 1..400usize), 1..200),
    ) {
        let mut one = Receiver::new(rules(), seed);
        let (mut now, mut number, mut out) = (0, 0, Vec::new());
        let mut writing: Option<(Arc<[u8]>, usize)> = None;
        let (mut queued, mut done) = (0u64, 0u64);
        for (step, kind, size) in steps {
            now += step;
            let input = match kind {
                0..=2 => {
                    number += 1;
                    queued += 1;
                    Input::Interval(number, vec![number as u8; size].into())
                }
                3 => Input::Up,
                4 => { writing = None; Input::Down }
                5 => match &mut writing {
                    Some((bytes, at)) => {
                        let took = size.min(bytes.len() - *at);
                        *at += took;
                        Input::Took(took)
                    }
                    None => Input::Tick,
                },
                _ => Input::Tick,
            };
            out.clear();
            one.take(Timestamp(now), input, &mut out);
            if writing.as_ref().is_some_and(|(bytes, at)| *at == bytes.len()) {
                writing = None;
                done += 1;
            }
            for order in &out {
                match order {
                    Order::Hang => writing = None,
                    Order::Write(bytes, from) => {
                        prop_assert!(writing.is_none() && *from == 0, "one at a time, from its beginning");
                        writing = Some((bytes.clone(), 0));
                    }
                    Order::Dial => prop_assert!(writing.is_none()),
                }
            }
            prop_assert!(one.waiting() <= 1000);
            prop_assert_eq!(one.counts.intervals, done);
            let dropped: u64 = one.counts.dropped.iter().sum();
            prop_assert!(queued >= done + dropped);
        }
    }
}
