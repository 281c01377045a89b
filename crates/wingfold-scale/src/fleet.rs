//! The fleet of a run: everything that is started, and its end.

use crate::counters::{Traffic, TrafficCount};
use crate::deployment::{
    configuration, lines_per_second, proxy_number, proxy_zone, reports_per_second, Addresses,
    REQUESTS_PER_PROXY,
};
use crate::discovery::Discovery;
use crate::faults::is_in_region;
use crate::hollow::collector::Collector;
use crate::hollow::director::{self, Controls, HollowDirector};
use crate::hollow::host::{Host, Hosts};
use crate::hollow::proxy::{Channel, Departures, Proxy, Tables};
use crate::hollow::HollowError;
use crate::list::HostList;
use crate::measure;
use crate::plan::{Plan, Sizes, COLLECTORS_PER_HOLLOW, PROXIES_PER_HOLLOW};
use crate::real::{RealDirector, RealError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Why a fleet is not whole.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// An address cannot be listened at, or the folder for files cannot be made.
    #[error("the fleet cannot be set up: {0}")]
    SetUp(#[from] io::Error),
    /// A real director has failed.
    #[error(transparent)]
    Real(#[from] RealError),
    /// A hollow part has ended.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// A hollow part has panicked.
    #[error("a hollow part has died: {0}")]
    Panic(#[from] tokio::task::JoinError),
    /// A hollow part has ended, which none does by itself.
    #[error("a hollow part has ended by itself")]
    Over,
}

/// Orders that wait for less than this in a channel are the usual ones.
const LITTLE_WAITS: Duration = Duration::from_millis(250);

/// What passes between one real director and its clients.
#[derive(Debug)]
pub struct Clients {
    /// Counts of collectors.
    pub collectors: Arc<Traffic>,
    /// Counts of proxies.
    pub proxies: Arc<Traffic>,
    /// The channel to the proxies.
    pub channel: Arc<Channel>,
}

/// A real director and what is counted of it.
#[derive(Debug)]
pub struct RealPart {
    /// Its process.
    pub process: RealDirector,
    /// Time from its start until it answered.
    pub ready: Duration,
    /// Its clients.
    pub clients: Clients,
}

/// A running fleet. Directors are numbered, real ones first.
#[derive(Debug)]
pub struct Fleet {
    sizes: Sizes,
    seed: u64,
    addresses: Addresses,
    folder: PathBuf,
    own_peak_descriptors: usize,
    ready_within: Duration,
    /// Discovery.
    pub discovery: Discovery,
    /// Hosts.
    pub hosts: Arc<Hosts>,
    /// What hollow directors share.
    pub shared: Arc<director::Fleet>,
    /// Hollow directors.
    pub hollow: Vec<Controls>,
    /// Real directors.
    pub real: Vec<RealPart>,
    /// Hosts that leave.
    pub departures: Arc<Departures>,
    tables: Vec<Arc<Mutex<Tables>>>,
    tasks: JoinSet<Result<(), HollowError>>,
}

impl Fleet {
    /// Sets up hosts and discovery. Real directors will have so long to answer after a start.
    pub async fn set_up(plan: &Plan, ready_within: Duration) -> Result<Fleet, FleetError> {
        let (sizes, addresses, mut tasks) = (plan.sizes, Addresses::of_this_process(), JoinSet::new());
        let hosts = Arc::new(Hosts::new(&sizes));
        let host_addresses = start_hosts(&sizes, &addresses, &hosts, &mut tasks).await?;
        let list = HostList::new(&sizes, &host_addresses);
        let (discovery, queue) = Discovery::new(&sizes, list);
        tasks.spawn(async move {
            queue.await;
            Ok(())
        });
        let shared = Arc::new(director::Fleet {
            discovery: discovery.clone(),
            hosts: host_addresses,
            directors: sizes.directors,
            list_delays: Default::default(),
            start_delays: Default::default(),
            move_delays: Default::default(),
        });
        let folder = own_folder()?;
        Ok(Fleet {
            sizes,
            seed: plan.seed,
            addresses,
            folder,
            own_peak_descriptors: 0,
            ready_within,
            discovery,
            hosts,
            shared,
            hollow: Vec::new(),
            real: Vec::new(),
            departures: Arc::default(),
            tables: Vec::new(),
            tasks,
        })
    }

    /// Starts all directors, and their clients once the real ones answer.
    pub async fn start(&mut self, program: &Path) -> Result<(), FleetError> {
        for director in 0..self.sizes.real_directors {
            self.start_real(program, director).await?;
        }
        let mut hollow = Vec::new();
        for director in self.sizes.real_directors..self.sizes.directors {
            hollow.push((director, self.start_hollow(director).await?));
        }
        for director in 0..self.sizes.real_directors {
            self.real[director].ready = self.real[director].process.ready(self.ready_within).await?;
            self.dial_real(director);
        }
        for (director, address) in hollow {
            self.dial_hollow(director, address);
        }
        Ok(())
    }

    /// Fails if any part has ended.
    pub fn check(&mut self) -> Result<(), FleetError> {
        self.real.iter_mut().try_for_each(|real| real.process.check())?;
        match self.tasks.try_join_next() {
            None => Ok(()),
            Some(ended) => {
                ended??;
                Err(FleetError::Over)
            }
        }
    }

    /// The most descriptors that this process has held when it was measured.
    pub fn own_peak_descriptors(&self) -> usize {
        self.own_peak_descriptors
    }

    /// Measures all real directors and this process.
    pub fn measure(&mut self) -> Result<(), FleetError> {
        let own = measure::usage(std::process::id()).map_err(RealError::from)?;
        self.own_peak_descriptors = self.own_peak_descriptors.max(own.descriptors);
        for real in &mut self.real {
            real.process.measure()?;
        }
        Ok(())
    }

    /// Restarts directors: all the hollow ones at once, then the real ones.
    pub async fn restart(&mut self, of: fn(usize) -> bool) -> Result<(), FleetError> {
        let first_hollow = self.sizes.real_directors;
        let hollow = self.hollow.iter().enumerate().filter(|(at, _)| of(first_hollow + at));
        hollow.for_each(|(_, controls)| controls.starts.send_modify(|starts| *starts += 1));
        for director in (0..first_hollow).filter(|director| of(*director)) {
            self.discovery.forget(director);
            self.real[director].process.restart().await?;
        }
        for director in (0..first_hollow).filter(|director| of(*director)) {
            self.real[director].process.ready(self.ready_within).await?;
        }
        Ok(())
    }

    /// Cuts the directors of the region off from discovery, or lets them through again.
    pub fn cut_region(&self, cut: bool) {
        let region = (0..self.sizes.directors).filter(|director| is_in_region(*director));
        region.for_each(|director| self.discovery.set_cut(director, cut));
    }

    /// Moves discovery: every director is told another address of it.
    pub async fn move_discovery(&mut self) -> Result<(), FleetError> {
        let now = Instant::now();
        for director in 0..self.sizes.directors {
            let address = self.listen_for(director, Some(now)).await?;
            match director.checked_sub(self.sizes.real_directors) {
                Some(hollow) => {
                    self.hollow[hollow].discovery.send_replace(address);
                }
                None => {
                    let process = &self.real[director].process;
                    let text = configuration(&self.sizes, director, self.seed, process.listen, address);
                    process.reload(&text.to_string())?;
                }
            }
        }
        Ok(())
    }

    /// Directors that do not hold the list as it stands.
    pub fn behind(&self) -> Vec<usize> {
        let version = self.discovery.version();
        let holds = |director: usize| match director.checked_sub(self.sizes.real_directors) {
            Some(hollow) => self.hollow[hollow].version.load(Ordering::Relaxed),
            None => self.discovery.written_version(director),
        };
        (0..self.sizes.directors).filter(|director| holds(*director) < version).collect()
    }

    /// Uses of these hosts by proxies of real directors.
    pub fn uses_of(&self, hosts: &[usize]) -> usize {
        let uses = |tables: &Arc<Mutex<Tables>>| {
            let tables = tables.lock().unwrap_or_else(PoisonError::into_inner);
            hosts.iter().filter(|host| tables.uses(**host)).count()
        };
        self.tables.iter().map(uses).sum()
    }

    /// Proxies of real directors that hold tables.
    pub fn bound_proxies(&self) -> usize {
        let is_bound =
            |tables: &&Arc<Mutex<Tables>>| !tables.lock().unwrap_or_else(PoisonError::into_inner).is_empty();
        self.tables.iter().filter(is_bound).count()
    }

    /// Whether the channels of all real directors are nearly empty.
    pub fn channels_are_free(&self) -> bool {
        self.real.iter().all(|real| real.clients.channel.backlog() < LITTLE_WAITS)
    }

    /// Proxies of real directors.
    pub fn proxies(&self) -> usize {
        self.tables.len()
    }

    /// What passed between discovery and directors, together.
    pub fn discovery_traffic(&self, of: impl Iterator<Item = usize>) -> TrafficCount {
        of.map(|director| self.discovery.traffic(director).count())
            .fold(TrafficCount::default(), TrafficCount::plus)
    }

    /// Ends all that was started, in every case all of it.
    pub async fn end(mut self) -> Result<(), FleetError> {
        self.tasks.shutdown().await;
        let mut ended = Ok(());
        for real in &mut self.real {
            ended = ended.and(real.process.end().await);
        }
        Ok(ended?)
    }

    async fn start_real(&mut self, program: &Path, director: usize) -> Result<(), FleetError> {
        let discovery = self.listen_for(director, None).await?;
        let listen = wingfold_test_support::free_address(self.addresses.director(director));
        let text = configuration(&self.sizes, director, self.seed, listen, discovery).to_string();
        let name = format!("n{director}");
        let process = RealDirector::start(program, &self.folder, name, listen, &text).await?;
        let clients =
            Clients { collectors: Arc::default(), proxies: Arc::default(), channel: self.channel() };
        self.real.push(RealPart { process, ready: Duration::ZERO, clients });
        Ok(())
    }

    async fn start_hollow(&mut self, director: usize) -> Result<SocketAddr, FleetError> {
        let at = self.addresses.director(director);
        let discovery = self.listen_for(director, None).await?;
        let listener = TcpListener::bind((at, 0)).await?;
        let address = listener.local_addr()?;
        let (part, controls) = HollowDirector::new(director, at, discovery, self.shared.clone(), self.seed);
        self.tasks.spawn(part.run(listener));
        self.hollow.push(controls);
        Ok(address)
    }

    async fn listen_for(
        &mut self,
        director: usize,
        moved: Option<Instant>,
    ) -> Result<SocketAddr, FleetError> {
        let at = self.addresses.director(director);
        let (address, serving) = self.discovery.listen(at, director, moved).await?;
        let part = format!("discovery of director {director}");
        self.tasks
            .spawn(async move { serving.await.map_err(|problem| HollowError::Listener { part, problem }) });
        Ok(address)
    }

    /// Has all clients of a real director dial it.
    fn dial_real(&mut self, director: usize) {
        let real = &self.real[director];
        let (address, channel) = (real.process.listen, real.clients.channel.clone());
        let (collectors, proxies) = (real.clients.collectors.clone(), real.clients.proxies.clone());
        for zone in 0..self.sizes.zones {
            let collector = self.collector(address, zone, collectors.clone());
            self.tasks.spawn(collector.run());
        }
        for place in 0..self.sizes.proxies_per_director {
            let mut proxy = self.proxy(director, address, place, &channel);
            (proxy.traffic, proxy.departures) = (proxies.clone(), Some(self.departures.clone()));
            self.tables.push(proxy.tables.clone());
            self.tasks.spawn(proxy.run());
        }
    }

    /// Has clients dial a hollow director: all of them the first one, a few each other.
    fn dial_hollow(&mut self, director: usize, address: SocketAddr) {
        let is_reference = director == self.sizes.real_directors;
        let (collectors, proxies) = match is_reference {
            true => (self.sizes.zones, self.sizes.proxies_per_director),
            false => (COLLECTORS_PER_HOLLOW, PROXIES_PER_HOLLOW),
        };
        for zone in 0..collectors {
            let collector = self.collector(address, zone, Arc::default());
            self.tasks.spawn(collector.run());
        }
        let channel = self.channel();
        for place in 0..proxies {
            let proxy = self.proxy(director, address, place, &channel);
            self.tasks.spawn(proxy.run());
        }
    }

    fn collector(&self, director: SocketAddr, zone: usize, traffic: Arc<Traffic>) -> Collector {
        let zones = self.sizes.zones as f64;
        let requests = REQUESTS_PER_PROXY * self.sizes.proxies_per_director as f64 / zones;
        Collector {
            zone,
            director,
            traffic,
            hosts: self.sizes.hosts,
            lines_per_second: reports_per_second(&self.sizes) as f64 / zones,
            requests_per_host: requests / self.sizes.hosts as f64,
            silent: self.hosts.silence(zone),
        }
    }

    fn channel(&self) -> Arc<Channel> {
        Arc::new(Channel::new(lines_per_second(&self.sizes)))
    }

    /// A proxy of a director; nobody counts it or looks at its tables yet.
    fn proxy(&self, director: usize, address: SocketAddr, place: usize, channel: &Arc<Channel>) -> Proxy {
        let number = proxy_number(&self.sizes, director, place);
        let zone = proxy_zone(&self.sizes, number);
        Proxy {
            number,
            zone,
            director: address,
            channel: channel.clone(),
            traffic: Arc::default(),
            departures: None,
            tables: Arc::new(Mutex::new(Tables::new(self.sizes.hosts))),
            silent: self.hosts.silence(zone),
        }
    }
}

impl Drop for Fleet {
    /// Removes the files; processes that [`Fleet::end`] did not come to are killed by their handles.
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A folder for the files of one run.
fn own_folder() -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, run) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let folder = std::env::temp_dir().join(format!("wingfold-scale-{process}-{run}"));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

async fn start_hosts(
    sizes: &Sizes,
    addresses: &Addresses,
    hosts: &Arc<Hosts>,
    tasks: &mut JoinSet<Result<(), HollowError>>,
) -> io::Result<Vec<SocketAddr>> {
    let mut listening = Vec::new();
    for number in 0..sizes.hosts {
        let host = Host::listen(addresses.host(number), number, sizes, hosts.clone()).await?;
        listening.push(host.address()?);
        tasks.spawn(host.run());
    }
    Ok(listening)
}
