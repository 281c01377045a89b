//! The settings object of the platform, and its translation into settings of the decision module.

mod object;

use self::object::{AdmissionMode, ClassObject, DiscoveryMode, LoadReportSource, RepeatSafety};
use std::sync::Arc;
use std::time::Duration;
use wingfold_director::interface as api;

pub use self::object::PlatformSettings;

/// Names from the settings object that are needed to read later messages of the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportNames {
    /// The name of each class; its position is the class's number.
    pub classes: Vec<String>,
    /// The names of the values in a load report, in the order of the values.
    pub load_fields: Vec<String>,
}

/// Settings that only the transport needs, not the decision module.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransportSettings {
    /// How long a proxy waits for a connection to be established; `None` if the platform sets no timeout.
    pub connect_timeout: Option<Duration>,
    /// Whether directors may send datagrams to each other.
    pub peers_allowed: bool,
}

impl PlatformSettings {
    /// Settings of the transport.
    pub fn transport(&self) -> TransportSettings {
        TransportSettings {
            connect_timeout: self.limits.connect_timeout_us.map(Duration::from_micros),
            peers_allowed: self.limits.peers_allowed,
        }
    }

    /// Names that are needed to read later messages.
    pub fn report_names(&self) -> ReportNames {
        ReportNames {
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            load_fields: self.load_report.fields.clone(),
        }
    }

    /// The settings of the decision module.
    pub fn director_settings(&self) -> api::Settings {
        let fleet = &self.fleet;
        let rules = &self.rules;
        api::Settings {
            director_index: self.director_index,
            directors: self.directors,
            zones: self.zones.iter().map(|name| zone_id(name)).collect(),
            local_first: fleet.local_first,
            classes: self.director_classes(),
            endpoint_list_on_request: self.discovery == DiscoveryMode::OnRequest,
            admission_mode: fleet.admission_mode.into(),
            proxies: fleet.proxies,
            shards: fleet.shards,
            send_rate_lines_per_s: fleet.send_rate_lines_per_s,
            message_overhead_lines: fleet.message_overhead_lines,
            max_queued_lines: fleet.max_queued_lines,
            max_messages_per_proxy: fleet.max_messages_per_proxy,
            message_window: api::Micros(fleet.message_window_us),
            mean_push_delay: api::Micros(fleet.mean_push_delay_us),
            max_push_delay: api::Micros(fleet.max_push_delay_us),
            max_time_without_entry: api::Micros(fleet.max_time_without_entry_us),
            report_period: api::Micros(fleet.report_period_us),
            max_report_lines_per_s: fleet.max_report_lines_per_s,
            proxy_ejection_threshold: fleet.proxy_ejection_threshold,
            health_checks_allowed: self.limits.health_checks_allowed,
            load_report_source: self.load_report.source.into(),
            cross_zone_price: self.charges.cross_zone,
            initial_capacity_ratio: rules.initial_capacity_ratio,
            warm_up: api::Micros(rules.warm_up_us),
            drain_grace: api::Micros(rules.drain_grace_us),
            overload_factor: rules.overload_factor,
            overload_duration: api::Micros(rules.overload_duration_us),
            poll_within: api::Micros(rules.poll_within_us),
            removal_is_advisory: rules.removal_is_advisory,
            connection_idle_timeout: api::Micros(self.limits.connection_idle_timeout_us),
        }
    }

    fn director_classes(&self) -> Vec<api::Class> {
        let own_zone_only = &self.fleet.own_zone_only;
        let classes = self.classes.iter().enumerate();
        classes
            .map(|(index, class)| class.to_director(own_zone_only.get(index).copied().unwrap_or(false)))
            .collect()
    }
}

impl ClassObject {
    fn to_director(&self, own_zone_only: bool) -> api::Class {
        api::Class {
            latency_objective: api::Micros(self.latency_objective_us),
            deadline: api::Micros(self.deadline_us),
            priority_weight: self.priority_weight,
            repeat_safety: self.repeat_safety.into(),
            own_zone_only,
            allowed_zones: self.allowed_zones.iter().map(|name| zone_id(name)).collect(),
            allowed_machine_types: self.allowed_machine_types.clone(),
        }
    }
}

fn zone_id(name: &str) -> api::ZoneId {
    api::ZoneId(Arc::from(name))
}

impl From<RepeatSafety> for api::RepeatSafety {
    fn from(safety: RepeatSafety) -> Self {
        match safety {
            RepeatSafety::Idempotent => api::RepeatSafety::Idempotent,
            RepeatSafety::Deduplicated => api::RepeatSafety::Deduplicated,
            RepeatSafety::AtMostOnce => api::RepeatSafety::AtMostOnce,
        }
    }
}

impl From<AdmissionMode> for api::AdmissionMode {
    fn from(mode: AdmissionMode) -> Self {
        match mode {
            AdmissionMode::Share => api::AdmissionMode::Share,
            AdmissionMode::Rate => api::AdmissionMode::Rate,
            AdmissionMode::Ignored => api::AdmissionMode::Ignored,
        }
    }
}

impl From<LoadReportSource> for api::LoadReportSource {
    fn from(source: LoadReportSource) -> Self {
        match source {
            LoadReportSource::WithAttemptCounts => api::LoadReportSource::WithAttemptCounts,
            LoadReportSource::WithHealthChecks => api::LoadReportSource::WithHealthChecks,
            LoadReportSource::Never => api::LoadReportSource::Never,
        }
    }
}
