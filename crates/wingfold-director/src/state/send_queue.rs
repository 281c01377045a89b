//! Accounting of the send queue that all messages of a director share: how many lines it holds, by the
//! acknowledgements of proxies to the barriers that messages carry.
//!
//! A line is the unit in which the settings limit messages: a table entry, an admission level or a barrier.
use crate::interface::{ProxyId, Timestamp};
use crate::state::Proxy;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Lines that were sent and that no acknowledgement shows to have left the send queue. It holds no more than
/// these, however slow it is, since messages leave it one after the other; only barriers that expire without
/// an acknowledgement can make the count too small.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct SendQueue {
    /// All of these lines, those of the present evaluation included.
    #[serde(rename = "queued")]
    pub(crate) queued_lines: f64,
    /// Those sent since the last barrier.
    #[serde(rename = "unmarked")]
    pub(crate) lines_since_barrier: f64,
    /// Barriers that some proxies have not acknowledged, oldest first.
    #[serde(rename = "marks")]
    pub(crate) pending_barriers: VecDeque<PendingBarrier>,
    /// Number of the last barrier.
    #[serde(rename = "number")]
    pub(crate) last_barrier: u64,
    /// When a barrier was last acknowledged or expired.
    #[serde(rename = "heard_at")]
    pub(crate) last_acknowledged_at: Timestamp,
    /// Smoothed lines per second that leave the queue, as acknowledgements show it; 0 if none has yet.
    #[serde(rename = "pace")]
    pub(crate) drain_rate_per_s: f64,
    /// Barriers that have expired since the last acknowledgement.
    #[serde(rename = "given_up")]
    pub(crate) expired_barriers: u32,
    /// Lines of all evaluations up to the last with a barrier, since the start.
    #[serde(rename = "total")]
    pub(crate) total_lines: f64,
    /// When the present measurement of the drain rate began.
    #[serde(rename = "measured_at")]
    pub(crate) measurement_started_at: Timestamp,
    /// How many of `total_lines` had left the queue by then.
    #[serde(rename = "measured_from")]
    pub(crate) measurement_start_lines: f64,
    /// Lines per second by the last measurement; 0 if messages leave the queue too soon for one.
    #[serde(rename = "measured_pace")]
    pub(crate) measured_drain_rate_per_s: f64,
}

/// The messages of one evaluation, each with a barrier that its proxy acknowledges once it has applied it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct PendingBarrier {
    /// Its number.
    pub(crate) number: u64,
    /// When it was sent.
    #[serde(rename = "at")]
    pub(crate) sent_at: Timestamp,
    /// Lines of the evaluations between the barrier before and this one.
    #[serde(rename = "before")]
    pub(crate) lines_before: f64,
    /// All lines that the send queue held when it was sent, those of its own messages included.
    #[serde(rename = "queued")]
    pub(crate) queued_lines: f64,
    /// Lines of all evaluations up to this one, since the start.
    #[serde(rename = "total")]
    pub(crate) total_lines: f64,
    /// Lines of its own messages, by proxies that have not acknowledged it.
    #[serde(rename = "lines")]
    pub(crate) unacknowledged: BTreeMap<ProxyId, f64>,
}

/// How long the oldest barrier has waited for acknowledgements.
pub(crate) struct AcknowledgementSilence {
    /// Seconds since it was sent, or since the last acknowledgement of any barrier.
    pub(crate) silent_s: f64,
    /// Seconds that its lines take to leave the queue, at the drain rate last measured.
    pub(crate) drain_s: f64,
    /// Whether proxies have acknowledged barriers until now, and some proxy can still acknowledge one.
    pub(crate) acknowledgement_expected: bool,
}

impl PendingBarrier {
    /// Lines that it stands for and that are not known to have left the queue.
    pub(crate) fn outstanding_lines(&self) -> f64 {
        self.lines_before + self.unacknowledged.values().sum::<f64>()
    }

