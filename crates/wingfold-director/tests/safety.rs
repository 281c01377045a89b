//! Ejection and recovery of hosts, slow start, admission, retry policies, the limits on the send queue and on
//! messages, polls of the endpoint list, health checks, and restarts.
mod common;
use common::*;
use wingfold_director::interface::*;

/// An endpoint list event with changed endpoints.
fn changes(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { kind: EndpointListKind::Changes, endpoints }
}

#[test]
fn a_draining_host_leaves_every_table_at_once() {
    let mut harness = Harness::with_proxies(settings(), 6);
    harness.advance(1.0);
    let out = harness.handle(&[changes(vec![endpoint("h2", "east", Readiness::Draining, None)])]);
    let removals = out.iter().filter(
        |a| matches!(a, Action::SetEntry { host: id, weight: w, .. } if *id == host("h2") && *w == 0.0),
    );
    assert_eq!(removals.count(), 2, "each zone's table must lose the entry: {out:?}");
}

#[test]
fn a_host_missing_from_a_complete_list_leaves_every_table() {
    let mut harness = Harness::with_proxies(settings(), 6);
    harness.advance(1.0);
    harness
        .handle(&[Event::EndpointList { kind: EndpointListKind::Complete, endpoints: ready_endpoints(5) }]);
    assert_eq!(harness.weight("east", "h5"), 0.0);
    assert_eq!(harness.entries("west").len(), 5);
}

#[test]
fn a_failing_host_is_ejected_then_on_probation_at_low_weight() {
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    let h2_fails = |_: &str, id: &str| if id == "h2" { FAILING } else { HEALTHY };
    harness.run_with_reports(2.0, 10, h2_fails);
    assert_eq!(
        harness.weight("east", "h2"),
        0.0,
        "a host that answers nothing must be ejected without confirmation"
    );
    let before = harness.actions.len();
    harness.run_with_reports(20.0, 10, h2_fails);
    let probation_weight = |a: &Action| match a {
        Action::SetEntry { host: id, weight, .. } if *id == host("h2") && *weight > 0.0 => Some(*weight),
        _ => None,
    };
    let probation_weights: Vec<f64> =
        harness.actions[before..].iter().filter_map(|(_, a)| probation_weight(a)).collect();
    assert!(!probation_weights.is_empty(), "an ejected host must get probation");
    assert!(
        probation_weights.iter().all(|w| *w <= 0.125),
        "hosts on probation get an eighth of their weight at most: {probation_weights:?}"
    );
    assert_eq!(harness.weight("east", "h2"), 0.0);
}

