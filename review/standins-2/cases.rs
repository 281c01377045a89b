//! The cases of the second review, one by its name. `TROUBLE=0` leaves the disruption out.
mod json;
mod world;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use world::*;

/// The exit code of a case that could not run.
const COULD_NOT_RUN: i32 = 2;
const DRAIN: &str = "Safe drain";
/// The longest message that the protocol allows.
const LONGEST_MESSAGE: usize = 1 << 20;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let folder = std::env::var("FOLDER").unwrap_or_else(|_| ".".into());
    // No case takes longer than two minutes; the script then ends the director.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(112));
        std::process::exit(COULD_NOT_RUN);
    });
    let code = match name.as_str() {
        "lost-answers" => lost_answers(&folder),
        "strangers" => strangers(&folder),
        "memory" => memory(&folder),
        "long-messages" => long_messages(&folder),
        "replacement" => replacement(&folder),
        _ => Some(COULD_NOT_RUN),
    };
    std::process::exit(code.unwrap_or(COULD_NOT_RUN));
}

fn hosts(setup: &Setup, count: usize, zones: usize) -> Vec<(String, &'static str)> {
    (0..count).map(|number| (format!("s-{number:04}"), setup.zones[number % zones])).collect()
}

/// Starts the director with the present list as the one last held, and the clients once it is ready.
fn start(setup: Setup, list: &[(String, &'static str)], folder: &str, spread: f64) -> Option<Arc<World>> {
    let world = build(setup, list, folder, seed()).ok()?;
    world.start_director(&world.known()).ok()?;
    if !world.wait_ready() {
        world.end_director();
        return None;
    }
    world.note("the director has answered PING");
    start_clients(&world, spread);
    Some(world)
}

fn drain(world: &World, list: &[(String, &'static str)], numbers: std::ops::Range<usize>) {
    let ids: Vec<String> = list[numbers].iter().map(|host| host.0.clone()).collect();
    world.update_list(|state| state.set_status(&ids, HostStatus::Leaving));
}

/// Discovery and the director are cut off from each other for 6 s. An answer of the watch is lost.
fn lost_answers(folder: &str) -> Option<i32> {
    let mut setup = central_belt(9);
    setup.proxy_zones = 1;
    setup.drain_grace_s = 2.5;
    let list = hosts(&setup, 15, 1);
    let world = start(setup, &list, folder, 1.0)?;
    {
        let mut state = world.lock();
        state.logs_calls = true;
        state.logs_messages = true;
    }
    world.wait_until(6.0);
    let last = world.lock().watch_began;
    while world.lock().watch_began == last {
        thread::sleep(Duration::from_millis(5));
    }
    // Between 1.6 and 3.2 s after the call of the watch.
    let from = {
        let mut state = world.lock();
        state.watch_began + 1.75 + 1.4 * state.random()
    };
    if has_trouble() {
        let mut state = world.lock();
        state.silence = Some((from, from + 6.0));
        state.note(format!("the network to discovery is silent from {from:.3} to {:.3}", from + 6.0));
    }
    world.wait_until(from + 0.5);
    drain(&world, &list, 0..3);
    world.wait_until(from + 16.0);
    Some(finish(&world, &[DRAIN]))
}

/// Strangers connect in hundreds and send half a message, while proxies dial again.
fn strangers(folder: &str) -> Option<i32> {
    const STRANGERS: usize = 180;
    let mut setup = central_belt(9);
    setup.sockets = 256;
    setup.piece_gap_s = 0.4;
    let list = hosts(&setup, 15, 3);
    let world = start(setup, &list, folder, 1.0)?;
    world.lock().logs_messages = true;
    world.wait_until(6.0);
    let (connected, closed, shortest) =
        (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(usize::MAX)));
    if has_trouble() {
        world.note(&format!("{STRANGERS} strangers begin: each connects once a second and sends half a message"));
        for number in 0..STRANGERS {
            let (world, connected, closed, shortest) =
                (world.clone(), connected.clone(), closed.clone(), shortest.clone());
            let _ = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                thread::sleep(Duration::from_secs_f64(number as f64 / STRANGERS as f64));
                while world.now() < 18.0 {
                    let began = Instant::now();
                    if let Ok(mut stream) = TcpStream::connect(world.director) {
                        connected.fetch_add(1, Ordering::Relaxed);
                        let _ = stream.write_all(b"\0\0\0\x40{\"type\":\"SUBS");
                        let _ = stream.set_read_timeout(Some(Duration::from_millis(3000)));
                        if !matches!(stream.read(&mut [0; 8]), Err(ref error) if error.kind() == std::io::ErrorKind::WouldBlock) {
                            closed.fetch_add(1, Ordering::Relaxed);
                            shortest.fetch_min(began.elapsed().as_millis() as usize, Ordering::Relaxed);
                        }
                    }
                    thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
                }
            });
        }
    }
    world.wait_until(8.0);
    world.reset_streams(&(0..9).collect::<Vec<_>>(), |_, draw| 0.12 + draw);
    world.wait_until(8.5);
    drain(&world, &list, 0..3);
    world.wait_until(20.0);
    let dials: Vec<usize> = world.lock().proxies.iter().map(|proxy| proxy.dials).collect();
    let shortest = match shortest.load(Ordering::Relaxed) {
        usize::MAX => "-".into(),
        shortest => shortest.to_string(),
    };
    let summary = format!(
        "dials by proxy: {dials:?}; strangers connected {} times, {} of these were closed by the director, the first {shortest} ms after connecting",
        connected.load(Ordering::Relaxed),
        closed.load(Ordering::Relaxed),
    );
    world.lock().summary.push(summary);
    Some(finish(&world, &[DRAIN]))
}

/// An order of nearly the longest length whose lines all lack the weight.
fn bad_order(depth: usize) -> Vec<u8> {
    let line = format!("{}0{}", "[".repeat(depth), "]".repeat(depth));
    let head = "{\"classes\":[\"score\"],\"lines\":[";
    let tail = "],\"type\":\"CONFIG\"}";
    let count = (LONGEST_MESSAGE - head.len() - tail.len()) / (line.len() + 1);
    let text = format!("{head}{}{tail}", vec![line; count].join(","));
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend(text.bytes());
    bytes
}

/// Memory of a process in KiB: now, and the most so far.
fn memory_of(process: u32) -> Option<(u64, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let value = |key: &str| {
        text.lines().find_map(|line| line.strip_prefix(key)?.trim().split(' ').next()?.parse::<u64>().ok())
    };
    Some((value("VmRSS:")?, value("VmHWM:")?))
}

/// A stranger sends an order. The platform kills the director if it goes over its memory.
fn memory(folder: &str) -> Option<i32> {
    const MEMORY_MB: u32 = 32;
    let mut setup = central_belt(9);
    setup.memory_mb = MEMORY_MB;
    let list = hosts(&setup, 15, 3);
    let world = start(setup, &list, folder, 1.0)?;
    world.lock().logs_messages = true;
    let process = world.process()?;
    let platform = world.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(2));
        let Some((now, most)) = memory_of(process) else { return };
        if most > u64::from(MEMORY_MB) << 10 {
            let text = format!("killed for memory: {most} KiB, the limit is {} KiB", u64::from(MEMORY_MB) << 10);
            platform.note(&format!("the platform sees {now} KiB now and {most} KiB at most, and kills the director"));
            platform.lock().killed_for = Some(text);
            platform.signal_director(KILL);
            return;
        }
    });
    world.wait_until(6.0);
    if let Some((now, most)) = memory_of(process) {
        world.note(&format!("memory before: {now} KiB now, {most} KiB at most"));
    }
    if has_trouble() {
        let bytes = bad_order(1);
        world.note(&format!("a stranger connects and sends one order of {} bytes", bytes.len()));
        let mut stream = TcpStream::connect(world.director).ok()?;
        let _ = stream.write_all(&bytes);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let answer = stream.read(&mut [0; 64]);
        world.note(&format!("the stranger's connection: {answer:?}"));
    }
    world.wait_until(9.0);
    if let Some((now, most)) = memory_of(process) {
        world.note(&format!("memory at the end: {now} KiB now, {most} KiB at most"));
    }
    Some(finish(&world, &[]))
}

