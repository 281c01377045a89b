//! The endpoint list that discovery serves: its current version, and the changes after an earlier version.

use crate::deployment::{host_name, host_zone, zone_name};
use crate::plan::FleetSize;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// The state of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host takes requests.
    Active,
    /// The host completes its requests in flight and takes no new ones.
    Leaving,
}

/// A change of one host.
#[derive(Clone, Copy, Debug)]
pub struct HostChange {
    /// The host.
    pub host: usize,
    /// The new state of the host.
    pub state: HostState,
    /// The Unix time of the host's last start, in milliseconds; 0 means that the start was long ago.
    pub started_ms: u64,
}

/// An entry of the list, in the JSON form of discovery.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    id: String,
    addr: String,
    zone: String,
    kind: &'static str,
    cell: usize,
    state: HostState,
    weight: f64,
    started_ms: u64,
}

/// A response, in the JSON form of discovery.
#[derive(Serialize)]
struct ListResponse<'a> {
    version: u64,
    full: bool,
    servers: Vec<&'a Endpoint>,
}

/// An encoded response.
#[derive(Clone, Debug)]
pub struct EncodedList {
    /// The JSON text.
    pub text: Arc<str>,
    /// The number of entries in the response.
    pub entries: usize,
    /// The version of the list in the response.
    pub version: u64,
}

/// Hosts in a cell.
const HOSTS_PER_CELL: usize = 6;
/// If more than this ratio of the hosts has changed, the response is the complete list.
const MAX_CHANGED_RATIO: f64 = 0.5;

/// The endpoint list.
#[derive(Debug)]
pub struct EndpointList {
    version: u64,
    hosts: Vec<Endpoint>,
    /// The version in which each host last changed.
    changed_in: Vec<u64>,
    /// The encoded complete list of the current version, kept after its first use.
    complete: Option<EncodedList>,
}

impl EndpointList {
    /// Creates a list of active hosts at these addresses.
    pub fn new(fleet_size: &FleetSize, addresses: &[SocketAddr]) -> EndpointList {
        let hosts = addresses.iter().enumerate().map(|(host, address)| Endpoint {
            id: host_name(host),
            addr: address.to_string(),
            zone: zone_name(host_zone(fleet_size, host)),
            kind: "m2",
            cell: host / HOSTS_PER_CELL,
            state: HostState::Active,
            weight: 1.0,
            started_ms: 0,
        });
        EndpointList {
            version: 1,
            hosts: hosts.collect(),
            changed_in: vec![1; addresses.len()],
            complete: None,
        }
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies changes of hosts as one new version, and returns that version.
    pub fn change(&mut self, changes: &[HostChange]) -> u64 {
        self.version += 1;
        self.complete = None;
        for change in changes {
            self.hosts[change.host].state = change.state;
            self.hosts[change.host].started_ms = change.started_ms;
            self.changed_in[change.host] = self.version;
        }
        self.version
    }

    /// Returns whether the list is newer than this version; always true for `None`.
    pub fn is_newer_than(&self, version: Option<u64>) -> bool {
        version.is_none_or(|version| self.version > version)
    }

    /// Returns the response to a request: the entries that changed after a version, or the complete list if
    /// `after` is `None` or more than half of the hosts has changed.
    pub fn response(&mut self, after: Option<u64>) -> EncodedList {
        let Some(after) = after else { return self.complete_response() };
        let changed: Vec<&Endpoint> = self
            .hosts
            .iter()
            .zip(&self.changed_in)
            .filter(|(_, version)| **version > after)
            .map(|(host, _)| host)
            .collect();
        if changed.len() as f64 > MAX_CHANGED_RATIO * self.hosts.len() as f64 {
            return self.complete_response();
        }
        encode(self.version, false, changed)
    }

    fn complete_response(&mut self) -> EncodedList {
        let (version, hosts) = (self.version, &self.hosts);
        self.complete.get_or_insert_with(|| encode(version, true, hosts.iter().collect())).clone()
    }
}

fn encode(version: u64, full: bool, servers: Vec<&Endpoint>) -> EncodedList {
    let entries = servers.len();
    let response = ListResponse { version, full, servers };
    let text = serde_json::to_string(&response).expect("entries are plain JSON");
    EncodedList { text: text.into(), entries, version }
}
