//! What a director remembers: plain records, no decision and no figure. `policy.rs` says what becomes of them.
use crate::cap::even_cap;
use crate::channel::Channel;
pub(crate) use crate::derived::*;
pub(crate) use crate::health::{HealthRow, Member};
use crate::interface::*;
pub(crate) use crate::rank::{median, nth_least};
pub(crate) use crate::table::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What is kept for each zone, in the order of the settings: names decide nothing, not even who goes first.
pub(crate) type ByZone<T> = indexmap::IndexMap<ZoneId, T>;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Host {
    pub(crate) entry: Entry,
    /// Listed weight that tables use; follows the list only on a real change.
    pub(crate) weight: f64,
    /// Busy share of its cores, as last reported, and when.
    pub(crate) busy: Option<(f64, Micros)>,
    /// Tries in a row, in all zones, that were lost or came late.
    pub(crate) row: f64,
    /// The list calls it gone, which is advice only: it stays until its own answers fail as well.
    pub(crate) doubted: bool,
    /// When the list first left it out, or called it gone, and since then always did.
    pub(crate) gone_at: Option<Micros>,
}

/// Tries, losses among them, and time of the good ones in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Tally {
    pub(crate) tries: f64,
    pub(crate) lost: f64,
    pub(crate) ms: f64,
}

/// What a zone knows of a host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Path {
    /// Since the last round that used it.
    pub(crate) sum: Tally,
    /// Smoothed figures, and the last score.
    pub(crate) latency: Option<f64>,
    pub(crate) loss: f64,
    pub(crate) score: Option<f64>,
    /// Halvings in force, and rounds in a row that speak for the next move.
    pub(crate) step: u32,
    pub(crate) confirmed: u32,
    /// Evidence of the fast path: fading counts, and losses since the last line with a good answer.
    pub(crate) good: f64,
    pub(crate) bad: f64,
    pub(crate) streak: f64,
    /// Tries in a row that were lost or, in the mean of their sum, came late.
    pub(crate) row: f64,
    pub(crate) faded_at: Micros,
    /// Part of the zone's tries that its tables send here, tries that should have come since it was last heard
    /// (while the part was another), and the zone's counts from then on.
    pub(crate) part: f64,
    pub(crate) missed: f64,
    pub(crate) seen: (f64, f64),
    pub(crate) state: Health,
    /// How long the stay outside lasts.
    pub(crate) stay_s: f64,
    /// On its first trial.
    pub(crate) new: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) enum Health {
    #[default]
    In,
    Out(Micros),
    Trial(Micros),
}

/// An owner: what it knows of the hosts, its tables, and when its ranking last moved.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Zone {
    pub(crate) paths: BTreeMap<HostId, Path>,
    pub(crate) slots: Vec<Slot>,
    /// Part of its weight that a host of another zone lacks here.
    pub(crate) bias: f64,
    pub(crate) moved_at: Option<Micros>,
    /// Tries heard of so far, and turns: lines heard for each host that has a part.
    pub(crate) heard: (f64, f64),
    pub(crate) width: f64,
    /// Its tables have changed since that was worked out.
    pub(crate) changed: bool,
    /// Uses that a connection should get, and rounds in a row that speak for fewer.
    pub(crate) uses: f64,
    /// For how many uses and what work its parts were laid, and when.
    pub(crate) laid: Option<(f64, f64, Micros)>,
    /// Its proxies were dealt to finer tables, as connections ran short.
    pub(crate) fine: bool,
    pub(crate) confirmed: u32,
    /// The loss that is usual among its hosts.
    pub(crate) usual: f64,
    /// Spares are laid from then on.
    pub(crate) lean_until: Micros,
    /// What was worked out from the above.
    #[serde(skip)]
    pub(crate) derived: ZoneDerived,
}

