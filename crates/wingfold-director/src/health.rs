//! What zones know of hosts, in rows by the positions of the roster: copies of the figures in the paths that most looks
//! need. Nothing is decided here.
use crate::derived::paired;
use crate::interface::{HostId, Micros, ZoneId};
use crate::roster::{Renewal, Renumbering};
use crate::state::{tries_missed, ByZone, Director, Health, Host, Path, Tally, Zone};

/// What a host counts for in the health of a zone, and what the zone expects of it: figures of its record and of its path,
/// equal to those. It fills a line of the processor's cache: each look goes over all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HealthRow {
    pub(crate) ready: bool,
    /// It stands in the zone itself.
    pub(crate) own: bool,
    /// It is in use, or may be.
    pub(crate) stays: bool,
    /// It lost something, is out or on trial.
    blamed: bool,
    /// 0 for a host that is not ready.
    pub(crate) weight: f64,
    /// Its share of tries that were lost, where enough were heard of.
    pub(crate) loss: Option<f64>,
    /// As in its path: tries missed, the zone's counts when it was last heard of, and its part of the zone's tries.
    missed: f64,
    pub(crate) seen: (f64, f64),
    part: f64,
}

/// What a zone met at a host, and how it treats it: figures of the path, equal to those.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PathRow {
    /// The zone has a path to the host.
    pub(crate) known: bool,
    pub(crate) new: bool,
    pub(crate) step: u32,
    pub(crate) state: Health,
    pub(crate) streak: f64,
    pub(crate) row: f64,
    pub(crate) good: f64,
    pub(crate) bad: f64,
    pub(crate) faded_at: Micros,
    score: Option<f64>,
    pub(crate) sum: Tally,
}

impl HealthRow {
    fn new(host: &Host, own: bool, path: Option<&Path>) -> HealthRow {
        let ready = host.ready();
        let weight = if ready { host.weight } else { 0.0 };
        let mut row = HealthRow { ready, own, weight, stays: ready, ..HealthRow::default() };
        path.into_iter().for_each(|path| row.follow(path));
        row
    }

    fn follow(&mut self, path: &Path) {
        let (stays, loss) = Director::in_use(path);
        (self.stays, self.loss) = (stays && self.ready, loss);
        self.blamed = path.state != Health::In || path.streak > 0.0 || path.row > 0.0;
        self.expect(path);
    }

    /// The host is ready no more; `own` as the list now tells it.
    fn leave(&mut self, own: bool) {
        (self.ready, self.own, self.weight, self.stays) = (false, own, 0.0, false);
    }

    fn expect(&mut self, path: &Path) {
        (self.missed, self.seen, self.part) = (path.missed, path.seen, path.part);
    }

    /// Tries that should have come since the host was last heard of, by the zone's count of all tries.
    pub(crate) fn missed_by(&self, tries: f64) -> f64 {
        tries_missed(self.missed, self.seen.0, self.part, tries)
    }

    /// Whether a verdict may concern the host: for what it lost, or since so many tries are missed.
    fn is_suspect(&self, tries: f64, missed: f64) -> bool {
        self.blamed || self.missed_by(tries) >= missed
    }
}

impl PathRow {
    fn new(path: Option<&Path>) -> PathRow {
        path.map_or(PathRow::default(), PathRow::of)
    }

    fn of(path: &Path) -> PathRow {
        PathRow {
            known: true,
            new: path.new,
            step: path.step,
            state: path.state,
            streak: path.streak,
            row: path.row,
            good: path.good,
            bad: path.bad,
            faded_at: path.faded_at,
            score: path.score,
            sum: path.sum,
        }
    }
}

/// A host as a zone sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member<'a> {
    /// Its position in the roster.
    pub(crate) at: usize,
    pub(crate) id: &'a HostId,
    pub(crate) host: &'a Host,
    pub(crate) health: &'a HealthRow,
    pub(crate) path: &'a PathRow,
}

