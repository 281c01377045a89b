//! Accounting of the send queue that all messages of a director share: how many lines wait there, by the
//! acknowledgements of proxies to the barriers that messages carry.
use crate::interface::{ProxyId, Timestamp};
use crate::state::Proxy;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Lines that were ordered and that no proxy's answer shows to have left the channel: no less than what
/// waits there, however slow it is, since messages leave it one after the other. Only marks that are given
/// up may make it less.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct SendQueue {
    /// All of them, those of the present answer too.
    #[serde(rename = "queued")]
    pub(crate) queued_lines: f64,
    /// Those ordered since the last mark.
    #[serde(rename = "unmarked")]
    pub(crate) lines_since_barrier: f64,
    /// Marks that some proxies have not answered, oldest first, and the number of the last.
    #[serde(rename = "marks")]
    pub(crate) pending_barriers: VecDeque<PendingBarrier>,
    #[serde(rename = "number")]
    pub(crate) last_barrier: u64,
    /// When a mark was last answered.
    #[serde(rename = "heard_at")]
    pub(crate) last_acknowledged_at: Timestamp,
    /// Lines a second that it sends, as far as answers show; 0: none has shown it.
    #[serde(rename = "pace")]
    pub(crate) drain_rate_per_s: f64,
    /// Marks given up since the last answer.
    #[serde(rename = "given_up")]
    pub(crate) expired_barriers: u32,
    /// Lines of all answers of the module up to the last marked one, since the start.
    #[serde(rename = "total")]
    pub(crate) total_lines: f64,
    /// When the present measurement of the pace began, and how many of all lines had left by then.
    #[serde(rename = "measured_at")]
    pub(crate) measurement_started_at: Timestamp,
    #[serde(rename = "measured_from")]
    pub(crate) measurement_start_lines: f64,
    /// Lines a second by the last measurement; 0: messages leave too soon for one.
    #[serde(rename = "measured_pace")]
    pub(crate) measured_drain_rate_per_s: f64,
}

/// One answer's messages, each with a mark that its proxy answers once it has applied it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct PendingBarrier {
    pub(crate) number: u64,
    #[serde(rename = "at")]
    pub(crate) sent_at: Timestamp,
    /// Lines of the answers between the mark before and this one, and all that waited with its own.
    #[serde(rename = "before")]
    pub(crate) lines_before: f64,
    #[serde(rename = "queued")]
    pub(crate) queued_lines: f64,
    /// Lines of all answers of the module up to this one, since the start.
    #[serde(rename = "total")]
    pub(crate) total_lines: f64,
    /// Lines of its own messages, by proxies that have not answered.
    #[serde(rename = "lines")]
    pub(crate) unacknowledged: BTreeMap<ProxyId, f64>,
}

/// How long nothing was heard of the oldest mark.
pub(crate) struct AcknowledgementSilence {
    pub(crate) silent_s: f64,
    /// Time that its lines take to leave, at the pace last measured.
    pub(crate) drain_s: f64,
    /// Proxies answered until now, and one that can still answer is there.
    pub(crate) acknowledgement_expected: bool,
}

impl PendingBarrier {
    /// Lines that it speaks of and that are not known to have left.
    pub(crate) fn outstanding_lines(&self) -> f64 {
        self.lines_before + self.unacknowledged.values().sum::<f64>()
    }

    /// Whether a proxy that has not answered still has the stream that the mark went to.
    fn can_be_acknowledged(&self, proxies: &BTreeMap<ProxyId, Proxy>) -> bool {
        let same_stream = |id| proxies.get(id).is_some_and(|proxy| proxy.connected_at <= self.sent_at);
        self.unacknowledged.keys().any(same_stream)
    }
}

impl SendQueue {
    /// Books one answer's messages, counted as they were ordered; with `marked` each of them carries a mark
    /// of this answer's own.
    pub(crate) fn record_sent(&mut self, now: Timestamp, messages: BTreeMap<ProxyId, f64>, marked: bool) {
        if marked {
            let before = std::mem::take(&mut self.lines_since_barrier);
            self.total_lines += before + messages.values().sum::<f64>();
            let (number, queued, total) = (self.last_barrier, self.queued_lines, self.total_lines);
            self.pending_barriers.push_back(PendingBarrier {
                number,
                sent_at: now,
                lines_before: before,
                queued_lines: queued,
                total_lines: total,
                unacknowledged: messages,
            });
        } else {
            self.lines_since_barrier += messages.values().sum::<f64>();
        }
    }

