//! Results worked out from the records and kept until what they were worked out from changes.
//!
//! Nothing is decided here and none of it is written to a checkpoint: a result that is missing is worked out anew, in
//! full. A step that is run again on equal inputs, before its due time, must change nothing; then it may be skipped.
use crate::health::HealthRows;
use crate::interface::{Entry, Event, HostId, ListKind, Micros};
use crate::policy::COOLDOWN_S;
use crate::roster::Roster;
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

/// How warm a host is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Warmth {
    /// The share of its capacity that it surely has.
    pub(crate) warmth: f64,
    /// It may still be cold, whatever that share says.
    pub(crate) cold: bool,
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

/// What is kept for a zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneDerived {
    /// Counts changes of what the zone knows of hosts, and of how its tables treat them.
    pub(crate) evidence: u64,
    pub(crate) standing: u64,
    pub(crate) health: Settled<HealthInputs>,
    /// What it knows of each host.
    pub(crate) rows: HealthRows,
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
    /// Every host by its position, and what the list has changed since.
    pub(crate) roster: Roster,
    /// Hosts that may still be cold, and the list's revision.
    warming: Vec<(HostId, Warmth)>,
    warming_for: Option<u64>,
    /// By position: whether some zone's tables give a host less than its weight, and the revisions that this was worked
    /// out for.
    reduced: Vec<bool>,
    reduced_for: Option<(u64, u64)>,
}

impl Derived {
    /// A zone has heard of a host; `crossed` tells that it became useless to all zones together, or no longer is.
    pub(crate) fn heard(&mut self, zone: &mut ZoneDerived, host: &HostId, crossed: bool) {
        zone.evidence += 1;
        zone.rows.outdate(host);
        self.revisions.evidence += 1;
        self.revisions.useless += u64::from(crossed);
    }

    /// The listed weights of any hosts may have changed.
    pub(crate) fn weights_changed(&mut self) {
        self.revisions.fleet += 1;
        self.roster.note_any();
    }

    /// So many hosts have been let go of.
    pub(crate) fn hosts_removed(&mut self, count: usize) {
        self.revisions.fleet += u64::from(count > 0);
    }

    /// The list has told something.
    fn list_changed(&mut self, kind: ListKind, entries: &[Entry]) {
        self.revisions.fleet += 1;
        match kind {
            ListKind::Changes => self.roster.note(entries),
            ListKind::Whole | ListKind::Remembered => self.roster.note_any(),
        }
    }
}

impl ZoneDerived {
    /// How the zone's tables treat the host at a position has changed.
    pub(crate) fn moved(&mut self, at: usize, path: &Path) {
        self.rows.follow(at, path);
        self.evidence += 1;
        self.standing += 1;
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
        match event {
            Event::List(kind, entries) => self.derived.list_changed(*kind, entries),
            Event::Joined(..) | Event::Left(_) => self.derived.revisions.proxies += 1,
            _ => {}
        }
    }

    /// Judges the hosts in each zone whose inputs have changed or that is due.
    pub(crate) fn judge_changed(&mut self, zones: &mut ByZone<Zone>) {
        self.follow_fleet(zones);
        for (name, zone) in zones {
            let Revisions { fleet, useless, .. } = self.derived.revisions;
            let evidence = zone.derived.evidence;
            let inputs = HealthInputs { evidence, fleet, useless, calm: self.calm() };
            if zone.derived.health.holds(&inputs, self.now) {
                continue;
            }
            self.follow_heard(zone);
            debug_assert!(self.rows_are_true(name, zone), "rows of {name:?} differ from its paths");
            let due = self.judge(name, zone);
            self.derived.revisions.evidence += u64::from(zone.derived.evidence != evidence);
            zone.derived.health.settle(inputs, due);
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
        self.follow_fleet(zones);
        let rest = Micros::from_secs(COOLDOWN_S).0;
        for (name, zone) in zones {
            let Revisions { fleet, proxies, .. } = self.derived.revisions;
            let inputs = DealInputs { fleet, proxies, bias: zone.bias, uses: zone.uses };
            if zone.derived.deal.holds(&inputs, self.now) {
                continue;
            }
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
        let warming: Vec<(HostId, Warmth)> = if self.derived.warming_for == Some(fleet) {
            let known = self.derived.warming.iter();
            let known = known.filter_map(|(id, _)| Some((id, self.fleet.get(id)?)));
            known.map(|(id, host)| (id.clone(), self.warmth_of(host))).collect()
        } else {
            let all = self.fleet.iter().map(|(id, host)| (id, self.warmth_of(host)));
            let cold = all.filter(|(_, is)| is.cold || is.warmth < 1.0);
            cold.map(|(id, is)| (id.clone(), is)).collect()
        };
        let derived = &mut self.derived;
        if derived.warming_for != Some(fleet) || warming != derived.warming {
            derived.revisions.warmth += 1;
            derived.warming = warming;
        }
        derived.warming_for = Some(fleet);
    }

    fn warmth_of(&self, host: &Host) -> Warmth {
        Warmth { warmth: self.warmth(host), cold: self.age(host) < 1.0 }
    }

    /// How warm each host is, by position.
    pub(crate) fn warmths(&self) -> Vec<Warmth> {
        self.fleet.values().map(|host| self.warmth_of(host)).collect()
    }

    /// When a zone's view of health is due without further news: at the end of a stay outside or of a trial and, where so
    /// many tries were lost that other zones may be cut off, at once, since what was heard ages.
    pub(crate) fn health_due(&self, zone: &Zone, suspects: &[usize], least: f64) -> Micros {
        let rows = &zone.derived.rows;
        if rows.lost_by(suspects) >= least {
            return self.now;
        }
        let next = |at: &usize| match rows.paths()[*at].state {
            Health::Out(until) | Health::Trial(until) if until > self.now => until,
            _ => NEVER,
        };
        suspects.iter().map(next).min().unwrap_or(NEVER)
    }

    /// Whether what was last heard of a host, at `heard_at`, belongs to the present period: hosts are told of one after
    /// the other.
    pub(crate) fn is_current(&self, heard_at: Micros) -> bool {
        self.now.since(heard_at) <= 1.5 * self.set.report_period.secs()
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
    pub(crate) fn follow_reduced(&mut self, zones: &ByZone<Zone>) {
        let standing = zones.values().map(|zone| zone.derived.standing).sum();
        let inputs = (self.derived.revisions.fleet, standing);
        if self.derived.reduced_for != Some(inputs) {
            self.derived.reduced = self.any_zone(zones, |row| row.state != Health::In || row.step > 0);
            self.derived.reduced_for = Some(inputs);
        }
    }

    /// By position: whether some zone's tables give a host less than its weight, as last worked out.
    pub(crate) fn reduced(&self) -> &[bool] {
        &self.derived.reduced
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
