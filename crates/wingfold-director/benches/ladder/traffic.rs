//! Counts the bytes that the protocol's JSON messages need for a director's events and actions.
//!
//! Between proxies, collectors and directors, each message is a length of four bytes and one JSON object.
//! Endpoint lists and health checks are sent over HTTP. Of endpoint lists only the bodies are counted; of
//! health checks, the request and the response.

use crate::sizes::class_name;
use serde::Serialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::AddAssign;
use wingfold_director::interface::{Action, Endpoint, Event, HostId, ProxyId, Readiness, TableId};

/// Bytes of the length in front of each message.
const LENGTH_BYTES: usize = 4;
/// Bytes of the request of a health check.
const CHECK_REQUEST_BYTES: usize = "GET /status/load HTTP/1.1\r\nhost: 10.1.0.18:8443\r\n\r\n".len();
/// Bytes of the response to a health check.
const CHECK_RESPONSE_BYTES: usize = "HTTP/1.1 200 OK\r\ncontent-length: 38\r\n\r\n".len() + 38;

/// Messages of one kind, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// Number of messages.
    pub messages: usize,
    /// Number of bytes in all of these messages.
    pub bytes: usize,
}

impl Count {
    /// Counts one message.
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Count) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

/// The messages exchanged with each kind of peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Load reports from collectors.
    #[serde(rename = "sums")]
    pub load_reports: Count,
    /// Usage from proxies.
    pub usage: Count,
    /// Acknowledgements from proxies.
    #[serde(rename = "answers")]
    pub acknowledgements: Count,
    /// Entries of endpoint lists from discovery.
    #[serde(rename = "entries")]
    pub list_entries: Count,
    /// Updates to proxies.
    #[serde(rename = "orders")]
    pub updates: Count,
    /// Lines in the updates to proxies.
    #[serde(rename = "order_lines")]
    pub update_lines: usize,
    /// Health checks of hosts, with their responses.
    #[serde(rename = "probes")]
    pub health_checks: Count,
}

impl Traffic {
    /// Bytes that the director receives, without responses to health checks.
    pub fn bytes_in(&self) -> usize {
        self.load_reports.bytes + self.usage.bytes + self.acknowledgements.bytes + self.list_entries.bytes
    }

    /// Bytes that the director sends, and the responses to health checks.
    pub fn bytes_out(&self) -> usize {
        self.updates.bytes + self.health_checks.bytes
    }
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Traffic) {
        self.load_reports += other.load_reports;
        self.usage += other.usage;
        self.acknowledgements += other.acknowledgements;
        self.list_entries += other.list_entries;
        self.updates += other.updates;
        self.update_lines += other.update_lines;
        self.health_checks += other.health_checks;
    }
}

/// The contents of the tables as the director's actions set them, and the tables of each proxy.
#[derive(Default)]
pub struct ProxyTables {
    tables: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    assigned: BTreeMap<ProxyId, BTreeSet<TableId>>,
}

/// The changes of one table in one call.
#[derive(Default)]
struct TableChange {
    entries: BTreeMap<HostId, f64>,
    /// Number of admission levels that are set.
    levels: usize,
    cleared: bool,
}

/// The actions of one call that concern proxies, by kind.
#[derive(Default)]
struct Changes {
    tables: BTreeMap<TableId, TableChange>,
    newly_assigned: BTreeSet<(ProxyId, TableId)>,
    barrier: Option<u64>,
}

impl ProxyTables {
    /// Applies the actions of one call, and counts the messages that carry them. Returns the barrier of the
    /// call and the proxies that get a message.
    pub fn apply_actions(
        &mut self,
        actions: &[Action],
        traffic: &mut Traffic,
    ) -> Option<(u64, Vec<ProxyId>)> {
        let mut changes = Changes::default();
        for action in actions {
            self.apply(action, &mut changes, traffic);
        }
        if changes.tables.is_empty() && changes.newly_assigned.is_empty() {
            return None;
        }
        let mut recipients = Vec::new();
        for (proxy, tables) in &self.assigned {
            if let Some((bytes, lines)) = self.message_size(*proxy, tables, &changes) {
                traffic.updates.add(bytes);
                traffic.update_lines += lines;
                recipients.push(*proxy);
            }
        }
        changes.barrier.map(|barrier| (barrier, recipients))
    }

    /// The sum of the weights of these hosts in all tables.
    pub fn total_weight(&self, hosts: &BTreeSet<HostId>) -> f64 {
        let weights = self.tables.values().flat_map(|table| hosts.iter().filter_map(|host| table.get(host)));
        weights.sum()
    }

