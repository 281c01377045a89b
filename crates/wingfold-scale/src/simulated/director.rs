//! Simulated directors: they request the complete list, watch discovery for changes, check hosts and accept
//! clients at the rates of real directors.

use super::SimulationError;
use crate::delays::Delays;
use crate::deployment::{CONNECT_TIMEOUT, HEALTH_CHECK_TIMEOUT, POLL_DEADLINE};
use crate::discovery::Discovery;
use crate::http::{connect_with_timeout, Connection};
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
/// Every host is checked by this many directors in each round, on average. If the fleet has more directors,
/// each checks a random part of the hosts.
const FULL_CHECK_DIRECTORS: f64 = 2.0;
/// Lower limit of the hosts that one director checks in a round, on average.
const MIN_HOSTS_PER_ROUND: f64 = 16.0;
/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_millis(POLL_DEADLINE.as_millis() as u64 / 2);
/// Timeout of a response, in addition to the wait that the request asks for; also the timeout of connecting.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Base of the backoff, which doubles with each consecutive failure, the first one included.
const BASE_BACKOFF_S: f64 = 0.25;
/// Limit on the number of doublings.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// In fleets with more than this number of directors, the longest backoff grows in proportion to the number.
const BACKOFF_SCALE_DIRECTORS: f64 = 10.0;
/// Upper limit of the factor by which the longest backoff grows with the number of directors.
const MAX_BACKOFF_SCALE: f64 = 4.0;
/// Time between the end of a director and its next start in a restart.
const RESTART_DURATION: Duration = Duration::from_millis(300);

/// The state that all simulated directors share.
#[derive(Debug)]
pub struct SharedState {
    /// The discovery of the run, from which directors read only when each version was published. All
    /// responses come over sockets.
    pub discovery: Discovery,
    /// The addresses of the hosts.
    pub hosts: Vec<SocketAddr>,
    /// The number of all directors, real and simulated.
    pub directors: usize,
    /// Delays from a change of the list until a simulated director has received it.
    pub list_delays: Delays,
    /// Delays from the start of a simulated director until it has received its first list.
    pub start_delays: Delays,
    /// Delays from a new address of discovery until a simulated director has received the complete list from
    /// there.
    pub move_delays: Delays,
}

/// The handle by which a run controls and observes one simulated director.
#[derive(Debug)]
pub struct DirectorControls {
    /// The address of discovery for this director.
    pub discovery: watch::Sender<SocketAddr>,
    /// The number of restarts so far; an increase restarts the director.
    pub restarts: watch::Sender<u32>,
    /// The version of the list that the director holds; 0 if it holds none.
    pub version: Arc<AtomicU64>,
}

/// When a director started, and when it last got a new address of discovery.
#[derive(Clone, Copy)]
struct WatchTimes {
    started_at: Instant,
    moved_at: Option<Instant>,
}

/// A simulated director.
#[derive(Debug)]
pub struct SimulatedDirector {
    number: usize,
    address: IpAddr,
    shared: Arc<SharedState>,
    discovery: watch::Receiver<SocketAddr>,
    restarts: watch::Receiver<u32>,
    version: Arc<AtomicU64>,
    random: ChaCha8Rng,
}

