//! The `collectd` blocks, which define sinks, and the `collectd_in` block, which defines the load receiver.

use super::address::check_address;
use super::secret::{read_users, SecretReader};
use super::sink::read_limits;
use crate::hcl::Block;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use wingfold_metrics::collectd::{Credentials, MappedHost, PacketSecurity, Users, DEFAULT_PACKET_BYTES};
use wingfold_metrics::SinkLimits;

/// Takes the place of a missing or invalid address. The fault is reported, so this address is never listened
/// on.
const PLACEHOLDER_LISTEN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 25826);
/// Takes the place of a missing address of a sink, and is valid so that only the missing key is reported.
const PLACEHOLDER_ADDRESS: &str = "unset:1";

/// A `collectd` block.
#[derive(Clone, Debug, PartialEq)]
pub struct CollectdSettings {
    /// The name of the sink.
    pub name: String,
    /// The address of the receiver, as `host:port`.
    pub address: String,
    /// The largest size of a packet, in bytes.
    pub max_packet_bytes: usize,
    /// How packets are secured.
    pub security: PacketSecurity,
    /// Queue limit, timeouts and backoff.
    pub limits: SinkLimits,
}

/// A `collectd_in` block.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReceiverSettings {
    /// The address on which collectd's packets are received.
    pub listen: SocketAddr,
    /// Whether packets must be signed or encrypted.
    pub requires_security: bool,
    /// The users that may send packets, with their keys.
    pub users: Users,
    /// Maps collectd's name of each machine to the host on it.
    pub hosts: BTreeMap<String, MappedHost>,
}

/// Reads a `collectd` block.
pub(super) fn read_collectd(
    block: &Block,
    interval: Duration,
    read_secret: &SecretReader,
) -> CollectdSettings {
    let address = block.require("address", block.string("address"), PLACEHOLDER_ADDRESS.into());
    check_address(block, "address", &address);
    let security = read_security(block, read_secret);
    CollectdSettings {
        name: block.label.clone().unwrap_or_else(|| "collectd".into()),
        address,
        max_packet_bytes: block.integer("packet", 512..=65_000).unwrap_or(DEFAULT_PACKET_BYTES as u64)
            as usize,
        security,
        limits: read_limits(block, interval),
    }
}

fn read_security(block: &Block, read_secret: &SecretReader) -> PacketSecurity {
    let security = block.keyword("security", &["none", "sign", "encrypt"]).unwrap_or("none");
    match (security, block.string("user"), block.string("keys")) {
        ("none", None, None) => PacketSecurity::None,
        ("none", ..) => {
            block.report(
                "`user` and `keys` have no effect with `security = \"none\"`: packets would not be secured",
            );
            PacketSecurity::None
        }
        (_, Some(user), Some(file)) => {
            let key = read_key(block, &user, &file, read_secret).unwrap_or_default();
            let credentials = Credentials { user, key };
            match security {
                "sign" => PacketSecurity::Signed(credentials),
                _ => PacketSecurity::Encrypted(credentials),
            }
        }
        _ => {
            block.report(format!(
                "`security = \"{security}\"` needs `user` and `keys` (the path of a key file)"
            ));
            PacketSecurity::None
        }
    }
}

fn read_key(block: &Block, user: &str, file: &str, read_secret: &SecretReader) -> Option<String> {
    let users = read_users(block, file, read_secret)?;
    let key = users.key(user).map(str::to_string);
    if key.is_none() {
        block.report_key("keys", None, format!("`{file}` has no key for user `{user}`"));
    }
    key
}

/// Reads the `collectd_in` block; `None` if it is off.
pub(super) fn read_load_receiver(block: &Block, read_secret: &SecretReader) -> Option<LoadReceiverSettings> {
    let enabled = block.boolean("enabled").unwrap_or(false);
    let listen = read_listen(block);
    let requires_security = block.keyword("security", &["none", "required"]) != Some("none");
    let users = block.string("keys").and_then(|file| read_users(block, &file, read_secret));
    let hosts = read_hosts(block);
    if !enabled {
        return None;
    }
    if listen.is_none() {
        block.report_key("listen", None, "is missing");
    }
    if requires_security && users.is_none() {
        block.report(
            "packets must be secured: set `keys` (a file with `user: key` lines), or `security = \"none\"`",
        );
    }
    if hosts.is_empty() {
        block.report("needs a `host` block: without one, received loads belong to no host");
    }
    let listen = listen.unwrap_or(PLACEHOLDER_LISTEN);
    Some(LoadReceiverSettings { listen, requires_security, users: users.unwrap_or_default(), hosts })
}

fn read_listen(block: &Block) -> Option<SocketAddr> {
    let text = block.string("listen")?;
    let address = text.parse().unwrap_or_else(|_| {
        let problem = format!("`{text}` is not an IP address with a port, such as 10.0.0.4:25826");
        block.report_key("listen", None, problem);
        PLACEHOLDER_LISTEN
    });
    Some(address)
}

fn read_hosts(block: &Block) -> BTreeMap<String, MappedHost> {
    let mut hosts = BTreeMap::new();
    for block in block.blocks("host") {
        let host = block.require("is", block.string("is"), String::new());
        let cores = block.require("cores", block.number("cores", 0.01..=4096.0), 1.0);
        let machine = block.label.clone().unwrap_or_default();
        if machine.is_empty() {
            block.report("needs collectd's name of the machine as its label: host \"db1\" { .. }");
        }
        hosts.insert(machine, MappedHost { host, cores });
    }
    hosts
}
