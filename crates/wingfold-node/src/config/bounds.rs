//! Bounds of the transport, each derived from the settings or the limits where they speak of it.

use super::{key_error, ConfigError};
use serde::Deserialize;
use std::time::Duration;
use wingfold_director::interface::{Micros, Settings};
use wingfold_settings::TransportSettings;

/// Bytes that one host takes, with its statistics and table entries.
const BYTES_PER_HOST: usize = 3 << 10;
/// Hosts that are kept in any case.
const MIN_HOSTS: usize = 1024;
/// Memory that the bounds assume at least, in MiB.
const MIN_MEMORY_MB: usize = 8;
/// Connections of one zone's collector.
const COLLECTORS_PER_ZONE: usize = 4;
/// Descriptors that are always open: the log, the listener, datagrams, the runtime's own, two calls to discovery and those
/// they replace.
const ALWAYS_OPEN_DESCRIPTORS: usize = 24;
/// Connections in any case.
const MIN_CONNECTIONS: usize = 16;
/// Time in which discovery must be asked again where the settings name none.
const DEFAULT_POLL_DEADLINE: Duration = Duration::from_secs(10);
/// Time from accepting a connection until it has named its client.
const IDENTIFICATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Report periods without a message after which a client has ended.
const IDLE_TIMEOUT_PERIODS: u32 = 300;
/// Least time without a message after which a client has ended.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Bytes that the protocol lets a client leave unread.
const MAX_UNREAD_BYTES: usize = 128 << 10;
/// Seconds of reports that may wait for the decision module.
const REPORT_QUEUE_S: f64 = 10.0;
/// Least number of reports that may wait.
const MIN_QUEUED_REPORTS: f64 = 1e3;
/// Largest number of reports that may wait.
const MAX_QUEUED_REPORTS: f64 = 1e5;
/// Time for discovery's response beyond what the call itself waits, at most.
const MAX_LIST_RESPONSE_TIME: Duration = Duration::from_secs(2);
/// Time for a connection to a host where the settings name none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Bounds of the transport.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Connections at the listener: the descriptors less those for health checks and for what is always open.
    pub max_connections: usize,
    /// Proxies and collectors that may be here at once, by the settings.
    pub max_clients: usize,
    /// Connections that have not named their client: what the clients leave of the above, no more than a quarter of it, and
    /// a few in any case: a proxy is an unidentified connection until its first message is read.
    pub max_unidentified: usize,
    /// Time from accepting a connection until it has named its client: the protocol lets one be closed that has not joined
    /// within a second.
    pub identification_timeout: Duration,
    /// Connections of one zone's collector: it has one, and a broken one may not be seen to end at once.
    pub max_collectors_per_zone: usize,
    /// A named connection on which nothing came for so long has ended silently. A proxy sends its usage each period, but only
    /// where there was some, and one that is cut off for being idle must connect and be assigned again: this is hundreds
    /// of periods. Meanwhile a silent one costs a descriptor that is reserved for it.
    pub idle_timeout: Duration,
    /// Bytes that may wait for one reader: as much as the protocol lets a client leave unread.
    pub max_unread_bytes: usize,
    /// Bytes of messages that are not short, on all connections together: a quarter of the memory.
    pub max_long_message_bytes: usize,
    /// Load reports and usage that may wait for the decision module: what the settings let arrive in ten seconds.
    pub max_queued_reports: usize,
    /// How long a call of the watch waits at discovery: half of the time in which it must be asked again, so that a call
    /// which falls silent is found out inside that time.
    pub watch_wait: Duration,
    /// Time for discovery's response beyond what the call itself waits.
    pub list_response_time: Duration,
    /// Bytes of one endpoint list: an eighth of the memory.
    pub max_list_bytes: usize,
    /// Hosts whose addresses and statistics are kept: what an eighth of the memory holds, and 1,024 in any case.
    pub max_hosts: usize,
    /// Time for a connection to a host for a health check: as long as proxies wait for one. One to discovery may take as
    /// long as its response: a slow way there must not make the director blind.
    pub health_check_connect_timeout: Duration,
    /// Time for a health check: a load report is stale once requests of the tightest class would have been given up on.
    pub health_check_timeout: Duration,
    /// Health checks under way at once: an eighth of the descriptors.
    pub max_health_checks: usize,
    /// The whole memory, in bytes.
    pub memory_bytes: usize,
}

