//! A proxy with an open stream.
use crate::interface::{ClassId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Proxy {
    pub(crate) zone: ZoneId,
    /// Requests a second that it usually gets, and the slot whose tables it was put on.
    #[serde(rename = "rate")]
    pub(crate) requests_per_s: f64,
    #[serde(rename = "slot")]
    pub(crate) subset: Option<usize>,
    /// When it joined.
    #[serde(default)]
    #[serde(rename = "joined")]
    pub(crate) connected_at: Timestamp,
    /// It waits to be bound, or bound elsewhere: until then it still gets the changes of its old tables.
    #[serde(rename = "moves")]
    pub(crate) awaiting_assignment: bool,
    /// When messages went to it, within the span that is limited.
    #[serde(rename = "sent")]
    pub(crate) send_times: VecDeque<Timestamp>,
    /// Requests a second by class, smoothed, and when they were last told.
    pub(crate) usage: BTreeMap<ClassId, f64>,
    #[serde(rename = "told_at")]
    pub(crate) last_report_at: Timestamp,
}

impl Proxy {
    /// One that has just joined; `sent` are messages of its earlier streams.
    pub(crate) fn new(zone: &ZoneId, rate: f64, sent: VecDeque<Timestamp>, joined: Timestamp) -> Proxy {
        let usage = BTreeMap::new();
        Proxy {
            zone: zone.clone(),
            requests_per_s: rate,
            subset: None,
            connected_at: joined,
            awaiting_assignment: true,
            send_times: sent,
            usage,
            last_report_at: Timestamp(0),
        }
    }
}
