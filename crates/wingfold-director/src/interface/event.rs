//! The events that a director handles.
use super::{
    AttemptCounts, ClassId, Endpoint, EndpointListKind, HealthCheckOutcome, HostId, HostLoad, Micros,
    ProxyId, ZoneId,
};
use serde::{Deserialize, Serialize};

/// An event that a director handles. Captures store events by position (postcard), so the order of variants
/// and of fields must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The endpoint list, or a part of it, has arrived.
    EndpointList {
        /// Whether `endpoints` are changes or a complete list.
        kind: EndpointListKind,
        /// The endpoints, in the order in which discovery sent them.
        endpoints: Vec<Endpoint>,
    },
    /// A request for the endpoint list failed, or the watch of the list was interrupted.
    EndpointListFailed,
    /// The address of discovery has changed. Outstanding requests to the old address will not be answered.
    DiscoveryMoved,
    /// A timer that [`Action::SetTimer`](super::Action::SetTimer) set is due; the value is its token.
    TimerFired(u64),
    /// A health check has ended.
    HealthChecked {
        /// The host that was checked.
        host: HostId,
        /// How the check ended.
        outcome: HealthCheckOutcome,
        /// The load that the host reported with its response.
        load: HostLoad,
    },
    /// Another director has sent a message.
    PeerMessage {
        /// The number of the sender.
        from: u32,
        /// The message, as bytes that the director does not interpret.
        message: Vec<u8>,
    },
    /// A proxy has opened its stream.
    ProxyConnected {
        /// The proxy.
        proxy: ProxyId,
        /// The zone of the proxy.
        zone: ZoneId,
        /// Requests per second that the proxy usually receives.
        requests_per_s: f64,
    },
    /// A proxy's stream has ended.
    ProxyDisconnected(ProxyId),
    /// The proxies of a zone have reported their attempts at a host.
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
    /// A proxy has reported the requests of a class that it received.
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
        /// Time from the call that sent the barrier until the proxy applied its message.
        elapsed: Micros,
    },
    /// Any event about shards of the key space. Shards are not supported; directors ignore the event.
    Shard,
}
