//! The actions that a director requests from its caller.
use super::{ClassMask, HostId, Notice, ProxyId, TableId, Timestamp};
use serde::{Deserialize, Serialize};

/// How often a proxy retries a request on another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Retry {
    /// No retry.
    Never,
    /// One retry, only if the first attempt is known not to have run on its host.
    OnProof,
    /// One retry after any failure.
    Once,
    /// At most two retries, after any failure.
    Twice,
}

/// An action of a director, which its caller carries out. Captures store actions by position (postcard), so
/// the order of variants and of fields must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start watching the endpoint list (`true`), or stop watching it (`false`).
    WatchEndpoints(bool),
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Report [`Event::TimerFired`](super::Event::TimerFired) with this token at this time.
    SetTimer {
        /// When the timer is due.
        at: Timestamp,
        /// Returned with the event.
        token: u64,
    },
    /// Check the health of a host.
    CheckHealth(HostId),
    /// Send a message to another director.
    SendToPeer {
        /// The number of the receiving director; `None`: all other directors.
        to: Option<u32>,
        /// The message, as bytes that the director does not interpret.
        message: Vec<u8>,
    },
    /// Set the entry of a host in a table.
    SetEntry {
        /// The table.
        table: TableId,
        /// The host.
        host: HostId,
        /// The weight of the host in the table; 0 removes the entry.
        weight: f64,
    },
    /// Remove all entries of a table.
    ClearTable(TableId),
    /// Make a proxy use a table.
    AssignTable {
        /// The proxy.
        proxy: ProxyId,
        /// The table.
        table: TableId,
        /// The classes whose requests the proxy sends by this table.
        classes: ClassMask,
    },
    /// Eject a host from every table, or end its ejection.
    SetEjected {
        /// The host.
        host: HostId,
        /// `true` to eject the host, `false` to end its ejection.
        ejected: bool,
    },
    /// Set the admission level and the retry policy of some classes.
    SetAdmission {
        /// The table to which the level and the policy apply; `None`: all proxies.
        table: Option<TableId>,
        /// The classes.
        classes: ClassMask,
        /// The admission level, in the unit that [`AdmissionMode`](super::AdmissionMode) gives it.
        level: f64,
        /// The retry policy.
        retry: Retry,
    },
    /// Add a barrier to the messages of this call. A proxy acknowledges the barrier once it has applied the
    /// message that carries it.
    Barrier {
        /// Whether every proxy gets the barrier, rather than only the proxies that get a message anyway.
        all_proxies: bool,
        /// The number of the barrier.
        number: u64,
    },
    /// Drop all records of a host that was removed from the endpoint list long ago and is in no table.
    EvictHost(HostId),
    /// A notice for the log.
    Notice(Notice),
}
