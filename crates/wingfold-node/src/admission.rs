//! Admits: what every connection is checked against, and the places that connections hold.

use crate::config::{Bounds, Config};
use crate::frame::Budget;
use crate::inbox::Inbox;
use crate::log::Seldom;
use crate::message::{self, Invalid, Outbound, Rate};
use crate::metrics::Metrics;
use crate::outbox::Link;
use crate::reporting::{CollectorActivity, WriteDelays};
use axum::Router;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use wingfold_director::interface::{ClassId, Event, ProxyId};

/// What all connections share.
#[derive(Debug)]
pub struct Admission {
    /// Bounds of the transport.
    pub bounds: Bounds,
    /// How many proxies there are.
    pub proxies: u32,
    /// Where what was taken in goes.
    pub inbox: Inbox,
    /// The figures.
    pub metrics: Arc<Metrics>,
    /// The answer to a `PING`, encoded.
    pub pong: Bytes,
    /// Memory for long messages.
    pub budget: Budget,
    /// Bounds the lines about unidentified connections.
    pub unidentified_told: Seldom,
    /// How long orders take to be written, where that is kept.
    pub delays: Option<WriteDelays>,
    /// Signs of life of collectors.
    pub pulse: CollectorActivity,
    /// Answers HTTP.
    pub router: Router,
    zones: Vec<Arc<str>>,
    classes: Vec<String>,
    numbers: AtomicU64,
    open: AtomicUsize,
    /// Those that have said nothing come first, then the oldest.
    unidentified: Mutex<BTreeMap<(bool, u64), Arc<Notify>>>,
    collectors: Mutex<BTreeMap<Arc<str>, Vec<Link>>>,
}

/// All places are taken by clients that have named themselves.
#[derive(Debug, PartialEq)]
pub struct Full;

/// One connection's share of the descriptors.
#[derive(Debug)]
pub struct Entry(Arc<Admission>);

/// A place among those that have not named their client.
#[derive(Debug)]
pub struct Unidentified {
    admission: Arc<Admission>,
    number: u64,
    evicted: Arc<Notify>,
}

/// A collector's place in its zone.
#[derive(Debug)]
pub struct Place<'a> {
    admission: &'a Admission,
    zone: Arc<str>,
    link: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Admission {
    /// For a director with this configuration.
    pub fn new(
        config: &Config,
        inbox: Inbox,
        metrics: Arc<Metrics>,
        router: Router,
        (delays, pulse): (Option<WriteDelays>, CollectorActivity),
    ) -> Self {
        Admission {
            bounds: config.bounds.clone(),
            proxies: config.settings.proxies,
            inbox,
            metrics,
            pong: message::encode(&Outbound::Pong),
            budget: Budget::new(config.bounds.long_messages),
            unidentified_told: Seldom::default(),
            delays,
            pulse,
            router,
            zones: config.settings.zones.iter().map(|zone| zone.0.clone()).collect(),
            classes: config.names.classes.clone(),
            numbers: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            unidentified: Mutex::default(),
            collectors: Mutex::default(),
        }
    }

    /// A zone of the settings.
    pub fn zone(&self, name: &str) -> Result<Arc<str>, Invalid> {
        self.zones.iter().find(|zone| ***zone == *name).cloned().ok_or(Invalid::Name)
    }

    /// A proxy's usage as the module is told of it.
    pub fn usage(&self, rate: &Rate) -> Result<Event, Invalid> {
        let class = self.classes.iter().position(|class| **class == *rate.lane);
        let class = class.filter(|_| rate.id < self.proxies).ok_or(Invalid::Name)?;
        Ok(Event::Usage { proxy: ProxyId(rate.id), class: ClassId(class), requests: rate.sums })
    }

    /// Takes a connection in, as an unidentified connection, unless all places are taken by clients that have named themselves.
    /// Where there are too many unidentified connections, one of them goes.
    pub fn enter(self: &Arc<Self>) -> Result<(Entry, Unidentified), Full> {
        if self.crowded() && !self.evict() {
            return Err(Full);
        }
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = Entry(self.clone());
        self.metrics.connections_open.set(open as u64);
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let evicted = Arc::new(Notify::new());
        lock(&self.unidentified).insert((false, number), evicted.clone());
        Ok((entry, Unidentified { admission: self.clone(), number, evicted }))
    }

    /// Whether the next unidentified connection takes the place of another.
    pub fn crowded(&self) -> bool {
        lock(&self.unidentified).len() >= self.bounds.unidentified
            || self.open.load(Ordering::Relaxed) >= self.bounds.connections
    }

    /// Closes an unidentified connection's connection: one that has said nothing, if there is one, and of those the oldest. False if
    /// there is no unidentified connection.
    pub fn evict(&self) -> bool {
        let first = lock(&self.unidentified).pop_first();
        first.is_some_and(|(_, evicted)| {
            evicted.notify_one();
            self.metrics.unidentified_evicted_total.one();
            true
        })
    }

    /// A collector takes its place; the oldest one of the zone goes if there are too many.
    pub fn place(&self, zone: &Arc<str>, link: Link) -> Place<'_> {
        let mut collectors = lock(&self.collectors);
        let places = collectors.entry(zone.clone()).or_default();
        if places.len() >= self.bounds.collectors_a_zone {
            places.remove(0).end();
        }
        let place = Place { admission: self, zone: zone.clone(), link: link.number };
        places.push(link);
        place
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let open = self.0.open.fetch_sub(1, Ordering::Relaxed) - 1;
        self.0.metrics.connections_open.set(open as u64);
    }
}

impl Unidentified {
    /// The connection's number: one accepted later has a higher one.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// It has begun a message: others go first.
    pub fn speaks(&self) {
        let mut unidentified = lock(&self.admission.unidentified);
        if let Some(evicted) = unidentified.remove(&(false, self.number)) {
            unidentified.insert((true, self.number), evicted);
        }
    }

    /// Waits until this place is needed for another.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Unidentified {
    fn drop(&mut self) {
        let mut unidentified = lock(&self.admission.unidentified);
        unidentified.remove(&(false, self.number));
        unidentified.remove(&(true, self.number));
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut collectors = lock(&self.admission.collectors);
        if let Some(places) = collectors.get_mut(&self.zone) {
            places.retain(|link| link.number != self.link);
        }
    }
}

#[cfg(test)]
mod tests;
