//! Tables that hold a subset of the hosts each must load all hosts evenly together.
mod common;
use common::*;
use std::collections::BTreeMap;
use wingfold_director::interface::*;

/// Requests per second of each proxy.
const RATE: f64 = 2.0;

/// The load of each host by the tables and the proxies assigned to them, as a multiple of the mean.
fn relative_loads(harness: &Harness) -> BTreeMap<HostId, f64> {
    let assigned: BTreeMap<ProxyId, TableId> =
        harness.assignments.iter().map(|assignment| (assignment.0, assignment.1)).collect();
    let mut relative_loads: BTreeMap<HostId, f64> = BTreeMap::new();
    for table in assigned.values().map(|table| &harness.tables[table]) {
        let total: f64 = table.values().sum();
        for (id, weight) in table {
            *relative_loads.entry(id.clone()).or_default() += RATE * weight / total;
        }
    }
    let mean = RATE * assigned.len() as f64 / 100.0;
    relative_loads.values_mut().for_each(|load| *load /= mean);
    relative_loads
}

fn highest_relative_load(harness: &Harness) -> f64 {
    relative_loads(harness).into_values().fold(0.0, f64::max)
}

/// One of five directors, with 100 hosts, and `count` of 200 proxies with little traffic connected in the east.
fn harness_with_proxies(count: u32) -> Harness {
    let settings =
        Settings { connection_idle_timeout: seconds(15.0), directors: 5, proxies: 200, ..settings() };
    let mut harness = Harness::new(settings);
    harness.send(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: ready_endpoints(100) }]);
    connect(&mut harness, 0..count);
    harness.advance(20.0);
    harness
}

fn connect(harness: &mut Harness, ids: std::ops::Range<u32>) {
    for id in ids {
        harness.send(&[Event::ProxyConnected {
            proxy: ProxyId(id),
            zone: zone("east"),
            requests_per_s: RATE,
        }]);
    }
}

#[test]
fn proxies_of_a_failed_director_do_not_all_get_the_same_hosts() {
    // Regression: subsets that were opened between two assignments all lay at the start of the ring. Its first three hosts
    // were overloaded and avoided by most proxies, and a new host beside them got their load.
    let mut harness = harness_with_proxies(60);
    let mut most = vec![highest_relative_load(&harness)];
    for turn in 0..20 {
        connect(&mut harness, 60 + 2 * turn..62 + 2 * turn);
        harness.advance(0.5);
        most.push(highest_relative_load(&harness));
    }
    let worst = most.iter().copied().fold(0.0, f64::max);
    assert!(worst < 3.0, "the busiest host's multiple of the mean, turn by turn: {most:.1?}");
}
