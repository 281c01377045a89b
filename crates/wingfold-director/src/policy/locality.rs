//! Locality: how much weight hosts of other zones have for a zone's proxies where requests across zones have
//! a price.
use crate::director::Director;
use crate::interface::{HostId, ZoneId};
use crate::state::{ByZone, HealthState, Host, Zone};

/// Least weight ratio of hosts in other zones for a zone with one host of its own. It falls with the square
/// root of the number of own hosts: the more there are, the less the load of each varies by chance.
const SINGLE_HOST_REMOTE_WEIGHT_RATIO: f64 = 0.6;
/// Load of a host, as a multiple of the fleet's mean load, above which its zone sends more requests to other
/// zones.
const MAX_HOST_LOAD_RATIO: f64 = 1.5;

/// Demand and capacity of a zone, and the weight of other zones' hosts for its proxies.
struct ZoneLoad {
    /// Requests of the zone's proxies, in units that are the same for all zones.
    demand: f64,
    /// Listed weight of the zone's own hosts that are in use. A host in slow start counts with the part of
    /// its capacity that it has reached.
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
    /// The sums of the demand and of the capacity of all zones.
    fn of(zone_loads: &ByZone<ZoneLoad>) -> FleetLoad {
        let mut fleet = FleetLoad { demand: 0.0, capacity: 0.0 };
        for zone in zone_loads.values() {
            fleet.demand += zone.demand;
            fleet.capacity += zone.capacity;
        }
        fleet
    }

    /// Load that a zone's proxies put on each host of full weight, as a multiple of the fleet's mean load.
    fn load_at_full_weight(&self, zone: &ZoneLoad) -> f64 {
        zone.demand
            / self.demand
            / (zone.capacity / self.capacity * (1.0 - zone.remote_weight) + zone.remote_weight)
    }
}

impl Director {
    /// Sets by how much each zone discounts the weight of hosts of other zones, where requests across zones
    /// have a price: as much as possible without overloading the hosts of any zone.
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

    /// Demand and capacity of each zone, with the least weight ratio for hosts of other zones.
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

    /// Demand of a zone's proxies. Where proxies connect to directors of their own zone, a director gets
    /// usage reports from its own zone only, which would count as the demand of the whole fleet. The listed
    /// weight of a zone's hosts stands for its demand then, since machines are placed where requests arrive.
    fn zone_demand(&self, name: &ZoneId, own_hosts: &[(&HostId, &Host)]) -> f64 {
        let sees_own_zone_only = self.settings.local_first && self.settings.directors > 1;
        if sees_own_zone_only {
            own_hosts.iter().map(|(_, host)| host.weight).sum()
        } else {
            self.proxies_in_zone(name).flat_map(|(_, proxy)| proxy.usage.values()).sum()
        }
    }

    /// Listed weight of a zone's own hosts that are ready and healthy in the zone, less the capacity that
    /// hosts in slow start have not reached yet.
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

/// The least weight ratio of hosts in other zones. It is rounded to a power of two, since each change of it
/// changes every table.
fn least_remote_weight(own_hosts: &[(&HostId, &Host)]) -> f64 {
    let ready_hosts = own_hosts.iter().filter(|(_, host)| host.is_ready()).count().max(1) as f64;
    (SINGLE_HOST_REMOTE_WEIGHT_RATIO / ready_hosts.sqrt()).log2().round().exp2().min(1.0)
}

/// Doubles the remote weight of the zone whose own hosts have the highest load, and repeats this until each
/// zone with overloaded hosts gives hosts of other zones their full weight.
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
        let most_loaded = overloaded.max_by(|a, b| host_load(a).total_cmp(&host_load(b)));
        let Some(most_loaded) = most_loaded else { break };
        most_loaded.remote_weight = (2.0 * most_loaded.remote_weight).min(1.0);
    }
}
