//! Large fleets, wrong endpoint lists, and send queues that are slow for them.
mod common;
use common::*;
use wingfold_director::interface::*;

fn changed_endpoint(name: &str, readiness: Readiness, started: Option<f64>) -> Event {
    Event::EndpointList {
        kind: EndpointListKind::Changes,
        endpoints: vec![endpoint(name, "east", readiness, started)],
    }
}

/// So many hosts, and proxies with little traffic in one zone whose idle connections close after 15 s.
fn harness_with_subsets(hosts: usize, proxies: u32) -> Harness {
    let settings = Settings { connection_idle_timeout: seconds(15.0), proxies, ..settings() };
    let mut harness = Harness::new(settings);
    harness
        .handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(hosts) }]);
    for id in 0..proxies {
        harness.handle(&[Event::ProxyConnected {
            proxy: ProxyId(id),
            zone: zone("east"),
            requests_per_s: 2.0,
        }]);
    }
    harness.advance(10.0);
    harness
}

#[test]
fn with_advisory_removal_an_answering_host_stays_and_a_failing_one_leaves() {
    let mut harness = Harness::with_proxies(Settings { removal_is_advisory: true, ..settings() }, 8);
    harness.run_with_reports(6.0, 10, |_, _| HEALTHY);
    harness.handle(&[
        changed_endpoint("h0", Readiness::Removed, None),
        changed_endpoint("h2", Readiness::Removed, None),
    ]);
    harness.run_with_reports(6.0, 10, |_, id| if id == "h2" { FAILING } else { HEALTHY });
    assert_eq!(harness.weight("east", "h0"), 1.0, "it still answers");
    assert_eq!(harness.weight("east", "h2"), 0.0, "the list and its silence agree");
    harness.advance(20.0);
    assert_eq!(harness.weight("east", "h2"), 0.0, "removed hosts get no probation");
    harness.handle(&[changed_endpoint("h0", Readiness::Draining, None)]);
    assert_eq!(harness.weight("east", "h0"), 0.0, "draining always removes it");
}

#[test]
fn a_list_that_drops_most_hosts_by_mistake_changes_no_table() {
    let mut harness = Harness::with_proxies(Settings { removal_is_advisory: true, ..settings() }, 8);
    harness.run_with_reports(6.0, 10, |_, _| HEALTHY);
    harness
        .handle(&[Event::EndpointList { kind: EndpointListKind::Complete, endpoints: ready_endpoints(2) }]);
    harness.run_with_reports(6.0, 10, |_, _| HEALTHY);
    assert_eq!(harness.entries("east").len(), 8);
}

#[test]
fn a_new_host_is_in_probation_until_it_answers() {
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(6.0, 10, |_, _| HEALTHY);
    harness.handle(&[
        changed_endpoint("n1", Readiness::Ready, None),
        changed_endpoint("n2", Readiness::Ready, None),
    ]);
    assert!(harness.weight("east", "n1") <= 0.125, "{}", harness.weight("east", "n1"));
    harness.run_with_reports(3.0, 10, |_, id| if id == "n2" { FAILING } else { HEALTHY });
    assert_eq!(harness.weight("east", "n1"), 1.0);
    assert_eq!(harness.weight("east", "n2"), 0.0, "it answers nothing");
}

#[test]
fn proxies_of_little_traffic_share_subsets_with_the_other_hosts_on_standby() {
    let mut harness = harness_with_subsets(100, 24);
    harness.advance(10.0);
    let tables: std::collections::BTreeSet<TableId> = harness.assignments.iter().map(|b| b.1).collect();
    assert!(tables.len() > 1 && tables.len() <= 5, "{} tables for 24 proxies", tables.len());
    assert_eq!(harness.assignments.len(), 24, "each is assigned once");
    let mut served = std::collections::BTreeSet::new();
    for table in tables {
        let entries = &harness.tables[&table];
        let full: Vec<&HostId> = entries.iter().filter(|(_, w)| **w >= 0.1).map(|(id, _)| id).collect();
        assert!(full.len() >= 4 && full.len() < 50, "{} hosts at listed weight", full.len());
        assert_eq!(entries.len(), 100, "every host is listed");
        let standby_weight: f64 = entries.values().filter(|w| **w < 0.1).sum();
        assert!(
            standby_weight < 0.02 * entries.values().sum::<f64>(),
            "standby entries get next to nothing: {standby_weight}"
        );
        served.extend(full.into_iter().cloned());
    }
    assert!(served.len() >= 80, "the subsets cover the fleet: {}", served.len());
}

