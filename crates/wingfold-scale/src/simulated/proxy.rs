//! Simulated proxies: they join a director, apply the director's updates, acknowledge its barriers and send
//! usage reports.

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

/// The leaving hosts of a run, each with the time of the change that marked the host as leaving.
#[derive(Debug, Default)]
pub struct Departures {
    since: Mutex<HashMap<usize, Instant>>,
    /// Delays from the change that marks a host as leaving until a proxy that used the host has dropped it.
    pub delays: Delays,
}

impl Departures {
    /// Records that a host is leaving from now on.
    pub fn record_departure(&self, host: usize) {
        self.lock().insert(host, Instant::now());
    }

    /// Records that a host is active again.
    pub fn record_return(&self, host: usize) {
        self.lock().remove(&host);
    }

    /// Returns the hosts that have been leaving for longer than this.
    pub fn leaving_longer_than(&self, age: Duration) -> Vec<usize> {
        self.lock().iter().filter(|(_, since)| since.elapsed() > age).map(|(host, _)| *host).collect()
    }

    /// Records that a proxy stopped using a host at this time. Only leaving hosts are recorded.
    fn record_last_use(&self, host: usize, at: Instant) {
        if let Some(since) = self.lock().get(&host) {
            self.delays.record(at.duration_since(*since));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<usize, Instant>> {
        self.since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A model of a director's send queue, from which messages reach the proxies one after another at the drain
/// rate of the settings.
#[derive(Debug)]
pub struct SendQueue {
    /// Lines per second.
    drain_rate_per_s: f64,
    /// When the last line in the queue has been sent.
    free_at: Mutex<Instant>,
}

impl SendQueue {
    /// Creates an empty queue with this drain rate, in lines per second.
    pub fn new(drain_rate_per_s: usize) -> SendQueue {
        SendQueue { drain_rate_per_s: drain_rate_per_s as f64, free_at: Mutex::new(Instant::now()) }
    }

    /// Returns how long the queue needs to send every line that waits in it.
    pub fn backlog(&self) -> Duration {
        let free_at = *self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        free_at.saturating_duration_since(Instant::now())
    }

    /// Adds the lines of a message; returns the time at which the proxy has applied the message.
    fn enqueue(&self, lines: usize) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let send_time = Duration::from_secs_f64(lines as f64 / self.drain_rate_per_s);
        *free_at = (*free_at).max(Instant::now()) + send_time;
        *free_at + PUSH_DELAY
    }
}

/// The tables of a proxy, one for each class, without the weights; and the ejected hosts.
#[derive(Debug)]
pub struct ProxyTables {
    /// For each host, a bit for each class whose table contains the host.
    classes: Vec<u8>,
    /// For each host, whether it is ejected.
    ejected: Vec<bool>,
}

impl ProxyTables {
    /// Creates empty tables for this number of hosts.
    pub fn new(hosts: usize) -> ProxyTables {
        ProxyTables { classes: vec![0; hosts], ejected: vec![false; hosts] }
    }

    /// Returns whether the proxy uses a host, that is, a table contains the host and the host is not ejected.
    pub fn uses(&self, host: usize) -> bool {
        self.classes[host] != 0 && !self.ejected[host]
    }

    /// Returns how many hosts the proxy uses.
    pub fn len(&self) -> usize {
        (0..self.classes.len()).filter(|host| self.uses(*host)).count()
    }

    /// Returns whether the proxy uses no host.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies a part of an update; returns the hosts that the proxy no longer uses. Fails if the part names
    /// an unknown host or class.
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

    /// Returns the index of the host with this name.
    fn host_index(&self, name: &str) -> Result<usize, String> {
        let host = host_number(name).filter(|host| *host < self.ejected.len());
        host.ok_or_else(|| format!("unknown host {name}"))
    }
}

/// Returns a bit for each class whose table an update changes.
fn class_mask(update: &ProxyUpdatePart) -> Result<u8, String> {
    let bit = |name: &str| CLASSES.iter().position(|class| *class == name).map(|index| 1 << index);
    match update.classes.is_empty() {
        true => Ok((1 << CLASSES.len()) - 1),
        false => update
            .classes
            .iter()
            .try_fold(0, |mask, name| Ok(mask | bit(name).ok_or_else(|| format!("unknown class {name}"))?)),
    }
}

/// A simulated proxy.
#[derive(Debug)]
pub struct Proxy {
    /// The number of the proxy in the fleet.
    pub number: u32,
    /// The zone of the proxy.
    pub zone: usize,
    /// The address of the proxy's director.
    pub director: SocketAddr,
    /// The send queue of the director, shared by all its proxies.
    pub send_queue: Arc<SendQueue>,
    /// Counts the messages from the director and the bytes in both directions; the proxies of a real director
    /// share these counters.
    pub traffic: Arc<Traffic>,
    /// Records when the proxy stops using a leaving host; `None` for proxies of simulated directors, which
    /// send no updates.
    pub departures: Option<Arc<Departures>>,
    /// The tables of the proxy, shared with the fleet, which counts their hosts.
    pub tables: Arc<Mutex<ProxyTables>>,
    /// Whether the proxy's zone is silent.
    pub silent: watch::Receiver<bool>,
}

/// A barrier to be acknowledged at the time at which its update has been applied.
struct PendingAcknowledgement {
    barrier: u64,
    received_at: Instant,
    applied_at: Instant,
}

impl Proxy {
    /// Joins the director, and joins again whenever the stream breaks; fails if the director accepts no
    /// connection for too long or sends an invalid message.
    pub async fn run(mut self) -> Result<(), SimulationError> {
        let mut is_new = true;
        loop {
            let stream = connect_to_director(&self.name(), self.director).await?;
            let (mut reader, mut writer) = stream.into_split();
            let (acks, pending_acks) = mpsc::unbounded_channel();
            let mut silent = self.silent.clone();
            let ended = tokio::select! {
                read = self.read(&mut reader, acks) => read?,
                written = self.write(&mut writer, pending_acks, is_new) => written,
                _ = silent.wait_for(|silent| *silent) => Ok(()),
            };
            tracing::debug!(proxy = self.number, ended = ?ended.err(), "stream of a proxy ended");
            // While the zone is silent, the stream stays open and idle; then the proxy joins again.
            let _ = self.silent.wait_for(|silent| !*silent).await;
            drop((reader, writer));
            is_new = false;
        }
    }

    fn name(&self) -> String {
        format!("proxy {}", self.number)
    }

    /// Receives and applies updates until the stream breaks, which is the inner error; an invalid message is
    /// the outer error.
    async fn read(
        &self,
        reader: &mut OwnedReadHalf,
        acks: mpsc::UnboundedSender<PendingAcknowledgement>,
    ) -> Result<io::Result<()>, SimulationError> {
        let (mut reader, mut body) = (BufReader::new(reader), Vec::new());
        loop {
            if let Err(error) = read_frame(&mut reader, &mut body).await {
                return Ok(Err(error));
            }
            self.traffic.messages.increment();
            self.traffic.bytes_in.add((frame::HEADER_BYTES + body.len()) as u64);
            let invalid =
                |problem: String| SimulationError::InvalidMessage { component: self.name(), problem };
            match serde_json::from_slice(&body).map_err(|error| invalid(error.to_string()))? {
                DirectorMessage::Pong => {}
                DirectorMessage::ProxyUpdate(update) => self.apply_update(&update, &acks).map_err(invalid)?,
            }
        }
    }

    /// Adds the lines of a part of an update to the send queue, applies the part to the tables, and schedules
    /// the acknowledgement of its barrier. The tables change at once; the recorded times allow for the send
    /// queue.
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
            // If the receiver is gone, the stream has ended and the barrier needs no acknowledgement.
            let _ = acks.send(PendingAcknowledgement { barrier, received_at, applied_at });
        }
        Ok(())
    }

    /// Sends the join message, then usage reports and acknowledgements until the stream breaks.
    async fn write(
        &self,
        writer: &mut OwnedWriteHalf,
        mut pending_acks: mpsc::UnboundedReceiver<PendingAcknowledgement>,
        is_new: bool,
    ) -> io::Result<()> {
        let (proxy, zone) = (self.number, zone_name(self.zone));
        let join =
            ClientMessage::ProxyHello { proxy, zone: &zone, requests_per_s: REQUESTS_PER_PROXY, is_new };
        self.send(writer, &encode_frame(&join)).await?;
        let mut reports = interval_at(Instant::now() + REPORT_PERIOD, REPORT_PERIOD);
        let mut next: Option<PendingAcknowledgement> = None;
        loop {
            let ack_at = next.as_ref().map(|ack| ack.applied_at);
            tokio::select! {
                _ = reports.tick() => self.send(writer, &self.encode_usage_reports()).await?,
                Some(ack) = pending_acks.recv(), if next.is_none() => next = Some(ack),
                () = sleep_until(ack_at.unwrap_or_else(Instant::now)), if ack_at.is_some() => {
                    if let Some(PendingAcknowledgement { barrier, received_at, .. }) = next.take() {
                        let elapsed_ms = received_at.elapsed().as_secs_f64() * 1e3;
                        let message = ClientMessage::Acknowledgement { proxy, barrier, elapsed_ms };
                        self.send(writer, &encode_frame(&message)).await?;
                    }
                }
            }
        }
    }

    /// Encodes the usage reports of one period, one report for each class.
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
