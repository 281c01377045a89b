//! Hollow proxies: they join a director, take its orders, answer its marks and tell their usage.

use super::{reach, HollowError};
use crate::counters::Traffic;
use crate::delays::Delays;
use crate::deployment::{
    host_number, zone_name, CLASSES, LINES_PER_MESSAGE, PUSH_DELAY, REPORT_PERIOD, REQUESTS_PER_PROXY,
};
use crate::messages::{frame, read_frame, write_frame, ClientMessage, DirectorMessage, Order, HEAD};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval_at, sleep_until, Instant};

/// Hosts that leave, and since when; all proxies of a run look here.
#[derive(Debug, Default)]
pub struct Departures {
    since: Mutex<HashMap<usize, Instant>>,
    /// Times from the change of the list until a proxy's table is without the host.
    pub delays: Delays,
}

impl Departures {
    /// A host leaves from now on.
    pub fn begin(&self, host: usize) {
        self.all().insert(host, Instant::now());
    }

    /// A host is back.
    pub fn end(&self, host: usize) {
        self.all().remove(&host);
    }

    /// Hosts that have been leaving for longer than a time.
    pub fn longer_than(&self, time: std::time::Duration) -> Vec<usize> {
        self.all().iter().filter(|(_, since)| since.elapsed() > time).map(|(host, _)| *host).collect()
    }

    fn gone(&self, host: usize, at: Instant) {
        if let Some(since) = self.all().get(&host) {
            self.delays.record(at.duration_since(*since));
        }
    }

    fn all(&self) -> std::sync::MutexGuard<'_, HashMap<usize, Instant>> {
        self.since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The channel from a director to its proxies: it sends messages one after another at the pace that the settings tell.
#[derive(Debug)]
pub struct Channel {
    lines_per_second: f64,
    free_at: Mutex<Instant>,
}

impl Channel {
    /// A channel of this pace in which nothing waits.
    pub fn new(lines_per_second: usize) -> Channel {
        Channel { lines_per_second: lines_per_second as f64, free_at: Mutex::new(Instant::now()) }
    }

    /// How long what has arrived still waits in it.
    pub fn backlog(&self) -> Duration {
        let free_at = *self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        free_at.saturating_duration_since(Instant::now())
    }

    /// Takes in lines that have arrived; gives the time at which the proxy has applied them.
    fn pass(&self, lines: usize) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let takes = Duration::from_secs_f64(lines as f64 / self.lines_per_second);
        *free_at = (*free_at).max(Instant::now()) + takes;
        *free_at + PUSH_DELAY
    }
}

/// The hosts that a proxy uses, by class.
#[derive(Debug)]
pub struct Tables {
    /// Bit by bit the classes whose table has the host.
    classes: Vec<u8>,
    shut_out: Vec<bool>,
}

impl Tables {
    /// Empty tables for so many hosts.
    pub fn new(hosts: usize) -> Tables {
        Tables { classes: vec![0; hosts], shut_out: vec![false; hosts] }
    }

    /// Whether some table has the host.
    pub fn uses(&self, host: usize) -> bool {
        self.classes[host] != 0 && !self.shut_out[host]
    }

    /// Hosts used.
    pub fn len(&self) -> usize {
        (0..self.classes.len()).filter(|host| self.uses(*host)).count()
    }

    /// Whether no host is used.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies a part of an order; gives the hosts that it takes out of use, or the name that no list has.
    pub fn apply(&mut self, order: &Order) -> Result<Vec<usize>, String> {
        let used: Vec<bool> = (0..self.classes.len()).map(|host| self.uses(host)).collect();
        let mask = class_mask(order)?;
        if order.whole {
            self.classes.iter_mut().for_each(|classes| *classes &= !mask);
        }
        for (name, weight) in &order.lines {
            let place = self.place(name)?;
            let classes = &mut self.classes[place];
            *classes = if *weight > 0.0 { *classes | mask } else { *classes & !mask };
        }
        for (names, out) in [(&order.out, true), (&order.back, false)] {
            for name in names {
                let place = self.place(name)?;
                self.shut_out[place] = out;
            }
        }
        Ok((0..used.len()).filter(|host| used[*host] && !self.uses(*host)).collect())
    }

    fn place(&self, name: &str) -> Result<usize, String> {
        let place = host_number(name).filter(|host| *host < self.shut_out.len());
        place.ok_or_else(|| format!("host {name}"))
    }
}

