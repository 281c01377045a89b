//! Simulated directors: they watch discovery, request complete lists, check hosts and accept clients as real
//! ones do.

use super::SimulationError;
use crate::delays::Delays;
use crate::deployment::{CONNECT_TIMEOUT, HEALTH_CHECK_TIMEOUT, POLL_DEADLINE};
use crate::discovery::Discovery;
use crate::http::{connect_within, Connection};
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
use tokio::time::{interval, sleep, timeout, Instant};

/// Time between two rounds of health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Up to so many directors check every host in a round; more of them check a part of the hosts each.
const FULL_CHECK_DIRECTORS: f64 = 2.0;
/// Hosts that a director checks in a round at least, on average.
const MIN_HOSTS_PER_ROUND: f64 = 16.0;
/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_millis(POLL_DEADLINE.as_millis() as u64 / 2);
/// Time for a response beyond the wait of the call itself.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The first backoff after a failed call; it doubles with each failure in a row.
const INITIAL_BACKOFF_S: f64 = 0.25;
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// From so many directors on the longest backoff grows with their number, by a factor up to the maximum.
const BACKOFF_SCALE_DIRECTORS: f64 = 10.0;
const MAX_BACKOFF_SCALE: f64 = 4.0;
/// How long a restart takes.
const RESTART_DURATION: Duration = Duration::from_millis(300);

/// The state that all simulated directors share.
#[derive(Debug)]
pub struct SharedState {
    /// The discovery of the run; only its clock is read here, all answers come over sockets.
    pub discovery: Discovery,
    /// The hosts' addresses.
    pub hosts: Vec<SocketAddr>,
    /// All directors, real ones too.
    pub directors: usize,
    /// Times from a change of the list until a simulated director has it.
    pub list_delays: Delays,
    /// Times from a start until the first list.
    pub start_delays: Delays,
    /// Times from a change of the configuration until the complete list from the new address.
    pub move_delays: Delays,
}

/// What a run controls of one simulated director, and sees of it.
#[derive(Debug)]
pub struct DirectorControls {
    /// Its address of discovery.
    pub discovery: watch::Sender<SocketAddr>,
    /// Its restarts so far.
    pub starts: watch::Sender<u32>,
    /// The version of the list that it holds; 0 for none.
    pub version: Arc<AtomicU64>,
}

/// When a director started, and when it last got a new address of discovery.
#[derive(Clone, Copy)]
struct WatchTimes {
    started_at: Instant,
    moved_at: Option<Instant>,
}

/// One simulated director.
#[derive(Debug)]
pub struct SimulatedDirector {
    number: usize,
    address: IpAddr,
    shared: Arc<SharedState>,
    discovery: watch::Receiver<SocketAddr>,
    starts: watch::Receiver<u32>,
    version: Arc<AtomicU64>,
    random: ChaCha8Rng,
}

