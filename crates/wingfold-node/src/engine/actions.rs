//! Calls the decision module and carries out its actions.

use super::Engine;
use crate::discovery::DiscoveryCommand;
use crate::message::{self, Outbound, ProxyUpdatePart};
use crate::outbox::SlowReader;
use crate::tables::ProxyUpdate;
use crate::{invariant, log, stage};
use std::time::Instant;
use wingfold_director::interface::{Action, Event, Timestamp};
use wingfold_metrics::meter::CallCounts;

/// Limit of the protocol on the parts of one message.
const MAX_PARTS_PER_MESSAGE: usize = 64;

/// Totals of the updates that one decision sends.
#[derive(Clone, Copy, Debug)]
struct SendTotals {
    messages: usize,
    lines: usize,
    /// Estimated lines in the send queue, including the lines of this decision.
    queued_lines: f64,
}

impl Engine {
    /// Calls the decision module once with `events` and carries out its actions. Empties both buffers.
    pub(super) fn decide(&mut self, now: Timestamp, events: &mut Vec<Event>, actions: &mut Vec<Action>) {
        let started_at = Instant::now();
        let broken_before = self.metrics.invariants_broken_total.get();
        self.calls += 1;
        let updates = self.call_director(now, events, actions);
        let totals = self.add_to_send_queue(now, &updates);
        self.send_updates(updates, started_at);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.metrics.hosts_known.set(self.addresses.len() as u64);
        self.record_decision(now, started_at, totals);
        if self.metrics.invariants_broken_total.get() > broken_before {
            self.dump_capture();
        }
    }

    /// Calls the decision module, records the call, and returns the updates for the proxies.
    fn call_director(
        &mut self,
        now: Timestamp,
        events: &mut Vec<Event>,
        actions: &mut Vec<Action>,
    ) -> Vec<ProxyUpdate> {
        if let Some(reporter) = &mut self.metrics_reporter {
            reporter.record_events(now, events);
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.before_call(now, &self.director);
        }
        let _stage = stage!("route", call = self.calls).entered();
        self.director.handle(now, events, actions);
        if let Some(recorder) = &mut self.recorder {
            recorder.after_call(now, events, actions, self.director.digest());
            self.metrics.capture_calls_lost_total.set(recorder.dropped_calls());
        }
        self.metrics.events_most.raise_to(events.len() as u64);
        events.clear();
        self.tables.apply(actions)
    }

    /// Adds the updates to the estimate of the send queue, and checks the estimate against its limit.
    fn add_to_send_queue(&mut self, now: Timestamp, updates: &[ProxyUpdate]) -> SendTotals {
        let messages = updates.len();
        let lines = updates.iter().map(ProxyUpdate::queue_lines).sum();
        let queued_lines = self.send_queue.enqueue(now, messages, lines);
        self.metrics.channel_lines.set(queued_lines as u64);
        self.metrics.channel_lines_most.raise_to(queued_lines as u64);
        let limit = self.send_queue.max_queued_lines();
        invariant!(
            self.metrics,
            queued_lines <= limit,
            "{queued_lines:.0} lines are queued, the limit is {limit:.0}"
        );
        SendTotals { messages, lines, queued_lines }
    }

    fn send_updates(&self, updates: Vec<ProxyUpdate>, decided_at: Instant) {
        let _stage = stage!("send", call = self.calls).entered();
        for update in updates {
            self.send_update(update, decided_at);
        }
    }

