use super::*;
use proptest::prelude::*;

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

fn length(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

/// News each second at a rate, up to a time.
fn source(pieces: f64, until: f64) -> Silence {
    let mut one = Silence::new(at(0.0), length(1.0));
    for second in 1..=until as u32 {
        one.heard(at(f64::from(second)), pieces);
        assert_eq!(one.look(at(f64::from(second) + 0.5), Some(0.0), Signs::default()), State::Heard);
    }
    one
}

#[test]
fn a_busy_place_that_stops_is_silent_and_a_calm_one_is_quiet() {
    let mut busy = source(20.0, 60.0);
    assert_eq!(busy.look(at(63.0), Some(0.0), Signs::default()), State::Heard, "not late yet");
    assert_eq!(busy.look(at(64.0), Some(0.0), Signs::default()), State::Silent);
    let mut calm = Silence::new(at(0.0), length(1.0));
    for second in (1..=60).step_by(15) {
        calm.heard(at(f64::from(second)), 1.0);
    }
    assert_eq!(
        calm.look(at(66.0), Some(0.0), Signs::default()),
        State::Quiet,
        "one in 15 s: chance explains it"
    );
    assert_eq!(
        calm.look(at(400.0), Some(0.0), Signs::default()),
        State::Silent,
        "for six minutes it does not"
    );
    assert!(calm.age(at(400.0)) > 300.0, "and its age rises");
}

#[test]
fn a_night_that_grows_quiet_is_no_cut() {
    let mut hall = Silence::new(at(0.0), length(1.0));
    let mut now = 0.0;
    // Ever less, down to one piece in twenty seconds.
    for gap in [1.0, 2.0, 4.0, 8.0, 15.0, 20.0] {
        for _ in 0..8 {
            now += gap;
            hall.heard(at(now), 1.0);
            let state = hall.look(at(now + 0.9 * gap), Some(0.0), Signs::default());
            assert!(state <= State::Quiet, "a piece in {gap} s: {state:?}");
        }
    }
}

#[test]
fn a_cut_is_told_from_a_dead_collector_and_stays_until_it_is_heard_again() {
    let cut = Signs { streams_broken: true, ..Signs::default() };
    let mut hall = source(20.0, 60.0);
    assert_eq!(hall.look(at(64.0), Some(0.0), cut), State::Cut);
    // The signs pass (nobody tries the hosts any more), the cut does not.
    assert_eq!(hall.look(at(90.0), Some(0.0), Signs::default()), State::Cut);
    hall.heard(at(91.0), 5.0);
    assert_eq!(hall.look(at(91.1), Some(0.0), Signs::default()), State::Cut, "one late piece is no return");
    hall.heard(at(92.0), 5.0);
    assert_eq!(hall.look(at(92.1), Some(0.0), Signs::default()), State::Heard);
    let mut collector = source(20.0, 60.0);
    let others = Signs { others_speak: true, ..Signs::default() };
    assert_eq!(collector.look(at(64.0), Some(0.0), others), State::Silent, "its proxies speak: it is dead");
    let idle = Signs { others_speak: true, idle: true, ..Signs::default() };
    let mut idle_class = source(20.0, 60.0);
    assert_eq!(idle_class.look(at(70.0), Some(0.0), idle), State::Quiet);
}

#[test]
fn where_nothing_is_due_nothing_is_missed() {
    let mut hall = source(20.0, 60.0);
    let gone = Signs { streams_broken: true, ..Signs::default() };
    assert_eq!(hall.look(at(100.0), None, gone), State::Quiet, "its proxies went to another director");
    let cut = Signs { hosts_beyond: true, ..gone };
    assert_eq!(hall.look(at(101.0), None, cut), State::Cut, "they went, and its hosts are out of reach");
    let mut never = Silence::new(at(0.0), length(1.0));
    assert_eq!(never.look(at(2.0), Some(20.0), Signs::default()), State::Heard, "not due yet");
    assert_eq!(never.look(at(9.0), Some(20.0), Signs::default()), State::Silent, "due and never heard");
    assert!(!never.known());
    let mut idle = Silence::new(at(0.0), length(1.0));
    assert_eq!(idle.look(at(60.0), Some(0.01), Signs::default()), State::Quiet, "proxies without traffic");
}

#[test]
fn lag_begins_with_a_gap_and_ends_when_more_than_usual_comes_at_once() {
    let mut lag = Lag::new(length(1.0));
    let told = |lag: &mut Lag, now: f64, second: u32| {
        // Host 1 has tries in some periods only; some sums come later than others.
        for (number, after) in [(0, 0.0), (2, 0.1), (3, 0.2), (1, 0.5)] {
            if number != 1 || second.is_multiple_of(3) {
                lag.heard(at(now + after), 9.0);
            }
        }
    };
    for second in 1..200 {
        told(&mut lag, f64::from(second) + 0.4, second);
    }
    assert!(lag.secs() < 1.2, "{}", lag.secs());
    // From then on everything comes three seconds later.
    for second in 200..215 {
        told(&mut lag, f64::from(second) + 3.4, second);
    }
    assert!((1.7..=3.8).contains(&lag.secs()), "{}", lag.secs());
    // It catches up: what is due comes at once.
    for second in 215..219 {
        told(&mut lag, 218.4, second);
    }
    for second in 219..224 {
        told(&mut lag, f64::from(second) + 0.4, second);
    }
    assert!(lag.secs() < 1.2, "{}", lag.secs());
    // A cut of half a minute is no lag: what it held back is lost.
    for second in 254..260 {
        told(&mut lag, f64::from(second) + 0.4, second);
    }
    assert!(lag.secs() < 1.2, "{}", lag.secs());
}

proptest! {
    #[test]
    fn whatever_comes_states_follow_their_rules(steps in prop::collection::vec((0.01..20.0f64, 0.0..30.0f64, any::<[bool; 6]>()), 1..60)) {
        let (mut one, mut now) = (Silence::new(at(0.0), length(1.0)), 0.0);
        for (step, pieces, [hears, due, others_speak, idle, streams_broken, hosts_beyond]) in steps {
            now += step;
            if hears {
                one.heard(at(now), pieces);
            }
            let age = one.age(at(now));
            let due = due.then_some(2.0);
            let state = one.look(at(now), due, Signs { others_speak, idle, streams_broken, hosts_beyond });
            prop_assert!(age >= 0.0 && (age <= 3.5 || state != State::Heard), "late is never heard");
            prop_assert!(!(others_speak && idle) || age <= 3.5 || state == State::Quiet);
            if others_speak && age > 3.5 {
                prop_assert!(state != State::Cut, "what speaks is not cut off");
            }
        }
    }
}
