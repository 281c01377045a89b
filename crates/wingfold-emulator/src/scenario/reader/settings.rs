//! Reads the settings of the decision module from a scenario.

use super::values::{duration_or, OptionalBlock};
use crate::scenario::ClassLoad;
use std::sync::Arc;
use wingfold_director::interface::{AdmissionMode, LoadReportSource, Micros, Settings, ZoneId};
use wingfold_settings::hcl::Block;

/// Settings that are the same in all scenarios.
const MESSAGE_WINDOW: Micros = Micros(10_000_000);
const POLL_WITHIN: Micros = Micros(10_000_000);
const MAX_REPORT_ENTRIES_PER_S: f64 = 1000.0;
const PROXY_EJECTION_THRESHOLD: u32 = 3;

/// The identifier of the zone with a name.
pub(super) fn zone_id(name: &str) -> ZoneId {
    ZoneId(Arc::from(name))
}

/// Reads the settings from the block `scenario` and the top-level blocks `channel` and `rules`.
pub(super) fn read_settings(top: &Block, block: &Block, zones: &[String], classes: &[ClassLoad]) -> Settings {
    let channel = OptionalBlock(top.block("channel"));
    let rules = OptionalBlock(top.block("rules"));
    Settings {
        director_index: 0,
        directors: block.integer("directors", 1..=64).unwrap_or(2) as u32,
        zones: zones.iter().map(|zone| zone_id(zone)).collect(),
        proxies: block.integer("proxies", 1..=20_000).unwrap_or(12) as u32,
        admission_mode: read_admission_mode(block),
        local_first: block.boolean("local_first").unwrap_or(false),
        classes: classes.iter().map(|load| load.class.clone()).collect(),
        endpoint_list_on_request: block.boolean("list_on_request").unwrap_or(false),
        shards: 0,
        send_rate_lines_per_s: channel.number("lines_per_s", 10.0..=1e7, 2800.0),
        message_overhead_lines: channel.number("overhead", 0.0..=1000.0, 4.0),
        max_queued_lines: channel.number("queue_max", 10.0..=1e7, 3000.0),
        max_messages_per_proxy: channel.integer("messages_max", 0..=10_000, 0) as u32,
        message_window: MESSAGE_WINDOW,
        mean_push_delay: channel.duration("delay", 250),
        max_push_delay: channel.duration("delay_max", 700),
        max_time_without_entry: rules.duration("bare", 3000),
        report_period: duration_or(block, "report_period", 1000),
        max_report_lines_per_s: MAX_REPORT_ENTRIES_PER_S,
        proxy_ejection_threshold: PROXY_EJECTION_THRESHOLD,
        health_checks_allowed: false,
        load_report_source: read_load_report_source(block),
        cross_zone_price: block.number("crossing_price", 0.0..=1.0).unwrap_or(0.06),
        initial_capacity_ratio: rules.number("start_capacity", 0.01..=1.0, 0.2),
        warm_up: rules.duration("cold", 14_000),
        drain_grace: rules.duration("drain_grace", 3400),
        overload_factor: rules.number("overload_factor", 1.0..=100.0, 4.0),
        overload_duration: rules.duration("overload_for", 3000),
        poll_within: POLL_WITHIN,
        removal_is_advisory: block.boolean("gone_is_advice").unwrap_or(false),
        connection_idle_timeout: duration_or(block, "conn_idle", 0),
    }
}

fn read_admission_mode(block: &Block) -> AdmissionMode {
    match block.keyword("levels", &["share", "rate", "ignored"]) {
        Some("rate") => AdmissionMode::Rate,
        Some("ignored") => AdmissionMode::Ignored,
        _ => AdmissionMode::Share,
    }
}

fn read_load_report_source(block: &Block) -> LoadReportSource {
    match block.boolean("loads_told") {
        Some(false) => LoadReportSource::Never,
        _ => LoadReportSource::WithAttemptCounts,
    }
}