/// Classes that may go to the same hosts share a table per zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Group {
    pub(crate) sample: Class,
    pub(crate) mask: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Proxy {
    pub(crate) zone: ZoneId,
    /// Requests a second that it usually gets, and the slot whose tables it was put on.
    pub(crate) rate: f64,
    pub(crate) slot: Option<usize>,
    /// When it joined.
    #[serde(default)]
    pub(crate) joined: Micros,
    /// It waits to be bound, or bound elsewhere: until then it still gets the changes of its old tables.
    pub(crate) moves: bool,
    /// When messages went to it, within the span that is limited.
    pub(crate) sent: VecDeque<Micros>,
    /// Requests a second by class, smoothed, and when they were last told.
    pub(crate) usage: BTreeMap<ClassId, f64>,
    pub(crate) told_at: Micros,
}

/// One director's decisions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Director {
    pub(crate) set: Settings,
    pub(crate) random: u64,
    pub(crate) now: Micros,
    pub(crate) next_tick: Micros,
    pub(crate) next_round: Micros,
    pub(crate) next_level: Micros,
    pub(crate) fleet: BTreeMap<HostId, Host>,
    pub(crate) zones: ByZone<Zone>,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    pub(crate) groups: Vec<Group>,
    /// Share of the work that is let in, and by time the open capacity over it, from when the present figures were met.
    pub(crate) admitted: f64,
    pub(crate) let_in: VecDeque<(Micros, f64)>,
    /// Median loss and latency of the hosts in the last round.
    pub(crate) loss: f64,
    pub(crate) latency: Option<f64>,
    /// The lowest median latency of a round so far: what an answer takes without waiting.
    pub(crate) unloaded_ms: Option<f64>,
    /// Busy share of the cores, or what the waits say of it, at the last look.
    pub(crate) load: f64,
    /// All work that is asked for, in units of listed weight.
    pub(crate) demand: f64,
    /// How fast each kind of machine is for its listed weight, against the fastest, and when that last changed.
    pub(crate) speeds: BTreeMap<String, f64>,
    pub(crate) sized_at: Option<Micros>,
    /// Proxies that this answer sends a message, with its lines.
    pub(crate) sending: BTreeMap<ProxyId, f64>,
    pub(crate) channel: Channel,
    /// When messages went to proxies that have left since: the limit on them goes on.
    pub(crate) parted: BTreeMap<ProxyId, VecDeque<Micros>>,
    pub(crate) next_table: u32,
    /// The list has news that cannot wait for the next look.
    pub(crate) urgent: bool,
    /// The list: asked for and not failed since, when to ask next, failures in a row.
    pub(crate) watching: bool,
    pub(crate) ask_at: Micros,
    pub(crate) failures: u32,
    pub(crate) notes: Vec<String>,
    /// What was worked out from the above.
    #[serde(skip)]
    pub(crate) derived: Derived,
}

impl Proxy {
    /// One that has just joined; `sent` are messages of its earlier streams.
    pub(crate) fn new(zone: &ZoneId, rate: f64, sent: VecDeque<Micros>, joined: Micros) -> Proxy {
        let usage = BTreeMap::new();
        Proxy { zone: zone.clone(), rate, slot: None, joined, moves: true, sent, usage, told_at: Micros(0) }
    }
}

impl Host {
    pub(crate) fn ready(&self) -> bool {
        self.entry.readiness == Readiness::Ready
    }
}

impl Zone {
    /// Begins to know each ready host that it does not know yet.
    pub(crate) fn meet(&mut self, fleet: &BTreeMap<HostId, Host>) {
        let unknown = paired(fleet, &self.paths).filter(|(_, host, path)| host.ready() && path.is_none());
        let unknown: Vec<HostId> = unknown.map(|(id, ..)| id.clone()).collect();
        let paths = unknown.into_iter().map(|id| (id, Path::default()));
        if self.paths.is_empty() {
            self.paths = paths.collect();
        } else {
            self.paths.extend(paths);
        }
    }
}

