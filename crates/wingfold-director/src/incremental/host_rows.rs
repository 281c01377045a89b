//! Rows of each zone by the positions of the host index: copies of the host records and host statistics that
//! most evaluations read.
use crate::director::Director;
use crate::incremental::{join_by_host, ChangedHost, Reindexing};
use crate::interface::{HostId, Timestamp, ZoneId};
use crate::state::{
    missed_attempts, AttemptStats, ByZone, HealthState, Host, ReportCounts, ScoredHost, Zone, ZoneHostStats,
};
use std::collections::BTreeMap;

/// Copies of the values of a host's record and of a zone's statistics of the host from which the zone's
/// median loss is computed, and which tell whether the host's health may have to change. A row fits into one
/// cache line of the processor, since every evaluation reads all rows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HealthRow {
    /// Whether the endpoint list shows the host as ready.
    pub(crate) is_ready: bool,
    /// Whether the host is in the zone itself.
    pub(crate) in_own_zone: bool,
    /// Whether the host is ready and, by the zone's statistics, in use and likely to stay so; see
    /// [`Director::host_usage`].
    pub(crate) is_in_use: bool,
    /// Whether the host's latest attempts failed or were useless, or the host is ejected or on probation.
    has_failures: bool,
    /// Listed weight; 0 for a host that is not ready.
    pub(crate) weight: f64,
    /// Ratio of the host's recent attempts that failed; `None` if too few were reported.
    pub(crate) loss_ratio: Option<f64>,
    /// Copy of [`ZoneHostStats::missed_attempts`].
    missed_attempts: f64,
    /// Copy of [`ZoneHostStats::counts_at_last_report`].
    pub(crate) counts_at_last_report: ReportCounts,
    /// Copy of [`ZoneHostStats::expected_share`].
    expected_share: f64,
}

/// Copies of values of a zone's statistics of a host: the attempts that were reported, and the host's health
/// and ranking in the zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct StatsRow {
    /// Whether the zone has statistics of the host; if not, all other fields have defaults.
    pub(crate) is_known: bool,
    /// Copy of [`ZoneHostStats::first_probation`].
    pub(crate) first_probation: bool,
    /// How many times the ranking has halved the host's weight.
    pub(crate) weight_halvings: u32,
    /// The host's health in the zone.
    pub(crate) health: HealthState,
    /// Copy of [`ZoneHostStats::consecutive_failures`].
    pub(crate) consecutive_failures: f64,
    /// Copy of [`ZoneHostStats::consecutive_useless`].
    pub(crate) consecutive_useless: f64,
    /// Successful attempts, decayed exponentially up to `decayed_at`.
    pub(crate) recent_successes: f64,
    /// Failed attempts, decayed exponentially up to `decayed_at`.
    pub(crate) recent_failures: f64,
    /// When the recent counts were last updated: the time of the last load report.
    pub(crate) decayed_at: Timestamp,
    /// The host's score in the zone, in milliseconds.
    score: Option<f64>,
    /// Attempts that no scoring round has used yet.
    pub(crate) fresh: AttemptStats,
}

impl HealthRow {
    /// The row of a host, from its record and the zone's statistics of the host, if there are any.
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

    /// Updates the fields that depend on the zone's statistics of the host.
    pub(crate) fn update(&mut self, stats: &ZoneHostStats) {
        let usage = Director::host_usage(stats);
        self.is_in_use = usage.is_in_use && self.is_ready;
        self.loss_ratio = usage.loss_ratio;
        self.has_failures = stats.health != HealthState::Healthy
            || stats.consecutive_failures > 0.0
            || stats.consecutive_useless > 0.0;
        self.update_expected_share(stats);
    }

    /// Records that the endpoint list no longer shows the host as ready. `in_own_zone` is by the latest list
    /// entry, which may name another zone than before.
    fn mark_not_ready(&mut self, in_own_zone: bool) {
        self.is_ready = false;
        self.in_own_zone = in_own_zone;
        self.weight = 0.0;
        self.is_in_use = false;
    }

