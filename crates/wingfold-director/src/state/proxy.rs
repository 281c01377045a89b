//! A connected proxy.
use crate::interface::{ClassId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The state of a proxy while its stream is open.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Proxy {
    /// The zone that the proxy runs in.
    pub(crate) zone: ZoneId,
    /// Requests per second that the proxy usually receives, as announced when it connected.
    #[serde(rename = "rate")]
    pub(crate) requests_per_s: f64,
    /// The subset whose tables the proxy uses, by its position in the zone; `None` before the first
    /// assignment.
    #[serde(rename = "slot")]
    pub(crate) subset: Option<usize>,
    /// When the proxy's stream was opened.
    #[serde(default)]
    #[serde(rename = "joined")]
    pub(crate) connected_at: Timestamp,
    /// Whether the proxy waits to be assigned to its first subset, or to a different one. Until the
    /// assignment it receives the changes of its present tables.
    #[serde(rename = "moves")]
    pub(crate) awaiting_assignment: bool,
    /// When the latest messages were sent to the proxy, as many as the limit on messages per proxy.
    #[serde(rename = "sent")]
    pub(crate) send_times: VecDeque<Timestamp>,
    /// Smoothed requests per second of each class.
    pub(crate) usage: BTreeMap<ClassId, f64>,
    /// When the proxy last reported usage.
    #[serde(rename = "told_at")]
    pub(crate) last_report_at: Timestamp,
}

impl Proxy {
    /// A proxy that has just connected; `send_times` are the send times of its earlier streams.
    pub(crate) fn new(
        zone: &ZoneId,
        requests_per_s: f64,
        send_times: VecDeque<Timestamp>,
        connected_at: Timestamp,
    ) -> Proxy {
        Proxy {
            zone: zone.clone(),
            requests_per_s,
            subset: None,
            connected_at,
            awaiting_assignment: true,
            send_times,
            usage: BTreeMap::new(),
            last_report_at: Timestamp(0),
        }
    }
}
