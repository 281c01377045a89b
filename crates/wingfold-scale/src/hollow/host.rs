//! Hollow hosts: they answer probes and count them.

use super::HollowError;
use crate::counters::{Counter, Traffic};
use crate::deployment::{host_zone, LOAD_REPORT};
use crate::http::Connection;
use crate::plan::Sizes;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Real directors call from here; hollow ones from addresses of their own.
const REAL_CALLER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// What the hosts of a run have met.
#[derive(Debug)]
pub struct Hosts {
    /// Probes by host.
    pub probes: Vec<Counter>,
    /// Probes and bytes of all real directors.
    pub real: Traffic,
    /// Probes and bytes of all hollow directors.
    pub hollow: Traffic,
    /// By zone, whether its hosts are silent.
    silent: Vec<watch::Sender<bool>>,
}

impl Hosts {
    /// The hosts of a run.
    pub fn new(sizes: &Sizes) -> Hosts {
        Hosts {
            probes: (0..sizes.hosts).map(|_| Counter::default()).collect(),
            real: Traffic::default(),
            hollow: Traffic::default(),
            silent: (0..sizes.zones).map(|_| watch::Sender::new(false)).collect(),
        }
    }

    /// Makes a zone's hosts silent, or has them go on.
    pub fn set_silent(&self, zone: usize, silent: bool) {
        self.silent[zone].send_replace(silent);
    }

    /// Whether a zone is silent, now and later.
    pub fn silence(&self, zone: usize) -> watch::Receiver<bool> {
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
    pub async fn listen(at: IpAddr, number: usize, sizes: &Sizes, hosts: Arc<Hosts>) -> io::Result<Host> {
        let listener = TcpListener::bind((at, 0)).await?;
        Ok(Host { number, zone: host_zone(sizes, number), listener, hosts })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers probes, for good.
    pub async fn run(self) -> Result<(), HollowError> {
        let mut serving = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let (stream, from) = accepted.map_err(|problem| {
                        HollowError::Listener { part: format!("host {}", self.number), problem }
                    })?;
                    let is_real = from.ip() == REAL_CALLER;
                    let (hosts, number, zone) = (self.hosts.clone(), self.number, self.zone);
                    serving.spawn(async move {
                        // A connection that breaks concerns its director alone.
                        let _ = serve(Connection::new(stream), &hosts, number, zone, is_real).await;
                    });
                }
                Some(_) = serving.join_next() => {}
            }
        }
    }
}

async fn serve(
    mut connection: Connection,
    hosts: &Hosts,
    number: usize,
    zone: usize,
    is_real: bool,
) -> io::Result<()> {
    let traffic = if is_real { &hosts.real } else { &hosts.hollow };
    let mut silent = hosts.silence(zone);
    while let Some(request) = connection.request().await? {
        hosts.probes[number].one();
        traffic.messages.one();
        traffic.bytes_in.add(request.bytes);
        if *silent.borrow() {
            // Nothing is answered any more on this connection; it is reset once the zone is back, if it is still there.
            tokio::select! {
                _ = silent.wait_for(|silent| !*silent) => {}
                () = connection.drained() => {}
            }
            connection.reset();
            return Ok(());
        }
        traffic.bytes_out.add(connection.answer("200 OK", LOAD_REPORT).await?);
    }
    Ok(())
}
