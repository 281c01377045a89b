//! Sinks: one task for each receiver of metrics. A task connects and writes as the receiver's core says, the
//! state machine [`wingfold_metrics::Sink`], which does no I/O itself. Each receiver has its own queue, so
//! that a slow receiver does not delay the others.

mod group;
mod resolve;
mod tcp;
mod udp;

use self::group::{SinkGroup, SinkGroupSettings};
use crate::reporting::{IntervalReceiver, SinkStats};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::future::pending;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use wingfold_director::interface::Timestamp;
use wingfold_metrics::{Interval, Sink};
use wingfold_settings::local::SinkSettings;

/// Gives the sinks random numbers that differ from others of the same seed.
const SEED_SALT: u64 = 0xF16;

/// The clock of the cores, which do not use the runtime's clock: microseconds since the sinks were started.
#[derive(Clone, Copy, Debug)]
struct SinkClock(Instant);

impl SinkClock {
    fn now(self) -> Timestamp {
        Timestamp(self.0.elapsed().as_micros() as u64)
    }

    fn instant(self, at: Timestamp) -> Instant {
        self.0 + Duration::from_micros(at.0)
    }
}

/// Health of one receiver, which its task updates and its group reads to distribute metrics over receivers.
#[derive(Debug, Default)]
struct ReceiverHealth {
    is_down: AtomicBool,
    /// When the receiver became healthy, in microseconds of the [`SinkClock`]; 0 while it is not healthy.
    healthy_since_us: AtomicU64,
}

impl ReceiverHealth {
    fn update(&self, sink: &Sink) {
        let since_us = sink.healthy_since().map_or(0, |since| since.0.max(1));
        self.is_down.store(sink.is_down(), Ordering::Relaxed);
        self.healthy_since_us.store(since_us, Ordering::Relaxed);
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    fn healthy_since(&self) -> Option<Timestamp> {
        match self.healthy_since_us.load(Ordering::Relaxed) {
            0 => None,
            since_us => Some(Timestamp(since_us)),
        }
    }
}

/// An interval as it is to be sent to a receiver.
#[derive(Clone, Debug)]
enum RenderedInterval {
    /// Bytes to write to a connection.
    Bytes(Arc<[u8]>),
    /// Datagrams to send over UDP.
    Datagrams(Arc<Vec<Vec<u8>>>),
}

/// Data that all sinks share.
#[derive(Clone, Debug)]
struct SinkContext {
    director: String,
    seed: u64,
    clock: SinkClock,
    stats: Arc<SinkStats>,
}

/// Renders each interval for all receivers and passes it to their tasks.
pub struct SinkDispatcher {
    intervals: IntervalReceiver,
    context: SinkContext,
    /// The groups of receivers, by the name of their block in the settings.
    groups: BTreeMap<String, SinkGroup>,
    random: ChaCha8Rng,
}

impl SinkDispatcher {
    /// Creates a dispatcher of `intervals` of the director with this name.
    pub fn new(intervals: IntervalReceiver, director: String, seed: u64, stats: Arc<SinkStats>) -> Self {
        let clock = SinkClock(Instant::now());
        SinkDispatcher {
            intervals,
            context: SinkContext { director, seed, clock, stats },
            groups: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT),
        }
    }

    /// Dispatches intervals until their channel is closed, and applies new settings as they arrive. The task
    /// of a receiver ends when the receiver is removed from the settings, or when this future is dropped,
    /// which closes its queue.
    pub async fn run(mut self, mut settings: watch::Receiver<Arc<SinkSettings>>) {
        let first = settings.borrow_and_update().clone();
        self.apply(&first);
        loop {
            tokio::select! {
                interval = self.intervals.recv() => match interval {
                    Some(interval) => self.dispatch(&interval),
                    None => return,
                },
                changed = settings.changed() => match changed {
                    Ok(()) => {
                        let new = settings.borrow_and_update().clone();
                        self.apply(&new);
                    }
                    // No more settings can arrive: the current ones stay in force.
                    Err(_) => pending().await,
                },
            }
        }
    }

    fn dispatch(&mut self, interval: &Arc<Interval>) {
        for group in self.groups.values_mut() {
            group.send(interval, &self.context, &mut self.random);
        }
    }

    /// Replaces the groups by those of new settings. A receiver that stays keeps its task, connection and
    /// queue.
    fn apply(&mut self, new: &SinkSettings) {
        let mut old = std::mem::take(&mut self.groups);
        for graphite in &new.graphite {
            self.start_group(SinkGroupSettings::graphite(graphite, &self.context), &mut old);
        }
        for collectd in &new.collectd {
            self.start_group(SinkGroupSettings::collectd(collectd, &self.context), &mut old);
        }
        for (name, group) in old {
            tracing::info!(receiver = name, "sink removed");
            group.abort();
        }
    }

    /// Starts a group. If its predecessor renders intervals in the same way, receivers that are in both are
    /// kept.
    fn start_group(&mut self, settings: SinkGroupSettings<'_>, old: &mut BTreeMap<String, SinkGroup>) {
        let name = settings.name.to_string();
        let predecessor = old.remove(&name).filter(|group| group.renders_like(&settings));
        let group = SinkGroup::start(settings, predecessor, &self.context);
        self.groups.insert(name, group);
    }
}
