//! What a director keeps over a long day, and of parties that fall silent.
mod common;
use common::*;
use wingfold_director::inspect::RecordCounts;
use wingfold_director::interface::*;

fn listed(name: &str, readiness: Readiness, started: f64) -> Endpoint {
    entry(name, "east", readiness, Some(started))
}

#[test]
fn hosts_that_are_replaced_and_proxies_that_come_and_go_leave_nothing_behind() {
    // Guards against: records of every host ever listed, which grow for as long as the director runs.
    let mut world = World::running(settings(), 8);
    world.play(70.0, 10, |_, _| FINE);
    let mut most = RecordCounts::default();
    let mut forgotten = 0;
    for round in 0..2000u32 {
        let (new, old) = (format!("n{round}"), format!("n{}", round.saturating_sub(4)));
        let proxy = ProxyId(2 + round % 2);
        let mut news = vec![listed(&new, Readiness::Ready, world.now)];
        if round >= 4 {
            news.push(listed(&old, Readiness::Removed, 0.0));
        }
        let mut out = world.send(&[Event::EndpointList { kind: EndpointListKind::Changes, endpoints: news }]);
        out.extend(world.send(&[Event::ProxyConnected { proxy, zone: zone("west"), requests_per_s: 5.0 }]));
        let from = world.actions.len();
        world.play(1.0, 10, |_, id| if id.ends_with('7') { DEAD } else { FINE });
        out.extend(world.actions[from..].iter().map(|(_, action)| action.clone()));
        out.extend(world.send(&[Event::ProxyDisconnected(proxy)]));
        forgotten += out.iter().filter(|a| matches!(a, Action::EvictHost(_))).count();
        world.actions.clear();
        if round >= 100 {
            let records = world.director.record_counts();
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
    assert!(forgotten >= 1900, "{forgotten} hosts were let go of");
    // 8 that stay, 5 that are listed for a while, and those of the last minute.
    assert!(hosts <= 8 + 5 + 64, "{hosts} hosts");
    assert!(zone_host_stats <= 2 * hosts, "{zone_host_stats} statistics of hosts");
    assert!(table_entries <= 8 * hosts, "{table_entries} entries");
    assert!(proxies <= 4 && send_times <= 100, "{proxies} proxies, {send_times} times of messages");
}

#[test]
fn a_host_that_returns_after_a_crash_is_still_known_and_one_in_a_table_is_never_let_go_of() {
    let mut set = settings();
    set.removal_is_advisory = true;
    let mut world = World::running(set, 6);
    // The list drops a host that answers all the same: where gone is advice it stays in the tables.
    world.send(&[Event::EndpointList { kind: EndpointListKind::Complete, endpoints: fleet(5) }]);
    world.play(100.0, 10, |_, _| FINE);
    assert!(world.weight("east", "h5") > 0.0);
    let gone = |(_, action): &(f64, Action)| matches!(action, Action::EvictHost(_));
    assert!(!world.actions.iter().any(gone), "it is held");
    // One that fails as well leaves the tables, is kept for a while, and then let go of.
    let from = world.actions.len();
    world.play(30.0, 10, |_, id| if id == "h5" { DEAD } else { FINE });
    assert!(world.weight("east", "h5") == 0.0);
    world.play(10.0, 10, |_, id| if id == "h5" { DEAD } else { FINE });
    let let_go = world.actions[from..].iter().filter(|one| gone(one)).count();
    assert_eq!(let_go, 1);
}

/// A busy zone of two proxies; then, for some time, some of them tell nothing more. A remote host's part there.
fn remote_part(secs: u32, east: &[u32], west: bool) -> f64 {
    let mut set = settings();
    set.cross_zone_price = 0.05;
    let mut world = World::running(set, 8);
    world.send(&[Event::ProxyConnected { proxy: ProxyId(2), zone: zone("east"), requests_per_s: 50.0 }]);
    for second in 0..8 + secs {
        let tell = |proxy: u32| second < 8 || if proxy == 1 { west } else { east.contains(&proxy) };
        let usage = [(0, 4), (1, 4), (2, 192)].into_iter().filter(|(proxy, _)| tell(*proxy));
        let sums = |total| AttemptCounts { total, failed: 0, period: length(1.0) };
        let usage = usage.map(|(proxy, total)| Event::Usage {
            proxy: ProxyId(proxy),
            class: ClassId(0),
            requests: sums(total),
        });
        world.send(&usage.collect::<Vec<_>>());
        world.play(1.0, 10, |_, _| FINE);
    }
    world.weight("east", "h1") / world.weight("east", "h0")
}

#[test]
fn the_usage_of_a_proxy_that_falls_silent_ages_and_late_usage_of_all_does_not() {
    // Guards against: a half-open stream whose last figures steer locality and levels for good.
    let busy = remote_part(0, &[0, 2], true);
    assert!(busy > 0.25, "a busy zone spreads: {busy}");
    assert_eq!(remote_part(12, &[0], true), 0.25, "its proxy of most traffic is silent");
    assert_eq!(remote_part(12, &[0, 2], true), busy, "all go on");
    assert_eq!(remote_part(12, &[], false), busy, "nobody is heard: late for all");
}
