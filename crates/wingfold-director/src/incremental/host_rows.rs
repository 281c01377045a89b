//! What zones know of hosts, in rows by the positions of the host index: copies of the values that most
//! evaluations read.
use crate::director::Director;
use crate::incremental::{join_by_host, ChangedHost, Reindexing};
use crate::interface::{HostId, Timestamp, ZoneId};
use crate::state::{
    missed_attempts, AttemptStats, ByZone, HealthState, Host, ReportCounts, ScoredHost, Zone, ZoneHostStats,
};

/// What a host counts for in the health of a zone, and what the zone expects of it: figures of its record
/// and of its path, equal to those. It fills a line of the processor's cache: each look goes over all of
/// them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HealthRow {
    pub(crate) is_ready: bool,
    /// It stands in the zone itself.
    pub(crate) in_own_zone: bool,
    /// It is in use, or may be.
    pub(crate) is_in_use: bool,
    /// It lost something, is out or on trial.
    has_failures: bool,
    /// 0 for a host that is not ready.
    pub(crate) weight: f64,
    /// Its share of tries that were lost, where enough were heard of.
    pub(crate) loss_ratio: Option<f64>,
    /// As in its path: tries missed, the zone's counts when it was last heard of, and its part of the
    /// zone's tries.
    missed_attempts: f64,
    pub(crate) counts_at_last_report: ReportCounts,
    expected_share: f64,
}

/// What a zone met at a host, and how it treats it: figures of the path, equal to those.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct StatsRow {
    /// The zone has a path to the host.
    pub(crate) is_known: bool,
    pub(crate) new: bool,
    pub(crate) weight_halvings: u32,
    pub(crate) health: HealthState,
    pub(crate) consecutive_failures: f64,
    pub(crate) consecutive_useless: f64,
    pub(crate) recent_successes: f64,
    pub(crate) recent_failures: f64,
    pub(crate) decayed_at: Timestamp,
    score: Option<f64>,
    pub(crate) fresh: AttemptStats,
}

impl HealthRow {
    pub(crate) fn new(host: &Host, own: bool, path: Option<&ZoneHostStats>) -> HealthRow {
        let ready = host.is_ready();
        let weight = if ready { host.weight } else { 0.0 };
        let mut row =
            HealthRow { is_ready: ready, in_own_zone: own, weight, is_in_use: ready, ..HealthRow::default() };
        path.into_iter().for_each(|path| row.update(path));
        row
    }

    pub(crate) fn update(&mut self, path: &ZoneHostStats) {
        let usage = Director::host_usage(path);
        self.is_in_use = usage.is_in_use && self.is_ready;
        self.loss_ratio = usage.loss_ratio;
        self.has_failures = path.health != HealthState::Healthy
            || path.consecutive_failures > 0.0
            || path.consecutive_useless > 0.0;
        self.update_expected_share(path);
    }

    /// The host is ready no more; `own` as the list now tells it.
    fn mark_not_ready(&mut self, own: bool) {
        (self.is_ready, self.in_own_zone, self.weight, self.is_in_use) = (false, own, 0.0, false);
    }

    pub(crate) fn update_expected_share(&mut self, path: &ZoneHostStats) {
        self.missed_attempts = path.missed_attempts;
        self.counts_at_last_report = path.counts_at_last_report;
        self.expected_share = path.expected_share;
    }

    /// Tries that should have come since the host was last heard of, by the zone's count of all tries.
    pub(crate) fn missed_attempts_by(&self, tries: f64) -> f64 {
        missed_attempts(self.missed_attempts, self.counts_at_last_report.attempts, self.expected_share, tries)
    }

    /// Whether a verdict may concern the host: for what it lost, or since so many tries are missed.
    fn is_suspect(&self, tries: f64, missed: f64) -> bool {
        self.has_failures || self.missed_attempts_by(tries) >= missed
    }
}

impl StatsRow {
    pub(crate) fn new(path: Option<&ZoneHostStats>) -> StatsRow {
        path.map_or(StatsRow::default(), StatsRow::of)
    }

    pub(crate) fn of(path: &ZoneHostStats) -> StatsRow {
        StatsRow {
            is_known: true,
            new: path.first_probation,
            weight_halvings: path.weight_halvings,
            health: path.health,
            consecutive_failures: path.consecutive_failures,
            consecutive_useless: path.consecutive_useless,
            recent_successes: path.recent_successes,
            recent_failures: path.recent_failures,
            decayed_at: path.decayed_at,
            score: path.score,
            fresh: path.fresh,
        }
    }
}

