//! The streams of two proxies, one at each director, break a few times while the fleet is replaced slowly.
mod deploy;
mod world;
use std::thread;
use world::*;

const HOSTS: usize = 28;
const AT_A_TIME: usize = 5;
const ROUND_MS: u64 = 5333;
/// One at each director.
const FLAPPING: [usize; 2] = [0, 1];

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let mut site = coastline(20, 113.0);
    // Noticed after 300 ms, dialled again 130 to 400 ms later.
    site.redial = (430, 700);
    let world = World::new(site, "2");
    deploy::list_hosts(&world, HOSTS);
    world.standing_tables(8);
    world.start_directors();
    world.start_traffic();
    thread::sleep(ms(12_000));
    if trouble {
        let w = world.clone();
        thread::spawn(move || {
            thread::sleep(ms(700));
            for _ in 0..5 {
                for proxy in FLAPPING {
                    w.break_stream(proxy);
                }
                thread::sleep(ms(900));
            }
        });
    }
    deploy::replace_all(&world, HOSTS, AT_A_TIME, ms(ROUND_MS), ms(160));
    thread::sleep(ms(6000));
    world.finish();
}
