//! Bytes that follow from a director's events and actions, as the protocol's JSON messages would carry them.
//!
//! Proxies, collectors and directors exchange a four-byte length and one JSON object. List entries and health checks
//! are HTTP; of those only the bodies and the request of a health check are counted.

use crate::sizes::class_name;
use serde::Serialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::AddAssign;
use wingfold_director::interface::{Action, Endpoint, Event, HostId, ProxyId, Readiness, TableId};

/// Length in front of each message.
const FRAME: usize = 4;
/// The request of a health check, and its answer.
const CHECK_REQUEST: usize = "GET /status/load HTTP/1.1\r\nhost: 10.1.0.18:8443\r\n\r\n".len();
const CHECK_ANSWER: usize = "HTTP/1.1 200 OK\r\ncontent-length: 38\r\n\r\n".len() + 38;

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// Messages.
    pub messages: usize,
    /// Their bytes.
    pub bytes: usize,
}

impl Count {
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

/// What was exchanged with each kind of peer.
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
    /// Lines in those updates.
    #[serde(rename = "order_lines")]
    pub update_lines: usize,
    /// Health checks of hosts, with their answers.
    #[serde(rename = "probes")]
    pub health_checks: Count,
}

impl Traffic {
    /// Bytes that come to the director.
    pub fn bytes_in(&self) -> usize {
        self.load_reports.bytes + self.usage.bytes + self.acknowledgements.bytes + self.list_entries.bytes
    }

    /// Bytes that the director sends, and health checks with their answers.
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

/// The tables as ordered and the proxies that hold them.
#[derive(Default)]
pub struct ProxyTables {
    tables: BTreeMap<TableId, BTreeMap<HostId, f64>>,
    assigned: BTreeMap<ProxyId, BTreeSet<TableId>>,
}

/// What one answer of the director does to one table.
#[derive(Default)]
struct TableChange {
    entries: BTreeMap<HostId, f64>,
    levels: usize,
    cleared: bool,
}

/// One answer of the director, taken apart.
#[derive(Default)]
struct Changes {
    tables: BTreeMap<TableId, TableChange>,
    newly_assigned: BTreeSet<(ProxyId, TableId)>,
    barrier: Option<u64>,
}

impl ProxyTables {
    /// Counts the messages that carry the actions of one call. Returns its barrier and the proxies that got a message.
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
            if let Some((bytes, entries)) = self.message(*proxy, tables, &changes) {
                traffic.updates.add(bytes);
                traffic.update_lines += entries;
                recipients.push(*proxy);
            }
        }
        changes.barrier.map(|barrier| (barrier, recipients))
    }

    /// The weight of some hosts in all tables.
    pub fn weight_of(&self, hosts: &BTreeSet<HostId>) -> f64 {
        let entries = self.tables.values().flat_map(|table| hosts.iter().filter_map(|host| table.get(host)));
        entries.sum()
    }

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
            Action::CheckHealth(_) => traffic.health_checks.add(CHECK_REQUEST + CHECK_ANSWER),
            _ => {}
        }
    }

    /// Bytes and lines of one proxy's message; `None` if the changes do not concern it.
    fn message(
        &self,
        proxy: ProxyId,
        tables: &BTreeSet<TableId>,
        changes: &Changes,
    ) -> Option<(usize, usize)> {
        let (mut bytes, mut entries) = (0, 0);
        for table in tables {
            let change = changes.tables.get(table);
            let complete = changes.newly_assigned.contains(&(proxy, *table))
                || change.is_some_and(|change| change.cleared);
            let content =
                if complete { self.tables.get(table) } else { change.map(|change| &change.entries) };
            let Some(content) = content else { continue };
            let levels = change.map_or(0, |change| change.levels);
            bytes += FRAME + update_bytes(complete, content, levels > 0, changes.barrier);
            entries += content.len() + levels + usize::from(complete);
        }
        (bytes > 0).then_some((bytes, entries))
    }
}

/// Bytes of the update of one table.
fn update_bytes(
    complete: bool,
    entries: &BTreeMap<HostId, f64>,
    has_admission: bool,
    barrier: Option<u64>,
) -> usize {
    let mut part = json!({"type": "CONFIG", "lines": []});
    if complete {
        part["whole"] = json!(true);
    }
    if has_admission {
        part["level"] = json!(0.95);
        part["retry"] = json!(1);
    }
    if let Some(barrier) = barrier {
        part["ticket"] = json!(barrier);
    }
    let commas = entries.len().saturating_sub(1);
    json_bytes(&part)
        + commas
        + entries.iter().map(|(host, weight)| json_bytes(&(&host.0, weight))).sum::<usize>()
}

/// Counts what events cost on the wire.
pub fn count_events(events: &[Event], traffic: &mut Traffic) {
    for event in events {
        match event {
            Event::LoadReport { zone, host, attempts, mean_latency: mean, load } => {
                let mut message = json!({
                    "type": "LOAD", "site": zone.0, "target": host.0, "count": attempts.total, "fail": attempts.failed,
                    "mean": mean.secs() * 1e3, "over": attempts.period.secs() * 1e3,
                });
                if let (Some(in_flight), Some(utilization)) = (load.in_flight, load.utilization) {
                    message["util"] = json!({"inflight": in_flight, "util": utilization});
                }
                traffic.load_reports.add(FRAME + json_bytes(&message));
            }
            Event::Usage { proxy, class, requests } => {
                let message = json!({
                    "type": "RATE", "id": proxy.0, "lane": class_name(class.0), "count": requests.total,
                    "fail": requests.failed, "over": requests.period.secs() * 1e3,
                });
                traffic.usage.add(FRAME + json_bytes(&message));
            }
            Event::Acknowledged { proxy, barrier, elapsed } => {
                let message =
                    json!({"type": "ACK", "id": proxy.0, "seq": barrier, "ms": elapsed.secs() * 1e3});
                traffic.acknowledgements.add(FRAME + json_bytes(&message));
            }
            Event::EndpointList { endpoints, .. } => {
                endpoints.iter().for_each(|entry| traffic.list_entries.add(entry_bytes(entry)))
            }
            _ => {}
        }
    }
}

/// Bytes of one entry of discovery's list.
pub fn entry_bytes(entry: &Endpoint) -> usize {
    let state = match entry.readiness {
        Readiness::Ready => "active",
        Readiness::Draining => "leaving",
        Readiness::Removed => "left",
    };
    let started_ms = entry.started_at.map_or(0, |at| 1_700_000_000_000 + at.0 / 1000);
    let message = json!({
        "id": entry.host.0, "addr": "10.1.0.18:8443", "zone": entry.zone.0, "kind": entry.machine_type, "cell": 3,
        "state": state, "weight": entry.weight, "started_ms": started_ms,
    });
    json_bytes(&message) + 1
}

fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).expect("plain values can be written").len()
}
