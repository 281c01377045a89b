//! Ejection and recovery of hosts, slow start, admission, limits of messages, and restarts.
mod common;
use common::*;
use wingfold_director::interface::*;

fn changes(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { kind: EndpointListKind::Changes, endpoints }
}

#[test]
fn a_draining_host_leaves_every_table_at_once() {
    let mut harness = Harness::with_proxies(settings(), 6);
    harness.advance(1.0);
    let out = harness.handle(&[changes(vec![endpoint("h2", "east", Readiness::Draining, None)])]);
    let gone = out.iter().filter(
        |a| matches!(a, Action::SetEntry { host: id, weight: w, .. } if *id == host("h2") && *w == 0.0),
    );
    assert_eq!(gone.count(), 2, "one line in each zone's table: {out:?}");
}

#[test]
fn a_host_missing_from_a_complete_list_leaves() {
    let mut harness = Harness::with_proxies(settings(), 6);
    harness.advance(1.0);
    harness
        .handle(&[Event::EndpointList { kind: EndpointListKind::Complete, endpoints: ready_endpoints(5) }]);
    assert_eq!(harness.weight("east", "h5"), 0.0);
    assert_eq!(harness.entries("west").len(), 5);
}

#[test]
fn a_failing_host_is_ejected_fast_and_probed_at_low_weight() {
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    let dead = |_: &str, id: &str| if id == "h2" { FAILING } else { HEALTHY };
    harness.run_with_reports(2.0, 10, dead);
    assert_eq!(harness.weight("east", "h2"), 0.0, "a host that answers nothing needs no confirmation");
    let before = harness.actions.len();
    harness.run_with_reports(20.0, 10, dead);
    let tried = |a: &Action| match a {
        Action::SetEntry { host: id, weight, .. } if *id == host("h2") && *weight > 0.0 => Some(*weight),
        _ => None,
    };
    let tried: Vec<f64> = harness.actions[before..].iter().filter_map(|(_, a)| tried(a)).collect();
    assert!(!tried.is_empty(), "it must be probed again");
    assert!(tried.iter().all(|w| *w <= 0.125), "and at low weight: {tried:?}");
    assert_eq!(harness.weight("east", "h2"), 0.0);
}

#[test]
fn a_recovered_host_returns_at_a_quarter_and_ramps_up() {
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    harness.run_with_reports(2.0, 10, |_, id| if id == "h2" { FAILING } else { HEALTHY });
    harness.run_with_reports(8.0, 10, |_, _| HEALTHY);
    assert_eq!(harness.weight("east", "h2"), 0.25);
    harness.run_with_reports(40.0, 10, |_, _| HEALTHY);
    assert_eq!(harness.weight("east", "h2"), 1.0);
}

#[test]
fn a_hung_host_without_any_report_is_ejected() {
    // Regression: a hung host produces no load reports at all, which must not count as healthy.
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    for _ in 0..5 {
        harness.advance(1.0);
        let entries = harness.entries("east").into_keys().filter(|id| *id != host("h2"));
        let events: Vec<Event> =
            entries.map(|id| load_report("east", id, 5, 0.1, HostLoad::default())).collect();
        harness.handle(&events);
    }
    assert_eq!(harness.weight("east", "h2"), 0.0);
}

#[test]
fn reports_that_are_late_for_all_hosts_eject_none() {
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    let before = harness.entries("east");
    harness.advance(30.0);
    assert_eq!(harness.entries("east"), before);
}

#[test]
fn hosts_that_are_reported_in_turn_are_not_missing() {
    // Regression: with few report lines per second each line holds many attempts, and a host that is reported last looked
    // as if it had missed them all.
    let mut harness = Harness::with_proxies(settings(), 8);
    for turn in 0..80 {
        harness.advance(0.25);
        let id = host(&format!("h{}", turn % 8));
        let counts = AttemptCounts { total: 30, failed: 0, period: seconds(2.0) };
        harness.handle(&[Event::LoadReport {
            zone: zone("east"),
            host: id,
            attempts: counts,
            mean_latency: seconds(0.1),
            load: HostLoad::default(),
        }]);
    }
    assert_eq!(harness.entries("east").len(), 8);
}

