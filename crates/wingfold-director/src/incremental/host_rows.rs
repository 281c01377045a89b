//! What zones know of hosts, in rows by the positions of the host index: copies of the values that most
//! evaluations read.
use crate::director::Director;
use crate::incremental::{join_by_host, ChangedHost, Reindexing};
use crate::interface::{HostId, Timestamp, ZoneId};
use crate::state::{
    missed_attempts, AttemptStats, ByZone, HealthState, Host, ReportCounts, ScoredHost, Zone, ZoneHostStats,
};
use std::collections::BTreeMap;

/// What a host counts for in the health of a zone, and what the zone expects of it: copies of values of its
/// record and of its statistics. A row fills one line of the processor's cache, since each evaluation reads
/// all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HealthRow {
    /// Whether the endpoint list shows the host as ready.
    pub(crate) is_ready: bool,
    /// Whether the host is in the zone itself.
    pub(crate) in_own_zone: bool,
    /// Whether the zone uses the host, or may.
    pub(crate) is_in_use: bool,
    /// Whether attempts on the host failed or were useless, or it is ejected or on probation.
    has_failures: bool,
    /// Listed weight; 0 for a host that is not ready.
    pub(crate) weight: f64,
    /// Ratio of its attempts that failed, where enough were reported.
    pub(crate) loss_ratio: Option<f64>,
    /// Attempts that should have come, as in its statistics.
    missed_attempts: f64,
    /// The zone's counts when it was last reported, as in its statistics.
    pub(crate) counts_at_last_report: ReportCounts,
    /// Share of the zone's attempts that it should get, as in its statistics.
    expected_share: f64,
}

/// What a zone has observed of a host, and how it treats it: copies of values of its statistics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct StatsRow {
    /// Whether the zone has statistics of the host.
    pub(crate) is_known: bool,
    /// Whether it is on its first probation.
    pub(crate) first_probation: bool,
    /// How often its weight is halved.
    pub(crate) weight_halvings: u32,
    /// Its health.
    pub(crate) health: HealthState,
    /// Failed attempts in a row.
    pub(crate) consecutive_failures: f64,
    /// Attempts in a row that failed or came too late.
    pub(crate) consecutive_useless: f64,
    /// Successful attempts, decaying with time.
    pub(crate) recent_successes: f64,
    /// Failed attempts, decaying with time.
    pub(crate) recent_failures: f64,
    /// When the recent counts last decayed: when it was last reported.
    pub(crate) decayed_at: Timestamp,
    /// Its score, in milliseconds.
    score: Option<f64>,
    /// Attempts since the last scoring round that used them.
    pub(crate) fresh: AttemptStats,
}

impl HealthRow {
    /// The row of a host by its record and, if the zone has any, its statistics.
    pub(crate) fn new(host: &Host, in_own_zone: bool, stats: Option<&ZoneHostStats>) -> HealthRow {
        let is_ready = host.is_ready();
        let weight = if is_ready { host.weight } else { 0.0 };
        let mut row =
            HealthRow { is_ready, in_own_zone, weight, is_in_use: is_ready, ..HealthRow::default() };
        if let Some(stats) = stats {
            row.update(stats);
        }
        row
    }

    /// Copies what depends on the statistics.
    pub(crate) fn update(&mut self, stats: &ZoneHostStats) {
        let usage = Director::host_usage(stats);
        self.is_in_use = usage.is_in_use && self.is_ready;
        self.loss_ratio = usage.loss_ratio;
        self.has_failures = stats.health != HealthState::Healthy
            || stats.consecutive_failures > 0.0
            || stats.consecutive_useless > 0.0;
        self.update_expected_share(stats);
    }

    /// Records that the host is no longer ready; `in_own_zone` is as now listed.
    fn mark_not_ready(&mut self, in_own_zone: bool) {
        self.is_ready = false;
        self.in_own_zone = in_own_zone;
        self.weight = 0.0;
        self.is_in_use = false;
    }

