//! The settings of a director: what it knows of its deployment when it starts.
use super::{Micros, ZoneId};
use serde::{Deserialize, Serialize};

/// What happens if a request of a class runs more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatSafety {
    /// Running it again does no harm.
    #[default]
    Idempotent,
    /// Hosts of one group recognize and drop a repetition, for a limited time.
    Deduplicated,
    /// It must never run twice.
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time has the full value.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// How long the client waits for an answer in all.
    pub deadline: Micros,
    /// The value of a request, relative to those of the other classes.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// What happens if a request runs more than once.
    #[serde(rename = "effect")]
    pub repeat_safety: RepeatSafety,
    /// Whether requests may go only to hosts in the zone of the proxy.
    #[serde(rename = "own_zone")]
    pub own_zone_only: bool,
    /// The zones whose hosts may serve the class; empty: all zones.
    #[serde(rename = "zones")]
    pub allowed_zones: Vec<ZoneId>,
    /// The machine types that may serve the class; empty: all machine types.
    #[serde(rename = "kinds")]
    pub allowed_machine_types: Vec<String>,
}

/// How proxies interpret the admission level of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionMode {
    /// The share of the requests that is admitted, as a ratio.
    #[default]
    Share,
    /// Admitted requests per second, at each proxy.
    Rate,
    /// Proxies ignore admission levels; they follow retry policies.
    Ignored,
}

/// Where hosts report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadReportSource {
    /// With the attempt counts of the proxies, and with health checks.
    #[default]
    #[serde(rename = "WithAnswers")]
    WithAttemptCounts,
    /// With health checks only.
    #[serde(rename = "WithProbes")]
    WithHealthChecks,
    /// Nowhere.
    Never,
}

/// What a director knows of its deployment when it starts.
///
/// Checkpoints and the digest of the settings hold the stored names of the fields, in this order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// The number of this director, from 0.
    #[serde(rename = "me")]
    pub director_index: u32,
    /// How many directors there are.
    pub directors: u32,
    /// All zones.
    pub zones: Vec<ZoneId>,
    /// Whether a proxy prefers a director of its own zone; otherwise it picks one at random.
    pub local_first: bool,
    /// The request classes; their positions are their [`ClassId`](super::ClassId)s.
    pub classes: Vec<Class>,
    /// Whether the endpoint list must be polled.
    #[serde(rename = "list_on_request")]
    pub endpoint_list_on_request: bool,
    /// How proxies interpret admission levels.
    #[serde(rename = "admission")]
    pub admission_mode: AdmissionMode,
    /// How many proxies there are in all zones.
    pub proxies: u32,
    /// Shards of the key space; 0: none. Other values are not supported.
    #[serde(rename = "slices")]
    pub shards: u32,
    /// Lines per second that the send queue sends.
    #[serde(rename = "lines_per_s")]
    pub send_rate_lines_per_s: f64,
    /// What a message costs on top of its lines, in lines.
    #[serde(rename = "message_overhead")]
    pub message_overhead_lines: f64,
    /// The most lines that the send queue may hold.
    #[serde(rename = "queue_max")]
    pub max_queued_lines: f64,
    /// The most messages to one proxy within `message_window`; 0: no limit.
    #[serde(rename = "messages_max")]
    pub max_messages_per_proxy: u32,
    /// The window of that limit.
    #[serde(rename = "messages_over")]
    pub message_window: Micros,
    /// Mean time from the send queue to the proxy.
    #[serde(rename = "push_delay")]
    pub mean_push_delay: Micros,
    /// The longest time from the send queue to the proxy.
    #[serde(rename = "push_delay_max")]
    pub max_push_delay: Micros,
    /// The longest time that a proxy may lack an entry.
    #[serde(rename = "bare")]
    pub max_time_without_entry: Micros,
    /// The interval of load reports.
    pub report_period: Micros,
    /// The most lines of load reports that are delivered in a second.
    #[serde(rename = "reports_per_s")]
    pub max_report_lines_per_s: f64,
    /// Consecutive failures after which a proxy avoids a host; 0: never.
    #[serde(rename = "ejects")]
    pub proxy_ejection_threshold: u32,
    /// Whether the director may order health checks.
    #[serde(rename = "probing")]
    pub health_checks_allowed: bool,
    /// Where hosts report their load.
    #[serde(rename = "load_reports")]
    pub load_report_source: LoadReportSource,
    /// The price of a request that crosses zones, as a ratio of its value.
    pub cross_zone_price: f64,
    /// The least share of its capacity that a host has when it starts, as a ratio.
    #[serde(rename = "start_capacity")]
    pub initial_capacity_ratio: f64,
    /// The longest time until a started host has its full capacity.
    #[serde(rename = "cold")]
    pub warm_up: Micros,
    /// The time within which requests to a draining host must stop.
    pub drain_grace: Micros,
    /// The multiple of its capacity at which a host that is warming up fails.
    pub overload_factor: f64,
    /// How long it must get that load until it fails.
    #[serde(rename = "overload_for")]
    pub overload_duration: Micros,
    /// After this time without a poll a director is taken to have been notified of the endpoint list.
    #[serde(rename = "ask_within")]
    pub poll_within: Micros,
    /// Whether a host may stay in tables after its removal from the list; only draining hosts must leave.
    #[serde(rename = "gone_is_advice")]
    pub removal_is_advisory: bool,
    /// After this time without a request a proxy closes a connection.
    #[serde(rename = "conn_idle")]
    pub connection_idle_timeout: Micros,
}

impl Settings {
    /// A hash of all settings: equal for equal settings, and practically never equal for different ones.
    pub fn digest(&self) -> u64 {
        let bytes = rmp_serde::to_vec(self).expect("settings are plain records, written to memory");
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}