#[test]
fn a_partitioned_zone_ejects_hosts_for_itself_only() {
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    let odd = |id: &str| id[1..].parse::<u32>().unwrap() % 2 == 1;
    harness.run_with_reports(
        4.0,
        10,
        |zone_name, id| if (zone_name == "east") == odd(id) { FAILING } else { HEALTHY },
    );
    for n in 0..8 {
        let name = format!("h{n}");
        let (east, west) = (harness.weight("east", &name), harness.weight("west", &name));
        assert_eq!(east > 0.0, n % 2 == 0, "{name} for east");
        assert_eq!(west > 0.0, n % 2 == 1, "{name} for west");
    }
}

/// Whether each zone has ejected a host after `secs` seconds in which both zones report two attempts at each host per second.
fn is_ejected_after_few_attempts(
    secs: u32,
    behaviour: impl Fn(&str, &str) -> HostBehaviour,
    name: &str,
) -> [bool; 2] {
    is_ejected_after_few_attempts_in_mode(AdmissionMode::Share, secs, behaviour, name)
}

fn is_ejected_after_few_attempts_in_mode(
    levels: AdmissionMode,
    secs: u32,
    behaviour: impl Fn(&str, &str) -> HostBehaviour,
    name: &str,
) -> [bool; 2] {
    let mut settings = settings();
    (settings.report_period, settings.admission_mode) = (seconds(2.0), levels);
    let mut harness = Harness::with_proxies(settings, 12);
    harness.run_with_reports(8.0, 2, |_, _| HEALTHY);
    harness.run_with_reports(f64::from(secs), 2, behaviour);
    harness.advance(0.25);
    ["east", "west"].map(|zone_name| harness.weight(zone_name, name) == 0.0)
}

#[test]
fn few_attempts_of_each_zone_together_detect_an_outlier() {
    // Regression: with many proxies and few attempts per zone it took many rounds to detect an outlier from one zone alone.
    let dead = |_: &str, id: &str| if id == "h2" { FAILING } else { HEALTHY };
    assert_eq!(is_ejected_after_few_attempts(2, dead, "h2"), [true, true], "eight tries of both");
    let late = |_: &str, id: &str| HostBehaviour {
        latency_ms: if id == "h2" { 1500.0 } else { 100.0 },
        loss_ratio: 0.0,
    };
    assert_eq!(
        is_ejected_after_few_attempts(2, late, "h2"),
        [true, true],
        "answers after every objective have no value"
    );
    let ignored = is_ejected_after_few_attempts_in_mode(AdmissionMode::Ignored, 4, late, "h2");
    assert_eq!(ignored, [false, false], "where no load can be shed the others would be overloaded");
    let slow = |_: &str, id: &str| HostBehaviour {
        latency_ms: if id == "h2" { 900.0 } else { 100.0 },
        loss_ratio: 0.0,
    };
    assert_eq!(
        is_ejected_after_few_attempts(4, slow, "h2"),
        [false, false],
        "within an objective: left to the ranking"
    );
    let all_late = |_: &str, _: &str| HostBehaviour { latency_ms: 1500.0, loss_ratio: 0.0 };
    assert_eq!(
        is_ejected_after_few_attempts(8, all_late, "h2"),
        [false, false],
        "late for all: an overload, no outlier"
    );
}