/// The rows of a zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthRows {
    health: Vec<HealthRow>,
    paths: Vec<PathRow>,
    /// The revision of the list that they are in line with; `None`: they are to be made anew.
    revision: Option<u64>,
    /// Hosts that the zone has heard of since.
    outdated: Vec<HostId>,
}

impl HealthRows {
    /// What each host counts for, in order.
    pub(crate) fn health(&self) -> &[HealthRow] {
        &self.health
    }

    /// What was met at each host, in order.
    pub(crate) fn paths(&self) -> &[PathRow] {
        &self.paths
    }

    /// What the zone knows of a host has changed.
    pub(crate) fn outdate(&mut self, host: &HostId) {
        if self.outdated.len() < self.health.len() {
            self.outdated.push(host.clone());
        } else {
            self.revision = None;
        }
    }

    /// Takes over what the zone now knows of the host at a position.
    pub(crate) fn follow(&mut self, at: usize, path: &Path) {
        self.health[at].follow(path);
        self.paths[at] = PathRow::of(path);
    }

    /// Takes over what is expected of the host at a position.
    pub(crate) fn expect(&mut self, at: usize, path: &Path) {
        self.health[at].expect(path);
    }

    /// The positions of hosts that a verdict may concern, by the zone's count of all tries.
    pub(crate) fn suspects(&self, tries: f64, missed: f64) -> Vec<usize> {
        let suspects = self.health.iter().enumerate().filter(|(_, row)| row.is_suspect(tries, missed));
        suspects.map(|(at, _)| at).collect()
    }

    /// Tries lost in a row at the hosts at some positions.
    pub(crate) fn lost_by(&self, positions: &[usize]) -> f64 {
        positions.iter().map(|at| self.paths[*at].streak).sum()
    }

    /// Scores of the hosts that are ready, not out and have one, with their listed weights.
    pub(crate) fn scored(&self) -> Vec<(f64, f64)> {
        let taken = self.health.iter().zip(&self.paths);
        let taken = taken.filter(|(row, path)| row.ready && path.state == Health::In);
        taken.filter_map(|(row, path)| Some((path.score?, row.weight))).collect()
    }

    fn renumber(&mut self, renumbering: &Renumbering, spare: &mut HealthRows) {
        moved(&renumbering.old, &self.health, &mut spare.health);
        moved(&renumbering.old, &self.paths, &mut spare.paths);
        std::mem::swap(&mut self.health, &mut spare.health);
        std::mem::swap(&mut self.paths, &mut spare.paths);
    }
}

/// Puts rows at their new positions: `old` has their old ones.
fn moved<Row: Copy + Default>(old: &[Option<usize>], from: &[Row], to: &mut Vec<Row>) {
    to.clear();
    for run in old.chunk_by(|one, next| one.is_some() && *next == one.map(|at| at + 1)) {
        match run[0] {
            Some(first) => to.extend_from_slice(&from[first..first + run.len()]),
            None => to.push(Row::default()),
        }
    }
}

impl Director {
    /// Brings the rows of all zones in line with the list.
    pub(crate) fn follow_fleet(&mut self, zones: &mut ByZone<Zone>) {
        let revision = self.derived.revisions.fleet;
        if !self.derived.roster.is_of(revision) {
            let renumbering = self.derived.roster.follow(&self.fleet, revision);
            self.follow_list(zones, &renumbering, revision);
        }
        let others = zones.iter_mut().filter(|(_, zone)| zone.derived.rows.revision != Some(revision));
        for (name, zone) in others {
            zone.meet(&self.fleet);
            zone.derived.rows = self.rows_anew(name, zone);
        }
    }

