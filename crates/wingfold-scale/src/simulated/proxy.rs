//! Simulated proxies: they join a director, apply its updates, acknowledge its barriers and report their
//! usage.

use super::{connect_to_director, SimulationError};
use crate::counters::Traffic;
use crate::delays::Delays;
use crate::deployment::{
    host_number, zone_name, CLASSES, LINES_PER_MESSAGE, PUSH_DELAY, REPORT_PERIOD, REQUESTS_PER_PROXY,
};
use crate::messages::{
    append_frame, encode_frame, read_frame, ClientMessage, DirectorMessage, ProxyUpdatePart,
};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval_at, sleep_until, Instant};
use wingfold_test_support::frame;

/// Hosts that are leaving, and since when, for all proxies of a run.
#[derive(Debug, Default)]
pub struct Departures {
    since: Mutex<HashMap<usize, Instant>>,
    /// Times from the change of the list until a proxy's table is without the host.
    pub delays: Delays,
}

impl Departures {
    /// Records that a host leaves now.
    pub fn host_leaves(&self, host: usize) {
        self.all().insert(host, Instant::now());
    }

    /// Records that a host is back.
    pub fn host_returns(&self, host: usize) {
        self.all().remove(&host);
    }

    /// Returns the hosts that have been leaving for longer than this.
    pub fn leaving_longer_than(&self, age: Duration) -> Vec<usize> {
        self.all().iter().filter(|(_, since)| since.elapsed() > age).map(|(host, _)| *host).collect()
    }

    /// Records that a proxy stopped using a host at this time.
    fn record_last_use(&self, host: usize, at: Instant) {
        if let Some(since) = self.all().get(&host) {
            self.delays.record(at.duration_since(*since));
        }
    }

    fn all(&self) -> std::sync::MutexGuard<'_, HashMap<usize, Instant>> {
        self.since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The send queue of a director: it sends messages to its proxies one after another, at the drain rate of the
/// settings.
#[derive(Debug)]
pub struct SendQueue {
    drain_rate_per_s: f64,
    free_at: Mutex<Instant>,
}

impl SendQueue {
    /// Creates an empty queue with this drain rate.
    pub fn new(drain_rate_per_s: usize) -> SendQueue {
        SendQueue { drain_rate_per_s: drain_rate_per_s as f64, free_at: Mutex::new(Instant::now()) }
    }

    /// Returns how long the queue takes to send all that waits in it.
    pub fn backlog(&self) -> Duration {
        let free_at = *self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        free_at.saturating_duration_since(Instant::now())
    }

    /// Adds lines; returns the time at which the proxy has applied them.
    fn enqueue(&self, lines: usize) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let takes = Duration::from_secs_f64(lines as f64 / self.drain_rate_per_s);
        *free_at = (*free_at).max(Instant::now()) + takes;
        *free_at + PUSH_DELAY
    }
}

/// The hosts that a proxy uses, by class.
#[derive(Debug)]
pub struct ProxyTables {
    /// By host, the classes whose table has it, as bits.
    classes: Vec<u8>,
    ejected: Vec<bool>,
}

impl ProxyTables {
    /// Creates empty tables for so many hosts.
    pub fn new(hosts: usize) -> ProxyTables {
        ProxyTables { classes: vec![0; hosts], ejected: vec![false; hosts] }
    }

    /// Returns whether some table has the host and it is not ejected.
    pub fn uses(&self, host: usize) -> bool {
        self.classes[host] != 0 && !self.ejected[host]
    }

    /// Returns how many hosts are used.
    pub fn len(&self) -> usize {
        (0..self.classes.len()).filter(|host| self.uses(*host)).count()
    }

    /// Returns whether no host is used.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies a part of an update; returns the hosts that are no longer used, or fails with an unknown name.
    pub fn apply(&mut self, update: &ProxyUpdatePart) -> Result<Vec<usize>, String> {
        let used: Vec<bool> = (0..self.classes.len()).map(|host| self.uses(host)).collect();
        let mask = class_mask(update)?;
        if update.complete {
            self.classes.iter_mut().for_each(|classes| *classes &= !mask);
        }
        for (name, weight) in &update.entries {
            let host = self.host_index(name)?;
            let classes = &mut self.classes[host];
            *classes = if *weight > 0.0 { *classes | mask } else { *classes & !mask };
        }
        for (names, is_ejected) in [(&update.ejected, true), (&update.restored, false)] {
            for name in names {
                let host = self.host_index(name)?;
                self.ejected[host] = is_ejected;
            }
        }
        Ok((0..used.len()).filter(|host| used[*host] && !self.uses(*host)).collect())
    }

    /// Returns the index of a host, or fails with its name.
    fn host_index(&self, name: &str) -> Result<usize, String> {
        let host = host_number(name).filter(|host| *host < self.ejected.len());
        host.ok_or_else(|| format!("host {name}"))
    }
}

/// The classes that an update changes, as bits.
fn class_mask(update: &ProxyUpdatePart) -> Result<u8, String> {
    let bit = |name: &str| CLASSES.iter().position(|class| *class == name).map(|place| 1 << place);
    match update.classes.is_empty() {
        true => Ok((1 << CLASSES.len()) - 1),
        false => update
            .classes
            .iter()
            .try_fold(0, |mask, name| Ok(mask | bit(name).ok_or_else(|| format!("class {name}"))?)),
    }
}

/// One proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Its number.
    pub number: u32,
    /// Its zone.
    pub zone: usize,
    /// Its director.
    pub director: SocketAddr,
    /// The send queue that it shares with the director's other proxies.
    pub send_queue: Arc<SendQueue>,
    /// Counts what passes between it and the director; those of one director share it.
    pub traffic: Arc<Traffic>,
    /// Where the last uses of leaving hosts are recorded, if anywhere.
    pub departures: Option<Arc<Departures>>,
    /// The hosts it uses, shared with the fleet.
    pub tables: Arc<Mutex<ProxyTables>>,
    /// Whether its zone is silent.
    pub silent: watch::Receiver<bool>,
}