impl Group {
    /// One group for each set of limits on where classes may go.
    pub(crate) fn all(classes: &[Class]) -> Vec<Group> {
        let mut groups: Vec<Group> = Vec::new();
        for (at, class) in classes.iter().enumerate() {
            let limits = |c: &Class| (c.own_zone, c.zones.clone(), c.kinds.clone());
            match groups.iter_mut().find(|g| limits(&g.sample) == limits(class)) {
                Some(group) => group.mask |= 1 << at,
                None => groups.push(Group { sample: class.clone(), mask: 1 << at }),
            }
        }
        groups
    }

    /// Whether the group's classes are allowed at a host.
    pub(crate) fn may_go(&self, zone: &ZoneId, entry: &Entry) -> bool {
        let class = &self.sample;
        (!class.own_zone || entry.zone == *zone)
            && (class.zones.is_empty() || class.zones.contains(&entry.zone))
            && (class.kinds.is_empty() || class.kinds.contains(&entry.kind))
    }
}

/// What all zones together met at a host since the last round that used it.
pub(crate) struct HostSum {
    /// The host's position in the roster.
    pub(crate) at: usize,
    pub(crate) host: HostId,
    pub(crate) sum: Tally,
}

impl Tally {
    /// Counts `other` in.
    pub(crate) fn add(&mut self, other: Tally) {
        *self =
            Tally { tries: self.tries + other.tries, lost: self.lost + other.lost, ms: self.ms + other.ms };
    }

    /// Mean time of the good tries, if there were any.
    pub(crate) fn mean_ms(&self) -> Option<f64> {
        (self.tries > self.lost).then(|| self.ms / (self.tries - self.lost))
    }
}

impl Zone {
    /// The part of its weight that a host has here, by locality: of the zone's own, or of others.
    pub(crate) fn near(&self, own: bool) -> f64 {
        if own {
            1.0
        } else {
            1.0 - self.bias
        }
    }

    /// Ready and known hosts, each counted as near as it is.
    pub(crate) fn near_hosts(&self) -> (f64, f64) {
        let rows = || self.derived.rows.health().iter();
        let ready: f64 = rows().filter(|row| row.ready).map(|row| self.near(row.own)).sum();
        let known: f64 = rows().map(|row| self.near(row.own)).sum();
        (ready, known)
    }
}

impl Path {
    /// Tries that should have come since the host was last heard of, by the zone's count of all tries.
    pub(crate) fn missed_by(&self, tries: f64) -> f64 {
        tries_missed(self.missed, self.seen.0, self.part, tries)
    }

    /// Forgets all, in a new state and with halvings in force.
    pub(crate) fn anew(&mut self, state: Health, step: u32) {
        *self = Path { state, step, stay_s: self.stay_s, ..Path::default() };
    }
}

impl Director {
    /// The next random number from the seed, below 1.
    pub(crate) fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(1);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// How many proxies a director may expect in a zone, by its settings alone.
    pub(crate) fn due(&self) -> f64 {
        let (directors, zones) = (self.set.directors.max(1), self.set.zones.len().max(1) as u32);
        let parts = if self.set.local_first { directors.max(zones) } else { directors * zones };
        f64::from(self.set.proxies) / f64::from(parts)
    }

    /// How many directors surely serve a zone.
    pub(crate) fn sharing(&self) -> f64 {
        let (directors, zones) = (self.set.directors.max(1), self.set.zones.len().max(1) as u32);
        f64::from(if self.set.local_first { (directors / zones).max(1) } else { directors })
    }

    /// Time since a host's start, in cold times: under 1 it may still be cold, whatever its ramp says.
    pub(crate) fn age(&self, host: &Host) -> f64 {
        host.entry.started.map_or(f64::MAX, |at| self.now.since(at) / self.set.cold.secs().max(1e-3))
    }

    /// A time from now.
    pub(crate) fn after(&self, secs: f64) -> Micros {
        Micros(self.now.0 + Micros::from_secs(secs).0)
    }

    /// The shortest aim of any class.
    pub(crate) fn tightest_aim_ms(&self) -> f64 {
        self.set.classes.iter().map(|c| c.aim.secs() * 1e3).fold(f64::MAX, f64::min)
    }

