//! A zone of proxies: what it knows of the hosts, and its subsets.
use crate::incremental::{join_by_host, ZoneMemo};
use crate::interface::{HostId, Timestamp};
use crate::state::{Host, Subset, ZoneHostStats};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An owner: what it knows of the hosts, its tables, and when its ranking last moved.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Zone {
    #[serde(rename = "paths")]
    pub(crate) host_stats: BTreeMap<HostId, ZoneHostStats>,
    #[serde(rename = "slots")]
    pub(crate) subsets: Vec<Subset>,
    /// Part of its weight that a host of another zone lacks here.
    #[serde(rename = "bias")]
    pub(crate) remote_discount: f64,
    #[serde(rename = "moved_at")]
    pub(crate) ranking_changed_at: Option<Timestamp>,
    /// Tries heard of so far, and turns: lines heard for each host that has a part.
    #[serde(rename = "heard")]
    pub(crate) attempts_seen: (f64, f64),
    #[serde(rename = "width")]
    pub(crate) hosts_in_tables: f64,
    /// Its tables have changed since that was worked out.
    #[serde(rename = "changed")]
    pub(crate) tables_changed: bool,
    /// Uses that a connection should get, and rounds in a row that speak for fewer.
    #[serde(rename = "uses")]
    pub(crate) requests_per_connection: f64,
    /// Its last subset assignment.
    #[serde(rename = "laid")]
    pub(crate) last_assignment: Option<SubsetAssignment>,
    /// Its proxies were dealt to finer tables, as connections ran short.
    #[serde(rename = "fine")]
    pub(crate) has_fine_subsets: bool,
    #[serde(rename = "confirmed")]
    pub(crate) calm_rounds: u32,
    /// The loss that is usual among its hosts.
    #[serde(rename = "usual")]
    pub(crate) baseline_loss: f64,
    /// Spares are laid from then on.
    #[serde(rename = "lean_until")]
    pub(crate) standby_paused_until: Timestamp,
    /// What was worked out from the above.
    #[serde(skip)]
    pub(crate) memo: ZoneMemo,
}

/// An assignment of a zone's hosts to its subsets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, Timestamp)", into = "(f64, f64, Timestamp)")]
pub(crate) struct SubsetAssignment {
    /// Requests that a connection should carry, by which the subsets were sized.
    pub(crate) requests_per_connection: f64,
    /// Requests per second of the zone's proxies at that time.
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

impl Zone {
    /// Begins to know each ready host that it does not know yet.
    pub(crate) fn add_unknown_hosts(&mut self, fleet: &BTreeMap<HostId, Host>) {
        let unknown =
            join_by_host(fleet, &self.host_stats).filter(|(_, host, path)| host.is_ready() && path.is_none());
        let unknown: Vec<HostId> = unknown.map(|(id, ..)| id.clone()).collect();
        let paths = unknown.into_iter().map(|id| (id, ZoneHostStats::default()));
        if self.host_stats.is_empty() {
            self.host_stats = paths.collect();
        } else {
            self.host_stats.extend(paths);
        }
    }
}

impl Zone {
    /// The part of its weight that a host has here, by locality: of the zone's own, or of others.
    pub(crate) fn locality_weight(&self, own: bool) -> f64 {
        if own {
            1.0
        } else {
            1.0 - self.remote_discount
        }
    }

    /// Ready and known hosts, each counted as near as it is.
    pub(crate) fn locality_weighted_hosts(&self) -> (f64, f64) {
        let rows = || self.memo.rows.health().iter();
        let ready: f64 =
            rows().filter(|row| row.is_ready).map(|row| self.locality_weight(row.in_own_zone)).sum();
        let known: f64 = rows().map(|row| self.locality_weight(row.in_own_zone)).sum();
        (ready, known)
    }
}
