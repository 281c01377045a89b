//! The deployment of a run: names, addresses, settings and rates, derived from the size of the fleet.

use crate::plan::{FleetSize, REAL_DESCRIPTORS, REAL_MEMORY_MIB};
use serde_json::{json, Value};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Names of the classes in the settings.
pub const CLASSES: [&str; 2] = ["lookup", "order"];
/// Time within which a director has to poll discovery. A watch waits for half of this time.
pub const POLL_DEADLINE: Duration = Duration::from_secs(4);
/// Time between two usage reports of a proxy.
pub const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time until a proxy has applied an update that has left the send queue.
pub const PUSH_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a connection attempt to a host.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a health check: the shortest latency objective of the classes.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests per second that reach one proxy.
pub const REQUESTS_PER_PROXY: f64 = 20.0;
/// The load report with which every host answers a health check.
pub const LOAD_REPORT: &str = r#"{"inflight":7,"queue":2,"util":0.41}"#;

/// Overhead of a message to a proxy in the send queue, in lines, added to the lines of its content.
pub const LINES_PER_MESSAGE: usize = 4;
/// The drain rate is chosen so that a table with every host reaches all proxies of a director in about this
/// time.
const FULL_PUSH_SECONDS: usize = 10;
/// Lower limit of the load reports per second that a director receives.
const MIN_REPORTS_PER_S: usize = 200;
/// Lower limit of the drain rate of a director's send queue, in lines per second.
const MIN_DRAIN_RATE_PER_S: usize = 4_000;
/// Second byte of the lowest block of loopback addresses; lower blocks are used by other tools.
const FIRST_BLOCK: u32 = 10;
/// Number of blocks, of which each process uses one.
const BLOCKS: u32 = 200;
/// Lowest third byte of the hosts' addresses; the directors' addresses are below it.
const FIRST_HOST_ROW: usize = 100;
/// Addresses in a row, that is, with the same third byte.
const ADDRESSES_PER_ROW: usize = 250;

/// Returns the name of a host.
pub fn host_name(host: usize) -> String {
    format!("s-{host:05}")
}

/// Returns the number of the host with this name, or `None` if no host can have the name.
pub fn host_number(name: &str) -> Option<usize> {
    name.strip_prefix("s-")?.parse().ok()
}

/// Returns the name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone:02}")
}

/// The loopback addresses of a run.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    block: u8,
}

impl Addresses {
    /// Returns the addresses of this process. The block depends on the process id, so that concurrent runs on
    /// a machine mostly use different addresses.
    pub fn of_this_process() -> Addresses {
        Addresses { block: (FIRST_BLOCK + std::process::id() % BLOCKS) as u8 }
    }

    /// Returns the address of a director, which is also the address at which discovery listens for this
    /// director.
    pub fn director(&self, director: usize) -> IpAddr {
        self.at(director / ADDRESSES_PER_ROW, director)
    }

    /// Returns the address of a host.
    pub fn host(&self, host: usize) -> IpAddr {
        self.at(FIRST_HOST_ROW + host / ADDRESSES_PER_ROW, host)
    }

    fn at(&self, row: usize, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.block, row as u8, (1 + number % ADDRESSES_PER_ROW) as u8))
    }
}

/// Returns the load reports per second that one director receives from all its collectors.
pub fn reports_per_s(fleet_size: &FleetSize) -> usize {
    fleet_size.hosts.max(MIN_REPORTS_PER_S)
}

/// Returns the drain rate of a director's send queue, in lines per second.
pub fn drain_rate_per_s(fleet_size: &FleetSize) -> usize {
    (fleet_size.proxies_per_director * fleet_size.hosts / FULL_PUSH_SECONDS).max(MIN_DRAIN_RATE_PER_S)
}

/// Returns the number of a proxy in the fleet, given its index at its director.
pub fn proxy_number(fleet_size: &FleetSize, director: usize, index: usize) -> u32 {
    (director * fleet_size.proxies_per_director + index) as u32
}

/// Returns the zone of a proxy.
pub fn proxy_zone(fleet_size: &FleetSize, proxy: u32) -> usize {
    proxy as usize % fleet_size.zones
}

/// Returns the zone of a host.
pub fn host_zone(fleet_size: &FleetSize, host: usize) -> usize {
    host % fleet_size.zones
}

/// Returns the settings of a director.
pub fn settings(fleet_size: &FleetSize, director: usize) -> Value {
    let zones: Vec<String> = (0..fleet_size.zones).map(zone_name).collect();
    let drain_rate = drain_rate_per_s(fleet_size);
    let mut settings = wingfold_test_support::deployment_settings();
    settings["me"] = json!(director);
    settings["replicas_of_me"] = json!(fleet_size.directors);
    settings["dcs"] = json!(zones);
    settings["rules"]["ask_within"] = json!(POLL_DEADLINE.as_micros() as u64);
    let family = &mut settings["family_info"];
    family["proxy_count"] = json!(fleet_size.directors * fleet_size.proxies_per_director);
    family["egress_per_s"] = json!(drain_rate);
    family["overhead"] = json!(LINES_PER_MESSAGE);
    family["pending_max"] = json!(2 * drain_rate);
    family["reports_per_s"] = json!(reports_per_s(fleet_size));
    family["period"] = json!(REPORT_PERIOD.as_micros() as u64);
    family["push_delay"] = json!(PUSH_DELAY.as_micros() as u64);
    settings
}

/// Returns the configuration of a real director. It contains no known endpoint list, because a start without
/// one is the most expensive.
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
