//! Large fleets: subsets and standby entries, many new hosts and proxies, wrong endpoint lists, and send
//! queues that are slow for the size of the fleet.
mod common;
use common::*;
use wingfold_director::interface::*;

/// Entries below this weight are standby entries.
const STANDBY_WEIGHT_LIMIT: f64 = 0.1;

/// An endpoint list event that changes one host of zone east.
fn changed_endpoint(name: &str, readiness: Readiness, started_s: Option<f64>) -> Event {
    Event::EndpointList {
        kind: EndpointListKind::Changes,
        endpoints: vec![endpoint(name, "east", readiness, started_s)],
    }
}

/// A director with `hosts` hosts, and `proxies` proxies in zone east that use subsets: they have little
/// traffic, and close idle connections after 15 s.
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
fn advisory_removal_keeps_answering_and_drops_failing_hosts() {
    let mut harness = Harness::with_proxies(Settings { removal_is_advisory: true, ..settings() }, 8);
    harness.run_with_reports(6.0, 10, |_, _| HEALTHY);
    harness.handle(&[
        changed_endpoint("h0", Readiness::Removed, None),
        changed_endpoint("h2", Readiness::Removed, None),
    ]);
    harness.run_with_reports(6.0, 10, |_, id| if id == "h2" { FAILING } else { HEALTHY });
    assert_eq!(harness.weight("east", "h0"), 1.0, "a removed host that still answers must keep its weight");
    assert_eq!(harness.weight("east", "h2"), 0.0, "a removed host that fails must leave");
    harness.advance(20.0);
    assert_eq!(harness.weight("east", "h2"), 0.0, "a removed host must get no probation");
    harness.handle(&[changed_endpoint("h0", Readiness::Draining, None)]);
    assert_eq!(harness.weight("east", "h0"), 0.0, "a draining host must leave");
}

#[test]
fn a_wrong_list_without_most_hosts_removes_no_answering_host() {
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
    assert_eq!(harness.weight("east", "n2"), 0.0, "a new host that answers nothing must be ejected");
}

#[test]
fn low_traffic_proxies_share_subsets_with_standby_entries() {
    let mut harness = harness_with_subsets(100, 24);
    harness.advance(10.0);
    let tables: std::collections::BTreeSet<TableId> =
        harness.assignments.iter().map(|assignment| assignment.1).collect();
    assert!(tables.len() > 1 && tables.len() <= 5, "{} tables for 24 proxies", tables.len());
    assert_eq!(harness.assignments.len(), 24, "each proxy must be assigned one table, once");
    let mut used_hosts = std::collections::BTreeSet::new();
    for table in tables {
        let entries = &harness.tables[&table];
        let at_listed_weight: Vec<&HostId> =
            entries.iter().filter(|(_, w)| **w >= STANDBY_WEIGHT_LIMIT).map(|(id, _)| id).collect();
        assert!(
            at_listed_weight.len() >= 4 && at_listed_weight.len() < 50,
            "{} hosts at listed weight",
            at_listed_weight.len()
        );
        assert_eq!(entries.len(), 100, "every host must have an entry");
        let standby_weight: f64 = entries.values().filter(|w| **w < STANDBY_WEIGHT_LIMIT).sum();
        assert!(
            standby_weight < 0.02 * entries.values().sum::<f64>(),
            "standby entries must have less than 2 % of the weight: {standby_weight}"
        );
        used_hosts.extend(at_listed_weight.into_iter().cloned());
    }
    assert!(used_hosts.len() >= 80, "the subsets use only {} of 100 hosts", used_hosts.len());
}

#[test]
fn standby_entries_are_left_out_if_the_send_queue_is_slow() {
    // Regression: where the fleet was large for the send rate, standby entries filled the send queue all the
    // time, delayed important changes and were never complete.
    let sent_and_largest_table = |lines_per_s: f64| {
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
        let is_later_entry =
            |(time, action): &&(f64, Action)| *time > 10.0 && matches!(action, Action::SetEntry { .. });
        let table_sizes: Vec<usize> =
            harness.assignments.iter().map(|assignment| harness.tables[&assignment.1].len()).collect();
        let used_hosts: std::collections::BTreeSet<&HostId> =
            harness.tables.values().flatten().map(|(host, _)| host).collect();
        assert!(
            table_sizes.len() == 100 && used_hosts.len() >= 80,
            "{} assignments, {} hosts in tables",
            table_sizes.len(),
            used_hosts.len()
        );
        (harness.actions.iter().filter(is_later_entry).count(), table_sizes.into_iter().max())
    };
    let (sent, largest_table) = sent_and_largest_table(1000.0);
    assert!(
        sent == 0 && largest_table < Some(50),
        "{sent} entries sent although nothing changed, {largest_table:?} entries in the largest table"
    );
    assert_eq!(
        sent_and_largest_table(2000.0).1,
        Some(100),
        "every host must have an entry where all entries can be sent within seconds"
    );
}

