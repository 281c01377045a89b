//! A planned restart of a director during a release, while discovery's whole lists arrive in pieces.
mod deploy;
mod world;
use std::thread;
use world::*;

const HOSTS: usize = 28;
const LEAVING: usize = 5;

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let mut site = coastline(20, 113.0);
    site.push_delay = 250;
    site.transit_max = 625;
    let world = World::new(site, "3");
    deploy::list_hosts(&world, HOSTS);
    world.standing_tables(8);
    world.start_directors();
    world.start_traffic();
    thread::sleep(ms(10_000));
    if trouble {
        world.discovery.set_pieces(Some(ms(3000)));
    }
    let w = world.clone();
    thread::spawn(move || {
        thread::sleep(ms(200));
        deploy::replace_all(&w, LEAVING, LEAVING, ms(0), ms(0));
    });
    let known = world.discovery.known();
    world.restart_with(0, SIGTERM, &known);
    thread::sleep(ms(30_000));
    world.finish();
}
