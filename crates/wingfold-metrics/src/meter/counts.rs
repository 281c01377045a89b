//! The counters of an interval.

use super::new_histogram;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use wingfold_director::interface::{Micros, Timestamp};

/// The index of a zone, and of a class in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServiceKey {
    pub(super) zone: usize,
    pub(super) class: usize,
}

/// Requests of a class in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ServiceCounts {
    pub(super) offered: u64,
    /// An estimate; see [`super::estimated_rejections`].
    pub(super) rejected: f64,
    /// Requests that were admitted but not served.
    pub(super) failed: u64,
    /// Requests in late reports that arrived in this interval, whichever interval the requests belong to.
    pub(super) late: u64,
}

/// Attempts of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AttemptTotals {
    pub(super) total: u64,
    pub(super) failed: u64,
    /// Requests in late reports that arrived in this interval, whichever interval the requests belong to.
    pub(super) late: u64,
}

/// Counters of one interval that late reports may still change.
#[derive(Clone, Debug, Default)]
pub(super) struct IntervalCounts {
    pub(super) ends_at: Timestamp,
    pub(super) services: BTreeMap<ServiceKey, ServiceCounts>,
    /// By the index of the zone.
    pub(super) attempts: BTreeMap<usize, AttemptTotals>,
    /// Whether a late report has changed these counts since they were last exported.
    pub(super) is_corrected: bool,
}

impl IntervalCounts {
    pub(super) fn new(ends_at: Timestamp) -> Self {
        IntervalCounts { ends_at, ..IntervalCounts::default() }
    }

    /// Whether a time lies in this interval.
    pub(super) fn covers(&self, at: Timestamp, length: Micros) -> bool {
        at.0 < self.ends_at.0 && at.0 >= self.ends_at.0.saturating_sub(length.0)
    }
}

/// The work of the decision module in the present interval.
#[derive(Debug)]
pub(super) struct ModuleCounts {
    pub(super) calls: u64,
    pub(super) events: u64,
    pub(super) messages: u64,
    pub(super) lines: u64,
    pub(super) duration_us: Histogram<u64>,
}

impl ModuleCounts {
    pub(super) fn new() -> Self {
        ModuleCounts { calls: 0, events: 0, messages: 0, lines: 0, duration_us: new_histogram() }
    }
}
