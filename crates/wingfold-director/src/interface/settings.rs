//! The settings of a director, which describe its deployment.
use super::{Micros, ZoneId};
use serde::{Deserialize, Serialize};

/// Whether requests of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatSafety {
    /// Requests may run any number of times.
    #[default]
    Idempotent,
    /// Requests may be repeated for a limited time: hosts of the same group recognize repetitions and drop
    /// them.
    Deduplicated,
    /// No request may run twice.
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The time within which an answer has its full value.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// How long the client waits for an answer, including all retries.
    pub deadline: Micros,
    /// The value of a request, relative to those of the other classes.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether requests may run more than once.
    #[serde(rename = "effect")]
    pub repeat_safety: RepeatSafety,
    /// Whether requests may go only to hosts in the zone of their proxy.
    #[serde(rename = "own_zone")]
    pub own_zone_only: bool,
    /// The zones whose hosts may serve the class; all zones if empty.
    #[serde(rename = "zones")]
    pub allowed_zones: Vec<ZoneId>,
    /// The machine types that may serve the class; all machine types if empty.
    #[serde(rename = "kinds")]
    pub allowed_machine_types: Vec<String>,
}

/// How proxies interpret the admission level of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionMode {
    /// A level is the admitted share of the requests, as a ratio.
    #[default]
    Share,
    /// A level is the number of requests per second that each proxy admits.
    Rate,
    /// Proxies ignore admission levels, but follow retry policies.
    Ignored,
}

/// How hosts report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadReportSource {
    /// Through proxies, along with their attempt counts, and with health checks.
    #[default]
    #[serde(rename = "WithAnswers")]
    WithAttemptCounts,
    /// With health checks only.
    #[serde(rename = "WithProbes")]
    WithHealthChecks,
    /// Hosts do not report their load.
    Never,
}

/// The deployment of a director: its fleet, its limits and the rules that the director follows.
///
/// Checkpoints contain the stored names of the fields. The digest of the settings depends on the order of the
/// fields and on the stored names of enumeration values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// The number of this director, counted from 0.
    #[serde(rename = "me")]
    pub director_index: u32,
    /// The number of directors.
    pub directors: u32,
    /// All zones.
    pub zones: Vec<ZoneId>,
    /// Whether proxies prefer a director of their own zone; otherwise they pick a director at random.
    pub local_first: bool,
    /// The request classes; their positions are their [`ClassId`](super::ClassId)s.
    pub classes: Vec<Class>,
    /// Whether changes of the endpoint list must be requested; otherwise discovery pushes them.
    #[serde(rename = "list_on_request")]
    pub endpoint_list_on_request: bool,
    /// How proxies interpret admission levels.
    #[serde(rename = "admission")]
    pub admission_mode: AdmissionMode,
    /// The number of proxies in all zones.
    pub proxies: u32,
    /// The number of shards of the key space. Only 0 is supported: no shards.
    #[serde(rename = "slices")]
    pub shards: u32,
    /// Lines per second that leave the send queue.
    #[serde(rename = "lines_per_s")]
    pub send_rate_lines_per_s: f64,
    /// Overhead of a message, in lines, on top of the lines that the message contains.
    #[serde(rename = "message_overhead")]
    pub message_overhead_lines: f64,
    /// Maximum number of lines in the send queue.
    #[serde(rename = "queue_max")]
    pub max_queued_lines: f64,
    /// Maximum number of messages to one proxy within `message_window`; 0: no limit.
    #[serde(rename = "messages_max")]
    pub max_messages_per_proxy: u32,
    /// The time window to which `max_messages_per_proxy` applies.
    #[serde(rename = "messages_over")]
    pub message_window: Micros,
    /// Mean time from the send queue to the proxy.
    #[serde(rename = "push_delay")]
    pub mean_push_delay: Micros,
    /// The longest time from the send queue to the proxy.
    #[serde(rename = "push_delay_max")]
    pub max_push_delay: Micros,
    /// The longest time that a proxy may be without a table entry.
    #[serde(rename = "bare")]
    pub max_time_without_entry: Micros,
    /// The interval of load reports.
    pub report_period: Micros,
    /// Maximum number of load report lines that are delivered per second.
    #[serde(rename = "reports_per_s")]
    pub max_report_lines_per_s: f64,
    /// Number of consecutive failures after which a proxy avoids a host by itself; 0: proxies never do.
    #[serde(rename = "ejects")]
    pub proxy_ejection_threshold: u32,
    /// Whether the director may request health checks.
    #[serde(rename = "probing")]
    pub health_checks_allowed: bool,
    /// How hosts report their load.
    #[serde(rename = "load_reports")]
    pub load_report_source: LoadReportSource,
    /// Cost of a request to a host of another zone, as a ratio of the value of the request.
    pub cross_zone_price: f64,
    /// Lower bound of a host's capacity right after its start, as a ratio of its full capacity.
    #[serde(rename = "start_capacity")]
    pub initial_capacity_ratio: f64,
    /// The longest time from a host's start until the host has its full capacity.
    #[serde(rename = "cold")]
    pub warm_up: Micros,
    /// The time within which proxies must stop sending requests to a draining host.
    pub drain_grace: Micros,
    /// Load at which a host that is warming up fails, as a multiple of its present capacity.
    pub overload_factor: f64,
    /// How long a host that is warming up withstands the load of `overload_factor` before it fails.
    #[serde(rename = "overload_for")]
    pub overload_duration: Micros,
    /// The time within which a director must poll the endpoint list: after this time without a poll, the
    /// director counts as notified of the list.
    #[serde(rename = "ask_within")]
    pub poll_within: Micros,
    /// Whether hosts may stay in tables after their removal from the endpoint list. Draining hosts must leave
    /// tables in any case.
    #[serde(rename = "gone_is_advice")]
    pub removal_is_advisory: bool,
    /// The time without a request after which a proxy closes a connection.
    #[serde(rename = "conn_idle")]
    pub connection_idle_timeout: Micros,
}

impl Settings {
    /// A hash of all settings. Different settings have different digests, except for hash collisions.
    pub fn digest(&self) -> u64 {
        let bytes = rmp_serde::to_vec(self).expect("encoding plain settings to memory does not fail");
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}