#[test]
fn a_partitioned_zone_ejects_all_unreachable_hosts_at_once() {
    // Regression: each host of an unreachable zone was ejected by its own few attempts, seconds apart.
    let cut = |zone_name: &str, id: &str| {
        let odd = id[1..].parse::<u32>().unwrap() % 2 == 1;
        if zone_name == "east" && odd {
            FAILING
        } else {
            HEALTHY
        }
    };
    for host in ["h1", "h5", "h11"] {
        assert_eq!(
            is_ejected_after_few_attempts(1, cut, host),
            [true, false],
            "{host} is unreachable for the east alone"
        );
    }
    assert_eq!(is_ejected_after_few_attempts(1, cut, "h4"), [false, false]);
    let part =
        |zone_name: &str, id: &str| if ["h1", "h5"].contains(&id) { cut(zone_name, id) } else { HEALTHY };
    assert_eq!(
        is_ejected_after_few_attempts(1, part, "h1"),
        [false, false],
        "others there answer: the zone is reachable"
    );
}

#[test]
fn when_nearly_all_hosts_fail_none_is_ejected() {
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    harness.run_with_reports(10.0, 10, |_, id| if id == "h0" { HEALTHY } else { FAILING });
    assert_eq!(harness.entries("east").len(), 8);
}

#[test]
fn no_table_is_ever_empty_while_a_warm_host_is_ready() {
    let mut harness = Harness::with_proxies(settings(), 4);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    harness.run_with_reports(3.0, 10, |_, id| if id == "h0" { FAILING } else { HEALTHY });
    assert_eq!(harness.weight("east", "h0"), 0.0);
    let gone = (1..4).map(|n| endpoint(&format!("h{n}"), "east", Readiness::Removed, None)).collect();
    harness.handle(&[changes(gone)]);
    assert!(harness.weight("east", "h0") > 0.0, "the last host stays, whatever its statistics are");
    harness.run_with_reports(20.0, 10, |_, _| FAILING);
    assert!(harness.weight("east", "h0") > 0.0);
}

#[test]
fn slow_start_limits_the_weight_of_a_started_host() {
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    harness.handle(&[changes(vec![endpoint("h2", "east", Readiness::Ready, Some(harness.now - 1.0))])]);
    let settings = settings();
    let started = harness.now - 1.0;
    while harness.now - started < 16.0 {
        let sure = settings.initial_capacity_ratio
            + (1.0 - settings.initial_capacity_ratio) * (harness.now - started) / settings.warm_up.secs();
        assert!(harness.weight("east", "h2") <= sure + 1e-9, "at {}", harness.now);
        assert!(harness.weight("east", "h2") > 0.0);
        harness.run_with_reports(1.0, 10, |_, _| HEALTHY);
    }
    harness.run_with_reports(3.0, 10, |_, _| HEALTHY);
    assert_eq!(harness.weight("east", "h2"), 1.0);
}

#[test]
fn few_remaining_hosts_do_not_overload_one_that_is_warming_up() {
    let mut harness = Harness::with_proxies(settings(), 10);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    let mut endpoints: Vec<Endpoint> =
        (3..10).map(|n| endpoint(&format!("h{n}"), "east", Readiness::Removed, None)).collect();
    endpoints.push(endpoint("h2", "east", Readiness::Ready, Some(harness.now)));
    harness.handle(&[changes(endpoints)]);
    let entries = harness.entries("east");
    let share = entries[&host("h2")] / entries.values().sum::<f64>();
    // Ten hosts at a load of 0.75: its share of that, against the capacity it certainly has times the overload factor.
    assert!(share * 10.0 * 0.75 <= 0.2 * 3.0, "share {share} of {entries:?}");
}

#[test]
fn started_hosts_wait_while_loss_is_high() {
    // Regression: proxies that avoid most hosts after consecutive failures sent everything to the new host.
    let mut harness = Harness::with_proxies(settings(), 10);
    harness.run_with_reports(6.0, 10, |_, _| HostBehaviour { latency_ms: 900.0, loss_ratio: 0.6 });
    harness.handle(&[changes(vec![endpoint("h2", "east", Readiness::Ready, Some(harness.now - 0.5))])]);
    assert_eq!(harness.weight("east", "h2"), 0.0);
    harness.run_with_reports(20.0, 10, |_, _| HEALTHY);
    assert!(harness.weight("east", "h2") > 0.0);
}

