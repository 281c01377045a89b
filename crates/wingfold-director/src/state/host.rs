//! A host of the endpoint list.
use crate::interface::{Endpoint, Readiness, Timestamp};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Host {
    #[serde(rename = "entry")]
    pub(crate) endpoint: Endpoint,
    /// Listed weight that tables use; follows the list only on a real change.
    pub(crate) weight: f64,
    /// Busy share of its cores, as last reported, and when.
    #[serde(rename = "busy")]
    pub(crate) utilization: Option<(f64, Timestamp)>,
    /// Tries in a row, in all zones, that were lost or came late.
    #[serde(rename = "row")]
    pub(crate) consecutive_useless: f64,
    /// The list calls it gone, which is advice only: it stays until its own answers fail as well.
    #[serde(rename = "doubted")]
    pub(crate) removal_suspected: bool,
    /// When the list first left it out, or called it gone, and since then always did.
    #[serde(rename = "gone_at")]
    pub(crate) removed_at: Option<Timestamp>,
}

impl Host {
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.readiness == Readiness::Ready
    }
}

/// How warm a host is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WarmUp {
    /// The share of its capacity that it surely has.
    pub(crate) slow_start_factor: f64,
    /// It may still be cold, whatever that share says.
    pub(crate) is_warming_up: bool,
}
