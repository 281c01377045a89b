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

/// Real directors connect from here, simulated ones from addresses of their own.
const REAL_CALLER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Counts of all hosts of a run, and the zones that are silent.
#[derive(Debug)]
pub struct Hosts {
    /// Health checks by host.
    pub health_checks: Vec<Counter>,
    /// Health checks and bytes of all real directors.
    pub real: Traffic,
    /// Health checks and bytes of all simulated directors.
    pub simulated: Traffic,
    /// By zone, whether its hosts are silent.
    silent: Vec<watch::Sender<bool>>,
}

impl Hosts {
    /// The hosts of a run.
    pub fn new(fleet_size: &FleetSize) -> Hosts {
        Hosts {
            health_checks: (0..fleet_size.hosts).map(|_| Counter::default()).collect(),
            real: Traffic::default(),
            simulated: Traffic::default(),
            silent: (0..fleet_size.zones).map(|_| watch::Sender::new(false)).collect(),
        }
    }

    /// Makes a zone silent, or responsive again.
    pub fn set_silent(&self, zone: usize, silent: bool) {
        self.silent[zone].send_replace(silent);
    }

    /// Returns a receiver of whether a zone is silent.
    pub fn subscribe_silence(&self, zone: usize) -> watch::Receiver<bool> {
        self.silent[zone].subscribe()
    }
}

/// One host.
#[derive(Debug)]
pub struct Host {
    number: usize,
    zone: usize,
    listener: TcpListener,
    hosts: Arc<Hosts>,
}

impl Host {
    /// A host that listens at a free port of this address.
    pub async fn listen(
        at: IpAddr,
        number: usize,
        fleet_size: &FleetSize,
        hosts: Arc<Hosts>,
    ) -> io::Result<Host> {
        let listener = TcpListener::bind((at, 0)).await?;
        Ok(Host { number, zone: host_zone(fleet_size, number), listener, hosts })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers health checks until it is dropped.
    pub async fn run(self) -> Result<(), SimulationError> {
        let mut serving = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let (stream, from) = accepted.map_err(|problem| {
                        SimulationError::Listener { part: format!("host {}", self.number), problem }
                    })?;
                    let is_real = from.ip() == REAL_CALLER;
                    let (hosts, number, zone) = (self.hosts.clone(), self.number, self.zone);
                    serving.spawn(async move {
                        // A broken connection concerns its director alone.
                        let _ = serve(Connection::new(stream), &hosts, number, zone, is_real).await;
                    });
                }
                Some(_) = serving.join_next() => {}
            }
        }
    }
}

/// Answers the health checks of one connection.
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
            // This connection gets no further response. It is reset once the zone is back, if it is still
            // open.
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
