//! Addresses of the hosts that the endpoint list has named.

use super::{EndpointEntry, EndpointListResponse};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The address of every host that a list has named and the decision module has not evicted.
#[derive(Debug, Default)]
pub struct EndpointAddresses {
    hosts: BTreeMap<Arc<str>, HealthCheckTarget>,
    last_incarnation: u64,
}

/// Where a host answers health checks.
#[derive(Clone, Debug)]
pub struct HealthCheckTarget {
    /// The host's address.
    pub address: Arc<str>,
    /// Number of this process of the host: one that is started again, or moves to another address, has a new number.
    pub incarnation: u64,
    started_at_ms: f64,
}

impl HealthCheckTarget {
    fn is_same_process(&self, entry: &EndpointEntry) -> bool {
        self.address == entry.address && self.started_at_ms == entry.started_at_ms
    }
}

impl EndpointAddresses {
    /// Records the hosts of a response; removed hosts stay known until the decision module evicts them. With
    /// `max_hosts` known, entries of new hosts are taken off the response: returns how many.
    pub fn update(&mut self, response: &mut EndpointListResponse, max_hosts: usize) -> usize {
        let listed = response.endpoints.len();
        response.endpoints.retain(|entry| self.record(entry, max_hosts));
        listed - response.endpoints.len()
    }

    /// Records one host; false if there is no room for it.
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

    /// Evicts a host.
    pub fn remove(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Number of hosts known.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Where a host answers health checks; `None` for a host that is not known.
    pub fn get(&self, host: &str) -> Option<&HealthCheckTarget> {
        self.hosts.get(host)
    }
}
