//! Simulated collectors: each announces its zone and sends the load reports of the zone's proxies.

use super::{connect_to_director, SimulationError};
use crate::counters::Traffic;
use crate::deployment::{host_name, zone_name};
use crate::messages::{append_frame, encode_frame, ClientMessage};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{interval, MissedTickBehavior};

/// Time between two writes of the load reports that are due.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// The lowest mean latency of a host.
const MIN_LATENCY_MS: usize = 20;
/// The mean latencies of the hosts are spread over this range above the lowest one.
const LATENCY_RANGE_MS: usize = 10;

/// A simulated collector of one zone at one director.
#[derive(Debug)]
pub struct Collector {
    /// The collector's zone.
    pub zone: usize,
    /// The address of the collector's director.
    pub director: SocketAddr,
    /// Counts the load reports and bytes sent; the collectors of a real director share these counters.
    pub traffic: Arc<Traffic>,
    /// The number of hosts in the list.
    pub hosts: usize,
    /// Load reports sent per second.
    pub reports_per_s: f64,
    /// Requests per second that the zone's proxies of this director send to one host.
    pub requests_per_host: f64,
    /// Whether the collector's zone is silent.
    pub silent: watch::Receiver<bool>,
}

impl Collector {
    /// Connects to the director, and reconnects whenever the connection breaks; fails if the director accepts
    /// no connection for too long.
    pub async fn run(mut self) -> Result<(), SimulationError> {
        let mut next_host = 0;
        loop {
            let mut stream = connect_to_director(&self.name(), self.director).await?;
            let mut silent = self.silent.clone();
            let ended = tokio::select! {
                ended = self.write(&mut stream, &mut next_host) => ended,
                _ = silent.wait_for(|silent| *silent) => Ok(()),
            };
            tracing::debug!(zone = self.zone, ended = ?ended.err(), "connection of a collector ended");
            // While the zone is silent, the connection stays open and idle; then the collector reconnects.
            let _ = self.silent.wait_for(|silent| !*silent).await;
            drop(stream);
        }
    }

    fn name(&self) -> String {
        format!("collector of {}", zone_name(self.zone))
    }

    /// Announces the zone, then sends load reports until the connection breaks, one host after another.
    async fn write(&self, stream: &mut TcpStream, next_host: &mut usize) -> io::Result<()> {
        let zone = zone_name(self.zone);
        self.send(stream, &encode_frame(&ClientMessage::CollectorHello { zone: &zone })).await?;
        let mut ticks = interval(WRITE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut due_reports = 0.0;
        loop {
            ticks.tick().await;
            due_reports += self.reports_per_s * WRITE_INTERVAL.as_secs_f64();
            let mut reports = Vec::new();
            while due_reports >= 1.0 {
                self.append_load_report(&mut reports, &zone, *next_host);
                *next_host = (*next_host + 1) % self.hosts;
                due_reports -= 1.0;
            }
            self.send(stream, &reports).await?;
        }
    }

    /// Appends the zone's load report of a host for the time since the previous report of the same host.
    fn append_load_report(&self, buffer: &mut Vec<u8>, zone: &str, host: usize) {
        let period_s = self.hosts as f64 / self.reports_per_s;
        let attempts = (self.requests_per_host * period_s).round().max(1.0) as u64;
        let mean_latency_ms = (MIN_LATENCY_MS + host % LATENCY_RANGE_MS) as f64;
        let (name, period_ms) = (host_name(host), period_s * 1e3);
        append_frame(
            buffer,
            &ClientMessage::LoadReport { zone, host: &name, attempts, failed: 0, mean_latency_ms, period_ms },
        );
        self.traffic.messages.increment();
    }

    async fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        stream.write_all(bytes).await?;
        self.traffic.bytes_out.add(bytes.len() as u64);
        Ok(())
    }
}