#[test]
fn started_hosts_wait_also_when_an_overload_has_lowered_all_weights() {
    // Regression: an overload had lowered the weights of warm hosts, which then counted as too few to hold back a new host.
    let mut harness = Harness::with_proxies(settings(), 10);
    let worse = |_: &str, id: &str| match id {
        "h3" | "h4" => HostBehaviour { latency_ms: 900.0, loss_ratio: 0.0 },
        "h5" | "h6" | "h7" | "h8" | "h9" => FAILING,
        _ => HEALTHY,
    };
    harness.run_with_reports(40.0, 10, worse);
    assert!(harness.entries("east").values().sum::<f64>() < 4.0, "{:?}", harness.entries("east"));
    harness.run_with_reports(6.0, 10, |_, _| HostBehaviour { latency_ms: 900.0, loss_ratio: 0.6 });
    harness.handle(&[changes(vec![endpoint("h2", "east", Readiness::Ready, Some(harness.now - 0.5))])]);
    assert_eq!(harness.weight("east", "h2"), 0.0);
}

#[test]
fn a_host_is_warming_up_for_the_whole_warm_up_time() {
    // Regression: a slow host got its full weight during an overload when its slow start seemed to be complete.
    let mut harness = Harness::with_proxies(settings(), 10);
    harness.run_with_reports(20.0, 10, |_, _| HostBehaviour { latency_ms: 900.0, loss_ratio: 0.6 });
    harness.handle(&[changes(vec![endpoint("h2", "east", Readiness::Ready, Some(harness.now - 14.0))])]);
    assert_eq!(harness.weight("east", "h2"), 0.0, "14 s of 16 have passed");
    harness.run_with_reports(4.0, 10, |_, _| HostBehaviour { latency_ms: 900.0, loss_ratio: 0.6 });
    assert!(harness.weight("east", "h2") > 0.0, "the warm-up is over");
}

#[test]
fn admission_recovers_when_hosts_stop_reporting() {
    // Regression: hosts without requests do not report, and their last utilization kept admission levels low.
    let mut harness = Harness::with_proxies(settings(), 6);
    let reports = |harness: &Harness, only: Option<&str>, utilization: f64| -> Vec<Event> {
        let load = HostLoad { utilization: Some(utilization), ..HostLoad::default() };
        let entries = harness.entries("east").into_keys().filter(|id| only.is_none_or(|o| *id.0 == *o));
        let mut events: Vec<Event> = entries.map(|id| load_report("east", id, 10, 0.1, load)).collect();
        events.push(Event::Usage {
            proxy: ProxyId(0),
            class: ClassId(0),
            requests: AttemptCounts { total: 90, failed: 0, period: seconds(1.0) },
        });
        events.push(Event::Usage {
            proxy: ProxyId(0),
            class: ClassId(1),
            requests: AttemptCounts { total: 10, failed: 0, period: seconds(1.0) },
        });
        events
    };
    for _ in 0..12 {
        harness.advance(1.0);
        let events = reports(&harness, None, 1.0);
        harness.handle(&events);
    }
    let table = harness.table_of_zone("east");
    assert!(harness.admission[&(table, 1)].0 < 1.0, "saturated: load of the class of least priority is shed");
    assert_eq!(harness.admission[&(table, 2)].0, 1.0, "that of the class of highest priority is not");
    for _ in 0..30 {
        harness.advance(1.0);
        let events = reports(&harness, Some("h0"), 0.1);
        harness.handle(&events);
    }
    assert_eq!(harness.admission[&(table, 1)].0, 1.0);
}