    /// Copies what the zone expects of the host.
    pub(crate) fn update_expected_share(&mut self, stats: &ZoneHostStats) {
        self.missed_attempts = stats.missed_attempts;
        self.counts_at_last_report = stats.counts_at_last_report;
        self.expected_share = stats.expected_share;
    }

    /// Attempts that should have come since the host was last reported, by the zone's count of all attempts.
    pub(crate) fn missed_attempts_by(&self, attempts: f64) -> f64 {
        missed_attempts(
            self.missed_attempts,
            self.counts_at_last_report.attempts,
            self.expected_share,
            attempts,
        )
    }

    /// Whether the health of the host may change: it has failures, or so many attempts are missed.
    fn is_suspect(&self, attempts: f64, min_missed_attempts: f64) -> bool {
        self.has_failures || self.missed_attempts_by(attempts) >= min_missed_attempts
    }
}

impl StatsRow {
    /// The row of a host by its statistics, if the zone has any.
    pub(crate) fn new(stats: Option<&ZoneHostStats>) -> StatsRow {
        stats.map_or(StatsRow::default(), StatsRow::of)
    }

    /// The row of a host by its statistics.
    pub(crate) fn of(stats: &ZoneHostStats) -> StatsRow {
        StatsRow {
            is_known: true,
            first_probation: stats.first_probation,
            weight_halvings: stats.weight_halvings,
            health: stats.health,
            consecutive_failures: stats.consecutive_failures,
            consecutive_useless: stats.consecutive_useless,
            recent_successes: stats.recent_successes,
            recent_failures: stats.recent_failures,
            decayed_at: stats.decayed_at,
            score: stats.score,
            fresh: stats.fresh,
        }
    }
}

/// A host as a zone sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostInZone<'a> {
    /// Its position in the host index.
    pub(crate) index: usize,
    /// Its identifier.
    pub(crate) id: &'a HostId,
    /// Its record.
    pub(crate) host: &'a Host,
    /// What it counts for in the health of the zone.
    pub(crate) health: &'a HealthRow,
    /// What the zone has observed of it.
    pub(crate) stats: &'a StatsRow,
}

/// The rows of a zone, by position.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostRows {
    /// What each host counts for in the health of the zone.
    health: Vec<HealthRow>,
    /// What the zone has observed of each host.
    stats: Vec<StatsRow>,
    /// The revision of the endpoint list that they are as of; `None` if they must be rebuilt.
    revision: Option<u64>,
    /// Hosts that were reported since.
    outdated_hosts: Vec<HostId>,
}

impl HostRows {
    /// What each host counts for in the health of the zone, by position.
    pub(crate) fn health(&self) -> &[HealthRow] {
        &self.health
    }

    /// What the zone has observed of each host, by position.
    pub(crate) fn stats(&self) -> &[StatsRow] {
        &self.stats
    }

    /// Records that the zone's statistics of a host have changed.
    pub(crate) fn record_outdated(&mut self, host: &HostId) {
        if self.outdated_hosts.len() < self.health.len() {
            self.outdated_hosts.push(host.clone());
        } else {
            self.revision = None;
        }
    }

    /// Copies the statistics of the host at a position.
    pub(crate) fn update(&mut self, index: usize, stats: &ZoneHostStats) {
        self.health[index].update(stats);
        self.stats[index] = StatsRow::of(stats);
    }

    /// Copies what the zone expects of the host at a position.
    pub(crate) fn update_expected_share(&mut self, index: usize, stats: &ZoneHostStats) {
        self.health[index].update_expected_share(stats);
    }

    /// The positions of hosts whose health may change, by the zone's count of all attempts.
    pub(crate) fn suspects(&self, attempts: f64, min_missed_attempts: f64) -> Vec<usize> {
        let rows = self.health.iter().enumerate();
        rows.filter(|(_, row)| row.is_suspect(attempts, min_missed_attempts))
            .map(|(index, _)| index)
            .collect()
    }

