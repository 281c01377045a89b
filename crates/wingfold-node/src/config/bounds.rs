//! Bounds of the transport, derived from the settings and from the limits of the process where these
//! determine them.

use super::{key_error, ConfigError};
use serde::Deserialize;
use std::time::Duration;
use wingfold_director::interface::{Micros, Settings};
use wingfold_settings::TransportSettings;

/// Memory that one host takes, with its statistics and table entries.
const BYTES_PER_HOST: usize = 3 << 10;
/// Least value of [`Bounds::max_hosts`].
const MIN_HOSTS: usize = 1024;
/// Least memory that bounds are derived from, in MiB, even if the limit is lower.
const MIN_MEMORY_MB: usize = 8;
/// Value of [`Bounds::collectors_per_zone`].
const COLLECTORS_PER_ZONE: usize = 4;
/// File descriptors that are always open: the log, the listener, the socket for datagrams, those of the
/// runtime, two calls to discovery, and the overdue and abandoned calls that these replace.
const ALWAYS_OPEN_DESCRIPTORS: usize = 24;
/// Least number of connections.
const MIN_CONNECTIONS: usize = 16;
/// Longest time between two calls to discovery if the settings give none.
const DEFAULT_MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Time from accepting a connection until it has named its client.
const IDENTIFICATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Report periods without a message after which a client is taken to have ended.
const IDLE_TIMEOUT_PERIODS: u32 = 300;
/// Least time without a message after which a client is taken to have ended.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Bytes that the protocol allows a client to leave unread.
const MAX_UNREAD_BYTES: usize = 128 << 10;
/// Length of the report queue, in seconds of reports at the highest rate of the settings.
const REPORT_QUEUE_S: f64 = 10.0;
/// Least number of reports that may be queued.
const MIN_QUEUED_REPORTS: f64 = 1e3;
/// Largest number of reports that may be queued.
const MAX_QUEUED_REPORTS: f64 = 1e5;
/// Largest value of [`Bounds::list_response_time`].
const MAX_LIST_RESPONSE_TIME: Duration = Duration::from_secs(2);
/// Largest value of [`Bounds::max_list_stall_time`].
const MAX_LIST_STALL_TIME: Duration = Duration::from_secs(1);
/// Value of [`Bounds::max_list_response_time`]: the time after which the protocol counts everything that
/// discovery has to tell as notified, whether it arrived or not.
const MAX_LIST_ARRIVAL_TIME: Duration = Duration::from_secs(6);
/// Time for connecting to a host if the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Bounds of the transport.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Connections at the listener: the limit of descriptors less those for health checks and those that are
    /// always open. Connections whose client is not identified yet have no limit of their own: each sound
    /// client is one of them until its first message has arrived, and a lower limit would close it for the
    /// sake of a younger one while descriptors are left.
    pub max_connections: usize,
    /// Proxies and collectors that may be connected at once, by the settings.
    pub max_clients: usize,
    /// Time from accepting a connection until its first message names its client. The protocol allows a
    /// connection to be closed whose client has not joined within a second.
    pub identification_timeout: Duration,
    /// Connections that one zone's collector may have at once: one, and broken ones whose end is noticed only
    /// after the collector has connected again. More are closed first when descriptors run out.
    pub collectors_per_zone: usize,
    /// Time without a message after which the connection of an identified client is closed as dead. A proxy
    /// reports its usage each period, but only if there was some, and a proxy whose connection is closed for
    /// being idle must connect and be assigned again; so this is hundreds of periods. Until then a dead
    /// connection costs only a descriptor, which is reserved for its client anyway.
    pub idle_timeout: Duration,
    /// Bytes that may be queued for one client: as many as the protocol allows a client to leave unread.
    pub max_unread_bytes: usize,
    /// Load reports and usage reports that may be queued for the decision module: as many as may arrive in
    /// ten seconds by the settings.
    pub max_queued_reports: usize,
    /// How long a watch call waits at discovery: half of the longest time between two calls, so that a call
    /// which gets no response is detected within that time.
    pub watch_wait: Duration,
    /// Time for discovery's response, beyond the time that the call itself waits at discovery. A response
    /// that has begun by then and goes on arriving may take longer.
    pub list_response_time: Duration,
    /// Longest time without any data after which a response that has begun, and has had
    /// `list_response_time`, is taken to have stopped.
    pub max_list_stall_time: Duration,
    /// Time for a response that goes on arriving; the call is then repeated although it has not ended.
    pub max_list_response_time: Duration,
    /// Size of one endpoint list: a sixteenth of the memory, because five calls may hold one at once (the
    /// watch, a call for the complete list and three late calls).
    pub max_list_bytes: usize,
    /// Hosts whose addresses and statistics are kept: as many as an eighth of the memory holds, and at least
    /// 1,024.
    pub max_hosts: usize,
    /// Time for connecting to a host for a health check: the connect timeout of proxies. Connections to
    /// discovery have `max_list_response_time` instead: over a slow network path the director must still get
    /// endpoint lists.
    pub health_check_connect_timeout: Duration,
    /// Time for a health check: the tightest latency objective of all classes. A load report that takes
    /// longer is stale: requests of that class would have been given up meanwhile.
    pub health_check_timeout: Duration,
    /// Health checks that may run at once: an eighth of the descriptors.
    pub max_health_checks: usize,
    /// The memory limit of the process, in bytes.
    pub memory_bytes: usize,
}

