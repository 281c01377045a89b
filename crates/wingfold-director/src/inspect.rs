//! What a director holds, for eyes from outside: `wingfold why`, checks and figures. Nothing here decides or changes
//! anything; what is worked out is worked out by the functions that decide.
use crate::interface::{ClassId, ClassMask, HostId, Micros, ProxyId, Readiness, TableId, ZoneId};
use crate::state::{Director, Health, Zone};
use serde::Serialize;

/// How a zone's tables treat a host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// In the leading group, at listed weight.
    Leading,
    /// A laggard: its weight is halved so many times.
    Halved(u32),
    /// Taken out, until the time given at least.
    Out(Micros),
    /// On trial at an eighth, until the time given or until it has answered.
    Trial(Micros),
    /// Drains, or is gone: in no table.
    Leaving,
}

/// All that a zone knows of a host, and what becomes of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PathView {
    /// The host.
    pub host: HostId,
    /// Whose view it is.
    pub zone: ZoneId,
    /// Where the host stands.
    pub home: ZoneId,
    /// Its kind.
    pub kind: String,
    /// What the list says.
    pub readiness: Readiness,
    /// The list calls it gone, which is advice only here.
    pub doubted: bool,
    /// Listed weight.
    pub listed: f64,
    /// How the zone's tables treat it.
    pub standing: Standing,
    /// Score: latency in ms plus 100 ms for each percent of loss.
    pub score: Option<f64>,
    /// The score that the leading group is measured by.
    pub lead: Option<f64>,
    /// Smoothed mean time of its good answers, in ms.
    pub latency_ms: Option<f64>,
    /// Smoothed share of its tries that were lost.
    pub loss: f64,
    /// Rounds in a row that speak for the next step.
    pub confirmed: u32,
    /// Tries of this zone lost in a row.
    pub lost_in_row: f64,
    /// Tries of all zones in a row that were lost or came late.
    pub useless_in_row: f64,
    /// Tries that should have come since it was last heard of.
    pub missed: f64,
    /// Busy share of its cores as last told, and when.
    pub busy: Option<(f64, Micros)>,
    /// Its last start.
    pub started: Option<Micros>,
    /// The share of its capacity that it surely has by now.
    pub warmth: f64,
    /// It may still be cold.
    pub cold: bool,
    /// The part of its weight that it has here by its place: 1 in its own zone.
    pub near: f64,
    /// Its weight in each of the zone's tables that hold it.
    pub weights: Vec<(TableId, f64)>,
}

/// A zone as an owner of tables.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// The loss that is usual among its hosts.
    pub usual_loss: f64,
    /// The score that its leading group is measured by.
    pub lead: Option<f64>,
    /// When its ranking last moved.
    pub moved_at: Option<Micros>,
    /// Joined proxies.
    pub proxies: usize,
    /// Share of each class that its tables let in (or the rate, where levels are rates).
    pub levels: Vec<f64>,
}

/// One table as it was ordered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TableView {
    /// Its number.
    pub table: TableId,
    /// Whose it is.
    pub zone: ZoneId,
    /// The classes that go by it.
    pub classes: ClassMask,
    /// Its lines.
    pub lines: Vec<(HostId, f64)>,
    /// Its levels.
    pub levels: Vec<(ClassId, f64)>,
    /// Joined proxies that were bound to it.
    pub proxies: Vec<ProxyId>,
}

/// How many hosts a zone treats how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// At listed weight.
    pub leading: usize,
    /// At half of it.
    pub halved: usize,
    /// At a quarter or less.
    pub quartered: usize,
    /// Taken out.
    pub out: usize,
    /// On trial.
    pub trial: usize,
    /// That may still be cold, whatever else they are.
    pub cold: usize,
    /// That drain, or are gone and still known.
    pub draining: usize,
}

/// What concerns the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetView {
    /// Time of the last call.
    pub now: Micros,
    /// Median loss and latency of the hosts in the last round.
    pub loss: f64,
    /// In ms.
    pub latency_ms: Option<f64>,
    /// Busy share of the cores, or what waits say of it.
    pub load: f64,
    /// Share of the work that is let in.
    pub admitted: f64,
    /// Lines that wait in the channel, as the module takes it.
    pub queued: f64,
    /// Hosts known.
    pub hosts: usize,
    /// Joined proxies.
    pub proxies: usize,
}

impl Director {
    /// The fleet as a whole.
    pub fn fleet_view(&self) -> FleetView {
        FleetView {
            now: self.now,
            loss: self.loss,
            latency_ms: self.latency,
            load: self.load,
            admitted: self.admitted,
            queued: self.channel.queued,
            hosts: self.fleet.len(),
            proxies: self.proxies.len(),
        }
    }

    /// Every zone.
    pub fn zone_views(&self) -> Vec<ZoneView> {
        let classes = || 0..self.set.classes.len();
        let view = |(name, zone): (&ZoneId, &Zone)| ZoneView {
            zone: name.clone(),
            usual_loss: zone.usual,
            lead: Director::lead(self.scored(zone)),
            moved_at: zone.moved_at,
            proxies: self.proxies_of(name).count(),
            levels: classes().map(|class| self.level(name, class, self.share(class))).collect(),
        };
        self.zones.iter().map(view).collect()
    }

