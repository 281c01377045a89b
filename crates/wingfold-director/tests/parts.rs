//! Tables that hold a part of the hosts each: together they must load the hosts evenly.
mod common;
use common::*;
use std::collections::BTreeMap;
use wingfold_director::interface::*;

/// Requests a second of every proxy here.
const RATE: f64 = 2.0;

/// What each host gets by the tables and the proxies bound to them, as a multiple of the mean host's.
fn loads(world: &World) -> BTreeMap<HostId, f64> {
    let bound: BTreeMap<ProxyId, TableId> = world.binds.iter().map(|bind| (bind.0, bind.1)).collect();
    let mut loads: BTreeMap<HostId, f64> = BTreeMap::new();
    for table in bound.values().map(|table| &world.tables[table]) {
        let total: f64 = table.values().sum();
        for (id, weight) in table {
            *loads.entry(id.clone()).or_default() += RATE * weight / total;
        }
    }
    let mean = RATE * bound.len() as f64 / 100.0;
    loads.values_mut().for_each(|load| *load /= mean);
    loads
}

fn greatest(world: &World) -> f64 {
    loads(world).into_values().fold(0.0, f64::max)
}

/// A director of five with 100 hosts and 200 proxies of little traffic, some of them in the east joined.
fn joined(count: u32) -> World {
    let set = Settings { connection_idle_timeout: length(15.0), directors: 5, proxies: 200, ..settings() };
    let mut world = World::new(set);
    world.send(&[Event::EndpointList { kind: EndpointListKind::Cached, endpoints: fleet(100) }]);
    join(&mut world, 0..count);
    world.wait(20.0);
    world
}

fn join(world: &mut World, ids: std::ops::Range<u32>) {
    for id in ids {
        world.send(&[Event::ProxyConnected { proxy: ProxyId(id), zone: zone("east"), requests_per_s: RATE }]);
    }
}

#[test]
fn proxies_that_come_over_from_a_lost_director_do_not_all_get_the_same_hosts() {
    // Guards against: parts that were opened between two layouts all lay at the ring's beginning. Its first three
    // hosts jammed, were refused by most proxies, and a cold host beside them got what those should have had.
    let mut world = joined(60);
    let mut most = vec![greatest(&world)];
    for turn in 0..20 {
        join(&mut world, 60 + 2 * turn..62 + 2 * turn);
        world.wait(0.5);
        most.push(greatest(&world));
    }
    let worst = most.iter().copied().fold(0.0, f64::max);
    assert!(worst < 3.0, "the busiest host's multiple of the mean, turn by turn: {most:.1?}");
}