#[test]
fn high_traffic_proxies_use_all_hosts_at_listed_weight() {
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
fn new_proxies_get_tables_for_all_classes_at_any_queue_limit() {
    for max_queued_lines in (200..1200).step_by(200) {
        let mut settings =
            Settings { connection_idle_timeout: seconds(15.0), proxies: 60, directors: 8, ..settings() };
        (settings.max_queued_lines, settings.send_rate_lines_per_s) = (f64::from(max_queued_lines), 400.0);
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
            let draining = changed_endpoint(&format!("h{id}"), Readiness::Draining, None);
            harness.handle(&[if id % 12 == 0 && id > 0 { draining } else { Event::TimerFired(0) }]);
            harness.advance(if id < 11 { 0.5 } else { 8.0 });
        }
        for id in 0..13 {
            let masks = harness.assignments.iter().filter(|assignment| assignment.0 == ProxyId(id));
            let masks = masks.map(|assignment| assignment.2 .0);
            assert_eq!(
                masks.fold(0, |all, mask| all | mask),
                0b11,
                "classes of proxy {id}, queue limit {max_queued_lines}"
            );
        }
    }
}

#[test]
fn many_new_proxies_are_assigned_soon_without_standby_entries() {
    // Regression: when many proxies reconnected, they waited for standby entries or for subsets that changed
    // with each new proxy, and meanwhile kept sending requests to hosts that were draining.
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
    assert_eq!(harness.assignments.len(), 160, "all proxies must be assigned within the drain grace");
    harness.advance(60.0);
    assert_eq!(
        harness.entries("east").len(),
        200,
        "standby entries must return once the send queue has room"
    );
}

/// A director with 60 hosts, and 30 proxies that use subsets with standby entries.
fn harness_with_standby_entries() -> Harness {
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

/// For `secs` seconds, zone east reports ten attempts per second at each host, with this loss ratio.
fn report_losses(harness: &mut Harness, loss_ratio: f64, secs: u32) {
    for _ in 0..secs {
        harness.advance(1.0);
        let failed = (10.0 * loss_ratio) as u64;
        let counts = AttemptCounts { total: 10, failed, period: seconds(1.0) };
        let hosts = (0..60).map(|n| host(&format!("h{n}")));
        let load_report = |id| Event::LoadReport {
            zone: zone("east"),
            host: id,
            attempts: counts,
            mean_latency: seconds(0.1),
            load: HostLoad::default(),
        };
        harness.handle(&hosts.map(load_report).collect::<Vec<_>>());
    }
}

#[test]
fn subsets_shrink_when_hosts_refuse_connections_and_grow_back() {
    let mut harness = harness_with_standby_entries();
    let hosts_at_listed_weight =
        |harness: &Harness| harness.entries("east").values().filter(|w| **w >= STANDBY_WEIGHT_LIMIT).count();
    let before = hosts_at_listed_weight(&harness);
    report_losses(&mut harness, 0.4, 20);
    let after = hosts_at_listed_weight(&harness);
    assert!(after < before && after >= 3, "{after} hosts at listed weight after {before} before the losses");
    assert!(harness.entries("east").len() < 60, "standby entries need connections and must be removed too");
    report_losses(&mut harness, 0.0, 60);
    assert_eq!(harness.entries("east").len(), 60, "standby entries must return");
}

#[test]
fn changes_of_tables_count_as_queued_until_proxies_leave_them() {
    // Regression: tables whose proxies waited for the assignment of a finer subset counted as unused, so that
    // the lines of changes of these tables filled the send queue without being counted.
    let mut harness = harness_with_standby_entries();
    report_losses(&mut harness, 0.4, 20);
    let mut assigned: std::collections::BTreeMap<(ProxyId, TableId), usize> = Default::default();
    let mut queued_lines: f64 = 0.0;
    let mut previous_time = 0.0;
    for (time, action) in &harness.actions {
        queued_lines = (queued_lines - 1000.0 * (time - previous_time)).max(0.0);
        previous_time = *time;
        let proxies_using =
            |t: &TableId, assigned: &std::collections::BTreeMap<(ProxyId, TableId), usize>| {
                assigned.keys().filter(|k| k.1 == *t).count() as f64
            };
        match action {
            Action::AssignTable { proxy, table, .. } => {
                assigned.retain(|k, _| k.0 != *proxy);
                assigned.insert((*proxy, *table), 0);
            }
            Action::SetEntry { table: t, .. }
            | Action::ClearTable(t)
            | Action::SetAdmission { table: Some(t), .. } => {
                queued_lines += proxies_using(t, &assigned);
            }
            _ => {}
        }
        assert!(queued_lines <= 1200.0, "{queued_lines} lines are queued at {time} s, 1200 are allowed");
    }
    assert!(
        assigned.len() == 30 && harness.assignments.len() > 30,
        "30 proxies must have a table, and some must have been reassigned"
    );
}

#[test]
fn a_fast_deployment_drops_old_hosts_and_ejects_a_failing_one() {
    // A deployment takes seconds, so there are few load reports. Removed hosts must leave every table; a
    // failing new host must be ejected, and the healthy new hosts must not.
    let mut harness = Harness::with_proxies(Settings { drain_grace: seconds(2.0), ..settings() }, 20);
    harness.run_with_reports(8.0, 10, |_, _| HEALTHY);
    let zone_of = |n: u32| if n.is_multiple_of(2) { "east" } else { "west" };
    let behaviour_of = |id: &str| if id == "n3" { FAILING } else { HEALTHY };
    for wave in [0..6, 6..12] {
        let now = harness.now;
        let new = |n| endpoint(&format!("n{n}"), zone_of(n), Readiness::Ready, Some(now));
        harness.handle(&[Event::EndpointList {
            kind: EndpointListKind::Changes,
            endpoints: wave.clone().map(new).collect(),
        }]);
        harness.run_with_reports(2.0, 10, |_, id| behaviour_of(id));
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
                "{zone_name} still has entries of draining hosts: {entries:?}"
            );
            let warm_weight: f64 = (12..20).map(|n| harness.weight(zone_name, &format!("h{n}"))).sum();
            assert!(
                warm_weight / entries.values().sum::<f64>() > 0.5,
                "{zone_name}: hosts that are warming up have most of the weight: {entries:?}"
            );
        }
        harness.run_with_reports(1.0, 10, |_, id| behaviour_of(id));
    }
    harness.run_with_reports(4.0, 10, |_, id| behaviour_of(id));
    assert_eq!(harness.weight("east", "n3") + harness.weight("west", "n3"), 0.0, "n3 must be ejected");
    harness.run_with_reports(16.0, 10, |_, id| behaviour_of(id));
    for zone_name in ["east", "west"] {
        let entries = harness.entries(zone_name);
        let healthy =
            (0..12).filter(|n| *n != 3).map(|n| format!("n{n}")).chain((12..20).map(|n| format!("h{n}")));
        for id in healthy {
            assert_eq!(entries.get(&host(&id)), Some(&1.0), "weight of {id} in {zone_name}");
        }
        assert!(
            entries.keys().all(|id| !(0..12).any(|n| *id.0 == *format!("h{n}"))),
            "{zone_name} still has entries of removed hosts: {entries:?}"
        );
    }
}

