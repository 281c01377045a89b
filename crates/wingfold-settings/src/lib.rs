//! The settings object that a director is started with, and its translation for the decision module. The
//! simulator sends it in its first message, a director on sockets finds it in its configuration; both read it
//! here. Unknown keys are ignored.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod hcl;
pub mod own;

use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use wingfold_director::interface as api;

/// What is wrong with a settings object: the path of the key, and what was expected there.
#[derive(Debug, thiserror::Error)]
#[error("key `{path}`: {problem}")]
pub struct SettingsError {
    /// The key's path from the top of the text that was read.
    pub path: String,
    /// What was found or expected.
    pub problem: String,
}

/// Reads JSON text into any object of keys; an error names the path of the key it stumbled over.
pub fn read<'de, T: Deserialize<'de>>(text: &'de str) -> Result<T, SettingsError> {
    let json = &mut serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut *json)
        .map_err(|e| SettingsError { path: e.path().to_string(), problem: e.inner().to_string() })?;
    let end = json.end().map_err(|e| SettingsError { path: ".".into(), problem: e.to_string() });
    end.map(|()| value)
}

/// The object as it stands on the wire.
#[derive(Debug, Deserialize)]
pub struct Info {
    #[serde(default)]
    me: u32,
    replicas_of_me: u32,
    dcs: Vec<String>,
    classes: Vec<Class>,
    discovery: Discovery,
    family_info: Family,
    policy_limits: Limits,
    report: Report,
    rules: Rules,
    #[serde(default)]
    charges: Charges,
}

#[derive(Debug, Deserialize)]
struct Class {
    name: String,
    goal_time: u64,
    deadline: u64,
    repeat: Repeat,
    gain: f64,
    #[serde(default, alias = "only_dcs", alias = "only_zones")]
    zones: Vec<String>,
    #[serde(default, alias = "only_flavors", alias = "only_kinds")]
    flavors: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Repeat {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Pushed,
    OnRequest,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Admit {
    Share,
    Rate,
    Silent,
}

#[derive(Debug, Deserialize)]
struct Family {
    admit: Admit,
    bare: u64,
    #[serde(default)]
    counted_over: u64,
    egress_per_s: f64,
    #[serde(default)]
    ejects: u32,
    #[serde(default)]
    home_only: Vec<bool>,
    #[serde(default)]
    local_first: bool,
    overhead: f64,
    pending_max: f64,
    period: u64,
    proxy_count: u32,
    push_delay: u64,
    reports_per_s: f64,
    #[serde(default)]
    shards: u32,
    transit_max: u64,
    #[serde(default)]
    update_cap: u32,
}

#[derive(Debug, Deserialize)]
struct Limits {
    #[serde(default)]
    conn_idle: u64,
    #[serde(default)]
    connect_timeout: Option<u64>,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    probing: bool,
}

#[derive(Debug, Deserialize)]
struct Report {
    #[serde(default)]
    fields: Vec<String>,
    how: ReportHow,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportHow {
    Piggyback,
    Pull,
    Silent,
}

#[derive(Debug, Deserialize)]
struct Rules {
    #[serde(default)]
    ask_within: u64,
    cold: u64,
    drain_grace: u64,
    #[serde(default)]
    gone_is_advice: bool,
    overload_factor: f64,
    overload_for: u64,
    start_capacity: f64,
}

#[derive(Debug, Default, Deserialize)]
struct Charges {
    #[serde(default)]
    cross_zone: f64,
}

/// What the codec itself needs to read an instance's later messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Class names by position.
    pub classes: Vec<String>,
    /// Names of the values in a load report, in order.
    pub fields: Vec<String>,
}

/// Puts one value of a host's load report where the decision module looks for it. Deployments name the values by
/// the words of their settings' `report.fields`, or by the plain ones of the protocol page; others are ignored.
/// Tells whether it is one of those.
pub fn put_load(load: &mut api::HostLoad, name: &str, value: Option<f64>) -> bool {
    let place = match name {
        "busy_reqs" | "inflight" => &mut load.in_flight,
        "pending" | "queue" => &mut load.queued,
        "cpu_share" | "util" => &mut load.utilization,
        "svc_ms" | "latency_ms" => &mut load.service_ms,
        _ => return false,
    };
    *place = value;
    true
}

/// The way of trying again as both protocols number it.
pub fn retry_number(retry: api::Retry) -> u8 {
    match retry {
        api::Retry::Never => 0,
        api::Retry::OnProof => 1,
        api::Retry::Once => 2,
        api::Retry::Twice => 3,
    }
}

/// What a host of the director must know to move messages, and the director itself need not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Transport {
    /// How long a proxy waits for a connection; absent: not told.
    pub connect_timeout: Option<Duration>,
    /// Directors may send each other datagrams.
    pub peers: bool,
}

impl Info {
    /// What the transport needs.
    pub fn transport(&self) -> Transport {
        let connect_timeout = self.policy_limits.connect_timeout.map(Duration::from_micros);
        Transport { connect_timeout, peers: self.policy_limits.peers }
    }