    /// The other zones that nothing of a zone reaches, while most of its own hosts answer: all tries that the last sums told
    /// were lost, so many at least. Only hosts at the positions of `suspects` have lost any.
    pub(crate) fn cut(&self, name: &ZoneId, zone: &Zone, suspects: &[usize], least: f64) -> BTreeSet<ZoneId> {
        if zone.derived.rows.lost_by(suspects) < least {
            return BTreeSet::new();
        }
        let roster = &self.derived.roster;
        let mut met = vec![Met::default(); roster.zones().len()];
        let rows = zone.derived.rows.paths().iter().zip(roster.homes());
        for (row, home) in rows.filter(|(row, _)| row.known && self.is_current(row.faded_at)) {
            met[*home].count(row.streak);
        }
        let met = || roster.zones().iter().zip(&met);
        let home = met().any(|(zone, met)| zone == name && met.good + met.bad > 0 && met.good >= met.bad);
        let cut = met().filter(|(zone, met)| home && *zone != name && met.lost >= least && met.good == 0);
        cut.map(|(zone, _)| zone.clone()).collect()
    }

    /// Voids the usage of proxies that have told nothing while others did, for so many of their requests and periods:
    /// they idle, or their streams are half open. What is late is late for all.
    pub(crate) fn hush(&mut self, tries: f64, turns: f64) {
        let last = self.proxies.values().map(|p| p.told_at).max().unwrap_or_default();
        for proxy in self.proxies.values_mut() {
            let (rate, quiet) = (proxy.usage.values().sum::<f64>(), last.since(proxy.told_at));
            if rate * quiet >= tries && quiet >= turns * self.set.report_period.secs() {
                proxy.usage.clear();
            }
        }
    }

    /// Lets go of all that is kept of hosts that have been gone for so long and that no table holds.
    pub(crate) fn forget(&mut self, zones: &mut ByZone<Zone>, secs: f64, out: &mut Vec<Action>) {
        let tables = || zones.values().flat_map(|zone| &zone.slots).flat_map(|slot| &slot.tables);
        let held = |id: &HostId| tables().any(|table| table.lines.contains_key(id));
        let old = |host: &Host| host.gone_at.is_some_and(|at| self.now.since(at) >= secs);
        let gone = self.fleet.iter().filter(|(id, host)| old(host) && !held(id));
        let gone: Vec<HostId> = gone.map(|(id, _)| id.clone()).collect();
        self.derived.hosts_removed(gone.len());
        for id in gone {
            self.fleet.remove(&id);
            for zone in zones.values_mut() {
                zone.paths.remove(&id);
            }
            out.push(Action::Forget(id));
        }
        self.follow_fleet(zones);
    }

    /// Lines that a message counts besides its own: its head, and a mark if it has one.
    pub(crate) fn head(&self) -> f64 {
        self.set.message_overhead + 1.0
    }

    /// Counts what goes to some proxies: all that one answer sends a proxy is one message.
    pub(crate) fn touch(&mut self, lines: usize, users: &[ProxyId]) {
        let head = self.head();
        for id in users {
            let first = !self.sending.contains_key(id);
            let counted = lines as f64 + if first { head } else { 0.0 };
            *self.sending.entry(*id).or_default() += counted;
            self.channel.queued += counted;
            let Some(proxy) = self.proxies.get_mut(id).filter(|_| first) else { continue };
            proxy.sent.push_back(self.now);
            proxy.sent.drain(..proxy.sent.len().saturating_sub(self.set.messages_max as usize));
        }
    }

    /// One number for all tables (their lines and levels, bit for bit) and for who is bound to which.
    pub fn digest(&self) -> u64 {
        let mix = |what: u32, at: u64| xxhash_rust::xxh3::xxh3_64_with_seed(&what.to_le_bytes(), at);
        let tables = self.zones.values().flat_map(|zone| &zone.slots).flat_map(|slot| &slot.tables);
        let tables = tables.map(|table| mix(table.id.0, table.digest));
        let bound = self.proxies.iter().filter_map(|(id, p)| Some(mix(!id.0, p.slot? as u64)));
        tables.chain(bound).fold(0, u64::wrapping_add)
    }

