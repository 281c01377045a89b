//! Queries on the state of a director: sums and selections, but no decisions.
use crate::director::Director;
use crate::incremental::join_by_host;
use crate::inspect::RecordCounts;
use crate::interface::{HostId, Micros, ProxyId, Timestamp, ZoneId};
use crate::state::{AttemptStats, ByZone, FreshHostStats, HealthState, Host, Proxy, ScoredHost, Table, Zone};
use std::collections::BTreeMap;

/// Lower bound of the warm-up time that ages are divided by, in seconds: it keeps their ratio finite.
const MIN_WARM_UP_S: f64 = 1e-3;

impl Director {
    /// Time since a host's start as a multiple of the warm-up time. Below 1 the host may still be warming up;
    /// a host whose start time is unknown counts as warm.
    pub(crate) fn age_in_warm_ups(&self, host: &Host) -> f64 {
        let warm_up_s = self.settings.warm_up.secs().max(MIN_WARM_UP_S);
        host.endpoint.started_at.map_or(f64::MAX, |started_at| self.now.since(started_at) / warm_up_s)
    }

    /// The time `secs` seconds from now.
    pub(crate) fn seconds_from_now(&self, secs: f64) -> Timestamp {
        self.now + Micros::from_secs(secs)
    }

    /// The shortest latency objective of any class, in milliseconds.
    pub(crate) fn tightest_latency_objective_ms(&self) -> f64 {
        self.latency_objectives_ms().fold(f64::MAX, f64::min)
    }

    /// The longest latency objective of any class, in milliseconds.
    pub(crate) fn longest_latency_objective_ms(&self) -> f64 {
        self.latency_objectives_ms().fold(0.0, f64::max)
    }

    /// The latency objective of each class, in milliseconds.
    fn latency_objectives_ms(&self) -> impl Iterator<Item = f64> + '_ {
        self.settings.classes.iter().map(|class| class.latency_objective.secs() * 1e3)
    }

    /// The hosts that the endpoint list shows as ready.
    pub(crate) fn ready_hosts(&self) -> impl Iterator<Item = (&HostId, &Host)> {
        self.hosts.iter().filter(|(_, host)| host.is_ready())
    }

    /// The hosts by the zone that they run in.
    pub(crate) fn hosts_by_zone(&self) -> BTreeMap<&ZoneId, Vec<(&HostId, &Host)>> {
        let mut hosts_by_zone: BTreeMap<&ZoneId, Vec<(&HostId, &Host)>> = BTreeMap::new();
        for (id, host) in &self.hosts {
            hosts_by_zone.entry(&host.endpoint.zone).or_default().push((id, host));
        }
        hosts_by_zone
    }

    /// The hosts that are ready, healthy in a zone and have a score there.
    pub(crate) fn scored_hosts(&self, zone: &Zone) -> Vec<ScoredHost> {
        join_by_host(&self.hosts, &zone.host_stats)
            .filter(|(_, host, _)| host.is_ready())
            .filter_map(|(_, host, stats)| {
                let stats = stats.filter(|stats| stats.health == HealthState::Healthy)?;
                Some(ScoredHost { score: stats.score?, weight: host.weight })
            })
            .collect()
    }

    /// The attempts of all zones together at each host, since the last scoring round that used them.
    pub(crate) fn fresh_stats_by_host(&self, zones: &ByZone<Zone>) -> Vec<FreshHostStats> {
        let ids = self.memo.host_index.ids();
        let mut sums = vec![AttemptStats::default(); ids.len()];
        for zone in zones.values() {
            for (sum, row) in sums.iter_mut().zip(zone.memo.rows.stats()) {
                if row.fresh.attempts > 0.0 {
                    sum.add(row.fresh);
                }
            }
        }
        let attempted = sums.into_iter().enumerate().filter(|(_, sum)| sum.attempts > 0.0);
        attempted.map(|(index, stats)| FreshHostStats { index, host: ids[index].clone(), stats }).collect()
    }

    /// The connected proxies of a zone.
    pub(crate) fn proxies_in_zone<'a>(
        &'a self,
        zone: &'a ZoneId,
    ) -> impl Iterator<Item = (&'a ProxyId, &'a Proxy)> {
        self.proxies.iter().filter(move |(_, proxy)| proxy.zone == *zone)
    }

    /// The proxies that are assigned to each subset of each zone, by the index of the subset.
    pub(crate) fn proxies_by_subset(&self, zones: &ByZone<Zone>) -> ByZone<Vec<Vec<ProxyId>>> {
        let mut proxies_by_subset: ByZone<Vec<Vec<ProxyId>>> =
            zones.iter().map(|(name, zone)| (name.clone(), vec![Vec::new(); zone.subsets.len()])).collect();
        for (id, proxy) in &self.proxies {
            if let (Some(subsets), Some(subset)) = (proxies_by_subset.get_mut(&proxy.zone), proxy.subset) {
                subsets[subset].push(*id);
            }
        }
        proxies_by_subset
    }

    /// Requests per second of the proxies that are assigned to each subset of a zone, plus `base_load` for
    /// each subset. Proxies that wait for another assignment don't count.
    pub(crate) fn load_by_subset(&self, name: &ZoneId, zone: &Zone, base_load: f64) -> Vec<f64> {
        let mut load = vec![base_load; zone.subsets.len()];
        for (_, proxy) in self.proxies_in_zone(name).filter(|(_, proxy)| !proxy.awaiting_assignment) {
            if let Some(subset) = proxy.subset {
                load[subset] += proxy.requests_per_s;
            }
        }
        load
    }

    /// How many records of each kind the director holds.
    pub fn record_counts(&self) -> RecordCounts {
        RecordCounts {
            hosts: self.hosts.len(),
            zone_host_stats: self.zones.values().map(|zone| zone.host_stats.len()).sum(),
            table_entries: self.tables().map(|table| table.entries.len()).sum(),
            proxies: self.proxies.len(),
            send_times: self.proxies.values().map(|proxy| proxy.send_times.len()).sum(),
        }
    }

    /// A digest of all tables (entries and admission levels, bit for bit) and of the assignments of proxies.
    pub fn digest(&self) -> u64 {
        let mix = |id: u32, seed: u64| xxhash_rust::xxh3::xxh3_64_with_seed(&id.to_le_bytes(), seed);
        let tables = self.tables().map(|table| mix(table.id.0, table.digest));
        // Ids of proxies are inverted, so that a proxy and a table with the same id are mixed differently.
        let assignments =
            self.proxies.iter().filter_map(|(id, proxy)| Some(mix(!id.0, proxy.subset? as u64)));
        tables.chain(assignments).fold(0, u64::wrapping_add)
    }

    /// Recomputes the digests of all tables from their contents.
    pub(crate) fn rebuild_digests(&mut self) {
        let subsets = self.zones.values_mut().flat_map(|zone| &mut zone.subsets);
        subsets.flat_map(|subset| &mut subset.tables).for_each(Table::rebuild_digest);
    }

    /// The tables of all zones.
    fn tables(&self) -> impl Iterator<Item = &Table> {
        self.zones.values().flat_map(|zone| &zone.subsets).flat_map(|subset| &subset.tables)
    }
}
