//! Results worked out from the records and kept until what they were worked out from changes.
//!
//! Nothing is decided here and none of it is written to a checkpoint: a result that is missing is worked out anew, in
//! full. A step that is run again on equal inputs, before its due time, must change nothing; then it may be skipped.
use crate::interface::{Event, HostId, Micros, ZoneId};
use crate::policy::COOLDOWN_S;
use crate::state::{ByZone, Director, Health, Host, Path, Zone};
use crate::table::{Line, Shared, Slot, Table};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A due time that never comes.
pub(crate) const NEVER: Micros = Micros(u64::MAX);

/// Counts changes of records that the results of several zones depend on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Revisions {
    /// The list of hosts, and their weights.
    pub(crate) fleet: u64,
    /// What some zone knows of some host.
    pub(crate) evidence: u64,
    /// Which hosts are useless to all zones together.
    pub(crate) useless: u64,
    /// How warm the cold hosts are.
    pub(crate) warmth: u64,
    /// Which proxies are joined, and to which slots they are bound.
    pub(crate) proxies: u64,
}

/// The inputs on which a step last changed nothing, and when time alone may change that.
#[derive(Clone, Debug)]
pub(crate) struct Settled<Inputs> {
    inputs: Option<Inputs>,
    due: Micros,
}

impl<Inputs> Default for Settled<Inputs> {
    fn default() -> Self {
        Settled { inputs: None, due: Micros(0) }
    }
}

impl<Inputs: PartialEq> Settled<Inputs> {
    /// Whether the step would change nothing on these inputs.
    pub(crate) fn holds(&self, inputs: &Inputs, now: Micros) -> bool {
        now < self.due && self.inputs.as_ref() == Some(inputs)
    }

    /// The step has been run on these inputs; time alone changes its result at `due` at the earliest.
    pub(crate) fn settle(&mut self, inputs: Inputs, due: Micros) {
        (self.inputs, self.due) = (Some(inputs), due);
    }
}

/// What becomes of a host in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is taken out.
    Out,
    /// Its trial has failed.
    OutAgain,
    /// It is tried again.
    Trial,
    /// It is used as before, or first at reduced weight.
    Back,
}

/// What the health of a zone's hosts depends on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HealthInputs {
    pub(crate) evidence: u64,
    pub(crate) fleet: u64,
    pub(crate) useless: u64,
    pub(crate) calm: bool,
}

/// What the dealing of a zone's hosts to its slots depends on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DealInputs {
    pub(crate) fleet: u64,
    pub(crate) proxies: u64,
    pub(crate) bias: f64,
    pub(crate) uses: f64,
}

/// What the lines that a zone may use depend on.
#[derive(Clone, Debug, PartialEq)]
struct UsableInputs {
    fleet: u64,
    warmth: u64,
    standing: u64,
    bias: f64,
}

/// What the orders for a table depend on, apart from room in the channel.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TableInputs {
    /// Of the lines that the zone may use.
    pub(crate) revision: u64,
    pub(crate) levels: Vec<f64>,
    pub(crate) start: f64,
    pub(crate) length: f64,
    pub(crate) full: f64,
    /// Losses are common, and cold hosts wait.
    pub(crate) common: bool,
    /// Spares are laid.
    pub(crate) spared: bool,
}

/// The lines that a zone may use, for each group of classes.
pub(crate) type Usable = Arc<Vec<Vec<Line>>>;

/// What a host counts for in the health of a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthRow {
    pub(crate) ready: bool,
    /// It stands in the zone itself.
    pub(crate) own: bool,
    /// 0 for a host that is not ready.
    pub(crate) weight: f64,
    /// It is in use, or may be.
    pub(crate) stays: bool,
    /// Its share of tries that were lost, where enough were heard of.
    pub(crate) loss: Option<f64>,
    /// It lost something, is out or on trial.
    blamed: bool,
    /// As in its path: tries missed, the zone's tries when it was last heard of, and its part of them.
    missed: f64,
    seen: f64,
    part: f64,
}

