//! Cached results change no action: a director answers bit for bit like one that computes everything anew at each call.
mod site;

use proptest::prelude::*;
use site::Site;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A director, and a reference that drops its cached results before each call.
struct Pair {
    incremental: Director,
    reference: Director,
}

impl Pair {
    fn new(settings: &Settings, seed: u64) -> Pair {
        Pair {
            incremental: Director::new(settings.clone(), seed),
            reference: Director::new(settings.clone(), seed),
        }
    }

    /// The actions of both.
    fn handle(&mut self, now: u64, events: &[Event]) -> (Vec<Action>, Vec<Action>) {
        let (mut answer, mut expected) = (Vec::new(), Vec::new());
        self.incremental.handle(Timestamp(now), events, &mut answer);
        self.reference.clear_memo();
        self.reference.handle(Timestamp(now), events, &mut expected);
        (answer, expected)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, max_shrink_iters: 200, ..ProptestConfig::default() })]

    #[test]
    fn the_same_events_give_the_same_actions_bit_for_bit(
        kind in 0..120u32, seed in any::<u64>(), hosts in 3..40usize, proxies in 1..24u32, calls in 20..260usize,
    ) {
        let mut site = Site::new(kind, seed);
        let mut pair = Pair::new(&site.settings, seed);
        for call in 0..calls {
            let events = if call == 0 { site.first_events(hosts, proxies) } else { site.events() };
            let (answer, expected) = pair.handle(site.advance_clock(), &events);
            // Debug output of floats is exact.
            prop_assert_eq!(format!("{answer:?}"), format!("{expected:?}"), "call {}", call);
            prop_assert_eq!(pair.incremental.digest(), pair.reference.digest());
            if call % 16 == 15 {
                let written = pair.incremental.checkpoint();
                prop_assert_eq!(&written, &pair.reference.checkpoint(), "state after call {}", call);
                if call % 64 == 63 {
                    pair.incremental = Director::restore(&written).expect("it was written down just now");
                }
            }
            site.record_actions(&answer);
        }
    }
}

/// The actions that a director would order at a time without any event; the director itself stays unchanged.
fn answer_at(director: &Director, now: u64) -> String {
    let mut copy = director.clone();
    let mut out = Vec::new();
    copy.handle(Timestamp(now), &[], &mut out);
    out.retain(|action| !matches!(action, Action::SetTimer { .. }));
    format!("{out:?}")
}

/// The first time in a span at which the passing of time alone causes an action, to the microsecond. `None` if it does so
/// at the start of the span already, or not at all.
fn due_within(director: &Director, from: u64, to: u64) -> Option<u64> {
    let answers = |now: u64| answer_at(director, now) != "[]";
    if answers(from) || !answers(to) {
        return None;
    }
    let (mut before, mut due) = (from, to);
    while due - before > 1 {
        let middle = before + (due - before) / 2;
        (before, due) = if answers(middle) { (before, middle) } else { (middle, due) };
    }
    Some(due)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, max_shrink_iters: 100, ..ProptestConfig::default() })]

    #[test]
    fn effects_of_time_alone_happen_at_their_due_time_to_the_microsecond(
        kind in 0..120u32, seed in any::<u64>(), hosts in 4..24usize, calls in 20..90usize,
    ) {
        let mut site = Site::new(kind, seed);
        let mut director = Director::new(site.settings.clone(), seed);
        for call in 0..calls {
            let events = if call == 0 { site.first_events(hosts, 6) } else { site.events() };
            let mut out = Vec::new();
            director.handle(Timestamp(site.advance_clock()), &events, &mut out);
            site.record_actions(&out);
        }
        // Evaluations without events, until the state is steady.
        let mut now = site.now;
        for _ in 0..8 {
            now += 250_000;
            director.handle(Timestamp(now), &[], &mut Vec::new());
        }
        for _ in 0..4 {
            let mut reference = director.clone();
            reference.clear_memo();
            let Some(due) = due_within(&reference, now + 250_000, now + 9_000_000) else { continue };
            for at in [due - 1, due, due + 1] {
                prop_assert_eq!(answer_at(&director, at), answer_at(&reference, at), "due {}, at {}", due, at);
            }
            director.handle(Timestamp(due), &[], &mut Vec::new());
            now = due;
        }
    }
}

#[test]
fn due_times_of_ejection_probation_and_slow_start_are_found() {
    // The test above is meaningful only if time alone does have effects.
    let mut kinds_of_dues = [0; 3];
    for seed in 0..200 {
        let mut site = Site::new(1, seed);
        let mut director = Director::new(site.settings.clone(), seed);
        for call in 0..60 {
            let events = if call == 0 { site.first_events(12, 6) } else { site.events() };
            let mut out = Vec::new();
            director.handle(Timestamp(site.advance_clock()), &events, &mut out);
            site.record_actions(&out);
        }
        let mut now = site.now;
        for _ in 0..4 {
            let Some(due) = due_within(&director, now + 250_000, now + 9_000_000) else { continue };
            let answer = answer_at(&director, due);
            let is_seen =
                [answer.contains("0.125"), answer.contains("HostRecovered"), answer.contains("SetEntry")];
            for (count, seen) in kinds_of_dues.iter_mut().zip(is_seen) {
                *count += usize::from(seen);
            }
            director.handle(Timestamp(due), &[], &mut Vec::new());
            now = due;
        }
    }
    assert!(kinds_of_dues.iter().all(|count| *count > 0), "{kinds_of_dues:?}");
}

#[test]
fn changes_that_are_deferred_while_many_proxies_connect_are_not_recorded_as_sent() {
    // Regression: a table was recorded as up to date although changes of low priority had been deferred.
    for kind in (0..60).step_by(2) {
        let mut site = Site::new(kind, u64::from(kind));
        let mut pair = Pair::new(&site.settings, 7);
        let first = site.first_events(40, 8);
        let mut play = |site: &mut Site, now: u64, events: Vec<Event>| {
            let (answer, expected) = pair.handle(now, &events);
            assert_eq!(answer, expected, "kind {kind} at {now}");
            site.record_actions(&answer);
        };
        let now = site.now;
        play(&mut site, now, first);
        for look in 0..360 {
            let (now, mut events) = site.acknowledgements_only();
            if look == 200 {
                events.extend(site.crowd_and_new_weights(8..30));
            }
            play(&mut site, now, events);
        }
    }
}

#[test]
fn a_host_that_restarts_and_leaves_within_one_call_keeps_no_stale_records() {
    // Regression: cached records of a host from before its restart were kept when it left.
    for kind in 0..20 {
        let mut site = Site::new(kind, 11);
        let mut pair = Pair::new(&site.settings, 7);
        let first = site.first_events(8, 6);
        let mut play = |site: &mut Site, events: Vec<Event>| {
            let (answer, expected) = pair.handle(site.now, &events);
            assert_eq!(answer, expected, "kind {kind} at {}", site.now);
            site.record_actions(&answer);
        };
        play(&mut site, first);
        for look in 0..120 {
            let (_, mut events) = site.acknowledgements_only();
            if look % 10 == 5 {
                events.extend(site.start_and_leave(look));
            }
            play(&mut site, events);
        }
    }
}
