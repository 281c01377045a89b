//! The events that a director handles.
use super::{
    AttemptCounts, ClassId, Endpoint, EndpointListKind, HealthCheckOutcome, HostId, HostLoad, Micros,
    ProxyId, ZoneId,
};
use serde::{Deserialize, Serialize};

/// An event that a director handles. Captures store events by position (postcard): the order of variants and of
/// fields is fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The endpoint list, or a part of it, has arrived.
    EndpointList {
        /// What `endpoints` stand for.
        kind: EndpointListKind,
        /// The endpoints, in the order of the answer.
        endpoints: Vec<Endpoint>,
    },
    /// A call for the endpoint list failed, or the watch broke.
    EndpointListFailed,
    /// Discovery has another address from now on: no answer of the old one will come.
    DiscoveryMoved,
    /// A timer that [`Action::SetTimer`](super::Action::SetTimer) set is due; the value is its token.
    TimerFired(u64),
    /// A health check has ended.
    HealthChecked {
        /// The host that was checked.
        host: HostId,
        /// How the check ended.
        outcome: HealthCheckOutcome,
        /// The load that the host reported with its answer.
        load: HostLoad,
    },
    /// Another director has sent a message.
    PeerMessage {
        /// The number of the sender.
        from: u32,
        /// The message; opaque here.
        message: Vec<u8>,
    },
    /// A proxy has opened its stream.
    ProxyConnected {
        /// The proxy.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// The requests that it usually receives in a second.
        requests_per_s: f64,
    },
    /// A proxy's stream has ended.
    ProxyDisconnected(ProxyId),
    /// What the proxies of a zone met at a host.
    LoadReport {
        /// The zone of the proxies.
        zone: ZoneId,
        /// The host.
        host: HostId,
        /// The attempts of the period.
        attempts: AttemptCounts,
        /// Mean latency of the attempts that succeeded.
        mean_latency: Micros,
        /// The latest load that the host reported.
        load: HostLoad,
    },
    /// Requests of a class that came to a proxy.
    Usage {
        /// The proxy.
        proxy: ProxyId,
        /// The class.
        class: ClassId,
        /// The requests of the period.
        requests: AttemptCounts,
    },
    /// A proxy has applied the message that carries this barrier.
    Acknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The number of the barrier.
        barrier: u64,
        /// Time from the barrier's decision until it was applied.
        elapsed: Micros,
    },
    /// Anything about shards of keys, which are not supported.
    Shard,
}
