//! Hollow directors: they watch discovery, ask for whole lists, probe hosts and take clients as real ones do.

use super::HollowError;
use crate::delays::Delays;
use crate::deployment::{ASK_WITHIN, CONNECT_TIMEOUT, PROBE_TIMEOUT};
use crate::discovery::Discovery;
use crate::http::{dial, Connection};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout};

/// Time between two rounds of probes.
const PROBE_ROUND: Duration = Duration::from_secs(1);
/// Directors that may probe every host in a round; more of them take a part of the hosts each.
const PROBERS: f64 = 2.0;
/// Hosts that a director probes in a round at least, on the mean.
const PROBE_SAMPLE: f64 = 16.0;
/// How long a watch waits for news.
const WATCH: Duration = Duration::from_millis(ASK_WITHIN.as_millis() as u64 / 2);
/// Time for an answer beyond what a call itself waits.
const LIST_ANSWER: Duration = Duration::from_secs(1);
/// A failed call is asked again after this, doubled with each failure up to the longest pause.
const FIRST_PAUSE_S: f64 = 0.25;
const MOST_DOUBLINGS: u32 = 10;
/// From so many directors on the longest pause grows with them, four times at most.
const CROWD: f64 = 10.0;
const MOST_CROWD: f64 = 4.0;
/// What a restarted director takes to be back.
const RESTART: Duration = Duration::from_millis(300);

/// What all hollow directors share.
#[derive(Debug)]
pub struct Fleet {
    /// The discovery of the run; only its clock is read here, all answers come over sockets.
    pub discovery: Discovery,
    /// The hosts' addresses.
    pub hosts: Vec<SocketAddr>,
    /// All directors, real ones too.
    pub directors: usize,
    /// Times from a change of the list until a hollow director has it.
    pub list_delays: Delays,
    /// Times from a start until the first list.
    pub start_delays: Delays,
    /// Times from a change of the configuration until the whole list from the new address.
    pub move_delays: Delays,
}

/// What a run changes of one hollow director.
#[derive(Debug)]
pub struct Controls {
    /// Its address of discovery.
    pub discovery: watch::Sender<SocketAddr>,
    /// Its starts so far.
    pub starts: watch::Sender<u32>,
    /// The version of the list that it holds; 0 for none.
    pub version: Arc<AtomicU64>,
}

/// One hollow director.
#[derive(Debug)]
pub struct HollowDirector {
    number: usize,
    address: IpAddr,
    fleet: Arc<Fleet>,
    discovery: watch::Receiver<SocketAddr>,
    starts: watch::Receiver<u32>,
    version: Arc<AtomicU64>,
    random: ChaCha8Rng,
}

impl HollowDirector {
    /// A hollow director at this address, and what controls it.
    pub fn new(
        number: usize,
        address: IpAddr,
        discovery: SocketAddr,
        fleet: Arc<Fleet>,
        seed: u64,
    ) -> (HollowDirector, Controls) {
        let (discovery, discovery_told) = watch::channel(discovery);
        let (starts, starts_told) = watch::channel(0);
        let version = Arc::new(AtomicU64::new(0));
        let random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number as u64));
        let director = HollowDirector {
            number,
            address,
            fleet,
            discovery: discovery_told,
            starts: starts_told,
            version: version.clone(),
            random,
        };
        (director, Controls { discovery, starts, version })
    }

    /// Lives, and is started anew whenever it is told to be.
    pub async fn run(mut self, listener: TcpListener) -> Result<(), HollowError> {
        loop {
            let mut starts = self.starts.clone();
            let probing =
                probe_rounds(self.fleet.clone(), self.address, ChaCha8Rng::from_rng(&mut self.random));
            let (name, clients) = (self.number, take_clients(&listener));
            tokio::select! {
                () = self.watch_list() => {}
                () = probing => {}
                ended = clients => return ended.map_err(|problem| HollowError::Listener {
                    part: format!("hollow director {name}"),
                    problem,
                }),
                _ = starts.changed() => {}
            }
            self.starts.mark_unchanged();
            self.version.store(0, Ordering::Relaxed);
            sleep(RESTART).await;
        }
    }

    /// Keeps the list: a whole one first, then watches, asked again after failures and at a new address.
    async fn watch_list(&mut self) {
        let started = tokio::time::Instant::now();
        let (mut held, mut failures, mut moved) = (None, 0, None);
        loop {
            let address = *self.discovery.borrow_and_update();
            let mut discovery = self.discovery.clone();
            let broken = tokio::select! {
                () = self.follow(address, &mut held, &mut failures, (started, moved)) => true,
                _ = discovery.changed() => false,
            };
            if broken {
                failures += 1;
                let pause = self.pause(failures);
                tokio::select! {
                    () = sleep(pause) => {}
                    _ = discovery.changed() => {}
                }
            }
            if *self.discovery.borrow() != address {
                // Nothing of the old address is kept.
                (held, moved) = (None, Some(tokio::time::Instant::now()));
            }
        }
    }

    /// Calls discovery at one address until a call fails.
    async fn follow(
        &self,
        address: SocketAddr,
        held: &mut Option<u64>,
        failures: &mut u32,
        (started, moved): (tokio::time::Instant, Option<tokio::time::Instant>),
    ) {
        let Ok(mut connection) = self.dial(address, LIST_ANSWER).await else { return };
        let mut wait = Duration::ZERO;
        loop {
            let Ok(version) = call(&mut connection, address, *held, wait).await else { return };
            *failures = 0;
            match (*held, moved) {
                (Some(before), _) => {
                    let at = self.fleet.discovery.published(before, version);
                    at.iter().for_each(|at| self.fleet.list_delays.record(at.elapsed()));
                }
                (None, Some(moved)) => self.fleet.move_delays.record(moved.elapsed()),
                (None, None) => self.fleet.start_delays.record(started.elapsed()),
            }
            *held = Some(version);
            self.version.store(version, Ordering::Relaxed);
            wait = WATCH;
        }
    }

    async fn dial(&self, to: SocketAddr, within: Duration) -> io::Result<Connection> {
        dial_from(self.address, to, within).await.map(Connection::new)
    }

    /// The pause after so many failed calls in a row.
    fn pause(&mut self, failures: u32) -> Duration {
        let crowd = (self.fleet.directors as f64 / CROWD).clamp(1.0, MOST_CROWD);
        let longest = (crowd * ASK_WITHIN.as_secs_f64() / 2.0).max(1.0);
        let doubled = FIRST_PAUSE_S * 2f64.powi(failures.min(MOST_DOUBLINGS) as i32);
        Duration::from_secs_f64(self.random.random_range(0.75..1.25) * doubled.min(longest))
    }
}