/// A director with proxies and hosts in two zones. It is called four times a second, and each call is timed.
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
        let connect = |n: u32| Event::ProxyConnected {
            proxy: ProxyId(n),
            zone: zone(ZONES[n as usize % 2]),
            requests_per_s: 3.0,
        };
        let events: Vec<Event> = std::iter::once(list).chain((0..proxies).map(connect)).collect();
        let mut actions = Vec::new();
        director.handle(at_seconds(now), &events, &mut actions);
        MeasuredDirector { director, hosts, now, actions, acknowledgements: Vec::new() }
    }

    /// Makes call `number`, with 50 load reports; returns how long the director took, in milliseconds.
    fn call(&mut self, number: usize) -> f64 {
        self.now += 0.25;
        let mut events: Vec<Event> = std::mem::take(&mut self.acknowledgements);
        let hosts = self.hosts;
        let report = |n: usize| {
            load_report(ZONES[n % 2], host(&format!("h{}", n % hosts)), 5, 0.1, HostLoad::default())
        };
        events.extend((number * 50..number * 50 + 50).map(report));
        self.actions.clear();
        let start = std::time::Instant::now();
        self.director.handle(at_seconds(self.now), &events, &mut self.actions);
        let elapsed_ms = start.elapsed().as_secs_f64() * 1e3;
        self.acknowledge();
        elapsed_ms
    }

    /// Lets the proxies that were assigned a table acknowledge the first barrier of the call.
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
#[ignore = "measurement; run with: cargo test --release -p wingfold-director --test scale evaluation_times \
            -- --ignored --nocapture"]
fn evaluation_times_at_several_sizes() {
    for (proxies, hosts, directors) in [(320, 120, 5), (480, 200, 5), (2400, 200, 1), (10_000, 1100, 1)] {
        let mut measured = MeasuredDirector::new(proxies, hosts, directors);
        let mut times_ms: Vec<f64> = (0..60).map(|number| measured.call(number)).collect();
        times_ms.sort_by(f64::total_cmp);
        println!(
            "{proxies} proxies x {hosts} hosts: median call {:.2} ms, longest call {:.2} ms",
            times_ms[30], times_ms[59]
        );
    }
}
