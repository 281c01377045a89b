//! The output of `wingfold metrics watch`: a director's page as text, with a table of its zones.

use super::page::{Page, StageRun};
use std::time::{Duration, UNIX_EPOCH};

/// Indices of quantiles in the values of a distribution.
const P50_INDEX: usize = 1;
const P99_INDEX: usize = 3;
const MAX_INDEX: usize = 4;

/// The maximum number of stage runs that are shown.
const MAX_STAGE_RUNS: usize = 12;

/// Shown in place of an unknown value.
const UNKNOWN: &str = "-";

/// Renders a page as text.
pub fn render(page: &Page) -> String {
    if page.samples.is_empty() {
        return format!("{}: no interval has ended yet\n", page.director);
    }
    let mut lines = vec![interval_line(page), director_line(page), String::new(), zone_header()];
    let zones = page.labels_of("news.zone.state", 0);
    lines.extend(zones.into_iter().map(|zone| zone_line(page, zone)));
    let receivers = page.labels_of("sink.sent", 0);
    lines.extend(receivers.into_iter().map(|receiver| receiver_line(page, receiver)));
    lines.extend(page.stage_runs.iter().take(MAX_STAGE_RUNS).map(stage_run_line));
    lines.join("\n") + "\n"
}

/// A value with this number of decimals.
fn decimal(value: Option<f64>, decimals: usize) -> String {
    value.map_or(UNKNOWN.into(), |value| format!("{value:.decimals$}"))
}

/// The name of a state that a metric gives as a number, as in the metric's unit in the catalogue.
fn state_name(number: Option<f64>) -> &'static str {
    match number {
        Some(0.0) => "heard",
        Some(1.0) => "quiet",
        Some(2.0) => "SILENT",
        Some(3.0) => "CUT",
        _ => UNKNOWN,
    }
}

fn interval_line(page: &Page) -> String {
    let end = UNIX_EPOCH + Duration::from_secs_f64(page.end_s.max(0.0));
    format!(
        "{} at {}, the last {:.0} s; up for {} s",
        page.director,
        humantime::format_rfc3339_seconds(end),
        page.length_s,
        decimal(page.value("director.up", &[]), 0)
    )
}

fn director_line(page: &Page) -> String {
    let value = |name: &'static str, decimals| decimal(page.value(name, &[]), decimals);
    let quantile = |name: &'static str, position: usize, decimals| {
        let values = page.values(name, &[]);
        decimal(values.and_then(|values| values.get(position).copied()), decimals)
    };
    format!(
        "table write delay p50 {} p99 {} max {} ms; decision module p99 {} us; send queue {} lines (max {}); \
         admitted share {}; endpoint list {} s old",
        quantile("table.written", P50_INDEX, 1),
        quantile("table.written", P99_INDEX, 1),
        quantile("table.written", MAX_INDEX, 1),
        quantile("module.time", P99_INDEX, 0),
        value("channel.depth", 0),
        value("channel.most", 0),
        value("admitted", 2),
        value("list.age", 0)
    )
}

fn zone_header() -> String {
    format!(
        "{:<16} {:>8} {:>7} {:>6} {:>10} {:>8}  {:>7} {:>4} {:>4} {:>7} {:>7} {:>8}  {}",
        "zone",
        "reports",
        "age s",
        "lag s",
        "collector",
        "proxies",
        "leading",
        "1/2",
        "1/4",
        "ejected",
        "warming",
        "draining",
        "class: state requests rejected failed level"
    )
}

fn zone_line(page: &Page, zone: &str) -> String {
    let value = |name: &'static str, decimals| decimal(page.value(name, &[zone]), decimals);
    let classes = page.labels_of("news.class.state", 1);
    let classes: Vec<String> = classes.into_iter().map(|class| class_cell(page, zone, class)).collect();
    format!(
        "{zone:<16} {:>8} {:>7} {:>6} {:>10} {:>8}  {:>7} {:>4} {:>4} {:>7} {:>7} {:>8}  {}",
        state_name(page.value("news.zone.state", &[zone])),
        value("news.zone.age", 1),
        value("news.zone.lag", 1),
        state_name(page.value("news.collector.state", &[zone])),
        value("proxies.joined", 0),
        value("hosts.leading", 0),
        value("hosts.halved", 0),
        value("hosts.quartered", 0),
        value("hosts.out", 0),
        value("hosts.cold", 0),
        value("hosts.draining", 0),
        classes.join("; ")
    )
}

fn class_cell(page: &Page, zone: &str, class: &str) -> String {
    let value = |name: &'static str, decimals| decimal(page.value(name, &[zone, class]), decimals);
    format!(
        "{class}: {} {} {} {} {}",
        state_name(page.value("news.class.state", &[zone, class])),
        value("service.asked", 0),
        value("service.refused", 0),
        value("service.lost", 0),
        value("level", 2)
    )
}

fn receiver_line(page: &Page, receiver: &str) -> String {
    let value = |name: &'static str| decimal(page.value(name, &[receiver]), 0);
    let dropped_samples = page
        .samples_of("sink.dropped")
        .filter(|sample| sample.labels().first().is_some_and(|label| label == receiver));
    let dropped: f64 = dropped_samples.filter_map(|sample| sample.values().first()).sum();
    format!(
        "receiver {receiver}: {} bytes sent, {} bytes queued, {dropped:.0} intervals dropped, \
         {} failed connections",
        value("sink.sent"),
        value("sink.waiting"),
        value("sink.cuts")
    )
}

fn stage_run_line(run: &StageRun) -> String {
    let call = run.call.map_or(String::new(), |call| format!(" in call {call}"));
    let failed = run.failed.as_ref().map_or(String::new(), |failed| format!(": {failed}"));
    format!("{}{call}: {} us{failed}", run.stage, run.took_us)
}