/// A barrier to be acknowledged once its update is applied.
struct PendingAcknowledgement {
    barrier: u64,
    received_at: Instant,
    applied_at: Instant,
}

impl Proxy {
    /// Joins, and joins again whenever its stream breaks.
    pub async fn run(mut self) -> Result<(), SimulationError> {
        let mut is_new = true;
        loop {
            let stream = connect_to_director(&self.name(), self.director).await?;
            let (mut reader, mut writer) = stream.into_split();
            let (acks, due) = mpsc::unbounded_channel();
            let mut silent = self.silent.clone();
            let streamed = tokio::select! {
                read = self.read(&mut reader, acks) => read?,
                written = self.write(&mut writer, due, is_new) => written,
                _ = silent.wait_for(|silent| *silent) => Ok(()),
            };
            tracing::debug!(proxy = self.number, ended = ?streamed.err(), "stream ended");
            // In a silent zone the stream stays open and idle; afterwards the proxy connects again.
            let _ = self.silent.wait_for(|silent| !*silent).await;
            drop((reader, writer));
            is_new = false;
        }
    }

    fn name(&self) -> String {
        format!("proxy {}", self.number)
    }

    /// Receives updates until the stream breaks.
    async fn read(
        &self,
        reader: &mut OwnedReadHalf,
        acks: mpsc::UnboundedSender<PendingAcknowledgement>,
    ) -> Result<io::Result<()>, SimulationError> {
        let (mut reader, mut body) = (BufReader::new(reader), Vec::new());
        loop {
            if let Err(broken) = read_frame(&mut reader, &mut body).await {
                return Ok(Err(broken));
            }
            self.traffic.messages.increment();
            self.traffic.bytes_in.add((frame::HEADER_BYTES + body.len()) as u64);
            let unreadable = |problem: String| SimulationError::Unreadable { part: self.name(), problem };
            match serde_json::from_slice(&body).map_err(|error| unreadable(error.to_string()))? {
                DirectorMessage::Pong => {}
                DirectorMessage::ProxyUpdate(update) => {
                    self.apply_update(&update, &acks).map_err(unreadable)?
                }
            }
        }
    }

    /// Passes a part of an update through the send queue and applies it.
    fn apply_update(
        &self,
        update: &ProxyUpdatePart,
        acks: &mpsc::UnboundedSender<PendingAcknowledgement>,
    ) -> Result<(), String> {
        let message_lines = if update.has_more { 0 } else { LINES_PER_MESSAGE };
        let (received_at, applied_at) =
            (Instant::now(), self.send_queue.enqueue(message_lines + update.line_count()));
        let removed = self.tables.lock().unwrap_or_else(PoisonError::into_inner).apply(update)?;
        if let Some(departures) = &self.departures {
            removed.into_iter().for_each(|host| departures.record_last_use(host, applied_at));
        }
        if let Some(barrier) = update.barrier {
            // If the writer has ended, the stream is broken, and the barrier needs no answer.
            let _ = acks.send(PendingAcknowledgement { barrier, received_at, applied_at });
        }
        Ok(())
    }

    /// Joins, reports usage and acknowledges barriers until the stream breaks.
    async fn write(
        &self,
        writer: &mut OwnedWriteHalf,
        mut due: mpsc::UnboundedReceiver<PendingAcknowledgement>,
        is_new: bool,
    ) -> io::Result<()> {
        let (proxy, zone) = (self.number, zone_name(self.zone));
        let join =
            ClientMessage::ProxyHello { proxy, zone: &zone, requests_per_s: REQUESTS_PER_PROXY, is_new };
        self.send(writer, &encode_frame(&join)).await?;
        let mut reports = interval_at(Instant::now() + REPORT_PERIOD, REPORT_PERIOD);
        let mut next: Option<PendingAcknowledgement> = None;
        loop {
            let answer_at = next.as_ref().map(|ack| ack.applied_at);
            tokio::select! {
                _ = reports.tick() => self.send(writer, &self.encode_usage_reports()).await?,
                Some(ack) = due.recv(), if next.is_none() => next = Some(ack),
                () = sleep_until(answer_at.unwrap_or_else(Instant::now)), if answer_at.is_some() => {
                    let ack = next.take().map(|ack| (ack.barrier, ack.received_at.elapsed().as_secs_f64() * 1e3));
                    if let Some((barrier, elapsed_ms)) = ack {
                        let message = ClientMessage::Acknowledgement { proxy, barrier, elapsed_ms };
                        self.send(writer, &encode_frame(&message)).await?;
                    }
                }
            }
        }
    }

    /// Encodes the usage reports of one period, one for each class.
    fn encode_usage_reports(&self) -> Vec<u8> {
        let period_ms = REPORT_PERIOD.as_secs_f64() * 1e3;
        let requests = (REQUESTS_PER_PROXY * REPORT_PERIOD.as_secs_f64() / CLASSES.len() as f64) as u64;
        let mut bytes = Vec::new();
        for class in CLASSES {
            append_frame(
                &mut bytes,
                &ClientMessage::UsageReport { proxy: self.number, class, requests, failed: 0, period_ms },
            );
        }
        bytes
    }

    async fn send(&self, writer: &mut OwnedWriteHalf, bytes: &[u8]) -> io::Result<()> {
        writer.write_all(bytes).await?;
        self.traffic.bytes_out.add(bytes.len() as u64);
        Ok(())
    }
}