/// A host as a zone sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostInZone<'a> {
    /// Its position in the roster.
    pub(crate) index: usize,
    pub(crate) id: &'a HostId,
    pub(crate) host: &'a Host,
    pub(crate) health: &'a HealthRow,
    pub(crate) stats: &'a StatsRow,
}

/// The rows of a zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostRows {
    health: Vec<HealthRow>,
    stats: Vec<StatsRow>,
    /// The revision of the list that they are in line with; `None`: they are to be made anew.
    revision: Option<u64>,
    /// Hosts that the zone has heard of since.
    outdated_hosts: Vec<HostId>,
}

impl HostRows {
    /// What each host counts for, in order.
    pub(crate) fn health(&self) -> &[HealthRow] {
        &self.health
    }

    /// What was met at each host, in order.
    pub(crate) fn paths(&self) -> &[StatsRow] {
        &self.stats
    }

    /// What the zone knows of a host has changed.
    pub(crate) fn record_outdated(&mut self, host: &HostId) {
        if self.outdated_hosts.len() < self.health.len() {
            self.outdated_hosts.push(host.clone());
        } else {
            self.revision = None;
        }
    }

    /// Takes over what the zone now knows of the host at a position.
    pub(crate) fn update(&mut self, at: usize, path: &ZoneHostStats) {
        self.health[at].update(path);
        self.stats[at] = StatsRow::of(path);
    }

    /// Takes over what is expected of the host at a position.
    pub(crate) fn update_expected_share(&mut self, at: usize, path: &ZoneHostStats) {
        self.health[at].update_expected_share(path);
    }

    /// The positions of hosts that a verdict may concern, by the zone's count of all tries.
    pub(crate) fn suspects(&self, tries: f64, missed: f64) -> Vec<usize> {
        let suspects = self.health.iter().enumerate().filter(|(_, row)| row.is_suspect(tries, missed));
        suspects.map(|(at, _)| at).collect()
    }

    /// Tries lost in a row at the hosts at some positions.
    pub(crate) fn consecutive_failures_of(&self, positions: &[usize]) -> f64 {
        positions.iter().map(|at| self.stats[*at].consecutive_failures).sum()
    }

    /// Scores of the hosts that are ready, not out and have one, with their listed weights.
    pub(crate) fn scored_hosts(&self) -> Vec<ScoredHost> {
        let taken = self.health.iter().zip(&self.stats);
        let taken = taken.filter(|(row, path)| row.is_ready && path.health == HealthState::Healthy);
        taken.filter_map(|(row, path)| Some(ScoredHost { score: path.score?, weight: row.weight })).collect()
    }

    fn reindex(&mut self, renumbering: &Reindexing, spare: &mut HostRows) {
        copy_reindexed(&renumbering.previous_index, &self.health, &mut spare.health);
        copy_reindexed(&renumbering.previous_index, &self.stats, &mut spare.stats);
        std::mem::swap(&mut self.health, &mut spare.health);
        std::mem::swap(&mut self.stats, &mut spare.stats);
    }
}

