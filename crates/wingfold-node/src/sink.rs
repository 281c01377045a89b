//! Sinks: tasks that carry out what the receivers' cores say. Each dials, writes and hangs up by itself; what one of them
//! does not take waits in its own queue, and nobody else's.

use crate::figures::SinkBook;
use crate::or_never;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream, UdpSocket};
use tokio::sync::mpsc::{channel, Receiver as Inlet, Sender};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};
use wingfold_director::interface::{Micros, Timestamp};
use wingfold_figures::collectd::{self, Secrecy};
use wingfold_figures::graphite::{self, Naming};
use wingfold_figures::receiver::{Dropped, Input, Order, Receiver, Rules};
use wingfold_figures::spread::Ring;
use wingfold_figures::Interval;
use wingfold_settings::own::{Collectd, Deal, Graphite, Protocol, Sinks};

/// Intervals that may wait for a task: it takes them at its next turn, and counts what it drops itself.
const INLET: usize = 16;
/// A name that is looked up may take so long; until then no second look-up of it begins.
const DATAGRAMS_A_TURN: usize = 64;
/// Datagrams go in groups with this between them, so that a receiver's buffer is not overrun.
const BETWEEN: Duration = Duration::from_millis(5);

/// Time for the cores, which know nothing of the runtime's.
#[derive(Clone, Copy, Debug)]
struct Time(Instant);

impl Time {
    fn now(self) -> Timestamp {
        Timestamp(self.0.elapsed().as_micros() as u64)
    }
    fn instant(self, at: Timestamp) -> Instant {
        self.0 + Duration::from_micros(at.0)
    }
}

/// How a receiver is, for those that deal names out.
#[derive(Debug, Default)]
struct Health {
    down: AtomicBool,
    /// 0: it is not well.
    well: AtomicU64,
}

/// One task and the way to it.
#[derive(Debug)]
struct Outlet {
    to: Sender<Work>,
    health: Arc<Health>,
    task: JoinHandle<()>,
}

/// What a task is given.
#[derive(Clone, Debug)]
enum Work {
    /// Bytes for a connection.
    Bytes(u64, Arc<[u8]>),
    /// Datagrams.
    Datagrams(Arc<Vec<Vec<u8>>>),
}

/// One block of the settings, running.
struct Group {
    /// Receivers by address, in the settings' order.
    outlets: Vec<(String, Outlet)>,
    ring: Option<Ring>,
    render: Render,
}

#[derive(Clone, PartialEq)]
enum Render {
    Graphite(Naming, Protocol),
    Collectd { director: String, packet: usize, secrecy: Secrecy },
}

/// Takes intervals and deals them out, for good; `settings` may change meanwhile.
pub async fn run(
    mut from: Inlet<Arc<Interval>>,
    mut settings: watch::Receiver<Arc<Sinks>>,
    director: String,
    seed: u64,
    metrics: Arc<SinkBook>,
) {
    let time = Time(Instant::now());
    let mut groups: BTreeMap<String, Group> = BTreeMap::new();
    let mut chance = ChaCha8Rng::seed_from_u64(seed ^ 0xF16);
    let first = settings.borrow_and_update().clone();
    follow(&mut groups, &first, &director, seed, time, &metrics);
    loop {
        tokio::select! {
            interval = from.recv() => match interval {
                None => return,
                Some(interval) => groups.values_mut().for_each(|group| group.send(&interval, time, &mut chance, &metrics)),
            },
            changed = settings.changed() => match changed {
                Ok(()) => {
                    let new = settings.borrow_and_update().clone();
                    follow(&mut groups, &new, &director, seed, time, &metrics);
                }
                // Without a reload the first settings stay in force.
                Err(_) => std::future::pending().await,
            },
        }
    }
}