    /// A proxy has applied a mark: its message has left the channel, and all of earlier answers went before
    /// it. Gives what waited when it was ordered, up to its own message. A measurement of the pace takes at
    /// least `span` seconds.
    pub(crate) fn acknowledge(
        &mut self,
        now: Timestamp,
        proxy: ProxyId,
        number: u64,
        span: f64,
    ) -> Option<f64> {
        let at = self.pending_barriers.iter().position(|mark| mark.number == number)?;
        let mut left: f64 = self.pending_barriers.drain(..at).map(|mark| mark.outstanding_lines()).sum();
        let mark = &mut self.pending_barriers[0];
        // Messages of one answer go in the order of their proxies.
        let behind: f64 = mark.unacknowledged.range(proxy..).skip(1).map(|(_, lines)| lines).sum();
        let (waited, ordered_at, reached) =
            (mark.queued_lines - behind, mark.sent_at, mark.total_lines - behind);
        left += std::mem::take(&mut mark.lines_before) + mark.unacknowledged.remove(&proxy).unwrap_or(0.0);
        if mark.unacknowledged.is_empty() {
            self.pending_barriers.pop_front();
        }
        self.remove_drained(left, now);
        self.expired_barriers = 0;
        self.measure_drain_rate(now, ordered_at, reached, span);
        Some(waited)
    }

    /// Measures the pace from answer to answer, as long as the channel is never empty: of all lines
    /// `reached` have left.
    fn measure_drain_rate(&mut self, now: Timestamp, ordered_at: Timestamp, reached: f64, span: f64) {
        let secs = now.since(self.measurement_started_at);
        let never_empty = ordered_at <= self.measurement_started_at;
        // A proxy may answer late, after others that were sent more.
        if reached <= self.measurement_start_lines || never_empty && secs <= span {
            return;
        }
        self.measured_drain_rate_per_s =
            if never_empty { (reached - self.measurement_start_lines) / secs } else { 0.0 };
        (self.measurement_started_at, self.measurement_start_lines) = (now, reached);
    }

    /// How long nothing was heard of the oldest mark, if there is one. Where no pace is measured the
    /// `usual` one counts.
    pub(crate) fn acknowledgement_silence(
        &self,
        now: Timestamp,
        proxies: &BTreeMap<ProxyId, Proxy>,
        usual: f64,
    ) -> Option<AcknowledgementSilence> {
        let mark = self.pending_barriers.front()?;
        let pace = if self.measured_drain_rate_per_s > 0.0 {
            usual.min(self.measured_drain_rate_per_s)
        } else {
            usual
        };
        let answers_come = self.last_acknowledged_at > Timestamp(0) && self.expired_barriers == 0;
        Some(AcknowledgementSilence {
            silent_s: now.since(self.last_acknowledged_at.max(mark.sent_at)),
            drain_s: mark.outstanding_lines() / pace,
            acknowledgement_expected: answers_come
                && self.pending_barriers.iter().any(|mark| mark.can_be_acknowledged(proxies)),
        })
    }

    /// Counts the oldest mark's lines as gone, unanswered. The last measurement counts for less each time:
    /// answers may never come again.
    pub(crate) fn expire_oldest_barrier(&mut self, now: Timestamp) {
        let left = self.pending_barriers.pop_front().map_or(0.0, |mark| mark.outstanding_lines());
        self.remove_drained(left, now);
        self.expired_barriers = self.expired_barriers.saturating_add(1);
        self.measured_drain_rate_per_s *= 2.0;
    }

    fn remove_drained(&mut self, lines: f64, now: Timestamp) {
        (self.queued_lines, self.last_acknowledged_at) = ((self.queued_lines - lines).max(0.0), now);
    }
}