    /// Works out all digests from what the tables hold.
    pub(crate) fn digest_anew(&mut self) {
        let slots = self.zones.values_mut().flat_map(|zone| &mut zone.slots);
        slots.flat_map(|slot| &mut slot.tables).for_each(Table::digest_anew);
    }

    /// How many records are kept, by kind: hosts, paths, lines, proxies, messages sent.
    pub fn records(&self) -> [usize; 5] {
        let tables = self.zones.values().flat_map(|zone| &zone.slots).flat_map(|slot| &slot.tables);
        [
            self.fleet.len(),
            self.zones.values().map(|zone| zone.paths.len()).sum(),
            tables.map(|table| table.lines.len()).sum(),
            self.proxies.len(),
            self.proxies.values().map(|proxy| proxy.sent.len()).sum(),
        ]
    }

    /// The longest aim of any class.
    pub(crate) fn longest_aim_ms(&self) -> f64 {
        self.set.classes.iter().map(|c| c.aim.secs() * 1e3).fold(0.0, f64::max)
    }

    /// The hosts by the zone that they stand in.
    pub(crate) fn by_home(&self) -> BTreeMap<&ZoneId, Vec<(&HostId, &Host)>> {
        let mut homes: BTreeMap<&ZoneId, Vec<(&HostId, &Host)>> = BTreeMap::new();
        for (id, host) in &self.fleet {
            homes.entry(&host.entry.zone).or_default().push((id, host));
        }
        homes
    }

    /// The proxies bound to each slot of each zone.
    pub(crate) fn users(&self, zones: &ByZone<Zone>) -> ByZone<Vec<Vec<ProxyId>>> {
        let slots = zones.iter().map(|(name, zone)| (name.clone(), vec![Vec::new(); zone.slots.len()]));
        let mut users: ByZone<Vec<Vec<ProxyId>>> = slots.collect();
        for (id, proxy) in &self.proxies {
            if let (Some(slots), Some(slot)) = (users.get_mut(&proxy.zone), proxy.slot) {
                slots[slot].push(*id);
            }
        }
        users
    }

