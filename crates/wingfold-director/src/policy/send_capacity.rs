//! Send capacity: how many lines may be in flight to the proxies at once, by the priority of a message.
//!
//! The size of a message is counted in lines, as the settings limit it: each table entry, admission level
//! and barrier is one line, and each message adds a fixed overhead.
use crate::director::Director;
use crate::interface::{Action, Micros, ProxyId};
use crate::policy::message_limit::MessageBudget;

/// Ratio of the in-flight limit that is sent without a barrier before messages carry the next one.
pub(crate) const BARRIER_INTERVAL_RATIO: f64 = 0.02;
/// Slowest drain rate for which a barrier does not expire too early, as a ratio of the last measured rate.
const MIN_DRAIN_RATE_RATIO: f64 = 0.25;
/// Longest time in seconds that a barrier's lines are given to leave the send queue.
const MAX_DRAIN_WAIT_S: f64 = 15.0;
/// Seconds after its delivery within which a barrier must be acknowledged if acknowledgements are expected.
/// Single acknowledgements may be lost, and the acknowledgement of a later barrier makes up for them.
const ACKNOWLEDGEMENT_TIMEOUT_S: f64 = 6.0;
/// Seconds after its delivery after which a barrier expires if no acknowledgement is expected.
const SILENT_ACKNOWLEDGEMENT_TIMEOUT_S: f64 = 1.0;
/// Lines that the send queue may hold, in seconds of sending. No message overtakes another in the queue, so
/// an urgent one waits until all lines before it are sent.
const MAX_QUEUED_S: f64 = 2.0;
/// Lines that must have been in the queue when a barrier was sent for its delay to show the drain rate, in
/// seconds of sending.
const MIN_RATE_SAMPLE_S: f64 = 0.25;
/// Weight of the latest sample in the exponential smoothing of the drain rate.
const DRAIN_RATE_SMOOTHING_FACTOR: f64 = 0.1;
/// Barrier numbers are counted modulo this.
const BARRIER_NUMBER_MODULUS: u64 = 65_536;

/// How urgent a message is. A more urgent message may use more of the limits that all messages share.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct PushPriority {
    /// Ratio of the in-flight limit that lines in flight may reach, those of this message included.
    in_flight_ratio: f64,
    /// Ratio of the limit on messages to one proxy that may be reached within the message window, this
    /// message included.
    message_ratio: f64,
}

impl PushPriority {
    /// A host that drains is removed from a table.
    pub(crate) const DRAIN: PushPriority = PushPriority { in_flight_ratio: 0.9, message_ratio: 1.0 };
    /// A proxy gets its first tables.
    pub(crate) const ASSIGNMENT: PushPriority = PushPriority { in_flight_ratio: 0.8, message_ratio: 1.0 };
    /// A host that was ejected or has just started loses weight.
    pub(crate) const HEALTH: PushPriority = PushPriority { in_flight_ratio: 0.5, message_ratio: 0.7 };
    /// Any other change of an entry or an admission level.
    pub(crate) const ORDINARY: PushPriority = PushPriority { in_flight_ratio: 0.25, message_ratio: 0.4 };
    /// A standby entry is added.
    pub(crate) const STANDBY: PushPriority = PushPriority { in_flight_ratio: 0.1, message_ratio: 0.25 };

    /// Ratio of the limit on messages to one proxy that may be reached within the message window.
    pub(crate) fn message_ratio(self) -> f64 {
        self.message_ratio
    }

    /// The more urgent of two priorities.
    pub(crate) fn most_urgent(self, other: PushPriority) -> PushPriority {
        if other > self {
            other
        } else {
            self
        }
    }
}

impl Director {
    /// Lines per second that leave the send queue: as measured, or the send rate of the settings before the
    /// first measurement.
    pub(crate) fn drain_rate_per_s(&self) -> f64 {
        if self.send_queue.drain_rate_per_s > 0.0 {
            self.send_queue.drain_rate_per_s
        } else {
            self.settings.send_rate_lines_per_s
        }
    }

    /// Lines that may be in flight for messages of a priority: those in the send queue and those that have
    /// left it and are not delivered yet.
    pub(crate) fn in_flight_limit(&self, priority: PushPriority) -> f64 {
        let ratio = priority.in_flight_ratio;
        let delivery_s = self.settings.mean_push_delay.secs();
        (ratio * self.settings.max_queued_lines)
            .min(self.drain_rate_per_s() * (ratio * MAX_QUEUED_S + delivery_s))
    }

