//! A connected proxy.
use crate::interface::{ClassId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What is known of a proxy while its stream is open.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Proxy {
    /// The zone that the proxy runs in.
    pub(crate) zone: ZoneId,
    /// Requests per second that it usually receives.
    #[serde(rename = "rate")]
    pub(crate) requests_per_s: f64,
    /// Position in its zone of the subset whose tables it uses; `None` before the first assignment.
    #[serde(rename = "slot")]
    pub(crate) subset: Option<usize>,
    /// When it connected.
    #[serde(default)]
    #[serde(rename = "joined")]
    pub(crate) connected_at: Timestamp,
    /// It is to be assigned to a subset, or to another one; it receives changes of its old tables until then.
    #[serde(rename = "moves")]
    pub(crate) awaiting_assignment: bool,
    /// When messages were sent to it, within the window of the message limit.
    #[serde(rename = "sent")]
    pub(crate) send_times: VecDeque<Timestamp>,
    /// Smoothed requests per second of each class.
    pub(crate) usage: BTreeMap<ClassId, f64>,
    /// When it last reported usage.
    #[serde(rename = "told_at")]
    pub(crate) last_report_at: Timestamp,
}

impl Proxy {
    /// A proxy that has just connected; `send_times` are those of its earlier streams.
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
