//! The engine over a long day, on a clock of the test's own.

use super::*;
use crate::{health_check, inbox, list::EndpointListResponse, outbox, Config, First};
use serde_json::json;
use wingfold_director::interface::ZoneId;
use wingfold_standins as standin;

/// An engine for the settings of the stand-in, with nothing at its other ends.
fn engine() -> Engine {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let mut text = standin::config(nowhere, nowhere, json!(null));
    text["settings"]["report"]["how"] = json!("silent");
    let config = Config::read(&text.to_string(), First::Key, |_| None).unwrap();
    let metrics = Arc::new(Metrics::default());
    let (inbox, _) = inbox::inbox(10, metrics.clone());
    Engine {
        tables: Tables::new(&config.names.classes),
        prober: health_check::HealthChecker::new(&config.bounds, inbox, metrics.clone()),
        director: Director::new(config.settings, config.seed),
        clock: Clock::start(),
        discovery: tokio::sync::mpsc::unbounded_channel().0,
        post: None,
        addresses: EndpointAddresses::default(),
        most_hosts: config.bounds.max_hosts,
        refusals: Seldom::default(),
        channel: Channel { pace: 1e6, overhead: 4.0, most: 1e6, ..Channel::default() },
        metrics,
        links: BTreeMap::new(),
        timers: BinaryHeap::new(),
        calls: 0,
        tap: None,
        dumps: None,
        figures: None,
    }
}

#[tokio::test]
async fn thousands_of_hosts_and_streams_that_come_and_go_leave_no_records_behind() {
    let mut engine = engine();
    let (mut events, mut actions) = (Vec::new(), Vec::new());
    let entry = |number: u32, state: &str| {
        let mut entry = standin::server(&format!("s-{number}"), "127.0.0.1:1".parse().unwrap(), "a");
        entry["state"] = json!(state);
        entry
    };
    let start = engine.clock.now().0;
    let mut outboxes = BTreeMap::new();
    let mut most = [0; 4];
    for second in 0..3000u32 {
        // Each second a host leaves and another one comes, and each proxy in turn opens a new stream.
        let mut servers = vec![entry(second, "active")];
        servers.extend(second.checked_sub(6).map(|old| entry(old, "left")));
        let list = json!({"version": second, "full": false, "servers": servers}).to_string();
        let list = EndpointListResponse::read(list.as_bytes()).unwrap();
        engine.take(News::List(EndpointListKind::Changes, list), &mut events);
        let proxy = ProxyId(second % 8);
        let (link, outbox) = outbox::link(u64::from(second), 1 << 20, None);
        outboxes.insert(proxy, (link.number, outbox));
        engine.take(News::Joined(proxy, ZoneId("a".into()), 5.0, link), &mut events);
        if second % 16 > 7 {
            // Some are seen to end before the next one comes.
            engine.take(News::Left(proxy, outboxes[&proxy].0), &mut events);
        }
        for quarter in 0..4u64 {
            let now = Timestamp(start + u64::from(second) * 1_000_000 + quarter * 250_000);
            engine.ring(now, &mut events);
            engine.answer(now, &mut events, &mut actions);
        }
        let now = [engine.addresses.len(), engine.tables.records(), engine.links.len(), engine.timers.len()];
        (0..4).filter(|_| second > 200).for_each(|at| most[at] = most[at].max(now[at]));
    }
    let [addresses, tables, links, timers] = most;
    assert!((6..=80).contains(&addresses), "{addresses} addresses");
    assert!(tables <= 8 * addresses, "{tables} records of tables and streams");
    assert!(links <= 8 && timers <= 8, "{links} links, {timers} timers");
    assert_eq!(engine.metrics.invariants_broken_total.get(), 0);
}

#[tokio::test]
async fn a_timer_that_rings_a_second_late_is_told_as_a_standstill_and_a_shorter_one_is_not() {
    let mut engine = engine();
    let mut events = Vec::new();
    let start = engine.clock.now().0;
    for (late_us, standstills) in [(0, 0), (999_999, 0), (1_000_000, 1), (28_000_000, 2)] {
        engine.timers.push(Reverse((Timestamp(start), 0)));
        engine.ring(Timestamp(start + late_us), &mut events);
        assert_eq!(engine.metrics.standstills_total.get(), standstills, "{late_us} us late");
        assert_eq!(engine.metrics.timer_late_us_most.get(), late_us);
    }
    engine.timers.push(Reverse((Timestamp(start + 90_000_000), 0)));
    engine.ring(Timestamp(start + 60_000_000), &mut events);
    assert_eq!(engine.metrics.timer_late_us_most.get(), 28_000_000, "a timer that is not due is not late");
    assert_eq!(events.len(), 4);
}