/// ProcessLimits of the process, as the file gives them.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub(super) struct ProcessLimits {
    /// Memory in MiB.
    memory_mb: usize,
    /// Descriptors.
    sockets: usize,
}

impl Default for ProcessLimits {
    /// The least that deployments give.
    fn default() -> Self {
        ProcessLimits { memory_mb: 192, sockets: 1024 }
    }
}

impl ProcessLimits {
    fn quarter_of_memory_bytes(&self) -> usize {
        self.memory_mb.max(MIN_MEMORY_MB) << 18
    }

    fn eighth_of_memory_bytes(&self) -> usize {
        self.memory_mb.max(MIN_MEMORY_MB) << 17
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
        // With too few for all proxies it serves those that come first.
        let connections =
            limits.sockets.saturating_sub(max_health_checks + ALWAYS_OPEN_DESCRIPTORS).max(MIN_CONNECTIONS);
        let poll_deadline = poll_deadline(settings);
        let queued_reports = settings.max_report_lines_per_s * REPORT_QUEUE_S;
        Bounds {
            max_connections: connections,
            max_clients: clients,
            max_unidentified: connections.saturating_sub(clients).min(connections / 4).max(MIN_CONNECTIONS),
            identification_timeout: IDENTIFICATION_TIMEOUT,
            max_collectors_per_zone: COLLECTORS_PER_ZONE,
            idle_timeout: (duration(settings.report_period) * IDLE_TIMEOUT_PERIODS).max(MIN_IDLE_TIMEOUT),
            max_unread_bytes: MAX_UNREAD_BYTES,
            max_long_message_bytes: limits.quarter_of_memory_bytes(),
            max_queued_reports: queued_reports.clamp(MIN_QUEUED_REPORTS, MAX_QUEUED_REPORTS) as usize,
            watch_wait: poll_deadline / 2,
            list_response_time: MAX_LIST_RESPONSE_TIME.min(poll_deadline / 4),
            max_list_bytes: limits.eighth_of_memory_bytes(),
            max_hosts: ((limits.memory_mb << 17) / BYTES_PER_HOST).max(MIN_HOSTS),
            health_check_connect_timeout: transport.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            health_check_timeout: tightest_latency_objective(settings).unwrap_or(poll_deadline),
            max_health_checks,
            memory_bytes: limits.memory_mb << 20,
        }
    }

    /// The same bounds where something else takes so many bytes and descriptors of the limits.
    pub fn after_reserving(&self, bytes: usize, descriptors: usize) -> Result<Bounds, ConfigError> {
        if bytes > self.memory_bytes / 2 {
            let needed_mb = bytes >> 20;
            let memory_mb = self.memory_bytes >> 20;
            return Err(key_error(
                "capture",
                &format!("its memory and queue take {needed_mb} MB of {memory_mb}; half at most may go"),
            ));
        }
        let ratio_left = 1.0 - bytes as f64 / self.memory_bytes.max(1) as f64;
        let min_connections = self.max_unidentified.min(self.max_connections);
        Ok(Bounds {
            max_connections: self.max_connections.saturating_sub(descriptors).max(min_connections),
            max_long_message_bytes: (self.max_long_message_bytes as f64 * ratio_left) as usize,
            max_list_bytes: (self.max_list_bytes as f64 * ratio_left) as usize,
            ..self.clone()
        })
    }
}

fn duration(time: Micros) -> Duration {
    Duration::from_micros(time.0)
}

/// The time in which discovery must be asked again.
fn poll_deadline(settings: &Settings) -> Duration {
    if settings.poll_within.0 == 0 {
        DEFAULT_POLL_DEADLINE
    } else {
        duration(settings.poll_within)
    }
}

fn tightest_latency_objective(settings: &Settings) -> Option<Duration> {
    settings.classes.iter().map(|class| class.latency_objective).min().map(duration)
}