#[test]
fn the_retry_policy_follows_the_repeat_safety() {
    let mut settings = settings();
    settings.classes.push(class(RepeatSafety::Deduplicated, 1.0, 2.0));
    let harness = Harness::with_proxies(settings, 6);
    let retries = |bit: u64| harness.admission[&(harness.table_of_zone("east"), bit)].1;
    // Regression: retries after the latency objective doubled the load of hosts that were overloaded.
    assert_eq!(retries(1), Retry::OnProof, "idempotent, but an answer after the objective has no value");
    assert_eq!(retries(2), Retry::OnProof, "at most once: only if it is proven not to have run");
    assert_eq!(retries(4), Retry::OnProof, "a table of all hosts does not keep to its group");
    for (_, action) in &harness.actions {
        if let Action::SetAdmission { classes: mask, retry, .. } = action {
            assert!(mask.0 != 0, "an order for all classes would reach those that must not repeat");
            assert!(mask.0 & 0b110 == 0 || *retry <= Retry::OnProof, "{action:?}");
        }
    }
}

#[test]
fn a_class_limited_to_zones_has_tables_of_its_own() {
    let mut settings = settings();
    settings.classes[1].allowed_zones = vec![zone("west")];
    let mut harness = Harness::with_proxies(settings, 6);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    let assignment = harness.assignments.iter().copied().find(|b| b.0 == ProxyId(0) && b.2 .0 == 2);
    let assignment = assignment.expect("assigned by class");
    let names: Vec<String> = harness.tables[&assignment.1].keys().map(|id| id.0.to_string()).collect();
    assert_eq!(names, ["h1", "h3", "h5"]);
    let gone = [1, 3].map(|n| endpoint(&format!("h{n}"), "west", Readiness::Draining, None)).to_vec();
    harness.handle(&[changes(gone)]);
    harness.run_with_reports(10.0, 10, |_, id| if id == "h5" { FAILING } else { HEALTHY });
    assert!(harness.tables[&assignment.1].contains_key(&host("h5")), "the last available host stays");
    assert!(!harness.entries("east").contains_key(&host("h5")), "where others are available it leaves");
}

#[test]
fn a_proxy_is_assigned_once_per_connection() {
    let mut harness = Harness::with_proxies(settings(), 6);
    harness.run_with_reports(20.0, 10, |_, _| HEALTHY);
    assert_eq!(harness.assignments.len(), 2);
    harness.handle(&[Event::ProxyDisconnected(ProxyId(0))]);
    harness.handle(&[Event::ProxyConnected { proxy: ProxyId(0), zone: zone("east"), requests_per_s: 50.0 }]);
    harness.advance(0.25);
    assert_eq!(harness.assignments.len(), 3);
}

#[test]
fn the_send_queue_never_exceeds_its_limit() {
    let mut settings = settings();
    (settings.send_rate_lines_per_s, settings.max_queued_lines) = (100.0, 300.0);
    let mut harness = Harness::new(settings.clone());
    harness.drops_acknowledgements = true;
    harness.handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(20) }]);
    let join = |n: u32| Event::ProxyConnected {
        proxy: ProxyId(n),
        zone: zone(if n.is_multiple_of(2) { "east" } else { "west" }),
        requests_per_s: 1.0,
    };
    harness.handle(&(0..40).map(join).collect::<Vec<_>>());
    let (mut queued, mut last) = (0.0f64, 0.0);
    for _ in 0..400 {
        harness.advance(0.25);
    }
    let mut orders = harness.actions.iter().peekable();
    while let Some((time, _)) = orders.peek().copied() {
        let mut entries: std::collections::BTreeMap<ProxyId, f64> = Default::default();
        while let Some((_, action)) = orders.next_if(|(t, _)| t == time) {
            if let Action::AssignTable { proxy, .. } = action {
                *entries.entry(*proxy).or_default() += 1.0 + 20.0 + 2.0;
            }
        }
        queued = (queued - (time - last) * settings.send_rate_lines_per_s).max(0.0);
        queued += entries.values().map(|l| l + settings.message_overhead_lines).sum::<f64>();
        last = *time;
        assert!(queued <= settings.max_queued_lines, "{queued} lines wait at {time}");
    }
    assert_eq!(harness.assignments.len(), 40, "and all are assigned in the end");
}