    /// Moves the rows that were in line with the list before to their new positions, and makes those of the hosts anew that
    /// the list has changed.
    fn follow_list(&self, zones: &mut ByZone<Zone>, renumbering: &Renumbering, revision: u64) {
        let (Some(before), Some(changed)) = (renumbering.before, &renumbering.changed) else { return };
        let ids = self.derived.roster.ids();
        let host = |renewal: &Renewal| Some((*renewal, &ids[renewal.at], self.fleet.get(&ids[renewal.at])?));
        let changed: Vec<(Renewal, &HostId, &Host)> = changed.iter().filter_map(host).collect();
        // The list leaves the paths of a host that only drains or goes as they are.
        let leaves =
            |of: &Renewal, host: &Host| !of.ready && !host.ready() && renumbering.old[of.at].is_some();
        let mut spare = HealthRows::default();
        let in_line = zones.iter_mut().filter(|(_, zone)| zone.derived.rows.revision == Some(before));
        for (name, zone) in in_line {
            let rows = &mut zone.derived.rows;
            if renumbering.moves() {
                rows.renumber(renumbering, &mut spare);
            }
            for (renewal, id, host) in &changed {
                let (at, own) = (renewal.at, host.entry.zone == *name);
                if leaves(renewal, host) {
                    rows.health[at].leave(own);
                    continue;
                }
                let mut path = zone.paths.get(*id);
                if path.is_none() && host.ready() {
                    path = Some(zone.paths.entry((*id).clone()).or_default());
                }
                rows.health[at] = HealthRow::new(host, own, path);
                rows.paths[at] = PathRow::new(path);
            }
            rows.revision = Some(revision);
        }
    }

    /// Brings the rows of the hosts that a zone has heard of up to date.
    pub(crate) fn follow_heard(&self, zone: &mut Zone) {
        for id in std::mem::take(&mut zone.derived.rows.outdated) {
            if let (Some(at), Some(path)) = (self.derived.roster.position(&id), zone.paths.get(&id)) {
                zone.derived.rows.follow(at, path);
            }
        }
    }

    /// Every host as a zone sees it, in order.
    pub(crate) fn members<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = Member<'a>> {
        let rows = zone.derived.rows.health.iter().zip(&zone.derived.rows.paths);
        let hosts = self.fleet.iter().zip(rows).enumerate();
        hosts.map(|(at, ((id, host), (health, path)))| Member { at, id, host, health, path })
    }

    /// The hosts at some positions, in order, as a zone sees them; or all of them.
    pub(crate) fn members_at<'a>(
        &'a self,
        zone: &'a Zone,
        positions: &'a [usize],
        all: bool,
    ) -> impl Iterator<Item = Member<'a>> {
        let mut positions = positions.iter().peekable();
        let is_meant = move |of: &Member| positions.next_if_eq(&&of.at).is_some() || all;
        self.members(zone).filter(is_meant)
    }

    fn rows_anew(&self, name: &ZoneId, zone: &Zone) -> HealthRows {
        let hosts = self.fleet.len();
        let (mut health, mut paths) = (Vec::with_capacity(hosts), Vec::with_capacity(hosts));
        for (_, host, path) in paired(&self.fleet, &zone.paths) {
            health.push(HealthRow::new(host, host.entry.zone == *name, path));
            paths.push(PathRow::new(path));
        }
        HealthRows { health, paths, revision: Some(self.derived.revisions.fleet), outdated: Vec::new() }
    }

    /// Whether the rows of a zone say what its paths do.
    pub(crate) fn rows_are_true(&self, name: &ZoneId, zone: &Zone) -> bool {
        let (rows, expected) = (&zone.derived.rows, self.rows_anew(name, zone));
        rows.health == expected.health && rows.paths == expected.paths
    }

    /// By position: whether something holds for a host in some zone.
    pub(crate) fn any_zone(&self, zones: &ByZone<Zone>, holds: impl Fn(&PathRow) -> bool) -> Vec<bool> {
        let mut any = vec![false; self.derived.roster.len()];
        for zone in zones.values() {
            for (any, row) in any.iter_mut().zip(&zone.derived.rows.paths) {
                *any |= holds(row);
            }
        }
        any
    }
}