/// Bad clients send orders of the longest length, one after the other, while hosts drain.
fn long_messages(folder: &str) -> Option<i32> {
    const CLIENTS: usize = 40;
    let mut setup = central_belt(9);
    setup.drain_grace_s = 2.5;
    let list = hosts(&setup, 15, 3);
    let world = start(setup, &list, folder, 1.0)?;
    world.lock().logs_messages = true;
    world.wait_until(5.0);
    let sent = Arc::new(AtomicUsize::new(0));
    if has_trouble() {
        let bytes = Arc::new(bad_order(20));
        world.note(&format!("{CLIENTS} bad clients begin, each with one order of {} bytes at a time", bytes.len()));
        for _ in 0..CLIENTS {
            let (world, bytes, sent) = (world.clone(), bytes.clone(), sent.clone());
            let _ = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                while world.now() < 18.0 {
                    if let Ok(mut stream) = TcpStream::connect(world.director) {
                        if stream.write_all(&bytes).is_ok() {
                            sent.fetch_add(1, Ordering::Relaxed);
                        }
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
                        let _ = stream.read(&mut [0; 64]);
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    }
    for step in 0..5 {
        world.wait_until(8.0 + 2.0 * step as f64);
        drain(&world, &list, step..step + 1);
    }
    world.wait_until(21.0);
    let summary = format!("orders that bad clients have sent whole: {}", sent.load(Ordering::Relaxed));
    world.lock().summary.push(summary);
    Some(finish(&world, &[DRAIN]))
}

/// Six in ten hosts are replaced within 7 s, while one director has all proxies.
fn replacement(folder: &str) -> Option<i32> {
    const PROXIES: usize = 162;
    const HOSTS: usize = 103;
    /// Six in ten.
    const REPLACED: usize = 61;
    /// Versions of the list, one every half second.
    const STEPS: usize = 14;
    let mut setup = central_belt(PROXIES);
    for class in &mut setup.classes {
        class.per_s *= 0.77;
    }
    setup.lines_per_s = 2400.0;
    setup.pending_max = 4800.0;
    let list = hosts(&setup, HOSTS, 3);
    let world = start(setup, &list, folder, 2.4)?;
    for step in 0..STEPS {
        world.wait_until(14.0 + 0.5 * step as f64);
        if step == 0 {
            world.lock().logs_messages = true;
        }
        if !has_trouble() {
            continue;
        }
        let replaced = &list[REPLACED * step / STEPS..REPLACED * (step + 1) / STEPS];
        let leaving = replaced.iter().map(|host| (host.0.clone(), host.1, HostStatus::Leaving, 0));
        let started = |id: &String| id.replace("s-", "t-");
        let next = replaced.iter().map(|host| (started(&host.0), host.1, HostStatus::Active, unix_ms()));
        let changes: Vec<(String, &str, HostStatus, u64)> = leaving.chain(next).collect();
        world.update_list(|state| state.set_hosts(&changes));
    }
    world.wait_until(world.now() + 6.0);
    Some(finish(&world, &[DRAIN]))
}