#[test]
fn no_proxy_gets_more_messages_than_the_limit() {
    let mut settings = settings();
    settings.max_messages_per_proxy = 6;
    let mut harness = Harness::with_proxies(settings, 12);
    for round in 0..80 {
        let n = round % 11;
        let started = Some(harness.now);
        harness.handle(&[changes(vec![endpoint(&format!("h{n}"), "east", Readiness::Ready, started)])]);
        harness.run_with_reports(1.0, 10, |_, id| if id == "h11" { FAILING } else { HEALTHY });
    }
    let table = harness.table_of_zone("east");
    let mut times: Vec<f64> = Vec::new();
    for (time, action) in &harness.actions {
        let mine = matches!(action, Action::SetEntry { table: t, .. } | Action::SetAdmission { table: Some(t), .. } if *t == table)
            || matches!(action, Action::AssignTable { proxy: ProxyId(0), .. });
        if mine && times.last() != Some(time) && *time > 0.0 {
            times.push(*time);
        }
    }
    assert!(times.len() > 20, "there must be something to limit");
    for window in times.windows(7) {
        assert!(window[6] - window[0] > 10.0 - 1e-9, "seven messages within 10 s: {window:?}");
    }
}

#[test]
fn the_list_is_polled_with_growing_backoff_within_the_allowed_time() {
    let mut settings = settings();
    settings.endpoint_list_on_request = true;
    let mut harness = Harness::new(settings);
    harness.handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(4) }]);
    let asked = |harness: &Harness| -> Vec<f64> {
        harness.actions.iter().filter(|(_, a)| *a == Action::WatchEndpoints(true)).map(|(t, _)| *t).collect()
    };
    assert_eq!(asked(&harness).len(), 1);
    for _ in 0..200 {
        let before = asked(&harness).len();
        harness.advance(0.25);
        if asked(&harness).len() > before || harness.now <= 0.25 {
            harness.handle(&[Event::EndpointListFailed]);
        }
    }
    let times = asked(&harness);
    assert!(times.len() >= 6, "{times:?}");
    assert!(times.windows(2).all(|w| w[1] - w[0] <= 10.0), "{times:?}");
    assert!(times[times.len() - 1] - times[times.len() - 2] > times[1] - times[0]);
}

#[test]
fn after_a_restart_the_cached_list_is_used_until_a_new_one_arrives() {
    let mut harness = Harness::new(settings());
    let mut remembered = ready_endpoints(6);
    remembered[0].started_at = Some(at_seconds(95.0));
    harness.now = 100.0;
    let out = harness.handle(&[
        Event::EndpointList { kind: EndpointListKind::Cached, endpoints: remembered },
        Event::ProxyConnected { proxy: ProxyId(0), zone: zone("east"), requests_per_s: 50.0 },
    ]);
    assert!(out.contains(&Action::FetchEndpoints), "it may be old");
    assert!(harness.weight("east", "h0") < 1.0, "a host that started recently is warming up");
    assert_eq!(harness.weight("east", "h1"), 1.0, "others start at their listed weight");
    harness
        .handle(&[Event::EndpointList { kind: EndpointListKind::Complete, endpoints: ready_endpoints(5) }]);
    assert_eq!(harness.weight("east", "h5"), 0.0);
}

#[test]
fn the_same_events_give_the_same_actions_alone_or_beside_another() {
    let run = |beside: bool| {
        let mut other = Harness::with_proxies(settings(), 5);
        let mut harness = Harness::with_proxies(settings(), 8);
        for step in 0..20 {
            if beside {
                other.run_with_reports(1.0, 3, |_, id| if id == "h1" { FAILING } else { HEALTHY });
            }
            harness.run_with_reports(1.0, 10, |_, id| HostBehaviour {
                latency_ms: 100.0 + (step * 10) as f64,
                loss_ratio: if id == "h3" { 0.9 } else { 0.0 },
            });
        }
        harness.actions
    };
    assert_eq!(run(false), run(true));
}

