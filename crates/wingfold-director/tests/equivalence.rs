//! A director that uses cached results requests the same actions, bit for bit, as a director that computes
//! all results anew in each call.
mod site;

use proptest::prelude::*;
use site::Site;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A director, and a reference director that drops its cached results before each call.
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

    /// Calls both directors; returns the actions of the incremental one, then those of the reference.
    fn handle(&mut self, now: u64, events: &[Event]) -> (Vec<Action>, Vec<Action>) {
        let (mut actions, mut expected) = (Vec::new(), Vec::new());
        self.incremental.handle(Timestamp(now), events, &mut actions);
        self.reference.clear_memo();
        self.reference.handle(Timestamp(now), events, &mut expected);
        (actions, expected)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, max_shrink_iters: 200, ..ProptestConfig::default() })]

    #[test]
    fn cached_results_change_no_action_digest_or_checkpoint(
        deployment in 0..120u32,
        seed in any::<u64>(),
        hosts in 3..40usize,
        proxies in 1..24u32,
        calls in 20..260usize,
    ) {
        let mut site = Site::new(deployment, seed);
        let mut pair = Pair::new(&site.settings, seed);
        for call in 0..calls {
            let events = if call == 0 { site.first_events(hosts, proxies) } else { site.events() };
            let (actions, expected) = pair.handle(site.advance_clock(), &events);
            // The debug output of floats is exact.
            prop_assert_eq!(format!("{actions:?}"), format!("{expected:?}"), "actions of call {}", call);
            prop_assert_eq!(pair.incremental.digest(), pair.reference.digest(), "digest after call {}", call);
            if call % 16 == 15 {
                let checkpoint = pair.incremental.checkpoint();
                prop_assert_eq!(&checkpoint, &pair.reference.checkpoint(), "checkpoint after call {}", call);
                if call % 64 == 63 {
                    pair.incremental = Director::restore(&checkpoint)
                        .expect("a director cannot restore its own checkpoint");
                }
            }
            site.record_actions(&actions);
        }
    }
}

/// The debug output of the actions that a director would request at time `now` without any event, except
/// timers. The director itself stays unchanged.
fn actions_at(director: &Director, now: u64) -> String {
    let mut copy = director.clone();
    let mut out = Vec::new();
    copy.handle(Timestamp(now), &[], &mut out);
    out.retain(|action| !matches!(action, Action::SetTimer { .. }));
    format!("{out:?}")
}

/// The first time between `from` and `to` at which the passing of time alone causes an action, to the
/// microsecond. `None` if time alone causes an action at `from` already, or none at `to`.
fn first_action_within(director: &Director, from: u64, to: u64) -> Option<u64> {
    let has_actions = |now: u64| actions_at(director, now) != "[]";
    if has_actions(from) || !has_actions(to) {
        return None;
    }
    let (mut before, mut due) = (from, to);
    while due - before > 1 {
        let middle = before + (due - before) / 2;
        (before, due) = if has_actions(middle) { (before, middle) } else { (middle, due) };
    }
    Some(due)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, max_shrink_iters: 100, ..ProptestConfig::default() })]

    #[test]
    fn cached_results_do_not_shift_actions_caused_by_time_alone(
        deployment in 0..120u32, seed in any::<u64>(), hosts in 4..24usize, calls in 20..90usize,
    ) {
        let mut site = Site::new(deployment, seed);
        let mut director = Director::new(site.settings.clone(), seed);
        for call in 0..calls {
            let events = if call == 0 { site.first_events(hosts, 6) } else { site.events() };
            let mut out = Vec::new();
            director.handle(Timestamp(site.advance_clock()), &events, &mut out);
            site.record_actions(&out);
        }
        // Calls without events, until the state is steady.
        let mut now = site.now;
        for _ in 0..8 {
            now += 250_000;
            director.handle(Timestamp(now), &[], &mut Vec::new());
        }
        for _ in 0..4 {
            let mut reference = director.clone();
            reference.clear_memo();
            let Some(due) = first_action_within(&reference, now + 250_000, now + 9_000_000) else { continue };
            for at in [due - 1, due, due + 1] {
                let (actions, expected) = (actions_at(&director, at), actions_at(&reference, at));
                prop_assert_eq!(actions, expected, "actions at {}, due at {}", at, due);
            }
            director.handle(Timestamp(due), &[], &mut Vec::new());
            now = due;
        }
    }
}

#[test]
fn time_alone_causes_probation_recovery_and_entry_changes() {
    // Guards against the test above passing because time alone never causes an action.
    let mut counts_by_kind = [0; 3];
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
            let Some(due) = first_action_within(&director, now + 250_000, now + 9_000_000) else { continue };
            let actions = actions_at(&director, due);
            let kinds =
                [actions.contains("0.125"), actions.contains("HostRecovered"), actions.contains("SetEntry")];
            for (count, is_present) in counts_by_kind.iter_mut().zip(kinds) {
                *count += usize::from(is_present);
            }
            director.handle(Timestamp(due), &[], &mut Vec::new());
            now = due;
        }
    }
    assert!(
        counts_by_kind.iter().all(|count| *count > 0),
        "number of times at which a probation starts, a host recovers, an entry is set: {counts_by_kind:?}"
    );
}

#[test]
fn changes_deferred_while_proxies_connect_do_not_count_as_sent() {
    // Regression: while many proxies connected, a table was recorded as up to date although its low-priority
    // changes had been deferred.
    for deployment in (0..60).step_by(2) {
        let mut site = Site::new(deployment, u64::from(deployment));
        let mut pair = Pair::new(&site.settings, 7);
        let first = site.first_events(40, 8);
        let mut handle = |site: &mut Site, now: u64, events: Vec<Event>| {
            let (actions, expected) = pair.handle(now, &events);
            assert_eq!(actions, expected, "actions of deployment {deployment} at {now} us");
            site.record_actions(&actions);
        };
        let now = site.now;
        handle(&mut site, now, first);
        for call in 0..360 {
            let (now, mut events) = site.advance_with_acknowledgements();
            if call == 200 {
                events.extend(site.connect_proxies_and_double_weights(8..30));
            }
            handle(&mut site, now, events);
        }
    }
}

#[test]
fn no_stale_records_if_a_host_restarts_and_leaves_in_one_call() {
    // Regression: when a host restarted and left within one call, cached records from before its restart were
    // kept.
    for deployment in 0..20 {
        let mut site = Site::new(deployment, 11);
        let mut pair = Pair::new(&site.settings, 7);
        let first = site.first_events(8, 6);
        let mut handle = |site: &mut Site, events: Vec<Event>| {
            let (actions, expected) = pair.handle(site.now, &events);
            assert_eq!(actions, expected, "actions of deployment {deployment} at {} us", site.now);
            site.record_actions(&actions);
        };
        handle(&mut site, first);
        for call in 0..120 {
            let (_, mut events) = site.advance_with_acknowledgements();
            if call % 10 == 5 {
                events.extend(site.restart_and_remove(call));
            }
            handle(&mut site, events);
        }
    }
}