impl HealthRow {
    pub(crate) fn new(host: &Host, path: Option<&Path>, stays: bool, loss: Option<f64>) -> HealthRow {
        let blameless = |path: &Path| path.state == Health::In && path.streak <= 0.0 && path.row <= 0.0;
        HealthRow {
            ready: host.ready(),
            own: false,
            weight: if host.ready() { host.weight } else { 0.0 },
            stays: stays && host.ready(),
            loss,
            blamed: path.is_some_and(|path| !blameless(path)),
            missed: path.map_or(0.0, |path| path.missed),
            seen: path.map_or(0.0, |path| path.seen.0),
            part: path.map_or(0.0, |path| path.part),
        }
    }

    /// Whether a verdict may concern the host: for what it lost, or since so many tries are missed.
    pub(crate) fn is_suspect(&self, tries: f64, missed: f64) -> bool {
        self.blamed || self.missed + (tries - self.seen) * self.part >= missed
    }
}

/// What is kept for a zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneDerived {
    /// Counts changes of what the zone knows of hosts, and of how its tables treat them.
    pub(crate) evidence: u64,
    pub(crate) standing: u64,
    pub(crate) health: Settled<HealthInputs>,
    /// A row for each host of the fleet, in order, and the revision of the list that it was made for.
    rows: Vec<(HostId, HealthRow)>,
    rows_for: Option<u64>,
    /// Hosts whose rows are to be made anew.
    stale_rows: Vec<HostId>,
    pub(crate) deal: Settled<DealInputs>,
    usable: Usable,
    usable_for: Option<UsableInputs>,
    /// Counts changes of `usable`.
    pub(crate) revision: u64,
}

/// What is kept for the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Derived {
    pub(crate) revisions: Revisions,
    /// Revisions of the list and of the evidence at the last round, where it left no host with fresh figures.
    pub(crate) round: Settled<(u64, u64)>,
    /// Hosts that may still be cold, with their share of capacity and whether they are, and the list's revision.
    warming: Vec<(HostId, f64, bool)>,
    warming_for: Option<u64>,
    /// Hosts that some zone's tables give less than their weight, and the revisions that this was worked out for.
    reduced: std::collections::BTreeSet<HostId>,
    reduced_for: Option<(u64, u64)>,
}

impl Derived {
    /// A zone has heard of a host; `crossed` tells that it became useless to all zones together, or no longer is.
    pub(crate) fn heard(&mut self, zone: &mut ZoneDerived, host: &HostId, crossed: bool) {
        zone.touch(host);
        self.revisions.evidence += 1;
        self.revisions.useless += u64::from(crossed);
    }
}

impl ZoneDerived {
    /// What the zone knows of a host has changed.
    pub(crate) fn touch(&mut self, host: &HostId) {
        self.evidence += 1;
        if self.stale_rows.len() < self.rows.len() {
            self.stale_rows.push(host.clone());
        } else {
            self.rows_for = None;
        }
    }

    /// What the zone knows of any host may have changed.
    pub(crate) fn touch_all(&mut self) {
        self.evidence += 1;
        self.rows_for = None;
    }

    /// How the zone's tables treat a host has changed.
    pub(crate) fn moved(&mut self, host: &HostId) {
        self.touch(host);
        self.standing += 1;
    }

    /// The hosts that a verdict may concern, by the zone's count of all tries.
    pub(crate) fn suspects(&self, tries: f64, missed: f64) -> Vec<HostId> {
        let suspects = self.rows.iter().filter(|(_, row)| row.is_suspect(tries, missed));
        suspects.map(|(id, _)| id.clone()).collect()
    }

    /// A row for each host of the fleet, in order.
    pub(crate) fn health_rows(&self) -> &[(HostId, HealthRow)] {
        &self.rows
    }
}

impl TableInputs {
    pub(crate) fn new(shared: &Shared, slot: &Slot, table: &Table, common: bool, spared: bool) -> Self {
        let (revision, levels) = (shared.revision, shared.levels.clone());
        let (start, length, full) = (slot.start, slot.length, table.full);
        TableInputs { revision, levels, start, length, full, common, spared }
    }

    /// The same at another scale of a usual day.
    pub(crate) fn with_full(self, full: f64) -> Self {
        TableInputs { full, ..self }
    }
}

impl Director {
    /// Counts what an event changes of the list and of the proxies; what it tells of hosts is counted where it is used.
    pub(crate) fn note_change(&mut self, event: &Event) {
        let revisions = &mut self.derived.revisions;
        match event {
            Event::List(..) => revisions.fleet += 1,
            Event::Joined(..) | Event::Left(_) => revisions.proxies += 1,
            _ => {}
        }
    }

