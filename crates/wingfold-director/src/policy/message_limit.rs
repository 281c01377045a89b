//! The limit on the messages to one proxy, and how long the removal of a draining host may wait, so that one
//! message removes several hosts.
//!
//! Hosts may drain one after another for as long as a deployment takes. Each removal must reach its proxies
//! within the drain grace, while the limit admits only so many messages within its window. A message is
//! therefore sent at once only if the messages that remain suffice for one removal after the other, for as
//! long as earlier messages count.
//!
//! The interval between these removals follows from the settings alone. If it grew and shrank with the send
//! queue, messages that left enough of the limit when they were sent would leave too few a moment later.
use crate::director::Director;
use crate::interface::{Micros, ProxyId, Timestamp};
use crate::policy::send_capacity::PushPriority;
use crate::state::{EntryChange, Proxy, Table};
use std::collections::VecDeque;

/// Seconds of the drain grace that a removal does not wait, for timers that fire late.
const TIMER_DELAY_S: f64 = 0.05;

/// Interval of the messages that are kept for removals, as a ratio of the drain grace less the longest push
/// delay. The rest is for the queue.
const DRAIN_INTERVAL_RATIO: f64 = 0.75;

/// Which of the messages that the limit admits a push may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum MessageBudget {
    /// Those that later removals of draining hosts do not need.
    Surplus,
    /// All of them, since the push cannot wait any longer.
    Full,
}

/// The limit on the messages to one proxy.
pub(crate) struct MessageLimit {
    /// Messages to one proxy that are admitted within the window.
    max_messages: f64,
    /// Length of the window in seconds.
    window_s: f64,
    /// Seconds between two messages to one proxy for which messages are kept.
    drain_interval_s: f64,
}

impl MessageLimit {
    /// Whether another message may be sent to a proxy now, after those at `send_times`, oldest first.
    pub(crate) fn admits(
        &self,
        now: Timestamp,
        send_times: &VecDeque<Timestamp>,
        priority: PushPriority,
        budget: MessageBudget,
    ) -> bool {
        let ages = send_times.iter().rev().map(|sent_at| now.since(*sent_at));
        let recent_ages: Vec<f64> = ages.filter(|age_s| *age_s <= self.window_s).collect();
        let is_within_ratio = recent_ages.len() as f64 + 1.0 <= priority.message_ratio() * self.max_messages;
        is_within_ratio && (budget == MessageBudget::Full || self.has_surplus(&recent_ages))
    }

    /// Whether a message that is sent now leaves enough messages for later removals. `recent_ages` are the
    /// ages in seconds of the messages within the window, newest first.
    fn has_surplus(&self, recent_ages: &[f64]) -> bool {
        recent_ages.iter().enumerate().all(|(newer_messages, age_s)| {
            let removals_until_expiry = ((self.window_s - age_s) / self.drain_interval_s).floor();
            let sent_messages = newer_messages as f64 + 2.0;
            sent_messages + removals_until_expiry <= self.max_messages
        })
    }
}

impl Director {
    /// The limit on the messages to one proxy; `None` if the settings have no limit.
    pub(crate) fn message_limit(&self) -> Option<MessageLimit> {
        let max_messages = f64::from(self.settings.max_messages_per_proxy);
        if max_messages == 0.0 {
            return None;
        }
        let window_s = self.settings.message_window.secs();
        let longest_wait_s = self.settings.drain_grace.secs() - self.settings.max_push_delay.secs();
        let drain_interval_s = (DRAIN_INTERVAL_RATIO * longest_wait_s).max(window_s / max_messages);
        Some(MessageLimit { max_messages, window_s, drain_interval_s })
    }

    /// Seconds for which it may take to send a message after the endpoint list has shown that a host drains:
    /// what is left of the drain grace if `messages` messages of `lines` lines are sent together.
    fn longest_drain_wait_s(&self, lines: usize, messages: usize) -> f64 {
        let new_lines = (lines as f64 + self.lines_per_message()) * messages as f64;
        let queueing_s = (self.send_queue.queued_lines + new_lines) / self.drain_rate_per_s();
        let delivery_s = queueing_s + self.settings.max_push_delay.secs();
        (self.settings.drain_grace.secs() - delivery_s - TIMER_DELAY_S).max(0.0)
    }

    /// When the first removal of a draining host among `changes` must be sent in a message of `lines` lines;
    /// `None` if there is no such removal, or no limit that a removal would wait for. A host of an earlier
    /// checkpoint, which lacks the time since when it is not ready, is due at once.
    pub(crate) fn drain_due_at(&self, changes: &[EntryChange], lines: usize) -> Option<Timestamp> {
        if self.settings.max_messages_per_proxy == 0 {
            return None;
        }
        let removals = changes.iter().filter(|change| change.lowers_weight());
        let draining = removals.map(|change| &self.hosts[&change.host]).filter(|host| !host.is_ready());
        let first_told_at = draining.map(|host| host.not_ready_since.unwrap_or_default()).min()?;
        let longest_wait_s = self.longest_drain_wait_s(lines, self.proxies.len());
        Some(first_told_at + Micros::from_secs(longest_wait_s))
    }

    /// The messages that a push may use if it must be sent by `due_at`; `None` if it may wait.
    pub(crate) fn message_budget(&self, due_at: Option<Timestamp>) -> MessageBudget {
        if due_at.is_some_and(|due_at| due_at <= self.now) {
            MessageBudget::Full
        } else {
            MessageBudget::Surplus
        }
    }

    /// When a connected proxy, which may still use hosts that drain, must be assigned tables in a message of
    /// `lines` lines; `None` if it has tables, or if there is no limit that the assignment would wait for.
    /// `waiting_proxies` is the number of proxies that wait for an assignment.
    pub(crate) fn assignment_due_at(
        &self,
        proxy: &Proxy,
        lines: usize,
        waiting_proxies: usize,
    ) -> Option<Timestamp> {
        if self.settings.max_messages_per_proxy == 0 || proxy.subset.is_some() {
            return None;
        }
        let longest_wait_s = self.longest_drain_wait_s(lines, waiting_proxies);
        Some(proxy.connected_at + Micros::from_secs(longest_wait_s))
    }

    /// Whether draining hosts are still to be removed from `tables`, where a limit lets removals wait.
    pub(crate) fn await_removals(&self, tables: &[Table]) -> bool {
        let mut hosts = tables.iter().flat_map(|table| table.entries.keys());
        self.settings.max_messages_per_proxy > 0 && hosts.any(|host| !self.hosts[host].is_ready())
    }

    /// Schedules an evaluation for the time at which a message that waits is due.
    pub(crate) fn evaluate_by(&mut self, due_at: Option<Timestamp>) {
        let Some(due_at) = due_at.filter(|due_at| *due_at > self.now) else { return };
        self.next_evaluation_at = self.next_evaluation_at.min(due_at);
    }

    /// Records that a message is sent to a proxy now. No more send times are kept than the limit on messages
    /// to one proxy.
    pub(crate) fn record_send_time(&mut self, id: ProxyId) {
        let max_messages = self.settings.max_messages_per_proxy as usize;
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        proxy.send_times.push_back(self.now);
        let surplus = proxy.send_times.len().saturating_sub(max_messages);
        proxy.send_times.drain(..surplus);
    }
}