    /// Copies the values that expected and missed attempts are computed from.
    pub(crate) fn update_expected_share(&mut self, stats: &ZoneHostStats) {
        self.missed_attempts = stats.missed_attempts;
        self.counts_at_last_report = stats.counts_at_last_report;
        self.expected_share = stats.expected_share;
    }

    /// Attempts that were expected at the host since its last load report, when the zone's total of attempts
    /// is `attempts`.
    pub(crate) fn missed_attempts_by(&self, attempts: f64) -> f64 {
        missed_attempts(
            self.missed_attempts,
            self.counts_at_last_report.attempts,
            self.expected_share,
            attempts,
        )
    }

    /// Whether the health of the host may have to change: the host has failures, or at least
    /// `min_missed_attempts` expected attempts have not been reported. `attempts` is the zone's total of
    /// attempts.
    fn is_suspect(&self, attempts: f64, min_missed_attempts: f64) -> bool {
        self.has_failures || self.missed_attempts_by(attempts) >= min_missed_attempts
    }
}

impl StatsRow {
    /// The row of a host; one with defaults if the zone has no statistics of the host.
    pub(crate) fn new(stats: Option<&ZoneHostStats>) -> StatsRow {
        stats.map_or(StatsRow::default(), StatsRow::from_stats)
    }

    /// The row of a host of which the zone has statistics.
    pub(crate) fn from_stats(stats: &ZoneHostStats) -> StatsRow {
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

/// A host with its record and its rows in a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostInZone<'a> {
    /// The host's position in the host index.
    pub(crate) index: usize,
    /// The host's identifier.
    pub(crate) id: &'a HostId,
    /// The host's record.
    pub(crate) host: &'a Host,
    /// The host's health row in the zone.
    pub(crate) health: &'a HealthRow,
    /// The host's statistics row in the zone.
    pub(crate) stats: &'a StatsRow,
}

/// The rows of a zone, by the positions of the host index.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostRows {
    /// The health row of each host.
    health: Vec<HealthRow>,
    /// The statistics row of each host.
    stats: Vec<StatsRow>,
    /// The revision of the hosts that the rows reflect; `None` if the rows must be rebuilt.
    revision: Option<u64>,
    /// Hosts whose statistics have changed since their rows were last updated.
    outdated_hosts: Vec<HostId>,
}

impl HostRows {
    /// The health rows by position.
    pub(crate) fn health(&self) -> &[HealthRow] {
        &self.health
    }

    /// The statistics rows by position.
    pub(crate) fn stats(&self) -> &[StatsRow] {
        &self.stats
    }

    /// Records that the zone's statistics of a host have changed. After as many changes as there are rows,
    /// all rows are rebuilt instead.
    pub(crate) fn record_outdated(&mut self, host: &HostId) {
        if self.outdated_hosts.len() < self.health.len() {
            self.outdated_hosts.push(host.clone());
        } else {
            self.revision = None;
        }
    }

    /// Updates the rows at a position to the host's statistics.
    pub(crate) fn update(&mut self, index: usize, stats: &ZoneHostStats) {
        self.health[index].update(stats);
        self.stats[index] = StatsRow::from_stats(stats);
    }

    /// Updates the values at a position that expected and missed attempts are computed from.
    pub(crate) fn update_expected_share(&mut self, index: usize, stats: &ZoneHostStats) {
        self.health[index].update_expected_share(stats);
    }

    /// The positions of the hosts whose health may have to change, when the zone's total of attempts is
    /// `attempts`; see [`HealthRow::is_suspect`].
    pub(crate) fn suspects(&self, attempts: f64, min_missed_attempts: f64) -> Vec<usize> {
        let rows = self.health.iter().enumerate();
        rows.filter(|(_, row)| row.is_suspect(attempts, min_missed_attempts))
            .map(|(index, _)| index)
            .collect()
    }

    /// Sum of the consecutive failures of the hosts at these positions.
    pub(crate) fn consecutive_failures_of(&self, positions: &[usize]) -> f64 {
        positions.iter().map(|index| self.stats[*index].consecutive_failures).sum()
    }

