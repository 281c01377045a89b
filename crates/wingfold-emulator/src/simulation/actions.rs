//! Carries out the actions of a director's decision module.

use super::event::SimulationEvent;
use super::Simulation;
use crate::proxy::WeightedHost;
use crate::results::LogLine;
use std::sync::Arc;
use wingfold_director::interface::*;

/// The most log lines of a run that are kept, over all directors.
const MAX_LOG_LINES: usize = 20_000;
/// How long discovery takes to answer a request for the complete endpoint list.
const ENDPOINT_LIST_DELAY: Micros = Micros(30_000);

impl Simulation<'_> {
    /// Carries out the actions that one call of a director's decision module returned.
    pub(super) fn apply_actions(&mut self, director: usize, actions: &[Action]) {
        let changed_tables = self.directors[director].sent_state.apply(actions);
        let entry_counts = self.count_entries_by_proxy(director, actions);
        self.refresh_snapshots(director, &changed_tables);
        self.schedule_timers_and_responses(director, actions);
        self.log_notices(director, actions);
        self.push_to_proxies(director, entry_counts, &barriers(actions));
        for action in actions {
            if let Action::SendToPeer { to, message } = action {
                self.send_peer_message(director, *to, message);
            }
        }
    }

    /// Copies the host weights of changed tables, without ejected hosts, to the snapshots that are sent to
    /// proxies.
    fn refresh_snapshots(&mut self, director: usize, changed_tables: &[TableId]) {
        for table in changed_tables {
            let sent_state = &self.directors[director].sent_state;
            let entries = sent_state.tables.get(table).into_iter().flat_map(|table| &table.entries);
            let mut weights = Vec::new();
            for (id, weight) in entries {
                let is_ejected = sent_state.ejected.get(id) == Some(&true);
                let Some(host) = self.host_index.get(id).filter(|_| !is_ejected) else { continue };
                weights.push(WeightedHost { host: *host, weight: *weight });
            }
            self.directors[director].snapshots.insert(*table, Arc::new(weights));
        }
    }

    /// Schedules the requested timers and the responses to requests for the endpoint list.
    fn schedule_timers_and_responses(&mut self, director: usize, actions: &[Action]) {
        let incarnation = self.directors[director].incarnation;
        for action in actions {
            match action {
                Action::WatchEndpoints(true) | Action::FetchEndpoints => {
                    let response = SimulationEvent::EndpointListFetched { director, incarnation };
                    self.schedule_after(ENDPOINT_LIST_DELAY, response);
                }
                Action::SetTimer { at, token } => {
                    let timer = SimulationEvent::TimerFires { director, incarnation, token: *token };
                    self.schedule_at(*at, timer);
                }
                _ => {}
            }
        }
    }

    fn log_notices(&mut self, director: usize, actions: &[Action]) {
        let log = &mut self.result.log;
        for action in actions {
            let Action::Notice(notice) = action else { continue };
            if log.len() < MAX_LOG_LINES {
                log.push(LogLine { at: self.now, director, text: notice.to_string() });
            }
        }
    }
}

/// The numbers of the barriers that proxies must acknowledge.
fn barriers(actions: &[Action]) -> Vec<u64> {
    let mut barriers = Vec::new();
    for action in actions {
        if let Action::Barrier { number, .. } = action {
            barriers.push(*number);
        }
    }
    barriers
}
