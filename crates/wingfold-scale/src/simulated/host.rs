//! Simulated hosts: they answer health checks and count them.

use super::SimulationError;
use crate::counters::{Counter, Traffic};
use crate::deployment::{host_zone, LOAD_REPORT};
use crate::http::Connection;
use crate::plan::FleetSize;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The source address of real directors. Each simulated director connects from an address of its own.
const REAL_DIRECTOR_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Counters of all hosts of a run, and the state of each zone: silent or not.
#[derive(Debug)]
pub struct Hosts {
    /// Health checks received, by host.
    pub health_checks: Vec<Counter>,
    /// Health checks and bytes of all real directors.
    pub real: Traffic,
    /// Health checks and bytes of all simulated directors.
    pub simulated: Traffic,
    /// By zone, whether its hosts are silent.
    silent: Vec<watch::Sender<bool>>,
}

impl Hosts {
    /// Creates counters of zero, with no zone silent.
    pub fn new(fleet_size: &FleetSize) -> Hosts {
        Hosts {
            health_checks: (0..fleet_size.hosts).map(|_| Counter::default()).collect(),
            real: Traffic::default(),
            simulated: Traffic::default(),
            silent: (0..fleet_size.zones).map(|_| watch::Sender::new(false)).collect(),
        }
    }

    /// Makes the hosts, proxies and collectors of a zone silent, or lets them send again.
    pub fn set_silent(&self, zone: usize, silent: bool) {
        self.silent[zone].send_replace(silent);
    }

    /// Returns a receiver that tells whether a zone is silent.
    pub fn subscribe_silence(&self, zone: usize) -> watch::Receiver<bool> {
        self.silent[zone].subscribe()
    }
}

/// A simulated host.
#[derive(Debug)]
pub struct Host {
    number: usize,
    zone: usize,
    listener: TcpListener,
    hosts: Arc<Hosts>,
}

impl Host {
    /// Creates a host that listens on a free port of this IP address.
    pub async fn listen(
        ip: IpAddr,
        number: usize,
        fleet_size: &FleetSize,
        hosts: Arc<Hosts>,
    ) -> io::Result<Host> {
        let listener = TcpListener::bind((ip, 0)).await?;
        Ok(Host { number, zone: host_zone(fleet_size, number), listener, hosts })
    }

    /// Returns the address and port at which the host listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers health checks until the task is stopped; fails if the listener fails.
    pub async fn run(self) -> Result<(), SimulationError> {
        let mut serving = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let (stream, from) = accepted.map_err(|problem| {
                        SimulationError::Listener { component: format!("host {}", self.number), problem }
                    })?;
                    let is_real = from.ip() == REAL_DIRECTOR_IP;
                    let (hosts, number, zone) = (self.hosts.clone(), self.number, self.zone);
                    serving.spawn(async move {
                        // A broken connection affects only its director, so the error is ignored.
                        let _ = serve(Connection::new(stream), &hosts, number, zone, is_real).await;
                    });
                }
                Some(_) = serving.join_next() => {}
            }
        }
    }
}

/// Counts and answers the health checks of one connection.
async fn serve(
    mut connection: Connection,
    hosts: &Hosts,
    number: usize,
    zone: usize,
    is_real: bool,
) -> io::Result<()> {
    let traffic = if is_real { &hosts.real } else { &hosts.simulated };
    let mut silent = hosts.subscribe_silence(zone);
    while let Some(request) = connection.read_request().await? {
        hosts.health_checks[number].increment();
        traffic.messages.increment();
        traffic.bytes_in.add(request.bytes);
        if *silent.borrow() {
            // The connection gets no further response. When the zone is no longer silent, the connection is
            // reset, unless the director has closed it before.
            tokio::select! {
                _ = silent.wait_for(|silent| !*silent) => {}
                () = connection.discard_until_closed() => {}
            }
            connection.reset();
            return Ok(());
        }
        traffic.bytes_out.add(connection.write_response("200 OK", LOAD_REPORT).await?);
    }
    Ok(())
}