    /// Lines of its messages that were sent after the one to a proxy: those of one evaluation are sent in
    /// the order of their proxies.
    fn lines_behind(&self, proxy: ProxyId) -> f64 {
        self.unacknowledged.range(proxy..).skip(1).map(|(_, lines)| lines).sum()
    }

    /// Removes the lines that have left the queue once a proxy has acknowledged it, and returns their
    /// number.
    fn remove_acknowledged(&mut self, proxy: ProxyId) -> f64 {
        let lines_before = std::mem::take(&mut self.lines_before);
        lines_before + self.unacknowledged.remove(&proxy).unwrap_or(0.0)
    }

    /// Whether a proxy that has not acknowledged it still has the stream that it was sent to.
    fn can_be_acknowledged(&self, proxies: &BTreeMap<ProxyId, Proxy>) -> bool {
        let has_same_stream = |id| proxies.get(id).is_some_and(|proxy| proxy.connected_at <= self.sent_at);
        self.unacknowledged.keys().any(has_same_stream)
    }
}

impl SendQueue {
    /// Records the messages of one evaluation by their lines. With `has_barrier` each of them carries the
    /// last barrier.
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

    /// Records that a proxy has acknowledged a barrier: its message has left the queue, and so have all
    /// messages of earlier evaluations. Returns how many lines were queued when the message was sent, up to
    /// its own end; `None` if the barrier is not pending. A measurement of the drain rate takes at least
    /// `min_measurement_s`.
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

    /// Measures the drain rate between two acknowledgements, as long as the queue is never empty. `sent_at`
    /// is when the message just acknowledged was sent, `drained_lines` how many of all lines have left the
    /// queue.
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
        // A proxy may acknowledge late, after others that were sent more.
        if drained_lines <= self.measurement_start_lines || is_too_short {
            return;
        }
        self.measured_drain_rate_per_s =
            if was_never_empty { (drained_lines - self.measurement_start_lines) / elapsed_s } else { 0.0 };
        self.measurement_started_at = now;
        self.measurement_start_lines = drained_lines;
    }

    /// How long the oldest barrier has waited, if there is one. Where no drain rate is measured the nominal
    /// one counts.
    pub(crate) fn acknowledgement_silence(
        &self,
        now: Timestamp,
        proxies: &BTreeMap<ProxyId, Proxy>,
        nominal_rate_per_s: f64,
    ) -> Option<AcknowledgementSilence> {
        let oldest = self.pending_barriers.front()?;
        let drain_rate_per_s = if self.measured_drain_rate_per_s > 0.0 {
            nominal_rate_per_s.min(self.measured_drain_rate_per_s)
        } else {
            nominal_rate_per_s
        };
        let proxies_acknowledge = self.last_acknowledged_at > Timestamp(0) && self.expired_barriers == 0;
        let can_be_acknowledged =
            || self.pending_barriers.iter().any(|barrier| barrier.can_be_acknowledged(proxies));
        Some(AcknowledgementSilence {
            silent_s: now.since(self.last_acknowledged_at.max(oldest.sent_at)),
            drain_s: oldest.outstanding_lines() / drain_rate_per_s,
            acknowledgement_expected: proxies_acknowledge && can_be_acknowledged(),
        })
    }

    /// Counts the lines of the oldest barrier as drained without an acknowledgement. The drain rate last
    /// measured counts for less each time, as acknowledgements may never come again.
    pub(crate) fn expire_oldest_barrier(&mut self, now: Timestamp) {
        let oldest = self.pending_barriers.pop_front();
        let expired_lines = oldest.map_or(0.0, |barrier| barrier.outstanding_lines());
        self.remove_drained(expired_lines, now);
        self.expired_barriers = self.expired_barriers.saturating_add(1);
        self.measured_drain_rate_per_s *= 2.0;
    }

    /// Removes lines that have left the queue.
    fn remove_drained(&mut self, lines: f64, now: Timestamp) {
        self.queued_lines = (self.queued_lines - lines).max(0.0);
        self.last_acknowledged_at = now;
    }
}
