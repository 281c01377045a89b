//! What the decision module is told and what it can order. No decision is taken here.

mod notice;

pub use notice::Notice;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A point on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// A point so many seconds after the clock's zero; negative values count as zero.
    pub fn from_secs(secs: f64) -> Self {
        Timestamp((secs * 1e6) as u64)
    }

    /// Seconds since the clock's zero.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Seconds passed since `earlier`; 0 if that lies ahead.
    pub fn since(self, earlier: Timestamp) -> f64 {
        Micros(self.0.saturating_sub(earlier.0)).secs()
    }
}

impl std::ops::Add<Micros> for Timestamp {
    type Output = Timestamp;

    fn add(self, length: Micros) -> Timestamp {
        Timestamp(self.0 + length.0)
    }
}

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// A length given in seconds; negative lengths count as none.
    pub fn from_secs(secs: f64) -> Self {
        Micros((secs * 1e6) as u64)
    }

    /// The length in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// A server's address; opaque.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostId(pub Arc<str>);

/// A zone; opaque, its name decides nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(pub Arc<str>);

/// A proxy's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProxyId(pub u32);

/// A table's number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableId(pub u32);

/// A class of requests, by its position in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassId(pub usize);

/// A set of classes: bit `k` stands for the class at position `k`; no bit at all for every class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassMask(pub u64);

/// What happens when a request of a class runs twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatSafety {
    /// Safe to repeat.
    #[default]
    Idempotent,
    /// A repeat is dropped, but only by the hosts of one group and for a while.
    Deduplicated,
    /// Must never run twice.
    AtMostOnce,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time earns full worth.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// The client's whole wait.
    pub deadline: Micros,
    /// Worth of a request.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// What a second run does.
    #[serde(rename = "effect")]
    pub repeat_safety: RepeatSafety,
    /// May go only to hosts of the proxy's own zone.
    #[serde(rename = "own_zone")]
    pub own_zone_only: bool,
    /// May go only to hosts of these zones; empty: to all.
    #[serde(rename = "zones")]
    pub allowed_zones: Vec<ZoneId>,
    /// May go only to hosts of these kinds; empty: to all.
    #[serde(rename = "kinds")]
    pub allowed_machine_types: Vec<String>,
}

/// How a proxy understands the level of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionMode {
    /// A share of what comes.
    #[default]
    Share,
    /// Requests a second at each proxy.
    Rate,
    /// Levels are ignored, ways of trying again are not.
    Ignored,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadReportSource {
    /// With the sums and with probes.
    #[default]
    #[serde(rename = "WithAnswers")]
    WithAttemptCounts,
    /// With probes only.
    #[serde(rename = "WithProbes")]
    WithHealthChecks,
    /// Nowhere.
    Never,
}

