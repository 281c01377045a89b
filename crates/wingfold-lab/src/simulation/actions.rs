//! Carries out a director's actions: rules for its proxies, timers, lists that it asks for, messages to peers.

use super::event::SimulationEvent;
use super::Simulation;
use crate::proxy::{HostWeights, RoutingRule};
use crate::results::LogLine;
use rand_distr::{Distribution, Exp};
use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::*;

/// Lines of all logs that are kept.
const MAX_LOG_LINES: usize = 20_000;
/// How long discovery takes to answer a request for the list.
const LIST_DELAY: Micros = Micros(30_000);
/// How long the answer to a mark is under way from a proxy.
const MARK_ANSWER_DELAY: Micros = Micros(2_000);

impl Simulation<'_> {
    /// Carries out the actions of one call.
    pub(super) fn apply_actions(&mut self, director: usize, actions: &[Action]) {
        let changed = self.directors[director].mirror.apply(actions);
        let lines = self.lines_by_proxy(director, actions);
        self.refresh_snapshots(director, &changed);
        self.schedule_requested(director, actions);
        self.keep_log(director, actions);
        self.push_to_proxies(director, lines, &marks(actions));
        for action in actions {
            if let Action::SendToPeer { to, message } = action {
                self.send_peer_message(director, *to, message);
            }
        }
    }

    /// The lines that each proxy must be sent; proxies that are bound to a table are noted as its users.
    fn lines_by_proxy(&mut self, director: usize, actions: &[Action]) -> BTreeMap<usize, usize> {
        let connected = self.connected_proxies(director);
        let mut lines: BTreeMap<usize, usize> = BTreeMap::new();
        for action in actions {
            match action {
                Action::SetEntry { table, .. }
                | Action::ClearTable(table)
                | Action::SetAdmission { table: Some(table), .. } => {
                    let users = self.directors[director].table_users.get(table);
                    users.into_iter().flatten().for_each(|proxy| *lines.entry(*proxy).or_default() += 1);
                }
                Action::AssignTable { proxy, table, .. } => {
                    let proxy = proxy.0 as usize;
                    *lines.entry(proxy).or_default() += 1 + self.directors[director].table_lines(*table);
                    self.directors[director].refresh_table_users(proxy);
                }
                Action::SetAdmission { table: None, .. }
                | Action::SetEjected { .. }
                | Action::Barrier { all_proxies: true, .. } => {
                    connected.iter().for_each(|proxy| *lines.entry(*proxy).or_default() += 1);
                }
                _ => {}
            }
        }
        lines.retain(|proxy, _| self.proxies[*proxy].director == Some(director));
        lines
    }

    fn connected_proxies(&self, director: usize) -> Vec<usize> {
        (0..self.proxies.len()).filter(|proxy| self.proxies[*proxy].director == Some(director)).collect()
    }

    /// Takes over the weights of tables that changed, without hosts that were withdrawn.
    fn refresh_snapshots(&mut self, director: usize, changed: &[TableId]) {
        for table in changed {
            let mirror = &self.directors[director].mirror;
            let lines = mirror.tables.get(table).into_iter().flat_map(|table| &table.entries);
            let usable = lines.filter(|(host, _)| mirror.ejected.get(*host) != Some(&true));
            let indexed = usable.filter_map(|(host, weight)| Some((*self.host_index.get(host)?, *weight)));
            let weights: HostWeights = Arc::new(indexed.collect());
            self.directors[director].snapshots.insert(*table, weights);
        }
    }

    /// Schedules timers, and the lists that were asked for.
    fn schedule_requested(&mut self, director: usize, actions: &[Action]) {
        let incarnation = self.directors[director].incarnation;
        for action in actions {
            match action {
                Action::WatchEndpoints(true) | Action::FetchEndpoints => {
                    self.schedule_after(LIST_DELAY, SimulationEvent::ListFetched { director, incarnation });
                }
                Action::SetTimer { at, token } => {
                    let timer = SimulationEvent::TimerFires { director, incarnation, token: *token };
                    self.schedule_at(*at, timer);
                }
                _ => {}
            }
        }
    }

    fn keep_log(&mut self, director: usize, actions: &[Action]) {
        let log = &mut self.result.log;
        for action in actions {
            match action {
                Action::Notice(notice) if log.len() < MAX_LOG_LINES => {
                    log.push(LogLine { at: self.now, director, text: notice.to_string() });
                }
                _ => {}
            }
        }
    }

    /// Sends each proxy its lines with all marks; proxies answer the marks.
    fn push_to_proxies(&mut self, director: usize, lines: BTreeMap<usize, usize>, marks: &[u64]) {
        let incarnation = self.directors[director].incarnation;
        for (proxy, lines) in lines {
            let arrives = self.push_rules(director, proxy, lines + marks.len());
            let took = Micros(arrives.0 - self.now.0);
            let applied = |mark: &u64| Event::Acknowledged {
                proxy: ProxyId(proxy as u32),
                barrier: *mark,
                elapsed: took,
            };
            let events: Vec<Event> = marks.iter().map(applied).collect();
            if !events.is_empty() {
                let answered = arrives + MARK_ANSWER_DELAY;
                let answer = SimulationEvent::DirectorReceives { director, incarnation, events };
                self.schedule_at(answered, answer);
            }
        }
    }

    /// Sends a proxy all its rules as one message of so many lines; gives when that arrives.
    fn push_rules(&mut self, director: usize, proxy: usize, lines: usize) -> Timestamp {
        let settings = &self.scenario.settings;
        let mean = settings.mean_push_delay.secs().max(1e-6);
        let delay = Exp::new(1.0 / mean).expect("the mean is above 0").sample(&mut self.rng);
        let delay = Micros::from_secs(delay.min(settings.max_push_delay.secs()));
        let sent = self.send_on_channel(director, lines);
        // Messages to a proxy do not overtake each other.
        let last = self.directors[director].last_arrival.entry(proxy).or_default();
        *last = Timestamp(sent.0 + delay.0).max(*last);
        let arrives = *last;
        let rules = self.rules_of(director, proxy);
        let stream = self.proxies[proxy].stream;
        self.schedule_at(arrives, SimulationEvent::RulesReachProxy { proxy, stream, rules });
        arrives
    }

    /// Queues a message on a director's channel; gives when it will have been sent.
    fn send_on_channel(&mut self, director: usize, lines: usize) -> Timestamp {
        let settings = &self.scenario.settings;
        let node = &mut self.directors[director];
        let cost = lines as f64 + settings.message_overhead_lines;
        let sending = Micros((cost / settings.send_rate_lines_per_s * 1e6) as u64);
        node.channel_free = Timestamp(node.channel_free.max(self.now).0 + sending.0);
        let waiting_lines = node.channel_free.since(self.now) * settings.send_rate_lines_per_s;
        let margins = &mut self.result.margins;
        margins.queue = margins.queue.max(waiting_lines / settings.max_queued_lines);
        self.result.messages += 1;
        self.result.lines += lines as u64;
        node.channel_free
    }

    /// A proxy's rules by class, as its director's tables have them now.
    fn rules_of(&self, director: usize, proxy: usize) -> Vec<RoutingRule> {
        let current = &self.proxies[proxy].rules;
        let rule = |class| self.directors[director].rule(proxy, class, &current[class]);
        (0..self.scenario.classes.len()).map(rule).collect()
    }
}

fn marks(actions: &[Action]) -> Vec<u64> {
    let marks = actions.iter().filter_map(|action| match action {
        Action::Barrier { number, .. } => Some(*number),
        _ => None,
    });
    marks.collect()
}