/// Puts rows at their new positions: `old` has their old ones.
fn copy_reindexed<Row: Copy + Default>(old: &[Option<usize>], from: &[Row], to: &mut Vec<Row>) {
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
    pub(crate) fn update_host_rows(&mut self, zones: &mut ByZone<Zone>) {
        let revision = self.memo.revisions.hosts;
        if !self.memo.host_index.is_at_revision(revision) {
            let renumbering = self.memo.host_index.update(&self.hosts, revision);
            self.apply_reindexing(zones, &renumbering, revision);
        }
        let others = zones.iter_mut().filter(|(_, zone)| zone.memo.rows.revision != Some(revision));
        for (name, zone) in others {
            zone.add_unknown_hosts(&self.hosts);
            zone.memo.rows = self.build_host_rows(name, zone);
        }
    }

    /// Moves the rows that were in line with the list before to their new positions, and makes those of the
    /// hosts anew that the list has changed.
    fn apply_reindexing(&self, zones: &mut ByZone<Zone>, renumbering: &Reindexing, revision: u64) {
        let (Some(before), Some(changed)) = (renumbering.previous_revision, &renumbering.changed) else {
            return;
        };
        let ids = self.memo.host_index.ids();
        let host = |renewal: &ChangedHost| {
            Some((*renewal, &ids[renewal.index], self.hosts.get(&ids[renewal.index])?))
        };
        let changed: Vec<(ChangedHost, &HostId, &Host)> = changed.iter().filter_map(host).collect();
        // The list leaves the paths of a host that only drains or goes as they are.
        let leaves = |of: &ChangedHost, host: &Host| {
            !of.is_ready && !host.is_ready() && renumbering.previous_index[of.index].is_some()
        };
        let mut spare = HostRows::default();
        let in_line = zones.iter_mut().filter(|(_, zone)| zone.memo.rows.revision == Some(before));
        for (name, zone) in in_line {
            let rows = &mut zone.memo.rows;
            if renumbering.changes_positions() {
                rows.reindex(renumbering, &mut spare);
            }
            for (renewal, id, host) in &changed {
                let (at, own) = (renewal.index, host.endpoint.zone == *name);
                if leaves(renewal, host) {
                    rows.health[at].mark_not_ready(own);
                    continue;
                }
                let mut path = zone.host_stats.get(*id);
                if path.is_none() && host.is_ready() {
                    path = Some(zone.host_stats.entry((*id).clone()).or_default());
                }
                rows.health[at] = HealthRow::new(host, own, path);
                rows.stats[at] = StatsRow::new(path);
            }
            rows.revision = Some(revision);
        }
    }

    /// Brings the rows of the hosts that a zone has heard of up to date.
    pub(crate) fn update_outdated_rows(&self, zone: &mut Zone) {
        for id in std::mem::take(&mut zone.memo.rows.outdated_hosts) {
            if let (Some(at), Some(path)) = (self.memo.host_index.position(&id), zone.host_stats.get(&id)) {
                zone.memo.rows.update(at, path);
            }
        }
    }

    /// Every host as a zone sees it, in order.
    pub(crate) fn hosts_in_zone<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = HostInZone<'a>> {
        let rows = zone.memo.rows.health.iter().zip(&zone.memo.rows.stats);
        let hosts = self.hosts.iter().zip(rows).enumerate();
        hosts.map(|(at, ((id, host), (health, path)))| HostInZone {
            index: at,
            id,
            host,
            health,
            stats: path,
        })
    }

    /// The hosts at some positions, in order, as a zone sees them; or all of them.
    pub(crate) fn hosts_in_zone_at<'a>(
        &'a self,
        zone: &'a Zone,
        positions: &'a [usize],
        all: bool,
    ) -> impl Iterator<Item = HostInZone<'a>> {
        let mut positions = positions.iter().peekable();
        let is_meant = move |of: &HostInZone| positions.next_if_eq(&&of.index).is_some() || all;
        self.hosts_in_zone(zone).filter(is_meant)
    }

    fn build_host_rows(&self, name: &ZoneId, zone: &Zone) -> HostRows {
        let hosts = self.hosts.len();
        let (mut health, mut paths) = (Vec::with_capacity(hosts), Vec::with_capacity(hosts));
        for (_, host, path) in join_by_host(&self.hosts, &zone.host_stats) {
            health.push(HealthRow::new(host, host.endpoint.zone == *name, path));
            paths.push(StatsRow::new(path));
        }
        HostRows {
            health,
            stats: paths,
            revision: Some(self.memo.revisions.hosts),
            outdated_hosts: Vec::new(),
        }
    }

    /// Whether the rows of a zone say what its paths do.
    pub(crate) fn host_rows_match_stats(&self, name: &ZoneId, zone: &Zone) -> bool {
        let (rows, expected) = (&zone.memo.rows, self.build_host_rows(name, zone));
        rows.health == expected.health && rows.stats == expected.stats
    }

    /// By position: whether something holds for a host in some zone.
    pub(crate) fn hosts_where_any_zone(
        &self,
        zones: &ByZone<Zone>,
        holds: impl Fn(&StatsRow) -> bool,
    ) -> Vec<bool> {
        let mut any = vec![false; self.memo.host_index.len()];
        for zone in zones.values() {
            for (any, row) in any.iter_mut().zip(&zone.memo.rows.stats) {
                *any |= holds(row);
            }
        }
        any
    }
}