    /// Sum of the failed attempts in a row at the hosts at some positions.
    pub(crate) fn consecutive_failures_of(&self, positions: &[usize]) -> f64 {
        positions.iter().map(|index| self.stats[*index].consecutive_failures).sum()
    }

    /// Scores of the hosts that are ready, healthy and have one, with their listed weights.
    pub(crate) fn scored_hosts(&self) -> Vec<ScoredHost> {
        let rows = self.health.iter().zip(&self.stats);
        rows.filter(|(health, stats)| health.is_ready && stats.health == HealthState::Healthy)
            .filter_map(|(health, stats)| Some(ScoredHost { score: stats.score?, weight: health.weight }))
            .collect()
    }

    /// Moves the rows to their new positions. `buffer` is reused between zones.
    fn reindex(&mut self, reindexing: &Reindexing, buffer: &mut HostRows) {
        copy_reindexed(&reindexing.previous_index, &self.health, &mut buffer.health);
        copy_reindexed(&reindexing.previous_index, &self.stats, &mut buffer.stats);
        std::mem::swap(&mut self.health, &mut buffer.health);
        std::mem::swap(&mut self.stats, &mut buffer.stats);
    }

    /// Updates the row of a host that the endpoint list has changed, and begins statistics of a ready host
    /// that has none.
    fn apply_change(
        &mut self,
        change: &HostChange,
        in_own_zone: bool,
        zone_stats: &mut BTreeMap<HostId, ZoneHostStats>,
    ) {
        if change.keeps_stats {
            self.health[change.index].mark_not_ready(in_own_zone);
            return;
        }
        let mut stats = zone_stats.get(change.id);
        if stats.is_none() && change.host.is_ready() {
            stats = Some(zone_stats.entry(change.id.clone()).or_default());
        }
        self.health[change.index] = HealthRow::new(change.host, in_own_zone, stats);
        self.stats[change.index] = StatsRow::new(stats);
    }
}

/// Copies rows to their new positions; `previous_index` has the positions before. Runs of hosts that stay
/// together are copied at once.
fn copy_reindexed<Row: Copy + Default>(previous_index: &[Option<usize>], from: &[Row], to: &mut Vec<Row>) {
    to.clear();
    let follows =
        |one: &Option<usize>, next: &Option<usize>| one.is_some() && *next == one.map(|index| index + 1);
    for run in previous_index.chunk_by(follows) {
        match run[0] {
            Some(first) => to.extend_from_slice(&from[first..first + run.len()]),
            None => to.push(Row::default()),
        }
    }
}

/// A host that the endpoint list has changed, with its record.
struct HostChange<'a> {
    /// Its new position.
    index: usize,
    /// Its identifier.
    id: &'a HostId,
    /// Its record.
    host: &'a Host,
    /// Whether zones keep their statistics of it as they are: it only drains or was removed.
    keeps_stats: bool,
}

impl Director {
    /// Updates the rows of all zones to the endpoint list.
    pub(crate) fn update_host_rows(&mut self, zones: &mut ByZone<Zone>) {
        let revision = self.memo.revisions.hosts;
        if !self.memo.host_index.is_at_revision(revision) {
            let reindexing = self.memo.host_index.update(&self.hosts, revision);
            self.apply_reindexing(zones, &reindexing, revision);
        }
        for (name, zone) in zones {
            if zone.memo.rows.revision != Some(revision) {
                zone.add_unknown_hosts(&self.hosts);
                zone.memo.rows = self.build_host_rows(name, zone);
            }
        }
    }

    /// Moves the rows that were as of the revision before to their new positions, and updates those of the
    /// hosts that the endpoint list has changed.
    fn apply_reindexing(&self, zones: &mut ByZone<Zone>, reindexing: &Reindexing, revision: u64) {
        let Some(previous_revision) = reindexing.previous_revision else { return };
        let Some(changed) = &reindexing.changed else { return };
        let ids = self.memo.host_index.ids();
        let changes: Vec<HostChange> =
            changed.iter().filter_map(|changed| self.host_change(changed, &ids, reindexing)).collect();
        let changes_positions = reindexing.changes_positions();
        let mut buffer = HostRows::default();
        for (name, zone) in zones {
            let rows = &mut zone.memo.rows;
            if rows.revision != Some(previous_revision) {
                continue;
            }
            if changes_positions {
                rows.reindex(reindexing, &mut buffer);
            }
            for change in &changes {
                let in_own_zone = change.host.endpoint.zone == *name;
                rows.apply_change(change, in_own_zone, &mut zone.host_stats);
            }
            rows.revision = Some(revision);
        }
    }