#[test]
fn invalid_events_change_nothing() {
    let mut harness = Harness::with_proxies(settings(), 4);
    harness.advance(1.0);
    let counts = AttemptCounts { total: 3, failed: 9, period: seconds(0.0) };
    let before = harness.tables.clone();
    harness.handle(&[
        Event::LoadReport {
            zone: zone("nowhere"),
            host: host("h0"),
            attempts: counts,
            mean_latency: seconds(0.1),
            load: HostLoad::default(),
        },
        Event::LoadReport {
            zone: zone("east"),
            host: host("unknown"),
            attempts: counts,
            mean_latency: seconds(0.1),
            load: HostLoad::default(),
        },
        Event::Usage { proxy: ProxyId(99), class: ClassId(0), requests: counts },
        Event::Usage { proxy: ProxyId(0), class: ClassId(77), requests: counts },
        Event::ProxyDisconnected(ProxyId(99)),
        Event::Acknowledged { proxy: ProxyId(99), barrier: 5, elapsed: seconds(0.1) },
        Event::HealthChecked {
            host: host("unknown"),
            outcome: HealthCheckOutcome::Failed,
            load: HostLoad::default(),
        },
        Event::TimerFired(12345),
        Event::PeerMessage { from: 3, message: vec![1, 2, 3] },
        Event::Shard,
        Event::EndpointList { kind: EndpointListKind::Changes, endpoints: Vec::new() },
    ]);
    assert_eq!(harness.tables, before);
}

#[test]
fn shards_are_answered_with_one_notice_and_no_orders() {
    let mut settings = settings();
    settings.shards = 64;
    let mut harness = Harness::new(settings);
    harness.handle(&[
        Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(4) },
        Event::Shard,
    ]);
    harness.handle(&[
        Event::ProxyConnected { proxy: ProxyId(0), zone: zone("east"), requests_per_s: 5.0 },
        Event::Shard,
    ]);
    harness.advance(5.0);
    let logs = harness.actions.iter().filter(|(_, a)| matches!(a, Action::Notice(_))).count();
    assert_eq!(logs, 1);
    assert!(harness.actions.iter().all(|(_, a)| matches!(a, Action::Notice(_) | Action::SetTimer { .. })));
}

/// For some seconds all hosts report this utilization, with equal usage of both classes.
fn report_utilization(harness: &mut Harness, utilization: f64, secs: usize) {
    for _ in 0..secs {
        harness.advance(1.0);
        let load = HostLoad { utilization: Some(utilization), ..HostLoad::default() };
        let counts = AttemptCounts { total: 50, failed: 0, period: seconds(1.0) };
        let usage = |class| Event::Usage { proxy: ProxyId(0), class: ClassId(class), requests: counts };
        let mut events: Vec<Event> = vec![usage(0), usage(1)];
        for zone_name in ["east", "west"] {
            let entries = harness.entries(zone_name).into_keys();
            events.extend(entries.map(|id| load_report(zone_name, id, 10, 0.1, load)));
        }
        harness.handle(&events);
    }
}

fn lowest_admission_level(harness: &Harness) -> f64 {
    harness.admission.values().map(|(level, _)| *level).fold(1.0, f64::min)
}

#[test]
fn admission_falls_at_once_when_load_rises() {
    // Regression: admission levels fell in small steps while queues grew, because rising load was smoothed.
    let mut settings = settings();
    settings.load_report_source = LoadReportSource::WithAttemptCounts;
    let mut harness = Harness::with_proxies(settings, 8);
    report_utilization(&mut harness, 0.5, 10);
    report_utilization(&mut harness, 1.0, 3);
    let level = lowest_admission_level(&harness);
    assert!(level < 0.45, "the class of least priority admits {level} after three seconds");
}