#[test]
fn a_recovered_host_returns_at_quarter_weight_and_regains_it() {
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
    // Regression: a hung host appears in no load report, and hosts without load reports counted as healthy.
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
fn hosts_reported_in_turn_count_no_missed_attempts() {
    // Regression: with few report lines per second each line holds many attempts, and the host that was
    // reported last counted as having missed all attempts since its previous report.
    let mut harness = Harness::with_proxies(settings(), 8);
    for step in 0..80 {
        harness.advance(0.25);
        let id = host(&format!("h{}", step % 8));
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
fn a_partitioned_zone_ejects_hosts_from_its_own_tables_only() {
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    let is_in_west = |id: &str| id[1..].parse::<u32>().unwrap() % 2 == 1;
    harness.run_with_reports(4.0, 10, |zone_name, id| {
        if (zone_name == "east") == is_in_west(id) {
            FAILING
        } else {
            HEALTHY
        }
    });
    for n in 0..8 {
        let name = format!("h{n}");
        let (east, west) = (harness.weight("east", &name), harness.weight("west", &name));
        assert_eq!(east > 0.0, n % 2 == 0, "whether east uses {name}");
        assert_eq!(west > 0.0, n % 2 == 1, "whether west uses {name}");
    }
}

/// Whether east and west have ejected host `name` after `secs` seconds, in which each zone reports two
/// attempts per second at each host.
fn is_ejected_after_few_attempts(
    secs: u32,
    behaviour: impl Fn(&str, &str) -> HostBehaviour,
    name: &str,
) -> [bool; 2] {
    is_ejected_after_few_attempts_in_mode(AdmissionMode::Share, secs, behaviour, name)
}

/// Like [`is_ejected_after_few_attempts`], with the given admission mode instead of shares.
fn is_ejected_after_few_attempts_in_mode(
    admission_mode: AdmissionMode,
    secs: u32,
    behaviour: impl Fn(&str, &str) -> HostBehaviour,
    name: &str,
) -> [bool; 2] {
    let mut settings = settings();
    (settings.report_period, settings.admission_mode) = (seconds(2.0), admission_mode);
    let mut harness = Harness::with_proxies(settings, 12);
    harness.run_with_reports(8.0, 2, |_, _| HEALTHY);
    harness.run_with_reports(f64::from(secs), 2, behaviour);
    harness.advance(0.25);
    ["east", "west"].map(|zone_name| harness.weight(zone_name, name) == 0.0)
}

#[test]
fn few_attempts_of_all_zones_together_detect_an_outlier() {
    // Regression: each zone used its own attempts only, so that with many proxies and few attempts per zone
    // it took many rounds to detect an outlier.
    let h2_fails = |_: &str, id: &str| if id == "h2" { FAILING } else { HEALTHY };
    assert_eq!(
        is_ejected_after_few_attempts(2, h2_fails, "h2"),
        [true, true],
        "eight attempts of both zones failed"
    );
    let h2_is_late = |_: &str, id: &str| HostBehaviour {
        latency_ms: if id == "h2" { 1500.0 } else { 100.0 },
        loss_ratio: 0.0,
    };
    assert_eq!(
        is_ejected_after_few_attempts(2, h2_is_late, "h2"),
        [true, true],
        "h2 answers after every latency objective"
    );
    let ignored = is_ejected_after_few_attempts_in_mode(AdmissionMode::Ignored, 4, h2_is_late, "h2");
    assert_eq!(
        ignored,
        [false, false],
        "admission levels are ignored: ejecting h2 would overload the other hosts"
    );
    let h2_is_slow = |_: &str, id: &str| HostBehaviour {
        latency_ms: if id == "h2" { 900.0 } else { 100.0 },
        loss_ratio: 0.0,
    };
    assert_eq!(
        is_ejected_after_few_attempts(4, h2_is_slow, "h2"),
        [false, false],
        "h2 answers within one latency objective and is left to the ranking"
    );
    let all_are_late = |_: &str, _: &str| HostBehaviour { latency_ms: 1500.0, loss_ratio: 0.0 };
    assert_eq!(
        is_ejected_after_few_attempts(8, all_are_late, "h2"),
        [false, false],
        "all hosts answer late, which is an overload"
    );
}

#[test]
fn a_partitioned_zone_ejects_all_unreachable_hosts_at_once() {
    // Regression: the hosts of an unreachable zone were ejected one by one, seconds apart, since each needed
    // enough failed attempts of its own.
    let west_is_unreachable = |zone_name: &str, id: &str| {
        let is_in_west = id[1..].parse::<u32>().unwrap() % 2 == 1;
        if zone_name == "east" && is_in_west {
            FAILING
        } else {
            HEALTHY
        }
    };
    for host in ["h1", "h5", "h11"] {
        assert_eq!(
            is_ejected_after_few_attempts(1, west_is_unreachable, host),
            [true, false],
            "{host} is unreachable from east only"
        );
    }
    assert_eq!(is_ejected_after_few_attempts(1, west_is_unreachable, "h4"), [false, false]);
    let two_are_unreachable = |zone_name: &str, id: &str| {
        if ["h1", "h5"].contains(&id) {
            west_is_unreachable(zone_name, id)
        } else {
            HEALTHY
        }
    };
    assert_eq!(
        is_ejected_after_few_attempts(1, two_are_unreachable, "h1"),
        [false, false],
        "other hosts of west answer, so the zone is reachable"
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
    let removed = (1..4).map(|n| endpoint(&format!("h{n}"), "east", Readiness::Removed, None)).collect();
    harness.handle(&[changes(removed)]);
    assert!(harness.weight("east", "h0") > 0.0, "the last ready host must stay, whatever its statistics");
    harness.run_with_reports(20.0, 10, |_, _| FAILING);
    assert!(harness.weight("east", "h0") > 0.0);
}

#[test]
fn slow_start_limits_the_weight_of_a_restarted_host() {
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    harness.handle(&[changes(vec![endpoint("h2", "east", Readiness::Ready, Some(harness.now - 1.0))])]);
    let settings = settings();
    let started_s = harness.now - 1.0;
    while harness.now - started_s < 16.0 {
        let min_capacity_ratio = settings.initial_capacity_ratio
            + (1.0 - settings.initial_capacity_ratio) * (harness.now - started_s) / settings.warm_up.secs();
        assert!(harness.weight("east", "h2") <= min_capacity_ratio + 1e-9, "weight at {} s", harness.now);
        assert!(harness.weight("east", "h2") > 0.0);
        harness.run_with_reports(1.0, 10, |_, _| HEALTHY);
    }
    harness.run_with_reports(3.0, 10, |_, _| HEALTHY);
    assert_eq!(harness.weight("east", "h2"), 1.0);
}

#[test]
fn few_remaining_hosts_do_not_overload_a_warming_up_host() {
    let mut harness = Harness::with_proxies(settings(), 10);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    let mut endpoints: Vec<Endpoint> =
        (3..10).map(|n| endpoint(&format!("h{n}"), "east", Readiness::Removed, None)).collect();
    endpoints.push(endpoint("h2", "east", Readiness::Ready, Some(harness.now)));
    harness.handle(&[changes(endpoints)]);
    let entries = harness.entries("east");
    let share = entries[&host("h2")] / entries.values().sum::<f64>();
    // Ten hosts at a utilization of 0.75 carry the load. The share of host h2 must not exceed the lower bound
    // of its capacity times the overload factor.
    assert!(share * 10.0 * 0.75 <= 0.2 * 3.0, "h2 has a share of {share} in {entries:?}");
}

#[test]
fn restarted_hosts_get_no_weight_while_loss_is_high() {
    // Regression: proxies that ejected most hosts after consecutive failures sent all requests to the new
    // host.
    let mut harness = Harness::with_proxies(settings(), 10);
    harness.run_with_reports(6.0, 10, |_, _| HostBehaviour { latency_ms: 900.0, loss_ratio: 0.6 });
    harness.handle(&[changes(vec![endpoint("h2", "east", Readiness::Ready, Some(harness.now - 0.5))])]);
    assert_eq!(harness.weight("east", "h2"), 0.0);
    harness.run_with_reports(20.0, 10, |_, _| HEALTHY);
    assert!(harness.weight("east", "h2") > 0.0);
}

#[test]
fn restarted_hosts_get_no_weight_if_an_overload_cut_weights() {
    // Regression: an overload had lowered the weights of warmed up hosts; they then counted as too few, and a
    // new host got its weight at once.
    let mut harness = Harness::with_proxies(settings(), 10);
    let most_are_slow_or_failing = |_: &str, id: &str| match id {
        "h3" | "h4" => HostBehaviour { latency_ms: 900.0, loss_ratio: 0.0 },
        "h5" | "h6" | "h7" | "h8" | "h9" => FAILING,
        _ => HEALTHY,
    };
    harness.run_with_reports(40.0, 10, most_are_slow_or_failing);
    assert!(harness.entries("east").values().sum::<f64>() < 4.0, "{:?}", harness.entries("east"));
    harness.run_with_reports(6.0, 10, |_, _| HostBehaviour { latency_ms: 900.0, loss_ratio: 0.6 });
    harness.handle(&[changes(vec![endpoint("h2", "east", Readiness::Ready, Some(harness.now - 0.5))])]);
    assert_eq!(harness.weight("east", "h2"), 0.0);
}

#[test]
fn a_restarted_host_is_warming_up_for_the_whole_warm_up_time() {
    // Regression: during an overload a slow host got its full weight as soon as its slow start seemed
    // complete, although the warm-up time was not over.
    let mut harness = Harness::with_proxies(settings(), 10);
    harness.run_with_reports(20.0, 10, |_, _| HostBehaviour { latency_ms: 900.0, loss_ratio: 0.6 });
    harness.handle(&[changes(vec![endpoint("h2", "east", Readiness::Ready, Some(harness.now - 14.0))])]);
    assert_eq!(harness.weight("east", "h2"), 0.0, "14 s of the 16 s of warm-up have passed");
    harness.run_with_reports(4.0, 10, |_, _| HostBehaviour { latency_ms: 900.0, loss_ratio: 0.6 });
    assert!(harness.weight("east", "h2") > 0.0, "the warm-up is over");
}

#[test]
fn admission_recovers_when_hosts_stop_reporting() {
    // Regression: hosts that got no requests did not report, and the last utilization that they had reported
    // kept admission levels low.
    let mut harness = Harness::with_proxies(settings(), 6);
    let reports = |harness: &Harness, reporting_host: Option<&str>, utilization: f64| -> Vec<Event> {
        let load = HostLoad { utilization: Some(utilization), ..HostLoad::default() };
        let entries =
            harness.entries("east").into_keys().filter(|id| reporting_host.is_none_or(|name| *id.0 == *name));
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
    assert!(
        harness.admission[&(table, 1)].0 < 1.0,
        "in saturation, load of the class of lowest priority must be shed"
    );
    assert_eq!(
        harness.admission[&(table, 2)].0,
        1.0,
        "load of the class of highest priority must not be shed"
    );
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
    let retry_policy = |mask: u64| harness.admission[&(harness.table_of_zone("east"), mask)].1;
    // Regression: retries of requests whose latency objective had passed doubled the load of overloaded
    // hosts.
    assert_eq!(
        retry_policy(1),
        Retry::OnProof,
        "idempotent: an answer after the latency objective has no value"
    );
    assert_eq!(
        retry_policy(2),
        Retry::OnProof,
        "at most once: a retry needs proof that the first attempt has not run"
    );
    assert_eq!(
        retry_policy(4),
        Retry::OnProof,
        "deduplicated: a table of all hosts does not keep retries within a group"
    );
    for (_, action) in &harness.actions {
        if let Action::SetAdmission { classes, retry, .. } = action {
            assert!(
                classes.0 != 0,
                "a policy for all classes would include classes that must not be repeated"
            );
            assert!(classes.0 & 0b110 == 0 || *retry <= Retry::OnProof, "{action:?}");
        }
    }
}

#[test]
fn a_class_limited_to_zones_has_its_own_tables() {
    let mut settings = settings();
    settings.classes[1].allowed_zones = vec![zone("west")];
    let mut harness = Harness::with_proxies(settings, 6);
    harness.run_with_reports(4.0, 10, |_, _| HEALTHY);
    let assignment = harness
        .assignments
        .iter()
        .copied()
        .find(|(proxy, _, classes)| *proxy == ProxyId(0) && classes.0 == 2);
    let assignment = assignment.expect("proxy 0 has no table for class 1");
    let names: Vec<String> = harness.tables[&assignment.1].keys().map(|id| id.0.to_string()).collect();
    assert_eq!(names, ["h1", "h3", "h5"]);
    let draining = [1, 3].map(|n| endpoint(&format!("h{n}"), "west", Readiness::Draining, None)).to_vec();
    harness.handle(&[changes(draining)]);
    harness.run_with_reports(10.0, 10, |_, id| if id == "h5" { FAILING } else { HEALTHY });
    assert!(harness.tables[&assignment.1].contains_key(&host("h5")), "the last available host must stay");
    assert!(
        !harness.entries("east").contains_key(&host("h5")),
        "where other hosts are available, h5 must leave"
    );
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
fn the_send_queue_never_exceeds_its_limit_without_acks() {
    let mut settings = settings();
    (settings.send_rate_lines_per_s, settings.max_queued_lines) = (100.0, 300.0);
    let mut harness = Harness::new(settings.clone());
    harness.drops_acknowledgements = true;
    harness.handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(20) }]);
    let connect = |n: u32| Event::ProxyConnected {
        proxy: ProxyId(n),
        zone: zone(if n.is_multiple_of(2) { "east" } else { "west" }),
        requests_per_s: 1.0,
    };
    harness.handle(&(0..40).map(connect).collect::<Vec<_>>());
    let (mut queued_lines, mut previous_time) = (0.0f64, 0.0);
    for _ in 0..400 {
        harness.advance(0.25);
    }
    let mut actions = harness.actions.iter().peekable();
    while let Some((time, _)) = actions.peek().copied() {
        let mut lines_by_proxy: std::collections::BTreeMap<ProxyId, f64> = Default::default();
        while let Some((_, action)) = actions.next_if(|(t, _)| t == time) {
            if let Action::AssignTable { proxy, .. } = action {
                // One line for the table, 20 for its entries, and 2 for admission levels.
                *lines_by_proxy.entry(*proxy).or_default() += 1.0 + 20.0 + 2.0;
            }
        }
        queued_lines = (queued_lines - (time - previous_time) * settings.send_rate_lines_per_s).max(0.0);
        queued_lines +=
            lines_by_proxy.values().map(|lines| lines + settings.message_overhead_lines).sum::<f64>();
        previous_time = *time;
        assert!(queued_lines <= settings.max_queued_lines, "{queued_lines} lines are queued at {time} s");
    }
    assert_eq!(harness.assignments.len(), 40, "all proxies must be assigned in the end");
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
        let is_to_proxy = match action {
            Action::SetEntry { table: t, .. } | Action::SetAdmission { table: Some(t), .. } => *t == table,
            Action::AssignTable { proxy, .. } => *proxy == ProxyId(0),
            _ => false,
        };
        if is_to_proxy && times.last() != Some(time) && *time > 0.0 {
            times.push(*time);
        }
    }
    assert!(times.len() > 20, "too few messages to reach the limit: {}", times.len());
    for window in times.windows(7) {
        assert!(
            window[6] - window[0] > 10.0 - 1e-9,
            "seven messages within 10 s, six are allowed: {window:?}"
        );
    }
}

#[test]
fn polls_of_a_failing_list_back_off_within_the_allowed_time() {
    let mut settings = settings();
    settings.endpoint_list_on_request = true;
    let mut harness = Harness::new(settings);
    harness.handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(4) }]);
    let poll_times = |harness: &Harness| -> Vec<f64> {
        harness.actions.iter().filter(|(_, a)| *a == Action::WatchEndpoints(true)).map(|(t, _)| *t).collect()
    };
    assert_eq!(poll_times(&harness).len(), 1);
    for _ in 0..200 {
        let before = poll_times(&harness).len();
        harness.advance(0.25);
        if poll_times(&harness).len() > before || harness.now <= 0.25 {
            harness.handle(&[Event::EndpointListFailed]);
        }
    }
    let times = poll_times(&harness);
    assert!(times.len() >= 6, "too few polls: {times:?}");
    assert!(times.windows(2).all(|w| w[1] - w[0] <= 10.0), "polls more than 10 s apart: {times:?}");
    assert!(times[times.len() - 1] - times[times.len() - 2] > times[1] - times[0]);
}

