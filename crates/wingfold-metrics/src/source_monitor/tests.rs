//! The state of a source, depending on its reports and on the evidence.

use super::*;
use proptest::prelude::*;

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

fn duration(secs: f64) -> Micros {
    Micros::from_secs(secs)
}

/// A monitor of a source that has reported `count` each second up to second `until`.
fn reporting_source(count: f64, until: f64) -> SourceMonitor {
    let mut monitor = SourceMonitor::new(at(0.0), duration(1.0));
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
fn busy_source_becomes_silent_and_rare_source_quiet() {
    let mut busy = reporting_source(20.0, 60.0);
    assert_eq!(
        busy.update(at(63.0), Some(0.0), OutageEvidence::default()),
        SourceState::Reporting,
        "no report is overdue yet"
    );
    assert_eq!(busy.update(at(64.0), Some(0.0), OutageEvidence::default()), SourceState::Silent);
    let mut rare = SourceMonitor::new(at(0.0), duration(1.0));
    for second in (1..=60).step_by(15) {
        rare.record(at(f64::from(second)), 1.0);
    }
    assert_eq!(
        rare.update(at(66.0), Some(0.0), OutageEvidence::default()),
        SourceState::Quiet,
        "with one report in 15 s, the gap may be chance"
    );
    assert_eq!(
        rare.update(at(400.0), Some(0.0), OutageEvidence::default()),
        SourceState::Silent,
        "a gap of six minutes is not chance"
    );
    assert!(rare.age_s(at(400.0)) > 300.0, "the age grows");
}

#[test]
fn slowly_declining_reports_are_never_silent() {
    let mut monitor = SourceMonitor::new(at(0.0), duration(1.0));
    let mut now = 0.0;
    // The reports decline to one report in 20 s.
    for gap in [1.0, 2.0, 4.0, 8.0, 15.0, 20.0] {
        for _ in 0..8 {
            now += gap;
            monitor.record(at(now), 1.0);
            let state = monitor.update(at(now + 0.9 * gap), Some(0.0), OutageEvidence::default());
            assert!(state <= SourceState::Quiet, "one report in {gap} s: {state:?}");
        }
    }
}

#[test]
fn partition_needs_evidence_and_lasts_until_reports_return() {
    let broken_streams = OutageEvidence { streams_broken: true, ..OutageEvidence::default() };
    let mut monitor = reporting_source(20.0, 60.0);
    assert_eq!(monitor.update(at(64.0), Some(0.0), broken_streams), SourceState::Partitioned);
    // The evidence expires, since no attempts are made at the hosts any more; the partition lasts.
    assert_eq!(monitor.update(at(90.0), Some(0.0), OutageEvidence::default()), SourceState::Partitioned);
    monitor.record(at(91.0), 5.0);
    assert_eq!(
        monitor.update(at(91.1), Some(0.0), OutageEvidence::default()),
        SourceState::Partitioned,
        "a single late report is no recovery"
    );
    monitor.record(at(92.0), 5.0);
    assert_eq!(monitor.update(at(92.1), Some(0.0), OutageEvidence::default()), SourceState::Reporting);
    let mut collector = reporting_source(20.0, 60.0);
    let others = OutageEvidence { other_sources_active: true, ..OutageEvidence::default() };
    assert_eq!(
        collector.update(at(64.0), Some(0.0), others),
        SourceState::Silent,
        "the zone's proxies report, so only the collector fails"
    );
    let idle = OutageEvidence { other_sources_active: true, idle: true, ..OutageEvidence::default() };
    let mut idle_class = reporting_source(20.0, 60.0);
    assert_eq!(idle_class.update(at(70.0), Some(0.0), idle), SourceState::Quiet);
}

#[test]
fn source_without_expected_reports_is_not_silent() {
    let mut monitor = reporting_source(20.0, 60.0);
    let broken_streams = OutageEvidence { streams_broken: true, ..OutageEvidence::default() };
    assert_eq!(
        monitor.update(at(100.0), None, broken_streams),
        SourceState::Quiet,
        "the proxies moved to another director"
    );
    let unreachable = OutageEvidence { hosts_unreachable: true, ..broken_streams };
    assert_eq!(
        monitor.update(at(101.0), None, unreachable),
        SourceState::Partitioned,
        "the proxies left, and the hosts are unreachable"
    );
    let mut never = SourceMonitor::new(at(0.0), duration(1.0));
    assert_eq!(
        never.update(at(2.0), Some(20.0), OutageEvidence::default()),
        SourceState::Reporting,
        "no report is overdue yet"
    );
    assert_eq!(
        never.update(at(9.0), Some(20.0), OutageEvidence::default()),
        SourceState::Silent,
        "reports were expected and none ever arrived"
    );
    assert!(!never.has_reported());
    let mut idle = SourceMonitor::new(at(0.0), duration(1.0));
    assert_eq!(
        idle.update(at(60.0), Some(0.01), OutageEvidence::default()),
        SourceState::Quiet,
        "proxies without traffic"
    );
}

proptest! {
    #[test]
    fn states_follow_from_age_and_evidence(
        steps in prop::collection::vec((0.01..20.0f64, 0.0..30.0f64, any::<[bool; 6]>()), 1..60),
    ) {
        let mut monitor = SourceMonitor::new(at(0.0), duration(1.0));
        let mut now = 0.0;
        for (step, count, flags) in steps {
            let [reports, is_expected, other_sources_active, idle, streams_broken, hosts_unreachable] = flags;
            now += step;
            if reports {
                monitor.record(at(now), count);
            }
            let age = monitor.age_s(at(now));
            let expected_per_s = is_expected.then_some(2.0);
            let evidence = OutageEvidence { other_sources_active, idle, streams_broken, hosts_unreachable };
            let state = monitor.update(at(now), expected_per_s, evidence);
            prop_assert!(
                age >= 0.0 && (age <= 3.5 || state != SourceState::Reporting),
                "an overdue source is not reporting"
            );
            prop_assert!(!(other_sources_active && idle) || age <= 3.5 || state == SourceState::Quiet);
            if other_sources_active && age > 3.5 {
                prop_assert!(state != SourceState::Partitioned, "other sources are active");
            }
        }
    }
}
