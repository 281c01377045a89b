//! The configuration of a director in a small deployment.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Returns the settings of a small deployment: two zones, two classes, two directors, eight proxies.
pub fn deployment_settings() -> Value {
    json!({
        "me": 0, "replicas_of_me": 2, "dcs": ["a", "b"], "discovery": "on_request",
        "classes": [
            {"name": "lookup", "goal_time": 800000, "deadline": 2000000, "repeat": "idempotent", "gain": 1.0},
            {"name": "order", "goal_time": 500000, "deadline": 1000000, "repeat": "at_most_once", "gain": 4.0}
        ],
        "family_info": {
            "admit": "rate", "bare": 3000000, "egress_per_s": 2000.0, "ejects": 5, "overhead": 4.0,
            "pending_max": 4000.0, "period": 1000000, "proxy_count": 8, "push_delay": 200000,
            "reports_per_s": 200.0, "shards": 0, "transit_max": 600000
        },
        "policy_limits": {"conn_idle": 15000000, "connect_timeout": 250000, "peers": true, "probing": true},
        "report": {"fields": ["util", "inflight"], "how": "pull"},
        "rules": {
            "ask_within": 4000000, "cold": 10000000, "drain_grace": 2000000, "overload_factor": 3.0,
            "overload_for": 2000000, "start_capacity": 0.25
        }
    })
}

/// Returns a director's configuration without peers; `known` is the endpoint list that the director
/// starts with.
pub fn director_config(listen: SocketAddr, discovery: SocketAddr, known: Value) -> Value {
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known, "settings": deployment_settings()
    })
}
