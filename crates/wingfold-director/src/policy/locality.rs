//! Locality: the weight that hosts of other zones have where crossing zones has a price.
use crate::director::Director;
use crate::interface::{HostId, ZoneId};
use crate::state::{ByZone, HealthState, Host, Zone};

/// Least weight ratio of hosts in other zones, over the square root of the number of the zone's own hosts:
/// the more hosts, the less does the load of one vary by chance.
const REMOTE_WEIGHT_RATIO: f64 = 0.6;
/// A zone spreads to other zones once its own hosts would have this multiple of the fleet's mean load.
const MAX_HOST_LOAD_RATIO: f64 = 1.5;

/// Demand and capacity of a zone, and what it spreads to others.
struct ZoneLoad {
    /// Requests of the zone's proxies, in units that are the same for all zones.
    demand: f64,
    /// Listed weight of the zone's own hosts, as far as they are in use and warm.
    capacity: f64,
    /// Ratio of its weight that a host of another zone keeps for this zone's proxies.
    remote_weight: f64,
}

/// Demand and capacity of all zones.
struct FleetLoad {
    /// Sum of the zones' demand.
    demand: f64,
    /// Sum of the zones' capacity.
    capacity: f64,
}

impl FleetLoad {
    /// Sums up the zones.
    fn of(zone_loads: &ByZone<ZoneLoad>) -> FleetLoad {
        let mut fleet = FleetLoad { demand: 0.0, capacity: 0.0 };
        for zone in zone_loads.values() {
            fleet.demand += zone.demand;
            fleet.capacity += zone.capacity;
        }
        fleet
    }

    /// Load that a zone's proxies put on a host at full weight, as a multiple of the fleet's mean load.
    fn load_at_full_weight(&self, zone: &ZoneLoad) -> f64 {
        zone.demand
            / self.demand
            / (zone.capacity / self.capacity * (1.0 - zone.remote_weight) + zone.remote_weight)
    }
}

impl Director {
    /// Sets how much weight hosts of other zones lose in each zone, where crossing zones has a price: as
    /// much as leaves no zone's own hosts overloaded.
    pub(crate) fn update_locality(&self, zones: &mut ByZone<Zone>) {
        let mut zone_loads = ByZone::new();
        if self.settings.cross_zone_price > 0.0 {
            zone_loads = self.zone_loads(zones);
            spread_overloaded_zones(&mut zone_loads);
        }
        for (name, zone) in zones {
            zone.remote_discount = zone_loads.get(name).map_or(0.0, |load| 1.0 - load.remote_weight);
        }
    }

    /// Demand and capacity of each zone, with the least weight for hosts of other zones.
    fn zone_loads(&self, zones: &ByZone<Zone>) -> ByZone<ZoneLoad> {
        let hosts_by_zone = self.hosts_by_zone();
        let mut zone_loads = ByZone::new();
        for (name, zone) in zones {
            let own_hosts = hosts_by_zone.get(name).map_or(&[][..], Vec::as_slice);
            let load = ZoneLoad {
                demand: self.zone_demand(name, own_hosts),
                capacity: self.zone_capacity(zone, own_hosts),
                remote_weight: least_remote_weight(own_hosts),
            };
            zone_loads.insert(name.clone(), load);
        }
        zone_loads
    }

    /// Demand of a zone's proxies. Where proxies connect to directors of their own zone, a director sees the
    /// usage of that zone only, as if it were all; listed weights stand for demand there, since machines are
    /// placed where requests arrive.
    fn zone_demand(&self, name: &ZoneId, own_hosts: &[(&HostId, &Host)]) -> f64 {
        let sees_own_zone_only = self.settings.local_first && self.settings.directors > 1;
        if sees_own_zone_only {
            own_hosts.iter().map(|(_, host)| host.weight).sum()
        } else {
            self.proxies_in_zone(name).flat_map(|(_, proxy)| proxy.usage.values()).sum()
        }
    }

    /// Listed weight of a zone's own hosts, as far as the zone uses them and they are warm.
    fn zone_capacity(&self, zone: &Zone, own_hosts: &[(&HostId, &Host)]) -> f64 {
        let is_in_use =
            |id: &HostId| zone.host_stats.get(id).is_none_or(|stats| stats.health == HealthState::Healthy);
        own_hosts
            .iter()
            .filter(|(id, host)| host.is_ready() && is_in_use(id))
            .map(|(_, host)| host.weight * self.slow_start_factor(host))
            .sum()
    }
}

/// The least weight ratio of hosts in other zones: a power of two, since each change of it is a change of
/// every table.
fn least_remote_weight(own_hosts: &[(&HostId, &Host)]) -> f64 {
    let ready_hosts = own_hosts.iter().filter(|(_, host)| host.is_ready()).count().max(1) as f64;
    (REMOTE_WEIGHT_RATIO / ready_hosts.sqrt()).log2().round().exp2().min(1.0)
}

/// Doubles the remote weight of the zone whose own hosts have the highest load, until no zone that can still
/// spread is overloaded.
fn spread_overloaded_zones(zone_loads: &mut ByZone<ZoneLoad>) {
    let fleet = FleetLoad::of(zone_loads);
    loop {
        let remote_load: f64 =
            zone_loads.values().map(|zone| zone.remote_weight * fleet.load_at_full_weight(zone)).sum();
        let host_load =
            |zone: &ZoneLoad| (1.0 - zone.remote_weight) * fleet.load_at_full_weight(zone) + remote_load;
        let overloaded = zone_loads
            .values_mut()
            .filter(|zone| zone.remote_weight < 1.0 && host_load(zone) > MAX_HOST_LOAD_RATIO);
        let Some(hottest) = overloaded.max_by(|a, b| host_load(a).total_cmp(&host_load(b))) else { break };
        hottest.remote_weight = (2.0 * hottest.remote_weight).min(1.0);
    }
}