#[test]
fn the_cached_list_is_used_until_a_complete_list_arrives() {
    let mut harness = Harness::new(settings());
    let mut cached = ready_endpoints(6);
    cached[0].started_at = Some(at_seconds(95.0));
    harness.now = 100.0;
    let out = harness.handle(&[
        Event::EndpointList { kind: EndpointListKind::Cached, endpoints: cached },
        Event::ProxyConnected { proxy: ProxyId(0), zone: zone("east"), requests_per_s: 50.0 },
    ]);
    assert!(
        out.contains(&Action::FetchEndpoints),
        "the cached list may be old, so the complete list must be fetched"
    );
    assert!(harness.weight("east", "h0") < 1.0, "a host that started 5 s ago must be warming up");
    assert_eq!(harness.weight("east", "h1"), 1.0, "other hosts must have their listed weight at once");
    harness
        .handle(&[Event::EndpointList { kind: EndpointListKind::Complete, endpoints: ready_endpoints(5) }]);
    assert_eq!(harness.weight("east", "h5"), 0.0);
}

#[test]
fn another_director_in_the_process_changes_no_action() {
    let actions = |with_other: bool| {
        let mut other = Harness::with_proxies(settings(), 5);
        let mut harness = Harness::with_proxies(settings(), 8);
        for step in 0..20 {
            if with_other {
                other.run_with_reports(1.0, 3, |_, id| if id == "h1" { FAILING } else { HEALTHY });
            }
            harness.run_with_reports(1.0, 10, |_, id| HostBehaviour {
                latency_ms: 100.0 + (step * 10) as f64,
                loss_ratio: if id == "h3" { 0.9 } else { 0.0 },
            });
        }
        harness.actions
    };
    assert_eq!(actions(false), actions(true));
}