/// Limits of the process, as the configuration file gives them.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub(super) struct ProcessLimits {
    /// Limit of memory, in MiB.
    memory_mb: usize,
    /// Limit of file descriptors.
    sockets: usize,
}

impl Default for ProcessLimits {
    /// The lowest limits that deployments set.
    fn default() -> Self {
        ProcessLimits { memory_mb: 192, sockets: 1024 }
    }
}

impl ProcessLimits {
    fn sixteenth_of_memory_bytes(&self) -> usize {
        self.memory_mb.max(MIN_MEMORY_MB) << 16
    }
}

impl Bounds {
    pub(super) fn derive(
        settings: &Settings,
        transport: &TransportSettings,
        limits: &ProcessLimits,
    ) -> Bounds {
        let clients = settings.proxies as usize + COLLECTORS_PER_ZONE * settings.zones.len();
        let max_health_checks = (limits.sockets / 8).max(1);
        // If there are too few descriptors for all proxies, the director serves those that connect first.
        let connections =
            limits.sockets.saturating_sub(max_health_checks + ALWAYS_OPEN_DESCRIPTORS).max(MIN_CONNECTIONS);
        let max_poll_interval = max_poll_interval(settings);
        let list_response_time = MAX_LIST_RESPONSE_TIME.min(max_poll_interval / 4);
        let queued_reports = settings.max_report_lines_per_s * REPORT_QUEUE_S;
        Bounds {
            max_connections: connections,
            max_clients: clients,
            identification_timeout: IDENTIFICATION_TIMEOUT,
            collectors_per_zone: COLLECTORS_PER_ZONE,
            idle_timeout: (duration(settings.report_period) * IDLE_TIMEOUT_PERIODS).max(MIN_IDLE_TIMEOUT),
            max_unread_bytes: MAX_UNREAD_BYTES,
            max_queued_reports: queued_reports.clamp(MIN_QUEUED_REPORTS, MAX_QUEUED_REPORTS) as usize,
            watch_wait: max_poll_interval / 2,
            list_response_time,
            max_list_stall_time: MAX_LIST_STALL_TIME.min(list_response_time),
            max_list_response_time: MAX_LIST_ARRIVAL_TIME,
            max_list_bytes: limits.sixteenth_of_memory_bytes(),
            max_hosts: ((limits.memory_mb << 17) / BYTES_PER_HOST).max(MIN_HOSTS),
            health_check_connect_timeout: transport.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            health_check_timeout: tightest_latency_objective(settings).unwrap_or(max_poll_interval),
            max_health_checks,
            memory_bytes: limits.memory_mb << 20,
        }
    }

    /// The bounds that remain once the given memory and descriptors are reserved for the capture and the
    /// sinks. Fails if they take more than half of the memory.
    pub fn after_reserving(&self, bytes: usize, descriptors: usize) -> Result<Bounds, ConfigError> {
        if bytes > self.memory_bytes / 2 {
            let needed_mb = bytes >> 20;
            let memory_mb = self.memory_bytes >> 20;
            return Err(key_error(
                "capture",
                &format!(
                    "the capture and the sinks need {needed_mb} of {memory_mb} MB of memory; \
                     at most half is allowed"
                ),
            ));
        }
        let remaining_ratio = 1.0 - bytes as f64 / self.memory_bytes.max(1) as f64;
        Ok(Bounds {
            max_connections: self.max_connections.saturating_sub(descriptors).max(MIN_CONNECTIONS),
            max_list_bytes: (self.max_list_bytes as f64 * remaining_ratio) as usize,
            ..self.clone()
        })
    }
}

fn duration(time: Micros) -> Duration {
    Duration::from_micros(time.0)
}

/// The longest time between two calls to discovery.
fn max_poll_interval(settings: &Settings) -> Duration {
    if settings.poll_within.0 == 0 {
        DEFAULT_MAX_POLL_INTERVAL
    } else {
        duration(settings.poll_within)
    }
}

fn tightest_latency_objective(settings: &Settings) -> Option<Duration> {
    settings.classes.iter().map(|class| class.latency_objective).min().map(duration)
}
