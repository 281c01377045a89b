//! How long a director retains records: of removed hosts, of disconnected proxies, and of proxies that stop reporting.
mod common;
use common::*;
use wingfold_director::inspect::RecordCounts;
use wingfold_director::interface::*;

fn endpoint_in_east(name: &str, readiness: Readiness, started: f64) -> Endpoint {
    endpoint(name, "east", readiness, Some(started))
}

#[test]
fn replaced_hosts_and_disconnected_proxies_leave_no_records() {
    // Regression: records of every host that was ever listed were kept for as long as the director ran.
    let mut harness = Harness::with_proxies(settings(), 8);
    harness.run_with_reports(70.0, 10, |_, _| HEALTHY);
    let mut most = RecordCounts::default();
    let mut evicted = 0;
    for round in 0..2000u32 {
        let (new, old) = (format!("n{round}"), format!("n{}", round.saturating_sub(4)));
        let proxy = ProxyId(2 + round % 2);
        let mut endpoints = vec![endpoint_in_east(&new, Readiness::Ready, harness.now)];
        if round >= 4 {
            endpoints.push(endpoint_in_east(&old, Readiness::Removed, 0.0));
        }
        let mut out = harness.send(&[Event::EndpointList { kind: EndpointListKind::Changes, endpoints }]);
        out.extend(harness.send(&[Event::ProxyConnected { proxy, zone: zone("west"), requests_per_s: 5.0 }]));
        let from = harness.actions.len();
        harness.run_with_reports(1.0, 10, |_, id| if id.ends_with('7') { FAILING } else { HEALTHY });
        out.extend(harness.actions[from..].iter().map(|(_, action)| action.clone()));
        out.extend(harness.send(&[Event::ProxyDisconnected(proxy)]));
        evicted += out.iter().filter(|a| matches!(a, Action::EvictHost(_))).count();
        harness.actions.clear();
        if round >= 100 {
            let records = harness.director.record_counts();
            most = RecordCounts {
                hosts: most.hosts.max(records.hosts),
                zone_host_stats: most.zone_host_stats.max(records.zone_host_stats),
                table_entries: most.table_entries.max(records.table_entries),
                proxies: most.proxies.max(records.proxies),
                send_times: most.send_times.max(records.send_times),
            };
        }
    }
    let RecordCounts { hosts, zone_host_stats, table_entries, proxies, send_times } = most;
    assert!(evicted >= 1900, "{evicted} hosts were evicted");
    // 8 that stay, 5 that are listed for some time, and those removed in the last minute.
    assert!(hosts <= 8 + 5 + 64, "{hosts} hosts");
    assert!(zone_host_stats <= 2 * hosts, "{zone_host_stats} statistics of hosts");
    assert!(table_entries <= 8 * hosts, "{table_entries} entries");
    assert!(proxies <= 4 && send_times <= 100, "{proxies} proxies, {send_times} times of messages");
}

#[test]
fn a_host_that_a_table_references_is_not_evicted() {
    let mut settings = settings();
    settings.removal_is_advisory = true;
    let mut harness = Harness::with_proxies(settings, 6);
    // The list drops a host that still answers: where removals are advisory it stays in the tables.
    harness.send(&[Event::EndpointList { kind: EndpointListKind::Complete, endpoints: ready_endpoints(5) }]);
    harness.run_with_reports(100.0, 10, |_, _| HEALTHY);
    assert!(harness.weight("east", "h5") > 0.0);
    let gone = |(_, action): &(f64, Action)| matches!(action, Action::EvictHost(_));
    assert!(!harness.actions.iter().any(gone), "a table references it");
    // Once it fails as well it leaves the tables, and is evicted some time later.
    let from = harness.actions.len();
    harness.run_with_reports(30.0, 10, |_, id| if id == "h5" { FAILING } else { HEALTHY });
    assert!(harness.weight("east", "h5") == 0.0);
    harness.run_with_reports(10.0, 10, |_, id| if id == "h5" { FAILING } else { HEALTHY });
    let evicted = harness.actions[from..].iter().filter(|one| gone(one)).count();
    assert_eq!(evicted, 1);
}

/// The weight of a remote host relative to a local one in a busy zone of two proxies, after `secs` seconds in which only
/// the proxies `east` of this zone, and with `west` that of the other zone, have reported.
fn remote_weight_ratio(secs: u32, east: &[u32], west: bool) -> f64 {
    let mut settings = settings();
    settings.cross_zone_price = 0.05;
    let mut harness = Harness::with_proxies(settings, 8);
    harness.send(&[Event::ProxyConnected { proxy: ProxyId(2), zone: zone("east"), requests_per_s: 50.0 }]);
    for second in 0..8 + secs {
        let tell = |proxy: u32| second < 8 || if proxy == 1 { west } else { east.contains(&proxy) };
        let usage = [(0, 4), (1, 4), (2, 192)].into_iter().filter(|(proxy, _)| tell(*proxy));
        let counts = |total| AttemptCounts { total, failed: 0, period: seconds(1.0) };
        let usage = usage.map(|(proxy, total)| Event::Usage {
            proxy: ProxyId(proxy),
            class: ClassId(0),
            requests: counts(total),
        });
        harness.send(&usage.collect::<Vec<_>>());
        harness.run_with_reports(1.0, 10, |_, _| HEALTHY);
    }
    harness.weight("east", "h1") / harness.weight("east", "h0")
}

#[test]
fn usage_of_a_silent_proxy_expires_unless_all_are_late() {
    // Regression: the last usage on a half-open stream affected locality and admission for good.
    let busy = remote_weight_ratio(0, &[0, 2], true);
    assert!(busy > 0.25, "a busy zone uses other zones: {busy}");
    assert_eq!(remote_weight_ratio(12, &[0], true), 0.25, "its proxy of most traffic is silent");
    assert_eq!(remote_weight_ratio(12, &[0, 2], true), busy, "all go on");
    assert_eq!(remote_weight_ratio(12, &[], false), busy, "no reports at all: late for all");
}
