//! The messages of the platform's protocol as tests write and read them.

use serde_json::{json, Value};

/// The states of a host in the endpoint list.
pub const READY: &str = "active";
pub const DRAINING: &str = "leaving";
pub const REMOVED: &str = "left";

/// The mean latency of a load report, where a test does not mind.
const MEAN_LATENCY_MS: f64 = 40.0;

/// The period of a load or usage report, where a test does not mind.
const PERIOD_MS: f64 = 1000.0;

/// A collector names its zone.
pub fn collector_hello(zone: &str) -> Value {
    json!({"type": "SOURCE", "site": zone})
}

/// A proxy opens its stream.
pub fn proxy_hello(proxy: u32, zone: &str, requests_per_s: f64) -> Value {
    json!({"type": "SUBSCRIBE", "id": proxy, "site": zone, "rps": requests_per_s, "new": true})
}

/// How a zone's proxies fared with a host.
pub fn load_report(zone: &str, host: &str, total: u64, failed: u64) -> Value {
    load_report_over(zone, host, total, failed, MEAN_LATENCY_MS, PERIOD_MS)
}

/// A load report with a mean latency and a period of the test's own.
pub fn load_report_over(
    zone: &str,
    host: &str,
    total: u64,
    failed: u64,
    mean_latency_ms: f64,
    period_ms: f64,
) -> Value {
    json!({"type": "LOAD", "site": zone, "target": host, "count": total, "fail": failed, "mean": mean_latency_ms,
        "over": period_ms})
}

/// The requests of a class that reached a proxy.
pub fn usage_report(proxy: u32, class: &str, total: u64, failed: u64) -> Value {
    usage_report_over(proxy, class, total, failed, PERIOD_MS)
}

/// A usage report with a period of the test's own.
pub fn usage_report_over(proxy: u32, class: &str, total: u64, failed: u64, period_ms: f64) -> Value {
    json!({"type": "RATE", "id": proxy, "lane": class, "count": total, "fail": failed, "over": period_ms})
}

/// A proxy acknowledges a barrier.
pub fn acknowledgement(proxy: u32, barrier: u64, elapsed_ms: f64) -> Value {
    json!({"type": "ACK", "id": proxy, "seq": barrier, "ms": elapsed_ms})
}

/// Asks for a sign of life.
pub fn ping() -> Value {
    json!({"type": "PING"})
}

/// A message of a kind that the protocol does not have.
pub fn unknown_message() -> Value {
    json!({"type": "NEWS"})
}

/// A part of an update, which only directors may send.
pub fn table_update() -> Value {
    json!({"type": "CONFIG", "whole": true, "lines": [["s-1", 1.0]]})
}

/// A message with another value in a field; null takes the field out.
pub fn with_field(message: &Value, field: &str, value: Value) -> Value {
    let mut message = message.clone();
    match value.is_null() {
        true => drop(message.as_object_mut().unwrap().remove(field)),
        false => message[field] = value,
    }
    message
}

/// Whether an update begins with a complete table.
pub fn is_complete(update: &[Value]) -> bool {
    update[0]["whole"] == true
}

/// The entries of all parts of an update: pairs of a host and its weight.
pub fn entries(update: &[Value]) -> Vec<Value> {
    let lists = update.iter().filter_map(|part| part["lines"].as_array());
    lists.flatten().cloned().collect()
}