    /// Scores and listed weights of the hosts that are ready and healthy and have a score.
    pub(crate) fn scored_hosts(&self) -> Vec<ScoredHost> {
        let rows = self.health.iter().zip(&self.stats);
        rows.filter(|(health, stats)| health.is_ready && stats.health == HealthState::Healthy)
            .filter_map(|(health, stats)| Some(ScoredHost { score: stats.score?, weight: health.weight }))
            .collect()
    }

    /// Moves the rows to their new positions. `buffer` provides memory that is reused between zones.
    fn reindex(&mut self, reindexing: &Reindexing, buffer: &mut HostRows) {
        copy_reindexed(&reindexing.previous_index, &self.health, &mut buffer.health);
        copy_reindexed(&reindexing.previous_index, &self.stats, &mut buffer.stats);
        std::mem::swap(&mut self.health, &mut buffer.health);
        std::mem::swap(&mut self.stats, &mut buffer.stats);
    }

    /// Updates the rows of a host that the endpoint list has changed. Adds empty statistics for a ready host
    /// of which the zone has none.
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

/// Copies rows from their previous positions, given by new position in `previous_index`, to their new
/// positions. New hosts get default rows. Hosts with consecutive previous positions are copied at once.
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

/// A host that the endpoint list may have changed, with its record.
struct HostChange<'a> {
    /// The host's new position.
    index: usize,
    /// The host's identifier.
    id: &'a HostId,
    /// The host's record.
    host: &'a Host,
    /// Whether zones keep their statistics of the host unchanged: the host was known before, and is neither
    /// listed as ready by this change nor ready now.
    keeps_stats: bool,
}

impl Director {
    /// Updates the host index and the rows of all zones to the present revision of the hosts.
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

    /// Moves the rows that reflect the previous revision to their new positions, and updates the rows of the
    /// hosts that the endpoint list has changed. Other rows are left to be rebuilt.
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

    /// The record of a host that the endpoint list may have changed, and whether its statistics are
    /// unchanged.
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

    /// Updates the rows of the hosts whose statistics in the zone have changed.
    pub(crate) fn update_outdated_rows(&self, zone: &mut Zone) {
        for id in std::mem::take(&mut zone.memo.rows.outdated_hosts) {
            let Some(index) = self.memo.host_index.position(&id) else { continue };
            let Some(stats) = zone.host_stats.get(&id) else { continue };
            zone.memo.rows.update(index, stats);
        }
    }

    /// All hosts with their rows in a zone, by position.
    pub(crate) fn hosts_in_zone<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = HostInZone<'a>> {
        let rows = zone.memo.rows.health.iter().zip(&zone.memo.rows.stats);
        let hosts = self.hosts.iter().zip(rows).enumerate();
        hosts.map(|(index, ((id, host), (health, stats)))| HostInZone { index, id, host, health, stats })
    }

    /// The hosts at `positions`, which must be ascending, with their rows in a zone; all hosts if `all`.
    pub(crate) fn hosts_in_zone_at<'a>(
        &'a self,
        zone: &'a Zone,
        positions: &'a [usize],
        all: bool,
    ) -> impl Iterator<Item = HostInZone<'a>> {
        let mut positions = positions.iter().peekable();
        let is_selected = move |host: &HostInZone| positions.next_if_eq(&&host.index).is_some() || all;
        self.hosts_in_zone(zone).filter(is_selected)
    }

    /// Builds the rows of a zone from the records and the zone's statistics.
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

    /// Whether the rows of a zone equal rows that are built anew from the records.
    pub(crate) fn host_rows_match_stats(&self, name: &ZoneId, zone: &Zone) -> bool {
        let rows = &zone.memo.rows;
        let expected = self.build_host_rows(name, zone);
        rows.health == expected.health && rows.stats == expected.stats
    }

    /// For each host by position: whether its row in at least one zone meets a condition.
    pub(crate) fn hosts_where_any_zone(
        &self,
        zones: &ByZone<Zone>,
        condition: impl Fn(&StatsRow) -> bool,
    ) -> Vec<bool> {
        let mut is_met = vec![false; self.memo.host_index.len()];
        for zone in zones.values() {
            for (is_met_for_host, row) in is_met.iter_mut().zip(&zone.memo.rows.stats) {
                *is_met_for_host |= condition(row);
            }
        }
        is_met
    }
}
