//! The `collectd` blocks, which receive figures, and the `collectd_in` block, which takes loads in.

use super::address::check_address;
use super::secret::{read_users, SecretReader};
use super::sink::read_limits;
use crate::hcl::Block;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use wingfold_metrics::collectd::{Credentials, MappedHost, PacketSecurity, Users, DEFAULT_PACKET_BYTES};
use wingfold_metrics::SinkLimits;

/// Stands in for an address that is missing or wrong, which is told.
const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 25826);

/// A `collectd` block.
#[derive(Clone, Debug, PartialEq)]
pub struct CollectdSettings {
    /// Its name.
    pub name: String,
    /// `host:port`.
    pub address: String,
    /// Bytes of a packet.
    pub max_packet_bytes: usize,
    /// How packets are secured.
    pub security: PacketSecurity,
    /// Queue, times and pauses.
    pub limits: SinkLimits,
}

/// A `collectd_in` block.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReceiverSettings {
    /// Where packets arrive.
    pub listen: SocketAddr,
    /// Packets must be signed or encrypted.
    pub requires_security: bool,
    /// Who may send.
    pub users: Users,
    /// Machines of collectd, and the hosts they are.
    pub hosts: BTreeMap<String, MappedHost>,
}

/// Reads a `collectd` block.
pub(super) fn read_collectd(
    block: &Block,
    interval: Duration,
    read_secret: &SecretReader,
) -> CollectdSettings {
    let address = block.require("address", block.string("address"), "unset:1".into());
    check_address(block, "address", &address);
    let secrecy = read_security(block, read_secret);
    CollectdSettings {
        name: block.label.clone().unwrap_or_else(|| "collectd".into()),
        address,
        max_packet_bytes: block.integer("packet", 512..=65_000).unwrap_or(DEFAULT_PACKET_BYTES as u64)
            as usize,
        security: secrecy,
        limits: read_limits(block, interval),
    }
}

fn read_security(block: &Block, read_secret: &SecretReader) -> PacketSecurity {
    let security = block.keyword("security", &["none", "sign", "encrypt"]).unwrap_or("none");
    match (security, block.string("user"), block.string("keys")) {
        ("none", None, None) => PacketSecurity::None,
        ("none", ..) => {
            block.report("`user` and `keys` are given, and `security` is none: nothing would be secured");
            PacketSecurity::None
        }
        (_, Some(user), Some(file)) => {
            let key = key_of(block, &user, &file, read_secret).unwrap_or_default();
            let credentials = Credentials { user, key };
            match security {
                "sign" => PacketSecurity::Signed(credentials),
                _ => PacketSecurity::Encrypted(credentials),
            }
        }
        _ => {
            block.report(format!("`security` is {security}: `user` and `keys` (a file) are needed"));
            PacketSecurity::None
        }
    }
}

fn key_of(block: &Block, user: &str, file: &str, read_secret: &SecretReader) -> Option<String> {
    let users = read_users(block, file, read_secret)?;
    let key = users.key(user).map(str::to_string);
    if key.is_none() {
        block.report_key("keys", None, format!("`{file}` has no key of `{user}`"));
    }
    key
}

/// Reads the `collectd_in` block; `None`: it is off.
pub(super) fn read_collectd_in(block: &Block, read_secret: &SecretReader) -> Option<LoadReceiverSettings> {
    let enabled = block.boolean("enabled").unwrap_or(false);
    let listen = listen(block);
    let secured = block.keyword("security", &["none", "required"]) != Some("none");
    let users = block.string("keys").and_then(|file| read_users(block, &file, read_secret));
    let map = mapped_hosts(block);
    if !enabled {
        return None;
    }
    if listen.is_none() {
        block.report_key("listen", None, "is missing");
    }
    if secured && users.is_none() {
        block.report(
            "`security` is required: `keys` (a file of `user: key` lines) is needed, or `security = \"none\"`",
        );
    }
    if map.is_empty() {
        block.report("maps no machine to a host: nothing it hears could be used");
    }
    let listen = listen.unwrap_or(DEFAULT_LISTEN);
    Some(LoadReceiverSettings {
        listen,
        requires_security: secured,
        users: users.unwrap_or_default(),
        hosts: map,
    })
}

fn listen(block: &Block) -> Option<SocketAddr> {
    let text = block.string("listen")?;
    let address = text.parse().unwrap_or_else(|_| {
        let problem = format!("`{text}` is no address with a port, like 10.0.0.4:25826");
        block.report_key("listen", None, problem);
        DEFAULT_LISTEN
    });
    Some(address)
}

fn mapped_hosts(block: &Block) -> BTreeMap<String, MappedHost> {
    let mut map = BTreeMap::new();
    for block in block.blocks("host") {
        let host = block.require("is", block.string("is"), String::new());
        let cores = block.require("cores", block.number("cores", 0.01..=4096.0), 1.0);
        let machine = block.label.clone().unwrap_or_default();
        if machine.is_empty() {
            block.report("needs collectd's name of the machine: host \"db1\" { .. }");
        }
        map.insert(machine, MappedHost { host, cores });
    }
    map
}