impl SimulatedDirector {
    /// Creates a simulated director with this source address, and the handle that controls it.
    pub fn new(
        number: usize,
        address: IpAddr,
        discovery: SocketAddr,
        shared: Arc<SharedState>,
        seed: u64,
    ) -> (SimulatedDirector, DirectorControls) {
        let (discovery, discovery_receiver) = watch::channel(discovery);
        let (restarts, restarts_receiver) = watch::channel(0);
        let version = Arc::new(AtomicU64::new(0));
        let random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number as u64));
        let director = SimulatedDirector {
            number,
            address,
            shared,
            discovery: discovery_receiver,
            restarts: restarts_receiver,
            version: version.clone(),
            random,
        };
        (director, DirectorControls { discovery, restarts, version })
    }

    /// Runs the director, and restarts it whenever `restarts` changes; fails if the listener fails.
    pub async fn run(mut self, listener: TcpListener) -> Result<(), SimulationError> {
        loop {
            let mut restarts = self.restarts.clone();
            let health_checking =
                run_health_checks(self.shared.clone(), self.address, ChaCha8Rng::from_rng(&mut self.random));
            let (number, clients) = (self.number, discard_client_messages(&listener));
            tokio::select! {
                () = self.watch_list() => {}
                () = health_checking => {}
                ended = clients => return ended.map_err(|problem| SimulationError::Listener {
                    component: format!("simulated director {number}"),
                    problem,
                }),
                _ = restarts.changed() => {}
            }
            self.restarts.mark_unchanged();
            self.version.store(0, Ordering::Relaxed);
            sleep(RESTART_DURATION).await;
        }
    }

    /// Keeps the list up to date: requests the complete list, then watches for changes. After a failed
    /// request the director reconnects with a backoff, and at a new address of discovery it requests the
    /// complete list again.
    async fn watch_list(&mut self) {
        let mut times = WatchTimes { started_at: Instant::now(), moved_at: None };
        let (mut known_version, mut failures) = (None, 0);
        loop {
            let address = *self.discovery.borrow_and_update();
            let mut discovery = self.discovery.clone();
            let has_failed = tokio::select! {
                () = self.watch_until_failure(address, &mut known_version, &mut failures, times) => true,
                _ = discovery.changed() => false,
            };
            if has_failed {
                failures += 1;
                let backoff = self.backoff(failures);
                tokio::select! {
                    () = sleep(backoff) => {}
                    _ = discovery.changed() => {}
                }
            }
            if *self.discovery.borrow() != address {
                // The list from the old address is discarded, so the next request is for the complete list.
                known_version = None;
                times.moved_at = Some(Instant::now());
            }
        }
    }

    /// Connects to one address of discovery, then requests and watches the list until a request fails.
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

    async fn connect(&self, to: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        connect_from(self.address, to, timeout).await.map(Connection::new)
    }

    /// Returns the backoff after this number of consecutive failures, with 25% of jitter.
    fn backoff(&mut self, failures: u32) -> Duration {
        let scale = (self.shared.directors as f64 / BACKOFF_SCALE_DIRECTORS).clamp(1.0, MAX_BACKOFF_SCALE);
        let longest = (scale * POLL_DEADLINE.as_secs_f64() / 2.0).max(1.0);
        let doubled = BASE_BACKOFF_S * 2f64.powi(failures.min(MAX_BACKOFF_DOUBLINGS) as i32);
        Duration::from_secs_f64(self.random.random_range(0.75..1.25) * doubled.min(longest))
    }
}

/// Requests the complete list, or the changes after a version; returns the version of the response.
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

/// Returns the version at the beginning of a response body, without parsing the rest of the JSON.
fn version_of(body: &[u8]) -> Option<u64> {
    let digits = body.strip_prefix(br#"{"version":"#)?;
    let length = digits.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&digits[..length]).ok()?.parse().ok()
}

/// Connects from a source address, with a timeout.
async fn connect_from(source: IpAddr, to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    connect_with_timeout(socket, to, timeout).await
}

/// Checks a random selection of the hosts in each round.
async fn run_health_checks(shared: Arc<SharedState>, source: IpAddr, mut random: ChaCha8Rng) {
    let check_ratio =
        (FULL_CHECK_DIRECTORS / shared.directors as f64).max(MIN_HOSTS_PER_ROUND / shared.hosts.len() as f64);
    // Directors start at different times, so a random delay spreads their rounds over the interval.
    sleep(HEALTH_CHECK_INTERVAL.mul_f64(random.random())).await;
    let mut rounds = interval(HEALTH_CHECK_INTERVAL);
    let mut health_checks = JoinSet::new();
    loop {
        rounds.tick().await;
        while health_checks.try_join_next().is_some() {}
        for host in shared.hosts.iter().filter(|_| random.random::<f64>() < check_ratio) {
            let host = *host;
            health_checks.spawn(async move {
                // A simulated director does not use the result.
                let _ = timeout(HEALTH_CHECK_TIMEOUT, check_host(source, host)).await;
            });
        }
    }
}

/// Sends one health check over a new connection, which is closed afterwards. A real director keeps the
/// connection for five seconds; one process does not have the descriptors to do that for 480 simulated
/// directors.
async fn check_host(source: IpAddr, host: SocketAddr) -> io::Result<()> {
    let mut connection = Connection::new(connect_from(source, host, CONNECT_TIMEOUT).await?);
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
