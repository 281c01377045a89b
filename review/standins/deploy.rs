//! A rolling deploy: a number of slots, each replaces one host after another, so that no more hosts than slots are
//! out at a time. Each host is told by a list of its own when it drains, when it has left, and when its successor runs.
use crate::world::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub const DRAIN_MS: u64 = 3500;
const LISTED_LATE_MS: u64 = 270;

pub fn host(world: &World, i: usize, id: &str, started_ms: u64) -> Entry {
    let zones = &world.site.zones;
    Entry {
        addr: world.add_host(id),
        id: id.to_string(),
        zone: zones[i % zones.len()].to_string(),
        kind: ["single", "dual"][i % 2],
        cell: i / 5,
        state: "active",
        weight: 1.0 + (i % 2) as f64,
        started_ms,
    }
}

/// Lists hosts that started long ago.
pub fn list_hosts(world: &World, hosts: usize) {
    world.discovery.change((0..hosts).map(|i| host(world, i, &format!("s-{i:02}"), 0)).collect());
}

/// Replaces all hosts, `slots` at a time. A slot begins with its next host every `round`; slots begin `gap` after
/// each other.
pub fn replace_all(world: &Arc<World>, hosts: usize, slots: usize, round: Duration, gap: Duration) {
    let start = Instant::now();
    let mut threads = Vec::new();
    for slot in 0..slots {
        let world = world.clone();
        threads.push(thread::spawn(move || {
            for (done, i) in (slot..hosts).step_by(slots).enumerate() {
                let due = start + gap * slot as u32 + round * done as u32;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let id = format!("s-{i:02}");
                let new = format!("t-{i:02}");
                let successor = host(&world, i, &new, 0);
                world.discovery.set_state(&[&id], "leaving");
                thread::sleep(ms(DRAIN_MS));
                world.discovery.set_state(&[&id], "left");
                world.host(&id).die();
                let started_ms = unix_ms();
                let world = world.clone();
                thread::spawn(move || {
                    thread::sleep(ms(LISTED_LATE_MS));
                    world.discovery.change(vec![Entry { started_ms, ..successor }]);
                });
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
}