/// What a director is told when it starts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// This director's number, from 0.
    #[serde(rename = "me")]
    pub director_index: u32,
    /// How many directors there are.
    pub directors: u32,
    /// Every zone.
    pub zones: Vec<ZoneId>,
    /// A proxy joins a director of its own zone where there is one; otherwise they are dealt by chance.
    pub local_first: bool,
    /// The classes, in order.
    pub classes: Vec<Class>,
    /// The server list must be asked for.
    #[serde(rename = "list_on_request")]
    pub endpoint_list_on_request: bool,
    /// How levels are understood.
    #[serde(rename = "admission")]
    pub admission_mode: AdmissionMode,
    /// How many proxies there are in all.
    pub proxies: u32,
    /// Slices of keys; 0: none.
    #[serde(rename = "slices")]
    pub shards: u32,
    /// Lines that a channel sends in a second.
    #[serde(rename = "lines_per_s")]
    pub send_rate_lines_per_s: f64,
    /// Lines that each message costs besides its own.
    #[serde(rename = "message_overhead")]
    pub message_overhead_lines: f64,
    /// Lines that may wait in the channel.
    #[serde(rename = "queue_max")]
    pub max_queued_lines: f64,
    /// Messages to one proxy within `messages_over`; 0: no limit.
    #[serde(rename = "messages_max")]
    pub max_messages_per_proxy: u32,
    /// The span of that count.
    #[serde(rename = "messages_over")]
    pub message_window: Micros,
    /// Mean time of a message after it has left the channel.
    #[serde(rename = "push_delay")]
    pub mean_push_delay: Micros,
    /// The longest such time.
    #[serde(rename = "push_delay_max")]
    pub max_push_delay: Micros,
    /// How long a proxy may lack a line.
    #[serde(rename = "bare")]
    pub max_time_without_entry: Micros,
    /// Interval of the sums.
    pub report_period: Micros,
    /// Lines of sums delivered in a second at most.
    #[serde(rename = "reports_per_s")]
    pub max_report_lines_per_s: f64,
    /// Failures in a row after which a proxy avoids a host; 0: never.
    #[serde(rename = "ejects")]
    pub proxy_ejection_threshold: u32,
    /// Probes are permitted.
    #[serde(rename = "probing")]
    pub health_checks_allowed: bool,
    /// Load reports.
    #[serde(rename = "load_reports")]
    pub load_report_source: LoadReportSource,
    /// Price of a request that crosses zones, as a share of its worth.
    pub cross_zone_price: f64,
    /// A host starts with this share of its capacity at least.
    #[serde(rename = "start_capacity")]
    pub initial_capacity_ratio: f64,
    /// And is warm after this time at the latest.
    #[serde(rename = "cold")]
    pub warm_up: Micros,
    /// Time to stop sending to a host that drains.
    pub drain_grace: Micros,
    /// A cold host falls over at this multiple of its capacity,
    pub overload_factor: f64,
    /// sent for this long.
    #[serde(rename = "overload_for")]
    pub overload_duration: Micros,
    /// A director that has not asked for the list for this long counts as told of it.
    #[serde(rename = "ask_within")]
    pub poll_within: Micros,
    /// A host that is merely dropped from the list need not leave the tables: only one seen draining must.
    #[serde(rename = "gone_is_advice")]
    pub removal_is_advisory: bool,
    /// A proxy closes a connection that was idle for this long.
    #[serde(rename = "conn_idle")]
    pub connection_idle_timeout: Micros,
}

/// A host's state on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// Runs.
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Off the list.
    #[serde(rename = "Gone")]
    Removed,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Which host.
    pub host: HostId,
    /// Kind of machine; opaque.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub readiness: Readiness,
    /// Listed size.
    pub weight: f64,
    /// Its last start; `None`: long past.
    #[serde(rename = "started")]
    pub started_at: Option<Timestamp>,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointListKind {
    /// Changed entries.
    Changes,
    /// The whole list.
    Complete,
    /// The whole list as last held before a restart; possibly old.
    Cached,
}

/// A host's report of its load; what it does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostLoad {
    /// Requests in hand.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Busy share of the cores.
    pub utilization: Option<f64>,
    /// Recent service time without waiting, in ms.
    pub service_ms: Option<f64>,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthCheckOutcome {
    /// Answered.
    Ok,
    /// Answered, but turned away: draining or too many probes.
    Rejected,
    /// No good answer.
    Failed,
}

/// Sums over some period of what was tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// How many.
    pub total: u64,
    /// How many of them without a good answer.
    pub failed: u64,
    /// The period they were counted over.
    pub period: Micros,
}

/// What another director says of a host, as its proxies of a zone met it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAdvice {
    /// Who says it.
    pub from: u32,
    /// As which zone sees the host.
    pub zone: ZoneId,
    /// Which host.
    pub host: HostId,
    /// It took the host out, or has it on trial.
    pub ejected: bool,
    /// Halvings in force there.
    pub weight_halvings: u32,
    /// How old that is.
    pub age: Micros,
}

/// What a director is told. Captures hold events by position (postcard): the order of variants and of
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
    /// A timer that [`Action::SetTimer`] set is due; the value is its token.
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
        /// Time from the order to its effect.
        elapsed: Micros,
    },
    /// Anything about shards of keys, which are not supported.
    Shard,
}

/// When a proxy tries another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Retry {
    /// Never.
    Never,
    /// Once, after proof that the first try never ran.
    OnProof,
    /// Once, after any failure.
    Once,
    /// Twice, after any failure.
    Twice,
}

/// What a director orders. Captures hold actions by position (postcard): the order of variants and of
/// fields is fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Begin to watch the endpoint list (`true`), or end that.
    WatchEndpoints(bool),
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Report [`Event::TimerFired`] with this token at this time.
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
        /// The level, as [`AdmissionMode`] says.
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
    /// Drop what is kept of a host: no table holds it, and it was removed from the endpoint list long ago.
    EvictHost(HostId),
    /// A notice for the log.
    Notice(Notice),
}
