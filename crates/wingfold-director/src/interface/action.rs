//! The actions that a director takes.
use super::{ClassMask, HostId, Notice, ProxyId, TableId, Timestamp};
use serde::{Deserialize, Serialize};

/// How often a proxy retries a request on another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Retry {
    /// Never.
    Never,
    /// Once, if the first attempt is proven not to have run.
    OnProof,
    /// Once, after any failure.
    Once,
    /// At most twice, after any failure.
    Twice,
}

/// An action that a director orders. Captures store actions by position (postcard): the order of variants and of
/// fields is fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Begin to watch the endpoint list (`true`), or end that.
    WatchEndpoints(bool),
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Report [`Event::TimerFired`](super::Event::TimerFired) with this token at this time.
    SetTimer {
        /// When the timer is due.
        at: Timestamp,
        /// Given back with the event.
        token: u64,
    },
    /// Check the health of a host.
    CheckHealth(HostId),
    /// Send a message to another director.
    SendToPeer {
        /// The number of the receiver; `None`: all of them.
        to: Option<u32>,
        /// The message; opaque here.
        message: Vec<u8>,
    },
    /// Set the entry of a host in a table.
    SetEntry {
        /// The table.
        table: TableId,
        /// The host.
        host: HostId,
        /// Its weight; 0 removes the entry.
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
        /// The classes for which it uses the table.
        classes: ClassMask,
    },
    /// Eject a host from every table, or end that.
    SetEjected {
        /// The host.
        host: HostId,
        /// Whether the host is ejected from now on.
        ejected: bool,
    },
    /// Set the admission level and the retry policy of some classes.
    SetAdmission {
        /// The table for which they hold; `None`: for all proxies.
        table: Option<TableId>,
        /// The classes.
        classes: ClassMask,
        /// The admission level, in the unit that [`AdmissionMode`](super::AdmissionMode) gives it.
        level: f64,
        /// The retry policy.
        retry: Retry,
    },
    /// Put a barrier into this answer's messages: proxies acknowledge it once they have applied its message.
    Barrier {
        /// Every proxy gets one, not only those with a message.
        all_proxies: bool,
        /// The number of the barrier.
        number: u64,
    },
    /// Drop all records of a host: no table holds it, and it was removed from the endpoint list long ago.
    EvictHost(HostId),
    /// A notice for the log.
    Notice(Notice),
}
