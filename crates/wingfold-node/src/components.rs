//! Builds the components of a director, which `serve` then runs.

use crate::admission::Admission;
use crate::clock::Clock;
use crate::collectd::CollectdReceiver;
use crate::config::{Bounds, Config};
use crate::discovery::{DiscoveryClient, DiscoveryCommand};
use crate::engine::{Engine, SendQueueEstimate, Timers};
use crate::error::RunError;
use crate::health_check::HealthChecker;
use crate::inbox::{self, InboundReceiver, InboundSender};
use crate::list::EndpointAddresses;
use crate::metrics::Metrics;
use crate::peers::PeerSocket;
use crate::recorder::{self, CaptureDumper, Recording};
use crate::reporting::{IntervalReceiver, MetricsReporter};
use crate::serve::StartOptions;
use crate::sink::SinkDispatcher;
use crate::startup::Sockets;
use crate::tables::Tables;
use crate::{log, ops};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use wingfold_director::interface::Settings;
use wingfold_director::Director;

/// The components of a director, which the tasks of `serve` run.
pub struct Components {
    /// Owns and calls the decision module.
    pub engine: Engine,
    /// Sends events to the engine.
    pub inbox: InboundSender,
    /// Receives the events for the engine.
    pub engine_inbox: InboundReceiver,
    /// The client of discovery.
    pub discovery: DiscoveryClient,
    /// The engine's commands to the client of discovery.
    pub commands: UnboundedReceiver<DiscoveryCommand>,
    /// Accepts connections.
    pub listener: TcpListener,
    /// The limits, slots and state that all connections share.
    pub admission: Arc<Admission>,
    /// Receives collectd packets, if enabled.
    pub collectd: Option<CollectdReceiver>,
    /// Exchanges messages with other directors, if the settings allow it.
    pub peers: Option<Arc<PeerSocket>>,
    /// Sends intervals of metrics to the sinks, if metrics are enabled.
    pub sinks: Option<SinkDispatcher>,
    /// Dumps and ends the capture, if it is enabled.
    pub dumper: Option<CaptureDumper>,
}

impl Components {
    /// Builds the components for a configuration; `reloads` receives the configurations of later reloads.
    /// Also starts the writer thread of the capture, and the task that reads the writer's counters.
    pub fn build(
        config: &Config,
        options: StartOptions,
        sockets: Sockets,
        reloads: watch::Receiver<Arc<Config>>,
        clock: Clock,
        metrics: &Arc<Metrics>,
    ) -> Result<Components, RunError> {
        let (inbox, engine_inbox) = inbox::channel(config.bounds.max_queued_reports, metrics.clone());
        let recording = match options.local.capture {
            Some(capture) => Some(recorder::start(capture, config, clock.now(), metrics.clone())?),
            None => None,
        };
        let dumper = recording.as_ref().map(|recording| recording.dumper.clone());
        let director = Director::new(config.settings.clone(), config.seed);
        let reporting = options.local.metrics.map(|metrics| {
            MetricsReporter::new(config, metrics.interval, options.stage_runs, clock.now(), &director)
        });
        let (reporter, intervals) = reporting.unzip();
        let admission = build_admission(config, &inbox, metrics, dumper.clone(), reporter.as_ref());
        warn_if_too_few_connections(&config.bounds);
        let sinks = build_sinks(config, intervals, reporter.as_ref());
        let collectd = sockets
            .collectd
            .map(|collectd| CollectdReceiver::new(collectd, clock, inbox.clone(), metrics.clone()));
        let (command_sender, commands) = unbounded_channel();
        let outputs =
            EngineOutputs { commands: command_sender, peers: sockets.peers.clone(), recording, reporter };
        Ok(Components {
            engine: build_engine(config, director, clock, &inbox, metrics, outputs),
            discovery: DiscoveryClient::new(reloads, inbox.clone(), metrics.clone()),
            inbox,
            engine_inbox,
            commands,
            listener: sockets.listener,
            admission,
            collectd,
            peers: sockets.peers,
            sinks,
            dumper,
        })
    }
}

/// The channels and sockets to which the engine passes the decision module's actions, and the recorders of
/// its calls.
struct EngineOutputs {
    commands: UnboundedSender<DiscoveryCommand>,
    peers: Option<Arc<PeerSocket>>,
    recording: Option<Recording>,
    reporter: Option<MetricsReporter>,
}

fn build_engine(
    config: &Config,
    director: Director,
    clock: Clock,
    inbox: &InboundSender,
    metrics: &Arc<Metrics>,
    outputs: EngineOutputs,
) -> Engine {
    let (recorder, capture_dumper) =
        outputs.recording.map(|recording| (recording.recorder, recording.dumper)).unzip();
    Engine {
        tables: Tables::new(&config.names.classes),
        director,
        clock,
        discovery_commands: outputs.commands,
        health_checker: HealthChecker::new(&config.bounds, inbox.clone(), metrics.clone()),
        peer_sender: outputs.peers,
        addresses: EndpointAddresses::default(),
        max_hosts: config.bounds.max_hosts,
        rejected_hosts_log: log::RateLimitedLog::default(),
        send_queue: send_queue_estimate(&config.settings),
        metrics: metrics.clone(),
        connections: BTreeMap::new(),
        timers: Timers::default(),
        calls: 0,
        recorder,
        capture_dumper,
        metrics_reporter: outputs.reporter,
    }
}

fn build_admission(
    config: &Config,
    inbox: &InboundSender,
    metrics: &Arc<Metrics>,
    dumper: Option<CaptureDumper>,
    reporter: Option<&MetricsReporter>,
) -> Arc<Admission> {
    let last_interval = reporter.map(|reporter| reporter.last_interval.clone());
    let write_delays = reporter.map(|reporter| reporter.write_delays.clone());
    let activity = reporter.map(|reporter| reporter.collector_activity.clone()).unwrap_or_default();
    let router = ops::router(metrics.clone(), dumper, last_interval);
    Arc::new(Admission::new(config, inbox.clone(), metrics.clone(), router, write_delays, activity))
}

fn build_sinks(
    config: &Config,
    intervals: Option<IntervalReceiver>,
    reporter: Option<&MetricsReporter>,
) -> Option<SinkDispatcher> {
    let stats = reporter?.sink_stats.clone();
    Some(SinkDispatcher::new(intervals?, config.name.clone(), config.seed, stats))
}

fn warn_if_too_few_connections(bounds: &Bounds) {
    let places = bounds.max_connections;
    let clients = bounds.max_clients;
    if places < clients {
        tracing::warn!(
            places,
            clients,
            "key `limits.sockets`: too low for all proxies and collectors of the settings"
        );
    }
}

fn send_queue_estimate(settings: &Settings) -> SendQueueEstimate {
    SendQueueEstimate::new(
        settings.send_rate_lines_per_s,
        settings.message_overhead_lines,
        settings.max_queued_lines,
    )
}