/// One call to discovery; gives the version of its answer.
async fn call(
    connection: &mut Connection,
    address: SocketAddr,
    after: Option<u64>,
    wait: Duration,
) -> io::Result<u64> {
    let page = match after {
        None => "/v1/endpoints".to_string(),
        Some(version) => format!("/v1/endpoints?after={version}&wait_ms={}", wait.as_millis()),
    };
    let answer = timeout(wait + LIST_ANSWER, connection.get(&page, &address.to_string())).await??;
    match answer.status {
        200 => version_of(&answer.body).ok_or(io::ErrorKind::InvalidData.into()),
        _ => Err(io::ErrorKind::ConnectionRefused.into()),
    }
}

/// The version of an answer, without reading all of it.
fn version_of(body: &[u8]) -> Option<u64> {
    let digits = body.strip_prefix(br#"{"version":"#)?;
    let length = digits.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&digits[..length]).ok()?.parse().ok()
}

async fn dial_from(from: IpAddr, to: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    dial(socket, to, within).await
}

/// Probes its part of the hosts each second, drawn anew each time.
async fn probe_rounds(fleet: Arc<Fleet>, from: IpAddr, mut random: ChaCha8Rng) {
    let part = (PROBERS / fleet.directors as f64).max(PROBE_SAMPLE / fleet.hosts.len() as f64);
    // Directors have started at any time: so their rounds do.
    sleep(PROBE_ROUND.mul_f64(random.random())).await;
    let mut rounds = interval(PROBE_ROUND);
    let mut probes = JoinSet::new();
    loop {
        rounds.tick().await;
        while probes.try_join_next().is_some() {}
        for host in fleet.hosts.iter().filter(|_| random.random::<f64>() < part) {
            let host = *host;
            probes.spawn(async move {
                // What a host says, or that it says nothing, is of no use to a hollow director.
                let _ = timeout(PROBE_TIMEOUT, probe(from, host)).await;
            });
        }
    }
}

/// One probe, over a connection of its own: a real director keeps them for five seconds, which 480 hollow ones in one
/// process have no descriptors for.
async fn probe(from: IpAddr, host: SocketAddr) -> io::Result<()> {
    let mut connection = Connection::new(dial_from(from, host, CONNECT_TIMEOUT).await?);
    connection.get("/status/load", &host.to_string()).await?;
    connection.reset();
    Ok(())
}

/// Takes clients, answers nothing and passes over what they say.
async fn take_clients(listener: &TcpListener) -> io::Result<()> {
    let mut clients = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (mut stream, _) = accepted?;
                clients.spawn(async move { tokio::io::copy(&mut stream, &mut tokio::io::sink()).await });
            }
            Some(_) = clients.join_next() => {}
        }
    }
}