#[test]
fn standby_entries_that_cannot_be_sent_in_time_do_not_fill_the_send_queue() {
    // Regression: in a fleet that is large for the send rate, standby entries filled the send queue all the time, delayed
    // important changes and were never complete.
    let entries_sent = |lines_per_s: f64| {
        let settings = Settings {
            connection_idle_timeout: seconds(15.0),
            proxies: 100,
            send_rate_lines_per_s: lines_per_s,
            max_queued_lines: 2000.0,
            ..settings()
        };
        let mut harness = Harness::new(settings);
        harness.handle(&[Event::EndpointList {
            kind: EndpointListKind::Cached,
            endpoints: ready_endpoints(100),
        }]);
        (0..100).for_each(|id| {
            drop(harness.handle(&[Event::ProxyConnected {
                proxy: ProxyId(id),
                zone: zone("east"),
                requests_per_s: 2.0,
            }]))
        });
        harness.advance(60.0);
        let entries = |a: &&(f64, Action)| a.0 > 10.0 && matches!(a.1, Action::SetEntry { .. });
        let held: Vec<usize> =
            harness.assignments.iter().map(|assignment| harness.tables[&assignment.1].len()).collect();
        let served: std::collections::BTreeSet<&HostId> =
            harness.tables.values().flatten().map(|l| l.0).collect();
        assert!(held.len() == 100 && served.len() >= 80, "{} assigned, {} hosts", held.len(), served.len());
        (harness.actions.iter().filter(entries).count(), held.into_iter().max())
    };
    let (sent, most) = entries_sent(1000.0);
    assert!(sent == 0 && most < Some(50), "{sent} lines in a calm minute, {most:?} in a table");
    assert_eq!(entries_sent(2000.0).1, Some(100), "where it is a matter of seconds every host is listed");
}

#[test]
fn proxies_of_much_traffic_use_all_hosts_at_listed_weight() {
    let mut harness =
        Harness::new(Settings { connection_idle_timeout: seconds(15.0), proxies: 24, ..settings() });
    harness.handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(40) }]);
    (0..24).for_each(|id| {
        drop(harness.handle(&[Event::ProxyConnected {
            proxy: ProxyId(id),
            zone: zone("east"),
            requests_per_s: 20.0,
        }]))
    });
    harness.advance(2.0);
    assert!(harness.entries("east").len() == 40 && harness.entries("east").values().all(|w| *w == 1.0));
}

#[test]
fn a_new_proxy_is_assigned_for_all_classes_however_full_the_queue_is() {
    for queue_max in (200..1200).step_by(200) {
        let mut settings =
            Settings { connection_idle_timeout: seconds(15.0), proxies: 60, directors: 8, ..settings() };
        (settings.max_queued_lines, settings.send_rate_lines_per_s) = (f64::from(queue_max), 400.0);
        settings.classes[0].allowed_zones = vec![zone("east")];
        let mut harness = Harness::new(settings);
        harness.handle(&[Event::EndpointList {
            kind: EndpointListKind::Cached,
            endpoints: ready_endpoints(60),
        }]);
        for id in 0..13 {
            harness.handle(&[Event::ProxyConnected {
                proxy: ProxyId(id),
                zone: zone("east"),
                requests_per_s: 1.0,
            }]);
            let drains = changed_endpoint(&format!("h{id}"), Readiness::Draining, None);
            harness.handle(&[if id % 12 == 0 && id > 0 { drains } else { Event::TimerFired(0) }]);
            harness.advance(if id < 11 { 0.5 } else { 8.0 });
        }
        for id in 0..13 {
            let masks = harness.assignments.iter().filter(|b| b.0 == ProxyId(id)).map(|b| b.2 .0);
            assert_eq!(masks.fold(0, |all, mask| all | mask), 0b11, "proxy {id}, queue of {queue_max}");
        }
    }
}

#[test]
fn many_new_proxies_are_assigned_soon_without_standby_entries() {
    // Regression: when many proxies reconnected, they waited for standby entries or for subsets that changed with each of
    // them, and kept sending to hosts that were draining.
    let mut settings =
        Settings { connection_idle_timeout: seconds(15.0), proxies: 200, directors: 4, ..settings() };
    (settings.max_queued_lines, settings.send_rate_lines_per_s) = (8000.0, 6000.0);
    let mut harness = Harness::new(settings);
    harness
        .handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(200) }]);
    for id in 0..30 {
        harness.handle(&[Event::ProxyConnected {
            proxy: ProxyId(id),
            zone: zone("east"),
            requests_per_s: 2.0,
        }]);
    }
    harness.advance(30.0);
    for id in 30..160 {
        harness.handle(&[Event::ProxyConnected {
            proxy: ProxyId(id),
            zone: zone("east"),
            requests_per_s: 2.0,
        }]);
        if id % 20 == 0 {
            harness.advance(0.25);
        }
    }
    harness.advance(0.75);
    assert_eq!(harness.assignments.len(), 160, "all are assigned within the grace");
    harness.advance(60.0);
    assert_eq!(harness.entries("east").len(), 200, "standby entries return once there is room");
}

