//! The platform's settings object as JSON. Serde attributes map the platform's keys and values to the names
//! used here; unknown keys are ignored. Times are in microseconds. The `expecting` attributes make error
//! messages use the platform's names of the types.

use serde::Deserialize;

/// The settings object of the platform.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Info")]
pub struct PlatformSettings {
    #[serde(rename = "me", default)]
    pub(super) director_index: u32,
    #[serde(rename = "replicas_of_me")]
    pub(super) directors: u32,
    #[serde(rename = "dcs")]
    pub(super) zones: Vec<String>,
    pub(super) classes: Vec<ClassObject>,
    pub(super) discovery: DiscoveryMode,
    #[serde(rename = "family_info")]
    pub(super) fleet: FleetObject,
    #[serde(rename = "policy_limits")]
    pub(super) limits: LimitsObject,
    #[serde(rename = "report")]
    pub(super) load_report: LoadReportObject,
    pub(super) rules: RulesObject,
    #[serde(default)]
    pub(super) charges: ChargesObject,
}

/// A class of requests.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Class")]
pub(super) struct ClassObject {
    pub(super) name: String,
    #[serde(rename = "goal_time")]
    pub(super) latency_objective_us: u64,
    #[serde(rename = "deadline")]
    pub(super) deadline_us: u64,
    #[serde(rename = "repeat")]
    pub(super) repeat_safety: RepeatSafety,
    #[serde(rename = "gain")]
    pub(super) priority_weight: f64,
    #[serde(rename = "zones", default, alias = "only_dcs", alias = "only_zones")]
    pub(super) allowed_zones: Vec<String>,
    #[serde(rename = "flavors", default, alias = "only_flavors", alias = "only_kinds")]
    pub(super) allowed_machine_types: Vec<String>,
}

/// Whether requests of a class may be repeated.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Repeat")]
pub(super) enum RepeatSafety {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

/// How the endpoint list arrives.
#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", expecting = "enum Discovery")]
pub(super) enum DiscoveryMode {
    Pushed,
    OnRequest,
}

/// How proxies read admission levels.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Admit")]
pub(super) enum AdmissionMode {
    Share,
    Rate,
    #[serde(rename = "silent")]
    Ignored,
}

/// The fleet of proxies, and the channel from the director to them.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Family")]
pub(super) struct FleetObject {
    #[serde(rename = "admit")]
    pub(super) admission_mode: AdmissionMode,
    #[serde(rename = "bare")]
    pub(super) max_time_without_entry_us: u64,
    #[serde(rename = "counted_over", default)]
    pub(super) message_window_us: u64,
    #[serde(rename = "egress_per_s")]
    pub(super) send_rate_lines_per_s: f64,
    #[serde(rename = "ejects", default)]
    pub(super) proxy_ejection_threshold: u32,
    /// Whether each class is restricted to the proxy's own zone; `false` for classes beyond the end of the
    /// list.
    #[serde(rename = "home_only", default)]
    pub(super) own_zone_only: Vec<bool>,
    #[serde(default)]
    pub(super) local_first: bool,
    #[serde(rename = "overhead")]
    pub(super) message_overhead_lines: f64,
    #[serde(rename = "pending_max")]
    pub(super) max_queued_lines: f64,
    #[serde(rename = "period")]
    pub(super) report_period_us: u64,
    #[serde(rename = "proxy_count")]
    pub(super) proxies: u32,
    #[serde(rename = "push_delay")]
    pub(super) mean_push_delay_us: u64,
    #[serde(rename = "reports_per_s")]
    pub(super) max_report_lines_per_s: f64,
    #[serde(default)]
    pub(super) shards: u32,
    #[serde(rename = "transit_max")]
    pub(super) max_push_delay_us: u64,
    #[serde(rename = "update_cap", default)]
    pub(super) max_messages_per_proxy: u32,
}

/// The platform's policy: connection timeouts, and what a director is allowed to do.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Limits")]
pub(super) struct LimitsObject {
    #[serde(rename = "conn_idle", default)]
    pub(super) connection_idle_timeout_us: u64,
    #[serde(rename = "connect_timeout", default)]
    pub(super) connect_timeout_us: Option<u64>,
    #[serde(rename = "peers", default)]
    pub(super) peers_allowed: bool,
    #[serde(rename = "probing", default)]
    pub(super) health_checks_allowed: bool,
}

/// Load reports of hosts: the values that they hold, and how they arrive.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Report")]
pub(super) struct LoadReportObject {
    #[serde(default)]
    pub(super) fields: Vec<String>,
    #[serde(rename = "how")]
    pub(super) source: LoadReportSource,
}

/// How load reports arrive.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(expecting = "enum ReportHow")]
pub(super) enum LoadReportSource {
    #[serde(rename = "piggyback")]
    WithAttemptCounts,
    #[serde(rename = "pull")]
    WithHealthChecks,
    #[serde(rename = "silent")]
    Never,
}

/// Rules of the platform that the director must follow.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Rules")]
pub(super) struct RulesObject {
    #[serde(rename = "ask_within", default)]
    pub(super) poll_within_us: u64,
    #[serde(rename = "cold")]
    pub(super) warm_up_us: u64,
    #[serde(rename = "drain_grace")]
    pub(super) drain_grace_us: u64,
    #[serde(rename = "gone_is_advice", default)]
    pub(super) removal_is_advisory: bool,
    pub(super) overload_factor: f64,
    #[serde(rename = "overload_for")]
    pub(super) overload_duration_us: u64,
    #[serde(rename = "start_capacity")]
    pub(super) initial_capacity_ratio: f64,
}

/// Prices of traffic between zones.
#[derive(Debug, Default, Deserialize)]
#[serde(expecting = "struct Charges")]
pub(super) struct ChargesObject {
    #[serde(default)]
    pub(super) cross_zone: f64,
}
