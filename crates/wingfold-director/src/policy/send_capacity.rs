//! Send capacity: how much may be under way to the proxies at once, by the priority of a message.
use crate::director::Director;
use crate::interface::{Action, Micros, ProxyId, Timestamp};

/// A barrier is sent once this ratio of the in-flight limit went without one.
pub(crate) const BARRIER_INTERVAL_RATIO: f64 = 0.02;
/// A barrier expires once its lines would have left at this ratio of the drain rate last measured,
pub(crate) const MIN_DRAIN_RATE_RATIO: f64 = 0.25;
/// in so many seconds at most,
pub(crate) const MAX_DRAIN_WAIT_S: f64 = 15.0;
/// and after this many seconds more while acknowledgements come, since single ones may be lost,
pub(crate) const ACKNOWLEDGEMENT_TIMEOUT_S: f64 = 6.0;
/// or after this many where none come.
pub(crate) const SILENT_ACKNOWLEDGEMENT_TIMEOUT_S: f64 = 1.0;
/// Seconds of sending that may wait in the queue, where no message overtakes another: more is held back here.
const MAX_QUEUED_S: f64 = 2.0;
/// Seconds of sending that must have waited before a message for its time to tell the drain rate.
const MIN_RATE_SAMPLE_S: f64 = 0.25;
/// How urgent a message is: the ratio of the in-flight limit, and of the messages to a proxy, that it may
/// use.
pub(crate) type PushPriority = (f64, f64);
/// A host that drains leaves a table.
pub(crate) const DRAIN_PRIORITY: PushPriority = (0.9, 1.0);
/// A proxy gets its first tables.
pub(crate) const ASSIGNMENT_PRIORITY: PushPriority = (0.8, 0.9);
/// A host that was ejected or has just started loses weight.
pub(crate) const HEALTH_PRIORITY: PushPriority = (0.5, 0.7);
/// Any other change.
pub(crate) const ORDINARY_PRIORITY: PushPriority = (0.25, 0.4);
/// A standby entry.
pub(crate) const STANDBY_PRIORITY: PushPriority = (0.1, 0.25);

impl Director {
    /// Lines a second that the channel sends at present.
    pub(crate) fn drain_rate_per_s(&self) -> f64 {
        match self.send_queue.drain_rate_per_s > 0.0 {
            true => self.send_queue.drain_rate_per_s,
            false => self.settings.send_rate_lines_per_s,
        }
    }

    /// Lines that may be under way for orders of an urgency: those waiting in the channel and those past it.
    pub(crate) fn in_flight_limit(&self, (queue, _): PushPriority) -> f64 {
        let pace = self.drain_rate_per_s();
        (queue * self.settings.max_queued_lines)
            .min(pace * (queue * MAX_QUEUED_S + self.settings.mean_push_delay.secs()))
    }

    /// Whether orders of `lines` lines to each of some proxies may go now.
    pub(crate) fn has_capacity(&self, urgency: PushPriority, lines: usize, users: &[ProxyId]) -> bool {
        let most = urgency.1 * self.settings.max_messages_per_proxy as f64;
        let recent = |at: &&Timestamp| self.now.since(**at) <= self.settings.message_window.secs();
        let free = |id: &ProxyId| {
            let sent = || self.proxies[id].send_times.iter().filter(recent).count() as f64;
            most == 0.0 || self.pending_messages.contains_key(id) || sent() + 1.0 <= most
        };
        let lines = (lines as f64 + self.message_head_lines()) * users.len() as f64;
        self.send_queue.queued_lines + lines <= self.in_flight_limit(urgency) && users.iter().all(free)
    }

    /// Lines that a message counts besides its own: its head, and a mark if it has one.
    pub(crate) fn message_head_lines(&self) -> f64 {
        self.settings.message_overhead_lines + 1.0
    }

    /// Counts what goes to some proxies: all that one answer sends a proxy is one message.
    pub(crate) fn record_messages(&mut self, lines: usize, users: &[ProxyId]) {
        let head = self.message_head_lines();
        for id in users {
            let first = !self.pending_messages.contains_key(id);
            let counted = lines as f64 + if first { head } else { 0.0 };
            *self.pending_messages.entry(*id).or_default() += counted;
            self.send_queue.queued_lines += counted;
            let Some(proxy) = self.proxies.get_mut(id).filter(|_| first) else { continue };
            proxy.send_times.push_back(self.now);
            proxy.send_times.drain(
                ..proxy.send_times.len().saturating_sub(self.settings.max_messages_per_proxy as usize),
            );
        }
    }

    /// Books the messages of one answer, with a mark in each once more than `most` lines have gone without
    /// one.
    pub(crate) fn finish_messages(&mut self, most: f64, out: &mut Vec<Action>) {
        let sending = std::mem::take(&mut self.pending_messages);
        let unmarked = self.send_queue.lines_since_barrier + sending.values().sum::<f64>();
        let marked = unmarked > most && !sending.is_empty();
        if marked {
            self.send_queue.last_barrier = (self.send_queue.last_barrier + 1) % 65_536;
            out.push(Action::Barrier { all_proxies: false, number: self.send_queue.last_barrier });
        }
        self.send_queue.record_sent(self.now, sending, marked);
    }

    /// Takes in that a proxy has applied a barrier, and what that tells of the drain rate.
    pub(crate) fn record_acknowledgement(&mut self, proxy: ProxyId, barrier: u64, elapsed: Micros) {
        let nominal_rate = self.settings.send_rate_lines_per_s;
        let min_measurement_s = 2.0 * self.settings.max_push_delay.secs();
        let waited = self.send_queue.acknowledge(self.now, proxy, barrier, min_measurement_s);
        let min_lines = MIN_RATE_SAMPLE_S * self.drain_rate_per_s();
        let Some(lines) = waited.filter(|lines| *lines > min_lines) else { return };
        // What waited before the message, over its time without the way, is the drain rate.
        let queued_s = (elapsed.secs() - self.settings.mean_push_delay.secs()).max(0.0);
        let known_rate = self.drain_rate_per_s();
        let sample = (lines / queued_s).min(nominal_rate);
        self.send_queue.drain_rate_per_s = known_rate + 0.1 * (sample - known_rate);
    }

    /// Gives up on the oldest barrier if it should have been acknowledged long ago.
    pub(crate) fn expire_barriers(&mut self) {
        let nominal_rate = self.settings.send_rate_lines_per_s;
        let Some(silence) = self.send_queue.acknowledgement_silence(self.now, &self.proxies, nominal_rate)
        else {
            return;
        };
        let timeout_s = match silence.acknowledgement_expected {
            true => ACKNOWLEDGEMENT_TIMEOUT_S,
            false => SILENT_ACKNOWLEDGEMENT_TIMEOUT_S,
        };
        let way_s = self.settings.max_push_delay.secs() + timeout_s;
        let drain_s = (silence.drain_s / MIN_DRAIN_RATE_RATIO).min(MAX_DRAIN_WAIT_S);
        if silence.silent_s > way_s + drain_s {
            self.send_queue.expire_oldest_barrier(self.now);
        }
    }
}