/// Brings the groups to what the settings say: what is the same in both goes on with all that waits for it.
fn follow(
    groups: &mut BTreeMap<String, Group>,
    new: &Sinks,
    director: &str,
    seed: u64,
    time: Time,
    metrics: &Arc<SinkBook>,
) {
    let mut old = std::mem::take(groups);
    for graphite in &new.graphite {
        let Graphite { name, addresses, protocol, deal, tags, prefix, rules, settle } = graphite;
        let naming = Naming { prefix: prefix.clone(), director: director.into(), tags: *tags };
        let render = Render::Graphite(naming, *protocol);
        let ring = (*deal == Deal::Hash).then(|| Ring::new(addresses, micros(*settle)));
        let kept = old.remove(name).filter(|group| group.render == render);
        groups.insert(name.clone(), group(name, kept, addresses, ring, render, rules, seed, time, metrics));
    }
    for collectd in &new.collectd {
        let Collectd { name, address, packet, secrecy, rules } = collectd;
        let (packet, secrecy) = (*packet, secrecy.clone());
        let render = Render::Collectd { director: director.into(), packet, secrecy };
        let kept = old.remove(name).filter(|group| group.render == render);
        let addresses = std::slice::from_ref(address);
        groups.insert(name.clone(), group(name, kept, addresses, None, render, rules, seed, time, metrics));
    }
    // What is left is gone from the settings: its tasks end, with what waits for them.
    for (name, group) in old {
        tracing::info!(receiver = name, "figures: no longer sent");
        group.outlets.into_iter().for_each(|(_, outlet)| outlet.task.abort());
    }
}

fn micros(time: Duration) -> Micros {
    Micros(time.as_micros() as u64)
}

#[allow(clippy::too_many_arguments)] // Each is one line of the settings.
fn group(
    name: &str,
    kept: Option<Group>,
    addresses: &[String],
    ring: Option<Ring>,
    render: Render,
    rules: &Rules,
    seed: u64,
    time: Time,
    metrics: &Arc<SinkBook>,
) -> Group {
    let mut old: BTreeMap<String, Outlet> =
        kept.map(|group| group.outlets.into_iter().collect()).unwrap_or_default();
    let mut outlets = Vec::new();
    for (at, address) in addresses.iter().enumerate() {
        let outlet = old.remove(address).unwrap_or_else(|| {
            let label: Arc<str> =
                if addresses.len() > 1 { format!("{name}-{address}").into() } else { name.into() };
            tracing::info!(receiver = &*label, address, "figures: sent");
            let seed = seed ^ xxhash(address) ^ at as u64;
            start(label, address.clone(), render.is_udp(), rules.clone(), seed, time, metrics.clone())
        });
        outlets.push((address.clone(), outlet));
    }
    old.into_values().for_each(|outlet| outlet.task.abort());
    Group { outlets, ring, render }
}

/// Spreads the seeds of receivers; it need not be the same anywhere else.
fn xxhash(text: &str) -> u64 {
    text.bytes()
        .fold(0xCBF2_9CE4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01B3))
}

impl Render {
    fn is_udp(&self) -> bool {
        matches!(self, Render::Graphite(_, Protocol::Udp) | Render::Collectd { .. })
    }
}

impl Group {
    fn send(&mut self, interval: &Arc<Interval>, time: Time, chance: &mut ChaCha8Rng, metrics: &SinkBook) {
        if let Render::Collectd { director, packet, secrecy } = &self.render {
            let lists: Vec<collectd::List> =
                interval.samples.iter().filter_map(|one| collectd::list(director, interval, one)).collect();
            let packets = collectd::packets(&lists, *packet, secrecy, chance);
            self.give(0, Work::Datagrams(Arc::new(packets)), metrics);
            return;
        }
        let Render::Graphite(naming, protocol) = &self.render else { return };
        let (points, protocol) = (naming.points(interval), *protocol);
        let work = |points: &[graphite::Point]| match protocol {
            Protocol::Plain => Work::Bytes(interval.number, graphite::plain(points)),
            Protocol::Pickle => Work::Bytes(interval.number, graphite::pickle(points)),
            Protocol::Udp => Work::Datagrams(Arc::new(graphite::datagrams(points))),
        };
        let Some(ring) = &mut self.ring else {
            let work = work(&points);
            (0..self.outlets.len()).for_each(|at| self.give(at, work.clone(), metrics));
            return;
        };
        let now = time.now();
        for (at, (_, outlet)) in self.outlets.iter().enumerate() {
            let well = outlet.health.well.load(Ordering::Relaxed);
            let down = outlet.health.down.load(Ordering::Relaxed);
            ring.learn(now, at, down, (well > 0).then_some(Timestamp(well)));
        }
        let mut dealt: Vec<Vec<graphite::Point>> = vec![Vec::new(); self.outlets.len()];
        points.into_iter().for_each(|point| dealt[ring.of(&point.path)].push(point));
        for (at, points) in dealt.iter().enumerate().filter(|(_, points)| !points.is_empty()) {
            self.give(at, work(points), metrics);
        }
    }

