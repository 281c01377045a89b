//! A rolling deploy of a small deployment whose settings limit the messages to one proxy.
mod deploy;
mod world;
use std::thread;
use world::*;

const HOSTS: usize = 28;
const AT_A_TIME: usize = 5;
const ROUND_MS: u64 = 3550;

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let world = World::new(coastline(20, 113.0), "1");
    deploy::list_hosts(&world, HOSTS);
    world.standing_tables(8);
    world.start_directors();
    world.start_traffic();
    thread::sleep(ms(12_000));
    if trouble {
        deploy::replace_all(&world, HOSTS, AT_A_TIME, ms(ROUND_MS), ms(160));
    } else {
        thread::sleep(ms(22_000));
    }
    thread::sleep(ms(6000));
    world.finish();
}