/// 30 assigned proxies and 60 hosts, with standby entries.
fn harness_with_scarce_connections() -> Harness {
    let settings = Settings { connection_idle_timeout: seconds(15.0), proxies: 30, ..settings() };
    let mut harness =
        Harness::new(Settings { max_queued_lines: 1200.0, send_rate_lines_per_s: 1000.0, ..settings });
    harness.handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(60) }]);
    (0..30).for_each(|id| {
        drop(harness.handle(&[Event::ProxyConnected {
            proxy: ProxyId(id),
            zone: zone("east"),
            requests_per_s: 4.0,
        }]))
    });
    harness.advance(40.0);
    harness
}

/// Each second the zone reports ten attempts at each host, with this loss ratio.
fn report_losses(harness: &mut Harness, loss: f64, secs: u32) {
    for _ in 0..secs {
        harness.advance(1.0);
        let failed = (10.0 * loss) as u64;
        let counts = AttemptCounts { total: 10, failed, period: seconds(1.0) };
        let entries = (0..60).map(|n| host(&format!("h{n}")));
        let load_report = |id| Event::LoadReport {
            zone: zone("east"),
            host: id,
            attempts: counts,
            mean_latency: seconds(0.1),
            load: HostLoad::default(),
        };
        harness.handle(&entries.map(load_report).collect::<Vec<_>>());
    }
}

#[test]
fn scarce_connections_shrink_subsets_which_grow_back() {
    let mut harness = harness_with_scarce_connections();
    let full = |harness: &Harness| harness.entries("east").values().filter(|w| **w >= 0.1).count();
    let before = full(&harness);
    report_losses(&mut harness, 0.4, 20);
    assert!(full(&harness) < before && full(&harness) >= 3, "{} after {before}", full(&harness));
    assert!(harness.entries("east").len() < 60, "standby entries cost connections too");
    report_losses(&mut harness, 0.0, 60);
    assert_eq!(harness.entries("east").len(), 60, "standby entries return");
}

#[test]
fn changes_of_tables_that_proxies_are_about_to_leave_count() {
    // Regression: tables of proxies that waited for an assignment to finer subsets counted as unused, and the lines of
    // their changes filled the send queue uncounted.
    let mut harness = harness_with_scarce_connections();
    report_losses(&mut harness, 0.4, 20);
    let mut held: std::collections::BTreeMap<(ProxyId, TableId), usize> = Default::default();
    let mut queue: f64 = 0.0;
    let mut last = 0.0;
    for (when, action) in &harness.actions {
        queue = (queue - 1000.0 * (when - last)).max(0.0);
        last = *when;
        let users = |t: &TableId, held: &std::collections::BTreeMap<(ProxyId, TableId), usize>| {
            held.keys().filter(|k| k.1 == *t).count() as f64
        };
        match action {
            Action::AssignTable { proxy, table, .. } => {
                held.retain(|k, _| k.0 != *proxy);
                held.insert((*proxy, *table), 0);
            }
            Action::SetEntry { table: t, .. }
            | Action::ClearTable(t)
            | Action::SetAdmission { table: Some(t), .. } => {
                queue += users(t, &held);
            }
            _ => {}
        }
        assert!(queue <= 1200.0, "{queue} lines at {when}");
    }
    assert!(held.len() == 30 && harness.assignments.len() > 30, "proxies were reassigned");
}

