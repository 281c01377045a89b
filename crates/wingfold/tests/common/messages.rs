//! Builds and reads the messages of the client protocol.

use serde_json::{json, Value};

/// The state of a ready host in the endpoint list.
pub const READY: &str = "active";
/// The state of a draining host in the endpoint list.
pub const DRAINING: &str = "leaving";
/// The state of a removed host in the endpoint list.
pub const REMOVED: &str = "left";

/// The mean latency of a load report in tests that do not depend on it.
const DEFAULT_MEAN_LATENCY_MS: f64 = 40.0;

/// The period of a load or usage report in tests that do not depend on it.
const DEFAULT_PERIOD_MS: f64 = 1000.0;

/// The first message of a collector: its zone.
pub fn collector_hello(zone: &str) -> Value {
    json!({"type": "SOURCE", "site": zone})
}

/// The first message of a proxy that holds no table.
pub fn proxy_hello(proxy: u32, zone: &str, requests_per_s: f64) -> Value {
    json!({"type": "SUBSCRIBE", "id": proxy, "site": zone, "rps": requests_per_s, "new": true})
}

/// A load report: the attempts of a zone's proxies at a host, and how many of them failed.
pub fn load_report(zone: &str, host: &str, total: u64, failed: u64) -> Value {
    load_report_over(zone, host, total, failed, DEFAULT_MEAN_LATENCY_MS, DEFAULT_PERIOD_MS)
}

/// A load report with the given mean latency and period.
pub fn load_report_over(
    zone: &str,
    host: &str,
    total: u64,
    failed: u64,
    mean_latency_ms: f64,
    period_ms: f64,
) -> Value {
    json!({"type": "LOAD", "site": zone, "target": host, "count": total, "fail": failed,
        "mean": mean_latency_ms, "over": period_ms})
}

/// A usage report: the requests of a class that reached a proxy, and how many of them failed.
pub fn usage_report(proxy: u32, class: &str, total: u64, failed: u64) -> Value {
    usage_report_over(proxy, class, total, failed, DEFAULT_PERIOD_MS)
}

/// A usage report with the given period.
pub fn usage_report_over(proxy: u32, class: &str, total: u64, failed: u64, period_ms: f64) -> Value {
    json!({"type": "RATE", "id": proxy, "lane": class, "count": total, "fail": failed, "over": period_ms})
}

/// A proxy's acknowledgement of a barrier.
pub fn acknowledgement(proxy: u32, barrier: u64, elapsed_ms: f64) -> Value {
    json!({"type": "ACK", "id": proxy, "seq": barrier, "ms": elapsed_ms})
}

/// A `PING`, which the director answers.
pub fn ping() -> Value {
    json!({"type": "PING"})
}

/// A message of a type that the protocol does not define.
pub fn unknown_message() -> Value {
    json!({"type": "NEWS"})
}

/// A part of an update, which clients must not send.
pub fn table_update() -> Value {
    json!({"type": "CONFIG", "whole": true, "lines": [["s-1", 1.0]]})
}

/// A copy of a message with another value in a field; null removes the field.
pub fn with_field(message: &Value, field: &str, value: Value) -> Value {
    let mut message = message.clone();
    match value.is_null() {
        true => drop(message.as_object_mut().unwrap().remove(field)),
        false => message[field] = value,
    }
    message
}

/// Whether the first part of an update replaces the table completely.
pub fn is_complete(update: &[Value]) -> bool {
    update[0]["whole"] == true
}

/// The entries of all parts of an update: pairs of a host and its weight, 0 for a removed host.
pub fn entries(update: &[Value]) -> Vec<Value> {
    let lists = update.iter().filter_map(|part| part["lines"].as_array());
    lists.flatten().cloned().collect()
}
