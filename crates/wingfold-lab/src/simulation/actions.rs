//! Carries out a director's actions: the messages that its proxies get, its timers, and its messages to peers.

use super::event::Happens;
use super::World;
use crate::proxy::RoutingRule;
use rand_distr::{Distribution, Exp};
use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::*;

/// Lines of the log that are kept.
const LOG: usize = 20_000;

impl World<'_> {
    pub(super) fn carry_out(&mut self, at: usize, actions: &[Action]) {
        let joined: Vec<usize> =
            (0..self.proxies.len()).filter(|proxy| self.proxies[*proxy].director == Some(at)).collect();
        let director = &mut self.directors[at];
        let changed = director.mirror.apply(actions);
        let mut cost: BTreeMap<usize, usize> = BTreeMap::new();
        let (mut words, mut later) = (Vec::new(), Vec::new());
        for action in actions {
            let users = |table: &TableId| director.users.get(table).into_iter().flatten().copied();
            match action {
                Action::SetLine(table, ..) | Action::ClearTable(table) | Action::Admit(Some(table), ..) => {
                    users(table).for_each(|proxy| *cost.entry(proxy).or_default() += 1);
                }
                Action::Bind(proxy, table, _) => {
                    let proxy = proxy.0 as usize;
                    let lines =
                        director.mirror.tables.get(table).map_or(0, |t| t.lines.len() + t.levels.len());
                    *cost.entry(proxy).or_default() += 1 + lines;
                    let mine = director.mirror.bound.iter().filter(|((of, _), _)| of.0 as usize == proxy);
                    let mine: Vec<TableId> = mine.map(|(_, table)| *table).collect();
                    director.users.values_mut().for_each(|users| users.retain(|user| *user != proxy));
                    for table in mine {
                        director.users.entry(table).or_default().insert(proxy);
                    }
                }
                Action::Admit(None, ..) | Action::Withdraw(..) | Action::Mark(true, _) => {
                    joined.iter().for_each(|proxy| *cost.entry(*proxy).or_default() += 1);
                }
                Action::Watch(true) | Action::FetchList => later.push((Micros(self.now.0 + 30_000), None)),
                Action::Timer(when, token) => later.push((*when, Some(*token))),
                Action::Tell(to, word) => words.push((*to, word.clone())),
                Action::Log(text) if self.played.log.len() < LOG => {
                    self.played.log.push((self.now, at, text.clone()));
                }
                _ => {}
            }
        }
        for table in changed {
            let lines = director.mirror.tables.get(&table).map(|table| &table.lines);
            let lines = lines
                .into_iter()
                .flatten()
                .filter(|(host, _)| !director.mirror.withdrawn.get(*host).is_some_and(|out| *out));
            let lines: Vec<(usize, f64)> =
                lines.filter_map(|(host, weight)| Some((*self.names.get(host)?, *weight))).collect();
            director.snapshots.insert(table, Arc::new(lines));
        }
        let incarnation = director.incarnation;
        for (when, token) in later {
            match token {
                Some(token) => self.at(when, Happens::Timer(at, incarnation, token)),
                None => self.at(when, Happens::List(at, incarnation)),
            }
        }
        cost.retain(|proxy, _| self.proxies[*proxy].director == Some(at));
        let marks = actions.iter().filter_map(|action| match action {
            Action::Mark(_, number) => Some(*number),
            _ => None,
        });
        let marks: Vec<u64> = marks.collect();
        for (proxy, lines) in cost {
            let arrives = self.message(at, proxy, lines + marks.len());
            let took = Micros(arrives.0 - self.now.0);
            let answers = marks.iter().map(|mark| Event::Applied(ProxyId(proxy as u32), *mark, took));
            let answers: Vec<Event> = answers.collect();
            if !answers.is_empty() {
                self.at(Micros(arrives.0 + 2_000), Happens::Deliver(at, incarnation, answers));
            }
        }
        words.into_iter().for_each(|(to, word)| self.word(at, to, word));
    }

    /// Sends a proxy all that it goes by now, as one message of so many lines; gives when that arrives.
    fn message(&mut self, at: usize, proxy: usize, lines: usize) -> Micros {
        let set = &self.plan.settings;
        let mean = set.push_delay.secs().max(1e-6);
        let delay = Exp::new(1.0 / mean).expect("the mean is above 0").sample(&mut self.chance);
        let director = &mut self.directors[at];
        let cost = lines as f64 + set.message_overhead;
        director.free = Micros(director.free.max(self.now).0 + (cost / set.lines_per_s * 1e6) as u64);
        let waiting = director.free.since(self.now) * set.lines_per_s;
        self.played.margins.queue = self.played.margins.queue.max(waiting / set.queue_max);
        self.played.messages += 1;
        self.played.lines += lines as u64;
        let delay = Micros::from_secs(delay.min(set.push_delay_max.secs()));
        let last = director.arrives.entry(proxy).or_default();
        *last = Micros(director.free.0 + delay.0).max(*last);
        let arrives = *last;
        let id = ProxyId(proxy as u32);
        let known = &self.proxies[proxy];
        let rule = |class: usize| {
            let mut bound = director.mirror.bound.range((id, 0)..=(id, u64::MAX));
            let table =
                bound.find(|((_, mask), _)| *mask == 0 || mask >> class & 1 == 1).map(|(_, table)| table);
            let Some(table) = table else { return known.rules[class].clone() };
            let levels = director.mirror.tables.get(table).map(|table| &table.levels);
            let level = levels.into_iter().flatten().find(|(mask, _)| **mask >> class & 1 == 1);
            let weights = director.snapshots.get(table).cloned().unwrap_or_default();
            RoutingRule {
                weights,
                level: level.map_or(1.0, |level| *level.1),
                retry: known.rules[class].retry,
            }
        };
        let rules = (0..self.plan.loads.len()).map(rule).collect();
        let stream = known.stream;
        self.at(arrives, Happens::Orders(proxy, stream, rules));
        arrives
    }
}
