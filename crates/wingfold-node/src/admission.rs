//! Admission of connections: the limits on their number, the slots that connections hold, and the state that
//! all of them share.

mod collectors;

use self::collectors::CollectorConnections;
use crate::config::{Bounds, Config};
use crate::inbox::InboundSender;
use crate::log::RateLimitedLog;
use crate::message::{self, InvalidReason, Outbound, UsageReport};
use crate::metrics::Metrics;
use crate::outbox::ConnectionSender;
use crate::reporting::{CollectorActivity, WriteDelays};
use crate::turn_budget::TurnBudget;
use axum::Router;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use wingfold_director::interface::{ClassId, Event, ProxyId};

/// The limits and slots of connections, and the state that the tasks of all connections share.
#[derive(Debug)]
pub struct Admission {
    /// Limits of the transport.
    pub bounds: Bounds,
    /// Number of proxies in the deployment; the identifier of each is below this number.
    pub proxies: u32,
    /// Sends events to the engine.
    pub inbox: InboundSender,
    /// Counters of the director.
    pub metrics: Arc<Metrics>,
    /// The encoded answer to a `PING`.
    pub pong: Bytes,
    /// Bounds the work of unidentified connections between two turns of the other tasks.
    pub unidentified_budget: TurnBudget,
    /// Bounds the work of identified clients between two turns of the other tasks.
    pub client_budget: TurnBudget,
    /// Rate limit of log lines about unidentified connections.
    pub unidentified_log: RateLimitedLog,
    /// Records the time from a decision until the last byte of its update is written; `None` unless metrics
    /// are exported.
    pub write_delays: Option<WriteDelays>,
    /// Counts the messages of each zone's collector.
    pub collector_activity: CollectorActivity,
    /// Routes of the HTTP requests.
    pub router: Router,
    zones: Vec<Arc<str>>,
    classes: Vec<String>,
    next_connection_id: AtomicU64,
    open_connections: AtomicUsize,
    /// Unidentified connections in the order of their eviction.
    unidentified: Mutex<BTreeMap<EvictionRank, Arc<Notify>>>,
    collectors: Mutex<CollectorConnections>,
}

/// Eviction order of unidentified connections: those that have sent nothing first, and the oldest first among
/// equals.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EvictionRank {
    has_sent: bool,
    connection_id: u64,
}

/// All slots are held by identified clients whose connections are needed, so none can be evicted.
#[derive(Debug, PartialEq)]
pub struct NoFreeSlot;

/// A connection's slot, released when it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot(Arc<Admission>);

/// A slot among the connections whose client is not identified yet, released when it is dropped.
#[derive(Debug)]
pub struct UnidentifiedSlot {
    admission: Arc<Admission>,
    connection_id: u64,
    evicted: Arc<Notify>,
}

/// A collector's connection in the list of its zone, removed when it is dropped.
#[derive(Debug)]
pub struct CollectorSlot<'a> {
    admission: &'a Admission,
    zone: Arc<str>,
    connection_id: u64,
}