    /// Judges the hosts in each zone whose inputs have changed or that is due.
    pub(crate) fn judge_changed(&mut self, zones: &mut ByZone<Zone>) {
        for (name, zone) in zones {
            let Revisions { fleet, useless, .. } = self.derived.revisions;
            let evidence = zone.derived.evidence;
            let inputs = HealthInputs { evidence, fleet, useless, calm: self.calm() };
            if zone.derived.health.holds(&inputs, self.now) {
                continue;
            }
            self.follow_health(name, zone);
            let due = self.judge(name, zone);
            self.derived.revisions.evidence += u64::from(zone.derived.evidence != evidence);
            zone.derived.health.settle(inputs, due);
        }
    }

    /// Brings the rows of a zone's health up to date: all of them after the list has changed, else those of hosts that
    /// something was heard of.
    fn follow_health(&self, name: &ZoneId, zone: &mut Zone) {
        let fleet = self.derived.revisions.fleet;
        let stale = std::mem::take(&mut zone.derived.stale_rows);
        if zone.derived.rows_for != Some(fleet) {
            zone.meet(&self.fleet);
            let row = |(id, host, path): (&HostId, &Host, _)| {
                let own = host.entry.zone == *name;
                (id.clone(), HealthRow { own, ..self.health_row(host, path) })
            };
            zone.derived.rows = paired(&self.fleet, &zone.paths).map(row).collect();
            zone.derived.rows_for = Some(fleet);
            return;
        }
        for id in stale {
            let rows = &mut zone.derived.rows;
            let at = rows.binary_search_by(|(known, _)| order(known, &id));
            if let (Ok(at), Some(host)) = (at, self.fleet.get(&id)) {
                let own = rows[at].1.own;
                rows[at].1 = HealthRow { own, ..self.health_row(host, zone.paths.get(&id)) };
            }
        }
    }

    /// Makes a round's figures, unless nothing was heard since one that had nothing fresh.
    pub(crate) fn round_if_heard(&mut self, zones: &mut ByZone<Zone>) {
        let inputs = (self.derived.revisions.evidence, self.derived.revisions.fleet);
        if !self.derived.round.holds(&inputs, self.now) && !self.round(zones) {
            self.derived.round.settle(inputs, NEVER);
        }
    }

    /// Deals the hosts of each zone whose inputs have changed, or whose rest after the last dealing is over.
    pub(crate) fn deal_changed(&mut self, zones: &mut ByZone<Zone>) {
        let rest = Micros::from_secs(COOLDOWN_S).0;
        for (name, zone) in zones {
            let Revisions { fleet, proxies, .. } = self.derived.revisions;
            let inputs = DealInputs { fleet, proxies, bias: zone.bias, uses: zone.uses };
            if zone.derived.deal.holds(&inputs, self.now) {
                continue;
            }
            self.follow_health(name, zone);
            let rest_end = zone.laid.map(|(_, _, at)| Micros(at.0 + rest));
            self.deal(name, zone);
            let due = rest_end.filter(|end| *end > self.now).unwrap_or(NEVER);
            zone.derived.deal.settle(inputs, due);
        }
    }

    /// Drops all that was worked out before: the next call works everything out in full.
    pub fn forget_derived(&mut self) {
        self.derived = Derived::default();
        for zone in self.zones.values_mut() {
            zone.derived = ZoneDerived::default();
            let tables = zone.slots.iter_mut().flat_map(|slot| &mut slot.tables);
            tables.for_each(|table| table.settled = Settled::default());
        }
    }

