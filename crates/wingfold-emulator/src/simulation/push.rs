//! Pushes table changes to proxies through a director's send queue; the proxies acknowledge barriers.

use super::event::SimulationEvent;
use super::Simulation;
use crate::proxy::ClassRoute;
use rand_distr::{Distribution, Exp};
use std::collections::BTreeMap;
use wingfold_director::interface::*;

/// How long the acknowledgement of a barrier takes from a proxy to its director.
const ACKNOWLEDGEMENT_DELAY: Micros = Micros(2_000);
/// Lower bound of the mean push delay, because an exponential distribution needs a mean above 0.
const MIN_MEAN_PUSH_DELAY_S: f64 = 1e-6;
const MICROS_PER_S: f64 = 1e6;

/// The number of table entries to send, by proxy.
type EntryCounts = BTreeMap<usize, usize>;

impl Simulation<'_> {
    /// Counts the table entries that actions require to be sent to each connected proxy, and records changed
    /// assignments of tables.
    pub(super) fn count_entries_by_proxy(&mut self, director: usize, actions: &[Action]) -> EntryCounts {
        let connected = self.connected_proxies(director);
        let mut counts = EntryCounts::new();
        for action in actions {
            self.add_entry_counts(director, action, &connected, &mut counts);
        }
        counts.retain(|proxy, _| self.proxies[*proxy].director == Some(director));
        counts
    }

    fn connected_proxies(&self, director: usize) -> Vec<usize> {
        (0..self.proxies.len()).filter(|proxy| self.proxies[*proxy].director == Some(director)).collect()
    }

    /// Adds the entries that one action requires to be sent.
    fn add_entry_counts(
        &mut self,
        director: usize,
        action: &Action,
        connected: &[usize],
        counts: &mut EntryCounts,
    ) {
        let node = &mut self.directors[director];
        match action {
            Action::SetEntry { table, .. }
            | Action::ClearTable(table)
            | Action::SetAdmission { table: Some(table), .. } => {
                for proxy in node.table_users.get(table).into_iter().flatten() {
                    *counts.entry(*proxy).or_default() += 1;
                }
            }
            Action::AssignTable { proxy, table, .. } => {
                let proxy = proxy.0 as usize;
                *counts.entry(proxy).or_default() += 1 + node.table_size(*table);
                node.refresh_table_users(proxy);
            }
            Action::SetAdmission { table: None, .. }
            | Action::SetEjected { .. }
            | Action::Barrier { all_proxies: true, .. } => {
                for proxy in connected {
                    *counts.entry(*proxy).or_default() += 1;
                }
            }
            _ => {}
        }
    }

    /// Sends each proxy one message with its entries and all barriers; the proxy acknowledges the barriers.
    pub(super) fn push_to_proxies(&mut self, director: usize, entry_counts: EntryCounts, barriers: &[u64]) {
        for (proxy, entries) in entry_counts {
            let arrives_at = self.push_routes(director, proxy, entries + barriers.len());
            if !barriers.is_empty() {
                self.schedule_acknowledgements(director, proxy, arrives_at, barriers);
            }
        }
    }

    /// Schedules the acknowledgements of the barriers in a message that arrives at a proxy at `arrives_at`.
    fn schedule_acknowledgements(
        &mut self,
        director: usize,
        proxy: usize,
        arrives_at: Timestamp,
        barriers: &[u64],
    ) {
        let elapsed = Micros(arrives_at.0 - self.now.0);
        let acknowledged =
            |barrier: &u64| Event::Acknowledged { proxy: ProxyId(proxy as u32), barrier: *barrier, elapsed };
        let events = barriers.iter().map(acknowledged).collect();
        let incarnation = self.directors[director].incarnation;
        let received = SimulationEvent::DirectorReceives { director, incarnation, events };
        self.schedule_at(arrives_at + ACKNOWLEDGEMENT_DELAY, received);
    }

    /// Sends a proxy all its routes in one message that costs `entries` entries, and returns when the message
    /// arrives.
    fn push_routes(&mut self, director: usize, proxy: usize, entries: usize) -> Timestamp {
        let delay = self.random_push_delay();
        let sent_at = self.enqueue_message(director, entries);
        let last_arrival_at = self.directors[director].last_arrivals.entry(proxy).or_default();
        // Messages to the same proxy do not overtake each other.
        let arrives_at = (sent_at + delay).max(*last_arrival_at);
        *last_arrival_at = arrives_at;
        let routes = self.routes_of(director, proxy);
        let stream = self.proxies[proxy].stream;
        self.schedule_at(arrives_at, SimulationEvent::RoutesReachProxy { proxy, stream, routes });
        arrives_at
    }

    fn random_push_delay(&mut self) -> Micros {
        let settings = &self.scenario.settings;
        let mean_s = settings.mean_push_delay.secs().max(MIN_MEAN_PUSH_DELAY_S);
        let delay_s = Exp::new(1.0 / mean_s).expect("the mean is above 0").sample(&mut self.rng);
        Micros::from_secs(delay_s.min(settings.max_push_delay.secs()))
    }

    /// Appends a message to a director's send queue, and returns when the message will have been sent.
    fn enqueue_message(&mut self, director: usize, entries: usize) -> Timestamp {
        let settings = &self.scenario.settings;
        let node = &mut self.directors[director];
        let cost = entries as f64 + settings.message_overhead_lines;
        let send_time = Micros((cost / settings.send_rate_lines_per_s * MICROS_PER_S) as u64);
        node.send_queue_empty_at = node.send_queue_empty_at.max(self.now) + send_time;
        let queued_entries = node.send_queue_empty_at.since(self.now) * settings.send_rate_lines_per_s;
        let margins = &mut self.result.margins;
        margins.queued_entries_ratio =
            margins.queued_entries_ratio.max(queued_entries / settings.max_queued_lines);
        self.result.messages_sent += 1;
        self.result.entries_sent += entries as u64;
        node.send_queue_empty_at
    }

    /// The routes of a proxy by class, according to the present tables of its director.
    fn routes_of(&self, director: usize, proxy: usize) -> Vec<ClassRoute> {
        let node = &self.directors[director];
        let current = self.proxies[proxy].routes.iter().enumerate();
        current.map(|(class, route)| node.route(proxy, class, route)).collect()
    }
}
