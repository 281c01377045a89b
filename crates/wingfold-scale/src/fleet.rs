//! The fleet of a run: starts, controls, measures and stops its directors, clients, hosts and discovery.

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

/// Why an operation on the fleet failed.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A listener cannot be bound, or the directory for the files of the run cannot be created.
    #[error("the fleet cannot be set up: {0}")]
    SetUp(#[from] io::Error),
    /// A real director has failed.
    #[error(transparent)]
    Real(#[from] RealDirectorError),
    /// A simulated component has failed.
    #[error(transparent)]
    Simulated(#[from] SimulationError),
    /// The task of a simulated component has panicked.
    #[error("the task of a simulated component failed: {0}")]
    Panic(#[from] tokio::task::JoinError),
    /// The task of a simulated component has ended without an error, although such tasks run until they are
    /// stopped.
    #[error("the task of a simulated component ended unexpectedly")]
    EndedUnexpectedly,
}

/// A send queue counts as idle while it needs less than this time to send everything that waits in it.
const MAX_IDLE_BACKLOG: Duration = Duration::from_millis(250);

/// Traffic counters and the send queue that the clients of one real director share.
#[derive(Debug)]
pub struct Clients {
    /// Traffic of the collectors.
    pub collectors: Arc<Traffic>,
    /// Traffic of the proxies.
    pub proxies: Arc<Traffic>,
    /// The send queue to the proxies.
    pub send_queue: Arc<SendQueue>,
}

/// A real director, its time to start and the counters of its clients.
#[derive(Debug)]
pub struct MeasuredDirector {
    /// The process.
    pub process: RealDirector,
    /// Time for which [`Fleet::start`] waited until the director answered a ping. The wait begins when all
    /// directors have been started and the real directors with lower numbers have answered.
    pub ready_after: Duration,
    /// The counters and the send queue of its clients.
    pub clients: Clients,
}

/// A running fleet. Directors are numbered from 0: first the real ones, then the simulated ones.
#[derive(Debug)]
pub struct Fleet {
    fleet_size: FleetSize,
    seed: u64,
    addresses: Addresses,
    /// The directory for the configurations and logs of real directors.
    directory: PathBuf,
    own_peak_descriptors: usize,
    ready_timeout: Duration,
    /// The scripted discovery.
    pub discovery: Discovery,
    /// The counters and silent zones of the simulated hosts.
    pub hosts: Arc<Hosts>,
    /// The state that simulated directors share.
    pub shared: Arc<director::SharedState>,
    /// Controls of each simulated director, in the order of their numbers.
    pub simulated: Vec<DirectorControls>,
    /// The real directors, in the order of their numbers.
    pub real: Vec<MeasuredDirector>,
    /// The hosts that are leaving, and the delays until proxies of real directors stop using them.
    pub departures: Arc<Departures>,
    /// The tables of each proxy of real directors.
    tables: Vec<Arc<Mutex<ProxyTables>>>,
    /// The tasks of discovery and of all simulated components.
    tasks: JoinSet<Result<(), SimulationError>>,
}

impl Fleet {
    /// Starts the hosts and discovery. Real directors will have to answer a ping within `ready_timeout` after
    /// each start.
    pub async fn set_up(plan: &Plan, ready_timeout: Duration) -> Result<Fleet, FleetError> {
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
            ready_timeout,
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

    /// Starts all directors, then the clients of each real director as soon as that director answers, then
    /// the clients of the simulated directors.
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
                self.real[director].process.wait_until_ready(self.ready_timeout).await?;
            self.connect_clients_of_real(director);
        }
        for (director, address) in simulated {
            self.connect_clients_of_simulated(director, address);
        }
        Ok(())
    }

    /// Fails if a real director or the task of a simulated component has ended.
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

    /// Returns the highest number of descriptors that this process held at any measurement.
    pub fn own_peak_descriptors(&self) -> usize {
        self.own_peak_descriptors
    }

    /// Measures the resource usage of all real directors and of this process.
    pub fn measure(&mut self) -> Result<(), FleetError> {
        let own = process_usage::measure(std::process::id()).map_err(RealDirectorError::from)?;
        self.own_peak_descriptors = self.own_peak_descriptors.max(own.descriptors);
        for real in &mut self.real {
            real.process.measure()?;
        }
        Ok(())
    }

    /// Restarts the directors that `is_selected` accepts: all simulated ones at once, then the real ones one
    /// after another.
    pub async fn restart(&mut self, is_selected: fn(usize) -> bool) -> Result<(), FleetError> {
        let first_simulated = self.fleet_size.real_directors;
        let simulated =
            self.simulated.iter().enumerate().filter(|(index, _)| is_selected(first_simulated + index));
        simulated.for_each(|(_, controls)| controls.restarts.send_modify(|restarts| *restarts += 1));
        for director in (0..first_simulated).filter(|director| is_selected(*director)) {
            self.discovery.reset_written_version(director);
            self.real[director].process.restart().await?;
        }
        for director in (0..first_simulated).filter(|director| is_selected(*director)) {
            self.real[director].process.wait_until_ready(self.ready_timeout).await?;
        }
        Ok(())
    }

    /// Cuts the directors of the region off from discovery, or restores their connectivity.
    pub fn cut_region(&self, cut: bool) {
        let region = (0..self.fleet_size.directors).filter(|director| is_in_region(*director));
        region.for_each(|director| self.discovery.set_cut(director, cut));
    }

    /// Moves discovery: discovery listens at a new address for every director, and the directors are given
    /// that address.
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

    /// Returns the directors that do not hold the current version of the list. A real director counts as
    /// holding a version once discovery has written it to that director.
    pub fn directors_behind(&self) -> Vec<usize> {
        let version = self.discovery.version();
        let held_version = |director: usize| match director.checked_sub(self.fleet_size.real_directors) {
            Some(simulated) => self.simulated[simulated].version.load(Ordering::Relaxed),
            None => self.discovery.written_version(director),
        };
        (0..self.fleet_size.directors).filter(|director| held_version(*director) < version).collect()
    }

    /// Returns the number of pairs of one of these hosts and a proxy of a real director that uses the host.
    pub fn uses_of(&self, hosts: &[usize]) -> usize {
        let count_uses = |tables: &Arc<Mutex<ProxyTables>>| {
            let tables = tables.lock().unwrap_or_else(PoisonError::into_inner);
            hosts.iter().filter(|host| tables.uses(**host)).count()
        };
        self.tables.iter().map(count_uses).sum()
    }

    /// Returns how many proxies of real directors hold a table with a usable host.
    pub fn proxies_with_tables(&self) -> usize {
        let has_table = |tables: &&Arc<Mutex<ProxyTables>>| {
            !tables.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
        };
        self.tables.iter().filter(has_table).count()
    }

    /// Returns whether the send queues of all real directors are idle, that is, nearly empty.
    pub fn send_queues_are_idle(&self) -> bool {
        self.real.iter().all(|real| real.clients.send_queue.backlog() < MAX_IDLE_BACKLOG)
    }

    /// Returns the number of proxies of all real directors.
    pub fn proxy_count(&self) -> usize {
        self.tables.len()
    }

    /// Returns the sum of the traffic between discovery and these directors.
    pub fn discovery_traffic(&self, directors: impl Iterator<Item = usize>) -> TrafficCount {
        directors
            .map(|director| self.discovery.traffic(director).count())
            .fold(TrafficCount::default(), TrafficCount::plus)
    }

    /// Stops all tasks and all real directors, and returns the first error. An error does not keep the other
    /// directors from being stopped.
    pub async fn stop(mut self) -> Result<(), FleetError> {
        self.tasks.shutdown().await;
        let mut result = Ok(());
        for real in &mut self.real {
            result = result.and(real.process.stop().await);
        }
        Ok(result?)
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
        let ip = self.addresses.director(director);
        let discovery = self.start_discovery_listener(director, None).await?;
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (simulated, controls) =
            SimulatedDirector::new(director, ip, discovery, self.shared.clone(), self.seed);
        self.tasks.spawn(simulated.run(listener));
        self.simulated.push(controls);
        Ok(address)
    }

    async fn start_discovery_listener(
        &mut self,
        director: usize,
        moved_at: Option<Instant>,
    ) -> Result<SocketAddr, FleetError> {
        let ip = self.addresses.director(director);
        let (address, serving) = self.discovery.listen(ip, director, moved_at).await?;
        let component = format!("discovery of director {director}");
        self.tasks.spawn(async move {
            serving.await.map_err(|problem| SimulationError::Listener { component, problem })
        });
        Ok(address)
    }

    /// Starts the clients of a real director: a collector of each zone, and its proxies.
    fn connect_clients_of_real(&mut self, director: usize) {
        let real = &self.real[director];
        let (address, send_queue) = (real.process.listen, real.clients.send_queue.clone());
        let (collectors, proxies) = (real.clients.collectors.clone(), real.clients.proxies.clone());
        for zone in 0..self.fleet_size.zones {
            let collector = self.new_collector(address, zone, collectors.clone());
            self.tasks.spawn(collector.run());
        }
        for index in 0..self.fleet_size.proxies_per_director {
            let mut proxy = self.new_proxy(director, address, index, &send_queue);
            (proxy.traffic, proxy.departures) = (proxies.clone(), Some(self.departures.clone()));
            self.tables.push(proxy.tables.clone());
            self.tasks.spawn(proxy.run());
        }
    }

    /// Starts the clients of a simulated director. The first one, the reference director, has as many as a
    /// real director; the others have one proxy and one collector each, to save descriptors.
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
        for index in 0..proxies {
            let proxy = self.new_proxy(director, address, index, &send_queue);
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

    /// Creates a proxy of a director. The proxy gets traffic counters and tables of its own, and records no
    /// departures.
    fn new_proxy(
        &self,
        director: usize,
        address: SocketAddr,
        index: usize,
        send_queue: &Arc<SendQueue>,
    ) -> Proxy {
        let number = proxy_number(&self.fleet_size, director, index);
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
    /// Removes the files of the run. Processes that [`Fleet::stop`] has not stopped are killed when their
    /// handles drop.
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Creates a directory for the files of one run, with a name that no other run of this machine uses at the
/// same time.
fn create_run_directory() -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, run) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let directory = std::env::temp_dir().join(format!("wingfold-scale-{process}-{run}"));
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

/// Starts all hosts and returns their addresses, in the order of their numbers.
async fn start_hosts(
    fleet_size: &FleetSize,
    addresses: &Addresses,
    hosts: &Arc<Hosts>,
    tasks: &mut JoinSet<Result<(), SimulationError>>,
) -> io::Result<Vec<SocketAddr>> {
    let mut host_addresses = Vec::new();
    for number in 0..fleet_size.hosts {
        let host = Host::listen(addresses.host(number), number, fleet_size, hosts.clone()).await?;
        host_addresses.push(host.address()?);
        tasks.spawn(host.run());
    }
    Ok(host_addresses)
}
