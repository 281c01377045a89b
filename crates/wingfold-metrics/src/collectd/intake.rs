//! Takes packets in: checks them, and makes loads of hosts of them.

use super::security::{open, Fingerprint};
use super::{read, timestamp, List, Refused, TypedValue, Users};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wingfold_director::interface::{HostLoad, Timestamp};

/// A machine that collectd speaks of, and the host of the list that it is.
#[derive(Clone, Debug, PartialEq)]
pub struct MappedHost {
    /// The host.
    pub host: String,
    /// Its cores: a load of so many is a full machine.
    pub cores: f64,
}

/// Values that are older than this, or further ahead, are refused.
const MAX_AGE_S: f64 = 60.0;
const MAX_AHEAD_S: f64 = 10.0;

/// Packets that are remembered, and names whose last time is.
pub(super) const MAX_REMEMBERED: usize = 8192;

/// What a time belongs to: machine, plugin and type.
type Name = (String, String, String);

/// Takes packets in: checks, decrypts, and makes loads of hosts of them.
#[derive(Debug)]
pub struct Intake {
    users: Users,
    secured: bool,
    map: BTreeMap<String, MappedHost>,
    /// Fingerprints of packets that were taken, and their order with their times.
    pub(super) seen: BTreeSet<Fingerprint>,
    pub(super) order: VecDeque<(Fingerprint, Timestamp)>,
    /// The last time of each name.
    pub(super) last: BTreeMap<Name, u64>,
    /// Packets taken.
    pub taken: u64,
    /// Packets refused, by reason.
    pub refused: BTreeMap<Refused, u64>,
}

impl Intake {
    /// `secured`: packets must be signed or encrypted by one of the users.
    pub fn new(users: Users, secured: bool, map: BTreeMap<String, MappedHost>) -> Self {
        let (seen, order, last) = Default::default();
        Intake { users, secured, map, seen, order, last, taken: 0, refused: BTreeMap::new() }
    }

    /// Takes a packet: the loads it tells, by host of the list.
    pub fn take(&mut self, now: Timestamp, bytes: &[u8]) -> Result<Vec<(String, HostLoad)>, Refused> {
        let loads = self.loads(now, bytes);
        match &loads {
            Ok(_) => self.taken += 1,
            Err(why) => *self.refused.entry(*why).or_default() += 1,
        }
        loads
    }

    fn loads(&mut self, now: Timestamp, bytes: &[u8]) -> Result<Vec<(String, HostLoad)>, Refused> {
        let packet = open(bytes, &self.users)?;
        if self.secured && packet.fingerprint.is_none() {
            return Err(Refused::Open);
        }
        let mut lists = read(&packet.contents)?;
        lists.retain(|list| is_current(now, list));
        let replayed = packet.fingerprint.is_some_and(|fingerprint| self.seen.contains(&fingerprint));
        if replayed || lists.is_empty() {
            return Err(Refused::Replayed);
        }
        let loads = self.loads_of(&lists);
        if let Some(fingerprint) = packet.fingerprint {
            self.remember(now, fingerprint);
        }
        loads
    }

    /// The loads that lists tell, by host; what was told before is left out.
    fn loads_of(&mut self, lists: &[List]) -> Result<Vec<(String, HostLoad)>, Refused> {
        let mut loads: BTreeMap<String, HostLoad> = BTreeMap::new();
        let (mut known, mut outdated) = (false, false);
        for list in lists {
            let Some(mapped) = self.map.get(&list.host) else { continue };
            known = true;
            let Some(busy) = busy(list, mapped) else { continue };
            let host = mapped.host.clone();
            if self.advances(list) {
                loads.entry(host).or_default().utilization = Some(busy);
            } else {
                outdated = true;
            }
        }
        match (known, loads.is_empty() && outdated) {
            (false, _) => Err(Refused::Host),
            (_, true) => Err(Refused::Replayed),
            _ => Ok(loads.into_iter().collect()),
        }
    }

    /// Whether a list is later than the last one of its name, which it then is itself.
    fn advances(&mut self, list: &List) -> bool {
        let name = (list.host.clone(), list.plugin.clone(), list.kind.clone());
        let last = self.last.get(&name).copied().unwrap_or(0);
        if list.time <= last {
            return false;
        }
        if self.last.len() < MAX_REMEMBERED || last > 0 {
            self.last.insert(name, list.time);
        }
        true
    }

    fn remember(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.seen.insert(fingerprint);
        self.order.push_back((fingerprint, now));
        // What is older than any value may be is refused for its age.
        let old = |at: Timestamp| now.since(at) > MAX_AGE_S + MAX_AHEAD_S;
        while self.order.len() > MAX_REMEMBERED || self.order.front().is_some_and(|(_, at)| old(*at)) {
            if let Some((fingerprint, _)) = self.order.pop_front() {
                self.seen.remove(&fingerprint);
            }
        }
    }
}

/// Whether a list's time is about now.
fn is_current(now: Timestamp, list: &List) -> bool {
    let at = timestamp(list.time);
    now.since(at) <= MAX_AGE_S && at.since(now) <= MAX_AHEAD_S
}

/// The busy share of the cores that a list tells of, if it does.
fn busy(list: &List, mapped: &MappedHost) -> Option<f64> {
    let gauge = |at: usize| match list.values.get(at) {
        Some(TypedValue::Gauge(value)) if value.is_finite() && *value >= 0.0 => Some(*value),
        _ => None,
    };
    match (list.plugin.as_str(), list.kind.as_str(), list.kind_instance.as_str()) {
        // The load of the last minute against the cores; more waits than they can do counts as full.
        ("load", "load", _) => Some((gauge(0)? / mapped.cores.max(0.01)).min(1.0)),
        ("cpu", "percent", "idle") => Some(1.0 - (gauge(0)? / 100.0).min(1.0)),
        ("cpu", "percent", "active") => Some((gauge(0)? / 100.0).min(1.0)),
        _ => None,
    }
}
