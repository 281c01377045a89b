//! Subsets together must load all hosts evenly, although each of them uses only a part of the hosts.
mod common;
use common::*;
use std::collections::BTreeMap;
use wingfold_director::interface::*;

/// Requests per second of each proxy.
const REQUESTS_PER_S: f64 = 2.0;

/// The load of each host that results from the assigned tables, as a multiple of the mean load of the 100
/// hosts.
fn relative_loads(harness: &Harness) -> BTreeMap<HostId, f64> {
    let table_by_proxy: BTreeMap<ProxyId, TableId> =
        harness.assignments.iter().map(|assignment| (assignment.0, assignment.1)).collect();
    let mut relative_loads: BTreeMap<HostId, f64> = BTreeMap::new();
    for table in table_by_proxy.values().map(|table| &harness.tables[table]) {
        let total: f64 = table.values().sum();
        for (id, weight) in table {
            *relative_loads.entry(id.clone()).or_default() += REQUESTS_PER_S * weight / total;
        }
    }
    let mean = REQUESTS_PER_S * table_by_proxy.len() as f64 / 100.0;
    relative_loads.values_mut().for_each(|load| *load /= mean);
    relative_loads
}

fn highest_relative_load(harness: &Harness) -> f64 {
    relative_loads(harness).into_values().fold(0.0, f64::max)
}

/// One of five directors, with 100 hosts. `count` of the 200 proxies are connected to it, all of them in zone
/// east and with little traffic.
fn harness_with_proxies(count: u32) -> Harness {
    let settings =
        Settings { connection_idle_timeout: seconds(15.0), directors: 5, proxies: 200, ..settings() };
    let mut harness = Harness::new(settings);
    harness
        .handle(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(100) }]);
    connect(&mut harness, 0..count);
    harness.advance(20.0);
    harness
}

fn connect(harness: &mut Harness, ids: std::ops::Range<u32>) {
    for id in ids {
        harness.handle(&[Event::ProxyConnected {
            proxy: ProxyId(id),
            zone: zone("east"),
            requests_per_s: REQUESTS_PER_S,
        }]);
    }
}

#[test]
fn proxies_of_a_failed_director_do_not_overload_a_few_hosts() {
    // Regression: when proxies of a failed director connected a few at a time, subsets that were added
    // between two assignments of arcs all used the start of the ring. The first three hosts there were
    // overloaded, most proxies avoided them, and a new host next to them got their load.
    let mut harness = harness_with_proxies(60);
    let mut highest_loads = vec![highest_relative_load(&harness)];
    for step in 0..20 {
        connect(&mut harness, 60 + 2 * step..62 + 2 * step);
        harness.advance(0.5);
        highest_loads.push(highest_relative_load(&harness));
    }
    let worst = highest_loads.iter().copied().fold(0.0, f64::max);
    assert!(
        worst < 3.0,
        "highest load of a host as a multiple of the mean, after each step: {highest_loads:.1?}"
    );
}