    /// A host that the endpoint list has changed, with its record.
    fn host_change<'a>(
        &'a self,
        changed: &ChangedHost,
        ids: &'a [HostId],
        reindexing: &Reindexing,
    ) -> Option<HostChange<'a>> {
        let index = changed.index;
        let id = &ids[index];
        let host = self.hosts.get(id)?;
        let was_known = reindexing.previous_index[index].is_some();
        let keeps_stats = !changed.is_ready && !host.is_ready() && was_known;
        Some(HostChange { index, id, host, keeps_stats })
    }

    /// Updates the rows of the hosts that were reported to a zone.
    pub(crate) fn update_outdated_rows(&self, zone: &mut Zone) {
        for id in std::mem::take(&mut zone.memo.rows.outdated_hosts) {
            let Some(index) = self.memo.host_index.position(&id) else { continue };
            let Some(stats) = zone.host_stats.get(&id) else { continue };
            zone.memo.rows.update(index, stats);
        }
    }

    /// Every host as a zone sees it, by position.
    pub(crate) fn hosts_in_zone<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = HostInZone<'a>> {
        let rows = zone.memo.rows.health.iter().zip(&zone.memo.rows.stats);
        let hosts = self.hosts.iter().zip(rows).enumerate();
        hosts.map(|(index, ((id, host), (health, stats)))| HostInZone { index, id, host, health, stats })
    }

    /// The hosts at some ascending positions as a zone sees them; or all of them.
    pub(crate) fn hosts_in_zone_at<'a>(
        &'a self,
        zone: &'a Zone,
        positions: &'a [usize],
        all: bool,
    ) -> impl Iterator<Item = HostInZone<'a>> {
        let mut positions = positions.iter().peekable();
        let is_selected = move |of: &HostInZone| positions.next_if_eq(&&of.index).is_some() || all;
        self.hosts_in_zone(zone).filter(is_selected)
    }

    /// The rows of a zone by the records.
    fn build_host_rows(&self, name: &ZoneId, zone: &Zone) -> HostRows {
        let mut health = Vec::with_capacity(self.hosts.len());
        let mut stats_rows = Vec::with_capacity(self.hosts.len());
        for (_, host, stats) in join_by_host(&self.hosts, &zone.host_stats) {
            health.push(HealthRow::new(host, host.endpoint.zone == *name, stats));
            stats_rows.push(StatsRow::new(stats));
        }
        HostRows {
            health,
            stats: stats_rows,
            revision: Some(self.memo.revisions.hosts),
            outdated_hosts: Vec::new(),
        }
    }

    /// Whether the rows of a zone equal the records that they are copied from.
    pub(crate) fn host_rows_match_stats(&self, name: &ZoneId, zone: &Zone) -> bool {
        let rows = &zone.memo.rows;
        let expected = self.build_host_rows(name, zone);
        rows.health == expected.health && rows.stats == expected.stats
    }

    /// By position: whether something holds for a host in some zone.
    pub(crate) fn hosts_where_any_zone(
        &self,
        zones: &ByZone<Zone>,
        holds: impl Fn(&StatsRow) -> bool,
    ) -> Vec<bool> {
        let mut holds_in_any = vec![false; self.memo.host_index.len()];
        for zone in zones.values() {
            for (holds_for_host, row) in holds_in_any.iter_mut().zip(&zone.memo.rows.stats) {
                *holds_for_host |= holds(row);
            }
        }
        holds_in_any
    }
}
