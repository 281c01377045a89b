//! The deployment of a run: names, settings and rates, derived from the size of its fleet.

use crate::plan::{FleetSize, REAL_DESCRIPTORS, REAL_MEMORY_MIB};
use serde_json::{json, Value};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Classes of requests, as the settings name them.
pub const CLASSES: [&str; 2] = ["lookup", "order"];
/// Time within which a director has to poll discovery; a watch waits half of it.
pub const POLL_DEADLINE: Duration = Duration::from_secs(4);
/// Time between two usage reports of a proxy.
pub const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time until a proxy has applied an update that has left the send queue.
pub const PUSH_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a connection attempt to a host.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a health check: the shortest latency objective of the classes.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests a second that reach one proxy.
pub const REQUESTS_PER_PROXY: f64 = 20.0;
/// The load report of a host.
pub const LOAD_REPORT: &str = r#"{"inflight":7,"queue":2,"util":0.41}"#;

/// Lines that a message to a proxy takes of the send queue besides its own.
pub const LINES_PER_MESSAGE: usize = 4;
/// A table of every host reaches all proxies of a director in about this time, in seconds.
const FULL_PUSH_SECONDS: usize = 10;
/// The least number of load reports that a director gets.
const MIN_REPORTS_PER_S: usize = 200;
/// The least drain rate of a director's send queue.
const MIN_DRAIN_RATE_PER_S: usize = 4_000;
/// The second byte of the addresses is taken from here on: the first ones are those of other tools.
const FIRST_BLOCK: u32 = 10;
const BLOCKS: u32 = 200;
/// The third byte of hosts' addresses starts here.
const FIRST_HOST_ROW: usize = 100;
const ADDRESSES_PER_ROW: usize = 250;

/// A host's name.
pub fn host_name(host: usize) -> String {
    format!("s-{host:05}")
}

/// The host of this name.
pub fn host_number(name: &str) -> Option<usize> {
    name.strip_prefix("s-")?.parse().ok()
}

/// A zone's name.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone:02}")
}

/// Loopback addresses of a run.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    block: u8,
}

impl Addresses {
    /// Those of this process: other runs on the machine have others.
    pub fn of_this_process() -> Addresses {
        Addresses { block: (FIRST_BLOCK + std::process::id() % BLOCKS) as u8 }
    }

    /// A director's, where its discovery answers as well.
    pub fn director(&self, director: usize) -> IpAddr {
        self.at(director / ADDRESSES_PER_ROW, director)
    }

    /// A host's.
    pub fn host(&self, host: usize) -> IpAddr {
        self.at(FIRST_HOST_ROW + host / ADDRESSES_PER_ROW, host)
    }

    fn at(&self, row: usize, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.block, row as u8, (1 + number % ADDRESSES_PER_ROW) as u8))
    }
}

/// Load reports a second that one director gets from all collectors together.
pub fn reports_per_s(fleet_size: &FleetSize) -> usize {
    fleet_size.hosts.max(MIN_REPORTS_PER_S)
}

/// The drain rate of a director's send queue, in lines.
pub fn drain_rate_per_s(fleet_size: &FleetSize) -> usize {
    (fleet_size.proxies_per_director * fleet_size.hosts / FULL_PUSH_SECONDS).max(MIN_DRAIN_RATE_PER_S)
}

/// The number of a proxy at a director.
pub fn proxy_number(fleet_size: &FleetSize, director: usize, place: usize) -> u32 {
    (director * fleet_size.proxies_per_director + place) as u32
}

/// The zone of a proxy.
pub fn proxy_zone(fleet_size: &FleetSize, proxy: u32) -> usize {
    proxy as usize % fleet_size.zones
}

/// The zone of a host.
pub fn host_zone(fleet_size: &FleetSize, host: usize) -> usize {
    host % fleet_size.zones
}

/// The settings of a director.
pub fn settings(fleet_size: &FleetSize, director: usize) -> Value {
    let zones: Vec<String> = (0..fleet_size.zones).map(zone_name).collect();
    let lines = drain_rate_per_s(fleet_size);
    let mut settings = wingfold_test_support::deployment_settings();
    settings["me"] = json!(director);
    settings["replicas_of_me"] = json!(fleet_size.directors);
    settings["dcs"] = json!(zones);
    settings["rules"]["ask_within"] = json!(POLL_DEADLINE.as_micros() as u64);
    let family = &mut settings["family_info"];
    family["proxy_count"] = json!(fleet_size.directors * fleet_size.proxies_per_director);
    family["egress_per_s"] = json!(lines);
    family["overhead"] = json!(LINES_PER_MESSAGE);
    family["pending_max"] = json!(2 * lines);
    family["reports_per_s"] = json!(reports_per_s(fleet_size));
    family["period"] = json!(REPORT_PERIOD.as_micros() as u64);
    family["push_delay"] = json!(PUSH_DELAY.as_micros() as u64);
    settings
}

/// The configuration of a real director. It has no known list: a start without one costs most.
pub fn configuration(
    fleet_size: &FleetSize,
    director: usize,
    seed: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> Value {
    json!({
        "name": format!("n{director}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", seed.wrapping_add(director as u64)),
        "limits": {"cores": 1.0, "memory_mb": REAL_MEMORY_MIB, "sockets": REAL_DESCRIPTORS},
        "settings": settings(fleet_size, director),
    })
}
