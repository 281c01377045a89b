//! The list of hosts that discovery serves: its versions, and what changed after one.

use crate::deployment::{host_name, host_zone, zone_name};
use crate::plan::Sizes;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// The state of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It takes requests.
    Active,
    /// It finishes what it holds.
    Leaving,
}

/// An entry, as it stands in an answer.
#[derive(Clone, Debug, Serialize)]
pub struct ListedHost {
    id: String,
    addr: String,
    zone: String,
    kind: &'static str,
    cell: usize,
    state: HostState,
    weight: f64,
    started_ms: u64,
}

/// An answer, as discovery writes it.
#[derive(Serialize)]
struct Answer<'a> {
    version: u64,
    full: bool,
    servers: Vec<&'a ListedHost>,
}

/// What discovery answers, and how many entries that holds.
#[derive(Clone, Debug)]
pub struct Body {
    /// The JSON text.
    pub text: Arc<str>,
    /// Its entries.
    pub entries: usize,
    /// Its version.
    pub version: u64,
}

/// Hosts that make a cell.
const HOSTS_PER_CELL: usize = 6;
/// Where more than this share of the list has changed, the whole list is shorter to say.
const MOST_CHANGED: f64 = 0.5;

/// The list.
#[derive(Debug)]
pub struct HostList {
    version: u64,
    hosts: Vec<ListedHost>,
    /// The version in which each host changed last.
    changed_in: Vec<u64>,
    whole: Option<Body>,
}

impl HostList {
    /// All hosts active, at these addresses.
    pub fn new(sizes: &Sizes, addresses: &[SocketAddr]) -> HostList {
        let hosts = addresses.iter().enumerate().map(|(host, address)| ListedHost {
            id: host_name(host),
            addr: address.to_string(),
            zone: zone_name(host_zone(sizes, host)),
            kind: "m2",
            cell: host / HOSTS_PER_CELL,
            state: HostState::Active,
            weight: 1.0,
            started_ms: 0,
        });
        HostList { version: 1, hosts: hosts.collect(), changed_in: vec![1; addresses.len()], whole: None }
    }

    /// The version as it stands.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Changes hosts, all in one new version, which it gives.
    pub fn change(&mut self, changes: &[(usize, HostState, u64)]) -> u64 {
        self.version += 1;
        self.whole = None;
        for (host, state, started_ms) in changes {
            self.hosts[*host].state = *state;
            self.hosts[*host].started_ms = *started_ms;
            self.changed_in[*host] = self.version;
        }
        self.version
    }

    /// Whether something is newer than this version.
    pub fn is_newer_than(&self, version: Option<u64>) -> bool {
        version.is_none_or(|version| self.version > version)
    }

    /// The answer to a call: what changed after a version, or the whole list.
    pub fn answer(&mut self, after: Option<u64>) -> Body {
        let Some(after) = after else { return self.whole() };
        let changed: Vec<&ListedHost> = self
            .hosts
            .iter()
            .zip(&self.changed_in)
            .filter(|(_, version)| **version > after)
            .map(|(host, _)| host)
            .collect();
        if changed.len() as f64 > MOST_CHANGED * self.hosts.len() as f64 {
            return self.whole();
        }
        body(self.version, false, changed)
    }

    fn whole(&mut self) -> Body {
        let (version, hosts) = (self.version, &self.hosts);
        self.whole.get_or_insert_with(|| body(version, true, hosts.iter().collect())).clone()
    }
}

fn body(version: u64, full: bool, servers: Vec<&ListedHost>) -> Body {
    let entries = servers.len();
    let answer = Answer { version, full, servers };
    let text = serde_json::to_string(&answer).expect("entries are plain JSON");
    Body { text: text.into(), entries, version }
}
