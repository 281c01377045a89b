//! What zones know of hosts, in rows by the positions of the roster: copies of the figures in the paths that most looks
//! need. Nothing is decided here.
use crate::derived::paired;
use crate::interface::{HostId, Micros, ZoneId};
use crate::state::{tries_missed, ByZone, Director, Health, Host, Path, Tally, Zone};

/// What a host counts for in a zone: figures of its record and of its path, equal to those.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HealthRow {
    pub(crate) ready: bool,
    /// It stands in the zone itself.
    pub(crate) own: bool,
    /// 0 for a host that is not ready.
    pub(crate) weight: f64,
    /// The zone has a path to it.
    pub(crate) known: bool,
    /// It is in use, or may be.
    pub(crate) stays: bool,
    /// Its share of tries that were lost, where enough were heard of.
    pub(crate) loss: Option<f64>,
    /// Figures of the path; see [`Path`].
    pub(crate) state: Health,
    pub(crate) new: bool,
    pub(crate) step: u32,
    pub(crate) score: Option<f64>,
    pub(crate) sum: Tally,
    pub(crate) good: f64,
    pub(crate) bad: f64,
    pub(crate) streak: f64,
    pub(crate) row: f64,
    pub(crate) faded_at: Micros,
    pub(crate) part: f64,
    pub(crate) missed: f64,
    pub(crate) seen: (f64, f64),
}

impl HealthRow {
    fn new(host: &Host, own: bool, path: Option<&Path>) -> HealthRow {
        let ready = host.ready();
        let weight = if ready { host.weight } else { 0.0 };
        let mut row = HealthRow { ready, own, weight, ..HealthRow::default() };
        match path {
            Some(path) => row.set_path(path),
            None => row = HealthRow { stays: ready, ..row },
        }
        row
    }

    fn set_path(&mut self, path: &Path) {
        let (stays, loss) = Director::in_use(path);
        *self = HealthRow {
            known: true,
            stays: stays && self.ready,
            loss,
            state: path.state,
            new: path.new,
            step: path.step,
            score: path.score,
            sum: path.sum,
            good: path.good,
            bad: path.bad,
            streak: path.streak,
            row: path.row,
            faded_at: path.faded_at,
            part: path.part,
            missed: path.missed,
            seen: path.seen,
            ..*self
        };
    }

    /// Tries that should have come since the host was last heard of, by the zone's count of all tries.
    pub(crate) fn missed_by(&self, tries: f64) -> f64 {
        tries_missed(self.missed, self.seen.0, self.part, tries)
    }

    /// Whether a verdict may concern the host: for what it lost, or since so many tries are missed.
    fn is_suspect(&self, tries: f64, missed: f64) -> bool {
        let blameless = self.state == Health::In && self.streak <= 0.0 && self.row <= 0.0;
        !blameless || self.missed_by(tries) >= missed
    }
}

/// The rows of a zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthRows {
    rows: Vec<HealthRow>,
    /// The revision of the list that they are in line with; `None`: they are to be made anew.
    revision: Option<u64>,
    /// Hosts that the zone has heard of since.
    outdated: Vec<HostId>,
}

impl HealthRows {
    /// A row for each host, in order.
    pub(crate) fn all(&self) -> &[HealthRow] {
        &self.rows
    }

    /// What the zone knows of a host has changed.
    pub(crate) fn outdate(&mut self, host: &HostId) {
        if self.outdated.len() < self.rows.len() {
            self.outdated.push(host.clone());
        } else {
            self.revision = None;
        }
    }

    /// Takes over what the zone now knows of the host at a position.
    pub(crate) fn set_path(&mut self, at: usize, path: &Path) {
        self.rows[at].set_path(path);
    }

    /// Takes over what is expected of the host at a position.
    pub(crate) fn set_expected(&mut self, at: usize, path: &Path) {
        let row = &mut self.rows[at];
        (row.part, row.missed, row.seen) = (path.part, path.missed, path.seen);
    }