    /// Applies one action to the tables, and records the action in `changes` and `traffic`.
    fn apply(&mut self, action: &Action, changes: &mut Changes, traffic: &mut Traffic) {
        match action {
            Action::SetEntry { table, host, weight } => {
                let entries = self.tables.entry(*table).or_default();
                match *weight > 0.0 {
                    true => entries.insert(host.clone(), *weight),
                    false => entries.remove(host),
                };
                changes.tables.entry(*table).or_default().entries.insert(host.clone(), *weight);
            }
            Action::ClearTable(table) => {
                self.tables.remove(table);
                *changes.tables.entry(*table).or_default() =
                    TableChange { cleared: true, ..Default::default() };
            }
            Action::SetAdmission { table: Some(table), .. } => {
                changes.tables.entry(*table).or_default().levels += 1
            }
            Action::AssignTable { proxy, table, .. } => {
                self.assigned.entry(*proxy).or_default().insert(*table);
                changes.newly_assigned.insert((*proxy, *table));
            }
            Action::Barrier { number, .. } => changes.barrier = Some(*number),
            Action::CheckHealth(_) => traffic.health_checks.add(CHECK_REQUEST_BYTES + CHECK_RESPONSE_BYTES),
            _ => {}
        }
    }

    /// Bytes and lines of the message to one proxy; `None` if the changes do not concern the proxy.
    fn message_size(
        &self,
        proxy: ProxyId,
        tables: &BTreeSet<TableId>,
        changes: &Changes,
    ) -> Option<(usize, usize)> {
        let (mut bytes, mut lines) = (0, 0);
        for table in tables {
            let change = changes.tables.get(table);
            let is_complete = changes.newly_assigned.contains(&(proxy, *table))
                || change.is_some_and(|change| change.cleared);
            let content =
                if is_complete { self.tables.get(table) } else { change.map(|change| &change.entries) };
            let Some(content) = content else { continue };
            let levels = change.map_or(0, |change| change.levels);
            bytes += LENGTH_BYTES + update_bytes(is_complete, content, levels > 0, changes.barrier);
            lines += content.len() + levels + usize::from(is_complete);
        }
        (bytes > 0).then_some((bytes, lines))
    }
}

/// Bytes of the message that carries the update of one table.
fn update_bytes(
    is_complete: bool,
    entries: &BTreeMap<HostId, f64>,
    has_admission: bool,
    barrier: Option<u64>,
) -> usize {
    let mut message = json!({"type": "CONFIG", "lines": []});
    if is_complete {
        message["whole"] = json!(true);
    }
    if has_admission {
        message["level"] = json!(0.95);
        message["retry"] = json!(1);
    }
    if let Some(barrier) = barrier {
        message["ticket"] = json!(barrier);
    }
    let commas = entries.len().saturating_sub(1);
    json_bytes(&message)
        + commas
        + entries.iter().map(|(host, weight)| json_bytes(&(&host.0, weight))).sum::<usize>()
}

/// Counts the messages that carry these events.
pub fn count_events(events: &[Event], traffic: &mut Traffic) {
    for event in events {
        match event {
            Event::LoadReport { zone, host, attempts, mean_latency, load } => {
                let mut message = json!({
                    "type": "LOAD", "site": zone.0, "target": host.0, "count": attempts.total,
                    "fail": attempts.failed, "mean": mean_latency.secs() * 1e3,
                    "over": attempts.period.secs() * 1e3,
                });
                if let (Some(in_flight), Some(utilization)) = (load.in_flight, load.utilization) {
                    message["util"] = json!({"inflight": in_flight, "util": utilization});
                }
                traffic.load_reports.add(LENGTH_BYTES + json_bytes(&message));
            }
            Event::Usage { proxy, class, requests } => {
                let message = json!({
                    "type": "RATE", "id": proxy.0, "lane": class_name(class.0), "count": requests.total,
                    "fail": requests.failed, "over": requests.period.secs() * 1e3,
                });
                traffic.usage.add(LENGTH_BYTES + json_bytes(&message));
            }
            Event::Acknowledged { proxy, barrier, elapsed } => {
                let message =
                    json!({"type": "ACK", "id": proxy.0, "seq": barrier, "ms": elapsed.secs() * 1e3});
                traffic.acknowledgements.add(LENGTH_BYTES + json_bytes(&message));
            }
            Event::EndpointList { endpoints, .. } => {
                endpoints.iter().for_each(|entry| traffic.list_entries.add(entry_bytes(entry)))
            }
            _ => {}
        }
    }
}

/// Bytes of one entry of discovery's endpoint list, with the comma that follows the entry.
pub fn entry_bytes(entry: &Endpoint) -> usize {
    let state = match entry.readiness {
        Readiness::Ready => "active",
        Readiness::Draining => "leaving",
        Readiness::Removed => "left",
    };
    let started_ms = entry.started_at.map_or(0, |at| 1_700_000_000_000 + at.0 / 1000);
    let message = json!({
        "id": entry.host.0, "addr": "10.1.0.18:8443", "zone": entry.zone.0, "kind": entry.machine_type,
        "cell": 3, "state": state, "weight": entry.weight, "started_ms": started_ms,
    });
    json_bytes(&message) + 1
}

/// Bytes of a value as JSON.
fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).expect("encoding plain values to memory does not fail").len()
}
