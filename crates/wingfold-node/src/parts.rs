//! The parts of a director, built and not yet running.

use crate::admission::Admission;
use crate::clock::Clock;
use crate::collectd::CollectdReceiver;
use crate::config::{Bounds, Config};
use crate::discovery::{DiscoveryClient, DiscoveryCommand};
use crate::engine::{Channel, Engine};
use crate::error::RunError;
use crate::health_check::HealthChecker;
use crate::inbox::{self, Inbox, Intake};
use crate::list::EndpointAddresses;
use crate::metrics::Metrics;
use crate::peers::PeerSocket;
use crate::recorder::{self, Dumps};
use crate::reporting::{IntervalReceiver, MetricsReporter};
use crate::serve::Start;
use crate::sink::SinkDispatcher;
use crate::startup::Sockets;
use crate::tables::Tables;
use crate::{log, ops};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::watch;
use wingfold_director::interface::Settings;
use wingfold_director::Director;

/// Everything that a director consists of. Each part is run by one task of `serve`.
pub struct Parts {
    /// Owns the decision module.
    pub engine: Engine,
    /// Where the readers leave what they took in.
    pub inbox: Inbox,
    /// The engine's end of the inbox.
    pub engine_inbox: Intake,
    /// The client of discovery.
    pub discovery: DiscoveryClient,
    /// The engine's commands to it.
    pub commands: UnboundedReceiver<DiscoveryCommand>,
    /// Accepts connections.
    pub listener: TcpListener,
    /// What the connections share.
    pub admission: Arc<Admission>,
    /// Receives collectd's packets, where that is switched on.
    pub collectd: Option<CollectdReceiver>,
    /// Exchanges messages with other directors, where the settings allow it.
    pub peers: Option<Arc<PeerSocket>>,
    /// Sends intervals of metrics to the sinks, where that is switched on.
    pub sinks: Option<SinkDispatcher>,
    /// Writes out what a capture in memory holds, where that is switched on.
    pub dumps: Option<Dumps>,
}

impl Parts {
    /// Builds the parts for a configuration; `reloads` brings those that follow it. Starts the capture's writer, and the task
    /// that reads its counters.
    pub fn build(
        config: &Config,
        start: Start,
        sockets: Sockets,
        reloads: watch::Receiver<Arc<Config>>,
        clock: Clock,
        metrics: &Arc<Metrics>,
    ) -> Result<Parts, RunError> {
        let (inbox, engine_inbox) = inbox::inbox(config.bounds.reports, metrics.clone());
        let (tap, dumps) = match start.own.capture {
            Some(capture) => recorder::start(capture, config, clock.now(), metrics.clone()).map(Some)?,
            None => None,
        }
        .unzip();
        let director = Director::new(config.settings.clone(), config.seed);
        let (reporter, intervals) = match &start.own.figures {
            Some(figures) => {
                Some(MetricsReporter::new(config, figures.interval, start.causes, clock.now(), &director))
            }
            None => None,
        }
        .unzip();
        let admission = build_admission(config, &inbox, metrics, dumps.clone(), reporter.as_ref());
        log_missing_places(&config.bounds);
        let (command_sender, commands) = unbounded_channel();
        let sinks = build_sinks(config, intervals, reporter.as_ref());
        let engine = Engine {
            tables: Tables::new(&config.names.classes),
            director,
            clock,
            discovery: command_sender,
            prober: HealthChecker::new(&config.bounds, inbox.clone(), metrics.clone()),
            post: sockets.peers.clone(),
            addresses: EndpointAddresses::default(),
            most_hosts: config.bounds.hosts,
            refusals: log::Seldom::default(),
            channel: send_channel(&config.settings),
            metrics: metrics.clone(),
            links: Default::default(),
            timers: Default::default(),
            calls: 0,
            tap,
            dumps: dumps.clone(),
            figures: reporter,
        };
        let discovery = DiscoveryClient::new(reloads, inbox.clone(), metrics.clone());
        let collectd = sockets
            .collectd
            .map(|collectd| CollectdReceiver::new(collectd, clock, inbox.clone(), metrics.clone()));
        Ok(Parts {
            engine,
            inbox,
            engine_inbox,
            discovery,
            commands,
            listener: sockets.listener,
            admission,
            collectd,
            peers: sockets.peers,
            sinks,
            dumps,
        })
    }
}

fn build_admission(
    config: &Config,
    inbox: &Inbox,
    metrics: &Arc<Metrics>,
    dumps: Option<Dumps>,
    reporter: Option<&MetricsReporter>,
) -> Arc<Admission> {
    let last_interval = reporter.map(|reporter| reporter.last_interval.clone());
    let write_delays = reporter.map(|reporter| reporter.write_delays.clone());
    let activity = reporter.map(|reporter| reporter.collector_activity.clone()).unwrap_or_default();
    let router = ops::router(metrics.clone(), dumps, last_interval);
    let recorders = (write_delays, activity);
    Arc::new(Admission::new(config, inbox.clone(), metrics.clone(), router, recorders))
}

fn build_sinks(
    config: &Config,
    intervals: Option<IntervalReceiver>,
    reporter: Option<&MetricsReporter>,
) -> Option<SinkDispatcher> {
    let stats = reporter?.sink_stats.clone();
    Some(SinkDispatcher::new(intervals?, config.name.clone(), config.seed, stats))
}

fn log_missing_places(bounds: &Bounds) {
    let places = bounds.connections;
    let clients = bounds.named;
    if places < clients {
        tracing::warn!(places, clients, "key `limits.sockets`: too few for all that may join");
    }
}

fn send_channel(settings: &Settings) -> Channel {
    Channel {
        pace: settings.send_rate_lines_per_s,
        overhead: settings.message_overhead_lines,
        most: settings.max_queued_lines,
        ..Channel::default()
    }
}
