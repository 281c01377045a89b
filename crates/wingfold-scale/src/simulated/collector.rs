//! Simulated collectors: each names its zone and sends the load reports of the zone's proxies.

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

/// How often load reports that are due are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// The least mean latency of a host, and the range of hosts' mean latencies above it.
const MIN_LATENCY_MS: usize = 20;
const LATENCY_RANGE_MS: usize = 10;

/// One collector.
#[derive(Debug)]
pub struct Collector {
    /// Its zone.
    pub zone: usize,
    /// Its director.
    pub director: SocketAddr,
    /// Counts what it writes; those of one director share it.
    pub traffic: Arc<Traffic>,
    /// Hosts in the list.
    pub hosts: usize,
    /// Load reports a second.
    pub reports_per_s: f64,
    /// Requests a second that the zone's proxies at this director send to one host.
    pub requests_per_host: f64,
    /// Whether its zone is silent.
    pub silent: watch::Receiver<bool>,
}

impl Collector {
    /// Connects, and connects again whenever the connection breaks.
    pub async fn run(mut self) -> Result<(), SimulationError> {
        let mut next_host = 0;
        loop {
            let mut stream = connect_to_director(&self.name(), self.director).await?;
            let mut silent = self.silent.clone();
            let ended = tokio::select! {
                ended = self.write(&mut stream, &mut next_host) => ended,
                _ = silent.wait_for(|silent| *silent) => Ok(()),
            };
            tracing::debug!(zone = self.zone, ended = ?ended.err(), "collector's connection ended");
            // In a silent zone the connection stays open and idle; afterwards the collector connects again.
            let _ = self.silent.wait_for(|silent| !*silent).await;
            drop(stream);
        }
    }

    fn name(&self) -> String {
        format!("collector of {}", zone_name(self.zone))
    }

    /// Names the zone, then writes load reports host by host, until the connection breaks.
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

    /// Appends what the zone saw of a host since its last report.
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