    /// Encodes one update and queues it on the stream of its proxy. Closes the stream of a slow reader.
    fn send_update(&self, update: ProxyUpdate, decided_at: Instant) {
        let Some(connection) = self.connections.get(&update.proxy) else { return };
        let parts = update.parts.len();
        let lines = update.queue_lines();
        invariant!(
            self.metrics,
            parts <= MAX_PARTS_PER_MESSAGE,
            "an update has {parts} parts, the limit is {MAX_PARTS_PER_MESSAGE}"
        );
        for part in &update.parts {
            self.check_part(part);
        }
        let encode = |part| message::encode(&Outbound::ProxyUpdatePart(part));
        let frames = update.parts.into_iter().map(encode).collect();
        if let Err(SlowReader) = connection.send_decision(frames, decided_at) {
            tracing::warn!(proxy = update.proxy.0, "slow reader, closing its stream");
            self.metrics.readers_slow_total.increment();
            connection.close();
            return;
        }
        self.metrics.messages_out_total.increment();
        self.metrics.parts_out_total.add(parts as u64);
        self.metrics.lines_out_total.add(lines as u64);
    }

    /// Checks a part for faults that would make a proxy reset its stream: invalid numbers and unknown hosts.
    fn check_part(&self, part: &ProxyUpdatePart) {
        let valid_weights = part.entries.iter().all(|entry| is_valid_number(entry.weight));
        let valid_level = part.admission.is_none_or(|admission| is_valid_number(admission.level));
        invariant!(
            self.metrics,
            valid_weights && valid_level,
            "an update holds a number that is negative or not finite"
        );
        let in_entries = part.entries.iter().map(|entry| &entry.host);
        let mut hosts = in_entries.chain(&part.ejected).chain(&part.restored);
        let all_listed = hosts.all(|host| self.addresses.get(host).is_some());
        invariant!(self.metrics, all_listed, "an update names a host that discovery has never listed");
    }

    /// Carries out one action. Table actions need nothing more: they have been sent as updates already.
    fn carry_out(&mut self, action: Action) {
        match action {
            // Sending fails only once the discovery task has ended, and that ends only with the director.
            Action::WatchEndpoints(watch) => {
                drop(self.discovery_commands.send(DiscoveryCommand::SetWatching(watch)))
            }
            Action::FetchEndpoints => drop(self.discovery_commands.send(DiscoveryCommand::Fetch)),
            Action::SetTimer { at, token } => self.timers.set(at, token),
            Action::CheckHealth(host) => {
                let target = self.addresses.get(&host.0).cloned();
                self.health_checker.check(host, target);
            }
            Action::SendToPeer { to, message } => {
                if let Some(peer_sender) = &self.peer_sender {
                    peer_sender.send(to, &message);
                }
            }
            Action::EvictHost(host) => {
                self.addresses.remove(&host.0);
                self.tables.evict_host(&host);
            }
            // A notice may quote names from outside the process: `plain` limits the length of the text and
            // replaces control characters.
            Action::Notice(notice) => {
                tracing::info!(call = self.calls, "{}", log::sanitize(&notice.to_string()))
            }
            Action::SetEntry { .. }
            | Action::ClearTable(_)
            | Action::AssignTable { .. }
            | Action::SetEjected { .. }
            | Action::SetAdmission { .. }
            | Action::Barrier { .. } => {}
        }
    }

    /// Counts a decision and its duration, and passes its figures to the metrics reporter.
    fn record_decision(&mut self, now: Timestamp, started_at: Instant, totals: SendTotals) {
        let duration_us = started_at.elapsed().as_micros() as u64;
        self.metrics.answers_total.increment();
        self.metrics.answer_us_total.add(duration_us);
        if let Some(reporter) = &mut self.metrics_reporter {
            let _stage = stage!("book", call = self.calls).entered();
            reporter.meter.record_call(CallCounts {
                duration_us,
                messages: totals.messages,
                lines: totals.lines,
                queued_lines: totals.queued_lines,
            });
            reporter.finish_call(now, &self.director, &self.metrics);
        }
    }

    /// Writes the captured calls that led to a broken invariant to a file.
    fn dump_capture(&self) {
        if let Some(capture_dumper) = &self.capture_dumper {
            capture_dumper.dump_after_invariant();
        }
    }
}

fn is_valid_number(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
