//! Accounting of the send queue that all messages of a director share. The number of queued lines is derived
//! from the lines sent and from the proxies' acknowledgements of the barriers that messages carry.
//!
//! A line is the unit in which the settings limit messages: a table entry, an admission level or a barrier.
use crate::interface::{ProxyId, Timestamp};
use crate::state::Proxy;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The state of the send queue: an upper bound of the lines that are queued, and the rate at which they
/// drain.
///
/// A sent line counts as queued until an acknowledgement shows that it has left the queue. As messages leave
/// the queue in order, the queue never holds more lines than are counted, however slowly it drains. Only
/// barriers that expire without an acknowledgement can make the count too small.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct SendQueue {
    /// All lines that count as queued, including those of the present evaluation.
    #[serde(rename = "queued")]
    pub(crate) queued_lines: f64,
    /// Lines sent since the last barrier.
    #[serde(rename = "unmarked")]
    pub(crate) lines_since_barrier: f64,
    /// Barriers that at least one proxy has not acknowledged, oldest first.
    #[serde(rename = "marks")]
    pub(crate) pending_barriers: VecDeque<PendingBarrier>,
    /// Number of the last barrier.
    #[serde(rename = "number")]
    pub(crate) last_barrier: u64,
    /// When a barrier was last acknowledged or expired.
    #[serde(rename = "heard_at")]
    pub(crate) last_acknowledged_at: Timestamp,
    /// Smoothed drain rate in lines per second, from the delays of acknowledgements; 0 if no acknowledgement
    /// has given a sample yet.
    #[serde(rename = "pace")]
    pub(crate) drain_rate_per_s: f64,
    /// Barriers that have expired since the last acknowledgement.
    #[serde(rename = "given_up")]
    pub(crate) expired_barriers: u32,
    /// Lines sent since the start, up to and including the last evaluation with a barrier.
    #[serde(rename = "total")]
    pub(crate) total_lines: f64,
    /// When the current measurement of the drain rate started.
    #[serde(rename = "measured_at")]
    pub(crate) measurement_started_at: Timestamp,
    /// How many of `total_lines` had left the queue when the current measurement started.
    #[serde(rename = "measured_from")]
    pub(crate) measurement_start_lines: f64,
    /// Drain rate in lines per second by the last measurement between two acknowledgements; 0 if the queue
    /// may have been empty in between, so that the rate could not be measured.
    #[serde(rename = "measured_pace")]
    pub(crate) measured_drain_rate_per_s: f64,
}

/// A barrier that at least one proxy has not acknowledged. Every message of one evaluation carries the
/// barrier, and each proxy acknowledges it once the proxy has applied its message.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct PendingBarrier {
    /// The number of the barrier.
    pub(crate) number: u64,
    /// When the barrier was sent.
    #[serde(rename = "at")]
    pub(crate) sent_at: Timestamp,
    /// Lines of the evaluations between the previous barrier and this one.
    #[serde(rename = "before")]
    pub(crate) lines_before: f64,
    /// Lines in the send queue when the barrier was sent, including those of the messages that carry it.
    #[serde(rename = "queued")]
    pub(crate) queued_lines: f64,
    /// Lines sent since the start, up to and including the evaluation of the barrier.
    #[serde(rename = "total")]
    pub(crate) total_lines: f64,
    /// Lines of the messages that carry the barrier, by proxy, for the proxies that have not acknowledged it.
    #[serde(rename = "lines")]
    pub(crate) unacknowledged: BTreeMap<ProxyId, f64>,
}

/// The wait for an acknowledgement of the oldest pending barrier.
pub(crate) struct BarrierWait {
    /// Seconds since the barrier was sent, or since any barrier was last acknowledged or expired if that is
    /// later.
    pub(crate) waited_s: f64,
    /// Seconds that the barrier's outstanding lines take to leave the queue at the drain rate last measured.
    pub(crate) drain_s: f64,
    /// Whether an acknowledgement is likely: barriers have been acknowledged, none has expired since the last
    /// acknowledgement, and at least one proxy can still acknowledge a pending barrier.
    pub(crate) acknowledgement_expected: bool,
}

impl PendingBarrier {
    /// Lines that were sent with the barrier, or since the previous one, and that are not known to have left
    /// the queue.
    pub(crate) fn outstanding_lines(&self) -> f64 {
        self.lines_before + self.unacknowledged.values().sum::<f64>()
    }

    /// Unacknowledged lines that were sent after the message to `proxy`: the messages of one evaluation are
    /// sent in the order of their proxies.
    fn lines_behind(&self, proxy: ProxyId) -> f64 {
        self.unacknowledged.range(proxy..).skip(1).map(|(_, lines)| lines).sum()
    }

    /// Removes the lines that have left the queue by the time that `proxy` acknowledges the barrier: those of
    /// the proxy's message and those sent before the first message with the barrier. Returns the number of
    /// lines removed.
    fn remove_acknowledged(&mut self, proxy: ProxyId) -> f64 {
        let lines_before = std::mem::take(&mut self.lines_before);
        lines_before + self.unacknowledged.remove(&proxy).unwrap_or(0.0)
    }

    /// Whether any proxy that has not acknowledged the barrier still has the stream on which the barrier was
    /// sent.
    fn can_be_acknowledged(&self, proxies: &BTreeMap<ProxyId, Proxy>) -> bool {
        let has_same_stream = |id| proxies.get(id).is_some_and(|proxy| proxy.connected_at <= self.sent_at);
        self.unacknowledged.keys().any(has_same_stream)
    }
}