impl SimulatedDirector {
    /// A simulated director at this address, and what controls it.
    pub fn new(
        number: usize,
        address: IpAddr,
        discovery: SocketAddr,
        shared: Arc<SharedState>,
        seed: u64,
    ) -> (SimulatedDirector, DirectorControls) {
        let (discovery, discovery_receiver) = watch::channel(discovery);
        let (starts, starts_receiver) = watch::channel(0);
        let version = Arc::new(AtomicU64::new(0));
        let random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number as u64));
        let director = SimulatedDirector {
            number,
            address,
            shared,
            discovery: discovery_receiver,
            starts: starts_receiver,
            version: version.clone(),
            random,
        };
        (director, DirectorControls { discovery, starts, version })
    }

    /// Runs, and restarts whenever it is told to.
    pub async fn run(mut self, listener: TcpListener) -> Result<(), SimulationError> {
        loop {
            let mut starts = self.starts.clone();
            let health_checking =
                run_health_checks(self.shared.clone(), self.address, ChaCha8Rng::from_rng(&mut self.random));
            let (name, clients) = (self.number, discard_client_messages(&listener));
            tokio::select! {
                () = self.watch_list() => {}
                () = health_checking => {}
                ended = clients => return ended.map_err(|problem| SimulationError::Listener {
                    part: format!("hollow director {name}"),
                    problem,
                }),
                _ = starts.changed() => {}
            }
            self.starts.mark_unchanged();
            self.version.store(0, Ordering::Relaxed);
            sleep(RESTART_DURATION).await;
        }
    }

    /// Keeps the list up to date: a complete one first, then watches; retries after failures and at a new
    /// address.
    async fn watch_list(&mut self) {
        let mut times = WatchTimes { started_at: Instant::now(), moved_at: None };
        let (mut known_version, mut failures) = (None, 0);
        loop {
            let address = *self.discovery.borrow_and_update();
            let mut discovery = self.discovery.clone();
            let broken = tokio::select! {
                () = self.watch_until_failure(address, &mut known_version, &mut failures, times) => true,
                _ = discovery.changed() => false,
            };
            if broken {
                failures += 1;
                let backoff = self.backoff(failures);
                tokio::select! {
                    () = sleep(backoff) => {}
                    _ = discovery.changed() => {}
                }
            }
            if *self.discovery.borrow() != address {
                // The list from the old address is dropped.
                known_version = None;
                times.moved_at = Some(Instant::now());
            }
        }
    }

    /// Requests the list and watches it at one address until a call fails.
    async fn watch_until_failure(
        &self,
        address: SocketAddr,
        known_version: &mut Option<u64>,
        failures: &mut u32,
        times: WatchTimes,
    ) {
        let Ok(mut connection) = self.connect(address, RESPONSE_TIMEOUT).await else { return };
        let mut wait = Duration::ZERO;
        loop {
            let Ok(version) = request_list(&mut connection, address, *known_version, wait).await else {
                return;
            };
            *failures = 0;
            match (*known_version, times.moved_at) {
                (Some(before), _) => {
                    for published_at in self.shared.discovery.publication_times(before, version) {
                        self.shared.list_delays.record(published_at.elapsed());
                    }
                }
                (None, Some(moved_at)) => self.shared.move_delays.record(moved_at.elapsed()),
                (None, None) => self.shared.start_delays.record(times.started_at.elapsed()),
            }
            *known_version = Some(version);
            self.version.store(version, Ordering::Relaxed);
            wait = WATCH_WAIT;
        }
    }

    async fn connect(&self, to: SocketAddr, within: Duration) -> io::Result<Connection> {
        connect_from(self.address, to, within).await.map(Connection::new)
    }

    /// The backoff after so many failed calls in a row.
    fn backoff(&mut self, failures: u32) -> Duration {
        let scale = (self.shared.directors as f64 / BACKOFF_SCALE_DIRECTORS).clamp(1.0, MAX_BACKOFF_SCALE);
        let longest = (scale * POLL_DEADLINE.as_secs_f64() / 2.0).max(1.0);
        let doubled = INITIAL_BACKOFF_S * 2f64.powi(failures.min(MAX_BACKOFF_DOUBLINGS) as i32);
        Duration::from_secs_f64(self.random.random_range(0.75..1.25) * doubled.min(longest))
    }
}

/// Requests the list, or what is newer than a version; returns the version of the response.
async fn request_list(
    connection: &mut Connection,
    address: SocketAddr,
    after: Option<u64>,
    wait: Duration,
) -> io::Result<u64> {
    let target = match after {
        None => "/v1/endpoints".to_string(),
        Some(version) => format!("/v1/endpoints?after={version}&wait_ms={}", wait.as_millis()),
    };
    let response = timeout(wait + RESPONSE_TIMEOUT, connection.get(&target, &address.to_string())).await??;
    match response.status {
        200 => version_of(&response.body).ok_or(io::ErrorKind::InvalidData.into()),
        _ => Err(io::ErrorKind::ConnectionRefused.into()),
    }
}

/// The version of a response, without parsing all of it.
fn version_of(body: &[u8]) -> Option<u64> {
    let digits = body.strip_prefix(br#"{"version":"#)?;
    let length = digits.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&digits[..length]).ok()?.parse().ok()
}

async fn connect_from(from: IpAddr, to: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    connect_within(socket, to, within).await
}

/// Checks a random part of the hosts each second.
async fn run_health_checks(shared: Arc<SharedState>, from: IpAddr, mut random: ChaCha8Rng) {
    let check_ratio =
        (FULL_CHECK_DIRECTORS / shared.directors as f64).max(MIN_HOSTS_PER_ROUND / shared.hosts.len() as f64);
    // Directors have started at different times, and so have their rounds.
    sleep(HEALTH_CHECK_INTERVAL.mul_f64(random.random())).await;
    let mut rounds = interval(HEALTH_CHECK_INTERVAL);
    let mut health_checks = JoinSet::new();
    loop {
        rounds.tick().await;
        while health_checks.try_join_next().is_some() {}
        for host in shared.hosts.iter().filter(|_| random.random::<f64>() < check_ratio) {
            let host = *host;
            health_checks.spawn(async move {
                // A simulated director makes no use of the result.
                let _ = timeout(HEALTH_CHECK_TIMEOUT, check_host(from, host)).await;
            });
        }
    }
}

/// One health check, over a connection of its own. A real director keeps the connection for five seconds; 480
/// simulated ones in one process have no descriptors for that.
async fn check_host(from: IpAddr, host: SocketAddr) -> io::Result<()> {
    let mut connection = Connection::new(connect_from(from, host, CONNECT_TIMEOUT).await?);
    connection.get("/status/load", &host.to_string()).await?;
    connection.reset();
    Ok(())
}

/// Accepts clients and discards their messages.
async fn discard_client_messages(listener: &TcpListener) -> io::Result<()> {
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
