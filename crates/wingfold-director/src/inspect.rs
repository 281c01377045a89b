//! What a director holds, for eyes from outside: `wingfold why`, checks and figures. Nothing here decides
//! or changes anything; what is worked out is worked out by the functions that decide.
use crate::director::Director;
use crate::interface::{ClassId, ClassMask, HostId, ProxyId, Readiness, TableId, Timestamp, ZoneId};
use crate::state::{HealthState, Zone};
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
    Out(Timestamp),
    /// On trial at an eighth, until the time given or until it has answered.
    Trial(Timestamp),
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
    pub busy: Option<(f64, Timestamp)>,
    /// Its last start.
    pub started: Option<Timestamp>,
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
    pub moved_at: Option<Timestamp>,
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
    pub now: Timestamp,
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
            loss: self.median_loss,
            latency_ms: self.median_latency_ms,
            load: self.utilization,
            admitted: self.admission_ratio,
            queued: self.send_queue.queued_lines,
            hosts: self.hosts.len(),
            proxies: self.proxies.len(),
        }
    }

    /// Every zone.
    pub fn zone_views(&self) -> Vec<ZoneView> {
        let classes = || 0..self.settings.classes.len();
        let view = |(name, zone): (&ZoneId, &Zone)| ZoneView {
            zone: name.clone(),
            usual_loss: zone.baseline_loss,
            lead: Director::leading_score(self.scored_hosts(zone)),
            moved_at: zone.ranking_changed_at,
            proxies: self.proxies_in_zone(name).count(),
            levels: classes()
                .map(|class| self.admission_level(name, class, self.admitted_quota(class)))
                .collect(),
        };
        self.zones.iter().map(view).collect()
    }

    /// How many hosts a zone treats how.
    pub fn tally(&self, zone: &ZoneId) -> Tally {
        let mut tally = Tally::default();
        let Some(owner) = self.zones.get(zone) else { return tally };
        for (id, host) in &self.hosts {
            if !host.is_ready() {
                tally.draining += 1;
                continue;
            }
            tally.cold += usize::from(self.age_in_warm_ups(host) < 1.0);
            let count = match owner.host_stats.get(id).map(|path| (path.health, path.weight_halvings)) {
                None | Some((HealthState::Healthy, 0)) => &mut tally.leading,
                Some((HealthState::Healthy, 1)) => &mut tally.halved,
                Some((HealthState::Healthy, _)) => &mut tally.quartered,
                Some((HealthState::Ejected { .. }, _)) => &mut tally.out,
                Some((HealthState::Probation { .. }, _)) => &mut tally.trial,
            };
            *count += 1;
        }
        tally
    }

    /// Nothing that proxies of other zones try at a zone's hosts comes back, of half of them at least: a
    /// sign of a cut.
    pub fn beyond(&self, zone: &ZoneId) -> bool {
        let hosts: Vec<&HostId> =
            self.ready_hosts().filter(|(_, h)| h.endpoint.zone == *zone).map(|(id, _)| id).collect();
        let (mut lost, mut most) = (0, 0);
        for (name, owner) in self.zones.iter().filter(|(name, _)| *name != zone) {
            if self.proxies_in_zone(name).next().is_none() {
                continue;
            }
            most = hosts.len();
            for path in hosts.iter().filter_map(|id| owner.host_stats.get(*id)) {
                let recent = self.now.since(path.decayed_at) <= 6.0 * self.settings.report_period.secs();
                if path.health == HealthState::Healthy
                    && path.consecutive_failures == 0.0
                    && path.recent_successes >= 0.5
                    && recent
                {
                    return false;
                }
                lost += usize::from(
                    matches!(path.health, HealthState::Ejected { .. }) || path.consecutive_failures >= 1.0,
                );
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
        self.hosts.keys()
    }

    /// What a zone knows of a host; `None` if there is no such zone or host.
    pub fn path_view(&self, zone: &ZoneId, host: &HostId) -> Option<PathView> {
        let (owner, known) = (self.zones.get(zone)?, self.hosts.get(host)?);
        let path = owner.host_stats.get(host).cloned().unwrap_or_default();
        let standing = match path.health {
            _ if !known.is_ready() => Standing::Leaving,
            HealthState::Ejected { until } => Standing::Out(until),
            HealthState::Probation { until } => Standing::Trial(until),
            HealthState::Healthy if path.weight_halvings > 0 => Standing::Halved(path.weight_halvings),
            HealthState::Healthy => Standing::Leading,
        };
        let tables = owner.subsets.iter().flat_map(|slot| &slot.tables);
        let weights = tables.filter_map(|table| Some((table.id, *table.entries.get(host)?)));
        Some(PathView {
            host: host.clone(),
            zone: zone.clone(),
            home: known.endpoint.zone.clone(),
            kind: known.endpoint.machine_type.clone(),
            readiness: known.endpoint.readiness,
            doubted: known.removal_suspected,
            listed: known.weight,
            standing,
            score: path.score,
            lead: Director::leading_score(self.scored_hosts(owner)),
            latency_ms: path.latency_ms,
            loss: path.loss_ratio,
            confirmed: path.confirming_rounds,
            lost_in_row: path.consecutive_failures,
            useless_in_row: known.consecutive_useless,
            missed: path.missed_attempts_by(owner.attempts_seen.attempts),
            busy: known.utilization.map(Into::into),
            started: known.endpoint.started_at,
            warmth: self.slow_start_factor(known),
            cold: self.age_in_warm_ups(known) < 1.0,
            near: owner.locality_weight(known.endpoint.zone == *zone),
            weights: weights.collect(),
        })
    }

    /// Every table.
    pub fn table_views(&self) -> Vec<TableView> {
        let mut views = Vec::new();
        for (name, zone) in &self.zones {
            for (at, slot) in zone.subsets.iter().enumerate() {
                let bound = self.proxies_in_zone(name).filter(|(_, p)| p.subset == Some(at));
                let proxies: Vec<ProxyId> = bound.map(|(id, _)| *id).collect();
                views.extend(slot.tables.iter().zip(&self.class_groups).map(|(table, group)| TableView {
                    table: table.id,
                    zone: name.clone(),
                    classes: ClassMask(group.classes),
                    lines: table.entries.iter().map(|(id, weight)| (id.clone(), *weight)).collect(),
                    levels: table.admission_levels.iter().map(|(class, level)| (*class, *level)).collect(),
                    proxies: proxies.clone(),
                }));
            }
        }
        views
    }

    /// The zone of a joined proxy, and its tables; `None` if it is not joined.
    pub fn proxy_view(&self, proxy: ProxyId) -> Option<(ZoneId, Vec<TableId>)> {
        let known = self.proxies.get(&proxy)?;
        let slot = known.subset.and_then(|slot| self.zones.get(&known.zone)?.subsets.get(slot));
        let tables = slot.map(|slot| slot.tables.iter().map(|table| table.id).collect());
        Some((known.zone.clone(), tables.unwrap_or_default()))
    }
}
