//! A zone of proxies: its statistics of the hosts, and its subsets.
use crate::incremental::{join_by_host, ZoneMemo};
use crate::interface::{HostId, Timestamp};
use crate::state::{Host, ReportCounts, Subset, ZoneHostStats};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A zone of proxies. Each zone ranks the hosts by the attempts of its own proxies and has its own tables.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Zone {
    /// The zone's statistics of each host.
    #[serde(rename = "paths")]
    pub(crate) host_stats: BTreeMap<HostId, ZoneHostStats>,
    /// The subsets that the zone's proxies are assigned to. Subsets are added and never removed.
    #[serde(rename = "slots")]
    pub(crate) subsets: Vec<Subset>,
    /// Ratio by which the weight of hosts of other zones is reduced in the zone's tables.
    #[serde(rename = "bias")]
    pub(crate) remote_discount: f64,
    /// When the ranking last changed a weight.
    #[serde(rename = "moved_at")]
    pub(crate) ranking_changed_at: Option<Timestamp>,
    /// Totals of the zone's load reports so far.
    #[serde(rename = "heard")]
    pub(crate) attempts_seen: ReportCounts,
    /// Number of hosts with an entry in any of the zone's tables.
    #[serde(rename = "width")]
    pub(crate) hosts_in_tables: f64,
    /// Whether the tables have changed since the expected shares of the hosts were computed.
    #[serde(rename = "changed")]
    pub(crate) tables_changed: bool,
    /// Requests that a connection should carry before it is closed for being idle. The higher the number, the
    /// smaller the subsets.
    #[serde(rename = "uses")]
    pub(crate) requests_per_connection: f64,
    /// The last assignment of hosts to subsets.
    #[serde(rename = "laid")]
    pub(crate) last_assignment: Option<SubsetAssignment>,
    /// Whether the proxies have been assigned to finer subsets because hosts refused connections.
    #[serde(rename = "fine")]
    pub(crate) has_fine_subsets: bool,
    /// Consecutive admission updates with a low baseline loss while `requests_per_connection` was above its
    /// minimum; restarts at 0 after each reduction of `requests_per_connection`.
    #[serde(rename = "confirmed")]
    pub(crate) low_loss_updates: u32,
    /// Median loss ratio of the hosts that respond.
    #[serde(rename = "usual")]
    pub(crate) baseline_loss: f64,
    /// Time before which no standby entries are sent.
    #[serde(rename = "lean_until")]
    pub(crate) standby_paused_until: Timestamp,
    /// Cached results that are computed from the fields above.
    #[serde(skip)]
    pub(crate) memo: ZoneMemo,
}

/// An assignment of a zone's hosts to its subsets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, Timestamp)", into = "(f64, f64, Timestamp)")]
pub(crate) struct SubsetAssignment {
    /// The requests per connection for which the subsets were sized.
    pub(crate) requests_per_connection: f64,
    /// Requests per second of the zone's proxies when the hosts were assigned.
    pub(crate) load_per_s: f64,
    /// When the hosts were assigned.
    pub(crate) assigned_at: Timestamp,
}

impl From<(f64, f64, Timestamp)> for SubsetAssignment {
    fn from((requests_per_connection, load_per_s, assigned_at): (f64, f64, Timestamp)) -> Self {
        SubsetAssignment { requests_per_connection, load_per_s, assigned_at }
    }
}

impl From<SubsetAssignment> for (f64, f64, Timestamp) {
    fn from(last: SubsetAssignment) -> Self {
        (last.requests_per_connection, last.load_per_s, last.assigned_at)
    }
}

/// Sums of the locality weights of a zone's hosts: numbers of hosts in which remote hosts count for less.
pub(crate) struct LocalityWeightedHosts {
    /// Hosts that are ready.
    pub(crate) ready: f64,
    /// All known hosts.
    pub(crate) known: f64,
}

impl Zone {
    /// Adds empty statistics for each ready host of which the zone has no statistics yet.
    pub(crate) fn add_unknown_hosts(&mut self, hosts: &BTreeMap<HostId, Host>) {
        let unknown: Vec<HostId> = join_by_host(hosts, &self.host_stats)
            .filter(|(_, host, stats)| host.is_ready() && stats.is_none())
            .map(|(id, ..)| id.clone())
            .collect();
        let empty_stats = unknown.into_iter().map(|id| (id, ZoneHostStats::default()));
        if self.host_stats.is_empty() {
            // Building a map from sorted entries is cheaper than inserting them one by one.
            self.host_stats = empty_stats.collect();
        } else {
            self.host_stats.extend(empty_stats);
        }
    }

    /// Factor on the weight of a host by its locality: 1 in the zone itself, less in other zones.
    pub(crate) fn locality_weight(&self, in_own_zone: bool) -> f64 {
        if in_own_zone {
            1.0
        } else {
            1.0 - self.remote_discount
        }
    }

    /// The numbers of ready hosts and of known hosts, each host counted by its locality weight.
    pub(crate) fn locality_weighted_hosts(&self) -> LocalityWeightedHosts {
        let rows = self.memo.rows.health();
        let ready_rows = rows.iter().filter(|row| row.is_ready);
        LocalityWeightedHosts {
            ready: ready_rows.map(|row| self.locality_weight(row.in_own_zone)).sum(),
            known: rows.iter().map(|row| self.locality_weight(row.in_own_zone)).sum(),
        }
    }
}
