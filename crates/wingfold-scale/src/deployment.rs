//! The deployment that is played: names, settings and paces, derived from the sizes of a step.

use crate::plan::{Sizes, REAL_DESCRIPTORS, REAL_MEMORY_MIB};
use serde_json::{json, Value};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Classes of requests, as the settings name them.
pub const CLASSES: [&str; 2] = ["lookup", "order"];
/// Time in which a director has to ask discovery; a watch waits half of it.
pub const ASK_WITHIN: Duration = Duration::from_secs(4);
/// Time between two reports of a proxy on its usage.
pub const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time that an order takes to be applied by a proxy.
pub const PUSH_DELAY: Duration = Duration::from_millis(200);
/// Time for a connection to a host.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a probe: the shortest goal of the classes.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests a second at one proxy.
pub const REQUESTS_PER_PROXY: f64 = 20.0;
/// The report of a host on its load.
pub const LOAD_REPORT: &str = r#"{"inflight":7,"queue":2,"util":0.41}"#;

/// Lines that a message to a proxy costs beside its own.
pub const LINES_PER_MESSAGE: usize = 4;
/// A table of every host reaches all proxies of a director in about this time, in seconds.
const BIND_SECONDS: usize = 10;
/// Lines of sums a second that a director gets at least.
const LEAST_REPORTS_PER_SECOND: usize = 200;
/// Lines a second that a director's channel sends at least.
const LEAST_LINES_PER_SECOND: usize = 4_000;
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

/// Lines of sums a second that one director gets from all collectors together.
pub fn reports_per_second(sizes: &Sizes) -> usize {
    sizes.hosts.max(LEAST_REPORTS_PER_SECOND)
}

/// Lines a second that a director's channel sends.
pub fn lines_per_second(sizes: &Sizes) -> usize {
    (sizes.proxies_per_director * sizes.hosts / BIND_SECONDS).max(LEAST_LINES_PER_SECOND)
}

/// The number of a proxy at a director.
pub fn proxy_number(sizes: &Sizes, director: usize, place: usize) -> u32 {
    (director * sizes.proxies_per_director + place) as u32
}

/// The zone of a proxy.
pub fn proxy_zone(sizes: &Sizes, proxy: u32) -> usize {
    proxy as usize % sizes.zones
}

/// The zone of a host.
pub fn host_zone(sizes: &Sizes, host: usize) -> usize {
    host % sizes.zones
}

/// The settings of a director.
pub fn settings(sizes: &Sizes, director: usize) -> Value {
    let zones: Vec<String> = (0..sizes.zones).map(zone_name).collect();
    let lines = lines_per_second(sizes);
    let mut settings = wingfold_test_support::deployment_settings();
    settings["me"] = json!(director);
    settings["replicas_of_me"] = json!(sizes.directors);
    settings["dcs"] = json!(zones);
    settings["rules"]["ask_within"] = json!(ASK_WITHIN.as_micros() as u64);
    let family = &mut settings["family_info"];
    family["proxy_count"] = json!(sizes.directors * sizes.proxies_per_director);
    family["egress_per_s"] = json!(lines);
    family["overhead"] = json!(LINES_PER_MESSAGE);
    family["pending_max"] = json!(2 * lines);
    family["reports_per_s"] = json!(reports_per_second(sizes));
    family["period"] = json!(REPORT_PERIOD.as_micros() as u64);
    family["push_delay"] = json!(PUSH_DELAY.as_micros() as u64);
    settings
}

/// The configuration of a real director. It holds no remembered list: a start from nothing is the dearest.
pub fn configuration(
    sizes: &Sizes,
    director: usize,
    seed: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> Value {
    json!({
        "name": format!("n{director}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", seed.wrapping_add(director as u64)),
        "limits": {"cores": 1.0, "memory_mb": REAL_MEMORY_MIB, "sockets": REAL_DESCRIPTORS},
        "settings": settings(sizes, director),
    })
}