    /// The joined proxies of a zone.
    pub(crate) fn proxies_of<'a>(
        &'a self,
        zone: &'a ZoneId,
    ) -> impl Iterator<Item = (&'a ProxyId, &'a Proxy)> {
        self.proxies.iter().filter(move |(_, p)| p.zone == *zone)
    }

    /// The work of a zone's proxies by slot, on top of `least` each.
    pub(crate) fn work(&self, name: &ZoneId, zone: &Zone, least: f64) -> Vec<f64> {
        let mut work = vec![least; zone.slots.len()];
        let dealt = self.proxies_of(name).filter(|(_, p)| !p.moves);
        let dealt = dealt.filter_map(|(_, p)| Some((p.slot?, p.rate)));
        dealt.for_each(|(slot, rate)| work[slot] += rate);
        work
    }

    /// The proxies that wait to be bound, first come first, and of those that came at once those of most traffic.
    pub(crate) fn waiting(&self) -> Vec<ProxyId> {
        let waiting = self.proxies.iter().filter(|(_, p)| p.moves);
        let mut waiting: Vec<ProxyId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_by(|a, b| {
            let (a, b) = (&self.proxies[a], &self.proxies[b]);
            a.joined.cmp(&b.joined).then(b.rate.total_cmp(&a.rate))
        });
        waiting
    }

    /// Busy shares by kind of machine: those of its warm hosts that told them lately and that every zone here uses by
    /// their full size.
    pub(crate) fn busy_by_kind(&mut self, zones: &ByZone<Zone>, lately: f64) -> BTreeMap<String, Vec<f64>> {
        self.follow_reduced(zones);
        let mut kinds: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        for (host, reduced) in self.fleet.values().zip(self.reduced()).filter(|(host, _)| host.ready()) {
            let told = host.busy.filter(|(busy, at)| *busy > 0.0 && self.now.since(*at) <= lately);
            let Some((busy, _)) = told.filter(|_| self.age(host) >= 1.0 && !reduced) else { continue };
            match kinds.get_mut(&host.entry.kind) {
                Some(known) => known.push(busy),
                None => drop(kinds.insert(host.entry.kind.clone(), vec![busy])),
            }
        }
        kinds
    }

    /// What all zones together met at each host since the last round that used it.
    pub(crate) fn sums_by_host(&self, zones: &ByZone<Zone>) -> Vec<HostSum> {
        let ids = self.derived.roster.ids();
        let mut sums = vec![Tally::default(); ids.len()];
        for zone in zones.values() {
            let rows = sums.iter_mut().zip(zone.derived.rows.paths());
            rows.filter(|(_, row)| row.sum.tries > 0.0).for_each(|(all, row)| all.add(row.sum));
        }
        let met = sums.into_iter().enumerate().filter(|(_, sum)| sum.tries > 0.0);
        met.map(|(at, sum)| HostSum { at, host: ids[at].clone(), sum }).collect()
    }

    /// Listed weights of the hosts that are ready, not out and have a score for a zone, with the scores.
    pub(crate) fn scored(&self, zone: &Zone) -> Vec<(f64, f64)> {
        let taken = paired(&self.fleet, &zone.paths).filter(|(_, host, _)| host.ready());
        let taken = taken.filter_map(|(_, host, path)| Some((host, path.filter(|p| p.state == Health::In)?)));
        taken.filter_map(|(host, path)| Some((path.score?, host.weight))).collect()
    }

    /// The rate at each proxy of the zone that lets `share` of the class in; no limit where none is known.
    pub(crate) fn cap(&self, zone: &ZoneId, class: ClassId, share: f64) -> Option<f64> {
        let usage = |(_, p): (_, &Proxy)| p.usage.get(&class).copied().unwrap_or(0.0);
        let rates: Vec<f64> = self.proxies_of(zone).map(usage).collect();
        let all = share * rates.iter().sum::<f64>();
        (all > 0.0).then(|| even_cap(&rates, all))
    }

    /// The hosts that the list shows as ready.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (&HostId, &Host)> {
        self.fleet.iter().filter(|(_, host)| host.ready())
    }
}

/// What a zone met lately at the hosts of another: tries lost in a row, and of how many hosts the last one was good or lost.
#[derive(Clone, Copy, Default)]
struct Met {
    lost: f64,
    good: u32,
    bad: u32,
}

impl Met {
    fn count(&mut self, streak: f64) {
        self.lost += streak;
        if streak > 0.0 {
            self.bad += 1;
        } else {
            self.good += 1;
        }
    }
}

/// Tries that should have come to a host since it was last heard of: `missed` while its part of the zone's tries was another,
/// and its `part` of all `tries` since `seen`.
pub(crate) fn tries_missed(missed: f64, seen: f64, part: f64, tries: f64) -> f64 {
    missed + (tries - seen) * part
}

/// Arcs of the ring of hosts for slots of some work, laid end to end from `begin` on: the start of each, and its share
/// of the work. They lie in the order of their numbers' multiples of the golden ratio: arcs of slots opened one after
/// the other are scattered evenly, and another slot changes nothing in the order of those before.
pub(crate) fn arcs(work: &[f64], begin: f64) -> Vec<(f64, f64)> {
    const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
    let place = |slot: &usize| (*slot as f64 * GOLDEN_RATIO).fract();
    let mut order: Vec<usize> = (0..work.len()).collect();
    order.sort_by(|a, b| place(a).total_cmp(&place(b)));
    let (all, mut start) = (work.iter().sum::<f64>(), begin);
    let mut arcs = vec![(begin, 0.0); work.len()];
    for slot in order {
        arcs[slot] = (start, work[slot] / all);
        start += work[slot] / all;
    }
    arcs
}
