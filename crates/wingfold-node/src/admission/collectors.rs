//! The connections of collectors. A zone has one collector, but the end of a broken connection may be noticed
//! only after the collector has connected again, and any client can name a zone. So a zone may have several
//! connections, and which one is the collector's shows in what arrives on them.

use crate::outbox::ConnectionSender;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The connections of all zones' collectors.
#[derive(Debug, Default)]
pub struct CollectorConnections {
    /// The connections of each zone, by their numbers.
    zones: BTreeMap<Arc<str>, BTreeMap<u64, CollectorConnection>>,
    /// Number of messages so far, by which connections are ordered.
    messages: u64,
}

/// One connection.
#[derive(Debug)]
struct CollectorConnection {
    sender: ConnectionSender,
    /// The number of its last message.
    last_message: u64,
}

impl CollectorConnections {
    /// Adds a connection that has named a zone.
    pub fn insert(&mut self, zone: &Arc<str>, sender: ConnectionSender) {
        self.messages += 1;
        let connection_id = sender.connection_id;
        let connection = CollectorConnection { sender, last_message: self.messages };
        self.zones.entry(zone.clone()).or_default().insert(connection_id, connection);
    }

    /// Removes a connection that has ended; does nothing if it was evicted.
    pub fn remove(&mut self, zone: &str, connection_id: u64) {
        if let Some(connections) = self.zones.get_mut(zone) {
            connections.remove(&connection_id);
        }
    }

    /// Records that a message has arrived on a connection.
    pub fn record_activity(&mut self, zone: &str, connection_id: u64) {
        self.messages += 1;
        let connections = self.zones.get_mut(zone);
        if let Some(connection) = connections.and_then(|connections| connections.get_mut(&connection_id)) {
            connection.last_message = self.messages;
        }
    }

    /// Closes the connection that has been silent for longest in a zone that has more than `kept_per_zone`;
    /// returns false if there is none.
    pub fn evict_surplus(&mut self, kept_per_zone: usize) -> bool {
        let surplus = self.zones.values().filter(|connections| connections.len() > kept_per_zone).flatten();
        let Some((&connection_id, _)) = surplus.min_by_key(|(_, connection)| connection.last_message) else {
            return false;
        };
        for connections in self.zones.values_mut() {
            if let Some(connection) = connections.remove(&connection_id) {
                connection.sender.close();
            }
        }
        true
    }
}