    /// The positions of hosts that a verdict may concern, by the zone's count of all tries.
    pub(crate) fn suspects(&self, tries: f64, missed: f64) -> Vec<usize> {
        let suspects = self.rows.iter().enumerate().filter(|(_, row)| row.is_suspect(tries, missed));
        suspects.map(|(at, _)| at).collect()
    }

    /// Tries lost in a row at the hosts at some positions.
    pub(crate) fn lost_by(&self, positions: &[usize]) -> f64 {
        positions.iter().map(|at| self.rows[*at].streak).sum()
    }

    /// Listed weights of the hosts that are ready, not out and have a score, with the scores.
    pub(crate) fn scored(&self) -> Vec<(f64, f64)> {
        let taken = self.rows.iter().filter(|row| row.ready && row.state == Health::In);
        taken.filter_map(|row| Some((row.score?, row.weight))).collect()
    }
}

impl Director {
    /// Brings the rows of all zones in line with the list.
    pub(crate) fn follow_fleet(&mut self, zones: &mut ByZone<Zone>) {
        let revision = self.derived.revisions.fleet;
        if !self.derived.roster.is_of(revision) {
            let renumbering = self.derived.roster.follow(&self.fleet, revision);
            if let (Some(before), Some(changed)) = (renumbering.before, &renumbering.changed) {
                let in_line = zones.iter_mut().filter(|(_, zone)| zone.derived.rows.revision == Some(before));
                for (name, zone) in in_line {
                    let from = &zone.derived.rows.rows;
                    let row = |old: &Option<usize>| old.map_or(HealthRow::default(), |at| from[at]);
                    zone.derived.rows.rows = renumbering.old.iter().map(row).collect();
                    changed.iter().for_each(|at| self.meet_and_renew(name, zone, *at));
                    zone.derived.rows.revision = Some(revision);
                }
            }
        }
        let others = zones.iter_mut().filter(|(_, zone)| zone.derived.rows.revision != Some(revision));
        for (name, zone) in others {
            zone.meet(&self.fleet);
            let rows = self.rows_anew(name, zone).collect();
            zone.derived.rows = HealthRows { rows, revision: Some(revision), outdated: Vec::new() };
        }
    }

    /// Begins to know the host at a position if it is ready, and makes its row anew.
    fn meet_and_renew(&self, name: &ZoneId, zone: &mut Zone, at: usize) {
        let ids = self.derived.roster.ids();
        let Some(host) = self.fleet.get(&ids[at]) else { return };
        if host.ready() && !zone.paths.contains_key(&ids[at]) {
            zone.paths.insert(ids[at].clone(), Path::default());
        }
        let own = host.entry.zone == *name;
        zone.derived.rows.rows[at] = HealthRow::new(host, own, zone.paths.get(&ids[at]));
    }

    /// Brings the rows of the hosts that a zone has heard of up to date.
    pub(crate) fn follow_heard(&self, zone: &mut Zone) {
        for id in std::mem::take(&mut zone.derived.rows.outdated) {
            if let (Some(at), Some(path)) = (self.derived.roster.position(&id), zone.paths.get(&id)) {
                zone.derived.rows.set_path(at, path);
            }
        }
    }

    fn rows_anew<'a>(&'a self, name: &'a ZoneId, zone: &'a Zone) -> impl Iterator<Item = HealthRow> + 'a {
        let hosts = paired(&self.fleet, &zone.paths);
        hosts.map(|(_, host, path)| HealthRow::new(host, host.entry.zone == *name, path))
    }

    /// Whether the rows of a zone say what its paths do.
    pub(crate) fn rows_are_true(&self, name: &ZoneId, zone: &Zone) -> bool {
        zone.derived.rows.rows.iter().copied().eq(self.rows_anew(name, zone))
    }

    /// By position: whether something holds for a host in some zone.
    pub(crate) fn any_zone(&self, zones: &ByZone<Zone>, holds: impl Fn(&HealthRow) -> bool) -> Vec<bool> {
        let mut any = vec![false; self.derived.roster.len()];
        for zone in zones.values() {
            for (any, row) in any.iter_mut().zip(&zone.derived.rows.rows) {
                *any |= holds(row);
            }
        }
        any
    }
}