#[test]
fn load_of_draining_hosts_still_counts_as_offered() {
    // Regression: the utilization of all hosts was multiplied by the capacity of those that are left. The more hosts a
    // deployment drained the lower the load seemed, and admission levels rose when there was no capacity.
    let mut settings = settings();
    settings.load_report_source = LoadReportSource::WithAttemptCounts;
    let mut harness = Harness::with_proxies(settings, 8);
    report_utilization(&mut harness, 0.65, 10);
    assert_eq!(lowest_admission_level(&harness), 1.0, "load within capacity is admitted");
    let half = (0..4).map(|n| endpoint(&format!("h{n}"), "east", Readiness::Draining, None)).collect();
    harness.handle(&[changes(half)]);
    report_utilization(&mut harness, 0.65, 2);
    let level = lowest_admission_level(&harness);
    assert!(level < 0.45, "half of the capacity is left, and the class of least priority admits {level}");
}

#[test]
fn loss_of_the_first_reported_hosts_does_not_count_for_all() {
    let mut harness = Harness::new(settings());
    harness.handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(30) }]);
    let join = |n| Event::ProxyConnected { proxy: ProxyId(n), zone: zone("east"), requests_per_s: 50.0 };
    harness.handle(&[join(0), join(1)]);
    // Just after a start the first load reports are those of failing hosts.
    for _ in 0..8 {
        harness.advance(0.5);
        let counts = AttemptCounts { total: 4, failed: 2, period: seconds(1.0) };
        let load_report = |n: u32| Event::LoadReport {
            zone: zone("east"),
            host: host(&format!("h{n}")),
            attempts: counts,
            mean_latency: seconds(0.1),
            load: HostLoad::default(),
        };
        harness.handle(&[load_report(0), load_report(2)]);
    }
    let logs = harness.actions.iter().filter_map(|(_, action)| match action {
        Action::Notice(notice @ Notice::SubsetSizeChanged { .. }) => Some(notice),
        _ => None,
    });
    let moved: Vec<&Notice> = logs.collect();
    assert!(moved.is_empty(), "{moved:?}");
}

#[test]
fn many_directors_check_no_host_more_often_than_two_would() {
    let probes = |directors: u32| {
        let mut settings = settings();
        (settings.directors, settings.health_checks_allowed, settings.load_report_source) =
            (directors, true, LoadReportSource::WithHealthChecks);
        let mut harness = Harness::new(settings);
        harness.handle(&[Event::EndpointList {
            kind: EndpointListKind::Cached,
            endpoints: ready_endpoints(400),
        }]);
        (0..80).for_each(|_| harness.advance(0.25));
        let probes = harness.actions.iter().filter(|(_, action)| matches!(action, Action::CheckHealth(_)));
        probes.count() as f64 / 20.0
    };
    let (two, five, many) = (probes(2), probes(5), probes(350));
    assert!((360.0..=440.0).contains(&two), "{two} a second");
    assert!((120.0..=200.0).contains(&five), "{five} a second, of 160");
    assert!((8.0..=24.0).contains(&many), "{many} a second: enough for a mean, no more");
}

#[test]
fn many_directors_spread_their_polls_of_a_failing_list() {
    let gaps = |directors: u32| {
        let mut settings = settings();
        (settings.directors, settings.endpoint_list_on_request) = (directors, true);
        let mut harness = Harness::new(settings);
        harness.handle(&[Event::EndpointList {
            kind: EndpointListKind::Cached,
            endpoints: ready_endpoints(10),
        }]);
        let calls = |harness: &Harness| {
            harness.actions.iter().filter(|a| a.1 == Action::WatchEndpoints(true)).count()
        };
        let mut failed = 0;
        for _ in 0..800 {
            if calls(&harness) > failed {
                failed += 1;
                harness.handle(&[Event::EndpointListFailed]);
            }
            harness.advance(0.25);
        }
        let asked = harness.actions.iter().filter(|a| a.1 == Action::WatchEndpoints(true)).map(|a| a.0);
        let asked: Vec<f64> = asked.collect();
        asked.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max)
    };
    let (two, many) = (gaps(2), gaps(350));
    assert!(two > 3.0 && two <= 7.0, "two ask within half of the time that is left them: {two}");
    assert!(many > 12.0 && many < 40.0, "many stay away longer, inside four times that time: {many}");
}
