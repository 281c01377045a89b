//! One proxy's stream breaks a few times while the fleet is replaced slowly.
mod world;
use std::thread;
use std::time::Instant;
use world::*;

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let get = |k: &str, d: u64| std::env::var(k).ok().and_then(|v| v.parse().ok()).unwrap_or(d);
    let hosts = get("HOSTS", 28) as usize;
    let gap = get("GAP", 160);
    let deploy_ms = get("DEPLOY", 32_000);
    let mut site = coastline(20, 113.0);
    site.redial = (130, 600);
    let zones = site.zones.clone();
    let world = World::new(site, "2");
    let kinds = ["single", "dual"];
    let entry = |i: usize, id: String, started_ms: u64| Entry {
        addr: world.add_host(&id),
        id,
        zone: zones[i % zones.len()].to_string(),
        kind: kinds[i % 2],
        cell: i / 5,
        state: "active",
        weight: 1.0 + (i % 2) as f64,
        started_ms,
    };
    world.discovery.change((0..hosts).map(|i| entry(i, format!("s-{i:02}"), 0)).collect());
    world.standing_tables(8);
    world.start_directors();
    world.start_traffic();
    thread::sleep(ms(get("SETTLE", 12_000)));
    if trouble {
        let w = world.clone();
        thread::spawn(move || {
            thread::sleep(ms(800));
            for _ in 0..2 {
                for _ in 0..4 {
                    w.break_stream(0);
                    thread::sleep(ms(900));
                }
                thread::sleep(ms(2 * deploy_ms / 6 - 3600));
            }
        });
    }
    // At most a fifth of the fleet at a time.
    let at_a_time = hosts / 5;
    let rounds = hosts.div_ceil(at_a_time) as u64;
    let start = Instant::now();
    for round in 0..rounds as usize {
        let due = start + ms(round as u64 * deploy_ms / rounds);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let group: Vec<usize> = (round * at_a_time..((round + 1) * at_a_time).min(hosts)).collect();
        let w = world.clone();
        let successors: Vec<Entry> = group.iter().map(|i| entry(*i, format!("t-{i:02}"), 0)).collect();
        thread::spawn(move || {
            for i in &group {
                w.discovery.set_state(&[&format!("s-{i:02}")], "leaving");
                thread::sleep(ms(gap));
            }
            thread::sleep(ms(500));
            let old: Vec<String> = group.iter().map(|i| format!("s-{i:02}")).collect();
            let old: Vec<&str> = old.iter().map(String::as_str).collect();
            w.discovery.set_state(&old, "left");
            let now = unix_ms();
            w.discovery.change(successors.into_iter().map(|e| Entry { started_ms: now, ..e }).collect());
        });
    }
    thread::sleep(ms(deploy_ms / rounds + 5000));
    world.finish();
}