#[test]
fn invalid_events_change_no_table() {
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
fn with_shards_the_only_actions_are_one_notice_and_timers() {
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
    let notices = harness.actions.iter().filter(|(_, a)| matches!(a, Action::Notice(_))).count();
    assert_eq!(notices, 1);
    assert!(harness.actions.iter().all(|(_, a)| matches!(a, Action::Notice(_) | Action::SetTimer { .. })));
}

/// For `secs` seconds all hosts report this utilization, and the usage of both classes is equal.
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

/// The lowest admission level of any class in any table.
fn lowest_admission_level(harness: &Harness) -> f64 {
    harness.admission.values().map(|(level, _)| *level).fold(1.0, f64::min)
}

#[test]
fn admission_falls_within_seconds_when_load_rises() {
    // Regression: rising load was smoothed, so that admission levels fell in small steps while the hosts'
    // queues grew.
    let mut settings = settings();
    settings.load_report_source = LoadReportSource::WithAttemptCounts;
    let mut harness = Harness::with_proxies(settings, 8);
    report_utilization(&mut harness, 0.5, 10);
    report_utilization(&mut harness, 1.0, 3);
    let level = lowest_admission_level(&harness);
    assert!(level < 0.45, "the class of lowest priority still admits {level} of its requests after 3 s");
}

#[test]
fn load_of_draining_hosts_counts_as_offered_load() {
    // Regression: the utilization of all hosts was multiplied by the capacity of the hosts that were not
    // draining. The more hosts a deployment drained, the lower the offered load seemed, and admission levels
    // rose although capacity was short.
    let mut settings = settings();
    settings.load_report_source = LoadReportSource::WithAttemptCounts;
    let mut harness = Harness::with_proxies(settings, 8);
    report_utilization(&mut harness, 0.65, 10);
    assert_eq!(lowest_admission_level(&harness), 1.0, "load within capacity must be admitted");
    let half = (0..4).map(|n| endpoint(&format!("h{n}"), "east", Readiness::Draining, None)).collect();
    harness.handle(&[changes(half)]);
    report_utilization(&mut harness, 0.65, 2);
    let level = lowest_admission_level(&harness);
    assert!(
        level < 0.45,
        "with half of the capacity, the class of lowest priority still admits {level} of its requests"
    );
}

#[test]
fn loss_of_the_first_reported_hosts_changes_no_subset_size() {
    let mut harness = Harness::new(settings());
    harness.handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(30) }]);
    let connect = |n| Event::ProxyConnected { proxy: ProxyId(n), zone: zone("east"), requests_per_s: 50.0 };
    harness.handle(&[connect(0), connect(1)]);
    // Just after the director's start, only the load reports on failing hosts have arrived.
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
    let notices = harness.actions.iter().filter_map(|(_, action)| match action {
        Action::Notice(notice @ Notice::SubsetSizeChanged { .. }) => Some(notice),
        _ => None,
    });
    let notices: Vec<&Notice> = notices.collect();
    assert!(notices.is_empty(), "subset sizes changed: {notices:?}");
}