#[test]
fn a_fast_deployment_removes_old_hosts_and_ejects_a_failing_new_one() {
    // A deployment within seconds, with few reports: removed hosts must leave every table, a failing new host must be
    // ejected, and the healthy new hosts beside it must not.
    let mut harness = Harness::with_proxies(Settings { drain_grace: seconds(2.0), ..settings() }, 20);
    harness.run_with_reports(8.0, 10, |_, _| HEALTHY);
    let zone_of = |n: u32| if n.is_multiple_of(2) { "east" } else { "west" };
    let does = |id: &str| if id == "n3" { FAILING } else { HEALTHY };
    for wave in [0..6, 6..12] {
        let now = harness.now;
        let new = |n| endpoint(&format!("n{n}"), zone_of(n), Readiness::Ready, Some(now));
        harness.handle(&[Event::EndpointList {
            kind: EndpointListKind::Changes,
            endpoints: wave.clone().map(new).collect(),
        }]);
        harness.run_with_reports(2.0, 10, |_, id| does(id));
        let old = |n| endpoint(&format!("h{n}"), zone_of(n), Readiness::Draining, None);
        harness.handle(&[Event::EndpointList {
            kind: EndpointListKind::Changes,
            endpoints: wave.clone().map(old).collect(),
        }]);
        harness.advance(0.5);
        for zone_name in ["east", "west"] {
            let entries = harness.entries(zone_name);
            assert!(
                wave.clone().all(|n| !entries.contains_key(&host(&format!("h{n}")))),
                "{zone_name}: {entries:?}"
            );
            let warm: f64 = (12..20).map(|n| harness.weight(zone_name, &format!("h{n}"))).sum();
            assert!(
                warm / entries.values().sum::<f64>() > 0.5,
                "{zone_name}: hosts that warm up have most of the load: {entries:?}"
            );
        }
        harness.run_with_reports(1.0, 10, |_, id| does(id));
    }
    harness.run_with_reports(4.0, 10, |_, id| does(id));
    assert_eq!(harness.weight("east", "n3") + harness.weight("west", "n3"), 0.0, "it answers nothing");
    harness.run_with_reports(16.0, 10, |_, id| does(id));
    for zone_name in ["east", "west"] {
        let entries = harness.entries(zone_name);
        let good =
            (0..12).filter(|n| *n != 3).map(|n| format!("n{n}")).chain((12..20).map(|n| format!("h{n}")));
        for id in good {
            assert_eq!(entries.get(&host(&id)), Some(&1.0), "{id} in {zone_name}");
        }
        assert!(
            entries.keys().all(|id| !(0..12).any(|n| *id.0 == *format!("h{n}"))),
            "{zone_name}: {entries:?}"
        );
    }
}

/// A director with proxies and hosts in two zones, which is called four times a second.
struct MeasuredDirector {
    director: wingfold_director::Director,
    hosts: usize,
    now: f64,
    actions: Vec<Action>,
    acknowledgements: Vec<Event>,
}

impl MeasuredDirector {
    fn new(proxies: u32, hosts: usize, directors: u32) -> Self {
        let settings = Settings {
            connection_idle_timeout: seconds(15.0),
            proxies: proxies * directors,
            directors,
            send_rate_lines_per_s: 2500.0,
            max_queued_lines: 45_000.0,
            ..settings()
        };
        let mut director = wingfold_director::Director::new(settings, 7);
        let now = 1000.0;
        let list = Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(hosts) };
        let connected = |n: u32| Event::ProxyConnected {
            proxy: ProxyId(n),
            zone: zone(ZONES[n as usize % 2]),
            requests_per_s: 3.0,
        };
        let events: Vec<Event> = std::iter::once(list).chain((0..proxies).map(connected)).collect();
        let mut actions = Vec::new();
        director.handle(at_seconds(now), &events, &mut actions);
        MeasuredDirector { director, hosts, now, actions, acknowledgements: Vec::new() }
    }

    /// Calls the director with 50 load reports; returns how long the call took, in milliseconds.
    fn call(&mut self, number: usize) -> f64 {
        self.now += 0.25;
        let mut events: Vec<Event> = std::mem::take(&mut self.acknowledgements);
        let hosts = self.hosts;
        let report = |n: usize| {
            load_report(ZONES[n % 2], host(&format!("h{}", n % hosts)), 5, 0.1, HostLoad::default())
        };
        events.extend((number * 50..number * 50 + 50).map(report));
        self.actions.clear();
        let begun = std::time::Instant::now();
        self.director.handle(at_seconds(self.now), &events, &mut self.actions);
        let elapsed_ms = begun.elapsed().as_secs_f64() * 1e3;
        self.acknowledge();
        elapsed_ms
    }

    /// The proxies that were assigned a table acknowledge the first barrier of the call.
    fn acknowledge(&mut self) {
        let barrier = self.actions.iter().find_map(|action| match action {
            Action::Barrier { number, .. } => Some(*number),
            _ => None,
        });
        let Some(barrier) = barrier else { return };
        for action in &self.actions {
            if let Action::AssignTable { proxy, .. } = action {
                let elapsed = seconds(0.3);
                self.acknowledgements.push(Event::Acknowledged { proxy: *proxy, barrier, elapsed });
            }
        }
    }
}

const ZONES: [&str; 2] = ["east", "west"];

#[test]
#[ignore = "a measurement: cargo test --release -p wingfold-director --test scale evaluation_times -- --ignored --nocapture"]
fn evaluation_times_at_several_sizes() {
    for (proxies, hosts, directors) in [(320, 120, 5), (480, 200, 5), (2400, 200, 1), (10_000, 1100, 1)] {
        let mut measured = MeasuredDirector::new(proxies, hosts, directors);
        let mut times: Vec<f64> = (0..60).map(|number| measured.call(number)).collect();
        times.sort_by(f64::total_cmp);
        println!(
            "{proxies} proxies x {hosts} hosts: a call takes {:.2} ms, the longest {:.2} ms",
            times[30], times[59]
        );
    }
}