    /// Whether `lines` lines may be sent to each of `proxies` now.
    pub(crate) fn has_capacity(
        &self,
        priority: PushPriority,
        budget: MessageBudget,
        lines: usize,
        proxies: &[ProxyId],
    ) -> bool {
        let new_lines = (lines as f64 + self.lines_per_message()) * proxies.len() as f64;
        self.send_queue.queued_lines + new_lines <= self.in_flight_limit(priority)
            && self.may_get_messages(priority, budget, proxies)
    }

    /// Whether the limit on the messages to one proxy admits another message to each of `proxies`. Lines for
    /// a proxy that already gets a message in this evaluation are added to that message, which the limit
    /// always admits.
    fn may_get_messages(&self, priority: PushPriority, budget: MessageBudget, proxies: &[ProxyId]) -> bool {
        let Some(limit) = self.message_limit() else { return true };
        proxies.iter().filter(|proxy| !self.pending_messages.contains_key(proxy)).all(|proxy| {
            let send_times = &self.proxies[proxy].send_times;
            limit.admits(self.now, send_times, priority, budget)
        })
    }

    /// Lines that each message counts for in addition to its changes: its overhead, and one line for a
    /// barrier, whether or not the message carries one.
    pub(crate) fn lines_per_message(&self) -> f64 {
        self.settings.message_overhead_lines + 1.0
    }

    /// Records that `lines` lines are sent to each of `proxies`. All lines for a proxy in one evaluation form
    /// one message.
    pub(crate) fn record_messages(&mut self, lines: usize, proxies: &[ProxyId]) {
        let message_lines = self.lines_per_message();
        for id in proxies {
            let is_first = !self.pending_messages.contains_key(id);
            let overhead = if is_first { message_lines } else { 0.0 };
            let sent_lines = lines as f64 + overhead;
            *self.pending_messages.entry(*id).or_default() += sent_lines;
            self.send_queue.queued_lines += sent_lines;
            if is_first {
                self.record_send_time(*id);
            }
        }
    }

    /// Completes the messages of this evaluation. Each carries a barrier once more than `barrier_interval`
    /// lines have been sent without one.
    pub(crate) fn finish_messages(&mut self, barrier_interval: f64, out: &mut Vec<Action>) {
        let messages = std::mem::take(&mut self.pending_messages);
        let lines_since_barrier = self.send_queue.lines_since_barrier + messages.values().sum::<f64>();
        let has_barrier = lines_since_barrier > barrier_interval && !messages.is_empty();
        if has_barrier {
            self.send_queue.last_barrier = (self.send_queue.last_barrier + 1) % BARRIER_NUMBER_MODULUS;
            out.push(Action::Barrier { all_proxies: false, number: self.send_queue.last_barrier });
        }
        self.send_queue.record_sent(self.now, messages, has_barrier);
    }

    /// Records that a proxy has acknowledged a barrier, `elapsed` after the barrier was sent, and updates the
    /// drain rate by this delay.
    pub(crate) fn record_acknowledgement(&mut self, proxy: ProxyId, barrier: u64, elapsed: Micros) {
        let nominal_rate = self.settings.send_rate_lines_per_s;
        let min_measurement_s = 2.0 * self.settings.max_push_delay.secs();
        let queued_lines = self.send_queue.acknowledge(self.now, proxy, barrier, min_measurement_s);
        let min_lines = MIN_RATE_SAMPLE_S * self.drain_rate_per_s();
        let Some(queued_lines) = queued_lines.filter(|lines| *lines > min_lines) else { return };
        let queued_s = (elapsed.secs() - self.settings.mean_push_delay.secs()).max(0.0);
        let known_rate = self.drain_rate_per_s();
        let sample = (queued_lines / queued_s).min(nominal_rate);
        self.send_queue.drain_rate_per_s = known_rate + DRAIN_RATE_SMOOTHING_FACTOR * (sample - known_rate);
    }

    /// Expires the oldest barrier if its acknowledgement is overdue.
    pub(crate) fn expire_barriers(&mut self) {
        let nominal_rate = self.settings.send_rate_lines_per_s;
        let wait = self.send_queue.oldest_barrier_wait(self.now, &self.proxies, nominal_rate);
        let Some(wait) = wait else { return };
        let timeout_s = if wait.acknowledgement_expected {
            ACKNOWLEDGEMENT_TIMEOUT_S
        } else {
            SILENT_ACKNOWLEDGEMENT_TIMEOUT_S
        };
        let delivery_s = self.settings.max_push_delay.secs() + timeout_s;
        let drain_s = (wait.drain_s / MIN_DRAIN_RATE_RATIO).min(MAX_DRAIN_WAIT_S);
        if wait.waited_s > delivery_s + drain_s {
            self.send_queue.expire_oldest_barrier(self.now);
        }
    }
}