#[test]
fn health_checks_per_director_fall_with_more_directors() {
    let checks_per_s = |directors: u32| {
        let mut settings = settings();
        (settings.directors, settings.health_checks_allowed, settings.load_report_source) =
            (directors, true, LoadReportSource::WithHealthChecks);
        let mut harness = Harness::new(settings);
        harness.handle(&[Event::EndpointList {
            kind: EndpointListKind::Cached,
            endpoints: ready_endpoints(400),
        }]);
        (0..80).for_each(|_| harness.advance(0.25));
        let checks = harness.actions.iter().filter(|(_, action)| matches!(action, Action::CheckHealth(_)));
        checks.count() as f64 / 20.0
    };
    let (two, five, many) = (checks_per_s(2), checks_per_s(5), checks_per_s(350));
    assert!(
        (360.0..=440.0).contains(&two),
        "{two} checks per second by each of two directors, about 400 are expected"
    );
    assert!(
        (120.0..=200.0).contains(&five),
        "{five} checks per second by each of five directors, about 160 are expected"
    );
    assert!(
        (8.0..=24.0).contains(&many),
        "{many} checks per second by each of 350 directors, only enough for a mean are expected"
    );
}

#[test]
fn many_directors_poll_a_failing_list_less_often() {
    let longest_poll_interval = |directors: u32| {
        let mut settings = settings();
        (settings.directors, settings.endpoint_list_on_request) = (directors, true);
        let mut harness = Harness::new(settings);
        harness.handle(&[Event::EndpointList {
            kind: EndpointListKind::Cached,
            endpoints: ready_endpoints(10),
        }]);
        let polls = |harness: &Harness| {
            harness.actions.iter().filter(|a| a.1 == Action::WatchEndpoints(true)).count()
        };
        let mut failed = 0;
        for _ in 0..800 {
            if polls(&harness) > failed {
                failed += 1;
                harness.handle(&[Event::EndpointListFailed]);
            }
            harness.advance(0.25);
        }
        let poll_times = harness.actions.iter().filter(|a| a.1 == Action::WatchEndpoints(true)).map(|a| a.0);
        let poll_times: Vec<f64> = poll_times.collect();
        poll_times.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max)
    };
    let (two, many) = (longest_poll_interval(2), longest_poll_interval(350));
    assert!(
        two > 3.0 && two <= 7.0,
        "two directors poll within half of the time that they are left: {two} s"
    );
    assert!(many > 12.0 && many < 40.0, "many directors wait longer, up to four times that time: {many} s");
}
