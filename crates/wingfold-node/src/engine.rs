//! The engine: the only task that owns the decision module.
//!
//! Each iteration of its loop receives inbound events from the other tasks, translates them into events of
//! the decision module ([`inbound`]), adds an event for each timer that is due ([`timers`]), calls the
//! decision module once and carries out the actions that the call returns ([`actions`]).

mod actions;
mod inbound;
mod send_queue;
mod timers;

#[cfg(test)]
mod tests;

pub use send_queue::SendQueueEstimate;
pub use timers::Timers;

use crate::clock::Clock;
use crate::discovery::DiscoveryCommand;
use crate::health_check::HealthChecker;
use crate::inbox::InboundReceiver;
use crate::list::EndpointAddresses;
use crate::log::RateLimitedLog;
use crate::metrics::Metrics;
use crate::or_never;
use crate::outbox::ConnectionSender;
use crate::peers::PeerSocket;
use crate::recorder::CaptureDumper;
use crate::reporting::MetricsReporter;
use crate::tables::Tables;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep_until;
use wingfold_archive::WriterQueue;
use wingfold_capture::Recorder;
use wingfold_director::interface::ProxyId;
use wingfold_director::Director;

/// The decision module and everything that its actions need.
pub struct Engine {
    /// The decision module.
    pub director: Director,
    /// The clock that timestamps the calls of the decision module.
    pub clock: Clock,
    /// Translates table actions into one update for each stream.
    pub tables: Tables,
    /// Sends commands to the client of discovery.
    pub discovery_commands: UnboundedSender<DiscoveryCommand>,
    /// Sends health checks.
    pub health_checker: HealthChecker,
    /// Sends datagrams to other directors, where the settings allow them.
    pub peer_sender: Option<Arc<PeerSocket>>,
    /// The known hosts, with the addresses at which they answer health checks.
    pub addresses: EndpointAddresses,
    /// Number of hosts that may be known at once.
    pub max_hosts: usize,
    /// Limits the log lines about rejected hosts.
    pub rejected_hosts_log: RateLimitedLog,
    /// Estimates the lines that wait to be sent, to check them against the limit of the settings.
    pub send_queue: SendQueueEstimate,
    /// Counters of the director.
    pub metrics: Arc<Metrics>,
    /// The streams of connected proxies.
    pub connections: BTreeMap<ProxyId, ConnectionSender>,
    /// The timers that the decision module has set and that have not fired yet.
    pub timers: Timers,
    /// Number of calls of the decision module so far. Log lines and captures identify a call by its number.
    pub calls: u64,
    /// Records each call, where that is configured.
    pub recorder: Option<Recorder<WriterQueue>>,
    /// Writes the calls that a capture in memory holds to a file.
    pub capture_dumper: Option<CaptureDumper>,
    /// Collects the figures for metrics receivers, where those are configured.
    pub metrics_reporter: Option<MetricsReporter>,
}

impl Engine {
    /// Runs the loop until every [`InboundSender`](crate::inbox::InboundSender) is dropped or the task is
    /// aborted.
    pub async fn run(mut self, mut inbox: InboundReceiver) {
        let mut inbound = Vec::new();
        let mut events = Vec::new();
        let mut actions = Vec::new();
        // The first call, before any event, lets the decision module set its first timer.
        self.decide(self.clock.now(), &mut events, &mut actions);
        loop {
            let next_timer = self.timers.next_due().map(|due_at| self.clock.instant(due_at));
            tokio::select! {
                is_open = inbox.receive_all(&mut inbound) => if !is_open { return },
                () = or_never(next_timer.map(sleep_until)) => {}
            }
            self.apply_inbound_events(&mut inbound, &mut events);
            let now = self.clock.now();
            self.fire_due_timers(now, &mut events);
            if !events.is_empty() {
                self.decide(now, &mut events, &mut actions);
            }
        }
    }
}
