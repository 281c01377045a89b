//! Not a case: a mixed run by a seed, which the report lists under what was tried. Hosts are replaced, crash and come
//! back; streams break, one or half of them; a director restarts (SIGTERM or SIGKILL); discovery moves (SIGHUP) or is
//! down for a while. It prints what it saw and exits as a case does. Limits on messages are left out (`update_cap` 0),
//! since cases 1 and 2 break them.
//!
//!     SITE=central|delta|coast|big SEED_NO=7 PROXIES=150 DIRECTORS=2 review/target/mixed
mod world;
use std::thread;
use std::time::Instant;
use world::*;

fn main() {
    let get = |k: &str, d: u64| std::env::var(k).ok().and_then(|v| v.parse().ok()).unwrap_or(d);
    let seed = get("SEED_NO", 1);
    let mut rng = Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) + 1);
    (0..5).for_each(|_| { rng.next(); });
    let name = std::env::var("SITE").unwrap_or("central".into());
    let (mut site, hosts) = match name.as_str() {
        "delta" => (delta_farm(20, 190.0), 24),
        "coast" => (coastline(14, 97.0), 24),
        "big" => {
            let mut site = central_belt(get("PROXIES", 150) as usize, 250.0);
            site.directors = get("DIRECTORS", 2) as usize;
            (site, 30)
        }
        _ => (central_belt(9, 140.0), 15),
    };
    site.update_cap = 0;
    let zones = site.zones.clone();
    let world = World::new(site, &format!("tried/{name}-{seed}"));
    let entry = |i: usize, id: String, started_ms: u64| Entry {
        addr: world.add_host(&id),
        id,
        zone: zones[i % zones.len()].to_string(),
        kind: ["single", "dual"][i % 2],
        cell: i / 5,
        state: "active",
        weight: 1.0 + (i % 2) as f64,
        started_ms,
    };
    world.discovery.change((0..hosts).map(|i| entry(i, format!("s-{i:02}"), 0)).collect());
    world.standing_tables(5);
    world.start_directors();
    world.start_traffic();
    thread::sleep(ms(5000));
    let mut live: Vec<String> = (0..hosts).map(|i| format!("s-{i:02}")).collect();
    let mut next = hosts;
    let end = Instant::now() + ms(80_000);
    let mut workers = Vec::new();
    while Instant::now() < end {
        thread::sleep(ms((rng.next() * 2500.0) as u64 + 50));
        let director = (rng.next() * world.directors.len() as f64) as usize;
        match (rng.next() * 9.0) as u32 {
            0..=2 => {
                if live.len() * 10 < hosts * 8 {
                    continue;
                }
                let id = live.remove((rng.next() * live.len() as f64) as usize);
                let told_to_drain = rng.next() < 0.5;
                let new = format!("n-{next:02}");
                let successor = entry(next, new.clone(), 0);
                next += 1;
                live.push(new);
                let pause = ms(500 + (rng.next() * 3000.0) as u64);
                let w = world.clone();
                workers.push(thread::spawn(move || {
                    if told_to_drain {
                        w.discovery.set_state(&[&id], "leaving");
                        thread::sleep(pause);
                    }
                    w.discovery.set_state(&[&id], "left");
                    thread::sleep(ms(4000));
                    w.host(&id).die();
                    w.discovery.change(vec![Entry { started_ms: unix_ms(), ..successor }]);
                }));
            }
            3 => {
                let id = live[(rng.next() * live.len().min(8) as f64) as usize].clone();
                if id.starts_with('n') {
                    continue;
                }
                let noticed = rng.next() < 0.6;
                let w = world.clone();
                workers.push(thread::spawn(move || {
                    let host = w.host(&id);
                    host.die();
                    thread::sleep(ms(1500));
                    if noticed {
                        w.discovery.set_state(&[&id], "left");
                    }
                    thread::sleep(ms(4500));
                    host.restart();
                    let e = w.discovery.entry(&id);
                    w.discovery.change(vec![Entry { started_ms: unix_ms(), state: "active", ..e }]);
                }));
            }
            4 => world.break_stream((rng.next() * world.proxies.len() as f64) as usize),
            5 => (0..world.proxies.len()).filter(|_| rng.next() < 0.5).for_each(|p| world.break_stream(p)),
            6 => {
                let signal = if rng.next() < 0.5 { SIGTERM } else { SIGKILL };
                let known = world.discovery.known();
                world.restart_with(director, signal, &known);
            }
            7 => {
                world.move_discovery(director);
                thread::sleep(ms(4000));
            }
            _ => {
                world.discovery.set_down(true);
                thread::sleep(ms((rng.next() * 8000.0) as u64));
                world.discovery.set_down(false);
            }
        }
    }
    for worker in workers {
        let _ = worker.join();
    }
    thread::sleep(ms(6000));
    world.finish();
}
