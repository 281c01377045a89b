//! The fleet of a run: everything that is started, and its end.

use crate::counters::{Traffic, TrafficCount};
use crate::deployment::{
    configuration, drain_rate_per_s, proxy_number, proxy_zone, reports_per_s, Addresses, REQUESTS_PER_PROXY,
};
use crate::discovery::Discovery;
use crate::endpoint_list::EndpointList;
use crate::faults::is_in_region;
use crate::plan::{FleetSize, Plan, COLLECTORS_PER_SIMULATED_DIRECTOR, PROXIES_PER_SIMULATED_DIRECTOR};
use crate::process_usage;
use crate::real_director::{RealDirector, RealDirectorError};
use crate::simulated::collector::Collector;
use crate::simulated::director::{self, DirectorControls, SimulatedDirector};
use crate::simulated::host::{Host, Hosts};
use crate::simulated::proxy::{Departures, Proxy, ProxyTables, SendQueue};
use crate::simulated::SimulationError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Why a fleet failed.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// An address cannot be listened at, or the directory for files cannot be made.
    #[error("the fleet cannot be set up: {0}")]
    SetUp(#[from] io::Error),
    /// A real director has failed.
    #[error(transparent)]
    Real(#[from] RealDirectorError),
    /// A simulated part has ended.
    #[error(transparent)]
    Simulated(#[from] SimulationError),
    /// A simulated part has panicked.
    #[error("a hollow part has died: {0}")]
    Panic(#[from] tokio::task::JoinError),
    /// A simulated part has ended, which none does by itself.
    #[error("a hollow part has ended by itself")]
    EndedUnexpectedly,
}

/// Updates that wait for less than this in a send queue count as idle.
const MAX_IDLE_BACKLOG: Duration = Duration::from_millis(250);

/// What passes between one real director and its clients.
#[derive(Debug)]
pub struct Clients {
    /// Counts of collectors.
    pub collectors: Arc<Traffic>,
    /// Counts of proxies.
    pub proxies: Arc<Traffic>,
    /// The send queue to the proxies.
    pub send_queue: Arc<SendQueue>,
}

/// A real director and what is counted of it.
#[derive(Debug)]
pub struct MeasuredDirector {
    /// Its process.
    pub process: RealDirector,
    /// Time from its start until it answered.
    pub ready_after: Duration,
    /// Its clients.
    pub clients: Clients,
}

/// A running fleet. Directors are numbered, real ones first.
#[derive(Debug)]
pub struct Fleet {
    fleet_size: FleetSize,
    seed: u64,
    addresses: Addresses,
    directory: PathBuf,
    own_peak_descriptors: usize,
    ready_within: Duration,
    /// Discovery.
    pub discovery: Discovery,
    /// Hosts.
    pub hosts: Arc<Hosts>,
    /// The state that simulated directors share.
    pub shared: Arc<director::SharedState>,
    /// Simulated directors.
    pub simulated: Vec<DirectorControls>,
    /// Real directors.
    pub real: Vec<MeasuredDirector>,
    /// The hosts that are leaving.
    pub departures: Arc<Departures>,
    tables: Vec<Arc<Mutex<ProxyTables>>>,
    tasks: JoinSet<Result<(), SimulationError>>,
}

impl Fleet {
    /// Sets up hosts and discovery. Real directors will have so long to answer after a start.
    pub async fn set_up(plan: &Plan, ready_within: Duration) -> Result<Fleet, FleetError> {
        let (fleet_size, addresses, mut tasks) =
            (plan.fleet_size, Addresses::of_this_process(), JoinSet::new());
        let hosts = Arc::new(Hosts::new(&fleet_size));
        let host_addresses = start_hosts(&fleet_size, &addresses, &hosts, &mut tasks).await?;
        let list = EndpointList::new(&fleet_size, &host_addresses);
        let (discovery, queue) = Discovery::new(&fleet_size, list);
        tasks.spawn(async move {
            queue.await;
            Ok(())
        });
        let shared = Arc::new(director::SharedState {
            discovery: discovery.clone(),
            hosts: host_addresses,
            directors: fleet_size.directors,
            list_delays: Default::default(),
            start_delays: Default::default(),
            move_delays: Default::default(),
        });
        let directory = create_run_directory()?;
        Ok(Fleet {
            fleet_size,
            seed: plan.seed,
            addresses,
            directory,
            own_peak_descriptors: 0,
            ready_within,
            discovery,
            hosts,
            shared,
            simulated: Vec::new(),
            real: Vec::new(),
            departures: Arc::default(),
            tables: Vec::new(),
            tasks,
        })
    }

    /// Starts all directors, and their clients once the real ones answer.
    pub async fn start(&mut self, program: &Path) -> Result<(), FleetError> {
        for director in 0..self.fleet_size.real_directors {
            self.start_real(program, director).await?;
        }
        let mut simulated = Vec::new();
        for director in self.fleet_size.real_directors..self.fleet_size.directors {
            simulated.push((director, self.start_simulated(director).await?));
        }
        for director in 0..self.fleet_size.real_directors {
            self.real[director].ready_after =
                self.real[director].process.wait_until_ready(self.ready_within).await?;
            self.connect_clients_of_real(director);
        }
        for (director, address) in simulated {
            self.connect_clients_of_simulated(director, address);
        }
        Ok(())
    }

    /// Fails if any part has ended.
    pub fn ensure_running(&mut self) -> Result<(), FleetError> {
        self.real.iter_mut().try_for_each(|real| real.process.ensure_running())?;
        match self.tasks.try_join_next() {
            None => Ok(()),
            Some(ended) => {
                ended??;
                Err(FleetError::EndedUnexpectedly)
            }
        }
    }

    /// The most descriptors that this process has held when it was measured.
    pub fn own_peak_descriptors(&self) -> usize {
        self.own_peak_descriptors
    }

    /// Measures all real directors and this process.
    pub fn measure(&mut self) -> Result<(), FleetError> {
        let own = process_usage::measure(std::process::id()).map_err(RealDirectorError::from)?;
        self.own_peak_descriptors = self.own_peak_descriptors.max(own.descriptors);
        for real in &mut self.real {
            real.process.measure()?;
        }
        Ok(())
    }

    /// Restarts directors: all the simulated ones at once, then the real ones.
    pub async fn restart(&mut self, selects: fn(usize) -> bool) -> Result<(), FleetError> {
        let first_simulated = self.fleet_size.real_directors;
        let simulated = self.simulated.iter().enumerate().filter(|(at, _)| selects(first_simulated + at));
        simulated.for_each(|(_, controls)| controls.starts.send_modify(|starts| *starts += 1));
        for director in (0..first_simulated).filter(|director| selects(*director)) {
            self.discovery.reset_delivered_version(director);
            self.real[director].process.restart().await?;
        }
        for director in (0..first_simulated).filter(|director| selects(*director)) {
            self.real[director].process.wait_until_ready(self.ready_within).await?;
        }
        Ok(())
    }

    /// Cuts the directors of the region off from discovery, or lets them through again.
    pub fn cut_region(&self, cut: bool) {
        let region = (0..self.fleet_size.directors).filter(|director| is_in_region(*director));
        region.for_each(|director| self.discovery.set_cut(director, cut));
    }

    /// Moves discovery: every director gets a new address of it.
    pub async fn move_discovery(&mut self) -> Result<(), FleetError> {
        let now = Instant::now();
        for director in 0..self.fleet_size.directors {
            let address = self.start_discovery_listener(director, Some(now)).await?;
            match director.checked_sub(self.fleet_size.real_directors) {
                Some(simulated) => {
                    self.simulated[simulated].discovery.send_replace(address);
                }
                None => {
                    let process = &self.real[director].process;
                    let text = configuration(&self.fleet_size, director, self.seed, process.listen, address);
                    process.reload(&text.to_string())?;
                }
            }
        }
        Ok(())
    }

    /// Returns the directors that do not hold the current version of the list.
    pub fn directors_behind(&self) -> Vec<usize> {
        let version = self.discovery.version();
        let holds = |director: usize| match director.checked_sub(self.fleet_size.real_directors) {
            Some(simulated) => self.simulated[simulated].version.load(Ordering::Relaxed),
            None => self.discovery.written_version(director),
        };
        (0..self.fleet_size.directors).filter(|director| holds(*director) < version).collect()
    }

    /// Returns how many times these hosts are used by proxies of real directors.
    pub fn uses_of(&self, hosts: &[usize]) -> usize {
        let uses = |tables: &Arc<Mutex<ProxyTables>>| {
            let tables = tables.lock().unwrap_or_else(PoisonError::into_inner);
            hosts.iter().filter(|host| tables.uses(**host)).count()
        };
        self.tables.iter().map(uses).sum()
    }

    /// Returns how many proxies of real directors hold tables.
    pub fn proxies_with_tables(&self) -> usize {
        let has_table = |tables: &&Arc<Mutex<ProxyTables>>| {
            !tables.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
        };
        self.tables.iter().filter(has_table).count()
    }

    /// Returns whether the send queues of all real directors are nearly empty.
    pub fn send_queues_are_idle(&self) -> bool {
        self.real.iter().all(|real| real.clients.send_queue.backlog() < MAX_IDLE_BACKLOG)
    }

    /// Returns how many proxies real directors have.
    pub fn proxy_count(&self) -> usize {
        self.tables.len()
    }

    /// Returns the sum of what passed between discovery and these directors.
    pub fn discovery_traffic(&self, of: impl Iterator<Item = usize>) -> TrafficCount {
        of.map(|director| self.discovery.traffic(director).count())
            .fold(TrafficCount::default(), TrafficCount::plus)
    }

    /// Stops everything that was started, even if something fails to stop.
    pub async fn stop(mut self) -> Result<(), FleetError> {
        self.tasks.shutdown().await;
        let mut stopped = Ok(());
        for real in &mut self.real {
            stopped = stopped.and(real.process.stop().await);
        }
        Ok(stopped?)
    }

    async fn start_real(&mut self, program: &Path, director: usize) -> Result<(), FleetError> {
        let discovery = self.start_discovery_listener(director, None).await?;
        let listen = wingfold_test_support::free_address(self.addresses.director(director));
        let text = configuration(&self.fleet_size, director, self.seed, listen, discovery).to_string();
        let name = format!("n{director}");
        let process = RealDirector::start(program, &self.directory, name, listen, &text).await?;
        let clients = Clients {
            collectors: Arc::default(),
            proxies: Arc::default(),
            send_queue: self.new_send_queue(),
        };
        self.real.push(MeasuredDirector { process, ready_after: Duration::ZERO, clients });
        Ok(())
    }

    async fn start_simulated(&mut self, director: usize) -> Result<SocketAddr, FleetError> {
        let at = self.addresses.director(director);
        let discovery = self.start_discovery_listener(director, None).await?;
        let listener = TcpListener::bind((at, 0)).await?;
        let address = listener.local_addr()?;
        let (part, controls) =
            SimulatedDirector::new(director, at, discovery, self.shared.clone(), self.seed);
        self.tasks.spawn(part.run(listener));
        self.simulated.push(controls);
        Ok(address)
    }

    async fn start_discovery_listener(
        &mut self,
        director: usize,
        moved: Option<Instant>,
    ) -> Result<SocketAddr, FleetError> {
        let at = self.addresses.director(director);
        let (address, serving) = self.discovery.listen(at, director, moved).await?;
        let part = format!("discovery of director {director}");
        self.tasks.spawn(async move {
            serving.await.map_err(|problem| SimulationError::Listener { part, problem })
        });
        Ok(address)
    }

    /// Starts all clients of a real director.
    fn connect_clients_of_real(&mut self, director: usize) {
        let real = &self.real[director];
        let (address, send_queue) = (real.process.listen, real.clients.send_queue.clone());
        let (collectors, proxies) = (real.clients.collectors.clone(), real.clients.proxies.clone());
        for zone in 0..self.fleet_size.zones {
            let collector = self.new_collector(address, zone, collectors.clone());
            self.tasks.spawn(collector.run());
        }
        for place in 0..self.fleet_size.proxies_per_director {
            let mut proxy = self.new_proxy(director, address, place, &send_queue);
            (proxy.traffic, proxy.departures) = (proxies.clone(), Some(self.departures.clone()));
            self.tables.push(proxy.tables.clone());
            self.tasks.spawn(proxy.run());
        }
    }

    /// Starts the clients of a simulated director: all of them for the first one, a few for each other.
    fn connect_clients_of_simulated(&mut self, director: usize, address: SocketAddr) {
        let is_reference = director == self.fleet_size.real_directors;
        let (collectors, proxies) = match is_reference {
            true => (self.fleet_size.zones, self.fleet_size.proxies_per_director),
            false => (COLLECTORS_PER_SIMULATED_DIRECTOR, PROXIES_PER_SIMULATED_DIRECTOR),
        };
        for zone in 0..collectors {
            let collector = self.new_collector(address, zone, Arc::default());
            self.tasks.spawn(collector.run());
        }
        let send_queue = self.new_send_queue();
        for place in 0..proxies {
            let proxy = self.new_proxy(director, address, place, &send_queue);
            self.tasks.spawn(proxy.run());
        }
    }

    fn new_collector(&self, director: SocketAddr, zone: usize, traffic: Arc<Traffic>) -> Collector {
        let zones = self.fleet_size.zones as f64;
        let requests = REQUESTS_PER_PROXY * self.fleet_size.proxies_per_director as f64 / zones;
        Collector {
            zone,
            director,
            traffic,
            hosts: self.fleet_size.hosts,
            reports_per_s: reports_per_s(&self.fleet_size) as f64 / zones,
            requests_per_host: requests / self.fleet_size.hosts as f64,
            silent: self.hosts.subscribe_silence(zone),
        }
    }

    fn new_send_queue(&self) -> Arc<SendQueue> {
        Arc::new(SendQueue::new(drain_rate_per_s(&self.fleet_size)))
    }

    /// Creates a proxy of a director. Its traffic and tables are not shared with anyone yet.
    fn new_proxy(
        &self,
        director: usize,
        address: SocketAddr,
        place: usize,
        send_queue: &Arc<SendQueue>,
    ) -> Proxy {
        let number = proxy_number(&self.fleet_size, director, place);
        let zone = proxy_zone(&self.fleet_size, number);
        Proxy {
            number,
            zone,
            director: address,
            send_queue: send_queue.clone(),
            traffic: Arc::default(),
            departures: None,
            tables: Arc::new(Mutex::new(ProxyTables::new(self.fleet_size.hosts))),
            silent: self.hosts.subscribe_silence(zone),
        }
    }
}

impl Drop for Fleet {
    /// Removes the files. Processes that [`Fleet::stop`] did not reach are killed by their handles.
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Creates a directory for the files of one run.
fn create_run_directory() -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, run) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let directory = std::env::temp_dir().join(format!("wingfold-scale-{process}-{run}"));
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

async fn start_hosts(
    fleet_size: &FleetSize,
    addresses: &Addresses,
    hosts: &Arc<Hosts>,
    tasks: &mut JoinSet<Result<(), SimulationError>>,
) -> io::Result<Vec<SocketAddr>> {
    let mut listening = Vec::new();
    for number in 0..fleet_size.hosts {
        let host = Host::listen(addresses.host(number), number, fleet_size, hosts.clone()).await?;
        listening.push(host.address()?);
        tasks.spawn(host.run());
    }
    Ok(listening)
}
