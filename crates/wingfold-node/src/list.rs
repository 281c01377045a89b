//! Discovery's list as it stands in its answers and in the configuration, and its translation into events.

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use wingfold_director::interface::{Endpoint, HostId, Readiness, Timestamp, ZoneId};

/// One answer: a whole list, or the entries that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    /// Its version.
    pub version: u64,
    /// Whether it is the whole list.
    pub full: bool,
    /// The entries that could be read.
    pub servers: Vec<Server>,
    /// Those of an answer that could not.
    #[serde(skip)]
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry that cannot be read, and why.
#[derive(Clone, Debug)]
pub struct UnreadableEntry {
    /// Its place among the entries, from 0.
    place: usize,
    /// The host it names, where that much can be read.
    host: Option<String>,
    reason: String,
}

impl fmt::Display for UnreadableEntry {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match &self.host {
            Some(host) => write!(to, "entry {} ({host}): {}", self.place, self.reason),
            None => write!(to, "entry {}: {}", self.place, self.reason),
        }
    }
}

/// An answer whose entries are still to be read.
#[derive(Deserialize)]
struct Envelope<'a> {
    version: u64,
    full: bool,
    #[serde(borrow)]
    servers: Vec<&'a RawValue>,
}

/// As much of an entry as tells which host it is about.
#[derive(Deserialize)]
struct Named {
    #[serde(deserialize_with = "name")]
    id: Arc<str>,
}

/// One entry.
#[derive(Clone, Debug, Deserialize)]
pub struct Server {
    #[serde(deserialize_with = "name")]
    id: Arc<str>,
    #[serde(deserialize_with = "name")]
    addr: Arc<str>,
    #[serde(deserialize_with = "name")]
    zone: Arc<str>,
    #[serde(default)]
    kind: String,
    state: State,
    #[serde(default = "one", deserialize_with = "weight")]
    weight: f64,
    #[serde(default, deserialize_with = "time")]
    started_ms: f64,
}

/// Bytes of a name: hosts, zones and addresses are far shorter, and each is kept and written often.
const LONGEST_NAME: usize = 255;
/// No weight is larger: sums of thousands keep their figures.
const LARGEST_WEIGHT: f64 = 1e9;
/// The end of the year 9999, in milliseconds of Unix time.
const LATEST: f64 = 253_402_300_799_999.0;

fn name<'de, D: Deserializer<'de>>(from: D) -> Result<Arc<str>, D::Error> {
    let name = Arc::<str>::deserialize(from)?;
    if name.is_empty() || name.len() > LONGEST_NAME {
        return Err(Error::custom(format!(
            "a name of {} bytes, 1 to {LONGEST_NAME} are expected",
            name.len()
        )));
    }
    Ok(name)
}

fn within<'de, D: Deserializer<'de>>(from: D, most: f64) -> Result<f64, D::Error> {
    let figure = f64::deserialize(from)?;
    if !(0.0..=most).contains(&figure) {
        return Err(Error::custom(format!("{figure:e} where 0 to {most:e} is expected")));
    }
    Ok(figure)
}

fn weight<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, LARGEST_WEIGHT)
}

fn time<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, LATEST)
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Leaving,
    Left,
}

fn one() -> f64 {
    1.0
}

impl Listing {
    /// Reads an answer, entry by entry: what is wrong with one is no reason to miss the drains beside it.
    pub fn read(body: &[u8]) -> Result<Listing, serde_json::Error> {
        let Envelope { version, full, servers: entries } = serde_json::from_slice(body)?;
        let (mut servers, mut unreadable) = (Vec::with_capacity(entries.len()), Vec::new());
        for (place, entry) in entries.into_iter().enumerate() {
            match serde_json::from_str(entry.get()) {
                Ok(server) => servers.push(server),
                Err(error) => unreadable.push(UnreadableEntry::new(place, entry, &error)),
            }
        }
        Ok(Listing { version, full, servers, unreadable })
    }

    /// The entries in the decision module's terms.
    pub fn entries(&self) -> Vec<Endpoint> {
        self.servers.iter().map(Server::entry).collect()
    }
}

impl UnreadableEntry {
    fn new(place: usize, entry: &RawValue, error: &serde_json::Error) -> UnreadableEntry {
        let named: Result<Named, _> = serde_json::from_str(entry.get());
        let host = named.ok().map(|named| named.id.to_string());
        UnreadableEntry { place, host, reason: error.to_string() }
    }
}

impl Server {
    /// Whether it says that the host drains or is gone.
    pub fn leaves(&self) -> bool {
        self.state != State::Active
    }

    fn entry(&self) -> Endpoint {
        let started = (self.started_ms > 0.0).then_some(Timestamp((self.started_ms * 1e3) as u64));
        Endpoint {
            host: HostId(self.id.clone()),
            machine_type: self.kind.clone(),
            zone: ZoneId(self.zone.clone()),
            readiness: match self.state {
                State::Active => Readiness::Ready,
                State::Leaving => Readiness::Draining,
                State::Left => Readiness::Removed,
            },
            weight: self.weight,
            started_at: started,
        }
    }
}

/// Every host that a list has named and the module has not let go of, and where it answers probes.
#[derive(Debug, Default)]
pub struct Addresses {
    hosts: BTreeMap<Arc<str>, Target>,
    lives: u64,
}

/// Where a host answers probes.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its address.
    pub addr: Arc<str>,
    /// A number that no other process has which bore its name: one that is started again or moves has a new one.
    pub life: u64,
    started_ms: f64,
}

impl Addresses {
    /// Takes in what a list says; a host that is gone stays known until the module lets go of it. New ones for whom there is
    /// no room, with so many at most, are taken off the list: gives how many.
    pub fn learn(&mut self, listing: &mut Listing, most: usize) -> usize {
        let named = listing.servers.len();
        listing.servers.retain(|server| {
            let room = self.hosts.len() < most || self.hosts.contains_key(&server.id);
            if room {
                self.note(server);
            }
            room
        });
        named - listing.servers.len()
    }

    fn note(&mut self, Server { id, addr, started_ms, .. }: &Server) {
        let same = |held: &Target| held.addr == *addr && held.started_ms == *started_ms;
        if !self.hosts.get(id).is_some_and(same) {
            self.lives += 1;
            let target = Target { addr: addr.clone(), life: self.lives, started_ms: *started_ms };
            self.hosts.insert(id.clone(), target);
        }
    }

    /// Lets go of a host.
    pub fn forget(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// How many hosts are known.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Where a host answers.
    pub fn of(&self, host: &str) -> Option<&Target> {
        self.hosts.get(host)
    }
}

#[cfg(test)]
mod tests;