    /// Names that later messages refer to.
    pub fn names(&self) -> Names {
        Names {
            classes: self.classes.iter().map(|c| c.name.clone()).collect(),
            fields: self.report.fields.clone(),
        }
    }

    /// The same settings in the decision module's own terms.
    pub fn settings(&self) -> api::Settings {
        let zone = |name: &String| api::ZoneId(Arc::from(name.as_str()));
        let family = &self.family_info;
        let own_zone = |at: usize| family.home_only.get(at).copied().unwrap_or(false);
        let classes = self.classes.iter().enumerate().map(|(at, class)| api::Class {
            latency_objective: api::Micros(class.goal_time),
            deadline: api::Micros(class.deadline),
            priority_weight: class.gain,
            repeat_safety: match class.repeat {
                Repeat::Idempotent => api::RepeatSafety::Idempotent,
                Repeat::Deduplicated => api::RepeatSafety::Deduplicated,
                Repeat::AtMostOnce => api::RepeatSafety::AtMostOnce,
            },
            own_zone_only: own_zone(at),
            allowed_zones: class.zones.iter().map(zone).collect(),
            allowed_machine_types: class.flavors.clone(),
        });
        api::Settings {
            director_index: self.me,
            directors: self.replicas_of_me,
            zones: self.dcs.iter().map(zone).collect(),
            local_first: family.local_first,
            classes: classes.collect(),
            endpoint_list_on_request: self.discovery == Discovery::OnRequest,
            admission_mode: match family.admit {
                Admit::Share => api::AdmissionMode::Share,
                Admit::Rate => api::AdmissionMode::Rate,
                Admit::Silent => api::AdmissionMode::Ignored,
            },
            proxies: family.proxy_count,
            shards: family.shards,
            send_rate_lines_per_s: family.egress_per_s,
            message_overhead_lines: family.overhead,
            max_queued_lines: family.pending_max,
            max_messages_per_proxy: family.update_cap,
            message_window: api::Micros(family.counted_over),
            mean_push_delay: api::Micros(family.push_delay),
            max_push_delay: api::Micros(family.transit_max),
            max_time_without_entry: api::Micros(family.bare),
            report_period: api::Micros(family.period),
            max_report_lines_per_s: family.reports_per_s,
            proxy_ejection_threshold: family.ejects,
            health_checks_allowed: self.policy_limits.probing,
            load_report_source: match self.report.how {
                ReportHow::Piggyback => api::LoadReportSource::WithAttemptCounts,
                ReportHow::Pull => api::LoadReportSource::WithHealthChecks,
                ReportHow::Silent => api::LoadReportSource::Never,
            },
            cross_zone_price: self.charges.cross_zone,
            initial_capacity_ratio: self.rules.start_capacity,
            warm_up: api::Micros(self.rules.cold),
            drain_grace: api::Micros(self.rules.drain_grace),
            overload_factor: self.rules.overload_factor,
            overload_duration: api::Micros(self.rules.overload_for),
            poll_within: api::Micros(self.rules.ask_within),
            removal_is_advisory: self.rules.gone_is_advice,
            connection_idle_timeout: api::Micros(self.policy_limits.conn_idle),
        }
    }
}

#[cfg(test)]
mod tests;