    /// How many hosts a zone treats how.
    pub fn tally(&self, zone: &ZoneId) -> Tally {
        let mut tally = Tally::default();
        let Some(owner) = self.zones.get(zone) else { return tally };
        for (id, host) in &self.fleet {
            if !host.ready() {
                tally.draining += 1;
                continue;
            }
            tally.cold += usize::from(self.age(host) < 1.0);
            let count = match owner.paths.get(id).map(|path| (path.state, path.step)) {
                None | Some((Health::In, 0)) => &mut tally.leading,
                Some((Health::In, 1)) => &mut tally.halved,
                Some((Health::In, _)) => &mut tally.quartered,
                Some((Health::Out(_), _)) => &mut tally.out,
                Some((Health::Trial(_), _)) => &mut tally.trial,
            };
            *count += 1;
        }
        tally
    }

    /// Nothing that proxies of other zones try at a zone's hosts comes back, of half of them at least: a sign of a cut.
    pub fn beyond(&self, zone: &ZoneId) -> bool {
        let hosts: Vec<&HostId> =
            self.ready().filter(|(_, h)| h.entry.zone == *zone).map(|(id, _)| id).collect();
        let (mut lost, mut most) = (0, 0);
        for (name, owner) in self.zones.iter().filter(|(name, _)| *name != zone) {
            if self.proxies_of(name).next().is_none() {
                continue;
            }
            most = hosts.len();
            for path in hosts.iter().filter_map(|id| owner.paths.get(*id)) {
                let recent = self.now.since(path.faded_at) <= 6.0 * self.set.report_period.secs();
                if path.state == Health::In && path.streak == 0.0 && path.good >= 0.5 && recent {
                    return false;
                }
                lost += usize::from(matches!(path.state, Health::Out(_)) || path.streak >= 1.0);
            }
        }
        most > 0 && 2 * lost >= most.max(1)
    }

    /// How many zones it knows: those of its settings, and those that a proxy came from.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Every host known, by name.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.fleet.keys()
    }

    /// What a zone knows of a host; `None` if there is no such zone or host.
    pub fn path_view(&self, zone: &ZoneId, host: &HostId) -> Option<PathView> {
        let (owner, known) = (self.zones.get(zone)?, self.fleet.get(host)?);
        let path = owner.paths.get(host).cloned().unwrap_or_default();
        let standing = match path.state {
            _ if !known.ready() => Standing::Leaving,
            Health::Out(until) => Standing::Out(until),
            Health::Trial(until) => Standing::Trial(until),
            Health::In if path.step > 0 => Standing::Halved(path.step),
            Health::In => Standing::Leading,
        };
        let tables = owner.slots.iter().flat_map(|slot| &slot.tables);
        let weights = tables.filter_map(|table| Some((table.id, *table.lines.get(host)?)));
        Some(PathView {
            host: host.clone(),
            zone: zone.clone(),
            home: known.entry.zone.clone(),
            kind: known.entry.kind.clone(),
            readiness: known.entry.readiness,
            doubted: known.doubted,
            listed: known.weight,
            standing,
            score: path.score,
            lead: Director::lead(self.scored(owner)),
            latency_ms: path.latency,
            loss: path.loss,
            confirmed: path.confirmed,
            lost_in_row: path.streak,
            useless_in_row: known.row,
            missed: path.missed_by(owner.heard.0),
            busy: known.busy,
            started: known.entry.started,
            warmth: self.warmth(known),
            cold: self.age(known) < 1.0,
            near: owner.near(known.entry.zone == *zone),
            weights: weights.collect(),
        })
    }

    /// Every table.
    pub fn table_views(&self) -> Vec<TableView> {
        let mut views = Vec::new();
        for (name, zone) in &self.zones {
            for (at, slot) in zone.slots.iter().enumerate() {
                let bound = self.proxies_of(name).filter(|(_, p)| p.slot == Some(at));
                let proxies: Vec<ProxyId> = bound.map(|(id, _)| *id).collect();
                views.extend(slot.tables.iter().zip(&self.groups).map(|(table, group)| TableView {
                    table: table.id,
                    zone: name.clone(),
                    classes: ClassMask(group.mask),
                    lines: table.lines.iter().map(|(id, weight)| (id.clone(), *weight)).collect(),
                    levels: table.levels.iter().map(|(class, level)| (*class, *level)).collect(),
                    proxies: proxies.clone(),
                }));
            }
        }
        views
    }

    /// The zone of a joined proxy, and its tables; `None` if it is not joined.
    pub fn proxy_view(&self, proxy: ProxyId) -> Option<(ZoneId, Vec<TableId>)> {
        let known = self.proxies.get(&proxy)?;
        let slot = known.slot.and_then(|slot| self.zones.get(&known.zone)?.slots.get(slot));
        let tables = slot.map(|slot| slot.tables.iter().map(|table| table.id).collect());
        Some((known.zone.clone(), tables.unwrap_or_default()))
    }
}
