//! Names of the values in a host's load report.

use wingfold_director::interface::HostLoad;

/// Sets one value of a host's load. Each value has two names: the platform's, which `report.fields` of the
/// settings object lists, and the name in the director's own messages. Both are accepted everywhere. Returns
/// `false` and changes nothing if `name` is neither.
pub fn set_load_field(load: &mut HostLoad, name: &str, value: Option<f64>) -> bool {
    let field = match name {
        "busy_reqs" | "inflight" => &mut load.in_flight,
        "pending" | "queue" => &mut load.queued,
        "cpu_share" | "util" => &mut load.utilization,
        "svc_ms" | "latency_ms" => &mut load.service_ms,
        _ => return false,
    };
    *field = value;
    true
}