/// Locks a mutex, ignoring poisoning: each critical section of this module leaves its data consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Admission {
    /// Creates the admission of a director with this configuration.
    pub fn new(
        config: &Config,
        inbox: InboundSender,
        metrics: Arc<Metrics>,
        router: Router,
        write_delays: Option<WriteDelays>,
        collector_activity: CollectorActivity,
    ) -> Self {
        Admission {
            bounds: config.bounds.clone(),
            proxies: config.settings.proxies,
            inbox,
            metrics,
            pong: message::encode(&Outbound::Pong),
            unidentified_budget: TurnBudget::for_unidentified(),
            client_budget: TurnBudget::for_clients(),
            unidentified_log: RateLimitedLog::default(),
            write_delays,
            collector_activity,
            router,
            zones: config.settings.zones.iter().map(|zone| zone.0.clone()).collect(),
            classes: config.names.classes.clone(),
            next_connection_id: AtomicU64::new(0),
            open_connections: AtomicUsize::new(0),
            unidentified: Mutex::default(),
            collectors: Mutex::default(),
        }
    }

    /// Looks up a zone of the settings by its name.
    pub fn zone(&self, name: &str) -> Result<Arc<str>, InvalidReason> {
        let zone = self.zones.iter().find(|zone| zone.as_ref() == name);
        zone.cloned().ok_or(InvalidReason::Name)
    }

    /// Translates a usage report into the decision module's event.
    pub fn usage_event(&self, report: &UsageReport) -> Result<Event, InvalidReason> {
        let class = self.classes.iter().position(|class| class.as_str() == report.class.as_ref());
        let class = class.ok_or(InvalidReason::Name)?;
        if report.proxy >= self.proxies {
            return Err(InvalidReason::Name);
        }
        Ok(Event::Usage { proxy: ProxyId(report.proxy), class: ClassId(class), requests: report.requests })
    }

    /// Admits a connection whose client is not identified yet. If no slot is free, evicts another connection;
    /// fails if there is none to evict.
    pub fn admit(self: &Arc<Self>) -> Result<(ConnectionSlot, UnidentifiedSlot), NoFreeSlot> {
        if self.is_full() && !self.make_room() {
            return Err(NoFreeSlot);
        }
        let open_connections = self.open_connections.fetch_add(1, Ordering::Relaxed) + 1;
        self.metrics.connections_open.set(open_connections as u64);
        let connection_id = self.next_connection_id.fetch_add(1, Ordering::Relaxed);
        let evicted = Arc::new(Notify::new());
        let rank = EvictionRank { has_sent: false, connection_id };
        lock(&self.unidentified).insert(rank, evicted.clone());
        let unidentified = UnidentifiedSlot { admission: self.clone(), connection_id, evicted };
        Ok((ConnectionSlot(self.clone()), unidentified))
    }

    /// Whether the next connection can be admitted only if another one is evicted.
    pub fn is_full(&self) -> bool {
        self.open_connections.load(Ordering::Relaxed) >= self.bounds.max_connections
    }

    /// Evicts a connection: of a zone that has more collectors than sound ones can be, else an unidentified one,
    /// else one of a zone that has several collectors. Returns false if there is none.
    pub fn make_room(&self) -> bool {
        lock(&self.collectors).evict_surplus(self.bounds.collectors_per_zone)
            || self.evict_unidentified()
            || lock(&self.collectors).evict_surplus(1)
    }

    /// Evicts the first unidentified connection by [`EvictionRank`]; returns false if there is none.
    pub fn evict_unidentified(&self) -> bool {
        let Some((_, evicted)) = lock(&self.unidentified).pop_first() else { return false };
        evicted.notify_one();
        self.metrics.unidentified_evicted_total.increment();
        true
    }

    /// Registers a collector's connection.
    pub fn register_collector(&self, zone: &Arc<str>, connection: ConnectionSender) -> CollectorSlot<'_> {
        let connection_id = connection.connection_id;
        lock(&self.collectors).insert(zone, connection);
        CollectorSlot { admission: self, zone: zone.clone(), connection_id }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let open_connections = self.0.open_connections.fetch_sub(1, Ordering::Relaxed) - 1;
        self.0.metrics.connections_open.set(open_connections as u64);
    }
}

impl UnidentifiedSlot {
    /// The number of the connection; numbers rise in the order in which connections are accepted.
    pub fn connection_id(&self) -> u64 {
        self.connection_id
    }

    /// Records that the connection has sent the first bytes of a message or of an HTTP request, so that
    /// connections which have sent nothing are evicted before it.
    pub fn mark_as_sending(&self) {
        let mut unidentified = lock(&self.admission.unidentified);
        if let Some(evicted) = unidentified.remove(&self.rank(false)) {
            unidentified.insert(self.rank(true), evicted);
        }
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    fn rank(&self, has_sent: bool) -> EvictionRank {
        EvictionRank { has_sent, connection_id: self.connection_id }
    }
}

impl Drop for UnidentifiedSlot {
    fn drop(&mut self) {
        let mut unidentified = lock(&self.admission.unidentified);
        unidentified.remove(&self.rank(false));
        unidentified.remove(&self.rank(true));
    }
}

impl CollectorSlot<'_> {
    /// Records that the collector has sent a message.
    pub fn record_activity(&self) {
        self.admission.collector_activity.record(&self.zone);
        lock(&self.admission.collectors).record_activity(&self.zone, self.connection_id);
    }
}

impl Drop for CollectorSlot<'_> {
    fn drop(&mut self) {
        lock(&self.admission.collectors).remove(&self.zone, self.connection_id);
    }
}

#[cfg(test)]
mod tests;