    fn give(&self, at: usize, work: Work, metrics: &SinkBook) {
        let (address, outlet) = &self.outlets[at];
        if outlet.to.try_send(work).is_err() {
            // The task has not had a turn for so many intervals: the whole runtime is late.
            metrics
                .with(&Arc::from(address.as_str()), |counts| *counts.dropped.entry("late").or_default() += 1);
        }
    }
}

fn start(
    name: Arc<str>,
    address: String,
    udp: bool,
    rules: Rules,
    seed: u64,
    time: Time,
    metrics: Arc<SinkBook>,
) -> Outlet {
    let (to, from) = channel(INLET);
    let health = Arc::new(Health::default());
    metrics.with(&name, |_| ());
    let task = match udp {
        true => tokio::spawn(datagrams(name, address, from, metrics)),
        false => tokio::spawn(stream(
            name,
            address,
            from,
            Receiver::new(rules, seed),
            time,
            metrics,
            health.clone(),
        )),
    };
    Outlet { to, health, task }
}

type Looking = Arc<AtomicBool>;

/// An address as a socket's. A name is looked up aside, one look-up at a time: one that hangs holds up nothing else.
async fn resolve(address: &str, looking: &Looking) -> io::Result<SocketAddr> {
    let system = |name: String| std::net::ToSocketAddrs::to_socket_addrs(&name).map(|mut all| all.next());
    resolve_by(address, looking, system).await
}

async fn resolve_by(
    address: &str,
    looking: &Looking,
    look_up: impl FnOnce(String) -> io::Result<Option<SocketAddr>> + Send + 'static,
) -> io::Result<SocketAddr> {
    if let Ok(address) = address.parse() {
        return Ok(address);
    }
    if looking.swap(true, Ordering::Relaxed) {
        return Err(io::Error::other("the last look-up of this name has not ended"));
    }
    let (name, looking) = (address.to_string(), looking.clone());
    let found = tokio::task::spawn_blocking(move || {
        let found = look_up(name);
        looking.store(false, Ordering::Relaxed);
        found
    });
    let found = found.await.map_err(io::Error::other)??;
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "the name has no address"))
}

/// Bytes that the system may hold for a receiver besides its queue: what it holds is in no count, and a receiver that reads
/// nothing would be found out only when it is full.
const HELD: u32 = 16 << 10;

async fn dialled(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_send_buffer_size(HELD)?;
    socket.connect(to).await
}

type Dial = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

