//! Addresses and incarnations of the hosts that endpoint lists have named.

use super::{EndpointEntry, EndpointListResponse};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The health check target of every host that a list has named and the decision module has not evicted.
#[derive(Debug, Default)]
pub struct EndpointAddresses {
    hosts: BTreeMap<Arc<str>, HealthCheckTarget>,
    last_incarnation: u64,
}

/// The address at which a host answers health checks, and the incarnation that answers there.
#[derive(Clone, Debug)]
pub struct HealthCheckTarget {
    /// The host's address.
    pub address: Arc<str>,
    /// Number of the host's present incarnation; a host that restarts or changes its address has a new one.
    pub incarnation: u64,
    started_at_ms: f64,
}

impl HealthCheckTarget {
    fn is_same_process(&self, entry: &EndpointEntry) -> bool {
        self.address == entry.address && self.started_at_ms == entry.started_at_ms
    }
}

impl EndpointAddresses {
    /// Records the hosts of a response. Removed hosts stay known until the decision module evicts them. While
    /// `max_hosts` hosts are known, entries of new hosts are dropped from the response. Returns the number of
    /// dropped entries.
    pub fn update(&mut self, response: &mut EndpointListResponse, max_hosts: usize) -> usize {
        let received = response.endpoints.len();
        response.endpoints.retain(|entry| self.record(entry, max_hosts));
        received - response.endpoints.len()
    }

    /// Records the host of one entry; returns false if the host is new and `max_hosts` are known already.
    fn record(&mut self, entry: &EndpointEntry, max_hosts: usize) -> bool {
        let known = self.hosts.get(&entry.host);
        if known.is_none() && self.hosts.len() >= max_hosts {
            return false;
        }
        if !known.is_some_and(|target| target.is_same_process(entry)) {
            self.last_incarnation += 1;
            let target = HealthCheckTarget {
                address: entry.address.clone(),
                incarnation: self.last_incarnation,
                started_at_ms: entry.started_at_ms,
            };
            self.hosts.insert(entry.host.clone(), target);
        }
        true
    }

    /// Removes a host that the decision module has evicted.
    pub fn remove(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Number of hosts known.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// The health check target of a host; `None` for a host that is not known.
    pub fn get(&self, host: &str) -> Option<&HealthCheckTarget> {
        self.hosts.get(host)
    }
}