/// The classes that an order means.
fn class_mask(order: &Order) -> Result<u8, String> {
    let bit = |name: &str| CLASSES.iter().position(|class| *class == name).map(|place| 1 << place);
    match order.classes.is_empty() {
        true => Ok((1 << CLASSES.len()) - 1),
        false => order
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
    /// What it shares with the director's other proxies.
    pub channel: Arc<Channel>,
    /// Counts what passes between it and the director; those of one director share it.
    pub traffic: Arc<Traffic>,
    /// Hosts that leave; `None` where nobody looks.
    pub departures: Option<Arc<Departures>>,
    /// The hosts it uses, for whoever looks at the end.
    pub tables: Arc<Mutex<Tables>>,
    /// Whether its zone is silent.
    pub silent: watch::Receiver<bool>,
}

/// A mark to be answered once its message is applied.
struct DueAck {
    seq: u64,
    arrived: Instant,
    applied: Instant,
}

impl Proxy {
    /// Joins, and joins again whenever its stream breaks.
    pub async fn run(mut self) -> Result<(), HollowError> {
        let mut is_new = true;
        loop {
            let stream = reach(&self.name(), self.director).await?;
            let (mut reader, mut writer) = stream.into_split();
            let (acks, due) = mpsc::unbounded_channel();
            let mut silent = self.silent.clone();
            let streamed = tokio::select! {
                read = self.read(&mut reader, acks) => read?,
                written = self.write(&mut writer, due, is_new) => written,
                _ = silent.wait_for(|silent| *silent) => Ok(()),
            };
            tracing::debug!(proxy = self.number, ended = ?streamed.err(), "stream ended");
            // In a silent zone the stream stays open and says nothing; back again, the proxy dials anew.
            let _ = self.silent.wait_for(|silent| !*silent).await;
            drop((reader, writer));
            is_new = false;
        }
    }

    fn name(&self) -> String {
        format!("proxy {}", self.number)
    }

    /// Takes orders until the stream breaks.
    async fn read(
        &self,
        reader: &mut OwnedReadHalf,
        acks: mpsc::UnboundedSender<DueAck>,
    ) -> Result<io::Result<()>, HollowError> {
        let (mut reader, mut body) = (BufReader::new(reader), Vec::new());
        loop {
            if let Err(broken) = read_frame(&mut reader, &mut body).await {
                return Ok(Err(broken));
            }
            self.traffic.messages.one();
            self.traffic.bytes_in.add((HEAD + body.len()) as u64);
            let unreadable = |problem: String| HollowError::Unreadable { part: self.name(), problem };
            match serde_json::from_slice(&body).map_err(|error| unreadable(error.to_string()))? {
                DirectorMessage::Pong => {}
                DirectorMessage::Config(order) => self.take(&order, &acks).map_err(unreadable)?,
            }
        }
    }

    fn take(&self, order: &Order, acks: &mpsc::UnboundedSender<DueAck>) -> Result<(), String> {
        let head = if order.more { 0 } else { LINES_PER_MESSAGE };
        let (arrived, applied) = (Instant::now(), self.channel.pass(head + order.count()));
        let gone = self.tables.lock().unwrap_or_else(PoisonError::into_inner).apply(order)?;
        if let Some(departures) = &self.departures {
            gone.into_iter().for_each(|host| departures.gone(host, applied));
        }
        if let Some(seq) = order.ticket {
            // Where the writer has ended the stream has broken, and the mark goes with it.
            let _ = acks.send(DueAck { seq, arrived, applied });
        }
        Ok(())
    }

    /// Joins, tells usage and answers marks until the stream breaks.
    async fn write(
        &self,
        writer: &mut OwnedWriteHalf,
        mut due: mpsc::UnboundedReceiver<DueAck>,
        is_new: bool,
    ) -> io::Result<()> {
        let (id, site) = (self.number, zone_name(self.zone));
        let join = ClientMessage::Subscribe { id, site: &site, rps: REQUESTS_PER_PROXY, new: is_new };
        self.send(writer, &frame(&join)).await?;
        let mut reports = interval_at(Instant::now() + REPORT_PERIOD, REPORT_PERIOD);
        let mut next: Option<DueAck> = None;
        loop {
            let answer_at = next.as_ref().map(|ack| ack.applied);
            tokio::select! {
                _ = reports.tick() => self.send(writer, &self.usage()).await?,
                Some(ack) = due.recv(), if next.is_none() => next = Some(ack),
                () = sleep_until(answer_at.unwrap_or_else(Instant::now)), if answer_at.is_some() => {
                    let ack = next.take().map(|ack| (ack.seq, ack.arrived.elapsed().as_secs_f64() * 1e3));
                    if let Some((seq, ms)) = ack {
                        self.send(writer, &frame(&ClientMessage::Ack { id, seq, ms })).await?;
                    }
                }
            }
        }
    }

    /// The usage of one period, class by class.
    fn usage(&self) -> Vec<u8> {
        let over = REPORT_PERIOD.as_secs_f64() * 1e3;
        let count = (REQUESTS_PER_PROXY * REPORT_PERIOD.as_secs_f64() / CLASSES.len() as f64) as u64;
        let mut bytes = Vec::new();
        for lane in CLASSES {
            write_frame(&mut bytes, &ClientMessage::Rate { id: self.number, lane, count, fail: 0, over });
        }
        bytes
    }

    async fn send(&self, writer: &mut OwnedWriteHalf, bytes: &[u8]) -> io::Result<()> {
        writer.write_all(bytes).await?;
        self.traffic.bytes_out.add(bytes.len() as u64);
        Ok(())
    }
}
