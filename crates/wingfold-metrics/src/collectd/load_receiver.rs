//! Receives packets of collectd: checks them, and extracts the loads of hosts.

use super::security::{open, Fingerprint};
use super::{decode_packet, timestamp, PacketRejection, TypedValue, Users, ValueList};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wingfold_director::interface::{HostLoad, Timestamp};

/// The host of the endpoint list that runs on a machine of collectd.
#[derive(Clone, Debug, PartialEq)]
pub struct MappedHost {
    /// The host, by its name in the endpoint list.
    pub host: String,
    /// The number of the host's cores. A load average of this number is a utilization of 1.
    pub cores: f64,
}

/// The load of a host, as a packet reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedLoad {
    /// The host, by its name in the endpoint list.
    pub host: String,
    /// The load of the host.
    pub load: HostLoad,
}

/// The largest age of values in seconds; older values are rejected.
const MAX_AGE_S: f64 = 60.0;
/// The largest time by which values may be in the future, in seconds; other values are rejected.
const MAX_AHEAD_S: f64 = 10.0;

/// The largest number of packets that are remembered, and of series whose last time is remembered.
pub(super) const MAX_REMEMBERED: usize = 8192;

/// Identifies a series of values.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SeriesName {
    machine: String,
    plugin: String,
    type_name: String,
}

/// A packet that was accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptedPacket {
    fingerprint: Fingerprint,
    at: Timestamp,
}

/// Checks packets, decrypts them, and extracts the loads of hosts.
#[derive(Debug)]
pub struct LoadReceiver {
    users: Users,
    requires_security: bool,
    /// The mapped hosts, by collectd's name of the machine.
    hosts: BTreeMap<String, MappedHost>,
    /// Fingerprints of recently accepted packets, to detect replays.
    pub(super) accepted_fingerprints: BTreeSet<Fingerprint>,
    /// The packets of `accepted_fingerprints`, the oldest first.
    pub(super) accepted_packets: VecDeque<AcceptedPacket>,
    /// The time of the last value of each series, in 2^-30 seconds.
    pub(super) last_times: BTreeMap<SeriesName, u64>,
    /// The number of accepted packets.
    pub accepted: u64,
    /// The numbers of rejected packets, by reason.
    pub rejected: BTreeMap<PacketRejection, u64>,
}

impl LoadReceiver {
    /// A receiver of the loads of the machines in `hosts`. With `requires_security`, packets must be
    /// signed or encrypted by one of the users.
    pub fn new(users: Users, requires_security: bool, hosts: BTreeMap<String, MappedHost>) -> Self {
        LoadReceiver {
            users,
            requires_security,
            hosts,
            accepted_fingerprints: BTreeSet::new(),
            accepted_packets: VecDeque::new(),
            last_times: BTreeMap::new(),
            accepted: 0,
            rejected: BTreeMap::new(),
        }
    }

    /// Receives a packet. Returns the loads that the packet reports, in the order of the hosts' names.
    pub fn receive(&mut self, now: Timestamp, packet: &[u8]) -> Result<Vec<ReportedLoad>, PacketRejection> {
        let loads = self.check_packet(now, packet);
        match &loads {
            Ok(_) => self.accepted += 1,
            Err(reason) => *self.rejected.entry(*reason).or_default() += 1,
        }
        loads
    }

    fn check_packet(&mut self, now: Timestamp, packet: &[u8]) -> Result<Vec<ReportedLoad>, PacketRejection> {
        let packet = open(packet, &self.users)?;
        if self.requires_security && packet.fingerprint.is_none() {
            return Err(PacketRejection::Unsecured);
        }
        let mut lists = decode_packet(&packet.contents)?;
        lists.retain(|list| is_current(now, list));
        let is_replayed =
            packet.fingerprint.is_some_and(|fingerprint| self.accepted_fingerprints.contains(&fingerprint));
        if is_replayed || lists.is_empty() {
            return Err(PacketRejection::Replayed);
        }
        let loads = self.extract_loads(&lists);
        if let Some(fingerprint) = packet.fingerprint {
            self.remember(now, fingerprint);
        }
        loads
    }

    /// Extracts the loads from value lists. Values that are not newer than the last value of their series are
    /// left out.
    fn extract_loads(&mut self, lists: &[ValueList]) -> Result<Vec<ReportedLoad>, PacketRejection> {
        let mut loads: BTreeMap<String, HostLoad> = BTreeMap::new();
        let mut has_known_host = false;
        let mut has_outdated_value = false;
        for list in lists {
            let Some(mapped) = self.hosts.get(&list.host) else { continue };
            has_known_host = true;
            let Some(utilization) = utilization(list, mapped) else { continue };
            let host = mapped.host.clone();
            if self.is_newest(list) {
                loads.entry(host).or_default().utilization = Some(utilization);
            } else {
                has_outdated_value = true;
            }
        }
        if !has_known_host {
            return Err(PacketRejection::UnknownHost);
        }
        if loads.is_empty() && has_outdated_value {
            return Err(PacketRejection::Replayed);
        }
        Ok(loads.into_iter().map(|(host, load)| ReportedLoad { host, load }).collect())
    }

    /// Whether a value list is newer than all previous lists of its series. If so, remembers the list's time.
    fn is_newest(&mut self, list: &ValueList) -> bool {
        let series = SeriesName {
            machine: list.host.clone(),
            plugin: list.plugin.clone(),
            type_name: list.type_name.clone(),
        };
        let last_time = self.last_times.get(&series).copied().unwrap_or(0);
        if list.time <= last_time {
            return false;
        }
        if self.last_times.len() < MAX_REMEMBERED || last_time > 0 {
            self.last_times.insert(series, list.time);
        }
        true
    }

    /// Remembers an accepted packet as long as its values would still be accepted by their time, to detect
    /// replays.
    fn remember(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.accepted_fingerprints.insert(fingerprint);
        self.accepted_packets.push_back(AcceptedPacket { fingerprint, at: now });
        let is_expired = |packet: &AcceptedPacket| now.since(packet.at) > MAX_AGE_S + MAX_AHEAD_S;
        while self.accepted_packets.len() > MAX_REMEMBERED
            || self.accepted_packets.front().is_some_and(is_expired)
        {
            if let Some(oldest) = self.accepted_packets.pop_front() {
                self.accepted_fingerprints.remove(&oldest.fingerprint);
            }
        }
    }
}

fn is_current(now: Timestamp, list: &ValueList) -> bool {
    let at = timestamp(list.time);
    now.since(at) <= MAX_AGE_S && at.since(now) <= MAX_AHEAD_S
}

/// The utilization of a host's cores, as a ratio; `None` if the value list does not have it.
fn utilization(list: &ValueList, mapped: &MappedHost) -> Option<f64> {
    match (list.plugin.as_str(), list.type_name.as_str(), list.type_instance.as_str()) {
        // The load average of the last minute.
        ("load", "load", _) => Some((first_gauge(list)? / mapped.cores.max(0.01)).min(1.0)),
        ("cpu", "percent", "idle") => Some(1.0 - (first_gauge(list)? / 100.0).min(1.0)),
        ("cpu", "percent", "active") => Some((first_gauge(list)? / 100.0).min(1.0)),
        _ => None,
    }
}

/// The first value of a list; `None` unless it is a finite and non-negative gauge.
fn first_gauge(list: &ValueList) -> Option<f64> {
    match list.values.first() {
        Some(TypedValue::Gauge(value)) if value.is_finite() && *value >= 0.0 => Some(*value),
        _ => None,
    }
}
