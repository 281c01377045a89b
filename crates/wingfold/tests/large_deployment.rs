//! A deployment with more directors and hosts than any so far: over a thousand of each.

mod common;

use common::messages::DRAINING;
use common::{endpoint, unique_loopback_ip, wait_until, DirectorSetup, Discovery, Host, ProxyTables};
use serde_json::json;

/// Number of directors and number of hosts.
const SIZE: usize = 1100;

#[test]
fn director_stays_within_limits_with_1100_hosts_and_directors() {
    let ip = unique_loopback_ip();
    let host = Host::start(ip, Some(r#"{"util":0.2,"inflight":1}"#)).addr;
    let zone = |n: usize| if n.is_multiple_of(2) { "a" } else { "b" };
    let entries = (0..SIZE).map(|n| endpoint(&format!("s-{n:04}"), host, zone(n))).collect();
    let discovery = Discovery::start(ip, entries);
    let mut setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    setup.config["settings"]["replicas_of_me"] = json!(SIZE);
    setup.config["settings"]["me"] = json!(SIZE - 1);
    let info = &mut setup.config["settings"]["family_info"];
    (info["pending_max"], info["egress_per_s"]) = (json!(40_000), json!(20_000));
    let peers: Vec<String> = (0..SIZE).map(|n| format!("127.0.0.1:{}", 20_000 + n)).collect();
    setup.config["peers"] = json!(peers);
    let director = setup.start();
    let mut proxy = director.connect_proxy(3, "a");
    let mut tables = ProxyTables::default();
    tables.apply(&proxy.receive_update());
    // Hosts that do not fit into the first update arrive in later ones.
    wait_until("the proxy's table holds every host", || {
        if tables.hosts("lookup").len() < SIZE {
            tables.apply(&proxy.receive_update());
        }
        tables.hosts("lookup").len() == SIZE
    });
    assert!(proxy.ping());
    assert_eq!(director.metric("list_hosts"), SIZE as u64);
    assert_eq!(director.metric("invariants_broken_total"), 0);
    assert!(
        director.resident_memory_kib() < 96 << 10,
        "{} KiB resident, half of the memory limit or more",
        director.resident_memory_kib()
    );
    assert!(
        director.open_descriptors() < 512,
        "{} descriptors open, half of the limit or more",
        director.open_descriptors()
    );
    // A single change among all hosts reaches the proxy.
    discovery.set_host_state("s-0004", DRAINING);
    wait_until("the draining host is removed from the table", || {
        tables.apply(&proxy.receive_update());
        !tables.hosts("lookup").contains(&"s-0004")
    });
}
