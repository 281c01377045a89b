//! States of a source, by its reports and the evidence.

use super::*;
use proptest::prelude::*;

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

fn length(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

/// A source that reports `count` each second until a time.
fn reporting_source(count: f64, until: f64) -> SourceMonitor {
    let mut monitor = SourceMonitor::new(at(0.0), length(1.0));
    for second in 1..=until as u32 {
        monitor.record(at(f64::from(second)), count);
        assert_eq!(
            monitor.update(at(f64::from(second) + 0.5), Some(0.0), OutageEvidence::default()),
            SourceState::Reporting
        );
    }
    monitor
}

#[test]
fn a_busy_place_that_stops_is_silent_and_a_calm_one_is_quiet() {
    let mut busy = reporting_source(20.0, 60.0);
    assert_eq!(
        busy.update(at(63.0), Some(0.0), OutageEvidence::default()),
        SourceState::Reporting,
        "not late yet"
    );
    assert_eq!(busy.update(at(64.0), Some(0.0), OutageEvidence::default()), SourceState::Silent);
    let mut calm = SourceMonitor::new(at(0.0), length(1.0));
    for second in (1..=60).step_by(15) {
        calm.record(at(f64::from(second)), 1.0);
    }
    assert_eq!(
        calm.update(at(66.0), Some(0.0), OutageEvidence::default()),
        SourceState::Quiet,
        "one in 15 s: chance explains it"
    );
    assert_eq!(
        calm.update(at(400.0), Some(0.0), OutageEvidence::default()),
        SourceState::Silent,
        "for six minutes it does not"
    );
    assert!(calm.age_s(at(400.0)) > 300.0, "and its age rises");
}

#[test]
fn a_night_that_grows_quiet_is_no_cut() {
    let mut monitor = SourceMonitor::new(at(0.0), length(1.0));
    let mut now = 0.0;
    // Ever less, down to one piece in twenty seconds.
    for gap in [1.0, 2.0, 4.0, 8.0, 15.0, 20.0] {
        for _ in 0..8 {
            now += gap;
            monitor.record(at(now), 1.0);
            let state = monitor.update(at(now + 0.9 * gap), Some(0.0), OutageEvidence::default());
            assert!(state <= SourceState::Quiet, "a piece in {gap} s: {state:?}");
        }
    }
}

#[test]
fn a_cut_is_told_from_a_dead_collector_and_stays_until_it_is_heard_again() {
    let cut = OutageEvidence { streams_broken: true, ..OutageEvidence::default() };
    let mut monitor = reporting_source(20.0, 60.0);
    assert_eq!(monitor.update(at(64.0), Some(0.0), cut), SourceState::Partitioned);
    // The signs pass (nobody tries the hosts any more), the cut does not.
    assert_eq!(monitor.update(at(90.0), Some(0.0), OutageEvidence::default()), SourceState::Partitioned);
    monitor.record(at(91.0), 5.0);
    assert_eq!(
        monitor.update(at(91.1), Some(0.0), OutageEvidence::default()),
        SourceState::Partitioned,
        "one late piece is no return"
    );
    monitor.record(at(92.0), 5.0);
    assert_eq!(monitor.update(at(92.1), Some(0.0), OutageEvidence::default()), SourceState::Reporting);
    let mut collector = reporting_source(20.0, 60.0);
    let others = OutageEvidence { other_sources_active: true, ..OutageEvidence::default() };
    assert_eq!(
        collector.update(at(64.0), Some(0.0), others),
        SourceState::Silent,
        "its proxies speak: it is dead"
    );
    let idle = OutageEvidence { other_sources_active: true, idle: true, ..OutageEvidence::default() };
    let mut idle_class = reporting_source(20.0, 60.0);
    assert_eq!(idle_class.update(at(70.0), Some(0.0), idle), SourceState::Quiet);
}

#[test]
fn where_nothing_is_due_nothing_is_missed() {
    let mut monitor = reporting_source(20.0, 60.0);
    let gone = OutageEvidence { streams_broken: true, ..OutageEvidence::default() };
    assert_eq!(
        monitor.update(at(100.0), None, gone),
        SourceState::Quiet,
        "its proxies went to another director"
    );
    let cut = OutageEvidence { hosts_unreachable: true, ..gone };
    assert_eq!(
        monitor.update(at(101.0), None, cut),
        SourceState::Partitioned,
        "they went, and its hosts are out of reach"
    );
    let mut never = SourceMonitor::new(at(0.0), length(1.0));
    assert_eq!(
        never.update(at(2.0), Some(20.0), OutageEvidence::default()),
        SourceState::Reporting,
        "not due yet"
    );
    assert_eq!(
        never.update(at(9.0), Some(20.0), OutageEvidence::default()),
        SourceState::Silent,
        "due and never heard"
    );
    assert!(!never.has_reported());
    let mut idle = SourceMonitor::new(at(0.0), length(1.0));
    assert_eq!(
        idle.update(at(60.0), Some(0.01), OutageEvidence::default()),
        SourceState::Quiet,
        "proxies without traffic"
    );
}

proptest! {
    #[test]
    fn whatever_comes_states_follow_their_rules(steps in prop::collection::vec((0.01..20.0f64, 0.0..30.0f64, any::<[bool; 6]>()), 1..60)) {
        let mut monitor = SourceMonitor::new(at(0.0), length(1.0));
        let mut now = 0.0;
        for (step, pieces, [hears, due, other_sources_active, idle, streams_broken, hosts_unreachable]) in steps {
            now += step;
            if hears {
                monitor.record(at(now), pieces);
            }
            let age = monitor.age_s(at(now));
            let due = due.then_some(2.0);
            let state = monitor.update(at(now), due, OutageEvidence { other_sources_active, idle, streams_broken, hosts_unreachable });
            prop_assert!(age >= 0.0 && (age <= 3.5 || state != SourceState::Reporting), "late is never heard");
            prop_assert!(!(other_sources_active && idle) || age <= 3.5 || state == SourceState::Quiet);
            if other_sources_active && age > 3.5 {
                prop_assert!(state != SourceState::Partitioned, "what speaks is not cut off");
            }
        }
    }
}
