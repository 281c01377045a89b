//! Hollow collectors: each names its zone and passes on sums of what the zone's proxies met.

use super::{reach, HollowError};
use crate::counters::Traffic;
use crate::deployment::{host_name, zone_name};
use crate::messages::{frame, write_frame, ClientMessage};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{interval, MissedTickBehavior};

/// Lines that have gathered are written this often.
const WRITE_EVERY: Duration = Duration::from_millis(250);
/// Mean times of hosts lie between the two, in milliseconds.
const FASTEST_MS: usize = 20;
const SPREAD_MS: usize = 10;

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
    /// Lines a second.
    pub lines_per_second: f64,
    /// Requests a second that the zone's proxies at this director send to one host.
    pub requests_per_host: f64,
    /// Whether its zone is silent.
    pub silent: watch::Receiver<bool>,
}

impl Collector {
    /// Connects, and again whenever its connection breaks.
    pub async fn run(mut self) -> Result<(), HollowError> {
        let mut next_host = 0;
        loop {
            let mut stream = reach(&self.name(), self.director).await?;
            let mut silent = self.silent.clone();
            let ended = tokio::select! {
                ended = self.write(&mut stream, &mut next_host) => ended,
                _ = silent.wait_for(|silent| *silent) => Ok(()),
            };
            tracing::debug!(zone = self.zone, ended = ?ended.err(), "collector's connection ended");
            // In a silent zone the connection stays open and says nothing; back again, the collector dials anew.
            let _ = self.silent.wait_for(|silent| !*silent).await;
            drop(stream);
        }
    }

    fn name(&self) -> String {
        format!("collector of {}", zone_name(self.zone))
    }

    /// Names the zone, then writes lines host by host, until the connection breaks.
    async fn write(&self, stream: &mut TcpStream, next_host: &mut usize) -> io::Result<()> {
        let site = zone_name(self.zone);
        self.send(stream, &frame(&ClientMessage::Source { site: &site })).await?;
        let mut ticks = interval(WRITE_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut owed = 0.0;
        loop {
            ticks.tick().await;
            owed += self.lines_per_second * WRITE_EVERY.as_secs_f64();
            let mut lines = Vec::new();
            while owed >= 1.0 {
                self.line(&mut lines, &site, *next_host);
                *next_host = (*next_host + 1) % self.hosts;
                owed -= 1.0;
            }
            self.send(stream, &lines).await?;
        }
    }

    /// What the zone met at a host since the line before.
    fn line(&self, lines: &mut Vec<u8>, site: &str, host: usize) {
        let between = self.hosts as f64 / self.lines_per_second;
        let count = (self.requests_per_host * between).round().max(1.0) as u64;
        let mean = (FASTEST_MS + host % SPREAD_MS) as f64;
        let (target, over) = (host_name(host), between * 1e3);
        write_frame(lines, &ClientMessage::Load { site, target: &target, count, fail: 0, mean, over });
        self.traffic.messages.one();
    }

    async fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        stream.write_all(bytes).await?;
        self.traffic.bytes_out.add(bytes.len() as u64);
        Ok(())
    }
}