impl SendQueue {
    /// Records the messages of one evaluation; `messages` has the lines of each by proxy. If `has_barrier`,
    /// each message carries the barrier numbered `last_barrier`.
    pub(crate) fn record_sent(
        &mut self,
        now: Timestamp,
        messages: BTreeMap<ProxyId, f64>,
        has_barrier: bool,
    ) {
        let lines = messages.values().sum::<f64>();
        if !has_barrier {
            self.lines_since_barrier += lines;
            return;
        }
        let lines_before = std::mem::take(&mut self.lines_since_barrier);
        self.total_lines += lines_before + lines;
        self.pending_barriers.push_back(PendingBarrier {
            number: self.last_barrier,
            sent_at: now,
            lines_before,
            queued_lines: self.queued_lines,
            total_lines: self.total_lines,
            unacknowledged: messages,
        });
    }

    /// Records that `proxy` has acknowledged the barrier `number`: the proxy's message and all messages of
    /// earlier evaluations have left the queue. Returns the number of queued lines up to and including that
    /// message when it was sent; `None` if the barrier is not pending. A measurement of the drain rate covers
    /// more than `min_measurement_s` seconds.
    pub(crate) fn acknowledge(
        &mut self,
        now: Timestamp,
        proxy: ProxyId,
        number: u64,
        min_measurement_s: f64,
    ) -> Option<f64> {
        let index = self.pending_barriers.iter().position(|barrier| barrier.number == number)?;
        let earlier = self.pending_barriers.drain(..index);
        let mut drained_lines: f64 = earlier.map(|barrier| barrier.outstanding_lines()).sum();
        let barrier = self.pending_barriers.front_mut()?;
        let lines_behind = barrier.lines_behind(proxy);
        let queued_lines = barrier.queued_lines - lines_behind;
        let total_drained_lines = barrier.total_lines - lines_behind;
        let sent_at = barrier.sent_at;
        drained_lines += barrier.remove_acknowledged(proxy);
        if barrier.unacknowledged.is_empty() {
            self.pending_barriers.pop_front();
        }
        self.remove_drained(drained_lines, now);
        self.expired_barriers = 0;
        self.measure_drain_rate(now, sent_at, total_drained_lines, min_measurement_s);
        Some(queued_lines)
    }

    /// Measures the drain rate between two acknowledgements, provided that the queue was never empty in
    /// between. `sent_at` is when the message just acknowledged was sent; `drained_lines` is how many of the
    /// lines sent since the start have left the queue.
    fn measure_drain_rate(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        drained_lines: f64,
        min_measurement_s: f64,
    ) {
        let elapsed_s = now.since(self.measurement_started_at);
        let was_never_empty = sent_at <= self.measurement_started_at;
        let is_too_short = was_never_empty && elapsed_s <= min_measurement_s;
        // A late acknowledgement may show fewer drained lines than earlier ones: it measures nothing.
        if drained_lines <= self.measurement_start_lines || is_too_short {
            return;
        }
        self.measured_drain_rate_per_s =
            if was_never_empty { (drained_lines - self.measurement_start_lines) / elapsed_s } else { 0.0 };
        self.measurement_started_at = now;
        self.measurement_start_lines = drained_lines;
    }

    /// The wait for an acknowledgement of the oldest pending barrier, if there is one. The drain time assumes
    /// `nominal_rate_per_s` if no drain rate was measured or the measured one is higher.
    pub(crate) fn oldest_barrier_wait(
        &self,
        now: Timestamp,
        proxies: &BTreeMap<ProxyId, Proxy>,
        nominal_rate_per_s: f64,
    ) -> Option<BarrierWait> {
        let oldest = self.pending_barriers.front()?;
        let drain_rate_per_s = if self.measured_drain_rate_per_s > 0.0 {
            nominal_rate_per_s.min(self.measured_drain_rate_per_s)
        } else {
            nominal_rate_per_s
        };
        let proxies_acknowledge = self.last_acknowledged_at > Timestamp(0) && self.expired_barriers == 0;
        let can_be_acknowledged =
            || self.pending_barriers.iter().any(|barrier| barrier.can_be_acknowledged(proxies));
        Some(BarrierWait {
            waited_s: now.since(self.last_acknowledged_at.max(oldest.sent_at)),
            drain_s: oldest.outstanding_lines() / drain_rate_per_s,
            acknowledgement_expected: proxies_acknowledge && can_be_acknowledged(),
        })
    }

    /// Drops the oldest barrier without an acknowledgement and counts its lines as drained. Each call doubles
    /// the measured drain rate: acknowledgements may never come again, and waits then approach those at the
    /// nominal rate.
    pub(crate) fn expire_oldest_barrier(&mut self, now: Timestamp) {
        let oldest = self.pending_barriers.pop_front();
        let expired_lines = oldest.map_or(0.0, |barrier| barrier.outstanding_lines());
        self.remove_drained(expired_lines, now);
        self.expired_barriers = self.expired_barriers.saturating_add(1);
        self.measured_drain_rate_per_s *= 2.0;
    }

    /// Subtracts lines that have left the queue, and restarts the wait for acknowledgements.
    fn remove_drained(&mut self, lines: f64, now: Timestamp) {
        self.queued_lines = (self.queued_lines - lines).max(0.0);
        self.last_acknowledged_at = now;
    }
}
