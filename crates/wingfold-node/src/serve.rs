//! Serves as a director: builds its components, runs their tasks, and returns when the future `end` is ready
//! or one of the tasks has ended.

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

/// Period of the log line with the main counters. `/metrics` has all counters, but only while the director
/// runs.
const METRICS_LOG_PERIOD: Duration = Duration::from_secs(10);

/// What a director is started with in addition to the platform's configuration.
#[derive(Debug, Default)]
pub struct StartOptions {
    /// Local settings.
    pub local: LocalSettings,
    /// Keeps the slowest and the latest failed runs of each stage, if enabled.
    pub stage_runs: Option<StageRuns>,
}

/// Serves as a director until `end` is ready, for programs that handle signals themselves. The director
/// starts with the current value of `config`; [`Config::with_reloaded`] says which changes of later values
/// take effect without a restart. `sinks` receives the settings of
/// sinks, at the start and after reloads.
pub async fn serve(
    config: watch::Receiver<Arc<Config>>,
    mut options: StartOptions,
    sinks: watch::Receiver<Arc<SinkSettings>>,
    end: impl Future<Output = ()>,
) -> Result<(), RunError> {
    tokio::pin!(end);
    let mut initial = Config::clone(&config.borrow());
    reserve_resources(&mut initial, &mut options.local)?;
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::default());
    let load_receiver = load_receiver_settings(&initial, &options.local);
    let sockets = tokio::select! {
        () = &mut end => return Ok(()),
        sockets = Sockets::bind(&initial, load_receiver, &metrics) => sockets?,
    };
    let components = Components::build(&initial, options, sockets, config, clock, &metrics)?;
    run_tasks(components, initial, metrics, sinks, end).await
}

/// Runs the tasks of a director until `end` is ready or one of the tasks has ended. If a task ends early, for
/// example by a panic, this function fails and the process ends: a director that no longer decides must not
/// keep its proxies connected. Once `end` is ready, only the capture is ended, so that it is complete; the
/// tasks are dropped with the runtime.
async fn run_tasks(
    components: Components,
    config: Config,
    metrics: Arc<Metrics>,
    sinks: watch::Receiver<Arc<SinkSettings>>,
    end: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let Components { engine, inbox, engine_inbox, discovery, commands, admission, .. } = components;
    if let Some(dispatcher) = components.sinks {
        tokio::spawn(dispatcher.run(sinks));
    }
    if let Some(list) = config.cached_list {
        inbox.send(InboundEvent::EndpointList { kind: EndpointListKind::Cached, list });
    }
    tracing::info!(name = config.name, listen = %config.listen, "serving");
    let result = tokio::select! {
        () = end => {
            end_capture(components.dumper.as_ref());
            return Ok(());
        }
        result = tokio::spawn(engine.run(engine_inbox)) => result,
        result = tokio::spawn(discovery.run(commands)) => result,
        result = tokio::spawn(accept::serve(components.listener, admission)) => result,
        () = or_never(components.collectd.map(CollectdReceiver::run)) => Ok(()),
        () = or_never(components.peers.map(|peers| async move { peers.receive(inbox).await })) => Ok(()),
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

/// Ends the capture, and logs a warning if its end cannot be written within the time that a planned restart
/// allows.
fn end_capture(dumper: Option<&CaptureDumper>) {
    if dumper.is_some_and(|dumper| !dumper.end()) {
        tracing::warn!("capture: its end could not be written in time");
    }
}

/// Logs the main counters; never returns.
async fn log_metrics(metrics: Arc<Metrics>) {
    loop {
        tokio::time::sleep(METRICS_LOG_PERIOD).await;
        metrics.log();
    }
}