    /// Looks at the hosts that may be cold: their share of capacity rises with time alone.
    pub(crate) fn follow_warmth(&mut self) {
        let fleet = self.derived.revisions.fleet;
        let figures = |host: &Host| (self.warmth(host), self.age(host) < 1.0);
        let warming: Vec<(HostId, f64, bool)> = if self.derived.warming_for == Some(fleet) {
            let known = self.derived.warming.iter();
            let known = known.filter_map(|(id, ..)| Some((id, self.fleet.get(id)?)));
            known.map(|(id, host)| (id.clone(), figures(host).0, figures(host).1)).collect()
        } else {
            let all = self.fleet.iter().map(|(id, host)| (id, figures(host)));
            let cold = all.filter(|(_, (warmth, cold))| *cold || *warmth < 1.0);
            cold.map(|(id, (warmth, cold))| (id.clone(), warmth, cold)).collect()
        };
        let derived = &mut self.derived;
        if derived.warming_for != Some(fleet) || warming != derived.warming {
            derived.revisions.warmth += 1;
            derived.warming = warming;
        }
        derived.warming_for = Some(fleet);
    }

    /// When a zone's view of health is due without further news: at the end of a stay outside or of a trial and, where so
    /// many tries were lost that other zones may be cut off, at once, since what was heard ages.
    pub(crate) fn health_due(&self, zone: &Zone, suspects: &[HostId], least: f64) -> Micros {
        if zone.lost_by(suspects) >= least {
            return self.now;
        }
        let next = |path: &Path| match path.state {
            Health::Out(until) | Health::Trial(until) if until > self.now => until,
            _ => NEVER,
        };
        suspects.iter().filter_map(|id| zone.paths.get(id)).map(next).min().unwrap_or(NEVER)
    }

    /// Whether what was last heard of a host belongs to the present period: hosts are told of one after the other.
    pub(crate) fn is_current(&self, path: &Path) -> bool {
        self.now.since(path.faded_at) <= 1.5 * self.set.report_period.secs()
    }

    /// The lines that a zone may use, by group, worked out by `work_out` where something has changed.
    pub(crate) fn usable_lines(
        &self,
        zone: &mut Zone,
        work_out: impl Fn(&Zone, usize) -> Vec<Line>,
    ) -> Usable {
        let Revisions { fleet, warmth, .. } = self.derived.revisions;
        let inputs = UsableInputs { fleet, warmth, standing: zone.derived.standing, bias: zone.bias };
        if zone.derived.usable_for.as_ref() != Some(&inputs) {
            let lines = (0..self.groups.len()).map(|group| work_out(zone, group)).collect();
            zone.derived.usable = Arc::new(lines);
            zone.derived.revision += 1;
            zone.derived.usable_for = Some(inputs);
        }
        zone.derived.usable.clone()
    }

    /// Works out anew, where something has changed, which hosts some zone's tables give less than their weight.
    pub(crate) fn follow_reduced<'a>(&mut self, zones: impl Iterator<Item = &'a Zone>) {
        let zones: Vec<&Zone> = zones.collect();
        let standing = zones.iter().map(|zone| zone.derived.standing).sum();
        let inputs = (self.derived.revisions.fleet, standing);
        if self.derived.reduced_for != Some(inputs) {
            let paths = zones.iter().flat_map(|zone| &zone.paths);
            let reduced = paths.filter(|(_, path)| path.state != Health::In || path.step > 0);
            self.derived.reduced = reduced.map(|(id, _)| id.clone()).collect();
            self.derived.reduced_for = Some(inputs);
        }
    }

    /// Whether some zone's tables give a host less than its weight, as last worked out.
    pub(crate) fn is_reduced(&self, id: &HostId) -> bool {
        self.derived.reduced.contains(id)
    }
}

/// The order of two hosts; most often both are the same record.
pub(crate) fn order(one: &HostId, other: &HostId) -> Ordering {
    match Arc::ptr_eq(&one.0, &other.0) {
        true => Ordering::Equal,
        false => one.cmp(other),
    }
}

/// Each entry of one map with the entry that another has for the same host. One pass over both, since they are in order.
pub(crate) fn paired<'a, One, Other>(
    one: &'a BTreeMap<HostId, One>,
    other: &'a BTreeMap<HostId, Other>,
) -> impl Iterator<Item = (&'a HostId, &'a One, Option<&'a Other>)> {
    let mut rest = other.iter().peekable();
    one.iter().map(move |(id, value)| loop {
        let ordering = rest.peek().map_or(Ordering::Greater, |(next, _)| order(next, id));
        match ordering {
            Ordering::Less => drop(rest.next()),
            Ordering::Equal => break (id, value, rest.next().map(|(_, met)| met)),
            Ordering::Greater => break (id, value, None),
        }
    })
}