/// Serves one receiver over TCP.
async fn stream(
    name: Arc<str>,
    address: String,
    mut from: Inlet<Work>,
    mut core: Receiver,
    time: Time,
    metrics: Arc<SinkBook>,
    health: Arc<Health>,
) {
    let looking = Looking::default();
    let (mut dial, mut open): (Option<Dial>, Option<TcpStream>) = (None, None);
    let mut writing: Option<(Arc<[u8]>, usize)> = None;
    let mut orders = Vec::new();
    loop {
        let due = core.due().map(|at| time.instant(at));
        let input = tokio::select! {
            work = from.recv() => match work {
                Some(Work::Bytes(number, bytes)) => Input::Interval(number, bytes),
                Some(Work::Datagrams(_)) => continue,
                None => return,
            },
            dialled = or_never(dial.as_mut()) => {
                dial = None;
                match dialled {
                    Ok(stream) => {
                        open = Some(stream);
                        Input::Up
                    }
                    Err(error) => {
                        tracing::debug!(receiver = &*name, %error, "figures: no connection");
                        Input::Down
                    }
                }
            }
            took = or_never(open.as_mut().map(|stream| turn(stream, &writing))) => match took {
                Ok(count) => {
                    if let Some((bytes, at)) = &mut writing {
                        *at += count;
                        if *at == bytes.len() {
                            writing = None;
                        }
                    }
                    Input::Took(count)
                }
                Err(error) => {
                    tracing::debug!(receiver = &*name, %error, "figures: connection ended");
                    (open, writing) = (None, None);
                    Input::Down
                }
            },
            () = or_never(due.map(sleep_until)) => Input::Tick,
        };
        orders.clear();
        core.take(time.now(), input, &mut orders);
        for order in orders.drain(..) {
            match order {
                Order::Dial => {
                    let (address, looking) = (address.clone(), looking.clone());
                    dial = Some(Box::pin(async move {
                        let stream = dialled(resolve(&address, &looking).await?).await?;
                        stream.set_nodelay(true)?;
                        Ok(stream)
                    }));
                }
                Order::Write(bytes, at) => writing = Some((bytes, at)),
                Order::Hang => (dial, open, writing) = (None, None, None),
            }
        }
        health.down.store(core.is_down(), Ordering::Relaxed);
        health.well.store(core.well_since().map_or(0, |since| since.0.max(1)), Ordering::Relaxed);
        metrics.with(&name, |counts| {
            for (reason, count) in [Dropped::Full, Dropped::Large].iter().zip(core.counts.dropped) {
                if count > 0 {
                    counts.dropped.insert(reason.name(), count);
                }
            }
            (counts.waiting, counts.sent, counts.cuts) =
                (core.waiting() as u64, core.counts.sent, core.counts.cuts);
        });
    }
}

/// Writes some of what is to be written; with nothing to write, waits for the connection's end. A receiver says nothing:
/// what it says all the same is thrown away.
async fn turn(stream: &mut TcpStream, writing: &Option<(Arc<[u8]>, usize)>) -> io::Result<usize> {
    let ended = || io::Error::new(io::ErrorKind::ConnectionReset, "the receiver ended it");
    match writing {
        Some((bytes, at)) => match stream.write(&bytes[*at..]).await? {
            0 => Err(ended()),
            count => Ok(count),
        },
        None => loop {
            stream.readable().await?;
            match stream.try_read(&mut [0; 256]) {
                Ok(0) => return Err(ended()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        },
    }
}

/// Serves one receiver over UDP: groups of datagrams with a pause between them. Datagrams that cannot go are lost, as others
/// are; an interval that is not out when the next one comes is given up.
async fn datagrams(name: Arc<str>, address: String, mut from: Inlet<Work>, metrics: Arc<SinkBook>) {
    let looking = Looking::default();
    let mut socket: Option<UdpSocket> = None;
    while let Some(work) = from.recv().await {
        let Work::Datagrams(packets) = work else { continue };
        if socket.is_none() {
            socket = connect(&address, &looking).await.ok();
        }
        let Some(open) = &socket else {
            metrics.with(&name, |counts| {
                *counts.dropped.entry("unreachable").or_default() += 1;
                counts.cuts += 1;
            });
            continue;
        };
        let mut failed = false;
        for (at, packet) in packets.iter().enumerate() {
            if at > 0 && at % DATAGRAMS_A_TURN == 0 {
                sleep(BETWEEN).await;
                if !from.is_empty() {
                    metrics.with(&name, |counts| *counts.dropped.entry("late").or_default() += 1);
                    break;
                }
            }
            match open.try_send(packet) {
                Ok(count) => metrics.with(&name, |counts| counts.sent += count as u64),
                // Nobody listens, or the buffer is full: this datagram is lost.
                Err(_) => failed = true,
            }
        }
        if failed {
            metrics.with(&name, |counts| counts.cuts += 1);
            // A name may have another address by now.
            socket = socket.filter(|_| address.parse::<SocketAddr>().is_ok());
        }
    }
}

async fn connect(address: &str, looking: &Looking) -> io::Result<UdpSocket> {
    let to = tokio::time::timeout(Duration::from_secs(2), resolve(address, looking))
        .await
        .map_err(io::Error::other)??;
    let any: SocketAddr = if to.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(any).await?;
    socket.connect(to).await?;
    // It is writable from the start: without this the first try would say that it is not known yet.
    socket.writable().await?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
