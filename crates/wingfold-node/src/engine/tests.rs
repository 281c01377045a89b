//! Runs the steps of the engine's loop on simulated time.

use super::*;
use crate::inbox::InboundEvent;
use crate::list::tests::read_list;
use crate::{health_check, inbox, outbox, Config, Precedence};
use serde_json::json;
use wingfold_director::interface::{EndpointListKind, Timestamp, ZoneId};
use wingfold_test_support as support;

/// An engine with the settings of the test deployment. Nothing receives what the engine sends.
fn engine() -> Engine {
    let unused_address = "127.0.0.1:1".parse().unwrap();
    let mut text = support::director_config(unused_address, unused_address, json!(null));
    text["settings"]["report"]["how"] = json!("silent");
    let config = Config::read(&text.to_string(), Precedence::File, |_| None).unwrap();
    let metrics = Arc::new(Metrics::default());
    let (inbox, _) = inbox::channel(10, metrics.clone());
    Engine {
        tables: Tables::new(&config.names.classes),
        health_checker: health_check::HealthChecker::new(&config.bounds, inbox, metrics.clone()),
        director: Director::new(config.settings, config.seed),
        clock: Clock::start(),
        discovery_commands: tokio::sync::mpsc::unbounded_channel().0,
        peer_sender: None,
        addresses: EndpointAddresses::default(),
        max_hosts: config.bounds.max_hosts,
        rejected_hosts_log: RateLimitedLog::default(),
        send_queue: SendQueueEstimate::new(1e6, 4.0, 1e6),
        metrics,
        connections: BTreeMap::new(),
        timers: Timers::default(),
        calls: 0,
        recorder: None,
        capture_dumper: None,
        metrics_reporter: None,
    }
}

#[tokio::test]
async fn records_stay_bounded_as_hosts_and_streams_are_replaced() {
    let mut engine = engine();
    let mut events = Vec::new();
    let mut actions = Vec::new();
    let entry = |number: u32, state: &str| {
        let mut entry = support::endpoint(&format!("s-{number}"), "127.0.0.1:1".parse().unwrap(), "a");
        entry["state"] = json!(state);
        entry
    };
    let start = engine.clock.now().0;
    let mut writers = BTreeMap::new();
    let mut peaks = [0; 4];
    for second in 0..3000u32 {
        // Each second adds a host, removes the host added 6 s before, and opens a stream of one of 8 proxies.
        let mut servers = vec![entry(second, "active")];
        servers.extend(second.checked_sub(6).map(|old| entry(old, "left")));
        let list = json!({"version": second, "full": false, "servers": servers}).to_string();
        let list = read_list(list.as_bytes()).unwrap();
        let list = InboundEvent::EndpointList { kind: EndpointListKind::Changes, list };
        engine.apply_inbound_event(list, &mut events);
        let proxy = ProxyId(second % 8);
        let (connection, writer) = outbox::channel(u64::from(second), 1 << 20, Default::default(), None);
        let connection_id = connection.connection_id;
        writers.insert(proxy, writer);
        let zone = ZoneId("a".into());
        let connected = InboundEvent::ProxyConnected { proxy, zone, requests_per_s: 5.0, connection };
        engine.apply_inbound_event(connected, &mut events);
        if second % 16 > 7 {
            // Some streams end before the next one of the same proxy is opened.
            engine.apply_inbound_event(InboundEvent::ProxyDisconnected { proxy, connection_id }, &mut events);
        }
        for quarter in 0..4u64 {
            let now = Timestamp(start + u64::from(second) * 1_000_000 + quarter * 250_000);
            engine.fire_due_timers(now, &mut events);
            engine.decide(now, &mut events, &mut actions);
        }
        let sizes =
            [engine.addresses.len(), engine.tables.records(), engine.connections.len(), engine.timers.len()];
        (0..4).filter(|_| second > 200).for_each(|index| peaks[index] = peaks[index].max(sizes[index]));
    }
    let [addresses, tables, connections, timers] = peaks;
    assert!((6..=80).contains(&addresses), "{addresses} addresses");
    assert!(tables <= 8 * addresses, "{tables} records of tables and streams");
    assert!(connections <= 8 && timers <= 8, "{connections} connections, {timers} timers");
    assert_eq!(engine.metrics.invariants_broken_total.get(), 0);
}

#[tokio::test]
async fn a_timer_at_least_one_second_late_counts_as_a_stall() {
    let mut engine = engine();
    let mut events = Vec::new();
    let start = engine.clock.now().0;
    for (late_us, standstills) in [(0, 0), (999_999, 0), (1_000_000, 1), (28_000_000, 2)] {
        engine.timers.set(Timestamp(start), 0);
        engine.fire_due_timers(Timestamp(start + late_us), &mut events);
        assert_eq!(engine.metrics.standstills_total.get(), standstills, "{late_us} us late");
        assert_eq!(engine.metrics.timer_late_us_most.get(), late_us);
    }
    engine.timers.set(Timestamp(start + 90_000_000), 0);
    engine.fire_due_timers(Timestamp(start + 60_000_000), &mut events);
    assert_eq!(engine.metrics.timer_late_us_most.get(), 28_000_000, "a timer that is not due is not late");
    assert_eq!(events.len(), 4);
}
