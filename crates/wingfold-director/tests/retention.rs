//! How long a director retains records of removed hosts, disconnected proxies and the usage of proxies that
//! stop reporting.
mod common;
use common::*;
use wingfold_director::inspect::RecordCounts;
use wingfold_director::interface::*;

fn endpoint_in_east(name: &str, readiness: Readiness, started_s: f64) -> Endpoint {
    endpoint(name, "east", readiness, Some(started_s))
}

#[test]
fn records_of_replaced_hosts_and_proxies_are_dropped() {
    // Regression: the director kept the records of every host that had ever been listed.
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(70.0, 10, |_, _| HEALTHY);
    let mut peak = RecordCounts::default();
    let mut evicted = 0;
    for round in 0..2000u32 {
        let (new, old) = (format!("n{round}"), format!("n{}", round.saturating_sub(4)));
        let proxy = ProxyId(2 + round % 2);
        let mut endpoints = vec![endpoint_in_east(&new, Readiness::Ready, harness.now)];
        if round >= 4 {
            endpoints.push(endpoint_in_east(&old, Readiness::Removed, 0.0));
        }
        let mut out = harness.handle(&[Event::EndpointList { kind: EndpointListKind::Changes, endpoints }]);
        out.extend(harness.handle(&[Event::ProxyConnected {
            proxy,
            zone: zone("west"),
            requests_per_s: 5.0,
        }]));
        let from = harness.actions.len();
        harness.run_with_reports(1.0, 10, |_, id| if id.ends_with('7') { FAILING } else { HEALTHY });
        out.extend(harness.actions[from..].iter().map(|(_, action)| action.clone()));
        out.extend(harness.handle(&[Event::ProxyDisconnected(proxy)]));
        evicted += out.iter().filter(|a| matches!(a, Action::EvictHost(_))).count();
        harness.actions.clear();
        if round >= 100 {
            let records = harness.director.record_counts();
            peak = RecordCounts {
                hosts: peak.hosts.max(records.hosts),
                zone_host_stats: peak.zone_host_stats.max(records.zone_host_stats),
                table_entries: peak.table_entries.max(records.table_entries),
                proxies: peak.proxies.max(records.proxies),
                send_times: peak.send_times.max(records.send_times),
            };
        }
    }
    let RecordCounts { hosts, zone_host_stats, table_entries, proxies, send_times } = peak;
    assert!(evicted >= 1900, "only {evicted} of 2000 replaced hosts were evicted");
    // 8 hosts that stay, 5 replacements that are listed at a time, and the hosts that were removed during the
    // last minute.
    assert!(hosts <= 8 + 5 + 64, "{hosts} records of hosts");
    assert!(zone_host_stats <= 2 * hosts, "{zone_host_stats} statistics of hosts in zones");
    assert!(table_entries <= 8 * hosts, "{table_entries} table entries");
    assert!(proxies <= 4 && send_times <= 100, "{proxies} records of proxies, {send_times} send times");
}

#[test]
fn a_removed_host_with_table_entries_is_not_evicted() {
    let mut settings = settings();
    settings.removal_is_advisory = true;
    let mut harness = Harness::with_proxies(settings, 6);
    // The complete list no longer contains host h5, which still answers: since removals are advisory, the
    // host stays in the tables.
    harness
        .handle(&[Event::EndpointList { kind: EndpointListKind::Complete, endpoints: ready_endpoints(5) }]);
    harness.run_with_reports(100.0, 10, |_, _| HEALTHY);
    assert!(harness.weight("east", "h5") > 0.0);
    let is_eviction = |(_, action): &(f64, Action)| matches!(action, Action::EvictHost(_));
    assert!(!harness.actions.iter().any(is_eviction), "a host with table entries was evicted");
    // Once host h5 also fails, it leaves the tables and is evicted some time later.
    let from = harness.actions.len();
    harness.run_with_reports(30.0, 10, |_, id| if id == "h5" { FAILING } else { HEALTHY });
    assert!(harness.weight("east", "h5") == 0.0);
    harness.run_with_reports(10.0, 10, |_, id| if id == "h5" { FAILING } else { HEALTHY });
    let evicted = harness.actions[from..].iter().filter(|action| is_eviction(action)).count();
    assert_eq!(evicted, 1);
}

/// The weight of a remote host as a ratio of the weight of a local host, in zone east. Proxies 0 and 2 of
/// east, which is busy, and proxy 1 of west report their usage for 8 seconds. For `secs` seconds after that,
/// only `reporting_in_east` report, and proxy 1 if `west_reports`.
fn remote_weight_ratio(secs: u32, reporting_in_east: &[u32], west_reports: bool) -> f64 {
    let mut settings = settings();
    settings.cross_zone_price = 0.05;
    let mut harness = Harness::with_proxies(settings, 8);
    harness.handle(&[Event::ProxyConnected { proxy: ProxyId(2), zone: zone("east"), requests_per_s: 50.0 }]);
    for second in 0..8 + secs {
        let reports_usage = |proxy: u32| {
            second < 8 || if proxy == 1 { west_reports } else { reporting_in_east.contains(&proxy) }
        };
        let usage = [(0, 4), (1, 4), (2, 192)].into_iter().filter(|(proxy, _)| reports_usage(*proxy));
        let counts = |total| AttemptCounts { total, failed: 0, period: seconds(1.0) };
        let usage = usage.map(|(proxy, total)| Event::Usage {
            proxy: ProxyId(proxy),
            class: ClassId(0),
            requests: counts(total),
        });
        harness.handle(&usage.collect::<Vec<_>>());
        harness.run_with_reports(1.0, 10, |_, _| HEALTHY);
    }
    harness.weight("east", "h1") / harness.weight("east", "h0")
}

#[test]
fn usage_of_a_silent_proxy_expires_unless_all_are_silent() {
    // Regression: the last usage that arrived on a half-open stream affected locality weights and admission
    // permanently.
    let busy = remote_weight_ratio(0, &[0, 2], true);
    assert!(busy > 0.25, "a busy zone must use remote hosts more; their weight ratio is {busy}");
    assert_eq!(
        remote_weight_ratio(12, &[0], true),
        0.25,
        "the usage of silent proxy 2, which had most of the traffic, must expire"
    );
    assert_eq!(remote_weight_ratio(12, &[0, 2], true), busy, "all proxies report: no usage may expire");
    assert_eq!(
        remote_weight_ratio(12, &[], false),
        busy,
        "no proxy reports: reports are late and no usage may expire"
    );
}
