//! Lists of a size that no deployment had so far: over a thousand directors, over a thousand hosts.
mod common;

use common::messages::DRAINING;
use common::{endpoint, unique_loopback_ip, wait_until, DirectorSetup, Discovery, Host, ProxyTables};
use serde_json::json;

const MANY: usize = 1100;

#[test]
fn eleven_hundred_directors_and_hosts_are_listed_served_and_stay_inside_the_limits() {
    let ip = unique_loopback_ip();
    let host = Host::start(ip, Some(r#"{"util":0.2,"inflight":1}"#)).addr;
    let place = |n: usize| if n.is_multiple_of(2) { "a" } else { "b" };
    let entries = (0..MANY).map(|n| endpoint(&format!("s-{n:04}"), host, place(n))).collect();
    let discovery = Discovery::start(ip, entries);
    let mut setup = DirectorSetup::new(ip, discovery.addr, discovery.known_list());
    setup.config["settings"]["replicas_of_me"] = json!(MANY);
    setup.config["settings"]["me"] = json!(MANY - 1);
    let info = &mut setup.config["settings"]["family_info"];
    (info["pending_max"], info["egress_per_s"]) = (json!(40_000), json!(20_000));
    let peers: Vec<String> = (0..MANY).map(|n| format!("127.0.0.1:{}", 20_000 + n)).collect();
    setup.config["peers"] = json!(peers);
    let director = setup.start();
    let mut proxy = director.connect_proxy(3, "a");
    let mut tables = ProxyTables::default();
    tables.apply(&proxy.receive_update());
    // Every host is in its table once all have come, whatever needed a message of its own.
    wait_until("the table has every host", || {
        if tables.hosts("lookup").len() < MANY {
            tables.apply(&proxy.receive_update());
        }
        tables.hosts("lookup").len() == MANY
    });
    assert!(proxy.ping());
    assert_eq!(director.metric("list_hosts"), MANY as u64);
    assert_eq!(director.metric("invariants_broken_total"), 0);
    assert!(director.resident_memory_kib() < 96 << 10, "{} KiB of 192 MB", director.resident_memory_kib());
    assert!(director.open_descriptors() < 512, "{} descriptors of 1,024", director.open_descriptors());
    // And a change among so many reaches it.
    discovery.set_host_state("s-0004", DRAINING);
    wait_until("the host that leaves is out of the table", || {
        tables.apply(&proxy.receive_update());
        !tables.hosts("lookup").contains(&"s-0004")
    });
}
