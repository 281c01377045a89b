//! Sums and selections over the records of a director. Nothing is decided here.
use crate::director::Director;
use crate::incremental::join_by_host;
use crate::inspect::RecordCounts;
use crate::interface::{HostId, Micros, ProxyId, Timestamp, ZoneId};
use crate::state::{AttemptStats, ByZone, FreshHostStats, HealthState, Host, Proxy, Table, Zone};
use std::collections::BTreeMap;

impl Director {
    /// Time since a host's start, in cold times: under 1 it may still be cold, whatever its ramp says.
    pub(crate) fn age_in_warm_ups(&self, host: &Host) -> f64 {
        host.endpoint
            .started_at
            .map_or(f64::MAX, |at| self.now.since(at) / self.settings.warm_up.secs().max(1e-3))
    }

    /// A time from now.
    pub(crate) fn seconds_from_now(&self, secs: f64) -> Timestamp {
        self.now + Micros::from_secs(secs)
    }

    /// The shortest aim of any class.
    pub(crate) fn tightest_latency_objective_ms(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_objective.secs() * 1e3).fold(f64::MAX, f64::min)
    }

    /// The longest aim of any class.
    pub(crate) fn longest_latency_objective_ms(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_objective.secs() * 1e3).fold(0.0, f64::max)
    }

    /// The hosts that the list shows as ready.
    pub(crate) fn ready_hosts(&self) -> impl Iterator<Item = (&HostId, &Host)> {
        self.hosts.iter().filter(|(_, host)| host.is_ready())
    }

    /// The hosts by the zone that they stand in.
    pub(crate) fn hosts_by_zone(&self) -> BTreeMap<&ZoneId, Vec<(&HostId, &Host)>> {
        let mut homes: BTreeMap<&ZoneId, Vec<(&HostId, &Host)>> = BTreeMap::new();
        for (id, host) in &self.hosts {
            homes.entry(&host.endpoint.zone).or_default().push((id, host));
        }
        homes
    }

    /// Listed weights of the hosts that are ready, not out and have a score for a zone, with the scores.
    pub(crate) fn scored_hosts(&self, zone: &Zone) -> Vec<(f64, f64)> {
        let taken = join_by_host(&self.hosts, &zone.host_stats).filter(|(_, host, _)| host.is_ready());
        let taken = taken
            .filter_map(|(_, host, path)| Some((host, path.filter(|p| p.health == HealthState::Healthy)?)));
        taken.filter_map(|(host, path)| Some((path.score?, host.weight))).collect()
    }

    /// What all zones together met at each host since the last round that used it.
    pub(crate) fn fresh_stats_by_host(&self, zones: &ByZone<Zone>) -> Vec<FreshHostStats> {
        let ids = self.memo.host_index.ids();
        let mut sums = vec![AttemptStats::default(); ids.len()];
        for zone in zones.values() {
            let rows = sums.iter_mut().zip(zone.memo.rows.paths());
            rows.filter(|(_, row)| row.fresh.attempts > 0.0).for_each(|(all, row)| all.add(row.fresh));
        }
        let met = sums.into_iter().enumerate().filter(|(_, sum)| sum.attempts > 0.0);
        met.map(|(at, sum)| FreshHostStats { index: at, host: ids[at].clone(), stats: sum }).collect()
    }

    /// The joined proxies of a zone.
    pub(crate) fn proxies_in_zone<'a>(
        &'a self,
        zone: &'a ZoneId,
    ) -> impl Iterator<Item = (&'a ProxyId, &'a Proxy)> {
        self.proxies.iter().filter(move |(_, p)| p.zone == *zone)
    }

    /// The proxies bound to each slot of each zone.
    pub(crate) fn proxies_by_subset(&self, zones: &ByZone<Zone>) -> ByZone<Vec<Vec<ProxyId>>> {
        let slots = zones.iter().map(|(name, zone)| (name.clone(), vec![Vec::new(); zone.subsets.len()]));
        let mut users: ByZone<Vec<Vec<ProxyId>>> = slots.collect();
        for (id, proxy) in &self.proxies {
            if let (Some(slots), Some(slot)) = (users.get_mut(&proxy.zone), proxy.subset) {
                slots[slot].push(*id);
            }
        }
        users
    }

    /// The work of a zone's proxies by slot, on top of `least` each.
    pub(crate) fn load_by_subset(&self, name: &ZoneId, zone: &Zone, least: f64) -> Vec<f64> {
        let mut work = vec![least; zone.subsets.len()];
        let dealt = self.proxies_in_zone(name).filter(|(_, p)| !p.awaiting_assignment);
        let dealt = dealt.filter_map(|(_, p)| Some((p.subset?, p.requests_per_s)));
        dealt.for_each(|(slot, rate)| work[slot] += rate);
        work
    }

    /// How many records the director holds, by kind.
    pub fn record_counts(&self) -> RecordCounts {
        let tables = self.zones.values().flat_map(|zone| &zone.subsets).flat_map(|subset| &subset.tables);
        RecordCounts {
            hosts: self.hosts.len(),
            zone_host_stats: self.zones.values().map(|zone| zone.host_stats.len()).sum(),
            table_entries: tables.map(|table| table.entries.len()).sum(),
            proxies: self.proxies.len(),
            send_times: self.proxies.values().map(|proxy| proxy.send_times.len()).sum(),
        }
    }

    /// One number for all tables (their lines and levels, bit for bit) and for who is bound to which.
    pub fn digest(&self) -> u64 {
        let mix = |what: u32, at: u64| xxhash_rust::xxh3::xxh3_64_with_seed(&what.to_le_bytes(), at);
        let tables = self.zones.values().flat_map(|zone| &zone.subsets).flat_map(|slot| &slot.tables);
        let tables = tables.map(|table| mix(table.id.0, table.digest));
        let bound = self.proxies.iter().filter_map(|(id, p)| Some(mix(!id.0, p.subset? as u64)));
        tables.chain(bound).fold(0, u64::wrapping_add)
    }

    /// Works out all digests from what the tables hold.
    pub(crate) fn rebuild_digests(&mut self) {
        let slots = self.zones.values_mut().flat_map(|zone| &mut zone.subsets);
        slots.flat_map(|slot| &mut slot.tables).for_each(Table::rebuild_digest);
    }
}
