//! The view of `wingfold metrics watch`: a page of a director in words, with a table of its zones.

use super::page::{Cause, Page};
use std::time::{Duration, UNIX_EPOCH};

/// Positions of a distribution's values.
const P50: usize = 1;
const P99: usize = 3;
const MAX: usize = 4;

/// The most causes that are shown.
const MAX_CAUSES: usize = 12;

/// Stands for a value that is not known.
const UNKNOWN: &str = "-";

/// A page as text.
pub fn render(page: &Page) -> String {
    if page.samples.is_empty() {
        return format!("{}: no interval has ended yet\n", page.director);
    }
    let mut lines = vec![interval_line(page), director_line(page), String::new(), zone_header()];
    let zones = page.labels_of("news.zone.state", 0);
    lines.extend(zones.into_iter().map(|zone| zone_line(page, zone)));
    let receivers = page.labels_of("sink.sent", 0);
    lines.extend(receivers.into_iter().map(|receiver| receiver_line(page, receiver)));
    lines.extend(page.causes.iter().take(MAX_CAUSES).map(cause_line));
    lines.join("\n") + "\n"
}

/// A value with so many digits.
fn decimal(value: Option<f64>, digits: usize) -> String {
    value.map_or(UNKNOWN.into(), |value| format!("{value:.digits$}"))
}

/// A state by its number.
fn state(number: Option<f64>) -> &'static str {
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
        "{} at {}, the last {:.0} s; up {} s",
        page.director,
        humantime::format_rfc3339_seconds(end),
        page.length_s,
        decimal(page.value("director.up", &[]), 0)
    )
}

fn director_line(page: &Page) -> String {
    let value = |name: &'static str, digits| decimal(page.value(name, &[]), digits);
    let quantile = |name: &'static str, position: usize, digits| {
        let values = page.values(name, &[]);
        decimal(values.and_then(|values| values.get(position).copied()), digits)
    };
    format!(
        "tables written p50 {} p99 {} max {} ms; module p99 {} us; channel {} lines (most {}); let in {}; list {} s old",
        quantile("table.written", P50, 1),
        quantile("table.written", P99, 1),
        quantile("table.written", MAX, 1),
        quantile("module.time", P99, 0),
        value("channel.depth", 0),
        value("channel.most", 0),
        value("admitted", 2),
        value("list.age", 0)
    )
}

fn zone_header() -> String {
    format!(
        "{:<16} {:>8} {:>7} {:>6} {:>10} {:>8}  {:>7} {:>4} {:>4} {:>4} {:>4} {:>4}  {}",
        "zone",
        "sums",
        "age s",
        "lag s",
        "collector",
        "proxies",
        "leading",
        "1/2",
        "1/4",
        "out",
        "cold",
        "left",
        "class: state asked refused lost level"
    )
}

fn zone_line(page: &Page, zone: &str) -> String {
    let value = |name: &'static str, digits| decimal(page.value(name, &[zone]), digits);
    let classes = page.labels_of("news.class.state", 1);
    let classes: Vec<String> = classes.into_iter().map(|class| class_cell(page, zone, class)).collect();
    format!(
        "{zone:<16} {:>8} {:>7} {:>6} {:>10} {:>8}  {:>7} {:>4} {:>4} {:>4} {:>4} {:>4}  {}",
        state(page.value("news.zone.state", &[zone])),
        value("news.zone.age", 1),
        value("news.zone.lag", 1),
        state(page.value("news.collector.state", &[zone])),
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
    let value = |name: &'static str, digits| decimal(page.value(name, &[zone, class]), digits);
    format!(
        "{class}: {} {} {} {} {}",
        state(page.value("news.class.state", &[zone, class])),
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
        "receiver {receiver}: {} bytes sent, {} wait, {dropped:.0} intervals dropped, {} cuts",
        value("sink.sent"),
        value("sink.waiting"),
        value("sink.cuts")
    )
}

fn cause_line(cause: &Cause) -> String {
    let call = cause.call.map_or(String::new(), |call| format!(" in call {call}"));
    let failed = cause.failed.as_ref().map_or(String::new(), |failed| format!(": {failed}"));
    format!("{}{call}: {} us{failed}", cause.stage, cause.took_us)
}
