//! Serving as a director: starts its parts, owns their tasks, and ends with them.

use crate::accept;
use crate::clock::Clock;
use crate::collectd::CollectdReceiver;
use crate::components::Components;
use crate::config::Config;
use crate::error::{RunError, TaskEnd};
use crate::inbox::InboundEvent;
use crate::metrics::Metrics;
use crate::or_never;
use crate::recorder::CaptureDumper;
use crate::stage_runs::StageRuns;
use crate::startup::{load_receiver_settings, reserve_resources, Sockets};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinError;
use wingfold_director::interface::EndpointListKind;
use wingfold_settings::local::{LocalSettings, SinkSettings};

/// Period of the log line with the main counters: `/metrics` has all of them, but not those of a director that is gone.
const METRICS_LOG_PERIOD: Duration = Duration::from_secs(10);

/// What a director starts with besides the platform's configuration.
#[derive(Debug, Default)]
pub struct StartOptions {
    /// Local settings.
    pub local: LocalSettings,
    /// Where the slowest and the failed of each stage are kept, if they are.
    pub stage_runs: Option<StageRuns>,
}

/// Serves as a director until `end` is ready: for programs that handle signals themselves. What `config` holds at the start
/// is served; of later configurations, [`Config::with`] says what takes effect at once. `sinks` are the settings of sinks.
pub async fn serve(
    config: watch::Receiver<Arc<Config>>,
    mut start: StartOptions,
    sinks: watch::Receiver<Arc<SinkSettings>>,
    end: impl Future<Output = ()>,
) -> Result<(), RunError> {
    tokio::pin!(end);
    let mut first = Config::clone(&config.borrow());
    reserve_resources(&mut first, &mut start.local)?;
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::default());
    let load_receiver = load_receiver_settings(&first, &start.local);
    let sockets = tokio::select! {
        () = &mut end => return Ok(()),
        sockets = Sockets::bind(&first, load_receiver, &metrics) => sockets?,
    };
    let parts = Components::build(&first, start, sockets, config, clock, &metrics)?;
    run_tasks(parts, first, metrics, sinks, end).await
}

/// Runs a director's tasks until `end` is ready, or one of them has ended. They are tasks of their own, so that one that
/// fails is seen to end and takes the process with it: a director that no longer decides must not go on holding its
/// proxies. They run until the runtime ends: nothing of them is owed once `end` is ready but the end of the capture.
async fn run_tasks(
    parts: Components,
    config: Config,
    metrics: Arc<Metrics>,
    sinks: watch::Receiver<Arc<SinkSettings>>,
    end: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let Components { engine, inbox, engine_inbox, discovery, commands, admission, .. } = parts;
    if let Some(dispatcher) = parts.sinks {
        tokio::spawn(dispatcher.run(sinks));
    }
    if let Some(list) = config.cached_list {
        inbox.send(InboundEvent::EndpointList { kind: EndpointListKind::Cached, list });
    }
    tracing::info!(name = config.name, listen = %config.listen, "serving");
    let result = tokio::select! {
        () = end => {
            end_capture(parts.dumper.as_ref());
            return Ok(());
        }
        result = tokio::spawn(engine.run(engine_inbox)) => result,
        result = tokio::spawn(discovery.run(commands)) => result,
        result = tokio::spawn(accept::serve(parts.listener, admission)) => result,
        () = or_never(parts.collectd.map(CollectdReceiver::run)) => Ok(()),
        () = or_never(parts.peers.map(|peers| async move { peers.receive(inbox).await })) => Ok(()),
        () = log_metrics(metrics) => Ok(()),
    };
    Err(RunError::TaskEnded(task_end(result)))
}

fn task_end(result: Result<(), JoinError>) -> TaskEnd {
    match result {
        Ok(()) => TaskEnd::Returned,
        Err(error) => TaskEnd::Failed(error),
    }
}

/// Ends the capture, if the disk lets it, within the time that a planned restart leaves.
fn end_capture(dumper: Option<&CaptureDumper>) {
    if dumper.is_some_and(|dumper| !dumper.end()) {
        tracing::warn!("capture: the disk did not take the end in time");
    }
}

/// Logs the main counters; never returns.
async fn log_metrics(metrics: Arc<Metrics>) {
    loop {
        tokio::time::sleep(METRICS_LOG_PERIOD).await;
        metrics.log();
    }
}
